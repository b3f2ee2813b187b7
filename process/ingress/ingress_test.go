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
	w := newWorld(t, replica)
	got := w.ask(asked{method: "POST", target: "/unsafe/a//b/%2e%2f?x=%20&y", id: "q-1", body: "the body",
		fields: map[string]string{"Other": "kept", "Connection": "Listed", "Listed": "dropped", testWithin: "900"}})
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "answer to q-1", got.body)
	must.Eq(t, "signature", got.header.Get(testGenuine))
	seen := replica.requests[0]
	must.Eq(t, "/unsafe/a//b/%2e%2f?x=%20&y", seen.RequestURI)
	must.Eq(t, "POST", seen.Method)
	must.Eq(t, "a.example", seen.Host)
	must.Eq(t, "the body", replica.bodies[0])
	must.Eq(t, "kept", seen.Header.Get("Other"))
	must.Eq(t, "", seen.Header.Get("Listed"))
	must.Eq(t, "r-1", seen.Header.Get(testReplica))
	must.Eq(t, "", seen.Header.Get("User-Agent"), must.Sprint("nothing is added"))
	must.Eq(t, "", seen.Header.Get("Accept-Encoding"))
}

func TestOwnAnswers(t *testing.T) {
	replica := newFakeReplica(t, "r-1", answerOK)
	cases := []struct {
		name   string
		given  asked
		status int
		again  bool
	}{
		{"no route", asked{method: "GET", target: "/nothing/", id: "q"}, http.StatusNotFound, false},
		{"unknown host", asked{method: "GET", target: "/safe/", host: "b.example", id: "q"}, http.StatusNotFound, false},
		{"host with a port", asked{method: "GET", target: "/safe/", host: "A.example:8080", id: "q"}, http.StatusOK, false},
		{"prefix is not a whole segment", asked{method: "GET", target: "/safer", id: "q"}, http.StatusNotFound, false},
		{"no name", asked{method: "GET", target: "/safe/", id: "-"}, http.StatusBadRequest, false},
		{"body too large", asked{method: "POST", target: "/safe/", id: "q", body: strings.Repeat("x", 1001)}, http.StatusRequestEntityTooLarge, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := newWorld(t, replica).ask(test.given)
			must.NoError(t, got.err)
			must.Eq(t, test.status, got.status)
			must.Eq(t, test.again, got.header.Get(testAgain) != "")
		})
	}
}

func TestBeforeAnyConfigurationCallersComeBackLater(t *testing.T) {
	w := newWorld(t)
	w.views.set(func(v *view.View) { v.Ingresses = nil })
	w.ingress.table.Store(&versionedTable{routes: newRouteTable(nil)})
	must.False(t, w.ingress.Ready())
	got := w.ask(asked{method: "GET", target: "/safe/", id: "q"})
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get(testAgain))
}

func TestNewGenerationIsInForceWithTheNextRequest(t *testing.T) {
	w := newWorld(t, newFakeReplica(t, "r-1", answerOK))
	must.Eq(t, http.StatusOK, w.ask(asked{method: "GET", target: "/safe/", id: "q"}).status)
	w.views.set(func(v *view.View) {
		next := testIngress()
		next.Spec.Generation++
		next.Spec.Routes = next.Spec.Routes[1:]
		v.Ingresses = map[string]*api.Ingress{api.IngressName: next}
	})
	must.Eq(t, http.StatusNotFound, w.ask(asked{method: "GET", target: "/safe/", id: "q"}).status)
}

