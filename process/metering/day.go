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

// Day is one process's estimate of the group's wall-clock time. It is safe for concurrent
// use.
type Day struct {
	monotonic func() time.Duration
	wall      func() time.Time // used until the first call of Learn

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

// NewDay returns a Day that uses the machine's own time until the first call of Learn.
func NewDay(clock func() time.Duration, wall func() time.Time) *Day {
	return &Day{monotonic: clock, wall: wall}
}

// Learn updates the estimate from a reply that carries the group's time in milliseconds
// since the Unix epoch. sent and answered are the monotonic times of the request and of its
// reply; the group's time was read at some moment between them. A reading with a larger
// possible error than the current estimate is ignored.
func (d *Day) Learn(sent, answered time.Duration, unixMillis int64) {
	roundTrip := answered - sent
	if roundTrip < 0 {
		return
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	currentError := d.maxError + (answered-d.synchronizedAt)/driftDivisor
	if d.synchronized && roundTrip/2 > currentError {
		return
	}
	d.offset = time.Duration(unixMillis)*time.Millisecond + roundTrip/2 - answered
	d.synchronized, d.maxError, d.synchronizedAt = true, roundTrip/2, answered
}

// Now returns the group's estimated wall-clock time. Right after an update, its error is at
// most half of that round trip; later it grows with the clock drift. Before the first update
// it is the machine's own time, whose error is unknown.
func (d *Day) Now() time.Time {
	d.lock.Lock()
	defer d.lock.Unlock()
	if !d.synchronized {
		return d.wall()
	}
	return time.UnixMilli(0).Add(d.monotonic() + d.offset)
}

// Agreement computes the group's wall-clock time at the leader, as the median of the
// machines' clocks. It is safe for concurrent use.
type Agreement struct {
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

// Durations used by Agreement.
const (
	// readingTTL is how long a machine's reading stays valid.
	readingTTL = 5 * time.Second
	// medianInterval is the interval between computations of the median.
	medianInterval = 500 * time.Millisecond
)

// NewAgreement returns an Agreement that includes the local machine's clock.
func NewAgreement(clock func() time.Duration, wall func() time.Time) *Agreement {
	return &Agreement{monotonic: clock, wall: wall, readings: map[string]reading{}}
}

// Note records the time, in milliseconds since the Unix epoch, that a machine has just
// reported.
func (a *Agreement) Note(machine string, unixMillis int64) {
	if unixMillis <= 0 {
		return
	}
	now := a.monotonic()
	a.lock.Lock()
	defer a.lock.Unlock()
	a.readings[machine] = reading{offset: time.Duration(unixMillis)*time.Millisecond - now, at: now}
}

// Now returns the group's wall-clock time. The median is recomputed at most once per
// medianInterval; in between, the time advances with the monotonic clock.
func (a *Agreement) Now() time.Time {
	now := a.monotonic()
	a.lock.Lock()
	defer a.lock.Unlock()
	if now >= a.nextMedianAt {
		a.median = a.medianAt(now)
		a.nextMedianAt = now + medianInterval
	}
	return time.UnixMilli(0).Add(now + a.median)
}

// medianAt returns the median of the offsets that are valid at now, and removes expired
// readings. The caller must hold the lock.
func (a *Agreement) medianAt(now time.Duration) time.Duration {
	offsets := []time.Duration{a.wall().Sub(time.UnixMilli(0)) - now}
	for machine, reading := range a.readings {
		if now-reading.at > readingTTL {
			delete(a.readings, machine)
			continue
		}
		offsets = append(offsets, reading.offset)
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}
