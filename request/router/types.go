// Package router decides where one request goes: it filters, scores and picks the endpoints of
// an immutable snapshot. Each step is a small named plugin. The router holds no connection and
// reads no clock.
//
// Guarantees: a decision depends on the snapshot, the request and the random numbers only. Its
// target has passed every filter; if no endpoint passes, the reason is that of the filter that
// dropped the last ones.
package router

import (
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// Request holds the properties of a request on which a decision depends.
type Request struct {
	ID           string
	Service      string
	Class        string
	Tenant       string
	Model        string // as named by the caller: model, or model:adapter
	Adapter      string
	Priority     int // higher is more urgent
	PromptTokens int
	// OutputTokens is the expected length of the output.
	OutputTokens int
	// Blocks are the hashes of the prompt's prefix blocks, in order; each hash covers all
	// blocks before it.
	Blocks   []uint64
	Deadline time.Duration // time left until the last token is due; 0 if there is no deadline
	// Excluded names engines that refused or failed an earlier attempt.
	Excluded map[string]bool
	// Zone is the zone of the deciding proxy.
	Zone string
}

// Endpoint is one engine as the deciding proxy sees it: the view that the control plane has
// committed, the engine's last load report, and this proxy's dispatches since that report.
type Endpoint struct {
	Name        string
	Address     string
	Zone        string
	Incarnation uint64
	Role        api.EngineRole
	Model       string
	Version     string
	Adapters    []string
	Classes     func(class string) bool // whether the engine's intent (its configuration) serves the class; nil serves all
	// Admits is false for an engine that is draining, changing, leaving or gone according to
	// any source: the view, its own report, or a refusal.
	Admits bool
	// Suspect is true after failures or silence; a suspect engine is used only if no other
	// engine is left.
	Suspect bool
	Load    Load
	// CachedBlocks returns the number of leading blocks that the engine probably has cached,
	// and whether that number is exact; nil means none.
	CachedBlocks func(blocks []uint64) (count int, exact bool)
}

// Load is the last load report, which lags, and the proxy's own dispatches since.
type Load struct {
	Running       int           // sequences in the batch
	Waiting       int           // requests waiting for the batch
	WaitingTokens int           // prompt tokens still to be read
	KVUsed        float64       // used share of the KV cache, 0 to 1
	Age           time.Duration // time since the report
	// OwnRunning and OwnTokens are this proxy's requests and prompt tokens in flight that the
	// report can't include yet.
	OwnRunning int
	OwnTokens  int
}

// Snapshot is the immutable set of endpoints for one decision.
type Snapshot struct {
	Endpoints []*Endpoint // sorted by name
}

// Decision is where a request goes. Prefill is nil if the target, a decode or mixed engine,
// reads the prompt itself.
type Decision struct {
	Target  *Endpoint
	Prefill *Endpoint
	// Estimate is the expected time to the last token.
	Estimate time.Duration
}

// Reason is the reason why a request is refused.
type Reason string

// Reasons of a refusal. With any but ReasonNone the request was sent to no engine, so it is
// certain not to have run.
const (
	ReasonNone         Reason = ""
	ReasonUnknownModel Reason = "unknown_model" // no intent serves the model
	ReasonNoEngine     Reason = "no_engine"     // no engine admits requests now
	ReasonAllExcluded  Reason = "all_excluded"  // each engine was tried
	ReasonDeadline     Reason = "deadline"      // no engine can finish in time
	ReasonClassRefused Reason = "class_refused" // no intent serves the class
)
