// Package attempt keeps the life of one request as an explicit state machine:
// which attempts were made, what is known of each, what may follow and what
// the caller may be told of the run. It does no input or output and reads no
// clock.
package attempt

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// State is where a request stands.
type State uint32

// States of a request. Queued leads to Dispatching or Refused; Dispatching to
// Streaming, Done, Refused or Unknown; Streaming to Done or Unknown.
const (
	Queued State = iota
	Dispatching
	Streaming
	Done
	Refused // surely not run
	Unknown // given up after it may have run
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"queued", "dispatching", "streaming", "done", "refused", "unknown"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// Ran is what the caller is told of the run.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"      // surely not run
	RanUnknown Ran = "unknown" // it may have run
	RanYes     Ran = "yes"     // an engine has said that it admitted the request
)

// ErrNotAllowed is returned for an attempt that the request's rules forbid.
var ErrNotAllowed = errors.New("attempt not allowed")

// Fault says how an attempt ended without a whole answer.
type Fault uint8

// Faults of an attempt.
const (
	// FaultNotWritten means that no byte was written to the engine.
	FaultNotWritten Fault = iota + 1
	// FaultRefused means that the engine refused explicitly before admission.
	FaultRefused
	// FaultBroken means anything else: a reset, a timeout, a cut stream. The
	// engine may have run the request.
	FaultBroken
)

// Record is what is known of one attempt.
type Record struct {
	Number      uint32
	Endpoint    string
	Incarnation uint64
	// Wrote is true once a byte may have been written to the engine.
	Wrote bool
	// Refused is true after an explicit refusal before admission.
	Refused bool
	// Admitted is true once the engine has said so.
	Admitted bool
	// Open is true while frames of the attempt are awaited.
	Open bool
	// Resumes counts how often the attempt's stream was taken up again.
	Resumes int
}

// surelyNotRun reports whether the attempt cannot have run. An open attempt
// may still write, and an engine that first refuses and then sends frames is
// believed to have run the request.
func (r *Record) surelyNotRun() bool {
	return !r.Open && !r.Admitted && (!r.Wrote || r.Refused)
}

// Policy says what may be tried for one request.
type Policy struct {
	// Once marks a request that must run at most once.
	Once bool
	// Buffered is set when nothing reaches the caller before the answer is
	// whole; an answer that broke off can then be thrown away.
	Buffered bool
	Attempts int // runs on engines; 0 means 1
	Resumes  int // of each attempt
}

// Life is one request from its arrival to its end. It is safe for concurrent
// use: the state is decided by compare-and-swap, the records by a lock.
type Life struct {
	state  atomic.Uint32
	policy Policy

	lock     sync.Mutex
	attempts []Record
	passed   int  // tokens of the current run that were passed on
	sent     bool // anything was passed on to the caller
}

// New returns a queued request.
func New(policy Policy) *Life {
	if policy.Attempts <= 0 {
		policy.Attempts = 1
	}
	return &Life{policy: policy}
}

// State returns where the request stands.
func (l *Life) State() State { return State(l.state.Load()) }

// Dispatch takes the request out of the queue. It returns false when the
// request has expired: one compare-and-swap decides between the two.
func (l *Life) Dispatch() bool {
	return l.state.CompareAndSwap(uint32(Queued), uint32(Dispatching))
}

// Expire refuses a request that is still queued. After true it is surely never
// dispatched.
func (l *Life) Expire() bool {
	return l.state.CompareAndSwap(uint32(Queued), uint32(Refused))
}

// Begin opens the next attempt and returns its number, from 1. It returns
// ErrNotAllowed unless the request is being dispatched and Next allows a run.
func (l *Life) Begin(endpoint string, incarnation uint64) (uint32, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.nextLocked().Kind != StepRun {
		return 0, errors.Wrapf(ErrNotAllowed, "state %s", l.State())
	}
	l.passed = 0
	l.state.Store(uint32(Dispatching))
	number := uint32(len(l.attempts) + 1)
	l.attempts = append(l.attempts, Record{Number: number, Endpoint: endpoint, Incarnation: incarnation, Open: true})
	return number, nil
}

// Wrote notes that a byte of the attempt may have been written.
func (l *Life) Wrote(number uint32) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if record := l.record(number); record != nil {
		record.Wrote = true
	}
}

// Admit notes the engine's word that it has admitted the attempt, and the
// incarnation it runs in.
func (l *Life) Admit(number uint32, incarnation uint64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	record := l.record(number)
	if record == nil {
		return
	}
	record.Wrote = true
	record.Admitted = true
	if incarnation != 0 {
		record.Incarnation = incarnation
	}
}

// Fail closes the attempt. A refusal counts only as long as the engine has not
// said that it admitted the attempt, and a resumed stream's refusal says
// nothing of the run.
func (l *Life) Fail(number uint32, fault Fault) {
	l.lock.Lock()
	defer l.lock.Unlock()
	record := l.record(number)
	if record == nil || !record.Open {
		return
	}
	record.Open = false
	switch fault {
	case FaultNotWritten:
	case FaultRefused:
		record.Wrote = true
		record.Refused = !record.Admitted && record.Resumes == 0
	default:
		record.Wrote = true
	}
}

// Finish closes the attempt after its whole answer was passed on.
func (l *Life) Finish(number uint32) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	record := l.record(number)
	if record == nil || !record.Open || !l.isCurrent(number) {
		return false
	}
	record.Open = false
	record.Wrote = true
	record.Admitted = true
	l.state.Store(uint32(Done))
	return true
}

// GiveUp ends the request without a whole answer and returns what the caller
// may be told. Attempts that are still open count as possibly run.
func (l *Life) GiveUp() Ran {
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

// Ran returns what the caller may be told: "no" only if no byte of any attempt
// was written, or each attempt that wrote was explicitly refused before
// admission.
func (l *Life) Ran() Ran {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.ranLocked()
}

func (l *Life) ranLocked() Ran {
	ran := RanNo
	for i := range l.attempts {
		record := &l.attempts[i]
		if record.Admitted {
			return RanYes
		}
		if !record.surelyNotRun() {
			ran = RanUnknown
		}
	}
	return ran
}

// Done reports whether the whole answer was passed on.
func (l *Life) Done() bool { return l.State() == Done }

// Attempts returns a copy of the records.
func (l *Life) Attempts() []Record {
	l.lock.Lock()
	defer l.lock.Unlock()
	return append([]Record(nil), l.attempts...)
}

// Passed returns how many tokens of the current run were passed on.
func (l *Life) Passed() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.passed
}

// record returns the attempt's record, or nil.
func (l *Life) record(number uint32) *Record {
	if number == 0 || int(number) > len(l.attempts) {
		return nil
	}
	return &l.attempts[number-1]
}

func (l *Life) isCurrent(number uint32) bool { return int(number) == len(l.attempts) }
