package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

func TestRequestReachesTheReplicaUnaltered(t *testing.T) {
	replica := newFakeReplica(t, "r-1", answerOK)
	env := newTestEnv(t, replica)
	got := env.do(testRequest{method: "POST", target: "/unsafe/a//b/%2e%2f?x=%20&y", id: "q-1", body: "the body",
		fields: map[string]string{"Other": "kept", "Connection": "Listed", "Listed": "dropped", testWithin: "900"}})
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "answer to q-1", got.body)
	must.Eq(t, "signature", got.header.Get(testGenuine))
	received := replica.requests[0]
	must.Eq(t, "/unsafe/a//b/%2e%2f?x=%20&y", received.RequestURI)
	must.Eq(t, "POST", received.Method)
	must.Eq(t, "a.example", received.Host)
	must.Eq(t, "the body", replica.bodies[0])
	must.Eq(t, "kept", received.Header.Get("Other"))
	must.Eq(t, "", received.Header.Get("Listed"))
	must.Eq(t, "r-1", received.Header.Get(testReplica))
	must.Eq(t, "", received.Header.Get("User-Agent"), must.Sprint("no field is added"))
	must.Eq(t, "", received.Header.Get("Accept-Encoding"))
}

func TestLocalRefusals(t *testing.T) {
	replica := newFakeReplica(t, "r-1", answerOK)
	cases := []struct {
		name    string
		request testRequest
		status  int
		again   bool
	}{
		{"no route", testRequest{method: "GET", target: "/nothing/", id: "q"}, http.StatusNotFound, false},
		{"unknown host", testRequest{method: "GET", target: "/safe/", host: "b.example", id: "q"}, http.StatusNotFound, false},
		{"host with a port", testRequest{method: "GET", target: "/safe/", host: "A.example:8080", id: "q"}, http.StatusOK, false},
		{"prefix is not a whole segment", testRequest{method: "GET", target: "/safer", id: "q"}, http.StatusNotFound, false},
		{"no request ID", testRequest{method: "GET", target: "/safe/", id: "-"}, http.StatusBadRequest, false},
		{"body too large", testRequest{method: "POST", target: "/safe/", id: "q", body: strings.Repeat("x", 1001)}, http.StatusRequestEntityTooLarge, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := newTestEnv(t, replica).do(test.request)
			must.NoError(t, got.err)
			must.Eq(t, test.status, got.status)
			must.Eq(t, test.again, got.header.Get(testAgain) != "")
		})
	}
}

func TestRequestsBeforeFirstConfigurationAreToldToRetry(t *testing.T) {
	env := newTestEnv(t)
	env.views.set(func(v *view.View) { v.Ingresses = nil })
	env.ingress.table.Store(&versionedTable{routes: newRouteTable(nil)})
	must.False(t, env.ingress.Ready())
	got := env.do(testRequest{method: "GET", target: "/safe/", id: "q"})
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get(testAgain))
}

func TestNewGenerationAppliesToNextRequest(t *testing.T) {
	env := newTestEnv(t, newFakeReplica(t, "r-1", answerOK))
	must.Eq(t, http.StatusOK, env.do(testRequest{method: "GET", target: "/safe/", id: "q"}).status)
	env.views.set(func(v *view.View) {
		next := testIngress()
		next.Spec.Generation++
		next.Spec.Routes = next.Spec.Routes[1:]
		v.Ingresses = map[string]*api.Ingress{api.IngressName: next}
	})
	must.Eq(t, http.StatusNotFound, env.do(testRequest{method: "GET", target: "/safe/", id: "q"}).status)
}

