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

// maxHandleBytes bounds the answer to a prefill.
const maxHandleBytes = 64 << 10

// grantRead asks the shared budget for a read. The first read that a replica
// takes up costs nothing, so it leaves freely; but once refusals have overdrawn
// the budget, only to readers that have hardly failed lately. Later reads cost a
// retry however they end.
func (s *session) grantRead(reader *replica) bool {
	now := s.ingress.now()
	granted := reader.reliable() || !s.upstream.budget.Overdrawn(now)
	if s.prefillCount > 0 {
		granted = s.upstream.budget.Withdraw(now)
	}
	if !granted {
		s.trace.WriteString(" read_budget")
		s.ingress.metrics.retriesRefused.WithLabelValues(s.upstream.service).Inc()
	}
	return granted
}

// prefill has the reader read the prompt and returns where it is kept; empty
// when that failed, after which the target reads it itself. A prefill is no run
// of the request: it may fail in any way and harms nothing. The first one costs
// a retry of the budget only if it is refused.
func (s *session) prefill(ctx context.Context, chosen plan) Source {
	if !chosen.prefiller.takes(s.ingress.now()) {
		s.withhold(stagePrefill, chosen.prefiller)
		chosen.tracked.note(placement.StepUnread, chosen.prefiller.name, 0)
		return Source{}
	}
	if !s.grantRead(chosen.prefiller) {
		chosen.tracked.note(placement.StepUnread, chosen.prefiller.name, 0)
		return Source{}
	}
	s.prefillCount++
	source, refused := s.read(ctx, chosen)
	if refused && s.prefillCount == 1 {
		s.upstream.budget.Force(s.ingress.now())
	}
	return source
}

// notSent reports whether a send that failed never reached its replica.
func notSent(err error) bool {
	var failure *exchange.Failure
	return errors.As(err, &failure) && !failure.Sent
}

// read sends the prompt to its reader; refused says that the reader did not take it
// up, or that nobody knows: the run that follows may then count as a second send. A
// reader that answered with a failure of its own has taken it up.
func (s *session) read(ctx context.Context, chosen plan) (source Source, refused bool) {
	reader, uncached := chosen.prefiller, chosen.uncachedTokens
	began := s.ingress.now()
	sent := reader.begin(began, uncached)
	defer reader.end(sent)
	request := s.request(chosen, Source{})
	s.ingress.config.Dialect.Attempt(request.Header, Attempt{
		Replica:  reader.name,
		Within:   s.replicaTimeout(),
		Priority: chosen.prefillPriority(s.priority),
		Prefill:  true,
		Fetch:    chosen.fetchAddress(),
	})
	reading, cancel := context.WithTimeoutCause(ctx, s.readPatience(chosen), errSilent)
	defer cancel()
	reading, cancelLate := context.WithTimeoutCause(reading, s.remaining()-s.ingress.config.Timeouts.Transit-minRunTime, errTooLate)
	defer cancelLate()
	s.logSent(stagePrefill, reader, uncached, chosen)
	answer, err := s.exchange(reading, stagePrefill, reader, request)
	if err != nil {
		s.noteBroken(reading, stagePrefill, reader, sent, err)
		fmt.Fprintf(&s.trace, " prefill(%s: %v)", reader.name, err)
		if ctx.Err() != nil || context.Cause(reading) == errTooLate {
			return Source{}, false // nothing follows it
		}
		return Source{}, s.readUnanswered(chosen, err)
	}
	defer answer.Close()
	handle, refused := s.takeHandle(chosen, answer, began)
	if handle == "" {
		return Source{}, refused
	}
	source = Source{Replica: reader.name, Address: reader.listed().Address, Handle: handle}
	if ctx.Err() != nil {
		s.release(source)
		return Source{}, false
	}
	return source, false
}

// readUnanswered notes a read that brought no answer, and reports whether the reader may
// not have taken it up.
func (s *session) readUnanswered(chosen plan, err error) (refused bool) {
	if errors.Is(err, errWithheld) {
		s.withhold(stagePrefill, chosen.prefiller)
		chosen.tracked.note(placement.StepUnread, chosen.prefiller.name, 0)
		return false
	}
	s.noteUnanswered(chosen.prefiller, err, s.ingress.now())
	if isForeign(err) {
		chosen.tracked.note(placement.StepUnread, chosen.prefiller.name, 0)
		return true
	}
	step := placement.StepFailed
	if errors.Is(err, syscall.ECONNREFUSED) {
		step = placement.StepGone
	}
	chosen.tracked.note(step, chosen.prefiller.name, 0)
	return !notSent(err)
}

