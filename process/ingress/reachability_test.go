package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/reach"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// replicaLinks are the links of a proxy under test to its replicas, which can be cut.
type replicaLinks struct {
	lock   sync.Mutex
	refuse bool   // new connections are refused
	hang   bool   // new connections hang
	hangTo string // new connections to this address hang
	opened []net.Conn
}

func (l *replicaLinks) dial(ctx context.Context, address string) (net.Conn, error) {
	l.lock.Lock()
	refuse, hang := l.refuse, l.hang || l.hangTo == address
	l.lock.Unlock()
	if refuse {
		return nil, syscall.ECONNREFUSED
	}
	if hang {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err == nil {
		l.lock.Lock()
		l.opened = append(l.opened, conn)
		l.lock.Unlock()
	}
	return conn, err
}

// set changes what becomes of new connections; reset ends the open ones.
func (l *replicaLinks) set(refuse, hang, reset bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.refuse, l.hang = refuse, hang
	if reset {
		for _, conn := range l.opened {
			_ = conn.Close()
		}
		l.opened = nil
	}
}

// newLinkedEnv returns an environment whose links to the replicas can be cut. announced counts the reports of
// its readiness.
func newLinkedEnv(t *testing.T, replicas ...*fakeReplica) (env *testEnv, links *replicaLinks, announced *atomic.Int32) {
	env = newTestEnv(t, replicas...)
	links, announced = &replicaLinks{}, &atomic.Int32{}
	env.ingress.config.ListenAddress = "address"
	env.ingress.config.Dial = links.dial
	env.ingress.upstreams.config.Dial = links.dial
	env.ingress.reachability.announce = func() { announced.Add(1) }
	env.ingress.routes()
	return env, links, announced
}

func plainReplicas(t *testing.T, count int, handle http.HandlerFunc) []*fakeReplica {
	var replicas []*fakeReplica
	for i := range count {
		replicas = append(replicas, newFakeReplica(t, fmt.Sprint("plain-", i), handle))
	}
	return replicas
}

var safeRequest = testRequest{method: http.MethodGet, target: "/safe/", id: "q"}

// Guards against a proxy that has lost all replicas and goes on taking callers, which wait and fail there.
func TestPartitionedProxyRefusesAtOnceAndReturns(t *testing.T) {
	env, links, announced := newLinkedEnv(t, plainReplicas(t, 3, answerOK)...)
	must.Eq(t, http.StatusOK, env.do(safeRequest).status)
	links.set(true, false, true)
	_ = env.do(safeRequest) // finds out
	eventually(t, "it is not ready", func() bool { return !env.ingress.Ready() })
	must.Eq(t, "", env.ingress.presence().Address)
	must.True(t, env.ingress.presence().IsPartitioned())
	time.Sleep(liveTime)
	began := time.Now()
	refused := env.do(safeRequest)
	must.Less(t, 200*time.Millisecond, time.Since(began))
	must.Eq(t, http.StatusServiceUnavailable, refused.status)
	must.NotEq(t, "", refused.header.Get(testAgain))
	must.Eq(t, "unreachable\n", refused.body)
	must.Eq(t, int32(1), announced.Load())
	links.set(false, false, false)
	eventually(t, "it is ready again without any caller", env.ingress.Ready)
	eventually(t, "it reports that", func() bool { return announced.Load() == 2 })
	must.NotEq(t, "", env.ingress.presence().Address)
	must.Eq(t, http.StatusOK, env.do(safeRequest).status)
}

// Guards against callers that keep their connection to a proxy that has lost all replicas.
func TestPartitionedProxyAsksCallersToCloseTheirConnections(t *testing.T) {
	env, links, _ := newLinkedEnv(t, plainReplicas(t, 3, answerOK)...)
	keeping := &http.Client{}
	defer keeping.CloseIdleConnections()
	ask := func() *http.Response {
		request, err := http.NewRequest(http.MethodGet, env.server.URL+"/safe/", http.NoBody)
		must.NoError(t, err)
		request.Host = "a.example"
		request.Header.Set(testID, "q")
		response, err := keeping.Do(request)
		must.NoError(t, err)
		_ = response.Body.Close()
		return response
	}
	must.False(t, ask().Close)
	links.set(true, false, true)
	_ = ask()
	eventually(t, "it is not ready", func() bool { return !env.ingress.Ready() })
	must.True(t, ask().Close)
}

// breakAfter handles requests until the channel is closed, and then closes their connections. Streams have begun.
func breakAfter(broken <-chan struct{}, streams bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if streams {
			streamEvents(1, "")(w, r)
		}
		<-broken
		panic(http.ErrAbortHandler)
	}
}

