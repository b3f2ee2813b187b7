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

// TestConnectionWithUnreadBytesIsNotUsedAgain leaves bytes on an engine's
// connection in two ways: the next request gets another connection.
func TestConnectionWithUnreadBytesIsNotUsedAgain(t *testing.T) {
	var lock sync.Mutex
	var peers []string
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, n int) {
		lock.Lock()
		peers = append(peers, r.RemoteAddr)
		lock.Unlock()
		id, number := runOf(r)
		switch n {
		case 1: // its caller hangs up
			e.tokens(w, id, number, 0, 1)
			hang(r)
		case 2: // another answer follows the terminal event
			e.answer(w, r, 0, 3)
			e.tokens(w, "another", 1, 0, 500)
		default:
			e.answer(w, r, 0, 3)
		}
	}
	f := start(t, quick(), []*fakeEngine{engine})
	f.open(HeaderClass, "cap")()
	eventually(t, func() bool { return f.proxy.running.count() == 0 })
	f.stream(HeaderClass, "cap")
	for range 2 {
		words, whole := f.stream(HeaderClass, "cap").words()
		must.True(t, whole)
		must.Eq(t, []string{"e1-0", "e1-1", "e1-2"}, words)
	}
	must.Len(t, 4, peers)
	must.NotEq(t, peers[0], peers[1])
	must.NotEq(t, peers[1], peers[2])
	must.Eq(t, peers[2], peers[3]) // after a whole answer it is used again
}

// TestResumeInAnotherIncarnation lets the engine start anew between cut and
// resume: what it would send is another run's.
func TestResumeInAnotherIncarnation(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.script = cutAfter(2)
	engine.resume = func(_ *fakeEngine, w http.ResponseWriter, _ *http.Request, request engineapi.ResumeRequest) {
		w.Header().Set(engineapi.HeaderIncarnation, "12")
		restarted := &fakeEngine{name: "e1", incarnation: 12}
		restarted.tokens(w, request.RequestID, request.Attempt, request.Offset, 3)
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
	f := start(t, quick(), []*fakeEngine{engine})
	answer := f.stream(HeaderClass, "cap")
	words, whole := answer.words()
	must.False(t, whole)
	must.Eq(t, []string{"e1-0", "e1-1"}, words)
	must.StrContains(t, answer.body, `"ran":"yes"`)
}

// TestStreamWithoutTerminalEvent ends in every way but the right one.
func TestStreamWithoutTerminalEvent(t *testing.T) {
	for _, ending := range []string{"", "data: [DONE", "data: [DONE]\n", "event: x\ndata: [DONE]\n\n"} {
		engine := newFakeEngine(t, "e1", 11)
		engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
			id, number := runOf(r)
			e.tokens(w, id, number, 0, 3)
			_, _ = io.WriteString(w, ending)
		}
		f := start(t, quick(), []*fakeEngine{engine})
		answer := f.stream(HeaderClass, "cap")
		_, whole := answer.words()
		must.False(t, whole, must.Sprintf("ending %q", ending))
		must.True(t, answer.status != http.StatusOK || strings.Contains(answer.body, "event: error\n"))
		must.StrContains(t, answer.body, `"ran":"yes"`)
	}
}

func TestCutBackEndAnswerIsNotWhole(t *testing.T) {
	backend := newFakeBackend(t)
	backend.script = func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half a frame")
		_ = http.NewResponseController(w).Flush()
		drop(w)
	}
	f := start(t, quick(), nil, backend.server)
	answer := f.do(http.MethodGet, "/services/tiles/frame", "")
	must.Error(t, answer.err)
	must.Eq(t, 1, backend.runs.Load())
}

// TestUnsafeMethodIsNotRepeated drops a POST and a GET to plain back ends.
func TestUnsafeMethodIsNotRepeated(t *testing.T) {
	for method, runs := range map[string]int32{http.MethodPost: 1, http.MethodGet: 2} {
		first, second := newFakeBackend(t), newFakeBackend(t)
		fail := func(w http.ResponseWriter, _ *http.Request) { drop(w) }
		first.script, second.script = fail, fail
		f := start(t, quick(), nil, first.server, second.server)
		answer := f.do(method, "/services/tiles/frame", "")
		must.Eq(t, http.StatusBadGateway, answer.status)
		must.Eq(t, "unknown", answer.ran())
		must.Eq(t, runs, first.runs.Load()+second.runs.Load())
	}
}

// TestLeavingEngineGetsNothingNew tells that e1 leaves by one source at a time
// while all others still say that it serves.
func TestLeavingEngineGetsNothingNew(t *testing.T) {
	changes := map[string]func(*fleet, *api.Engine){
		"the engine's own word":      func(f *fleet, _ *api.Engine) { f.engines[0].setPhase(api.PhaseDraining) },
		"the view's phase":           func(_ *fleet, e *api.Engine) { e.Status.Phase = api.PhaseLeaving },
		"an open order":              func(_ *fleet, e *api.Engine) { e.Status.OpenOrder = &api.Order{} },
		"a drain":                    func(_ *fleet, e *api.Engine) { e.Spec.Drain = true },
		"an unconfirmed incarnation": func(_ *fleet, e *api.Engine) { e.Status.Incarnation = 10 },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			engines := []*fakeEngine{newFakeEngine(t, "e1", 11), newFakeEngine(t, "e2", 12)}
			f := start(t, quick(), engines)
			eventually(t, func() bool { return f.endpoint("narrator", "e1").word().heard })
			changed := newView(engines, nil)
			changed.Version.Revision = 2
			change(f, changed.Engines["e1"])
			f.views.view.Store(changed)
			eventually(t, func() bool {
				s := f.proxy.standing()
				return !f.endpoint("narrator", "e1").admits(&s, s.catalog.view.Engines["e1"])
			})
			for range 8 {
				_, whole := f.stream(HeaderClass, "cap").words()
				must.True(t, whole)
			}
			must.Eq(t, 0, engines[0].runs.Load())
		})
	}
}

