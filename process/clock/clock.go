// Package clock measures elapsed time including time spent in system suspend. The monotonic
// clock behind time.Now stops during suspend, so after a resume a leader would still trust an
// expired lease and a proxy would miss an expired deadline.
//
// Readings never decrease. A reading includes every earlier suspend that the system's boot
// clock or wall clock accounts for, and is unaffected by wall clock steps.
//
// Don't use this clock for timeouts on peers: data sent to a suspended machine may still be
// in transit when it resumes. Such waits use the connection's own timeouts, which also stop
// during suspend.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Limits on how long a cached boot clock offset is used.
const (
	// maxClockDrift is the most that the wall clock may move against the monotonic clock between two
	// readings before the boot clock is read again. Clock slewing by the system stays below it:
	// at most 0.5 ms per second.
	maxClockDrift = 500 * time.Microsecond
	// maxOffsetAge is the age on the monotonic clock at which the offset is read again in any
	// case: some machines correct the wall clock only some time after a resume.
	maxOffsetAge = 50 * time.Millisecond
	// minReportedSuspension is the shortest suspend that watchers are notified of. Shorter ones
	// don't delay timers enough to matter.
	minReportedSuspension = 100 * time.Millisecond
)

// source provides the system clocks.
type source struct {
	// read returns the monotonic clock and the wall clock, each with an arbitrary origin. It is cheap.
	read func() (running, day time.Duration)
	// boot returns the clock that includes suspend. It costs a system call.
	boot func() time.Duration
}

// Clock measures elapsed time including suspend. It is safe for concurrent use.
type Clock struct {
	source      source
	origin      time.Duration
	lastOffsets atomic.Pointer[offsets]

	lock        sync.Mutex
	watchers    map[int]func()
	lastWatchID int
}

// offsets holds the offsets from the monotonic clock at the last boot clock reading.
type offsets struct {
	readAt time.Duration // monotonic
	day    time.Duration
	boot   time.Duration
}

func newClock(sources source) *Clock {
	clock := &Clock{source: sources, watchers: map[int]func(){}}
	clock.origin = clock.read()
	return clock
}

// Now returns the time since the clock was created, including suspend.
func (c *Clock) Now() time.Duration { return c.read() - c.origin }

func (c *Clock) read() time.Duration {
	running, day := c.source.read()
	known := c.lastOffsets.Load()
	if known == nil || known.isStale(running, day) {
		known = c.refresh()
	}
	return running + known.boot
}

// isStale reports whether the machine may have been suspended since the boot clock was read,
// which shows as a shift of the wall clock against the monotonic clock, or whether the offsets
// are too old.
func (o *offsets) isStale(running, day time.Duration) bool {
	shift := day - running - o.day
	return shift > maxClockDrift || shift < -maxClockDrift || running-o.readAt > maxOffsetAge
}

// refresh reads the boot clock and stores new offsets. The monotonic clock is read again after
// the boot clock, so that the offset is never too large and a thread descheduled between the
// readings does not mistake the delay for a suspend. The wall clock is read before the boot clock, so a
// suspend between the two is detected at the next reading. The boot offset never decreases,
// because other goroutines may already have used it.
func (c *Clock) refresh() *offsets {
	for {
		before := c.lastOffsets.Load()
		running, day := c.source.read()
		boot := c.source.boot()
		after, _ := c.source.read()
		next := &offsets{readAt: running, day: day - running, boot: boot - after}
		if before != nil {
			next.boot = max(next.boot, before.boot)
		}
		if !c.lastOffsets.CompareAndSwap(before, next) {
			continue
		}
		if before != nil && next.boot-before.boot >= minReportedSuspension {
			c.notifyWatchers()
		}
		return next
	}
}

// Watch calls callback in its own goroutine after each suspend of at least
// minReportedSuspension, at the first reading that detects it. Timers don't count suspend, so
// code that waits on a timer uses Watch to check its deadline again.
func (c *Clock) Watch(callback func()) (stop func()) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.lastWatchID++
	id := c.lastWatchID
	c.watchers[id] = callback
	return func() {
		c.lock.Lock()
		defer c.lock.Unlock()
		delete(c.watchers, id)
	}
}

func (c *Clock) notifyWatchers() {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, callback := range c.watchers {
		go callback()
	}
}

// processStart is the origin of the monotonic readings.
var processStart = time.Now()

func readSystem() (running, day time.Duration) {
	now := time.Now()
	return now.Sub(processStart), time.Duration(now.UnixNano())
}

// readBoot returns the boot clock, or the monotonic clock on a system without one.
func readBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}

var processClock = newClock(source{read: readSystem, boot: readBoot})

// Watch calls callback after each suspend; see Clock.Watch.
func Watch(callback func()) (stop func()) { return processClock.Watch(callback) }

// Now returns the time since the process started, including suspend.
func Now() time.Duration { return processClock.Now() }
