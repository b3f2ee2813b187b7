package proxy

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
)

// strayResponder makes a server send stray responses: for a request on a connection that has served
// another one, the server first sends a response that belongs to no request, and then the real one.
// The stray response is sent after the proxy took the connection from its pool, so a check of idle
// connections cannot detect it.
type strayResponder struct {
	// answer returns the bytes of the stray response, or "" for none.
	answer func(r *http.Request) string
	// observe is called for each request if not nil; its result is ignored.
	observe func(r *http.Request) string
	sent    atomic.Int32
}

// connKey is the context key of a request's connection.
type connKey struct{}

// countedConn is a server's connection that counts its requests.
type countedConn struct {
	net.Conn
	requests atomic.Int32
}

// serve starts a server that echoes the identity of each request and sends stray
// responses.
func (s *strayResponder) serve(handler http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.observe != nil {
			s.observe(r)
		}
		s.sendStray(r)
		engineapi.EchoCall(w.Header(), r.Header)
		handler.ServeHTTP(w, r)
	}))
	server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, &countedConn{Conn: conn})
	}
	server.Start()
	return server
}

// sendStray sends the stray response ahead of the real one.
func (s *strayResponder) sendStray(r *http.Request) {
	conn := r.Context().Value(connKey{}).(*countedConn)
	if conn.requests.Add(1) == 1 || s.answer == nil {
		return
	}
	if stray := s.answer(r); stray != "" {
		_, _ = io.WriteString(conn, stray) // the proxy may have closed the connection
		s.sent.Add(1)
	}
}

// unusedAttempt is an attempt number that no test reaches.
const unusedAttempt = 99

// strayIdentities has functions that return the identity headers of a stray
// response to a request.
var strayIdentities = map[string]func(r *http.Request) string{
	"different request": func(*http.Request) string {
		return identityLines("another", 1)
	},
	"different attempt": func(r *http.Request) string {
		return identityLines(r.Header.Get(engineapi.HeaderRequestID), unusedAttempt)
	},
	"no attempt": func(r *http.Request) string {
		return engineapi.HeaderRequestID + ": " + r.Header.Get(engineapi.HeaderRequestID) + "\r\n"
	},
	"no identity": func(*http.Request) string { return "" },
}

func identityLines(id string, number int) string {
	return engineapi.HeaderRequestID + ": " + id + "\r\n" + engineapi.HeaderAttempt + ": " + strconv.Itoa(number) + "\r\n"
}

