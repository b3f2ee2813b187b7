// Package reach decides whether a process has lost its links to all replicas, as opposed to a replica
// that has failed. A process that has lost them fails at every replica, and what it sees says nothing
// about any of them.
//
// A Tracker records failures, received data and connections. After a failure it is uncertain
// until something shows that a replica is reached, or until a round of new connections to several
// replicas has failed. The caller makes these connections. All times are durations since a fixed
// start. The package does no I/O.
package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

// State is what is known of the links to the replicas.
type State uint32

// States of a Tracker.
const (
	// Connected: at least one replica is reached.
	Connected State = iota + 1
	// Uncertain: something has failed since a replica was last reached.
	Uncertain
	// Partitioned: no new connection to any of several replicas could be opened.
	Partitioned
)

// String returns the name of the state as used in logs.
func (s State) String() string {
	return [...]string{"", "connected", "uncertain", "partitioned"}[s]
}

// Failure is the way in which a replica has failed.
type Failure uint8

// Ways in which replicas fail.
const (
	// NoResponse: the connection broke, or nothing was received for some time.
	NoResponse Failure = iota + 1
	// NoConnection: no connection could be opened.
	NoConnection
)

// Tracker tracks the links of one process. It is safe for concurrent use.
//
// Invariant: the state changes from Connected to Uncertain only, and to Partitioned only from Uncertain,
// after a round of connections that began after the failure. A connection that is opened ends either
// state; received data ends the uncertainty after NoResponse. After NoConnection it does not, because
// open connections may outlast a partition that refuses new ones.
type Tracker struct {
	state      atomic.Uint32 // a State; written under the lock
	receivedAt atomic.Int64  // when data was last received, as a time.Duration

	lock            sync.Mutex
	since           time.Duration // when the present state began
	needsConnection bool          // received data does not end the uncertainty
	changed         chan struct{} // closed when the state changes
}

// NewTracker returns a tracker that is connected at time 0.
func NewTracker() *Tracker {
	tracker := &Tracker{changed: make(chan struct{})}
	tracker.state.Store(uint32(Connected))
	return tracker
}

// State returns the present state.
func (t *Tracker) State() State { return State(t.state.Load()) }

// Observe returns the present state, when it began, and a channel that is closed when it ends.
func (t *Tracker) Observe() (current State, since time.Duration, changed <-chan struct{}) {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.State(), t.since, t.changed
}

// ReceivedAt returns when data was last received from any replica.
func (t *Tracker) ReceivedAt() time.Duration { return time.Duration(t.receivedAt.Load()) }

// RecordData records data received from a replica now.
func (t *Tracker) RecordData(now time.Duration) {
	t.receivedAt.Store(int64(now))
	if t.State() != Uncertain {
		return
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.State() == Uncertain && !t.needsConnection {
		t.change(now, Connected)
	}
}

// RecordConnection records a connection to a replica that was opened at the given time. One that was
// opened before the present state began says nothing.
func (t *Tracker) RecordConnection(now, openedAt time.Duration) {
	if t.State() == Connected {
		return
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.State() != Connected && openedAt >= t.since {
		t.change(now, Connected)
	}
}

// RecordFailure records a failure of a replica. It returns true if the uncertainty begins with it.
func (t *Tracker) RecordFailure(now time.Duration, failure Failure) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	switch t.State() {
	case Partitioned:
		return false
	case Uncertain:
		t.needsConnection = t.needsConnection || failure == NoConnection
		return false
	default:
		t.needsConnection = failure == NoConnection
		t.change(now, Uncertain)
		return true
	}
}

// RecordFailedRound records that none of a round of new connections to several replicas, begun at the
// given time, could be opened. It returns true if the process is partitioned from now on.
func (t *Tracker) RecordFailedRound(now, beganAt time.Duration) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.State() != Uncertain || beganAt < t.since {
		return false
	}
	t.change(now, Partitioned)
	return true
}

// change begins a state. The lock must be held.
func (t *Tracker) change(now time.Duration, next State) {
	t.state.Store(uint32(next))
	t.since = now
	close(t.changed)
	t.changed = make(chan struct{})
}
