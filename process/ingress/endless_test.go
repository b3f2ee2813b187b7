package ingress

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// genuineHead is the head of an answer of a run, without the line that ends it.
func genuineHead(r *http.Request, status string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: signature\r\n", status, testID, r.Header.Get(testID), testGenuine)
}

// sendWithoutEnd writes what begin returns and then the piece until the proxy closes the connection, fast or
// a piece each 10 ms.
func sendWithoutEnd(begin func(r *http.Request) string, piece string, slowly bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := conn.Write([]byte(begin(r))); err != nil {
			return
		}
		for sendPiece(conn, piece, slowly) == nil {
		}
	}
}

func sendPiece(conn net.Conn, piece string, slowly bool) error {
	if slowly {
		_, err := conn.Write([]byte(piece))
		time.Sleep(10 * time.Millisecond)
		return err
	}
	_, err := conn.Write(bytes.Repeat([]byte(piece), 1+4096/len(piece)))
	return err
}

// Beginnings of answers that do not end.
func beginHead(r *http.Request) string  { return genuineHead(r, "200 OK") }
func beginClose(r *http.Request) string { return genuineHead(r, "200 OK") + "\r\n" }
func beginChunks(r *http.Request) string {
	return genuineHead(r, "200 OK") + "Transfer-Encoding: chunked\r\n\r\n"
}
func beginRefusal(r *http.Request) string {
	return genuineHead(r, "503 Busy") + testNotRun + ": 1\r\n\r\n"
}

// pieceOfChunks is a whole chunk of 100 bytes.
var pieceOfChunks = "64\r\n" + strings.Repeat("x", 100) + "\r\n"

// underLoad has the answers report a load, so that other replicas are preferred.
func underLoad(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testLoad, "7")
		handle(w, r)
	}
}

// newEndlessEnv returns an environment with a replica that is preferred and one that answers, after that has
// answered enough requests of the path.
func newEndlessEnv(t *testing.T, faulty, sound http.HandlerFunc, path string) (env *testEnv, bad, good *fakeReplica) {
	bad, good = newFakeReplica(t, "bad", faulty), newFakeReplica(t, "good", underLoad(sound))
	env = newTestEnv(t, good)
	for i := range minKnownOnce {
		must.Eq(t, http.StatusOK, env.do(plainRequest(path, i)).status)
	}
	env.setReplicas(bad, good)
	return env, bad, good
}

// Guards against callers that wait until their deadline, and are passed on hundreds of megabytes, because a
// replica sends bytes that are not an answer until its connection is closed. The list is of all places at
// which a proxy reads from a replica for a request; connection/exchange has the parts of heads and framing.
func TestAnswersWithoutEndAreCutOff(t *testing.T) {
	const maxTime = 1200 * time.Millisecond
	cases := []struct {
		name, path   string
		begin        func(r *http.Request) string
		piece        string
		status       int // of the caller's answer; 0 for one that breaks off
		statusSlowly int
	}{
		{"head", "safe", beginHead, "Padding: x\r\n", 200, 200},
		{"head, run once", "unsafe", beginHead, "Padding: x\r\n", 502, 502},
		{"interim heads", "safe", func(*http.Request) string { return "" }, "HTTP/1.1 102 Processing\r\n\r\n", 200, 200},
		{"body to the end of the connection", "safe", beginClose, "x", 200, 200},
		{"body to the end of the connection, run once", "unsafe", beginClose, "x", 0, 502},
		{"body in chunks", "safe", beginChunks, pieceOfChunks, 200, 200},
		{"body in chunks, run once", "unsafe", beginChunks, pieceOfChunks, 0, 502},
		{"chunk size", "safe", beginChunks, "0", 200, 200},
		{"event, run once", "stream", beginClose, "data: x", 502, 502},
		{"event", "resume", beginClose, "data: x", 200, 200},
		{"event in chunks", "resume", beginChunks, pieceOfChunks, 200, 200},
		{"lines of an event", "resume", beginClose, "data: x\n", 200, 200},
		{"refusal", "unsafe", beginRefusal, "x", 200, 200},
	}
	for _, test := range cases {
		for _, slowly := range []bool{false, true} {
			name, status := test.name, test.status
			if slowly {
				name, status = name+", slowly", test.statusSlowly
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				sound := answerOK
				if test.path == "stream" || test.path == "resume" {
					sound = streamEvents(2, "")
				}
				env, bad, _ := newEndlessEnv(t, sendWithoutEnd(test.begin, test.piece, slowly), sound, test.path)
				begun := time.Now()
				got := env.do(plainRequest(test.path, minKnownOnce))
				must.Less(t, maxTime, time.Since(begun))
				must.Eq(t, 1, bad.count())
				must.Eq(t, status == 0, got.err != nil)
				if status != 0 {
					must.Eq(t, status, got.status)
				}
				if test.path == "safe" && strings.HasSuffix(name, "head, slowly") {
					return // found by the timeout for silent replicas, or by the arrival rate of the head
				}
				requireEndless(t, env, "plain", "bad")
			})
		}
	}
}

