package ingress

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// listedBirth is when the listed process of these tests was started.
const listedBirth = 1000

// newRestartingReplica returns a replica whose answers have neither a length nor chunks and end with their
// connection, and whose address goes on listening. status answers the requests for its status, which asked counts.
func newRestartingReplica(t *testing.T, last int, status http.HandlerFunc, asked *atomic.Int64) *fakeReplica {
	replica := unmarkedAnswer(t, "r-0", last, false)
	answer := replica.server.Config.Handler
	replica.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == testStatusPath {
			asked.Add(1)
			status(w, r)
			return
		}
		answer.ServeHTTP(w, r)
	})
	return replica
}

// tellBirth answers with a time of birth.
func tellBirth(born int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, born) }
}

// Guards against an answer that its replica's crash cuts short and that is passed on as a whole one, because the
// replica's next process, or another replica, listens at the address by then (soak seed 84003, review/2).
func TestEndOfAnAnswerIsVerifiedWithTheProcessThatSentIt(t *testing.T) {
	misdirect := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	cases := []struct {
		name    string
		listed  int64
		status  http.HandlerFunc
		isWhole bool
	}{
		{"listed process", listedBirth, tellBirth(listedBirth), true},
		{"process that is not listed yet", listedBirth, tellBirth(listedBirth + 1), true},
		{"next process", listedBirth, tellBirth(time.Now().Add(time.Hour).UnixMilli()), false},
		{"another replica", listedBirth, misdirect, false},
		{"another replica, no birth listed", 0, misdirect, false},
		{"no status", listedBirth, http.NotFound, true},
		{"no birth", 0, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }, true},
		{"late status", listedBirth, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(150 * time.Millisecond) // longer than the caller is kept waiting
			misdirect(w, r)
		}, true},
		{"status that never ends", listedBirth, func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := w.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		}, true},
	}
	for _, test := range cases {
		for _, length := range []int{0, 5, 100_000} {
			t.Run(fmt.Sprint(test.name, " ", length), func(t *testing.T) {
				var asked atomic.Int64
				env := newTestEnv(t, newRestartingReplica(t, length, test.status, &asked))
				env.views.set(func(v *view.View) { v.Replicas["r-0"].Spec.Born = test.listed })
				got := env.do(testRequest{method: "GET", target: "/unsafe/x", id: "q"})
				must.Eq(t, test.isWhole, got.status == http.StatusOK && got.err == nil && len(got.body) == length, must.Sprint(got.status, got.err, len(got.body)))
				must.Eq(t, 1, asked.Load())
			})
		}
	}
}

// A stream is verified in the same way as other answers.
func TestEndOfAStreamIsVerifiedWithTheProcessThatSentIt(t *testing.T) {
	for name, test := range map[string]struct {
		born    int64
		isWhole bool
	}{"listed process": {listedBirth, true}, "next process": {time.Now().Add(time.Hour).UnixMilli(), false}} {
		t.Run(name, func(t *testing.T) {
			const events = 3
			var asked atomic.Int64
			env := newTestEnv(t)
			env.withLongObjective()
			env.setVersionedReplicas(map[*fakeReplica]string{newRestartingReplica(t, events, tellBirth(test.born), &asked): "v1"})
			env.views.set(func(v *view.View) { v.Replicas["r-0"].Spec.Born = listedBirth })
			got := env.do(modelRequest)
			must.Eq(t, test.isWhole, got.err == nil && got.body == eventTexts(1, events), must.Sprint(got.status, got.err))
			must.Positive(t, asked.Load())
		})
	}
}

// A replica that rests is not asked, and its answer is taken for complete if its address listens.
func TestRestingReplicaIsNotAskedForItsBirth(t *testing.T) {
	var asked atomic.Int64
	replica := newRestartingReplica(t, 5, tellBirth(listedBirth), &asked)
	env := newTestEnv(t, replica)
	answer := replica.server.Config.Handler
	replica.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		env.ingress.upstreams.get("plain").find("r-0").holdoff.Apply(env.ingress.now(), time.Now(), holdoff.Restrictions{RetryAfter: time.Hour})
		answer.ServeHTTP(w, r)
	})
	must.Eq(t, 200, env.do(testRequest{method: "GET", target: "/unsafe/x", id: "q"}).status)
	must.Eq(t, 0, asked.Load())
}

// newRestartedReplica returns a replica whose answers have neither a length nor chunks and end a while after they have
// begun. With restarts, all its connections end then, as those of a process that ends do, and the address goes on
// listening. Its status names no birth.
func newRestartedReplica(t *testing.T, restarts bool) *fakeReplica {
	var replica *fakeReplica
	replica = newFakeReplica(t, "r-0", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == testStatusPath {
			_, _ = io.WriteString(w, "{}")
			return
		}
		conn, buffered, err := w.(http.Hijacker).Hijack()
		must.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signature\r\nConnection: close\r\n\r\npart", testID, r.Header.Get(testID), testGenuine)
		_ = buffered.Flush()
		time.Sleep(200 * time.Millisecond)
		if restarts {
			replica.server.CloseClientConnections()
		}
	})
	return replica
}

// Guards against an answer that the end of its replica's process cuts short and that is passed on as a whole one, where
// nobody says when the process at the address was started (soak seeds 84003, 2051).
func TestEndOfAnAnswerIsVerifiedWhereNoBirthIsKnown(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		env := newTestEnv(t, newRestartedReplica(t, restarts))
		got := env.do(testRequest{method: "GET", target: "/unsafe/x", id: "q"})
		isWhole := got.status == http.StatusOK && got.err == nil && got.body == "part"
		must.Eq(t, !restarts, isWhole, must.Sprint(got.status, got.err, got.body))
	}
}
