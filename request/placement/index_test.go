package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// maxCandidates places requests on a board with the given number of replicas and of requests in
// flight per replica, and returns the largest number of replicas that one request was compared
// on.
func maxCandidates(size, inFlight int) int {
	board := NewBoard()
	board.SetReplicas(testParameters, benchmarkReplicas(size))
	most := 0
	for number := range uint64(size*inFlight + 500) {
		next := newRequest(fmt.Sprint("part-", number%50), 9_000, 2_000)
		next.Deadline = time.Hour
		next.Connected = []string{"r-00001", "r-00002"}
		if number%32 == 0 {
			candidates := board.candidates(0, &next)
			most = max(most, len(candidates.generators)+len(candidates.readers))
		}
		board.Place(0, key(number), next)
		if number%2 == 0 {
			board.RecordProgress(0, key(number), ProgressReport{Step: StepStarted})
		}
	}
	return most
}

// The work of a choice must not grow with the service. Comparing each request on every replica
// took 5 ms for 10,000 replicas, under the one lock that all requests pass.
func TestChoiceExaminesABoundedNumberOfReplicas(t *testing.T) {
	for _, inFlight := range []int{0, 1, 3} {
		small, large := maxCandidates(100, inFlight), maxCandidates(10_000, inFlight)
		must.LessEq(t, 2*small, large, must.Sprint(inFlight, " in flight on each replica"))
		must.LessEq(t, 300, large)
	}
}

// A replica that is no longer listed leaves no entries in the index.
func TestIndexForgetsRemovedReplicas(t *testing.T) {
	board := NewBoard()
	board.SetReplicas(testParameters, benchmarkReplicas(20))
	for number := range uint64(60) {
		board.Place(0, key(number), newRequest(fmt.Sprint("part-", number%7), 9_000, 2_000))
		if number%3 > 0 {
			board.RecordProgress(0, key(number), ProgressReport{Step: StepStarted})
		}
	}
	board.SetReplicas(testParameters, nil)
	for number := range uint64(60) {
		board.RecordProgress(time.Second, key(number), ProgressReport{Step: StepStarted})
		board.RecordProgress(time.Second, key(number), ProgressReport{Step: StepEnded})
	}
	must.MapEmpty(t, board.index.holders)
	must.MapEmpty(t, board.index.pending)
	must.MapEmpty(t, board.replicas)
	for _, known := range board.index.groups {
		known.healthy.each(func(int, *replica) bool { t.Fatal("a replica is still ranked"); return false })
		known.impaired.each(func(int, *replica) bool { t.Fatal("a replica is still ranked"); return false })
	}
}
