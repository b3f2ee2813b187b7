package orders

import (
	"cmp"
	"context"
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

// Observation is the last known state and load of an engine.
type Observation struct {
	State engineapi.State
	// RequestedAt is when the state was requested, by the poller's clock.
	RequestedAt time.Duration
	// Load is the last load report of the incarnation in State. LoadRequestedAt is when it was
	// requested, 0 if there is none.
	Load            engineapi.Load
	LoadRequestedAt time.Duration
}

// EngineClient reads the state and load of engines. *Client implements it.
type EngineClient interface {
	State(ctx context.Context, address string) (engineapi.State, error)
	Load(ctx context.Context, address string) (engineapi.Load, error)
}

// PollerConfig configures a Poller.
type PollerConfig struct {
	Client EngineClient
	// Interval is the time between two polls of one engine. It is increased if there
	// are more engines than MaxPerSecond allows. With 0, only MaxPerSecond and pollTick
	// limit the polls.
	Interval     time.Duration
	MaxPerSecond int
	// Clock is a monotonic clock. It must be set, as must Client.
	Clock func() time.Duration
	// Changed is called without any lock held after the state of an engine has changed in
	// a field that sameState compares. It may be nil.
	Changed func()
}

const (
	pollerShards = 8
	// shardWorkers limits the concurrent polls of one shard, so that unresponsive
	// engines delay at most the engines of their own shard.
	shardWorkers = 32
	// pollTick is the interval at which a shard checks for engines that are due.
	pollTick = 20 * time.Millisecond
	// defaultMaxPerSecond limits the poll rate of a poller over all engines.
	defaultMaxPerSecond = 2000
)

// target is one polled engine.
type target struct {
	name        string
	address     string
	dueAt       time.Duration
	lastPoll    uint64 // number of the last poll; 0 before the first
	polling     bool
	observation Observation
	hasState    bool
}

type pollerShard struct {
	sync.Mutex
	targets map[string]*target
	workers chan struct{}
	polls   uint64 // number of polls started
}

// Poller polls a set of engines until it is closed.
type Poller struct {
	config  PollerConfig
	shards  [pollerShards]pollerShard
	seed    maphash.Seed
	context context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// NewPoller starts a Poller with no engines.
func NewPoller(config PollerConfig) *Poller {
	if config.MaxPerSecond <= 0 {
		config.MaxPerSecond = defaultMaxPerSecond
	}
	p := &Poller{config: config, seed: maphash.MakeSeed()}
	p.context, p.cancel = context.WithCancel(context.Background())
	for i := range p.shards {
		shard := &p.shards[i]
		shard.targets = map[string]*target{}
		shard.workers = make(chan struct{}, shardWorkers)
		p.done.Go(func() { p.runShard(shard) })
	}
	return p
}

// Close cancels all polls and waits for them to end.
func (p *Poller) Close() {
	p.cancel()
	p.done.Wait()
}

func (p *Poller) shard(name string) *pollerShard {
	return &p.shards[maphash.String(p.seed, name)%pollerShards]
}

// SetTargets replaces the set of polled engines, given as addresses by name. The state of
// an engine whose address changes is discarded.
func (p *Poller) SetTargets(addresses map[string]string) {
	for i := range p.shards {
		p.shards[i].retainTargets(addresses)
	}
	for name, address := range addresses {
		p.shard(name).addTarget(name, address)
	}
}

// retainTargets removes all engines except those in addresses with the same address.
func (s *pollerShard) retainTargets(addresses map[string]string) {
	s.Lock()
	defer s.Unlock()
	for name, known := range s.targets {
		if addresses[name] != known.address {
			delete(s.targets, name)
		}
	}
}

// addTarget adds an engine unless it is known.
func (s *pollerShard) addTarget(name, address string) {
	s.Lock()
	defer s.Unlock()
	if s.targets[name] == nil {
		s.targets[name] = &target{name: name, address: address}
	}
}

// PollNow makes the engine due immediately.
func (p *Poller) PollNow(name string) {
	shard := p.shard(name)
	shard.Lock()
	defer shard.Unlock()
	if known := shard.targets[name]; known != nil {
		known.dueAt = 0
	}
}

// Record records a state that was part of the reply to an order, as if it had been
// requested at requestedAt.
func (p *Poller) Record(name, address string, state engineapi.State, requestedAt time.Duration) {
	shard := p.shard(name)
	shard.Lock()
	known := shard.targets[name]
	changed := known != nil && known.address == address && known.recordState(state, requestedAt)
	shard.Unlock()
	p.notify(changed)
}

// recordState records the state, unless that of a later request is already known, and reports
// whether it differs from the previous one.
func (t *target) recordState(state engineapi.State, requestedAt time.Duration) bool {
	if t.hasState && requestedAt < t.observation.RequestedAt {
		return false
	}
	changed := !t.hasState || !sameState(t.observation.State, state)
	if t.observation.State.Incarnation != state.Incarnation {
		t.observation.Load, t.observation.LoadRequestedAt = engineapi.Load{}, 0
	}
	t.observation.State, t.observation.RequestedAt, t.hasState = state, requestedAt, true
	return changed
}

// sameState compares the incarnation, fence, phase and assignment, and whether an order is
// open. It ignores which order that is and the numbers of requests.
func sameState(left, right engineapi.State) bool {
	return left.Incarnation == right.Incarnation && left.Fence == right.Fence && left.Phase == right.Phase &&
		left.Assignment.Equal(right.Assignment) && (left.Order == nil) == (right.Order == nil)
}

// notify calls the Changed callback if the state has changed.
func (p *Poller) notify(changed bool) {
	if changed && p.config.Changed != nil {
		p.config.Changed()
	}
}

// Observations returns a copy of the last known state of every engine that has responded.
func (p *Poller) Observations() map[string]Observation {
	all := map[string]Observation{}
	for i := range p.shards {
		p.shards[i].collectSeen(all)
	}
	return all
}

// collectSeen adds the last known states of the shard's engines to all.
func (s *pollerShard) collectSeen(all map[string]Observation) {
	s.Lock()
	defer s.Unlock()
	for name, known := range s.targets {
		if known.hasState {
			all[name] = known.observation
		}
	}
}

// runShard polls the engines of one shard until the poller is closed.
func (p *Poller) runShard(shard *pollerShard) {
	ticker := time.NewTicker(pollTick)
	defer ticker.Stop()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for {
		select {
		case <-p.context.Done():
			return
		case <-ticker.C:
			p.startDue(shard, &inFlight)
		}
	}
}

// startDue starts a poll of each engine that is due, as long as workers are free. Engines
// that have been due for longest come first, so that none is starved.
func (p *Poller) startDue(shard *pollerShard, inFlight *sync.WaitGroup) {
	now := p.config.Clock()
	shard.Lock()
	defer shard.Unlock()
	if len(shard.workers) == cap(shard.workers) {
		return
	}
	interval := p.shardInterval(len(shard.targets))
	for _, next := range shard.due(now) {
		select {
		case shard.workers <- struct{}{}:
		default:
			return
		}
		shard.polls++
		next.lastPoll, next.polling = shard.polls, true
		next.dueAt = now + interval
		inFlight.Go(func() {
			defer func() { <-shard.workers }()
			p.poll(shard, next.name, next)
		})
	}
}

// due returns the engines to poll, ordered by the time at which they became due, and at
// equal times by their last poll.
func (s *pollerShard) due(now time.Duration) []*target {
	var due []*target
	for _, known := range s.targets {
		if !known.polling && known.dueAt <= now {
			due = append(due, known)
		}
	}
	slices.SortFunc(due, func(left, right *target) int {
		return cmp.Or(cmp.Compare(left.dueAt, right.dueAt), cmp.Compare(left.lastPoll, right.lastPoll))
	})
	return due
}

// shardInterval returns the configured interval, or a longer one if the shard's share of the
// maximum rate requires it.
func (p *Poller) shardInterval(targets int) time.Duration {
	perShard := max(1, p.config.MaxPerSecond/pollerShards)
	return limitedInterval(p.config.Interval, targets, perShard)
}

func limitedInterval(interval time.Duration, targets, perSecond int) time.Duration {
	return max(interval, time.Duration(targets)*time.Second/time.Duration(perSecond))
}

// PollRoundDuration returns the least time that a Poller with the given interval and the default
// maximum rate takes to poll the given number of engines once: that of engines which are
// spread evenly over the shards and respond quickly.
func PollRoundDuration(interval time.Duration, engines int) time.Duration {
	return limitedInterval(interval, engines, defaultMaxPerSecond)
}

// poll polls one engine. Its target may have been replaced by the time it responds.
func (p *Poller) poll(shard *pollerShard, name string, polled *target) {
	requestedAt := p.config.Clock()
	state, err := p.config.Client.State(p.context, polled.address)
	if err == nil {
		p.Record(name, polled.address, state, requestedAt)
		p.pollLoad(shard, name, polled)
	}
	shard.Lock()
	defer shard.Unlock()
	polled.polling = false
}

// pollLoad polls the load report of one engine. It ignores errors and reports that carry
// another engine's name; the load is then polled again with the next state.
func (p *Poller) pollLoad(shard *pollerShard, name string, polled *target) {
	requestedAt := p.config.Clock()
	load, err := p.config.Client.Load(p.context, polled.address)
	if err != nil || load.Engine != name {
		return
	}
	shard.Lock()
	defer shard.Unlock()
	polled.recordLoad(load, requestedAt)
}

// recordLoad records the report, unless it belongs to an earlier incarnation of the engine,
// since reports lag, or that of a later request is already known.
func (t *target) recordLoad(load engineapi.Load, requestedAt time.Duration) {
	if load.Incarnation == t.observation.State.Incarnation && requestedAt >= t.observation.LoadRequestedAt {
		t.observation.Load, t.observation.LoadRequestedAt = load, requestedAt
	}
}
