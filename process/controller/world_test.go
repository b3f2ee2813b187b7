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
	s := &simulation{
		machine:  state.New(),
		engines:  map[string]*enginemodel.Engine{},
		accepted: map[uint64]api.Fence{},
		counts:   map[string]int{},
	}
	transaction := &api.Transaction{OperationID: "fleet", AllowBroad: true}
	for i := range engineCount {
		name := fmt.Sprintf("engine-%d", i)
		s.incarnation++
		s.engines[name] = enginemodel.New(enginemodel.DefaultConfig(name, s.incarnation))
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
	s.elect()
	s.apply(state.Command{Kind: state.CommandTransaction, Transaction: transaction})
	return s
}

// elect starts a new term. The previous leader continues with the engines committed at
// this point.
func (s *simulation) elect() {
	s.term++
	if len(s.leaders) > 0 {
		s.current().staleEngines = s.machine.View().Engines
	}
	s.leaders = append(s.leaders, &leader{
		term:         s.term,
		observations: map[string]Observation{},
		failures:     map[string]Failure{},
	})
}

func (s *simulation) current() *leader { return s.leaders[len(s.leaders)-1] }

func (s *simulation) apply(command state.Command) any {
	s.index++
	return s.machine.Apply(s.term, s.index, command)
}

// round runs one reconciliation round of l, which may be an outdated leader.
func (s *simulation) round(l *leader, decisions []planner.Decision) {
	engines := l.staleEngines
	if l == s.current() {
		engines = s.machine.View().Engines
	}
	actions := Reconcile(Input{
		Now: s.now, Engines: engines, Observations: l.observations, Failures: l.failures,
		Platform: &s.platform, Machines: l.machines, Decisions: decisions,
		ObservationMaxAge: testObservationMaxAge, FailurePause: time.Minute,
	})
	for _, action := range actions {
		s.execute(l, action)
	}
}

func (s *simulation) execute(l *leader, action Action) {
	switch action := action.(type) {
	case Propose:
		if l == s.current() {
			s.propose(l, action.Command)
		}
	case Send:
		s.enqueue(request{leader: l, engine: action.Engine, order: &action.Order})
	case Void:
		l.failures[action.Engine] = Failure{Assignment: action.Order.Assignment, At: s.now}
		if l != s.current() {
			return
		}
		if result := s.apply(action.Command()).(state.VoidOrderResult); result.Open {
			voidRequest := action.Request(result.Fence)
			s.enqueue(request{leader: l, engine: action.Engine, void: &voidRequest})
		}
	case Query:
		s.enqueue(request{leader: l, engine: action.Engine})
	}
}

func (s *simulation) propose(l *leader, command state.Command) {
	result := s.apply(command)
	switch command.Kind {
	case state.CommandMachines:
		l.machines = command.Machines
	case state.CommandOpenOrder:
		if result.(state.OpenOrderResult).Code == state.OpenOrderOpened {
			s.counts["opened"]++
		}
	case state.CommandCloseOrder:
		if result.(state.CloseOrderResult).Closed {
			s.counts[fmt.Sprint("closed-", command.CloseOrder.Reason)]++
		}
	}
}

// maxRequests bounds the pending requests; the oldest are dropped.
const maxRequests = 64

func (s *simulation) enqueue(r request) {
	r.askedAt = s.now
	s.requests = append(s.requests, r)
	if len(s.requests) > maxRequests {
		s.requests = s.requests[1:]
	}
}

// deliver delivers a request to its engine and, unless loseAnswer, the reply to the
// leader. It checks that an engine accepts only its open order, whichever leader sent
// the order and however late it arrives.
func (s *simulation) deliver(t testFailer, r request, loseAnswer bool) {
	engine := s.engines[r.engine]
	engine.Step(s.now)
	if r.leader != s.current() && r.order != nil {
		s.counts["from-old-leader"]++
	}
	current := engine.State()
	refused := api.Fence{}
	switch {
	case r.order != nil && r.order.Assignment.Version == badVersion:
		refused = r.order.Fence
	case r.order != nil:
		s.checkAccepted(t, *r.order, engine.Order(s.now, *r.order), current.Fence)
	case r.void != nil:
		engine.Void(s.now, *r.void)
	}
	if loseAnswer {
		s.counts["answer-lost"]++
		return
	}
	previous := r.leader.observations[r.engine]
	if previous.State.Engine != "" && r.askedAt < previous.QueriedAt {
		return
	}
	if refused.IsZero() {
		refused = previous.RejectedFence
	}
	r.leader.observations[r.engine] = Observation{State: engine.State(), QueriedAt: r.askedAt, RejectedFence: refused}
}

