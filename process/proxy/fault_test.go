package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
)

// script defines how an engine handles its n-th run.
type script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, n int)

func dropConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// waitForDisconnect blocks until the proxy has disconnected, which net/http's server detects only
// after the request body has been read.
func waitForDisconnect(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the proxy may have disconnected already
	<-r.Context().Done()
}

// longTimeout is longer than any engine of these tests takes to start on a busy machine.
const longTimeout = 10 * time.Second

// Each fault occurs in the runs of both engines. The response to an ordinary and to an at-most-once
// request must tell whether the request ran, and the latter may run only once.
func TestStreamFaults(t *testing.T) {
	refuse := func(status int, code string) script {
		return func(e *fakeEngine, w http.ResponseWriter, _ *http.Request, _ int) { e.refuse(w, status, code) }
	}
	cases := []struct {
		name   string
		script script
		// response to an ordinary streaming request if both engines use the script
		status int
		ran    string
		whole  bool
		runs   int32 // total of both engines
		// run state and total runs of an at-most-once request
		atMostOnceRan  string
		atMostOnceRuns int32
		// hangs means that the engines never end their responses. Only then do the
		// proxy's short timeouts apply. Otherwise, on a busy machine, an attempt could
		// time out before the engine starts and counts the run.
		hangs bool
	}{
		{"refused while draining", refuse(503, "draining"), 503, "no", false, 2, "no", 2, false},
		{"refused with a full queue", refuse(503, "queue_full"), 503, "no", false, 2, "no", 2, false},
		{"refused as a bad request", refuse(400, "bad_request"), 400, "no", false, 1, "no", 1, false},
		{"connection dropped before the response header", func(_ *fakeEngine, w http.ResponseWriter, _ *http.Request, _ int) {
			dropConnection(w)
		}, 502, "unknown", false, 2, "unknown", 1, false},
		{"never responds", func(_ *fakeEngine, _ http.ResponseWriter, r *http.Request, _ int) {
			waitForDisconnect(r)
		}, 502, "unknown", false, 2, "unknown", 1, true},
		{"admits and sends no token", func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
			id, number := runOf(r)
			e.tokens(w, id, number, 0, 0)
			waitForDisconnect(r)
		}, 502, "yes", false, 2, "yes", 1, true},
		{"status 500 without admission header", func(_ *fakeEngine, w http.ResponseWriter, _ *http.Request, _ int) {
			w.WriteHeader(500)
		}, 502, "unknown", false, 2, "unknown", 1, false},
		{"responds to a different request", func(e *fakeEngine, w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set(engineapi.HeaderRequestID, "another")
			e.tokens(w, "another", 1, 0, 3)
		}, 502, "unknown", false, 2, "unknown", 1, false},
		{"streams events of a different request", func(e *fakeEngine, w http.ResponseWriter, _ *http.Request, _ int) {
			e.tokens(w, "another", 1, 0, 3)
		}, 502, "yes", false, 2, "yes", 1, false},
		{"streams events of a different attempt", func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
			id, _ := runOf(r)
			e.tokens(w, id, 99, 0, 3)
		}, 502, "yes", false, 2, "yes", 1, false},
		{"omits the first token", func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
			id, number := runOf(r)
			e.tokens(w, id, number, 1, 3)
		}, 502, "yes", false, 2, "yes", 1, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for _, atMostOnce := range []bool{false, true} {
				first, second := newFakeEngine(t, "e1", 11), newFakeEngine(t, "e2", 12)
				first.script, second.script = test.script, test.script
				config := fastConfig()
				config.Limits.Resumes = 1
				if !test.hangs {
					config.Timeouts.Head, config.Timeouts.FirstToken, config.Timeouts.Stall = longTimeout, longTimeout, longTimeout
				}
				f := startFleet(t, config, []*fakeEngine{first, second})
				headers := []string{HeaderClass, "cap"}
				wantRan, wantRuns := test.ran, test.runs
				if atMostOnce {
					headers = []string{HeaderClass, "briefing", HeaderIdempotencyKey, "k1"}
					wantRan, wantRuns = test.atMostOnceRan, test.atMostOnceRuns
				}
				answer := f.stream(headers...)
				must.Eq(t, wantRan, answer.runState())
				runs := func() int32 { return first.runs.Load() + second.runs.Load() }
				if test.hangs { // an engine may start and count the run after the attempt timed out
					must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return runs() >= wantRuns }), wait.Timeout(longTimeout)))
				}
				must.Eq(t, wantRuns, runs())
				if !atMostOnce {
					must.Eq(t, test.status, answer.status)
				}
				_, whole := answer.tokens()
				must.False(t, whole)
				must.Eq(t, wantRan == "no" && answer.status == 503, answer.header.Get("Retry-After") != "")
			}
		})
	}
}

