package raft

import (
	"fmt"
	"time"
)

type position struct{ term, index uint64 }

// oracle records the history of a cluster and checks the protocol's guarantees after
// every event.
type oracle struct {
	cluster *cluster
	failure *violation

	leaders       map[uint64]MemberID              // leader of each term
	entryHashes   map[position]uint64              // hash of the entry and the term of its predecessor
	votes         map[uint64]map[MemberID]MemberID // granted votes by term and voter
	committed     []position                       // by index-1, in the order of commit by leaders
	commitTerms   []uint64                         // by index-1: term of the leader that committed the entry
	stateHashes   []uint64                         // by index-1: state hash after applying the entry
	reads         map[MemberID]map[uint64]uint64   // by member and request ID: commit index at the time of the request
	nextRead      uint64
	answeredReads int
}

type violation struct{ rule, detail string }

func newOracle(c *cluster) *oracle {
	return &oracle{
		cluster:     c,
		leaders:     make(map[uint64]MemberID),
		entryHashes: make(map[position]uint64),
		votes:       make(map[uint64]map[MemberID]MemberID),
		reads:       make(map[MemberID]map[uint64]uint64),
	}
}

func (o *oracle) violation(rule, format string, args ...any) {
	if o.failure == nil {
		o.failure = &violation{rule, fmt.Sprintf(format, args...)}
	}
}

// checkMembers checks the invariants on all running members at the current time.
func (o *oracle) checkMembers() {
	var holder MemberID
	for _, m := range o.cluster.members {
		if !m.up {
			continue
		}
		if m.node.role == Leader {
			o.checkLeader(m)
		}
		if m.node.role == Leader || m.role == Leader {
			o.recordCommits(m.node)
		}
		m.role = m.node.role
		if !m.node.LeaseValid(o.cluster.clock(m)) {
			continue
		}
		if holder != None {
			o.violation("one lease", "members %d and %d at %v", holder, m.id, o.cluster.now)
		}
		holder = m.id
	}
}

func (o *oracle) checkLeader(m *simMember) {
	n := m.node
	if leader, known := o.leaders[n.term]; known && leader != m.id {
		o.violation("election safety", "members %d and %d lead term %d", leader, m.id, n.term)
	}
	o.leaders[n.term] = m.id
	if m.role != Leader {
		o.cluster.count("new leader", m.id)
		o.checkLeaderCompleteness(m)
	}
}

// recordCommits records the entries that a leader has committed, even if the commit
// ended its leadership.
func (o *oracle) recordCommits(n *Node) {
	for index := uint64(len(o.committed)) + 1; index <= n.log.committed; index++ {
		term, kept := n.log.term(index)
		if !kept {
			o.violation("commit", "index %d was committed by no leader", index)
		}
		o.committed = append(o.committed, position{term, index})
		o.commitTerms = append(o.commitTerms, n.term)
	}
}

// checkLeaderCompleteness checks that a new leader has every entry that earlier terms
// committed.
func (o *oracle) checkLeaderCompleteness(m *simMember) {
	for i, entry := range o.committed {
		if o.commitTerms[i] >= m.node.term || entry.index < m.node.log.baseIndex {
			continue
		}
		if !m.node.log.matches(entry.term, entry.index) {
			o.violation("leader completeness", "member %d leads term %d without %+v", m.id, m.node.term, entry)
			return
		}
	}
}

// checkStored checks log matching: an entry's term and index determine its content and
// the term of its predecessor, and thereby the whole log up to it.
func (o *oracle) checkStored(m *simMember, ready Ready) {
	for _, entry := range ready.Entries {
		previous := m.written.snapshot.Term
		if at := entry.Index - m.written.snapshot.Index - 1; at > 0 {
			previous = m.written.entries[at-1].Term
		}
		hash := hashOf(previous, entry)
		key := position{entry.Term, entry.Index}
		if known, seen := o.entryHashes[key]; seen && known != hash {
			o.violation("log matching", "member %d stores another entry at %+v", m.id, key)
		}
		o.entryHashes[key] = hash
	}
}

