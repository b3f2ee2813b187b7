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

// Guards against sending requests to replicas that have asked for a pause. When the data path did
// not read the duration of a pause, and the leader considered a refusal for at most 0.1 s and that
// of a prefill not at all, full replicas that asked for a pause of three seconds were sent three
// to six more requests in that time, where the protocol allows two. Each test has a replica that
// asks for a pause once and would then serve, and counts the requests that reach it afterwards.

// pauseOnce answers the first request with the status and asks for a pause, and serves all further
// requests.
func pauseOnce(pause string, status int, serve http.HandlerFunc) http.HandlerFunc {
	var answered atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		if answered.Swap(true) {
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

// leaveAlways serves and announces in each answer that the replica is leaving.
func leaveAlways(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testLeaving, "1")
		serve(w, r)
	}
}

func plainRequest(path string, number int) testRequest {
	return testRequest{method: "POST", target: "/" + path + "/", id: fmt.Sprintf("r%d", number), fields: map[string]string{}}
}

func numberedModelRequest(number int) testRequest {
	request := plainRequest("model", number)
	request.fields[testTokens] = "9000"
	return request
}

func TestPausesAndDeparturesAreRespected(t *testing.T) {
	t.Run("pause", testPausesAreRespected)
	t.Run("leaving", testLeavingReplicasGetNothingNew)
	t.Run("whole service", testRequestsAreRefusedWhileAllReplicasPause)
}

const (
	longPause     = "1m" // longer than any test
	laterRequests = 6
)