func TestRefusedRequestIsRetriedOnAnotherEngine(t *testing.T) {
	first, second := newFakeEngine(t, "e1", 11), newFakeEngine(t, "e2", 12)
	first.script = func(e *fakeEngine, w http.ResponseWriter, _ *http.Request, _ int) {
		e.setPhase(api.PhaseDraining)
		w.Header().Set(engineapi.HeaderPhase, string(api.PhaseDraining))
		e.refuse(w, 503, "draining")
	}
	f := startFleet(t, fastConfig(), []*fakeEngine{first, second})
	for range 10 {
		answer := f.stream(HeaderClass, "briefing", HeaderIdempotencyKey, time.Now().String())
		words, whole := answer.tokens()
		must.True(t, whole)
		must.Eq(t, []string{"e2-0", "e2-1", "e2-2"}, words)
	}
	// The refusal carries the engine's phase, so the engine is called at most once.
	must.True(t, first.runs.Load() <= 1)
}

// dropAfter streams count tokens and drops the connection.
func dropAfter(count int) script {
	return func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
		id, number := runOf(r)
		e.tokens(w, id, number, 0, count)
		dropConnection(w)
	}
}

func TestInterruptedStreamIsResumed(t *testing.T) {
	for _, headers := range [][]string{{HeaderClass, "cap"}, {HeaderClass, "briefing", HeaderIdempotencyKey, "k1"}} {
		engine := newFakeEngine(t, "e1", 11)
		engine.script = dropAfter(2)
		engine.resume = func(e *fakeEngine, w http.ResponseWriter, _ *http.Request, request engineapi.ResumeRequest) {
			must.Eq(t, 2, request.Offset)
			must.Eq(t, 11, request.Incarnation)
			e.tokens(w, request.RequestID, request.Attempt, request.Offset, 3)
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}
		f := startFleet(t, fastConfig(), []*fakeEngine{engine})
		words, whole := f.stream(headers...).tokens()
		must.True(t, whole)
		must.Eq(t, []string{"e1-0", "e1-1", "e1-2"}, words)
		must.Eq(t, 1, engine.runs.Load())
	}
}

// The stream is interrupted and cannot be resumed. A caller that has received a
// token must get an error event, and no tokens of another engine.
func TestInterruptedStreamIsNotContinuedByAnotherEngine(t *testing.T) {
	first, second := newFakeEngine(t, "e1", 11), newFakeEngine(t, "e2", 12)
	first.script, second.script = dropAfter(1), dropAfter(1)
	f := startFleet(t, fastConfig(), []*fakeEngine{first, second})
	answer := f.stream(HeaderClass, "cap")
	must.Eq(t, http.StatusOK, answer.status)
	words, whole := answer.tokens()
	must.False(t, whole)
	must.Len(t, 1, words)
	must.StrContains(t, answer.body, "event: error\n")
	must.StrContains(t, answer.body, `"ran":"yes"`)
	must.Eq(t, 1, first.runs.Load()+second.runs.Load())
}

func TestBufferedRequestIsRetriedAfterDroppedStream(t *testing.T) {
	first, second := newFakeEngine(t, "e1", 11), newFakeEngine(t, "e2", 12)
	first.script = dropAfter(2)
	second.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
		e.answer(w, r, 0, 3)
	}
	f := startFleet(t, fastConfig(), []*fakeEngine{first, second})
	for first.runs.Load() == 0 {
		answer := f.do(http.MethodPost, engineapi.PathCompletions, bufferedBody, HeaderClass, "cap")
		must.Eq(t, http.StatusOK, answer.status)
		must.StrContains(t, answer.body, `"text":"e2-0 e2-1 e2-2 "`)
	}
}

func TestStalledStreamMarksEngineSuspect(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
		id, number := runOf(r)
		e.tokens(w, id, number, 0, 1)
		waitForDisconnect(r)
	}
	f := startFleet(t, fastConfig(), []*fakeEngine{engine})
	_, whole := f.stream(HeaderClass, "cap").tokens()
	must.False(t, whole)
	endpoint := (*f.proxy.lanes.find("narrator").endpoints.Load())["e1"]
	must.True(t, endpoint.isSuspect(f.proxy.clock()))
	eventually(t, func() bool { return engine.cancels.Load() > 0 })
}

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(holds), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
}

