package raft

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Defaults for Config limits that are zero.
const (
	defaultMaxEntriesBytes     = 1 << 20
	defaultMaxInflight         = 64
	defaultMaxUncommittedBytes = 64 << 20
	// snapshotRetryTimeouts is the default SnapshotRetry, in election timeouts.
	snapshotRetryTimeouts = 4
)

// Node is the protocol state of one member. It is not safe for concurrent use: its
// methods must be called from one goroutine at a time.
//
// Methods that take now need a reading of the same monotonic clock, as the time since
// any fixed origin. The clock must be read after the message that is passed in was
// received. With an earlier reading the member would record a heartbeat as older than it
// is, and could vote before the lease that it acknowledged has expired.
type Node struct {
	config  Config
	random  *rand.Rand
	now     time.Duration
	started bool // now has been set

	term     uint64
	vote     MemberID
	role     Role
	leaderID MemberID

	log            *entryLog
	configurations configurationHistory

	// leaderContact is when the member last heard from a leader. Its start counts
	// too, because it may have answered a heartbeat just before a restart.
	leaderContact    time.Duration
	heardLeader      bool // has heard from a leader, or been one, since the start
	electionDeadline time.Duration
	voteReplies      map[MemberID]bool // replies in the current election or pre-election
	unanimousGrants  map[MemberID]bool // voters that granted a pre-vote only for a unanimous election
	election         electionKind      // of the current election, while Candidate
	leadership       *leadership       // nil unless role is Leader

	messages         []Message
	readStates       []ReadState
	abortedReads     []uint64
	emittedHardState HardState
	awaitingAdvance  bool // a Ready was returned and its Advance is due
}

// New returns a Node that resumes from initial. It fails with ErrInvalidConfig, or
// with ErrInvalidState if initial is inconsistent. initial must not be modified
// afterwards, because the node shares its memory.
func New(config Config, initial InitialState) (*Node, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	entries := entriesAfter(initial.Entries, initial.Snapshot.Index)
	if err := initial.validate(entries); err != nil {
		return nil, err
	}
	node := &Node{
		config:           config,
		random:           rand.New(rand.NewPCG(config.Seed, uint64(config.ID))),
		term:             initial.HardState.Term,
		vote:             initial.HardState.Vote,
		log:              newEntryLog(initial.Snapshot, entries, initial.HardState.Commit),
		emittedHardState: initial.HardState,
	}
	node.configurations = newConfigurationHistory(0, initial.Configuration.clone())
	if initial.Snapshot.Index > 0 {
		node.configurations = newConfigurationHistory(initial.Snapshot.Index, initial.Snapshot.Configuration)
	}
	if err := node.configurations.addEntries(entries); err != nil {
		return nil, errors.Wrap(ErrInvalidState, err.Error())
	}
	node.updateRole()
	return node, nil
}

func (c Config) withDefaults() Config {
	if c.MaxEntriesBytes == 0 {
		c.MaxEntriesBytes = defaultMaxEntriesBytes
	}
	if c.MaxInflight == 0 {
		c.MaxInflight = defaultMaxInflight
	}
	if c.MaxUncommittedBytes == 0 {
		c.MaxUncommittedBytes = defaultMaxUncommittedBytes
	}
	if c.SnapshotRetry == 0 {
		c.SnapshotRetry = snapshotRetryTimeouts * c.ElectionTimeout
	}
	return c
}

// validate checks the conditions for safety and liveness: the lease must expire before
// a follower that acknowledged it may vote again, and must be longer than the
// heartbeat interval.
func (c Config) validate() error {
	switch {
	case c.ID == None:
		return errors.Wrap(ErrInvalidConfig, "no ID")
	case c.HeartbeatInterval <= 0:
		return errors.Wrap(ErrInvalidConfig, "heartbeat interval must be positive")
	case c.LeaseDuration <= c.HeartbeatInterval:
		return errors.Wrap(ErrInvalidConfig, "lease must be longer than the heartbeat interval")
	case c.ElectionTimeout <= c.LeaseDuration:
		return errors.Wrap(ErrInvalidConfig, "election timeout must be longer than the lease")
	case c.MaxEntriesBytes < 0 || c.MaxInflight < 0 || c.MaxUncommittedBytes < 0 || c.SnapshotRetry < 0:
		return errors.Wrap(ErrInvalidConfig, "negative limit")
	default:
		return nil
	}
}

// entriesAfter returns the entries with an index greater than index.
func entriesAfter(entries []Entry, index uint64) []Entry {
	for len(entries) > 0 && entries[0].Index <= index {
		entries = entries[1:]
	}
	return entries
}

// validate checks s, of which entries are those after the snapshot.
func (s InitialState) validate(entries []Entry) error {
	if !consecutive(entries, s.Snapshot.Index, s.Snapshot.Term, s.HardState.Term) {
		return errors.Wrap(ErrInvalidState, "entries are not consecutive or have invalid terms")
	}
	last := s.Snapshot.Index + uint64(len(entries))
	if s.HardState.Commit > last {
		return errors.Wrapf(ErrInvalidState, "commit index %d is beyond the last entry %d", s.HardState.Commit, last)
	}
	if s.Snapshot.Term > s.HardState.Term {
		return errors.Wrap(ErrInvalidState, "snapshot has a higher term than the hard state")
	}
	if !s.Configuration.consistent() || !s.Snapshot.Configuration.consistent() {
		return errors.Wrap(ErrInvalidState, "configuration lists a member twice, or None")
	}
	return nil
}

