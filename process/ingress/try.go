package ingress

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/connection/responsecheck"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// Causes of cancelled contexts.
var (
	// errTimeout cancels a request whose deadline has passed.
	errTimeout = errors.New("ingress: request deadline exceeded")
	// errStopping cancels the requests that a planned stop no longer waits for.
	errStopping = errors.New("ingress: planned stop has reached its time limit")
	// errSilent cancels an attempt whose replica has sent nothing.
	errSilent = errors.New("ingress: replica sent no data")
	// errPartitioned cancels an attempt because this proxy reaches no replica.
	errPartitioned = errors.New("ingress: no replica is reached")
	// errTooLate cancels a prefill that would leave no time to run the request.
	errTooLate = errors.New("ingress: not enough time left to run the request")
)

// minRunTime is the shortest remaining time for which a run is started. It covers the network
// transfer, the wait for the next batch, and the first token; replicas refuse runs with less.
const minRunTime = 30 * time.Millisecond

// try makes one attempt and returns its verdict and the chosen replica, nil if none was chosen.
// The request may turn out to be quarantined after the choice.
func (s *session) try(ctx context.Context) (verdict, *replica) {
	s.answered, s.misdirected, s.connectionRefused, s.withheld = false, false, false, false
	s.confirmed = confirmedFailure{}
	s.direct = false
	return s.tryPlan(ctx, s.choose(ctx))
}

// tryPlan carries out a plan; see try.
func (s *session) tryPlan(ctx context.Context, chosen plan) (verdict, *replica) {
	if ctx.Err() != nil {
		chosen.tracked.report(placement.StepEnded, "", 0)
		return verdictCallerEnd, nil
	}
	if s.remaining() <= 0 {
		chosen.tracked.report(placement.StepEnded, "", 0)
		return verdictTooLate, nil
	}
	if chosen.quarantined {
		return verdictQuarantined, nil
	}
	if chosen.refused {
		s.capacityWait, s.closedCause = chosen.retryAfter, chosen.closedCause
		return verdictNoCapacity, nil
	}
	if chosen.target == nil {
		return verdictNotRun, nil
	}
	if _, quarantined := s.quarantineHold(); quarantined { // became known while the request waited for its placement
		chosen.tracked.report(placement.StepEnded, "", 0)
		return verdictQuarantined, chosen.target
	}
	if chosen.target.endlessRest(s.ingress.now()) > 0 && !s.headSent && s.call.ResumeAfter == "" {
		// The group's suspicion of a replica ends with any stream that it starts.
		s.replaceTarget(&chosen)
	}
	source := Source{}
	if chosen.prefiller != nil {
		source = s.prefill(ctx, chosen)
		s.countPrefill(source)
		if source.Handle == "" && s.mayPlaceDirectly(ctx, chosen) {
			return s.tryDirectly(ctx, chosen)
		}
		if ctx.Err() != nil {
			chosen.tracked.report(placement.StepEnded, "", 0)
			return verdictCallerEnd, chosen.target
		}
		if s.outOfTime() {
			chosen.tracked.report(placement.StepEnded, "", 0)
			return verdictNotRun, chosen.target
		}
		s.replaceTarget(&chosen)
		source = s.validSource(chosen.prefiller, source)
		if _, quarantined := s.quarantineHold(); quarantined {
			s.discardPrefill(chosen, source)
			return verdictQuarantined, chosen.target
		}
	}
	s.isolated = chosen.isolated
	result := s.send(ctx, chosen, source)
	chosen.tracked.reportAnswer(s.placementStep(result), chosen.target.name, chosen.target)
	return result, chosen.target
}

// mayPlaceDirectly reports whether a request whose planned prefill was not covered by the retry budget, or has failed,
// is placed once more without one. Its target was chosen to generate from a prompt that is read elsewhere: it may have
// none of the prompt cached and other prompts to read. An isolated request stays where nothing else is in flight.
func (s *session) mayPlaceDirectly(ctx context.Context, chosen plan) bool {
	return !s.direct && !s.placedDirect && !chosen.isolated && ctx.Err() == nil && !s.outOfTime()
}

// tryDirectly ends a placement whose prefill did not take place, and makes the attempt without one.
func (s *session) tryDirectly(ctx context.Context, failed plan) (verdict, *replica) {
	failed.tracked.report(placement.StepEnded, "", 0)
	s.direct = true
	chosen := s.choose(ctx)
	if chosen.prefiller != nil { // planned by a member that does not know of such requests
		chosen.tracked.report(placement.StepReadSkipped, chosen.prefiller.name, 0)
		chosen.prefiller = nil
	}
	return s.tryPlan(ctx, chosen)
}

