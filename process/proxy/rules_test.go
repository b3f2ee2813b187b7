package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
)

// Unread bytes are left on an engine's connection in two ways. The next request must use another
// connection.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	var lock sync.Mutex
	var peers []string
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, n int) {
		lock.Lock()
		peers = append(peers, r.RemoteAddr)
		lock.Unlock()
		id, number := runOf(r)
		switch n {
		case 1: // the caller disconnects
			e.tokens(w, id, number, 0, 1)
			waitForDisconnect(r)
		case 2: // another response follows the terminal event
			e.answer(w, r, 0, 3)
			e.tokens(w, "another", 1, 0, 500)
		default:
			e.answer(w, r, 0, 3)
		}
	}
	f := startFleet(t, fastConfig(), []*fakeEngine{engine})
	f.open(HeaderClass, "cap")()
	eventually(t, func() bool { return f.proxy.inFlight.count() == 0 })
	f.stream(HeaderClass, "cap")
	for range 2 {
		words, whole := f.stream(HeaderClass, "cap").tokens()
		must.True(t, whole)
		must.Eq(t, []string{"e1-0", "e1-1", "e1-2"}, words)
	}
	must.Len(t, 4, peers)
	must.NotEq(t, peers[0], peers[1])
	must.NotEq(t, peers[1], peers[2])
	must.Eq(t, peers[2], peers[3]) // the connection is reused after a complete response
}

// The engine restarts between the interruption of a stream and its resume, so the
// resumed stream would belong to a different run.
func TestResumeAfterEngineRestartFails(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.script = dropAfter(2)
	engine.resume = func(_ *fakeEngine, w http.ResponseWriter, _ *http.Request, request engineapi.ResumeRequest) {
		w.Header().Set(engineapi.HeaderIncarnation, "12")
		restarted := &fakeEngine{name: "e1", incarnation: 12}
		restarted.tokens(w, request.RequestID, request.Attempt, request.Offset, 3)
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
	f := startFleet(t, fastConfig(), []*fakeEngine{engine})
	answer := f.stream(HeaderClass, "cap")
	words, whole := answer.tokens()
	must.False(t, whole)
	must.Eq(t, []string{"e1-0", "e1-1"}, words)
	must.StrContains(t, answer.body, `"ran":"yes"`)
}

// A stream that ends without a well-formed terminal event must not count as
// complete.
func TestStreamWithoutTerminalEvent(t *testing.T) {
	for _, ending := range []string{"", "data: [DONE", "data: [DONE]\n", "event: x\ndata: [DONE]\n\n"} {
		engine := newFakeEngine(t, "e1", 11)
		engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
			id, number := runOf(r)
			e.tokens(w, id, number, 0, 3)
			_, _ = io.WriteString(w, ending)
		}
		f := startFleet(t, fastConfig(), []*fakeEngine{engine})
		answer := f.stream(HeaderClass, "cap")
		_, whole := answer.tokens()
		must.False(t, whole, must.Sprintf("ending %q", ending))
		must.True(t, answer.status != http.StatusOK || strings.Contains(answer.body, "event: error\n"))
		must.StrContains(t, answer.body, `"ran":"yes"`)
	}
}

func TestTruncatedBackendResponseFails(t *testing.T) {
	backend := newFakeBackend(t)
	backend.script = func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half a frame")
		_ = http.NewResponseController(w).Flush()
		dropConnection(w)
	}
	f := startFleet(t, fastConfig(), nil, backend.server)
	answer := f.do(http.MethodGet, "/services/tiles/frame", "")
	must.Error(t, answer.err)
	must.Eq(t, 1, backend.runs.Load())
}

// Plain backends drop the connection for a POST and a GET. Only the GET may be
// retried.
func TestUnsafeMethodIsNotRetried(t *testing.T) {
	for method, runs := range map[string]int32{http.MethodPost: 1, http.MethodGet: 2} {
		first, second := newFakeBackend(t), newFakeBackend(t)
		fail := func(w http.ResponseWriter, _ *http.Request) { dropConnection(w) }
		first.script, second.script = fail, fail
		f := startFleet(t, fastConfig(), nil, first.server, second.server)
		answer := f.do(method, "/services/tiles/frame", "")
		must.Eq(t, http.StatusBadGateway, answer.status)
		must.Eq(t, "unknown", answer.runState())
		must.Eq(t, runs, first.runs.Load()+second.runs.Load())
	}
}

