package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var testParameters = ServiceParameters{KVTokens: 400_000, BytesPerToken: 18_432, LinkMbps: 370_000, GapObjective: 300 * ms}

// newTestBoard returns a board with two readers and two generators in one zone.
func newTestBoard() *Board {
	b := NewBoard()
	b.SetReplicas(testParameters, []Replica{
		{Name: "prefill-1", Zone: "a", Role: RolePrefill, Slots: 64},
		{Name: "prefill-2", Zone: "a", Role: RolePrefill, Slots: 64},
		{Name: "decode-1", Zone: "a", Role: RoleDecode, Slots: 64},
		{Name: "decode-2", Zone: "a", Role: RoleDecode, Slots: 64},
	})
	return b
}

func key(number uint64) Key { return Key{Daemon: "proxy", Number: number} }

// ownParts is the number of unshared parts created so far, from which their IDs are formed.
var ownParts int

// newRequest returns a request with a shared part and one of its own.
func newRequest(shared string, sharedTokens, own int) Request {
	ownParts++
	return Request{
		PromptTokens: sharedTokens + own, MaxOutputTokens: 100, Zone: "a", Deadline: 5 * time.Second,
		Parts: []Part{{ID: shared, Tokens: sharedTokens}, {ID: fmt.Sprint("own-", ownParts), Tokens: own}},
	}
}

// finishRequest reports all stages of a placed request.
func finishRequest(b *Board, now time.Duration, number uint64, answer Answer) {
	if answer.Reader != "" {
		b.RecordProgress(now, key(number), ProgressReport{Step: StepRead})
	}
	b.RecordProgress(now, key(number), ProgressReport{Step: StepStarted})
	b.RecordProgress(now, key(number), ProgressReport{Step: StepEnded})
}

func TestOnlyLongPromptsUseASeparateReader(t *testing.T) {
	b := newTestBoard()
	long := b.Place(0, key(1), newRequest("p", 13_000, 4_000))
	must.NotEq(t, "", long.Reader)
	must.NotEq(t, "", long.Generator)
	must.Eq(t, 17_000, long.UnreadTokens)
	short := b.Place(0, key(2), newRequest("q", 0, 60))
	must.Eq(t, "", short.Reader)
}

func TestRequestsSpreadOverQueues(t *testing.T) {
	b := newTestBoard()
	first := b.Place(0, key(1), newRequest("p", 13_000, 4_000))
	second := b.Place(0, key(2), newRequest("q", 13_000, 4_000))
	must.NotEq(t, first.Reader, second.Reader)
}

func TestCachedPartsAreNotReadAgain(t *testing.T) {
	b := newTestBoard()
	first := b.Place(0, key(1), newRequest("p", 13_000, 100))
	finishRequest(b, 500*ms, 1, first)
	again := b.Place(time.Second, key(2), newRequest("p", 13_000, 200))
	must.Eq(t, 200, again.UnreadTokens)
}

func TestCachedPartsAreFetched(t *testing.T) {
	b := newTestBoard()
	b.AddCachedParts("decode-1", []Part{{ID: "p", Tokens: 20_000}})
	// decode-1 has prompts to read, so that another replica should take the request.
	for number := range uint64(4) {
		b.Place(0, key(100+number), Request{PromptTokens: 3_000, Zone: "a", Deadline: time.Second})
	}
	chosen := b.Place(0, key(1), newRequest("p", 20_000, 400))
	must.Eq(t, 400, chosen.UnreadTokens)
	if chosen.Reader != "" || chosen.Generator != "decode-1" {
		must.Eq(t, "decode-1", chosen.FetchFrom)
	}
}

// A read that took far too long means that the replica to fetch from did not have the parts.
func TestSlowReadDropsPartsOfFetchSource(t *testing.T) {
	b := newTestBoard()
	parts := []Part{{ID: "p", Tokens: 20_000}}
	b.AddCachedParts("decode-1", parts)
	request := newRequest("p", 20_000, 400)
	request.Excluded = []string{"decode-1"}
	must.Eq(t, "decode-1", b.Place(0, key(1), request).FetchFrom)
	b.RecordProgress(3*time.Second, key(1), ProgressReport{Step: StepRead})
	must.Eq(t, 0, b.replicas["decode-1"].cache.leadingTokens(parts))
}