// discardPrefill releases the prefilled prompt of a request that will not run.
func (s *session) discardPrefill(chosen plan, source Source) {
	chosen.tracked.report(placement.StepEnded, "", 0)
	if source.Handle != "" {
		s.release(source)
	}
}

// placementStep returns the step to report to the control group for a finished attempt.
func (s *session) placementStep(result verdict) placement.Step {
	switch {
	case s.withheld:
		return placement.StepEnded
	case result == verdictNotRun && s.connectionRefused:
		return placement.StepUnreachable
	case (result == verdictBroken || result == verdictNotRun) && !s.answered:
		return placement.StepFailed
	case result == verdictNotRun && s.misdirected:
		return placement.StepMisdirected
	case result == verdictNotRun:
		return placement.StepRefused
	case result == verdictBroken:
		return placement.StepAnsweredError
	default:
		return placement.StepEnded
	}
}

// validSource returns the source, or an empty one if its replica is no longer listed: another
// replica may have the address, where the handle is unknown or belongs to another request.
func (s *session) validSource(prefiller *replica, source Source) Source {
	if s.upstream.find(prefiller.name) != prefiller {
		return Source{}
	}
	return source
}

// replaceTarget picks another decode replica if the chosen one began to pause or leave, or became
// suspect, during the prefill.
func (s *session) replaceTarget(chosen *plan) {
	if chosen.isolated {
		return // the request would not be isolated on any other replica
	}
	s.ingress.routes() // applies the latest list of replicas
	now := s.ingress.now()
	current := s.upstream.find(chosen.target.name)
	if current != nil && current.maySend(now) && !current.isSuspect(now) {
		return
	}
	decoders := &replicaFilter{roles: []api.EngineRole{api.RoleDecode, api.RoleMixed}, excluded: s.excluded}
	if other, found := s.upstream.pickDecoder(decoders, s.ingress.config.Zone, now, s.random); found {
		chosen.target, chosen.placed = other.replica, false
	}
}

// send sends the request to the target and passes on its answer.
func (s *session) send(ctx context.Context, chosen plan, source Source) verdict {
	target := chosen.target
	if !target.maySend(s.ingress.now()) || !s.fitsVersion(target) || !s.obtainPermit(ctx, target) {
		s.noteWithheld(stageRun, target)
		if source.Handle != "" {
			s.release(source)
		}
		return verdictNotRun
	}
	number, err := s.lifecycle.Begin(target.name, 0)
	if err != nil {
		return verdictBroken
	}
	tokens := chosen.uncachedTokens
	if source.Handle != "" {
		tokens = 0
	}
	sent := target.beginSend(s.ingress.now(), tokens)
	sent.expected = s.expectedStep(chosen)
	defer target.endSend(sent)
	attemptContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopWatch := s.watchSilence(attemptContext, chosen, sent, cancel)
	defer stopWatch()
	defer s.watchReach(attemptContext, sent.at, cancel)()
	defer s.watchReplica(target, sent.at, cancel)()
	s.recordBegun(chosen)
	s.logSent(stageRun, target, tokens, chosen)
	answer, err := s.exchange(attemptContext, stageRun, target, s.request(chosen, source))
	if err != nil {
		s.noteBrokenConnection(attemptContext, stageRun, target, sent, err)
		return s.handleNoAnswer(ctx, target, sent, number, err)
	}
	defer answer.Close()
	s.sendCount++
	s.answered = true
	sent.bodyEnd = bodyEndOf(answer)
	s.openCompanion(target, sent, answer)
	reply := s.ingress.config.Dialect.Reply(answer.Status, answer.Header)
	target.noteAnswer(reply.ownLoad(), s.ingress.now())
	target.noteSlowness(reply.ownSlowness(), s.ingress.now())
	s.noteAlive(target, sent.at, answer, &reply)
	return s.handleAnswer(ctx, chosen, sent, number, answer, reply)
}

// Stages of a request in logs and metrics.
const (
	stagePrefill = "read"
	stageRun     = "run"
	stageRelease = "free" // of a handle
	stageStatus  = "status"
)

