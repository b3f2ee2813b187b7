package metering

import (
	"slices"
	"sync"
	"time"
)

// Windows of usage go by true time, and a machine's own time of day may jump by seconds. So
// all go by the group's: its leader takes the median of what the machines that it hears of
// say, which no minority of clocks moves, and tells it in answer to beats.

// Day is the group's time of day as one process knows it. It is safe for concurrent use.
type Day struct {
	monotonic func() time.Duration // monotonic
	wall      func() time.Time     // until anything else is known

	lock           sync.Mutex
	synchronized   bool
	offset         time.Duration // from the monotonic clock to the time of day since 1970
	maxError       time.Duration // at most, when it was learnt
	synchronizedAt time.Duration
}

// driftShare is the inverse of the share by which clocks may run apart: an old reading of a
// small error gives way to a newer one in time.
const driftDivisor = 2000

// NewDay returns a Day that goes by the machine's own time until it has learnt better.
func NewDay(clock func() time.Duration, wall func() time.Time) *Day {
	return &Day{monotonic: clock, wall: wall}
}

// Learn takes in the group's time of day, in milliseconds, that came in answer to a
// question which was sent and answered then by the monotonic clock. It may have been read
// at any moment between the two.
func (d *Day) Learn(sent, answered time.Duration, day int64) {
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
	d.offset = time.Duration(day)*time.Millisecond + roundTrip/2 - answered
	d.synchronized, d.maxError, d.synchronizedAt = true, roundTrip/2, answered
}

// Now returns the group's time of day.
func (d *Day) Now() time.Time {
	d.lock.Lock()
	defer d.lock.Unlock()
	if !d.synchronized {
		return d.wall()
	}
	return time.UnixMilli(0).Add(d.monotonic() + d.offset)
}

// Agreement is the leader's part: the time of day of which most machines are near. It is
// safe for concurrent use.
type Agreement struct {
	monotonic func() time.Duration
	wall      func() time.Time

	lock         sync.Mutex
	readings     map[string]reading
	median       time.Duration // offset from the monotonic clock
	nextMedianAt time.Duration // when it is worked out anew
}

// reading is one machine's time of day, as an offset from this one's monotonic clock.
type reading struct {
	offset time.Duration
	at     time.Duration
}

// Times of an Agreement.
const (
	// readingMemory is how long a machine's word counts.
	readingTTL = 5 * time.Second
	// medianPause is between two medians.
	medianInterval = 500 * time.Millisecond
)

// NewAgreement returns an Agreement of which this machine's own time of day is a part.
func NewAgreement(clock func() time.Duration, wall func() time.Time) *Agreement {
	return &Agreement{monotonic: clock, wall: wall, readings: map[string]reading{}}
}

// Note takes in the time of day, in milliseconds, that a machine has just told.
func (a *Agreement) Note(machine string, day int64) {
	if day <= 0 {
		return
	}
	now := a.monotonic()
	a.lock.Lock()
	defer a.lock.Unlock()
	a.readings[machine] = reading{offset: time.Duration(day)*time.Millisecond - now, at: now}
}

// Now returns the agreed time of day.
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

// medianAt is the median of the offsets that count now; the lock is held.
func (a *Agreement) medianAt(now time.Duration) time.Duration {
	offsets := []time.Duration{a.wall().Sub(time.UnixMilli(0)) - now}
	for machine, known := range a.readings {
		if now-known.at > readingTTL {
			delete(a.readings, machine)
			continue
		}
		offsets = append(offsets, known.offset)
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}