// What may be sent again after which end of an attempt.
func TestRepeats(t *testing.T) {
	cases := []struct {
		name  string
		route string
		first http.HandlerFunc
		// sends is how many replicas got the request, status what the caller gets.
		sends  int
		status int
		again  bool
	}{
		{"safe, broken off", "safe", breakOff, 2, http.StatusOK, false},
		{"safe, failed", "safe", answerStatus(http.StatusInternalServerError), 2, http.StatusOK, false},
		{"safe, not run", "safe", refuseRun, 2, http.StatusOK, false},
		{"unsafe, broken off", "unsafe", breakOff, 1, http.StatusBadGateway, false},
		{"unsafe, failed", "unsafe", answerStatus(http.StatusInternalServerError), 1, http.StatusInternalServerError, false},
		{"unsafe, not run", "unsafe", refuseRun, 2, http.StatusOK, false},
		{"unsafe, one attempt, not run", "short", refuseRun, 1, http.StatusServiceUnavailable, true},
		{"unsafe, another replica's answer", "unsafe", foreign, 1, http.StatusBadGateway, false},
		{"safe, another request's answer", "safe", foreign, 2, http.StatusOK, false},
		{"safe, success without a run", "safe", unsigned, 2, http.StatusOK, false},
		{"unsafe, success without a run", "unsafe", unsigned, 1, http.StatusBadGateway, false},
		{"safe, answer without a name", "safe", unnamed, 2, http.StatusOK, false},
		{"unsafe, answer without a name", "unsafe", unnamed, 1, http.StatusBadGateway, false},
		{"safe, short answer", "safe", short, 2, http.StatusOK, false},
		{"unsafe, short answer", "unsafe", short, 1, http.StatusBadGateway, false},
		{"safe, misdirected", "safe", misdirected, 2, http.StatusOK, false},
		{"unsafe, misdirected", "unsafe", misdirected, 2, http.StatusOK, false},
		{"client's fault is final", "safe", answerStatus(http.StatusBadRequest), 1, http.StatusBadRequest, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			first := newFakeReplica(t, "r-1", test.first)
			second := newFakeReplica(t, "r-2", answerOK)
			w := newWorld(t, first)
			// The second replica is listed once the first has got the request.
			first.server.Config.Handler = after(first.server.Config.Handler, func() { w.list(first, second) })
			got := w.ask(asked{method: "GET", target: "/" + test.route + "/", id: "q"})
			must.NoError(t, got.err)
			must.Eq(t, test.status, got.status)
			must.Eq(t, test.sends, first.count()+second.count())
			must.Eq(t, test.again, got.header.Get(testAgain) != "")
		})
	}
}

// after calls done before the handler answers.
func after(handler http.Handler, done func()) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		done()
		handler.ServeHTTP(w, r)
	})
}

func foreign(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(testID, "another")
	w.Header().Set(testGenuine, "signature")
	_, _ = io.WriteString(w, "not yours")
}

func unsigned(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testID, r.Header.Get(testID))
	_, _ = io.WriteString(w, "from nobody")
}

func unnamed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(testGenuine, "signature")
	_, _ = io.WriteString(w, `"for somebody"`)
}

func misdirected(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testID, r.Header.Get(testID))
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func short(w http.ResponseWriter, r *http.Request) {
	genuine(w, r)
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "begun")
	panic(http.ErrAbortHandler)
}

func TestReplicaThatIsNotThereCostsNoAttempt(t *testing.T) {
	gone := &api.Replica{
		Metadata: api.Metadata{Name: "r-1"},
		Spec:     api.ReplicaSpec{Service: "plain", Address: refusingAddress(t), Zone: "zone-a", Slots: 8},
	}
	sound := newFakeReplica(t, "r-2", answerOK)
	w := newWorld(t)
	w.views.set(func(v *view.View) { v.Replicas = map[string]*api.Replica{"r-1": gone} })
	must.Eq(t, http.StatusServiceUnavailable, w.ask(asked{method: "GET", target: "/unsafe/", id: "q"}).status)
	w.views.set(func(v *view.View) {
		v.Replicas = map[string]*api.Replica{"r-1": gone, "r-2": listed(sound, "plain", api.RoleNone)}
	})
	for range 5 {
		must.Eq(t, http.StatusOK, w.ask(asked{method: "GET", target: "/unsafe/", id: "q"}).status)
	}
}

func TestLeavingReplicasGetNothing(t *testing.T) {
	leaving, staying := newFakeReplica(t, "r-1", answerOK), newFakeReplica(t, "r-2", answerOK)
	w := newWorld(t, leaving, staying)
	w.views.set(func(v *view.View) {
		entry := listed(leaving, "plain", api.RoleNone)
		entry.Spec.Leaving = true
		v.Replicas = map[string]*api.Replica{"r-1": entry, "r-2": v.Replicas["r-2"]}
	})
	for range 10 {
		must.Eq(t, http.StatusOK, w.ask(asked{method: "GET", target: "/safe/", id: "q"}).status)
	}
	must.Eq(t, 0, leaving.count())
}

func TestRetriesEndWithTheBudget(t *testing.T) {
	failing := []*fakeReplica{newFakeReplica(t, "r-1", breakOff), newFakeReplica(t, "r-2", breakOff)}
	w := newWorld(t, failing...)
	w.ingress.upstreams.get("plain").budget.SetReserve(0)
	w.ingress.config.Retry.Share = 0
	w.ingress.upstreams.config.Retry = RetryBudget{Window: time.Minute}
	w.ingress.upstreams.byService = map[string]*upstream{}
	w.ingress.upstreams.version = view.Version{}
	w.list(failing...)
	for range 5 {
		must.Eq(t, http.StatusBadGateway, w.ask(asked{method: "GET", target: "/safe/", id: "q"}).status)
	}
	must.Eq(t, 5, failing[0].count()+failing[1].count())
}

