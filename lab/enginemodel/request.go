package enginemodel

import "time"

// RunKey names one run: a request and the attempt.
type RunKey struct {
	ID      string
	Attempt uint32
}

// Request is one request as the engine schedules it.
type Request struct {
	Key RunKey
	// Model is the model as the caller named it: model, or model:adapter.
	Model string
	// Incarnation is the one the sender means; 0 means any.
	Incarnation  uint64
	Priority     int // higher goes first
	PromptTokens int
	OutputTokens int // exact length of the answer
	// Blocks are the hashes of the prompt's full prefix blocks.
	Blocks []uint64
	// PromptHash ties imported KV cache to its prompt; 0 is not checked.
	PromptHash uint64
	// PrefillOnly runs the prompt and stages its KV cache for export.
	PrefillOnly bool
	// Handle decodes from imported KV cache.
	Handle string
	// Context is handed back with every event and not looked at.
	Context any
}

// Refusal says why something was not admitted; it was surely not run.
type Refusal string

// Refusals.
const (
	RefusalNone             Refusal = ""
	RefusalIdle             Refusal = "idle"
	RefusalDraining         Refusal = "draining"
	RefusalChanging         Refusal = "changing"
	RefusalLeaving          Refusal = "leaving"
	RefusalQueueFull        Refusal = "queue_full"
	RefusalWrongModel       Refusal = "wrong_model"
	RefusalWrongRole        Refusal = "wrong_role"
	RefusalOtherIncarnation Refusal = "other_incarnation"
	RefusalTooLong          Refusal = "too_long"
	RefusalEmpty            Refusal = "empty" // no prompt or no output asked for
	RefusalCancelled        Refusal = "cancelled"
	RefusalUnknownHandle    Refusal = "unknown_handle"
	RefusalStagingFull      Refusal = "staging_full"
	// RefusalDuplicate says that this very run was admitted before: the only
	// refusal that does not mean "not run".
	RefusalDuplicate Refusal = "duplicate"
)

// Admission is the answer to Admit.
type Admission struct {
	Admitted bool
	Refusal  Refusal
}

// EventKind says what an Event reports.
type EventKind uint8

// Kinds of events.
const (
	// EventToken reports output token Offset of a run.
	EventToken EventKind = iota + 1
	// EventFinished reports that the run's answer is whole.
	EventFinished
	// EventExported reports that the KV cache of a prefill-only run is staged under Handle.
	EventExported
	// EventCancelled reports that a run ended early, and Reason why.
	EventCancelled
	// EventPhase reports that the engine's phase changed.
	EventPhase
	// EventLoad asks for weights; the caller answers with FinishLoad when
	// Config.ExternalLoad is set.
	EventLoad
)

// CancelReason says who ended a run early. No reason stands for a planned
// change: orders never end a run.
type CancelReason string

// Reasons of a cancel.
const (
	CancelByCaller  CancelReason = "caller"
	CancelAbandoned CancelReason = "abandoned" // nobody read it for Config.DetachedLimit
)

// Event is one thing that happened in a step.
type Event struct {
	Kind    EventKind
	Request *Request // of events about a run
	Offset  int      // EventToken: tokens before this one
	Cached  int      // EventToken at offset 0, EventExported: prompt tokens found in the cache
	Handle  string   // EventExported
	Reason  CancelReason
	Load    *Load // EventLoad
}

// sequence is a request in the waiting queue or in the batch.
type sequence struct {
	request *Request
	record  *record
	arrival uint64

	pinned    int // leading blocks pinned in the prefix cache
	private   int // tokens of KV memory beside the pinned blocks
	cached    int // prompt tokens found in the cache
	prefilled int // prompt tokens read
	generated int

	chunk    int  // prompt tokens read in the current iteration
	decoding bool // generates in the current iteration
}

// before orders the waiting queue.
func (s *sequence) before(other *sequence) bool {
	if s.request.Priority != other.request.Priority {
		return s.request.Priority > other.request.Priority
	}
	return s.arrival < other.arrival
}

// record is what is kept of a run until its retention ends.
type record struct {
	request    *Request
	sequence   *sequence // nil once ended
	generated  int
	finished   bool
	reason     CancelReason
	detachedAt time.Duration // negative while somebody reads
}