func testPausesAreRespected(t *testing.T) {
	t.Run("plain", func(t *testing.T) {
		paused := newFakeReplica(t, "a", pauseOnce(longPause, http.StatusServiceUnavailable, answerOK))
		other := newFakeReplica(t, "b", answerOK)
		env := newTestEnv(t, paused)
		must.Eq(t, http.StatusServiceUnavailable, env.do(plainRequest("safe", 0)).status)
		env.setReplicas(paused, other)
		for i := range laterRequests {
			must.Eq(t, http.StatusOK, env.do(plainRequest("unsafe", i+1)).status)
		}
		must.Eq(t, 1, paused.count())
	})
	t.Run("without stating that the request has not run", func(t *testing.T) {
		paused := newFakeReplica(t, "a", func(w http.ResponseWriter, r *http.Request) {
			writeGenuine(w, r)
			w.Header().Set(testPause, longPause)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		env := newTestEnv(t, paused)
		for i := range laterRequests {
			env.do(plainRequest("safe", i))
		}
		must.Eq(t, 1, paused.count())
	})
	t.Run("prefill placed by the group", func(t *testing.T) {
		prefiller := newFakeReplica(t, "read", pauseOnce(longPause, http.StatusServiceUnavailable, answerPrefill))
		decoder := newFakeReplica(t, "make", streamEvents(2, ""))
		env := newModelEnv(t, prefiller, decoder, nil)
		env.withLongObjective()
		env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
		for i := range laterRequests {
			must.Eq(t, eventTexts(1, 2), env.do(numberedModelRequest(i)).body)
		}
		must.Eq(t, 1, prefiller.count())
	})
	t.Run("run placed by the group, isolated or not", func(t *testing.T) {
		for _, isolated := range []bool{false, true} {
			prefiller := newFakeReplica(t, "read", answerPrefill)
			paused := newFakeReplica(t, "make", pauseOnce(longPause, http.StatusServiceUnavailable, streamEvents(2, "")))
			env := newModelEnv(t, prefiller, paused, nil)
			env.withLongObjective()
			env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read", Isolated: isolated}}
			for i := range laterRequests {
				must.Eq(t, http.StatusServiceUnavailable, env.do(numberedModelRequest(i)).status)
			}
			must.Eq(t, 1, paused.count())
		}
	})
	t.Run("placed by the proxy itself", func(t *testing.T) {
		prefiller := newFakeReplica(t, "read", pauseOnce(longPause, http.StatusServiceUnavailable, answerPrefill))
		paused := newFakeReplica(t, "make", pauseOnce(longPause, http.StatusServiceUnavailable, streamEvents(2, "")))
		other := newFakeReplica(t, "also", streamEvents(2, ""))
		env := newModelEnv(t, prefiller, paused, other)
		env.withLongObjective()
		for i := range 4 * laterRequests {
			must.Eq(t, eventTexts(1, 2), env.do(numberedModelRequest(i)).body)
		}
		must.LessEq(t, 1, prefiller.count())
		must.LessEq(t, 1, paused.count())
	})
	t.Run("resumed stream", func(t *testing.T) {
		broken := newFakeReplica(t, "a", streamEvents(2, "cut"))
		paused := newFakeReplica(t, "b", pauseOnce(longPause, http.StatusServiceUnavailable, streamEvents(4, "")))
		env := newTestEnv(t, paused)
		env.do(plainRequest("safe", 0))
		env.setReplicas(broken, paused)
		env.do(plainRequest("resume", 1))
		must.Eq(t, 1, paused.count())
	})
	t.Run("release of a handle", func(t *testing.T) {
		handled := make(chan struct{})
		var answered atomic.Bool
		prefiller := newFakeReplica(t, "read", func(w http.ResponseWriter, r *http.Request) {
			if answered.Swap(true) {
				refuseWithPause(w, r)
				return
			}
			answerPrefill(w, r)
			close(handled)
		})
		decoder := newFakeReplica(t, "make", streamEvents(2, ""))
		env := newModelEnv(t, prefiller, decoder, nil)
		env.withLongObjective()
		env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
		env.do(numberedModelRequest(0))
		env.do(numberedModelRequest(1)) // the prefill replica asks for a pause
		before := prefiller.count()
		s := &session{ingress: env.ingress, upstream: env.ingress.upstreams.get("model")}
		s.release(Source{Replica: "read", Address: prefiller.address(), Handle: "handle-7"})
		time.Sleep(50 * time.Millisecond) // much longer than a call on the loopback interface, which takes less than 1 ms
		must.Eq(t, before, prefiller.count())
	})
	t.Run("while a connection is opened", func(t *testing.T) {
		paused := newFakeReplica(t, "a", answerOK)
		env := newTestEnv(t, paused)
		env.ingress.routes()
		pauseState := env.ingress.upstreams.holdoffs.Find("a")
		request := &exchange.Request{Method: "GET", Target: "/", Host: "a", BeforeSend: func() error {
			pauseState.Apply(env.ingress.now(), time.Now(), holdoff.Restrictions{RetryAfter: time.Minute}) // as with the answer to another request
			return env.ingress.beforeSend(pauseState, noPermit)()
		}}
		_, err := env.ingress.upstreams.get("plain").pool.Do(t.Context(), paused.address(), request)
		must.ErrorIs(t, err, errWithheld)
		must.Eq(t, 0, paused.count())
	})
	t.Run("removed from the list and listed again", func(t *testing.T) {
		paused := newFakeReplica(t, "a", pauseOnce(longPause, http.StatusServiceUnavailable, answerOK))
		other := newFakeReplica(t, "b", answerOK)
		env := newTestEnv(t, paused)
		env.do(plainRequest("safe", 0))
		env.setReplicas(other)
		must.Eq(t, http.StatusOK, env.do(plainRequest("safe", 1)).status)
		env.setReplicas(paused, other)
		for i := range laterRequests {
			env.do(plainRequest("unsafe", i+2))
		}
		must.Eq(t, 1, paused.count())
	})
}

// refuseWithPause refuses a request and asks for a pause.
func refuseWithPause(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testID, r.Header.Get(testID))
	w.Header().Set(testNotRun, "1")
	w.Header().Set(testPause, longPause)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func testLeavingReplicasGetNothingNew(t *testing.T) {
	t.Run("plain, listed as ready", func(t *testing.T) {
		leaving := newFakeReplica(t, "a", leaveAlways(answerOK))
		other := newFakeReplica(t, "b", answerOK)
		env := newTestEnv(t, leaving)
		must.Eq(t, http.StatusOK, env.do(plainRequest("unsafe", 0)).status)
		env.setReplicas(leaving, other)
		for i := range laterRequests {
			must.Eq(t, http.StatusOK, env.do(plainRequest("unsafe", i+1)).status)
		}
		must.Eq(t, 1, leaving.count())
	})
	t.Run("prefill and run placed by the group", func(t *testing.T) {
		prefiller := newFakeReplica(t, "read", leaveAlways(answerPrefill))
		leaving := newFakeReplica(t, "make", leaveAlways(streamEvents(2, "")))
		other := newFakeReplica(t, "also", streamEvents(2, ""))
		env := newModelEnv(t, prefiller, leaving, other)
		env.withLongObjective()
		env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
		for i := range laterRequests {
			must.Eq(t, eventTexts(1, 2), env.do(numberedModelRequest(i)).body)
		}
		must.Eq(t, 1, prefiller.count())
		must.Eq(t, 1, leaving.count())
	})
	t.Run("until the replica restarts", func(t *testing.T) {
		leaving := newFakeReplica(t, "a", leaveAlways(answerOK))
		env := newTestEnv(t)
		setBorn := func(at int64) {
			env.views.set(func(v *view.View) {
				entry := replicaObject(leaving, "plain", api.RoleNone)
				entry.Spec.Born = at
				v.Replicas = map[string]*api.Replica{"a": entry}
			})
		}
		setBorn(1000)
		must.Eq(t, http.StatusOK, env.do(plainRequest("safe", 0)).status)
		must.Eq(t, http.StatusServiceUnavailable, env.do(plainRequest("safe", 1)).status)
		setBorn(time.Now().Add(time.Minute).UnixMilli())
		must.Eq(t, http.StatusOK, env.do(plainRequest("safe", 2)).status)
	})
}

// If all replicas of a service ask for a pause, requests are refused at once with the time when
// the first pause ends.
func testRequestsAreRefusedWhileAllReplicasPause(t *testing.T) {
	first := newFakeReplica(t, "a", pauseOnce("20s", http.StatusServiceUnavailable, answerOK))
	second := newFakeReplica(t, "b", pauseOnce("40s", http.StatusServiceUnavailable, answerOK))
	env := newTestEnv(t, first, second)
	env.do(plainRequest("safe", 0)) // sent to both replicas
	got := env.do(plainRequest("safe", 1))
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	again, err := time.ParseDuration(got.header.Get(testAgain))
	must.NoError(t, err)
	must.Between(t, 10*time.Second, again, 23*time.Second)
	must.Eq(t, 2, first.count()+second.count())
}