func TestCallerDisconnectCancelsRun(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
		id, number := runOf(r)
		e.tokens(w, id, number, 0, 1)
		waitForDisconnect(r)
	}
	config := fastConfig()
	config.Timeouts.Stall = time.Minute
	f := startFleet(t, config, []*fakeEngine{engine})
	ctx, disconnect := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+engineapi.PathCompletions, strings.NewReader(streamBody))
	must.NoError(t, err)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	must.NoError(t, err)
	_, err = response.Body.Read(make([]byte, 1))
	must.NoError(t, err)
	disconnect()
	_ = response.Body.Close()
	eventually(t, func() bool { return engine.cancels.Load() == 1 && f.proxy.inFlight.count() == 0 })
	must.Eq(t, 0, f.proxy.lanes.find("narrator").queue.Depth().InFlight)
}

// The caller stops reading until the connection's buffers are full. The write
// deadline must end the request, and the run on the engine must be cancelled.
func TestCallerStopsReading(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
		id, number := runOf(r)
		for i := 0; r.Context().Err() == nil; i += 100 {
			e.tokens(w, id, number, i, i+100)
		}
	}
	config := fastConfig()
	config.Timeouts.Write = 100 * time.Millisecond
	f := startFleet(t, config, []*fakeEngine{engine})
	request, err := http.NewRequest(http.MethodPost, f.url+engineapi.PathCompletions, strings.NewReader(streamBody))
	must.NoError(t, err)
	request.Header.Set(HeaderDeadline, "60000")
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	eventually(t, func() bool { return engine.cancels.Load() == 1 && f.proxy.inFlight.count() == 0 })
}

func TestDeadlineEndsRequest(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
		id, number := runOf(r)
		e.tokens(w, id, number, 0, 0)
		waitForDisconnect(r)
	}
	config := fastConfig()
	config.Timeouts.FirstToken = time.Minute
	f := startFleet(t, config, []*fakeEngine{engine})
	answer := f.stream(HeaderClass, "cap", HeaderDeadline, "300")
	must.Eq(t, http.StatusGatewayTimeout, answer.status)
	must.Eq(t, codeDeadlineExceeded, answer.code())
	must.Eq(t, "yes", answer.runState())
	eventually(t, func() bool { return engine.cancels.Load() == 1 })
}

func TestDisaggregatedPrefill(t *testing.T) {
	drain := func(e *fakeEngine, w http.ResponseWriter) {
		e.setPhase(api.PhaseDraining)
		w.Header().Set(engineapi.HeaderPhase, string(api.PhaseDraining))
		e.refuse(w, http.StatusServiceUnavailable, "draining")
	}
	crash := func(_ *fakeEngine, w http.ResponseWriter) { dropConnection(w) }
	breaks := func(_ *fakeEngine, w http.ResponseWriter) { http.Error(w, "broken", http.StatusInternalServerError) }
	// nil is a KV transfer that succeeds.
	for _, fails := range []func(*fakeEngine, http.ResponseWriter){nil, drain, crash, breaks} {
		prefill, decode := newFakeEngine(t, "e1", 11), newFakeEngine(t, "e2", 12)
		prefill.failKV = fails
		engines := []*fakeEngine{prefill, decode}
		f := startFleet(t, fastConfig(), engines)
		view := newView(engines, nil)
		view.Engines["e1"].Status.Assignment.Role = api.RolePrefill
		view.Engines["e2"].Status.Assignment.Role = api.RoleDecode
		view.Version.Revision = 2
		f.views.view.Store(view)
		answer := f.stream(HeaderClass, "briefing", HeaderIdempotencyKey, "k1")
		words, whole := answer.tokens()
		must.True(t, whole, must.Sprint(answer.status, answer.body))
		must.Eq(t, []string{"e2-0", "e2-1", "e2-2"}, words)
		must.Eq(t, 1, prefill.exports.Load())
		handle := decode.lastHeader.Load().Get(engineapi.HeaderKVHandle)
		must.Eq(t, fails == nil, handle == "h1")
		must.Eq(t, 0, prefill.runs.Load())
	}
}
