package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// group is one intent with the engines it selects.
type group struct {
	now     time.Duration
	intent  *api.Intent
	engines []Engine
	demand  Demand
}

// groupByIntent returns one group per intent. Engines that no intent selects are in no
// group and therefore get no orders.
func groupByIntent(input Input) []group {
	list := make([]group, 0, len(input.Intents))
	for _, intent := range input.Intents {
		g := group{now: input.Now, intent: intent}
		for _, engine := range input.Engines {
			if engine.Intent == intent.Name {
				g.engines = append(g.engines, engine)
			}
		}
		for _, demand := range input.Demand {
			if demand.Intent == intent.Name {
				g.demand = demand
			}
		}
		list = append(list, g)
	}
	return list
}

// allows reports whether the intent permits a role.
func (g *group) allows(role api.EngineRole) bool {
	return slices.Contains(g.intent.Spec.Roles, role)
}

// isUsable reports whether an engine serves, or will serve after its current change. An
// engine that is draining or changing counts as such even without an open order, and
// an idle one counts if it has an open order, whatever its assignment.
func isUsable(engine Engine) bool {
	if engine.Drain {
		return false
	}
	switch engine.Phase {
	case api.PhaseServing, api.PhaseDraining, api.PhaseChanging:
		return true
	case api.PhaseIdle:
		return engine.Pending != nil
	default:
		return false
	}
}

// canOpenOrder reports whether an order may be opened for an engine now: it has no open
// order, it is idle or serving, and no drain was requested.
func canOpenOrder(engine Engine) bool {
	if engine.Pending != nil || engine.Drain {
		return false
	}
	return engine.Phase == api.PhaseIdle || engine.Phase == api.PhaseServing
}

// isUnassigned reports whether an engine has no role. An idle engine has none, whatever
// assignment it reported.
func isUnassigned(engine Engine) bool {
	return engine.Phase == api.PhaseIdle || engine.Assignment.Role == api.RoleNone
}

// effectiveRole returns the role an engine has, or will have after its open order.
func effectiveRole(engine Engine) api.EngineRole {
	if engine.Pending != nil {
		return engine.Pending.Role
	}
	if engine.Phase == api.PhaseIdle {
		return api.RoleNone
	}
	return engine.Assignment.Role
}

// currentSplit counts the roles that the usable engines have, or will have after their
// open orders.
func (g *group) currentSplit() Split {
	var split Split
	for _, engine := range g.engines {
		if isUsable(engine) {
			split = split.with(effectiveRole(engine), 1)
		}
	}
	return split
}

// assignableCount returns how many engines can have a role: the usable ones and the
// idle ones that can be assigned now.
func (g *group) assignableCount() int {
	count := 0
	for _, engine := range g.engines {
		if isUsable(engine) || canOpenOrder(engine) {
			count++
		}
	}
	return count
}

// availableBudget returns how many serving engines may be made unavailable for a change
// now. It counts only engines with open orders as unavailable. The state machine checks
// the budget again when it opens an order, and also counts engines that are to be
// drained and those that are neither serving nor idle.
func (g *group) availableBudget() int {
	unavailable := 0
	for _, engine := range g.engines {
		if engine.Pending != nil && !isUnassigned(engine) {
			unavailable++
		}
	}
	limit := g.intent.Spec.MaxUnavailable
	if limit <= 0 {
		limit = DefaultMaxUnavailable
	}
	return max(limit-unavailable, 0)
}

// DefaultMaxUnavailable is the disruption budget of an intent that sets none. It must
// equal the default of package state.
const DefaultMaxUnavailable = 1

// desiredAssignment returns the assignment that the intent wants for an engine in a role.
func (g *group) desiredAssignment(role api.EngineRole) api.Assignment {
	spec := g.intent.Spec
	return api.Assignment{
		Model:    spec.Model,
		Version:  spec.Version,
		Adapters: slices.Clone(spec.Adapters),
		Role:     role,
	}
}

// isOutdated reports whether a serving engine has another model, version or set of
// adapters than the intent wants, or a role that the intent doesn't permit.
func (g *group) isOutdated(engine Engine) bool {
	role := engine.Assignment.Role
	return !g.allows(role) || !engine.Assignment.Equal(g.desiredAssignment(role))
}

// matchingByLeastWork returns the engines that match, sorted by the requests that they
// have to finish or to hand over, fewest first.
func (g *group) matchingByLeastWork(match func(Engine) bool) []Engine {
	var list []Engine
	for _, engine := range g.engines {
		if match(engine) {
			list = append(list, engine)
		}
	}
	slices.SortStableFunc(list, func(a, b Engine) int {
		return cmp.Or(
			cmp.Compare(a.Running+a.Waiting, b.Running+b.Waiting),
			cmp.Compare(a.KVUsed, b.KVUsed),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return list
}