// Guards against a partitioned proxy whose reports make the control group keep everybody off sound replicas, or
// take the requests that broke for harmful ones.
func TestPartitionedProxyBlamesNoReplica(t *testing.T) {
	for _, test := range []struct {
		name    string
		answer  placement.Answer
		streams bool
	}{
		{"run", placement.Answer{Generator: "make-0"}, false},
		{"stream", placement.Answer{Generator: "make-0"}, true},
		{"prefill", placement.Answer{Generator: "make-1", Reader: "make-0"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			broken := make(chan struct{})
			var replicas []*fakeReplica
			env, links, _ := newLinkedEnv(t)
			env.views.set(func(v *view.View) {
				v.Replicas = map[string]*api.Replica{}
				for i := range 4 {
					replica := newFakeReplica(t, fmt.Sprint("make-", i), breakAfter(broken, test.streams))
					replicas = append(replicas, replica)
					v.Replicas[replica.name] = replicaObject(replica, "model", api.RoleDecode)
				}
			})
			placer := &fakePlacer{answer: test.answer}
			env.ingress.placer = placer
			reporter := &recordingReporter{}
			reporter.connected.Store(true)
			env.ingress.guard.SetReporter(reporter)
			env.withLongObjective()
			var asking sync.WaitGroup
			for i := range 6 {
				request := modelRequest
				request.id = fmt.Sprint("q-", i)
				asking.Go(func() { _ = env.do(request) })
			}
			// What still arrives from a replica after a failure shows that the proxy is not partitioned.
			eventually(t, "the requests run and the proxy has their first events", func() bool {
				started := 0
				for _, step := range placer.steps() {
					if step == placement.StepStarted {
						started++
					}
				}
				return replicas[0].count() == 6 && (!test.streams || started == 6)
			})
			links.set(true, false, false)
			close(broken)
			asking.Wait()
			must.False(t, env.ingress.Ready())
			for _, step := range placer.steps() {
				must.SliceContains(t, []placement.Step{placement.StepStarted, placement.StepReadSkipped, placement.StepEnded}, step)
			}
			ended, _, _ := reporter.counts()
			must.Eq(t, 0, ended)
			must.False(t, env.ingress.upstreams.get("model").find("make-0").isSuspect(env.ingress.now()))
		})
	}
}

// Guards against a broken run that is reported late, while it is verified whether replicas are reached, as if its
// replica had failed only then: failures at one moment would look like failures one after the other, which make a
// harmless request harmful.
func TestBrokenRunsAreReportedWithTheTimeSinceThen(t *testing.T) {
	broken := make(chan struct{})
	replicas := plainReplicas(t, 3, breakAfter(broken, false))
	env, links, _ := newLinkedEnv(t, replicas...)
	reporter := &recordingReporter{}
	reporter.connected.Store(true)
	env.ingress.guard.SetReporter(reporter)
	go func() { _ = env.do(safeRequest) }()
	eventually(t, "it runs", func() bool { return totalRequests(replicas) == 1 })
	const verifying = stageInterval / 2
	links.set(false, true, false) // the first connection that verifies it hangs
	time.AfterFunc(verifying, func() { links.set(false, false, false) })
	close(broken)
	eventually(t, "it is reported", func() bool { ended, _, _ := reporter.counts(); return ended > 0 })
	reporter.lock.Lock()
	defer reporter.lock.Unlock()
	must.GreaterEq(t, verifying, reporter.reports[0].Crashes[0].Age)
}

