package controller

import (
	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
	"github.com/landingtrail/landingtrail/version/state"
)

// engineReconciler determines the actions for one engine in one round.
type engineReconciler struct {
	input    *Input
	engine   *api.Engine
	decision *planner.Decision
}

func (r engineReconciler) actions() []Action {
	observation := r.recentObservation()
	if observation == nil {
		return r.queryActions()
	}
	if order := r.engine.Status.OpenOrder; order != nil {
		return r.continueOrder(*order, *observation)
	}
	if report := engineReport(observation.State); state.ReportChanges(r.engine, report) {
		return []Action{Propose{state.Command{Kind: state.CommandReportEngine, EngineReport: &report}}}
	}
	return r.openOrderActions(observation.State)
}

// recentObservation returns the engine's observation, or nil if there is none, it is too
// old or it has no incarnation. A reply under another name comes from another engine at
// the same address and is ignored.
func (r engineReconciler) recentObservation() *Observation {
	observation, found := r.input.Observations[r.engine.Name]
	if !found || observation.State.Engine != r.engine.Name || observation.State.Incarnation == 0 {
		return nil
	}
	if r.input.Now-observation.QueriedAt > r.input.ObservationMaxAge {
		return nil
	}
	return &observation
}

func (r engineReconciler) queryActions() []Action {
	return []Action{Query{Engine: r.engine.Name, Address: r.engine.Spec.Address}}
}

// continueOrder returns the next actions for the open order, given the engine's state.
func (r engineReconciler) continueOrder(order api.Order, observation Observation) []Action {
	current := observation.State
	switch {
	case current.Incarnation != order.Incarnation:
		// The incarnation that the order is bound to has ended, along with all
		// orders sent to it; the new incarnation rejects the order.
		return r.closeOrderActions(order, state.CloseOtherIncarnation, current)
	case current.Order != nil:
		return r.queryActions()
	case current.Fence.Less(order.Fence):
		return r.sendOrderActions(order, observation)
	case order.Fence.Less(current.Fence):
		// The engine has a later fence and can no longer execute the order.
		return r.closeOrderActions(order, state.CloseVoid, current)
	case isDone(order, current):
		return r.closeOrderActions(order, state.CloseDone, current)
	case isSettled(current):
		// The engine finished the order without reaching the assignment.
		return r.voidActions(order, current)
	default:
		return r.queryActions()
	}
}

// sendOrderActions sends the order, or voids it if the engine rejected it as invalid.
func (r engineReconciler) sendOrderActions(order api.Order, observation Observation) []Action {
	if observation.RejectedFence == order.Fence {
		return r.voidActions(order, observation.State)
	}
	return []Action{Send{Engine: r.engine.Name, Address: r.engine.Spec.Address, Order: order}}
}

func (r engineReconciler) voidActions(order api.Order, current engineapi.State) []Action {
	return []Action{Void{
		Engine:      r.engine.Name,
		Address:     r.engine.Spec.Address,
		Order:       order,
		Incarnation: current.Incarnation,
	}}
}

func (r engineReconciler) closeOrderActions(order api.Order, reason state.CloseReason, current engineapi.State) []Action {
	closing := state.CloseOrder{
		Engine: r.engine.Name,
		Fence:  order.Fence,
		Reason: reason,
		Report: engineReport(current),
	}
	return []Action{Propose{state.Command{Kind: state.CommandCloseOrder, CloseOrder: &closing}}}
}

// isDone reports whether the engine has the assignment and the fence of the order.
func isDone(order api.Order, current engineapi.State) bool {
	return isSettled(current) && current.Fence == order.Fence && current.Assignment.Equal(order.Assignment)
}

// isSettled reports whether the engine is neither draining nor changing and executes
// no order. Leaving and gone engines can be settled.
func isSettled(current engineapi.State) bool {
	switch current.Phase {
	case api.PhaseDraining, api.PhaseChanging:
		return false
	default:
		return current.Order == nil
	}
}

// isLeavingOrGone reports whether the machine of an engine in phase is leaving or gone.
func isLeavingOrGone(phase api.EnginePhase) bool {
	return phase == api.PhaseLeaving || phase == api.PhaseGone
}

func engineReport(current engineapi.State) state.EngineReport {
	return state.EngineReport{
		Engine:      current.Engine,
		Incarnation: current.Incarnation,
		Phase:       current.Phase,
		Assignment:  current.Assignment,
		Fence:       current.Fence,
	}
}

// openOrderActions proposes the engine's next order, if its assignment must change.
func (r engineReconciler) openOrderActions(current engineapi.State) []Action {
	if !isSettled(current) || isLeavingOrGone(r.engine.Status.Phase) || isLeavingOrGone(current.Phase) {
		return nil
	}
	assignment, reason, found := r.desiredAssignment()
	if !found || assignment.Equal(current.Assignment) || r.failedRecently(assignment) {
		return nil
	}
	opening := state.OpenOrder{
		Engine:      r.engine.Name,
		Incarnation: current.Incarnation,
		Assignment:  assignment,
		Reason:      reason,
	}
	return []Action{Propose{state.Command{Kind: state.CommandOpenOrder, OpenOrder: &opening}}}
}

// ReasonDrain is the reason of an order that removes the assignment of an engine being
// drained.
const ReasonDrain = "drain"

// desiredAssignment returns the assignment that the engine should have, which is empty
// for an engine being drained. It returns false for an engine that no intent selects.
// Such an engine keeps its assignment, because its labels may be in the middle of a change
// that takes several steps, and the planner makes no decision for it.
func (r engineReconciler) desiredAssignment() (assignment api.Assignment, reason string, found bool) {
	if r.engine.Spec.Drain {
		return api.Assignment{}, ReasonDrain, true
	}
	if r.decision == nil || r.engine.Status.UnmatchedSince != 0 {
		return api.Assignment{}, "", false
	}
	return r.decision.Assignment, r.decision.Reason, true
}

func (r engineReconciler) failedRecently(assignment api.Assignment) bool {
	failure, found := r.input.Failures[r.engine.Name]
	return found && failure.Assignment.Equal(assignment) && r.input.Now-failure.At < r.input.FailurePause
}