func (f *fleet) endpoint(service, name string) *endpoint {
	f.proxy.standing() // takes the view in
	return (*f.proxy.lanes.find(service).endpoints.Load())[name]
}

// TestLeavingBackEndGetsNothingNew: by the platform's list, and by its own word
// on an answer while the list lags.
func TestLeavingBackEndGetsNothingNew(t *testing.T) {
	leaving, staying := newFakeBackend(t), newFakeBackend(t)
	leaving.script = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engineapi.HeaderBackendState, backendLeaving)
	}
	config := quick()
	config.Intervals.Load = time.Minute // only answers tell
	f := start(t, config, nil, leaving.server, staying.server)
	eventually(t, func() bool { return f.endpoint("tiles", "tile-0").word().heard }) // the only poll
	for range 20 {
		must.Eq(t, http.StatusOK, f.do(http.MethodGet, "/services/tiles/frame", "").status)
	}
	must.True(t, leaving.runs.Load() <= 1)
	listed := newView(nil, nil)
	listed.Services["tiles"] = f.proxy.standing().catalog.view.Services["tiles"]
	listed.Services["tiles"].Status.Leaving = []string{"tile-1"}
	listed.Version.Revision = 2
	f.views.view.Store(listed)
	before := staying.runs.Load()
	f.do(http.MethodGet, "/services/tiles/frame", "")
	must.Eq(t, before, staying.runs.Load())
}

// TestLapsedLease: model work is refused as not run while frames go on, each by
// its own setting; with "serve" only to those who spoke since the lapse.
func TestLapsedLease(t *testing.T) {
	for _, policy := range []LossPolicy{LossRefuse, LossServe} {
		for _, polled := range []bool{false, true} {
			t.Run(fmt.Sprint(policy, polled), func(t *testing.T) {
				engine, backend := newFakeEngine(t, "e1", 11), newFakeBackend(t)
				config := quick()
				config.OnControlLoss = ControlLoss{Model: policy, Backend: LossServe}
				if !polled {
					config.Intervals.Load = time.Minute
				}
				f := start(t, config, []*fakeEngine{engine}, backend.server)
				eventually(t, func() bool {
					return f.endpoint("narrator", "e1").word().heard && f.endpoint("tiles", "tile-0").word().heard
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
				must.Eq(t, "no", answer.ran())
				must.NotEq(t, "", answer.header.Get("Retry-After"))
				must.Eq(t, 0, engine.runs.Load())
			})
		}
	}
}

// TestPlannedStop stops a proxy with a stream in flight and a kept-alive
// caller: nothing is cut, and the caller learns of it with an answer.
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
	config := quick()
	config.Timeouts.Stall = time.Minute
	config.DrainNotice = 200 * time.Millisecond
	f := start(t, config, []*fakeEngine{engine})
	t.Cleanup(release) // before the proxy is waited for
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
	must.True(t, models()) // answered, and asked to close the connection
	ready, err := http.Get(f.admin + PathReady)
	must.NoError(t, err)
	_ = ready.Body.Close()
	must.Eq(t, http.StatusServiceUnavailable, ready.StatusCode)
	eventually(t, func() bool {
		response, err := caller.Get(f.url + engineapi.PathModels)
		if err == nil {
			_ = response.Body.Close()
		}
		return err != nil // no more is accepted
	})
	must.Eq(t, 1, f.proxy.running.count())
	release()
	words, whole := (<-streamed).words()
	must.True(t, whole)
	must.Len(t, 3, words)
	must.NoError(t, <-f.done)
	http.DefaultClient.CloseIdleConnections()
	caller.CloseIdleConnections()
}

// Seen by reading, of the same class as a stream that a routed proxy's stop has cut: what was taken while a
// stopping proxy still accepts, and lasts longer than it waits for, was cut at the end.
// Proof: a request that may last longer is to reach no engine and be told so at once; it ran before.
func TestWhatAPlannedStopWouldCutIsRefusedAtOnce(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) { e.answer(w, r, 0, 3) }
	config := quick()
	config.DrainNotice, config.DrainLimit = 400*time.Millisecond, 400*time.Millisecond
	f := start(t, config, []*fakeEngine{engine})
	must.Eq(t, http.StatusOK, f.stream(HeaderClass, "cap", HeaderDeadline, "60000").status)
	f.stop()
	eventually(t, f.proxy.stopping.Load)
	late := f.stream(HeaderClass, "cap", HeaderDeadline, "60000")
	must.Eq(t, http.StatusServiceUnavailable, late.status)
	must.Eq(t, codeStopping, late.code())
	must.Eq(t, 1, engine.runs.Load())
	must.Eq(t, http.StatusOK, f.stream(HeaderClass, "cap", HeaderDeadline, "200").status, must.Sprint("over in time, however long it takes"))
	must.NoError(t, <-f.done)
	http.DefaultClient.CloseIdleConnections()
}