// After some results of an attempt a request may be sent again, after others it must not be.
func TestWhichRequestsAreSentAgain(t *testing.T) {
	cases := []struct {
		name  string
		route string
		first http.HandlerFunc
		// sends is the number of replicas that receive the request, status the status that the
		// caller receives.
		sends  int
		status int
		again  bool
	}{
		{"safe, connection closed", "safe", closeConnection, 2, http.StatusOK, false},
		{"safe, failed", "safe", answerStatus(http.StatusInternalServerError), 2, http.StatusOK, false},
		{"safe, not run", "safe", refuseRun, 2, http.StatusOK, false},
		{"unsafe, connection closed", "unsafe", closeConnection, 1, http.StatusBadGateway, false},
		{"unsafe, failed", "unsafe", answerStatus(http.StatusInternalServerError), 1, http.StatusInternalServerError, false},
		{"unsafe, not run", "unsafe", refuseRun, 2, http.StatusOK, false},
		{"unsafe, one attempt, not run", "short", refuseRun, 1, http.StatusServiceUnavailable, true},
		{"unsafe, another request's answer", "unsafe", answerUnmatched, 1, http.StatusBadGateway, false},
		{"safe, another request's answer", "safe", answerUnmatched, 2, http.StatusOK, false},
		{"safe, success without proof of a run", "safe", answerUnsigned, 2, http.StatusOK, false},
		{"unsafe, success without proof of a run", "unsafe", answerUnsigned, 1, http.StatusBadGateway, false},
		{"safe, answer without a request ID", "safe", answerUnnamed, 2, http.StatusOK, false},
		{"unsafe, answer without a request ID", "unsafe", answerUnnamed, 1, http.StatusBadGateway, false},
		{"safe, truncated answer", "safe", answerTruncated, 2, http.StatusOK, false},
		{"unsafe, truncated answer", "unsafe", answerTruncated, 1, http.StatusBadGateway, false},
		{"safe, misdirected", "safe", answerMisdirected, 2, http.StatusOK, false},
		{"unsafe, misdirected", "unsafe", answerMisdirected, 2, http.StatusOK, false},
		{"client error is final", "safe", answerStatus(http.StatusBadRequest), 1, http.StatusBadRequest, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			first := newFakeReplica(t, "r-1", test.first)
			second := newFakeReplica(t, "r-2", answerOK)
			env := newTestEnv(t, first)
			// The second replica is listed once the first has received the request.
			first.server.Config.Handler = callFirst(first.server.Config.Handler, func() { env.setReplicas(first, second) })
			got := env.do(testRequest{method: "GET", target: "/" + test.route + "/", id: "q"})
			must.NoError(t, got.err)
			must.Eq(t, test.status, got.status)
			must.Eq(t, test.sends, first.count()+second.count())
			must.Eq(t, test.again, got.header.Get(testAgain) != "")
		})
	}
}

// callFirst calls hook before the handler answers.
func callFirst(handler http.Handler, hook func()) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hook()
		handler.ServeHTTP(w, r)
	})
}

// answerUnmatched sends an answer with the ID of another request.
func answerUnmatched(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(testID, "another")
	w.Header().Set(testGenuine, "signature")
	_, _ = io.WriteString(w, "foreign answer")
}

// answerUnsigned sends an answer that does not state that it was produced by a run.
func answerUnsigned(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testID, r.Header.Get(testID))
	_, _ = io.WriteString(w, "unproven answer")
}

// answerUnnamed sends an answer without a request ID. Its body is also valid as the answer to a
// prefill.
func answerUnnamed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(testGenuine, "signature")
	_, _ = io.WriteString(w, `"unnamed answer"`)
}

func answerMisdirected(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testID, r.Header.Get(testID))
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func answerTruncated(w http.ResponseWriter, r *http.Request) {
	writeGenuine(w, r)
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "begun")
	panic(http.ErrAbortHandler)
}

