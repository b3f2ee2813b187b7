package reach

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The seed is fixed, so that each run checks the same cases.
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestFailureAloneIsUncertain(t *testing.T) {
	tracker := NewTracker()
	must.Eq(t, Connected, tracker.State())
	must.True(t, tracker.RecordFailure(time.Second, NoResponse))
	must.False(t, tracker.RecordFailure(time.Second, NoResponse), must.Sprint("it is uncertain already"))
	must.Eq(t, Uncertain, tracker.State())
	tracker.RecordData(2 * time.Second)
	must.Eq(t, Connected, tracker.State())
	must.Eq(t, 2*time.Second, tracker.ReceivedAt())
}

func TestDataDoesNotEndTheUncertaintyAfterARefusedConnection(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordFailure(time.Second, NoResponse)
	tracker.RecordFailure(time.Second, NoConnection)
	tracker.RecordData(2 * time.Second)
	must.Eq(t, Uncertain, tracker.State())
	tracker.RecordConnection(2*time.Second, time.Second-1)
	must.Eq(t, Uncertain, tracker.State(), must.Sprint("opened before the failure"))
	tracker.RecordConnection(2*time.Second, 2*time.Second)
	must.Eq(t, Connected, tracker.State())
}

func TestOnlyARoundAfterTheFailureShowsAPartition(t *testing.T) {
	tracker := NewTracker()
	must.False(t, tracker.RecordFailedRound(time.Second, 0), must.Sprint("nothing has failed"))
	tracker.RecordFailure(2*time.Second, NoResponse)
	must.False(t, tracker.RecordFailedRound(3*time.Second, time.Second), must.Sprint("begun before the failure"))
	must.True(t, tracker.RecordFailedRound(3*time.Second, 2*time.Second))
	must.False(t, tracker.RecordFailedRound(4*time.Second, 3*time.Second), must.Sprint("it is partitioned already"))
	must.Eq(t, Partitioned, tracker.State())
	tracker.RecordData(4 * time.Second)
	must.Eq(t, Partitioned, tracker.State(), must.Sprint("on a connection that has outlasted the partition"))
	_, since, changed := tracker.Observe()
	must.Eq(t, 3*time.Second, since)
	tracker.RecordConnection(5*time.Second, 5*time.Second)
	must.Eq(t, Connected, tracker.State())
	<-changed
}

// For any course of events: a process is partitioned only after a failure and a failed round that began after it,
// without a connection since, and it is connected after each new connection.
func TestPartitionNeedsAFailureAndAFailedRound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		now, failedAt, roundFailed := time.Duration(0), time.Duration(-1), false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond
			before := tracker.State()
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				tracker.RecordData(now)
				if before == Uncertain && tracker.State() == Connected {
					failedAt, roundFailed = -1, false
				}
			case 1:
				tracker.RecordConnection(now, now)
				must.Eq(t, Connected, tracker.State())
				failedAt, roundFailed = -1, false
			case 2:
				tracker.RecordFailure(now, Failure(rapid.IntRange(1, 2).Draw(t, "failure")))
				if failedAt < 0 {
					failedAt = now
				}
			default:
				began := now - time.Duration(rapid.IntRange(0, 800).Draw(t, "lasted"))*time.Millisecond
				tracker.RecordFailedRound(now, began)
				roundFailed = roundFailed || failedAt >= 0 && began >= failedAt
			}
			must.Eq(t, failedAt >= 0 && roundFailed, tracker.State() == Partitioned)
		}
	})
}
