package ingress

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// Seen: replicas that were full answered 503 and asked a proxy to stay away for three
// seconds; it sent them three to six more requests in that time, where two are allowed.
// How: the leader placed reads and runs there as before, once another was refused, since a
// refusal counted for a tenth of a second at most, and that of a read for nothing.
// Cause: no part of the data path read the field that names the time.
// Proof: the ways below, each with a replica that asks once and then would serve; what
// reaches it after that is counted.

// pauseOnce asks for a pause with its first answer, and serves all that comes after it.
func pauseOnce(pause string, status int, serve http.HandlerFunc) http.HandlerFunc {
	var asked atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		if asked.Swap(true) {
			serve(w, r)
			return
		}
		w.Header().Set(testID, r.Header.Get(testID))
		w.Header().Set(testPause, pause)
		if status == http.StatusServiceUnavailable {
			w.Header().Set(testNotRun, "1")
		}
		w.WriteHeader(status)
	}
}

// leaveAlways serves, and says with each answer that the replica leaves.
func leaveAlways(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testLeaving, "1")
		serve(w, r)
	}
}

func request(path string, number int) asked {
	return asked{method: "POST", target: "/" + path + "/", id: fmt.Sprintf("r%d", number), fields: map[string]string{}}
}

func modelAsk(number int) asked {
	given := request("model", number)
	given.fields[testTokens] = "9000"
	return given
}

func TestWhatReplicasAskForIsKept(t *testing.T) {
	t.Run("pause", testPausesAreKept)
	t.Run("leaving", testLeavingReplicasGetNothingNew)
	t.Run("whole service", testServiceThatPausesIsRefusedAtOnce)
}

const (
	longPause = "1m" // longer than any test
	asksAfter = 6
)

