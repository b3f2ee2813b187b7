package ingress

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// Replicas announce in their answers that they pause, which is to be sent no request for some
// time, or that they are leaving, which is to stop and to be sent nothing new. These pauses and
// departures are applied at three points:
//
//   - Choosing a replica: those that pause or leave are no candidates. They are listed as
//     excluded for the control group, which does not know what each proxy was told.
//   - Before a send, since the choice may be older than the announcement.
//   - Once the connection is open and before anything is written, since opening it takes time.
//
// The protocol allows two more requests to a pausing replica. None is sent deliberately: the
// allowance is for requests that were already on their way when it asked.

// errWithheld is the cause of an exchange that was not started because its replica pauses, is leaving
// or has a limit for which the request has no permit.
var errWithheld = errors.New("ingress: request not sent: replica pauses, is leaving or has a limit")

// beforeSend returns a function that checks, once the connection is open, that the replica still
// accepts a request.
func (i *Ingress) beforeSend(to *holdoff.Replica, permit permit) func() error {
	return func() error {
		now := i.now()
		if to.IsLimited() && !permit.isValid(now) || !to.TryBegin(now) {
			return errWithheld
		}
		return nil
	}
}

// recordHoldoff applies the pause or departure that an answer of the replica announces, even if it
// answers another request: it arrived on a connection to the replica. A misdirected answer is
// ignored, since it comes from another replica. An answer without an announcement is recorded too:
// it ends the time after a pause in which the replica is avoided.
func (s *session) recordHoldoff(stage string, from *holdoff.Replica, status int, header http.Header) {
	reply := s.ingress.config.Dialect.Reply(status, header)
	s.applyHoldoff(stage, from, status, &reply)
}

// applyHoldoff is recordHoldoff for an answer that was parsed.
func (s *session) applyHoldoff(stage string, from *holdoff.Replica, status int, reply *Reply) {
	if reply.Misdirected {
		return
	}
	s.ingress.unknownFields.note(s.ingress, from.Name(), s.call.ID, reply.UnknownFields)
	leaves := from.Apply(s.ingress.now(), s.ingress.wallClock(), reply.Holdoff)
	if reply.Holdoff.IsZero() {
		return
	}
	if leaves {
		s.ingress.reportLeaving(s.upstream.service, from.Name())
	}
	s.ingress.metrics.announcements.WithLabelValues(s.upstream.service, stage).Inc()
	event.ReplicaAsks.Log(s.ingress.logger, "replica", from.Name(), "request", s.call.ID, "stage", stage, "status", status,
		"retry_after_ms", reply.Holdoff.RetryAfter.Milliseconds(), "leaving", reply.Holdoff.Leaving)
}

// reportLeaving tells the member that places requests, the leader or a standby member, that a
// replica is leaving. The list of replicas may show it only later, and until then other proxies
// would continue to send requests there.
func (i *Ingress) reportLeaving(service, replica string) {
	if i.placer == nil {
		return
	}
	i.placer.RecordProgress(feed.PlacementProgress{
		Service: service, Note: placement.ProgressReport{Step: placement.StepLeaving, Replica: replica},
	})
}

// reportAllLeaving tells a member that has just started to place requests which replicas are
// leaving.
func (i *Ingress) reportAllLeaving() {
	for _, upstream := range i.upstreams.all() {
		for _, current := range upstream.fleet.inUse() {
			if current.holdoff.IsLeaving() {
				i.reportLeaving(upstream.service, current.name)
			}
		}
	}
}

// noteWithheld records that nothing is sent to a chosen replica because it pauses, is leaving or has a
// limit that leaves no room.
func (s *session) noteWithheld(stage string, from *replica) {
	s.withheld = stage == stageRun
	s.trace.WriteString(" withheld(" + from.name + ")")
	s.ingress.metrics.withheldSends.WithLabelValues(s.upstream.service, stage).Inc()
	event.SendWithheld.Log(s.ingress.logger, "request", s.call.ID, "stage", stage, "replica", from.name,
		"pause_ms", from.holdoff.PauseLeft(s.ingress.now()).Milliseconds(), "leaving", from.holdoff.IsLeaving(), "limited", from.holdoff.IsLimited())
}

