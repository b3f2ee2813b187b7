package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// serveSlowCallers serves callers as serveUntil does, with one replica, and returns the address. stall is
// Timeouts.CallerStall. Routes have a deadline of a minute, so that nothing here ends by it, and an objective of
// 2 s: at 200 ms a replica that is silent for 400 ms on a busy machine is given up, and there is no other one.
func (env *testEnv) serveSlowCallers(replicaAddress string, stall time.Duration) string {
	env.t.Helper()
	env.ingress.config.Timeouts.CallerStall = stall
	env.views.set(func(v *view.View) {
		routes := testIngress()
		routes.Spec.Generation++
		for at := range routes.Spec.Routes {
			routes.Spec.Routes[at].TimeoutMilliseconds = time.Minute.Milliseconds()
			routes.Spec.Routes[at].ObjectiveMilliseconds = (2 * time.Second).Milliseconds()
		}
		v.Ingresses = map[string]*api.Ingress{api.IngressName: routes}
		v.Replicas = map[string]*api.Replica{"r-1": {
			Metadata: api.Metadata{Name: "r-1"},
			Spec:     api.ReplicaSpec{Service: "plain", Address: replicaAddress, Zone: "zone-a", Slots: 4000},
		}}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(env.t, err)
	server := env.ingress.serveCallers(listener)
	env.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// usedMemory returns the memory of this process in use for objects and stacks.
func usedMemory() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// maxSlowCallerMemory is the most memory of a proxy that a slow caller may use beside the kernel's buffers.
const maxSlowCallerMemory = 64 << 10

// Guards against slow callers that use up the memory of a proxy or the slots of a replica. Without a bound
// a thousand callers that read 100 bytes a second held 50 KB each with streams and 92 KB each with long
// answers, the replica's slots until the deadline, and the proxy's memory without end.
func TestThousandSlowCallers(t *testing.T) {
	const callers = 1000
	for _, target := range []string{"/stream/endless", "/safe/long"} {
		t.Run(target, func(t *testing.T) {
			env := newTestEnv(t)
			quickLines := &bytes.Buffer{} // of the calls that are not slow
			env.ingress.logger = log.LoggerFunc(func(fields ...any) error {
				if !slices.Contains(fields, any("quick")) || slices.Contains(fields, any("request_served")) || slices.Contains(fields, any("request_sent")) {
					return nil
				}
				return log.NewLogfmtLogger(quickLines).Log(fields...)
			})
			peer := startSlowPeer(t)
			address := env.serveSlowCallers(peer.address, 5*time.Second) // long enough for all to be opened on a busy machine
			quick := func() time.Duration {
				began := time.Now()
				got := env.do(testRequest{method: "GET", target: "/safe/quick", id: "quick"})
				must.Eq(t, "quick", got.body, must.Sprint(got.err, quickLines.String()))
				return time.Since(began)
			}
			quick()
			before, used := usedMemory(), int64(0)
			began := time.Now()
			peer.open(callers, address, target, 100)
			var times []time.Duration
			callQuickly := func() {
				times = append(times, quick())
				time.Sleep(20 * time.Millisecond)
			}
			eventually(t, "all callers are served within the memory", func() bool {
				callQuickly()
				used = (usedMemory() - before) / callers
				return env.ingress.serving.Load() == callers && used <= maxSlowCallerMemory
			})
			eventually(t, "the answers are ended", func() bool {
				callQuickly()
				return peer.state().running == 0 && env.ingress.serving.Load() == 0
			})
			slices.Sort(times)
			t.Logf("%d bytes of memory for each caller, ended after %v; other callers: median %v, longest %v", used, time.Since(began), times[len(times)/2], times[len(times)-1])
			must.Less(t, 200*time.Millisecond, times[len(times)/2])
			must.Eq(t, callers+1+len(times), peer.state().begun, must.Sprint("nothing is sent again"))
		})
	}
}

// endlessAnswer streams, or sends an answer without a known length, until it cannot. It stops writing, as a
// replica does, after a write has been blocked for patience, if that is not 0.
func endlessAnswer(patience time.Duration, ended chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer func() { ended <- struct{}{} }()
		writeGenuine(w, r)
		controller := http.NewResponseController(w)
		for id := 1; ; id++ {
			if patience > 0 {
				_ = controller.SetWriteDeadline(time.Now().Add(patience))
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, strings.Repeat("y", 1000)); err != nil {
				return
			}
			if controller.Flush() != nil {
				return
			}
		}
	}
}

// checkNoBlame checks that neither the replica nor the retry budget pays for a caller that does not read.
func checkNoBlame(t *testing.T, env *testEnv, replica *fakeReplica, route, logged string) {
	t.Helper()
	must.Eq(t, 1, replica.count(), must.Sprint("nothing is sent again"))
	known := env.ingress.upstreams.get("plain").find("r-1")
	must.False(t, known.isSuspect(env.ingress.now()))
	must.Eq(t, 0, known.occupancy(env.ingress.now()).failureRate)
	values := env.ingress.metrics.values(t)
	must.Eq(t, 0, values["landingtrail_ingress_broken_total plain run"])
	must.Eq(t, 1, values["landingtrail_ingress_attempts_total plain caller_end"])
	must.Eq(t, 1, values["landingtrail_ingress_stalled_answers_total "+route])
	must.StrNotContains(t, logged, "name=run_broken")
	must.StrContains(t, logged, "cut:"+causeCallerStalled)
}

// Guards against a stalled caller that holds a replica's slot, and against an end of its answer that looks
// like a complete one or is blamed on the replica.
func TestAnswerOfStalledCallerIsEnded(t *testing.T) {
	cases := []struct{ route, protocol string }{
		{"stream", "HTTP/1.1"}, {"resume", "HTTP/1.1"}, {"safe", "HTTP/1.1"}, {"unsafe", "HTTP/1.1"},
		{"stream", "HTTP/1.0"}, {"safe", "HTTP/1.0"}, // the end of the connection is that of the answer
	}
	for _, test := range cases {
		t.Run(test.route+" "+test.protocol, func(t *testing.T) {
			route := test.route
			ended := make(chan struct{}, 4)
			replica := newFakeReplica(t, "r-1", endlessAnswer(0, ended))
			env := newTestEnv(t)
			logged := &bytes.Buffer{}
			env.ingress.logger = log.NewLogfmtLogger(log.NewSyncWriter(logged))
			address := env.serveSlowCallers(replica.address(), 300*time.Millisecond)
			conn, err := dialSlowly(address, "/"+route+"/endless", test.protocol, "slow")
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			began := time.Now()
			select {
			case <-ended:
			case <-time.After(testTimeout):
				t.Fatal("the replica still sends")
			}
			t.Logf("the replica's slot was free after %v", time.Since(began))
			eventually(t, "the request ends", func() bool { return env.ingress.serving.Load() == 0 })
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			must.Error(t, err, must.Sprint("the answer is cut off"))
			checkNoBlame(t, env, replica, route, logged.String())
			must.StrContains(t, logged.String(), "name=caller_stalled request=slow route="+route)
		})
	}
}

// Guards against callers that lose their answers because they are slow. This one reads steadily, for many
// times the time after which one that takes nothing is given up. The kernel reports that the proxy may write on
// only once 64 KB have been taken, which lasts longer than that time.
func TestSteadySlowCallerKeepsItsAnswer(t *testing.T) {
	for _, route := range []string{"safe", "stream"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			const length, pieces = 300 << 10, 3
			const stall = 1500 * time.Millisecond // a busy machine must not use up all of it between two reads
			replica := newFakeReplica(t, "r-1", func(w http.ResponseWriter, r *http.Request) {
				writeGenuine(w, r)
				for range pieces {
					_, _ = io.WriteString(w, "data: "+strings.Repeat("y", length/pieces-8)+"\n\n")
				}
			})
			env := newTestEnv(t)
			address := env.serveSlowCallers(replica.address(), stall)
			conn, err := dialSlowly(address, "/"+route+"/long", "HTTP/1.1", "slow")
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			began := time.Now()
			response, err := http.ReadResponse(bufio.NewReaderSize(conn, 1<<10), nil)
			must.NoError(t, err)
			count, err := io.CopyBuffer(writerOnly{io.Discard}, slowReader{response.Body}, make([]byte, 4<<10))
			must.NoError(t, err)
			must.Eq(t, length, count)
			must.Greater(t, 2*stall, time.Since(began), must.Sprint("the caller reads for longer than one may take nothing"))
			must.Eq(t, 0, env.ingress.metrics.values(t)["landingtrail_ingress_stalled_answers_total "+route])
		})
	}
}

