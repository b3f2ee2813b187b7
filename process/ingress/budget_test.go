package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/retry"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// withPatience gives the model route an objective of which no machine is late by so much
// that a replica passes for silent: giving it up would cost a retry.
func (w *world) withPatience() {
	w.views.set(func(v *view.View) {
		patient := testIngress()
		for i := range patient.Spec.Routes {
			patient.Spec.Routes[i].ObjectiveMilliseconds = patience.Milliseconds()
		}
		v.Ingresses = map[string]*api.Ingress{api.IngressName: patient}
	})
}

// withReserve leaves the model service's lane so many retries, and no share of
// its requests.
func (w *world) withReserve(reserve float64) {
	w.ingress.routes()
	w.ingress.upstreams.get("model").budget = retry.NewWindow(0, reserve, time.Hour)
}

// Each read that a replica refuses counts as a retry. Once they have overdrawn
// the budget, generators read the prompts themselves.
func TestRefusedReadsEndWithTheBudget(t *testing.T) {
	reader := newFakeReplica(t, "read", refuseRun)
	generator := newFakeReplica(t, "make", streamEvents(2, ""))
	w := newModelWorld(t, reader, generator, nil)
	w.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
	w.withPatience()
	w.withReserve(2)
	const asked = 10
	for range asked {
		must.Eq(t, events(1, 2), w.ask(modelRequest).body)
	}
	must.Eq(t, 2, reader.count())
	must.Eq(t, asked, generator.count())
}

// A budget that other readers have overdrawn keeps no read from a reliable one.
func TestReliableReadersAreReadWithWhateverIsLeft(t *testing.T) {
	reader := newFakeReplica(t, "read", readPrompt)
	generator := newFakeReplica(t, "make", streamEvents(2, ""))
	w := newModelWorld(t, reader, generator, nil)
	w.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
	w.withReserve(0)
	w.ingress.upstreams.get("model").budget.Force(w.ingress.now())
	must.Eq(t, events(1, 2), w.ask(modelRequest).body)
	must.Eq(t, 1, reader.count())
	must.NotEq(t, "", generator.requests[0].Header.Get(testSource))
}

// A reader that answers with a failure of its own has taken the read up, and the
// first one taken up counts nowhere.
func TestFailedReadsCostNoRetry(t *testing.T) {
	reader := newFakeReplica(t, "read", answerStatus(http.StatusInternalServerError))
	generator := newFakeReplica(t, "make", streamEvents(2, ""))
	w := newModelWorld(t, reader, generator, nil)
	w.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
	w.withReserve(0)
	const asked = 10
	for range asked {
		must.Eq(t, events(1, 2), w.ask(modelRequest).body)
	}
	must.False(t, w.ingress.upstreams.get("model").budget.Overdrawn(w.ingress.now()))
	must.Eq(t, asked, generator.count())
}

// A read that brought no answer may not have been taken up; the run that follows
// it then counts as a second send.
func TestUnansweredReadsCountAsRetries(t *testing.T) {
	reader := newFakeReplica(t, "read", breakOff)
	generator := newFakeReplica(t, "make", streamEvents(2, ""))
	w := newModelWorld(t, reader, generator, nil)
	w.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
	w.withReserve(2)
	for range 10 {
		must.Eq(t, events(1, 2), w.ask(modelRequest).body)
	}
	must.Eq(t, 2, reader.count())
}

// The first read is free once it is taken up; a second one costs a retry beside
// that of its run.
func TestSecondReadAsksTheBudget(t *testing.T) {
	for _, test := range []struct {
		reserve float64
		reads   int
	}{{1, 1}, {2, 2}} {
		reader := newFakeReplica(t, "read", readPrompt)
		generator := newFakeReplica(t, "make", refuseRun)
		w := newModelWorld(t, reader, generator, nil)
		w.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
		w.withReserve(test.reserve)
		must.Eq(t, http.StatusServiceUnavailable, w.ask(modelRequest).status)
		must.Eq(t, 2, generator.count())
		must.Eq(t, test.reads, reader.count())
	}
}

// A reader that refuses when the time is nearly over leaves nothing to run with:
// the request goes nowhere else, and its caller is told that it has not run.
func TestNothingIsSentWithoutTimeToRun(t *testing.T) {
	const within = 400 * time.Millisecond
	reader := newFakeReplica(t, "read", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(within - 15*time.Millisecond)
		refuseRun(w, r)
	})
	generator := newFakeReplica(t, "make", streamEvents(2, ""))
	w := newModelWorld(t, reader, generator, nil)
	w.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
	request := modelRequest
	request.fields = map[string]string{testTokens: "9000", testWithin: "400"}
	got := w.ask(request)
	must.NoError(t, got.err)
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get(testAgain))
	must.Eq(t, 0, generator.count())
}

func TestReserveIsSharedWithThoseThatHaveJustLeft(t *testing.T) {
	const window = 10 * time.Second
	shared := &proxyCount{}
	must.Eq(t, 8, shared.observe(8, time.Second, window))
	must.Eq(t, 8, shared.observe(4, 2*time.Second, window), must.Sprint("four have left, and may have spent their parts"))
	must.Eq(t, 8, shared.observe(3, 11*time.Second, window))
	must.Eq(t, 3, shared.observe(3, 13*time.Second, window))
	must.Eq(t, 9, shared.observe(9, 14*time.Second, window))
}
