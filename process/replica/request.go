package replica

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// Errors of requests to a Replica.
var (
	// ErrNotLeader says that another member has to be asked and that the request
	// was not carried out: see NotLeaderError for which.
	ErrNotLeader = errors.New("replica: not the leader")
	// ErrOutcomeUnknown says that the request was appended to the log and that it
	// may or may not be committed.
	ErrOutcomeUnknown = errors.New("replica: outcome unknown")
	// ErrWithdrawn says that the context ended before the request was appended
	// to the log. It never will be.
	ErrWithdrawn = errors.New("replica: given up before it was proposed")
	// ErrOverloaded says that too many requests wait. This one was not carried out.
	ErrOverloaded = errors.New("replica: overloaded")
	// ErrStopped says that the replica stopped before the request was appended to
	// the log. It never will be.
	ErrStopped = errors.New("replica: stopped")
	// ErrLeaseExpired says that this member leads but holds no lease at present.
	ErrLeaseExpired = errors.New("replica: leader lease expired")
	// ErrNoSuccessor says that no other voter can take over leadership.
	ErrNoSuccessor = errors.New("replica: no other voter is available")
	// ErrTransferFailed says that leadership was not handed over in time.
	ErrTransferFailed = errors.New("replica: leadership was not handed over")
)

// NotLeaderError is an ErrNotLeader that names the member to ask instead.
type NotLeaderError struct {
	Leader raft.MemberID // raft.None when not known
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("replica: not the leader, which is %x", uint64(e.Leader))
}

// Is makes the error an ErrNotLeader.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }

// Result tells where a request stands in the log and what came of it.
type Result struct {
	Term  uint64
	Index uint64
	Value any // what StateMachine.Apply returned
}

// States of a request. The loop takes a request over and the caller gives it up
// by the same compare-and-swap, so exactly one of them has its way.
const (
	requestQueued int32 = iota
	requestClaimed
	requestWithdrawn
)

// requestKind tells what is asked for.
type requestKind uint8

const (
	requestPropose requestKind = iota
	requestChange
	requestLeaseRead
	requestReadIndex
	requestTransfer
)

// request waits in the mailbox and then in the loop for its outcome.
type request struct {
	kind    requestKind
	data    []byte
	change  raft.ConfigurationChange
	to      raft.MemberID
	state   atomic.Int32
	outcome chan outcome // has room for the one outcome
}

type outcome struct {
	result Result
	err    error
}

// take returns false when the caller has given up.
func (q *request) claim() bool { return q.state.CompareAndSwap(requestQueued, requestClaimed) }

func (q *request) complete(result Result, err error) {
	select {
	case q.outcome <- outcome{result: result, err: err}:
	default: // has its outcome already
	}
}

// changesLog tells whether giving up leaves something in the log.
func (q *request) changesLog() bool { return q.kind == requestPropose || q.kind == requestChange }

// Propose appends the command to the log and returns when this member has applied
// it, with what Apply returned. The data must not be written to afterwards.
//
// After ErrNotLeader, ErrOverloaded, ErrStopped and ErrWithdrawn the command has
// not been and will never be applied; after ErrOutcomeUnknown it may be, also
// later.
func (r *Replica) Propose(ctx context.Context, data []byte) (Result, error) {
	return r.submit(ctx, &request{kind: requestPropose, data: data})
}

// ChangeMembership makes one step of a membership change and returns when it is
// committed. Errors: those of Propose, and the ones of raft's ProposeChange, after
// which nothing has changed.
func (r *Replica) ChangeMembership(ctx context.Context, change raft.ConfigurationChange) (Result, error) {
	return r.submit(ctx, &request{kind: requestChange, change: change})
}

// LeaseRead returns nil when this member is the leader and holds its lease, and
// the state machine contains everything that was acknowledged before the call.
// The lease is checked by a reading of the clock after all pending disk work.
// Errors: ErrNotLeader, ErrLeaseExpired, ErrStopped, ErrWithdrawn.
func (r *Replica) LeaseRead(ctx context.Context) error {
	_, err := r.submit(ctx, &request{kind: requestLeaseRead})
	return err
}

// ReadIndex returns nil when a quorum has confirmed after the call that this
// member leads, and the state machine contains everything that was acknowledged
// before the call. It needs no clocks. Errors: ErrNotLeader, ErrStopped,
// ErrWithdrawn.
func (r *Replica) ReadIndex(ctx context.Context) error {
	_, err := r.submit(ctx, &request{kind: requestReadIndex})
	return err
}

// TransferLeadership hands leadership to the voter, or to the one with the most
// entries when to is raft.None. Proposals are refused with ErrNotLeader meanwhile;
// those already in the log are waited for first. Errors: ErrNotLeader,
// ErrNoSuccessor, ErrTransferFailed, ErrStopped, ErrWithdrawn.
func (r *Replica) TransferLeadership(ctx context.Context, to raft.MemberID) error {
	_, err := r.submit(ctx, &request{kind: requestTransfer, to: to})
	return err
}

// do queues the request and waits for its outcome or the end of ctx.
func (r *Replica) submit(ctx context.Context, q *request) (Result, error) {
	q.outcome = make(chan outcome, 1)
	if err := ctx.Err(); err != nil {
		return Result{}, errors.Wrap(ErrWithdrawn, err.Error())
	}
	if err := r.mailbox.putRequest(q); err != nil {
		return Result{}, err
	}
	select {
	case o := <-q.outcome:
		return o.result, o.err
	case <-ctx.Done():
		return q.withdraw(ctx.Err())
	}
}

// giveUp decides what a caller is told whose context has ended.
func (q *request) withdraw(reason error) (Result, error) {
	if q.state.CompareAndSwap(requestQueued, requestWithdrawn) {
		return Result{}, errors.Wrap(ErrWithdrawn, reason.Error())
	}
	select {
	case o := <-q.outcome:
		return o.result, o.err
	default:
	}
	if q.changesLog() {
		return Result{}, errors.Wrap(ErrOutcomeUnknown, reason.Error())
	}
	return Result{}, errors.Wrap(ErrWithdrawn, reason.Error())
}
