package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
	"github.com/zeromicro/go-zero/core/proc"
	"go.uber.org/goleak"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

// shutdownAfterTests runs the tests and then ends the goroutines in which rest waits for the process to
// exit.
type shutdownAfterTests struct{ *testing.M }

// Run implements goleak.TestingM.
func (m shutdownAfterTests) Run() int {
	code := m.M.Run()
	proc.Shutdown()
	return code
}

func TestMain(m *testing.M) {
	// go-zero starts goroutines of its own before the first test.
	goleak.VerifyTestMain(shutdownAfterTests{m}, goleak.IgnoreCurrent(),
		goleak.IgnoreAnyFunction("github.com/zeromicro/go-zero/core/proc.init.1.func1"))
}

// fixedViews is a Views whose view and lease the test sets.
type fixedViews struct {
	view    atomic.Pointer[view.View]
	invalid atomic.Bool
}

func (v *fixedViews) Load() *view.View           { return v.view.Load() }
func (v *fixedViews) Valid(_ time.Duration) bool { return !v.invalid.Load() }

// fakeControl is an in-memory control group. Claim returns the error claimErr, if it is set, instead
// of a result.
type fakeControl struct {
	lock     sync.Mutex
	claimErr error
	claims   map[string]*api.Claim
	nonces   map[string]uint64
	outcomes []state.RunOutcome
	demands  []feed.DemandReport
	ends     []feed.CrashReport
}

func newFakeControl() *fakeControl {
	return &fakeControl{claims: map[string]*api.Claim{}, nonces: map[string]uint64{}}
}

func (c *fakeControl) Claim(_ context.Context, request state.ClaimRequest) (api.ClaimResult, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.claimErr != nil {
		return api.ClaimResult{}, c.claimErr
	}
	name := request.Tenant + "/" + request.Key
	existing := c.claims[name]
	switch {
	case existing == nil || existing.Outcome == api.RunNotRun:
		c.claims[name] = &api.Claim{Tenant: request.Tenant, Key: request.Key, BodyHash: request.BodyHash, Outcome: api.RunUnknown}
		c.nonces[name] = request.Nonce
		return api.ClaimResult{Code: api.ClaimGranted, Claim: *c.claims[name]}, nil
	case existing.BodyHash != request.BodyHash:
		return api.ClaimResult{Code: api.ClaimConflict, Claim: *existing}, nil
	case existing.Outcome == api.RunCompleted:
		return api.ClaimResult{Code: api.ClaimDone, Claim: *existing}, nil
	default:
		return api.ClaimResult{Code: api.ClaimRunning, Claim: *existing}, nil
	}
}

func (c *fakeControl) RecordOutcome(_ context.Context, outcome state.RunOutcome) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	name := outcome.Tenant + "/" + outcome.Key
	c.outcomes = append(c.outcomes, outcome)
	if existing := c.claims[name]; existing != nil && c.nonces[name] == outcome.Nonce {
		existing.Outcome, existing.Answer = outcome.Outcome, outcome.Answer
	}
	return nil
}

// Connected implements guard.Reporter. There is no leader, so the proxy decides by itself.
func (c *fakeControl) Connected() bool { return false }

func (c *fakeControl) ReportParts(parts.Report) bool { return true }

func (c *fakeControl) ReportCrashes(report feed.CrashReport) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.ends = append(c.ends, report)
	return true
}

func (c *fakeControl) ReportDemand(report feed.DemandReport) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.demands = append(c.demands, report)
	return true
}

// fakeEngine is an engine whose response to the n-th completion (from 1) is given by script. Without
// a script it streams three tokens.
type fakeEngine struct {
	name        string
	server      *httptest.Server
	incarnation uint64
	phase       atomic.Pointer[api.EnginePhase]
	script      func(e *fakeEngine, w http.ResponseWriter, r *http.Request, n int)
	resume      func(e *fakeEngine, w http.ResponseWriter, r *http.Request, request engineapi.ResumeRequest)
	runs        atomic.Int32
	cancels     atomic.Int32
	exports     atomic.Int32
	imports     atomic.Int32
	failKV      func(e *fakeEngine, w http.ResponseWriter)
	lastHeader  atomic.Pointer[http.Header]
	stray       strayResponder
}

