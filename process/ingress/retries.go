package ingress

import (
	"github.com/landingtrail/landingtrail/process/event"
)

// Charges to the retry budget, as used in logs.
const (
	chargeRun            = "run"
	chargePrefill        = "prefill"
	chargeRefusedPrefill = "refused_prefill"
)

// withdrawRetry takes one retry from the budget. It returns false, and notes the given trace entry,
// if the budget allows none.
func (s *session) withdrawRetry(charge, traceEntry string) bool {
	if !s.upstream.budget.Withdraw(s.ingress.now()) {
		s.noteRetryRefused(charge, traceEntry)
		return false
	}
	s.logRetry(charge, true)
	return true
}

// noteRetryRefused records that the budget did not allow a send.
func (s *session) noteRetryRefused(charge, traceEntry string) {
	s.trace.WriteString(" " + traceEntry)
	s.ingress.metrics.retriesRefused.WithLabelValues(s.upstream.service).Inc()
	s.logRetry(charge, false)
}

// countRefusedPrefill charges a prefill that was free when it was sent.
func (s *session) countRefusedPrefill() {
	s.upstream.budget.CountRetry(s.ingress.now())
	s.logRetry(chargeRefusedPrefill, true)
}

// logRetry logs a decision of the retry budget.
func (s *session) logRetry(charge string, granted bool) {
	now := s.ingress.now()
	state := s.upstream.budget.State(now)
	event.RetryCharged.Log(s.ingress.logger, "request", s.call.ID, "service", s.upstream.service, "charge", charge,
		"granted", granted, "left", state.Left, "requests", state.Requests, "uptime_ms", now.Milliseconds())
}
