package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a request that is held, tried or isolated for failures that something else caused, and against
// failures that are forgotten because of a cause that turns out to be none.
func TestFailuresWithAnotherCauseDoNotCount(t *testing.T) {
	table := NewTable()
	request := Fingerprint{1}
	var now time.Duration
	for i := range 5 {
		now += time.Second
		table.RecordFailure(now, Evidence{Fingerprint: request, Replica: fmt.Sprint("r-", i), UniqueName: true, OnlyInFlight: i == 3, RunTime: time.Millisecond})
	}
	now += time.Second
	table.SetOtherCause(func(failed Failure) bool {
		return failed.Fingerprint == request && failed.IsTimeKnown && failed.Replica != "r-4"
	})
	must.Eq(t, Watched, table.Verdict(now, request))
	must.False(t, table.IsHarmfulOnPartialView(request))
	must.False(t, table.IsHarmfulWithoutSuccessWait(request))
	must.False(t, table.NeedsTrial(request))
	must.False(t, table.FailedAlone(request))
	must.Eq(t, 5, table.CountFailures(request))
	table.SetOtherCause(func(failed Failure) bool { return failed.Replica < "r-2" })
	must.Eq(t, Harmful, table.Verdict(now, request))
	must.False(t, table.IsHarmfulOnPartialView(request), must.Sprint("too few are left"))
	table.SetOtherCause(func(Failure) bool { return false })
	must.Eq(t, Harmful, table.Verdict(now, request))
	must.True(t, table.IsHarmfulOnPartialView(request))
	must.True(t, table.NeedsTrial(request))
	must.True(t, table.FailedAlone(request))
}

// Guards against a request that is not found harmful, because another one, which merely stood at the failures of
// another cause as well, seems to be as likely.
func TestFailuresWithAnotherCauseMakeNoOtherSuspect(t *testing.T) {
	table := NewTable()
	harmful, beside := Fingerprint{1}, Fingerprint{2}
	var now time.Duration
	for i := range 6 {
		now += time.Second
		requests := []Fingerprint{beside}
		if i >= 3 {
			requests = append(requests, harmful)
		}
		for _, request := range requests {
			table.RecordFailure(now, Evidence{Fingerprint: request, Replica: fmt.Sprint("r-", i), UniqueName: true, RunTime: time.Millisecond})
		}
	}
	now += time.Second
	must.Eq(t, Watched, table.Verdict(now, harmful))
	table.SetOtherCause(func(failed Failure) bool {
		return failed.Fingerprint == beside && failed.Replica != "r-3"
	})
	must.Eq(t, Harmful, table.Verdict(now, harmful))
}
