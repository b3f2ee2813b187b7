package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/request/router"
)

// call is one model request on its way through the proxy.
type call struct {
	proxy    *Proxy
	lane     *lane
	id       string
	parsed   *completion
	envelope envelope
	priority int
	endsAt   time.Duration // by the proxy's clock
	life     *attempt.Life
	sink     sink
	claim    *claim // nil unless marked
	random   *rand.Rand
	excluded map[string]bool
	retries  int
	// handOvers counts the calls that hand KV cache over.
	handOvers uint32
	// resumes counts the times that a stream was taken up again, of all attempts.
	resumes  uint32
	running  running
	ended    int                     // engines that seem to have ended under it, this time alone
	named    *quarantine.Fingerprint // nil until it is needed
	cached   int                     // prompt tokens believed to be cached where it ran
	expected int                     // length of the answer, in tokens
}

// run sees the request through to its end. It returns nil after a whole
// answer, else what the caller is told.
func (c *call) run(ctx context.Context) *failure {
	defer c.cancelLeftovers()
	var last *failure
	for {
		if failed := c.interrupted(ctx); failed != nil {
			return failed
		}
		// Looked at before each run: under what an engine ends is known from then on.
		if failed := c.refuseHeld(); failed != nil {
			return c.giveUp(failed)
		}
		step := c.life.Next()
		switch step.Kind {
		case attempt.StepRun:
			if last != nil && !c.retryAllowed(ctx, last) {
				return c.giveUp(last)
			}
			last = c.runOnce(ctx)
		case attempt.StepResume:
			last = c.resumeOnce(ctx, step)
		default:
			return c.giveUp(last)
		}
		if last == nil {
			return nil
		}
		if last.final {
			return c.giveUp(last)
		}
	}
}

// giveUp is the end without a whole answer; what the caller is told of the run
// is decided here.
func (c *call) giveUp(last *failure) *failure {
	given := finalFailure(last, c.life.GiveUp())
	if given.ran == attempt.RanNo && given.status >= http.StatusInternalServerError {
		given.status = http.StatusServiceUnavailable
		if given.code == codeDeadlineShort || given.code == codeDeadlineExceeded {
			given.status = http.StatusGatewayTimeout
		}
		given.retryAfter = max(given.retryAfter, time.Second)
	}
	return given
}

// finalFailure is the last failure with what the caller may be told of the
// run. A refusal after an attempt that may have run says nothing of that
// attempt: the caller must not be asked to try again as if nothing had run.
func finalFailure(last *failure, ran attempt.Ran) *failure {
	if last == nil || (last.ran == attempt.RanNo && ran != attempt.RanNo) {
		last = upstreamFailed("the request was sent, but no whole answer came")
	}
	given := *last
	given.ran = ran
	return &given
}

// interrupted returns the failure of a request whose deadline has passed or
// whose caller has gone.
func (c *call) interrupted(ctx context.Context) *failure {
	if c.left() > 0 && ctx.Err() == nil {
		return nil
	}
	if c.left() <= 0 || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.giveUp(&failure{
			status:  http.StatusGatewayTimeout,
			kind:    typeServer,
			code:    codeDeadlineExceeded,
			message: "the deadline has passed",
		})
	}
	return c.giveUp(&failure{
		status:  statusClientClosed,
		kind:    typeInvalid,
		code:    codeCancelled,
		message: "the caller has gone",
	})
}

// left is how long the caller still waits. Timers and contexts do not count a suspension of
// the machine, the proxy's clock does.
func (c *call) left() time.Duration { return c.endsAt - c.proxy.clock() }

// retryAllowed pays for another run out of the budget and waits for the
// backoff. A refusal because the engine drains or changes costs nothing: each
// engine gives it once, and a planned change must not use up the budget.
func (c *call) retryAllowed(ctx context.Context, last *failure) bool {
	if c.retries >= c.proxy.config.Limits.Attempts {
		return false
	}
	if !last.free && !c.lane.budget.Withdraw() {
		return false
	}
	c.proxy.metrics.retries.Inc()
	delay, fits := c.proxy.config.Backoff.Delay(c.retries, c.left(), c.random)
	c.retries++
	if !fits {
		return false
	}
	if last.free {
		return true
	}
	return pause.Sleep(ctx, delay)
}

// decide asks the router where the request goes now.
func (c *call) decide() (router.Decision, *failure) {
	s := c.proxy.standing()
	if failed := c.proxy.refuseLost(&s, c.lane.kind); failed != nil {
		failed.final = true
		return router.Decision{}, failed
	}
	request := router.Request{
		ID:           c.id,
		Service:      c.lane.service,
		Class:        c.envelope.class,
		Tenant:       c.envelope.tenant,
		Model:        c.parsed.request.Model,
		Priority:     c.priority,
		PromptTokens: c.parsed.promptTokens,
		OutputTokens: c.expected,
		Blocks:       c.parsed.blocks,
		Deadline:     c.left(),
		Excluded:     c.excluded,
		Zone:         c.proxy.config.Zone,
	}
	_, request.Adapter, _ = strings.Cut(request.Model, ":")
	decision, reason := c.proxy.router.Route(c.lane.snapshot(&s), request, c.random)
	if reason != router.ReasonNone {
		return decision, refuseRoute(reason)
	}
	return decision, nil
}

// refuseRoute is the answer when the router finds no engine. Only where time
// can help is it worth another try.
func refuseRoute(reason router.Reason) *failure {
	switch reason {
	case router.ReasonUnknownModel:
		// The model is known, or the request would not have come so far: no
		// engine holds it now.
		return unavailable(codeNoEngine, "no engine serves the model now", time.Second)
	case router.ReasonClassRefused:
		return &failure{
			status:  http.StatusForbidden,
			kind:    typeInvalid,
			code:    codeClassRefused,
			message: "no engine serves the class",
			ran:     attempt.RanNo,
			final:   true,
		}
	case router.ReasonDeadline:
		failed := deadlineShort("no engine can finish within the deadline", time.Second)
		failed.final = true
		return failed
	case router.ReasonAllExcluded:
		failed := unavailable(codeNoEngine, "every engine was tried", time.Second)
		failed.final = true
		return failed
	default:
		return unavailable(codeNoEngine, "no engine admits requests now", time.Second)
	}
}