// logSent logs the destination before the request is sent, so that the log shows it even if this
// process crashes in the meantime.
func (s *session) logSent(stage string, to *replica, uncachedTokens int, chosen plan) {
	event.RequestSent.Log(s.ingress.logger, "request", s.call.ID, "generation", s.generation,
		"stage", stage, "replica", to.name, "unread", uncachedTokens, "expected_ms", chosen.estimate.Milliseconds(),
		"deferred", chosen.deferred, "software", to.spec().SoftwareVersion, "after", cmp.Or(s.lastEventID, s.call.ResumeAfter), "resumes", s.call.Resumes)
}

// exchange sends the request to a replica. The pool compares the ID in each answer with the
// request's ID, so that no answer to another request is returned. Pauses and departures that any
// of the received answers announce are recorded.
func (s *session) exchange(ctx context.Context, stage string, to *replica, request *exchange.Request) (*exchange.Response, error) {
	address := to.spec().Address
	request.Identity.Repeated = s.contacted[address]
	s.contacted[address] = true
	request.BeforeSend = s.ingress.beforeSend(to.holdoff, s.takePermit(to.name))
	request.OnLateResponse = func(status int, header http.Header) { s.recordHoldoff(stage, to.holdoff, status, header) }
	sentAt := s.ingress.now()
	answer, err := s.upstream.pool.Do(ctx, address, request)
	if err == nil {
		s.recordReached(answer)
		s.recordUnmatched(stage, to, answer.Reused, answer.Unmatched)
		reply := s.ingress.config.Dialect.Reply(answer.Status, answer.Header)
		s.applyHoldoff(stage, to.holdoff, answer.Status, &reply)
		s.applyLimit(to.holdoff, sentAt, &reply)
		return answer, nil
	}
	var failure *exchange.Failure
	if errors.As(err, &failure) {
		s.recordUnmatched(stage, to, failure.Reused, failure.Unmatched)
	}
	if errors.Is(err, responsecheck.ErrInvalid) {
		s.ingress.metrics.invalidAnswers.WithLabelValues(s.upstream.service, stage).Inc()
		event.AnswerInvalid.Log(s.ingress.logger, "request", s.call.ID, "route", s.route.Name, "stage", stage, "replica", to.incarnation(),
			"after_ms", (s.ingress.now() - sentAt).Milliseconds(), "err", err)
	}
	return nil, err
}

// recordUnmatched logs and counts unmatched responses: those that arrived before this request's
// answer and name another request or none.
func (s *session) recordUnmatched(stage string, from *replica, reused bool, answers []*exchange.UnmatchedResponse) {
	for _, unmatched := range answers {
		s.ingress.metrics.unmatchedResponses.WithLabelValues(s.upstream.service, stage).Inc()
		event.ForeignAnswer.Log(s.ingress.logger, "request", s.call.ID, "stage", stage, "replica", from.name,
			"reused", reused, "answered", unmatched.RequestID, "status", unmatched.Status)
		s.recordHoldoff(stage, from.holdoff, unmatched.Status, unmatched.Header)
	}
}

// request builds the HTTP request for the target.
func (s *session) request(chosen plan, source Source) *exchange.Request {
	header := s.call.Header.Clone()
	resumeAfter := s.call.ResumeAfter
	if s.lastEventID != "" {
		resumeAfter = s.lastEventID
	}
	s.ingress.config.Dialect.Attempt(header, Attempt{
		Replica:      chosen.target.name,
		TimeLimit:    s.replicaTimeout(),
		Priority:     chosen.runPriority(s.priority, source),
		ResumeAfter:  resumeAfter,
		Source:       source,
		FetchAddress: chosen.runFetchAddress(source),
	})
	return &exchange.Request{
		Method:   s.call.Method,
		Target:   s.call.Target,
		Host:     s.call.Host,
		Header:   header,
		Body:     s.call.Body,
		Chunked:  s.call.Chunked,
		Identity: exchange.Identity{Field: s.ingress.config.Dialect.IdentityField(), ID: s.call.ID},
	}
}

