package planner

import (
	"fmt"

	"github.com/landingtrail/landingtrail/version/api"
)

// policy chooses how many engines of a group should have each role.
type policy interface {
	// target returns the wanted split and the reason for it. The split's total is
	// the group's assignableCount. The reason is part of the orders that change roles;
	// it may be empty if the split is the current one. target is called once per plan
	// for each intent.
	target(g *group) (Split, string)
}

// policyPlanner derives decisions from a policy's target and enforces the package's
// guarantees whatever the policy returns: it opens orders only for engines that an
// intent selects, that are idle or serving and that have no open order, and never makes
// more serving engines of an intent unavailable at once than its disruption budget allows.
type policyPlanner struct {
	policy policy
}

// Plan implements Planner.
func (p *policyPlanner) Plan(input Input) []Decision {
	var decisions []Decision
	for _, g := range groupByIntent(input) {
		if len(g.intent.Spec.Roles) == 0 {
			continue
		}
		target, reason := p.policy.target(&g)
		plan := &groupPlan{group: &g, target: target, split: g.currentSplit(), budget: g.availableBudget()}
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
	split     Split // the current split with the decisions so far applied
	budget    int
	decisions []Decision
}

// addDecision adds an order that gives the engine the role and the intent's model,
// version and adapters, and updates the split.
func (p *groupPlan) addDecision(engine Engine, role api.EngineRole, reason string) {
	if !isUnassigned(engine) {
		p.split = p.split.with(engine.Assignment.Role, -1)
	}
	p.split = p.split.with(role, 1)
	p.decisions = append(p.decisions, Decision{
		Engine:     engine.Name,
		Assignment: p.group.desiredAssignment(role),
		Reason:     reason,
	})
}

// hasDecision reports whether the plan already opens an order for an engine.
func (p *groupPlan) hasDecision(engine Engine) bool {
	for _, decision := range p.decisions {
		if decision.Engine == engine.Name {
			return true
		}
	}
	return false
}

// mostMissingRole returns the permitted role that is furthest below its target, and by
// how many engines; RoleNone and 0 if no role is below its target. A role below its
// target is called missing, and one above it in excess.
func (p *groupPlan) mostMissingRole() (api.EngineRole, int) {
	missing, largestGap := api.RoleNone, 0
	for _, role := range splitRoles {
		gap := p.target.Count(role) - p.split.Count(role)
		if p.group.allows(role) && gap > largestGap {
			missing, largestGap = role, gap
		}
	}
	return missing, largestGap
}

// assignIdle gives a role to engines without one. They serve no requests, so the
// disruption budget does not apply.
func (p *groupPlan) assignIdle() {
	idle := p.group.matchingByLeastWork(func(engine Engine) bool { return canOpenOrder(engine) && isUnassigned(engine) })
	for _, engine := range idle {
		role, _ := p.mostMissingRole()
		if role == api.RoleNone {
			role = p.group.intent.Spec.Roles[0]
		}
		p.addDecision(engine, role, "no assignment yet; selected by intent "+p.group.intent.Name)
	}
}

// rollOut changes model, version and adapters within the disruption budget. An engine
// whose role is not permitted or in excess takes a missing role in the same change.
func (p *groupPlan) rollOut() {
	outdated := p.group.matchingByLeastWork(func(engine Engine) bool {
		return canOpenOrder(engine) && !isUnassigned(engine) && p.group.isOutdated(engine)
	})
	for _, engine := range outdated {
		if p.budget == 0 {
			return
		}
		p.budget--
		p.addDecision(engine, p.rollOutRole(engine), p.rollOutReason(engine))
	}
}

// rollOutRole returns the role that an engine takes with its change.
func (p *groupPlan) rollOutRole(engine Engine) api.EngineRole {
	role := engine.Assignment.Role
	excess := p.split.Count(role) > p.target.Count(role)
	if p.group.allows(role) && !excess {
		return role
	}
	if wanted, _ := p.mostMissingRole(); wanted != api.RoleNone {
		return wanted
	}
	if p.group.allows(role) {
		return role
	}
	return p.group.intent.Spec.Roles[0]
}

func (p *groupPlan) rollOutReason(engine Engine) string {
	spec := p.group.intent.Spec
	current := engine.Assignment
	if current.Model == spec.Model && current.Version == spec.Version {
		return fmt.Sprintf("intent %s changed adapters or roles", spec.Model)
	}
	return fmt.Sprintf("intent %s wants %s %s, has %s %s", p.group.intent.Name, spec.Model, spec.Version, current.Model, current.Version)
}

// changeRoles moves engines from roles in excess to missing roles within the
// disruption budget, the engine with the least work first.
func (p *groupPlan) changeRoles(reason string) {
	for p.budget > 0 {
		role, gap := p.mostMissingRole()
		if gap == 0 {
			return
		}
		engine, found := p.surplusEngine()
		if !found {
			return
		}
		p.budget--
		p.addDecision(engine, role, fmt.Sprintf("%s to %s: %s", engine.Assignment.Role, role, reason))
	}
}

// surplusEngine returns the engine to move: of those whose role is in excess of the
// target, the one with the least work.
func (p *groupPlan) surplusEngine() (Engine, bool) {
	candidates := p.group.matchingByLeastWork(func(engine Engine) bool {
		if !canOpenOrder(engine) || isUnassigned(engine) || p.hasDecision(engine) {
			return false
		}
		role := engine.Assignment.Role
		return p.split.Count(role) > p.target.Count(role)
	})
	if len(candidates) == 0 {
		return Engine{}, false
	}
	return candidates[0], true
}
