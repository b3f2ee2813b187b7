package campaign

import (
	"maps"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/process/controller"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

const (
	reconcileInterval  = 200 * time.Millisecond
	pollInterval       = 500 * time.Millisecond
	planInterval       = 500 * time.Millisecond
	platformInterval   = time.Second
	engineTimeout      = 2 * time.Second
	engineSilence      = 5 * time.Second
	failurePause       = 10 * time.Second
	viewLease          = 3 * time.Second
	retention          = 24 * time.Hour
	maxAffectedEngines = 8
)

// duties is what one leadership keeps; it is dropped with the leadership.
type duties struct {
	member    *member
	term      uint64
	tracker   *view.Tracker
	tracking  bool // the lease was valid and the term's first entry applied
	planner   planner.Planner
	observed  map[string]controller.Observation
	asked     map[string]time.Duration
	failures  map[string]controller.Failure
	changedAt map[string]time.Duration
	busy      map[string]bool
	platform  *state.Machines
	machines  *state.Machines
	nextPlan  time.Duration
	nextList  time.Duration
	changing  bool // a membership change is under way
}

func newDuties(m *member) *duties {
	return &duties{
		member:    m,
		term:      m.node.Status().Term,
		tracker:   view.NewTracker(viewLease),
		planner:   planner.New(planner.Config{}),
		observed:  map[string]controller.Observation{},
		asked:     map[string]time.Duration{},
		failures:  map[string]controller.Failure{},
		changedAt: map[string]time.Duration{},
		busy:      map[string]bool{},
	}
}

// lead runs one round of the leader's duties.
func (m *member) lead() {
	if !m.leads() {
		return
	}
	m.world.oracle.leaseRead(m)
	if m.duties == nil || m.duties.term != m.node.Status().Term {
		m.duties = newDuties(m)
	}
	m.duties.round()
}

func (d *duties) round() {
	m := d.member
	status := m.node.Status()
	if !d.tracking && d.ownTermApplied() {
		d.tracking = true
		d.tracker.Reset(m.clock())
		d.tracker.RequireVersion(m.machine.Version())
	}
	d.tendMembers(status)
	d.readPlatform()
	d.poll()
	d.reconcile()
	d.noteInForce()
}

// ownTermApplied reports whether an entry of this leadership's term was
// applied: only then does the state hold all that earlier leaders accepted.
func (d *duties) ownTermApplied() bool {
	last, err := d.member.node.SnapshotAt(d.member.applied, nil)
	return err == nil && last.Term == d.term
}

func (d *duties) noteInForce() {
	if !d.tracking || !d.member.leads() {
		return
	}
	version := d.member.machine.Version()
	if done, _ := d.tracker.InForce(version, d.member.clock()); done {
		d.member.world.oracle.inForce(version.Revision)
	}
}

// current reports whether this leadership still lasts.
func (d *duties) current() bool { return d.member.duties == d && d.member.leads() }

func (d *duties) poll() {
	m := d.member
	for _, name := range slices.Sorted(maps.Keys(m.machine.View().Engines)) {
		if last, asked := d.asked[name]; !asked || m.clock()-last >= pollInterval {
			d.query(name)
		}
	}
}

// query asks an engine for its state.
func (d *duties) query(name string) {
	m := d.member
	host := m.world.engineByName(name)
	askedAt := m.clock()
	d.asked[name] = askedAt
	if host == nil {
		return
	}
	m.world.network.send(&m.process, &host.process, func() {
		answer := host.model.State()
		m.world.network.send(&host.process, &m.process, func() { d.hear(name, answer, askedAt) })
	})
}

func (d *duties) hear(name string, answer engineapi.State, askedAt time.Duration) {
	if last, heard := d.observed[name]; heard && last.QueriedAt > askedAt {
		return
	}
	d.observed[name] = controller.Observation{State: answer, QueriedAt: askedAt, RejectedFence: d.observed[name].RejectedFence}
}

func (d *duties) readPlatform() {
	m := d.member
	if m.clock() < d.nextList {
		return
	}
	d.nextList = m.clock() + platformInterval
	leaving := m.world.platformList()
	m.after(baseLatency, func() { d.platform = &state.Machines{Leaving: leaving} })
}

func (d *duties) reconcile() {
	m := d.member
	input := controller.Input{
		Now:               m.clock(),
		Engines:           m.machine.View().Engines,
		Observations:      d.observed,
		Failures:          d.failures,
		Platform:          d.platform,
		Machines:          d.machines,
		Decisions:         d.plan(),
		ObservationMaxAge: engineSilence,
		FailurePause:      failurePause,
	}
	for _, action := range controller.Reconcile(input) {
		d.carryOut(action)
	}
}

// begin reserves the engine for one action; done frees it, at the latest after
// the engine timeout.
func (d *duties) begin(engine string) (done func(), free bool) {
	if d.busy[engine] {
		return nil, false
	}
	d.busy[engine] = true
	ended := false
	done = func() {
		if !ended {
			ended = true
			delete(d.busy, engine)
		}
	}
	d.member.after(engineTimeout, done)
	return done, true
}

func (d *duties) carryOut(action controller.Action) {
	switch action := action.(type) {
	case controller.Propose:
		d.propose(action.Command)
	case controller.Send:
		d.send(action)
	case controller.Void:
		d.void(action)
	case controller.Query:
		if d.member.clock()-d.asked[action.Engine] >= pollInterval/5 {
			d.query(action.Engine)
		}
	}
}

func (d *duties) propose(command state.Command) {
	// One proposal about an engine, or about the machines, is under way at a time.
	name := command.EngineName()
	done, free := d.begin(name)
	if !free {
		return
	}
	taken := d.member.propose(command, func(result any, known bool) {
		done()
		if known {
			d.noteResult(command, result)
		}
	})
	if !taken {
		done()
	}
}

func (d *duties) noteResult(command state.Command, result any) {
	switch command.Kind {
	case state.CommandMachines:
		machines := *command.Machines
		d.machines = &machines
	case state.CommandCloseOrder:
		if closed, ok := result.(state.CloseOrderResult); ok && closed.Closed && command.CloseOrder.Reason == state.CloseDone {
			d.changedAt[command.CloseOrder.Engine] = d.member.clock()
			delete(d.failures, command.CloseOrder.Engine)
		}
	}
}

// send gives an order out. The lease is checked when it leaves.
func (d *duties) send(action controller.Send) {
	m := d.member
	host := m.world.engineByName(action.Engine)
	done, free := d.begin(action.Engine)
	if !free {
		return
	}
	if host == nil || !d.current() {
		done()
		return
	}
	askedAt := m.clock()
	order := action.Order
	m.world.sentOrders = append(m.world.sentOrders, sentOrder{term: d.term, engine: host, order: order})
	m.world.network.send(&m.process, &host.process, func() {
		reply := host.order(order)
		m.world.network.send(&host.process, &m.process, func() {
			done()
			d.hear(action.Engine, reply.State, askedAt)
			if reply.Code == engineapi.OrderInvalid {
				seen := d.observed[action.Engine]
				seen.RejectedFence = order.Fence
				d.observed[action.Engine] = seen
			}
		})
	})
}

// void commits a fence and sends it to the engine.
func (d *duties) void(action controller.Void) {
	d.failures[action.Engine] = controller.Failure{Assignment: action.Order.Assignment, At: d.member.clock()}
	done, free := d.begin(action.Engine)
	if !free {
		return
	}
	taken := d.member.propose(action.Command(), func(result any, known bool) {
		done()
		given, ok := result.(state.VoidOrderResult)
		if known && ok && given.Open && d.current() {
			d.sendVoid(action, given.Fence)
		}
	})
	if !taken {
		done()
	}
}

func (d *duties) sendVoid(action controller.Void, fence api.Fence) {
	m := d.member
	host := m.world.engineByName(action.Engine)
	if host == nil {
		return
	}
	askedAt := m.clock()
	m.world.network.send(&m.process, &host.process, func() {
		reply := host.void(action.Request(fence))
		m.world.network.send(&host.process, &m.process, func() { d.hear(action.Engine, reply.State, askedAt) })
	})
}

func (d *duties) plan() []planner.Decision {
	m := d.member
	now := m.clock()
	if now < d.nextPlan {
		return nil
	}
	d.nextPlan = now + planInterval
	current := m.machine.View()
	input := planner.Input{Now: now}
	for _, name := range slices.Sorted(maps.Keys(current.Intents)) {
		input.Intents = append(input.Intents, current.Intents[name])
		input.Demand = append(input.Demand, m.world.demand(name))
	}
	for _, name := range slices.Sorted(maps.Keys(current.Engines)) {
		input.Engines = append(input.Engines, d.plannedEngine(current.Engines[name], now))
	}
	return d.planner.Plan(input)
}

func (d *duties) plannedEngine(engine *api.Engine, now time.Duration) planner.Engine {
	var said *engineapi.State
	seen, heard := d.observed[engine.Name]
	if heard && now-seen.QueriedAt <= engineSilence {
		said = &seen.State
	}
	planned := controller.PlannerEngine(engine, said)
	planned.SinceChange = -1
	if intent := d.member.machine.SelectingIntent(engine.Name); intent != nil {
		planned.Intent = intent.Name
	}
	if at, changed := d.changedAt[engine.Name]; changed {
		planned.SinceChange = now - at
	}
	if said != nil {
		planned.Running = said.Running
		planned.Waiting = said.Waiting
	}
	return planned
}

// tendMembers makes one step towards a whole membership: it takes joining
// members in as learners, promotes them once they have caught up, and removes
// the identities that they replace.
func (d *duties) tendMembers(status raft.Status) {
	if d.changing {
		return
	}
	change, due := d.nextChange(status)
	if !due {
		return
	}
	m := d.member
	_, index, err := m.node.ProposeChange(m.clock(), change)
	if err != nil {
		return
	}
	d.changing = true
	m.proposed[index] = proposal{term: d.term, answer: func(any, bool) { d.changing = false }}
	m.world.oracle.configures(change)
	m.pump()
}

func (d *duties) nextChange(status raft.Status) (raft.ConfigurationChange, bool) {
	world := d.member.world
	for _, learner := range status.Configuration.Learners {
		if status.RecentlyActive[learner] && status.Match[learner]+retainedEntries >= status.Commit {
			return raft.ConfigurationChange{Kind: raft.ChangePromote, Member: learner}, true
		}
	}
	for _, other := range world.members {
		known := slices.Contains(status.Configuration.Voters, other.id) || slices.Contains(status.Configuration.Learners, other.id)
		if other.joining && !known {
			return raft.ConfigurationChange{Kind: raft.ChangeAddLearner, Member: other.id}, true
		}
	}
	for _, voter := range status.Configuration.Voters {
		if replacement := world.replacementOf(voter); replacement != nil && slices.Contains(status.Configuration.Voters, replacement.id) {
			return raft.ConfigurationChange{Kind: raft.ChangeRemove, Member: voter}, true
		}
	}
	return raft.ConfigurationChange{}, false
}
