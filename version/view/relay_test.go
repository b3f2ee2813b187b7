package view

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	relayLease  = 80 * time.Millisecond
	relayTerm   = 3
	relayCount  = 2
	relayDaemon = 4
)

// relayClock runs at its own rate from its own origin.
type relayClock struct {
	rate   float64
	origin time.Duration
}

func (c relayClock) at(now time.Duration) time.Duration {
	return c.origin + time.Duration(float64(now)*c.rate)
}

// relayedDaemon follows one relay after the other.
type relayedDaemon struct {
	relayClock
	name   string
	holder *Holder
	relay  int
}

// runningRelay is one start of a relay.
type runningRelay struct {
	relayClock
	*Relay
	name string
}

// relayWorld is a leader, relays and daemons with messages that arrive late, in
// any order, twice or never. It is the oracle of the guarantee of Relay.
type relayWorld struct {
	now      time.Duration
	version  uint64
	leader   *Tracker
	relays   []*runningRelay
	daemons  []*relayedDaemon
	starts   int
	messages []func()
	inForce  uint64 // highest revision that the leader called in force
	reached  int    // how often that moved
}

func newRelayWorld(t *rapid.T) *relayWorld {
	w := &relayWorld{version: 1, leader: NewTracker(testLease)}
	w.leader.Reset(-2 * testLease)
	for i := range relayCount {
		w.relays = append(w.relays, w.startRelay(t, i))
	}
	for i := range relayDaemon {
		w.daemons = append(w.daemons, &relayedDaemon{
			relayClock: drawClock(t), name: fmt.Sprint("daemon-", i), holder: NewHolder(), relay: i % relayCount,
		})
	}
	return w
}

func drawClock(t *rapid.T) relayClock {
	return relayClock{
		rate:   1 + float64(rapid.IntRange(-4, 4).Draw(t, "drift"))/1000,
		origin: time.Duration(rapid.IntRange(0, 1000).Draw(t, "origin")) * time.Millisecond,
	}
}

func (w *relayWorld) startRelay(t *rapid.T, index int) *runningRelay {
	w.starts++
	clock := drawClock(t)
	return &runningRelay{
		relayClock: clock,
		Relay:      NewRelay(relayLease, clock.at(w.now)),
		name:       fmt.Sprintf("relay-%d#%d", index, w.starts),
	}
}

// delta is the full view of the leader now; each revision is one engine.
func (w *relayWorld) delta() Delta {
	full := Delta{Full: true, To: Version{Term: relayTerm, Revision: w.version}}
	full.Objects = append(full.Objects, api.Object{Engine: engine("e0", w.version)})
	return full
}

func (w *relayWorld) post(message func()) { w.messages = append(w.messages, message) }

// beatRelay is a beat of a relay to the leader.
func (w *relayWorld) beatRelay(t *rapid.T) {
	w.beatOf(w.relays[rapid.IntRange(0, relayCount-1).Draw(t, "relay")])
}

func (w *relayWorld) beatOf(r *runningRelay) {
	sentAt, acked := r.at(w.now), r.Acknowledge(r.at(w.now))
	w.post(func() {
		granted := w.leader.Observe(r.name, acked, w.now)
		delta := w.delta()
		w.post(func() {
			_ = r.Apply(delta) // a late one is refused
			if granted {
				r.Confirm(sentAt, testLease, relayTerm)
			}
		})
	})
}

// beatDaemon is a beat of a daemon to its relay.
func (w *relayWorld) beatDaemon(t *rapid.T) {
	w.beatBehind(w.daemons[rapid.IntRange(0, relayDaemon-1).Draw(t, "daemon")])
}

func (w *relayWorld) beatBehind(d *relayedDaemon) {
	r := w.relays[d.relay]
	sentAt, held := d.at(w.now), d.holder.Load().Version
	w.post(func() {
		now := r.at(w.now)
		lease := min(relayLease, r.Limit(now))
		granted := lease > 0 && r.Tracker().Observe(d.name, held, now)
		delta, some := r.History().DeltaSince(held)
		if some {
			w.post(func() { _ = d.holder.Apply(delta) })
		}
		if granted {
			w.post(func() { d.holder.Confirm(sentAt, lease, relayTerm) })
		}
	})
}

func (w *relayWorld) deliver(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "messages") {
		if len(w.messages) == 0 {
			return
		}
		i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
		message := w.messages[i]
		switch rapid.IntRange(0, 9).Draw(t, "fate") {
		case 0: // lost
			w.messages = slices.Delete(w.messages, i, i+1)
			continue
		case 1: // arrives again later
		default:
			w.messages = slices.Delete(w.messages, i, i+1)
		}
		message()
	}
}

