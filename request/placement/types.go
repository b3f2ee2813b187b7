// Package placement decides which replicas of a model service read the prompt (prefill) and
// generate the output of each request. One board per service tracks all requests in flight: the
// prompts that every replica still has to read, the requests that it runs, and the prompt parts
// that it caches.
//
// The reader of a request is the replica that reads its prompt, the generator the one that
// generates its tokens; one decode replica may do both. A daemon is a process that requests
// placements and sends the requests to the replicas. The listed replicas are those last passed
// to SetReplicas, with the changes made by Put and Remove since.
//
// A board reads no clock and performs no I/O. It is not safe for concurrent use. The argument
// now of its methods is the time since a fixed start, the same for all calls; it must not
// decrease.
//
// Guarantees: a placement names only replicas that are listed, accept requests, have the
// right role and are not excluded; equal boards give equal placements to equal requests.
package placement

import (
	"time"

	"github.com/landingtrail/landingtrail/request/resume"
)

// Role is the kind of work that a replica does.
type Role uint8

// Roles of replicas.
const (
	RoleDecode  Role = iota // generates tokens; reads prompts more slowly, interleaved with decoding
	RolePrefill             // reads prompts and transfers their KV cache to the generator
)

// Replica is the state of one replica in the list given to SetReplicas.
type Replica struct {
	Name    string
	Zone    string
	Role    Role
	Slots   int  // maximum concurrent requests; 0 if unknown
	Leaving bool // is shutting down and gets no further requests
	// Born distinguishes successive processes with the same name; 0 if unknown.
	Born int64
	// SoftwareVersion is the version of the replica's software; empty if unknown.
	SoftwareVersion string
}

// ServiceParameters holds the configured properties that all replicas of a service share.
type ServiceParameters struct {
	KVTokens      int64   // KV cache capacity of one replica, in tokens; 0 if unknown
	BytesPerToken int64   // KV cache size of one token, in bytes
	LinkMbps      float64 // bandwidth for KV cache transfers, in Mbit/s; 0 if unknown
	// GapObjective is the objective for the time between two tokens of a stream; 0 selects
	// defaultGapObjective.
	GapObjective time.Duration
}

// Part is a segment of a prompt. Requests may share leading parts; the last part belongs to
// one request or session. ID identifies the segment; how it is derived is up to the caller.
type Part struct {
	ID     string
	Tokens int
}

// Request is a request to be placed.
type Request struct {
	PromptTokens    int    // length in tokens
	MaxOutputTokens int    // maximum number of output tokens
	Priority        int    // fairness applies among requests of equal priority and objective
	Zone            string // zone of the requesting daemon
	// Tenant identifies the caller; empty if callers are not distinguished.
	Tenant string
	Parts  []Part
	// Objective is the time-to-first-token objective, measured from the arrival of the request
	// at the daemon; 0 if there is none. Age is the time since that arrival.
	Objective time.Duration
	Age       time.Duration
	// Deadline is the time left, from the call of Place, until a response is of no use; at 0
	// none is left.
	Deadline time.Duration
	// Excluded names replicas on which the request must not be placed.
	Excluded []string
	// Connected names replicas to which the requesting daemon has an idle open connection.
	Connected []string
	// Continued requests resume a broken stream; their generator reads the prompt.
	Continued bool
	// DirectOnly requests have no reader, because nothing covers its refusal; their generator reads the prompt.
	DirectOnly bool
	// SoftwareVersion is the only version at which the request may run; empty for any.
	SoftwareVersion string
	// Streams identify the stream that the request begins or continues, if it can be continued. The board does not
	// use them.
	Streams []resume.Stream

	// Fingerprint identifies the content of the request; copies and retries have the same
	// fingerprint. It is empty unless the daemon was asked for it by Answer.NeedsFingerprint.
	Fingerprint string
	// Suspect marks a request that may have crashed a replica; it runs on an isolated
	// replica. The caller of Place sets it. Suspected replicas are something else: they
	// recently gave no response.
	Suspect bool
	// AwaitsQuarantine marks a suspect that was in flight at enough crashes for a quarantine: it is
	// not placed until the quarantine has been decided. The caller of Place sets it.
	AwaitsQuarantine bool

	// deferred requests are read after all others.
	deferred bool
	// wouldBeLate is set while options are compared for a request that would miss its
	// objective; delays to streams on the same replica then cost less.
	wouldBeLate bool
	// ignoresRamps is set while options are compared for a request that would otherwise be refused;
	// the limits of ramps then do not apply to replicas with a free slot.
	ignoresRamps bool
	// surging marks a request by which the demand of its tenant exceeds surgeFactor times the
	// tenant's baseline.
	surging bool
	// group is the size group of the request, set when it is placed.
	group sizeGroup
}

