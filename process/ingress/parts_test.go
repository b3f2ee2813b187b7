package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// crashAfter returns a replica that ends after the given number of events of a run.
func crashAfter(t *testing.T, events int) *fakeReplica {
	var replica *fakeReplica
	replica = newFakeReplica(t, "make", func(w http.ResponseWriter, r *http.Request) {
		writeGenuine(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, eventTexts(1, events))
		w.(http.Flusher).Flush()
		_ = replica.server.Listener.Close()
		panic(http.ErrAbortHandler)
	})
	return replica
}

func newPartEnv(t *testing.T, replica *fakeReplica) (*testEnv, *recordingReporter) {
	env := newTestEnv(t)
	env.withLongObjective()
	env.setVersionedReplicas(map[*fakeReplica]string{replica: "v1"})
	reporter := &recordingReporter{}
	reporter.connected.Store(true)
	env.ingress.guard.SetReporter(reporter)
	return env, reporter
}

func partRequest(shared string) testRequest {
	request := modelRequest
	request.fields = map[string]string{testTokens: "9000", testParts: shared}
	return request
}

// Guards against evidence that blames the last part, which belongs to one request, and against a first event that
// clears a part: a replica that crashes on it may have sent that.
func TestCrashIsReportedWithItsSharedParts(t *testing.T) {
	for events, begun := range []bool{false, false, true} {
		env, reporter := newPartEnv(t, crashAfter(t, events))
		env.do(partRequest("first second own"))
		must.Positive(t, len(reporter.partReports), must.Sprintf("%d events", events))
		crash := reporter.partReports[0].Crashes[0]
		must.Eq(t, []parts.Key{parts.KeyOf("model", "", "first"), parts.KeyOf("model", "", "second")}, crash.Parts)
		must.Eq(t, reporter.reports[0].Crashes[0].Fingerprint, crash.Request)
		must.Eq(t, begun, crash.Begun, must.Sprintf("%d events", events))
		must.Eq(t, begun, crash.MayBeAlive, must.Sprintf("%d events", events))
		must.SliceEmpty(t, reporter.partReports[0].Starts)
	}
}

// Guards against a request that crashes each replica after its first event and is sent on, because a single event
// counts as output, which speaks for the request.
func TestCrashAfterFirstEventSpeaksAgainstRequest(t *testing.T) {
	for events, hadOutput := range []bool{false, false, true} {
		env, reporter := newPartEnv(t, crashAfter(t, events))
		env.do(partRequest("first own"))
		must.Positive(t, len(reporter.reports), must.Sprintf("%d events", events))
		must.Eq(t, hadOutput, reporter.reports[0].Crashes[0].HadOutput, must.Sprintf("%d events", events))
	}
}

// Guards against a held part that is sent, or read elsewhere, and against requests without it, or with it in the
// last place, that are held.
func TestRequestWithHeldPartIsRefusedAtOnce(t *testing.T) {
	replica := newFakeReplica(t, "make", streamEvents(2, ""))
	env, _ := newPartEnv(t, replica)
	env.setRecordedPart(parts.KeyOf("model", "", "bad"), api.QuarantinePartHeld)
	for number, shared := range []string{"bad own", "first BAD own", "bad bad own"} {
		request := partRequest(shared)
		request.id = strconv.Itoa(number)
		got := env.do(request)
		must.Eq(t, http.StatusServiceUnavailable, got.status, must.Sprint(shared))
		must.NotEq(t, "", got.header.Get(testAgain))
	}
	must.Eq(t, 0, replica.count())
	for number, shared := range []string{"first own", "first bad", "bad", ""} {
		request := partRequest(shared)
		request.id = "sound-" + strconv.Itoa(number)
		must.Eq(t, http.StatusOK, env.do(request).status, must.Sprint(shared))
	}
}

// Guards against a prompt that was read elsewhere and clears its parts: reading crashes no replica.
func TestPrefillClearsNoPart(t *testing.T) {
	prefiller, decoder := newFakeReplica(t, "read", answerPrefill), crashAfter(t, 0)
	env := newModelEnv(t, prefiller, decoder, nil)
	reporter := &recordingReporter{}
	reporter.connected.Store(true)
	env.ingress.guard.SetReporter(reporter)
	for number := range 3 {
		env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read", UnreadTokens: 9000}}
		request := partRequest("first own")
		request.id = strconv.Itoa(number)
		env.do(request)
	}
	must.Positive(t, prefiller.count())
	must.Positive(t, len(reporter.partReports))
	for _, report := range reporter.partReports {
		must.SliceEmpty(t, report.Starts)
	}
}

// oneTrial grants the trial of a part to whoever asks first.
type oneTrial struct{ claims atomic.Int32 }

