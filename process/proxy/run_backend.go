package proxy

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/connection/upstream"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/attempt"
)

// run sees the request through to its end; nil after a whole answer.
func (c *backendCall) run(ctx context.Context) *failure {
	random := newRandom()
	var last *failure
	for retries := 0; ; retries++ {
		if ctx.Err() != nil {
			return c.interrupted(ctx)
		}
		if c.sent || c.life.Next().Kind != attempt.StepRun {
			return c.giveUp(last)
		}
		if last != nil && !c.retryAllowed(ctx, last, retries, random) {
			return c.giveUp(last)
		}
		last = c.runOnce(ctx, random)
		if last == nil {
			return nil
		}
		if last.final {
			return c.giveUp(last)
		}
	}
}

func (c *backendCall) retryAllowed(ctx context.Context, last *failure, retries int, random *rand.Rand) bool {
	if retries > c.proxy.config.Limits.Attempts {
		return false
	}
	if last.free {
		return true
	}
	delay, fits := c.proxy.config.Backoff.Delay(retries-1, c.left(), random)
	if !fits || !c.lane.budget.Withdraw() {
		return false
	}
	c.proxy.metrics.retries.Inc()
	return pause.Sleep(ctx, delay)
}

// left is how long the caller still waits, as that of a call.
func (c *backendCall) left() time.Duration { return c.endsAt - c.proxy.clock() }

func (c *backendCall) giveUp(last *failure) *failure {
	given := finalFailure(last, c.life.GiveUp())
	if given.ran == attempt.RanNo && given.status == http.StatusBadGateway {
		given.status = http.StatusServiceUnavailable
		given.retryAfter = time.Second
	}
	return given
}

func (c *backendCall) interrupted(ctx context.Context) *failure {
	if c.left() <= 0 || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.giveUp(&failure{
			status:  http.StatusGatewayTimeout,
			kind:    typeServer,
			code:    codeDeadlineExceeded,
			message: "the deadline has passed",
		})
	}
	return c.giveUp(&failure{status: statusClientClosed, kind: typeInvalid, code: codeCancelled, message: "the caller has gone"})
}

// zonePenalty is how many requests in flight the own zone is worth.
const zonePenalty = 1

// pick returns the back end with the least work of two drawn at random among
// those that admit; suspects only when there is nothing else.
func (c *backendCall) pick(random *rand.Rand) (*endpoint, *failure) {
	s := c.proxy.standing()
	if failed := c.proxy.refuseLost(&s, c.lane.kind); failed != nil {
		failed.final = true
		return nil, failed
	}
	var sound, suspect []*endpoint
	tried := false
	for name, candidate := range *c.lane.endpoints.Load() {
		word := candidate.word()
		if s.catalog.leaving[name] || closedPhase(word.phase) || !s.confirmed(word) {
			continue
		}
		if c.excluded[name] {
			tried = true
			continue
		}
		if candidate.suspected(s.now) {
			suspect = append(suspect, candidate)
		} else {
			sound = append(sound, candidate)
		}
	}
	if len(sound) == 0 {
		sound = suspect
	}
	if len(sound) == 0 {
		failed := unavailable(codeNoEngine, "no back end takes requests now", time.Second)
		failed.final = tried // whoever takes requests was asked
		return nil, failed
	}
	first, second := sound[random.IntN(len(sound))], sound[random.IntN(len(sound))]
	if second.work(c.proxy.config.Zone) < first.work(c.proxy.config.Zone) {
		return second, nil
	}
	return first, nil
}

func (e *endpoint) suspected(now time.Duration) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.suspectedLocked(now)
}

// work is the load of a plain back end: the report and what was sent since.
func (e *endpoint) work(zone string) int {
	e.lock.Lock()
	defer e.lock.Unlock()
	work := e.load.Running + e.load.Waiting
	for _, sent := range e.dispatches {
		if sent.at > e.loadAt {
			work++
		}
	}
	if e.zone != zone {
		work += zonePenalty
	}
	return work
}

