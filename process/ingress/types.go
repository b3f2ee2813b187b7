// Package ingress is the data path of routed requests: it takes a caller's
// request, finds its route by the view, sends it to replicas of the route's
// service, and sees it through to one final answer.
//
// Guarantees: method, target and body reach a replica exactly as the caller sent
// them; a request that must run at most once is sent again only when it surely
// has not run; "not run" is said only when no attempt can have run; an answer
// that broke off is never passed on as a whole one; what a replica said for
// another request never reaches a caller.
//
// The names of header fields belong to a Dialect, so that the same path serves
// callers and replicas of several protocols.
package ingress

import (
	"net/http"
	"time"

	"github.com/landingtrail/landingtrail/request/holdoff"
)

// Call is a caller's request, read whole.
type Call struct {
	ID     string
	Method string
	Target string // as it stands in the request line
	Path   string // the target's path, undecoded, without the query
	Host   string
	// Header holds the fields to pass on, without those of one connection.
	Header  http.Header
	Body    []byte
	Chunked bool
	// Caller is who asks: the tenant of the key where keys are required, and else what
	// the fields say that name a caller; empty where none does.
	Caller string
	// Tenant is the one of the key; empty where keys are not required, or none came.
	Tenant string
	// Credential is the API key that came with the call.
	Credential Credential
	// Within is how long the caller waits, 0 if it did not say.
	Within time.Duration
	Work   Work
	// ResumeAfter is the last event that the caller has of a broken stream.
	ResumeAfter string
}

// Credential is an API key as it came. It goes no further than the look-up.
type Credential struct {
	Key string
	// Given is true where the call brought a credential, also one of a form in which no
	// key can be.
	Given bool
}

// Work is what a caller says of a generation.
type Work struct {
	Model        string
	PromptTokens int
	OutputTokens int
	// Parts are the pieces of the prompt in order; requests share them.
	Parts []Part
}

// Part is a piece of a prompt that replicas may hold in their caches.
type Part struct {
	ID     string
	Tokens int
}

// Attempt is what one send adds to a call.
type Attempt struct {
	Replica  string        // the only replica that may run it
	Within   time.Duration // how long the replica may work
	Priority int
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
	// Prefill asks that the prompt is read and kept, and nothing is generated.
	Prefill bool
	// Source names the replica and the handle to take the read prompt from.
	Source Source
	// Fetch is where the replica first takes what is kept of the prompt there;
	// empty for nowhere.
	Fetch string
}

// Source is a prompt that a replica has read and keeps.
type Source struct {
	Replica string // its name
	Address string
	Handle  string
}

// Reply is what the head of an answer says.
type Reply struct {
	// Named is true for an answer that names its request.
	Named bool
	// Genuine is true for an answer that a replica made by running a request.
	Genuine bool
	// NotRun is the replica's word that it has not run the request.
	NotRun bool
	// Misdirected is true when another replica than the one asked for answered.
	Misdirected bool
	// Load is the replica's load if it told it.
	Load *Load
	// Asks is what the replica wants of further requests.
	Asks holdoff.Word
}

// refuses reports whether the answer proves that the request has not run. One that names
// nobody may have been sent before the request was read, which may then run all the same.
func (r *Reply) refuses() bool { return r.Named && (r.NotRun || r.Misdirected) }

// ownLoad is the load of the replica that was asked: another one that answers at its
// address speaks of its own, and one that names nobody may be any.
func (r *Reply) ownLoad() *Load {
	if r.Misdirected || !r.Named {
		return nil
	}
	return r.Load
}

// Load is what a replica says of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times as long as usual work takes there now, since others use the
	// same machine; 1 is as usual, and 0 says nothing.
	Slowdown float64
}

// Dialect reads and writes the header fields of one protocol.
type Dialect interface {
	// Call reads what the fields of a caller's request say; fields of the
	// dialect that belong to the system are taken out of the header.
	Call(header http.Header) (Call, error)
	// Identify replaces whatever names a caller, its credentials included, by the tenant;
	// an empty one leaves nothing in its place.
	Identify(header http.Header, tenant string)
	// Attempt sets the fields of one send.
	Attempt(header http.Header, attempt Attempt)
	// IdentityField returns the field in which a replica's answer repeats a request's ID.
	IdentityField() string
	// Reply reads the fields of an answer.
	Reply(status int, header http.Header) Reply
	// Handle reads the body of the answer to a prefill.
	Handle(body []byte) (handle string, err error)
	// Release makes the request that frees a handle of the replica and of no other one
	// at its address, and sets the fields.
	Release(header http.Header, replica, handle string) (method, target string)
	// Refusal sets the fields of an answer of the system's own.
	Refusal(header http.Header, call *Call, retryAfter time.Duration)
}
