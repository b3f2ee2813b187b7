// Package planner decides which engine should change to which role, model and
// version. A plan is a pure function of its input: the same input gives the
// same plan, and a plan becomes true only when its orders are committed.
//
// Guarantees, whatever the policy: only engines that an intent selects, that are
// well and that have no open order are touched, and never more serving engines of
// an intent are away at once than its disruption budget allows.
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
	Demand  []Demand      // by intent name
}

// Engine is what the planner sees of one engine.
type Engine struct {
	Name       string
	Intent     string // the intent that selects it; "" if none does
	Zone       string
	Phase      api.EnginePhase
	Assignment api.Assignment // what it is now
	// Pending is the assignment of its open order, if any.
	Pending *api.Assignment
	Drain   bool // an operator asked for a drain
	// Running and Waiting are the last (lagging) report.
	Running       int
	Waiting       int
	WaitingTokens int
	KVUsed        float64
	// SinceChange is how long ago its last change ended; negative if never.
	SinceChange time.Duration
}

// Demand is the measured offered work of one intent over a recent window,
// summed over all proxies.
type Demand struct {
	Intent string
	// Window is how long the counts below were taken over.
	Window             time.Duration
	Requests           float64
	PromptTokens       float64
	CachedPromptTokens float64 // of PromptTokens, found in caches
	OutputTokens       float64
	Refused            float64 // requests refused for lack of capacity
	Late               float64 // requests that missed their deadline
	QueuedRequests     int
	QueuedPromptTokens float64
}

// Decision asks for one order.
type Decision struct {
	Engine     string
	Assignment api.Assignment
	Reason     string
}

// Planner turns an input into the orders that should be opened now. A planner
// may keep a forecast between calls; everything else comes with the input.
type Planner interface {
	Plan(input Input) []Decision
}
