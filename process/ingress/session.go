package ingress

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/request/resume"
	"github.com/landingtrail/landingtrail/version/api"
)

// session is the state of one caller's request from arrival to final answer.
type session struct {
	ingress   *Ingress
	writer    http.ResponseWriter
	call      Call
	route     *api.Route
	upstream  *upstream
	lifecycle *attempt.Lifecycle
	random    *rand.Rand

	generation     uint64 // of the Ingress object that the request was routed by
	priority       int    // of the tenant, or of the route
	arrivedAt      time.Duration
	deadline       time.Duration // the earlier of the caller's and the route's
	callerDeadline time.Duration // when the caller stops waiting

	sendCount    int // runs sent to replicas
	prefillCount int // prefills sent to other replicas; see coverPrefill
	dialFailures int // connections that could not be opened
	// contacted holds the addresses to which the request was sent, to prefill or to run it.
	contacted map[string]bool
	excluded  map[string]bool // names of replicas that were tried, which are not chosen again
	// permits holds the unused permits for limited replicas, by name; nil until there is one.
	permits map[string]permit
	// limitRefused is true once the request was not granted for a replica.
	limitRefused bool
	// direct is true if the current attempt is made without a prefill on another replica, because the retry budget does
	// not cover one or it has failed. placedDirect is true if its last placement was requested so.
	direct, placedDirect bool
	// answered is true once the replica of the current attempt has answered.
	answered bool
	// misdirected is true if another replica answered at the address in the current attempt.
	misdirected bool
	// connectionRefused is true if nothing listens at the address in the current attempt.
	connectionRefused bool
	// withheld is true if the replica is not to blame: nothing was sent because it asked for a pause,
	// is leaving or has a limit that leaves no room, or this proxy reaches no replica at all.
	withheld bool
	// confirmed is the last failed send of which it was confirmed whose fault it was.
	confirmed confirmedFailure
	// bodyAbandoned is true once a body was abandoned because it did not seem to end. If that of another replica
	// is as large or slow, it is passed on.
	bodyAbandoned bool
	// retryPrepaid is true if the next send was already taken from the retry budget.
	retryPrepaid bool
	callerConn   *callerConn // nil in some tests
	// heldUp is true once a replica has ended an answer that the caller left unread.
	heldUp bool
	// headSent is true once the head of an answer was sent to the caller.
	headSent bool
	// unresumable is true once the caller has received data that no other run can continue:
	// anything but stream events with IDs.
	unresumable  bool
	lastEventID  string
	events       int
	firstEventAt time.Duration // when the first event was received
	// capacityWait is the estimated time until there is capacity for the request, as last given by
	// the control group.
	capacityWait time.Duration
	// closedCause is set if capacityWait is the time until the first replica accepts a request again,
	// because all of them have asked for a pause or have used up their limits.
	closedCause string
	// origin is what the caller has of the stream.
	origin origin
	// streamIDs identify the stream; nil until they are computed.
	streamIDs []resume.Stream
	// usageCounted is true once a replica has started the request, which is counted once.
	usageCounted bool
	// failure is an error answer from a replica, passed on if no later attempt succeeds.
	failure           *savedAnswer
	trace             strings.Builder         // attempts, their results and this proxy's decisions, for the log
	cachedFingerprint *quarantine.Fingerprint // nil until it is computed
	crashes           int                     // runs during which the replica seems to have crashed
	crashUnknown      bool                    // a run broke, and this proxy reached no replica that could show why
	cachedPartRun     *parts.Run              // nil until it is computed
	// wasIsolated is true once the request was assigned to a replica with no other request in
	// flight. isolated is true if the current attempt is such a one.
	wasIsolated bool
	isolated    bool
}

// savedAnswer is a complete answer of a replica.
type savedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// verdict is the result of one attempt.
type verdict uint8

