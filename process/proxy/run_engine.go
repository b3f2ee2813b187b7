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

// Causes of an attempt that this proxy itself ends.
var (
	errHeadTimeout  = errors.New("no answer from the engine")
	errTokenTimeout = errors.New("no first token from the engine")
	errStalled      = errors.New("the engine's stream stalled")
	errGap          = errors.New("tokens are missing in the engine's stream")
)

// maxErrorBytes bounds what is read of an engine's error answer.
const maxErrorBytes = 64 << 10

// runOnce lets one engine run the request. It returns nil after a whole answer.
func (c *call) runOnce(ctx context.Context) *failure {
	decision, failed := c.decide()
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
		return unavailable(codeNoEngine, "the engine is gone", time.Second)
	}
	number, err := c.life.Begin(target.name, decision.Target.Incarnation)
	if err != nil {
		return &failure{status: http.StatusBadGateway, kind: typeServer, code: codeUpstream, message: err.Error(), final: true}
	}
	if number > 1 {
		c.sink.restart()
	}
	c.noteCached(decision.Target)
	end := target.begin(c.proxy.clock(), c.parsed.promptTokens)
	defer end()
	run := c.runIdentity(number, decision.Target.Incarnation)
	return c.exchange(ctx, target, run, run, func(ctx context.Context) (*http.Request, error) {
		return c.runRequest(ctx, target, decision.Target.Incarnation, handle)
	})
}

func (c *call) noteCached(target *router.Endpoint) {
	c.cached = 0
	if target.CachedBlocks != nil && len(c.parsed.blocks) > 0 {
		count, _ := target.CachedBlocks(c.parsed.blocks)
		c.cached = count * (c.parsed.promptTokens / max(1, len(c.parsed.blocks)))
	}
}

// resumeOnce takes up the attempt's stream again at the offset.
func (c *call) resumeOnce(ctx context.Context, step attempt.Step) *failure {
	target := (*c.lane.endpoints.Load())[step.Endpoint]
	if target == nil || c.life.Resume(step.Number) != nil {
		c.life.AbandonResume(step.Number)
		return upstreamFailed("the engine is gone")
	}
	c.proxy.metrics.resumes.Inc()
	delay, _ := c.proxy.config.Backoff.Delay(0, c.left(), c.random)
	if !pause.Sleep(ctx, delay) {
		c.life.Fail(step.Number, attempt.FaultBroken)
		return upstreamFailed("interrupted")
	}
	end := target.begin(c.proxy.clock(), 0)
	defer end()
	run := c.runIdentity(step.Number, step.Incarnation)
	return c.exchange(ctx, target, c.resumeIdentity(), run, func(ctx context.Context) (*http.Request, error) {
		body := engineapi.ResumeRequest{RequestID: c.id, Attempt: step.Number, Offset: step.Offset, Incarnation: step.Incarnation}
		return postJSON(ctx, target.address, engineapi.PathResume, body)
	})
}

// runIdentity names a run: its request and the events of its stream.
func (c *call) runIdentity(number uint32, incarnation uint64) upstream.Identity {
	return upstream.Identity{RequestID: c.id, Attempt: number, Incarnation: incarnation}
}

// resumeIdentity names the head of one resume. It is never that of the run or
// of another resume: an answer to one of those says nothing of this resume.
func (c *call) resumeIdentity() upstream.Identity {
	c.resumes++
	return upstream.Identity{RequestID: c.id + "-resume", Attempt: c.resumes}
}

