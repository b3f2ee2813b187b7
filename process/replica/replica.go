// Package replica runs one member of a Raft group. A single goroutine owns the
// protocol state, persists updates before it sends the messages that depend on them,
// and applies committed entries to a state machine.
//
// Proposals and messages that arrive during a disk sync are processed as one batch
// afterwards, so any number of them costs one append and one sync.
//
// Guarantees: a proposal that returns no error has been synced by a quorum and
// applied here exactly once; a rejected one (ErrNotLeader, ErrOverloaded, ErrStopped,
// ErrWithdrawn) is never applied; any other returns ErrOutcomeUnknown and is applied
// at most once. An isolated leader completes all pending requests within about one
// election timeout, even those without a deadline.
package replica

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/process/clock"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// Defaults of Config. A follower starts an election one to two election timeouts (1 to
// 2 s) after the last heartbeat. This must be longer than several heartbeat intervals
// of 100 ms and than the pauses caused by a busy disk or scheduler. The lease is a
// fifth shorter than the election timeout to allow for clocks that run at different
// rates.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultElectionTimeout   = time.Second
	DefaultLeaseDuration     = 800 * time.Millisecond
	DefaultSnapshotEntries   = 10_000
	DefaultSnapshotBytes     = 16 << 20
	DefaultRetainedEntries   = 5_000
	DefaultQueuedRequests    = 4096
	DefaultQueuedMessages    = 4096
	DefaultQueuedBytes       = 64 << 20
	// ticksPerHeartbeat is the number of protocol ticks per heartbeat interval.
	ticksPerHeartbeat = 5
)

// StateMachine is the deterministic state that the group replicates. Apply,
// Snapshot and Restore are never called concurrently; the state machine must do its
// own locking for other readers of its state.
type StateMachine interface {
	// Apply executes a committed command and returns its result.
	Apply(entry raft.Entry) any
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with an encoded one.
	Restore(data []byte) error
}

// Capturer is implemented by a StateMachine that can make an immutable copy of its
// state quickly.
type Capturer interface {
	// Capture copies the state before it returns. The returned function encodes the
	// copy; it is called on another goroutine, so that encoding doesn't delay the
	// group.
	Capture() func() ([]byte, error)
}

// Transport sends messages to other members. Send must not block and may lose
// messages.
type Transport interface {
	Send(messages []raft.Message)
}

// Clock is a monotonic clock. It must keep running while the process is paused and while
// the machine is suspended, because leases depend on it.
type Clock interface {
	Now() time.Duration
}

type systemClock struct{}

func (systemClock) Now() time.Duration { return clock.Now() }

// SystemClock returns a Clock that reads the operating system's clock.
func SystemClock() Clock { return systemClock{} }

// Config configures a Replica. Zero limits and durations are replaced by the
// defaults.
type Config struct {
	// Raft.ID is required and must be the member ID of the storage.
	Raft         raft.Config
	Storage      Storage // owned by the Replica from Start on
	Transport    Transport
	StateMachine StateMachine
	Clock        Clock // SystemClock when nil
	// Bootstrap is the initial configuration of a new group; all its members must
	// be started with the same one. It is ignored if the storage already holds a
	// group's state, and must be empty for a member that joins an existing group.
	Bootstrap raft.Configuration

	SnapshotEntries uint64 // entries applied between snapshots
	SnapshotBytes   int    // bytes of entries applied between snapshots
	QueuedRequests  int    // proposals, reads and transfers not yet processed
	QueuedMessages  int    // received messages not yet processed
	QueuedBytes     int    // of queued messages
}

func (c *Config) setDefaults() {
	c.Raft.HeartbeatInterval = cmp.Or(c.Raft.HeartbeatInterval, DefaultHeartbeatInterval)
	c.Raft.ElectionTimeout = cmp.Or(c.Raft.ElectionTimeout, DefaultElectionTimeout)
	c.Raft.LeaseDuration = cmp.Or(c.Raft.LeaseDuration, DefaultLeaseDuration)
	c.Raft.RetainedEntries = cmp.Or(c.Raft.RetainedEntries, DefaultRetainedEntries)
	c.SnapshotEntries = cmp.Or(c.SnapshotEntries, DefaultSnapshotEntries)
	c.SnapshotBytes = cmp.Or(c.SnapshotBytes, DefaultSnapshotBytes)
	c.QueuedRequests = cmp.Or(c.QueuedRequests, DefaultQueuedRequests)
	c.QueuedMessages = cmp.Or(c.QueuedMessages, DefaultQueuedMessages)
	c.QueuedBytes = cmp.Or(c.QueuedBytes, DefaultQueuedBytes)
	if c.Clock == nil {
		c.Clock = SystemClock()
	}
}