const (
	verdictDone        verdict = iota + 1 // the caller has a complete answer
	verdictNotRun                         // no replica has run the request in this attempt
	verdictBroken                         // it may have run but produced no complete answer
	verdictCallerEnd                      // the caller is gone or its deadline has passed
	verdictNoCapacity                     // no replica would answer before the deadline
	verdictTooLate                        // the deadline passed before the request was sent
	verdictQuarantined                    // quarantined, so that it must not be sent to a replica
)

// maxDialFailures is the number of connections that may fail before a request is given up.
const maxDialFailures = 3

// run makes attempts until the request has its final answer. It returns the status for the log and
// the metrics: 200 for any answer of a replica that was passed on completely, whatever its own
// status; the status of any other final answer; statusCallerGone if the caller has gone; or 0 if
// the connection must be closed without a complete answer.
func (s *session) run(ctx context.Context) int {
	if !s.findOrigin(ctx) {
		return s.giveUp(causeUnknownStream)
	}
	for {
		if ctx.Err() != nil {
			return s.answerInterrupted(ctx)
		}
		if s.outOfTime() {
			return s.giveUp("no_time")
		}
		// Checked before each send: a crash that became known in the meantime may have quarantined
		// the request.
		hold, quarantined := s.quarantineHold()
		if quarantined {
			hold, quarantined = s.awaitPartTrial(ctx, hold)
		}
		if ctx.Err() != nil {
			continue // answered at the top of the loop
		}
		if quarantined {
			return s.refuseQuarantined(hold)
		}
		if !s.mayAttempt(ctx) {
			return s.giveUp("attempts")
		}
		result, target := s.try(ctx)
		if target != nil {
			fmt.Fprintf(&s.trace, " %s:%s", target.name, result)
			s.ingress.metrics.attempts.WithLabelValues(s.upstream.service, result.String()).Inc()
		}
		switch result {
		case verdictDone:
			return http.StatusOK
		case verdictCallerEnd:
			return s.answerInterrupted(ctx)
		case verdictNoCapacity:
			return s.giveUp(cmp.Or(s.closedCause, "no_capacity"))
		case verdictTooLate:
			return s.giveUp("no_time")
		case verdictQuarantined:
			continue // refused at the top of the loop
		case verdictNotRun:
			if target == nil {
				return s.giveUp("no_replica")
			}
		case verdictBroken:
			if !s.route.Idempotent() || s.unresumable {
				return s.giveUp("broken")
			}
		}
		s.excluded[target.name] = true
	}
}

// String returns the name of the verdict as used in logs and metrics.
func (v verdict) String() string {
	names := [...]string{"", "done", "not_run", "broken", "caller_end", "no_capacity", "too_late", "held"}
	return names[v]
}

// outOfTime reports whether there is too little time left to send the request. Before the first
// send this is so if the deadline has passed, possibly during a suspension of the machine, when
// timers do not advance. Before a later send the remaining time must also suffice for a run, since
// the next replica would refuse the request otherwise.
func (s *session) outOfTime() bool {
	if s.sendCount == 0 && s.prefillCount == 0 {
		return s.remaining() <= 0
	}
	return s.remaining() < s.ingress.config.Timeouts.Transit+minRunTime
}

// mayAttempt reports whether another send is allowed by the route's limit on attempts and by the
// retry budget that all proxies share. It withdraws a retry from the budget if one is needed.
func (s *session) mayAttempt(ctx context.Context) bool {
	if s.dialFailures > maxDialFailures || s.sendCount >= max(s.route.Attempts, 1) {
		return false
	}
	// The request is not sent again if its runs in this session crashed enough replicas to
	// quarantine it, or if they crashed at least one and enough crashes in all are known. Waiting
	// for the control group's decision could cost another replica, whereas a harmless request
	// loses only one retry.
	if s.crashes >= quarantine.HarmfulIncidents || s.crashes > 0 && s.ingress.guard.HasManyCrashes(s.ingress.now(), s.fingerprint()) {
		return false
	}
	if s.sendCount == 0 {
		return true
	}
	if s.retryPrepaid {
		s.retryPrepaid = false
		return true
	}
	return s.withdrawRetry(ctx, chargeRun, "budget")
}

