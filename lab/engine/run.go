package engine

import (
	"context"
	"net/http"
	"sync"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
)

type runState uint8

const (
	runActive runState = iota
	runFinished
	runCancelled
	runBroken // lost in a crash or a stop
)

// run is one admitted request and what its readers may see of the answer.
type run struct {
	key          enginemodel.RunKey
	incarnation  uint64
	idempotency  string
	model        string
	chat         bool
	promptHash   uint64
	promptTokens int
	outputTokens int

	mu        sync.Mutex
	generated int
	state     runState
	handle    string        // of the exported KV cache
	changed   chan struct{} // closed at the next change; nil while nobody waits
}

func runOf(event *enginemodel.Event) *run { return event.Request.Context.(*run) }

// view is a run as a reader sees it at one moment.
type view struct {
	generated int
	state     runState
	handle    string
}

// look returns the present view and a channel that is closed at the next change.
func (r *run) look() (view, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return view{generated: r.generated, state: r.state, handle: r.handle}, r.changed
}

// wait returns a view that is past the offset or final; false if ctx ended first.
func (r *run) wait(ctx context.Context, offset int) (view, bool) {
	for {
		seen, changed := r.look()
		if seen.generated > offset || seen.state != runActive {
			return seen, true
		}
		select {
		case <-ctx.Done():
			return view{}, false
		case <-changed:
		}
	}
}

func (r *run) advance(generated int) { r.change(func() { r.generated = generated }) }

func (r *run) export(handle string) { r.change(func() { r.handle = handle }) }

func (r *run) end(state runState) { r.change(func() { r.state = state }) }

func (r *run) change(update func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update()
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// entry starts a ledger entry about the run.
func (r *run) entry(event ledger.Event) ledger.Entry {
	seen, _ := r.look()
	return ledger.Entry{
		Event:       event,
		Incarnation: r.incarnation,
		RequestID:   r.key.ID,
		Attempt:     r.key.Attempt,
		Key:         r.idempotency,
		PromptHash:  r.promptHash,
		Tokens:      seen.generated,
	}
}

// admit asks the model to admit the run's request. The started entry is in the
// ledger before anything of the run can be seen.
func (s *Server) admit(r *run, request enginemodel.Request) enginemodel.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	request.Key = r.key
	request.Context = r
	r.incarnation = s.model.Incarnation()
	admission := s.model.Admit(s.now(), request)
	if !admission.Admitted {
		if admission.Refusal != enginemodel.RefusalDuplicate {
			s.recordRefusal(r, string(admission.Refusal))
		}
		return admission.Refusal
	}
	s.runs[r.key] = r
	s.ledger.Add(r.entry(ledger.EventStarted))
	s.wakeLoop()
	return enginemodel.RefusalNone
}

func (s *Server) recordRefusal(r *run, reason string) {
	refused := r.entry(ledger.EventRefused)
	refused.Reason = reason
	s.ledger.Add(refused)
}

// endRun makes the run's end known to its readers. The caller holds mu.
func (s *Server) endRun(r *run, state runState, event ledger.Event, reason string) {
	delete(s.runs, r.key)
	s.noteWork() // whoever waited for the end may send more at once
	entry := r.entry(event)
	entry.Reason = reason
	s.ledger.Add(entry)
	r.end(state)
}

// detach tells the model that the run's reader has gone away.
func (s *Server) detach(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.incarnation == s.model.Incarnation() {
		s.model.Detach(s.now(), r.key)
	}
}

// resume finds the run that a stream is to be read from again.
func (s *Server) resume(request *engineapi.ResumeRequest) (*run, enginemodel.ResumeRefusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := enginemodel.RunKey{ID: request.RequestID, Attempt: request.Attempt}
	progress, refusal := s.model.Resume(key, request.Incarnation, request.Offset)
	if refusal != enginemodel.ResumeAllowed {
		return nil, refusal
	}
	return progress.Request.Context.(*run), enginemodel.ResumeAllowed
}

// cancelRun ends a run for its caller.
func (s *Server) cancelRun(request *engineapi.CancelRequest) enginemodel.CancelOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := s.model.Cancel(s.now(), enginemodel.RunKey{ID: request.RequestID, Attempt: request.Attempt})
	s.wakeLoop()
	return outcome
}

// abort ends the answer so that its reader sees that it was cut short.
func abort() { panic(http.ErrAbortHandler) }
