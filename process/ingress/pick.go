package ingress

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/landingtrail/landingtrail/version/api"
)

// Costs by which replicas are compared, as times.
const (
	// requestCost is the delay that each request on a model replica adds to another one.
	requestCost = 3 * time.Millisecond
	// plainCost is the delay that each request on a plain replica adds to another one.
	plainCost = 10 * time.Millisecond
	// otherZoneCost is the cost of crossing zones.
	otherZoneCost = 3 * time.Millisecond
	// failureCost is the cost of a replica that always fails.
	failureCost = 2 * time.Second
	// spreadCost is the maximum random addition to a cost. Without it, proxies that decide
	// independently would all pick the same one of several equal replicas.
	spreadCost = 20 * time.Millisecond
	// fullCost is the cost of a replica without a free slot.
	fullCost = 300 * time.Millisecond
	// rampCost is the cost of each request beyond the limit of a replica's ramp. It exceeds fullCost: where the
	// others have no free slot, each of many proxies would otherwise send a request beyond the limit.
	rampCost = time.Second
)

// choice is a replica and the cost of sending a request there: the expected wait plus penalties.
type choice struct {
	replica        *replica
	cost           time.Duration
	uncachedTokens int // prompt tokens that it would have to prefill
}

// replicaFilter selects the replicas that may be picked.
type replicaFilter struct {
	roles    []api.EngineRole
	excluded map[string]bool
	// avoidLimited prefers replicas without a limit, because a limited one has just refused.
	avoidLimited bool
	// softwareVersion is the only version to select; empty for any.
	softwareVersion string
	// preferKnownVersion prefers replicas whose software version is known.
	preferKnownVersion bool
}

// matches reports whether the filter selects the replica and the replica accepts requests.
func (filter *replicaFilter) matches(candidate *replica, now time.Duration) bool {
	return !filter.excluded[candidate.name] && candidate.acceptsRequests(now) && filter.hasRole(candidate) &&
		(filter.softwareVersion == "" || filter.softwareVersion == candidate.softwareVersion(now))
}

// avoids reports whether the replica is picked only if there is no other.
func (filter *replicaFilter) avoids(candidate *replica, now time.Duration) bool {
	return filter.avoidLimited && candidate.holdoff.IsLimited() ||
		filter.preferKnownVersion && candidate.softwareVersion(now) == ""
}

// hasRole reports whether the replica has one of the roles.
func (filter *replicaFilter) hasRole(candidate *replica) bool {
	return filter.includesRole(candidate.spec().Role)
}

func (filter *replicaFilter) includesRole(role api.EngineRole) bool {
	return role == api.RoleNone || slices.Contains(filter.roles, role)
}

// pickPlain returns the cheapest available replica, or nil. A random one is preferred if it is
// among the cheapest; otherwise the first of these by name is returned.
func (u *upstream) pickPlain(zone string, filter *replicaFilter, now time.Duration, random *rand.Rand) *replica {
	candidates := u.candidates(filter, now)
	if len(candidates) == 0 {
		return nil
	}
	best := candidates[random.IntN(len(candidates))]
	bestCost := best.plainCost(zone, now)
	for _, other := range candidates {
		if cost := other.plainCost(zone, now); cost < bestCost {
			best, bestCost = other, cost
		}
	}
	return best
}

// plainCost returns the cost of sending a request without a prompt to the replica.
func (r *replica) plainCost(zone string, now time.Duration) time.Duration {
	occupied := r.occupancy(now)
	work := time.Duration(occupied.requests+1) * plainCost // including the request to be placed
	cost := time.Duration(occupied.slowness*float64(work)) + time.Duration(occupied.failureRate*float64(failureCost))
	if occupied.slots > 0 && occupied.requests >= occupied.slots {
		cost += fullCost
	}
	cost += time.Duration(occupied.beyondRamp) * rampCost
	if r.spec().Zone != zone {
		cost += otherZoneCost
	}
	return cost
}

