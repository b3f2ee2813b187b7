package ingress

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
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
	part := parts.KeyOf("model", "", "bad")
	env.views.set(func(v *view.View) {
		v.Quarantines = map[string]*api.Quarantine{part.String(): {
			Metadata: api.Metadata{Name: part.String(), Revision: v.Version.Revision, Labels: api.PartLabels(nil)},
			Spec:     api.QuarantineSpec{State: api.QuarantinePartHeld, Service: "model", Until: time.Now().Add(time.Hour).UnixMilli()},
		}}
	})
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