// Guards against a proxy that takes the failure of one replica for that of its links.
func TestFailureOfOneReplicaIsBlamedOnIt(t *testing.T) {
	for name, handle := range map[string]http.HandlerFunc{"closes": closeConnection, "silent": func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) }} {
		t.Run(name, func(t *testing.T) {
			bad := newFakeReplica(t, "bad", handle)
			good := newFakeReplica(t, "good", answerOK)
			env, _, announced := newLinkedEnv(t, bad, good)
			for range 4 {
				must.Eq(t, http.StatusOK, env.do(safeRequest).status)
				must.True(t, env.ingress.Ready())
			}
			must.Eq(t, int32(0), announced.Load())
		})
	}
}

// Guards against a proxy that takes many replicas which are gone, and are still listed, for a partition, and turns its
// callers away although others serve.
func TestLostReplicasAreNoPartition(t *testing.T) {
	for _, test := range []struct {
		name   string
		lost   int
		serves bool // the last one has answered before
	}{{"the last one has served", 60, true}, {"nothing was sent yet", 12, false}} {
		t.Run(test.name, func(t *testing.T) {
			last := newFakeReplica(t, "last", answerOK)
			env, _, announced := newLinkedEnv(t, last)
			if test.serves {
				must.Eq(t, http.StatusOK, env.do(safeRequest).status)
			}
			env.views.set(func(v *view.View) {
				for i := range test.lost {
					lost := replicaObject(last, "plain", api.RoleNone)
					lost.Name, lost.Spec.Address = fmt.Sprint("lost-", i), refusingAddress(t)
					v.Replicas[lost.Name] = lost
				}
			})
			env.ingress.routes()
			for range 10 {
				env.ingress.reachability.recordFailure(reach.NoConnection)
				must.True(t, env.ingress.reachability.confirm(context.Background()))
			}
			must.Eq(t, int32(0), announced.Load())
		})
	}
}

// Guards against streams that are cut, or taken to another replica, by a partition that they outlast: new connections
// are refused, and open ones go on.
func TestStreamsOnOpenConnectionsOutlastAPartition(t *testing.T) {
	const events = 15
	streaming := func(w http.ResponseWriter, r *http.Request) {
		streamEvents(1, "")(w, r)
		for id := 2; id <= events; id++ {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(w, eventText(id))
			w.(http.Flusher).Flush()
		}
	}
	replicas := plainReplicas(t, 3, streaming)
	env, links, _ := newLinkedEnv(t, replicas...)
	results := make(chan testResponse, 1)
	go func() { results <- env.do(testRequest{method: http.MethodPost, target: "/resume/", id: "q"}) }()
	eventually(t, "it runs", func() bool { return totalRequests(replicas) == 1 })
	links.set(true, false, false)
	env.ingress.reachability.recordFailure(reach.NoConnection)
	eventually(t, "it is not ready", func() bool { return !env.ingress.Ready() })
	got := <-results
	must.NoError(t, got.err)
	must.Eq(t, eventTexts(1, events), got.body)
	must.False(t, env.ingress.Ready())
}

// Guards against a proxy that loses a connection, or its readiness, to a replica that falls silent for a second.
func TestReplicaThatFallsSilentForASecondIsNoPartition(t *testing.T) {
	replicas := plainReplicas(t, 2, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(1200 * time.Millisecond)
		answerOK(w, r)
	})
	env, _, announced := newLinkedEnv(t, replicas...)
	got := env.do(testRequest{method: http.MethodPost, target: "/unsafe/", id: "q"})
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, int32(0), announced.Load())
	must.True(t, env.ingress.Ready())
}

// Guards against requests that wait on hanging links until their deadline although they may be sent again elsewhere.
func TestHangingLinksEndRequestsThatMayBeSentAgain(t *testing.T) {
	hold := make(chan struct{})
	replicas := plainReplicas(t, 3, func(http.ResponseWriter, *http.Request) { <-hold })
	defer close(hold)
	env, links, _ := newLinkedEnv(t, replicas...)
	links.set(false, true, false)
	began := time.Now()
	got := env.do(safeRequest)
	must.NotEq(t, http.StatusOK, got.status)
	must.Less(t, 2*time.Second, time.Since(began))
	must.False(t, env.ingress.Ready())
}

// streamAfter streams one event, waits for the given time, and streams the rest.
func streamAfter(pause time.Duration, last int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		streamEvents(1, "")(w, r)
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		for id := 2; id <= last; id++ {
			_, _ = io.WriteString(w, eventText(id))
		}
	}
}

