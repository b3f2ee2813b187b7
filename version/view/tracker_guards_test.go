package view

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Two heartbeats of a daemon may be handled concurrently, and the one with the earlier
// clock reading last. It must not shorten the lease.
func TestTrackerNeverShortensLease(t *testing.T) {
	old := Version{1, 1}
	tracker := NewTracker(testLease)
	tracker.Reset(-time.Hour)
	must.True(t, tracker.Observe("a", old, 50*time.Millisecond))
	must.True(t, tracker.Observe("a", old, 0))
	done, waitingFor := tracker.InForce(Version{1, 2}, 150*time.Millisecond)
	must.False(t, done)
	must.Eq(t, []string{"a"}, waitingFor)
}

func TestResetForgetsDaemons(t *testing.T) {
	tracker := NewTracker(testLease)
	tracker.Reset(-time.Hour)
	must.True(t, tracker.Observe("a", Version{1, 1}, 0))
	tracker.Reset(time.Millisecond)
	must.SliceEmpty(t, tracker.Daemons(time.Millisecond))
}

// A heartbeat with an older view that is handled while InForce runs either gets no lease,
// or InForce waits for its daemon. The rounds vary the delay of the heartbeat so that
// some of them overlap with InForce. The test does not require that any does; the log
// shows the number of both outcomes.
func TestInForceRacesWithHeartbeat(t *testing.T) {
	const rounds, spread = 20_000, 2_000
	refused, waited := 0, 0
	for round := range rounds {
		tracker := NewTracker(testLease)
		tracker.Reset(-time.Hour)
		var group sync.WaitGroup
		var started atomic.Bool
		granted := false
		group.Go(func() {
			started.Store(true)
			for range round % spread {
				started.Load()
			}
			granted = tracker.Observe("daemon", Version{1, 1}, 0)
		})
		for !started.Load() {
			runtime.Gosched()
		}
		done, _ := tracker.InForce(Version{1, 2}, 0)
		group.Wait()
		if !done {
			waited++
			continue
		}
		refused++
		must.False(t, granted, must.Sprint("granted a lease for a view older than the version in force"))
	}
	t.Log("refused", refused, "waited", waited)
}
