package ingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// maxHeldAnswer bounds what is held of an answer before any of it is passed on.
const maxHeldAnswer = 64 << 10

// errTimeout is the cause of a context whose request has used up its time;
// errSilent of an attempt whose replica said nothing; errTooLate of a read after
// which no time would be left to run.
var (
	errTimeout = errors.New("ingress: the request's time is over")
	errSilent  = errors.New("ingress: the replica is silent")
	errTooLate = errors.New("ingress: no time is left to run the request")
)

// leastRun is the time without which a run would only be refused by its replica:
// the way there, a place in a batch, and the first token.
const leastRun = 30 * time.Millisecond

// plan is where the next send goes.
type plan struct {
	target *replica
	// reader reads the prompt first; nil when the target does it itself.
	reader *replica
	// fetch keeps parts of the prompt that whoever reads it takes from there.
	fetch    *replica
	uncached int
	estimate time.Duration // to the first token
	placed   *placed       // nil without a control group to be told
	// deferred lets the requests go first that can be in time.
	deferred bool
	// refused says that the request goes nowhere: it would not be answered before
	// its deadline, and may come back after so long.
	refused    bool
	retryAfter time.Duration
}

// deferredPriority is the least urgent one that replicas know.
const deferredPriority = 9

// readPriority is that of a send which has the prompt read.
func (p *plan) readPriority(route *api.Route) int {
	if p.deferred {
		return deferredPriority
	}
	return route.Priority
}

// runPriority is that of a run. One that takes a read prompt over is let in
// first: there is little left to be done, and until then it keeps the memory of
// two replicas.
func (p *plan) runPriority(route *api.Route, source Source) int {
	if source.Handle != "" {
		return route.Priority
	}
	return p.readPriority(route)
}

// fetchAddress is where parts of the prompt are taken from, empty for nowhere.
func (p *plan) fetchAddress() string {
	if p.fetch == nil {
		return ""
	}
	return p.fetch.listed().Address
}

// fetchOf is where the target takes parts from: nowhere when the prompt was read
// for it elsewhere.
func (p *plan) fetchOf(source Source) string {
	if source.Handle != "" || p.reader != nil {
		return ""
	}
	return p.fetchAddress()
}

// choose decides where the next send goes; the target is nil if no replica
// takes the request.
func (s *session) choose(ctx context.Context) plan {
	s.ingress.routes() // takes in what the list says by now
	now := s.ingress.now()
	zone := s.ingress.config.Zone
	if s.call.Work.PromptTokens == 0 {
		return plan{target: s.lane.pickPlain(zone, s.excluded, now, s.random)}
	}
	if chosen, decided := s.place(ctx); decided {
		s.ingress.metrics.choices.WithLabelValues(s.lane.service, chosenByGroup).Inc()
		return chosen
	}
	s.ingress.metrics.choices.WithLabelValues(s.lane.service, chosenByProxy).Inc()
	chosen := s.chooseModel(zone, s.ingress.now())
	s.trackOwn(&chosen)
	return chosen
}

// directPenalty is how much longer a prompt counts that is read between other
// requests' tokens, which it delays: it is read at half the pace there.
const directPenalty = 2.5

// handoverCost is what moving a read prompt to another replica takes.
const handoverCost = 15 * time.Millisecond

// chooseModel compares reading the prompt where the tokens are made with reading
// it at a replica that does nothing else and moving it.
func (s *session) chooseModel(zone string, now time.Duration) plan {
	pace := s.lane.speed.tokenTime()
	slow := time.Duration(float64(pace) * directPenalty)
	whole := &wanted{roles: []api.EngineRole{api.RoleDecode, api.RoleMixed}, excluded: s.excluded}
	direct, found := s.lane.pickModel(whole, &s.call, zone, slow, now, s.random)
	if !found {
		return plan{}
	}
	readers := &wanted{roles: []api.EngineRole{api.RolePrefill}, excluded: s.excluded}
	reader, haveReader := s.lane.pickModel(readers, &s.call, zone, pace, now, s.random)
	if !haveReader || s.call.ResumeAfter != "" || s.lastEvent != "" {
		return plan{target: direct.replica, uncached: direct.uncached}
	}
	generator, _ := s.lane.pickGenerator(whole, zone, now, s.random)
	split := reader.cost + generator.cost + handoverCost
	if split < direct.cost {
		return plan{target: generator.replica, reader: reader.replica, uncached: reader.uncached, estimate: split}
	}
	return plan{target: direct.replica, uncached: direct.uncached}
}

