// Package placement decides which replicas of a model service read (prefill) and answer
// each request. One board per service tracks all requests in flight: the prompts that every
// replica still has to read, the requests that it runs, and the prompt parts that it caches.
//
// The reader of a request is the replica that reads its prompt, the generator the one that
// generates its tokens; one decode replica may do both.
//
// A board reads no clock and performs no I/O. It is not safe for concurrent use.
//
// Guarantees: an answer names only replicas that are listed, accept requests, have the
// right role and are not excluded; equal boards give equal answers to equal requests.
package placement

import "time"

// Role is the kind of work that a replica does.
type Role uint8

// Roles of replicas.
const (
	RoleDecode  Role = iota // generates tokens; reads prompts more slowly, interleaved with decoding
	RolePrefill             // reads prompts and hands over their KV cache
)

// Replica is the listed state of one replica.
type Replica struct {
	Name    string
	Zone    string
	Role    Role
	Slots   int // maximum concurrent requests; 0 if unknown
	Leaving bool
	// Born identifies the process among those that had the same name; 0 if unknown.
	Born int64
}

// Sheet holds the configured properties that all replicas of a service share.
type Sheet struct {
	KVTokens     int64   // KV cache capacity of one replica, in tokens; 0 if unknown
	BytesPerTok  int64   // KV cache size of one token
	LinkMbps     float64 // bandwidth for KV cache transfers
	GapObjective time.Duration
}

// Part is a segment of a prompt. Requests may share leading parts; the last part belongs to
// one request or session.
type Part struct {
	ID     string
	Tokens int
}

// Ask is a request to be placed.
type Ask struct {
	Prompt   int // length in tokens
	Output   int // maximum number of output tokens
	Priority int
	Zone     string
	// Tenant identifies the caller; empty if callers are not distinguished.
	Tenant string
	Parts  []Part
	// Objective is the time-to-first-token objective, measured from the arrival; 0 if there
	// is none. Age is the time since the arrival.
	Objective time.Duration
	Age       time.Duration
	// Deadline is the time left until an answer is of no use.
	Deadline time.Duration
	Excluded []string
	// Connected names replicas to which the requesting daemon has an idle open connection.
	Connected []string
	// Continued requests resume a broken stream; their generator reads the prompt.
	Continued bool

	// Name identifies the content of the request, the same for copies of it. It is empty
	// unless an answer has asked for it.
	Name string
	// Suspect marks a request that may have crashed a replica; it runs on an isolated
	// replica. The caller of Place sets it.
	Suspect bool
	// Judged marks a suspect under which enough replicas have crashed: it waits for the
	// decision on its quarantine. The caller of Place sets it.
	Judged bool

	// deferred is true while options are compared that let all other requests go first.
	deferred bool
	// wouldBeLate is true while options are compared for a request that would miss its
	// objective; delays to streams on the same replica then cost less.
	wouldBeLate bool
	// surging marks demand of the tenant that exceeds surgeFactor times its baseline.
	surging bool
	// group is the size group of the request, set when it is placed.
	group sizeGroup
}

// Answer is the placement of a request.
type Answer struct {
	// Generator runs the request; empty if no replica can.
	Generator string
	// Reader reads the prompt first; empty if the generator reads it.
	Reader string
	// Fetch names a replica from which the reading replica fetches the cached leading
	// parts of the prompt; empty for none.
	Fetch string
	// Unread is the number of prompt tokens that still have to be read.
	Unread int
	// Estimate is the expected time to first token.
	Estimate time.Duration
	// Wait, if not 0, is the time after which to ask again: the request is not placed now,
	// for instance because parts that it shares are being read for another request. All
	// other fields are empty then.
	Wait time.Duration
	// Deferred marks a request that is read after all others, since it would miss its
	// objective or exceeds what its tenant may ask for.
	Deferred bool
	// Name asks the caller to send the Name of the request: replicas are crashing one after
	// the other, apparently under some request. All other fields are empty then.
	Name bool
	// Alone says that nothing else is in flight on the generator and that nothing else is
	// placed there until the request has been answering for a while.
	Alone bool
	// Refused marks a request that could not be answered before its deadline; RetryAfter is
	// the delay after which a retry may succeed. All other fields are empty then.
	Refused    bool
	RetryAfter time.Duration
}

// Step is a stage or an outcome of a placed request.
type Step uint8

// Stages and outcomes of a placed request.
const (
	StepRead        Step = iota + 1 // the reader has read the prompt
	StepStarted                     // the first token has arrived
	StepEnded                       // the request has completed
	StepFailed                      // the replica gave no answer, or broke it off
	StepErred                       // the replica answered with an error of its own
	StepRefused                     // the replica refused to run the request
	StepMisdirected                 // another replica answered at its address
	StepUnread                      // the reader has not read the prompt; the generator does
	StepGone                        // nothing listens at the address of the replica
	StepLeaving                     // the replica announced that it leaves; its requests go on
)

// Note reports progress of a request to the board. Replica is the subject of StepFailed,
// StepErred, StepRefused, StepMisdirected, StepUnread, StepGone and StepLeaving. If it is the
// reader of the request, the request goes on at its generator.
type Note struct {
	Step    Step
	Replica string
	// Told is the number of running and waiting requests that the replica reported when it
	// completed the step; 0 if it reported none.
	Told int
}

// Placed is a request in flight as known to the daemon that requested its placement. It
// lets a board that did not place the request account for it.
type Placed struct {
	Ask    Ask
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
