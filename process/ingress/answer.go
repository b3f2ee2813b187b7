package ingress

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// maxBufferedAnswer is how many bytes of an answer are buffered before any of it is passed on.
const maxBufferedAnswer = 64 << 10

// discardTime limits the time for reading the rest of an answer that is not passed on. Without it, a request
// that can go elsewhere would wait for a refusal that does not end.
const discardTime = 100 * time.Millisecond

// handleAnswer evaluates the head of an answer and passes the answer on. number is the attempt's
// number in the session's lifecycle, as in the functions below.
func (s *session) handleAnswer(ctx context.Context, chosen plan, sent *send, number uint32, answer *exchange.Response, reply Reply) verdict {
	target := chosen.target
	if reply.refuses() {
		s.lifecycle.Fail(number, attempt.FaultRefused)
		// Allows the connection to be reused.
		if err := answer.Discard(maxBufferedAnswer, discardTime); err != nil {
			s.noteEndless(stageRun, target, sent, err)
		}
		if reply.Misdirected {
			s.misdirected = true
			target.suspect(s.ingress.now())
		} else {
			target.noteRefusal(s.ingress.now())
		}
		return verdictNotRun
	}
	// The answer proves neither that the request has run nor that it has not; see promisesNotRun
	// for the statuses.
	if !reply.HasRequestID || isSuccess(answer.Status) && !reply.Genuine || promisesNotRun(answer.Status) {
		s.lifecycle.Fail(number, attempt.FaultBroken)
		target.noteErrorAnswer(s.ingress.now())
		return s.verdictAfterBreak(ctx)
	}
	s.lifecycle.Admit(number, 0) // the incarnation is not tracked here
	if isSuccess(answer.Status) && s.route.Kind == api.RouteStreaming {
		// Usage of a stream is counted with its first event.
		return s.forwardStream(ctx, chosen, sent, number, answer)
	}
	s.countUsage(s.ingress.now() - sent.at)
	if s.headSent {
		return s.failResume(ctx, target, number, answer)
	}
	return s.forwardWhole(ctx, target, sent, number, answer)
}

// failResume records a failed attempt: the answer to a run that was to continue a stream is an
// error, or is not a stream. The caller already has the start of the stream, to which an error
// answer cannot be appended.
func (s *session) failResume(ctx context.Context, target *replica, number uint32, answer *exchange.Response) verdict {
	s.lifecycle.Fail(number, attempt.FaultBroken)
	target.noteErrorAnswer(s.ingress.now())
	fmt.Fprintf(&s.trace, " (%s: status %d)", target.name, answer.Status)
	return s.verdictAfterBreak(ctx)
}

// verdictAfterBreak returns the verdict on an attempt without a complete answer, which is not the
// replica's fault if ctx has ended.
func (s *session) verdictAfterBreak(ctx context.Context) verdict {
	if ctx.Err() != nil {
		return verdictCallerEnd
	}
	return verdictBroken
}

// promisesNotRun reports whether callers may take a status as a promise that the request was not
// run. An answer with such a status is passed on as it is only if the replica states so
// explicitly; otherwise it is treated like any other failure.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// forwardWhole passes on an answer that is not a stream. An answer of up to maxBufferedAnswer
// bytes is buffered completely first, so that the request can be retried elsewhere if it is
// truncated.
func (s *session) forwardWhole(ctx context.Context, target *replica, sent *send, number uint32, answer *exchange.Response) verdict {
	var buffer bytes.Buffer
	if answer.Length > 0 {
		buffer.Grow(int(min(answer.Length, maxBufferedAnswer)) + bytes.MinRead) // growing by doubling ends at 128 KB
	}
	profile := s.ingress.profiles.find(s.route.Name, isSuccess(answer.Status))
	canRetry := answer.Length < 0 && s.canRetryBody(target)
	body := &bodyReader{source: answer, now: s.ingress.now, unsized: answer.Length < 0, limits: profile.limits(canRetry)}
	if s.bodyAbandoned {
		body.limits.time = 0 // the answers of two replicas are alike
	}
	_, err := io.CopyN(&buffer, body, maxBufferedAnswer)
	if body.endless && canRetry && !s.prepayRetry(ctx) {
		// The retry budget allows no second answer, so this one is read on under the wider limits.
		canRetry, body.endless, body.limits = false, false, profile.limits(false)
		_, err = io.CopyN(&buffer, body, int64(maxBufferedAnswer-buffer.Len()))
	}
	if body.endless {
		err = errBodyEndless // CopyN returns no error with the last byte
	}
	if errors.Is(err, io.EOF) {
		err = cmp.Or(s.verifyEnd(ctx, target, sent, answer), err)
	}
	switch {
	case err == nil:
		return s.forwardLong(ctx, target, sent, number, answer, body, profile, buffer.Bytes())
	case errors.Is(err, errBodyEndless):
		return s.abandonBody(ctx, target, sent, number, body, profile, canRetry)
	case !errors.Is(err, io.EOF):
		s.noteBrokenConnection(ctx, stageRun, target, sent, err)
		s.lifecycle.Fail(number, attempt.FaultBroken)
		if isEndless(err) && ctx.Err() == nil {
			s.noteEndless(stageRun, target, sent, err)
		} else {
			target.noteErrorAnswer(s.ingress.now())
		}
		fmt.Fprintf(&s.trace, " (%s: %v)", target.name, err)
		return s.verdictAfterBreak(ctx)
	}
	if answer.Status >= http.StatusInternalServerError {
		return s.saveFailure(target, number, answer, buffer.Bytes())
	}
	target.noteSuccess()
	target.noteServed(s.ingress.now(), s.ingress.now()-sent.at, sent.expected)
	profile.observe(body.size, body.took)
	s.noteWholeAnswer(sent)
	s.lifecycle.Finish(number)
	copyHeader(s.writer.Header(), answer.Header)
	s.headSent = true
	s.writer.WriteHeader(answer.Status)
	_, _ = s.writer.Write(buffer.Bytes()) // the caller may have gone
	if s.callerStalled() {
		return verdictCallerEnd
	}
	return verdictDone
}

