package metering

import (
	"slices"
	"sync"
	"time"
)

// Usage windows need accurate wall-clock time, but the clock of a single machine may jump by
// seconds. All processes therefore use the group's time: the leader takes the median of the
// times that machines report, which no minority of clocks can move, and sends it in replies
// to beats.

// GroupClock is one process's estimate of the group's wall-clock time. It is safe for
// concurrent use.
type GroupClock struct {
	monotonic func() time.Duration
	wall      func() time.Time // used until the first call of Update

	lock           sync.Mutex
	synchronized   bool
	offset         time.Duration // from the monotonic clock to the time since the Unix epoch
	maxError       time.Duration // bound on the error of offset at synchronizedAt
	synchronizedAt time.Duration
}

// driftDivisor is the inverse of the assumed clock drift rate: 1/2000 = 500 ppm. The error
// bound grows at this rate, so that a newer reading eventually replaces an old one with a
// smaller initial error.
const driftDivisor = 2000

// NewGroupClock returns a GroupClock that uses the machine's own time until the first call
// of Update.
func NewGroupClock(clock func() time.Duration, wall func() time.Time) *GroupClock {
	return &GroupClock{monotonic: clock, wall: wall}
}

// Update updates the estimate from a reply that carries the group's time in milliseconds
// since the Unix epoch. sent and answered are the monotonic times of the request and of its
// reply; the group's time was read at some moment between them. A reading with a larger
// possible error than the current estimate is ignored.
func (c *GroupClock) Update(sent, answered time.Duration, unixMillis int64) {
	roundTrip := answered - sent
	if roundTrip < 0 {
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	currentError := c.maxError + (answered-c.synchronizedAt)/driftDivisor
	if c.synchronized && roundTrip/2 > currentError {
		return
	}
	c.offset = time.Duration(unixMillis)*time.Millisecond + roundTrip/2 - answered
	c.synchronized, c.maxError, c.synchronizedAt = true, roundTrip/2, answered
}

// Now returns the group's estimated wall-clock time. Right after an update, its error is at
// most half of that round trip; later it grows with the clock drift. Before the first update
// it is the machine's own time, whose error is unknown.
func (c *GroupClock) Now() time.Time {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.synchronized {
		return c.wall()
	}
	return time.UnixMilli(0).Add(c.monotonic() + c.offset)
}

// MedianClock computes the group's wall-clock time at the leader, as the median of the
// machines' clocks. It is safe for concurrent use.
type MedianClock struct {
	monotonic func() time.Duration
	wall      func() time.Time

	lock         sync.Mutex
	readings     map[string]reading
	median       time.Duration // offset from the monotonic clock
	nextMedianAt time.Duration // when the median is next recomputed
}

// reading is one machine's wall-clock time, as an offset from the local monotonic clock.
type reading struct {
	offset time.Duration
	at     time.Duration
}

// Durations used by MedianClock.
const (
	// readingTTL is how long a machine's reading stays valid.
	readingTTL = 5 * time.Second
	// medianInterval is the interval between computations of the median.
	medianInterval = 500 * time.Millisecond
)

// NewMedianClock returns a MedianClock that includes the local machine's clock.
func NewMedianClock(clock func() time.Duration, wall func() time.Time) *MedianClock {
	return &MedianClock{monotonic: clock, wall: wall, readings: map[string]reading{}}
}

// Record records the time, in milliseconds since the Unix epoch, that a machine has just
// reported.
func (m *MedianClock) Record(machine string, unixMillis int64) {
	if unixMillis <= 0 {
		return
	}
	now := m.monotonic()
	m.lock.Lock()
	defer m.lock.Unlock()
	m.readings[machine] = reading{offset: time.Duration(unixMillis)*time.Millisecond - now, at: now}
}

// Now returns the group's wall-clock time. The median is recomputed at most once per
// medianInterval; in between, the time advances with the monotonic clock.
func (m *MedianClock) Now() time.Time {
	now := m.monotonic()
	m.lock.Lock()
	defer m.lock.Unlock()
	if now >= m.nextMedianAt {
		m.median = m.medianAt(now)
		m.nextMedianAt = now + medianInterval
	}
	return time.UnixMilli(0).Add(now + m.median)
}

// medianAt returns the median of the offsets that are valid at now, and removes expired
// readings. The caller must hold the lock.
func (m *MedianClock) medianAt(now time.Duration) time.Duration {
	offsets := []time.Duration{m.wall().Sub(time.UnixMilli(0)) - now}
	for machine, reading := range m.readings {
		if now-reading.at > readingTTL {
			delete(m.readings, machine)
			continue
		}
		offsets = append(offsets, reading.offset)
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}