// pickGenerator returns the replica that makes tokens fastest now.
func (l *lane) pickGenerator(w *wanted, zone string, now time.Duration, random *rand.Rand) (choice, bool) {
	return l.pickModel(w, &Call{}, zone, 0, now, random)
}

// try makes one attempt and returns how it ended, and with which replica; nil
// when none takes the request.
func (s *session) try(ctx context.Context) (verdict, *replica) {
	s.answered, s.misdirected = false, false
	chosen := s.choose(ctx)
	if ctx.Err() != nil {
		chosen.placed.note(placement.StepEnded, "", 0)
		return verdictCallerEnd, nil
	}
	if chosen.refused {
		s.comeBack = chosen.retryAfter
		return verdictNoCapacity, nil
	}
	if chosen.target == nil {
		return verdictNotRun, nil
	}
	source := Source{}
	if chosen.reader != nil {
		source = s.prefill(ctx, chosen)
		s.countPrefill(source)
		if ctx.Err() != nil {
			chosen.placed.note(placement.StepEnded, "", 0)
			return verdictCallerEnd, chosen.target
		}
		if s.tooLate() {
			chosen.placed.note(placement.StepEnded, "", 0)
			return verdictNotRun, chosen.target
		}
		s.replaceTarget(&chosen)
		source = s.heldBy(chosen.reader, source)
	}
	result := s.send(ctx, chosen, source)
	chosen.placed.note(s.stepAfter(result), chosen.target.name, 0)
	return result, chosen.target
}

// stepAfter is what the control group is told of an attempt that is over.
func (s *session) stepAfter(result verdict) placement.Step {
	switch {
	case (result == verdictBroken || result == verdictNotRun) && !s.answered:
		return placement.StepFailed
	case result == verdictNotRun && s.misdirected:
		return placement.StepMisdirected
	case result == verdictNotRun:
		return placement.StepRefused
	case result == verdictBroken:
		return placement.StepErred
	default:
		return placement.StepEnded
	}
}

// heldBy returns the source unless its reader has gone meanwhile: another replica may
// have its address, where the handle names nothing or a prompt of another request.
func (s *session) heldBy(reader *replica, source Source) Source {
	if s.lane.find(reader.name) != reader {
		return Source{}
	}
	return source
}

// replaceTarget picks another replica to make the tokens if the chosen one has
// begun to leave, or has failed, while the prompt was read.
func (s *session) replaceTarget(chosen *plan) {
	s.ingress.routes() // takes in what the list says by now
	now := s.ingress.now()
	current := s.lane.find(chosen.target.name)
	if current != nil && ready(current.listed()) && !current.isSuspect(now) {
		return
	}
	whole := &wanted{roles: []api.EngineRole{api.RoleDecode, api.RoleMixed}, excluded: s.excluded}
	if other, found := s.lane.pickGenerator(whole, s.ingress.config.Zone, now, s.random); found {
		chosen.target = other.replica
	}
}

