package controller

import (
	"fmt"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
	"github.com/landingtrail/landingtrail/version/state"
	"pgregory.net/rapid"
)

const (
	engineCount           = 3
	badVersion            = "bad" // a version that engines reject as invalid
	roundInterval         = 200 * time.Millisecond
	testObservationMaxAge = 5 * time.Second
)

// request is a pending request to an engine, sent by a leader that may have been
// replaced since.
type request struct {
	leader  *leader
	askedAt time.Duration
	engine  string
	order   *api.Order
	void    *engineapi.VoidRequest
}

// leader is the state of a leader in one term.
type leader struct {
	term         uint64
	staleEngines map[string]*api.Engine // committed engines as last seen by an outdated leader
	observations map[string]Observation
	failures     map[string]Failure
	machines     *state.Machines
}

// simulation is a control group, its engines and a network that loses, delays and
// duplicates requests.
type simulation struct {
	machine     *state.Machine
	term, index uint64
	now         time.Duration
	engines     map[string]*enginemodel.Engine
	incarnation uint64
	leaders     []*leader
	requests    []request
	platform    state.Machines
	// accepted holds the highest fence that an engine has accepted, by incarnation.
	accepted map[uint64]api.Fence
	counts   map[string]int
}

func newSimulation() *simulation {
	w := &simulation{
		machine:  state.New(),
		engines:  map[string]*enginemodel.Engine{},
		accepted: map[uint64]api.Fence{},
		counts:   map[string]int{},
	}
	transaction := &api.Transaction{OperationID: "fleet", AllowBroad: true}
	for i := range engineCount {
		name := fmt.Sprintf("engine-%d", i)
		w.incarnation++
		w.engines[name] = enginemodel.New(enginemodel.DefaultConfig(name, w.incarnation))
		transaction.Writes = append(transaction.Writes, api.Write{Object: api.Object{Engine: &api.Engine{
			Metadata: api.Metadata{Name: name, Labels: api.Labels{"pool": "a"}},
			Spec:     api.EngineSpec{Address: "10.0.0.1:1", Zone: "a", Service: "narrator"},
		}}})
	}
	service := &api.Service{Metadata: api.Metadata{Name: "narrator"}, Spec: api.ServiceSpec{Type: api.ServiceModel}}
	intent := &api.Intent{
		Metadata: api.Metadata{Name: "narrate"},
		Spec: api.IntentSpec{
			Engines: api.Selector{MatchLabels: api.Labels{"pool": "a"}}, Classes: api.Selector{All: true},
			Model: "storm", Version: "1", Roles: []api.EngineRole{api.RolePrefill, api.RoleDecode},
		},
	}
	transaction.Writes = append(transaction.Writes,
		api.Write{Object: api.Object{Service: service}}, api.Write{Object: api.Object{Intent: intent}})
	w.elect()
	w.apply(state.Command{Kind: state.CommandTransaction, Transaction: transaction})
	return w
}

// elect starts a new term. The previous leader continues with the engines committed at
// this point.
func (w *simulation) elect() {
	w.term++
	if len(w.leaders) > 0 {
		w.current().staleEngines = w.machine.View().Engines
	}
	w.leaders = append(w.leaders, &leader{
		term:         w.term,
		observations: map[string]Observation{},
		failures:     map[string]Failure{},
	})
}

func (w *simulation) current() *leader { return w.leaders[len(w.leaders)-1] }

func (w *simulation) apply(command state.Command) any {
	w.index++
	return w.machine.Apply(w.term, w.index, command)
}

// round runs one reconciliation round of l, which may be an outdated leader.
func (w *simulation) round(l *leader, decisions []planner.Decision) {
	engines := l.staleEngines
	if l == w.current() {
		engines = w.machine.View().Engines
	}
	actions := Reconcile(Input{
		Now: w.now, Engines: engines, Observations: l.observations, Failures: l.failures,
		Platform: &w.platform, Machines: l.machines, Decisions: decisions,
		Silence: testObservationMaxAge, FailurePause: time.Minute,
	})
	for _, action := range actions {
		w.execute(l, action)
	}
}

func (w *simulation) execute(l *leader, action Action) {
	switch action := action.(type) {
	case Propose:
		if l == w.current() {
			w.propose(l, action.Command)
		}
	case Send:
		w.enqueue(request{leader: l, engine: action.Engine, order: &action.Order})
	case Void:
		l.failures[action.Engine] = Failure{Assignment: action.Order.Assignment, At: w.now}
		if l != w.current() {
			return
		}
		if result := w.apply(action.Command()).(state.VoidOrderResult); result.Open {
			voidRequest := action.Request(result.Fence)
			w.enqueue(request{leader: l, engine: action.Engine, void: &voidRequest})
		}
	case Query:
		w.enqueue(request{leader: l, engine: action.Engine})
	}
}

func (w *simulation) propose(l *leader, command state.Command) {
	result := w.apply(command)
	switch command.Kind {
	case state.CommandMachines:
		l.machines = command.Machines
	case state.CommandOpenOrder:
		if result.(state.OpenOrderResult).Code == state.OpenOrderOpened {
			w.counts["opened"]++
		}
	case state.CommandCloseOrder:
		if result.(state.CloseOrderResult).Closed {
			w.counts[fmt.Sprint("closed-", command.CloseOrder.Reason)]++
		}
	}
}

// maxRequests bounds the pending requests; the oldest are dropped.
const maxRequests = 64

func (w *simulation) enqueue(m request) {
	m.askedAt = w.now
	w.requests = append(w.requests, m)
	if len(w.requests) > maxRequests {
		w.requests = w.requests[1:]
	}
}