// testFailer is the part of testing.T that reports a failed check.
type testFailer interface {
	Fatalf(format string, arguments ...any)
}

func (s *simulation) checkAccepted(t testFailer, order api.Order, reply engineapi.OrderReply, before api.Fence) {
	if reply.Code != engineapi.OrderAccepted || !before.Less(reply.State.Fence) {
		return
	}
	if !s.accepted[reply.State.Incarnation].Less(order.Fence) {
		t.Fatalf("%s accepted fence %v after fence %v in the same incarnation", order.Engine, order.Fence, s.accepted[reply.State.Incarnation])
	}
	s.accepted[reply.State.Incarnation] = order.Fence
	committed := s.machine.View().Engines[order.Engine].Status.OpenOrder
	if committed == nil || committed.Fence != order.Fence {
		t.Fatalf("%s accepted %v while %v is open", order.Engine, order, committed)
	}
}

// checkOrders checks that an engine that executes an order executes the one that is
// open for it.
func (s *simulation) checkOrders(t testFailer) {
	for name, engine := range s.engines {
		executing := engine.State().Order
		committed := s.machine.View().Engines[name].Status.OpenOrder
		if executing != nil && (committed == nil || committed.Fence != executing.Fence) {
			t.Fatalf("%s executes %v while %v is open", name, executing.Fence, committed)
		}
	}
}

func (s *simulation) crash(name string) {
	s.incarnation++
	s.engines[name].Crash(s.now, s.incarnation)
	s.counts["crashed"]++
}

func (s *simulation) advance(by time.Duration) {
	s.now += by
	for _, engine := range s.engines {
		engine.Step(s.now)
	}
}

// rewriteIntent changes the version that the intent requests.
func (s *simulation) rewriteIntent(version string) {
	intent := *s.machine.View().Intents["narrate"]
	intent.Spec.Version = version
	s.write(api.Object{Intent: &intent})
}

func (s *simulation) rewriteEngine(name string, change func(*api.Engine)) {
	engine := *s.machine.View().Engines[name]
	change(&engine)
	s.write(api.Object{Engine: &engine})
}

func (s *simulation) write(object api.Object) {
	transaction := &api.Transaction{
		OperationID: fmt.Sprintf("write-%d", s.index),
		Writes:      []api.Write{{Object: object}},
		AllowBroad:  true,
	}
	s.apply(state.Command{Kind: state.CommandTransaction, Transaction: transaction})
}

// plan returns decisions that assign the requested version to each engine in its fixed
// role.
func (s *simulation) plan() []planner.Decision {
	var decisions []planner.Decision
	intent := s.machine.View().Intents["narrate"]
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
func (s *simulation) runUntilConverged(t *rapid.T) {
	s.requests = nil
	s.rewriteIntent("final")
	for i := range engineCount {
		s.rewriteEngine(fmt.Sprintf("engine-%d", i), func(engine *api.Engine) {
			engine.Spec.Drain = false
			engine.Labels = api.Labels{"pool": "a"}
		})
	}
	s.platform = state.Machines{}
	const rounds = 1000
	for range rounds {
		s.advance(roundInterval)
		for name := range s.engines {
			s.enqueue(request{leader: s.current(), engine: name})
		}
		s.round(s.current(), s.plan())
		for _, r := range s.requests {
			s.deliver(t, r, false)
		}
		s.requests = nil
		s.checkOrders(t)
		if s.converged() {
			return
		}
	}
	t.Fatalf("engines did not converge to the plan: %+v", s.machine.View().Engines)
}

func (s *simulation) converged() bool {
	for _, decision := range s.plan() {
		status := s.machine.View().Engines[decision.Engine].Status
		actual := s.engines[decision.Engine].State()
		if status.OpenOrder != nil || !status.Assignment.Equal(decision.Assignment) || !actual.Assignment.Equal(decision.Assignment) {
			return false
		}
	}
	return true
}
