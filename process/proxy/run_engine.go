package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/connection/upstream"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/router"
)

// Reasons for which the proxy itself ends an attempt.
var (
	errHeaderTimeout     = errors.New("timed out waiting for the engine's response header")
	errFirstTokenTimeout = errors.New("timed out waiting for the engine's first token")
	errStreamStalled     = errors.New("the engine's stream stalled")
	errTokenGap          = errors.New("the engine's stream skipped tokens")
)

// maxErrorBytes is the maximum size of an error response that is read.
const maxErrorBytes = 64 << 10

// runOnce runs the request on one engine. It returns nil after a complete
// response.
func (c *modelCall) runOnce(ctx context.Context) *failure {
	decision, failed := c.route()
	if failed != nil {
		return failed
	}
	handle := ""
	if decision.Prefill != nil {
		decision, handle, failed = c.prefill(ctx, decision)
		if failed != nil {
			return failed
		}
	}
	target := (*c.lane.endpoints.Load())[decision.Target.Name]
	if target == nil {
		c.excluded[decision.Target.Name] = true
		return unavailableFailure(codeNoEngine, "the engine is gone", time.Second)
	}
	number, err := c.attempts.Begin(target.name, decision.Target.Incarnation)
	if err != nil {
		return &failure{status: http.StatusBadGateway, errorType: typeServer, code: codeUpstream, message: err.Error(), final: true}
	}
	if number > 1 {
		c.sink.discard()
	}
	c.estimateCachedTokens(decision.Target)
	end := target.trackRequest(c.proxy.clock(), c.parsed.promptTokens)
	defer end()
	run := c.runIdentity(number, decision.Target.Incarnation)
	return c.exchange(ctx, target, run, run, func(ctx context.Context) (*http.Request, error) {
		return c.newRunRequest(ctx, target, decision.Target.Incarnation, handle)
	})
}

// estimateCachedTokens sets cachedTokens for a run on the target: the number of cached blocks times
// the average tokens in a block.
func (c *modelCall) estimateCachedTokens(target *router.Endpoint) {
	c.cachedTokens = 0
	if target.CachedBlocks != nil && len(c.parsed.blocks) > 0 {
		count, _ := target.CachedBlocks(c.parsed.blocks)
		c.cachedTokens = count * (c.parsed.promptTokens / max(1, len(c.parsed.blocks)))
	}
}

// resumeOnce resumes the attempt's stream at step.Offset.
func (c *modelCall) resumeOnce(ctx context.Context, step attempt.Step) *failure {
	target := (*c.lane.endpoints.Load())[step.Endpoint]
	if target == nil || c.attempts.Resume(step.Number) != nil {
		c.attempts.AbandonResume(step.Number)
		return upstreamFailure("the engine is gone")
	}
	c.proxy.metrics.resumes.Inc()
	delay, _ := c.proxy.config.Backoff.Delay(0, c.timeLeft(), c.rng)
	if !pause.Sleep(ctx, delay) {
		c.attempts.Fail(step.Number, attempt.FaultBroken)
		return upstreamFailure("interrupted")
	}
	end := target.trackRequest(c.proxy.clock(), 0)
	defer end()
	run := c.runIdentity(step.Number, step.Incarnation)
	return c.exchange(ctx, target, c.nextResumeIdentity(), run, func(ctx context.Context) (*http.Request, error) {
		body := engineapi.ResumeRequest{RequestID: c.id, Attempt: step.Number, Offset: step.Offset, Incarnation: step.Incarnation}
		return newJSONPost(ctx, target.address, engineapi.PathResume, body)
	})
}

// runIdentity returns the identity of a run, which its request and the events of
// its stream carry.
func (c *modelCall) runIdentity(number uint32, incarnation uint64) upstream.Identity {
	return upstream.Identity{RequestID: c.id, Attempt: number, Incarnation: incarnation}
}

// nextResumeIdentity returns the identity of one resume request. It differs from
// that of the run and of every other resume, so that a response to one of those
// is not taken for the response to this one.
func (c *modelCall) nextResumeIdentity() upstream.Identity {
	c.resumeCount++
	return upstream.Identity{RequestID: c.id + "-resume", Attempt: c.resumeCount}
}

func newJSONPost(ctx context.Context, address, path string, body any) (*http.Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return newPost(ctx, address, path, encoded)
}

func newPost(ctx context.Context, address, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.Header.Set("Content-Type", contentTypeJSON)
	return request, nil
}