// slowReader reads at most 20 KB a second.
type slowReader struct{ source io.Reader }

func (r slowReader) Read(buffer []byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	return r.source.Read(buffer[:min(len(buffer), 1<<10)])
}

// Guards against a replica that is blamed, and a retry that is spent, because a replica ended an answer that
// the caller left unread. The caller reads on afterwards, and must see that the answer is cut off.
func TestReplicaThatEndsAnUnreadAnswerIsNotBlamed(t *testing.T) {
	cases := []struct{ route, protocol string }{{"resume", "HTTP/1.1"}, {"safe", "HTTP/1.1"}, {"resume", "HTTP/1.0"}}
	for _, test := range cases {
		t.Run(test.route+" "+test.protocol, func(t *testing.T) {
			route := test.route
			ended := make(chan struct{}, 4)
			replica := newFakeReplica(t, "r-1", endlessAnswer(300*time.Millisecond, ended))
			env := newTestEnv(t)
			logged := &bytes.Buffer{}
			env.ingress.logger = log.NewLogfmtLogger(log.NewSyncWriter(logged))
			address := env.serveSlowCallers(replica.address(), testTimeout)
			conn, err := dialSlowly(address, "/"+route+"/endless", test.protocol, "slow")
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			<-ended
			time.Sleep(minHeldUp)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			must.Error(t, err, must.Sprint("the answer is cut off"))
			eventually(t, "the request ends", func() bool { return env.ingress.serving.Load() == 0 })
			checkNoBlame(t, env, replica, route, logged.String())
			must.StrContains(t, logged.String(), "name=caller_held_up request=slow route="+route)
		})
	}
}

// Guards against a truncated answer that looks complete to an HTTP/1.0 caller, for whom the end of the
// connection is that of the answer.
func TestTruncatedAnswerLooksBrokenToHTTP10(t *testing.T) {
	replica := newFakeReplica(t, "r-1", streamEvents(3, "inside"))
	env := newTestEnv(t)
	conn, err := dialSlowly(env.serveSlowCallers(replica.address(), testTimeout), "/stream/x", "HTTP/1.0", "q")
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.Copy(io.Discard, conn)
	must.Error(t, err)
}
