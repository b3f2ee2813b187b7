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
	clock func() time.Duration // monotonic
	wall  func() time.Time     // until anything else is known

	lock   sync.Mutex
	known  bool
	offset time.Duration // from the monotonic clock to the time of day since 1970
	error  time.Duration // at most, when it was learnt
	learnt time.Duration
}

// driftShare is the inverse of the share by which clocks may run apart: an old reading of a
// small error gives way to a newer one in time.
const driftShare = 2000

// NewDay returns a Day that goes by the machine's own time until it has learnt better.
func NewDay(clock func() time.Duration, wall func() time.Time) *Day {
	return &Day{clock: clock, wall: wall}
}

// Learn takes in the group's time of day, in milliseconds, that came in answer to a
// question which was sent and answered then by the monotonic clock. It may have been read
// at any moment between the two.
func (d *Day) Learn(sent, answered time.Duration, day int64) {
	between := answered - sent
	if between < 0 {
		return
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	worst := d.error + (answered-d.learnt)/driftShare
	if d.known && between/2 > worst {
		return
	}
	d.offset = time.Duration(day)*time.Millisecond + between/2 - answered
	d.known, d.error, d.learnt = true, between/2, answered
}

// Now returns the group's time of day.
func (d *Day) Now() time.Time {
	d.lock.Lock()
	defer d.lock.Unlock()
	if !d.known {
		return d.wall()
	}
	return time.UnixMilli(0).Add(d.clock() + d.offset)
}

// Agreement is the leader's part: the time of day of which most machines are near. It is
// safe for concurrent use.
type Agreement struct {
	clock func() time.Duration
	wall  func() time.Time

	lock   sync.Mutex
	heard  map[string]reading
	median time.Duration // offset from the monotonic clock
	until  time.Duration // when it is worked out anew
}

// reading is one machine's time of day, as an offset from this one's monotonic clock.
type reading struct {
	offset time.Duration
	at     time.Duration
}

// Times of an Agreement.
const (
	// readingMemory is how long a machine's word counts.
	readingMemory = 5 * time.Second
	// medianPause is between two medians.
	medianPause = 500 * time.Millisecond
)

// NewAgreement returns an Agreement of which this machine's own time of day is a part.
func NewAgreement(clock func() time.Duration, wall func() time.Time) *Agreement {
	return &Agreement{clock: clock, wall: wall, heard: map[string]reading{}}
}

// Note takes in the time of day, in milliseconds, that a machine has just told.
func (a *Agreement) Note(machine string, day int64) {
	if day <= 0 {
		return
	}
	now := a.clock()
	a.lock.Lock()
	defer a.lock.Unlock()
	a.heard[machine] = reading{offset: time.Duration(day)*time.Millisecond - now, at: now}
}

// Now returns the agreed time of day.
func (a *Agreement) Now() time.Time {
	now := a.clock()
	a.lock.Lock()
	defer a.lock.Unlock()
	if now >= a.until {
		a.median = a.medianAt(now)
		a.until = now + medianPause
	}
	return time.UnixMilli(0).Add(now + a.median)
}

// medianAt is the median of the offsets that count now; the lock is held.
func (a *Agreement) medianAt(now time.Duration) time.Duration {
	offsets := []time.Duration{a.wall().Sub(time.UnixMilli(0)) - now}
	for machine, known := range a.heard {
		if now-known.at > readingMemory {
			delete(a.heard, machine)
			continue
		}
		offsets = append(offsets, known.offset)
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}