func (c *modelCall) newRunRequest(ctx context.Context, target *endpoint, incarnation uint64, handle string) (*http.Request, error) {
	request, err := newPost(ctx, target.address, c.parsed.path, c.parsed.body)
	if err != nil {
		return nil, err
	}
	left, enough := c.proxy.config.Margin.Shrink(c.timeLeft())
	if !enough {
		return nil, errors.WithStack(context.DeadlineExceeded)
	}
	header := request.Header
	header.Set(engineapi.HeaderPriority, strconv.Itoa(c.priority))
	header.Set(engineapi.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	if incarnation != 0 {
		// Makes the engine refuse if it has restarted since the view was built.
		header.Set(engineapi.HeaderIncarnation, strconv.FormatUint(incarnation, 10))
	}
	if handle != "" {
		header.Set(engineapi.HeaderKVHandle, handle)
	}
	if c.claim != nil {
		header.Set(headerClaimHash, c.claim.hash())
	}
	return request, nil
}

// watchdog cancels an exchange if the engine makes no progress in time.
type watchdog struct {
	cause atomic.Pointer[error] // cause of the cancellation when the timer fires
	timer *time.Timer
}

func newWatchdog(cancel context.CancelCauseFunc, timeout time.Duration, cause *error) *watchdog {
	w := &watchdog{}
	w.cause.Store(cause)
	w.timer = time.AfterFunc(timeout, func() { cancel(*w.cause.Load()) })
	return w
}

// reset restarts the timer with a new timeout and cause. It must not allocate, since it is called for
// every token.
func (w *watchdog) reset(timeout time.Duration, cause *error) {
	w.cause.Store(cause)
	w.timer.Reset(timeout)
}

func (w *watchdog) stop() { w.timer.Stop() }

// exchange sends one request of an attempt and relays the stream of the response. The response header
// must carry headerIdentity, the events of the stream must carry run.
func (c *modelCall) exchange(ctx context.Context, target *endpoint, headerIdentity, run upstream.Identity, build func(context.Context) (*http.Request, error)) *failure {
	number := run.Attempt
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := build(ctx)
	if err != nil {
		c.attempts.Fail(number, attempt.FaultNotWritten)
		return deadlineTooShort("no time is left for the engine", 0)
	}
	watch := newWatchdog(cancel, c.proxy.config.Timeouts.Head, &errHeaderTimeout)
	defer func() { watch.stop() }()
	sentAt := c.proxy.clock()
	c.lastDispatch = lastDispatch{target: target, incarnation: run.Incarnation, sentAt: sentAt}
	response, err := c.lane.pool.Do(request, headerIdentity)
	if err != nil {
		c.reportBroken(ctx, err)
		return c.endWithoutResponse(ctx, target, number, err)
	}
	defer func() { _ = response.Body.Close() }()
	target.recordHeader(sentAt, c.proxy.clock(), response.Header)
	c.proxy.reportAlive(target, sentAt)
	if response.StatusCode != http.StatusOK {
		return c.endWithStatus(target, number, response)
	}
	c.attempts.Admit(number, incarnationOf(response.Header))
	watch.reset(c.proxy.config.Timeouts.FirstToken, &errFirstTokenTimeout)
	stream := upstream.NewStream(response.Body, run, c.proxy.config.Limits.EventBytes)
	return c.relayStream(ctx, target, number, stream, watch)
}

func upstreamFailure(message string) *failure {
	return &failure{status: http.StatusBadGateway, errorType: typeServer, code: codeUpstream, message: message}
}

// endWithoutResponse ends an attempt that got no response.
func (c *modelCall) endWithoutResponse(ctx context.Context, target *endpoint, number uint32, err error) *failure {
	fault := attempt.FaultBroken
	var failed *upstream.Failure
	if errors.As(err, &failed) && !failed.Wrote {
		fault = attempt.FaultNotWritten
	}
	c.attempts.Fail(number, fault)
	if errors.Is(err, upstream.ErrUnmatchedResponse) {
		c.exclude(target)
		return upstreamFailure("the engine answered another request")
	}
	c.markSuspect(ctx, target)
	return upstreamFailure("the engine could not be reached or gave no answer")
}

// markSuspect marks an engine as suspect after a failure and excludes it, unless the caller or the
// deadline ended the exchange.
func (c *modelCall) markSuspect(ctx context.Context, target *endpoint) {
	cause := context.Cause(ctx)
	if cause != nil && !isProxyTimeout(cause) {
		return
	}
	target.recordFailure(c.proxy.clock())
	c.exclude(target)
}

func isProxyTimeout(cause error) bool {
	return errors.Is(cause, errHeaderTimeout) || errors.Is(cause, errFirstTokenTimeout) || errors.Is(cause, errStreamStalled)
}

func (c *modelCall) exclude(target *endpoint) { c.excluded[target.name] = true }

// endWithStatus ends an attempt whose response status is not 200. After an explicit refusal the
// request certainly did not run; after any other status it may have.
func (c *modelCall) endWithStatus(target *endpoint, number uint32, response *http.Response) *failure {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // a partial body is enough
	c.exclude(target)
	if !upstream.RefusedBeforeAdmission(response) {
		c.attempts.Fail(number, attempt.FaultBroken)
		c.attempts.AbandonResume(number)
		c.suspectOnServerError(target, response)
		return upstreamFailure("the engine answered with status " + strconv.Itoa(response.StatusCode))
	}
	c.attempts.Fail(number, attempt.FaultRefused)
	c.proxy.metrics.refusals.Inc()
	failed := unavailableFailure(codeNoEngine, "engines refused the request", time.Second)
	failed.budgetExempt = refusesNewWork(target.reported().phase)
	if final := clientError(response.StatusCode, body); final != nil {
		return final
	}
	return failed
}

// suspectOnServerError marks an engine as suspect if the response is a server
// error rather than a refusal.
func (c *modelCall) suspectOnServerError(target *endpoint, response *http.Response) {
	if response.StatusCode >= http.StatusInternalServerError && !upstream.RefusedBeforeAdmission(response) {
		target.recordFailure(c.proxy.clock())
	}
}

// clientError returns the failure for a refusal that every engine would repeat,
// because the request itself is invalid. It returns nil for any other status.
func clientError(status int, body []byte) *failure {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
	default:
		return nil
	}
	var decoded engineapi.ErrorBody
	message := "the engine refused the request"
	if json.Unmarshal(body, &decoded) == nil && decoded.Error.Message != "" {
		message = decoded.Error.Message
	}
	return &failure{status: status, errorType: typeInvalid, code: codeBadRequest, message: message, final: true}
}

