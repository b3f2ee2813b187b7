package ingress

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/landingtrail/landingtrail/version/api"
)

// Costs by which replicas are compared, in time.
const (
	// requestCost is what each request that a model replica has adds to another.
	requestCost = 3 * time.Millisecond
	// plainCost is what each request that a plain replica has adds to another.
	plainCost = 10 * time.Millisecond
	// otherZoneCost is what crossing zones is worth avoiding.
	otherZoneCost = 3 * time.Millisecond
	// failureCost is what a replica that always fails costs.
	failureCost = 2 * time.Second
	// spreadCost is the most by which chance moves a cost: proxies that know
	// nothing of each other would all take the same one of several equal replicas.
	spreadCost = 20 * time.Millisecond
	// fullCost keeps requests off replicas without a free place.
	fullCost = 300 * time.Millisecond
)

// choice is a replica and what a request is expected to wait there.
type choice struct {
	replica  *replica
	cost     time.Duration
	uncached int // prompt tokens to be read there
}

// wanted says which replicas may be picked.
type wanted struct {
	roles    []api.EngineRole
	excluded map[string]bool
}

func (w *wanted) fits(candidate *replica, now time.Duration) bool {
	return !w.excluded[candidate.name] && candidate.takes(now) && w.hasRole(candidate)
}

// hasRole reports whether the replica has one of the roles.
func (w *wanted) hasRole(candidate *replica) bool { return w.includes(candidate.listed().Role) }

func (w *wanted) includes(role api.EngineRole) bool {
	return role == api.RoleNone || slices.Contains(w.roles, role)
}

// pickPlain returns the cheapest of two replicas drawn at random, or nil.
func (l *lane) pickPlain(zone string, excluded map[string]bool, now time.Duration, random *rand.Rand) *replica {
	candidates := l.candidates(&wanted{roles: []api.EngineRole{api.RoleNone}, excluded: excluded}, now)
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

func (r *replica) plainCost(zone string, now time.Duration) time.Duration {
	seen := r.occupancy(now)
	work := time.Duration(seen.requests+1) * plainCost // with the one that is to be placed
	cost := time.Duration(seen.slowdown*float64(work)) + time.Duration(seen.failureRate*float64(failureCost))
	if seen.slots > 0 && seen.requests >= seen.slots {
		cost += fullCost
	}
	if r.listed().Zone != zone {
		cost += otherZoneCost
	}
	return cost
}

// candidates returns the replicas that fit, without the suspects unless nothing
// else is left.
func (l *lane) candidates(w *wanted, now time.Duration) []*replica {
	var sound, suspects []*replica
	for _, candidate := range l.fleet.choices(now) {
		switch {
		case !w.fits(candidate, now):
		case candidate.isSuspect(now):
			suspects = append(suspects, candidate)
		default:
			sound = append(sound, candidate)
		}
	}
	if len(sound) == 0 {
		return suspects
	}
	return sound
}

// homes is how many replicas a shared part of a prompt belongs to by hashing,
// so that proxies that know nothing of each other send it to the same ones.
const homes = 2

// pickModel returns the replica of the roles at which the call is expected to
// wait least, or none. pace is the time to read one token there.
func (l *lane) pickModel(w *wanted, call *Call, zone string, pace, now time.Duration, random *rand.Rand) (choice, bool) {
	candidates := l.candidates(w, now)
	if len(candidates) == 0 {
		return choice{}, false
	}
	near := l.homesOf(call, candidates)
	var best choice
	for i, candidate := range candidates {
		considered := candidate.modelCost(call, near[candidate.name], zone, pace, now)
		considered.cost += time.Duration(random.Int64N(int64(spreadCost)))
		if i == 0 || considered.cost < best.cost {
			best = considered
		}
	}
	return best, true
}

func (r *replica) modelCost(call *Call, home bool, zone string, pace, now time.Duration) choice {
	seen := r.occupancy(now)
	cached := r.cachedTokens(call.Work.Parts)
	if home {
		// The part was probably read there for another proxy.
		cached = max(cached, sharedTokens(call.Work.Parts)*3/4)
	}
	uncached := max(call.Work.PromptTokens-cached, 0)
	cost := time.Duration(seen.requests) * requestCost
	cost += time.Duration(seen.slowdown * float64(time.Duration(seen.waitingTokens+uncached)*pace))
	cost += time.Duration(seen.failureRate * float64(failureCost))
	if seen.slots > 0 && seen.requests >= seen.slots {
		cost += fullCost
	}
	if r.listed().Zone != zone {
		cost += otherZoneCost
	}
	return choice{replica: r, cost: cost, uncached: uncached}
}

// sharedTokens is the length of the parts that other requests may have; the
// last one belongs to the request or its session alone.
func sharedTokens(parts []Part) int {
	tokens := 0
	for i := 0; i+1 < len(parts); i++ {
		tokens += parts[i].Tokens
	}
	return tokens
}

// homesOf ranks the candidates by a hash of the last shared part and the
// replica's name, which moves few parts when replicas come and go.
func (l *lane) homesOf(call *Call, candidates []*replica) map[string]bool {
	parts := call.Work.Parts
	if len(parts) < 2 {
		return nil
	}
	key := parts[len(parts)-2].ID
	type ranked struct {
		name string
		rank uint64
	}
	var top [homes]ranked
	for _, candidate := range candidates {
		next := ranked{name: candidate.name, rank: xxhash.Sum64String(key + "/" + candidate.name)}
		for i := range top {
			if next.rank > top[i].rank {
				top[i], next = next, top[i]
			}
		}
	}
	near := make(map[string]bool, homes)
	for _, chosen := range top {
		near[chosen.name] = true
	}
	return near
}