func postJSON(ctx context.Context, address, path string, body any) (*http.Request, error) {
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

func (c *call) runRequest(ctx context.Context, target *endpoint, incarnation uint64, handle string) (*http.Request, error) {
	request, err := newPost(ctx, target.address, c.parsed.path, c.parsed.body)
	if err != nil {
		return nil, err
	}
	left, some := c.proxy.config.Margin.Shrink(c.left())
	if !some {
		return nil, errors.WithStack(context.DeadlineExceeded)
	}
	header := request.Header
	header.Set(engineapi.HeaderPriority, strconv.Itoa(c.priority))
	header.Set(engineapi.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	if incarnation != 0 {
		// An engine that started anew since the view was made must refuse.
		header.Set(engineapi.HeaderIncarnation, strconv.FormatUint(incarnation, 10))
	}
	if handle != "" {
		header.Set(engineapi.HeaderKVHandle, handle)
	}
	if c.claim != nil {
		header.Set(headerIdempotency, c.claim.hash())
	}
	return request, nil
}

// watchdog ends an exchange when nothing comes for too long.
type watchdog struct {
	cause atomic.Pointer[error] // of the end, if it comes now
	timer *time.Timer
}

func newWatchdog(cancel context.CancelCauseFunc, wait time.Duration, cause *error) *watchdog {
	made := &watchdog{}
	made.cause.Store(cause)
	made.timer = time.AfterFunc(wait, func() { cancel(*made.cause.Load()) })
	return made
}

// expect replaces what is waited for. It costs no memory, since it is called
// for every token.
func (w *watchdog) expect(wait time.Duration, cause *error) {
	w.cause.Store(cause)
	w.timer.Reset(wait)
}

func (w *watchdog) stop() { w.timer.Stop() }

// exchange sends one request of an attempt, under the identity head, and passes
// on its stream, whose events are the run's.
func (c *call) exchange(ctx context.Context, target *endpoint, head, run upstream.Identity, build func(context.Context) (*http.Request, error)) *failure {
	number := run.Attempt
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := build(ctx)
	if err != nil {
		c.life.Fail(number, attempt.FaultNotWritten)
		return deadlineShort("no time is left for the engine", 0)
	}
	dog := newWatchdog(cancel, c.proxy.config.Timeouts.Head, &errHeadTimeout)
	defer func() { dog.stop() }()
	asked := c.proxy.clock()
	c.running = running{target: target, incarnation: run.Incarnation, sentAt: asked}
	response, err := c.lane.pool.Do(request, head)
	if err != nil {
		c.noteBroken(ctx, err)
		return c.unanswered(ctx, target, number, err)
	}
	defer func() { _ = response.Body.Close() }()
	target.hearHeader(asked, c.proxy.clock(), response.Header)
	c.proxy.noteLife(target, asked)
	if response.StatusCode != http.StatusOK {
		return c.refused(target, number, response)
	}
	c.life.Admit(number, incarnationOf(response.Header))
	dog.expect(c.proxy.config.Timeouts.FirstToken, &errTokenTimeout)
	stream := upstream.NewStream(response.Body, run, c.proxy.config.Limits.EventBytes)
	return c.relay(ctx, target, number, stream, dog)
}

func upstreamFailed(message string) *failure {
	return &failure{status: http.StatusBadGateway, kind: typeServer, code: codeUpstream, message: message}
}

// unanswered closes an attempt that brought no answer.
func (c *call) unanswered(ctx context.Context, target *endpoint, number uint32, err error) *failure {
	fault := attempt.FaultBroken
	var failed *upstream.Failure
	if errors.As(err, &failed) && !failed.Wrote {
		fault = attempt.FaultNotWritten
	}
	c.life.Fail(number, fault)
	if errors.Is(err, upstream.ErrForeign) {
		c.exclude(target)
		return upstreamFailed("the engine answered another request")
	}
	c.suspect(ctx, target)
	return upstreamFailed("the engine could not be reached or gave no answer")
}

// suspect marks an engine that failed, unless the caller or the deadline ended
// the exchange.
func (c *call) suspect(ctx context.Context, target *endpoint) {
	cause := context.Cause(ctx)
	if cause != nil && !ownTimeout(cause) {
		return
	}
	target.fail(c.proxy.clock())
	c.exclude(target)
}

func ownTimeout(cause error) bool {
	return errors.Is(cause, errHeadTimeout) || errors.Is(cause, errTokenTimeout) || errors.Is(cause, errStalled)
}

func (c *call) exclude(target *endpoint) { c.excluded[target.name] = true }

// refused closes an attempt whose answer is no 200. An explicit refusal is a
// sure "not run"; anything else may have run.
func (c *call) refused(target *endpoint, number uint32, response *http.Response) *failure {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // what came is enough
	c.exclude(target)
	if !upstream.SurelyRefused(response) {
		c.life.Fail(number, attempt.FaultBroken)
		c.life.AbandonResume(number)
		c.noteStatus(target, response)
		return upstreamFailed("the engine answered with status " + strconv.Itoa(response.StatusCode))
	}
	c.life.Fail(number, attempt.FaultRefused)
	c.proxy.metrics.refusals.Inc()
	failed := unavailable(codeNoEngine, "engines refused the request", time.Second)
	failed.free = closedPhase(target.word().phase)
	if final := callerFault(response.StatusCode, body); final != nil {
		return final
	}
	return failed
}

// noteStatus makes an engine suspect that fails rather than refuses.
func (c *call) noteStatus(target *endpoint, response *http.Response) {
	if response.StatusCode >= http.StatusInternalServerError && !upstream.SurelyRefused(response) {
		target.fail(c.proxy.clock())
	}
}

// callerFault passes on an engine's refusal that another engine would repeat:
// the request itself is at fault.
func callerFault(status int, body []byte) *failure {
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
	return &failure{status: status, kind: typeInvalid, code: codeBadRequest, message: message, final: true}
}

// relay passes the frames of a stream on until its end.
func (c *call) relay(ctx context.Context, target *endpoint, number uint32, stream *upstream.Stream, dog *watchdog) *failure {
	for {
		frame, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return c.finish(target, number)
		}
		if err != nil {
			c.noteBroken(ctx, err)
			return c.broken(ctx, target, number, err)
		}
		c.running.events++
		switch c.life.Accept(number, frame.Event.Offset, frame.Tokens) {
		case attempt.VerdictPass:
			dog.expect(c.proxy.config.Timeouts.Stall, &errStalled)
			if err := c.sink.pass(&frame, stream.Buffered()); err != nil {
				return c.sinkFailed(number, err)
			}
		case attempt.VerdictDuplicate:
		default:
			return c.broken(ctx, target, number, errGap)
		}
	}
}

// finish ends a whole answer.
func (c *call) finish(target *endpoint, number uint32) *failure {
	if !c.life.Finish(number) {
		return upstreamFailed("the answer came after its attempt had ended")
	}
	target.succeed()
	c.noteServed()
	if err := c.sink.finish(); err != nil {
		return c.sinkFailed(number, err)
	}
	return nil
}

// broken closes an attempt whose stream broke off.
func (c *call) broken(ctx context.Context, target *endpoint, number uint32, err error) *failure {
	c.life.Fail(number, attempt.FaultBroken)
	if errors.Is(err, errGap) || errors.Is(err, upstream.ErrForeign) || errors.Is(err, upstream.ErrMalformed) ||
		errors.Is(err, upstream.ErrEngine) || errors.Is(err, upstream.ErrEventTooLarge) || errors.Is(err, upstream.ErrAfterTerminal) {
		// The same stream would break again in the same way.
		c.life.AbandonResume(number)
	}
	c.proxy.metrics.broken.Inc()
	c.suspect(ctx, target)
	return upstreamFailed("the engine's stream broke off")
}

// sinkFailed closes an attempt whose answer can go no further.
func (c *call) sinkFailed(number uint32, err error) *failure {
	c.life.Fail(number, attempt.FaultBroken)
	if errors.Is(err, errAnswerTooLarge) {
		return &failure{status: http.StatusBadGateway, kind: typeServer, code: codeAnswerTooLarge,
			message: "the answer is too large to be held; ask for a stream", final: true}
	}
	return &failure{status: statusClientClosed, kind: typeInvalid, code: codeCancelled, message: "the caller has gone", final: true}
}
