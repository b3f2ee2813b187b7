package emulator

import (
	"time"

	"github.com/landingtrail/landingtrail/version/planner"
)

// Result is what a run came to. Every offered request ends in exactly one of
// Completed, Late, Refused and Unknown.
type Result struct {
	Offered int // model requests
	// Completed is whole answers within the deadline, Late those given up or
	// finished after it.
	Completed int
	Late      int
	// Refused is requests that were answered "not run", and Unknown those that
	// broke off and may not be repeated.
	Refused int
	Unknown int
	// UsefulTokens is the prompt and output tokens of Completed.
	UsefulTokens int64
	// RoleChanges counts orders in the course of the trace that changed the role
	// of a serving engine.
	RoleChanges int
	// CutShort counts runs that a planned change ended, RanTwice marked
	// requests with more than one run, WrongAnswer answers that were not whole
	// or not their own, and RefusedButRan requests that were answered "not
	// run" although an engine had admitted them. All must be 0.
	CutShort      int
	RanTwice      int
	WrongAnswer   int
	RefusedButRan int
	// FrameP99 is the 99th percentile of plain back-end requests; they share no
	// lane with model work, so this checks the model of the lane only.
	FrameP99 time.Duration
	Classes  map[string]*ClassResult
	Samples  []Sample
	Changes  []Change
	Reasons  map[string]int // of refusals
	Duration time.Duration  // of the trace
}

// ClassResult is the part of one class.
type ClassResult struct {
	Offered   int
	Completed int
	Latency   time.Duration // sum over Completed
}

// Sample is one interval of the time line. Tokens count for the interval in
// which their request arrived.
type Sample struct {
	At           time.Duration // the interval's start
	PromptTokens int           // offered
	OutputTokens int           // offered
	UsefulTokens int64
	Split        planner.Split // engines that serve at the interval's start
}

// Change is one role change.
type Change struct {
	At     time.Duration
	Engine string
	Reason string
}

// Goodput is the useful tokens completed within deadline per second of the trace.
func (r *Result) Goodput() float64 {
	if r.Duration <= 0 {
		return 0
	}
	return float64(r.UsefulTokens) / r.Duration.Seconds()
}

func (r *Result) class(name string) *ClassResult {
	kept := r.Classes[name]
	if kept == nil {
		kept = &ClassResult{}
		r.Classes[name] = kept
	}
	return kept
}
