// Package attempt implements the state machine of one request: which attempts were made, what is
// known of each, what may be done next and what the caller may be told about the execution.
// Whatever runs the request, a replica or a back end, is called an engine here. The package does no
// I/O and reads no clock.
package attempt

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// State is the state of a request.
type State uint32

// States of a request. Queued changes to Dispatching or Refused, Dispatching to Streaming, Done,
// Refused or Unknown, and Streaming to Done or Unknown. A buffered answer can be discarded for a
// new run, which changes Streaming back to Dispatching.
const (
	Queued State = iota
	Dispatching
	Streaming
	Done
	Refused // certainly not run
	Unknown // given up, and may have run
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"queued", "dispatching", "streaming", "done", "refused", "unknown"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// Ran is what the caller is told about whether the request was run.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"      // certainly not run
	RanUnknown Ran = "unknown" // may have run
	RanYes     Ran = "yes"     // an engine has confirmed that it admitted the request
)

// ErrNotAllowed is returned for an attempt that the policy or the state of the request forbids.
var ErrNotAllowed = errors.New("attempt not allowed")

// Fault says how an attempt ended without a complete answer.
type Fault uint8

// Faults of an attempt.
const (
	// FaultNotWritten means that no byte was written to the engine.
	FaultNotWritten Fault = iota + 1
	// FaultRefused means that the engine explicitly refused before admission.
	FaultRefused
	// FaultBroken covers everything else: a reset, a timeout or a cut stream. The engine may have
	// run the request.
	FaultBroken
)

// Record is what is known of one attempt.
type Record struct {
	Number   uint32
	Endpoint string
	// Incarnation distinguishes the successive processes of the engine; 0 means unknown.
	Incarnation uint64
	// MayHaveWritten is true once a byte may have been written to the engine.
	MayHaveWritten bool
	// Refused is true after an explicit refusal of the run before admission. The refusal of a
	// resume leaves it unset (see Fail).
	Refused bool
	// Admitted is true once the engine has confirmed admission.
	Admitted bool
	// Open is true while frames, the parts of the answer's stream, are expected of the attempt.
	Open bool
	// Resumes counts how often the attempt's stream was resumed. AbandonResume sets it to the
	// maximum.
	Resumes int
}

// certainlyNotRun reports whether the attempt certainly did not run. An open attempt may still
// write to the engine. Frames count as admission, so a refusal before or after them does not count.
func (r *Record) certainlyNotRun() bool {
	return !r.Open && !r.Admitted && (!r.MayHaveWritten || r.Refused)
}

// Policy says what may be tried for one request.
type Policy struct {
	// AtMostOnce marks a request that must run at most once.
	AtMostOnce bool
	// Buffered is true if nothing is sent to the caller before the answer is complete, so that an
	// incomplete answer can be discarded.
	Buffered    bool
	MaxAttempts int // the maximum number of attempts, each a run on an engine; 0 means 1
	MaxResumes  int // the maximum number of times that the stream of each attempt is resumed
}

// Lifecycle is the lifecycle of one request from arrival to completion. It is safe for concurrent
// use: compare-and-swap decides between Dispatch and Expire, and a lock guards everything else.
type Lifecycle struct {
	state  atomic.Uint32
	policy Policy

	lock         sync.Mutex
	attempts     []Record
	forwarded    int  // accepted tokens of the current run; forwarded as well unless buffered
	anyForwarded bool // whether anything was forwarded to the caller
}

// New returns a queued request.
func New(policy Policy) *Lifecycle {
	if policy.MaxAttempts <= 0 {
		policy.MaxAttempts = 1
	}
	return &Lifecycle{policy: policy}
}

// State returns the current state of the request.
func (l *Lifecycle) State() State { return State(l.state.Load()) }

// Dispatch takes the request out of the queue. It returns false if the request has expired.
func (l *Lifecycle) Dispatch() bool {
	return l.state.CompareAndSwap(uint32(Queued), uint32(Dispatching))
}

// Expire refuses a request that is still queued. If it returns true, the request is never
// dispatched.
func (l *Lifecycle) Expire() bool {
	return l.state.CompareAndSwap(uint32(Queued), uint32(Refused))
}

