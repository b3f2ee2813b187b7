package ingress

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/retry"
)

// Charges to the retry budget, as used in logs.
const (
	chargeRun            = "run"
	chargePrefill        = "prefill"
	chargeRefusedPrefill = "refused_prefill"
)

// withdrawRetry takes one retry from the budget, or borrows one. It returns false, and notes the given
// trace entry, if there is none.
func (s *session) withdrawRetry(ctx context.Context, charge, traceEntry string) bool {
	if s.upstream.budget.Withdraw(s.ingress.now()) {
		s.logRetry(charge, true)
		return true
	}
	if reply := s.borrowRetry(ctx); reply.Granted {
		s.logRetry(charge, true, "loan", reply.Loan)
		return true
	}
	s.noteRetryRefused(charge, traceEntry)
	return false
}

// noteRetryRefused records that the budget did not allow a send.
func (s *session) noteRetryRefused(charge, traceEntry string) {
	s.trace.WriteString(" " + traceEntry)
	s.ingress.metrics.retriesRefused.WithLabelValues(s.upstream.service).Inc()
	s.logRetry(charge, false)
}

// prefillCharge is what a prefill takes from the retry budget.
type prefillCharge struct {
	prefiller *replica
	hold      retry.Hold
	loan      uint64 // 0 if none was borrowed
	// final is true if the prefill counts as a retry whatever its result.
	final  bool
	heldAt time.Duration
}

// mayCoverPrefill reports whether a first prefill would be covered as far as this proxy knows. A request that is
// placed without one is sent where it is read best.
func (s *session) mayCoverPrefill() bool {
	if s.direct {
		return false // one was not covered, or has failed
	}
	if s.triesPart() {
		return false // a prefill elsewhere would be a further send of a part that may be harmful
	}
	now := s.ingress.now()
	budget := s.upstream.budget
	return s.prefillCount > 0 || budget.CanHold(now) || budget.ExpectsHoldsBack() || budget.ShouldBorrow() && s.mayBorrow(now)
}

// coverPrefill charges a prefill to the retry budget before it is sent, and returns false if the budget does
// not cover it. A request's first prefill is a retry only if it is refused, which is not known in advance:
// its charge is returned otherwise. Every later prefill is one whatever its result. While the charges of other
// prefills are expected back, it waits for one; unreadTokens is how much there is to read.
func (s *session) coverPrefill(ctx context.Context, prefiller *replica, unreadTokens int) (prefillCharge, bool) {
	if s.prefillCount > 0 {
		return prefillCharge{final: true}, s.withdrawRetry(ctx, chargePrefill, "read_budget")
	}
	until := s.coverDeadline(unreadTokens)
	for {
		charge, wait := s.tryCoverPrefill(ctx, prefiller)
		if charge.prefiller != nil {
			return charge, true
		}
		if wait <= 0 || s.ingress.now()+wait > until || !pause.Sleep(ctx, wait) {
			s.noteRetryRefused(chargePrefill, "read_budget")
			return prefillCharge{}, false
		}
	}
}

// tryCoverPrefill returns the charge of a first prefill. If there is none, the charge is empty, and wait is the time
// after which to try again, 0 if nothing is expected back.
func (s *session) tryCoverPrefill(ctx context.Context, prefiller *replica) (charge prefillCharge, wait time.Duration) {
	budget, now := s.upstream.budget, s.ingress.now()
	if hold, covered := budget.Hold(now); covered {
		return prefillCharge{prefiller: prefiller, hold: hold, heldAt: now}, 0
	}
	if !budget.ShouldBorrow() {
		return prefillCharge{}, 0
	}
	reply := s.borrowRetry(ctx)
	if reply.Granted {
		return prefillCharge{prefiller: prefiller, hold: retry.BorrowedHold(), loan: reply.Loan, heldAt: now}, 0
	}
	if reply.Wait <= 0 && budget.ExpectsHoldsBack() {
		return prefillCharge{}, holdPause
	}
	return prefillCharge{}, reply.Wait
}

// settlePrefill returns the charge of a prefill that was not refused, unless it is final.
func (s *session) settlePrefill(charge prefillCharge, refused bool) {
	if charge.final {
		return
	}
	now := s.ingress.now()
	s.upstream.budget.Settle(charge.hold, now, refused)
	if charge.loan != 0 && !refused {
		s.returnRetry(charge.loan)
	}
	if refused {
		s.logRetry(chargeRefusedPrefill, true, "replica", charge.prefiller.name, "held_ms", (now - charge.heldAt).Milliseconds(), "loan", charge.loan)
	}
}

// logRetry logs a decision of the retry budget. further are keys and values of its own.
func (s *session) logRetry(charge string, granted bool, further ...any) {
	now := s.ingress.now()
	state := s.upstream.budget.State(now)
	fields := []any{"request", s.call.ID, "service", s.upstream.service, "charge", charge,
		"granted", granted, "left", state.Left, "requests", state.Requests, "uptime_ms", now.Milliseconds()}
	event.RetryCharged.Log(s.ingress.logger, append(fields, further...)...)
}
