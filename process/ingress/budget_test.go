package ingress

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/retry"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// withLongObjective gives all routes an objective that is long enough even for a slow test
// machine. With a shorter one, a slow replica could be taken to be silent, and the request would
// cost a retry.
func (env *testEnv) withLongObjective() {
	env.views.set(func(v *view.View) {
		updated := testIngress()
		for i := range updated.Spec.Routes {
			updated.Spec.Routes[i].ObjectiveMilliseconds = testTimeout.Milliseconds()
		}
		v.Ingresses = map[string]*api.Ingress{api.IngressName: updated}
	})
}

// withReserve sets the retry budget of the model service to a fixed number of retries, whatever
// the number of requests.
func (env *testEnv) withReserve(reserve float64) {
	env.ingress.routes()
	env.ingress.upstreams.get("model").budget = retry.NewProxyBudget(0, reserve, time.Hour, 0)
}

// Each refused prefill counts as a retry. Once they have overdrawn the budget, the decode
// replicas prefill the prompts themselves.
func TestRefusedPrefillsEndWithTheBudget(t *testing.T) {
	prefiller := newFakeReplica(t, "read", refuseRun)
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, decoder, nil)
	env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
	env.withLongObjective()
	env.withReserve(2)
	const requests = 10
	for range requests {
		must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
	}
	must.Eq(t, 2, prefiller.count())
	must.Eq(t, requests, decoder.count())
}

// Guards against a prefill that is sent although nothing covers its refusal, even to a replica that has never
// refused one.
func TestPrefillNeedsCover(t *testing.T) {
	prefiller := newFakeReplica(t, "read", answerPrefill)
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, decoder, nil)
	placer := &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
	env.ingress.placer = placer
	for reserve, reads := range []int{0, 1, 2} {
		env.withReserve(float64(reserve))
		must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
		must.Eq(t, reads, prefiller.count())
		must.Eq(t, reserve == 0, placer.requests[reserve].DirectOnly, must.Sprint("it is placed where it is read best"))
		must.Eq(t, float64(reserve), env.ingress.upstreams.get("model").budget.State(env.ingress.now()).Left)
	}
}

// A replica that answers a prefill with an error of its own has accepted it, and the first
// accepted prefill is free.
func TestFailedPrefillsCostNoRetry(t *testing.T) {
	prefiller := newFakeReplica(t, "read", answerStatus(http.StatusInternalServerError))
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, decoder, nil)
	env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
	env.withReserve(1)
	const requests = 10
	for range requests {
		must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
	}
	must.Eq(t, requests, prefiller.count())
	must.Eq(t, 1, env.ingress.upstreams.get("model").budget.State(env.ingress.now()).Left)
	must.Eq(t, requests, decoder.count())
}

// A prefill without an answer may not have been accepted; the run that follows then counts as a
// second send.
func TestUnansweredPrefillsCountAsRetries(t *testing.T) {
	prefiller := newFakeReplica(t, "read", closeConnection)
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, decoder, nil)
	env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
	env.withReserve(2)
	for range 10 {
		must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
	}
	must.Eq(t, 2, prefiller.count())
}

// The first accepted prefill is free; a second one costs a retry in addition to that of its run.
func TestSecondPrefillCostsARetry(t *testing.T) {
	for _, test := range []struct {
		reserve float64
		reads   int
	}{{1, 1}, {2, 2}} {
		prefiller := newFakeReplica(t, "read", answerPrefill)
		decoder := newFakeReplica(t, "make", refuseRun)
		env := newModelEnv(t, prefiller, decoder, nil)
		env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
		env.withReserve(test.reserve)
		must.Eq(t, http.StatusServiceUnavailable, env.do(modelRequest).status)
		must.Eq(t, 2, decoder.count())
		must.Eq(t, test.reads, prefiller.count())
	}
}

// If a prefill is refused shortly before the deadline, too little time is left to run the
// request: it is sent to no other replica, and its caller is told that it has not run.
func TestNothingIsSentWithoutTimeToRun(t *testing.T) {
	const within = 400 * time.Millisecond
	prefiller := newFakeReplica(t, "read", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(within - 15*time.Millisecond)
		refuseRun(w, r)
	})
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, decoder, nil)
	env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
	request := modelRequest
	request.fields = map[string]string{testTokens: "9000", testWithin: "400"}
	got := env.do(request)
	must.NoError(t, got.err)
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get(testAgain))
	must.Eq(t, 0, decoder.count())
}

func TestReserveIsSharedWithProxiesThatHaveJustLeft(t *testing.T) {
	const window = 10 * time.Second
	shared := &proxyCounter{}
	must.Eq(t, 8, shared.observe(8, time.Second, window))
	must.Eq(t, 8, shared.observe(4, 2*time.Second, window), must.Sprint("four proxies have left and may have spent their parts"))
	must.Eq(t, 8, shared.observe(3, 11*time.Second, window))
	must.Eq(t, 3, shared.observe(3, 13*time.Second, window))
	must.Eq(t, 9, shared.observe(9, 14*time.Second, window))
}

// directPlacer plans a prefill unless the request has to do without one.
type directPlacer struct {
	fakePlacer
	direct placement.Answer
}

func (p *directPlacer) Place(ctx context.Context, request feed.PlaceRequest) (placement.Answer, error) {
	answer, err := p.fakePlacer.Place(ctx, request)
	if request.Ask.DirectOnly {
		return p.direct, err
	}
	return answer, err
}

// emptyLender has no retry left.
type emptyLender struct{}

func (emptyLender) BorrowRetry(context.Context, retry.LoanRequest) (retry.LoanReply, error) {
	return retry.LoanReply{}, nil
}

func (emptyLender) ReturnRetry(retry.LoanRequest) bool { return true }

// Guards against a prompt that is read, without its cached parts, on the replica that was to generate only. The load is
// a burst of connection resets: it uses up the budget, and the proxies learn that no prefill is covered only once
// their requests are placed.
func TestRequestWithoutCoverIsPlacedWhereItIsReadBest(t *testing.T) {
	prefiller := newFakeReplica(t, "read", answerPrefill)
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	holder := newFakeReplica(t, "holder", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, decoder, holder)
	placer := &directPlacer{
		fakePlacer: fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}},
		direct:     placement.Answer{Generator: "holder", FetchFrom: "make"},
	}
	env.ingress.placer, env.ingress.lender = placer, emptyLender{}
	env.withReserve(0)
	must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
	must.Eq(t, 0, prefiller.count())
	must.Eq(t, 0, decoder.count())
	must.Eq(t, 1, holder.count())
	must.Len(t, 2, placer.requests)
	must.Eq(t, []placement.Step{placement.StepReadSkipped, placement.StepEnded, placement.StepStarted, placement.StepEnded}, placer.steps())
}

// Guards against endless placements where an older member plans a prefill although the request has to do without one.
func TestRequestWithoutCoverIsPlacedOnceMore(t *testing.T) {
	prefiller := newFakeReplica(t, "read", answerPrefill)
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, decoder, nil)
	placer := &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
	env.ingress.placer, env.ingress.lender = placer, emptyLender{}
	env.withReserve(0)
	must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
	must.Eq(t, 0, prefiller.count())
	must.Len(t, 2, placer.requests)
}
