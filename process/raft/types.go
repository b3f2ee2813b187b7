// Package raft is the agreement protocol of the control group as a pure state
// machine: ticks, proposals and messages go in; entries to persist, messages to
// send and committed entries come out. It opens no file, no socket and reads no
// clock, so the daemon and the emulator run the same code.
//
// Guarantees, while fewer than half of the voters lose what they synced and each
// caller carries out its Readys in order: a term has at most one leader; an entry
// that one member was told is committed is never replaced or lost, and every
// member is handed the same entries in the same order; at any moment LeaseValid
// is true on at most one member, if no clock gains more on another during an
// election timeout than the lease is shorter than that.
package raft

import (
	"time"

	"github.com/pkg/errors"
)

// MemberID is the identity of one member's disk. A member that lost its disk
// comes back under a new MemberID, because under the old one it could vote
// twice in a term.
type MemberID uint64

// None is the zero MemberID; no member has it.
const None MemberID = 0

// EntryKind tells what an entry's data means.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota // data belongs to the replicated state machine
	EntryConfig                   // data is an encoded Configuration
	EntryEmpty                    // a new leader's first entry of its term
)

// Entry is one record of the replicated log. (Term, Index) is unique for all time.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is what must be synced before any message of the same Ready is sent.
type HardState struct {
	Term   uint64
	Vote   MemberID
	Commit uint64
}

// Configuration is the membership of the group. It changes by one member at a time.
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

// ChangeKind is one step of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	ChangeAddLearner ChangeKind = iota
	ChangePromote               // learner to voter; refused until the learner has caught up
	ChangeRemove
)

// ConfigurationChange asks for one step of a membership change.
type ConfigurationChange struct {
	Kind   ChangeKind
	Member MemberID
}

// Role is a member's part in the current term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
	Learner
)

// Config holds what a Node is created with. Durations are on the monotonic
// clock whose readings are handed to Tick.
type Config struct {
	ID                  MemberID
	ElectionTimeout     time.Duration // base; each election waits between one and two of these
	HeartbeatInterval   time.Duration
	LeaseDuration       time.Duration // leader lease; shorter than ElectionTimeout by the clock-drift margin
	MaxEntriesBytes     int           // bytes of entries in one append message
	MaxInflight         int           // append messages in flight to one follower
	MaxUncommittedBytes int           // proposals beyond this are refused with ErrOverloaded
	Seed                uint64        // randomness of election timeouts
	// SnapshotRetry is how long a sent snapshot may stay unanswered before it is
	// sent again; zero means four election timeouts.
	SnapshotRetry time.Duration
	// RetainedEntries is how many entries Compact keeps in memory behind the
	// snapshot, so that a slightly lagging follower needs no snapshot.
	RetainedEntries uint64
}

// InitialState is what a Node starts from: what its disk holds, or the
// bootstrap configuration of a new group. All of it empty is a new member, that
// neither votes nor campaigns until a leader has sent it a configuration.
type InitialState struct {
	HardState HardState
	Snapshot  Snapshot // zero when there is none
	Entries   []Entry  // consecutive; those at or below Snapshot.Index are skipped
	// Configuration is the bootstrap configuration at index zero. It has to be
	// given again on each start until there is a snapshot; a snapshot's overrides it.
	Configuration Configuration
}

// Ready is what the caller must carry out, in this order: persist Snapshot,
// Entries and HardState and sync; restore the state machine from Snapshot; send
// Messages; apply Committed; call Advance. The slices share memory with the node
// and must not be written to.
type Ready struct {
	HardState *HardState // nil when unchanged
	// Snapshot is nil unless one was received. It replaces the whole stored log:
	// every stored entry, also those above Snapshot.Index, must be discarded with it.
	Snapshot *Snapshot
	// Entries are to be stored; a stored entry at or above Entries[0].Index is
	// replaced together with all that follow it.
	Entries    []Entry
	Messages   []Message
	Committed  []Entry // empty in a Ready with a Snapshot
	ReadStates []ReadState
	// AbortedReads are the request IDs whose reads will never get a ReadState,
	// because leadership was lost.
	AbortedReads []uint64
	MustSync     bool // false when only HardState.Commit changed or nothing is to be stored
}

// ReadState says that a read asked for under RequestID may be answered once the
// state machine has applied Index.
type ReadState struct {
	RequestID uint64
	Index     uint64
}

// Status is a copy of a node's public state.
type Status struct {
	ID            MemberID
	Role          Role
	Term          uint64
	Leader        MemberID
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	Configuration Configuration
	// ConfigurationPending tells that Configuration is appended and not known to
	// be committed: if this member is lost now, the one before may come back.
	ConfigurationPending bool
	// Match is the highest index known to be persisted by each member; leader only.
	Match map[MemberID]uint64
	// RecentlyActive tells which members answered within an election timeout; leader only.
	RecentlyActive map[MemberID]bool
}

// Errors returned by a Node. All leave the node unchanged.
var (
	ErrNotLeader       = errors.New("raft: not the leader")
	ErrOverloaded      = errors.New("raft: too many uncommitted bytes")
	ErrChangePending   = errors.New("raft: another membership change is in progress")
	ErrNotCaughtUp     = errors.New("raft: learner has not caught up")
	ErrUnknownMember   = errors.New("raft: unknown member")
	ErrCompacted       = errors.New("raft: entries were compacted into a snapshot")
	ErrTransferPending = errors.New("raft: leadership is being transferred")
	ErrLastVoter       = errors.New("raft: the last voter cannot be removed")

	// ErrTermNotCommitted refuses a membership change to a leader that has not
	// committed an entry of its own term yet; asking again soon helps.
	ErrTermNotCommitted = errors.New("raft: no entry of the leader's term is committed yet")
	// ErrInvalidChange refuses a change that does not fit the member's present state.
	ErrInvalidChange = errors.New("raft: membership change does not fit the configuration")
	// ErrInvalidConfig refuses a Config whose durations or limits contradict each other.
	ErrInvalidConfig = errors.New("raft: invalid config")
	// ErrInvalidState refuses an InitialState that no run of the protocol leaves behind.
	ErrInvalidState = errors.New("raft: invalid initial state")
	// ErrInvalidMessage refuses a message that no member sends.
	ErrInvalidMessage = errors.New("raft: invalid message")
	// ErrWrongMember refuses a message addressed to another MemberID.
	ErrWrongMember = errors.New("raft: message for another member")
	// ErrDiverged reports a message that contradicts committed entries: some
	// member's storage broke its promise. The caller should stop the member.
	ErrDiverged = errors.New("raft: message contradicts committed entries")
	// ErrNotApplied refuses a snapshot of entries that were not applied yet.
	ErrNotApplied = errors.New("raft: entries were not applied yet")
	// ErrMalformed reports bytes that are not an encoding of the wanted type.
	ErrMalformed = errors.New("raft: malformed encoding")
)
