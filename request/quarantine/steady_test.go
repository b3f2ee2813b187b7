package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The verdict on a request must not change because the request was held. When bystanders of a held
// request were found harmful after two failures of their own but needed three once they were held
// themselves, a harmless request was held and released hundreds of times, in every round of the
// leader, and its hold time doubled up to a day.
func TestVerdictDoesNotDependOnItsHold(t *testing.T) {
	table := NewTable()
	at := time.Duration(0)
	fail := func(replica string, requests ...string) {
		at += time.Second
		for _, request := range requests {
			table.RecordFailure(at, Evidence{Fingerprint: fingerprintOf(request), Replica: replica, RunTime: 5 * time.Millisecond})
		}
	}
	fail("r-0", "bystander")
	fail("r-1", "bystander")
	fail("r-2", "bystander", "fatal")
	for i := range decisiveFailures {
		fail(fmt.Sprint("s-", i), "fatal")
	}
	table.SetHeld(fingerprintOf("fatal"), true)
	before := table.Verdict(at+pastSettling, fingerprintOf("bystander"))
	table.SetHeld(fingerprintOf("bystander"), true)
	must.Eq(t, before, table.Verdict(at+pastSettling, fingerprintOf("bystander")))
}

// Judging again without new reports must change nothing, whichever requests were held or released
// before. Verdicts that depend on what is held at the moment do not converge: they did not in 724
// of 20,000 such random sequences.
func TestJudgingAgainWithoutReportsChangesNothing(t *testing.T) {
	const sequences = 4_000
	requests := []Fingerprint{fingerprintOf("one"), fingerprintOf("two"), fingerprintOf("three")}
	for seed := range uint64(sequences) {
		random := rand.New(rand.NewPCG(seed, 1))
		table, now := NewTable(), time.Duration(0)
		for number := range 3 + random.IntN(10) {
			now += time.Duration(random.IntN(3000)) * time.Millisecond
			noteRandomFailure(table, random, now, fmt.Sprint("r-", number), requests)
			if random.IntN(2) == 0 {
				holdHarmful(table, now, requests)
			}
		}
		now += failureRetention / 2
		first := holdHarmful(table, now, requests)
		for range 5 {
			must.Eq(t, first, holdHarmful(table, now, requests), must.Sprintf("sequence %d", seed))
		}
	}
}

// noteRandomFailure records a replica failure for each request that is not held, with a probability
// of 3/5.
func noteRandomFailure(table *Table, random *rand.Rand, now time.Duration, replica string, requests []Fingerprint) {
	for _, request := range requests {
		if known := table.requests[request]; random.IntN(5) < 2 || known != nil && known.isHeld() {
			continue
		}
		table.RecordFailure(now, Evidence{
			Fingerprint: request, Replica: replica, HadOutput: random.IntN(4) == 0, OnlyInFlight: random.IntN(6) == 0,
			RunTime: time.Duration(random.IntN(2000)) * time.Millisecond,
		})
	}
}

// holdHarmful runs one round of judging and returns which requests it holds.
func holdHarmful(table *Table, now time.Duration, requests []Fingerprint) []bool {
	var harmful []bool
	for _, request := range requests {
		harmful = append(harmful, table.Verdict(now, request) == Harmful)
		table.SetHeld(request, harmful[len(harmful)-1])
	}
	return harmful
}
