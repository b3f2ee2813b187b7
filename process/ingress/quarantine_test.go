package ingress

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// recordingReporter records reports of replica crashes.
type recordingReporter struct {
	connected atomic.Bool
	lock      sync.Mutex
	reports   []feed.CrashReport
	// partReports are the reports of prompt parts.
	partReports []parts.Report
}

func (r *recordingReporter) Connected() bool { return r.connected.Load() }

func (r *recordingReporter) ReportParts(report parts.Report) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.partReports = append(r.partReports, report)
	return true
}

// hasPartStart reports whether a start with a prompt part was reported.
func (r *recordingReporter) hasPartStart() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.ContainsFunc(r.partReports, func(report parts.Report) bool { return len(report.Starts) > 0 })
}

func (r *recordingReporter) ReportCrashes(report feed.CrashReport) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.reports = append(r.reports, report)
	return true
}

// counts returns the number of reported items of each kind.
func (r *recordingReporter) counts() (ended, alive, served int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, report := range r.reports {
		ended += len(report.Crashes)
		alive += len(report.Alive)
		served += len(report.Served)
	}
	return ended, alive, served
}

// crashOn closes the connection for requests of one kind and answers all others.
func crashOn(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Test-Sort") == kind {
			panic(http.ErrAbortHandler)
		}
		answerOK(w, r)
	}
}

// newCrashingReplica returns a replica that requests of one kind crash: it closes their connections and
// listens no longer.
func newCrashingReplica(t *testing.T, name, kind string) *fakeReplica {
	var crashing *fakeReplica
	crashing = newFakeReplica(t, name, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Test-Sort") == kind {
			_ = crashing.server.Listener.Close()
		}
		crashOn(kind)(w, r)
	})
	return crashing
}

// crashRequest is a request that crashes every replica of these tests.
func crashRequest(id string) testRequest {
	return testRequest{method: "GET", target: "/safe/x?q=1", id: id, fields: map[string]string{"Test-Sort": "fatal"}}
}

func newQuarantineEnv(t *testing.T, replicas int) (*testEnv, *recordingReporter, []*fakeReplica) {
	var all []*fakeReplica
	for i := range replicas {
		all = append(all, newFakeReplica(t, fmt.Sprint("r-", i), crashOn("fatal")))
	}
	env := newTestEnv(t, all...)
	reporter := &recordingReporter{}
	env.ingress.guard.SetReporter(reporter)
	return env, reporter, all
}

func totalRequests(replicas []*fakeReplica) int {
	count := 0
	for _, replica := range replicas {
		count += replica.count()
	}
	return count
}

// setQuarantine puts the crash request on record; the state ends when until has passed from now.
func (env *testEnv) setQuarantine(state api.QuarantineState, until time.Duration, replicas ...string) {
	env.views.set(func(v *view.View) {
		name := quarantine.FingerprintOf(quarantine.RequestIdentity{Method: "GET", Host: "a.example", Path: "/safe/x", Query: "q=1"}).String()
		v.Quarantines = map[string]*api.Quarantine{name: {
			Metadata: api.Metadata{Name: name, Revision: v.Version.Revision},
			Spec:     api.QuarantineSpec{State: state, Replicas: replicas, Until: time.Now().Add(until).UnixMilli()},
		}}
	})
}

// A quarantined request is sent to no replica and is answered at once with a retry delay. Other
// requests on the route are served.
func TestQuarantinedRequestIsSentToNoReplica(t *testing.T) {
	env, _, replicas := newQuarantineEnv(t, 3)
	env.setQuarantine(api.QuarantineHeld, time.Hour, "x", "y", "z")
	began := time.Now()
	got := env.do(crashRequest("one"))
	must.Less(t, time.Second, time.Since(began))
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Eq(t, "quarantined\n", got.body)
	again, err := time.ParseDuration(got.header.Get(testAgain))
	must.NoError(t, err)
	must.Between(t, 59*time.Minute, again, time.Hour)
	must.Eq(t, 0, totalRequests(replicas))
	must.Eq(t, 200, env.do(testRequest{method: "GET", target: "/safe/x?q=2", id: "two"}).status)

	env.views.set(func(v *view.View) { v.Quarantines = nil })
	must.Eq(t, 502, env.do(crashRequest("three")).status)
	must.Eq(t, 3, totalRequests(replicas), must.Sprint("a released request is sent again"))
}

