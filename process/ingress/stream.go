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

// stream passes on the events of a run as each of them is whole. The head goes
// out with the first event: until then the request can be tried elsewhere
// without the caller noticing. A run that continues another one's stream goes
// on under the first one's head, as long as its events come after those that the
// caller has, be it from this proxy or from the stream that it takes up itself.
func (s *session) stream(ctx context.Context, chosen plan, sent *send, number uint32, answer *exchange.Answer) verdict {
	target := chosen.target
	events := newEventReader(answer)
	flusher := http.NewResponseController(s.writer)
	continues := s.headSent || s.route.Resumable && s.call.ResumeAfter != ""
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) {
			return s.endStream(target, number, answer)
		}
		if err != nil {
			s.noteBroken(ctx, stageRun, target, sent, err)
			return s.breakStream(ctx, target, number, err)
		}
		if continues && hasData(event) && !comesAfter(id, cmp.Or(s.lastEvent, s.call.ResumeAfter)) {
			return s.breakStream(ctx, target, number, errNotContinued)
		}
		s.countBegun(0)
		if s.events == 0 || !sent.begun(target) {
			target.start(sent, s.ingress.now())
			target.noteParts(s.call.Work.Parts)
			chosen.placed.note(placement.StepStarted, "", target.told())
		}
		s.beginStream(answer)
		if _, err := s.writer.Write(event); err != nil {
			s.life.Fail(number, attempt.FaultBroken)
			return verdictCallerEnd
		}
		if err := flusher.Flush(); err != nil {
			s.life.Fail(number, attempt.FaultBroken)
			return verdictCallerEnd
		}
		sent.events++
		if s.events++; s.events == 1 {
			s.firstAt = s.ingress.now()
		}
		if id != "" && isPlain(id) {
			s.lastEvent = id
		} else if hasData(event) {
			s.begun = true // no other run can be told to go on behind it
		}
	}
}

// errNotContinued says that a resumed run does not go on behind the last event.
var errNotContinued = errors.New("ingress: resumed run does not continue the stream")

// comesAfter reports whether an event of a resumed run comes after the last one that the
// caller has. The IDs of a stream rise; others prove nothing.
func comesAfter(id, last string) bool {
	next, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	had, err := strconv.ParseUint(last, 10, 64)
	return err == nil && next > had
}

// beginStream sends the head of the first run.
func (s *session) beginStream(answer *exchange.Answer) {
	if s.headSent {
		return
	}
	copyHeader(s.writer.Header(), answer.Header)
	s.headSent = true
	s.writer.WriteHeader(answer.Status)
}

func (s *session) endStream(target *replica, number uint32, answer *exchange.Answer) verdict {
	s.beginStream(answer)
	target.succeed()
	s.life.Finish(number)
	return verdictDone
}

// breakStream ends a run whose stream broke off.
func (s *session) breakStream(ctx context.Context, target *replica, number uint32, err error) verdict {
	s.life.Fail(number, attempt.FaultBroken)
	fmt.Fprintf(&s.trace, " (%s after %d events: %v)", target.name, s.events, err)
	if ctx.Err() != nil {
		return verdictCallerEnd
	}
	s.answered = false
	target.suspect(s.ingress.now())
	return verdictBroken
}