func (o *oneTrial) ClaimPartTrial(context.Context, parts.TrialClaim) (bool, error) {
	return o.claims.Add(1) == 1, nil
}

func (o *oneTrial) ReturnPartTrial(parts.TrialClaim) bool { return true }

// setRecordedPart puts a part on record, or takes it off with an empty state.
func (env *testEnv) setRecordedPart(part parts.Key, state api.QuarantineState) {
	env.views.set(func(v *view.View) {
		v.Quarantines = map[string]*api.Quarantine{}
		if state == "" {
			return
		}
		v.Quarantines[part.String()] = &api.Quarantine{
			Metadata: api.Metadata{Name: part.String(), Revision: v.Version.Revision, Labels: api.PartLabels(nil)},
			Spec:     api.QuarantineSpec{State: state, Service: "model", Until: time.Now().Add(time.Hour).UnixMilli()},
		}
	})
}

// Guards against harmless requests that are refused while a part of theirs is on trial: one tries the part, and the
// others wait until it is cleared.
func TestRequestsWaitForTheTrialOfTheirPart(t *testing.T) {
	const requests = 8
	proceed := make(chan struct{})
	replica := newFakeReplica(t, "make", func(w http.ResponseWriter, r *http.Request) {
		<-proceed
		streamEvents(2, "")(w, r)
	})
	env, reporter := newPartEnv(t, replica)
	env.ingress.guard.SetTrialGranter(&oneTrial{})
	part := parts.KeyOf("model", "", "first")
	env.setRecordedPart(part, api.QuarantinePartTried)

	var callers sync.WaitGroup
	statuses := make([]int, requests)
	for number := range requests {
		callers.Go(func() {
			request := partRequest("first own")
			request.id = strconv.Itoa(number)
			statuses[number] = env.do(request).status
		})
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return replica.count() == 1 }), wait.Timeout(5*time.Second)))
	time.Sleep(5 * trialPollInterval)
	must.Eq(t, 1, replica.count(), must.Sprint("the others wait"))
	close(proceed)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return reporter.hasPartStart() }), wait.Timeout(5*time.Second)))
	env.setRecordedPart(part, "")
	callers.Wait()
	for _, status := range statuses {
		must.Eq(t, http.StatusOK, status)
	}
}

// Guards against requests that wait for a trial without end.
func TestRequestIsRefusedIfTheTrialOfItsPartTakesLong(t *testing.T) {
	replica := newFakeReplica(t, "make", streamEvents(2, ""))
	env, _ := newPartEnv(t, replica)
	elsewhere := &oneTrial{}
	elsewhere.claims.Store(1)
	env.ingress.guard.SetTrialGranter(elsewhere)
	env.setRecordedPart(parts.KeyOf("model", "", "first"), api.QuarantinePartTried)
	began := time.Now()
	got := env.do(partRequest("first own"))
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get(testAgain))
	must.GreaterEq(t, maxTrialWait, time.Since(began))
	must.Eq(t, 0, replica.count())
}

// Guards against a harmless request that waits for the trial that it has itself, and is then refused: its first attempt
// ended without a crash and without an answer (soak seed 84003).
func TestTrialIsSentAgainUnlessAReplicaCrashed(t *testing.T) {
	var sends atomic.Int32
	replica := newFakeReplica(t, "make", func(w http.ResponseWriter, r *http.Request) {
		if sends.Add(1) > 1 {
			streamEvents(2, "")(w, r)
			return
		}
		writeGenuine(w, r)
		w.WriteHeader(http.StatusInternalServerError)
	})
	env, _ := newPartEnv(t, replica)
	second := newFakeReplica(t, "second", replica.server.Config.Handler.ServeHTTP)
	env.setVersionedReplicas(map[*fakeReplica]string{replica: "v1", second: "v1"})
	trial := &oneTrial{}
	env.ingress.guard.SetTrialGranter(trial)
	env.setRecordedPart(parts.KeyOf("model", "", "first"), api.QuarantinePartTried)
	must.Eq(t, http.StatusOK, env.do(partRequest("first own")).status)
	must.Eq(t, 2, sends.Load())
	must.Eq(t, 1, trial.claims.Load())
}

// Guards against a request that tries a part again after a replica has crashed under it.
func TestRequestTriesAPartOnce(t *testing.T) {
	replica := crashAfter(t, 0)
	env, _ := newPartEnv(t, replica)
	trial := &oneTrial{}
	env.ingress.guard.SetTrialGranter(trial)
	env.setRecordedPart(parts.KeyOf("model", "", "first"), api.QuarantinePartTried)
	began := time.Now()
	must.Eq(t, http.StatusBadGateway, env.do(partRequest("first own")).status)
	must.Less(t, 2*maxTrialWait, time.Since(began))
	must.Eq(t, 1, replica.count())
	must.Eq(t, 1, trial.claims.Load())
}