// takeHandle returns the handle that the answer to a read names; empty where it names
// none, with whether the reader did not take the read up.
func (s *session) takeHandle(chosen plan, answer *exchange.Answer, began time.Duration) (handle string, refused bool) {
	reader, now := chosen.prefiller, s.ingress.now()
	reply := s.ingress.config.Dialect.Reply(answer.Status, answer.Header)
	reader.hear(reply.ownLoad(), now)
	s.noteAnswer(reader, began, answer, &reply)
	body, err := io.ReadAll(io.LimitReader(answer, maxHandleBytes))
	if err != nil || answer.Status != http.StatusOK || !reply.Named {
		fmt.Fprintf(&s.trace, " prefill(%s: status %d)", reader.name, answer.Status)
		reader.fail()
		step := placement.StepUnread
		if reply.Misdirected {
			reader.suspect(now)
			step = placement.StepMisdirected
		}
		if reply.Asks.RetryAfter > 0 {
			step = placement.StepRefused // the group keeps others' reads off it, too
		}
		chosen.tracked.note(step, reader.name, 0)
		return "", !reply.Named || reply.refuses()
	}
	handle, err = s.ingress.config.Dialect.Handle(body)
	if err == nil && !isVisibleASCII(handle) {
		err = errHandle
	}
	if err != nil {
		fmt.Fprintf(&s.trace, " prefill(%s: %v)", reader.name, err)
		chosen.tracked.note(placement.StepUnread, reader.name, 0)
		return "", true
	}
	s.noteRead(chosen, now-began)
	return handle, false
}

// errHandle says that a replica named something as a handle that cannot be one.
var errHandle = errors.New("ingress: handle with other than visible characters")

// isPlain reports whether a replica's word can stand in the head of a request: with a line
// end in it, it would add to the request what no caller sent.
func isVisibleASCII(word string) bool {
	return strings.IndexFunc(word, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

// noteRead learns from a read that its reader has done.
func (s *session) noteRead(chosen plan, took time.Duration) {
	reader, uncached := chosen.prefiller, chosen.uncachedTokens
	reader.succeed()
	reader.noteParts(s.call.Work.Parts)
	chosen.tracked.note(placement.StepRead, "", reader.told())
	s.upstream.speed.learn(uncached, took)
	s.ingress.metrics.prefillSeconds.WithLabelValues(s.upstream.service).Observe(took.Seconds())
	fmt.Fprintf(&s.trace, " prefill(%s: %d tokens in %s)", reader.name, uncached, took.Round(time.Millisecond))
}

func (s *session) countPrefill(source Source) {
	outcome := prefillRead
	if source.Handle == "" {
		outcome = prefillFailed
	}
	s.ingress.metrics.prefills.WithLabelValues(s.upstream.service, outcome).Inc()
}

// Patience with a replica that reads a prompt: a read harms nothing when it is
// given up, and the request is then read where it runs.
const (
	readPatienceFactor = 4
	minimumReadTime    = 1500 * time.Millisecond
)

func (s *session) readPatience(chosen plan) time.Duration {
	return max(time.Duration(readPatienceFactor*float64(chosen.estimate)), minimumReadTime)
}

// releaseTimeout bounds the freeing of a handle.
const releaseTimeout = time.Second

// release frees a handle that nobody will take. The call has no ID, so that it takes a
// connection of its own. A replica that pauses or leaves is not called: the handle lapses.
func (s *session) release(source Source) {
	asks := s.ingress.upstreams.holdoffs.Find(source.Replica)
	if asks.State(s.ingress.now()) != holdoff.Open {
		return
	}
	header := http.Header{}
	method, target := s.ingress.config.Dialect.Release(header, source.Replica, source.Handle)
	lane := s.upstream
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		answer, err := lane.pool.Do(ctx, source.Address, &exchange.Request{
			Method: method, Target: target, Host: source.Address, Header: header,
			Permit: s.ingress.permit(asks),
		})
		if err != nil {
			return // it lapses by itself
		}
		s.hearAsks(stageRelease, asks, answer.Status, answer.Header)
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxHandleBytes))
		answer.Close()
	}()
}