func testPausesAreKept(t *testing.T) {
	t.Run("plain", func(t *testing.T) {
		tired := newFakeReplica(t, "a", pauseOnce(longPause, http.StatusServiceUnavailable, answerOK))
		other := newFakeReplica(t, "b", answerOK)
		w := newWorld(t, tired)
		must.Eq(t, http.StatusServiceUnavailable, w.ask(request("safe", 0)).status)
		w.list(tired, other)
		for i := range asksAfter {
			must.Eq(t, http.StatusOK, w.ask(request("unsafe", i+1)).status)
		}
		must.Eq(t, 1, tired.count())
	})
	t.Run("without a word that it has not run", func(t *testing.T) {
		tired := newFakeReplica(t, "a", func(w http.ResponseWriter, r *http.Request) {
			genuine(w, r)
			w.Header().Set(testPause, longPause)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		w := newWorld(t, tired)
		for i := range asksAfter {
			w.ask(request("safe", i))
		}
		must.Eq(t, 1, tired.count())
	})
	t.Run("read placed by the group", func(t *testing.T) {
		reader := newFakeReplica(t, "read", pauseOnce(longPause, http.StatusServiceUnavailable, readPrompt))
		generator := newFakeReplica(t, "make", streamEvents(2, ""))
		w := newModelWorld(t, reader, generator, nil)
		w.withPatience()
		w.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
		for i := range asksAfter {
			must.Eq(t, events(1, 2), w.ask(modelAsk(i)).body)
		}
		must.Eq(t, 1, reader.count())
	})
	t.Run("run placed by the group, alone or not", func(t *testing.T) {
		for _, alone := range []bool{false, true} {
			reader := newFakeReplica(t, "read", readPrompt)
			tired := newFakeReplica(t, "make", pauseOnce(longPause, http.StatusServiceUnavailable, streamEvents(2, "")))
			w := newModelWorld(t, reader, tired, nil)
			w.withPatience()
			w.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read", Alone: alone}}
			for i := range asksAfter {
				must.Eq(t, http.StatusServiceUnavailable, w.ask(modelAsk(i)).status)
			}
			must.Eq(t, 1, tired.count())
		}
	})
	t.Run("placed by the proxy itself", func(t *testing.T) {
		reader := newFakeReplica(t, "read", pauseOnce(longPause, http.StatusServiceUnavailable, readPrompt))
		tired := newFakeReplica(t, "make", pauseOnce(longPause, http.StatusServiceUnavailable, streamEvents(2, "")))
		other := newFakeReplica(t, "also", streamEvents(2, ""))
		w := newModelWorld(t, reader, tired, other)
		w.withPatience()
		for i := range 4 * asksAfter {
			must.Eq(t, events(1, 2), w.ask(modelAsk(i)).body)
		}
		must.LessEq(t, 1, reader.count())
		must.LessEq(t, 1, tired.count())
	})
	t.Run("a stream that is taken up elsewhere", func(t *testing.T) {
		broken := newFakeReplica(t, "a", streamEvents(2, "cut"))
		tired := newFakeReplica(t, "b", pauseOnce(longPause, http.StatusServiceUnavailable, streamEvents(4, "")))
		w := newWorld(t, tired)
		w.ask(request("safe", 0))
		w.list(broken, tired)
		w.ask(request("resume", 1))
		must.Eq(t, 1, tired.count())
	})
	t.Run("the freeing of a handle", func(t *testing.T) {
		handled := make(chan struct{})
		var answered atomic.Bool
		reader := newFakeReplica(t, "read", func(w http.ResponseWriter, r *http.Request) {
			if answered.Swap(true) {
				refusePausing(w, r)
				return
			}
			readPrompt(w, r)
			close(handled)
		})
		generator := newFakeReplica(t, "make", streamEvents(2, ""))
		w := newModelWorld(t, reader, generator, nil)
		w.withPatience()
		w.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
		w.ask(modelAsk(0))
		w.ask(modelAsk(1)) // the reader asks for a pause
		before := reader.count()
		s := &session{ingress: w.ingress, upstream: w.ingress.upstreams.get("model")}
		s.release(Source{Replica: "read", Address: reader.address(), Handle: "handle-7"})
		time.Sleep(50 * time.Millisecond) // a call on loopback takes less than one
		must.Eq(t, before, reader.count())
	})
	t.Run("while a connection was opened", func(t *testing.T) {
		tired := newFakeReplica(t, "a", answerOK)
		w := newWorld(t, tired)
		w.ingress.routes()
		asks := w.ingress.upstreams.holdoffs.Find("a")
		given := &exchange.Request{Method: "GET", Target: "/", Host: "a", Permit: func() error {
			asks.Hear(w.ingress.now(), time.Now(), holdoff.Word{RetryAfter: time.Minute}) // with another request's answer
			return w.ingress.permit(asks)()
		}}
		_, err := w.ingress.upstreams.get("plain").pool.Do(t.Context(), tired.address(), given)
		must.ErrorIs(t, err, errWithheld)
		must.Eq(t, 0, tired.count())
	})
	t.Run("that is listed anew meanwhile", func(t *testing.T) {
		tired := newFakeReplica(t, "a", pauseOnce(longPause, http.StatusServiceUnavailable, answerOK))
		other := newFakeReplica(t, "b", answerOK)
		w := newWorld(t, tired)
		w.ask(request("safe", 0))
		w.list(other)
		must.Eq(t, http.StatusOK, w.ask(request("safe", 1)).status)
		w.list(tired, other)
		for i := range asksAfter {
			w.ask(request("unsafe", i+2))
		}
		must.Eq(t, 1, tired.count())
	})
}

// refusePausing refuses and asks for a pause.
func refusePausing(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testID, r.Header.Get(testID))
	w.Header().Set(testNotRun, "1")
	w.Header().Set(testPause, longPause)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func testLeavingReplicasGetNothingNew(t *testing.T) {
	t.Run("plain, listed as ready", func(t *testing.T) {
		leaving := newFakeReplica(t, "a", leaveAlways(answerOK))
		other := newFakeReplica(t, "b", answerOK)
		w := newWorld(t, leaving)
		must.Eq(t, http.StatusOK, w.ask(request("unsafe", 0)).status)
		w.list(leaving, other)
		for i := range asksAfter {
			must.Eq(t, http.StatusOK, w.ask(request("unsafe", i+1)).status)
		}
		must.Eq(t, 1, leaving.count())
	})
	t.Run("read and run placed by the group", func(t *testing.T) {
		reader := newFakeReplica(t, "read", leaveAlways(readPrompt))
		leaving := newFakeReplica(t, "make", leaveAlways(streamEvents(2, "")))
		other := newFakeReplica(t, "also", streamEvents(2, ""))
		w := newModelWorld(t, reader, leaving, other)
		w.withPatience()
		w.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
		for i := range asksAfter {
			must.Eq(t, events(1, 2), w.ask(modelAsk(i)).body)
		}
		must.Eq(t, 1, reader.count())
		must.Eq(t, 1, leaving.count())
	})
	t.Run("until it is born again", func(t *testing.T) {
		leaving := newFakeReplica(t, "a", leaveAlways(answerOK))
		w := newWorld(t)
		born := func(at int64) {
			w.views.set(func(v *view.View) {
				entry := listed(leaving, "plain", api.RoleNone)
				entry.Spec.Born = at
				v.Replicas = map[string]*api.Replica{"a": entry}
			})
		}
		born(1000)
		must.Eq(t, http.StatusOK, w.ask(request("safe", 0)).status)
		must.Eq(t, http.StatusServiceUnavailable, w.ask(request("safe", 1)).status)
		born(time.Now().Add(time.Minute).UnixMilli())
		must.Eq(t, http.StatusOK, w.ask(request("safe", 2)).status)
	})
}

// All of a service that asks for a pause is refused at once, with the time at which the
// first of them may be asked again.
func testServiceThatPausesIsRefusedAtOnce(t *testing.T) {
	first := newFakeReplica(t, "a", pauseOnce("20s", http.StatusServiceUnavailable, answerOK))
	second := newFakeReplica(t, "b", pauseOnce("40s", http.StatusServiceUnavailable, answerOK))
	w := newWorld(t, first, second)
	w.ask(request("safe", 0)) // both are asked
	got := w.ask(request("safe", 1))
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	again, err := time.ParseDuration(got.header.Get(testAgain))
	must.NoError(t, err)
	must.Between(t, 10*time.Second, again, 23*time.Second)
	must.Eq(t, 2, first.count()+second.count())
}