// A proxy without a leader uses its own observations.
func TestCutOffProxyUsesItsOwnObservations(t *testing.T) {
	var replicas []*fakeReplica
	for i := range 8 {
		replicas = append(replicas, newCrashingReplica(t, fmt.Sprint("r-", i), "fatal"))
	}
	env, reporter := newTestEnv(t, replicas...), &recordingReporter{}
	env.ingress.guard.SetReporter(reporter)
	for i := range 2 {
		env.do(crashRequest(fmt.Sprint("q-", i)))
	}
	must.Eq(t, 4, totalRequests(replicas))
	for i := range 10 {
		must.Eq(t, http.StatusServiceUnavailable, env.do(crashRequest(fmt.Sprint("later-", i))).status)
	}
	must.Eq(t, 4, totalRequests(replicas))
	ended, _, _ := reporter.counts()
	must.Eq(t, 4, ended)

	// With a leader, the observations of all proxies decide.
	reporter.connected.Store(true)
	must.Eq(t, 502, env.do(crashRequest("decided")).status)
	must.Greater(t, 4, totalRequests(replicas))
}

// Guards against refusing a harmless request at a proxy without a leader for connections that faulty
// replicas reset, which go on listening.
func TestCutOffProxyHoldsNothingForReplicasThatListen(t *testing.T) {
	env, _, replicas := newQuarantineEnv(t, 8)
	for i := range 3 {
		must.Eq(t, http.StatusBadGateway, env.do(crashRequest(fmt.Sprint("q-", i))).status)
	}
	must.Greater(t, 4, totalRequests(replicas))
}

// The record from before the loss of the leader is combined with later observations.
func TestRecordIsCombinedWithOwnObservations(t *testing.T) {
	env, _, replicas := newQuarantineEnv(t, 3)
	env.setQuarantine(api.QuarantineWatched, time.Hour, "gone-1", "gone-2")
	env.do(crashRequest("one"))
	sent := totalRequests(replicas)
	must.Eq(t, 2, sent)
	must.Eq(t, http.StatusServiceUnavailable, env.do(crashRequest("two")).status)
	must.Eq(t, sent, totalRequests(replicas))
}

// A request that crashes three replicas by itself is sent to no fourth one, whatever number of
// attempts its route allows and before the control group has decided.
func TestOneRequestCrashesThreeReplicasAtMost(t *testing.T) {
	env, reporter, replicas := newQuarantineEnv(t, 8)
	reporter.connected.Store(true)
	env.views.set(func(v *view.View) {
		updated := testIngress()
		updated.Spec.Generation++
		updated.Spec.Routes[0].Attempts = 8
		v.Ingresses = map[string]*api.Ingress{api.IngressName: updated}
	})
	must.Eq(t, http.StatusBadGateway, env.do(crashRequest("one")).status)
	must.Eq(t, 3, totalRequests(replicas))
}

// Guards against sending a request on after it has caused the third crash on record. When only the
// crashes of a copy itself counted, although its proxy knew of two others on record, the copy that
// caused the third went on to two more replicas within 0.7 s, while the report was on its way to
// the leader and back.
func TestThirdRecordedCrashStopsTheRequestThatCausedIt(t *testing.T) {
	env, reporter, replicas := newQuarantineEnv(t, 8)
	reporter.connected.Store(true)
	env.views.set(func(v *view.View) {
		updated := testIngress()
		updated.Spec.Generation++
		updated.Spec.Routes[0].Attempts = 8
		v.Ingresses = map[string]*api.Ingress{api.IngressName: updated}
	})
	env.setQuarantine(api.QuarantineWatched, time.Hour, "gone-1", "gone-2")
	must.Eq(t, http.StatusBadGateway, env.do(crashRequest("one")).status)
	must.Eq(t, 1, totalRequests(replicas))
}

// A replica that answers later on a connection which was open before its suspected crash has not
// crashed. On a new connection the answer may come from the next process under its name and proves
// nothing. When it was accepted as proof, a request that had crashed eight replicas was released.
func TestAnswerRefutesACrash(t *testing.T) {
	for _, keptOpen := range []bool{true, false} {
		env, reporter, replicas := newQuarantineEnv(t, 1)
		if keptOpen {
			env.doConcurrently(replicas[0]) // the crash request breaks one of two connections
		}
		env.do(crashRequest("one"))
		must.Eq(t, 200, env.do(testRequest{method: "GET", target: "/safe/y", id: "two"}).status)
		ended, alive, _ := reporter.counts()
		must.Eq(t, 1, ended)
		want := 0
		if keptOpen {
			want = 1
		}
		must.Eq(t, want, alive, must.Sprint(keptOpen))
	}
}