func newFakeEngine(t *testing.T, name string, incarnation uint64) *fakeEngine {
	t.Helper()
	engine := &fakeEngine{name: name, incarnation: incarnation}
	engine.setPhase(api.PhaseServing)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/", engine.serve)
	mux.HandleFunc("GET "+engineapi.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, engineapi.Load{Engine: name, Incarnation: engine.incarnation, Phase: *engine.phase.Load()})
	})
	mux.HandleFunc("GET "+engineapi.PathCacheEvents, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, engineapi.CacheEvents{Incarnation: engine.incarnation, Snapshot: true})
	})
	mux.HandleFunc("POST "+engineapi.PathKVExport, func(w http.ResponseWriter, _ *http.Request) {
		engine.exports.Add(1)
		if engine.failKV != nil {
			engine.failKV(engine, w)
			return
		}
		writeJSON(w, http.StatusOK, engineapi.KVHandle{Handle: "h1", Engine: name})
	})
	mux.HandleFunc("POST "+engineapi.PathKVImport, func(w http.ResponseWriter, r *http.Request) {
		engine.imports.Add(1)
		var request engineapi.KVImportRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		writeJSON(w, http.StatusOK, engineapi.KVHandle{Handle: request.Handle.Handle, Engine: name})
	})
	engine.server = engine.stray.serve(mux)
	t.Cleanup(engine.server.Close)
	return engine
}

func (e *fakeEngine) setPhase(phase api.EnginePhase) { e.phase.Store(&phase) }

func (e *fakeEngine) serve(w http.ResponseWriter, r *http.Request) {
	header := r.Header.Clone()
	w.Header().Set(engineapi.HeaderIncarnation, strconv.FormatUint(e.incarnation, 10))
	w.Header().Set(engineapi.HeaderPhase, string(*e.phase.Load()))
	switch r.URL.Path {
	case engineapi.PathCancel:
		e.cancels.Add(1)
		return
	case engineapi.PathResume:
		var request engineapi.ResumeRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		if e.resume == nil {
			w.WriteHeader(http.StatusConflict)
			return
		}
		e.resume(e, w, r, request)
		return
	}
	e.lastHeader.Store(&header)
	n := int(e.runs.Add(1))
	if e.script != nil {
		e.script(e, w, r, n)
		return
	}
	e.answer(w, r, 0, 3)
}

// refuse refuses a request before admission.
func (e *fakeEngine) refuse(w http.ResponseWriter, status int, code string) {
	w.Header().Set(engineapi.HeaderAdmitted, "no")
	writeJSON(w, status, engineapi.ErrorBody{Error: engineapi.ErrorDetail{Message: code, Code: code, Ran: "no"}})
}

// tokens streams the tokens from offset up to but not including end, without a terminal event.
func (e *fakeEngine) tokens(w http.ResponseWriter, id string, number uint32, offset, end int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engineapi.HeaderAdmitted, "yes")
	for i := offset; i < end; i++ {
		event := engineapi.StreamEvent{ID: id, Object: "text_completion", Model: "llm", Attempt: number, Offset: i,
			Incarnation: e.incarnation, Choices: []engineapi.Choice{{Text: fmt.Sprintf("%s-%d ", e.name, i)}}}
		encoded, _ := json.Marshal(event)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", encoded)
	}
	_ = http.NewResponseController(w).Flush()
}

func runOf(r *http.Request) (string, uint32) {
	number, _ := strconv.ParseUint(r.Header.Get(engineapi.HeaderAttempt), 10, 32)
	return r.Header.Get(engineapi.HeaderRequestID), uint32(number)
}

