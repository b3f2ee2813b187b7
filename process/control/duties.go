package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/orders"
	"github.com/landingtrail/landingtrail/process/clock"
	"github.com/landingtrail/landingtrail/process/controller"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
	"github.com/landingtrail/landingtrail/version/state"
)

// monotonic reads the time that has passed, also in a suspension: what a leader that wakes
// knows is as old as it is for the others.
func monotonic() time.Duration { return clock.Now() }

// duties are what only the leader does: it observes the engines, plans, carries
// orders out, watches the platform and tends the membership. Each round starts
// with a check of the lease, and each order is sent after another one.
type duties struct {
	group     *group
	addresses *addressBook
	logger    log.Logger
	client    *orders.Client
	platform  *platformReader
	fleet     *fleetReader
	// lease returns the term that this member leads in by a valid lease.
	lease    func(context.Context) (term uint64, valid bool)
	wakeup   chan struct{}
	stopping chan struct{}
	stopOnce sync.Once
	stopped  chan struct{}

	// term is the leadership being served, nil while there is none. The loop's
	// goroutine writes it; the operator API reads it.
	termLock sync.Mutex
	term     *termDuties
}

// termDuties is what one leadership keeps. It is dropped with the lease, so
// everything observed in it is later than the entries of earlier leaders.
type termDuties struct {
	number  uint64
	planner planner.Planner
	poller  *orders.Poller
	actions *actionRunner
	// nextPlan is when the next plan is due; commit is the commit index seen
	// in the round before. Only the loop uses them.
	nextPlan time.Duration
	// startedAt is when the term began here, awaySince when each member that is
	// not active now was first seen so. Only the loop uses them.
	startedAt time.Duration
	awaySince map[raft.MemberID]time.Duration
	// warmed is true once replicas were asked what they keep; hadIngress whether
	// there was an Ingress when the term began. Only the loop uses them.
	warmed     bool
	hadIngress bool
	background sync.WaitGroup
	// comparedList is what tendFleet last found equal. Only the loop uses it.
	comparedList comparedList
	// nextProxies is when tendFleet next looks at the proxies. Only the loop uses it.
	nextProxies time.Duration
	roles       roleDuty
	usage       usageDuty
	capacity    capacityDuty
	// orders ends with the leadership, by endOrders.
	orders    context.Context
	endOrders context.CancelFunc

	lock      sync.Mutex
	machines  *state.Machines
	failures  map[string]controller.Failure
	changedAt map[string]time.Duration
	commit    uint64
}

func newDuties(g *group, addresses *addressBook, logger log.Logger) *duties {
	client := orders.NewClient(g.config.Durations.EngineTimeout)
	return &duties{
		group:     g,
		addresses: addresses,
		logger:    logger,
		client:    client,
		platform:  newPlatformReader(g.config, logger),
		fleet:     newFleetReader(g.config, g.metrics.foreign, logger),
		lease:     g.Lease,
		wakeup:    make(chan struct{}, 1),
		stopping:  make(chan struct{}),
		stopped:   make(chan struct{}),
	}
}

// roundPause is the least time between two rounds.
const roundPause = 5 * time.Millisecond

// wake makes the next round start now; calls coalesce.
func (d *duties) wake() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// stop ends the duties and waits until none is under way.
func (d *duties) stop() {
	d.stopOnce.Do(func() { close(d.stopping) })
	<-d.stopped
}

func (d *duties) run(ctx context.Context) {
	defer close(d.stopped)
	defer d.client.Close()
	defer d.endTerm()
	ticker := time.NewTicker(d.group.config.Durations.Reconcile)
	defer ticker.Stop()
	for {
		started := monotonic()
		d.round(ctx)
		_ = pause.For(ctx, d.pauseAfter(monotonic()-started))
		select {
		case <-ticker.C:
		case <-d.wakeup:
		case <-d.stopping:
			return
		case <-ctx.Done():
			return
		}
	}
}

// pauseAfter bounds the rounds that a busy fleet can wake: with many engines, to
// half of one core. A round that waited for a commit pauses no longer than usual.
func (d *duties) pauseAfter(took time.Duration) time.Duration {
	return max(roundPause, min(took, d.group.config.Durations.Reconcile))
}

