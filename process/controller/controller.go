// Package controller carries the committed orders out on the engines. It is
// level-triggered: each round looks at the committed state and at what the
// engines last said of themselves, and yields the actions that bring the two
// together. It does no I/O and keeps no memory, so a leader that starts anew,
// or that lost any answer, continues from what it sees.
//
// An engine has at most one open order. An order is closed only on the
// engine's own word, and resending an order is harmless, because the engine
// carries out each fence at most once.
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

// Observation is what an engine last said of itself.
type Observation struct {
	State engineapi.State
	// AskedAt is when the question was sent, on the monotonic clock of
	// Input.Now; the engine was in State at that time or later. Whoever keeps
	// observations replaces one only by one that was asked for later, so that
	// a late answer never brings an old incarnation back.
	AskedAt time.Duration
	// Refused is the fence of the last order that the engine called invalid.
	Refused api.Fence
}

// Failure is an assignment that an engine could not take on.
type Failure struct {
	Assignment api.Assignment
	At         time.Duration
}

// Input is everything that one round depends on.
type Input struct {
	Now time.Duration // monotonic
	// Engines holds the committed engines.
	Engines map[string]*api.Engine
	// Observations holds what was heard, by engine name.
	Observations map[string]Observation
	// Failures holds the last failed assignment of engines, by name.
	Failures map[string]Failure
	// Platform is the platform's list, nil while it was never read; Machines
	// is the list that this leader committed last, nil if none.
	Platform *state.Machines
	Machines *state.Machines
	// Decisions are the planner's.
	Decisions []planner.Decision
	// Silence is the age from which an observation counts for nothing.
	Silence time.Duration
	// FailurePause is the time during which a failed assignment is not tried again.
	FailurePause time.Duration
}

// Action is something to do: Propose, Send, Void or Query.
type Action interface{ action() }

// Propose asks for a command to be committed.
type Propose struct{ Command state.Command }

// Send gives the engine its open order, for the first or any further time.
type Send struct {
	Engine  string
	Address string
	Order   api.Order
}

// Void makes an order void that the engine cannot carry out: a state.VoidOrder
// is committed, and the fence that it gives out is sent to the engine.
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

// Request returns what to send to the engine, with the fence of the committed command.
func (v Void) Request(fence api.Fence) engineapi.VoidRequest {
	return engineapi.VoidRequest{Fence: fence, Incarnation: v.Incarnation}
}

// Query asks the engine for its state.
type Query struct {
	Engine  string
	Address string
}

func (Propose) action() {}
func (Send) action()    {}
func (Void) action()    {}
func (Query) action()   {}

// Reconcile returns the actions of one round, engines in the order of their names.
func Reconcile(input Input) []Action {
	actions := reconcileMachines(input)
	decisions := decisionsByEngine(input.Decisions)
	for _, name := range slices.Sorted(maps.Keys(input.Engines)) {
		round := engineReconciler{input: &input, engine: input.Engines[name], decision: decisions[name]}
		actions = append(actions, round.actions()...)
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

// normalized returns the names sorted and without duplicates.
func normalized(names []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(names)))
}
