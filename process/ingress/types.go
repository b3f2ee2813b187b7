// Package ingress is the data path of routed requests: it reads a caller's request, looks up its
// route in the current view, sends it to replicas of the route's service, and returns exactly one
// final answer.
//
// The view is the replicated state of the control group as this proxy last received it. The
// control group, or this proxy if the group does not answer, chooses the replica for each model
// request (placement). The prompt may be prefilled on one replica and the answer generated on
// another. A retry budget that all proxies share limits how often requests are sent again, and
// requests that seem to crash replicas are quarantined; see package guard.
//
// Guarantees:
//
//   - Method, target and body reach a replica exactly as the caller sent them.
//   - A request that may run at most once is sent again only if it certainly has not run.
//   - "Not run" is reported only if no attempt can have run.
//   - A truncated answer is never passed on as a complete one.
//   - A replica's answer to one request never reaches the caller of another.
//
// A Dialect defines the names of the header fields, so that the same data path serves callers and
// replicas of several protocols.
package ingress

import (
	"net/http"
	"time"

	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/request/ratelimit"
)

// Call is a caller's request with its complete body.
type Call struct {
	ID     string
	Method string
	Target string // as received in the request line
	Path   string // of the target: still escaped, without the query
	Host   string
	// Header holds the fields to pass on, without the connection-specific ones.
	Header  http.Header
	Body    []byte
	Chunked bool
	// Caller identifies the caller as part of the request's fingerprint: the tenant of the API key
	// if keys are required, otherwise the value of the fields that identify a caller; empty if
	// there are none.
	Caller string
	// Tenant is the tenant of the API key; empty if keys are not required or none was sent.
	Tenant string
	// Credential is the API key that was sent with the call.
	Credential Credential
	// MaxWait is how long the caller waits; 0 if unspecified.
	MaxWait time.Duration
	Work    Work // zero for a request without a prompt
	// ResumeAfter is the ID of the last event that the caller received of an interrupted stream.
	ResumeAfter string
	// Resumes is the ID of the call that brought that stream's first event; empty if the caller names none.
	Resumes string
}

// Credential is an API key as received. It is used for the lookup only and never passed on.
type Credential struct {
	Key string
	// Present is true if the call carried a credential, even one that cannot be a valid key.
	Present bool
}

// Work is what a caller declares about a request to a model.
type Work struct {
	Model        string
	PromptTokens int
	OutputTokens int
	// Parts are the pieces of the prompt in order. Requests with a part in common use the same ID
	// for it.
	Parts []Part
}

// Part is a piece of a prompt that replicas may have in their caches.
type Part struct {
	ID     string
	Tokens int
}

// Attempt holds what differs between the sends of one call.
type Attempt struct {
	Replica   string        // the only replica that may run the request
	TimeLimit time.Duration // how long the replica may work on it
	Priority  int
	// ResumeAfter is the ID of the last event that the caller has.
	ResumeAfter string
	// Prefill requests that the prompt is processed and kept, without generating anything.
	Prefill bool
	// Source names the replica and the handle from which to take the prefilled prompt.
	Source Source
	// FetchAddress is the address from which the replica first fetches cached parts of the prompt;
	// empty for none.
	FetchAddress string
}

// Source is a prompt that a replica has prefilled and keeps. Handle is an opaque string of that
// replica by which the prompt is fetched or released; empty if there is no such prompt.
type Source struct {
	Replica string // name of the replica
	Address string
	Handle  string
}

// Reply is the information in the head of an answer.
type Reply struct {
	// HasRequestID is true if the answer carries the ID of its request.
	HasRequestID bool
	// Genuine is true if the answer states that the replica produced it by running a request.
	Genuine bool
	// NotRun is true if the replica states that it has not run the request.
	NotRun bool
	// Misdirected is true if a replica other than the addressed one answered.
	Misdirected bool
	// Load is the replica's load, nil if not reported.
	Load *Load
	// ReportsSlowness is true if the replica reported Load.Slowness, false if it is assumed.
	ReportsSlowness bool
	// Holdoff is the pause or departure that the replica announces.
	Holdoff holdoff.Restrictions
	// Limit is what the answer states about the rate that the replica accepts.
	Limit ratelimit.Statement
	// UnknownFields names the fields that the dialect does not know, in any order.
	UnknownFields []string
}

// refuses reports whether the answer proves that the request was not run. An answer without a
// request ID proves nothing: it may have been sent before the request was read, and the request
// may still run afterwards.
func (r *Reply) refuses() bool { return r.HasRequestID && (r.NotRun || r.Misdirected) }

// ownLoad returns the load of the replica that was addressed. A misdirected answer reports
// another replica's load, and an answer without a request ID may come from any replica.
func (r *Reply) ownLoad() *Load {
	if r.Misdirected || !r.HasRequestID {
		return nil
	}
	return r.Load
}

// ownSlowness returns the slowness of the replica that was addressed; 0 if it did not report one.
func (r *Reply) ownSlowness() float64 {
	if load := r.ownLoad(); load != nil && r.ReportsSlowness {
		return load.Slowness
	}
	return 0
}

// Load is the load that a replica reports, in requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the current duration of work relative to the usual one, caused by other users
	// of the same machine; 1 is normal, 0 means not reported.
	Slowness float64
}

// Dialect reads and writes the header fields of one protocol. It must be safe for concurrent use.
type Dialect interface {
	// Call parses the fields of a caller's request and removes the dialect's internal fields from
	// the header. It returns an error if the value of a field is invalid.
	Call(header http.Header) (Call, error)
	// Identify replaces every field that identifies a caller, including credentials, by the
	// tenant; with an empty tenant they are only removed.
	Identify(header http.Header, tenant string)
	// Attempt sets the fields of one send.
	Attempt(header http.Header, attempt Attempt)
	// IdentityField returns the field in which a replica's answer repeats the request's ID.
	IdentityField() string
	// Reply parses the fields of an answer.
	Reply(status int, header http.Header) Reply
	// Handle parses the body of the answer to a prefill. It returns an error if the body contains
	// no handle; the answer's request ID has been checked before.
	Handle(body []byte) (handle string, err error)
	// Release returns the method and target of the request that frees a handle, and sets its
	// header fields. The request must affect only the named replica, even if another one has
	// taken over its address.
	Release(header http.Header, replica, handle string) (method, target string)
	// StatusRequest returns the method and target of the request for a replica's status, and sets its
	// header fields. Another replica that has taken over the address must refuse it.
	StatusRequest(header http.Header, replica string) (method, target string)
	// Birth returns when a replica's process was started according to its status, in milliseconds since
	// the Unix epoch; 0 if the status does not contain it.
	Birth(status []byte) int64
	// Refusal sets the fields of an answer that the proxy generates itself. The call may be
	// incomplete, without an ID for example; retryAfter is 0 if no retry delay is to be sent.
	Refusal(header http.Header, call *Call, retryAfter time.Duration)
}
