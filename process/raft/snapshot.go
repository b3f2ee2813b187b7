package raft

import (
	"github.com/pkg/errors"
)

// SnapshotAt returns a Snapshot of data, the state machine's state after applying index,
// with the term and configuration at index. data must not be modified afterwards. The
// caller stores it and then passes it to Compact. Errors: ErrNotApplied if index is
// greater than Status().Applied, ErrCompacted if a later snapshot exists, which may have
// been received and be part of the next Ready.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, error) {
	if index > n.log.applied {
		return Snapshot{}, errors.Wrapf(ErrNotApplied, "index %d", index)
	}
	term, kept := n.log.term(index)
	if !kept || index < n.log.snapshot.Index {
		return Snapshot{}, errors.Wrapf(ErrCompacted, "index %d", index)
	}
	return Snapshot{
		Term:          term,
		Index:         index,
		Configuration: n.configurations.at(index).clone(),
		Data:          data,
	}, nil
}

// Compact records a snapshot that the caller has stored and drops the entries that it
// covers, except for the last Config.RetainedEntries. Errors: ErrNotApplied,
// ErrCompacted if the latest snapshot is not older, ErrInvalidState if the snapshot's
// term is not the term of its index.
func (n *Node) Compact(snapshot Snapshot) error {
	if snapshot.Index > n.log.applied {
		return errors.Wrapf(ErrNotApplied, "index %d", snapshot.Index)
	}
	if snapshot.Index <= n.log.snapshot.Index {
		return errors.Wrapf(ErrCompacted, "index %d", snapshot.Index)
	}
	if !n.log.matches(snapshot.Term, snapshot.Index) {
		return errors.Wrapf(ErrInvalidState, "snapshot of term %d at index %d", snapshot.Term, snapshot.Index)
	}
	snapshot.Configuration = n.configurations.at(snapshot.Index).clone()
	n.log.compact(snapshot, n.config.RetainedEntries)
	n.configurations.compact(snapshot.Index)
	return nil
}

// sendSnapshot sends the latest snapshot to a member that needs compacted entries. A
// member that has not replied in this term or within an election timeout is sent none; its
// next heartbeat reply triggers another attempt.
func (n *Node) sendSnapshot(member MemberID, p *progress) {
	if !p.everActive || !n.recentlyActive(p) {
		p.awaitingReply = true
		p.state = progressProbe
		return
	}
	snapshot := n.log.snapshot
	n.send(Message{
		Kind:     MessageSnapshot,
		To:       member,
		Index:    snapshot.Index,
		LogTerm:  snapshot.Term,
		Snapshot: &snapshot,
	})
	p.recordSnapshotSent(snapshot.Index, n.now)
}

// retrySnapshots returns members whose snapshot was not acknowledged in time to the
// probe state. The next append message then finds the member's matching index, or the
// snapshot is sent again.
func (n *Node) retrySnapshots() {
	for _, member := range n.leadership.members {
		p := n.leadership.progress[member]
		if p.state == progressSnapshot && n.now >= p.snapshotSentAt+n.config.SnapshotRetry {
			p.probeFrom(p.match + 1)
			n.leadership.appendsDue = true
		}
	}
}

func (n *Node) validateSnapshot(m Message) error {
	snapshot := m.Snapshot
	if snapshot == nil || snapshot.Index == 0 || snapshot.Term > m.Term {
		return errors.Wrap(ErrInvalidMessage, "snapshot is missing, has index 0 or has a later term than the message")
	}
	if snapshot.Configuration.isEmpty() || !snapshot.Configuration.consistent() {
		return errors.Wrap(ErrInvalidMessage, "configuration of the snapshot is empty or inconsistent")
	}
	if m.Term >= n.term && n.contradictsCommitted(snapshot.Term, snapshot.Index) {
		return errors.Wrapf(ErrDiverged, "snapshot at index %d from member %d", snapshot.Index, m.From)
	}
	return nil
}

// handleSnapshot installs the snapshot unless the log already has its last entry. The
// reply is part of the Ready that has the snapshot stored.
func (n *Node) handleSnapshot(m Message) {
	n.followLeader(m.From)
	snapshot := *m.Snapshot
	switch {
	case snapshot.Index <= n.log.committed:
	case n.log.matches(snapshot.Term, snapshot.Index):
		n.commitTo(snapshot.Index)
	default:
		n.log.restore(snapshot)
		n.configurations = newConfigurationHistory(snapshot.Index, snapshot.Configuration.clone())
		n.updateRole()
	}
	n.send(Message{Kind: MessageAppendReply, To: m.From, Index: n.log.committed})
}
