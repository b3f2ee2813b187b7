package orders

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/surplus"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// These tests guard against taking the response to an earlier request or order for that to
// the current one. This happens if the engine sends a surplus response on a persistent
// connection after the next request was written. No call may return the response to
// another one; a call that receives a surplus response may fail. If an engine does not echo
// request IDs, its connections are not reused and every call succeeds.

// callsPerTest is the number of calls per test, enough for connections to be reused.
const callsPerTest = 12

// duplicatingEngine is an engine that repeats its previous response before each further one
// on a connection, and a client of it.
type duplicatingEngine struct {
	server *surplus.Server
	client *Client
	echoes bool
}

// runWithDuplicatingEngine runs a test with an engine that echoes request IDs and with one
// that does not. engine creates the handler of each.
func runWithDuplicatingEngine(t *testing.T, engine func() http.Handler, test func(t *testing.T, engine *duplicatingEngine)) {
	for name, echoes := range map[string]bool{"echoes": true, "does not echo": false} {
		t.Run(name, func(t *testing.T) {
			server, err := surplus.Start(maybeEchoing(engine(), echoes), surplus.Again)
			must.NoError(t, err)
			t.Cleanup(server.Close)
			client := NewClient(5 * time.Second)
			t.Cleanup(client.Close)
			test(t, &duplicatingEngine{server: server, client: client, echoes: echoes})
			must.Eq(t, echoes, server.Sent() > 0, must.Sprint("surplus responses are expected on reused connections only"))
		})
	}
}

func maybeEchoing(handler http.Handler, echoes bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if echoes {
			engineapi.EchoCall(w.Header(), r.Header)
		}
		handler.ServeHTTP(w, r)
	})
}

// succeeded reports whether a call succeeded. It may fail only if a surplus response was
// sent during it.
func (e *duplicatingEngine) succeeded(t *testing.T, sentBefore int, err error) bool {
	t.Helper()
	if err == nil {
		return true
	}
	must.ErrorIs(t, err, ErrNoResponse)
	must.Greater(t, sentBefore, e.server.Sent())
	return false
}

// restartingEngine returns an engine that is in another incarnation at each request.
func restartingEngine() http.Handler {
	var incarnation atomic.Uint64
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"engine":"narrator-1","incarnation":"%d","phase":"serving"}`, incarnation.Add(1))
	})
}

// checkIncarnations calls a restarting engine repeatedly. The engine serves one request at a
// time, so the incarnation in each response must be the number of its request.
func checkIncarnations(t *testing.T, ask func(ctx context.Context, engine *duplicatingEngine) (uint64, error)) {
	runWithDuplicatingEngine(t, restartingEngine, func(t *testing.T, engine *duplicatingEngine) {
		for number := range uint64(callsPerTest) {
			sent := engine.server.Sent()
			incarnation, err := ask(t.Context(), engine)
			if engine.succeeded(t, sent, err) {
				must.Eq(t, number+1, incarnation)
			}
		}
	})
}

func TestStateMatchesRequest(t *testing.T) {
	checkIncarnations(t, func(ctx context.Context, engine *duplicatingEngine) (uint64, error) {
		state, err := engine.client.State(ctx, engine.server.Address())
		return state.Incarnation, err
	})
}

func TestLoadMatchesRequest(t *testing.T) {
	checkIncarnations(t, func(ctx context.Context, engine *duplicatingEngine) (uint64, error) {
		load, err := engine.client.Load(ctx, engine.server.Address())
		return load.Incarnation, err
	})
}

// loadAndState returns an engine that serves load and state requests.
func loadAndState() http.Handler {
	engine := http.NewServeMux()
	engine.HandleFunc("GET "+engineapi.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"engine":"narrator-1","incarnation":"1","phase":"serving","running":3}`)
	})
	engine.HandleFunc("GET "+engineapi.PathState, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"engine":"narrator-1","incarnation":"1","phase":"serving","fence":{"term":4,"index":9}}`)
	})
	return engine
}

// A load report has the engine name, incarnation and phase of a state, but no fence and no
// assignment. Taken for a state, it would describe an engine that got no orders.
func TestLoadIsNotTakenForAState(t *testing.T) {
	runWithDuplicatingEngine(t, loadAndState, func(t *testing.T, engine *duplicatingEngine) {
		for range callsPerTest {
			sent := engine.server.Sent()
			load, err := engine.client.Load(t.Context(), engine.server.Address())
			if engine.succeeded(t, sent, err) {
				must.Eq(t, 3, load.Running)
			}
			sent = engine.server.Sent()
			state, err := engine.client.State(t.Context(), engine.server.Address())
			if engine.succeeded(t, sent, err) {
				must.Eq(t, api.Fence{Term: 4, Index: 9}, state.Fence)
			}
		}
	})
}

// orderAndVoid returns an engine that accepts orders and refuses voids.
func orderAndVoid() http.Handler {
	engine := http.NewServeMux()
	engine.HandleFunc("POST "+engineapi.PathOrders, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"code":"accepted","state":{"engine":"narrator-1"}}`)
	})
	engine.HandleFunc("POST "+engineapi.PathVoid, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		fmt.Fprint(w, `{"code":"stale_fence","state":{"engine":"narrator-1"}}`)
	})
	return engine
}

func TestOrderAndVoidGetOwnReplies(t *testing.T) {
	runWithDuplicatingEngine(t, orderAndVoid, func(t *testing.T, engine *duplicatingEngine) {
		for range callsPerTest {
			sent := engine.server.Sent()
			ordered, err := engine.client.Send(t.Context(), engine.server.Address(), api.Order{Engine: "narrator-1"})
			if engine.succeeded(t, sent, err) {
				must.Eq(t, engineapi.OrderAccepted, ordered.Code)
			}
			sent = engine.server.Sent()
			voided, err := engine.client.Void(t.Context(), engine.server.Address(), engineapi.VoidRequest{})
			if engine.succeeded(t, sent, err) {
				must.Eq(t, engineapi.OrderStaleFence, voided.Code)
			}
		}
	})
}
