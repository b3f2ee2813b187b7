package ingress

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// noopAnnouncer ignores announcements.
type noopAnnouncer struct{}

func (noopAnnouncer) Announce() {}

// Guards against a planned stop that closes connections without an answer. A request may wait for
// a replica that sends nothing until the stop reaches its limit. Its outcome is then as certain
// as after a timeout, so each caller must get an answer, and one that promises that the request
// has not run only if it was merely prefilled.
func TestPlannedStopAnswersUnfinishedRequests(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	stopDuring := func(env *testEnv, waiting *fakeReplica, request testRequest) testResponse {
		env.ingress.config.Drain = Drain{Notice: time.Millisecond, Limit: 200 * time.Millisecond}
		got := make(chan testResponse, 1)
		go func() { got <- env.do(request) }()
		eventually(t, "the request arrives", func() bool { return waiting.count() == 1 })
		must.NoError(t, env.ingress.drain(env.server.Config, noopAnnouncer{}))
		must.NoError(t, env.server.Config.Close()) // as at the end of the process
		return <-got
	}
	t.Run("run", func(t *testing.T) {
		replica := newFakeReplica(t, "r-1", silent)
		got := stopDuring(newTestEnv(t, replica), replica, testRequest{method: http.MethodPost, target: "/unsafe/", id: "q"})
		must.NoError(t, got.err)
		must.Eq(t, http.StatusGatewayTimeout, got.status)
	})
	t.Run("read", func(t *testing.T) {
		prefiller, decoder := newFakeReplica(t, "read", silent), newFakeReplica(t, "make", streamEvents(2, ""))
		got := stopDuring(newModelEnv(t, prefiller, decoder, nil), prefiller, modelRequest)
		must.NoError(t, got.err)
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.Eq(t, 0, decoder.count())
	})
}

// Guards against accepting requests late in a planned stop that may outlast it. When the proxy
// went on accepting all requests for half of the stop, a stream that was sent 3.2 s after its
// start was cut 4 s later, in the middle of its answer. Such a request must reach no replica, and
// its caller must be told at once.
func TestLateRequestThatMayOutlastTheStopIsRefusedAtOnce(t *testing.T) {
	replica := newFakeReplica(t, "r-1", answerOK)
	env := newTestEnv(t, replica)
	env.ingress.config.Drain = Drain{Notice: 600 * time.Millisecond, RefuseAfter: 200 * time.Millisecond, Limit: 900 * time.Millisecond}
	ended := make(chan error, 1)
	go func() { ended <- env.ingress.drain(env.server.Config, noopAnnouncer{}) }()
	eventually(t, "the stop begins", func() bool { return !env.ingress.Ready() })
	request := testRequest{method: http.MethodGet, target: "/safe/x", id: "early"}
	must.Eq(t, http.StatusOK, env.do(request).status)
	time.Sleep(250 * time.Millisecond)

	request.id = "late"
	got := env.do(request)
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Eq(t, "stopping\n", got.body)
	must.NotEq(t, "", got.header.Get(testAgain))
	must.Eq(t, 1, replica.count(), must.Sprint("no replica has received it"))

	request.id, request.fields = "short", map[string]string{testWithin: "200"}
	must.Eq(t, http.StatusOK, env.do(request).status, must.Sprint("it ends in time in any case"))
	must.NoError(t, <-ended)
}

// Guards against deciding by the arrival of the head whether a request is late in a planned stop:
// a body that arrives slowly may end much later. The request must reach no replica.
func TestRequestWhoseBodyArrivesLateInAStopIsRefusedAtOnce(t *testing.T) {
	replica := newFakeReplica(t, "r-1", answerOK)
	env := newTestEnv(t, replica)
	env.ingress.config.Drain = Drain{Notice: 600 * time.Millisecond, RefuseAfter: 200 * time.Millisecond, Limit: 900 * time.Millisecond}
	body, writing := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, env.server.URL+"/unsafe/", body)
	must.NoError(t, err)
	request.Host, request.ContentLength = "a.example", 2
	request.Header.Set(testID, "slow")
	got := make(chan int, 1)
	go func() {
		response, err := testClient.Do(request)
		if err != nil {
			got <- 0
			return
		}
		_ = response.Body.Close()
		got <- response.StatusCode
	}()
	_, err = writing.Write([]byte("a"))
	must.NoError(t, err)
	eventually(t, "the head is read", func() bool { return env.ingress.serving.Load() == 1 })
	ended := make(chan error, 1)
	go func() { ended <- env.ingress.drain(env.server.Config, noopAnnouncer{}) }()
	eventually(t, "the stop begins", func() bool { return !env.ingress.Ready() })
	time.Sleep(250 * time.Millisecond)
	_, err = writing.Write([]byte("b"))
	must.NoError(t, err)
	must.NoError(t, writing.Close())
	must.Eq(t, http.StatusServiceUnavailable, <-got)
	must.Eq(t, 0, replica.count())
	must.NoError(t, <-ended)
}
