package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
)

// Each request that cannot be served gets its documented response at once, and no engine receives it.
// docs/CALLERS.md has the same table and must be kept in line by hand.
func TestRefusals(t *testing.T) {
	const completions = engineapi.PathCompletions
	long := strings.Repeat("x", maxHeaderValueBytes+1)
	model := func(name string) string { return `{"model":"` + name + `","prompt":"a","max_tokens":3}` }
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		code                     string
		retry                    bool
	}{
		{"empty body", "POST", completions, "", nil, 400, codeBadRequest, false},
		{"invalid JSON", "POST", completions, "{", nil, 400, codeBadRequest, false},
		{"no model", "POST", completions, model(""), nil, 400, codeBadRequest, false},
		{"no prompt", "POST", completions, `{"model":"llm"}`, nil, 400, codeBadRequest, false},
		{"no messages", "POST", engineapi.PathChatCompletions, model("llm"), nil, 400, codeBadRequest, false},
		{"negative length", "POST", completions, `{"model":"llm","prompt":"a","max_tokens":-1}`, nil, 400, codeBadRequest, false},
		{"unknown model", "POST", completions, model("other"), nil, 404, codeUnknownModel, false},
		{"unknown adapter", "POST", completions, model("llm:other"), nil, 404, codeUnknownModel, false},
		{"unknown class", "POST", completions, bufferedBody, []string{HeaderClass, "x"}, 400, codeUnknownClass, false},
		{"class of a backend service", "POST", completions, bufferedBody, []string{HeaderClass, "frame"}, 400, codeUnknownClass, false},
		{"class that no intent serves", "POST", completions, bufferedBody, []string{HeaderClass, "unserved"}, 403, codeClassRefused, false},
		{"long tenant", "POST", completions, bufferedBody, []string{HeaderTenant, long}, 400, codeBadRequest, false},
		{"deadline is not a number", "POST", completions, bufferedBody, []string{HeaderDeadline, "soon"}, 400, codeBadRequest, false},
		{"negative deadline", "POST", completions, bufferedBody, []string{HeaderDeadline, "-1"}, 400, codeBadRequest, false},
		{"no time left", "POST", completions, bufferedBody, []string{HeaderDeadline, "0"}, 504, codeDeadlineTooShort, false},
		{"deadline that no engine can meet", "POST", completions, bufferedBody, []string{HeaderDeadline, "9"}, 504, codeDeadlineTooShort, true},
		{"body over the limit", "POST", completions, strings.Repeat(" ", 3000), nil, 413, codeBodyTooLarge, false},
		{"backend body over the limit", "PUT", "/services/tiles/a", strings.Repeat(" ", 3000), nil, 413, codeBodyTooLarge, false},
		{"unknown service", "GET", "/services/none/a", "", nil, 404, codeUnknownService, false},
		{"model service addressed as a backend", "GET", "/services/narrator/a", "", nil, 404, codeUnknownService, false},
		{"class of another service", "GET", "/services/tiles/a", "", []string{HeaderClass, "cap"}, 400, codeUnknownClass, false},
		{"no path", "GET", "/nowhere", "", nil, 404, codeNotFound, false},
		{"wrong method", "GET", completions, "", nil, 405, codeMethodNotAllowed, false},
	}
	engine, backend := newFakeEngine(t, "e1", 11), newFakeBackend(t)
	config := fastConfig()
	config.Limits.BodyBytes = 2048
	f := startFleet(t, config, []*fakeEngine{engine}, backend.server)
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			answer := f.do(test.method, test.path, test.body, test.headers...)
			must.Eq(t, test.status, answer.status)
			must.Eq(t, test.code, answer.code())
			must.Eq(t, "no", answer.runState())
			must.Eq(t, test.retry, answer.header.Get("Retry-After") != "")
		})
	}
	must.Eq(t, 0, engine.runs.Load()+backend.runs.Load())
	eventually(t, func() bool { return f.proxy.modelBodies.reserved.Load()+f.proxy.backendBodies.reserved.Load() == 0 })
}

// startOverloaded starts a fleet whose only request slot is taken by a stream that runs until release
// is called. Class "cap" may have one queued request.
func startOverloaded(t *testing.T, change func(*Config)) (f *fleet, release func()) {
	t.Helper()
	hold := make(chan struct{})
	engine, backend := newFakeEngine(t, "e1", 11), newFakeBackend(t)
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
		id, number := runOf(r)
		e.tokens(w, id, number, 0, 1)
		<-hold
		e.answer(w, r, 1, 3)
	}
	config := fastConfig()
	config.Limits.MaxInFlight = 1
	config.Timeouts.Stall = time.Minute
	change(&config)
	f = startFleet(t, config, []*fakeEngine{engine}, backend.server)
	limited := newView(f.engines, nil)
	limited.Services["tiles"] = f.views.Load().Services["tiles"]
	limited.Classes["cap"].Spec.QueueLimit = 1
	limited.Version.Revision = 2
	f.views.view.Store(limited)
	hangUp := f.open(HeaderClass, "cap")
	release = func() { close(hold); hangUp() }
	return f, release
}

