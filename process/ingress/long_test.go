package ingress

import (
	"io"
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

// eventsOf streams the text as it is, and then ends, or cuts the connection.
func eventsOf(text string, cut bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		genuine(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, text)
		w.(http.Flusher).Flush()
		if cut {
			panic(http.ErrAbortHandler)
		}
	}
}

// A run is joined to another one's stream only where its events come after those that
// the caller has, which their IDs alone can tell.
func TestOnlyARunThatContinuesAStreamIsJoinedToIt(t *testing.T) {
	const plain = "data: a\n\ndata: b\n\n"
	cases := []struct {
		name, first, second, want string
		sends                     int
		cut                       bool
	}{
		{"goes on", events(1, 3), events(4, 5), events(1, 5), 1, false},
		{"goes on, with comments", events(1, 3) + ": alive\n\n", ": alive\n\n" + events(4, 5), events(1, 3) + ": alive\n\n: alive\n\n" + events(4, 5), 1, false},
		{"begins anew", events(1, 3), events(1, 5), events(1, 3), 1, true},
		{"without IDs", plain, plain + "data: c\n\n", plain, 0, true},
		{"without IDs behind some with", events(1, 3) + plain, events(4, 5), events(1, 3) + plain, 0, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			first := newFakeReplica(t, "r-1", eventsOf(test.first, true))
			second := newFakeReplica(t, "r-2", eventsOf(test.second, false))
			w := newWorld(t, first)
			first.server.Config.Handler = after(first.server.Config.Handler, func() { w.list(first, second) })
			got := w.ask(asked{method: "GET", target: "/resume/", id: "q"})
			must.Eq(t, test.want, got.body)
			must.Eq(t, test.cut, got.err != nil)
			must.Eq(t, test.sends, second.count())
		})
	}
}

// A caller may take up a broken stream itself. A run that begins anew then is no more a part
// of what the caller has than one that this proxy has asked to go on.
func TestOnlyARunThatContinuesItsCallersStreamIsPassedOn(t *testing.T) {
	anew := newFakeReplica(t, "r-1", func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(testResume)
		streamEvents(3, "")(w, r)
	})
	w := newWorld(t, anew)
	got := w.ask(asked{method: "GET", target: "/resume/", id: "q", fields: map[string]string{testResume: "2"}})
	must.StrNotContains(t, got.body, eventText(1))
	must.StrNotContains(t, got.body, eventText(2))
}
