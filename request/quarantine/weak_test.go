package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Weak evidence must not get a harmless request quarantined as quickly as strong evidence. A
// popular request was held for five minutes because connections broke under it at five replicas,
// although one was a prefill replica, which resets connections when it has no free slot, two runs
// had produced output, and one replica kept listening. A request that does crash replicas does so
// before it has produced output, and nothing listens at the replica's address afterwards (soak test
// seed 3040).
func TestWeakFailuresCountLess(t *testing.T) {
	table := NewTable()
	for i, seen := range []Evidence{{Read: true}, {HadOutput: true}, {}, {HadOutput: true}, {StillListening: true}} {
		seen.Fingerprint, seen.Replica = fingerprintOf("popular"), fmt.Sprint("r", i)
		table.RecordFailure(time.Duration(i)*time.Second, seen)
	}
	must.Eq(t, Watched, table.Verdict(time.Minute, fingerprintOf("popular")))
	noteFailure(table, 6*time.Second, "r6", "popular")
	must.Eq(t, Harmful, table.Verdict(time.Minute, fingerprintOf("popular")), must.Sprint("two strong failures and several weak ones"))
}

// A request whose runs always fail after they have produced output is found harmful as well.
func TestManyWeakFailuresAreHarmful(t *testing.T) {
	table := NewTable()
	for i := range harmfulWeight { // each failure has a weakWeight of 1
		must.NotEq(t, Harmful, table.Verdict(time.Minute, fingerprintOf("late")), must.Sprint(i, " failures"))
		table.RecordFailure(time.Duration(i)*time.Second, Evidence{Fingerprint: fingerprintOf("late"), Replica: fmt.Sprint("r", i), HadOutput: true})
	}
	must.Eq(t, Harmful, table.Verdict(time.Minute, fingerprintOf("late")))
}

// An observation replaces what the record holds but keeps its sequence number, and only
// observations are passed on.
func TestObservationReplacesTheRecord(t *testing.T) {
	table := NewTable()
	record := Record{Replicas: []string{"r0", "r1"}}
	table.Restore(time.Minute, fingerprintOf("popular"), record)
	must.SliceEmpty(t, table.ObservedHere(time.Minute))
	table.NoteAged(time.Minute, time.Second, Evidence{Fingerprint: fingerprintOf("popular"), Replica: "r0", HadOutput: true})
	must.Eq(t, []string{"r0"}, table.Weak(fingerprintOf("popular")))
	must.SliceLen(t, 1, table.ObservedHere(time.Minute))
	table.MergeRecord(time.Minute, fingerprintOf("popular"), record)
	must.Eq(t, []string{"r0"}, table.Weak(fingerprintOf("popular")))
	must.Eq(t, 2, table.CountFailures(fingerprintOf("popular")))
	must.SliceLen(t, 1, table.ObservedHere(time.Minute))
}

// A failure that is reported again after another request was held still precedes that hold.
func TestRepeatedReportKeepsItsSequence(t *testing.T) {
	table := NewTable()
	table.Restore(time.Minute, fingerprintOf("popular"), Record{Replicas: []string{"r0"}})
	noteFailure(table, time.Minute, "r1", "fatal")
	table.SetHeld(fingerprintOf("fatal"), true)
	table.NoteAged(time.Minute, time.Second, Evidence{Fingerprint: fingerprintOf("popular"), Replica: "r0"})
	must.False(t, table.requests[fingerprintOf("fatal")].heldAt(table.requests[fingerprintOf("popular")].failureOf("r0").sequence))
}
