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

// groups cuts the input by intent. Engines that no intent selects are in no
// group and are thus never touched.
func groups(input Input) []group {
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

// usable reports whether an engine serves, or will after its open order.
func usable(engine Engine) bool {
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

// movable reports whether an order may be opened for an engine now: it has
// none open, it is well, and nobody wants it drained.
func movable(engine Engine) bool {
	if engine.Pending != nil || engine.Drain {
		return false
	}
	return engine.Phase == api.PhaseIdle || engine.Phase == api.PhaseServing
}

// unassigned reports whether an engine holds no assignment.
func unassigned(engine Engine) bool {
	return engine.Phase == api.PhaseIdle || engine.Assignment.Role == api.RoleNone
}

// roleOf is the role an engine has, or will have after its open order.
func roleOf(engine Engine) api.EngineRole {
	if engine.Pending != nil {
		return engine.Pending.Role
	}
	if engine.Phase == api.PhaseIdle {
		return api.RoleNone
	}
	return engine.Assignment.Role
}

// split counts the roles that the usable engines have or will have.
func (g *group) split() Split {
	var split Split
	for _, engine := range g.engines {
		if usable(engine) {
			split = split.with(roleOf(engine), 1)
		}
	}
	return split
}

// capacity is how many engines can have a role: the usable ones and the idle
// ones that can be assigned now.
func (g *group) capacity() int {
	count := 0
	for _, engine := range g.engines {
		if usable(engine) || movable(engine) {
			count++
		}
	}
	return count
}

// budget is how many serving engines may be taken away for a change now.
func (g *group) budget() int {
	away := 0
	for _, engine := range g.engines {
		if engine.Pending != nil && !unassigned(engine) {
			away++
		}
	}
	limit := g.intent.Spec.MaxUnavailable
	if limit <= 0 {
		limit = DefaultMaxUnavailable
	}
	return max(limit-away, 0)
}

// DefaultMaxUnavailable is the disruption budget of an intent that names none.
const DefaultMaxUnavailable = 1

// assignment is what the intent wants of an engine in a role.
func (g *group) assignment(role api.EngineRole) api.Assignment {
	spec := g.intent.Spec
	return api.Assignment{
		Model:    spec.Model,
		Version:  spec.Version,
		Adapters: slices.Clone(spec.Adapters),
		Role:     role,
	}
}

// outdated reports whether a serving engine holds another model, version or
// adapters than wanted, or a role that the intent doesn't permit.
func (g *group) outdated(engine Engine) bool {
	role := engine.Assignment.Role
	return !g.allows(role) || !engine.Assignment.Equal(g.assignment(role))
}

// byLeastWork returns the engines that pass a test, those with the least work
// to finish or to hand over first.
func (g *group) byLeastWork(test func(Engine) bool) []Engine {
	var list []Engine
	for _, engine := range g.engines {
		if test(engine) {
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
