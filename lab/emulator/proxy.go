package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/request/limit"
	"github.com/landingtrail/landingtrail/request/retry"
	"github.com/landingtrail/landingtrail/request/router"
	"github.com/landingtrail/landingtrail/version/api"
)

// proxy is the data path in one zone.
type proxy struct {
	run     *run
	zone    string
	random  *rand.Rand
	budget  *retry.Budget
	queue   *limit.Queue
	waiting []*flow // in the queue, by arrival
	targets []*target
	answers *router.AnswerLengths
	links   *links
}

// target is one engine as a proxy sees it.
type target struct {
	host     *host
	endpoint router.Endpoint
	report   engineapi.Load
	taken    time.Duration // when the report was true
	own      []*dispatch   // in flight, oldest first
	refused  time.Duration // until when a refusal keeps it out
}

// dispatch is a request that a proxy has sent to an engine.
type dispatch struct {
	at     time.Duration
	tokens int
	ended  bool
}

const (
	retryShare   = 0.2
	retryReserve = 20
	// maxAnswer is the answer length that callers allow.
	maxAnswer = 4096
	// refusalHold is how long an engine that refused for its phase is left out,
	// unless a report says otherwise.
	refusalHold = time.Second
)

func newProxy(r *run, index int, zone string) *proxy {
	p := &proxy{
		run:     r,
		zone:    zone,
		random:  rand.New(rand.NewPCG(r.config.Seed, uint64(index))),
		budget:  retry.NewBudget(retryShare, retryReserve),
		queue:   limit.NewQueue(limit.Config{Now: func() time.Time { return wallClock(r.now) }}),
		answers: router.NewAnswerLengths(),
	}
	p.links = newLinks(p)
	for _, h := range r.hosts {
		p.targets = append(p.targets, &target{host: h})
	}
	return p
}

// wallClock is a time of the run for packages that count in wall-clock time.
func wallClock(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

// startGranted starts the requests that the queue has let through.
func (p *proxy) startGranted() {
	var granted []*flow
	p.waiting = slices.DeleteFunc(p.waiting, func(f *flow) bool {
		select {
		case <-f.waiting.Granted():
			granted = append(granted, f)
			return true
		default:
			return false
		}
	})
	for _, f := range granted {
		f.start()
	}
}

// forget takes a request out of the list of waiting ones.
func (p *proxy) forget(f *flow) {
	p.waiting = slices.DeleteFunc(p.waiting, func(other *flow) bool { return other == f })
}

// poll fetches the load of every engine.
func (p *proxy) poll() {
	for _, t := range p.targets {
		if t.host.down {
			continue
		}
		t.report = t.host.model.Load(p.run.now)
		t.taken = p.run.now - time.Duration(t.report.AgeMilliseconds)*time.Millisecond
		t.prune()
	}
}

// prune forgets what has ended and what the report contains.
func (t *target) prune() {
	kept := t.own[:0]
	for _, d := range t.own {
		if !d.ended && d.at > t.taken {
			kept = append(kept, d)
		}
	}
	clear(t.own[len(kept):])
	t.own = kept
}

// snapshot builds the router's view of all engines.
func (p *proxy) snapshot() router.Snapshot {
	snapshot := router.Snapshot{Endpoints: make([]*router.Endpoint, len(p.targets))}
	for i, t := range p.targets {
		t.refresh(p.run.now)
		snapshot.Endpoints[i] = &t.endpoint
	}
	return snapshot
}

func (t *target) refresh(now time.Duration) {
	h := t.host
	known := h.believe
	t.endpoint = router.Endpoint{
		Name:         h.name,
		Zone:         h.zone,
		Incarnation:  h.model.Incarnation(),
		Role:         known.assignment.Role,
		Model:        known.assignment.Model,
		Version:      known.assignment.Version,
		Adapters:     known.assignment.Adapters,
		Admits:       known.admits && now >= t.refused && h.run.limits.hasRoom(h),
		Suspect:      known.suspect,
		CachedBlocks: h.cache.leading,
		Load: router.Load{
			Running:       t.report.Running,
			Waiting:       t.report.Waiting,
			WaitingTokens: t.report.WaitingTokens,
			KVUsed:        t.report.KVUsed,
			Age:           now - t.taken,
		},
	}
	for _, d := range t.own {
		if !d.ended {
			t.endpoint.Load.OwnRunning++
			t.endpoint.Load.OwnTokens += d.tokens
		}
	}
}

// send notes a dispatch to an engine.
func (t *target) send(now time.Duration, tokens int) *dispatch {
	d := &dispatch{at: now, tokens: tokens}
	t.own = append(t.own, d)
	return d
}

func (p *proxy) target(endpoint *router.Endpoint) *target {
	for _, t := range p.targets {
		if &t.endpoint == endpoint {
			return t
		}
	}
	panic("endpoint of another snapshot")
}

func (p *proxy) expectedOutput(class string) int { return p.answers.Expect(class, maxAnswer) }

// phaseRefusal reports whether a refusal means that the engine leaves its role.
func phaseRefusal(phase api.EnginePhase) bool { return phase != api.PhaseServing }
