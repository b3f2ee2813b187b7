package view

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// UnseenDaemons stands in the list of awaited daemons for those that an earlier
// leader may have granted leases to.
const UnseenDaemons = "(daemons not seen yet)"

const (
	trackerShards = 16
	// driftShare is the inverse of the share by which a daemon's clock may run
	// slower than the leader's.
	clockDriftDivisor = 100
	// forgetAfter is how long a lapsed daemon stays listed.
	lapsedRetention = 10 * time.Minute
)

// Tracker knows, on the leader, which versions the daemons hold and until when
// they may use them. Any number of goroutines may use it. Times are readings of
// one monotonic clock of this process.
//
// Guarantee: once InForce has returned true for a version, no daemon uses a
// view older than that version under a lease granted through this Tracker, nor
// under a lease that an earlier leader granted before Reset was called. This
// holds because a daemon counts only when it acknowledged the version or its
// lease has surely lapsed, because Observe afterwards grants no lease to a
// daemon that holds an older view, and because nothing counts during the first
// lease after Reset. The caller must hold the leader lease whenever it passes a
// grant on and must call Reset only once the earlier leader's lease has lapsed.
type Tracker struct {
	lease       time.Duration
	graceUntil  atomic.Int64 // nanoseconds
	minRevision atomic.Uint64
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

// DaemonStatus is what a Tracker knows of one daemon.
type DaemonStatus struct {
	Name     string
	Acked    Version
	LapsesAt time.Duration
	Lapsed   bool
}

// NewTracker returns a Tracker of leases of the given duration. Nothing is in
// force until Reset was called and one lease has passed.
func NewTracker(lease time.Duration) *Tracker {
	t := &Tracker{lease: lease}
	t.graceUntil.Store(math.MaxInt64)
	for i := range t.shards {
		t.shards[i].daemons = map[string]daemonState{}
	}
	return t
}

// Reset forgets all daemons at the start of a leadership. Nothing counts as in
// force until one lease has passed from now, since daemons that this leader has
// not seen may hold leases of the earlier one.
func (t *Tracker) Reset(now time.Duration) {
	t.graceUntil.Store(int64(t.lapseTime(now)))
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		clear(shard.daemons)
		shard.mu.Unlock()
	}
}

// Require makes Observe refuse leases to daemons that hold a view older than
// the version. A new leader calls it with its own version once it has applied
// an entry of its term, because the earlier leader may have reported any
// version up to that one as in force.
func (t *Tracker) Require(version Version) {
	for {
		floor := t.minRevision.Load()
		if version.Revision <= floor || t.minRevision.CompareAndSwap(floor, version.Revision) {
			return
		}
	}
}

// Observe records a heartbeat that arrived now from a daemon holding the
// version, and reports whether a lease may be granted in answer. The name must
// differ between two runs of a daemon (use its incarnation), so that a late
// heartbeat of the earlier run is not taken for the later one's.
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

// InForce reports whether every daemon either acknowledged the version or has
// no lease any more, and otherwise the sorted names of the daemons that are
// waited for.
func (t *Tracker) InForce(version Version, now time.Duration) (done bool, waitingFor []string) {
	if waitingFor = t.pendingDaemons(version, now); len(waitingFor) > 0 {
		return false, waitingFor
	}
	// A heartbeat between the scan and the new floor may have been granted a
	// lease, so the second scan decides: after it, the floor refuses.
	t.Require(version)
	waitingFor = t.pendingDaemons(version, now)
	return len(waitingFor) == 0, waitingFor
}

// Daemons lists the known daemons by name.
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

// lowest returns the lowest version held under a lease, and false if no lease runs.
func (t *Tracker) lowestLeasedVersion(now time.Duration) (lowest Version, some bool) {
	t.scan(now, func(_ string, state daemonState) {
		if now >= state.lapsesAt {
			return
		}
		if !some || state.acked.Compare(lowest) < 0 {
			lowest, some = state.acked, true
		}
	})
	return lowest, some
}

// scan calls visit for each daemon and drops those that lapsed long ago.
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

// lapse returns when a lease granted now has surely lapsed at the daemon.
func (t *Tracker) lapseTime(now time.Duration) time.Duration {
	return now + t.lease + t.lease/clockDriftDivisor
}

func (t *Tracker) shardFor(daemon string) *trackerShard {
	return &t.shards[xxhash.Sum64String(daemon)%trackerShards]
}