// checkSent checks that no member ID grants two votes in a term.
func (o *oracle) checkSent(m *simMember, message Message) {
	if message.Kind != MessageVoteReply || message.Reject {
		return
	}
	votes := o.votes[message.Term]
	if votes == nil {
		votes = make(map[MemberID]MemberID)
		o.votes[message.Term] = votes
	}
	if earlier, voted := votes[m.id]; voted && earlier != message.To {
		o.violation("one vote", "member %d in term %d for %d and %d", m.id, message.Term, earlier, message.To)
	}
	votes[m.id] = message.To
}

// checkApplied checks state machine safety and read indexes.
func (o *oracle) checkApplied(m *simMember, ready Ready) {
	if ready.Snapshot != nil {
		o.cluster.count("snapshot installed", m.id)
		o.checkInstalled(m, *ready.Snapshot)
	}
	for _, entry := range ready.Committed {
		if entry.Index != m.applied+1 {
			o.violation("state machine", "member %d applies %d after %d", m.id, entry.Index, m.applied)
		}
		m.applied = entry.Index
		m.stateHash = hashOf(m.stateHash, entry)
		o.checkState(m)
	}
	for _, read := range ready.ReadStates {
		o.answeredReads++
		if asked := o.reads[m.id][read.RequestID]; read.Index < asked {
			o.violation("read index", "member %d answers at %d what was asked at %d", m.id, read.Index, asked)
		}
	}
}

func (o *oracle) checkInstalled(m *simMember, snapshot Snapshot) {
	m.applied = snapshot.Index
	if _, err := fmt.Sscan(string(snapshot.Data), &m.stateHash); err != nil {
		o.violation("state machine", "member %d: snapshot data %q", m.id, snapshot.Data)
	}
	o.checkState(m)
}

func (o *oracle) checkState(m *simMember) {
	switch known := uint64(len(o.stateHashes)); {
	case m.applied == known+1:
		o.stateHashes = append(o.stateHashes, m.stateHash)
	case m.applied > known+1:
		o.violation("state machine", "member %d applied index %d, but no member applied index %d", m.id, m.applied, known+1)
	case o.stateHashes[m.applied-1] != m.stateHash:
		o.violation("state machine", "member %d has another state at index %d", m.id, m.applied)
	}
}

// requestReads requests a read on every member that is running and not paused; only
// leaders accept it.
func (o *oracle) requestReads() {
	c := o.cluster
	for _, m := range c.members {
		if !m.up || m.pausedUntil > c.now {
			continue
		}
		o.nextRead++
		if m.node.ReadIndex(c.clock(m), o.nextRead) != nil {
			continue
		}
		if o.reads[m.id] == nil {
			o.reads[m.id] = make(map[uint64]uint64)
		}
		o.reads[m.id][o.nextRead] = uint64(len(o.committed))
		c.startReady(m)
	}
}

// checkConverged returns an error unless there is a leader with a valid lease that has
// committed in its term, and every member of its configuration whose disk is not lost
// has applied all committed entries.
func (o *oracle) checkConverged(after time.Duration) error {
	c := o.cluster
	leader := c.leader()
	if leader == nil {
		return fmt.Errorf("no leader %v after healing", after)
	}
	if !leader.node.committedInTerm() {
		return fmt.Errorf("leader %d of term %d has committed nothing", leader.id, leader.node.term)
	}
	if !leader.node.LeaseValid(c.clock(leader)) {
		return fmt.Errorf("leader %d of term %d holds no lease", leader.id, leader.node.term)
	}
	for _, id := range leader.node.configurations.latest().configuration.members() {
		if m := c.members[id-1]; !m.lost && m.applied < uint64(len(o.committed)) {
			return fmt.Errorf("member %d (%+v) applied %d of %d", id, m.node.Status(), m.applied, len(o.committed))
		}
	}
	return nil
}
