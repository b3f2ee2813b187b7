package control

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/lab/engine"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// engineSpeed makes the stand-in's changes take tens of milliseconds.
const engineSpeed = 100

// testEngine is a stand-in engine behind a server that can lose answers.
type testEngine struct {
	t       *testing.T
	name    string
	http    *httptest.Server
	current atomic.Pointer[engine.Server]
	handler atomic.Pointer[http.Handler]
	losing  atomic.Int32 // how many answers to orders and voids are still to be lost
	foreign atomic.Int32 // how many orders another engine at the address is still to answer
	lock    sync.Mutex
	orders  []string // paths of the orders and voids that arrived
}

func newTestEngine(t *testing.T, name string) *testEngine {
	e := &testEngine{t: t, name: name}
	e.restart()
	e.http = httptest.NewServer(http.HandlerFunc(e.serve))
	t.Cleanup(func() {
		e.http.Close()
		must.NoError(t, e.current.Load().Close())
	})
	return e
}

// restart replaces the engine by a new incarnation without its fence.
func (e *testEngine) restart() {
	config := enginemodel.DefaultConfig(e.name, 0)
	config.Speed = engineSpeed
	started, err := engine.NewServer(engine.Config{Model: config})
	must.NoError(e.t, err)
	handler := started.Handler()
	e.handler.Store(&handler)
	if old := e.current.Swap(started); old != nil {
		must.NoError(e.t, old.Close())
	}
}

func (e *testEngine) address() string { return strings.TrimPrefix(e.http.URL, "http://") }

func (e *testEngine) serve(w http.ResponseWriter, r *http.Request) {
	ordering := r.URL.Path == engineapi.PathOrders || r.URL.Path == engineapi.PathVoid
	if !ordering {
		(*e.handler.Load()).ServeHTTP(w, r)
		return
	}
	e.lock.Lock()
	e.orders = append(e.orders, r.URL.Path)
	e.lock.Unlock()
	if e.foreign.Add(-1) >= 0 {
		engineapi.EchoCall(w.Header(), r.Header) // else its connection is at fault, not its name
		fmt.Fprint(w, `{"code":"invalid","state":{"engine":"another","incarnation":"9"}}`)
		return
	}
	if e.losing.Add(-1) >= 0 {
		(*e.handler.Load()).ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler) // the order was carried out, its answer is lost
	}
	(*e.handler.Load()).ServeHTTP(w, r)
}

// fleet is a running group with engines that one intent selects.
type fleet struct {
	*cluster
	engines []*testEngine
}

func newFleet(t *testing.T, engines int) *fleet {
	f := &fleet{cluster: newCluster(t, 3, nil)}
	var writes []api.Write
	for i := range engines {
		started := newTestEngine(t, fmt.Sprintf("engine-%d", i))
		f.engines = append(f.engines, started)
		writes = append(writes, api.Write{Object: engineObject(started.name, started.address())})
	}
	f.start(0, 1, 2)
	f.leader()
	writes = append(narratorObjects(), writes...)
	must.Eq(t, api.OutcomeAccepted, f.transact(api.Transaction{OperationID: "fleet", Writes: writes, AllowBroad: true}).Code)
	return f
}

// awaitVersion waits until every engine serves the version and no order is open.
func (f *fleet) awaitVersion(version string) {
	f.t.Helper()
	eventually(f.t, "all engines serve version "+version, func() bool {
		status, ok := f.status()
		if !ok || len(status.Engines) != len(f.engines) {
			return false
		}
		for _, engine := range status.Engines {
			if engine.Assignment.Version != version || engine.Phase != api.PhaseServing || engine.Target != nil {
				return false
			}
		}
		return true
	})
}

// setVersion writes another version into the intent.
func (f *fleet) setVersion(operation, version string) api.TransactionResult {
	f.t.Helper()
	var list operatorapi.ObjectList
	eventually(f.t, "the intent", func() bool {
		for i := range f.running {
			if f.call(i, http.MethodGet, operatorapi.PathObjects+"/Intent/narrate", nil, &list) == http.StatusOK {
				return true
			}
		}
		return false
	})
	intent := list.Objects[0].Intent
	intent.Spec.Version = version
	write := api.Write{Object: api.Object{Intent: intent}}
	return f.transact(api.Transaction{OperationID: operation, Writes: []api.Write{write}, AllowBroad: true})
}

func TestOrdersReachEngines(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitVersion("1")
	must.Eq(t, api.OutcomeAccepted, f.setVersion("second", "2").Code)
	f.awaitVersion("2")
}

func TestOrdersSurviveLostAnswersAndCrashes(t *testing.T) {
	f := newFleet(t, 2)
	f.awaitVersion("1")
	for _, engine := range f.engines {
		engine.losing.Store(3)
	}
	must.Eq(t, api.OutcomeAccepted, f.setVersion("second", "2").Code)
	eventually(t, "an order with a lost answer", func() bool { return f.engines[0].losing.Load() < 3 })
	f.engines[0].restart()
	f.awaitVersion("2")
	f.engines[1].restart()
	f.awaitVersion("2")
}

// Seen: an order is voided, and its assignment held back, though its engine never saw
// it. It comes about where another engine answers at the address, as after a move: it
// calls an order in another name invalid, and that is taken for the engine's own word.
// Proof: the order is carried out once the engine itself gets it, and nothing is voided.
func TestReplyFromAnotherEngineDoesNotAffectOrder(t *testing.T) {
	f := newFleet(t, 1)
	f.awaitVersion("1")
	const foreignAnswers = 2
	before := f.unansweredOrders()
	f.engines[0].foreign.Store(foreignAnswers)
	must.Eq(t, api.OutcomeAccepted, f.setVersion("second", "2").Code)
	f.awaitVersion("2")
	must.Less(t, 0, f.engines[0].foreign.Load(), must.Sprint("another engine has answered"))
	must.GreaterEq(t, before+foreignAnswers, f.unansweredOrders(), must.Sprint("its answers are none"))
	f.engines[0].lock.Lock()
	defer f.engines[0].lock.Unlock()
	must.SliceNotContains(t, f.engines[0].orders, engineapi.PathVoid)
}

// unansweredOrders returns how many orders and voids brought the members no answer.
func (f *fleet) unansweredOrders() float64 {
	total := 0.0
	for _, running := range f.running {
		families, err := running.member.metrics.registry.Gather()
		must.NoError(f.t, err)
		for _, family := range families {
			if family.GetName() == metricsNamespace+"_orders_unanswered_total" {
				total += family.GetMetric()[0].GetCounter().GetValue()
			}
		}
	}
	return total
}

func TestOrdersSurviveLeaderChange(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitVersion("1")
	must.Eq(t, api.OutcomeAccepted, f.setVersion("second", "2").Code)
	must.NoError(t, f.stop(f.leader()))
	f.awaitVersion("2")
}
