package ingress

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"golang.org/x/sys/unix"
)

func TestMain(m *testing.M) {
	if os.Getenv(slowPeerVariable) != "" {
		if err := runSlowPeer(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	goleak.VerifyTestMain(m,
		// Both are started by the init functions of go-zero and never end.
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/proc.init.1.func1"),
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/stat.init.1.func1"),
	)
}

// testTimeout limits every wait. No result depends on its length.
const testTimeout = 20 * time.Second

// eventually waits until the condition holds, and fails the test after testTimeout. what describes
// the condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// Header fields of the test dialect.
const (
	testID       = "Test-Id"
	testWithin   = "Test-Within"
	testReplica  = "Test-Replica"
	testGenuine  = "Test-Genuine"
	testNotRun   = "Test-Not-Run"
	testLoad     = "Test-Load"
	testSlowness = "Test-Slowness"
	testTokens   = "Test-Tokens"
	testResume   = "Test-Resume"
	testResumes  = "Test-Resumes"
	testPrefill  = "Test-Prefill"
	testSource   = "Test-Source"
	testAgain    = "Test-Again"
	testPriority = "Test-Priority"
	testKey      = "Test-Key"
	testTenant   = "Test-Tenant"
	testPause    = "Test-Pause"
	testLeaving  = "Test-Leaving"
	testLimit    = "Test-Limit"
	testParts    = "Test-Parts"
)

// testStatusPath is where replicas of these tests say when they were started.
const testStatusPath = "/status"

// testDialect is the protocol used in these tests.
type testDialect struct{}

func (testDialect) Call(header http.Header) (Call, error) {
	call := Call{ID: header.Get(testID), Header: header, ResumeAfter: header.Get(testResume), Resumes: header.Get(testResumes)}
	call.Credential = Credential{Key: header.Get(testKey), Present: len(header[testKey]) > 0}
	if call.ID == "" {
		return call, errors.New("no ID")
	}
	within, _ := strconv.Atoi(header.Get(testWithin))
	call.MaxWait = time.Duration(within) * time.Millisecond
	call.Work.PromptTokens, _ = strconv.Atoi(header.Get(testTokens))
	for id := range strings.FieldsSeq(header.Get(testParts)) {
		call.Work.Parts = append(call.Work.Parts, Part{ID: id, Tokens: 10})
	}
	return call, nil
}

func (testDialect) Identify(header http.Header, tenant string) {
	header.Del(testKey)
	header.Del(testTenant)
	if tenant != "" {
		header.Set(testTenant, tenant)
	}
}

func (testDialect) Attempt(header http.Header, attempt Attempt) {
	header.Set(testReplica, attempt.Replica)
	header.Set(testPriority, strconv.Itoa(attempt.Priority))
	header.Set(testWithin, strconv.FormatInt(attempt.TimeLimit.Milliseconds(), 10))
	if attempt.ResumeAfter != "" {
		header.Set(testResume, attempt.ResumeAfter)
	}
	if attempt.Prefill {
		header.Set(testPrefill, "1")
	}
	if attempt.Source.Handle != "" {
		header.Set(testSource, attempt.Source.Address+"/"+attempt.Source.Handle)
	}
}

func (testDialect) IdentityField() string { return testID }

func (testDialect) Reply(status int, header http.Header) Reply {
	reply := Reply{
		HasRequestID: header.Get(testID) != "",
		Genuine:      header.Get(testGenuine) != "",
		NotRun:       header.Get(testNotRun) != "",
		Misdirected:  status == http.StatusMisdirectedRequest,
	}
	reply.Holdoff.RetryAfter, _ = time.ParseDuration(header.Get(testPause))
	if perSecond, err := strconv.ParseFloat(header.Get(testLimit), 64); err == nil {
		reply.Limit = ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: perSecond}
	}
	reply.Holdoff.Leaving = header.Get(testLeaving) != ""
	if running, err := strconv.Atoi(header.Get(testLoad)); err == nil {
		reply.Load = &Load{Running: running, Slots: 8}
		reply.Load.Slowness, _ = strconv.ParseFloat(header.Get(testSlowness), 64)
		reply.ReportsSlowness = header.Get(testSlowness) != ""
	}
	return reply
}

func (testDialect) Handle(body []byte) (string, error) {
	var handle string
	return handle, json.Unmarshal(body, &handle)
}

func (testDialect) Release(header http.Header, replica, handle string) (string, string) {
	header.Set(testReplica, replica)
	return http.MethodDelete, "/handle/" + handle
}

func (testDialect) StatusRequest(header http.Header, replica string) (string, string) {
	header.Set(testReplica, replica)
	return http.MethodGet, testStatusPath
}

func (testDialect) Birth(status []byte) int64 {
	born, _ := strconv.ParseInt(string(status), 10, 64)
	return born
}

func (testDialect) Refusal(header http.Header, call *Call, retryAfter time.Duration) {
	header.Set(testID, call.ID)
	if retryAfter > 0 {
		header.Set(testAgain, retryAfter.String())
	}
}

// fakeReplica is a replica whose requests are handled by the test.
type fakeReplica struct {
	name   string
	server *httptest.Server

	lock     sync.Mutex
	requests []*http.Request
	bodies   []string
}

func newFakeReplica(t *testing.T, name string, handle http.HandlerFunc) *fakeReplica {
	t.Helper()
	r := &fakeReplica{name: name}
	r.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		r.lock.Lock()
		r.requests = append(r.requests, request)
		r.bodies = append(r.bodies, string(body))
		r.lock.Unlock()
		handle(w, request)
	}))
	t.Cleanup(r.server.Close)
	return r
}

