package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// noteShortRun records that the replica failed 5 ms into a run of each request.
func noteShortRun(table *Table, at time.Duration, replica string, requests ...string) {
	for _, request := range requests {
		table.RecordFailure(at, Evidence{Fingerprint: fingerprintOf(request), Replica: replica, RunTime: 5 * time.Millisecond})
	}
}

// Failures of different processes that share a replica name must count separately. On a platform
// that does not report process start times, each name counted only once, so that a faulty replica
// which resets connections does not get a request quarantined. A harmful request then caused seven
// failures under three names before it was held, although three failures are enough (soak test seed
// 9231).
func TestFailuresOfRestartedReplicaCountSeparately(t *testing.T) {
	table := NewTable()
	noteShortRun(table, 0, "r-15", "fatal")
	noteShortRun(table, time.Second, "r-13", "fatal")
	noteShortRun(table, 2*time.Second, "r-15", "fatal")
	must.Eq(t, Harmful, table.Verdict(pastSettling+2*time.Second, fingerprintOf("fatal")))
	replicas, _ := table.FailedReplicas(fingerprintOf("fatal"))
	must.Eq(t, []string{"r-15#earlier-1", "r-13", "r-15"}, replicas)
	table.RefuteFailures(3*time.Second, LiveReplica{Replica: "r-15", RunningFor: 2 * time.Second})
	must.Eq(t, 2, table.CountFailures(fingerprintOf("fatal")), must.Sprint("only the last failure is refuted"))
	table.RefuteFailures(3*time.Second, LiveReplica{Replica: "r-15", RunningFor: AnyAge})
	must.Eq(t, 1, table.CountFailures(fingerprintOf("fatal")), must.Sprint("the process was running at both failures"))
}

// Requests that were in flight when the earlier process failed remain recorded for that process.
// Repeated resets by a replica that keeps listening are a single failure.
func TestEarlierProcessKeepsItsBystanders(t *testing.T) {
	table := NewTable()
	noteShortRun(table, 0, "r", "fatal", "bystander")
	noteShortRun(table, time.Second, "r", "fatal")
	must.True(t, table.HasFailure(fingerprintOf("bystander"), "r#earlier-1"))
	must.False(t, table.HasFailure(fingerprintOf("bystander"), "r"))
	must.MapLen(t, 2, table.inFlightAt["r#earlier-1"])
	must.MapLen(t, 1, table.inFlightAt["r"])

	resets := NewTable()
	for i := range 5 {
		resets.RecordFailure(time.Duration(i)*time.Second, Evidence{Fingerprint: fingerprintOf("popular"), Replica: "r", StillListening: true})
	}
	must.Eq(t, 1, resets.CountFailures(fingerprintOf("popular")))
}

// A failure counts once although its reports arrive some milliseconds apart, or after the record
// that contains it was read.
func TestRepeatedReportCountsOnce(t *testing.T) {
	table := NewTable()
	noteShortRun(table, 0, "r", "fatal")
	noteShortRun(table, maxReportDelay, "r", "fatal")
	must.Eq(t, 1, table.CountFailures(fingerprintOf("fatal")))

	restored := NewTable()
	restored.Restore(time.Hour, fingerprintOf("fatal"), Record{Replicas: []string{"r-0", "r-1"}, Age: time.Minute})
	restored.NoteAged(time.Hour+time.Second, 50*time.Second, Evidence{Fingerprint: fingerprintOf("fatal"), Replica: "r-1", RunTime: 5 * time.Millisecond})
	must.Eq(t, 2, restored.CountFailures(fingerprintOf("fatal")))
	noteShortRun(restored, time.Hour+time.Minute, "r-0", "fatal")
	must.Eq(t, 3, restored.CountFailures(fingerprintOf("fatal")), must.Sprint("the replica was restarted since"))
}