// handleNoAnswer records an attempt that received no answer and returns its verdict.
func (s *session) handleNoAnswer(ctx context.Context, target *replica, run *send, number uint32, err error) verdict {
	now := s.ingress.now()
	var failure *exchange.Failure
	sent := !errors.As(err, &failure) || failure.Sent
	fmt.Fprintf(&s.trace, " (%s: %v)", target.name, err)
	if !sent {
		s.lifecycle.Fail(number, attempt.FaultNotWritten)
		if errors.Is(err, errWithheld) {
			s.noteWithheld(stageRun, target)
			return verdictNotRun
		}
		s.dialFailures++
		if ctx.Err() != nil {
			return verdictCallerEnd // a disconnected caller says nothing about the replica
		}
		if !s.isReplicaFault(ctx, err) {
			s.withheld = true
			return verdictNotRun
		}
		s.connectionRefused = errors.Is(err, syscall.ECONNREFUSED)
		target.suspect(now)
		return verdictNotRun
	}
	s.sendCount++
	s.lifecycle.Fail(number, attempt.FaultBroken)
	if ctx.Err() != nil {
		return verdictCallerEnd
	}
	s.answered = isUnusable(err)
	if !s.answered && !s.isReplicaFault(ctx, err) {
		s.withheld = true
		return verdictBroken
	}
	s.noteUnanswered(target, err, now)
	if isEndless(err) {
		s.noteEndless(stageRun, target, run, err)
	}
	return verdictBroken
}

// noteUnanswered records that a replica did not answer the request. One that sent an unusable response
// instead counts as failed but not as suspect, since it is reachable.
func (s *session) noteUnanswered(target *replica, err error, now time.Duration) {
	if isUnusable(err) {
		target.noteErrorAnswer(now)
		return
	}
	target.suspect(now)
}

// isUnusable reports whether a replica responded to a request, but with the answer to another one or with an
// invalid response. Whether it has run the request is unknown.
func isUnusable(err error) bool {
	var unmatched *exchange.UnmatchedResponse
	return errors.As(err, &unmatched) || errors.Is(err, responsecheck.ErrInvalid)
}

// watchSilence cancels an attempt if its replica has sent nothing at all for some time and the
// request may be retried elsewhere: the replica hangs or its machine is gone. The returned
// function stops the watch.
func (s *session) watchSilence(ctx context.Context, chosen plan, sent *send, cancel context.CancelCauseFunc) func() bool {
	if !s.route.Idempotent() || s.sendCount+1 >= s.route.Attempts {
		return func() bool { return true }
	}
	timeout := s.answerTimeout(chosen)
	timer := time.AfterFunc(timeout, func() {
		target := chosen.target
		if ctx.Err() == nil && !sent.hasStarted(target) && target.silentSince(sent.at) {
			cancel(errSilent)
		}
	})
	return timer.Stop
}

// Timeout for the first data from a replica: the largest of answerTimeoutObjectives times the
// route's objective, answerTimeoutEstimates times the estimated time to the first token, and
// minAnswerTimeout.
const (
	answerTimeoutObjectives = 2
	minAnswerTimeout        = 300 * time.Millisecond
	answerTimeoutEstimates  = 4
)

func (s *session) answerTimeout(chosen plan) time.Duration {
	objective := time.Duration(s.route.ObjectiveMilliseconds) * time.Millisecond
	return max(answerTimeoutObjectives*objective, answerTimeoutEstimates*chosen.estimate, minAnswerTimeout)
}

const (
	// silentReplicaTime is how long a replica may send nothing until a connection is opened to verify
	// that it is there. verifyTimeout limits opening it. A sound replica may be silent for their sum.
	silentReplicaTime = 1500 * time.Millisecond
	verifyTimeout     = time.Second
)

// watchReplica cancels an attempt that may be sent again, or whose stream may be resumed, once its
// replica sends nothing at all and takes no connections: its machine is gone. The returned function
// ends the watch.
func (s *session) watchReplica(target *replica, sentAt time.Duration, cancel context.CancelCauseFunc) (stop func()) {
	if !s.route.Idempotent() || s.sendCount+1 >= s.route.Attempts {
		return func() {}
	}
	ctx, end := context.WithCancel(context.Background())
	go func() {
		for pause.Sleep(ctx, max(silentReplicaTime-target.silentFor(s.ingress.now(), sentAt), minVerifyInterval)) {
			if !target.beginVerifying(s.ingress.now(), sentAt, silentReplicaTime) {
				continue
			}
			connected := s.ingress.connects(ctx, target.spec().Address, verifyTimeout)
			if !connected && ctx.Err() == nil && target.silentFor(s.ingress.now(), sentAt) >= verifyTimeout {
				cancel(errSilent)
				return
			}
		}
	}()
	return end
}

// minVerifyInterval keeps the watch from polling.
const minVerifyInterval = 50 * time.Millisecond

// hasStarted reports whether the answer has started.
func (s *send) hasStarted(target *replica) bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	return s.started
}
