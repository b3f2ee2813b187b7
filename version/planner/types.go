// Package planner decides which engine should change to which role, model and
// version. A plan depends only on its input and on what the planner keeps from
// earlier inputs, so the same inputs give the same plans. It takes effect only when
// its orders are committed.
//
// Guarantees of every policy: a plan opens orders only for engines that an intent
// selects, that are healthy and that have no open order, and it never makes more
// serving engines of an intent unavailable at once than its disruption budget allows.
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
	// Running, Waiting, WaitingTokens and KVUsed come from the last report, which lags.
	Running       int
	Waiting       int
	WaitingTokens int
	KVUsed        float64
	// SinceChange is the time since its last change ended; negative if it never changed.
	SinceChange time.Duration
}

// Demand is the measured offered load of one intent over a recent window,
// summed over all proxies.
type Demand struct {
	Intent string
	// Window is the duration over which the counts below were taken.
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

// Decision requests one order: the engine is to change to the assignment.
type Decision struct {
	Engine     string
	Assignment api.Assignment
	Reason     string
}

// Planner returns the orders to open now for an input. A planner may keep
// forecasts and the times of its changes between calls; everything else comes
// with the input.
type Planner interface {
	Plan(input Input) []Decision
}
