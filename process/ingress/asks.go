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

// The pauses and departures that replicas announce in their answers are applied at three points:
//
//   - Choosing a replica: those that pause or leave are no candidates. They are listed as
//     excluded for the control group, which does not know what each proxy was told.
//   - Before a send, since the choice may be older than the announcement.
//   - Once the connection is open and before anything is written, since opening it takes time.
//
// A pausing replica tolerates two more requests, but none is sent deliberately: they are reserved
// for requests that were already on their way when it asked.

// errWithheld is the cause of an exchange that was not started because its replica pauses or is
// leaving.
var errWithheld = errors.New("ingress: replica asked not to be sent requests")

// permit returns the last check before a request is written to the replica.
func (i *Ingress) permit(to *holdoff.Replica) func() error {
	return func() error {
		if !to.Begin(i.now()) {
			return errWithheld
		}
		return nil
	}
}

// recordHoldoff applies the pause or departure that an answer of the replica announces, even if
// it answers another request: it arrived on a connection to the replica. A misdirected answer
// speaks for another replica only.
func (s *session) recordHoldoff(stage string, from *holdoff.Replica, status int, header http.Header) {
	reply := s.ingress.config.Dialect.Reply(status, header)
	if reply.Misdirected {
		return
	}
	leaves := from.Hear(s.ingress.now(), s.ingress.day(), reply.Asks)
	if reply.Asks.IsZero() {
		return
	}
	if leaves {
		s.ingress.reportLeaving(s.upstream.service, from.Name())
	}
	s.ingress.metrics.replicaAsks.WithLabelValues(s.upstream.service, stage).Inc()
	event.ReplicaAsks.Log(s.ingress.logger, "replica", from.Name(), "request", s.call.ID, "stage", stage, "status", status,
		"retry_after_ms", reply.Asks.RetryAfter.Milliseconds(), "leaving", reply.Asks.Leaving)
}

// reportLeaving tells the member that places requests that a replica is leaving. The list may
// show that later, and other proxies would continue to send requests there.
func (i *Ingress) reportLeaving(service, replica string) {
	if i.placer == nil {
		return
	}
	i.placer.NotePlaced(feed.PlaceNote{
		Service: service, Note: placement.Note{Step: placement.StepLeaving, Replica: replica},
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

// noteWithheld records that nothing is sent to a chosen replica.
func (s *session) noteWithheld(stage string, from *replica) {
	s.withheld = stage == stageRun
	s.trace.WriteString(" withheld(" + from.name + ")")
	s.ingress.metrics.withheldSends.WithLabelValues(s.upstream.service, stage).Inc()
	event.SendWithheld.Log(s.ingress.logger, "request", s.call.ID, "stage", stage, "replica", from.name,
		"pause_ms", from.holdoff.Pause(s.ingress.now()).Milliseconds(), "leaving", from.holdoff.IsLeaving())
}

// avoidedReplicas returns the replicas that the control group must not choose: those already
// tried, those that accept nothing, and doubtful ones if there are others of their role.
func (s *session) avoidedReplicas() []string {
	now := s.ingress.now()
	avoided := maps.Clone(s.excluded)
	doubtful := map[api.EngineRole][]string{}
	for _, current := range s.upstream.fleet.inUse() {
		role := current.spec().Role
		switch current.holdoff.State(now) {
		case holdoff.Closed:
			avoided[current.name] = true
		case holdoff.Doubtful:
			doubtful[role] = append(doubtful[role], current.name)
		}
	}
	for role, names := range doubtful {
		if !s.hasOpen(role, now) {
			continue
		}
		for _, name := range names {
			avoided[name] = true
		}
	}
	return slices.Sorted(maps.Keys(avoided))
}

// hasOpen reports whether a replica of the role can be sent the request without a doubt.
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
var runRoles = replicaFilter{roles: []api.EngineRole{api.RoleDecode, api.RoleMixed}}

// pauseJitter keeps callers that are told the end of a pause from retrying at the same time.
const pauseJitter = 100 * time.Millisecond

// allPaused reports whether every replica that could run the request has asked this process for a
// pause, and when the first pause ends. Waiting here would hold the request in vain, and sending
// it would only result in a refusal.
func (u *upstream) allPaused(now time.Duration) (wait time.Duration, all bool) {
	first, isOpen := time.Duration(0), false
	u.fleet.forEach(func(entry *api.Replica, current *replica) bool {
		if entry.Spec.Leaving || !runRoles.includesRole(entry.Spec.Role) {
			return true
		}
		if current == nil {
			isOpen = true
			return false
		}
		pause := current.holdoff.Pause(now)
		// Includes a replica that has just refused this request: it may have capacity sooner.
		isOpen = pause == 0 && current.acceptsRequests(now)
		if pause > 0 && !current.holdoff.IsLeaving() && (first == 0 || pause < first) {
			first = pause
		}
		return !isOpen
	})
	if isOpen {
		return 0, false
	}
	return first + rand.N(pauseJitter), first > 0
}