// Begin opens the next attempt and returns its number, starting from 1. It returns ErrNotAllowed
// unless Next allows a run. An incarnation of 0 means unknown.
func (l *Lifecycle) Begin(endpoint string, incarnation uint64) (uint32, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.nextLocked().Kind != StepRun {
		// The proxy sends this message to the client.
		return 0, errors.Wrapf(ErrNotAllowed, "state %s", l.State())
	}
	l.forwarded = 0
	l.state.Store(uint32(Dispatching))
	number := uint32(len(l.attempts) + 1)
	l.attempts = append(l.attempts, Record{Number: number, Endpoint: endpoint, Incarnation: incarnation, Open: true})
	return number, nil
}

// Wrote records that a byte of the attempt may have been written. An unknown number is ignored.
func (l *Lifecycle) Wrote(number uint32) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if record := l.record(number); record != nil {
		record.MayHaveWritten = true
	}
}

// Admit records that the engine has confirmed admission of the attempt, and the engine's
// incarnation unless it is 0. An unknown number is ignored.
func (l *Lifecycle) Admit(number uint32, incarnation uint64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	record := l.record(number)
	if record == nil {
		return
	}
	record.MayHaveWritten = true
	record.Admitted = true
	if incarnation != 0 {
		record.Incarnation = incarnation
	}
}

// Fail closes the attempt. A refusal counts only if the engine has not confirmed admission before,
// and the refusal of a resume is not a refusal of the run. An unknown number or a closed attempt is
// ignored.
func (l *Lifecycle) Fail(number uint32, fault Fault) {
	l.lock.Lock()
	defer l.lock.Unlock()
	record := l.record(number)
	if record == nil || !record.Open {
		return
	}
	record.Open = false
	switch fault {
	case FaultNotWritten: // leaves MayHaveWritten as it is
	case FaultRefused:
		record.MayHaveWritten = true
		record.Refused = !record.Admitted && record.Resumes == 0
	default:
		record.MayHaveWritten = true
	}
}

// Finish closes the attempt after its complete answer was forwarded. It returns false if the
// attempt is not open or not the latest.
func (l *Lifecycle) Finish(number uint32) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	record := l.record(number)
	if record == nil || !record.Open || !l.isLatest(number) {
		return false
	}
	record.Open = false
	record.MayHaveWritten = true
	record.Admitted = true
	l.state.Store(uint32(Done))
	return true
}

// GiveUp ends the request without a complete answer and returns what the caller may be told.
// Attempts that are still open may have run. The state is Refused afterwards if the request
// certainly was not run, otherwise Unknown; a request in state Done or Refused keeps its state.
func (l *Lifecycle) GiveUp() Ran {
	l.lock.Lock()
	defer l.lock.Unlock()
	ran := l.ranLocked()
	if l.State() == Done || l.State() == Refused {
		return ran
	}
	final := Unknown
	if ran == RanNo {
		final = Refused
	}
	l.state.Store(uint32(final))
	return ran
}

// Ran returns what the caller may be told about whether the request was run. It is RanNo only if no
// attempt has written a byte, or each attempt that did was explicitly refused before admission.
func (l *Lifecycle) Ran() Ran {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.ranLocked()
}

func (l *Lifecycle) ranLocked() Ran {
	ran := RanNo
	for i := range l.attempts {
		record := &l.attempts[i]
		if record.Admitted {
			return RanYes
		}
		if !record.certainlyNotRun() {
			ran = RanUnknown
		}
	}
	return ran
}

// Done reports whether the complete answer was forwarded.
func (l *Lifecycle) Done() bool { return l.State() == Done }

// Attempts returns a copy of the records.
func (l *Lifecycle) Attempts() []Record {
	l.lock.Lock()
	defer l.lock.Unlock()
	return append([]Record(nil), l.attempts...)
}

// Forwarded returns how many tokens of the current run were forwarded or, if the answer is
// buffered, accepted.
func (l *Lifecycle) Forwarded() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.forwarded
}

// record returns the attempt's record, or nil.
func (l *Lifecycle) record(number uint32) *Record {
	if number == 0 || int(number) > len(l.attempts) {
		return nil
	}
	return &l.attempts[number-1]
}

// isLatest reports whether the number is that of the latest attempt, open or closed.
func (l *Lifecycle) isLatest(number uint32) bool { return int(number) == len(l.attempts) }