// avoidedReplicas returns the replicas that the control group must not choose: those already
// tried, those that must be sent nothing (holdoff.Closed), and, if there is an open replica of
// their role, those to be used only without alternative (holdoff.LastResort: leaving but still
// accepting, or not heard of since a pause).
func (s *session) avoidedReplicas() []string {
	now := s.ingress.now()
	avoided := maps.Clone(s.excluded)
	lastResort := map[api.EngineRole][]string{}
	for _, current := range s.upstream.fleet.inUse() {
		role := current.spec().Role
		switch current.holdoff.State(now) {
		case holdoff.Closed:
			avoided[current.name] = true
		case holdoff.LastResort:
			lastResort[role] = append(lastResort[role], current.name)
		}
	}
	for role, names := range lastResort {
		if !s.hasOpen(role, now) {
			continue
		}
		for _, name := range names {
			avoided[name] = true
		}
	}
	return slices.Sorted(maps.Keys(avoided))
}

// hasOpen reports whether a listed replica of the role is open: not tried yet, and no pause or
// departure of it is in effect (holdoff.Open).
func (s *session) hasOpen(role api.EngineRole, now time.Duration) bool {
	found := false
	s.upstream.fleet.forEach(func(entry *api.Replica, current *replica) bool {
		found = entry.Spec.Role == role && !entry.Spec.Leaving && !s.excluded[entry.Name] &&
			(current == nil || current.holdoff.State(now) == holdoff.Open)
		return !found
	})
	return found
}

// runRoles matches the replicas that can run a request, whichever replica prefills its prompt.
// RoleNone matches as well.
var runRoles = replicaFilter{roles: []api.EngineRole{api.RoleDecode, api.RoleMixed}}

// pauseJitter keeps callers that are told the end of a pause from retrying at the same time.
const pauseJitter = 100 * time.Millisecond

// Causes that are returned to callers while no replica accepts requests.
const (
	causePause = "pause"
	causeLimit = "limit"
)

// refuseIfAllClosed returns a plan to refuse the request if no replica that could run it accepts
// requests, because all have asked this process for a pause or have used up their limits. Waiting here
// would delay the request without need, and sending it would only result in a refusal.
func (s *session) refuseIfAllClosed(now time.Duration) (plan, bool) {
	wait, cause := s.upstream.allClosed(now)
	switch cause {
	case causePause:
		return plan{refused: true, retryAfter: wait + rand.N(pauseJitter), closedCause: cause}, true
	case causeLimit:
		return s.refuseByLimit(now, wait), true
	}
	return plan{}, false
}

// allClosed returns the time until the first replica that could run a request accepts one again, and
// why it does not now. The cause is empty if there is no replica or if one accepts requests.
func (u *upstream) allClosed(now time.Duration) (wait time.Duration, cause string) {
	isOpen := false
	u.fleet.forEach(func(entry *api.Replica, current *replica) bool {
		if entry.Spec.Leaving || !runRoles.includesRole(entry.Spec.Role) {
			return true
		}
		if current == nil {
			isOpen = true
			return false
		}
		pause, exhausted := current.holdoff.PauseLeft(now), current.holdoff.ExhaustedFor(now)
		closed := max(pause, exhausted)
		// Includes a replica that has just refused this request: it may have capacity sooner.
		isOpen = closed == 0 && current.acceptsRequests(now)
		if closed > 0 && !current.holdoff.IsLeaving() && (cause == "" || closed < wait) {
			wait, cause = closed, causePause
			if exhausted > pause {
				cause = causeLimit
			}
		}
		return !isOpen
	})
	if isOpen {
		return 0, ""
	}
	return wait, cause
}
