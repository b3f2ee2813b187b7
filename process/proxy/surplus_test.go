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

// surplus is a fault of a server that otherwise keeps to the protocol: when a
// request comes on a connection that has served another one, the server first
// sends an answer that belongs to no request, and then the real one. The wrong
// answer so comes after the connection was taken from the proxy's pool, when no
// look at the idle connection can find it.
type surplus struct {
	// answer returns the bytes of the wrong answer, or "" for none.
	answer func(r *http.Request) string
	// observe sees each request; what it returns is of no meaning. nil for nobody.
	observe func(r *http.Request) string
	sent    atomic.Int32
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// servedConn is a server's connection and the requests that came on it.
type servedConn struct {
	net.Conn
	requests atomic.Int32
}

// serve starts a server that echoes the identity of each request.
func (s *surplus) serve(handler http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.observe != nil {
			s.observe(r)
		}
		s.precede(r)
		engineapi.EchoCall(w.Header(), r.Header)
		handler.ServeHTTP(w, r)
	}))
	server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, &servedConn{Conn: conn})
	}
	server.Start()
	return server
}

// precede sends the wrong answer ahead of the real one.
func (s *surplus) precede(r *http.Request) {
	conn := r.Context().Value(connKey{}).(*servedConn)
	if conn.requests.Add(1) == 1 || s.answer == nil {
		return
	}
	if wrong := s.answer(r); wrong != "" {
		_, _ = io.WriteString(conn, wrong) // whoever has gone needs none
		s.sent.Add(1)
	}
}

// otherAttempt is an attempt that no test comes to.
const otherAttempt = 99

// wrongIdentities are the identities of a wrong answer to the request.
var wrongIdentities = map[string]func(r *http.Request) string{
	"of another request": func(*http.Request) string {
		return identityLines("another", 1)
	},
	"of another attempt": func(r *http.Request) string {
		return identityLines(r.Header.Get(engineapi.HeaderRequestID), otherAttempt)
	},
	"of no attempt": func(r *http.Request) string {
		return engineapi.HeaderRequestID + ": " + r.Header.Get(engineapi.HeaderRequestID) + "\r\n"
	},
	"of no request": func(*http.Request) string { return "" },
}

func identityLines(id string, number int) string {
	return engineapi.HeaderRequestID + ": " + id + "\r\n" + engineapi.HeaderAttempt + ": " + strconv.Itoa(number) + "\r\n"
}

