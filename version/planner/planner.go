package planner

import (
	"fmt"

	"github.com/landingtrail/landingtrail/version/api"
)

// policy chooses how many engines of a group should have each role.
type policy interface {
	// target returns the wanted split and why. Its total is the group's
	// capacity; it is called once for each plan.
	target(g *group) (Split, string)
}

// policyPlanner makes orders from a policy's target. It keeps these promises
// whatever the policy says: only engines that an intent selects, that are well
// and that have no open order are touched, and never more serving engines of
// an intent are away at once than its disruption budget.
type policyPlanner struct {
	policy policy
}

// Plan implements Planner.
func (p *policyPlanner) Plan(input Input) []Decision {
	var decisions []Decision
	for _, g := range groups(input) {
		if len(g.intent.Spec.Roles) == 0 {
			continue
		}
		target, reason := p.policy.target(&g)
		plan := &groupPlan{group: &g, target: target, split: g.split(), budget: g.budget()}
		plan.assignIdle()
		plan.rollOut()
		plan.changeRoles(reason)
		decisions = append(decisions, plan.decisions...)
	}
	return decisions
}

// groupPlan collects the decisions for one group.
type groupPlan struct {
	group     *group
	target    Split
	split     Split // with the decisions so far carried out
	budget    int
	decisions []Decision
}

// decide opens an order; the engine leaves its old role and takes the new one.
func (p *groupPlan) decide(engine Engine, role api.EngineRole, reason string) {
	if !unassigned(engine) {
		p.split = p.split.with(engine.Assignment.Role, -1)
	}
	p.split = p.split.with(role, 1)
	p.decisions = append(p.decisions, Decision{
		Engine:     engine.Name,
		Assignment: p.group.assignment(role),
		Reason:     reason,
	})
}

// decided reports whether the plan already opens an order for an engine.
func (p *groupPlan) decided(engine Engine) bool {
	for _, decision := range p.decisions {
		if decision.Engine == engine.Name {
			return true
		}
	}
	return false
}

// missing returns the permitted role that is furthest below its target.
func (p *groupPlan) missing() (api.EngineRole, int) {
	best, most := api.RoleNone, 0
	for _, role := range splitRoles {
		gap := p.target.Of(role) - p.split.Of(role)
		if p.group.allows(role) && gap > most {
			best, most = role, gap
		}
	}
	return best, most
}

// assignIdle gives a role to engines without one. They serve nobody, so the
// disruption budget does not bound it.
func (p *groupPlan) assignIdle() {
	idle := p.group.byLeastWork(func(engine Engine) bool { return movable(engine) && unassigned(engine) })
	for _, engine := range idle {
		role, _ := p.missing()
		if role == api.RoleNone {
			role = p.group.intent.Spec.Roles[0]
		}
		p.decide(engine, role, "no assignment yet; selected by intent "+p.group.intent.Name)
	}
}

// rollOut changes model, version and adapters, within the budget. An engine
// whose role is not permitted or in excess takes a missing one on the way.
func (p *groupPlan) rollOut() {
	outdated := p.group.byLeastWork(func(engine Engine) bool {
		return movable(engine) && !unassigned(engine) && p.group.outdated(engine)
	})
	for _, engine := range outdated {
		if p.budget == 0 {
			return
		}
		p.budget--
		p.decide(engine, p.rollOutRole(engine), p.rollOutReason(engine))
	}
}

func (p *groupPlan) rollOutRole(engine Engine) api.EngineRole {
	role := engine.Assignment.Role
	excess := p.split.Of(role) > p.target.Of(role)
	if p.group.allows(role) && !excess {
		return role
	}
	if wanted, _ := p.missing(); wanted != api.RoleNone {
		return wanted
	}
	if p.group.allows(role) {
		return role
	}
	return p.group.intent.Spec.Roles[0]
}

func (p *groupPlan) rollOutReason(engine Engine) string {
	spec := p.group.intent.Spec
	held := engine.Assignment
	if held.Model == spec.Model && held.Version == spec.Version {
		return fmt.Sprintf("intent %s changed adapters or roles", spec.Model)
	}
	return fmt.Sprintf("intent %s wants %s %s, has %s %s", p.group.intent.Name, spec.Model, spec.Version, held.Model, held.Version)
}

// changeRoles moves engines from roles in excess to missing roles, within the
// budget, the engine with the least work first.
func (p *groupPlan) changeRoles(reason string) {
	for p.budget > 0 {
		role, gap := p.missing()
		if gap == 0 {
			return
		}
		engine, found := p.spare()
		if !found {
			return
		}
		p.budget--
		p.decide(engine, role, fmt.Sprintf("%s to %s: %s", engine.Assignment.Role, role, reason))
	}
}

// spare returns the engine to move: one of a role in excess that does not
// leave the group unable to serve.
func (p *groupPlan) spare() (Engine, bool) {
	candidates := p.group.byLeastWork(func(engine Engine) bool {
		if !movable(engine) || unassigned(engine) || p.decided(engine) {
			return false
		}
		role := engine.Assignment.Role
		return p.split.Of(role) > p.target.Of(role)
	})
	if len(candidates) == 0 {
		return Engine{}, false
	}
	return candidates[0], true
}
