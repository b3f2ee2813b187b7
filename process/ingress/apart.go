package ingress

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/process/pause"
)

// Timing of requests that only a leader may place, while there is no leader or it does not
// answer.
const (
	// leaderPollInterval is the time between two checks, maxLeaderWait the longest wait after the
	// request's arrival. It need not span the whole change of leader, which takes up to a few
	// seconds: the caller is told to retry after leaderRetryAfter.
	leaderPollInterval = 50 * time.Millisecond
	maxLeaderWait      = time.Second
	leaderRetryAfter   = time.Second
)

// placeSafely places the request like place, but sends a request suspected of crashing replicas
// only where a leader says. If the proxy chose a replica by itself because the leader did not
// answer or was being replaced, the suspected request would run beside others although the leader
// delays or isolates it, and each copy could crash a replica. A standby member does not isolate it
// either.
func (s *session) placeSafely(ctx context.Context) (plan, bool) {
	for {
		needsLeader := s.needsLeader()
		if !needsLeader || s.ingress.guard.HasLeader() {
			if chosen, decided := s.place(ctx); decided || !needsLeader {
				return chosen, decided
			}
		}
		if !s.mayWaitForLeader() || !pause.Sleep(ctx, leaderPollInterval) {
			return plan{refused: true, retryAfter: leaderRetryAfter}, true
		}
		s.ingress.routes() // applies the latest quarantine record
		if _, quarantined := s.quarantineHold(); quarantined {
			return plan{quarantined: true}, true
		}
	}
}

// needsLeader reports whether only a leader may place the request. A stream that has already
// produced events may continue anywhere.
func (s *session) needsLeader() bool {
	guard := s.ingress.guard
	return guard.Active() && s.events == 0 && guard.RequiresLeader(s.ingress.now(), s.fingerprint())
}

// mayWaitForLeader reports whether the request has time to ask for a placement once more.
func (s *session) mayWaitForLeader() bool {
	return s.ingress.now()-s.arrivedAt < maxLeaderWait && s.remaining() > 2*leaderPollInterval
}
