package control

import (
	"context"
	"sync/atomic"
	"time"
)

// callGuard restricts the platform calls of one kind to one member at a time, the holder. The
// holder is the leader, and its fencing token is its term, which rises with each change of holder
// and is never shared. What a call is to do is committed before the call, so that the next holder
// continues with the same work.
//
// Invariant: a call is sent only
//   - while the leader lease is valid, by a clock that includes suspensions;
//   - in the term whose fencing token it carries;
//   - once the term has lasted for OrderSettle, after which the calls of the previous holder can no
//     longer be in transit.
type callGuard struct {
	// fenced is set once the platform has seen a higher fencing token: another holder has
	// started, and this one makes no more calls in its term.
	fenced atomic.Bool
	// busy is true while a call is in progress: calls of one kind are made sequentially.
	busy atomic.Bool
}

// CallOutcome is the result of a platform call.
type CallOutcome uint8

// Results of a platform call. An unanswered call may have been executed, or may be executed
// later.
const (
	CallUnanswered CallOutcome = iota
	CallDone
	CallRefused    // not sent, or not executed; the call may be retried
	CallFenced     // rejected because a holder with a higher fencing token has called
	CallNoCapacity // the platform has no capacity for the request now
)

// String returns the outcome's name.
func (o CallOutcome) String() string {
	names := [...]string{"unanswered", "done", "refused", "fenced", "dry"}
	return names[o]
}

// CallHolder identifies the caller of a platform call.
type CallHolder struct {
	Name  string // name of the member
	Fence uint64 // fencing token: the member's term
}

// Timing of platform calls.
const (
	// platformCallTimeout bounds one call. A call that is unanswered by then is retried.
	platformCallTimeout = time.Second
	// platformCallPause is the pause before a call is repeated that was not executed or has no
	// known result.
	platformCallPause = 500 * time.Millisecond
)

// authorizeCall reports whether this member may make a platform call now, and returns the
// identity to make it with.
func (d *leaderTasks) authorizeCall(ctx context.Context, term *termState, guard *callGuard) (CallHolder, bool) {
	if guard.fenced.Load() || monotonic()-term.startedAt < d.group.config.Durations.OrderSettle {
		return CallHolder{}, false
	}
	// The lease is checked last, so that it covers all the time spent above.
	if number, valid := d.lease(ctx); !valid || number != term.number {
		return CallHolder{}, false
	}
	return CallHolder{Name: d.group.config.Name, Fence: term.number}, true
}
