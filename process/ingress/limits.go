package ingress

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/version/api"
)

// Replicas state in their answers how many requests per second they accept from all proxies together.
// While one does, each request for it needs a permit. A member of the control group grants permits
// from one account for all proxies; while none answers, this proxy grants from its own share. Limits are
// applied at four points:
//
//   - Placing a request: the control group names no replica whose account is empty.
//   - Choosing a replica: one that has refused a permit is no candidate until it has room again.
//   - Before a run is sent, because its limit may have begun, or its permit expired, during the prefill.
//   - Once the connection is open and before anything is written, since opening it takes time.

// limitCharger grants permits for limited replicas and receives this proxy's reports of limits;
// implemented by *feed.Client.
type limitCharger interface {
	ChargeLimit(ctx context.Context, request ratelimit.Request) (ratelimit.Reply, error)
	ReportLimit(request ratelimit.Request) bool
}

// permit is the permission to send one request to a limited replica.
type permit struct {
	granted   bool
	grantedAt time.Duration
}

// noPermit is used for requests that are never sent to limited replicas.
var noPermit = permit{}

// permitLifetime limits the time from the grant of a permit to its use. Permits that were used much
// later than they were granted could add up to more than the rule allows in a window.
const permitLifetime = time.Second

func (p permit) isValid(now time.Duration) bool {
	return p.granted && now-p.grantedAt <= permitLifetime
}

// takePermit returns the permit for a replica, which may be used once.
func (s *session) takePermit(replica string) permit {
	taken := s.permits[replica]
	delete(s.permits, replica)
	return taken
}

// keepPermit keeps a permit that was granted now.
func (s *session) keepPermit(replica string) {
	if s.permits == nil {
		s.permits = map[string]permit{}
	}
	s.permits[replica] = permit{granted: true, grantedAt: s.ingress.now()}
}

// obtainPermit reports whether the request may be sent to the replica: it has no limit, or a permit
// was granted.
func (s *session) obtainPermit(ctx context.Context, to *replica) bool {
	now := s.ingress.now()
	if !to.holdoff.IsLimited() || s.permits[to.name].isValid(now) {
		return true
	}
	if to.holdoff.ExhaustedFor(now) > 0 {
		s.limitRefused = true
		return false
	}
	report := to.holdoff.LimitReport(now)
	reply, by := s.askPermit(ctx, to, ratelimit.Request{Service: s.upstream.service, Replica: to.name, Report: report, Priority: s.priority})
	outcome := limitGranted
	if !reply.Granted {
		outcome = limitRefused
	}
	s.ingress.metrics.limitGrants.WithLabelValues(s.upstream.service, outcome, by).Inc()
	if reply.Granted {
		s.keepPermit(to.name)
		return true
	}
	s.limitRefused = true
	to.holdoff.Exhaust(s.ingress.now() + max(reply.Wait, minExhausted))
	event.LimitRefused.Log(s.ingress.logger, "request", s.call.ID, "replica", to.name, "per_second", reply.Report.PerSecond,
		"age_ms", report.Age.Milliseconds(), "wait_ms", reply.Wait.Milliseconds(), "alone", by == chosenByProxy)
	return false
}

// minExhausted is the least time for which a replica that refused a permit is asked for no other one.
// It bounds the messages for a replica whose rate is large and still too small.
const minExhausted = 50 * time.Millisecond

// askPermit asks the control group for a permit and waits up to chargeTimeout. If no member has answered
// for a while, it decides by this proxy's own share. by is who decided.
func (s *session) askPermit(ctx context.Context, to *replica, request ratelimit.Request) (reply ratelimit.Reply, by string) {
	if s.ingress.limitCharger != nil {
		ctx, cancel := context.WithTimeout(ctx, chargeTimeout)
		defer cancel()
		if reply, err := s.ingress.limitCharger.ChargeLimit(ctx, request); err == nil {
			s.ingress.limitShares.RecordAnswer()
			if reply.Report.Kind != ratelimit.Limited { // another proxy has reported the end of the limit
				s.ingress.applyLimitReport(to.holdoff, reply.Report)
			}
			return reply, chosenByGroup
		}
	}
	proxies := int(s.ingress.upstreams.proxies.Load())
	granted, wait := s.ingress.limitShares.Draw(s.ingress.now(), to.name, request.Report.PerSecond, proxies)
	return ratelimit.Reply{Report: request.Report, Granted: granted, Wait: wait}, chosenByProxy
}

