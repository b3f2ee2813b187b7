package attempt

import "github.com/pkg/errors"

// StepKind is what may be done next for a request.
type StepKind uint8

// Kinds of steps.
const (
	// StepStop means that the request must be given up, or is at its end.
	StepStop StepKind = iota
	// StepWait means that an attempt is open.
	StepWait
	// StepRun means that an engine may be asked to run the request.
	StepRun
	// StepResume means that the last attempt's stream may be taken up again at
	// the offset, on the same engine in the same incarnation. It starts no run.
	StepResume
)

// Step is what may be done next.
type Step struct {
	Kind        StepKind
	Number      uint32 // of the attempt to resume
	Endpoint    string
	Incarnation uint64
	Offset      int
}

// Next says what may be done. A new run is allowed after attempts that surely
// did not run; after an unknown one only when the request may be repeated and
// nothing was passed on, since the answers of two runs are never joined.
func (l *Life) Next() Step {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.nextLocked()
}

func (l *Life) nextLocked() Step {
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

// resumeStep returns the step that takes up the attempt's stream again. Only
// an admitted attempt with a known incarnation can be resumed.
func (l *Life) resumeStep(last *Record) (Step, bool) {
	if !last.Admitted || last.Incarnation == 0 || last.Resumes >= l.policy.Resumes {
		return Step{}, false
	}
	return Step{
		Kind:        StepResume,
		Number:      last.Number,
		Endpoint:    last.Endpoint,
		Incarnation: last.Incarnation,
		Offset:      l.passed,
	}, true
}

func (l *Life) runAllowed() bool {
	if len(l.attempts) >= l.policy.Attempts || l.sent {
		return false
	}
	if !l.policy.Once {
		return true
	}
	for i := range l.attempts {
		if !l.attempts[i].surelyNotRun() {
			return false
		}
	}
	return true
}

// Resume opens the last attempt again. It returns ErrNotAllowed unless Next
// says StepResume for it.
func (l *Life) Resume(number uint32) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	step := l.nextLocked()
	if step.Kind != StepResume || step.Number != number {
		return errors.Wrapf(ErrNotAllowed, "resume of attempt %d", number)
	}
	record := l.record(number)
	record.Open = true
	record.Resumes++
	return nil
}

// AbandonResume closes the way back to the last attempt, after its engine has
// refused the resume or is gone.
func (l *Life) AbandonResume(number uint32) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if record := l.record(number); record != nil {
		record.Resumes = l.policy.Resumes
	}
}

// Verdict says what to do with a frame.
type Verdict uint8

// Verdicts on a frame.
const (
	// VerdictPass means that the frame is the next one and may be passed on.
	VerdictPass Verdict = iota + 1
	// VerdictLate means that the frame belongs to an older or closed attempt.
	VerdictLate
	// VerdictDuplicate means that the frame's tokens were passed on before.
	VerdictDuplicate
	// VerdictGap means that tokens are missing before the frame, or that it
	// overlaps what was passed on: the attempt must be closed as broken.
	VerdictGap
)

// Accept judges a frame of the attempt that begins at offset and holds tokens.
// Any frame is the engine's word that it has admitted the attempt; one that may
// be passed on counts as passed on.
func (l *Life) Accept(number uint32, offset, tokens int) Verdict {
	l.lock.Lock()
	defer l.lock.Unlock()
	record := l.record(number)
	if record == nil {
		return VerdictLate
	}
	record.Wrote = true
	record.Admitted = true
	if !record.Open || !l.isCurrent(number) {
		return VerdictLate
	}
	if offset+tokens < l.passed || (offset < l.passed && offset+tokens == l.passed) {
		return VerdictDuplicate
	}
	if offset != l.passed {
		return VerdictGap
	}
	state := l.State()
	if state != Dispatching && state != Streaming {
		return VerdictLate
	}
	l.state.Store(uint32(Streaming))
	l.passed += tokens
	l.sent = !l.policy.Buffered
	return VerdictPass
}
