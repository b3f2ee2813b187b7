package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A new board that is not told what is in flight sends the next prompt to a busy reader.
func TestTakeOverCountsRequestsOfAnotherBoard(t *testing.T) {
	old, next := newTestBoard(), newTestBoard()
	reports := map[string]map[uint64]InFlightRequest{}
	var placed []Request
	for number := range uint64(5) {
		prompt := requestWithObjective(9_000, 0)
		placed = append(placed, prompt)
		daemon := []string{"a", "b"}[number%2]
		answer := old.Place(0, Key{Daemon: daemon, Number: number}, prompt)
		if reports[daemon] == nil {
			reports[daemon] = map[uint64]InFlightRequest{}
		}
		reports[daemon][number] = InFlightRequest{Ask: prompt, Answer: answer}
	}
	probe := requestWithObjective(9_000, 0)
	want := old.Place(0, key(100), probe)
	must.NotEq(t, want.Estimate, next.Place(0, key(100), probe).Estimate)
	next = newTestBoard()
	for daemon, requests := range reports {
		next.TakeOver(0, daemon, requests)
	}
	got := next.Place(0, key(100), probe)
	must.Between(t, want.Estimate-ms, got.Estimate, want.Estimate+ms)
	must.MapLen(t, len(placed)+1, next.inFlight)
}

// The report of a daemon replaces what was in flight for it, and leaves other daemons alone.
func TestTakeOverRemovesEndedRequests(t *testing.T) {
	b := newTestBoard()
	for number := range uint64(4) {
		b.Place(0, Key{Daemon: "a", Number: number}, requestWithObjective(9_000, 0))
	}
	b.Place(0, Key{Daemon: "b", Number: 1}, requestWithObjective(9_000, 0))
	kept := b.inFlight[Key{Daemon: "a", Number: 2}]
	later := unreportedGrace + ms
	b.Place(later, Key{Daemon: "a", Number: 5}, requestWithObjective(9_000, 0)) // too recent to be reported
	b.TakeOver(later, "a", map[uint64]InFlightRequest{
		2: {Ask: kept.request, Answer: kept.answer},
		9: {Ask: requestWithObjective(9_000, 0), Answer: Answer{Generator: "gone"}},
	})
	must.MapLen(t, 3, b.inFlight)
	must.MapContainsKey(t, b.inFlight, Key{Daemon: "a", Number: 5})
	must.True(t, b.inFlight[Key{Daemon: "a", Number: 2}] == kept)
}

// Each request is tracked according to the reported step: queued to be read, read, or generating.
func TestTakenOverRequestsCountByTheirStep(t *testing.T) {
	b := newTestBoard()
	answer := Answer{Generator: "decode-1", Reader: "prefill-1", UnreadTokens: 9_000}
	prompt := requestWithObjective(9_000, 0)
	prompt.Deadline = time.Minute
	b.TakeOver(time.Second, "a", map[uint64]InFlightRequest{
		1: {Ask: prompt, Answer: answer, Age: 100 * ms},
		2: {Ask: prompt, Answer: answer, Age: 300 * ms, Step: StepRead},
		3: {Ask: prompt, Answer: answer, Age: 900 * ms, Step: StepStarted},
	})
	must.SliceLen(t, 1, b.replicas["prefill-1"].queue)
	must.MapLen(t, 3, b.replicas["decode-1"].running)
	samples := b.readTimes[RolePrefill].samples
	b.RecordProgress(2*time.Second, Key{Daemon: "a", Number: 1}, ProgressReport{Step: StepRead})
	must.Eq(t, samples, b.readTimes[RolePrefill].samples, must.Sprint("the start of the read is unknown"))
	must.SliceEmpty(t, b.replicas["prefill-1"].queue)
	for number := range uint64(3) {
		b.RecordProgress(2*time.Second, Key{Daemon: "a", Number: number + 1}, ProgressReport{Step: StepStarted})
		b.RecordProgress(2*time.Second, Key{Daemon: "a", Number: number + 1}, ProgressReport{Step: StepEnded})
	}
	must.MapEmpty(t, b.inFlight)
	must.MapEmpty(t, b.replicas["decode-1"].running)
}