// giveUp sends the final answer if no further attempt is made, which may be before the first one.
func (s *session) giveUp(cause string) int {
	ran := s.lifecycle.GiveUp()
	if s.headSent {
		fmt.Fprintf(&s.trace, " cut:%s", cause)
		return 0
	}
	if s.failure != nil {
		return s.forwardFailure()
	}
	if ran == attempt.RanNo {
		return s.answerError(http.StatusServiceUnavailable, cause, s.retryAfter())
	}
	return s.answerError(http.StatusBadGateway, cause, 0)
}

// answerInterrupted answers a request whose deadline has passed or whose process is stopping. It
// sends nothing if the caller has gone.
func (s *session) answerInterrupted(ctx context.Context) int {
	ran := s.lifecycle.GiveUp()
	if s.callerStalled() || s.heldUp {
		s.trace.WriteString(" cut:" + causeCallerStalled)
		return 0
	}
	cause := "timeout"
	switch context.Cause(ctx) {
	case errTimeout:
	case errStopping:
		cause = causeStopping
	default:
		s.trace.WriteString(" caller_gone")
		return statusCallerGone
	}
	if s.headSent {
		s.trace.WriteString(" cut:" + cause)
		return 0
	}
	if ran == attempt.RanNo {
		return s.answerError(http.StatusServiceUnavailable, cause, s.retryAfter())
	}
	return s.answerError(http.StatusGatewayTimeout, cause, 0)
}

// statusCallerGone is logged for a request whose caller has gone.
const statusCallerGone = 499

// retryAfter returns the retry delay to send to the caller.
func (s *session) retryAfter() time.Duration {
	remaining := s.callerDeadline - s.ingress.now()
	if s.closedCause != "" {
		return s.capacityWait // not limited, since no replica accepts the request earlier
	}
	if s.capacityWait > 0 {
		return max(min(s.capacityWait, time.Duration(capacityWaitShare*float64(remaining))), minimumRetryAfter)
	}
	return max(min(defaultRetryAfter, remaining/retryShareOfRemaining), minimumRetryAfter)
}

const (
	defaultRetryAfter = 250 * time.Millisecond
	minimumRetryAfter = 20 * time.Millisecond
	// retryShareOfRemaining is the divisor of the caller's remaining time that limits the delay.
	retryShareOfRemaining = 6
	// capacityWaitShare is the share of the caller's remaining time that a wait for capacity may
	// take up.
	capacityWaitShare = 0.3
)

// answerError sends a final answer that the proxy generates itself, whether or not the request was
// sent to replicas.
func (s *session) answerError(status int, cause string, retryAfter time.Duration) int {
	fmt.Fprintf(&s.trace, " own:%s", cause)
	header := s.writer.Header()
	s.ingress.config.Dialect.Refusal(header, &s.call, retryAfter)
	writeRefusal(s.writer, status, cause)
	return status
}

func writeRefusal(w http.ResponseWriter, status int, cause string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(cause + "\n")) // the caller may have gone
}

// remaining returns the time until the request's deadline.
func (s *session) remaining() time.Duration { return s.deadline - s.ingress.now() }

// replicaTimeout returns how long a replica may work on the request: the remaining time less the
// time for the answer's way back.
func (s *session) replicaTimeout() time.Duration {
	return max(s.remaining()-s.ingress.config.Timeouts.Transit, time.Millisecond)
}

// forwardFailure passes on a replica's error answer unchanged.
func (s *session) forwardFailure() int {
	copyHeader(s.writer.Header(), s.failure.header)
	s.headSent = true
	s.writer.WriteHeader(s.failure.status)
	_, _ = s.writer.Write(s.failure.body) // the caller may have gone
	return s.failure.status
}

// countUsage counts the request for its tenant. ago is the time since a replica started it. Later
// runs, and runs that continue its stream, belong to the same request and are not counted again.
func (s *session) countUsage(ago time.Duration) {
	if s.usageCounted || s.ingress.usage == nil {
		return
	}
	s.usageCounted = true
	s.ingress.usage.CountRequest(s.call.Tenant, ago)
}