// candidates returns the matching replicas that are neither suspect nor to be avoided, or the other
// matching ones if there are none.
func (u *upstream) candidates(filter *replicaFilter, now time.Duration) []*replica {
	var preferred, others []*replica
	for _, candidate := range u.fleet.choices(now) {
		switch {
		case !filter.matches(candidate, now):
		case candidate.isSuspect(now), filter.avoids(candidate, now):
			others = append(others, candidate)
		default:
			preferred = append(preferred, candidate)
		}
	}
	if len(preferred) == 0 {
		return others
	}
	return preferred
}

// affinityReplicas is the number of replicas to which hashing assigns a shared part of a prompt,
// so that proxies that decide independently choose the same ones.
const affinityReplicas = 2

// pickModel returns the replica with one of the roles that has the lowest cost for the call, and
// false if there is none. timePerToken is the time to prefill one token there.
func (u *upstream) pickModel(filter *replicaFilter, call *Call, zone string, timePerToken, now time.Duration, random *rand.Rand) (choice, bool) {
	candidates := u.candidates(filter, now)
	if len(candidates) == 0 {
		return choice{}, false
	}
	preferred := u.affinityReplicasOf(call, candidates)
	var best choice
	for i, candidate := range candidates {
		considered := candidate.modelCost(call, preferred[candidate.name], zone, timePerToken, now)
		considered.cost += time.Duration(random.Int64N(int64(spreadCost)))
		if i == 0 || considered.cost < best.cost {
			best = considered
		}
	}
	return best, true
}

// modelCost returns the cost of sending a model request to the replica. preferred is true if
// hashing assigns the shared part of the prompt to it.
func (r *replica) modelCost(call *Call, preferred bool, zone string, timePerToken, now time.Duration) choice {
	occupied := r.occupancy(now)
	cached := r.cachedTokens(call.Work.Parts)
	if preferred {
		// Other proxies choose the same replica for the shared parts, so most of them are probably
		// cached there.
		cached = max(cached, sharedTokens(call.Work.Parts)*3/4)
	}
	uncached := max(call.Work.PromptTokens-cached, 0)
	cost := time.Duration(occupied.requests) * requestCost
	cost += time.Duration(occupied.slowness * float64(time.Duration(occupied.waitingTokens+uncached)*timePerToken))
	cost += time.Duration(occupied.failureRate * float64(failureCost))
	if occupied.slots > 0 && occupied.requests >= occupied.slots {
		cost += fullCost
	}
	cost += time.Duration(occupied.beyondRamp) * rampCost
	if r.spec().Zone != zone {
		cost += otherZoneCost
	}
	return choice{replica: r, cost: cost, uncachedTokens: uncached}
}

// sharedTokens returns the length of the parts that other requests may share. The last part is
// specific to the request or its session.
func sharedTokens(parts []Part) int {
	tokens := 0
	for i := 0; i+1 < len(parts); i++ {
		tokens += parts[i].Tokens
	}
	return tokens
}

// affinityReplicasOf returns the names of the affinityReplicas candidates that rank highest by a
// hash of the last shared part and the replica's name (rendezvous hashing), which reassigns few
// parts when replicas come and go.
func (u *upstream) affinityReplicasOf(call *Call, candidates []*replica) map[string]bool {
	parts := call.Work.Parts
	if len(parts) < 2 {
		return nil
	}
	key := parts[len(parts)-2].ID
	type ranked struct {
		name string
		rank uint64
	}
	var top [affinityReplicas]ranked
	for _, candidate := range candidates {
		next := ranked{name: candidate.name, rank: xxhash.Sum64String(key + "/" + candidate.name)}
		for i := range top {
			if next.rank > top[i].rank {
				top[i], next = next, top[i]
			}
		}
	}
	result := make(map[string]bool, affinityReplicas)
	for _, chosen := range top {
		result[chosen.name] = true
	}
	return result
}
