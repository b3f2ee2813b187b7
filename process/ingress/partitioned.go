package ingress

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/request/reach"
)

// causeUnreachable is returned to callers of a proxy that reaches no replica.
const causeUnreachable = "unreachable"

// refuseIfPartitioned returns a plan to refuse the request at once if this proxy reaches no replica.
// Other proxies may: where there are any, the caller may return to one of them right away.
func (s *session) refuseIfPartitioned() (plan, bool) {
	reachable := s.ingress.reachability
	if !reachable.isPartitioned() || reachable.hasLiveConnections() {
		return plan{}, false
	}
	retryAfter := defaultRetryAfter
	if s.ingress.upstreams.proxies.Load() > 1 {
		retryAfter = minimumRetryAfter
	}
	return plan{refused: true, retryAfter: retryAfter, closedCause: causeUnreachable}, true
}

// confirmedFailure is a failed send and, once it is known, whether it was the replica's fault.
type confirmedFailure struct {
	err          error
	known        bool
	replicaFault bool
}

// recordFailure records a failed send, once for each failure, and has it verified whether this proxy
// reaches any replica.
func (s *session) recordFailure(err error) {
	if s.confirmed.err == err {
		return
	}
	s.ingress.reachability.recordFailure(failureOf(err))
	s.confirmed = confirmedFailure{err: err}
}

// isReplicaFault records a failed send, and reports whether that is the replica's fault: false if this
// proxy turns out to reach no replica at all. It waits until that is known.
func (s *session) isReplicaFault(ctx context.Context, err error) bool {
	s.recordFailure(err)
	if !s.confirmed.known {
		s.confirmed.known, s.confirmed.replicaFault = true, s.ingress.reachability.confirm(ctx)
	}
	return s.confirmed.replicaFault
}

// failureOf returns in which way the replica of a failed send has failed.
func failureOf(err error) reach.Failure {
	if notSent(err) {
		return reach.NoConnection
	}
	return reach.NoResponse
}

// recordReached records that a replica has answered.
func (s *session) recordReached(answer *exchange.Response) {
	now := s.ingress.now()
	s.ingress.reachability.tracker.RecordData(now)
	if !answer.Reused {
		s.ingress.reachability.tracker.RecordConnection(now, answer.ConnOpenedAt)
	}
}

// watchReach has it verified that a replica is reached if an attempt that began at sentAt goes
// unanswered, and cancels the attempt if none is and the request may be sent again elsewhere. The
// returned function ends the watch.
func (s *session) watchReach(ctx context.Context, sentAt time.Duration, cancel context.CancelCauseFunc) (stop func()) {
	reachable := s.ingress.reachability
	timer := time.AfterFunc(stallTime, func() { reachable.recordStall(sentAt) })
	stopCancel := func() bool { return true }
	if s.route.Idempotent() {
		stopCancel = reachable.onPartition(func() {
			if reachable.awaitSilence(ctx, sentAt) {
				cancel(errPartitioned)
			}
		})
	}
	return func() {
		timer.Stop()
		stopCancel()
	}
}
