// Package holdoff keeps the restrictions that replicas request from this process: to send no
// requests for a time, or no new ones at all because they are leaving.
package holdoff

import "time"

// Word holds the restrictions that an answer puts on further requests from its receiver.
type Word struct {
	// RetryAfter is how long to send the replica no requests, 0 for no pause.
	RetryAfter time.Duration
	// Leaving is true if the replica is about to shut down and accepts no new requests.
	Leaving bool
}

// IsZero reports whether the answer puts no restriction on further requests.
func (w Word) IsZero() bool { return w == Word{} }