// In each case, one source alone reports that e1 takes no new work, while all others still report it
// as serving.
func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	changes := map[string]func(*fleet, *api.Engine){
		"the phase reported by the engine": func(f *fleet, _ *api.Engine) { f.engines[0].setPhase(api.PhaseDraining) },
		"the phase in the view":            func(_ *fleet, e *api.Engine) { e.Status.Phase = api.PhaseLeaving },
		"an open order":                    func(_ *fleet, e *api.Engine) { e.Status.OpenOrder = &api.Order{} },
		"a drain":                          func(_ *fleet, e *api.Engine) { e.Spec.Drain = true },
		"an unconfirmed incarnation":       func(_ *fleet, e *api.Engine) { e.Status.Incarnation = 10 },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			engines := []*fakeEngine{newFakeEngine(t, "e1", 11), newFakeEngine(t, "e2", 12)}
			f := startFleet(t, fastConfig(), engines)
			eventually(t, func() bool { return f.endpoint("narrator", "e1").reported().hasReported })
			changed := newView(engines, nil)
			changed.Version.Revision = 2
			change(f, changed.Engines["e1"])
			f.views.view.Store(changed)
			eventually(t, func() bool {
				s := f.proxy.viewState()
				return !f.endpoint("narrator", "e1").admits(&s, s.catalog.view.Engines["e1"])
			})
			for range 8 {
				_, whole := f.stream(HeaderClass, "cap").tokens()
				must.True(t, whole)
			}
			must.Eq(t, 0, engines[0].runs.Load())
		})
	}
}

func (f *fleet) endpoint(service, name string) *endpoint {
	f.proxy.viewState() // applies the current view
	return (*f.proxy.lanes.find(service).endpoints.Load())[name]
}

// A backend is reported as leaving by a header of its own responses, while the
// platform's list lags, and by the platform's list.
func TestLeavingBackendGetsNoNewRequests(t *testing.T) {
	leaving, staying := newFakeBackend(t), newFakeBackend(t)
	leaving.script = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engineapi.HeaderBackendState, backendLeaving)
	}
	config := fastConfig()
	config.Intervals.Load = time.Minute // only responses report the state
	f := startFleet(t, config, nil, leaving.server, staying.server)
	eventually(t, func() bool { return f.endpoint("tiles", "tile-0").reported().hasReported }) // the only poll
	for range 20 {
		must.Eq(t, http.StatusOK, f.do(http.MethodGet, "/services/tiles/frame", "").status)
	}
	must.True(t, leaving.runs.Load() <= 1)
	listed := newView(nil, nil)
	listed.Services["tiles"] = f.proxy.viewState().catalog.view.Services["tiles"]
	listed.Services["tiles"].Status.Leaving = []string{"tile-1"}
	listed.Version.Revision = 2
	f.views.view.Store(listed)
	before := staying.runs.Load()
	f.do(http.MethodGet, "/services/tiles/frame", "")
	must.Eq(t, before, staying.runs.Load())
}

// With an expired view lease, model requests are refused as not run while requests to plain backends
// are still served, according to the setting for each. With "serve", only endpoints that have
// reported since the expiry get requests.
func TestExpiredViewLease(t *testing.T) {
	for _, policy := range []LossPolicy{LossRefuse, LossServe} {
		for _, polled := range []bool{false, true} {
			t.Run(fmt.Sprint(policy, polled), func(t *testing.T) {
				engine, backend := newFakeEngine(t, "e1", 11), newFakeBackend(t)
				config := fastConfig()
				config.OnControlLoss = ControlLoss{Model: policy, Backend: LossServe}
				if !polled {
					config.Intervals.Load = time.Minute
				}
				f := startFleet(t, config, []*fakeEngine{engine}, backend.server)
				eventually(t, func() bool {
					return f.endpoint("narrator", "e1").reported().hasReported && f.endpoint("tiles", "tile-0").reported().hasReported
				})
				f.views.invalid.Store(true)
				frame := func() int { return f.do(http.MethodGet, "/services/tiles/frame", "").status }
				if polled {
					eventually(t, func() bool { return frame() == http.StatusOK })
				} else {
					must.Eq(t, http.StatusServiceUnavailable, frame())
				}
				if policy == LossServe && polled {
					eventually(t, func() bool { return f.stream(HeaderClass, "cap").status == http.StatusOK })
					return
				}
				answer := f.stream(HeaderClass, "cap")
				must.Eq(t, http.StatusServiceUnavailable, answer.status)
				must.Eq(t, "no", answer.runState())
				must.NotEq(t, "", answer.header.Get("Retry-After"))
				must.Eq(t, 0, engine.runs.Load())
			})
		}
	}
}

