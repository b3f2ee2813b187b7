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

// modelCall is the state of one model request.
type modelCall struct {
	proxy    *Proxy
	lane     *lane
	id       string
	parsed   *completionRequest
	headers  requestHeaders
	priority int
	deadline time.Duration // reading of the proxy's clock
	attempts *attempt.Lifecycle
	sink     sink
	claim    *claim // nil unless the request is at-most-once
	rng      *rand.Rand
	excluded map[string]bool // names of the engines that are not to be tried again
	retries  int             // including those that the deadline left no time for
	// kvTransfers counts the export and import calls for KV cache.
	kvTransfers uint32
	// resumeCount counts the resumed streams of all attempts.
	resumeCount       uint32
	lastDispatch      lastDispatch
	crashedEngines    int                     // engines that seem to have crashed during this request, not in earlier submissions of it
	cachedFingerprint *quarantine.Fingerprint // computed on first use
	cachedTokens      int                     // prompt tokens that were probably cached on the engine
	expectedTokens    int                     // estimated length of the response in tokens
}

// run executes the request, including retries and resumes. It returns nil after
// a complete response, otherwise the failure to report to the caller.
func (c *modelCall) run(ctx context.Context) *failure {
	defer c.cancelUnfinishedRuns()
	var last *failure
	for {
		if failed := c.interruptedFailure(ctx); failed != nil {
			return failed
		}
		// Checked before each attempt, since the previous one may have crashed an engine.
		if failed := c.refuseQuarantined(); failed != nil {
			return c.giveUp(failed)
		}
		// Next decides between a run, a resume and giving up by what the earlier attempts
		// came to.
		step := c.attempts.Next()
		switch step.Kind {
		case attempt.StepRun:
			if last != nil && !c.prepareRetry(ctx, last) {
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

// giveUp ends the request without a complete response. It returns the failure to report, including
// whether the request may have run. A server error of a request that certainly did not run becomes
// 504 if the deadline was the cause and 503 otherwise.
func (c *modelCall) giveUp(last *failure) *failure {
	result := finalFailure(last, c.attempts.GiveUp())
	if result.runState == attempt.RanNo && result.status >= http.StatusInternalServerError {
		result.status = http.StatusServiceUnavailable
		if result.code == codeDeadlineTooShort || result.code == codeDeadlineExceeded {
			result.status = http.StatusGatewayTimeout
		}
		result.retryAfter = max(result.retryAfter, time.Second)
	}
	return result
}

// finalFailure returns the last failure with its run state replaced by ran. If the last attempt was
// refused but an earlier one may have run, the refusal is replaced: the caller must not be told to
// retry as if nothing had run.
func finalFailure(last *failure, ran attempt.Ran) *failure {
	if last == nil || (last.runState == attempt.RanNo && ran != attempt.RanNo) {
		last = upstreamFailure("the request was sent, but no whole answer came")
	}
	result := *last
	result.runState = ran
	return &result
}

// interruptedFailure returns the failure of a request whose deadline has passed
// or whose caller has disconnected, or nil for any other request.
func (c *modelCall) interruptedFailure(ctx context.Context) *failure {
	if c.timeLeft() > 0 && ctx.Err() == nil {
		return nil
	}
	if c.timeLeft() <= 0 || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.giveUp(&failure{
			status:    http.StatusGatewayTimeout,
			errorType: typeServer,
			code:      codeDeadlineExceeded,
			message:   "the deadline has passed",
		})
	}
	return c.giveUp(&failure{
		status:    statusCallerGone,
		errorType: typeInvalid,
		code:      codeCancelled,
		message:   "the caller has gone",
	})
}

// timeLeft returns the time until the deadline. Unlike timers and contexts, the
// proxy's clock keeps running while the machine is suspended.
func (c *modelCall) timeLeft() time.Duration { return c.deadline - c.proxy.clock() }

// prepareRetry charges the retry budget and waits for the backoff. It reports whether to retry. A
// retry that the deadline leaves no time for is charged and counted too. A refusal by an engine that
// is draining or changing its assignment is not charged: each engine refuses in this way only once,
// since it is then excluded, and a planned change must not exhaust the budget.
func (c *modelCall) prepareRetry(ctx context.Context, last *failure) bool {
	if c.retries >= c.proxy.config.Limits.Attempts {
		return false
	}
	if !last.budgetExempt && !c.lane.budget.Withdraw() {
		return false
	}
	c.proxy.metrics.retries.Inc()
	delay, fits := c.proxy.config.Backoff.Delay(c.retries, c.timeLeft(), c.rng)
	c.retries++
	if !fits {
		return false
	}
	if last.budgetExempt {
		return true
	}
	return pause.Sleep(ctx, delay)
}

// route asks the router for the engine to send the request to.
func (c *modelCall) route() (router.Decision, *failure) {
	s := c.proxy.viewState()
	if failed := c.proxy.refuseWithoutControl(&s, c.lane.kind); failed != nil {
		failed.final = true
		return router.Decision{}, failed
	}
	request := router.Request{
		ID:           c.id,
		Service:      c.lane.service,
		Class:        c.headers.class,
		Tenant:       c.headers.tenant,
		Model:        c.parsed.request.Model,
		Priority:     c.priority,
		PromptTokens: c.parsed.promptTokens,
		OutputTokens: c.expectedTokens,
		Blocks:       c.parsed.blocks,
		Deadline:     c.timeLeft(),
		Excluded:     c.excluded,
		Zone:         c.proxy.config.Zone,
	}
	_, request.Adapter, _ = strings.Cut(request.Model, ":")
	decision, reason := c.proxy.router.Route(c.lane.snapshot(&s), request, c.rng)
	if reason != router.ReasonNone {
		return decision, routeFailure(reason)
	}
	return decision, nil
}

// routeFailure returns the failure to report if the router finds no engine. It is final unless
// another try may find one.
func routeFailure(reason router.Reason) *failure {
	switch reason {
	case router.ReasonUnknownModel:
		// Unknown models were rejected earlier, so an intent has the model but no
		// engine has it loaded now.
		return unavailableFailure(codeNoEngine, "no engine serves the model now", time.Second)
	case router.ReasonClassRefused:
		return &failure{
			status:    http.StatusForbidden,
			errorType: typeInvalid,
			code:      codeClassRefused,
			message:   "no engine serves the class",
			runState:  attempt.RanNo,
			final:     true,
		}
	case router.ReasonDeadline:
		failed := deadlineTooShort("no engine can finish within the deadline", time.Second)
		failed.final = true
		return failed
	case router.ReasonAllExcluded:
		failed := unavailableFailure(codeNoEngine, "every engine was tried", time.Second)
		failed.final = true
		return failed
	default: // router.ReasonNoEngine
		return unavailableFailure(codeNoEngine, "no engine admits requests now", time.Second)
	}
}
