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

// monotonic returns the time elapsed since an arbitrary origin. It includes time spent suspended,
// so that a leader that resumes after a suspension treats its state as old.
func monotonic() time.Duration { return clock.Now() }

// leaderTasks runs the leader's tasks: it polls the engines, plans, executes actions, reads the
// platform's machine list and manages the group's membership, among others. Each round starts with
// a check of the lease, and the lease is checked again before each order.
type leaderTasks struct {
	group     *group
	addresses *addressBook
	logger    log.Logger
	client    *orders.Client
	platform  *platformReader
	fleet     *fleetReader
	// lease returns the term in which this member leads under a valid lease.
	lease    func(context.Context) (term uint64, valid bool)
	wakeup   chan struct{}
	stopping chan struct{}
	stopOnce sync.Once
	stopped  chan struct{}

	termLock sync.Mutex
	// term is the term being served, nil while there is none. It is written by the loop's
	// goroutine and read by the operator API.
	term *termState
}

// termState is the state of one term of leadership. It is discarded when the leadership ends, so
// everything observed in it is newer than the log entries of earlier leaders. Only the loop uses
// nextPlan, unreachableSince, cachesQueried, hadIngress, comparedList and nextProxies.
type termState struct {
	number  uint64
	planner planner.Planner
	poller  *orders.Poller
	actions *actionRunner
	// nextPlan is when the next plan is due.
	nextPlan time.Duration
	// startedAt is when the term began on this member; it does not change.
	startedAt time.Duration
	// unreachableSince is when each currently inactive voter was first seen inactive.
	unreachableSince map[raft.MemberID]time.Duration
	// cachesQueried is true once replicas were asked for their cached prompt parts.
	cachesQueried bool
	// hadIngress is whether an Ingress existed when the term began.
	hadIngress bool
	// background waits for the goroutines of the term.
	background sync.WaitGroup
	// comparedList is the list that manageFleet last found unchanged.
	comparedList comparedList
	// nextProxies is when manageFleet next checks the proxies.
	nextProxies time.Duration
	roles       roleTermState
	usage       usageTermState
	capacity    capacityTermState
	// orders is the context of the term's orders, canceled by cancelOrders.
	orders       context.Context
	cancelOrders context.CancelFunc

	lock sync.Mutex // guards the fields below
	// machines are the leaving and gone machines of the last commit of this term.
	machines *state.Machines
	// failures are the last failed assignments, by engine.
	failures map[string]controller.Failure
	// changedAt is when each engine last completed a change.
	changedAt map[string]time.Duration
	// commit is the commit index seen in the previous round.
	commit uint64
}

func newLeaderTasks(g *group, addresses *addressBook, logger log.Logger) *leaderTasks {
	client := orders.NewClient(g.config.Durations.EngineTimeout)
	return &leaderTasks{
		group:     g,
		addresses: addresses,
		logger:    logger,
		client:    client,
		platform:  newPlatformReader(g.config, logger),
		fleet:     newFleetReader(g.config, g.metrics.foreignEntries, logger),
		lease:     g.Lease,
		wakeup:    make(chan struct{}, 1),
		stopping:  make(chan struct{}),
		stopped:   make(chan struct{}),
	}
}

// minRoundPause is the minimum pause between two rounds.
const minRoundPause = 5 * time.Millisecond

// wake makes the next round start as soon as the pause after the running one has passed. Calls in
// between cause one round.
func (d *leaderTasks) wake() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// stop ends the loop and waits until it has returned.
func (d *leaderTasks) stop() {
	d.stopOnce.Do(func() { close(d.stopping) })
	<-d.stopped
}