func TestSuspectedReplicasAreAvoidedButNotBanned(t *testing.T) {
	b := newTestBoard()
	b.RecordProgress(0, key(9), ProgressReport{Step: StepFailed, Replica: "decode-1"})
	must.Eq(t, "decode-2", b.Place(0, key(1), Request{PromptTokens: 100, Zone: "a", Deadline: time.Second}).Generator)
	b.RecordProgress(0, key(9), ProgressReport{Step: StepFailed, Replica: "decode-2"})
	must.NotEq(t, "", b.Place(0, key(2), Request{PromptTokens: 100, Zone: "a", Deadline: time.Second}).Generator)
	answer := b.Place(time.Minute, key(3), Request{PromptTokens: 100, Zone: "a", Deadline: time.Second, Excluded: []string{"decode-2"}})
	must.Eq(t, "decode-1", answer.Generator, must.Sprint("the suspicion has ended"))
}

// A replica that refuses all requests looks idle, and must not attract them.
func TestRefusingReplicaGetsNoRequests(t *testing.T) {
	b := newTestBoard()
	short := Request{PromptTokens: 100, Zone: "a", Deadline: time.Second}
	refused := func(now time.Duration) time.Duration {
		b.RecordProgress(now, key(9), ProgressReport{Step: StepRefused, Replica: "decode-1"})
		return b.replicas["decode-1"].avoidedUntil
	}
	until := refused(0)
	must.Eq(t, minRefusal, until)
	must.Eq(t, until, refused(until/2), must.Sprint("refusals of requests already sent must not extend the backoff"))
	for number := range uint64(8) {
		must.Eq(t, "decode-2", b.Place(until/2, key(number), short).Generator)
	}
	must.Eq(t, 3*minRefusal, refused(until), must.Sprint("a refusal after the backoff doubles it"))
	for now := 3 * minRefusal; now < time.Minute; {
		now = refused(now)
	}
	must.Eq(t, maxRefusal, b.replicas["decode-1"].refusalBackoff)
	answer := b.Place(2*time.Minute, key(20), Request{PromptTokens: 100, Zone: "a", Deadline: time.Second, Excluded: []string{"decode-2"}})
	must.Eq(t, "decode-1", answer.Generator)
	finishRequest(b, 2*time.Minute, 20, answer)
	must.Eq(t, 2*time.Minute+minRefusal, refused(2*time.Minute), must.Sprint("a completed request resets the backoff"))
}

// A replica that is gone is still listed, and another replica has its address. Requests must never
// be placed on it. A cost would not prevent that: it runs nothing, so once the queues of the others
// are long enough it is the cheapest at any finite cost.
func TestMisdirectedReplicaGetsNoRequests(t *testing.T) {
	b := newTestBoard()
	request := Request{PromptTokens: 100, Zone: "a", Deadline: time.Hour}
	alone := Request{PromptTokens: 100, Zone: "a", Deadline: time.Hour, Excluded: []string{"decode-2"}}
	b.RecordProgress(0, key(1000), ProgressReport{Step: StepMisdirected, Replica: "decode-1"})
	for number := range uint64(1000) {
		must.Eq(t, "decode-2", b.Place(minBan-1, key(number), request).Generator)
	}
	must.Eq(t, "", b.Place(minBan-1, key(1001), alone).Generator)
	b.RecordProgress(minBan-1, key(1000), ProgressReport{Step: StepMisdirected, Replica: "decode-1"})
	must.Eq(t, "decode-1", b.Place(minBan, key(1002), alone).Generator, must.Sprint("a report of a request already sent must not extend the ban"))

	for now := minBan; now < time.Minute; now = b.replicas["decode-1"].bannedUntil {
		b.RecordProgress(now, key(1000), ProgressReport{Step: StepMisdirected, Replica: "decode-1"})
	}
	must.Eq(t, maxBan, b.replicas["decode-1"].banPeriod)
	b.replicas["decode-1"].recordSuccess(&placedRequest{placedAt: time.Minute})
	must.False(t, b.replicas["decode-1"].isBanned(time.Minute))
}

func TestAnsweredFailuresRaiseNoSuspicion(t *testing.T) {
	b := newTestBoard()
	b.RecordProgress(0, key(9), ProgressReport{Step: StepAnsweredError, Replica: "decode-1"})
	must.Eq(t, 0, b.replicas["decode-1"].avoidedUntil)
	must.Greater(t, 0.0, b.replicas["decode-1"].failureRate)
}

func TestReadTimeIsLearnedFromReads(t *testing.T) {
	b := newTestBoard()
	now := time.Duration(0)
	for number := range uint64(80) {
		prompt := 8_000 + 12_000*int(number%2)
		answer := b.Place(now, key(number), Request{PromptTokens: prompt, Zone: "a", Deadline: time.Minute})
		must.NotEq(t, "", answer.Reader)
		took := initialReadOverhead + time.Duration(prompt)*10*time.Microsecond
		b.RecordProgress(now+took, key(number), ProgressReport{Step: StepRead})
		b.RecordProgress(now+took, key(number), ProgressReport{Step: StepEnded})
		now += time.Second
	}
	must.Between(t, 9*time.Microsecond, b.readTimes[RolePrefill].perToken(), 12*time.Microsecond)
}