// At the route's time the caller gets its final answer: 504 where the request may
// have run, and otherwise when to come back.
func TestTimeoutIsAnsweredAtOnce(t *testing.T) {
	release := make(chan struct{})
	replica := newFakeReplica(t, "r-1", func(http.ResponseWriter, *http.Request) { <-release })
	w := newWorld(t, replica)
	got := w.ask(asked{method: "GET", target: "/short/", id: "q"})
	must.Eq(t, http.StatusGatewayTimeout, got.status)
	close(release)
}

func TestReplicaGetsNoMoreTimeThanTheCallerHas(t *testing.T) {
	replica := newFakeReplica(t, "r-1", answerOK)
	w := newWorld(t, replica)
	w.ask(asked{method: "GET", target: "/safe/", id: "q", fields: map[string]string{testWithin: "300"}})
	w.ask(asked{method: "GET", target: "/safe/", id: "q", fields: map[string]string{testWithin: "90000"}})
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
	w := newWorld(t, replica)
	conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
	must.NoError(t, err)
	_, err = io.WriteString(conn, "GET /safe/ HTTP/1.1\r\nHost: a.example\r\n"+testID+": q\r\n\r\n")
	must.NoError(t, err)
	eventually(t, "the request arrives", func() bool { return replica.count() == 1 })
	must.NoError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the replica still works")
	}
}

func TestStreams(t *testing.T) {
	cases := []struct {
		name   string
		route  string
		first  http.HandlerFunc
		second http.HandlerFunc
		body   string
		whole  bool
	}{
		{"whole", "stream", streamEvents(3, ""), nil, events(1, 3), true},
		{"cut, not to be resumed", "stream", streamEvents(2, "cut"), streamEvents(3, ""), events(1, 2), false},
		{"cut inside an event, not to be resumed", "stream", streamEvents(2, "inside"), streamEvents(3, ""), events(1, 2), false},
		{"cut, resumed", "resume", streamEvents(2, "cut"), streamEvents(4, ""), events(1, 4), true},
		{"cut inside an event, resumed", "resume", streamEvents(2, "inside"), streamEvents(4, ""), events(1, 4), true},
		{"cut before the first event, not to be resumed", "stream", streamEvents(0, "cut"), streamEvents(4, ""), "", false},
		{"cut before the first event, resumed", "resume", streamEvents(0, "cut"), streamEvents(4, ""), events(1, 4), true},
		{"ends without an event", "stream", streamEvents(0, ""), nil, "", true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			first := newFakeReplica(t, "r-1", test.first)
			w := newWorld(t, first)
			if test.second != nil {
				second := newFakeReplica(t, "r-2", test.second)
				first.server.Config.Handler = after(first.server.Config.Handler, func() { w.list(first, second) })
			}
			got := w.ask(asked{method: "POST", target: "/" + test.route + "/", id: "q"})
			if !test.whole && test.body == "" {
				must.True(t, got.err != nil || got.status == http.StatusBadGateway)
				return
			}
			must.Eq(t, test.body, got.body)
			must.Eq(t, test.whole, got.err == nil)
			must.Eq(t, "signature", got.header.Get(testGenuine))
		})
	}
}

func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	next := make(chan struct{})
	replica := newFakeReplica(t, "r-1", func(w http.ResponseWriter, r *http.Request) {
		genuine(w, r)
		for id := 1; id <= 3; id++ {
			_, _ = io.WriteString(w, eventText(id))
			w.(http.Flusher).Flush()
			<-next
		}
	})
	w := newWorld(t, replica)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, w.server.URL+"/stream/", nil)
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
	w := newWorld(t, newFakeReplica(t, "r-1", answerOK))
	must.True(t, w.ingress.Ready())
	w.ingress.stopping.Store(true)
	must.False(t, w.ingress.Ready())
	must.False(t, w.ingress.presence().Ready)
	conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /safe/ HTTP/1.1\r\nHost: a.example\r\n"+testID+": q\r\n\r\n")
	must.NoError(t, err)
	answer, err := io.ReadAll(conn) // the server closes after its answer
	must.NoError(t, err)
	must.StrContains(t, string(answer), "Connection: close")
	must.StrContains(t, string(answer), "answer to q")
}
