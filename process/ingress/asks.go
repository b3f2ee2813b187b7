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

// What replicas ask for with their answers is kept on each way to them:
//
//   - where replicas are chosen: those that pause or leave are no candidates, and are named to
//     the control group as excluded, which does not know what each proxy was asked;
//   - before a send, since the choice may be older than the answer that asked;
//   - when the connection is there and nothing is written yet, since opening it takes time.
//
// No send is meant for a replica that pauses, although it bears two: those are left for what
// was on its way when it asked.

// errWithheld is the cause of an exchange that did not begin, since its replica pauses or leaves.
var errWithheld = errors.New("ingress: the replica has asked to be sent nothing")

// permit returns what is asked last before a request is written to the replica.
func (i *Ingress) permit(to *holdoff.Replica) func() error {
	return func() error {
		if !to.Begin(i.now()) {
			return errWithheld
		}
		return nil
	}
}

// hearAsks takes in what an answer of the replica says of further requests, whomever it
// answers: it came on a connection to the replica. Another one that answers at its address
// speaks of itself.
func (s *session) hearAsks(stage string, from *holdoff.Replica, status int, header http.Header) {
	reply := s.ingress.config.Dialect.Reply(status, header)
	if reply.Misdirected {
		return
	}
	leaves := from.Hear(s.ingress.now(), s.ingress.day(), reply.Asks)
	if reply.Asks.IsZero() {
		return
	}
	if leaves {
		s.ingress.tellLeaving(s.upstream.service, from.Name())
	}
	s.ingress.metrics.asks.WithLabelValues(s.upstream.service, stage).Inc()
	event.ReplicaAsks.Log(s.ingress.logger, "replica", from.Name(), "request", s.call.ID, "stage", stage, "status", status,
		"retry_after_ms", reply.Asks.RetryAfter.Milliseconds(), "leaving", reply.Asks.Leaving)
}

// tellLeaving tells who places requests that a replica leaves: the list may show it later,
// and others would go on sending there.
func (i *Ingress) tellLeaving(service, replica string) {
	if i.placer == nil {
		return
	}
	i.placer.NotePlaced(feed.PlaceNote{
		Service: service, Note: placement.Note{Step: placement.StepLeaving, Replica: replica},
	})
}

// reportLeaving tells a member that has just begun to place requests which replicas leave.
func (i *Ingress) reportLeaving() {
	for _, opened := range i.upstreams.all() {
		for _, known := range opened.fleet.used() {
			if known.asks.IsLeaving() {
				i.tellLeaving(opened.service, known.name)
			}
		}
	}
}

// withhold notes that nothing is sent to a replica that was chosen.
func (s *session) withhold(stage string, from *replica) {
	s.withheld = stage == stageRun
	s.trace.WriteString(" withheld(" + from.name + ")")
	s.ingress.metrics.withheld.WithLabelValues(s.upstream.service, stage).Inc()
	event.SendWithheld.Log(s.ingress.logger, "request", s.call.ID, "stage", stage, "replica", from.name,
		"pause_ms", from.asks.Pause(s.ingress.now()).Milliseconds(), "leaving", from.asks.IsLeaving())
}

// avoided names the replicas to which the group is not to send the request: those where it
// was, those that take nothing, and those that are in doubt while their role has others.
func (s *session) avoided() []string {
	now := s.ingress.now()
	avoided := maps.Clone(s.excluded)
	doubtful := map[api.EngineRole][]string{}
	for _, known := range s.upstream.fleet.used() {
		role := known.listed().Role
		switch known.asks.State(now) {
		case holdoff.Closed:
			avoided[known.name] = true
		case holdoff.Doubtful:
			doubtful[role] = append(doubtful[role], known.name)
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

// hasOpen reports whether a replica of the role may be sent the request without a doubt.
func (s *session) hasOpen(role api.EngineRole, now time.Duration) bool {
	found := false
	s.upstream.fleet.all(func(entry *api.Replica, known *replica) bool {
		found = entry.Spec.Role == role && !entry.Spec.Leaving && !s.excluded[entry.Name] &&
			(known == nil || known.asks.State(now) == holdoff.Open)
		return !found
	})
	return found
}

// runRoles are the roles of replicas that can run a request, whoever reads its prompt.
var runRoles = replicaFilter{roles: []api.EngineRole{api.RoleDecode, api.RoleMixed}}

// pauseSpread keeps callers that are told the end of a pause from coming back together.
const pauseSpread = 100 * time.Millisecond

// allPause reports whether every replica that could run the request has asked this process
// for a pause, and when the first of them is over. To wait for that here would hold the
// request for nothing, and to send it all the same would only be refused.
func (l *upstream) allPause(now time.Duration) (wait time.Duration, all bool) {
	first, isOpen := time.Duration(0), false
	l.fleet.all(func(entry *api.Replica, known *replica) bool {
		if entry.Spec.Leaving || !runRoles.includesRole(entry.Spec.Role) {
			return true
		}
		if known == nil {
			isOpen = true
			return false
		}
		pause := known.asks.Pause(now)
		// Be it one that has just refused this request: it may have room sooner.
		isOpen = pause == 0 && known.takes(now)
		if pause > 0 && !known.asks.IsLeaving() && (first == 0 || pause < first) {
			first = pause
		}
		return !isOpen
	})
	if isOpen {
		return 0, false
	}
	return first + rand.N(pauseSpread), first > 0
}
