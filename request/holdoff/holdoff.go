package holdoff

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
	"weak"
)

// Durations of pauses and of the probes that follow them.
const (
	// jitterDivisor limits the random delay of a pause's end to 1/8 of the pause, 1/16 on average.
	// A replica without free slots requests a pause from all processes at about the same time, and
	// without the delay their requests would return at the same time (see TestPauseEndIsJittered).
	jitterDivisor = 8
	// maxJitter is the upper limit of that delay.
	maxJitter = time.Second
	// probeTimeout is how long other requests avoid the replica while the first one after a pause
	// is in flight. Until that is answered the replica may still have no free slots, and then each
	// further request would cost a retry. An answer that takes longer than this does not show
	// whether the replica has free slots.
	probeTimeout = time.Second
	// maxClockSkew is how much the wall clocks of machines may differ. A pause that was requested
	// longer than this before a process started came from an earlier process. A larger value keeps
	// more pauses of earlier processes, each until its end.
	maxClockSkew = 5 * time.Second
	// forgetAfter is how long a replica is remembered after an endpoint list last showed it. Lists
	// lag by seconds, and a list may lack a replica for a moment.
	forgetAfter = time.Minute
)

// State says whether a replica may be sent a request. Unlike a circuit breaker, an Open replica
// may, and a Closed one may not.
type State uint8

// States of a replica.
const (
	// Open replicas have no restriction in effect.
	Open State = iota
	// LastResort replicas are used only if there is no other. Either they are leaving and still
	// accept requests for a short time, or their pause is over and they have not answered since.
	LastResort
	// Closed replicas are sent nothing.
	Closed
)

// Process identifies one of the successive processes of a replica, which share its name.
type Process struct {
	Address string // host and port
	// Born is the start time in Unix milliseconds, 0 if unknown.
	Born int64
}

// differsFrom reports whether the two are certainly different processes.
func (p Process) differsFrom(other Process) bool {
	return p.Address != other.Address || p.Born != 0 && other.Born != 0 && p.Born != other.Born
}

// isBefore reports whether the process certainly started before the other.
func (p Process) isBefore(other Process) bool { return p.Born != 0 && p.Born < other.Born }

// Config holds the settings of a Table.
type Config struct {
	// LeavingGrace is how long a leaving replica may still be used if there is no other replica. 0
	// means not at all.
	LeavingGrace time.Duration
}

// Table holds the replicas known to this process, by name. It is safe for concurrent use.
//
// Invariant: what a replica has requested remains in effect as long as both this process and the
// replica's process run. Only Forget may end it earlier, for a leaving replica that no list has
// shown for forgetAfter. Information about the cluster does not cancel it, neither a view, a
// leader, a placement nor an endpoint list, since only the replica knows when the restriction ends.
// The exception is an endpoint list that shows a new process with the replica's name.
type Table struct {
	config Config

	lock     sync.Mutex
	replicas map[string]*Replica
	// unlisted holds replicas that no list shows but that requests in flight may still refer to,
	// so that all of these requests share the same Replica.
	unlisted map[string]weak.Pointer[Replica]
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	return &Table{config: config, replicas: map[string]*Replica{}, unlisted: map[string]weak.Pointer[Replica]{}}
}

// ObserveListed returns the replica with the name and records that an endpoint list now shows the
// given process for it.
func (t *Table) ObserveListed(name string, process Process, now time.Duration) *Replica {
	t.lock.Lock()
	replica := t.findLocked(name)
	t.keepLocked(replica)
	t.lock.Unlock()
	replica.observe(process, now)
	return replica
}

// Find returns the replica with the name. An unknown replica is created without restrictions.
func (t *Table) Find(name string) *Replica {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.findLocked(name)
}

// findLocked returns the replica with the name, always the same one as long as anything refers to
// it.
func (t *Table) findLocked(name string) *Replica {
	if replica := t.replicas[name]; replica != nil {
		return replica
	}
	if replica := t.unlisted[name].Value(); replica != nil {
		return replica
	}
	created := &Replica{name: name, table: t, leavingGrace: t.config.LeavingGrace}
	t.unlisted[name] = weak.Make(created)
	return created
}

// keepLocked keeps a replica in the table until Forget drops it.
func (t *Table) keepLocked(replica *Replica) {
	t.replicas[replica.name] = replica
	delete(t.unlisted, replica.name)
}

// keep keeps a replica that has requested a restriction, whether or not it is listed, in the table
// until Forget drops it. It takes the lock.
func (t *Table) keep(replica *Replica) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.keepLocked(replica)
}

// Forget drops the replicas that were not listed for longer than forgetAfter and are not pausing. A
// dropped replica is still found as long as something else refers to it.
func (t *Table) Forget(now time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for name, replica := range t.replicas {
		if replica.canForget(now) {
			delete(t.replicas, name)
			t.unlisted[name] = weak.Make(replica)
		}
	}
	maps.DeleteFunc(t.unlisted, func(_ string, replica weak.Pointer[Replica]) bool { return replica.Value() == nil })
}

// Leaving returns the names of the replicas in the table that have announced that they are leaving,
// in no particular order.
func (t *Table) Leaving() []string {
	t.lock.Lock()
	defer t.lock.Unlock()
	var names []string
	for name, replica := range t.replicas {
		if replica.IsLeaving() {
			names = append(names, name)
		}
	}
	return names
}