// abandonBody ends an attempt whose body does not seem to end, before any of it was passed on. canRetry is true if
// the request may be sent to another replica. If the route has too few complete answers to judge by, the replica is
// then charged with one failure but is not avoided.
func (s *session) abandonBody(ctx context.Context, target *replica, sent *send, number uint32, body *bodyReader, profile *routeProfile, canRetry bool) verdict {
	s.lifecycle.Fail(number, attempt.FaultBroken)
	fmt.Fprintf(&s.trace, " (%s: %v)", target.name, errBodyEndless)
	if ctx.Err() != nil {
		return verdictCallerEnd
	}
	s.bodyAbandoned = true
	if canRetry && !profile.isKnown() {
		target.noteFailure()
		return verdictBroken
	}
	if !canRetry {
		profile.observeCut(s.ingress.now(), target.name, body.size, body.took)
	}
	s.noteEndless(stageRun, target, sent, errBodyEndless)
	return verdictBroken
}

// saveFailure records a failed attempt and keeps its answer, an error that the replica produced by
// running the request.
func (s *session) saveFailure(target *replica, number uint32, answer *exchange.Response, body []byte) verdict {
	target.noteErrorAnswer(s.ingress.now())
	s.lifecycle.Fail(number, attempt.FaultBroken)
	s.failure = &savedAnswer{status: answer.Status, header: answer.Header, body: body}
	fmt.Fprintf(&s.trace, " (%s: status %d)", target.name, answer.Status)
	return verdictBroken
}

// forwardLong passes on an answer that is too long to buffer.
func (s *session) forwardLong(ctx context.Context, target *replica, sent *send, number uint32, answer *exchange.Response, body *bodyReader, profile *routeProfile, buffered []byte) verdict {
	copyHeader(s.writer.Header(), answer.Header)
	s.headSent, s.unresumable = true, true
	s.writer.WriteHeader(answer.Status)
	body.limits = profile.limits(false)
	if s.bodyAbandoned {
		body.limits.time = 0
	}
	_, err := s.writer.Write(buffered)
	if err == nil {
		buffered = nil // not kept while the caller reads
		var readErr error
		readErr, err = copyAnswer(s.writer, body)
		if err == nil {
			readErr = s.verifyEnd(ctx, target, sent, answer)
			err = readErr
		}
		if readErr != nil && !isEndless(readErr) && ctx.Err() == nil && s.callerHeldUp() {
			s.lifecycle.Fail(number, attempt.FaultBroken)
			return s.noteHeldUp(readErr)
		}
		s.noteBrokenConnection(ctx, stageRun, target, sent, readErr)
		if readErr != nil && ctx.Err() == nil {
			s.noteCutBody(target, sent, body, profile, readErr)
		}
	}
	if err != nil {
		// Not sent again in any case: s.unresumable is set.
		s.lifecycle.Fail(number, attempt.FaultBroken)
		return s.verdictAfterBreak(ctx)
	}
	target.noteSuccess()
	target.noteServed(s.ingress.now(), 0, 0) // how long it takes depends on its length
	profile.observe(body.size, body.took)
	s.noteWholeAnswer(sent)
	s.lifecycle.Finish(number)
	return verdictDone
}

// noteCutBody counts an answer that broke off, or does not seem to end, as a failure of its replica.
func (s *session) noteCutBody(target *replica, sent *send, body *bodyReader, profile *routeProfile, err error) {
	if !isEndless(err) {
		target.noteFailure()
		return
	}
	if errors.Is(err, errBodyEndless) {
		profile.observeCut(s.ingress.now(), target.name, body.size, body.took)
	}
	s.noteEndless(stageRun, target, sent, err)
}

// copyBufferBytes is the size of the buffer for the rest of a long answer, one for each caller that reads
// one. With the 32 KB that net/http would use, a thousand slow callers hold 92 KB each.
const copyBufferBytes = 8 << 10

// copyAnswer copies the rest of an answer. err is the error of either side, readErr that of the
// replica's side alone.
func copyAnswer(to io.Writer, from io.Reader) (readErr, err error) {
	source := &errorRecordingReader{source: from}
	_, err = io.CopyBuffer(writerOnly{to}, source, make([]byte, copyBufferBytes))
	return source.err, err
}

// writerOnly hides the ReadFrom method of a writer, which allocates a buffer of its own.
type writerOnly struct{ io.Writer }

// errorRecordingReader records the error of its source.
type errorRecordingReader struct {
	source io.Reader
	err    error
}

func (r *errorRecordingReader) Read(buffer []byte) (int, error) {
	count, err := r.source.Read(buffer)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return count, err
}

// connectionFields are the fields that are not passed on because they concern one connection only.
// Proxy authentication, Expect and Content-Length are included: the proxy handles them for each of
// its two connections.
var connectionFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// copyHeader copies all fields that are not connection-specific. Both headers then share the
// values.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(connectionFields, name) {
			to[name] = values
		}
	}
}
