package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/pkg/errors"
)

// maxHandleBytes is how many bytes of the answer to a prefill are read. The answer contains a
// handle, an opaque string by which another replica fetches the prefilled prompt.
const maxHandleBytes = 64 << 10

// prefill sends the prompt to the prefill replica and returns where the result is kept; empty on
// failure, in which case the target prefills it itself. A prefill is not a run of the request, so
// any failure is harmless. It is sent only if the retry budget covers its refusal.
func (s *session) prefill(ctx context.Context, chosen plan) Source {
	if !chosen.prefiller.maySend(s.ingress.now()) {
		s.noteWithheld(stagePrefill, chosen.prefiller)
		chosen.tracked.report(placement.StepReadSkipped, chosen.prefiller.name, 0)
		return Source{}
	}
	charge, covered := s.coverPrefill(ctx, chosen.prefiller, chosen.uncachedTokens)
	if !covered {
		chosen.tracked.report(placement.StepReadSkipped, chosen.prefiller.name, 0)
		return Source{}
	}
	s.prefillCount++
	source, refused := s.sendPrefill(ctx, chosen)
	s.settlePrefill(charge, refused)
	return source
}

// notSent reports whether a failed send never reached its replica.
func notSent(err error) bool {
	var failure *exchange.Failure
	return errors.As(err, &failure) && !failure.Sent
}

// sendPrefill sends the prompt to the prefill replica. refused is true if the replica did not
// accept it, or if it was sent and that is unknown: the run that follows may then count as a
// second send of the request. A replica that answered with an error of its own has accepted it.
func (s *session) sendPrefill(ctx context.Context, chosen plan) (source Source, refused bool) {
	prefiller, uncachedTokens := chosen.prefiller, chosen.uncachedTokens
	startedAt := s.ingress.now()
	sent := prefiller.beginSend(startedAt, uncachedTokens)
	defer prefiller.endSend(sent)
	request := s.request(chosen, Source{})
	s.ingress.config.Dialect.Attempt(request.Header, Attempt{
		Replica:      prefiller.name,
		TimeLimit:    s.replicaTimeout(),
		Priority:     chosen.prefillPriority(s.priority),
		Prefill:      true,
		FetchAddress: chosen.fetchAddress(),
	})
	prefillContext, cancel := context.WithTimeoutCause(ctx, s.prefillTimeout(chosen), errSilent)
	defer cancel()
	prefillContext, cancelLate := context.WithTimeoutCause(prefillContext, s.remaining()-s.ingress.config.Timeouts.Transit-minRunTime, errTooLate)
	defer cancelLate()
	prefillContext, cancelUnreached := context.WithCancelCause(prefillContext)
	defer cancelUnreached(nil)
	defer s.watchReach(prefillContext, startedAt, cancelUnreached)()
	s.logSent(stagePrefill, prefiller, uncachedTokens, chosen)
	answer, err := s.exchange(prefillContext, stagePrefill, prefiller, request)
	if err != nil {
		s.noteBrokenConnection(prefillContext, stagePrefill, prefiller, sent, err)
		fmt.Fprintf(&s.trace, " prefill(%s: %v)", prefiller.name, err)
		if ctx.Err() != nil || context.Cause(prefillContext) == errTooLate {
			return Source{}, false // no run follows
		}
		if isEndless(err) {
			s.noteEndless(stagePrefill, prefiller, sent, err)
		}
		return Source{}, s.handlePrefillError(ctx, chosen, err)
	}
	defer answer.Close()
	handle, refused := s.readHandle(chosen, sent, answer, startedAt)
	if handle == "" {
		return Source{}, refused
	}
	source = Source{Replica: prefiller.name, Address: prefiller.spec().Address, Handle: handle}
	if ctx.Err() != nil {
		s.release(source)
		return Source{}, false
	}
	return source, false
}

// handlePrefillError records a prefill that received no answer. refused is true if the prefill was
// sent, so that it is unknown whether the replica accepted it.
func (s *session) handlePrefillError(ctx context.Context, chosen plan, err error) (refused bool) {
	if errors.Is(err, errWithheld) {
		s.noteWithheld(stagePrefill, chosen.prefiller)
		chosen.tracked.report(placement.StepReadSkipped, chosen.prefiller.name, 0)
		return false
	}
	if !isUnusable(err) && !s.isReplicaFault(ctx, err) {
		chosen.tracked.report(placement.StepReadSkipped, chosen.prefiller.name, 0)
		return !notSent(err)
	}
	s.noteUnanswered(chosen.prefiller, err, s.ingress.now())
	if isUnusable(err) {
		chosen.tracked.report(placement.StepReadSkipped, chosen.prefiller.name, 0)
		return true
	}
	step := placement.StepFailed
	if errors.Is(err, syscall.ECONNREFUSED) {
		step = placement.StepUnreachable
	}
	chosen.tracked.report(step, chosen.prefiller.name, 0)
	return !notSent(err)
}

