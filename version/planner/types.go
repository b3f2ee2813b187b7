// Package planner decides which engine should change to which role, model and
// version. An engine is an inference server; intents select engines by their labels.
// A plan depends only on its input and on what the planner keeps from earlier inputs,
// so the same inputs give the same plans. A plan takes effect only when the control
// group has committed its orders.
//
// Guarantees of every Planner: a plan opens orders only for engines that an intent
// selects, that are healthy (idle or serving) and that have no open order, and it
// never makes more serving engines of an intent unavailable at once than its
// disruption budget allows.
//
// Balance and PlanCapacity are separate from the planners. They decide about the
// replicas of a routed service of the Ingress: Balance about their roles, and
// PlanCapacity about their number and kind in each zone.
package planner

import (
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// Input is everything a plan depends on.
type Input struct {
	Now     time.Duration // monotonic, from any fixed origin
	Intents []*api.Intent // sorted by name
	Engines []Engine      // sorted by name
	Demand  []Demand      // at most one per intent, in any order
}

// Engine is the state of one engine as seen by the planner.
type Engine struct {
	Name       string
	Intent     string // the intent that selects it; "" if none does
	Zone       string
	Phase      api.EnginePhase
	Assignment api.Assignment // the current assignment
	// Pending is the assignment of its open order, nil if there is none.
	Pending *api.Assignment
	Drain   bool // an operator asked for a drain
	// Running, Waiting, WaitingTokens and KVUsed come from the engine's last load report
	// and may be out of date. Running and Waiting count requests, and KVUsed is the used
	// share of the KV cache. The policies of this package use neither WaitingTokens, Zone
	// nor SinceChange.
	Running       int
	Waiting       int
	WaitingTokens int
	KVUsed        float64
	// SinceChange is the time since its last change ended; negative if it never changed.
	SinceChange time.Duration
}

// Demand is the measured load of one intent over a recent window, summed over all
// proxies. Requests, PromptTokens and OutputTokens are counts over the window, and
// QueuedRequests and QueuedPromptTokens are the current queue lengths. The policies
// of this package use neither Refused, Late nor QueuedRequests.
type Demand struct {
	Intent string
	// Window is the duration over which the requests and tokens were counted.
	Window             time.Duration
	Requests           float64
	PromptTokens       float64
	CachedPromptTokens float64 // the part of PromptTokens found in prefix caches
	OutputTokens       float64
	Refused            float64 // requests refused for lack of capacity
	Late               float64 // requests that missed their deadline
	QueuedRequests     int
	QueuedPromptTokens float64
}

// Decision requests an order that changes the engine to the assignment. The order
// contains Reason, which is shown to operators.
type Decision struct {
	Engine     string
	Assignment api.Assignment
	Reason     string
}

// Planner decides which orders to open now. It may keep forecasts and the times of its
// changes between calls of Plan; everything else comes with the input. It is not safe
// for concurrent use, and Input.Now should not decrease from call to call.
type Planner interface {
	Plan(input Input) []Decision
}