func TestRefusedConnectionCostsNoAttempt(t *testing.T) {
	gone := &api.Replica{
		Metadata: api.Metadata{Name: "r-1"},
		Spec:     api.ReplicaSpec{Service: "plain", Address: refusingAddress(t), Zone: "zone-a", Slots: 8},
	}
	healthy := newFakeReplica(t, "r-2", answerOK)
	env := newTestEnv(t)
	env.views.set(func(v *view.View) { v.Replicas = map[string]*api.Replica{"r-1": gone} })
	must.Eq(t, http.StatusServiceUnavailable, env.do(testRequest{method: "GET", target: "/unsafe/", id: "q"}).status)
	env.views.set(func(v *view.View) {
		v.Replicas = map[string]*api.Replica{"r-1": gone, "r-2": replicaObject(healthy, "plain", api.RoleNone)}
	})
	for range 5 {
		must.Eq(t, http.StatusOK, env.do(testRequest{method: "GET", target: "/unsafe/", id: "q"}).status)
	}
}

func TestLeavingReplicasGetNothing(t *testing.T) {
	leaving, staying := newFakeReplica(t, "r-1", answerOK), newFakeReplica(t, "r-2", answerOK)
	env := newTestEnv(t, leaving, staying)
	env.views.set(func(v *view.View) {
		entry := replicaObject(leaving, "plain", api.RoleNone)
		entry.Spec.Leaving = true
		v.Replicas = map[string]*api.Replica{"r-1": entry, "r-2": v.Replicas["r-2"]}
	})
	for range 10 {
		must.Eq(t, http.StatusOK, env.do(testRequest{method: "GET", target: "/safe/", id: "q"}).status)
	}
	must.Eq(t, 0, leaving.count())
}

func TestRetriesEndWithTheBudget(t *testing.T) {
	failing := []*fakeReplica{newFakeReplica(t, "r-1", closeConnection), newFakeReplica(t, "r-2", closeConnection)}
	env := newTestEnv(t, failing...)
	env.ingress.upstreams.get("plain").budget.SetReserve(0)
	env.ingress.config.Retry.Share = 0
	env.ingress.upstreams.config.Retry = RetryBudget{Window: time.Minute}
	env.ingress.upstreams.byService = map[string]*upstream{}
	env.ingress.upstreams.version = view.Version{}
	env.setReplicas(failing...)
	for range 5 {
		must.Eq(t, http.StatusBadGateway, env.do(testRequest{method: "GET", target: "/safe/", id: "q"}).status)
	}
	must.Eq(t, 5, failing[0].count()+failing[1].count())
}

// When the route's timeout expires, the caller of a request that may have run receives 504 as its
// final answer.
func TestTimeoutIsAnsweredAtOnce(t *testing.T) {
	release := make(chan struct{})
	replica := newFakeReplica(t, "r-1", func(http.ResponseWriter, *http.Request) { <-release })
	env := newTestEnv(t, replica)
	got := env.do(testRequest{method: "GET", target: "/short/", id: "q"})
	must.Eq(t, http.StatusGatewayTimeout, got.status)
	close(release)
}

func TestReplicaGetsNoMoreTimeThanTheCallerHas(t *testing.T) {
	replica := newFakeReplica(t, "r-1", answerOK)
	env := newTestEnv(t, replica)
	env.do(testRequest{method: "GET", target: "/safe/", id: "q", fields: map[string]string{testWithin: "300"}})
	env.do(testRequest{method: "GET", target: "/safe/", id: "q", fields: map[string]string{testWithin: "90000"}})
	within := func(i int) time.Duration {
		parsed, err := time.ParseDuration(replica.requests[i].Header.Get(testWithin) + "ms")
		must.NoError(t, err)
		return parsed
	}
	must.LessEq(t, 300*time.Millisecond, within(0))
	must.LessEq(t, 5*time.Second, within(1))
}

func TestCallerThatLeavesEndsTheRun(t *testing.T) {
	ended := make(chan struct{})
	replica := newFakeReplica(t, "r-1", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	env := newTestEnv(t, replica)
	conn, err := net.Dial("tcp", env.server.Listener.Addr().String())
	must.NoError(t, err)
	_, err = io.WriteString(conn, "GET /safe/ HTTP/1.1\r\nHost: a.example\r\n"+testID+": q\r\n\r\n")
	must.NoError(t, err)
	eventually(t, "the request arrives", func() bool { return replica.count() == 1 })
	must.NoError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the replica is still working")
	}
}

