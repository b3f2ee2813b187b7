// Package raft implements the Raft consensus protocol of the control group, which
// replicates the state of the control plane, as a pure state machine. Its inputs are
// ticks, proposals and messages; its outputs are entries to persist, messages to send and
// committed entries to apply. It opens no files or sockets and reads no clock, so the
// daemon and the emulator run the same code.
//
// It guarantees the following while fewer than half of the voters lose synced data and
// each caller processes its Readys in order. A term has at most one leader. An entry that
// was reported as committed on any member is never replaced or lost, and all members
// receive the same entries in the same order. At any moment LeaseValid is true on at most
// one member, if it is called with a current clock reading and no two clocks drift apart
// during an election timeout by more than the difference between the election timeout and
// the lease.
package raft

import (
	"time"

	"github.com/pkg/errors"
)

// MemberID identifies a member together with its disk. A member that lost its disk
// must return under a new MemberID, because under the old one it could vote twice in a
// term.
type MemberID uint64

// None is the zero MemberID, which no member has.
const None MemberID = 0

// EntryKind determines the meaning of an entry's data.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota // data is a command for the replicated state machine
	EntryConfig                   // data is an encoded Configuration
	EntryEmpty                    // a new leader's first entry of its term
)

// Entry is one record of the replicated log. (Term, Index) identifies it uniquely.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the state that must be persisted, and synced if Ready.MustSync is set,
// before any message of the same Ready is sent.
type HardState struct {
	Term   uint64
	Vote   MemberID // the member voted for in Term, or None
	Commit uint64   // index of the last entry known to be committed
}

// Configuration is the membership of the group. It changes one member at a time.
type Configuration struct {
	Voters   []MemberID
	Learners []MemberID
}

// Snapshot is the state machine's state up to and including Index.
type Snapshot struct {
	Term          uint64
	Index         uint64
	Configuration Configuration
	Data          []byte
}

// ChangeKind is the kind of a ConfigurationChange.
type ChangeKind uint8

// Kinds of configuration changes.
const (
	ChangeAddLearner ChangeKind = iota
	ChangePromote               // learner to voter; refused with ErrNotCaughtUp until the learner has caught up
	ChangeRemove
)

// ConfigurationChange is a change of one member's place in the configuration.
type ConfigurationChange struct {
	Kind   ChangeKind
	Member MemberID
}

// Role is the role of a member in the current term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
	Learner // not a voter: a learner, a removed member, or one without a configuration
)

// Config holds the parameters of a Node. Durations refer to the monotonic clock whose
// readings are passed to Tick.
type Config struct {
	ID                  MemberID
	ElectionTimeout     time.Duration // elections are delayed by one to two ElectionTimeouts, and by less after a restart
	HeartbeatInterval   time.Duration
	LeaseDuration       time.Duration // leader lease; shorter than ElectionTimeout by the clock-drift margin
	MaxEntriesBytes     int           // maximum size of the entries in one append message, at 21 bytes each plus their data; one entry is sent whatever its size; zero means 1 MiB
	MaxInflight         int           // maximum of unanswered append messages to one follower; zero means 64
	MaxUncommittedBytes int           // proposals beyond this are rejected with ErrOverloaded; zero means 64 MiB
	Seed                uint64        // random seed for election timeouts, combined with ID
	// SnapshotRetry is how long a snapshot may remain unacknowledged before it is
	// sent again; zero means four election timeouts.
	SnapshotRetry time.Duration
	// RetainedEntries is how many of the entries covered by the snapshot Compact
	// keeps in memory, so that a follower at most that many entries behind needs no
	// snapshot.
	RetainedEntries uint64
}

// InitialState is the state that a Node starts from: the contents of its disk, or the
// bootstrap configuration of a new group. If it is empty, the Node is a new member that
// neither votes nor campaigns until a leader has sent it a configuration.
type InitialState struct {
	HardState HardState
	Snapshot  Snapshot // zero if there is none
	Entries   []Entry  // consecutive; those up to Snapshot.Index are skipped
	// Configuration is the bootstrap configuration at index zero. It must be passed
	// on every start until there is a snapshot, whose configuration overrides it.
	Configuration Configuration
}

