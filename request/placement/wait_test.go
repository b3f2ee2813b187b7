package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A replica looks up the cached parts of a prompt when it starts the request. A request that
// arrives while a shared part is still being read would read it again on any replica, so it
// waits until the part has been read.
func TestPendingPartsAreWaitedFor(t *testing.T) {
	b := newTestBoard()
	first := b.Place(0, key(1), newRequest("p", 25_000, 600))
	must.NotEq(t, "", first.Generator)
	second := b.Place(100*ms, key(2), newRequest("p", 25_000, 600))
	must.Eq(t, "", second.Generator)
	must.Between(t, minWait, second.Wait, first.Estimate)
	must.MapLen(t, 1, b.inFlight, must.Sprint("a waiting request is not counted"))
	finishRequest(b, 700*ms, 1, first)
	third := b.Place(700*ms, key(2), newRequest("p", 25_000, 600))
	must.Eq(t, 600, third.UnreadTokens)
	must.NotEq(t, "", third.Generator)
}

// A read that takes far longer than expected is not waited for: its proxy may be gone.
func TestOverdueReadsAreNotWaitedFor(t *testing.T) {
	b := newTestBoard()
	first := b.Place(0, key(1), newRequest("p", 25_000, 600))
	second := b.Place(overdueFactor*first.Estimate+overdueSlack+time.Second, key(2), newRequest("p", 25_000, 600))
	must.NotEq(t, "", second.Generator)
	must.Eq(t, 25_600, second.UnreadTokens)
}

func TestSuspectedReplicasAreNotWaitedFor(t *testing.T) {
	b := newTestBoard()
	first := b.Place(0, key(1), newRequest("p", 25_000, 600))
	b.RecordProgress(100*ms, key(9), ProgressReport{Step: StepFailed, Replica: first.Reader})
	second := b.Place(110*ms, key(2), newRequest("p", 25_000, 600))
	must.NotEq(t, "", second.Generator)
}

// If the part is read only after a long queue, reading it again elsewhere is sooner.
func TestLongQueuesAreNotWaitedFor(t *testing.T) {
	b := newTestBoard()
	var last Answer
	for number := range uint64(6) {
		last = b.Place(0, key(number), Request{PromptTokens: 40_000, Zone: "a", Deadline: time.Minute, Parts: []Part{{ID: string('a' + rune(number)), Tokens: 40_000}}})
	}
	b.Place(0, key(8), newRequest("p", 2_000, 100))
	must.NotEq(t, "", last.Generator)
	b.SetReplicas(testParameters, append([]Replica{{Name: "prefill-3", Zone: "a", Role: RolePrefill, Slots: 64}}, listedReplicas(b)...))
	next := b.Place(0, key(9), newRequest("p", 2_000, 100))
	must.Eq(t, "prefill-3", next.Reader)
	must.Eq(t, 0, next.Wait)
}

func listedReplicas(b *Board) []Replica {
	var replicas []Replica
	for _, name := range b.names {
		replicas = append(replicas, b.replicas[name].Replica)
	}
	return replicas
}

// A request does not wait for a short part, nor does one that continues a stream.
func TestRequestsThatDoNotWaitForParts(t *testing.T) {
	b := newTestBoard()
	b.Place(0, key(1), newRequest("p", minFetchTokens/2, 20_000))
	must.NotEq(t, "", b.Place(0, key(2), newRequest("p", minFetchTokens/2, 20_000)).Generator)
	b.Place(0, key(3), newRequest("q", 25_000, 600))
	continued := newRequest("q", 25_000, 600)
	continued.Continued = true
	must.NotEq(t, "", b.Place(100*ms, key(4), continued).Generator)
}