// rawResponse returns the bytes of an HTTP response.
func rawResponse(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

const (
	admittedLine = engineapi.HeaderAdmitted + ": yes\r\n"
	refusedLine  = engineapi.HeaderAdmitted + ": no\r\n"
	strayBody    = "body of a stray response"
)

// strayTestRequests is the number of requests that a test sends, large enough for
// idle connections to be reused.
const strayTestRequests = 6

// forStrayIdentities runs a test for each identity that a stray response can have.
func forStrayIdentities(t *testing.T, test func(t *testing.T, identity func(r *http.Request) string)) {
	for name, identity := range strayIdentities {
		t.Run(name, func(t *testing.T) { test(t, identity) })
	}
}

// onRequestPaths limits answer to model and backend requests: there are no stray
// responses to polls and cancellations.
func onRequestPaths(answer func(r *http.Request) string) func(r *http.Request) string {
	return func(r *http.Request) string {
		switch r.URL.Path {
		case engineapi.PathLoad, engineapi.PathCacheEvents, engineapi.PathCancel:
			return ""
		}
		return answer(r)
	}
}

// A backend sends a stray response on a kept-alive connection. Whatever identity it has, and also if
// it has none, no caller may receive it: it can be the response to another caller's request. The
// proxy must compare both the request ID and the attempt.
func TestStrayResponseReachesNoCaller(t *testing.T) {
	forStrayIdentities(t, func(t *testing.T, identity func(r *http.Request) string) {
		first, second := newFakeBackend(t), newFakeBackend(t)
		first.stray.answer = onRequestPaths(func(r *http.Request) string {
			return rawResponse(http.StatusOK, identity(r)+admittedLine, strayBody)
		})
		f := startFleet(t, fastConfig(), nil, first.server, second.server)
		for range 4 * strayTestRequests {
			answer := f.do(http.MethodGet, "/services/tiles/frame", "")
			// The request fails with 502 once the retry budget is used up.
			must.True(t, answer.status == http.StatusOK || answer.status == http.StatusBadGateway)
			must.StrNotContains(t, answer.body, strayBody)
			for _, endpoint := range *f.proxy.lanes.find("tiles").endpoints.Load() {
				must.False(t, endpoint.isSuspect(f.proxy.clock()), must.Sprint("the endpoint is reachable"))
			}
		}
		must.Positive(t, first.stray.sent.Load())
	})
}

// runCounts counts the runs of each request by name.
type runCounts struct {
	lock sync.Mutex
	runs map[string]int
}

func (c *runCounts) add(name string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.runs == nil {
		c.runs = map[string]int{}
	}
	c.runs[name]++
}

// check compares the run states reported to callers with the counted runs. The
// server must be closed before, since a run may start after the stray response
// has ended its attempt.
func (c *runCounts) check(t *testing.T, reported map[string]string) {
	t.Helper()
	c.lock.Lock()
	defer c.lock.Unlock()
	for name, ran := range reported {
		must.LessEq(t, 1, c.runs[name])
		if ran == "no" {
			must.Eq(t, 0, c.runs[name])
		}
	}
}

// A refusal of another request arrives on a kept-alive connection. It must not be taken as proof that
// this request did not run before its ID is checked, or an at-most-once request could run on two
// backends. Each request may run at most once, and none that ran may be reported as not run.
func TestStrayBackendRefusalIsNotTrusted(t *testing.T) {
	forStrayIdentities(t, func(t *testing.T, identity func(r *http.Request) string) {
		first, second := newFakeBackend(t), newFakeBackend(t)
		counts := &runCounts{}
		for _, backend := range []*fakeBackend{first, second} {
			backend.script = func(_ http.ResponseWriter, r *http.Request) { counts.add(r.URL.RawQuery) }
			backend.stray.answer = onRequestPaths(func(r *http.Request) string {
				return rawResponse(http.StatusServiceUnavailable, identity(r)+refusedLine, "{}")
			})
		}
		f := startFleet(t, fastConfig(), nil, first.server, second.server)
		reported := map[string]string{}
		for i := range 2 * strayTestRequests {
			name := "n=" + strconv.Itoa(i)
			reported[name] = f.do(http.MethodPost, "/services/tiles/order?"+name, "x").runState()
		}
		first.server.Close()
		second.server.Close()
		counts.check(t, reported)
		must.Positive(t, first.stray.sent.Load()+second.stray.sent.Load())
	})
}

// A refusal of another request arrives on a kept-alive connection to an engine. It must not be
// trusted before its ID is checked: each at-most-once model request may run at most once, and none
// that ran may be reported as not run.
func TestStrayEngineRefusalIsNotTrusted(t *testing.T) {
	forStrayIdentities(t, func(t *testing.T, identity func(r *http.Request) string) {
		first, second := newFakeEngine(t, "e1", 11), newFakeEngine(t, "e2", 12)
		counts := &runCounts{}
		for _, engine := range []*fakeEngine{first, second} {
			engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
				counts.add(r.Header.Get(headerClaimHash))
				e.answer(w, r, 0, 3)
			}
			engine.stray.answer = onRequestPaths(func(r *http.Request) string {
				return rawResponse(http.StatusServiceUnavailable, identity(r)+refusedLine, "{}")
			})
		}
		f := startFleet(t, fastConfig(), []*fakeEngine{first, second})
		reported := map[string]string{}
		for i := range 2 * strayTestRequests {
			c := claim{key: strconv.Itoa(i)}
			reported[c.hash()] = f.stream(HeaderClass, "briefing", HeaderIdempotencyKey, c.key).runState()
		}
		first.server.Close()
		second.server.Close()
		counts.check(t, reported)
		must.Positive(t, first.stray.sent.Load()+second.stray.sent.Load())
	})
}

// A stray response to a KV export or import arrives on a kept-alive connection. Whatever identity it
// has, its handle must reach no engine, or a request would be decoded from the prompt of another.
func TestStrayKVHandleIsNotUsed(t *testing.T) {
	handle := fmt.Sprintf(`{"handle":%q,"engine":"e1"}`, strayBody)
	for _, path := range []string{engineapi.PathKVExport, engineapi.PathKVImport} {
		forStrayIdentities(t, func(t *testing.T, identity func(r *http.Request) string) {
			first, second := newFakeEngine(t, "e1", 11), newFakeEngine(t, "e2", 12)
			for _, engine := range []*fakeEngine{first, second} {
				engine.stray.answer = func(r *http.Request) string {
					if r.URL.Path != path {
						return ""
					}
					return rawResponse(http.StatusOK, identity(r), handle)
				}
			}
			f := startFleet(t, fastConfig(), []*fakeEngine{first, second})
			assignSplitRoles(f)
			eventually(t, func() bool {
				answer := f.stream(HeaderClass, "cap")
				if named := second.lastHeader.Load(); named != nil {
					must.StrNotContains(t, named.Get(engineapi.HeaderKVHandle), strayBody)
				}
				must.StrNotContains(t, answer.body, strayBody)
				for _, name := range []string{"e1", "e2"} {
					must.False(t, f.endpoint("narrator", name).isSuspect(f.proxy.clock()), must.Sprint("the endpoint is reachable"))
				}
				return first.stray.sent.Load()+second.stray.sent.Load() > 0
			})
		})
	}
}

