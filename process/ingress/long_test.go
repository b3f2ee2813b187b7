package ingress

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// A long answer whose start was sent to the caller must not be continued with another replica's
// answer: the connection is closed.
func TestLongAnswerThatBreaksOffIsCut(t *testing.T) {
	cutLong := func(w http.ResponseWriter, r *http.Request) {
		writeGenuine(w, r)
		w.Header().Set("Content-Length", "300000")
		_, _ = w.Write([]byte(strings.Repeat("x", 200_000)))
		panic(http.ErrAbortHandler)
	}
	first := newFakeReplica(t, "r-1", cutLong)
	second := newFakeReplica(t, "r-2", answerOK)
	env := newTestEnv(t, first)
	// The second replica is listed once the first has received the request.
	first.server.Config.Handler = callFirst(first.server.Config.Handler, func() { env.setReplicas(first, second) })
	got := env.do(testRequest{method: "GET", target: "/safe/", id: "q"})
	must.Error(t, got.err)
	must.False(t, strings.Contains(got.body, "answer to"))
	must.Eq(t, 0, second.count())
}

// An error answer to a resumed run must not be appended to the stream whose head and first events
// the caller has.
func TestFailureOfAResumedRunIsNotPartOfTheStream(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusNotFound, http.StatusInternalServerError} {
		first := newFakeReplica(t, "r-1", streamEvents(2, "cut"))
		second := newFakeReplica(t, "r-2", answerStatus(status))
		env := newTestEnv(t, first)
		first.server.Config.Handler = callFirst(first.server.Config.Handler, func() { env.setReplicas(first, second) })
		got := env.do(testRequest{method: "GET", target: "/resume/", id: "q"})
		must.Error(t, got.err, must.Sprint(status))
		must.Eq(t, eventTexts(1, 2), got.body)
		must.Eq(t, 1, second.count())
	}
}

// eventsOf streams the text unchanged and then ends the stream or closes the connection.
func eventsOf(text string, cut bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeGenuine(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, text)
		w.(http.Flusher).Flush()
		if cut {
			panic(http.ErrAbortHandler)
		}
	}
}

// A run continues another run's stream only if its events come after those that the caller has,
// which only their IDs can show.
func TestOnlyARunThatContinuesAStreamIsAppended(t *testing.T) {
	const plain = "data: a\n\ndata: b\n\n"
	cases := []struct {
		name, first, second, want string
		sends                     int
		cut                       bool
	}{
		{"continues", eventTexts(1, 3), eventTexts(4, 5), eventTexts(1, 5), 1, false},
		{"continues, with comments", eventTexts(1, 3) + ": alive\n\n", ": alive\n\n" + eventTexts(4, 5), eventTexts(1, 3) + ": alive\n\n: alive\n\n" + eventTexts(4, 5), 1, false},
		{"starts over", eventTexts(1, 3), eventTexts(1, 5), eventTexts(1, 3), 1, true},
		{"without IDs", plain, plain + "data: c\n\n", plain, 0, true},
		{"without IDs after some with IDs", eventTexts(1, 3) + plain, eventTexts(4, 5), eventTexts(1, 3) + plain, 0, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			first := newFakeReplica(t, "r-1", eventsOf(test.first, true))
			second := newFakeReplica(t, "r-2", eventsOf(test.second, false))
			env := newTestEnv(t, first)
			first.server.Config.Handler = callFirst(first.server.Config.Handler, func() { env.setReplicas(first, second) })
			got := env.do(testRequest{method: "GET", target: "/resume/", id: "q"})
			must.Eq(t, test.want, got.body)
			must.Eq(t, test.cut, got.err != nil)
			must.Eq(t, test.sends, second.count())
		})
	}
}

// A caller may resume an interrupted stream itself, with the ID of its last event. A run that then
// starts over with earlier events must not be passed on.
func TestOnlyARunThatContinuesItsCallersStreamIsPassedOn(t *testing.T) {
	restarting := newFakeReplica(t, "r-1", func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(testResume)
		streamEvents(3, "")(w, r)
	})
	env := newTestEnv(t, restarting)
	got := env.do(testRequest{method: "GET", target: "/resume/", id: "q", fields: map[string]string{testResume: "2"}})
	must.StrNotContains(t, got.body, eventText(1))
	must.StrNotContains(t, got.body, eventText(2))
}