// doConcurrently has two requests in flight at a replica at the same time, each on its own
// connection.
func (env *testEnv) doConcurrently(replica *fakeReplica) {
	var arrivals, requests sync.WaitGroup
	arrivals.Add(2)
	original := replica.server.Config.Handler
	replica.server.Config.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		arrivals.Done()
		arrivals.Wait()
		original.ServeHTTP(rw, r)
	})
	for _, id := range []string{"before-1", "before-2"} {
		requests.Go(func() { env.do(testRequest{method: "GET", target: "/safe/y", id: id}) })
	}
	requests.Wait()
	replica.server.Config.Handler = original
}

// The next process under a replica's name refutes no crash on record, not even for a proxy that
// has just started and knows the name only from the record.
func TestRestartedReplicaRefutesNoCrash(t *testing.T) {
	env, reporter, _ := newQuarantineEnv(t, 3)
	env.views.set(func(v *view.View) {
		for i := range 3 {
			v.Replicas[fmt.Sprint("r-", i)].Spec.Born = 1000
		}
	})
	env.setQuarantine(api.QuarantineHeld, time.Hour, "r-0", "r-1", "r-2", "r-0@1000", "r-1@1000", "r-2@1000")
	for i := range 12 {
		must.Eq(t, 200, env.do(testRequest{method: "GET", target: "/safe/y", id: fmt.Sprint("q-", i)}).status)
	}
	_, alive, _ := reporter.counts()
	must.Eq(t, 0, alive)
	must.Eq(t, http.StatusServiceUnavailable, env.do(crashRequest("again")).status)
}

// The crash of each process counts, including several under one name.
func TestCrashesOfSeveralProcessesUnderOneName(t *testing.T) {
	env, reporter, replicas := newQuarantineEnv(t, 1)
	for born := range 4 {
		env.views.set(func(v *view.View) {
			entry := replicaObject(replicas[0], "plain", api.RoleNone)
			entry.Spec.Born = int64(1000 + born)
			v.Replicas = map[string]*api.Replica{"r-0": entry}
		})
		env.do(crashRequest(fmt.Sprint("q-", born)))
	}
	names := map[string]bool{}
	for _, report := range reporter.reports {
		for _, evidence := range report.Crashes {
			names[evidence.Replica] = true
		}
	}
	must.Eq(t, map[string]bool{"r-0@1000": true, "r-0@1001": true, "r-0@1002": true, "r-0@1003": true}, names)
}

// A single crash does not activate the guard: requests are checked from the second crash on.
func TestSingleCrashDoesNotActivateTheGuard(t *testing.T) {
	env, _, _ := newQuarantineEnv(t, 1)
	env.do(crashRequest("one"))
	must.False(t, env.ingress.guard.Active())
}

// The control group is told when a watched request is served completely.
func TestServedRequestIsReported(t *testing.T) {
	env, reporter, _ := newQuarantineEnv(t, 2)
	env.setQuarantine(api.QuarantineWatched, time.Hour, "gone-1", "gone-2")
	harmless := crashRequest("one")
	harmless.fields = nil
	must.Eq(t, 200, env.do(harmless).status)
	_, _, served := reporter.counts()
	must.Eq(t, 1, served)
}

// A new leader is told everything that this proxy has observed.
func TestNewLeaderIsToldOfCrashes(t *testing.T) {
	env, reporter, _ := newQuarantineEnv(t, 2)
	env.do(crashRequest("one"))
	env.ingress.guard.ReportAll(env.ingress.now())
	ended, _, _ := reporter.counts()
	must.Eq(t, 4, ended)
}

// While no request is suspected, checking a request neither computes its fingerprint nor allocates
// memory.
func TestRequestsAreNotHashedWithoutSuspicion(t *testing.T) {
	env, _, _ := newQuarantineEnv(t, 1)
	s := &session{ingress: env.ingress, call: Call{Body: make([]byte, 1<<20)}}
	must.Zero(t, testing.AllocsPerRun(100, func() { s.quarantineHold() }))
	must.Nil(t, s.cachedFingerprint)
}