// Answer is the board's reply to a Request: a placement, a wait, a refusal or a request for the
// fingerprint.
type Answer struct {
	// Generator runs the request; empty if no replica can.
	Generator string
	// Reader reads the prompt first; empty if the generator reads it.
	Reader string
	// FetchFrom names a replica from which the reading replica fetches the cached leading
	// parts of the prompt; empty for none.
	FetchFrom string
	// UnreadTokens is the number of prompt tokens that still have to be read.
	UnreadTokens int
	// Estimate is the expected time from the placement to the first token.
	Estimate time.Duration
	// Wait, if not 0, is the time after which the daemon should call Place again: the request
	// is not placed now, for instance because parts that it shares are being read for another
	// request. All other fields are empty then.
	Wait time.Duration
	// Deferred marks a request that is read after all others, since it would miss its
	// objective or exceeds what its tenant may ask for.
	Deferred bool
	// NeedsFingerprint asks the caller to send the Fingerprint of the request: replicas are
	// crashing one after the other, apparently under some request. All other fields are empty then.
	NeedsFingerprint bool
	// Isolated says that nothing else is in flight on the generator and that nothing else is
	// placed there until suspectWatchTime after the first token of the request.
	Isolated bool
	// Refused marks a request that the board does not place, since it would miss its deadline;
	// RetryAfter is the delay after which a retry may succeed. All other fields are empty then.
	// StepRefused is a refusal by a replica instead.
	Refused    bool
	RetryAfter time.Duration
}

// Step is a stage or an outcome of a placed request.
type Step uint8

// Stages and outcomes of a placed request.
const (
	StepRead          Step = iota + 1 // the reader has read the prompt
	StepStarted                       // the first token has arrived
	StepEnded                         // the request has completed
	StepFailed                        // the replica gave no response, or broke it off
	StepAnsweredError                 // the replica responded with an error of its own
	StepRefused                       // the replica refused to run the request
	StepMisdirected                   // another replica responded at its address
	StepReadSkipped                   // the reader has not read the prompt; the generator does
	StepUnreachable                   // nothing listens at the address of the replica
	StepLeaving                       // the replica announced that it will shut down; its requests continue
)

// ProgressReport reports progress of a request to the board. For StepFailed, StepAnsweredError,
// StepRefused, StepMisdirected, StepReadSkipped, StepUnreachable and StepLeaving, Replica names the
// replica concerned. If it is the reader of the request, the request continues on its generator.
type ProgressReport struct {
	Step    Step
	Replica string
	// ReportedRequests is the number of running and waiting requests that the replica reported when
	// it completed the step; 0 if it reported that it has none, or reported nothing.
	ReportedRequests int
	// ReportedSlowness is how long work takes on the replica at this moment, as it reported with this step: 1 is usual,
	// 0 if it reported nothing.
	ReportedSlowness float64
}

// InFlightRequest is a request in flight as known to the daemon that requested its placement. It
// lets a board that did not place the request account for it.
type InFlightRequest struct {
	Ask    Request
	Answer Answer
	// Age is the time since the placement; Step is the last stage reached, 0 before StepRead.
	Age  time.Duration
	Step Step
}

// Key identifies a placed request by the requesting daemon and that daemon's own number.
type Key struct {
	Daemon string
	Number uint64
}