// Replica holds the restrictions that one replica has requested from this process.
type Replica struct {
	name         string
	table        *Table
	leavingGrace time.Duration
	// restricted is false while no restriction is in effect, so that most calls take no lock.
	restricted atomic.Bool

	lock     sync.Mutex
	process  Process
	listedAt time.Duration
	// pauseEnd is when requests may be sent again.
	pauseEnd time.Duration
	// probePending is true from the start of a pause until an answer shows that it is over.
	probePending bool
	// probeFrom is the jittered end of the pause: until then the replica is LastResort, so that it
	// is used only if there is no other.
	probeFrom time.Duration
	// probeUntil is until when the replica is LastResort because a probe is in flight.
	probeUntil time.Duration
	// restrictedTime is the wall clock time of the last restriction received.
	restrictedTime time.Time
	leaving        bool
	leavingAt      time.Duration
	leavingTime    time.Time // the wall clock time of leavingAt

	limit limit
}

// Name returns the replica's name.
func (r *Replica) Name() string { return r.name }

// Apply records what an answer that arrives now requests of its receiver. wallTime is the current
// time on the clock that process start times refer to. Apply reports whether the replica has
// announced for the first time that it is leaving.
func (r *Replica) Apply(now time.Duration, wallTime time.Time, restrictions Restrictions) (newlyLeaving bool) {
	if restrictions.IsZero() && !r.restricted.Load() {
		return false
	}
	if !restrictions.IsZero() {
		r.table.keep(r)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	if !restrictions.IsZero() {
		r.restrictedTime = wallTime
	}
	if restrictions.RetryAfter > 0 {
		r.pauseLocked(now, restrictions.RetryAfter)
	} else if now >= r.pauseEnd {
		r.probePending = false // an answer without RetryAfter after the pause ends the probe
	}
	if restrictions.Leaving && !r.leaving {
		r.leaving, r.leavingAt, r.leavingTime, newlyLeaving = true, now, wallTime, true
	}
	r.updateRestrictedLocked(now)
	return newlyLeaving
}

// pauseLocked starts a pause or extends the current one.
func (r *Replica) pauseLocked(now, duration time.Duration) {
	r.probeUntil = 0
	if end := now + duration; end > r.pauseEnd {
		r.pauseEnd = end
		r.probeFrom = end + rand.N(min(duration/jitterDivisor, maxJitter)+1)
	}
	r.probePending = true
}

// updateRestrictedLocked sets restricted from the restrictions in effect.
func (r *Replica) updateRestrictedLocked(now time.Duration) {
	r.restricted.Store(r.leaving || r.probePending || now < r.pauseEnd || r.limit.isLimited())
}

// State reports whether the replica may be chosen for a request now. In addition to what TryBegin
// checks, it may not while its limit leaves no room.
func (r *Replica) State(now time.Duration) State {
	if !r.restricted.Load() {
		return Open
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.limit.isExhausted(now) {
		return Closed
	}
	return r.stateLocked(now)
}

func (r *Replica) stateLocked(now time.Duration) State {
	switch {
	case now < r.pauseEnd, r.leaving && now-r.leavingAt >= r.leavingGrace:
		return Closed
	case r.leaving, r.probePending && (now < r.probeFrom || now < r.probeUntil):
		return LastResort
	default:
		return Open
	}
}

// MaySend reports whether a request for which the replica was chosen may be sent there, as TryBegin
// does, but starts no probe.
func (r *Replica) MaySend(now time.Duration) bool {
	if !r.restricted.Load() {
		return true
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.stateLocked(now) != Closed
}

// TryBegin reports whether a request may be sent now, which includes LastResort replicas, and
// starts the probe if one is pending. It is called immediately before the request is written, because
// an answer may have arrived since the replica was chosen. It does not check for a limit, see IsLimited.
func (r *Replica) TryBegin(now time.Duration) bool {
	if !r.restricted.Load() {
		return true
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.stateLocked(now) == Closed {
		return false
	}
	if r.probePending {
		r.probeUntil = now + probeTimeout
	}
	return true
}

// PauseLeft returns the time left of a pause, 0 if there is none.
func (r *Replica) PauseLeft(now time.Duration) time.Duration {
	if !r.restricted.Load() {
		return 0
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return max(r.pauseEnd-now, 0)
}

// IsLeaving reports whether the replica has announced that it is leaving.
func (r *Replica) IsLeaving() bool {
	if !r.restricted.Load() {
		return false
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.leaving
}

// observe records that an endpoint list shows the process, and drops the restrictions requested by
// an earlier process.
func (r *Replica) observe(process Process, now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	previous := r.process
	r.listedAt = now
	if process.isBefore(previous) {
		return // a stale list, or a leader that knows only an older process, cancels no restriction
	}
	if process.Born == 0 && process.Address == previous.Address {
		process.Born = previous.Born // a list without start times cancels no restriction
	}
	r.process = process
	if previous != (Process{}) && process.differsFrom(previous) && r.restricted.Load() {
		r.resetLocked(process.Address != previous.Address)
		r.updateRestrictedLocked(now)
	}
}

// resetLocked drops the restrictions that an earlier process has requested. If the new process has
// another address (moved), these are all restrictions. Otherwise the new process may have answered
// before a list showed it, so restrictions received after its start are its own. Where clock skew
// leaves this open, a pause is kept, but the leaving state is dropped, because it would never end
// and a process that has just started has no reason to leave.
func (r *Replica) resetLocked(moved bool) {
	born := time.UnixMilli(r.process.Born)
	if moved || r.leavingTime.Before(born) {
		r.leaving = false
	}
	if moved || r.restrictedTime.Before(born.Add(-maxClockSkew)) {
		r.pauseEnd, r.probePending = 0, false
	}
	if moved || r.limit.receivedTime.Before(born.Add(-maxClockSkew)) {
		r.limit = limit{}
	}
}

// canForget reports whether Forget may drop the replica.
func (r *Replica) canForget(now time.Duration) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return now-r.listedAt > forgetAfter && now >= r.pauseEnd
}
