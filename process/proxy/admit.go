package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/limit"
)

// admit charges the tenant and waits for a place in the lane. The release
// function is to be called when the request has ended.
func (p *Proxy) admit(ctx context.Context, l *lane, ticket limit.Ticket) (release func(), failed *failure) {
	known := p.lanes.catalog.Load()
	if tenant := known.view.Tenants[ticket.Tenant]; tenant != nil {
		ticket.Weight = tenant.Spec.Weight
		allowed := limit.Rate{PerSecond: tenant.Spec.TokensPerSecond, Burst: tenant.Spec.Burst}
		if wait, taken := p.buckets.Take(ticket.Tenant, allowed, int(ticket.Cost), time.Now()); !taken {
			ticket.Gate.Expire()
			return nil, rateLimited(wait)
		}
	}
	if class := known.view.Classes[ticket.Class]; class != nil {
		ticket.QueueLimit = class.Spec.QueueLimit
		ticket.MaxInFlight = class.Spec.MaxInFlight
	}
	release, refusal := l.queue.Acquire(ctx, ticket)
	if refusal != nil {
		return nil, refuseQueue(refusal)
	}
	return release, nil
}

func rateLimited(wait time.Duration) *failure {
	return &failure{
		status:     http.StatusTooManyRequests,
		kind:       typeRateLimit,
		code:       codeRateLimited,
		message:    "the tenant's tokens are used up; they suffice again in " + strconv.FormatFloat(wait.Seconds(), 'f', 1, 64) + " s",
		ran:        attempt.RanNo,
		retryAfter: max(wait, time.Second),
	}
}

// refuseQueue is the answer to each refusal of the queue.
func refuseQueue(refusal *limit.Refusal) *failure {
	switch refusal.Reason {
	case limit.ReasonQueueFull:
		return unavailable(codeQueueFull, "too many requests of the class are waiting", refusal.RetryAfter)
	case limit.ReasonDeadline:
		return deadlineShort("the wait for a place is longer than the deadline", max(refusal.RetryAfter, time.Second))
	case limit.ReasonExpired:
		failed := deadlineShort("the deadline passed in the queue", max(refusal.RetryAfter, time.Second))
		failed.code = codeDeadlineExceeded
		return failed
	default:
		return &failure{
			status:  statusClientClosed,
			kind:    typeInvalid,
			code:    codeCancelled,
			message: "the caller has gone",
			ran:     attempt.RanNo,
		}
	}
}
