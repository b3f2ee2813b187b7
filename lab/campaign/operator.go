package campaign

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
)

const (
	operatorInterval = 700 * time.Millisecond
	operatorTimeout  = 1500 * time.Millisecond
	operatorRetry    = 200 * time.Millisecond
	intentName       = "narration"
	serviceName      = "narrator"
	tierLabel        = "tier"
)

// operators is automation that writes labels and selectors, two writers often
// with the same revision, and that sends again after a lost answer.
type operators struct {
	world  *world
	random *rand.Rand
	count  int
}

// operation is one transaction on its way; it is sent until it has an answer.
type operation struct {
	world   *world
	target  int
	write   api.Transaction
	sends   int
	result  *api.TransactionResult
	done    func(api.TransactionResult)
	pending uint64 // the send whose answer is awaited
}

func (w *world) submit(transaction api.Transaction, target int, done func(api.TransactionResult)) {
	op := &operation{world: w, target: target, write: transaction, done: done}
	w.oracle.submitted(op)
	op.send()
}

func (o *operation) send() {
	if o.result != nil {
		return
	}
	o.sends++
	o.pending++
	attempt := o.pending
	o.world.after(operatorTimeout, func() {
		if o.result == nil && o.pending == attempt {
			o.world.strike(strikeOperationResend)
		}
		o.retry(attempt)
	})
	target := o.world.members[o.target%len(o.world.members)]
	operator := o.world.operatorHost
	transaction := o.write
	o.world.network.send(operator, &target.process, func() {
		taken := target.propose(state.Command{Kind: state.CommandTransaction, Transaction: &transaction}, func(result any, known bool) {
			answer, ok := result.(api.TransactionResult)
			if known && ok {
				o.world.network.send(&target.process, operator, func() { o.finish(answer) })
			}
		})
		if !taken {
			o.world.network.send(&target.process, operator, func() { o.retry(attempt) })
		}
	})
}

// retry sends the same operation to the next member.
func (o *operation) retry(attempt uint64) {
	if o.result != nil || o.pending != attempt {
		return
	}
	o.pending++
	o.target++
	o.world.after(operatorRetry, o.send)
}

func (o *operation) finish(answer api.TransactionResult) {
	if o.result != nil {
		o.world.oracle.sameAnswer(o, answer)
		return
	}
	o.result = &answer
	o.world.oracle.operationAnswered(o)
	o.done(answer)
}

func (s *operators) start(end time.Duration) {
	s.world.after(operatorInterval/2+time.Duration(s.random.Int64N(int64(operatorInterval))), func() {
		if s.world.now >= end {
			return
		}
		s.act()
		s.start(end)
	})
}

// act makes one or two writes from what an operator last saw.
func (s *operators) act() {
	seen, found := s.read()
	if !found {
		return
	}
	switch s.random.IntN(4) {
	case 0:
		s.rollOut(seen)
	case 1:
		s.moveLabel(seen)
	default:
		s.race(seen)
	}
}

// read returns a member's view of the objects, as a read by the operator
// would; it may be behind, which the revision check must bear.
func (s *operators) read() (*member, bool) {
	m := s.world.members[s.random.IntN(len(s.world.members))]
	if !m.up || len(m.machine.View().Engines) == 0 || len(m.machine.View().Intents) == 0 {
		return nil, false
	}
	return m, true
}

func (s *operators) newOperation() string {
	s.count++
	return fmt.Sprintf("operation-%d", s.count)
}

func (s *operators) submit(object api.Object) {
	s.world.submit(api.Transaction{
		OperationID: s.newOperation(),
		Writes:      []api.Write{{Object: object}},
		AllowBroad:  true,
	}, s.random.IntN(len(s.world.members)), func(api.TransactionResult) {})
}

// rollOut changes the version that the intent asks for.
func (s *operators) rollOut(seen *member) {
	if s.random.IntN(4) != 0 {
		return // a roll-out takes every engine away for a while
	}
	intent := *seen.machine.View().Intents[intentName]
	intent.Spec.Version = fmt.Sprintf("v%d", 1+s.random.IntN(3))
	s.submit(api.Object{Intent: &intent})
}

// moveLabel moves an engine's label in two steps, so that for a moment no
// intent selects the engine.
func (s *operators) moveLabel(seen *member) {
	object := s.pickEngine(seen)
	object.Labels = api.Labels{tierLabel: "moving"}
	s.world.strike(strikeLabelMove)
	name := object.Name
	s.world.submit(api.Transaction{OperationID: s.newOperation(), Writes: []api.Write{{Object: api.Object{Engine: &object}}}, AllowBroad: true},
		s.random.IntN(len(s.world.members)), func(result api.TransactionResult) {
			if result.Code == api.OutcomeAccepted {
				s.moveBack(name, result.Revision)
			}
		})
}

func (s *operators) moveBack(name string, revision uint64) {
	s.world.after(time.Second, func() {
		engine := s.world.engineSpec(name)
		engine.Revision = revision
		engine.Labels = api.Labels{tierLabel: "fast"}
		s.world.submit(api.Transaction{OperationID: s.newOperation(), Writes: []api.Write{{Object: api.Object{Engine: &engine}}}, AllowBroad: true},
			s.random.IntN(len(s.world.members)), func(result api.TransactionResult) {
				if result.Code == api.OutcomeRevisionConflict && len(result.Conflicts) > 0 && result.Conflicts[0].Current != nil {
					s.moveBack(name, result.Conflicts[0].Current.Engine.Revision)
				}
			})
	})
}

// race lets two operators write the same object from the same revision.
func (s *operators) race(seen *member) {
	s.world.strike(strikeRace)
	object := s.pickEngine(seen)
	for writer := range 2 {
		copied := object
		copied.Labels = api.Labels{tierLabel: "fast", "owner": fmt.Sprintf("writer-%d-%d", s.count, writer)}
		s.submit(api.Object{Engine: &copied})
	}
}

func (s *operators) pickEngine(seen *member) api.Engine {
	host := s.world.engines[s.random.IntN(len(s.world.engines))]
	if engine := seen.machine.View().Engines[host.name]; engine != nil {
		return *engine
	}
	return s.world.engineSpec(host.name)
}

// objects are what the deployment starts with.
func (w *world) objects() []api.Write {
	writes := []api.Write{
		{Object: api.Object{Service: &api.Service{Metadata: api.Metadata{Name: serviceName}, Spec: api.ServiceSpec{Type: api.ServiceModel}}}},
		{Object: api.Object{Intent: &api.Intent{
			Metadata: api.Metadata{Name: intentName},
			Spec: api.IntentSpec{
				Engines: api.Selector{MatchExpressions: []api.Requirement{{Key: tierLabel, Operator: api.OperatorIn, Values: []string{"fast"}}}},
				Classes: api.Selector{All: true},
				Model:   modelName, Version: "v1",
				Roles:          []api.EngineRole{api.RoleMixed, api.RolePrefill, api.RoleDecode},
				MaxUnavailable: 1,
			},
		}}},
	}
	for _, host := range w.engines {
		engine := w.engineSpec(host.name)
		writes = append(writes, api.Write{Object: api.Object{Engine: &engine}})
	}
	return writes
}

func (w *world) engineSpec(name string) api.Engine {
	host := w.engineByName(name)
	return api.Engine{
		Metadata: api.Metadata{Name: name, Labels: api.Labels{tierLabel: "fast"}},
		Spec:     api.EngineSpec{Address: w.addressOf(name), Zone: host.zone, Service: serviceName},
	}
}