// A planned stop begins with a stream in flight and a caller on a kept-alive connection. The stream
// must complete, and the caller must learn of the stop from a response.
func TestPlannedStop(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, n int) {
		id, number := runOf(r)
		if n == 1 {
			e.tokens(w, id, number, 0, 1)
			<-hold
			e.answer(w, r, 1, 3)
			return
		}
		e.answer(w, r, 0, 3)
	}
	config := fastConfig()
	config.Timeouts.Stall = time.Minute
	config.DrainNotice = 200 * time.Millisecond
	f := startFleet(t, config, []*fakeEngine{engine})
	t.Cleanup(release) // runs before the proxy's cleanup, which waits for the run
	streamed := make(chan *reply, 1)
	go func() { streamed <- f.stream(HeaderClass, "cap", HeaderDeadline, "60000") }()
	eventually(t, func() bool { return engine.runs.Load() == 1 })
	caller := &http.Client{Transport: &http.Transport{}}
	models := func() bool {
		response, err := caller.Get(f.url + engineapi.PathModels)
		must.NoError(t, err)
		_ = response.Body.Close()
		must.Eq(t, http.StatusOK, response.StatusCode)
		return response.Close
	}
	must.False(t, models())
	f.stop()
	eventually(t, f.proxy.stopping.Load)
	must.True(t, models()) // a response that asks to close the connection
	ready, err := http.Get(f.admin + PathReady)
	must.NoError(t, err)
	_ = ready.Body.Close()
	must.Eq(t, http.StatusServiceUnavailable, ready.StatusCode)
	eventually(t, func() bool {
		response, err := caller.Get(f.url + engineapi.PathModels)
		if err == nil {
			_ = response.Body.Close()
		}
		return err != nil // no more connections are accepted
	})
	must.Eq(t, 1, f.proxy.inFlight.count())
	release()
	words, whole := (<-streamed).tokens()
	must.True(t, whole)
	must.Len(t, 3, words)
	must.NoError(t, <-f.done)
	http.DefaultClient.CloseIdleConnections()
	caller.CloseIdleConnections()
}

// In a planned stop the proxy still accepts requests for a while. A request whose deadline is after
// the drain limit must be refused at once and reach no engine: it could be interrupted on the engine
// at the end of the stop.
func TestRequestBeyondDrainLimitIsRefused(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) { e.answer(w, r, 0, 3) }
	config := fastConfig()
	config.DrainNotice, config.DrainLimit = 400*time.Millisecond, 400*time.Millisecond
	f := startFleet(t, config, []*fakeEngine{engine})
	must.Eq(t, http.StatusOK, f.stream(HeaderClass, "cap", HeaderDeadline, "60000").status)
	f.stop()
	eventually(t, f.proxy.stopping.Load)
	late := f.stream(HeaderClass, "cap", HeaderDeadline, "60000")
	must.Eq(t, http.StatusServiceUnavailable, late.status)
	must.Eq(t, codeStopping, late.code())
	must.Eq(t, 1, engine.runs.Load())
	must.Eq(t, http.StatusOK, f.stream(HeaderClass, "cap", HeaderDeadline, "200").status, must.Sprint("the deadline is before the end of the planned stop"))
	must.NoError(t, <-f.done)
	http.DefaultClient.CloseIdleConnections()
}