// readHandle returns the handle in the answer to a prefill. If there is no valid handle, it is
// empty, and refused is true unless the replica is known to have accepted the prefill.
func (s *session) readHandle(chosen plan, sent *send, answer *exchange.Response, startedAt time.Duration) (handle string, refused bool) {
	prefiller, now := chosen.prefiller, s.ingress.now()
	reply := s.ingress.config.Dialect.Reply(answer.Status, answer.Header)
	prefiller.noteAnswer(reply.ownLoad(), now)
	prefiller.noteSlowness(reply.ownSlowness(), now)
	s.noteAlive(prefiller, startedAt, answer, &reply)
	body, err := readWhole(&rateCheckedReader{source: answer, now: s.ingress.now}, maxHandleBytes)
	if isEndless(err) {
		fmt.Fprintf(&s.trace, " prefill(%s: %v)", prefiller.name, err)
		s.noteEndless(stagePrefill, prefiller, sent, err)
		chosen.tracked.report(placement.StepFailed, prefiller.name, 0)
		return "", true
	}
	if err != nil || answer.Status != http.StatusOK || !reply.HasRequestID {
		fmt.Fprintf(&s.trace, " prefill(%s: status %d)", prefiller.name, answer.Status)
		prefiller.noteErrorAnswer(now)
		step := placement.StepReadSkipped
		if reply.Misdirected {
			prefiller.suspect(now)
			step = placement.StepMisdirected
		}
		if reply.Holdoff.RetryAfter > 0 {
			step = placement.StepRefused // so that other requests' prefills are not sent to it either
		}
		chosen.tracked.reportAnswer(step, prefiller.name, prefiller)
		return "", !reply.HasRequestID || reply.refuses()
	}
	handle, err = s.ingress.config.Dialect.Handle(body)
	if err == nil && !isVisibleASCII(handle) {
		err = errHandle
	}
	if err != nil {
		fmt.Fprintf(&s.trace, " prefill(%s: %v)", prefiller.name, err)
		chosen.tracked.report(placement.StepReadSkipped, prefiller.name, 0)
		return "", true
	}
	s.notePrefilled(chosen, now-startedAt)
	return handle, false
}

// readWhole reads a body of at most limit bytes. It returns errHandleTooLarge for a larger one.
func readWhole(from io.Reader, limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(from, int64(limit)+1))
	if err == nil && len(body) > limit {
		return nil, errHandleTooLarge
	}
	return body, err
}

// errHandle is returned for a handle that contains invalid characters.
var errHandle = errors.New("ingress: prefill handle contains a character other than visible ASCII")

// isVisibleASCII reports whether a value from a replica can be placed in a request head. A line
// break in the value would add fields, or a request, that no caller sent.
func isVisibleASCII(value string) bool {
	return strings.IndexFunc(value, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

// notePrefilled updates the estimates after a successful prefill.
func (s *session) notePrefilled(chosen plan, took time.Duration) {
	prefiller, uncachedTokens := chosen.prefiller, chosen.uncachedTokens
	prefiller.noteSuccess()
	prefiller.noteServed(s.ingress.now(), took, chosen.estimate)
	prefiller.noteCachedParts(s.call.Work.Parts)
	chosen.tracked.reportAnswer(placement.StepRead, "", prefiller)
	s.upstream.speed.observe(uncachedTokens, took)
	s.ingress.metrics.prefillSeconds.WithLabelValues(s.upstream.service).Observe(took.Seconds())
	fmt.Fprintf(&s.trace, " prefill(%s: %d tokens in %s)", prefiller.name, uncachedTokens, took.Round(time.Millisecond))
}

// countPrefill counts a prefill in the metrics; source is empty if it failed.
func (s *session) countPrefill(source Source) {
	outcome := prefillSucceeded
	if source.Handle == "" {
		outcome = prefillFailed
	}
	s.ingress.metrics.prefills.WithLabelValues(s.upstream.service, outcome).Inc()
}

// Timeout of a prefill. Abandoning one is harmless: the prompt is then prefilled where the
// request runs.
const (
	prefillTimeoutFactor = 4
	minPrefillTimeout    = 1500 * time.Millisecond
)

// prefillTimeout returns how long to wait for the answer to a prefill.
func (s *session) prefillTimeout(chosen plan) time.Duration {
	return max(time.Duration(prefillTimeoutFactor*float64(chosen.estimate)), minPrefillTimeout)
}

// releaseTimeout limits the release of a handle.
const releaseTimeout = time.Second

// release frees a handle that will not be used. The request has no ID by which its answer could be
// recognized, so the pool sends it on a new connection. A replica that pauses, is leaving or has a
// limit is not contacted; the handle expires.
func (s *session) release(source Source) {
	pauseState := s.ingress.upstreams.holdoffs.Find(source.Replica)
	if pauseState.State(s.ingress.now()) != holdoff.Open || pauseState.IsLimited() {
		return
	}
	header := http.Header{}
	method, target := s.ingress.config.Dialect.Release(header, source.Replica, source.Handle)
	upstream := s.upstream
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		answer, err := upstream.pool.Do(ctx, source.Address, &exchange.Request{
			Method: method, Target: target, Host: source.Address, Header: header,
			BeforeSend: s.ingress.beforeSend(pauseState, noPermit),
		})
		if err != nil {
			return // the handle expires by itself
		}
		s.recordHoldoff(stageRelease, pauseState, answer.Status, answer.Header)
		if err := answer.Discard(maxBufferedAnswer, discardTime); err != nil {
			upstream.fleet.noteEndless(source.Replica, s.ingress.now())
		}
		answer.Close()
	}()
}