// assignSplitRoles assigns the prefill role to e1 and the decode role to e2.
func assignSplitRoles(f *fleet) {
	changed := newView(f.engines, nil)
	changed.Engines["e1"].Status.Assignment.Role = api.RolePrefill
	changed.Engines["e2"].Status.Assignment.Role = api.RoleDecode
	changed.Version.Revision = 2
	f.views.view.Store(changed)
	f.proxy.viewState()
}

// strayIncarnation is the incarnation in stray responses.
const strayIncarnation = 77

// strayStateHeaders returns the engine state headers of a stray response.
func strayStateHeaders() string {
	return engineapi.HeaderPhase + ": " + string(api.PhaseDraining) + "\r\n" +
		engineapi.HeaderIncarnation + ": " + strconv.Itoa(strayIncarnation) + "\r\n"
}

// foreignResponseCount returns the number of mismatched responses that the proxy
// has counted.
func foreignResponseCount(t *testing.T, p *Proxy) float64 {
	families, err := p.metrics.registry.Gather()
	must.NoError(t, err)
	for _, family := range families {
		if family.GetName() == metricsNamespace+"_foreign_answers_total" {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

// A stray response must not change the engine's state: its identity must be checked before its state
// headers are applied, or an engine is taken for draining or restarted because of a request that was
// never sent to it.
func TestStrayResponseDoesNotChangeEngineState(t *testing.T) {
	forStrayIdentities(t, func(t *testing.T, identity func(r *http.Request) string) {
		engine := newFakeEngine(t, "e1", 11)
		engine.stray.answer = onRequestPaths(func(r *http.Request) string {
			// This status is not retried.
			return rawResponse(http.StatusNotFound, identity(r)+strayStateHeaders(), strayBody)
		})
		config := fastConfig()
		config.Intervals.Load = time.Hour // no poll may correct a wrong state
		f := startFleet(t, config, []*fakeEngine{engine})
		engineEndpoint := f.endpoint("narrator", "e1")
		eventually(t, func() bool { return engineEndpoint.reported().hasReported })
		for range strayTestRequests {
			f.stream(HeaderClass, "cap")
			must.Eq(t, api.PhaseServing, engineEndpoint.reported().phase)
			must.Eq(t, 11, engineEndpoint.reported().incarnation)
			must.False(t, engineEndpoint.isSuspect(f.proxy.clock()), must.Sprint("the endpoint is reachable"))
		}
		must.Positive(t, engine.stray.sent.Load())
		// Each stray response is counted. The server counts it after sending it.
		eventually(t, func() bool { return float64(engine.stray.sent.Load()) == foreignResponseCount(t, f.proxy) })
	})
}

// The report in a stray response must never be applied to the endpoint. If polls had no identity,
// then on a connection with one stray response every poll would get the response to the previous one.
func TestStrayLoadReportIsIgnored(t *testing.T) {
	report := fmt.Sprintf(`{"engine":"e1","incarnation":"%d","phase":"draining","running":5000}`, strayIncarnation)
	identities := maps.Clone(strayIdentities)
	// Polls have no attempts, so a response with just the poll's ID is genuine.
	delete(identities, "no attempt")
	var before atomic.Pointer[string]
	identities["previous poll"] = func(r *http.Request) string {
		id := r.Header.Get(engineapi.HeaderRequestID)
		if last := before.Swap(&id); last != nil {
			return engineapi.HeaderRequestID + ": " + *last + "\r\n"
		}
		return ""
	}
	for name, identity := range identities {
		t.Run(name, func(t *testing.T) {
			engine := newFakeEngine(t, "e1", 11)
			engine.stray.answer = func(r *http.Request) string {
				if r.URL.Path != engineapi.PathLoad {
					return ""
				}
				return rawResponse(http.StatusOK, identity(r)+strayStateHeaders(), report)
			}
			f := startFleet(t, fastConfig(), []*fakeEngine{engine})
			engineEndpoint := f.endpoint("narrator", "e1")
			eventually(t, func() bool {
				word := engineEndpoint.reported()
				must.NotEq(t, strayIncarnation, word.incarnation)
				must.NotEq(t, api.PhaseDraining, word.phase)
				must.False(t, engineEndpoint.isSuspect(f.proxy.clock()), must.Sprint("the endpoint responds"))
				return engine.stray.sent.Load() > 2
			})
		})
	}
}

// overlap is the duration of a run, long enough for runs that start together to
// use several connections.
const overlap = 60 * time.Millisecond

// openIdleConnections leaves several idle connections to the engine by completing
// runs concurrently.
func openIdleConnections(f *fleet) {
	f.stream(HeaderClass, "cap") // its echoed identity shows that connections can be reused
	var runs sync.WaitGroup
	for range strayTestRequests {
		runs.Go(func() { f.stream(HeaderClass, "cap") })
	}
	runs.Wait()
}

// newResumedEngine returns an engine that, while interrupt is true, interrupts the stream of each run
// and of its first resume; the second resume completes it. It sends a stray response before that to
// one resume, the first if strayBefore is 1, the second if it is 2. The stray response has the
// identity headers that identity returns.
func newResumedEngine(t *testing.T, interrupt *atomic.Bool, strayBefore int32, identity func(run, resume string) string) *fakeEngine {
	engine := newFakeEngine(t, "e1", 11)
	var run, resume atomic.Pointer[string] // identity headers of the last run and the last resume
	var resumes atomic.Int32               // number of resumes of the current run
	remember := func(to *atomic.Pointer[string], r *http.Request) {
		id, number := runOf(r)
		lines := identityLines(id, int(number))
		to.Store(&lines)
	}
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, n int) {
		resumes.Store(0)
		remember(&run, r)
		if !interrupt.Load() {
			time.Sleep(overlap)
			e.answer(w, r, 0, 4)
			return
		}
		dropAfter(2)(e, w, r, n)
	}
	engine.resume = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, request engineapi.ResumeRequest) {
		remember(&resume, r)
		if resumes.Add(1) == 1 {
			e.tokens(w, request.RequestID, request.Attempt, request.Offset, request.Offset+1)
			dropConnection(w)
			return
		}
		e.tokens(w, request.RequestID, request.Attempt, request.Offset, 4)
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
	engine.stray.answer = func(r *http.Request) string {
		if r.URL.Path != engineapi.PathResume || resumes.Load() != strayBefore-1 {
			return ""
		}
		last := ""
		if named := resume.Load(); named != nil {
			last = *named
		}
		return rawResponse(http.StatusConflict, identity(*run.Load(), last), "{}")
	}
	return engine
}

// A stray response to the run or to an earlier resume precedes the response to a resume. The caller
// must still get the complete response, so a resume must not have the same identity as its run or
// another resume: the stray response would be taken for its own.
func TestStrayResponseBeforeResume(t *testing.T) {
	cases := map[string]struct {
		strayBefore int32
		identity    func(run, resume string) string
	}{
		"identity of the run":                 {1, func(run, _ string) string { return run }},
		"identity of the previous resume":     {2, func(_, resume string) string { return resume }},
		"identity of the run without attempt": {1, func(run, _ string) string { return run[:strings.Index(run, "\r\n")+2] }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var interrupt atomic.Bool
			engine := newResumedEngine(t, &interrupt, test.strayBefore, test.identity)
			f := startFleet(t, fastConfig(), []*fakeEngine{engine})
			eventually(t, func() bool {
				interrupt.Store(false)
				openIdleConnections(f)
				interrupt.Store(true)
				words, whole := f.stream(HeaderClass, "cap").tokens()
				must.True(t, whole)
				must.Eq(t, []string{"e1-0", "e1-1", "e1-2", "e1-3"}, words)
				f.endpoint("narrator", "e1").recordSuccess() // clears the suspicion, so that the next request uses the engine
				return engine.stray.sent.Load() > 0
			})
		})
	}
}

// A stray response to one call of a request can be distinguished from that to
// another only by its identity, so the export, the import and the run of each
// request must have different identities.
func TestKVTransferCallsHaveDistinctIdentities(t *testing.T) {
	engines := []*fakeEngine{newFakeEngine(t, "e1", 11), newFakeEngine(t, "e2", 12)}
	var lock sync.Mutex
	calls := map[string]string{} // path by identity
	for _, engine := range engines {
		engine.stray.observe = onRequestPaths(func(r *http.Request) string {
			id, number := runOf(r)
			lock.Lock()
			defer lock.Unlock()
			identity := identityLines(id, int(number))
			if earlier, known := calls[identity]; known {
				t.Errorf("%s has the identity of %s", r.URL.Path, earlier)
			}
			calls[identity] = r.URL.Path
			return ""
		})
	}
	f := startFleet(t, fastConfig(), engines)
	assignSplitRoles(f)
	eventually(t, func() bool {
		_, whole := f.stream(HeaderClass, "cap").tokens()
		must.True(t, whole)
		return engines[1].imports.Load() > 0
	})
}