// send lets the target run the request.
func (s *session) send(ctx context.Context, chosen plan, source Source) verdict {
	target := chosen.target
	number, err := s.life.Begin(target.name, 0)
	if err != nil {
		return verdictBroken
	}
	tokens := chosen.uncached
	if source.Handle != "" {
		tokens = 0
	}
	sent := target.begin(s.ingress.now(), tokens)
	defer target.end(sent)
	attempting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopWatch := s.watchSilence(attempting, chosen, sent, cancel)
	defer stopWatch()
	s.logSent(stageRun, target, tokens, chosen)
	answer, err := s.exchange(attempting, stageRun, target, s.request(chosen, source))
	if err != nil {
		return s.unanswered(ctx, target, number, err)
	}
	defer answer.Close()
	s.sends++
	s.answered = true
	reply := s.ingress.config.Dialect.Reply(answer.Status, answer.Header)
	target.hear(reply.Load, s.ingress.now())
	return s.judge(ctx, chosen, sent, number, answer, reply)
}

// Stages of a request in the log.
const (
	stageRead = "read"
	stageRun  = "run"
)

// logSent says where the request goes, before it does: should this process end
// meanwhile, nothing else tells.
func (s *session) logSent(stage string, to *replica, unread int, chosen plan) {
	event.RequestSent.Log(s.ingress.logger, "request", s.call.ID, "generation", s.generation,
		"stage", stage, "replica", to.name, "unread", unread, "expected_ms", chosen.estimate.Milliseconds(),
		"deferred", chosen.deferred)
}

// exchange sends the request to a replica. What comes back is the request's own answer:
// the pool holds each against the request's ID.
func (s *session) exchange(ctx context.Context, stage string, to *replica, request *exchange.Request) (*exchange.Answer, error) {
	address := to.listed().Address
	request.Identity.Repeated = s.sentTo[address]
	s.sentTo[address] = true
	answer, err := s.lane.pool.Do(ctx, address, request)
	if err == nil {
		s.noteMisplaced(stage, to, answer.Reused, answer.Surplus)
		return answer, nil
	}
	var failure *exchange.Failure
	if errors.As(err, &failure) {
		s.noteMisplaced(stage, to, failure.Reused, failure.Surplus)
	}
	return nil, err
}

// noteMisplaced tells of answers to other requests that came where this one's was due.
func (s *session) noteMisplaced(stage string, from *replica, reused bool, found []*exchange.Misplaced) {
	for _, misplaced := range found {
		s.ingress.metrics.misplaced.WithLabelValues(s.lane.service, stage).Inc()
		event.AnswerMisplaced.Log(s.ingress.logger, "request", s.call.ID, "stage", stage, "replica", from.name,
			"reused", reused, "answered", misplaced.Answered, "status", misplaced.Status)
	}
}

// request builds what the target gets.
func (s *session) request(chosen plan, source Source) *exchange.Request {
	header := s.call.Header.Clone()
	resumeAfter := s.call.ResumeAfter
	if s.lastEvent != "" {
		resumeAfter = s.lastEvent
	}
	s.ingress.config.Dialect.Attempt(header, Attempt{
		Replica:     chosen.target.name,
		Within:      s.replicaTime(),
		Priority:    chosen.runPriority(s.route, source),
		ResumeAfter: resumeAfter,
		Source:      source,
		Fetch:       chosen.fetchOf(source),
	})
	return &exchange.Request{
		Method:   s.call.Method,
		Target:   s.call.Target,
		Host:     s.call.Host,
		Header:   header,
		Body:     s.call.Body,
		Chunked:  s.call.Chunked,
		Identity: exchange.Identity{Field: s.ingress.config.Dialect.Identity(), ID: s.call.ID},
	}
}

// unanswered closes an attempt that brought no answer.
func (s *session) unanswered(ctx context.Context, target *replica, number uint32, err error) verdict {
	now := s.ingress.now()
	var failure *exchange.Failure
	sent := !errors.As(err, &failure) || failure.Sent
	fmt.Fprintf(&s.trace, " (%s: %v)", target.name, err)
	if !sent {
		s.life.Fail(number, attempt.FaultNotWritten)
		s.dials++
		if ctx.Err() == nil {
			target.suspect(now)
		}
		return verdictNotRun
	}
	s.sends++
	s.life.Fail(number, attempt.FaultBroken)
	if ctx.Err() != nil {
		return verdictCallerEnd
	}
	s.blame(target, err, now)
	return verdictBroken
}

