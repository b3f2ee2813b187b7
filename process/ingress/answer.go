package ingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// maxHeldAnswer bounds what is held of an answer before any of it is passed on.
const maxHeldAnswer = 64 << 10

// judge decides by the head of the answer what it means, and passes it on.
func (s *session) judge(ctx context.Context, chosen plan, sent *send, number uint32, answer *exchange.Answer, reply Reply) verdict {
	target := chosen.target
	if reply.refuses() {
		s.life.Fail(number, attempt.FaultRefused)
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxHeldAnswer)) // lets the connection be kept
		if reply.Misdirected {
			s.misdirected = true
			target.suspect(s.ingress.now())
		}
		return verdictNotRun
	}
	if !reply.Named || isSuccess(answer.Status) && !reply.Genuine || promisesNotRun(answer.Status) {
		s.life.Fail(number, attempt.FaultBroken)
		target.fail()
		return s.brokenUnless(ctx)
	}
	s.life.Admit(number, 0)
	if isSuccess(answer.Status) && s.route.Kind == api.RouteStreaming {
		// It begins with its first token.
		return s.stream(ctx, chosen, sent, number, answer)
	}
	s.countBegun(s.ingress.now() - sent.at)
	if s.headSent {
		return s.failResume(ctx, target, number, answer)
	}
	return s.whole(ctx, target, sent, number, answer)
}

// failResume ends a run that was to continue a stream and failed: the caller has the
// stream's beginning, which the answer to a failure is no part of.
func (s *session) failResume(ctx context.Context, target *replica, number uint32, answer *exchange.Answer) verdict {
	s.life.Fail(number, attempt.FaultBroken)
	target.fail()
	fmt.Fprintf(&s.trace, " (%s: status %d)", target.name, answer.Status)
	return s.brokenUnless(ctx)
}

func (s *session) brokenUnless(ctx context.Context) verdict {
	if ctx.Err() != nil {
		return verdictCallerEnd
	}
	return verdictBroken
}

// promisesNotRun reports whether a status tells callers that the request has not run and
// never will. Of a replica that does not say so itself it is a failure like any other.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// whole passes on an answer that is no stream. Up to the bound it is held until
// it is whole, so that one that breaks off can be tried elsewhere.
func (s *session) whole(ctx context.Context, target *replica, sent *send, number uint32, answer *exchange.Answer) verdict {
	var held bytes.Buffer
	_, err := io.CopyN(&held, answer, maxHeldAnswer)
	switch {
	case err == nil:
		return s.passLong(ctx, target, sent, number, answer, held.Bytes())
	case !errors.Is(err, io.EOF):
		s.noteBroken(ctx, stageRun, target, sent, err)
		s.life.Fail(number, attempt.FaultBroken)
		target.fail()
		fmt.Fprintf(&s.trace, " (%s: %v)", target.name, err)
		return s.brokenUnless(ctx)
	}
	if answer.Status >= http.StatusInternalServerError {
		return s.keepFailure(target, number, answer, held.Bytes())
	}
	target.succeed()
	s.life.Finish(number)
	copyHeader(s.writer.Header(), answer.Header)
	s.headSent = true
	s.writer.WriteHeader(answer.Status)
	_, _ = s.writer.Write(held.Bytes()) // the caller may have gone
	return verdictDone
}

// keepFailure keeps a failure that a replica answered by running the request.
func (s *session) keepFailure(target *replica, number uint32, answer *exchange.Answer, body []byte) verdict {
	target.fail()
	s.life.Fail(number, attempt.FaultBroken)
	s.failed = &answerCopy{status: answer.Status, header: answer.Header, body: body}
	fmt.Fprintf(&s.trace, " (%s: status %d)", target.name, answer.Status)
	return verdictBroken
}

// passLong passes on an answer that is too long to hold.
func (s *session) passLong(ctx context.Context, target *replica, sent *send, number uint32, answer *exchange.Answer, begun []byte) verdict {
	copyHeader(s.writer.Header(), answer.Header)
	s.headSent, s.begun = true, true
	s.writer.WriteHeader(answer.Status)
	_, err := s.writer.Write(begun)
	if err == nil {
		var readErr error
		readErr, err = copyAnswer(s.writer, answer)
		s.noteBroken(ctx, stageRun, target, sent, readErr)
	}
	if err != nil {
		s.life.Fail(number, attempt.FaultBroken)
		return s.brokenUnless(ctx)
	}
	target.succeed()
	s.life.Finish(number)
	return verdictDone
}

// copyAnswer passes the rest of an answer on; readErr is what the replica's side brought.
func copyAnswer(to io.Writer, from io.Reader) (readErr, err error) {
	source := &failingReader{source: from}
	_, err = io.Copy(to, source)
	return source.err, err
}

// failingReader remembers the error that ended its source.
type failingReader struct {
	source io.Reader
	err    error
}

func (r *failingReader) Read(buffer []byte) (int, error) {
	count, err := r.source.Read(buffer)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return count, err
}

// connectionFields concern one connection only and are not passed on.
var connectionFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// copyHeader copies what is not of one connection only.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(connectionFields, name) {
			to[name] = values
		}
	}
}