// If an isolated request's connection breaks, the replica has crashed only if nothing listens at
// its address any more: a faulty replica resets connections and continues.
func TestAddressIsProbedAfterAnIsolatedCrash(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		var decoder *fakeReplica
		decoder = newFakeReplica(t, "make", func(_ http.ResponseWriter, _ *http.Request) {
			if crashes {
				_ = decoder.server.Listener.Close()
			}
			panic(http.ErrAbortHandler)
		})
		env := newModelEnv(t, newFakeReplica(t, "read", answerPrefill), decoder, nil)
		reporter := &recordingReporter{}
		env.ingress.guard.SetReporter(reporter)
		env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Isolated: true}}
		env.do(modelRequest)
		must.SliceNotEmpty(t, reporter.reports)
		must.Eq(t, crashes, reporter.reports[0].Crashes[0].OnlyInFlight)
	}
}

// A proxy reports whether a replica still listens after its connection broke.
func TestReplicasThatStillListenAreReported(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		var broken *fakeReplica
		broken = newFakeReplica(t, "broken", func(http.ResponseWriter, *http.Request) {
			if crashes {
				_ = broken.server.Listener.Close()
			}
			panic(http.ErrAbortHandler)
		})
		env := newTestEnv(t, broken)
		reporter := &recordingReporter{}
		env.ingress.guard.SetReporter(reporter)
		env.do(testRequest{method: "GET", target: "/safe/x", id: "q"})
		must.SliceNotEmpty(t, reporter.reports)
		must.Eq(t, !crashes, reporter.reports[0].Crashes[0].StillListening)
	}
}

// An isolated request that was served is reported as harmless, even if this proxy has no evidence
// against it. While the control group asks for fingerprints, placement requests include them.
func TestServedIsolatedRequestsAreReported(t *testing.T) {
	env := newModelEnv(t, newFakeReplica(t, "read", answerPrefill), newFakeReplica(t, "make", streamEvents(2, "")), nil)
	reporter := &recordingReporter{}
	env.ingress.guard.SetReporter(reporter)
	placer := &fingerprintPlacer{fakePlacer: fakePlacer{answer: placement.Answer{Generator: "make", Isolated: true}}}
	env.ingress.placer = placer
	must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
	_, _, served := reporter.counts()
	must.Eq(t, 1, served)
	must.SliceLen(t, 2, placer.requests)
	must.Eq(t, "", placer.requests[0].Fingerprint)
	must.Eq(t, 16, len(placer.requests[1].Fingerprint))
	env.do(modelRequest)
	must.SliceLen(t, 3, placer.requests, must.Sprint("the next placement request includes the fingerprint at once"))
}

// Guards against quarantining a harmless request that is served after each crash during it. A
// served request was once reported only if two or more crashes were known. A proxy that saw the
// first crash and served the request elsewhere 4 ms later reported nothing; two more replicas
// crashed during it within three seconds by coincidence, and it was put on trial, so that all
// other copies were refused.
func TestRequestServedAfterItsFirstCrashIsReported(t *testing.T) {
	broken := newFakeReplica(t, "broken", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	env := newTestEnv(t, broken, newFakeReplica(t, "sound", answerOK))
	reporter := &recordingReporter{}
	reporter.connected.Store(true)
	env.ingress.guard.SetReporter(reporter)
	ended, served := 0, 0
	for i := 0; ended == 0 && i < 50; i++ { // until the broken replica is chosen
		must.Eq(t, 200, env.do(testRequest{method: "GET", target: "/safe/x", id: fmt.Sprint("q-", i)}).status)
		ended, _, served = reporter.counts()
	}
	must.Eq(t, 1, ended)
	must.Eq(t, 1, served, must.Sprint("the request that caused the crash was served elsewhere"))
}

// fingerprintPlacer asks for fingerprints.
type fingerprintPlacer struct{ fakePlacer }

func (p *fingerprintPlacer) Place(ctx context.Context, request feed.PlaceRequest) (placement.Answer, error) {
	answer, err := p.fakePlacer.Place(ctx, request)
	if request.Ask.Fingerprint == "" {
		return placement.Answer{NeedsFingerprint: true}, err
	}
	return answer, err
}

// quarantiningPlacer makes requests wait, and quarantines each one that has a fingerprint.
type quarantiningPlacer struct {
	fakePlacer
	views *viewHolder
}

func (p *quarantiningPlacer) Place(_ context.Context, request feed.PlaceRequest) (placement.Answer, error) {
	if request.Ask.Fingerprint == "" {
		return placement.Answer{NeedsFingerprint: true}, nil
	}
	var fingerprint quarantine.Fingerprint
	copy(fingerprint[:], request.Ask.Fingerprint)
	p.views.set(func(v *view.View) {
		v.Quarantines = map[string]*api.Quarantine{fingerprint.String(): {
			Metadata: api.Metadata{Name: fingerprint.String(), Revision: v.Version.Revision},
			Spec:     api.QuarantineSpec{State: api.QuarantineHeld, Until: time.Now().Add(time.Hour).UnixMilli()},
		}}
	})
	return placement.Answer{Wait: time.Millisecond}, nil
}

// A request that is quarantined while it waits for its placement is refused at once, not when its
// wait is over.
func TestRequestQuarantinedDuringAWaitIsRefusedAtOnce(t *testing.T) {
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, newFakeReplica(t, "read", answerPrefill), decoder, nil)
	env.ingress.placer = &quarantiningPlacer{views: env.views}
	began := time.Now()
	got := env.do(modelRequest)
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Eq(t, "quarantined\n", got.body)
	must.Less(t, time.Second, time.Since(began))
	must.Eq(t, 0, decoder.count())
}