// consecutive reports whether entries directly follow the position (index, term),
// with consecutive indexes and non-decreasing terms of at most maxTerm.
func consecutive(entries []Entry, index, term, maxTerm uint64) bool {
	for _, entry := range entries {
		index++
		if entry.Index != index || entry.Term < term || entry.Term > maxTerm {
			return false
		}
		term = entry.Term
	}
	return true
}

// advanceClock moves the node's clock forward to now. The first reading starts it.
func (n *Node) advanceClock(now time.Duration) {
	if !n.started {
		n.started = true
		n.now = now
		n.leaderContact = now
		n.resetElectionDeadline()
		return
	}
	n.now = max(n.now, now)
}

// Tick runs time-based work: elections, heartbeats, check-quorum and retries. All of
// it is scheduled by durations, so Tick may be called at any rate. Election delays count
// from the first call of a method that takes now.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.promotable() && n.now >= n.electionDeadline {
		n.startPreElection()
	}
}

// Step processes one received message, whose memory the node may keep. Errors:
// ErrWrongMember, ErrInvalidMessage and ErrDiverged; each leaves the node unchanged
// except for its clock.
func (n *Node) Step(now time.Duration, m Message) error {
	n.advanceClock(now)
	if err := n.validateMessage(m); err != nil {
		return err
	}
	if m.Term < n.term {
		n.replyToOldTerm(m)
		return nil
	}
	if m.Term > n.term && !n.enterTerm(m) {
		return nil
	}
	return n.dispatch(m)
}

// validateMessage rejects messages that no correct member sends, before they change
// any state.
func (n *Node) validateMessage(m Message) error {
	if m.To != n.config.ID {
		return errors.Wrapf(ErrWrongMember, "member %d", m.To)
	}
	// A member that never entered a term has term 0 and sends only rejected pre-votes.
	noTerm := m.Term == 0 && m.Kind != MessagePreVoteReply
	if m.From == None || m.From == n.config.ID || !m.Kind.valid() || noTerm {
		return errors.Wrapf(ErrInvalidMessage, "kind %d from %d in term %d", m.Kind, m.From, m.Term)
	}
	if m.Kind.fromLeader() && m.Term == n.term && n.role == Leader {
		return errors.Wrapf(ErrDiverged, "member %d claims to lead term %d too", m.From, m.Term)
	}
	switch m.Kind {
	case MessageAppend:
		return n.validateAppend(m)
	case MessageSnapshot:
		return n.validateSnapshot(m)
	default:
		return nil
	}
}

// replyToOldTerm replies to messages of an older term so that their sender learns the
// current one: an outdated leader then steps down, an outdated candidate enters the
// current term.
func (n *Node) replyToOldTerm(m Message) {
	switch m.Kind {
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteReply, To: m.From, Sequence: m.Sequence, Reject: true})
	case MessageVote:
		n.send(Message{Kind: MessageVoteReply, To: m.From, Reject: true})
	case MessageAppend, MessageSnapshot:
		n.send(Message{Kind: MessageAppendReply, To: m.From, Index: m.Index, Reject: true})
	case MessageHeartbeat:
		n.send(Message{Kind: MessageHeartbeatReply, To: m.From, Reject: true})
	}
}

// enterTerm enters the higher term of m, unless the kind of m or a lease prevents it.
// It reports whether m should be processed.
func (n *Node) enterTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true // asks about a term that no member has entered
	case MessagePreVoteReply:
		if !m.Reject {
			return true // its term is the requested one
		}
	case MessageVote:
		if n.voteMayBreakLease(m) {
			return false
		}
	}
	leader := None
	if m.Kind.fromLeader() {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// dispatch passes a valid message of the current term to the handler of its kind. Pre-votes
// and their replies may be of a higher term.
func (n *Node) dispatch(m Message) error {
	switch m.Kind {
	case MessagePreVote:
		n.handlePreVote(m)
	case MessagePreVoteReply:
		n.handlePreVoteReply(m)
	case MessageVote:
		n.handleVote(m)
	case MessageVoteReply:
		n.handleVoteReply(m)
	case MessageAppend:
		return n.handleAppend(m)
	case MessageAppendReply:
		n.handleAppendReply(m)
	case MessageHeartbeat:
		n.handleHeartbeat(m)
	case MessageHeartbeatReply:
		n.handleHeartbeatReply(m)
	case MessageSnapshot:
		n.handleSnapshot(m)
	case MessageTimeoutNow:
		n.handleTimeoutNow(m)
	}
	return nil
}

// send queues m for the next Ready. A zero Term is replaced by the current term.
func (n *Node) send(m Message) {
	m.From = n.config.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// Status returns a copy of the node's public state.
func (n *Node) Status() Status {
	status := Status{
		ID:            n.config.ID,
		Role:          n.role,
		Term:          n.term,
		Leader:        n.leaderID,
		Commit:        n.log.committed,
		Applied:       n.log.applied,
		LastIndex:     n.log.lastIndex(),
		Configuration: n.configurations.latest().configuration.clone(),

		ConfigurationPending: n.configurations.latest().index > n.log.committed,
	}
	if n.leadership == nil {
		return status
	}
	status.Match = map[MemberID]uint64{n.config.ID: n.log.persisted}
	status.RecentlyActive = map[MemberID]bool{n.config.ID: true}
	for member, progress := range n.leadership.progress {
		status.Match[member] = progress.match
		status.RecentlyActive[member] = n.recentlyActive(progress)
	}
	return status
}
