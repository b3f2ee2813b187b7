package view

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// relayChanges bounds the changes that a Relay keeps to make deltas of.
const relayChangesKept = 8192

// Relay stands between a Tracker upstream, to which it looks like one daemon,
// and the daemons behind it, so that the group's leader follows one relay in
// place of all of these. Any number of goroutines may use it. Times are
// readings of one monotonic clock of this process.
//
// Guarantee: once the Tracker upstream has called a version in force, no daemon
// behind the relay uses an older view under a lease granted through the relay.
// Either the relay acknowledged the version, which it does only once its own
// Tracker has called it in force, after which that one grants no lease on an
// older view; or the relay's lease has lapsed upstream, and each lease that it
// passed on has ended before, because Limit bounds it. A relay that starts again
// is another daemon upstream, whose predecessor's lease has to lapse first.
type Relay struct {
	holder  *Holder
	tracker *Tracker
	history atomic.Pointer[History]

	applyMu sync.Mutex // one delta at a time

	mu    sync.Mutex
	acked Version
}

// NewRelay returns a Relay without a view that passes on leases of at most the
// given duration. now is when it starts.
func NewRelay(lease, now time.Duration) *Relay {
	r := &Relay{holder: NewHolder(), tracker: NewTracker(lease)}
	// Nobody holds a lease of this relay yet, so nothing needs to be waited for.
	r.tracker.Reset(now - 2*lease)
	r.history.Store(&History{View: r.holder.Load()})
	return r
}

// Tracker returns the tracker of the daemons behind the relay.
func (r *Relay) Tracker() *Tracker { return r.tracker }

// Load returns the latest view.
func (r *Relay) Load() *View { return r.holder.Load() }

// History returns the latest view with the changes that led to it.
func (r *Relay) History() History { return *r.history.Load() }

// Apply moves the view forward; the errors are those of Holder.Apply.
func (r *Relay) Apply(d Delta) error {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	if err := r.holder.Apply(d); err != nil {
		return err
	}
	r.history.Store(r.history.Load().withDelta(r.holder.Load(), d))
	return nil
}

// Confirm extends the relay's own lease, as Holder.Confirm does.
func (r *Relay) Confirm(sentAt, lease time.Duration, term uint64) bool {
	return r.holder.Confirm(sentAt, lease, term)
}

// Term returns the highest term known.
func (r *Relay) Term() uint64 { return r.holder.Term() }

// Limit returns how long a lease may last that is passed on now, counted from
// when its daemon asked; zero: none may be.
func (r *Relay) Limit(now time.Duration) time.Duration {
	remaining := r.holder.Remaining(now)
	return remaining - remaining/clockDriftDivisor
}

// Acknowledge returns the version to acknowledge upstream: the highest one that
// is known to be in force behind the relay. It never goes back.
func (r *Relay) Acknowledge(now time.Duration) Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	reached := r.holder.Load().Version
	if lowest, some := r.tracker.lowestLeasedVersion(now); some && lowest.Compare(reached) < 0 {
		reached = lowest
	}
	if reached.Compare(r.acked) <= 0 {
		return r.acked
	}
	if done, _ := r.tracker.InForce(reached, now); done {
		r.acked = reached
	}
	return r.acked
}

// extend returns the history after a delta that led to the view. All changes
// count as made at the delta's last revision: who stands in between is sent
// some objects again, and misses none.
func (h *History) withDelta(next *View, d Delta) *History {
	if d.Full {
		return &History{View: next, Floor: d.To.Revision}
	}
	extended := &History{View: next, Floor: h.Floor, Changes: h.Changes}
	for _, object := range d.Objects {
		if key, ok := object.Key(); ok {
			extended.Changes = append(extended.Changes, Change{Revision: d.To.Revision, Key: key})
		}
	}
	for _, key := range d.Removed {
		extended.Changes = append(extended.Changes, Change{Revision: d.To.Revision, Key: key})
	}
	extended.trim()
	return extended
}

// trim drops the oldest changes, a good part at a time.
func (h *History) trim() {
	if len(h.Changes) <= 2*relayChangesKept {
		return
	}
	dropped := len(h.Changes) - relayChangesKept
	h.Floor = h.Changes[dropped-1].Revision
	h.Changes = slices.Clone(h.Changes[dropped:])
}
