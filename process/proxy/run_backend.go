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

// run executes the request, including retries. It returns nil after a complete
// response, otherwise the failure to report to the caller.
func (c *backendCall) run(ctx context.Context) *failure {
	rng := newRandom()
	var last *failure
	for retries := 0; ; retries++ {
		if ctx.Err() != nil {
			return c.interruptedFailure(ctx)
		}
		if c.headerSent || c.attempts.Next().Kind != attempt.StepRun {
			return c.giveUp(last)
		}
		if last != nil && !c.prepareRetry(ctx, last, retries, rng) {
			return c.giveUp(last)
		}
		last = c.runOnce(ctx, rng)
		if last == nil {
			return nil
		}
		if last.final {
			return c.giveUp(last)
		}
	}
}

// prepareRetry charges the retry budget, waits for the backoff and reports whether to retry. A retry
// after a refusal by a draining backend is free and immediate. The budget is not charged if the
// deadline leaves no time for the retry.
func (c *backendCall) prepareRetry(ctx context.Context, last *failure, retries int, rng *rand.Rand) bool {
	if retries > c.proxy.config.Limits.Attempts {
		return false
	}
	if last.budgetExempt {
		return true
	}
	delay, fits := c.proxy.config.Backoff.Delay(retries-1, c.timeLeft(), rng)
	if !fits || !c.lane.budget.Withdraw() {
		return false
	}
	c.proxy.metrics.retries.Inc()
	return pause.Sleep(ctx, delay)
}

// timeLeft returns the time until the deadline by the proxy's clock, which, unlike timers and
// contexts, keeps running while the machine is suspended.
func (c *backendCall) timeLeft() time.Duration { return c.deadline - c.proxy.clock() }

// giveUp ends the request without a complete response and returns the failure to report. A 502 of a
// request that certainly did not run becomes 503.
func (c *backendCall) giveUp(last *failure) *failure {
	result := finalFailure(last, c.attempts.GiveUp())
	if result.runState == attempt.RanNo && result.status == http.StatusBadGateway {
		result.status = http.StatusServiceUnavailable
		result.retryAfter = time.Second
	}
	return result
}

// interruptedFailure returns the failure of a request whose context has ended.
func (c *backendCall) interruptedFailure(ctx context.Context) *failure {
	if c.timeLeft() <= 0 || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.giveUp(&failure{
			status:    http.StatusGatewayTimeout,
			errorType: typeServer,
			code:      codeDeadlineExceeded,
			message:   "the deadline has passed",
		})
	}
	return c.giveUp(&failure{status: statusCallerGone, errorType: typeInvalid, code: codeCancelled, message: "the caller has gone"})
}

// remoteZonePenalty is the number of requests in flight that are added to the
// load of a backend in another zone.
const remoteZonePenalty = 1

// pickBackend draws two random backends, possibly the same one, among those that accept requests and
// returns the one with the lower load. Suspect backends are used only if there are no others.
func (c *backendCall) pickBackend(rng *rand.Rand) (*endpoint, *failure) {
	s := c.proxy.viewState()
	if failed := c.proxy.refuseWithoutControl(&s, c.lane.kind); failed != nil {
		failed.final = true
		return nil, failed
	}
	var healthy, suspect []*endpoint
	tried := false
	for name, candidate := range *c.lane.endpoints.Load() {
		reported := candidate.reported()
		if s.catalog.leavingBackends[name] || refusesNewWork(reported.phase) || !s.mayUse(reported) {
			continue
		}
		if c.excluded[name] {
			tried = true
			continue
		}
		if candidate.isSuspect(s.now) {
			suspect = append(suspect, candidate)
		} else {
			healthy = append(healthy, candidate)
		}
	}
	if len(healthy) == 0 {
		healthy = suspect
	}
	if len(healthy) == 0 {
		failed := unavailableFailure(codeNoEngine, "no back end takes requests now", time.Second)
		failed.final = tried // all backends that accept requests were tried
		return nil, failed
	}
	first, second := healthy[rng.IntN(len(healthy))], healthy[rng.IntN(len(healthy))]
	if second.loadScore(c.proxy.config.Zone) < first.loadScore(c.proxy.config.Zone) {
		return second, nil
	}
	return first, nil
}

func (e *endpoint) isSuspect(now time.Duration) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.suspectedLocked(now)
}

// loadScore returns the load of a plain backend in requests: the last report and the requests sent
// since, plus a penalty for a backend in another zone.
func (e *endpoint) loadScore(zone string) int {
	e.lock.Lock()
	defer e.lock.Unlock()
	score := e.load.Running + e.load.Waiting
	for _, sent := range e.dispatches {
		if sent.sentAt > e.loadAt {
			score++
		}
	}
	if e.zone != zone {
		score += remoteZonePenalty
	}
	return score
}

