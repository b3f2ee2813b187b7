package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A harmless request that many clients send must not be quarantined for failures that it shared
// with a quarantined request, or for unrelated ones. A suspected request is sent to replicas that
// run nothing else, many times a second, so it is often alone at an unrelated replica crash. When a
// second failure with nothing else in flight decided at once, whatever explained the failures
// before it, the request was quarantined for an hour, 8 to 43 ms after the crash (soak test seeds
// 3040 and 5008, with three CPU-bound processes alongside).
func TestSharedOrUnrelatedFailuresAreNotHarmful(t *testing.T) {
	t.Run("in flight with a held request", func(t *testing.T) {
		table := NewTable()
		noteFailure(table, 0, "r-8", "fatal", "popular")
		noteFailure(table, 6*time.Second, "r-4", "fatal", "popular")
		table.RecordFailure(7*time.Second, Evidence{Fingerprint: fingerprintOf("fatal"), Replica: "r-12", OnlyInFlight: true})
		must.Eq(t, Harmful, table.Verdict(8*time.Second, fingerprintOf("fatal")))
		table.SetHeld(fingerprintOf("fatal"), true)
		table.RecordFailure(16*time.Second, Evidence{Fingerprint: fingerprintOf("popular"), Replica: "r-13", OnlyInFlight: true})
		must.Eq(t, Watched, table.Verdict(20*time.Second, fingerprintOf("popular")))
		must.Eq(t, Harmful, table.Verdict(20*time.Second, fingerprintOf("fatal")))
	})
	t.Run("two unrelated failures", func(t *testing.T) {
		table := NewTable()
		noteFailure(table, 0, "r-13", "popular")
		table.RecordFailure(8*time.Second, Evidence{Fingerprint: fingerprintOf("popular"), Replica: "r-14", OnlyInFlight: true})
		must.Eq(t, Settling, table.Verdict(8*time.Second+settleDelay, fingerprintOf("popular")), must.Sprint("a report of success may still arrive"))
		table.RecordServed(9*time.Second, fingerprintOf("popular"))
		must.Eq(t, Free, table.Verdict(20*time.Second, fingerprintOf("popular")))
	})
}
