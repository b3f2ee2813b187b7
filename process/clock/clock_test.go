package clock

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fakeSystem simulates the clocks of a machine.
type fakeSystem struct {
	monotonic, wall, boot time.Duration
	bootReads             int
}

func newFakeSystem() *fakeSystem {
	return &fakeSystem{monotonic: time.Hour, wall: 400_000 * time.Hour, boot: 3 * time.Hour}
}

func (f *fakeSystem) clock() *Clock {
	return newClock(source{
		read: func() (time.Duration, time.Duration) { return f.monotonic, f.wall },
		boot: func() time.Duration { f.bootReads++; return f.boot },
	})
}

// run advances all clocks.
func (f *fakeSystem) run(duration time.Duration) {
	f.monotonic += duration
	f.wall += duration
	f.boot += duration
}

// suspend advances all clocks but the monotonic one.
func (f *fakeSystem) suspend(duration time.Duration) {
	f.wall += duration
	f.boot += duration
}

// The first reading after a suspend includes all of it, so that a lease checked then has expired.
func TestReadingIncludesSuspend(t *testing.T) {
	system := newFakeSystem()
	clock := system.clock()
	want := time.Duration(0)
	for range 5 {
		system.run(3 * time.Millisecond)
		want += 3 * time.Millisecond
		must.Eq(t, want, clock.Now())
		system.suspend(2 * time.Second)
		want += 2 * time.Second
		must.Eq(t, want, clock.Now())
	}
}

func TestReadingIncludesShortSuspend(t *testing.T) {
	system := newFakeSystem()
	clock := system.clock()
	system.suspend(2 * maxClockDrift)
	must.Eq(t, 2*maxClockDrift, clock.Now())
}

// If the wall clock is not corrected right after a resume, the boot clock still shows the suspend.
func TestReadingIncludesSuspendWithoutWallClockCorrection(t *testing.T) {
	system := newFakeSystem()
	clock := system.clock()
	system.boot += time.Second
	system.run(maxOffsetAge + time.Millisecond)
	must.Eq(t, time.Second+maxOffsetAge+time.Millisecond, clock.Now())
}

func TestWallClockStepsDoNotChangeReadings(t *testing.T) {
	system := newFakeSystem()
	clock := system.clock()
	for _, step := range []time.Duration{2 * time.Second, -4 * time.Second, time.Hour} {
		system.wall += step
		before := clock.Now()
		system.run(time.Millisecond)
		must.Eq(t, before+time.Millisecond, clock.Now())
	}
}

// Watchers are notified of a suspend, but not of a wall clock step.
func TestWatchersAreNotifiedOfSuspend(t *testing.T) {
	system := newFakeSystem()
	clock := system.clock()
	notified := make(chan struct{}, 10)
	stop := clock.Watch(func() { notified <- struct{}{} })
	for range 100 {
		system.run(maxOffsetAge)
		system.wall += time.Second // a wall clock step
		clock.Now()
	}
	must.Eq(t, 0, len(notified))
	system.suspend(minReportedSuspend)
	clock.Now()
	<-notified
	stop()
	system.suspend(time.Second)
	clock.Now()
	must.Eq(t, 0, len(notified))
}

// Without suspends, the boot clock is read at most 5 times in 100 ms.
func TestBootClockIsReadRarely(t *testing.T) {
	system := newFakeSystem()
	clock := system.clock()
	for range 10_000 {
		system.run(10 * time.Microsecond)
		clock.Now()
	}
	must.LessEq(t, 5, system.bootReads)
}

func TestReadingsNeverGoBack(t *testing.T) {
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			last := Now()
			for range 20_000 {
				now := Now()
				must.LessEq(t, now, last)
				last = now
			}
		})
	}
	readers.Wait()
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkMonotonic(b *testing.B) {
	start := time.Now()
	for b.Loop() {
		_ = time.Since(start)
	}
}
