package ingress

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// plan is the destination of the next send, or the decision to send the request nowhere: refused
// or quarantined is then set, or target is nil because no replica accepts it.
type plan struct {
	target *replica
	// prefiller prefills the prompt first; nil if the target does it itself.
	prefiller *replica
	// cacheSource holds cached parts of the prompt that the prefilling replica fetches.
	cacheSource    *replica
	uncachedTokens int
	estimate       time.Duration   // of the time to the first token
	tracked        *trackedRequest // nil without a control group
	// placed is true if the control group chose the target.
	placed bool
	// deferred is true if the request gets the lowest priority for its prefill, because it cannot
	// meet its objective any more and others still can.
	deferred bool
	// isolated is true if nothing else is in flight at the target, because the request may crash
	// it.
	isolated bool
	// refused is true if the request is not sent to any replica, because it would not be answered
	// before its deadline. The caller may retry after retryAfter.
	refused    bool
	retryAfter time.Duration
	// closedCause says why it is refused if no eligible replica accepts requests: causePause or
	// causeLimit.
	closedCause string
	// quarantined is true if the request was found to crash replicas while it waited for its
	// placement.
	quarantined bool
}

// deferredPriority is the lowest priority that replicas know; higher numbers mean lower
// priorities.
const deferredPriority = 9

// prefillPriority returns the priority of a send that includes the prefill; own is the request's
// priority.
func (p *plan) prefillPriority(own int) int {
	if p.deferred {
		return deferredPriority
	}
	return own
}

// runPriority returns the priority of a run. A run that uses a prompt prefilled on another replica
// keeps its own priority even if deferred: little work is left, and until it is done the prompt
// occupies memory on two replicas.
func (p *plan) runPriority(own int, source Source) int {
	if source.Handle != "" {
		return own
	}
	return p.prefillPriority(own)
}

// fetchAddress returns the address to fetch cached parts of the prompt from; empty for none.
func (p *plan) fetchAddress() string {
	if p.cacheSource == nil {
		return ""
	}
	return p.cacheSource.spec().Address
}

// runFetchAddress returns the address from which the target fetches cached parts; empty if
// another replica has prefilled the prompt for it.
func (p *plan) runFetchAddress(source Source) string {
	if source.Handle != "" || p.prefiller != nil {
		return ""
	}
	return p.fetchAddress()
}

// choose decides where the next send goes. The target is nil if no replica accepts the request, or
// if the plan is not to send it.
func (s *session) choose(ctx context.Context) plan {
	s.ingress.routes() // applies the latest list of replicas
	if refused, partitioned := s.refuseIfPartitioned(); partitioned {
		return refused
	}
	if s.hasNoVersion() {
		return plan{}
	}
	now := s.ingress.now()
	zone := s.ingress.config.Zone
	if closed, all := s.refuseIfAllClosed(now); all {
		return closed
	}
	if s.call.Work.PromptTokens == 0 {
		return s.choosePermitted(ctx, func(now time.Duration) plan {
			return plan{target: s.upstream.pickPlain(zone, s.runFilter(api.RoleNone), now, s.random)}
		})
	}
	if chosen, decided := s.placeSafely(ctx); decided {
		s.ingress.metrics.choices.WithLabelValues(s.upstream.service, chosenByGroup).Inc()
		return chosen
	}
	s.ingress.metrics.choices.WithLabelValues(s.upstream.service, chosenByProxy).Inc()
	chosen := s.choosePermitted(ctx, func(now time.Duration) plan { return s.chooseModel(zone, now) })
	s.trackLocal(&chosen)
	return chosen
}

// directPenalty is the cost factor of a prefill on a decode replica, which takes twice as long
// there; the rest is for the tokens of other requests that it delays.
const directPenalty = 2.5

// handoverCost is the time to move a prefilled prompt to another replica.
const handoverCost = 15 * time.Millisecond

// chooseModel compares a prefill on the decode replica itself with one on a dedicated prefill
// replica followed by a transfer.
func (s *session) chooseModel(zone string, now time.Duration) plan {
	timePerToken := s.upstream.speed.tokenTime()
	directTimePerToken := time.Duration(float64(timePerToken) * directPenalty)
	decoders := s.runFilter(api.RoleDecode, api.RoleMixed)
	direct, found := s.upstream.pickModel(decoders, &s.call, zone, directTimePerToken, now, s.random)
	if !found {
		return plan{}
	}
	prefillers := &replicaFilter{roles: []api.EngineRole{api.RolePrefill}, excluded: s.excluded, avoidLimited: s.limitRefused}
	prefiller, havePrefiller := s.upstream.pickModel(prefillers, &s.call, zone, timePerToken, now, s.random)
	if !havePrefiller || s.call.ResumeAfter != "" || s.lastEventID != "" || !s.mayCoverPrefill() {
		return plan{target: direct.replica, uncachedTokens: direct.uncachedTokens}
	}
	decoder, _ := s.upstream.pickDecoder(decoders, zone, now, s.random)
	split := prefiller.cost + decoder.cost + handoverCost
	if split < direct.cost {
		return plan{target: decoder.replica, prefiller: prefiller.replica, uncachedTokens: prefiller.uncachedTokens, estimate: split}
	}
	return plan{target: direct.replica, uncachedTokens: direct.uncachedTokens}
}

// runFilter selects the replicas of the roles that may run the request.
func (s *session) runFilter(roles ...api.EngineRole) *replicaFilter {
	version, _ := s.requiredVersion()
	return &replicaFilter{roles: roles, excluded: s.excluded, avoidLimited: s.limitRefused, softwareVersion: version, preferKnownVersion: s.mayBeTakenUp()}
}

// pickDecoder returns the replica with the lowest cost for a request whose prompt is already
// prefilled.
func (u *upstream) pickDecoder(filter *replicaFilter, zone string, now time.Duration, random *rand.Rand) (choice, bool) {
	return u.pickModel(filter, &Call{}, zone, 0, now, random)
}