// rawAnswer is an answer as it goes over the connection.
func rawAnswer(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

const (
	admittedLine = engineapi.HeaderAdmitted + ": yes\r\n"
	refusedLine  = engineapi.HeaderAdmitted + ": no\r\n"
	foreignText  = "written for another"
)

// surplusRequests is how many requests a test sends one after the other: enough
// for kept connections to be used.
const surplusRequests = 6

// forWrongIdentities runs a test for each identity that a wrong answer can have.
func forWrongIdentities(t *testing.T, test func(t *testing.T, identity func(r *http.Request) string)) {
	for name, identity := range wrongIdentities {
		t.Run(name, func(t *testing.T) { test(t, identity) })
	}
}

// onWork sends the wrong answer before the answers to work alone.
func onWork(answer func(r *http.Request) string) func(r *http.Request) string {
	return func(r *http.Request) string {
		switch r.URL.Path {
		case engineapi.PathLoad, engineapi.PathCacheEvents, engineapi.PathCancel:
			return ""
		}
		return answer(r)
	}
}

// TestSurplusAnswerReachesNoCaller: a caller of a plain back end was given the
// answer to another's request. The back end had sent one answer too many on a
// kept connection, and the proxy compared the ID only when there was one, and
// the attempt never. Proof: whatever the wrong answer names, no caller reads it.
func TestSurplusAnswerReachesNoCaller(t *testing.T) {
	forWrongIdentities(t, func(t *testing.T, identity func(r *http.Request) string) {
		first, second := newFakeBackend(t), newFakeBackend(t)
		first.surplus.answer = onWork(func(r *http.Request) string {
			return rawAnswer(http.StatusOK, identity(r)+admittedLine, foreignText)
		})
		f := start(t, quick(), nil, first.server, second.server)
		for range 4 * surplusRequests {
			answer := f.do(http.MethodGet, "/services/tiles/frame", "")
			// A failure is told as one when the budget of retries is used up.
			must.True(t, answer.status == http.StatusOK || answer.status == http.StatusBadGateway)
			must.StrNotContains(t, answer.body, foreignText)
			for _, back := range *f.proxy.lanes.find("tiles").endpoints.Load() {
				must.False(t, back.suspected(f.proxy.clock()), must.Sprint("it is there"))
			}
		}
		must.Positive(t, first.surplus.sent.Load())
	})
}

// runCounts counts the runs of each request, by a name of its own.
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

// check holds what the caller was told against the runs. The server must have
// been closed: a run may start after the wrong answer has ended its attempt.
func (c *runCounts) check(t *testing.T, told map[string]string) {
	t.Helper()
	c.lock.Lock()
	defer c.lock.Unlock()
	for name, ran := range told {
		must.LessEq(t, 1, c.runs[name])
		if ran == "no" {
			must.Eq(t, 0, c.runs[name])
		}
	}
}

// TestSurplusRefusalIsNoProof: a request that must run at most once ran at two
// back ends. The refusal of another request came on a kept connection and was
// taken for "surely not run" before its ID was looked at. Proof: each request
// runs at most once, and none that ran is called not run.
func TestSurplusRefusalIsNoProof(t *testing.T) {
	forWrongIdentities(t, func(t *testing.T, identity func(r *http.Request) string) {
		first, second := newFakeBackend(t), newFakeBackend(t)
		counts := &runCounts{}
		for _, one := range []*fakeBackend{first, second} {
			one.script = func(_ http.ResponseWriter, r *http.Request) { counts.add(r.URL.RawQuery) }
			one.surplus.answer = onWork(func(r *http.Request) string {
				return rawAnswer(http.StatusServiceUnavailable, identity(r)+refusedLine, "{}")
			})
		}
		f := start(t, quick(), nil, first.server, second.server)
		told := map[string]string{}
		for i := range 2 * surplusRequests {
			name := "n=" + strconv.Itoa(i)
			told[name] = f.do(http.MethodPost, "/services/tiles/order?"+name, "x").ran()
		}
		first.server.Close()
		second.server.Close()
		counts.check(t, told)
		must.Positive(t, first.surplus.sent.Load()+second.surplus.sent.Load())
	})
}

// TestSurplusRefusalOfAnEngineIsNoProof is the same for a marked model request,
// whose refusal was believed before its ID was looked at.
func TestSurplusRefusalOfAnEngineIsNoProof(t *testing.T) {
	forWrongIdentities(t, func(t *testing.T, identity func(r *http.Request) string) {
		first, second := newFakeEngine(t, "e1", 11), newFakeEngine(t, "e2", 12)
		counts := &runCounts{}
		for _, one := range []*fakeEngine{first, second} {
			one.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
				counts.add(r.Header.Get(headerIdempotency))
				e.answer(w, r, 0, 3)
			}
			one.surplus.answer = onWork(func(r *http.Request) string {
				return rawAnswer(http.StatusServiceUnavailable, identity(r)+refusedLine, "{}")
			})
		}
		f := start(t, quick(), []*fakeEngine{first, second})
		told := map[string]string{}
		for i := range 2 * surplusRequests {
			marked := claim{key: strconv.Itoa(i)}
			told[marked.hash()] = f.stream(HeaderClass, "briefing", HeaderKey, marked.key).ran()
		}
		first.server.Close()
		second.server.Close()
		counts.check(t, told)
		must.Positive(t, first.surplus.sent.Load()+second.surplus.sent.Load())
	})
}

// TestSurplusHandleIsNotUsed: a request was decoded from the prompt of another.
// The answer of a prompt read was never held against the call: the handle in a
// surplus answer on a kept connection was named to the decoding engine. Proof:
// whatever the wrong answer names, its handle reaches no engine.
func TestSurplusHandleIsNotUsed(t *testing.T) {
	handle := fmt.Sprintf(`{"handle":%q,"engine":"e1"}`, foreignText)
	for _, path := range []string{engineapi.PathKVExport, engineapi.PathKVImport} {
		forWrongIdentities(t, func(t *testing.T, identity func(r *http.Request) string) {
			first, second := newFakeEngine(t, "e1", 11), newFakeEngine(t, "e2", 12)
			for _, one := range []*fakeEngine{first, second} {
				one.surplus.answer = func(r *http.Request) string {
					if r.URL.Path != path {
						return ""
					}
					return rawAnswer(http.StatusOK, identity(r), handle)
				}
			}
			f := start(t, quick(), []*fakeEngine{first, second})
			splitRoles(f)
			eventually(t, func() bool {
				answer := f.stream(HeaderClass, "cap")
				if named := second.lastHeader.Load(); named != nil {
					must.StrNotContains(t, named.Get(engineapi.HeaderKVHandle), foreignText)
				}
				must.StrNotContains(t, answer.body, foreignText)
				for _, name := range []string{"e1", "e2"} {
					must.False(t, f.endpoint("narrator", name).suspected(f.proxy.clock()), must.Sprint("it is there"))
				}
				return first.surplus.sent.Load()+second.surplus.sent.Load() > 0
			})
		})
	}
}

