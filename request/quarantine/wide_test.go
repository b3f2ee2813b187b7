package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// noteTogether records failures of several replicas that were all running the request at once.
func noteTogether(table *Table, at time.Duration, request Fingerprint, replicas ...string) {
	for i, replica := range replicas {
		table.RecordFailure(at+time.Duration(i)*7*time.Millisecond, Evidence{
			Fingerprint: request, Replica: replica, RunTime: 60 * time.Millisecond, RequestInfo: RequestInfo{Service: "s"},
		})
	}
}

// Many callers send the same request at once, and three replicas fail within 25 ms, as if a rack
// was lost. The first restarted replica also fails while it runs the request, among others. From
// then on the request is found harmful, and the requests in flight with it are not.
func TestMassRequestIsHeldAtSecondIncident(t *testing.T) {
	table := NewTable()
	noteTogether(table, 0, fingerprintOf("fatal"), "a", "b", "c")
	noteTogether(table, 0, fingerprintOf("bystander"), "a")
	must.Eq(t, Free, table.Verdict(time.Second, fingerprintOf("fatal")), must.Sprint("a rack may have failed"))
	noteTogether(table, 4*time.Second, fingerprintOf("fatal"), "a-again")
	noteTogether(table, 4*time.Second, fingerprintOf("bystander"), "a-again")
	must.Eq(t, Settling, table.Verdict(4*time.Second+settleDelay/2, fingerprintOf("fatal")))
	must.Eq(t, Harmful, table.Verdict(5*time.Second, fingerprintOf("fatal")))
	must.NotEq(t, Harmful, table.Verdict(5*time.Second, fingerprintOf("bystander")))
	replicas, _ := table.FailedReplicas(fingerprintOf("fatal"))
	must.Eq(t, []string{"a", "b", "c", "a-again"}, replicas, must.Sprint("enough to reach the same verdict from the record"))
}

// A request that was in flight on a lost rack and was served since is not held for a later
// failure.
func TestRequestServedInBetweenIsNotHeld(t *testing.T) {
	table := NewTable()
	noteTogether(table, 0, fingerprintOf("fatal"), "a", "b", "c")
	table.RecordServed(time.Second, fingerprintOf("fatal"))
	noteTogether(table, 4*time.Second, fingerprintOf("fatal"), "d")
	must.Eq(t, Free, table.Verdict(5*time.Second, fingerprintOf("fatal")))
}

// Two requests that were in flight on the same rack and at the same later failure cannot be told
// apart.
func TestTwoRequestsOnOneRackAreNotHeld(t *testing.T) {
	table := NewTable()
	for _, request := range []Fingerprint{fingerprintOf("fatal"), fingerprintOf("bystander")} {
		noteTogether(table, 0, request, "a", "b", "c")
		noteTogether(table, 4*time.Second, request, "d")
	}
	must.Eq(t, Watched, table.Verdict(5*time.Second, fingerprintOf("fatal")))
	must.Eq(t, Watched, table.Verdict(5*time.Second, fingerprintOf("bystander")))
}

// Failures at a single time do not make a request harmful, however many there are. Neither do runs
// that had produced output.
func TestOneIncidentIsNotHarmful(t *testing.T) {
	table := NewTable()
	noteTogether(table, 0, fingerprintOf("fatal"), "a", "b", "c", "d", "e")
	must.Eq(t, Free, table.Verdict(time.Second, fingerprintOf("fatal")))
	began := NewTable()
	for i, replica := range []string{"a", "b", "c", "d"} {
		at := time.Duration(i/3) * 4 * time.Second
		began.RecordFailure(at, Evidence{Fingerprint: fingerprintOf("fatal"), Replica: replica, HadOutput: true, RunTime: 60 * time.Millisecond})
	}
	must.Eq(t, Watched, began.Verdict(5*time.Second, fingerprintOf("fatal")))
}

// A request that was merely in flight at failures of a held request is not due for a trial because
// of them, since no more replicas fail. A trial would send one copy of the request and refuse all
// others.
func TestBystanderOfAHeldRequestIsNotTried(t *testing.T) {
	table := NewTable()
	for i, replica := range []string{"a", "b", "c"} {
		noteTogether(table, time.Duration(i)*time.Second, fingerprintOf("fatal"), replica)
		noteTogether(table, time.Duration(i)*time.Second, fingerprintOf("popular"), replica)
	}
	must.True(t, table.NeedsTrial(fingerprintOf("popular")))
	noteTogether(table, 4*time.Second, fingerprintOf("fatal"), "d")
	noteTogether(table, 5*time.Second, fingerprintOf("fatal"), "e")
	must.Eq(t, Harmful, table.Verdict(6*time.Second, fingerprintOf("fatal")))
	table.SetHeld(fingerprintOf("fatal"), true)
	must.False(t, table.NeedsTrial(fingerprintOf("popular")))
	must.True(t, table.NeedsTrial(fingerprintOf("fatal")))
	must.Eq(t, []Fingerprint{fingerprintOf("fatal")}, table.NeedingTrial())
	for i, replica := range []string{"f", "g", "h"} {
		noteTogether(table, time.Duration(10+i)*time.Millisecond+10*time.Second, fingerprintOf("popular"), replica)
	}
	must.True(t, table.NeedsTrial(fingerprintOf("popular")), must.Sprint("enough failures of its own"))
}

// Connections reset by replicas that keep listening are no reason for a trial. When they were,
// three faulty replicas that closed connections within 260 ms and kept serving others caused a
// trial of a harmless popular request: all proxies but one at a time refused it for 20 s. It was
// served twice in that time, but by proxies that did not know of the failures (soak test seed
// 9336).
func TestListeningReplicasCauseNoTrial(t *testing.T) {
	table := NewTable()
	for i, replica := range []string{"a", "b", "c"} {
		at := time.Duration(i) * 100 * time.Millisecond
		table.RecordFailure(at, Evidence{Fingerprint: fingerprintOf("popular"), Replica: replica, StillListening: true, RunTime: 5 * time.Millisecond})
	}
	must.False(t, table.NeedsTrial(fingerprintOf("popular")))
	for i, replica := range []string{"d", "e", "f"} {
		at := time.Second + time.Duration(i)*100*time.Millisecond
		table.RecordFailure(at, Evidence{Fingerprint: fingerprintOf("popular"), Replica: replica, RunTime: 5 * time.Millisecond})
	}
	must.True(t, table.NeedsTrial(fingerprintOf("popular")))
}