// Replica is a running member.
type Replica struct {
	config  Config
	mailbox *mailbox
	status  atomic.Pointer[raft.Status]
	dropped atomic.Uint64

	changedMutex sync.Mutex
	changed      chan struct{}

	stopOnce sync.Once
	stopping chan struct{}
	done     chan struct{}
	err      error // written before done is closed
}

// Start loads the storage, restores the state machine and starts the member. It
// returns the errors of the storage, of raft.New and of StateMachine.Restore. If Start
// fails, it closes the storage.
func Start(config Config) (*Replica, error) {
	config.setDefaults()
	r, err := start(config)
	if err != nil {
		config.Storage.Close() // the error from start is the one to report
		return nil, err
	}
	return r, nil
}

func start(config Config) (*Replica, error) {
	initial, err := loadInitial(config)
	if err != nil {
		return nil, err
	}
	node, err := raft.New(config.Raft, initial)
	if err != nil {
		return nil, err
	}
	if initial.Snapshot.Index > 0 {
		if err := config.StateMachine.Restore(initial.Snapshot.Data); err != nil {
			return nil, errors.Wrap(err, "replica: restore state machine")
		}
	}
	r := &Replica{
		config:   config,
		mailbox:  newMailbox(config),
		changed:  make(chan struct{}),
		stopping: make(chan struct{}),
		done:     make(chan struct{}),
	}
	status := node.Status()
	r.status.Store(&status)
	l := newLoop(r, node, initial.Snapshot.Index)
	go l.run()
	return r, nil
}

func loadInitial(config Config) (raft.InitialState, error) {
	initial, err := config.Storage.Load()
	if err != nil {
		return raft.InitialState{}, err
	}
	if !isEmptyState(initial) || len(config.Bootstrap.Voters) == 0 {
		return initial, nil
	}
	if err := config.Storage.Bootstrap(config.Bootstrap); err != nil {
		return raft.InitialState{}, err
	}
	initial.Configuration = config.Bootstrap
	return initial, nil
}

// isEmptyState reports whether the storage has never held any group state.
func isEmptyState(initial raft.InitialState) bool {
	return initial.HardState == raft.HardState{} && initial.Snapshot.Index == 0 &&
		len(initial.Entries) == 0 && len(initial.Configuration.Voters) == 0
}

// Receive queues a message from another member. It doesn't block; if the queue is
// full, the message is dropped.
func (r *Replica) Receive(message raft.Message) {
	if !r.mailbox.putMessage(message) {
		r.dropped.Add(1)
	}
}

// DroppedMessages returns the number of received messages that were dropped because
// the queue was full or the replica had stopped.
func (r *Replica) DroppedMessages() uint64 { return r.dropped.Load() }

// Status returns a recent snapshot of the member's status.
func (r *Replica) Status() raft.Status { return *r.status.Load() }

// Changed returns a channel that is closed at the next change of the role, the term,
// the leader or the number of voters or learners. Call it before Status, so that no
// change is missed.
func (r *Replica) Changed() <-chan struct{} {
	r.changedMutex.Lock()
	defer r.changedMutex.Unlock()
	return r.changed
}

// publishStatus stores the status and, if it changed, closes the channel that Changed
// returned.
func (r *Replica) publishStatus(status raft.Status) {
	previous := r.status.Swap(&status)
	if !statusChanged(*previous, status) {
		return
	}
	r.changedMutex.Lock()
	defer r.changedMutex.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}

func statusChanged(before, after raft.Status) bool {
	return before.Role != after.Role || before.Term != after.Term || before.Leader != after.Leader ||
		len(before.Configuration.Voters) != len(after.Configuration.Voters) ||
		len(before.Configuration.Learners) != len(after.Configuration.Learners)
}

// Done returns a channel that is closed when the replica has stopped, through Stop or
// an error.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the error that stopped the replica. It returns nil while the replica
// runs and after a successful Stop. After a storage error the storage must be
// reopened before it is used again.
func (r *Replica) Err() error {
	select {
	case <-r.done:
		return r.err
	default:
		return nil
	}
}

// Stop transfers leadership if this member is the leader, waiting until ctx ends at
// most, and then stops the member and closes its storage. It returns the error that
// stopped the member or occurred on closing; if there is none, it returns the error
// of the leadership transfer, if any. The member is stopped in any case.
func (r *Replica) Stop(ctx context.Context) error {
	handover := r.handOverBeforeStop(ctx)
	r.stopOnce.Do(func() { close(r.stopping) })
	<-r.done
	if r.err != nil {
		return r.err
	}
	return handover
}

func (r *Replica) handOverBeforeStop(ctx context.Context) error {
	if r.Status().Role != raft.Leader {
		return nil
	}
	err := r.TransferLeadership(ctx, raft.None)
	if errors.Is(err, ErrNotLeader) || errors.Is(err, ErrStopped) || errors.Is(err, ErrNoSuccessor) {
		return nil
	}
	return err
}