// relayStream forwards the frames of a stream until its end.
func (c *modelCall) relayStream(ctx context.Context, target *endpoint, number uint32, stream *upstream.Stream, watch *watchdog) *failure {
	for {
		frame, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return c.finishRun(target, number)
		}
		if err != nil {
			c.reportBroken(ctx, err)
			return c.endBrokenStream(ctx, target, number, err)
		}
		c.lastDispatch.events++
		switch c.attempts.Accept(number, frame.Event.Offset, frame.Tokens) {
		case attempt.VerdictPass:
			watch.reset(c.proxy.config.Timeouts.Stall, &errStreamStalled)
			if err := c.sink.send(&frame, stream.Buffered()); err != nil {
				return c.endUndelivered(number, err)
			}
		case attempt.VerdictDuplicate:
		default:
			return c.endBrokenStream(ctx, target, number, errTokenGap)
		}
	}
}

// finishRun ends an attempt with a complete response and returns nil, or the failure if that could
// not be delivered.
func (c *modelCall) finishRun(target *endpoint, number uint32) *failure {
	if !c.attempts.Finish(number) {
		return upstreamFailure("the answer came after its attempt had ended")
	}
	target.recordSuccess()
	c.reportServed()
	if err := c.sink.finish(); err != nil {
		return c.endUndelivered(number, err)
	}
	return nil
}

// endBrokenStream ends an attempt whose stream was interrupted.
func (c *modelCall) endBrokenStream(ctx context.Context, target *endpoint, number uint32, err error) *failure {
	c.attempts.Fail(number, attempt.FaultBroken)
	if errors.Is(err, errTokenGap) || errors.Is(err, upstream.ErrUnmatchedResponse) || errors.Is(err, upstream.ErrMalformed) ||
		errors.Is(err, upstream.ErrEngine) || errors.Is(err, upstream.ErrEventTooLarge) || errors.Is(err, upstream.ErrAfterTerminal) {
		// A resumed stream would fail in the same way.
		c.attempts.AbandonResume(number)
	}
	c.proxy.metrics.broken.Inc()
	c.markSuspect(ctx, target)
	return upstreamFailure("the engine's stream broke off")
}

// endUndelivered ends an attempt whose response cannot be delivered.
func (c *modelCall) endUndelivered(number uint32, err error) *failure {
	c.attempts.Fail(number, attempt.FaultBroken)
	if errors.Is(err, errResponseTooLarge) {
		return &failure{status: http.StatusBadGateway, errorType: typeServer, code: codeAnswerTooLarge,
			message: "the answer is too large to be held; ask for a stream", final: true}
	}
	return &failure{status: statusCallerGone, errorType: typeInvalid, code: codeCancelled, message: "the caller has gone", final: true}
}