// deliverAll delivers what is on its way, in order.
func (w *relayWorld) deliverAll() {
	for len(w.messages) > 0 {
		message := w.messages[0]
		w.messages = w.messages[1:]
		message()
	}
}

func (w *relayWorld) beatRelays(*rapid.T) {
	for range 2 { // the second acknowledges what the first has brought
		for _, r := range w.relays {
			w.beatOf(r)
		}
		w.deliverAll()
	}
}

func (w *relayWorld) beatDaemons(*rapid.T) {
	for _, d := range w.daemons {
		w.beatBehind(d)
	}
	w.deliverAll()
}

func (w *relayWorld) pass(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(1, 12).Draw(t, "milliseconds")) * time.Millisecond
}

func (w *relayWorld) change(*rapid.T) { w.version++ }

func (w *relayWorld) restart(t *rapid.T) {
	i := rapid.IntRange(0, relayCount-1).Draw(t, "relay")
	w.relays[i] = w.startRelay(t, i)
}

func (w *relayWorld) move(t *rapid.T) {
	d := w.daemons[rapid.IntRange(0, relayDaemon-1).Draw(t, "daemon")]
	d.relay = (d.relay + 1) % relayCount
}

func (w *relayWorld) check(t *rapid.T) {
	if done, _ := w.leader.InForce(Version{Term: relayTerm, Revision: w.version}, w.now); done && w.version > w.inForce {
		w.inForce = w.version
		w.reached++
	}
	for _, d := range w.daemons {
		if held := d.holder.Load().Version.Revision; d.holder.Valid(d.at(w.now)) {
			must.GreaterEq(t, w.inForce, held, must.Sprintf("%s uses it at %v", d.name, w.now))
		}
	}
}

func TestNoDaemonBehindARelayUsesAnOlderViewThanInForce(t *testing.T) {
	leased, reached := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newRelayWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         w.check,
			"relay":    w.beatRelay,
			"daemon":   w.beatDaemon,
			"deliver":  w.deliver,
			"deliver2": w.deliver,
			"relays":   w.beatRelays,
			"daemons":  w.beatDaemons,
			"pass":     w.pass,
			"change":   w.change,
			"restart":  w.restart,
			"move":     w.move,
		})
		for _, d := range w.daemons {
			if d.holder.Load().Version.Revision > 0 {
				leased++
			}
		}
		reached += w.reached
	})
	must.Positive(t, leased)
	must.Positive(t, reached)
}

func TestRelay(t *testing.T) {
	r := NewRelay(relayLease, 0)
	must.Eq(t, Version{}, r.Acknowledge(0))
	must.Eq(t, 0, r.Limit(0), must.Sprint("it has no lease to pass on"))
	first, second := Version{1, 1}, Version{1, 2}
	must.NoError(t, r.Apply(Delta{Full: true, To: first}))
	must.Eq(t, first, r.Acknowledge(0), must.Sprint("nobody uses an older one"))
	must.True(t, r.Confirm(0, testLease, 1))
	must.Eq(t, 99*time.Millisecond, r.Limit(0))
	must.True(t, r.Tracker().Observe("a", first, 0))
	must.NoError(t, r.Apply(Delta{From: first, To: second, Objects: []api.Object{{Engine: engine("e0", 1)}}}))
	must.Eq(t, first, r.Acknowledge(10*time.Millisecond), must.Sprint("a uses it"))
	must.Eq(t, second, r.Acknowledge(81*time.Millisecond), must.Sprint("the lease of a has lapsed"))
	must.False(t, r.Tracker().Observe("a", first, 81*time.Millisecond))

	delta, some := r.History().DeltaSince(first)
	must.True(t, some)
	must.Eq(t, 1, len(delta.Objects))
	must.False(t, delta.Full)
	delta, some = r.History().DeltaSince(Version{})
	must.True(t, some)
	must.True(t, delta.Full)
	_, some = r.History().DeltaSince(second)
	must.False(t, some)
}

func TestRelayHistoryIsBounded(t *testing.T) {
	r := NewRelay(relayLease, 0)
	at := Version{1, 1}
	must.NoError(t, r.Apply(Delta{Full: true, To: at}))
	for range 2*relayChanges + 1 {
		next := Version{1, at.Revision + 1}
		must.NoError(t, r.Apply(Delta{From: at, To: next, Objects: []api.Object{{Engine: engine("e0", next.Revision)}}}))
		at = next
	}
	history := r.History()
	must.Eq(t, relayChanges, len(history.Changes))
	delta, _ := history.DeltaSince(Version{1, history.Floor})
	must.False(t, delta.Full)
	delta, _ = history.DeltaSince(Version{1, history.Floor - 1})
	must.True(t, delta.Full, must.Sprint("its changes were dropped"))
}
