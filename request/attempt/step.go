package attempt

import "github.com/pkg/errors"

// StepKind is the kind of action that may be taken next for a request.
type StepKind uint8

// Kinds of steps.
const (
	// StepStop means that the request has ended or must be given up.
	StepStop StepKind = iota
	// StepWait means that an attempt is open.
	StepWait
	// StepRun means that an engine may be asked to run the request.
	StepRun
	// StepResume means that the stream of the last attempt may be resumed at the offset, on the
	// same engine in the same incarnation. It starts no run.
	StepResume
)

// Step is the action that may be taken next. For StepResume the other fields describe the attempt
// to resume.
type Step struct {
	Kind        StepKind
	Number      uint32
	Endpoint    string
	Incarnation uint64
	Offset      int // number of tokens already accepted
}

// Next returns what may be done next. A new run is allowed after attempts that certainly did not
// run. After an attempt that may have run, it is allowed only if Policy.AtMostOnce is not set and
// nothing was forwarded to the caller, since the answers of two runs are never combined.
func (l *Lifecycle) Next() Step {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.nextLocked()
}

func (l *Lifecycle) nextLocked() Step {
	state := l.State()
	if state != Dispatching && state != Streaming {
		return Step{Kind: StepStop}
	}
	if len(l.attempts) == 0 {
		return Step{Kind: StepRun}
	}
	last := &l.attempts[len(l.attempts)-1]
	if last.Open {
		return Step{Kind: StepWait}
	}
	if step, allowed := l.resumeStep(last); allowed {
		return step
	}
	if l.runAllowed() {
		return Step{Kind: StepRun}
	}
	return Step{Kind: StepStop}
}

// resumeStep returns the step that resumes the attempt's stream. Only an admitted attempt with a
// known incarnation can be resumed.
func (l *Lifecycle) resumeStep(last *Record) (Step, bool) {
	if !last.Admitted || last.Incarnation == 0 || last.Resumes >= l.policy.MaxResumes {
		return Step{}, false
	}
	return Step{
		Kind:        StepResume,
		Number:      last.Number,
		Endpoint:    last.Endpoint,
		Incarnation: last.Incarnation,
		Offset:      l.forwarded,
	}, true
}

// runAllowed reports whether a further run is allowed after the attempts so far.
func (l *Lifecycle) runAllowed() bool {
	if len(l.attempts) >= l.policy.MaxAttempts || l.anyForwarded {
		return false
	}
	if !l.policy.AtMostOnce {
		return true
	}
	for i := range l.attempts {
		if !l.attempts[i].certainlyNotRun() {
			return false
		}
	}
	return true
}

// Resume reopens the latest attempt. It returns ErrNotAllowed unless Next returns StepResume for
// that attempt.
func (l *Lifecycle) Resume(number uint32) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	step := l.nextLocked()
	if step.Kind != StepResume || step.Number != number {
		return errors.Wrapf(ErrNotAllowed, "cannot resume attempt %d", number)
	}
	record := l.record(number)
	record.Open = true
	record.Resumes++
	return nil
}

// AbandonResume rules out further resumes of the attempt, after its engine has refused one or is
// gone. It sets Record.Resumes to the maximum.
func (l *Lifecycle) AbandonResume(number uint32) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if record := l.record(number); record != nil {
		record.Resumes = l.policy.MaxResumes
	}
}

// Verdict says what to do with a frame.
type Verdict uint8

// Verdicts on a frame.
const (
	// VerdictPass means that the frame is the next one and may be forwarded.
	VerdictPass Verdict = iota + 1
	// VerdictLate means that the frame belongs to an older, closed or unknown attempt, or that the
	// request has ended.
	VerdictLate
	// VerdictDuplicate means that the frame's tokens were accepted before.
	VerdictDuplicate
	// VerdictGap means that tokens are missing before the frame, or that it overlaps accepted
	// tokens in part. The attempt must be closed as broken.
	VerdictGap
)

// Accept returns the verdict on a frame of the attempt that starts at offset and holds the given
// number of tokens. Any frame, even a late one, confirms that the engine has admitted the attempt.
// A frame with VerdictPass counts as accepted and, unless the answer is buffered, as forwarded.
func (l *Lifecycle) Accept(number uint32, offset, tokens int) Verdict {
	l.lock.Lock()
	defer l.lock.Unlock()
	record := l.record(number)
	if record == nil {
		return VerdictLate
	}
	record.MayHaveWritten = true
	record.Admitted = true
	if !record.Open || !l.isLatest(number) {
		return VerdictLate
	}
	// The frame ends before the accepted tokens do, or at their end and starts before it; a frame
	// without tokens at their end is the next one.
	if offset+tokens < l.forwarded || (offset < l.forwarded && offset+tokens == l.forwarded) {
		return VerdictDuplicate
	}
	if offset != l.forwarded {
		return VerdictGap
	}
	state := l.State()
	if state != Dispatching && state != Streaming {
		return VerdictLate
	}
	l.state.Store(uint32(Streaming))
	l.forwarded += tokens
	l.anyForwarded = !l.policy.Buffered
	return VerdictPass
}
