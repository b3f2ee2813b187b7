package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSizeGroupsHoldTheirShares(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	statistics := newFairness()
	counts := [sizeGroupCount]int{}
	const learning, counted = 2_000, 10_000
	for i := range learning + counted {
		group := statistics.recordRequest(0, int(1_000*random.ExpFloat64())+1)
		if i >= learning {
			counts[group]++
		}
	}
	must.Between(t, counted*8/100, counts[groupLargest], counted*12/100)
	must.Between(t, counted*16/100, counts[groupLarge], counted*24/100)
}

// newShare returns a share with the given numbers of events and hits.
func newShare(events, hits float64) recentShare {
	share := newRecentShare(servedTimeConstant)
	share.events.sum, share.hits.sum = events, hits
	return share
}

func TestRarelyServedSizeGroupsAreStarved(t *testing.T) {
	statistics := newFairness()
	statistics.mean, statistics.largeBound, statistics.largestBound = 1_000, 1_500, 2_000
	statistics.served[groupAll] = newShare(100, 80)
	for _, test := range []struct {
		group   sizeGroup
		served  recentShare
		starved bool
	}{
		{groupLargest, newShare(10, 4), true},
		{groupLargest, newShare(10, 6), false},
		{groupLarge, newShare(20, 8), true},
		{groupLargest, newShare(minGroupRequests-1, 0), false},
	} {
		statistics.served[test.group] = test.served
		must.Eq(t, test.starved, statistics.isStarved(0, test.group))
	}
	must.False(t, statistics.isStarved(0, groupAll))
}

func TestServedCountsDecay(t *testing.T) {
	statistics := newFairness()
	statistics.recordRequest(0, 100)
	statistics.recordStart(0, groupAll)
	must.Eq(t, 1.0, statistics.served[groupAll].value(0))
	must.Less(t, 0.01, statistics.served[groupAll].events.value(10*servedTimeConstant))
	must.Less(t, 0.01, statistics.served[groupAll].hits.value(10*servedTimeConstant))
}

// Each objective that was ever configured makes a class; idle classes must be removed so that they
// do not accumulate.
func TestIdleClassesAreRemoved(t *testing.T) {
	b := newTestBoard()
	for number := range uint64(50) {
		b.Place(time.Duration(number)*classIdleTimeout/2, key(number), requestWithObjective(100, time.Duration(number+1)*time.Second))
	}
	must.LessEq(t, 4, len(b.fairness))
}

// In a permanent overload, small prompts are in time and large ones would always be deferred, so
// that none would be served. Once too few large prompts were served, they must be placed without
// being deferred.
func TestLargePromptsAreNotDeferredForever(t *testing.T) {
	b := newTestBoard()
	now, number := time.Duration(0), uint64(0)
	place := func(tokens int) Answer {
		number++
		now += 50 * ms
		return b.Place(now, key(number), requestWithObjective(tokens, 600*ms))
	}
	inTime := 0
	for range 60 {
		for range 8 {
			if answer := place(2_000); !answer.Deferred {
				now += answer.Estimate
				b.RecordProgress(now, key(number), ProgressReport{Step: StepStarted})
			}
			b.RecordProgress(now, key(number), ProgressReport{Step: StepEnded})
		}
		for range 2 {
			if answer := place(60_000); answer.Generator != "" && !answer.Deferred {
				inTime++
			}
			b.RecordProgress(now, key(number), ProgressReport{Step: StepEnded})
		}
	}
	must.Greater(t, 10, inTime)
}
