package raft

import (
	"time"

	"github.com/pkg/errors"
)

// Propose appends a command to the leader's log and returns the term and index of its
// entry. The proposal succeeded if the entry committed at index has this term; if an
// entry of another term is committed there, it was lost. data must not be modified
// afterwards. Errors: ErrNotLeader, ErrTransferPending and ErrOverloaded.
func (n *Node) Propose(now time.Duration, data []byte) (term, index uint64, err error) {
	n.advanceClock(now)
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.leadership.transfer != nil {
		return 0, 0, ErrTransferPending
	}
	size := Entry{Data: data}.size()
	pending := n.leadership.uncommittedBytes
	if pending > 0 && pending+size > n.config.MaxUncommittedBytes {
		return 0, 0, ErrOverloaded
	}
	return n.term, n.appendAsLeader(EntryCommand, data), nil
}

// appendAsLeader appends one entry in the leader's term and returns its index. The
// leader counts itself towards the entry's quorum only after Advance has reported the
// entry as synced.
func (n *Node) appendAsLeader(kind EntryKind, data []byte) uint64 {
	entry := Entry{Term: n.term, Index: n.log.lastIndex() + 1, Kind: kind, Data: data}
	n.log.append(entry)
	n.leadership.uncommittedBytes += entry.size()
	n.leadership.appendsDue = true
	return entry.Index
}

// queueLeaderMessages queues the heartbeats and append messages that are due. It runs
// when the caller requests a Ready, so that proposals made since the last one are
// batched.
func (n *Node) queueLeaderMessages() {
	if n.leadership == nil {
		return
	}
	if n.leadership.heartbeatDue {
		n.startHeartbeatRound()
	}
	if !n.leadership.appendsDue {
		return
	}
	n.leadership.appendsDue = false
	for _, member := range n.leadership.members {
		n.sendAppends(member, n.leadership.progress[member])
	}
}

// sendAppends sends append messages until the member has been sent all entries or flow
// control blocks.
func (n *Node) sendAppends(member MemberID, p *progress) {
	for !p.blocked(n.config.MaxInflight) && p.needsAppend(n.log.lastIndex(), n.log.committed) {
		previousTerm, kept := n.log.term(p.next - 1)
		if !kept {
			n.sendSnapshot(member, p)
			return
		}
		lastSent := n.sendEntries(member, p.next-1, previousTerm)
		p.recordAppendSent(lastSent, n.log.committed)
	}
}

// sendEntries sends one message with the entries that follow the position (index,
// term), up to the message size limit. It returns the index of the last one.
func (n *Node) sendEntries(member MemberID, index, term uint64) uint64 {
	entries := n.log.batch(index+1, n.config.MaxEntriesBytes)
	n.send(Message{
		Kind:    MessageAppend,
		To:      member,
		Index:   index,
		LogTerm: term,
		Commit:  n.log.committed,
		Entries: entries,
	})
	return index + uint64(len(entries))
}

// validateAppend rejects entries that are not consecutive, that have an invalid
// configuration or that contradict committed entries.
func (n *Node) validateAppend(m Message) error {
	if m.LogTerm > m.Term || !consecutive(m.Entries, m.Index, m.LogTerm, m.Term) {
		return errors.Wrap(ErrInvalidMessage, "entries are not consecutive or have invalid terms")
	}
	for _, entry := range m.Entries {
		if entry.Kind != EntryConfig {
			continue
		}
		configuration, err := DecodeConfiguration(entry.Data)
		if err != nil || configuration.isEmpty() || !configuration.consistent() {
			return errors.Wrapf(ErrInvalidMessage, "invalid configuration at index %d", entry.Index)
		}
	}
	if m.Term < n.term {
		return nil
	}
	return n.validateAgainstCommitted(m)
}

// validateAgainstCommitted returns ErrDiverged if m contradicts committed entries that
// are still in memory.
func (n *Node) validateAgainstCommitted(m Message) error {
	if n.contradictsCommitted(m.LogTerm, m.Index) {
		return errors.Wrapf(ErrDiverged, "index %d from member %d", m.Index, m.From)
	}
	for _, entry := range m.Entries {
		if n.contradictsCommitted(entry.Term, entry.Index) {
			return errors.Wrapf(ErrDiverged, "index %d from member %d", entry.Index, m.From)
		}
	}
	return nil
}