// requireEndless checks that the replica is avoided and has failed, and that no crash was seen in that.
func requireEndless(t *testing.T, env *testEnv, service, name string) {
	t.Helper()
	current := env.ingress.upstreams.get(service).find(name)
	must.Positive(t, current.endlessRest(env.ingress.now()))
	must.True(t, current.isSuspect(env.ingress.now()))
	must.Positive(t, current.occupancy(env.ingress.now()).failureRate)
	must.Eq(t, 0, current.crashedAt)
	must.False(t, env.ingress.guard.Active(), must.Sprint("the request must not be on record"))
}

// Guards against a stream that is kept open by comments alone: its caller has the head and comments, and the
// run is resumed elsewhere where the route allows it.
func TestCommentsWithoutEndAreCutOff(t *testing.T) {
	for path, resumed := range map[string]bool{"stream": false, "resume": true} {
		for _, slowly := range []bool{false, true} {
			t.Run(fmt.Sprint(path, slowly), func(t *testing.T) {
				t.Parallel()
				env, bad, _ := newEndlessEnv(t, sendWithoutEnd(beginClose, ": x\n\n", slowly), streamEvents(2, ""), path)
				begun := time.Now()
				got := env.do(plainRequest(path, minKnownOnce))
				must.Less(t, 1200*time.Millisecond, time.Since(begun))
				must.Eq(t, 1, bad.count())
				must.Eq(t, resumed, got.err == nil)
				if resumed {
					must.True(t, strings.HasSuffix(got.body, eventTexts(1, 2)))
				}
				requireEndless(t, env, "plain", "bad")
			})
		}
	}
}

// Guards against a replica that is asked again and again because the control group, which gets a report of each stream
// that it starts, goes on choosing it.
func TestEndlessReplicaIsAvoidedWhereTheGroupChoosesIt(t *testing.T) {
	prefiller := newFakeReplica(t, "read", answerPrefill)
	bad := newFakeReplica(t, "bad", sendWithoutEnd(func(r *http.Request) string { return beginClose(r) + eventText(1) }, "data: x", false))
	good := newFakeReplica(t, "good", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, bad, good)
	env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "bad"}}
	env.do(numberedModelRequest(0)) // breaks off: this placer chooses the same replica again
	asked := bad.count()
	must.Positive(t, asked)
	for i := range 5 {
		got := env.do(numberedModelRequest(i + 1))
		must.NoError(t, got.err)
		must.Eq(t, eventTexts(1, 2), got.body)
	}
	must.Eq(t, asked, bad.count())
	requireEndless(t, env, "model", "bad")
}

// Guards against a prefill that keeps its request from running, and against an answer without end that is
// taken for a handle.
func TestPrefillAnswersWithoutEndAreCutOff(t *testing.T) {
	for name, begin := range map[string]func(r *http.Request) string{
		"no handle": beginClose, "after a handle": func(r *http.Request) string { return beginClose(r) + `"handle-7"` },
	} {
		for _, slowly := range []bool{false, true} {
			t.Run(fmt.Sprint(name, slowly), func(t *testing.T) {
				t.Parallel()
				prefiller := newFakeReplica(t, "read", sendWithoutEnd(begin, " ", slowly))
				decoder := newFakeReplica(t, "make", streamEvents(2, ""))
				env := newModelEnv(t, prefiller, decoder, nil)
				placer := &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
				env.ingress.placer = placer
				begun := time.Now()
				got := env.do(modelRequest)
				must.Less(t, 1200*time.Millisecond, time.Since(begun))
				must.NoError(t, got.err)
				must.Eq(t, eventTexts(1, 2), got.body)
				must.Eq(t, "", decoder.requests[0].Header.Get(testSource))
				must.Eq(t, placement.StepFailed, placer.steps()[0])
				requireEndless(t, env, "model", "read")
			})
		}
	}
}

