package retry

import (
	"math"
	"sync"
	"time"
)

// windowBuckets is the number of buckets in the window's length. One more is kept, because a span
// that starts within a bucket overlaps windowBuckets+1 of them.
const windowBuckets = 50

// Window limits the retries in every time span of a fixed length to a share of the requests in that
// span plus a reserve. Unlike a Budget it does not save up retries for later spans, so that the
// limit applies to every span, whenever it starts.
//
// Invariant: in any span of the window's length, Withdraw grants no more retries than the share of
// the requests in the span plus the reserve at the time of the last grant, apart from those that were
// given back. The sum covers all buckets that the span may overlap. Of the oldest, which it may overlap
// in part, all retries but no requests are counted, so the sum never allows too much.
type Window struct {
	share  float64
	length time.Duration

	lock                 sync.Mutex
	reserve              float64
	reserveWithheldUntil time.Duration // the reserve is withheld before this time
	current              int64         // number of the current bucket
	buckets              [windowBuckets + 1]windowBucket
}

type windowBucket struct {
	number   int64
	requests int
	retries  int
}

// NewWindow returns an empty window. share is the number of retries per request, reserve a number
// of retries, and length at least windowBuckets nanoseconds.
func NewWindow(share, reserve float64, length time.Duration) *Window {
	return &Window{share: share, reserve: reserve, length: length}
}

// WithholdReserve withholds the reserve until the given time, because the process that used it before may
// have spent it within the same span.
func (w *Window) WithholdReserve(until time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.reserveWithheldUntil = until
}

// SetReserve changes the reserve, for example when the number of proxies that divide a common
// reserve among them has changed.
func (w *Window) SetReserve(reserve float64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.reserve = reserve
}

// CountRequest counts the first send of a request. The time may decrease slightly between calls: a
// time before the current bucket counts toward that bucket.
func (w *Window) CountRequest(now time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.bucket(now).requests++
}

// Withdraw takes one retry. It returns false if the window allows no more.
func (w *Window) Withdraw(now time.Duration) bool {
	_, granted := w.withdraw(now)
	return granted
}

// withdraw takes one retry and returns the number of the bucket that counts it.
func (w *Window) withdraw(now time.Duration) (number int64, granted bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	bucket := w.bucket(now)
	retries, allowed := w.sum(now, bucket.number)
	if retries+1 > allowed {
		return 0, false
	}
	bucket.retries++
	return bucket.number, true
}

// giveBack returns a retry that the bucket of the given number counts, unless the bucket is gone.
func (w *Window) giveBack(number int64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	bucket := &w.buckets[number%int64(len(w.buckets))]
	if bucket.number == number && bucket.retries > 0 {
		bucket.retries--
	}
}

// retriesSince returns the number of retries that were taken since the given time and not given back.
func (w *Window) retriesSince(now, since time.Duration) int {
	w.lock.Lock()
	defer w.lock.Unlock()
	current := w.bucket(now).number
	first := int64(since / (w.length / windowBuckets))
	retries := 0
	for i := range w.buckets {
		if number := w.buckets[i].number; number >= first && number <= current {
			retries += w.buckets[i].retries
		}
	}
	return retries
}

// usage returns the number of retries in the span that ends now, and how many are allowed in it.
func (w *Window) usage(now time.Duration) (retries, allowed int) {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.sum(now, w.bucket(now).number)
}

// reserveAt returns the part of the reserve available at now. The lock must be held.
func (w *Window) reserveAt(now time.Duration) float64 {
	if now < w.reserveWithheldUntil {
		return 0
	}
	return w.reserve
}

// sum returns the number of retries in the span that ends with the bucket of that number, and how
// many are allowed. The lock must be held.
func (w *Window) sum(now time.Duration, lastNumber int64) (retries, allowed int) {
	requests := 0
	for i := range w.buckets {
		counted := &w.buckets[i]
		age := lastNumber - counted.number
		if age < 0 || age > windowBuckets {
			continue
		}
		retries += counted.retries
		if age < windowBuckets {
			requests += counted.requests
		}
	}
	return retries, int(math.Floor(w.share*float64(requests) + w.reserveAt(now)))
}

// bucket returns the bucket for now. The lock must be held.
func (w *Window) bucket(now time.Duration) *windowBucket {
	number := max(int64(now/(w.length/windowBuckets)), w.current)
	w.current = number
	bucket := &w.buckets[number%int64(len(w.buckets))]
	if bucket.number != number {
		*bucket = windowBucket{number: number}
	}
	return bucket
}
