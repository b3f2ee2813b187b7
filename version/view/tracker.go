package view

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// UnseenDaemons is the entry, in the list of daemons waited for, that represents daemons
// to which an earlier leader may have granted leases. Operators see it in place of a
// name.
const UnseenDaemons = "(daemons not seen yet)"

const (
	trackerShards = 16
	// clockDriftDivisor is the inverse of the share by which a daemon's clock may run
	// slower than the leader's: by up to 1/100.
	clockDriftDivisor = 100
	// lapsedRetention is how long a daemon stays listed after its lease has lapsed.
	lapsedRetention = 10 * time.Minute
)

// Tracker records, on the leader, which versions the daemons hold and until when they
// may use them. Any number of goroutines may use it. Times are readings of one
// monotonic clock of this process.
//
// Guarantee: once InForce has returned true for a version, no daemon uses a
// view older than that version under a lease granted through this Tracker, nor
// under a lease that an earlier leader granted before Reset was called. There are
// three reasons:
//
//   - InForce returns false until each daemon has acknowledged the version or its lease
//     has lapsed, even if its clock is slow.
//   - From then on, Observe grants no lease to a daemon that holds an older view.
//   - InForce returns false during the first lease duration after Reset.
//
// The caller must hold the leader lease whenever it sends a grant to a daemon and must
// call Reset only once the earlier leader's lease has lapsed.
type Tracker struct {
	lease       time.Duration
	graceUntil  atomic.Int64  // nanoseconds; InForce returns false before this time
	minRevision atomic.Uint64 // lowest revision of a view on which a lease is granted
	shards      [trackerShards]trackerShard
}

type trackerShard struct {
	mu      sync.Mutex
	daemons map[string]daemonState
}

type daemonState struct {
	acked    Version
	lapsesAt time.Duration
}

// DaemonStatus is the state of one daemon in a Tracker.
type DaemonStatus struct {
	Name     string
	Acked    Version       // held by the daemon when it sent its last heartbeat
	LapsesAt time.Duration // on the clock of the Tracker, with the margin for clock drift
	Lapsed   bool
}

// NewTracker returns a Tracker for leases of the given duration. No version is in force
// until Reset was called and one lease duration has passed.
func NewTracker(lease time.Duration) *Tracker {
	t := &Tracker{lease: lease}
	t.graceUntil.Store(math.MaxInt64)
	for i := range t.shards {
		t.shards[i].daemons = map[string]daemonState{}
	}
	return t
}

// Reset removes all daemons at the start of a leadership. No version is in force until
// one lease duration has passed from now, since daemons that this leader has not seen
// may hold leases of the earlier one. Versions that are required remain required.
func (t *Tracker) Reset(now time.Duration) {
	t.graceUntil.Store(int64(t.lapseTime(now)))
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		clear(shard.daemons)
		shard.mu.Unlock()
	}
}

// RequireVersion makes Observe refuse leases to daemons that hold a view older than the
// version. A new leader calls it with its own version once it has applied an entry of
// its term, because the earlier leader may have reported any version up to that one as
// in force.
func (t *Tracker) RequireVersion(version Version) {
	for {
		current := t.minRevision.Load()
		if version.Revision <= current || t.minRevision.CompareAndSwap(current, version.Revision) {
			return
		}
	}
}

// Observe records a heartbeat that arrived now from a daemon that holds the version, and
// reports whether a lease may be granted in the answer. If so, it records the lease. A
// late heartbeat may lower the recorded version, but never shortens the recorded lease.
// The name must differ between two runs of a daemon, for example by its incarnation, so
// that a late heartbeat of the earlier run is not attributed to the later one.
func (t *Tracker) Observe(daemon string, acked Version, now time.Duration) (granted bool) {
	shard := t.shardFor(daemon)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state, known := shard.daemons[daemon]
	if !known {
		state.lapsesAt = now
	}
	state.acked = acked
	granted = acked.Revision >= t.minRevision.Load()
	if granted {
		state.lapsesAt = max(state.lapsesAt, t.lapseTime(now))
	}
	shard.daemons[daemon] = state
	return granted
}

// InForce reports whether every daemon has either acknowledged the version or lost its
// lease. If not, it returns the sorted names of the daemons to wait for. Unless the
// first scan finds such daemons, it requires the version: Observe then refuses leases
// on older views, even if the second scan makes InForce return false.
func (t *Tracker) InForce(version Version, now time.Duration) (done bool, waitingFor []string) {
	if waitingFor = t.pendingDaemons(version, now); len(waitingFor) > 0 {
		return false, waitingFor
	}
	// A heartbeat between the scan and RequireVersion may have been granted a lease, so the
	// second scan determines the result. Later heartbeats with an older view get no lease.
	t.RequireVersion(version)
	waitingFor = t.pendingDaemons(version, now)
	return len(waitingFor) == 0, waitingFor
}

// Daemons returns the known daemons, sorted by name. Like InForce, it removes those whose
// lease lapsed more than lapsedRetention ago.
func (t *Tracker) Daemons(now time.Duration) []DaemonStatus {
	var list []DaemonStatus
	t.scan(now, func(name string, state daemonState) {
		list = append(list, DaemonStatus{
			Name:     name,
			Acked:    state.acked,
			LapsesAt: state.lapsesAt,
			Lapsed:   now >= state.lapsesAt,
		})
	})
	slices.SortFunc(list, func(a, b DaemonStatus) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// pendingDaemons returns the sorted names of the daemons that may use a view older than
// the version under a lease.
func (t *Tracker) pendingDaemons(version Version, now time.Duration) []string {
	var names []string
	if int64(now) < t.graceUntil.Load() {
		names = append(names, UnseenDaemons)
	}
	t.scan(now, func(name string, state daemonState) {
		if state.acked.Compare(version) < 0 && now < state.lapsesAt {
			names = append(names, name)
		}
	})
	slices.Sort(names)
	return names
}

// lowestLeasedVersion returns the lowest version held under a lease, and false if no
// daemon has a lease.
func (t *Tracker) lowestLeasedVersion(now time.Duration) (lowest Version, found bool) {
	t.scan(now, func(_ string, state daemonState) {
		if now >= state.lapsesAt {
			return
		}
		if !found || state.acked.Compare(lowest) < 0 {
			lowest, found = state.acked, true
		}
	})
	return lowest, found
}

// scan calls visit for each daemon and removes those whose lease lapsed more than
// lapsedRetention ago.
func (t *Tracker) scan(now time.Duration, visit func(name string, state daemonState)) {
	for i := range t.shards {
		t.shards[i].scan(now, visit)
	}
}

func (s *trackerShard) scan(now time.Duration, visit func(name string, state daemonState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, state := range s.daemons {
		if now-state.lapsesAt > lapsedRetention {
			delete(s.daemons, name)
			continue
		}
		visit(name, state)
	}
}

// lapseTime returns the time by which a lease granted now has lapsed at the daemon, even
// if the daemon's clock is slow.
func (t *Tracker) lapseTime(now time.Duration) time.Duration {
	return now + t.lease + t.lease/clockDriftDivisor
}

func (t *Tracker) shardFor(daemon string) *trackerShard {
	return &t.shards[xxhash.Sum64String(daemon)%trackerShards]
}
