package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// newMemoryBoard returns a board with two readers and the given number of generators, each with memory for
// 100 blocks. A replica has reported its slowness if reportsSlowness.
func newMemoryBoard(generators int, reportsSlowness bool) *Board {
	b := NewBoard()
	entries := []Replica{{Name: "prefill-1", Zone: "a", Role: RolePrefill}, {Name: "prefill-2", Zone: "a", Role: RolePrefill}}
	for i := range generators {
		entries = append(entries, Replica{Name: fmt.Sprint("decode-", i), Zone: "a", Role: RoleDecode, Slots: 1000})
	}
	parameters := testParameters
	parameters.KVTokens = 100*kvBlockTokens + 3
	b.SetReplicas(parameters, entries)
	if reportsSlowness {
		b.RecordProgress(0, Key{}, ProgressReport{Step: StepStarted, ReportedSlowness: 1})
	}
	return b
}

func memoryRequest(prompt, output int) Request {
	request := newRequest("shared", 0, prompt)
	request.MaxOutputTokens = output
	return request
}

// Guards against more on a replica than its memory holds, of which it ends: with the generators full, a
// request must wait while it can meet its objective, then be refused with a time to come back, and be
// placed again once another has ended.
func TestRequestsThatFitNowhereWaitOrAreRefused(t *testing.T) {
	b := newMemoryBoard(2, true)
	for number := range uint64(2) { // 60 blocks each: one for each generator
		must.NotEq(t, "", b.Place(0, key(number), memoryRequest(800, 160)).Generator)
	}
	must.NotEq(t, b.inFlight[key(0)].runningOn, b.inFlight[key(1)].runningOn, must.Sprint("the other one has memory left"))
	request := memoryRequest(481, 160) // 41 blocks
	request.Objective = 300 * ms
	must.Eq(t, Answer{Wait: memoryRetryInterval}, b.Place(ms, key(2), request))
	request.Age = 250 * ms
	must.Eq(t, Answer{Refused: true, RetryAfter: memoryRetryAfter}, b.Place(2*ms, key(2), request))
	must.Eq(t, Answers{Placed: 2, Split: 2, Unread: 1_600, Waits: 1, Refused: 1, MemoryShort: 2}, b.Summarize(2*ms).Answers)
	must.NotEq(t, "", b.Place(3*ms, key(3), memoryRequest(480, 160)).Generator, must.Sprint("40 blocks fit exactly"))
	finishRequest(b, 4*ms, 0, b.inFlight[key(0)].answer)
	finishRequest(b, 4*ms, 1, b.inFlight[key(1)].answer)
	must.NotEq(t, "", b.Place(5*ms, key(2), request).Generator)
}

// Guards against an endless wait of a request that no memory can hold: it goes alone to a replica, whose
// answer is for its caller, and nothing else is placed beside it.
func TestRequestLargerThanAllMemoryIsPlacedAlone(t *testing.T) {
	b := newMemoryBoard(1, true)
	must.NotEq(t, "", b.Place(0, key(1), memoryRequest(1_000, 1_000)).Generator)
	must.Eq(t, "", b.Place(0, key(2), memoryRequest(16, 1)).Generator)
}

// Guards against a change for deployments that the bound is not for: those whose replicas report no
// slowness, and those whose memory is unknown.
func TestMemoryIsNotLimitedWithoutSlownessOrKVTokens(t *testing.T) {
	for _, reportsSlowness := range []bool{false, true} {
		b := newMemoryBoard(1, reportsSlowness)
		if reportsSlowness {
			b.parameters.KVTokens = 0
		}
		for number := range uint64(10) {
			must.NotEq(t, "", b.Place(0, key(number), memoryRequest(800, 160)).Generator)
		}
	}
}

// Guards against counts that drift: whatever is placed, reported, taken over, listed and expired, each
// replica holds exactly what the requests in flight there need, and never more than its memory unless a
// request that is larger than it is alone there. A reader holds a prompt until its first token.
func TestHeldMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newMemoryBoard(3, true)
		now := time.Duration(0)
		taken := map[*placedRequest]bool{} // in flight at a leader before, which knew their replicas
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "after")) * ms
			number := key(rapid.Uint64Range(0, 9).Draw(t, "number"))
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1, 2:
				request := memoryRequest(rapid.IntRange(0, 2_000).Draw(t, "prompt"), rapid.IntRange(0, 300).Draw(t, "output"))
				request.Deadline = 2 * time.Second
				b.Place(now, number, request)
			case 3:
				step := rapid.SampledFrom([]Step{StepRead, StepStarted, StepEnded, StepFailed, StepReadSkipped}).Draw(t, "step")
				report := ProgressReport{Step: step, ReportedSlowness: 1}
				if p := b.inFlight[number]; p != nil && step == StepReadSkipped {
					report.Replica = p.answer.Reader
				}
				b.RecordProgress(now, number, report)
			case 4:
				name := rapid.SampledFrom(b.names).Draw(t, "replica")
				entry := b.replicas[name].Replica
				b.Remove(name)
				entry.Born++
				b.Put(entry)
			case 5:
				answer := Answer{Generator: "decode-0", Reader: rapid.SampledFrom([]string{"", "prefill-1"}).Draw(t, "reader")}
				step := rapid.SampledFrom([]Step{0, StepRead, StepStarted}).Draw(t, "reached")
				other := Key{Daemon: "other", Number: number.Number}
				b.TakeOver(now, "other", map[uint64]InFlightRequest{number.Number: {Ask: memoryRequest(100, 10), Answer: answer, Step: step}})
				taken[b.inFlight[other]] = true
			}
			checkMemory(t, b, taken)
		}
	})
}

// checkMemory compares what the listed replicas hold with the requests in flight.
func checkMemory(t *rapid.T, b *Board, taken map[*placedRequest]bool) {
	held, counts, exempt := map[*replica]int64{}, map[*replica]int{}, map[*replica]bool{}
	add := func(r *replica, p *placedRequest) {
		held[r] += p.request.blocksOn(r.Role)
		counts[r]++
		exempt[r] = exempt[r] || taken[p]
	}
	for _, p := range b.inFlight {
		add(p.runningOn, p)
		if p.memory.reader != nil {
			must.False(t, p.started)
			add(p.memory.reader, p)
		}
	}
	for _, r := range b.replicas {
		must.Eq(t, held[r], r.heldBlocks)
		if !exempt[r] && counts[r] > 1 {
			must.LessEq(t, 100, r.heldBlocks)
		}
	}
}

// Guards against a reader whose memory fills with prompts that are read and not yet fetched.
func TestReadersHoldPromptsUntilHandOver(t *testing.T) {
	b := newTestBoard()
	b.parameters.KVTokens = 40_000
	b.RecordProgress(0, Key{}, ProgressReport{Step: StepStarted, ReportedSlowness: 1})
	answer := b.Place(0, key(1), newRequest("p", 13_000, 4_000))
	must.NotEq(t, "", answer.Reader)
	reader := b.replicas[answer.Reader]
	must.Eq(t, kvBlocks(17_000), reader.heldBlocks)
	b.RecordProgress(500*ms, key(1), ProgressReport{Step: StepRead})
	must.Eq(t, kvBlocks(17_000), reader.heldBlocks)
	b.RecordProgress(600*ms, key(1), ProgressReport{Step: StepStarted})
	must.Eq(t, 0, reader.heldBlocks)
	must.Eq(t, kvBlocks(17_100), b.replicas[answer.Generator].heldBlocks)
}
