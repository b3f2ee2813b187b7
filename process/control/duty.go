package control

import (
	"context"
	"sync/atomic"
	"time"
)

// A duty is what one daemon at a time does for all of them outside of the group: calls to
// the platform on one matter. Its holder is the leader, its fence the leader's term, which
// rises with each change of holder and is never shared. What is to be done is committed
// before it is done, so that the next holder goes on with the same.
//
// Invariant: a call leaves only while the leader lease is valid by a clock that counts
// suspensions, in the term whose fence it bears, and no sooner in a term than the calls of
// the holder before it can have arrived.
type duty struct {
	// fenced is set once the platform has heard of a higher fence: another holder has
	// begun, and this one does nothing more in its term.
	fenced atomic.Bool
	// busy is true while a call is under way: calls on one matter go one after the other.
	busy atomic.Bool
}

// DutyOutcome is what came of a call on a duty.
type DutyOutcome uint8

// Outcomes of a call. One that is unanswered may have been carried out, or may be later.
const (
	DutyUnanswered DutyOutcome = iota
	DutyDone
	DutyRefused // it was not done, and may be asked for again
	DutyFenced  // a holder with a higher fence has called
	DutyDry     // what is asked for is not to be had now
)

// String returns the outcome's name.
func (o DutyOutcome) String() string {
	names := [...]string{"unanswered", "done", "refused", "fenced", "dry"}
	return names[o]
}

// DutyHolder signs a call on a duty.
type DutyHolder struct {
	Name  string
	Fence uint64
}

// Times of calls on duties.
const (
	// dutyTimeout bounds one call. A call that has no answer by then is made again.
	dutyTimeout = time.Second
	// dutyPause is between two calls of which the first was not done.
	dutyPause = 500 * time.Millisecond
)

// mayAct reports whether a holder may call now, and how it signs.
func (d *duties) mayAct(ctx context.Context, term *termDuties, on *duty) (DutyHolder, bool) {
	if on.fenced.Load() || monotonic()-term.startedAt < d.group.config.Durations.OrderSettle {
		return DutyHolder{}, false
	}
	// The lease is read last: whatever time has passed until then is in it.
	if number, valid := d.lease(ctx); !valid || number != term.number {
		return DutyHolder{}, false
	}
	return DutyHolder{Name: d.group.config.Name, Fence: term.number}, true
}