// runOnce runs the request on one backend. It returns nil after a complete
// response.
func (c *backendCall) runOnce(ctx context.Context, rng *rand.Rand) *failure {
	target, failed := c.pickBackend(rng)
	if failed != nil {
		return failed
	}
	number, err := c.attempts.Begin(target.name, 0)
	if err != nil {
		return &failure{status: http.StatusBadGateway, errorType: typeServer, code: codeUpstream, message: err.Error(), final: true}
	}
	end := target.trackRequest(c.proxy.clock(), 1)
	defer end()
	request, err := c.buildRequest(ctx, target)
	if err != nil {
		c.attempts.Fail(number, attempt.FaultNotWritten)
		failed := invalidFailure(codeBadRequest, "the request cannot be passed on")
		if errors.Is(err, context.DeadlineExceeded) {
			failed = deadlineTooShort("no time is left for the back end", time.Second)
		}
		failed.final = true
		return failed
	}
	sentAt := c.proxy.clock()
	response, err := c.lane.pool.Do(request, upstream.Identity{RequestID: c.id, Attempt: number})
	if err != nil {
		return c.endWithoutResponse(ctx, target, number, err)
	}
	defer func() { _ = response.Body.Close() }()
	target.recordHeader(sentAt, c.proxy.clock(), response.Header)
	if upstream.RefusedBeforeAdmission(response) {
		return c.endRefused(target, number, response)
	}
	return c.relayResponse(ctx, target, number, response)
}

// buildRequest returns the request to send to the backend. The error is context.DeadlineExceeded if
// too little time is left.
func (c *backendCall) buildRequest(ctx context.Context, target *endpoint) (*http.Request, error) {
	left, enough := c.proxy.config.Margin.Shrink(c.timeLeft())
	if !enough {
		return nil, errors.WithStack(context.DeadlineExceeded)
	}
	request, err := http.NewRequestWithContext(ctx, c.request.Method, "http://"+target.address+c.targetPath, bytes.NewReader(c.body.data))
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
	header.Del(headerClaimHash)
	if c.claim != nil {
		header.Set(headerClaimHash, c.claim.hash())
	}
	return request, nil
}

// endWithoutResponse ends an attempt that got no response.
func (c *backendCall) endWithoutResponse(ctx context.Context, target *endpoint, number uint32, err error) *failure {
	fault := attempt.FaultBroken
	var failed *upstream.Failure
	if errors.As(err, &failed) && !failed.Wrote {
		fault = attempt.FaultNotWritten
	}
	c.attempts.Fail(number, fault)
	c.excluded[target.name] = true
	if errors.Is(err, upstream.ErrUnmatchedResponse) {
		return upstreamFailure("the back end answered another request")
	}
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		target.recordFailure(c.proxy.clock())
	}
	return upstreamFailure("the back end could not be reached or gave no answer")
}

// endRefused ends an attempt that the backend certainly did not run. If the request itself is
// invalid, the backend's refusal is passed on to the caller.
func (c *backendCall) endRefused(target *endpoint, number uint32, response *http.Response) *failure {
	c.attempts.Fail(number, attempt.FaultRefused)
	c.proxy.metrics.refusals.Inc()
	c.excluded[target.name] = true
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // a partial body is enough
	if final := clientError(response.StatusCode, body); final != nil {
		return final
	}
	failed := unavailableFailure(codeNoEngine, "the back ends refused the request", time.Second)
	failed.budgetExempt = refusesNewWork(target.reported().phase)
	return failed
}

// strippedHeaders are the response headers that are not forwarded to the caller: those of the
// connection and those between proxy and backend.
var strippedHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	engineapi.HeaderAdmitted, engineapi.HeaderRequestID, engineapi.HeaderAttempt,
	engineapi.HeaderIncarnation, engineapi.HeaderPhase, engineapi.HeaderBackendState,
}

// relayResponse relays a response and ends its attempt.
func (c *backendCall) relayResponse(ctx context.Context, target *endpoint, number uint32, response *http.Response) *failure {
	c.attempts.Admit(number, 0)
	if err := c.copyBody(response); err != nil {
		c.attempts.Fail(number, attempt.FaultBroken)
		c.excluded[target.name] = true
		if ctx.Err() == nil && !errors.Is(err, errCallerGone) {
			target.recordFailure(c.proxy.clock())
		}
		return upstreamFailure("the answer broke off")
	}
	c.attempts.Finish(number)
	target.recordSuccess()
	return nil
}

// sendHeader sends the status and headers of the response to the caller. It is
// called once the body has begun or has ended empty: until then the caller can
// still get an error, or the response of another backend.
func (c *backendCall) sendHeader(response *http.Response) {
	if c.headerSent {
		return
	}
	c.headerSent = true
	for _, name := range strippedHeaders {
		response.Header.Del(name)
	}
	header := c.writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	if c.recorded != nil {
		c.recorded.Status = response.StatusCode
		c.recorded.ContentType = response.Header.Get("Content-Type")
	}
	c.writer.WriteHeader(response.StatusCode)
}