// watchModelRequest puts the model request on record as watched.
func (env *testEnv) watchModelRequest(replicas ...string) {
	env.views.set(func(v *view.View) {
		name := quarantine.FingerprintOf(quarantine.RequestIdentity{Method: "POST", Host: "a.example", Path: "/model/"}).String()
		v.Quarantines = map[string]*api.Quarantine{name: {
			Metadata: api.Metadata{Name: name, Revision: v.Version.Revision},
			Spec:     api.QuarantineSpec{State: api.QuarantineWatched, Replicas: replicas, Until: time.Now().Add(time.Hour).UnixMilli()},
		}}
	})
}

// Guards against sending a watched request without a leader's decision. A proxy without an answer
// once decided by itself even for a request that it knew to need isolation. A request that had
// crashed three replicas so crashed three more, more than three seconds later, while the leader
// let its copies wait for a replica without other requests: one placement request was not answered
// within 30 ms after a wait of 1.2 s, and two more copies had no leader and were sent at once.
func TestWatchedRequestIsPlacedByALeaderOnly(t *testing.T) {
	play := func(change func(env *testEnv, reporter *recordingReporter, placer *waitingPlacer)) (testResponse, int) {
		decoder := newFakeReplica(t, "make", streamEvents(2, ""))
		env := newModelEnv(t, newFakeReplica(t, "read", answerPrefill), decoder, nil)
		reporter := &recordingReporter{}
		reporter.connected.Store(true)
		env.ingress.guard.SetReporter(reporter)
		placer := &waitingPlacer{fakePlacer: fakePlacer{answer: placement.Answer{Generator: "make"}}}
		env.ingress.placer = placer
		must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
		env.watchModelRequest("x", "y")
		change(env, reporter, placer)
		before := decoder.count()
		got := env.do(modelRequest)
		return got, decoder.count() - before
	}
	t.Run("placed", func(t *testing.T) {
		got, sent := play(func(*testEnv, *recordingReporter, *waitingPlacer) {})
		must.Eq(t, eventTexts(1, 2), got.body)
		must.Eq(t, 1, sent)
	})
	t.Run("no answer", func(t *testing.T) {
		got, sent := play(func(_ *testEnv, _ *recordingReporter, placer *waitingPlacer) { placer.err = feed.ErrNotPlaced })
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.Eq(t, 0, sent)
	})
	t.Run("no leader", func(t *testing.T) {
		got, sent := play(func(_ *testEnv, reporter *recordingReporter, _ *waitingPlacer) { reporter.connected.Store(false) })
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.Eq(t, 0, sent)
	})
	t.Run("a leader appears", func(t *testing.T) {
		got, sent := play(func(_ *testEnv, reporter *recordingReporter, _ *waitingPlacer) {
			reporter.connected.Store(false)
			time.AfterFunc(200*time.Millisecond, func() { reporter.connected.Store(true) })
		})
		must.Eq(t, eventTexts(1, 2), got.body)
		must.Eq(t, 1, sent)
	})
	t.Run("weak evidence requires no leader", func(t *testing.T) {
		got, sent := play(func(env *testEnv, _ *recordingReporter, placer *waitingPlacer) {
			placer.err = feed.ErrNotPlaced
			env.views.set(func(v *view.View) {
				for _, known := range v.Quarantines {
					known.Spec.Weak = []string{"y"}
				}
			})
		})
		must.Eq(t, eventTexts(1, 2), got.body)
		must.Eq(t, 1, sent)
	})
}
