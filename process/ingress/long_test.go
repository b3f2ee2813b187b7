package ingress

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// A long answer, whose beginning the caller has, is not continued by another
// replica's answer: the connection is cut.
func TestLongAnswerThatBreaksOffIsCut(t *testing.T) {
	cutLong := func(w http.ResponseWriter, r *http.Request) {
		genuine(w, r)
		w.Header().Set("Content-Length", "300000")
		_, _ = w.Write([]byte(strings.Repeat("x", 200_000)))
		panic(http.ErrAbortHandler)
	}
	first := newFakeReplica(t, "r-1", cutLong)
	second := newFakeReplica(t, "r-2", answerOK)
	w := newWorld(t, first)
	// The second replica is listed once the first has got the request.
	first.server.Config.Handler = after(first.server.Config.Handler, func() { w.list(first, second) })
	got := w.ask(asked{method: "GET", target: "/safe/", id: "q"})
	must.Error(t, got.err)
	must.False(t, strings.Contains(got.body, "answer to"))
	must.Eq(t, 0, second.count())
}

// A resumed run that its replica answers with a failure adds nothing to the stream whose
// head and first events the caller has.
func TestFailureOfAResumedRunIsNotPartOfTheStream(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusNotFound, http.StatusInternalServerError} {
		first := newFakeReplica(t, "r-1", streamEvents(2, "cut"))
		second := newFakeReplica(t, "r-2", answerStatus(status))
		w := newWorld(t, first)
		first.server.Config.Handler = after(first.server.Config.Handler, func() { w.list(first, second) })
		got := w.ask(asked{method: "GET", target: "/resume/", id: "q"})
		must.Error(t, got.err, must.Sprint(status))
		must.Eq(t, events(1, 2), got.body)
		must.Eq(t, 1, second.count())
	}
}