// With all slots taken, a request whose deadline is too short to wait, one that finds the queue full
// and one whose deadline passes in the queue are refused as not run. Other services are not affected.
func TestOverload(t *testing.T) {
	f, release := startOverloaded(t, func(*Config) {})
	defer release()
	early := f.stream(HeaderClass, "cap", HeaderDeadline, "90")
	must.Eq(t, http.StatusGatewayTimeout, early.status)
	must.Eq(t, codeDeadlineTooShort, early.code())
	must.Eq(t, "no", early.runState())
	must.NotEq(t, "", early.header.Get("Retry-After"))

	waiting := make(chan *reply, 1)
	go func() { waiting <- f.stream(HeaderClass, "cap", HeaderDeadline, "700") }()
	queue := f.proxy.lanes.find("narrator").queue
	eventually(t, func() bool { return queue.Depth().Waiting == 1 })
	full := f.stream(HeaderClass, "cap")
	must.Eq(t, http.StatusServiceUnavailable, full.status)
	must.Eq(t, codeQueueFull, full.code())
	must.Eq(t, "no", full.runState())
	must.NotEq(t, "", full.header.Get("Retry-After"))
	must.Eq(t, http.StatusOK, f.do(http.MethodGet, "/services/tiles/frame", "").status) // not affected by the model service's queue

	expired := <-waiting
	must.Eq(t, http.StatusGatewayTimeout, expired.status)
	must.Eq(t, codeDeadlineExceeded, expired.code())
	must.Eq(t, "no", expired.runState())
	must.Eq(t, 0, queue.Depth().Waiting)
	must.Eq(t, 1, f.engines[0].runs.Load())
}

func TestTenantRateLimit(t *testing.T) {
	f := startFleet(t, fastConfig(), []*fakeEngine{newFakeEngine(t, "e1", 11)})
	limited := newView(f.engines, nil)
	limited.Tenants["small"] = &api.Tenant{Metadata: api.Metadata{Name: "small"}, Spec: api.TenantSpec{TokensPerSecond: 0.01, Burst: 10}}
	limited.Version.Revision = 2
	f.views.view.Store(limited)
	must.Eq(t, http.StatusOK, f.stream(HeaderClass, "cap", HeaderTenant, "small").status)
	answer := f.stream(HeaderClass, "cap", HeaderTenant, "small")
	must.Eq(t, http.StatusTooManyRequests, answer.status)
	must.Eq(t, codeRateLimited, answer.code())
	must.Eq(t, "no", answer.runState())
	must.NotEq(t, "", answer.header.Get("Retry-After"))
	must.Eq(t, http.StatusOK, f.stream(HeaderClass, "cap").status)
}

// A request whose caller disconnects while it is queued leaves the queue and reaches no engine.
func TestCallerDisconnectsWhileQueued(t *testing.T) {
	f, release := startOverloaded(t, func(*Config) {})
	defer release()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	must.NoError(t, err)
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nLandingtrail-Class: cap\r\nContent-Length: 49\r\n\r\n"+
		`{"model":"llm","prompt":"a b c","max_tokens":  3}`)
	must.NoError(t, err)
	queue := f.proxy.lanes.find("narrator").queue
	eventually(t, func() bool { return queue.Depth().Waiting == 1 })
	must.NoError(t, conn.Close())
	eventually(t, func() bool { return queue.Depth().Waiting == 0 })
	must.Eq(t, 1, f.engines[0].runs.Load())
}

// A caller that announces a body and does not send it holds its share of the body memory until the
// read timeout. Until then requests that do not fit are refused, except those of the other type of
// service, which has its own limit.
func TestUnsentBodyHoldsMemoryUntilReadTimeout(t *testing.T) {
	backend := newFakeBackend(t)
	config := fastConfig()
	config.Limits.BodyBytes, config.Limits.HeldBytes = 1024, 1024
	config.Timeouts.ReadBody = time.Second
	f := startFleet(t, config, []*fakeEngine{newFakeEngine(t, "e1", 11)}, backend.server)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n{")
	must.NoError(t, err)
	eventually(t, func() bool { return f.proxy.modelBodies.reserved.Load() == 1000 })
	answer := f.stream(HeaderClass, "cap")
	must.Eq(t, http.StatusServiceUnavailable, answer.status)
	must.Eq(t, codeOverloaded, answer.code())
	must.Eq(t, "no", answer.runState())
	must.Eq(t, http.StatusOK, f.do(http.MethodPost, "/services/tiles/frame", "abc").status)
	eventually(t, func() bool { return f.stream(HeaderClass, "cap").status == http.StatusOK })
	eventually(t, func() bool { return f.proxy.modelBodies.reserved.Load() == 0 })
}

// A response that exceeds the buffer limit is not retried: it fails with an error that advises the
// caller to use streaming.
func TestResponseTooLargeToBuffer(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) { e.answer(w, r, 0, 1000) }
	config := fastConfig()
	config.Limits.AnswerBytes = 1000
	f := startFleet(t, config, []*fakeEngine{engine})
	answer := f.do(http.MethodPost, engineapi.PathCompletions, bufferedBody, HeaderClass, "cap")
	must.Eq(t, http.StatusBadGateway, answer.status)
	must.Eq(t, codeAnswerTooLarge, answer.code())
	must.Eq(t, "yes", answer.runState())
	must.Eq(t, 1, engine.runs.Load())
}