// answer streams the tokens from offset up to but not including end, and the terminal event.
func (e *fakeEngine) answer(w http.ResponseWriter, r *http.Request, offset, end int) {
	id, number := runOf(r)
	e.tokens(w, id, number, offset, end)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// fleet is one running proxy in front of fake engines and backends.
type fleet struct {
	t       *testing.T
	proxy   *Proxy
	views   *fixedViews
	engines []*fakeEngine
	url     string
	admin   string
	stop    context.CancelFunc
	done    chan error
}

// fastConfig returns a configuration with timeouts and intervals short enough for tests.
func fastConfig() Config {
	return Config{
		ID:            "proxy-1",
		Zone:          "zone-a",
		ListenAddress: "127.0.0.1:0",
		AdminAddress:  "127.0.0.1:0",
		FeedAddresses: []string{"127.0.0.1:1"},
		DrainNotice:   time.Millisecond,
		Timeouts:      Timeouts{Head: 300 * time.Millisecond, FirstToken: 400 * time.Millisecond, Stall: 300 * time.Millisecond, Write: 500 * time.Millisecond},
		Limits:        Limits{PollBytes: 1 << 20},
		Intervals:     Intervals{Load: 20 * time.Millisecond, Cache: 40 * time.Millisecond, View: 2 * time.Millisecond, Demand: 50 * time.Millisecond},
	}
}

// newView returns a view with a model service "narrator" of the engines and a service "tiles" of the
// backends.
func newView(engines []*fakeEngine, backends []*httptest.Server) *view.View {
	current := view.New()
	current.Version = view.Version{Term: 1, Revision: 1}
	all := api.Selector{All: true}
	current.Intents["narration"] = &api.Intent{Metadata: api.Metadata{Name: "narration"}, Spec: api.IntentSpec{
		Engines: all, Classes: api.Selector{MatchLabels: api.Labels{"work": "model"}}, Model: "llm", Roles: []api.EngineRole{api.RoleMixed}}}
	current.Services["narrator"] = &api.Service{Metadata: api.Metadata{Name: "narrator"}, Spec: api.ServiceSpec{Type: api.ServiceModel}}
	tiles := &api.Service{Metadata: api.Metadata{Name: "tiles"}, Spec: api.ServiceSpec{Type: api.ServiceBackend}}
	for i, backend := range backends {
		tiles.Spec.Backends = append(tiles.Spec.Backends, api.Backend{Name: fmt.Sprintf("tile-%d", i), Address: backend.Listener.Addr().String(), Zone: "zone-a"})
	}
	current.Services["tiles"] = tiles
	addClass := func(name, service string, repeatNever bool, labels api.Labels) {
		current.Classes[name] = &api.Class{Metadata: api.Metadata{Name: name, Labels: labels},
			Spec: api.ClassSpec{Service: service, Priority: len(name), DeadlineMilliseconds: 5000, RepeatNever: repeatNever}}
	}
	addClass("cap", "narrator", false, api.Labels{"work": "model"})
	addClass("briefing", "narrator", true, api.Labels{"work": "model"})
	addClass("unserved", "narrator", false, nil)
	addClass("frame", "tiles", false, nil)
	for _, engine := range engines {
		current.Engines[engine.name] = &api.Engine{Metadata: api.Metadata{Name: engine.name},
			Spec: api.EngineSpec{Address: engine.server.Listener.Addr().String(), Zone: "zone-a", Service: "narrator"},
			Status: api.EngineStatus{Phase: api.PhaseServing, Incarnation: engine.incarnation,
				Assignment: api.Assignment{Model: "llm", Version: "1", Role: api.RoleMixed}}}
	}
	return current
}

// startFleet starts a fleet with a fakeControl.
func startFleet(t *testing.T, config Config, engines []*fakeEngine, backends ...*httptest.Server) *fleet {
	t.Helper()
	return startFleetWithControl(t, config, newFakeControl(), engines, backends...)
}

// startFleetWithControl starts a fleet with the given control group.
func startFleetWithControl(t *testing.T, config Config, control Control, engines []*fakeEngine, backends ...*httptest.Server) *fleet {
	t.Helper()
	started := time.Now()
	return startFleetWithClock(t, func() time.Duration { return time.Since(started) }, config, control, engines, backends...)
}

// startFleetWithClock starts a fleet whose proxy uses the given clock.
func startFleetWithClock(t *testing.T, clock func() time.Duration, config Config, control Control, engines []*fakeEngine, backends ...*httptest.Server) *fleet {
	t.Helper()
	f := &fleet{t: t, views: &fixedViews{}, engines: engines, done: make(chan error, 1)}
	f.views.view.Store(newView(engines, backends))
	f.proxy = New(config, f.views, control, clock, log.NewNopLogger())
	admin, err := f.proxy.listenAdmin()
	must.NoError(t, err)
	callers, err := f.proxy.listenCallers()
	must.NoError(t, err)
	f.url, f.admin = "http://"+callers.addr.String(), "http://"+admin.addr.String()
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	go func() {
		<-ctx.Done()
		f.done <- f.proxy.drain(callers)
		_ = admin.http.Close()
		f.proxy.Close()
	}()
	t.Cleanup(func() {
		stop()
		f.proxy.tasks.Wait()
	})
	return f
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // from reading the body, if it was cut off
}

// code returns the code in an error response.
func (r *reply) code() string {
	var body engineapi.ErrorBody
	_ = json.Unmarshal([]byte(r.body), &body)
	return body.Error.Code
}

// runState returns the run state in an error response.
func (r *reply) runState() string {
	var body engineapi.ErrorBody
	_ = json.Unmarshal([]byte(r.body), &body)
	return body.Error.Ran
}

// do sends a request; headers alternate names and values.
func (f *fleet) do(method, path, body string, headers ...string) *reply {
	f.t.Helper()
	request, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	must.NoError(f.t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	must.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return &reply{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

// open sends a streaming request and waits for the first byte of the response body. The returned
// function closes the body.
func (f *fleet) open(headers ...string) (hangUp func()) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPost, f.url+engineapi.PathCompletions, strings.NewReader(streamBody))
	must.NoError(f.t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	must.NoError(f.t, err)
	_, err = response.Body.Read(make([]byte, 1))
	must.NoError(f.t, err)
	return func() { _ = response.Body.Close() }
}

// fakeBackend is a plain backend. Without a script it echoes the request body.
type fakeBackend struct {
	server     *httptest.Server
	script     http.HandlerFunc
	runs       atomic.Int32
	lastHeader atomic.Pointer[http.Header]
	stray      strayResponder
}

func newFakeBackend(t *testing.T) *fakeBackend {
	t.Helper()
	backend := &fakeBackend{}
	backend.server = backend.stray.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engineapi.PathLoad {
			writeJSON(w, http.StatusOK, engineapi.Load{})
			return
		}
		header := r.Header.Clone()
		backend.lastHeader.Store(&header)
		backend.runs.Add(1)
		if backend.script != nil {
			backend.script(w, r)
			return
		}
		_, _ = io.Copy(w, r.Body)
	}))
	t.Cleanup(backend.server.Close)
	return backend
}

const (
	streamBody   = `{"model":"llm","prompt":"tell of the storm","max_tokens":3,"stream":true}`
	bufferedBody = `{"model":"llm","prompt":"tell of the storm","max_tokens":3}`
)

// stream sends a streaming request and reads the response to its end.
func (f *fleet) stream(headers ...string) *reply {
	f.t.Helper()
	return f.do(http.MethodPost, engineapi.PathCompletions, streamBody, headers...)
}

// tokens returns the tokens in a stream and whether the stream ended with its terminal event.
func (r *reply) tokens() (words []string, whole bool) {
	for block := range strings.SplitSeq(r.body, "\n\n") {
		data, found := strings.CutPrefix(block, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		var event engineapi.StreamEvent
		if json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
			words = append(words, strings.Fields(event.Choices[0].Text)...)
		}
	}
	return words, whole
}