// applyLimit applies what the answer to a request of this session states about its replica's rate.
// Answers that name no request, or come from another replica, state nothing.
func (s *session) applyLimit(from *holdoff.Replica, sentAt time.Duration, reply *Reply) {
	if reply.Misdirected || !reply.HasRequestID {
		return
	}
	if from.ObserveLimit(sentAt, s.ingress.now(), s.ingress.wallClock(), reply.Limit) {
		s.ingress.logLimitChange(from, s.call.ID)
		s.ingress.reportLimit(s.upstream.service, from)
	}
}

// applyLimitReport applies the report of a member of the control group on a replica's rate.
func (i *Ingress) applyLimitReport(replica *holdoff.Replica, report ratelimit.Report) {
	if replica.ObserveLimitReport(i.now(), i.wallClock(), report) {
		i.logLimitChange(replica, "")
	}
}

// applyAnnouncedLimits applies limits that a member of the control group announces to all proxies.
func (i *Ingress) applyAnnouncedLimits(reports []ratelimit.NamedReport) {
	for _, named := range reports {
		i.applyLimitReport(i.upstreams.holdoffs.Find(named.Replica), named.Report)
	}
}

// logLimitChange logs the begin or the end of a limit. request is the one whose answer stated it; empty
// if a member announced it.
func (i *Ingress) logLimitChange(replica *holdoff.Replica, request string) {
	report := replica.LimitReport(i.now())
	event.ReplicaLimited.Log(i.logger, "replica", replica.Name(), "request", request, "announced", request == "",
		"limited", report.Kind == ratelimit.Limited, "per_second", report.PerSecond, "age_ms", report.Age.Milliseconds())
}

// reportLimit reports a replica's rate to the member that grants permits.
func (i *Ingress) reportLimit(service string, replica *holdoff.Replica) {
	if i.limitCharger == nil {
		return
	}
	i.limitCharger.ReportLimit(ratelimit.Request{Service: service, Replica: replica.Name(), Report: replica.LimitReport(i.now())})
}

// reportAllLimits reports the limits, and those that ended not long ago, to a member that has just started to
// grant permits. Without the ends it would learn them only from the next requests to these replicas.
func (i *Ingress) reportAllLimits() {
	for _, upstream := range i.upstreams.all() {
		for _, current := range upstream.fleet.inUse() {
			if current.holdoff.HasRecentLimit(i.now()) {
				i.reportLimit(upstream.service, current.holdoff)
			}
		}
	}
}

// maxPermitRefusals is how many replicas may refuse a permit to one request before it is refused.
// After the first one, replicas without a limit are preferred.
const maxPermitRefusals = 3

// choosePermitted chooses by this proxy's own knowledge until the request has a permit for each
// limited replica of the plan.
func (s *session) choosePermitted(ctx context.Context, choose func(now time.Duration) plan) plan {
	for range maxPermitRefusals {
		chosen := choose(s.ingress.now())
		if chosen.target == nil || s.obtainPermits(ctx, &chosen) {
			return chosen
		}
		if closed, all := s.refuseIfAllClosed(s.ingress.now()); all {
			return closed
		}
	}
	return s.refuseByLimit(s.ingress.now(), 0)
}

// obtainPermits reports whether the request has a permit for each limited replica of the plan.
func (s *session) obtainPermits(ctx context.Context, chosen *plan) bool {
	return s.obtainPermit(ctx, chosen.target) && (chosen.prefiller == nil || s.obtainPermit(ctx, chosen.prefiller))
}

// refuseByLimit returns a plan to refuse the request because the replicas have used up their limits.
// The caller may return after first at the earliest, and when the limits leave room for it after the
// callers that were refused before.
func (s *session) refuseByLimit(now, first time.Duration) plan {
	share := s.upstream.limitSum(now) / float64(max(s.ingress.upstreams.proxies.Load(), 1))
	return plan{refused: true, retryAfter: s.upstream.retryPacer.Next(now, first, share), closedCause: causeLimit}
}

// limitSum returns the sum of the limits, in requests per second, of the replicas that could run a
// request.
func (u *upstream) limitSum(now time.Duration) float64 {
	sum := 0.0
	u.fleet.forEach(func(entry *api.Replica, current *replica) bool {
		if current != nil && runRoles.includesRole(entry.Spec.Role) {
			sum += current.holdoff.LimitReport(now).PerSecond
		}
		return true
	})
	return sum
}