// Guards against cutting off answers that are larger or slower than the usual ones of their route.
func TestLargeAndSlowAnswersArePassedOnWhole(t *testing.T) {
	const large = 50 << 20
	inPieces := func(pieces, size int, pause time.Duration, length bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			writeGenuine(w, r)
			if length {
				w.Header().Set("Content-Length", fmt.Sprint(pieces*size))
			}
			for range pieces {
				_, _ = w.Write(bytes.Repeat([]byte("x"), size))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(pause)
			}
		}
	}
	for _, test := range []struct {
		name, path string
		handle     http.HandlerFunc
		size       int
	}{
		{"large with a length, slowly", "unsafe", inPieces(50, large/50, 20*time.Millisecond, true), large},
		{"small with a length, slowly", "unsafe", inPieces(60, 1, 15*time.Millisecond, true), 60},
		{"chunks, larger than usual", "safe", inPieces(20, 100_000, 0, false), 2_000_000},
		{"chunks, larger than usual, run once", "unsafe", inPieces(20, 100_000, 0, false), 2_000_000},
		{"chunks, slower than usual", "safe", inPieces(60, 1, 15*time.Millisecond, false), 60},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			first := newFakeReplica(t, "first", test.handle)
			usual := newFakeReplica(t, "usual", underLoad(answerOK))
			env := newTestEnv(t, usual)
			for i := range minKnownOnce {
				must.Eq(t, http.StatusOK, env.do(plainRequest(test.path, i)).status)
			}
			env.setReplicas(first, newFakeReplica(t, "second", test.handle))
			got := env.do(plainRequest(test.path, minKnownOnce))
			must.NoError(t, got.err)
			must.Eq(t, http.StatusOK, got.status)
			must.Eq(t, test.size, len(got.body))
		})
	}
}

// Guards against a stream that is cut off for the comments that keep it open.
func TestOccasionalCommentsAreAllowed(t *testing.T) {
	var meter commentMeter
	now := time.Duration(0)
	for range 1000 {
		now += 500 * time.Millisecond
		must.NoError(t, meter.note(now, []byte(": x\n\n")))
	}
	must.NoError(t, meter.note(now, []byte("data: x\n\n")))
	for range maxComments {
		must.NoError(t, meter.note(now, []byte("\n")))
	}
	must.Error(t, meter.note(now, []byte("\n")))
}

// Guards against a replica that is asked again at once because it has answered something else: the time for
// which it is avoided must double as that of a replica that gives no answer.
func TestEndlessReplicaIsAvoidedForLonger(t *testing.T) {
	current := newReplica("r", api.ReplicaSpec{}, nil)
	now := time.Minute
	for _, want := range []time.Duration{500, 1000, 2000, 4000, 8000, 8000} {
		current.noteEndless(now)
		current.noteEndless(now) // another request that was in flight
		current.noteAnswer(nil, now)
		current.noteSuccess()
		must.Eq(t, want*time.Millisecond, current.endlessRest(now))
		must.True(t, current.occupancy(now).suspect)
		now += current.endlessRest(now)
		must.False(t, current.occupancy(now).suspect)
	}
	now += endlessMemory + time.Second
	current.noteEndless(now)
	must.Eq(t, initialSuspectTime, current.endlessRest(now))
}

// Guards against cutting off every answer of a route that has become larger, where requests cannot be sent
// again. A single replica does not change the limit.
func TestLimitsFollowTheRoute(t *testing.T) {
	var profile routeProfile
	must.Eq(t, bodyLimits{size: unknownBodyLimit}, profile.limits(false))
	for range minKnownOnce {
		profile.observe(100, time.Millisecond)
	}
	must.Eq(t, bodyLimits{size: minBodyLimit, time: minBodyTimeOnce}, profile.limits(false))
	must.Eq(t, bodyLimits{size: maxBufferedAnswer - 1, time: minBodyTime}, profile.limits(true))
	for range 5 {
		profile.observeCut(0, "a", minBodyLimit, time.Second)
	}
	must.Eq(t, minBodyLimit, profile.limits(false).size)
	profile.observeCut(0, "b", minBodyLimit, time.Second)
	must.Eq(t, bodyLimits{size: sizeFactor * minBodyLimit, time: onceTimeFactor * time.Second}, profile.limits(false))
	for range 2*profileAnswers + 1 {
		profile.observe(100, time.Millisecond)
	}
	must.Eq(t, minBodyLimit, profile.limits(false).size, must.Sprint("old answers are forgotten"))
}
