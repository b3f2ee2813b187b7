// Package holdoff keeps what replicas have asked of this process: to be sent nothing for a
// time, or nothing new any more since they leave.
package holdoff

import "time"

// Word is what an answer says of further requests from the process that gets it.
type Word struct {
	// RetryAfter is for how long the replica wants no request, 0 for no such wish.
	RetryAfter time.Duration
	// Leaving says that the replica is about to end and wants nothing new.
	Leaving bool
}

// IsZero reports whether the answer asks for nothing.
func (w Word) IsZero() bool { return w == Word{} }