func (r *fakeReplica) address() string { return r.server.Listener.Addr().String() }

// refusingAddress returns an address that refuses connections: the port is bound, so that no
// other process gets it, but nothing listens there.
func refusingAddress(t *testing.T) string {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	must.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(socket) })
	must.NoError(t, unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := unix.Getsockname(socket)
	must.NoError(t, err)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
}

func (r *fakeReplica) count() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return len(r.requests)
}

// writeGenuine sets the header fields of an answer that the replica produced by running the
// request.
func writeGenuine(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testID, r.Header.Get(testID))
	w.Header().Set(testGenuine, "signature")
}

func answerOK(w http.ResponseWriter, r *http.Request) {
	writeGenuine(w, r)
	_, _ = io.WriteString(w, "answer to "+r.Header.Get(testID))
}

func answerStatus(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeGenuine(w, r)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "failure")
	}
}

// refuseRun states that the request was not run.
func refuseRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testID, r.Header.Get(testID))
	w.Header().Set(testNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// hijack passes the connection to the test.
func hijack(use func(net.Conn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		use(conn)
		_ = conn.Close()
	}
}

// closeConnection closes the connection without an answer.
var closeConnection = hijack(func(net.Conn) {})

// streamEvents streams events with increasing IDs, from the one after the caller's last event up
// to the given last one. It then ends the stream (end is empty), cuts it between events ("cut"),
// or cuts it inside an event ("inside").
func streamEvents(last int, end string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		first, _ := strconv.Atoi(r.Header.Get(testResume))
		writeGenuine(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		for id := first + 1; id <= last; id++ {
			_, _ = io.WriteString(w, eventText(id))
			w.(http.Flusher).Flush()
		}
		switch end {
		case "cut":
			panic(http.ErrAbortHandler)
		case "inside":
			_, _ = io.WriteString(w, "id: 99\ndata: half")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func eventText(id int) string {
	return "id: " + strconv.Itoa(id) + "\ndata: piece " + strconv.Itoa(id) + "\n\n"
}

func eventTexts(first, last int) string {
	var text strings.Builder
	for id := first; id <= last; id++ {
		text.WriteString(eventText(id))
	}
	return text.String()
}

// testIngress returns the routes of the tests: one host, with a path prefix for each route.
func testIngress() *api.Ingress {
	route := func(name string, kind api.RouteKind, attempts int, resumable bool, service string) api.Route {
		return api.Route{
			Name: name, Host: "a.example", PathPrefix: "/" + name + "/", Kind: kind, Attempts: attempts,
			TimeoutMilliseconds: 5000, ObjectiveMilliseconds: 200, Resumable: resumable,
			Backends: []api.RouteBackend{{Service: service, Weight: 1}},
		}
	}
	short := route("short", api.RouteUnsafe, 1, false, "plain")
	short.TimeoutMilliseconds = 100
	return &api.Ingress{Metadata: api.Metadata{Name: api.IngressName}, Spec: api.IngressSpec{
		Generation: 3,
		Routes: []api.Route{
			route("safe", api.RouteSafe, 2, false, "plain"),
			route("unsafe", api.RouteUnsafe, 2, false, "plain"),
			route("stream", api.RouteStreaming, 2, false, "plain"),
			route("resume", api.RouteStreaming, 3, true, "plain"),
			route("model", api.RouteStreaming, 2, true, "model"),
			short,
		},
		Services: []api.RouteService{{Name: "plain"}, {Name: "model", Model: &api.ModelSheet{}}},
		Limits:   api.IngressLimits{MaxBodyBytes: 1000},
	}}
}

// viewHolder holds a view that tests replace.
type viewHolder struct {
	lock    sync.Mutex
	current *view.View
}

func (h *viewHolder) Load() *view.View {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.current
}

// set replaces the view by a changed copy with the next revision.
func (h *viewHolder) set(change func(*view.View)) {
	h.lock.Lock()
	defer h.lock.Unlock()
	next := *h.current
	next.Version.Revision++
	change(&next)
	h.current = &next
}

// testEnv is an ingress with fake replicas.
type testEnv struct {
	t       *testing.T
	views   *viewHolder
	ingress *Ingress
	server  *httptest.Server
}

func newTestEnv(t *testing.T, replicas ...*fakeReplica) *testEnv {
	t.Helper()
	env := &testEnv{t: t, views: &viewHolder{current: view.New()}}
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	env.ingress = New(Config{Name: "proxy-1", Zone: "zone-a", Dialect: testDialect{}, Retry: RetryBudget{Share: 1, Reserve: 100, Settle: -1}}, env.views, clock, log.NewNopLogger())
	env.views.set(func(v *view.View) { v.Ingresses = map[string]*api.Ingress{api.IngressName: testIngress()} })
	env.setReplicas(replicas...)
	env.server = httptest.NewServer(env.ingress)
	t.Cleanup(func() {
		env.server.Close()
		env.ingress.Close()
	})
	return env
}

// setReplicas replaces the list by the given plain replicas.
func (env *testEnv) setReplicas(replicas ...*fakeReplica) {
	env.views.set(func(v *view.View) {
		v.Replicas = map[string]*api.Replica{}
		for _, replica := range replicas {
			v.Replicas[replica.name] = replicaObject(replica, "plain", api.RoleNone)
		}
	})
}

func replicaObject(replica *fakeReplica, service string, role api.EngineRole) *api.Replica {
	return &api.Replica{
		Metadata: api.Metadata{Name: replica.name},
		Spec:     api.ReplicaSpec{Service: service, Address: replica.address(), Zone: "zone-a", Slots: 8, Role: role},
	}
}

// testRequest is a caller's request. The id "-" stands for a request without one.
type testRequest struct {
	method string
	target string
	host   string
	id     string
	fields map[string]string
	body   string
}

// testResponse is what the caller receives; err is set if the answer was interrupted.
type testResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

var testClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

func (env *testEnv) do(params testRequest) testResponse {
	env.t.Helper()
	request, err := http.NewRequest(params.method, env.server.URL, strings.NewReader(params.body))
	must.NoError(env.t, err)
	request.URL.Opaque = params.target
	request.Host = params.host
	if params.host == "" {
		request.Host = "a.example"
	}
	if params.id != "-" {
		request.Header.Set(testID, params.id)
	}
	request.Header.Set("User-Agent", "") // keeps net/http from sending its default
	for name, value := range params.fields {
		request.Header.Set(name, value)
	}
	response, err := testClient.Do(request)
	if err != nil {
		return testResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return testResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}
