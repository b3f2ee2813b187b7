// Package controller reconciles the engines with the committed orders. It is
// level-triggered: each round compares the committed state with the state that the
// engines last reported, and returns the actions that make the two converge. It does no
// I/O and keeps no state between rounds, so a new leader, or one that missed a reply,
// continues from what it observes.
//
// An order binds one incarnation of an engine, that is, one run of its process, to an
// assignment: a role, a model, a version and adapters. Its fence is greater than that of
// every earlier order, and an engine rejects every order whose fence is not greater than
// its own.
//
// An engine has at most one open order. An order is closed only on a report of its
// engine. Resending an order is harmless, because the engine executes
// the order of each fence at most once.
package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
	"github.com/landingtrail/landingtrail/version/state"
)

// Observation is the last state that an engine reported.
type Observation struct {
	State engineapi.State
	// QueriedAt is when the query was sent, on the monotonic clock of Input.Now; the
	// engine was in State at that time or later. An observation must be replaced only
	// by one with a later QueriedAt, so that a delayed reply about an old incarnation
	// cannot replace a newer one.
	QueriedAt time.Duration
	// RejectedFence is the fence of the last order that the engine rejected as invalid,
	// zero if none.
	RejectedFence api.Fence
}

// Failure is an assignment that an engine failed to apply.
type Failure struct {
	Assignment api.Assignment
	At         time.Duration // on the clock of Input.Now
}

// Input is the complete input of one reconciliation round.
type Input struct {
	Now time.Duration // monotonic
	// Engines holds the committed engines by name.
	Engines map[string]*api.Engine
	// Observations holds the last observation of each engine by name.
	Observations map[string]Observation
	// Failures holds the last failed assignment of each engine by name.
	Failures map[string]Failure
	// Platform is the machine list read from the platform, nil if it has not been read
	// yet. Machines is the list that this leader last committed, nil if none.
	Platform *state.Machines
	Machines *state.Machines
	// Decisions are the planner's current decisions.
	Decisions []planner.Decision
	// ObservationMaxAge is the maximum age of an observation; older ones are ignored, with zero
	// all that are not of the time Now.
	ObservationMaxAge time.Duration
	// FailurePause is the time before a failed assignment is retried; with zero it is
	// retried at once.
	FailurePause time.Duration
}

// Action is one of Propose, Send, Void and Query. The caller carries it out; after a
// failure the next round returns what is still needed.
type Action interface{ action() }

// Propose proposes a command to the replicated log.
type Propose struct{ Command state.Command }

// Send sends the engine its open order, possibly again.
type Send struct {
	Engine  string
	Address string
	Order   api.Order
}

// Void voids an order that the engine cannot execute or has ended without reaching the
// assignment: a state.VoidOrder is committed, and the fence that the committed command
// allocates is sent to the engine. Incarnation is the engine's current one.
type Void struct {
	Engine      string
	Address     string
	Order       api.Order
	Incarnation uint64
}

// Command returns the command to commit.
func (v Void) Command() state.Command {
	body := state.VoidOrder{Engine: v.Engine, Fence: v.Order.Fence}
	return state.Command{Kind: state.CommandVoidOrder, VoidOrder: &body}
}

// Request returns the request to send to the engine, given the fence that the
// committed command allocated.
func (v Void) Request(fence api.Fence) engineapi.VoidRequest {
	return engineapi.VoidRequest{Fence: fence, Incarnation: v.Incarnation}
}

// Query requests the state of the engine.
type Query struct {
	Engine  string
	Address string
}

func (Propose) action() {}
func (Send) action()    {}
func (Void) action()    {}
func (Query) action()   {}

// Reconcile returns the actions of one round: first a change of the machine list, then
// at most one action per engine, in name order.
func Reconcile(input Input) []Action {
	actions := reconcileMachines(input)
	decisions := decisionsByEngine(input.Decisions)
	for _, name := range slices.Sorted(maps.Keys(input.Engines)) {
		reconciler := engineReconciler{input: &input, engine: input.Engines[name], decision: decisions[name]}
		actions = append(actions, reconciler.actions()...)
	}
	return actions
}

func decisionsByEngine(decisions []planner.Decision) map[string]*planner.Decision {
	byEngine := make(map[string]*planner.Decision, len(decisions))
	for i := range decisions {
		byEngine[decisions[i].Engine] = &decisions[i]
	}
	return byEngine
}

// reconcileMachines proposes the platform's machine list if it differs from the list
// that was last committed.
func reconcileMachines(input Input) []Action {
	if input.Platform == nil {
		return nil
	}
	wanted := normalizedMachines(*input.Platform)
	if input.Machines != nil && equalMachines(wanted, normalizedMachines(*input.Machines)) {
		return nil
	}
	return []Action{Propose{state.Command{Kind: state.CommandMachines, Machines: &wanted}}}
}

func normalizedMachines(machines state.Machines) state.Machines {
	return state.Machines{Leaving: normalized(machines.Leaving), Gone: normalized(machines.Gone)}
}

func equalMachines(left, right state.Machines) bool {
	return slices.Equal(left.Leaving, right.Leaving) && slices.Equal(left.Gone, right.Gone)
}

// normalized returns names sorted and without duplicates.
func normalized(names []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(names)))
}