// A repeated report of a failure must not count again; every new leader receives all reports. It
// did if the replica was restarted under its name and failed again under another request, which
// moves its first process to a separate name: the repeated report was looked up only under the
// replica's current name, where the request had no failure. Found by TestExchangedReportsConverge.
func TestRepeatedReportAfterProcessRenameCountsOnce(t *testing.T) {
	table := NewTable()
	noteShortRun(table, 0, "r", "fatal", "bystander")
	noteShortRun(table, time.Second, "r", "fatal")
	noteShortRun(table, 0, "r", "bystander")
	must.Eq(t, 1, table.CountFailures(fingerprintOf("bystander")))
	noteShortRun(table, 0, "r", "fatal")
	must.Eq(t, 2, table.CountFailures(fingerprintOf("fatal")))

	late := NewTable()
	noteShortRun(late, time.Second, "r", "fatal")
	noteShortRun(late, 0, "r", "fatal")
	must.Eq(t, 2, late.CountFailures(fingerprintOf("fatal")), must.Sprint("the later failure was reported first"))

	recorded := NewTable()
	known := Record{Replicas: []string{"r#earlier-1", "r"}}
	for range 2 {
		recorded.MergeRecord(time.Hour, fingerprintOf("fatal"), known)
		must.Eq(t, 2, recorded.CountFailures(fingerprintOf("fatal")))
	}
}

// A delayed report of a failure must not count as a failure of the next process with the same name.
// Reports are passed on with the age of the failure, and each delay on the way, by load or a paused
// process, makes it look more recent. Beyond maxReportDelay it counted again, even where the name
// identifies a single process: one failure was recorded as two and counted as four in the proxy,
// and a harmless request was held (soak test without a leader, seed 8).
func TestDelayedReportCountsOnce(t *testing.T) {
	late := func(modify func(*Evidence)) int {
		table := NewTable()
		for delay := range 4 {
			seen := Evidence{Fingerprint: fingerprintOf("popular"), Replica: "r", RunTime: 5 * time.Millisecond}
			modify(&seen)
			table.NoteAged(time.Minute+time.Duration(delay)*time.Second, time.Second, seen)
		}
		return table.CountFailures(fingerprintOf("popular"))
	}
	must.Eq(t, 1, late(func(seen *Evidence) { seen.UniqueName = true }))
	must.Eq(t, 1, late(func(seen *Evidence) { seen.ObservationID = 7 }))
	must.Eq(t, 4, late(func(*Evidence) {}), must.Sprint("they cannot be told from failures of later processes"))

	others := NewTable() // two proxies observed it and each reports it repeatedly
	for delay := range 4 {
		for observer := range uint64(2) {
			others.NoteAged(time.Minute+time.Duration(delay)*time.Second, time.Second, Evidence{
				Fingerprint: fingerprintOf("popular"), Replica: "r", RunTime: 5 * time.Millisecond, ObservationID: 1 + observer,
			})
		}
	}
	must.Eq(t, 1, others.CountFailures(fingerprintOf("popular")))
}

// Guards against counting one failure several times, by which a harmless request had four where two
// replicas had failed: a proxy learns a failure that it has observed, or already read from the record,
// from each later revision of the record.
func TestRecordedFailureIsCountedOnce(t *testing.T) {
	for _, observed := range []bool{false, true} {
		for _, unique := range []bool{false, true} {
			table := NewTable()
			if observed {
				table.RecordFailure(0, Evidence{Fingerprint: fingerprintOf("fatal"), Replica: "r", UniqueName: unique, ObservationID: 1})
			}
			record := Record{Replicas: []string{"r"}}
			for revision := range 5 {
				table.RecordFailure(time.Duration(1+revision)*time.Second, record.Evidence(fingerprintOf("fatal"), "r"))
			}
			must.Eq(t, 1, table.CountFailures(fingerprintOf("fatal")), must.Sprintf("observed %v, unique name %v", observed, unique))
		}
	}
}

// Guards against counting the crashes of all processes that follow a listed one as a single crash.
func TestFailuresOfSuccessorsCountSeparately(t *testing.T) {
	const listed = "r@1000"
	run := 5 * time.Millisecond
	table := NewTable()
	table.RecordFailure(time.Second, Evidence{Fingerprint: fingerprintOf("fatal"), Replica: listed, UniqueName: true, RunTime: run})
	for i := range 3 {
		at := time.Duration(2+i) * time.Second
		seen := Evidence{Fingerprint: fingerprintOf("fatal"), Replica: SuccessorName(listed), RunTime: run, ObservationID: uint64(1 + i)}
		for range 2 { // the second report is a repeated one
			table.RecordFailure(at, seen)
		}
	}
	must.Eq(t, 4, table.CountFailures(fingerprintOf("fatal")))
	must.True(t, table.IsHarmfulOnPartialView(fingerprintOf("fatal")))
}
