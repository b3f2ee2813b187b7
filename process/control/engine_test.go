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

// engineSpeed makes the emulated engine's changes take tens of milliseconds.
const engineSpeed = 100

// testEngine is an emulated engine behind a server that can drop replies.
type testEngine struct {
	t              *testing.T
	name           string
	http           *httptest.Server
	current        atomic.Pointer[engine.Server]
	handler        atomic.Pointer[http.Handler]
	repliesToDrop  atomic.Int32 // replies to orders and voids still to be dropped
	foreignReplies atomic.Int32 // orders still to be answered by another engine at the address
	lock           sync.Mutex
	orders         []string // paths of the received orders and voids
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

// restart replaces the engine by a new incarnation, which has no fence.
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
	if e.foreignReplies.Add(-1) >= 0 {
		engineapi.EchoCall(w.Header(), r.Header) // without the echo the reply would fail for its connection, not for its engine name
		fmt.Fprint(w, `{"code":"invalid","state":{"engine":"another","incarnation":"9"}}`)
		return
	}
	if e.repliesToDrop.Add(-1) >= 0 {
		(*e.handler.Load()).ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler) // the order was carried out, but its reply is lost
	}
	(*e.handler.Load()).ServeHTTP(w, r)
}

// fleet is a running group with engines that are selected by one intent.
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

// setVersion changes the version of the intent.
func (f *fleet) setVersion(operation, version string) api.TransactionResult {
	f.t.Helper()
	var list operatorapi.ObjectList
	eventually(f.t, "the intent is accepted", func() bool {
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
		engine.repliesToDrop.Store(3)
	}
	must.Eq(t, api.OutcomeAccepted, f.setVersion("second", "2").Code)
	eventually(t, "a reply to an order is dropped", func() bool { return f.engines[0].repliesToDrop.Load() < 3 })
	f.engines[0].restart()
	f.awaitVersion("2")
	f.engines[1].restart()
	f.awaitVersion("2")
}

// Guards against voiding an order, and holding back its assignment, although its engine never
// received it. After an address is reassigned, another engine replies there. It rejects the order,
// which names a different engine, as invalid, and the rejection was attributed to the addressed
// engine. The order must be carried out once the engine itself receives it, and nothing may be
// voided.
func TestReplyFromAnotherEngineDoesNotAffectOrder(t *testing.T) {
	f := newFleet(t, 1)
	f.awaitVersion("1")
	const foreignReplyCount = 2
	before := f.unansweredOrders()
	f.engines[0].foreignReplies.Store(foreignReplyCount)
	must.Eq(t, api.OutcomeAccepted, f.setVersion("second", "2").Code)
	f.awaitVersion("2")
	must.Less(t, 0, f.engines[0].foreignReplies.Load(), must.Sprint("another engine has replied"))
	must.GreaterEq(t, before+foreignReplyCount, f.unansweredOrders(), must.Sprint("foreign replies count as unanswered"))
	f.engines[0].lock.Lock()
	defer f.engines[0].lock.Unlock()
	must.SliceNotContains(t, f.engines[0].orders, engineapi.PathVoid)
}

// unansweredOrders returns how many orders and voids of the members got no reply.
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
