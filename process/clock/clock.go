// Package clock measures elapsed time including time spent in system suspend. The monotonic clock
// behind time.Now stops during suspend. Measured with it, a leader's lease and a proxy's deadline
// would seem valid after a resume although they have expired.
//
// Readings never decrease. A reading includes every earlier suspend that the wall clock shows; one
// that only the boot clock shows is included at most 50 ms after the resume. Wall clock steps do
// not change readings. On a system without a boot clock, suspends are not included.
//
// Don't use this clock to wait for data from a peer: data sent to a suspended machine may still be
// in transit when it resumes. Such waits use the connection's own timeouts, which also stop during
// suspend.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Limits for detecting and reporting a suspend.
const (
	// maxClockDrift is the most that the wall clock may move against the monotonic clock since the
	// last boot clock reading before the boot clock is read again. Clock slewing by the system
	// stays below it: it is at most 0.5 ms per second, and offsets are used for at most
	// maxOffsetAge.
	maxClockDrift = 500 * time.Microsecond
	// maxOffsetAge is the age on the monotonic clock at which the boot clock is read again in any
	// case: some machines correct the wall clock only some time after a resume, so it does not show
	// the suspend at once.
	maxOffsetAge = 50 * time.Millisecond
	// minReportedSuspend is the shortest suspend that watchers are notified of. Shorter ones delay
	// no timer by an amount that matters to its user.
	minReportedSuspend = 100 * time.Millisecond
)

// source provides the system clocks.
type source struct {
	// read returns the monotonic clock and the wall clock, each with an arbitrary origin. It is
	// much cheaper than boot.
	read func() (monotonic, wall time.Duration)
	// boot returns the clock that includes suspend, with an arbitrary origin. It costs a system
	// call.
	boot func() time.Duration
}

// Clock measures elapsed time including suspend. It is safe for concurrent use.
type Clock struct {
	source      source
	origin      time.Duration // the reading at creation
	lastOffsets atomic.Pointer[offsets]

	lock        sync.Mutex
	watchers    map[int]func()
	lastWatchID int
}

// offsets holds the differences of the wall clock and the boot clock from the monotonic clock at
// the last boot clock reading.
type offsets struct {
	readAt     time.Duration // monotonic
	wallOffset time.Duration
	bootOffset time.Duration
}

func newClock(clocks source) *Clock {
	clock := &Clock{source: clocks, watchers: map[int]func(){}}
	clock.origin = clock.read()
	return clock
}

// Now returns the time since the clock was created, including suspend.
func (c *Clock) Now() time.Duration { return c.read() - c.origin }

// read returns the monotonic clock plus the boot clock's offset, which it refreshes if stale.
func (c *Clock) read() time.Duration {
	monotonic, wall := c.source.read()
	current := c.lastOffsets.Load()
	if current == nil || current.isStale(monotonic, wall) {
		current = c.refresh()
	}
	return monotonic + current.bootOffset
}

// isStale reports whether the machine may have been suspended since the boot clock was read, which
// shows as a drift of the wall clock against the monotonic clock, or whether the offsets are too
// old.
func (o *offsets) isStale(monotonic, wall time.Duration) bool {
	drift := wall - monotonic - o.wallOffset
	return drift > maxClockDrift || drift < -maxClockDrift || monotonic-o.readAt > maxOffsetAge
}

// refresh reads the boot clock, stores and returns new offsets, and notifies the watchers of a
// suspend. The monotonic clock is read again after the boot clock, so that the offset is never too
// large: a delay between the readings, as of a descheduled thread, lowers it and does not look like
// a suspend. The wall clock is read before the boot clock, so a suspend between the two is detected
// at the next reading. The boot offset never decreases, because other goroutines may already have
// used it.
func (c *Clock) refresh() *offsets {
	for {
		before := c.lastOffsets.Load()
		monotonic, wall := c.source.read()
		boot := c.source.boot()
		monotonicAfter, _ := c.source.read()
		next := &offsets{readAt: monotonic, wallOffset: wall - monotonic, bootOffset: boot - monotonicAfter}
		if before != nil {
			next.bootOffset = max(next.bootOffset, before.bootOffset)
		}
		if !c.lastOffsets.CompareAndSwap(before, next) {
			continue
		}
		if before != nil && next.bootOffset-before.bootOffset >= minReportedSuspend {
			c.notifyWatchers()
		}
		return next
	}
}

// Watch calls callback in its own goroutine after each suspend of at least 100 ms
// (minReportedSuspend), at the first reading that detects it; without a reading there is no call. A call that has
// begun may still run after stop returns. Timers don't count suspend, so code that waits on a timer
// uses Watch to check its deadline again.
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

// processStart is the origin of the monotonic clock in readSystem.
var processStart = time.Now()

func readSystem() (monotonic, wall time.Duration) {
	now := time.Now()
	return now.Sub(processStart), time.Duration(now.UnixNano())
}

// readBoot returns the reading of the boot clock, or of the monotonic clock on a system without
// one.
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

// Now returns the time since the initialization of this package, including suspend.
func Now() time.Duration { return processClock.Now() }
