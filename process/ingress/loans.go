package ingress

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/request/retry"
)

// lender lends single retries of the reserve that no proxy has by itself; implemented by *feed.Client.
type lender interface {
	BorrowRetry(ctx context.Context, request retry.LoanRequest) (retry.LoanReply, error)
	ReturnRetry(request retry.LoanRequest) bool
}

// pooledReserve is the share of the reserve that the leader lends.
const pooledReserve = 0.3

const (
	// lenderPause is how long a lender that has nothing left, or does not answer, is not asked again. It bounds the
	// messages of a service that fails as a whole.
	lenderPause = 300 * time.Millisecond
	// maxCoverWait, and coverWaitShare of the time until the objective is missed, limit the wait for a loan or a hold
	// that is expected back. holdPause is the time between two looks at the holds of this proxy.
	maxCoverWait   = 500 * time.Millisecond
	coverWaitShare = 0.5
	holdPause      = 40 * time.Millisecond
	// startupTime is the time after the start in which a process finds the leader.
	startupTime = 2 * time.Second
	// leastAwaited is the number of prompt tokens below which a prompt is read where it runs rather than later.
	leastAwaited = 1500
)

// lenderState is what an upstream knows of the lender.
type lenderState struct {
	askFrom atomic.Int64 // as a time.Duration of the clock
	asking  atomic.Bool  // one request at a time asks
}

// mayBorrow reports whether the lender may have something left.
func (s *session) mayBorrow(now time.Duration) bool {
	return s.ingress.lender != nil && now >= time.Duration(s.upstream.lender.askFrom.Load())
}

// borrowRetry asks the leader for one retry that this proxy's own part of the budget does not cover. While another
// request asks, the reply says to wait.
func (s *session) borrowRetry(ctx context.Context) retry.LoanReply {
	known := &s.upstream.lender
	if !s.mayBorrow(s.ingress.now()) {
		return retry.LoanReply{}
	}
	if !known.asking.CompareAndSwap(false, true) {
		return retry.LoanReply{Wait: holdPause}
	}
	defer known.asking.Store(false)
	ctx, cancel := context.WithTimeout(ctx, chargeTimeout)
	defer cancel()
	reply, err := s.ingress.lender.BorrowRetry(ctx, s.ingress.upstreams.loanRequest(s.upstream.service, 0))
	if err != nil && s.ingress.now() < startupTime {
		return retry.LoanReply{Wait: holdPause}
	}
	if err != nil || !reply.Granted && reply.Wait <= 0 {
		known.askFrom.Store(int64(s.ingress.now() + lenderPause))
		return retry.LoanReply{}
	}
	return reply
}

// coverDeadline returns until when the request waits for a cover of its prefill.
func (s *session) coverDeadline(unreadTokens int) time.Duration {
	now := s.ingress.now()
	if unreadTokens < leastAwaited {
		return now
	}
	untilLate := s.arrivedAt + s.objective() - now
	return now + min(maxCoverWait, time.Duration(coverWaitShare*float64(untilLate)))
}

// returnRetry returns a loan that turned out not to be needed.
func (s *session) returnRetry(loan uint64) {
	s.ingress.lender.ReturnRetry(s.ingress.upstreams.loanRequest(s.upstream.service, loan))
}

// loanRequest returns a request for a retry of a service, or for the return of the loan if it is not 0.
func (u *upstreams) loanRequest(service string, loan uint64) retry.LoanRequest {
	config := u.config.Retry
	return retry.LoanRequest{Service: service, Reserve: pooledReserve * config.Reserve, Window: config.Window, Loan: loan}
}
