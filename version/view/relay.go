package view

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// relayChangesKept is the number of changes to which a Relay trims its history.
const relayChangesKept = 8192

// Relay distributes views to daemons in place of the leader. It has a Tracker of these
// daemons, and is itself one daemon for the upstream Tracker, so the leader tracks one
// relay and not all of its daemons. Any number of goroutines may use it. Times are
// readings of one monotonic clock of this process.
//
// Guarantee: once the upstream Tracker has reported a version as in force, no daemon
// behind the relay uses an older view under a lease granted through the relay. There
// are two cases. If the relay acknowledged the version, its own Tracker had reported it
// as in force and grants no more leases on older views. If the relay's lease has lapsed
// upstream, the leases that it granted have lapsed too, because MaxLease bounds each of
// them to the relay's own lease. A restarted relay is another daemon upstream, where
// the lease of the previous one has to lapse first.
type Relay struct {
	holder  *Holder
	tracker *Tracker
	history atomic.Pointer[History]

	applyMu sync.Mutex // serializes Apply

	mu    sync.Mutex
	acked Version
}

// NewRelay returns a Relay with an empty view that grants leases of at most the given
// duration. now is its start time.
func NewRelay(lease, now time.Duration) *Relay {
	r := &Relay{holder: NewHolder(), tracker: NewTracker(lease)}
	// No daemon holds a lease from this relay yet, so Reset is backdated by more than its
	// wait of one lease duration and the margin for clock drift.
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

// Apply applies the delta to the current view. The errors are those of Holder.Apply.
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

// MaxLease returns the longest duration of a lease that may be granted to a daemon now,
// counted from the time at which the daemon sent its heartbeat; zero if no lease may be
// granted. It is shorter than the relay's own lease, since the daemon's clock may be
// slower than the relay's.
func (r *Relay) MaxLease(now time.Duration) time.Duration {
	remaining := r.holder.Remaining(now)
	return remaining - remaining/clockDriftDivisor
}

// Acknowledge returns the version to acknowledge upstream: the highest one known to be
// in force among the daemons behind the relay. It never goes back. From then on, the
// relay's Tracker refuses leases on older views.
func (r *Relay) Acknowledge(now time.Duration) Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	candidate := r.holder.Load().Version
	if lowest, found := r.tracker.lowestLeasedVersion(now); found && lowest.Compare(candidate) < 0 {
		candidate = lowest
	}
	if candidate.Compare(r.acked) <= 0 {
		return r.acked
	}
	if done, _ := r.tracker.InForce(candidate, now); done {
		r.acked = candidate
	}
	return r.acked
}

// withDelta returns the history after a delta that led to the view. All changes are
// recorded at the delta's last revision. A daemon whose view has a revision within the
// delta therefore receives some objects again, but misses none.
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

// trim drops the oldest changes once twice the kept number has accumulated, so that
// dropping them is rare.
func (h *History) trim() {
	if len(h.Changes) <= 2*relayChangesKept {
		return
	}
	dropped := len(h.Changes) - relayChangesKept
	h.Floor = h.Changes[dropped-1].Revision
	h.Changes = slices.Clone(h.Changes[dropped:])
}
