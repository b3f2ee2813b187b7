package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// shortRequest returns a request that its generator reads.
func shortRequest() Request { return Request{PromptTokens: 100, Zone: "a", Deadline: 5 * time.Second} }

// placeAndFail places a request on a replica, which gives no answer to it.
func placeAndFail(b *Board, placedAt, now time.Duration, number uint64, name string) {
	request := shortRequest()
	for _, other := range []string{"decode-1", "decode-2"} {
		if other != name {
			request.Excluded = append(request.Excluded, other)
		}
	}
	b.Place(placedAt, key(number), request)
	b.RecordProgress(now, key(number), ProgressReport{Step: StepFailed, Replica: name})
}

// A replica that loses some answers goes on answering other requests. If it were avoided, the
// rest of the fleet would get its work.
func TestSuspicionEndsWithTheNextAnswer(t *testing.T) {
	b := newTestBoard()
	only := shortRequest()
	only.Excluded = []string{"decode-2"}
	b.Place(0, key(1), only)
	placeAndFail(b, 0, 10*ms, 2, "decode-1")
	must.True(t, b.replicas["decode-1"].isSuspected(11*ms))
	b.RecordProgress(12*ms, key(1), ProgressReport{Step: StepStarted})
	must.False(t, b.replicas["decode-1"].isSuspected(13*ms))
}

// An error that a replica answers with shows that it is reachable.
func TestSuspicionEndsWithAnAnsweredFailure(t *testing.T) {
	b := newTestBoard()
	placeAndFail(b, 0, 10*ms, 1, "decode-1")
	b.RecordProgress(12*ms, key(9), ProgressReport{Step: StepAnsweredError, Replica: "decode-1"})
	must.False(t, b.replicas["decode-1"].isSuspected(13*ms))
	must.Greater(t, 0.0, b.replicas["decode-1"].failureRate)
}

// The requests on a crashed replica all fail at once, which is evidence of a single failure.
func TestRequestsThatFailTogetherAreOneSuspicion(t *testing.T) {
	b := newTestBoard()
	for number := range uint64(20) {
		only := shortRequest()
		only.Excluded = []string{"decode-2"}
		b.Place(0, key(number), only)
	}
	for number := range uint64(20) {
		b.RecordProgress(10*ms+time.Duration(number)*ms, key(number), ProgressReport{Step: StepFailed, Replica: "decode-1"})
	}
	must.Eq(t, minSuspicion, b.replicas["decode-1"].suspicionPeriod)
	must.False(t, b.replicas["decode-1"].isSuspected(10*ms+minSuspicion))
	placeAndFail(b, time.Second, 2*time.Second, 30, "decode-1")
	must.Eq(t, 2*minSuspicion, b.replicas["decode-1"].suspicionPeriod, must.Sprint("a request placed afterwards doubles it"))
}

// After a suspicion, one request probes whether the replica is back; the others go elsewhere
// until it has ended.
func TestOneRequestProbesASuspectedReplica(t *testing.T) {
	b := newTestBoard()
	placeAndFail(b, 0, 10*ms, 1, "decode-1")
	b.replicas["decode-1"].failureRate = 0 // leaves only the suspicion
	now := 10*ms + minSuspicion
	for number := range uint64(6) {
		b.Place(now, key(100+number), shortRequest())
	}
	must.MapLen(t, 1, b.replicas["decode-1"].running)
	for number := range uint64(6) {
		b.RecordProgress(now, key(100+number), ProgressReport{Step: StepEnded})
	}
	must.False(t, b.replicas["decode-1"].isSuspected(now), must.Sprint("the probe ended without a result, so the next request may probe"))
	must.Eq(t, "decode-1", b.Place(now, key(200), shortRequest()).Generator)
	must.True(t, b.replicas["decode-1"].isSuspected(now))
	b.RecordProgress(now+50*ms, key(200), ProgressReport{Step: StepStarted})
	must.False(t, b.replicas["decode-1"].isSuspected(now+50*ms))
	must.Eq(t, 0, b.replicas["decode-1"].suspicionPeriod)
}