func TestStreams(t *testing.T) {
	cases := []struct {
		name     string
		route    string
		first    http.HandlerFunc
		second   http.HandlerFunc
		body     string
		complete bool
	}{
		{"whole", "stream", streamEvents(3, ""), nil, eventTexts(1, 3), true},
		{"cut, not resumable", "stream", streamEvents(2, "cut"), streamEvents(3, ""), eventTexts(1, 2), false},
		{"cut inside an event, not resumable", "stream", streamEvents(2, "inside"), streamEvents(3, ""), eventTexts(1, 2), false},
		{"cut, resumed", "resume", streamEvents(2, "cut"), streamEvents(4, ""), eventTexts(1, 4), true},
		{"cut inside an event, resumed", "resume", streamEvents(2, "inside"), streamEvents(4, ""), eventTexts(1, 4), true},
		{"cut before the first event, not resumable", "stream", streamEvents(0, "cut"), streamEvents(4, ""), "", false},
		{"cut before the first event, resumed", "resume", streamEvents(0, "cut"), streamEvents(4, ""), eventTexts(1, 4), true},
		{"ends without an event", "stream", streamEvents(0, ""), nil, "", true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			first := newFakeReplica(t, "r-1", test.first)
			env := newTestEnv(t, first)
			if test.second != nil {
				second := newFakeReplica(t, "r-2", test.second)
				first.server.Config.Handler = callFirst(first.server.Config.Handler, func() { env.setReplicas(first, second) })
			}
			got := env.do(testRequest{method: "POST", target: "/" + test.route + "/", id: "q"})
			// Nothing was sent to the caller before the run broke off, so that it may get an error
			// status or none.
			if !test.complete && test.body == "" {
				must.True(t, got.err != nil || got.status == http.StatusBadGateway)
				return
			}
			must.Eq(t, test.body, got.body)
			must.Eq(t, test.complete, got.err == nil)
			must.Eq(t, "signature", got.header.Get(testGenuine))
		})
	}
}

func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	next := make(chan struct{})
	replica := newFakeReplica(t, "r-1", func(w http.ResponseWriter, r *http.Request) {
		writeGenuine(w, r)
		for id := 1; id <= 3; id++ {
			_, _ = io.WriteString(w, eventText(id))
			w.(http.Flusher).Flush()
			<-next
		}
	})
	env := newTestEnv(t, replica)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, env.server.URL+"/stream/", nil)
	must.NoError(t, err)
	request.Host = "a.example"
	request.Header.Set(testID, "q")
	response, err := testClient.Do(request)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	for id := 1; id <= 3; id++ {
		got := make([]byte, len(eventText(id)))
		_, err := io.ReadFull(response.Body, got)
		must.NoError(t, err)
		must.Eq(t, eventText(id), string(got))
		next <- struct{}{}
	}
}

func TestPlannedStopAsksCallersToCloseAndStillServes(t *testing.T) {
	env := newTestEnv(t, newFakeReplica(t, "r-1", answerOK))
	must.True(t, env.ingress.Ready())
	env.ingress.stopping.Store(true)
	must.False(t, env.ingress.Ready())
	must.False(t, env.ingress.presence().Ready)
	conn, err := net.Dial("tcp", env.server.Listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /safe/ HTTP/1.1\r\nHost: a.example\r\n"+testID+": q\r\n\r\n")
	must.NoError(t, err)
	answer, err := io.ReadAll(conn) // the server closes the connection after its answer
	must.NoError(t, err)
	must.StrContains(t, string(answer), "Connection: close")
	must.StrContains(t, string(answer), "answer to q")
}
