package enginemodel

import "time"

// runRecords keeps every run that has not ended, and for a bounded time and
// number those that have, so that their streams can be resumed.
type runRecords struct {
	byKey     map[RunKey]*record
	cancelled map[RunKey]bool // cancelled before they were admitted: they never will be
	ended     []endedRun      // in the order of their expiry
	detached  int
}

type endedRun struct {
	key    RunKey
	expiry time.Duration
}

func (r *runRecords) end(now time.Duration, config *Config, ended *record) {
	ended.sequence = nil
	r.attach(ended)
	r.keep(now, config, ended.request.Key)
}

// keep holds on to what is known of a key until the retention ends or the
// bound is reached.
func (r *runRecords) keep(now time.Duration, config *Config, key RunKey) {
	r.ended = append(r.ended, endedRun{key: key, expiry: now + config.OutputRetention})
	if len(r.ended) > config.RecordLimit {
		r.forgetOldest()
	}
}

func (r *runRecords) expire(now time.Duration) {
	for len(r.ended) > 0 && r.ended[0].expiry <= now {
		r.forgetOldest()
	}
}

func (r *runRecords) forgetOldest() {
	key := r.ended[0].key
	r.ended = r.ended[1:]
	delete(r.byKey, key)
	delete(r.cancelled, key)
}

func (r *runRecords) attach(run *record) {
	if run.detachedAt != attached {
		run.detachedAt = attached
		r.detached--
	}
}

// Progress is how far a run is.
type Progress struct {
	Request   *Request
	Generated int  // output tokens that can be read
	Finished  bool // the answer is whole
	Cancelled CancelReason
}

// Progress returns how far a run is, and false if it is not known here.
func (e *Engine) Progress(key RunKey) (Progress, bool) {
	run := e.runs.byKey[key]
	if run == nil {
		return Progress{}, false
	}
	return run.progress(), true
}

func (r *record) progress() Progress {
	return Progress{Request: r.request, Generated: r.generated, Finished: r.finished, Cancelled: r.reason}
}

// ResumeRefusal says why a stream can't be resumed.
type ResumeRefusal string

// Refusals of a resume.
const (
	ResumeAllowed          ResumeRefusal = ""
	ResumeOtherIncarnation ResumeRefusal = "other_incarnation"
	ResumeUnknownRun       ResumeRefusal = "unknown_run" // never admitted, or kept no longer
	ResumeCancelled        ResumeRefusal = "cancelled"
	ResumeBadOffset        ResumeRefusal = "bad_offset" // above what was generated
)

// Resume checks that a run's stream can be read again from an offset on in the
// incarnation that ran it, and attaches the reader.
func (e *Engine) Resume(key RunKey, incarnation uint64, offset int) (Progress, ResumeRefusal) {
	run := e.runs.byKey[key]
	switch {
	case incarnation != e.incarnation:
		return Progress{}, ResumeOtherIncarnation
	case run == nil:
		return Progress{}, ResumeUnknownRun
	case run.reason != "":
		return Progress{}, ResumeCancelled
	case offset < 0 || offset > run.generated:
		return Progress{}, ResumeBadOffset
	}
	e.runs.attach(run)
	return run.progress(), ResumeAllowed
}

// Detach says that nobody reads the run's stream any more. The run goes on and
// is cancelled if no Resume comes within Config.DetachedLimit.
func (e *Engine) Detach(now time.Duration, key RunKey) {
	run := e.runs.byKey[key]
	if run == nil || run.sequence == nil || run.detachedAt != attached {
		return
	}
	run.detachedAt = now
	e.runs.detached++
}

func (e *Engine) cancelAbandoned(now time.Duration) {
	if e.runs.detached == 0 {
		return
	}
	for _, s := range append(append([]*sequence(nil), e.running...), e.waiting...) {
		since := s.record.detachedAt
		if since != attached && now-since >= e.config.DetachedLimit {
			e.cancel(now, s, CancelAbandoned)
		}
	}
}

// CancelOutcome is the answer to a cancel.
type CancelOutcome string

// Outcomes of a cancel.
const (
	// CancelNotAdmitted: the run was not admitted and now never will be, for
	// as long as Config.OutputRetention.
	CancelNotAdmitted CancelOutcome = "not_admitted"
	CancelStopped     CancelOutcome = "cancelled"
	CancelTooLate     CancelOutcome = "finished"
)

// Cancel ends a run, or keeps it from being admitted later.
func (e *Engine) Cancel(now time.Duration, key RunKey) CancelOutcome {
	run := e.runs.byKey[key]
	switch {
	case run == nil:
		if !e.runs.cancelled[key] {
			e.runs.cancelled[key] = true
			e.runs.keep(now, &e.config, key)
		}
		return CancelNotAdmitted
	case run.finished:
		return CancelTooLate
	case run.sequence != nil:
		e.cancel(now, run.sequence, CancelByCaller)
		e.note(now)
	}
	return CancelStopped
}

// cancel takes a sequence out of the queue or the batch.
func (e *Engine) cancel(now time.Duration, s *sequence, reason CancelReason) {
	var waited bool
	if e.waiting, waited = without(e.waiting, s); waited {
		e.waitingTokens -= unread(s.request)
	}
	e.running, _ = without(e.running, s)
	e.release(s)
	e.staging.forget(s.request)
	s.record.reason = reason
	e.runs.end(now, &e.config, s.record)
	e.emit(Event{Kind: EventCancelled, Request: s.request, Offset: s.generated, Reason: reason})
}

func without(sequences []*sequence, removed *sequence) ([]*sequence, bool) {
	for i, s := range sequences {
		if s == removed {
			copy(sequences[i:], sequences[i+1:])
			sequences[len(sequences)-1] = nil
			return sequences[:len(sequences)-1], true
		}
	}
	return sequences, false
}
