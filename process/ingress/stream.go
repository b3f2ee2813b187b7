package ingress

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/pkg/errors"
)

// forwardStream passes on each event of a run as soon as it is complete. The head is sent with the
// first event; until then the request can be retried elsewhere without the caller noticing. A run
// that continues another run's stream is passed on without its own head. Its events must come
// after the last one that the caller has, which was sent by this proxy or is named by a caller
// that resumes a stream. Otherwise the run counts as broken.
func (s *session) forwardStream(ctx context.Context, chosen plan, sent *send, number uint32, answer *exchange.Response) verdict {
	target := chosen.target
	events := newEventReader(answer, s.ingress.now)
	flusher := http.NewResponseController(s.writer)
	comments := commentMeter{since: s.ingress.now()}
	continues := s.headSent || s.route.Resumable && s.call.ResumeAfter != ""
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) {
			err = cmp.Or(s.verifyEnd(ctx, target, sent, answer), err)
		}
		if errors.Is(err, io.EOF) {
			return s.endStream(target, sent, number, answer)
		}
		if err != nil && ctx.Err() == nil && s.callerHeldUp() && !isEndless(err) {
			s.lifecycle.Fail(number, attempt.FaultBroken)
			return s.noteHeldUp(err)
		}
		if err == nil {
			err = comments.note(s.ingress.now(), event)
		}
		if err != nil {
			s.noteBrokenConnection(ctx, stageRun, target, sent, err)
			return s.breakStream(ctx, target, sent, number, err)
		}
		if continues && hasData(event) && !s.continuesAfter(id) {
			return s.breakStream(ctx, target, sent, number, errNotContinued)
		}
		s.countUsage(0)
		s.ingress.reachability.tracker.RecordData(s.ingress.now())
		target.noteHeard(s.ingress.now())
		if s.events == 0 || !sent.hasStarted(target) {
			target.noteStarted(sent, s.ingress.now())
			target.noteCachedParts(s.call.Work.Parts)
			chosen.tracked.reportAnswer(placement.StepStarted, "", target)
		}
		s.noteOrigin(target)
		s.beginStream(answer)
		if _, err := s.writer.Write(event); err != nil {
			s.lifecycle.Fail(number, attempt.FaultBroken)
			return verdictCallerEnd
		}
		if err := flusher.Flush(); err != nil {
			s.lifecycle.Fail(number, attempt.FaultBroken)
			return verdictCallerEnd
		}
		s.countEvent(sent)
		if id != "" && isVisibleASCII(id) {
			s.lastEventID = id
		} else if hasData(event) {
			s.unresumable = true // no other run can continue after this event
		}
	}
}

// countEvent counts an event that was passed on.
func (s *session) countEvent(sent *send) {
	now := s.ingress.now()
	if sent.events++; sent.events == 1 {
		sent.firstEventAt = now
	}
	if s.events++; s.events == 1 {
		s.firstEventAt = now
	}
	if sent.events == minOutputEvents {
		s.notePartStart(sent)
	}
}

// errNotContinued is returned when a resumed run does not continue after the last event.
var errNotContinued = errors.New("ingress: resumed run does not continue the stream")

// isLaterEventID reports whether an event of a resumed run comes after the last event that the
// caller has. Only increasing decimal IDs are supported.
func isLaterEventID(id, last string) bool {
	next, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	had, err := strconv.ParseUint(last, 10, 64)
	return err == nil && next > had
}

// continuesAfter reports whether an event of a later run comes after what the caller has. If no event ID is known on a
// resumable route, the caller has received only comments, so any event continues the stream: after data without an ID
// no other run is started.
func (s *session) continuesAfter(id string) bool {
	last := cmp.Or(s.lastEventID, s.call.ResumeAfter)
	return last == "" && s.route.Resumable || isLaterEventID(id, last)
}

// beginStream sends the head of the answer to the caller unless one was already sent.
func (s *session) beginStream(answer *exchange.Response) {
	if s.headSent {
		return
	}
	copyHeader(s.writer.Header(), answer.Header)
	s.headSent = true
	s.writer.WriteHeader(answer.Status)
}

// endStream records a stream that ended normally. One without any event counts as well; its head
// is sent here.
func (s *session) endStream(target *replica, sent *send, number uint32, answer *exchange.Response) verdict {
	s.beginStream(answer)
	s.noteWholeAnswer(sent)
	target.noteSuccess()
	s.lifecycle.Finish(number)
	return verdictDone
}

// breakStream ends a run whose stream was interrupted.
func (s *session) breakStream(ctx context.Context, target *replica, sent *send, number uint32, err error) verdict {
	s.lifecycle.Fail(number, attempt.FaultBroken)
	fmt.Fprintf(&s.trace, " (%s after %d events: %v)", target.name, s.events, err)
	if ctx.Err() != nil {
		return verdictCallerEnd
	}
	// Reported to the control group like an attempt without an answer.
	s.answered = false
	switch {
	case isEndless(err):
		s.noteEndless(stageRun, target, sent, err)
	case errors.Is(err, errNotContinued) || s.isReplicaFault(ctx, err):
		target.suspect(s.ingress.now())
	default:
		s.withheld = true
	}
	return verdictBroken
}
