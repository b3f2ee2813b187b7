package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// countsOf returns the number of failures and of incidents that a table holds for each request.
func countsOf(table *Table, names []string) (counts [][2]int) {
	for _, name := range names {
		incidents := 0
		if known := table.requests[fingerprintOf(name)]; known != nil {
			incidents = len(known.incidents())
		}
		counts = append(counts, [2]int{table.CountFailures(fingerprintOf(name)), incidents})
	}
	return counts
}

// Tables that exchange their reports converge to the state of a table that received all of them,
// whoever observed which failure, in whatever order reports arrive, and even if some are lost or
// repeated.
func TestExchangedReportsConverge(t *testing.T) {
	names := []string{"fatal", "bystander", "other"}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour / 2
		var all []AgedEvidence
		for i := range rapid.IntRange(1, maxFailures).Draw(t, "failures") {
			replica := fmt.Sprint("r", rapid.IntRange(0, 3).Draw(t, "replica"))
			inFlight := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, len(names), rapid.ID).Draw(t, "in flight")
			for _, name := range inFlight {
				seen := Evidence{Fingerprint: fingerprintOf(name), Replica: replica, RunTime: 5 * time.Millisecond}
				all = append(all, AgedEvidence{Evidence: seen, Age: now - time.Duration(i)*time.Second})
			}
		}
		reference := NewTable()
		for _, seen := range all {
			reference.NoteAged(now, seen.Age, seen.Evidence)
		}
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		for _, seen := range rapid.Permutation(all).Draw(t, "order") {
			for range rapid.IntRange(1, 2).Draw(t, "repeats") {
				report := seen
				report.ReportedByOther = rapid.Bool().Draw(t, "reported")
				tables[rapid.IntRange(0, 2).Draw(t, "at")].NoteAged(now, report.Age, report.Evidence)
			}
		}
		for range 2 { // in the second round each table passes on what it received in the first
			for _, from := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "from") {
				for to := range tables {
					for _, seen := range tables[from].Reports(now, maxRequests) {
						tables[to].NoteAged(now, seen.Age, seen.Evidence)
					}
				}
			}
		}
		for _, table := range tables {
			must.Eq(t, countsOf(reference, names), countsOf(table, names))
			changes := table.Changes()
			for _, seen := range all {
				table.NoteAged(now, seen.Age, seen.Evidence)
			}
			must.Eq(t, changes, table.Changes(), must.Sprint("repeated reports change nothing"))
		}
	})
}

// If there are too many failures, those of requests with the most failures are kept. Failures from
// the record are not observations.
func TestReportsAreBounded(t *testing.T) {
	table := NewTable()
	for i := range 20 {
		noteShortRun(table, time.Duration(i)*time.Second, fmt.Sprint("r", i), fmt.Sprint("once ", i))
	}
	noteShortRun(table, time.Minute, "a", "fatal")
	noteShortRun(table, 2*time.Minute, "b", "fatal")
	table.MergeRecord(time.Hour/2, fingerprintOf("recorded"), Record{Replicas: []string{"c", "d"}})
	reports := table.Reports(3*time.Minute, 3)
	must.Eq(t, []string{"r19", "a", "b"}, replicasOf(reports))
	must.Eq(t, []time.Duration{161 * time.Second, 2 * time.Minute, time.Minute}, []time.Duration{reports[0].Age, reports[1].Age, reports[2].Age})
	must.Eq(t, []string{"a", "b"}, replicasOf(table.NotableReports(3*time.Minute, 3)))
	must.False(t, slices.Contains(replicasOf(table.Reports(3*time.Minute, 99)), "c"))
	table.RecordFailure(2*time.Minute, Evidence{Fingerprint: fingerprintOf("partial output"), Replica: "e", HadOutput: true})
	must.False(t, slices.Contains(replicasOf(table.Reports(3*time.Minute, 99)), "e"), must.Sprint("it is weak evidence"))
}

func replicasOf(reports []AgedEvidence) (replicas []string) {
	for _, report := range reports {
		replicas = append(replicas, report.Replica)
	}
	return replicas
}

// Evicting a failure for a new one, or dropping the new one itself, does not count as a change.
func TestEvictionIsNoChange(t *testing.T) {
	table := NewTable()
	for i := range 2 * maxFailures {
		before := table.Changes()
		table.RecordFailure(time.Second, Evidence{Fingerprint: fingerprintOf("popular"), Replica: fmt.Sprint("rack-", i), RunTime: time.Second})
		must.Eq(t, i < maxFailures, table.Changes() != before, must.Sprint("failure ", i))
	}
	for i := range 2 * maxRequests {
		before := table.Changes()
		noteShortRun(table, time.Minute, "r", fmt.Sprint("once ", i))
		must.Eq(t, i < maxRequests-1, table.Changes() != before, must.Sprint("request ", i))
	}
}
