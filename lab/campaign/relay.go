package campaign

import (
	"time"

	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

const (
	// relayViewLease is the longest lease that relays pass on, relayFloor how
	// often their floor moves along; both as in the relay daemon.
	relayViewLease = viewLease / 2
	relayFloor     = relayViewLease / 4
)

// relayHost is one relay between the control members and the proxies.
type relayHost struct {
	process

	// The fields below live for one start of the process.
	daemon   string
	relay    *view.Relay
	target   int
	heardAt  time.Duration
	previous view.Version // held one floor interval ago
}

func (r *relayHost) boot() {
	r.start()
	r.daemon = r.world.freshName(r.name)
	r.relay = view.NewRelay(relayViewLease, r.clock())
	r.heardAt = r.clock()
	r.previous = view.Version{}
	r.every(beatInterval, r.beat)
	r.every(relayFloor, r.moveFloor)
}

func (r *relayHost) crash() { r.kill() }

func (r *relayHost) host() *process { return &r.process }

// beat follows the group as one daemon.
func (r *relayHost) beat() {
	now := r.clock()
	if now-r.heardAt > beatSilence {
		r.redirected(noHint)
		r.heardAt = now
	}
	next := beat{from: r, daemon: r.daemon, sentAt: now, acked: r.relay.Acknowledge(now), held: r.relay.Load().Version}
	target := r.world.members[r.target]
	r.world.network.send(&r.process, &target.process, func() { target.answerBeat(next) })
}

func (r *relayHost) redirected(hint int) {
	if hint == noHint {
		hint = (r.target + 1) % len(r.world.members)
	}
	r.target = hint
}

func (r *relayHost) updated(answered beat, news update) {
	if r.daemon != answered.daemon {
		return
	}
	r.heardAt = r.clock()
	if news.delta != nil {
		delta, err := view.DecodeDelta(news.delta)
		if err != nil {
			panic(err)
		}
		if r.relay.Apply(delta) != nil {
			r.world.strike(strikeLateDelta)
		}
	}
	if news.lease > 0 && !r.relay.Confirm(answered.sentAt, news.lease, news.term) {
		r.world.strike(strikeOldGrant)
	}
}

// moveFloor keeps a proxy that hangs from holding the others up.
func (r *relayHost) moveFloor() {
	if r.serves() {
		r.relay.Tracker().RequireVersion(r.previous)
	}
	r.previous = r.relay.Load().Version
}

func (r *relayHost) serves() bool { return r.relay.MaxLease(r.clock()) > 0 }

// answerBeat serves a proxy as the leader does, within the relay's own lease.
func (r *relayHost) answerBeat(asked beat) {
	to := asked.from.host()
	if !r.serves() {
		r.world.network.send(&r.process, to, func() { asked.from.redirected(noHint) })
		return
	}
	now := r.clock()
	news := update{term: r.relay.Term()}
	if r.relay.Tracker().Observe(asked.daemon, asked.acked, now) {
		news.lease = min(relayViewLease, r.relay.MaxLease(now))
	}
	if delta, behind := r.relay.History().DeltaSince(asked.held); behind {
		news.delta = encodeDelta(delta)
	}
	r.world.network.datagram(&r.process, to, func() { asked.from.updated(asked, news) })
}

// passOn brings a proxy's command to the leader and the answer back.
func (r *relayHost) passOn(from *proxyHost, command state.Command, answer func(result any, known bool), refused func()) {
	network := r.world.network
	if !r.serves() {
		network.send(&r.process, &from.process, refused)
		return
	}
	proposeThrough(&r.process, r.world.members[r.target], command, func(result any, known bool) {
		network.send(&r.process, &from.process, func() { answer(result, known) })
	}, func() { network.send(&r.process, &from.process, refused) })
}