// splitRoles makes e1 read prompts and e2 decode.
func splitRoles(f *fleet) {
	made := newView(f.engines, nil)
	made.Engines["e1"].Status.Assignment.Role = api.RolePrefill
	made.Engines["e2"].Status.Assignment.Role = api.RoleDecode
	made.Version.Revision = 2
	f.views.view.Store(made)
	f.proxy.standing()
}

// foreignIncarnation is the incarnation that a wrong answer names.
const foreignIncarnation = 77

// wrongWord is what a wrong answer says of an engine.
func wrongWord() string {
	return engineapi.HeaderPhase + ": " + string(api.PhaseDraining) + "\r\n" +
		engineapi.HeaderIncarnation + ": " + strconv.Itoa(foreignIncarnation) + "\r\n"
}

// foreignAnswers is the proxy's own count of them.
func foreignAnswers(t *testing.T, p *Proxy) float64 {
	families, err := p.metrics.registry.Gather()
	must.NoError(t, err)
	for _, family := range families {
		if family.GetName() == metricsNamespace+"_foreign_answers_total" {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

// TestSurplusAnswerTeachesNothing: an engine was taken for draining, and for
// restarted, by an answer to a request that was never sent to it. The header of
// an answer was taken in before its identity was looked at. Proof: after a wrong
// answer the engine's word is what it was.
func TestSurplusAnswerTeachesNothing(t *testing.T) {
	forWrongIdentities(t, func(t *testing.T, identity func(r *http.Request) string) {
		engine := newFakeEngine(t, "e1", 11)
		engine.surplus.answer = onWork(func(r *http.Request) string {
			// Nothing is asked of the engine again after this status.
			return rawAnswer(http.StatusNotFound, identity(r)+wrongWord(), foreignText)
		})
		config := quick()
		config.Intervals.Load = time.Hour // no poll mends what was learnt
		f := start(t, config, []*fakeEngine{engine})
		followed := f.endpoint("narrator", "e1")
		eventually(t, func() bool { return followed.word().heard })
		for range surplusRequests {
			f.stream(HeaderClass, "cap")
			must.Eq(t, api.PhaseServing, followed.word().phase)
			must.Eq(t, 11, followed.word().incarnation)
			must.False(t, followed.suspected(f.proxy.clock()), must.Sprint("it is there"))
		}
		must.Positive(t, engine.surplus.sent.Load())
		// Each is counted; the server counts after it has sent.
		eventually(t, func() bool { return float64(engine.surplus.sent.Load()) == foreignAnswers(t, f.proxy) })
	})
}

// TestSurplusReportIsNotTakenIn: a load report was taken from the answer to an
// earlier poll. Polls named no identity, so that a connection on which one
// answer too many had come gave each poll the answer before its own. Proof: the
// report in a wrong answer is never the endpoint's.
func TestSurplusReportIsNotTakenIn(t *testing.T) {
	report := fmt.Sprintf(`{"engine":"e1","incarnation":"%d","phase":"draining","running":5000}`, foreignIncarnation)
	identities := maps.Clone(wrongIdentities)
	// Polls have no attempts: what names a poll's ID alone is its own answer.
	delete(identities, "of no attempt")
	var before atomic.Pointer[string]
	identities["of the poll before"] = func(r *http.Request) string {
		id := r.Header.Get(engineapi.HeaderRequestID)
		if last := before.Swap(&id); last != nil {
			return engineapi.HeaderRequestID + ": " + *last + "\r\n"
		}
		return ""
	}
	for name, identity := range identities {
		t.Run(name, func(t *testing.T) {
			engine := newFakeEngine(t, "e1", 11)
			engine.surplus.answer = func(r *http.Request) string {
				if r.URL.Path != engineapi.PathLoad {
					return ""
				}
				return rawAnswer(http.StatusOK, identity(r)+wrongWord(), report)
			}
			f := start(t, quick(), []*fakeEngine{engine})
			followed := f.endpoint("narrator", "e1")
			eventually(t, func() bool {
				word := followed.word()
				must.NotEq(t, foreignIncarnation, word.incarnation)
				must.NotEq(t, api.PhaseDraining, word.phase)
				must.False(t, followed.suspected(f.proxy.clock()), must.Sprint("it is not silent"))
				return engine.surplus.sent.Load() > 2
			})
		})
	}
}

// overlap is so long that runs which start together are on several connections.
const overlap = 60 * time.Millisecond

// keepConnections has whole runs leave several kept connections to the engine.
func keepConnections(f *fleet) {
	f.stream(HeaderClass, "cap") // its echo tells that connections can be kept
	var runs sync.WaitGroup
	for range surplusRequests {
		runs.Go(func() { f.stream(HeaderClass, "cap") })
	}
	runs.Wait()
}

// resumedEngine is an engine that, once cutting is true, cuts each run's stream
// and the first resume of it; the second resume ends it. Before the answer to the resume numbered
// late (from 1) it sends a surplus one under the identity that before names.
func resumedEngine(t *testing.T, cutting *atomic.Bool, late int32, before func(run, resume string) string) *fakeEngine {
	engine := newFakeEngine(t, "e1", 11)
	var run, resume atomic.Pointer[string] // the identities of the last ones
	var resumes atomic.Int32               // of the present run
	remember := func(to *atomic.Pointer[string], r *http.Request) {
		id, number := runOf(r)
		lines := identityLines(id, int(number))
		to.Store(&lines)
	}
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, n int) {
		resumes.Store(0)
		remember(&run, r)
		if !cutting.Load() {
			time.Sleep(overlap)
			e.answer(w, r, 0, 4)
			return
		}
		cutAfter(2)(e, w, r, n)
	}
	engine.resume = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, request engineapi.ResumeRequest) {
		remember(&resume, r)
		if resumes.Add(1) == 1 {
			e.tokens(w, request.RequestID, request.Attempt, request.Offset, request.Offset+1)
			drop(w)
			return
		}
		e.tokens(w, request.RequestID, request.Attempt, request.Offset, 4)
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
	engine.surplus.answer = func(r *http.Request) string {
		if r.URL.Path != engineapi.PathResume || resumes.Load() != late-1 {
			return ""
		}
		last := ""
		if named := resume.Load(); named != nil {
			last = *named
		}
		return rawAnswer(http.StatusConflict, before(*run.Load(), last), "{}")
	}
	return engine
}

// TestSurplusAnswerBeforeAResume: a stream that could be taken up again ended
// for its caller. A resume had the identity of its run and of the resumes before
// it, so that a surplus answer to one of them was taken for its own. Proof: with
// either before the answer to the resume, the caller gets the whole answer.
func TestSurplusAnswerBeforeAResume(t *testing.T) {
	cases := map[string]struct {
		late   int32
		before func(run, resume string) string
	}{
		"of the run":            {1, func(run, _ string) string { return run }},
		"of the resume before":  {2, func(_, resume string) string { return resume }},
		"of the run, no number": {1, func(run, _ string) string { return run[:strings.Index(run, "\r\n")+2] }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var cutting atomic.Bool
			engine := resumedEngine(t, &cutting, test.late, test.before)
			f := start(t, quick(), []*fakeEngine{engine})
			eventually(t, func() bool {
				cutting.Store(false)
				keepConnections(f)
				cutting.Store(true)
				words, whole := f.stream(HeaderClass, "cap").words()
				must.True(t, whole)
				must.Eq(t, []string{"e1-0", "e1-1", "e1-2", "e1-3"}, words)
				f.endpoint("narrator", "e1").succeed() // the next request may go there at once
				return engine.surplus.sent.Load() > 0
			})
		})
	}
}

// TestCallsOfAHandOverShareNoIdentity: a surplus answer to one call of a request
// is told from that to another only by its identity. Proof: the export, the
// import and the run of each request have one each.
func TestCallsOfAHandOverShareNoIdentity(t *testing.T) {
	engines := []*fakeEngine{newFakeEngine(t, "e1", 11), newFakeEngine(t, "e2", 12)}
	var lock sync.Mutex
	calls := map[string]string{} // the path of each identity
	for _, engine := range engines {
		engine.surplus.observe = onWork(func(r *http.Request) string {
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
	f := start(t, quick(), engines)
	splitRoles(f)
	eventually(t, func() bool {
		_, whole := f.stream(HeaderClass, "cap").words()
		must.True(t, whole)
		return engines[1].imports.Load() > 0
	})
}
