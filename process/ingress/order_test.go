package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// A request that the control group refuses is answered at once, is sent to no replica, and gets a
// retry delay within its caller's remaining time.
func TestRequestWithoutCapacityIsRefusedAtOnce(t *testing.T) {
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, newFakeReplica(t, "read", answerPrefill), decoder, nil)
	env.ingress.placer = &fakePlacer{answer: placement.Answer{Refused: true, RetryAfter: time.Hour}}
	got := env.do(modelRequest)
	must.NoError(t, got.err)
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	again, err := time.ParseDuration(got.header.Get(testAgain))
	must.NoError(t, err)
	must.Between(t, 0, again, 5*time.Second/3)
	must.Eq(t, 0, decoder.count())
}

// A send that includes the prefill of a deferred request has the lowest priority, so that replicas
// prefill it last. A run whose prompt is already prefilled keeps the route's priority.
func TestDeferredRequestsHaveTheLowestPrefillPriority(t *testing.T) {
	prefiller := newFakeReplica(t, "read", answerPrefill)
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, decoder, nil)
	env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read", Deferred: true}}
	must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
	must.Eq(t, "9", prefiller.requests[0].Header.Get(testPriority))
	must.Eq(t, "0", decoder.requests[0].Header.Get(testPriority))
	env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Deferred: true}}
	must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
	must.Eq(t, "9", decoder.requests[1].Header.Get(testPriority))
}

func TestSilenceLimitOfRoutes(t *testing.T) {
	silence := Silence{Min: 2 * time.Second, Objectives: 4, Gaps: 8}
	stream := &api.Route{Kind: api.RouteStreaming, ObjectiveMilliseconds: 800, GapMilliseconds: 300}
	must.Eq(t, 3200*time.Millisecond, silence.limitFor(stream))
	stream.GapMilliseconds = 500
	must.Eq(t, 4*time.Second, silence.limitFor(stream))
	must.Eq(t, 2*time.Second, silence.limitFor(&api.Route{Kind: api.RouteStreaming}))
	must.Eq(t, 0, silence.limitFor(&api.Route{Kind: api.RouteSafe}))
	must.Eq(t, 0, Silence{}.limitFor(stream))
}
