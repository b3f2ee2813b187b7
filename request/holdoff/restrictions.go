// Package holdoff keeps the restrictions that replicas request from this process: to send them no
// requests for a time (a pause), to stop sending requests because the replica is about to shut down
// (leaving), or to send no more than a rate that all processes share (a limit). Times are durations
// since an origin that the caller chooses, the same for all calls on one Table, unless they are called
// wall clock times.
package holdoff

import "time"

// Restrictions holds the restrictions that an answer puts on further requests from its receiver.
type Restrictions struct {
	// RetryAfter is how long to send the replica no requests, 0 for no pause.
	RetryAfter time.Duration
	// Leaving is true if the replica is about to shut down and accepts no new requests.
	Leaving bool
}

// IsZero reports whether there is no restriction on further requests.
func (r Restrictions) IsZero() bool { return r == Restrictions{} }