// Guards against a stream that ends with the machine of its replica, and against one that is taken away from a
// replica which was silent for a second or so.
func TestStreamMovesOnlyFromAReplicaThatIsGone(t *testing.T) {
	for _, test := range []struct {
		name  string
		pause time.Duration
		gone  bool
	}{{"silent", 1800 * time.Millisecond, false}, {"gone", time.Minute, true}} {
		t.Run(test.name, func(t *testing.T) {
			first := newFakeReplica(t, "first", streamAfter(test.pause, 4))
			env, links, _ := newLinkedEnv(t, first)
			began := time.Now()
			results := make(chan testResponse, 1)
			go func() {
				results <- env.do(testRequest{method: http.MethodPost, target: "/resume/", id: "q"})
			}()
			eventually(t, "it runs", func() bool { return first.count() == 1 })
			second := newFakeReplica(t, "second", streamEvents(4, ""))
			env.setReplicas(first, second)
			if test.gone {
				links.lock.Lock()
				links.hangTo = first.address()
				links.lock.Unlock()
			}
			must.Eq(t, eventTexts(1, 4), (<-results).body)
			must.Less(t, 3200*time.Millisecond, time.Since(began))
			must.Eq(t, test.gone, second.count() > 0)
		})
	}
}

// Guards against hanging links that nothing but an unanswered request shows, which may not be sent again.
func TestUnansweredRequestShowsHangingLinks(t *testing.T) {
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	defer release()
	replicas := plainReplicas(t, 3, func(http.ResponseWriter, *http.Request) { <-hold })
	env, links, _ := newLinkedEnv(t, replicas...)
	answered := make(chan struct{})
	go func() {
		_ = env.do(testRequest{method: http.MethodPost, target: "/unsafe/", id: "q"})
		close(answered)
	}()
	eventually(t, "it runs", func() bool { return totalRequests(replicas) == 1 })
	began := time.Now()
	links.set(false, true, false)
	eventually(t, "it is not ready", func() bool { return !env.ingress.Ready() })
	must.Less(t, 2*time.Second, time.Since(began))
	release()
	<-answered
}

// Guards against requests that wait for a replica that is not reached, although its silence alone would be borne for
// longer and the request may be sent again elsewhere.
func TestPartitionEndsWaitsThatSilenceDoesNot(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	env, links, _ := newLinkedEnv(t, plainReplicas(t, 3, func(http.ResponseWriter, *http.Request) { <-hold })...)
	env.withLongObjective()
	links.set(false, true, false)
	began := time.Now()
	go func() {
		time.Sleep(50 * time.Millisecond)
		env.ingress.reachability.recordFailure(reach.NoConnection)
	}()
	links.lock.Lock()
	links.hang = false // for the request's own connection
	links.lock.Unlock()
	time.AfterFunc(20*time.Millisecond, func() { links.set(false, true, false) })
	must.NotEq(t, http.StatusOK, env.do(safeRequest).status)
	must.Less(t, 1400*time.Millisecond, time.Since(began))
}

// Guards against a single replica, which looks like a partition, taking its proxies away with it.
func TestOnlyReplicaIsNoPartition(t *testing.T) {
	env, links, announced := newLinkedEnv(t, plainReplicas(t, 1, answerOK)...)
	links.set(true, false, true)
	_ = env.do(safeRequest)
	must.True(t, env.ingress.Ready())
	must.Eq(t, int32(0), announced.Load())
}

// Guards against open connections that outlast a partition and hide that no new ones can be opened.
func TestDataOnOpenConnectionsDoesNotHideRefusedOnes(t *testing.T) {
	env, links, _ := newLinkedEnv(t, plainReplicas(t, 3, answerOK)...)
	links.set(true, false, false)
	env.ingress.reachability.recordFailure(reach.NoConnection)
	env.ingress.reachability.tracker.RecordData(env.ingress.now())
	eventually(t, "it is not ready", func() bool { return !env.ingress.Ready() })
	env.ingress.reachability.tracker.RecordData(env.ingress.now())
	must.False(t, func() bool { _, refused := (&session{ingress: env.ingress}).refuseIfPartitioned(); return refused }(),
		must.Sprint("an open connection may still serve it"))
}
