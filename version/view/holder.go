package view

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Holder holds the current view of one daemon and the lease that bounds its
// use. Any number of goroutines may use it.
//
// Guarantees: the version that Load returns never goes back, in whatever order deltas
// arrive. Valid is true only while less than the lease has passed since the daemon sent
// a heartbeat that a leader answered. The network delay thus shortens the daemon's
// lease. The leader counts from the receipt of the heartbeat and adds a margin for clock
// drift, so it never considers a lease lapsed while the daemon still uses it. A leader
// of a term older than the newest one seen cannot extend the lease.
type Holder struct {
	view       atomic.Pointer[View]
	validUntil atomic.Int64 // nanoseconds of the monotonic clock
	// confirmedAt is the send time of the last heartbeat that a leader answered, in
	// nanoseconds of the monotonic clock.
	confirmedAt atomic.Int64

	mu   sync.Mutex // held by writers
	term uint64     // highest term seen
}

// NewHolder returns a Holder of the empty view without a lease.
func NewHolder() *Holder {
	h := &Holder{}
	h.view.Store(New())
	h.validUntil.Store(math.MinInt64)
	return h
}

// Load returns the current view.
func (h *Holder) Load() *View { return h.view.Load() }

// Apply applies the delta to the current view. The error is ErrGap, after which a full
// delta is needed, or ErrStale, after which nothing needs to be done.
func (h *Holder) Apply(d Delta) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, err := h.view.Load().Apply(d)
	if err != nil {
		return err
	}
	h.term = max(h.term, d.To.Term)
	h.view.Store(next)
	return nil
}

// Confirm extends the lease to the given duration after sentAt, the time on the
// daemon's monotonic clock at which it sent the heartbeat that a leader of the term
// answered. It returns false and changes nothing if a newer term is known. It never
// shortens a lease, since the answers to two heartbeats may arrive out of order.
func (h *Holder) Confirm(sentAt, lease time.Duration, term uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term < h.term {
		return false
	}
	h.term = term
	h.validUntil.Store(max(h.validUntil.Load(), int64(sentAt+lease)))
	h.confirmedAt.Store(max(h.confirmedAt.Load(), int64(sentAt)))
	return true
}

// SinceConfirmed returns the time since the daemon sent the last heartbeat that a leader
// answered; before the first answer, the time since the origin of the daemon's monotonic
// clock, which says nothing about the lease.
func (h *Holder) SinceConfirmed(now time.Duration) time.Duration {
	return now - time.Duration(h.confirmedAt.Load())
}

// Valid reports whether the lease covers now, a reading of the same monotonic clock as
// Confirm's sentAt. Callers that act on the view must read the clock immediately before
// the action, after all work that prepares it, since the process may be paused during
// that work.
func (h *Holder) Valid(now time.Duration) bool { return int64(now) < h.validUntil.Load() }

// Remaining returns the remaining duration of the lease, zero if it has lapsed.
func (h *Holder) Remaining(now time.Duration) time.Duration {
	if until := h.validUntil.Load(); int64(now) < until {
		return time.Duration(until) - now
	}
	return 0
}

// Term returns the highest term known from deltas and confirmations.
func (h *Holder) Term() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term
}
