package campaign

import (
	"math/rand/v2"
	"time"

	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/router"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

const (
	beatInterval    = 250 * time.Millisecond
	beatSilence     = 600 * time.Millisecond
	enginePoll      = 500 * time.Millisecond
	admitTimeout    = time.Second
	stallTimeout    = 2 * time.Second
	claimTimeout    = time.Second
	claimRetry      = 200 * time.Millisecond
	retryDelay      = 100 * time.Millisecond
	maxAttempts     = 4
	maxResumes      = 3
	refusalMemory   = 500 * time.Millisecond
	outcomeInterval = time.Second
)

// word is what an engine last said of itself to one proxy.
type word struct {
	phase       api.EnginePhase
	incarnation uint64
	at          time.Duration
	refusedTill time.Duration
}

// proxyHost is one proxy process.
type proxyHost struct {
	process
	zone   string
	random *rand.Rand
	router *router.Router

	// The fields below live for one start of the process.
	daemon   string
	holder   *view.Holder
	target   int // the relay or member that beats go to
	heardAt  time.Duration
	words    map[string]*word
	requests []*pendingRequest
	lapsedAt time.Duration
	arriving []*call // requests in the socket
}

func (p *proxyHost) boot() {
	p.start()
	p.daemon = p.world.freshName(p.name)
	p.holder = view.NewHolder()
	p.words = map[string]*word{}
	p.requests = nil
	p.arriving = nil
	p.heardAt = p.clock()
	p.lapsedAt = p.clock()
	p.every(beatInterval, p.beat)
	p.every(enginePoll, p.pollEngines)
	p.every(retryDelay, p.sweep)
}

// beat tells the leader which version is held and asks for more.
func (p *proxyHost) beat() {
	now := p.clock()
	if now-p.heardAt > beatSilence {
		p.redirected(noHint)
		p.heardAt = now
	}
	next := beat{from: p, daemon: p.daemon, sentAt: now, acked: p.holder.Load().Version, held: p.holder.Load().Version}
	if p.world.relayed() {
		target := p.world.relays[p.target]
		p.world.network.send(&p.process, &target.process, func() { target.answerBeat(next) })
		return
	}
	target := p.world.members[p.target]
	p.world.network.send(&p.process, &target.process, func() { target.answerBeat(next) })
}

func (p *proxyHost) host() *process { return &p.process }

// updated takes the answer to a beat of the given start of the proxy.
func (p *proxyHost) updated(answered beat, news update) {
	if p.daemon != answered.daemon {
		return
	}
	p.heardAt = p.clock()
	if news.delta != nil {
		p.applyDelta(news.delta)
	}
	if news.lease > 0 && !p.holder.Confirm(answered.sentAt, news.lease, news.term) {
		p.world.strike(strikeOldGrant)
	}
}

func (p *proxyHost) redirected(hint int) {
	upstreams := len(p.world.members)
	if p.world.relayed() {
		upstreams, hint = len(p.world.relays), noHint
	}
	if hint == noHint {
		hint = (p.target + 1) % upstreams
	}
	p.target = hint
}

// propose sends a command to the leader, through a relay where there are any.
// One of answer and refused is called at the proxy, unless a message is lost.
func (p *proxyHost) propose(command state.Command, answer func(result any, known bool), refused func()) {
	if p.world.relayed() {
		relay := p.world.relays[p.target]
		p.world.network.send(&p.process, &relay.process, func() { relay.passOn(p, command, answer, refused) })
		return
	}
	proposeThrough(&p.process, p.world.members[p.target], command, answer, refused)
}

func (p *proxyHost) applyDelta(encoded []byte) {
	delta, err := view.DecodeDelta(encoded)
	if err != nil {
		panic(err)
	}
	before := p.holder.Load().Version
	if err := p.holder.Apply(delta); err != nil {
		p.world.strike(strikeLateDelta)
	}
	p.world.oracle.viewMoved(p, before, p.holder.Load().Version)
}

// pollEngines hears each engine's own word.
func (p *proxyHost) pollEngines() {
	if p.holder.Valid(p.clock()) {
		p.lapsedAt = p.clock()
	}
	for _, host := range p.world.engines {
		askedAt := p.clock()
		p.world.network.send(&p.process, &host.process, func() {
			said := host.model.State()
			p.world.network.send(&host.process, &p.process, func() { p.hear(host.name, said.Phase, said.Incarnation, askedAt) })
		})
	}
}

func (p *proxyHost) word(engine string) *word {
	known := p.words[engine]
	if known == nil {
		known = &word{at: -1}
		p.words[engine] = known
	}
	return known
}

func (p *proxyHost) hear(engine string, phase api.EnginePhase, incarnation uint64, askedAt time.Duration) {
	known := p.word(engine)
	if askedAt < known.at {
		return
	}
	known.phase, known.incarnation, known.at = phase, incarnation, askedAt
}

// snapshot is what the router looks at: the view, and the engines' own word.
func (p *proxyHost) snapshot(current *view.View) router.Snapshot {
	now := p.clock()
	valid := p.holder.Valid(now)
	var snapshot router.Snapshot
	for _, host := range p.world.engines {
		engine := current.Engines[host.name]
		if engine == nil {
			continue
		}
		known := p.word(host.name)
		confirmed := known.at > p.lapsedAt
		snapshot.Endpoints = append(snapshot.Endpoints, &router.Endpoint{
			Name:        host.name,
			Address:     engine.Spec.Address,
			Zone:        engine.Spec.Zone,
			Incarnation: known.incarnation,
			Role:        engine.Status.Assignment.Role,
			Model:       engine.Status.Assignment.Model,
			Version:     engine.Status.Assignment.Version,
			Admits:      admits(engine, known, now) && (valid || confirmed),
		})
	}
	return snapshot
}

func admits(engine *api.Engine, known *word, now time.Duration) bool {
	if engine.Spec.Drain || engine.Status.Phase != api.PhaseServing || engine.Status.OpenOrder != nil {
		return false
	}
	ownWord := known.phase == api.PhaseServing || known.phase == api.PhaseUnknown
	return ownWord && now >= known.refusedTill
}

// crash kills the proxy; callers see their connections break.
func (p *proxyHost) crash() {
	open, arriving := p.requests, p.arriving
	p.kill()
	for _, c := range arriving {
		c.end(response{ran: attempt.RanUnknown, broken: true})
	}
	for _, request := range open {
		if !request.answered {
			request.answered = true
			request.call.end(response{ran: attempt.RanUnknown, broken: true})
		}
	}
}
