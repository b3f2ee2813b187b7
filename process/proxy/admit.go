package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/limit"
)

// admit charges the tenant's rate limit, completes the ticket with the limits of the tenant and
// class, and waits for a slot in the lane's queue. Call release when the request has ended.
func (p *Proxy) admit(ctx context.Context, l *lane, ticket limit.Ticket) (release func(), failed *failure) {
	current := p.lanes.catalog.Load()
	if tenant := current.view.Tenants[ticket.Tenant]; tenant != nil {
		ticket.Weight = tenant.Spec.Weight
		allowed := limit.Rate{PerSecond: tenant.Spec.TokensPerSecond, Burst: tenant.Spec.Burst}
		if wait, taken := p.buckets.Take(ticket.Tenant, allowed, int(ticket.Cost), time.Now()); !taken {
			ticket.Gate.Expire() // marks the request as not run
			return nil, rateLimitFailure(wait)
		}
	}
	if class := current.view.Classes[ticket.Class]; class != nil {
		ticket.QueueLimit = class.Spec.QueueLimit
		ticket.MaxInFlight = class.Spec.MaxInFlight
	}
	release, refusal := l.queue.Acquire(ctx, ticket)
	if refusal != nil {
		return nil, queueFailure(refusal)
	}
	return release, nil
}

func rateLimitFailure(wait time.Duration) *failure {
	return &failure{
		status:     http.StatusTooManyRequests,
		errorType:  typeRateLimit,
		code:       codeRateLimited,
		message:    "the tenant's tokens are used up; they suffice again in " + strconv.FormatFloat(wait.Seconds(), 'f', 1, 64) + " s",
		runState:   attempt.RanNo,
		retryAfter: max(wait, time.Second),
	}
}

// queueFailure returns the failure to report for a refusal by the queue.
func queueFailure(refusal *limit.Refusal) *failure {
	switch refusal.Reason {
	case limit.ReasonQueueFull:
		return unavailableFailure(codeQueueFull, "too many requests of the class are waiting", refusal.RetryAfter)
	case limit.ReasonDeadline:
		return deadlineTooShort("the wait for a place is longer than the deadline", max(refusal.RetryAfter, time.Second))
	case limit.ReasonExpired:
		failed := deadlineTooShort("the deadline passed in the queue", max(refusal.RetryAfter, time.Second))
		failed.code = codeDeadlineExceeded
		return failed
	default: // limit.ReasonCancelled
		return &failure{
			status:    statusCallerGone,
			errorType: typeInvalid,
			code:      codeCancelled,
			message:   "the caller has gone",
			runState:  attempt.RanNo,
		}
	}
}