// blame notes that a replica brought no answer. One that answered something else is
// neither silent nor gone.
func (s *session) blame(target *replica, err error, now time.Duration) {
	if isMisplaced(err) {
		s.answered = true
		target.fail()
		return
	}
	target.suspect(now)
}

func isMisplaced(err error) bool {
	var misplaced *exchange.Misplaced
	return errors.As(err, &misplaced)
}

// judge decides by the head of the answer what it means, and passes it on.
func (s *session) judge(ctx context.Context, chosen plan, sent *send, number uint32, answer *exchange.Answer, reply Reply) verdict {
	target := chosen.target
	if reply.NotRun || reply.Misdirected {
		s.life.Fail(number, attempt.FaultRefused)
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxHeldAnswer)) // lets the connection be kept
		if reply.Misdirected {
			s.misdirected = true
			target.suspect(s.ingress.now())
		}
		return verdictNotRun
	}
	if !reply.Named || isSuccess(answer.Status) && !reply.Genuine {
		s.life.Fail(number, attempt.FaultBroken)
		target.fail()
		return s.brokenUnless(ctx)
	}
	s.life.Admit(number, 0)
	if isSuccess(answer.Status) && s.route.Kind == api.RouteStreaming {
		return s.stream(ctx, chosen, sent, number, answer)
	}
	if s.headSent {
		return s.failResume(ctx, target, number, answer)
	}
	return s.whole(ctx, target, number, answer)
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

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// whole passes on an answer that is no stream. Up to the bound it is held until
// it is whole, so that one that breaks off can be tried elsewhere.
func (s *session) whole(ctx context.Context, target *replica, number uint32, answer *exchange.Answer) verdict {
	var held bytes.Buffer
	_, err := io.CopyN(&held, answer, maxHeldAnswer)
	switch {
	case err == nil:
		return s.passLong(ctx, target, number, answer, held.Bytes())
	case !errors.Is(err, io.EOF):
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
func (s *session) passLong(ctx context.Context, target *replica, number uint32, answer *exchange.Answer, begun []byte) verdict {
	copyHeader(s.writer.Header(), answer.Header)
	s.headSent, s.begun = true, true
	s.writer.WriteHeader(answer.Status)
	_, err := s.writer.Write(begun)
	if err == nil {
		_, err = io.Copy(s.writer, answer)
	}
	if err != nil {
		s.life.Fail(number, attempt.FaultBroken)
		return s.brokenUnless(ctx)
	}
	target.succeed()
	s.life.Finish(number)
	return verdictDone
}

// watchSilence ends an attempt at a replica from which nothing at all has come
// for a while, where the request may be tried elsewhere: the replica hangs, or
// its machine is gone. It returns what ends the watch.
func (s *session) watchSilence(ctx context.Context, chosen plan, sent *send, cancel context.CancelCauseFunc) func() bool {
	if !s.route.Idempotent() || s.sends+1 >= s.route.Attempts {
		return func() bool { return true }
	}
	patience := s.patience(chosen)
	timer := time.AfterFunc(patience, func() {
		target := chosen.target
		if ctx.Err() == nil && !sent.begun(target) && target.silentSince(sent.at) {
			cancel(errSilent)
		}
	})
	return timer.Stop
}

// Patience with a silent replica, as multiples of the route's objective.
const (
	patienceObjectives = 2
	minimumPatience    = 300 * time.Millisecond
	// patienceEstimates is the same as a multiple of the expected time.
	patienceEstimates = 4
)

func (s *session) patience(chosen plan) time.Duration {
	objective := time.Duration(s.route.ObjectiveMilliseconds) * time.Millisecond
	return max(patienceObjectives*objective, patienceEstimates*chosen.estimate, minimumPatience)
}

// begun reports whether the answer has begun.
func (s *send) begun(target *replica) bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	return s.started
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
