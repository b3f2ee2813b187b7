package ratelimit

import (
	"math/rand/v2"
	"sync"
	"time"
)

// maxRetryDelay limits the delay after which a refused caller is asked to return, since the limit may
// end earlier.
const maxRetryDelay = 5 * time.Second

// RetryPacer spaces out the callers that are refused because of a limit, so that they return at the rate
// at which they can be served. It is safe for concurrent use.
type RetryPacer struct {
	lock   sync.Mutex
	nextAt time.Duration
}

// Next returns the delay for the next refused caller: at least first, and after the callers that were
// refused before, at the given rate in requests per second.
func (r *RetryPacer) Next(now, first time.Duration, perSecond float64) time.Duration {
	interval := maxRetryDelay
	if perSecond > 0 {
		interval = min(time.Duration(float64(time.Second)/perSecond), maxRetryDelay)
	}
	r.lock.Lock()
	at := max(r.nextAt, now+first)
	r.nextAt = min(at+interval, now+maxRetryDelay)
	r.lock.Unlock()
	return at - now + rand.N(interval/4+time.Millisecond)
}
