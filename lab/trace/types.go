// Package trace makes the offered traffic of the two deployments from a seed:
// the same trace drives the emulator and the real callers.
package trace

import "time"

// Item is one request of a trace.
type Item struct {
	At      time.Duration // since the trace's start
	Caller  string
	Tenant  string
	Service string
	Class   string
	// Model is empty for plain back-end requests.
	Model        string
	PromptTokens int
	OutputTokens int
	// Prefix names a prompt prefix shared by requests; PrefixTokens of the prompt belong to it.
	Prefix       uint64
	PrefixTokens int
	Deadline     time.Duration
	// RepeatNever marks a request that must run at most once; it then has a Key.
	RepeatNever bool
	Key         string
	Zone        string // the caller's zone
}

// Names of the deployments.
const (
	DeploymentRadarvlak = "radarvlak"
	DeploymentCaroni    = "caroni"
)