// deliver delivers a request to its engine and, unless loseAnswer, the reply to the
// leader. It checks that an engine accepts only its open order, whichever leader sent
// the order and however late it arrives.
func (w *simulation) deliver(t testFailer, m request, loseAnswer bool) {
	engine := w.engines[m.engine]
	engine.Step(w.now)
	if m.leader != w.current() && m.order != nil {
		w.counts["from-old-leader"]++
	}
	current := engine.State()
	refused := api.Fence{}
	switch {
	case m.order != nil && m.order.Assignment.Version == badVersion:
		refused = m.order.Fence
	case m.order != nil:
		w.checkAccepted(t, *m.order, engine.Order(w.now, *m.order), current.Fence)
	case m.void != nil:
		engine.Void(w.now, *m.void)
	}
	if loseAnswer {
		w.counts["answer-lost"]++
		return
	}
	seen := m.leader.observations[m.engine]
	if seen.State.Engine != "" && m.askedAt < seen.AskedAt {
		return
	}
	if refused.IsZero() {
		refused = seen.Refused
	}
	m.leader.observations[m.engine] = Observation{State: engine.State(), AskedAt: m.askedAt, Refused: refused}
}

// testFailer is the part of testing.T that reports a failed check.
type testFailer interface {
	Fatalf(format string, arguments ...any)
}

func (w *simulation) checkAccepted(t testFailer, order api.Order, reply engineapi.OrderReply, before api.Fence) {
	if reply.Code != engineapi.OrderAccepted || !before.Less(reply.State.Fence) {
		return
	}
	if !w.accepted[reply.State.Incarnation].Less(order.Fence) {
		t.Fatalf("%s accepted %v after %v in one incarnation", order.Engine, order.Fence, w.accepted[reply.State.Incarnation])
	}
	w.accepted[reply.State.Incarnation] = order.Fence
	committed := w.machine.View().Engines[order.Engine].Status.OpenOrder
	if committed == nil || committed.Fence != order.Fence {
		t.Fatalf("%s accepted %v while %v is open", order.Engine, order, committed)
	}
}

// checkOrders checks that an engine that executes an order executes the one that is
// open for it.
func (w *simulation) checkOrders(t testFailer) {
	for name, engine := range w.engines {
		carried := engine.State().Order
		committed := w.machine.View().Engines[name].Status.OpenOrder
		if carried != nil && (committed == nil || committed.Fence != carried.Fence) {
			t.Fatalf("%s executes %v while %v is open", name, carried.Fence, committed)
		}
	}
}

func (w *simulation) crash(name string) {
	w.incarnation++
	w.engines[name].Crash(w.now, w.incarnation)
	w.counts["crashed"]++
}

func (w *simulation) advance(by time.Duration) {
	w.now += by
	for _, engine := range w.engines {
		engine.Step(w.now)
	}
}

// rewriteIntent changes the version that the intent requests.
func (w *simulation) rewriteIntent(version string) {
	intent := *w.machine.View().Intents["narrate"]
	intent.Spec.Version = version
	w.write(api.Object{Intent: &intent})
}

func (w *simulation) rewriteEngine(name string, change func(*api.Engine)) {
	engine := *w.machine.View().Engines[name]
	change(&engine)
	w.write(api.Object{Engine: &engine})
}

func (w *simulation) write(object api.Object) {
	transaction := &api.Transaction{
		OperationID: fmt.Sprintf("write-%d", w.index),
		Writes:      []api.Write{{Object: object}},
		AllowBroad:  true,
	}
	w.apply(state.Command{Kind: state.CommandTransaction, Transaction: transaction})
}

// plan returns decisions that assign the requested version to each engine in its fixed
// role.
func (w *simulation) plan() []planner.Decision {
	var decisions []planner.Decision
	intent := w.machine.View().Intents["narrate"]
	roles := []api.EngineRole{api.RolePrefill, api.RoleDecode}
	for i := range engineCount {
		decisions = append(decisions, planner.Decision{
			Engine:     fmt.Sprintf("engine-%d", i),
			Assignment: api.Assignment{Model: intent.Spec.Model, Version: intent.Spec.Version, Role: roles[i%2]},
			Reason:     "test",
		})
	}
	return decisions
}

// runUntilConverged runs without faults until every engine has its planned assignment.
func (w *simulation) runUntilConverged(t *rapid.T) {
	w.requests = nil
	w.rewriteIntent("final")
	for i := range engineCount {
		w.rewriteEngine(fmt.Sprintf("engine-%d", i), func(engine *api.Engine) {
			engine.Spec.Drain = false
			engine.Labels = api.Labels{"pool": "a"}
		})
	}
	w.platform = state.Machines{}
	const rounds = 1000
	for range rounds {
		w.advance(roundInterval)
		for name := range w.engines {
			w.enqueue(request{leader: w.current(), engine: name})
		}
		w.round(w.current(), w.plan())
		for _, m := range w.requests {
			w.deliver(t, m, false)
		}
		w.requests = nil
		w.checkOrders(t)
		if w.converged() {
			return
		}
	}
	t.Fatalf("not converged: %+v", w.machine.View().Engines)
}

func (w *simulation) converged() bool {
	for _, decision := range w.plan() {
		status := w.machine.View().Engines[decision.Engine].Status
		actual := w.engines[decision.Engine].State()
		if status.OpenOrder != nil || !status.Assignment.Equal(decision.Assignment) || !actual.Assignment.Equal(decision.Assignment) {
			return false
		}
	}
	return true
}