// Ready is work that the caller must do in this order: persist Snapshot, Entries and
// HardState, and sync if MustSync is set; restore the state machine from Snapshot; send
// Messages; apply Committed; call Advance. The slices share memory with the node and must
// not be modified.
type Ready struct {
	HardState *HardState // nil if unchanged
	// Snapshot is nil unless one was received. It replaces the whole stored log:
	// all stored entries must be discarded, including those after Snapshot.Index.
	Snapshot *Snapshot
	// Entries must be stored. They replace all stored entries from
	// Entries[0].Index on.
	Entries    []Entry
	Messages   []Message   // to be sent to their To member
	Committed  []Entry     // to be applied, in log order; empty if Snapshot is set
	ReadStates []ReadState // reads that may be answered
	// AbortedReads are the request IDs of reads that will not get a ReadState,
	// because leadership was lost.
	AbortedReads []uint64
	MustSync     bool // false if nothing is to be stored, or only a changed HardState.Commit
}

// ReadState states that the read RequestID may be answered once the state machine has
// applied Index.
type ReadState struct {
	RequestID uint64
	Index     uint64
}

// Status is a copy of a node's public state.
type Status struct {
	ID            MemberID
	Role          Role
	Term          uint64
	Leader        MemberID // None if unknown
	Commit        uint64   // index of the last entry known to be committed
	Applied       uint64   // index of the last entry applied, as reported to Advance
	LastIndex     uint64   // index of the last entry in the log
	Configuration Configuration
	// ConfigurationPending is set if Configuration is appended but not known to be
	// committed: if this member is lost, the previous one may take effect again.
	ConfigurationPending bool
	// Match is the highest index known to be persisted by each member; leader only.
	Match map[MemberID]uint64
	// RecentlyActive reports for each member whether it replied within an election
	// timeout; leader only.
	RecentlyActive map[MemberID]bool
}

// Errors of this package. A Node method that returns one leaves the node unchanged except
// for its clock.
var (
	ErrNotLeader       = errors.New("raft: not the leader")
	ErrOverloaded      = errors.New("raft: too many uncommitted bytes")
	ErrChangePending   = errors.New("raft: another membership change is in progress")
	ErrNotCaughtUp     = errors.New("raft: learner has not caught up")
	ErrUnknownMember   = errors.New("raft: unknown member")
	ErrCompacted       = errors.New("raft: entries were compacted into a snapshot")
	ErrTransferPending = errors.New("raft: leadership is being transferred")
	ErrLastVoter       = errors.New("raft: the last voter cannot be removed")

	// ErrTermNotCommitted rejects a membership change because the leader has not yet
	// committed an entry of its own term; the caller should retry soon.
	ErrTermNotCommitted = errors.New("raft: no entry of the leader's term is committed yet")
	// ErrInvalidChange rejects a change that does not fit the member's place in the
	// configuration: voter, learner or absent.
	ErrInvalidChange = errors.New("raft: membership change does not fit the configuration")
	// ErrInvalidConfig rejects a Config with invalid or contradictory values.
	ErrInvalidConfig = errors.New("raft: invalid config")
	// ErrInvalidState rejects an InitialState, or a snapshot, that the protocol cannot
	// produce.
	ErrInvalidState = errors.New("raft: invalid state")
	// ErrInvalidMessage rejects a message that no correct member sends.
	ErrInvalidMessage = errors.New("raft: invalid message")
	// ErrWrongMember rejects a message addressed to another MemberID.
	ErrWrongMember = errors.New("raft: message for another member")
	// ErrDiverged reports a message that contradicts committed entries, or a second
	// leader in the same term: some member has lost synced data. The caller should
	// stop the member.
	ErrDiverged = errors.New("raft: members have diverged")
	// ErrNotApplied rejects a snapshot that covers entries not applied yet.
	ErrNotApplied = errors.New("raft: entries were not applied yet")
	// ErrMalformed reports bytes that are not a valid encoding of the expected type.
	ErrMalformed = errors.New("raft: malformed encoding")
)