func (n *Node) contradictsCommitted(term, index uint64) bool {
	if index > n.log.committed {
		return false
	}
	ownTerm, kept := n.log.term(index)
	return kept && ownTerm != term
}

func (n *Node) handleAppend(m Message) error {
	n.followLeader(m.From)
	reply := Message{Kind: MessageAppendReply, To: m.From}
	lastSent := m.Index + uint64(len(m.Entries))
	switch {
	case lastSent <= n.log.committed:
		// An old message; the log matches up to the commit index in any case.
		reply.Index = n.log.committed
	case m.Index >= n.log.committed && !n.log.matches(m.LogTerm, m.Index):
		reply.Reject = true
		reply.Index = m.Index
		reply.RejectHint, reply.LogTerm = n.log.lastWithIndexAndTermAtMost(m.Index, m.LogTerm)
	default:
		n.acceptEntries(entriesAfter(m.Entries, n.log.committed))
		n.commitTo(min(m.Commit, lastSent))
		reply.Index = lastSent
	}
	n.send(reply)
	return nil
}

// acceptEntries stores the entries from the first one that is missing from the log. If
// there is none, later entries in the log are kept, because the message may be older
// than they are.
func (n *Node) acceptEntries(entries []Entry) {
	missing := entries[n.log.firstConflict(entries):]
	if len(missing) == 0 {
		return
	}
	n.configurations.truncateFrom(missing[0].Index)
	n.log.replaceFrom(missing)
	if err := n.configurations.addEntries(missing); err != nil {
		panic(errors.Wrap(err, "raft: validated configuration cannot be decoded"))
	}
	n.updateRole()
}

func (n *Node) handleAppendReply(m Message) {
	p := n.recordReplyFrom(m.From)
	if p == nil {
		return
	}
	if m.Reject {
		n.backtrack(p, m)
		return
	}
	if m.Index > n.log.lastIndex() {
		return // no message of this term can cause such a reply
	}
	matchIncreased := p.recordAcknowledged(m.Index)
	p.finishProbeOrSnapshot()
	n.leadership.appendsDue = true
	if matchIncreased {
		n.maybeCommit()
	}
	n.continueTransfer(m.From)
}

// recordReplyFrom records that member replied and returns its progress. It returns nil
// if the node isn't the leader or doesn't track the member.
func (n *Node) recordReplyFrom(member MemberID) *progress {
	if n.leadership == nil {
		return nil
	}
	p := n.leadership.progress[member]
	if p != nil {
		p.recordReply(n.now)
	}
	return p
}

// backtrack continues the search for the matching index at a lower one. Leader and
// follower both skip all entries of a term at once: the follower's hint is its highest
// index whose term is not greater than the one in the rejected message, and the leader
// does the same with the hint's term.
func (n *Node) backtrack(p *progress, m Message) {
	if p.state == progressSnapshot || m.Index <= p.match {
		return
	}
	if p.state == progressProbe && m.Index != p.next-1 {
		return // a reply to an earlier probe
	}
	candidate, _ := n.log.lastWithIndexAndTermAtMost(m.RejectHint, m.LogTerm)
	if m.RejectHint < n.log.baseIndex {
		candidate = m.RejectHint
	}
	p.probeFrom(min(m.Index, candidate+1))
	n.leadership.appendsDue = true
}

// maybeCommit commits the entries that a quorum has persisted. Only entries of the
// leader's own term are committed by counting replicas, because a later leader may
// still replace an older entry even though a quorum holds it. Entries before them are
// committed along with them.
func (n *Node) maybeCommit() {
	if n.leadership == nil {
		return
	}
	quorumIndex := quorumValue(n, n.log.persisted, func(p *progress) uint64 { return p.match })
	if term, ok := n.log.term(quorumIndex); !ok || term != n.term {
		return
	}
	n.commitTo(quorumIndex)
}

// commitTo raises the commit index and updates the state that depends on it.
func (n *Node) commitTo(index uint64) {
	before := n.log.committed
	if !n.log.commitTo(index) {
		return
	}
	if n.leadership == nil {
		n.updateRole()
		return
	}
	for _, entry := range n.log.slice(before, n.log.committed) {
		n.leadership.uncommittedBytes -= entry.size()
	}
	n.leadership.appendsDue = true
	n.completeReads()
	if latest := n.configurations.latest(); latest.index > before && latest.index <= n.log.committed {
		n.onConfigurationCommitted()
	}
}