func (d *leaderTasks) run(ctx context.Context) {
	defer close(d.stopped)
	defer d.client.Close()
	defer d.endTerm()
	ticker := time.NewTicker(d.group.config.Durations.Reconcile)
	defer ticker.Stop()
	for {
		started := monotonic()
		d.round(ctx)
		_ = pause.Sleep(ctx, d.pauseAfter(monotonic()-started))
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

// pauseAfter returns the pause after a round, which is as long as the round took. With many
// engines, rounds caused by frequent wake-ups then use at most half of one core. The pause is at
// most the reconcile interval, since a round may have spent its time waiting for a commit.
func (d *leaderTasks) pauseAfter(took time.Duration) time.Duration {
	return max(minRoundPause, min(took, d.group.config.Durations.Reconcile))
}

// round executes one round if this member leads under a valid lease.
func (d *leaderTasks) round(ctx context.Context) {
	if !d.group.Leadership().Leads {
		d.endTerm()
		return
	}
	number, valid := d.group.Lease(ctx)
	if !valid {
		return // the lease may be renewed in the same term
	}
	term := d.beginTerm(number)
	d.queryCaches(ctx, term, monotonic())
	d.manageMembers(ctx, term)
	d.manageFleet(ctx, term)
	d.manageQuarantine(ctx, term)
	d.manageUsage(ctx, term)
	d.manageCapacity(ctx, term)
	d.manageRoles(term, monotonic())
	d.reconcile(ctx, term)
}

// current returns the state of the term being served, or nil while there is none.
func (d *leaderTasks) current() *termState {
	d.termLock.Lock()
	defer d.termLock.Unlock()
	return d.term
}

// beginTerm returns the state of the term, creating it and starting the term's background work if
// the term is new.
func (d *leaderTasks) beginTerm(number uint64) *termState {
	if term := d.current(); term != nil && term.number == number {
		return term
	}
	d.endTerm()
	durations := d.group.config.Durations
	term := &termState{
		number:           number,
		planner:          newPlanner(d.group.config.Planner),
		failures:         map[string]controller.Failure{},
		changedAt:        map[string]time.Duration{},
		unreachableSince: map[raft.MemberID]time.Duration{},
		capacity:         newCapacityTermState(),
	}
	term.orders, term.cancelOrders = context.WithCancel(context.Background())
	term.poller = orders.NewPoller(orders.PollerConfig{
		Client:   d.client,
		Interval: durations.Poll,
		Clock:    monotonic,
		Changed:  d.wake,
	})
	term.actions = newActionRunner(d, term)
	d.platform.start()
	d.fleet.start(d.wake)
	d.group.evidence.requestAll()
	term.startedAt = monotonic()
	term.hadIngress = d.group.machine.view().Ingresses[api.IngressName] != nil
	d.termLock.Lock()
	defer d.termLock.Unlock()
	d.term = term
	return term
}

// endTerm discards the state of the term and waits for its background work.
func (d *leaderTasks) endTerm() {
	d.termLock.Lock()
	term := d.term
	d.term = nil
	d.termLock.Unlock()
	if term == nil {
		return
	}
	d.platform.stop()
	d.fleet.stop()
	term.cancelOrders()
	term.actions.close()
	term.background.Wait()
	term.poller.Close()
}

// reconcile compares the committed state with the observed state and starts the actions that are
// needed.
func (d *leaderTasks) reconcile(ctx context.Context, term *termState) {
	current := d.group.machine.view()
	addresses := make(map[string]string, len(current.Engines))
	for name, engine := range current.Engines {
		addresses[name] = engine.Spec.Address
	}
	term.poller.SetTargets(addresses)
	observations := term.poller.Observations()
	now := monotonic()
	input := controller.Input{
		Now:               now,
		Engines:           current.Engines,
		Observations:      term.observations(observations),
		Platform:          d.platform.leavingAndGone(current, observations, now),
		Decisions:         d.plan(term, current, observations, now),
		ObservationMaxAge: d.group.config.Durations.engineSilenceFor(len(current.Engines)),
		FailurePause:      d.group.config.Durations.FailurePause,
	}
	term.addTermState(&input)
	for _, action := range controller.Reconcile(input) {
		term.actions.start(action)
	}
}

// observations combines the engines' reported states with the orders that each engine rejected as
// invalid.
func (t *termState) observations(polled map[string]orders.Observation) map[string]controller.Observation {
	observations := make(map[string]controller.Observation, len(polled))
	for name, heard := range polled {
		observations[name] = controller.Observation{
			State:         heard.State,
			QueriedAt:     heard.RequestedAt,
			RejectedFence: t.actions.lastInvalidFence(name),
		}
	}
	return observations
}

// addTermState copies the machines and failures known in this term into input.
func (t *termState) addTermState(input *controller.Input) {
	t.lock.Lock()
	defer t.lock.Unlock()
	input.Machines = t.machines
	input.Failures = make(map[string]controller.Failure, len(t.failures))
	for name, failure := range t.failures {
		input.Failures[name] = failure
	}
}

// setMachines records the leaving and gone machines that were committed.
func (t *termState) setMachines(machines state.Machines) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.machines = &machines
}

// recordFailure records that an assignment of the engine failed now.
func (t *termState) recordFailure(engine string, assignment api.Assignment) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.failures[engine] = controller.Failure{Assignment: assignment, At: monotonic()}
}

// recordChange records that the engine completed a change now, and forgets its failure.
func (t *termState) recordChange(engine string) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.changedAt[engine] = monotonic()
	delete(t.failures, engine)
}

// sinceChange returns the time since the engine's last change completed, or a negative value if
// this leader has seen none.
func (t *termState) sinceChange(engine string, now time.Duration) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	at, found := t.changedAt[engine]
	if !found {
		return -1
	}
	return now - at
}
