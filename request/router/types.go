// Package router decides where one request goes: filter, score, pick over an
// immutable snapshot. Each step is a small named plugin. The router holds no
// connection and reads no clock.
//
// Guarantees: a decision depends on the snapshot, the request and the random
// numbers only; its target has passed every filter, and where none passes the
// reason names the filter that dropped the last ones.
package router

import (
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// Request is what a decision needs to know of a request.
type Request struct {
	ID           string
	Service      string
	Class        string
	Tenant       string
	Model        string // as the caller named it: model, or model:adapter
	Adapter      string
	Priority     int
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Blocks are the hashes of the prompt's prefix blocks, first block first;
	// each hash covers all blocks before it.
	Blocks   []uint64
	Deadline time.Duration // time left
	// Excluded names engines that refused or failed an earlier attempt.
	Excluded map[string]bool
	// Zone is where the deciding proxy is.
	Zone string
}

// Endpoint is one engine as the deciding proxy sees it now: the committed view,
// its last load report, and what this proxy has dispatched since the report.
type Endpoint struct {
	Name        string
	Address     string
	Zone        string
	Incarnation uint64
	Role        api.EngineRole
	Model       string
	Version     string
	Adapters    []string
	Classes     func(class string) bool // whether the intent serves the class; nil serves all
	// Admits is false for an engine that is draining, changing, leaving or
	// gone by any of the sources: the view, its own report, its refusal.
	Admits bool
	// Suspect is true after failures or silence; it is used only when nothing else is left.
	Suspect bool
	Load    Load
	// CachedBlocks reports how many leading blocks the engine's cache is
	// believed to hold, and whether the belief is sure; nil means none.
	CachedBlocks func(blocks []uint64) (count int, sure bool)
}

// Load is a lagging report plus the proxy's own dispatches since.
type Load struct {
	Running       int
	Waiting       int
	WaitingTokens int
	KVUsed        float64
	Age           time.Duration
	// OwnRunning and OwnTokens are this proxy's requests and prompt tokens in
	// flight that the report cannot contain yet.
	OwnRunning int
	OwnTokens  int
}

// Snapshot is the immutable set of endpoints that one decision looks at.
type Snapshot struct {
	Endpoints []*Endpoint // sorted by name
}

// Decision is where a request goes. Prefill is nil when the Decode (or mixed)
// engine reads the prompt itself.
type Decision struct {
	Target  *Endpoint
	Prefill *Endpoint
	// Estimate is the expected time to the last token.
	Estimate time.Duration
}

// Reason says why there is no decision.
type Reason string

// Reasons for a refusal; all are sure "not run".
const (
	ReasonNone         Reason = ""
	ReasonUnknownModel Reason = "unknown_model" // no intent serves the model
	ReasonNoEngine     Reason = "no_engine"     // none admits now
	ReasonAllExcluded  Reason = "all_excluded"  // each was tried
	ReasonDeadline     Reason = "deadline"      // no engine can finish in time
	ReasonClassRefused Reason = "class_refused" // no intent serves the class
)