func TestExpiredRequestsAreRemoved(t *testing.T) {
	b := newTestBoard()
	answer := b.Place(0, key(1), Request{PromptTokens: 10_000, Zone: "a", Deadline: time.Second})
	must.NotEq(t, "", answer.Reader)
	b.Place(time.Minute, key(2), Request{PromptTokens: 10, Zone: "a", Deadline: time.Second})
	must.MapLen(t, 1, b.inFlight)
	must.SliceEmpty(t, b.replicas[answer.Reader].queue)
}

func TestUntrackedRequestsExpire(t *testing.T) {
	b := newTestBoard()
	answer := b.Place(time.Second, key(1), Request{PromptTokens: 10, Zone: "a", Deadline: time.Second})
	b.RecordProgress(time.Second, key(1), ProgressReport{Step: StepStarted, ReportedRequests: 41})
	must.Eq(t, 40, b.replicas[answer.Generator].untrackedCount(1500*ms))
	must.Eq(t, 0, b.replicas[answer.Generator].untrackedCount(3*time.Second))
}

func TestColdReplicasHaveFewCachedParts(t *testing.T) {
	b := newTestBoard()
	var parts []Part
	for i := range minWarmParts {
		parts = append(parts, Part{ID: fmt.Sprint(i), Tokens: 10})
	}
	b.AddCachedParts("prefill-1", parts)
	must.Eq(t, []string{"decode-1", "decode-2", "prefill-2"}, b.ColdReplicas())
}

func TestNoUsableReplicaMeansEmptyAnswer(t *testing.T) {
	b := NewBoard()
	must.Eq(t, Answer{}, b.Place(0, key(1), Request{PromptTokens: 100}))
	b.SetReplicas(testParameters, []Replica{{Name: "m", Zone: "a", Leaving: true}})
	must.Eq(t, Answer{}, b.Place(0, key(1), Request{PromptTokens: 100}))
}

// Under any sequence of placements and progress reports, an answer names only replicas that may
// take the request, the queues hold exactly the unread requests, and two boards with the same input
// give the same answers.
func TestAnswersAreValidAndDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := newTestBoard(), newTestBoard()
		now := time.Duration(0)
		roles := map[string]Role{"prefill-1": RolePrefill, "prefill-2": RolePrefill, "decode-1": RoleDecode, "decode-2": RoleDecode}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * ms
			number := rapid.Uint64Range(1, 6).Draw(t, "number")
			if rapid.Bool().Draw(t, "report") {
				report := ProgressReport{
					Step:             Step(rapid.IntRange(1, int(StepRefused)).Draw(t, "step")),
					Replica:          rapid.SampledFrom([]string{"", "decode-1", "prefill-2", "gone"}).Draw(t, "replica"),
					ReportedRequests: rapid.IntRange(0, 50).Draw(t, "told"),
				}
				first.RecordProgress(now, key(number), report)
				second.RecordProgress(now, key(number), report)
			} else {
				excluded := rapid.SliceOfN(rapid.SampledFrom([]string{"decode-1", "prefill-1"}), 0, 2).Draw(t, "excluded")
				next := newRequest(rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "part"), 9_000, rapid.IntRange(0, 9_000).Draw(t, "own"))
				next.Excluded = excluded
				answer := first.Place(now, key(number), next)
				must.Eq(t, answer, second.Place(now, key(number), next))
				if answer.Wait > 0 {
					must.Eq(t, Answer{Wait: answer.Wait}, answer)
					continue
				}
				must.Eq(t, RoleDecode, roles[answer.Generator])
				must.SliceNotContains(t, excluded, answer.Generator)
				must.SliceNotContains(t, excluded, answer.Reader)
				if answer.Reader != "" {
					must.Eq(t, RolePrefill, roles[answer.Reader])
				}
			}
			checkQueues(t, first)
		}
	})
}

func checkQueues(t *rapid.T, b *Board) {
	queued := map[*placedRequest]bool{}
	for _, r := range b.replicas {
		for _, p := range r.queue {
			must.False(t, queued[p])
			queued[p] = true
			must.True(t, p.queuedOn == r)
		}
	}
	for _, p := range b.inFlight {
		must.Eq(t, p.queuedOn != nil, queued[p])
		_, running := p.runningOn.running[p]
		must.True(t, running)
	}
	must.LessEq(t, len(b.inFlight), len(queued))
}