// runOnce lets one back end run the request; nil after a whole answer.
func (c *backendCall) runOnce(ctx context.Context, random *rand.Rand) *failure {
	target, failed := c.pick(random)
	if failed != nil {
		return failed
	}
	number, err := c.life.Begin(target.name, 0)
	if err != nil {
		return &failure{status: http.StatusBadGateway, kind: typeServer, code: codeUpstream, message: err.Error(), final: true}
	}
	end := target.begin(c.proxy.clock(), 1)
	defer end()
	request, err := c.build(ctx, target)
	if err != nil {
		c.life.Fail(number, attempt.FaultNotWritten)
		failed := invalid(codeBadRequest, "the request cannot be passed on")
		if errors.Is(err, context.DeadlineExceeded) {
			failed = deadlineShort("no time is left for the back end", time.Second)
		}
		failed.final = true
		return failed
	}
	asked := c.proxy.clock()
	response, err := c.lane.pool.Do(request, upstream.Identity{RequestID: c.id, Attempt: number})
	if err != nil {
		return c.unanswered(ctx, target, number, err)
	}
	defer func() { _ = response.Body.Close() }()
	target.hearHeader(asked, c.proxy.clock(), response.Header)
	if upstream.SurelyRefused(response) {
		return c.refused(target, number, response)
	}
	return c.answer(ctx, target, number, response)
}

func (c *backendCall) build(ctx context.Context, target *endpoint) (*http.Request, error) {
	left, some := c.proxy.config.Margin.Shrink(c.left())
	if !some {
		return nil, errors.WithStack(context.DeadlineExceeded)
	}
	request, err := http.NewRequestWithContext(ctx, c.request.Method, "http://"+target.address+c.target, bytes.NewReader(c.body.data))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.Header = c.request.Header.Clone()
	request.Host = c.request.Host
	if len(c.body.data) == 0 {
		request.Body = http.NoBody
	}
	header := request.Header
	header.Set(engineapi.HeaderPriority, strconv.Itoa(c.priority))
	header.Set(engineapi.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	header.Del(headerIdempotency)
	if c.claim != nil {
		header.Set(headerIdempotency, c.claim.hash())
	}
	return request, nil
}

func (c *backendCall) unanswered(ctx context.Context, target *endpoint, number uint32, err error) *failure {
	fault := attempt.FaultBroken
	var failed *upstream.Failure
	if errors.As(err, &failed) && !failed.Wrote {
		fault = attempt.FaultNotWritten
	}
	c.life.Fail(number, fault)
	c.excluded[target.name] = true
	if errors.Is(err, upstream.ErrForeign) {
		return upstreamFailed("the back end answered another request")
	}
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		target.fail(c.proxy.clock())
	}
	return upstreamFailed("the back end could not be reached or gave no answer")
}

// refused closes an attempt that the back end surely did not run. When the
// request itself is at fault the refusal is passed on.
func (c *backendCall) refused(target *endpoint, number uint32, response *http.Response) *failure {
	c.life.Fail(number, attempt.FaultRefused)
	c.proxy.metrics.refusals.Inc()
	c.excluded[target.name] = true
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // what came is enough
	if final := callerFault(response.StatusCode, body); final != nil {
		return final
	}
	failed := unavailable(codeNoEngine, "the back ends refused the request", time.Second)
	failed.free = closedPhase(target.word().phase)
	return failed
}

// answerHeaders are not passed on to the caller.
var answerHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	engineapi.HeaderAdmitted, engineapi.HeaderRequestID, engineapi.HeaderAttempt,
	engineapi.HeaderIncarnation, engineapi.HeaderPhase, engineapi.HeaderBackendState,
}

func (c *backendCall) answer(ctx context.Context, target *endpoint, number uint32, response *http.Response) *failure {
	c.life.Admit(number, 0)
	if err := c.relay(response); err != nil {
		c.life.Fail(number, attempt.FaultBroken)
		c.excluded[target.name] = true
		if ctx.Err() == nil && !errors.Is(err, errCaller) {
			target.fail(c.proxy.clock())
		}
		return upstreamFailed("the answer broke off")
	}
	c.life.Finish(number)
	target.succeed()
	return nil
}

// passHead passes on the head of the answer, once its body has begun or has ended
// empty: until then the caller can still be told of a failure, or be given the answer
// of another back end.
func (c *backendCall) passHead(response *http.Response) {
	if c.sent {
		return
	}
	c.sent = true
	for _, name := range answerHeaders {
		response.Header.Del(name)
	}
	header := c.writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	if c.kept != nil {
		c.kept.Status = response.StatusCode
		c.kept.ContentType = response.Header.Get("Content-Type")
	}
	c.writer.WriteHeader(response.StatusCode)
}
