// Package replica runs one member of a replicated group: a single goroutine owns
// the agreement protocol, persists what it must before it sends, and applies what
// is committed to a state machine.
//
// Proposals and messages that arrive while the disk syncs are taken together
// afterwards, so any number of them costs one append and one sync.
//
// Guarantees: a proposal that is answered without an error is synced by a quorum
// and applied here, once; one that is refused (ErrNotLeader, ErrOverloaded,
// ErrStopped, ErrWithdrawn) is never applied; any other is answered with
// ErrOutcomeUnknown and is applied at most once. A leader that is cut off answers
// all that waits within about an election timeout, also without a deadline.
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

// Defaults of Config. A heartbeat each 100 ms lets a member miss several before
// it stands for election after one to two seconds, which is longer than the
// pauses that a busy disk or scheduler brings; the lease leaves a fifth of the
// election timeout for clocks that run at different rates.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultElectionTimeout   = time.Second
	DefaultLeaseDuration     = 800 * time.Millisecond
	DefaultSnapshotEntries   = 10_000
	DefaultSnapshotBytes     = 16 << 20
	DefaultRetainedEntries   = 5_000
	DefaultQueuedProposals   = 4096
	DefaultQueuedMessages    = 4096
	DefaultQueuedBytes       = 64 << 20
	// ticksPerHeartbeat is how often the protocol's clock advances.
	ticksPerHeartbeat = 5
)

// StateMachine is the deterministic state that the group replicates. Apply,
// Snapshot and Restore are called by one goroutine at a time; whoever reads the
// state beside them needs a lock of the state machine's own.
type StateMachine interface {
	// Apply carries out a committed command and returns its outcome.
	Apply(entry raft.Entry) any
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded one.
	Restore(data []byte) error
}

// Capturer is a StateMachine that can hand out an immutable copy of its state
// quickly. The returned function encodes the copy and is called by another
// goroutine, so that encoding doesn't delay the group.
type Capturer interface {
	Capture() func() ([]byte, error)
}

// Transport sends messages to other members. Send must not block; messages may
// be lost.
type Transport interface {
	Send(messages []raft.Message)
}

// Clock reads a clock that never goes back. It must go on while the process is paused and
// while the machine is suspended: leases rest on it.
type Clock interface {
	Now() time.Duration
}

type systemClock struct{}

func (systemClock) Now() time.Duration { return clock.Now() }

// SystemClock returns a Clock on the operating system's clocks.
func SystemClock() Clock { return systemClock{} }

// Config holds what a Replica is started with. Zero limits and durations stand
// for the defaults.
type Config struct {
	// Raft needs an ID; it is the one of the storage.
	Raft         raft.Config
	Storage      Storage // owned by the Replica from Start on
	Transport    Transport
	StateMachine StateMachine
	Clock        Clock // SystemClock when nil
	// Bootstrap is the configuration that a new group starts with; all its
	// members must be started with the same one. It is ignored when the storage
	// holds a group's state already, and empty for a member that joins a group.
	Bootstrap raft.Configuration

	SnapshotEntries uint64 // entries applied between snapshots
	SnapshotBytes   int    // bytes of entries applied between snapshots
	QueuedProposals int
	QueuedMessages  int
	QueuedBytes     int // of messages
}

func (c *Config) setDefaults() {
	c.Raft.HeartbeatInterval = cmp.Or(c.Raft.HeartbeatInterval, DefaultHeartbeatInterval)
	c.Raft.ElectionTimeout = cmp.Or(c.Raft.ElectionTimeout, DefaultElectionTimeout)
	c.Raft.LeaseDuration = cmp.Or(c.Raft.LeaseDuration, DefaultLeaseDuration)
	c.Raft.RetainedEntries = cmp.Or(c.Raft.RetainedEntries, DefaultRetainedEntries)
	c.SnapshotEntries = cmp.Or(c.SnapshotEntries, DefaultSnapshotEntries)
	c.SnapshotBytes = cmp.Or(c.SnapshotBytes, DefaultSnapshotBytes)
	c.QueuedProposals = cmp.Or(c.QueuedProposals, DefaultQueuedProposals)
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

// Start loads the storage, restores the state machine and starts the member. When
// it fails the storage is closed.
func Start(config Config) (*Replica, error) {
	config.setDefaults()
	r, err := start(config)
	if err != nil {
		config.Storage.Close() // the first error says what is wrong
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
			return nil, errors.Wrap(err, "replica: restore")
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

// blank tells whether the storage has never held anything of a group.
func isEmptyState(initial raft.InitialState) bool {
	return initial.HardState == raft.HardState{} && initial.Snapshot.Index == 0 &&
		len(initial.Entries) == 0 && len(initial.Configuration.Voters) == 0
}

// Receive hands a message from another member to the replica. It doesn't block;
// when too many wait, the message is dropped.
func (r *Replica) Receive(message raft.Message) {
	if !r.mailbox.putMessage(message) {
		r.dropped.Add(1)
	}
}

// DroppedMessages returns how many received messages found no room.
func (r *Replica) DroppedMessages() uint64 { return r.dropped.Load() }

// Status returns a recent copy of the member's state.
func (r *Replica) Status() raft.Status { return *r.status.Load() }

// Changed returns a channel that is closed when the role, the term, the leader or
// the configuration next changes. Take it before Status, so that no change is
// missed.
func (r *Replica) Changed() <-chan struct{} {
	r.changedMutex.Lock()
	defer r.changedMutex.Unlock()
	return r.changed
}

// publish makes the status visible and wakes those who wait for a change.
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

// Done is closed when the replica has stopped, by Stop or by an error.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns why the replica stopped: nil while it runs and after Stop. After a
// storage error the member must not go on with this storage until it is opened
// again.
func (r *Replica) Err() error {
	select {
	case <-r.done:
		return r.err
	default:
		return nil
	}
}

// Stop hands leadership over if this member has it, until ctx ends at the latest,
// and then stops the member and closes its storage. It returns the storage's
// error, or that of the handover; the member is stopped in any case.
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
