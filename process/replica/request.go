package replica

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// Errors returned by requests to a Replica.
var (
	// ErrNotLeader means that the request was not executed because another member
	// leads: see NotLeaderError for which.
	ErrNotLeader = errors.New("replica: not the leader")
	// ErrOutcomeUnknown means that the proposal may have been appended to the log and
	// may or may not be committed.
	ErrOutcomeUnknown = errors.New("replica: outcome unknown")
	// ErrWithdrawn means that the context ended before the request was completed. A
	// proposal was not appended to the log and never will be. A leadership transfer
	// may still happen: see TransferLeadership.
	ErrWithdrawn = errors.New("replica: given up before it was proposed")
	// ErrOverloaded means that the request was rejected because too many requests are
	// pending.
	ErrOverloaded = errors.New("replica: overloaded")
	// ErrStopped means that the replica stopped before the request was completed. A
	// proposal was not appended to the log and never will be.
	ErrStopped = errors.New("replica: stopped")
	// ErrLeaseExpired means that this member leads but holds no valid lease.
	ErrLeaseExpired = errors.New("replica: leader lease expired")
	// ErrNoSuccessor means that no other voter can take over leadership.
	ErrNoSuccessor = errors.New("replica: no other voter is available")
	// ErrTransferFailed means that leadership was not handed over in time.
	ErrTransferFailed = errors.New("replica: leadership was not handed over")
)

// NotLeaderError is an ErrNotLeader that names the current leader.
type NotLeaderError struct {
	Leader raft.MemberID // raft.None if unknown
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("replica: not the leader, which is %x", uint64(e.Leader))
}

// Is makes errors.Is(err, ErrNotLeader) true.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }

// Result is the log position of a request and the value it returned.
type Result struct {
	Term  uint64
	Index uint64
	Value any // what StateMachine.Apply returned
}

// States of a request. The loop claims a queued request and the caller withdraws it
// with a compare-and-swap on the same field, so exactly one of them succeeds.
const (
	requestQueued int32 = iota
	requestClaimed
	requestWithdrawn
)

// requestKind identifies the operation that a request asks for.
type requestKind uint8

const (
	requestPropose requestKind = iota
	requestChange
	requestLeaseRead
	requestReadIndex
	requestTransfer
)

// request is a caller's pending operation: first in the mailbox, then in the loop.
type request struct {
	kind    requestKind
	data    []byte
	change  raft.ConfigurationChange
	to      raft.MemberID
	state   atomic.Int32
	outcome chan outcome // buffered for one outcome
}

type outcome struct {
	result Result
	err    error
}

// claim marks the request as processed by the loop. It returns false if the caller has
// withdrawn it.
func (r *request) claim() bool { return r.state.CompareAndSwap(requestQueued, requestClaimed) }

func (r *request) complete(result Result, err error) {
	select {
	case r.outcome <- outcome{result: result, err: err}:
	default: // already completed
	}
}

// changesLog reports whether the request appends an entry to the log.
func (r *request) changesLog() bool { return r.kind == requestPropose || r.kind == requestChange }

// Propose appends the command to the log and waits until this member has applied it.
// The result holds the value that Apply returned. The caller must not modify data
// afterwards.
//
// After ErrNotLeader, ErrOverloaded, ErrStopped and ErrWithdrawn the command has not
// been applied and never will be. After ErrOutcomeUnknown it may have been applied or
// may still be applied later.
func (r *Replica) Propose(ctx context.Context, data []byte) (Result, error) {
	return r.submit(ctx, &request{kind: requestPropose, data: data})
}

// ChangeMembership performs one step of a membership change, which is one
// raft.ConfigurationChange, and waits until it is committed. It returns the errors of
// Propose and of raft.Node.ProposeChange; after the latter nothing has changed.
func (r *Replica) ChangeMembership(ctx context.Context, change raft.ConfigurationChange) (Result, error) {
	return r.submit(ctx, &request{kind: requestChange, change: change})
}

// LeaseRead returns nil if this member is the leader with a valid lease and the state
// machine contains everything that was acknowledged before the call. The lease is
// checked against the clock after all pending disk writes. Errors: ErrNotLeader,
// ErrLeaseExpired, ErrStopped, ErrOverloaded, ErrWithdrawn.
func (r *Replica) LeaseRead(ctx context.Context) error {
	_, err := r.submit(ctx, &request{kind: requestLeaseRead})
	return err
}

// ReadIndex returns nil once a quorum has confirmed after the call that this member
// leads and the state machine contains everything that was acknowledged before the
// call. It does not depend on clocks. Errors: ErrNotLeader, ErrStopped, ErrOverloaded,
// ErrWithdrawn.
func (r *Replica) ReadIndex(ctx context.Context) error {
	_, err := r.submit(ctx, &request{kind: requestReadIndex})
	return err
}

// TransferLeadership transfers leadership to the given voter, or to the active voter
// with the most entries if to is raft.None. It first waits for the proposals already
// in the log; new ones are rejected with ErrNotLeader meanwhile. Errors: ErrNotLeader,
// ErrNoSuccessor, ErrTransferFailed, ErrStopped, ErrOverloaded, ErrWithdrawn. After
// ErrWithdrawn and ErrStopped leadership may still be transferred.
func (r *Replica) TransferLeadership(ctx context.Context, to raft.MemberID) error {
	_, err := r.submit(ctx, &request{kind: requestTransfer, to: to})
	return err
}

// submit queues the request and waits until it completes or ctx ends.
func (r *Replica) submit(ctx context.Context, req *request) (Result, error) {
	req.outcome = make(chan outcome, 1)
	if err := ctx.Err(); err != nil {
		return Result{}, errors.Wrap(ErrWithdrawn, err.Error())
	}
	if err := r.mailbox.putRequest(req); err != nil {
		return Result{}, err
	}
	select {
	case o := <-req.outcome:
		return o.result, o.err
	case <-ctx.Done():
		return req.withdraw(ctx.Err())
	}
}

// withdraw withdraws a request whose context has ended and returns the result for the
// caller: the outcome if there already is one, else ErrOutcomeUnknown for a proposal
// that the loop has claimed and ErrWithdrawn for any other request.
func (r *request) withdraw(reason error) (Result, error) {
	if r.state.CompareAndSwap(requestQueued, requestWithdrawn) {
		return Result{}, errors.Wrap(ErrWithdrawn, reason.Error())
	}
	select {
	case o := <-r.outcome:
		return o.result, o.err
	default:
	}
	if r.changesLog() {
		return Result{}, errors.Wrap(ErrOutcomeUnknown, reason.Error())
	}
	return Result{}, errors.Wrap(ErrWithdrawn, reason.Error())
}