// round carries out one round if this member leads with a valid lease.
func (d *duties) round(ctx context.Context) {
	if !d.group.Leadership().Leads {
		d.endTerm()
		return
	}
	number, valid := d.group.Lease(ctx)
	if !valid {
		return // the lease may come back in the same term
	}
	term := d.beginTerm(number)
	d.warmBoards(ctx, term, monotonic())
	d.tendMembers(ctx, term)
	d.tendFleet(ctx, term)
	d.tendQuarantine(ctx, term)
	d.tendUsage(ctx, term)
	d.tendCapacity(ctx, term)
	d.tendRoles(term, monotonic())
	d.reconcile(ctx, term)
}

func (d *duties) current() *termDuties {
	d.termLock.Lock()
	defer d.termLock.Unlock()
	return d.term
}

// beginTerm returns the duties of the term, and starts them when it is new.
func (d *duties) beginTerm(number uint64) *termDuties {
	if term := d.current(); term != nil && term.number == number {
		return term
	}
	d.endTerm()
	durations := d.group.config.Durations
	term := &termDuties{
		number:    number,
		planner:   newPlanner(d.group.config.Planner),
		failures:  map[string]controller.Failure{},
		changedAt: map[string]time.Duration{},
		awaySince: map[raft.MemberID]time.Duration{},
		capacity:  newCapacityDuty(),
	}
	term.orders, term.endOrders = context.WithCancel(context.Background())
	term.poller = orders.NewPoller(orders.PollerConfig{
		Asker:    d.client,
		Interval: durations.Poll,
		Clock:    monotonic,
		Changed:  d.wake,
	})
	term.actions = newActionRunner(d, term)
	d.platform.start()
	d.fleet.start(d.wake)
	d.group.evidence.ask()
	term.startedAt = monotonic()
	term.hadIngress = d.group.machine.view().Ingresses[api.IngressName] != nil
	d.termLock.Lock()
	defer d.termLock.Unlock()
	d.term = term
	return term
}

func (d *duties) endTerm() {
	d.termLock.Lock()
	term := d.term
	d.term = nil
	d.termLock.Unlock()
	if term == nil {
		return
	}
	d.platform.stop()
	d.fleet.stop()
	term.endOrders()
	term.actions.close()
	term.background.Wait()
	term.poller.Close()
}

// reconcile compares what is committed with what is seen, and acts.
func (d *duties) reconcile(ctx context.Context, term *termDuties) {
	current := d.group.machine.view()
	addresses := make(map[string]string, len(current.Engines))
	for name, engine := range current.Engines {
		addresses[name] = engine.Spec.Address
	}
	term.poller.SetTargets(addresses)
	seen := term.poller.Seen()
	now := monotonic()
	input := controller.Input{
		Now:               now,
		Engines:           current.Engines,
		Observations:      term.observations(seen),
		Platform:          d.platform.machines(current, seen, now),
		Decisions:         d.plan(term, current, seen, now),
		ObservationMaxAge: d.group.config.Durations.silenceOf(len(current.Engines)),
		FailurePause:      d.group.config.Durations.FailurePause,
	}
	term.fill(&input)
	for _, action := range controller.Reconcile(input) {
		term.actions.start(action)
	}
}

// observations adds to what the engines said which orders they called invalid.
func (t *termDuties) observations(seen map[string]orders.Seen) map[string]controller.Observation {
	observations := make(map[string]controller.Observation, len(seen))
	for name, heard := range seen {
		observations[name] = controller.Observation{
			State:         heard.State,
			QueriedAt:     heard.AskedAt,
			RejectedFence: t.actions.refused(name),
		}
	}
	return observations
}

// fill copies the term's own memory into the input.
func (t *termDuties) fill(input *controller.Input) {
	t.lock.Lock()
	defer t.lock.Unlock()
	input.Machines = t.machines
	input.Failures = make(map[string]controller.Failure, len(t.failures))
	for name, failure := range t.failures {
		input.Failures[name] = failure
	}
}

func (t *termDuties) setMachines(machines state.Machines) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.machines = &machines
}

func (t *termDuties) noteFailure(engine string, assignment api.Assignment) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.failures[engine] = controller.Failure{Assignment: assignment, At: monotonic()}
}

func (t *termDuties) noteChange(engine string) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.changedAt[engine] = monotonic()
	delete(t.failures, engine)
}

// sinceChange returns how long ago the engine's last change ended, negative if
// this leader has seen none.
func (t *termDuties) sinceChange(engine string, now time.Duration) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	at, found := t.changedAt[engine]
	if !found {
		return -1
	}
	return now - at
}
