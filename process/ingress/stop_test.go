package ingress

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// noGroup is told that the process stops, and does nothing.
type noGroup struct{}

func (noGroup) Announce() {}

// Seen: a planned stop cut connections without a word, a few seconds after their requests
// had been read. It comes about where a request waits for a replica that says nothing, as
// on a connection that has fallen silent for good, until the stop has to end.
// Cause: the process ended with such requests in flight, though what became of them was
// known as well as at any time-out.
// Proof: each caller gets an answer; one that promises that the request has not run only
// if it was merely read.
func TestPlannedStopAnswersWhatItCannotSeeThrough(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	stopped := func(w *world, waits *fakeReplica, request asked) answered {
		w.ingress.config.Drain = Drain{Notice: time.Millisecond, Limit: 200 * time.Millisecond}
		got := make(chan answered, 1)
		go func() { got <- w.ask(request) }()
		eventually(t, "the request arrives", func() bool { return waits.count() == 1 })
		must.NoError(t, w.ingress.drain(w.server.Config, noGroup{}))
		must.NoError(t, w.server.Config.Close()) // as the end of the process does
		return <-got
	}
	t.Run("run", func(t *testing.T) {
		replica := newFakeReplica(t, "r-1", silent)
		got := stopped(newWorld(t, replica), replica, asked{method: http.MethodPost, target: "/unsafe/", id: "q"})
		must.NoError(t, got.err)
		must.Eq(t, http.StatusGatewayTimeout, got.status)
	})
	t.Run("read", func(t *testing.T) {
		reader, generator := newFakeReplica(t, "read", silent), newFakeReplica(t, "make", streamEvents(2, ""))
		got := stopped(newModelWorld(t, reader, generator, nil), reader, modelRequest)
		must.NoError(t, got.err)
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.Eq(t, 0, generator.count())
	})
}

// Seen: a stream that was sent 3.2 s after a planned stop had begun was cut 4 s later, in the
// middle of its answer, as the process had to end.
// Cause: a proxy that stops went on taking whatever came for half of its time, also what could
// not be seen through in the rest.
// Proof: the log of the proxy, which says that the stop had to end with the stream in flight; a
// request that comes late and may outlast the stop is to reach no replica, and its caller told so
// at once.
func TestLateRequestThatMayOutlastTheStopIsRefusedAtOnce(t *testing.T) {
	replica := newFakeReplica(t, "r-1", answerOK)
	w := newWorld(t, replica)
	w.ingress.config.Drain = Drain{Notice: 600 * time.Millisecond, Late: 200 * time.Millisecond, Limit: 900 * time.Millisecond}
	ended := make(chan error, 1)
	go func() { ended <- w.ingress.drain(w.server.Config, noGroup{}) }()
	eventually(t, "the stop begins", func() bool { return !w.ingress.Ready() })
	request := asked{method: http.MethodGet, target: "/safe/x", id: "early"}
	must.Eq(t, http.StatusOK, w.ask(request).status)
	time.Sleep(250 * time.Millisecond)

	request.id = "late"
	got := w.ask(request)
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Eq(t, "stopping\n", got.body)
	must.NotEq(t, "", got.header.Get(testAgain))
	must.Eq(t, 1, replica.count(), must.Sprint("no replica has read it"))

	request.id, request.fields = "short", map[string]string{testWithin: "200"}
	must.Eq(t, http.StatusOK, w.ask(request).status, must.Sprint("it is over in time, however long it takes"))
	must.NoError(t, <-ended)
}

// Seen by reading, of the same class as the stream above: the time of a request's head decided whether it was
// late, though what is sent late excuses no cut. How: a body that comes in slowly goes on past that moment.
// Cause and proof: the request is to reach no replica; it reached one before.
func TestBodyThatComesInLateInAStopIsRefusedAtOnce(t *testing.T) {
	replica := newFakeReplica(t, "r-1", answerOK)
	w := newWorld(t, replica)
	w.ingress.config.Drain = Drain{Notice: 600 * time.Millisecond, Late: 200 * time.Millisecond, Limit: 900 * time.Millisecond}
	body, writing := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, w.server.URL+"/unsafe/", body)
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
	eventually(t, "its head is read", func() bool { return w.ingress.serving.Load() == 1 })
	ended := make(chan error, 1)
	go func() { ended <- w.ingress.drain(w.server.Config, noGroup{}) }()
	eventually(t, "the stop begins", func() bool { return !w.ingress.Ready() })
	time.Sleep(250 * time.Millisecond)
	_, err = writing.Write([]byte("b"))
	must.NoError(t, err)
	must.NoError(t, writing.Close())
	must.Eq(t, http.StatusServiceUnavailable, <-got)
	must.Eq(t, 0, replica.count())
	must.NoError(t, <-ended)
}
