package raft

import (
	"github.com/pkg/errors"
)

// SnapshotAt returns data, the state machine's state after applying index, as a
// Snapshot with the right term and configuration, to be stored and then handed to
// Compact. Errors: ErrNotApplied above Status().Applied, ErrCompacted where a later
// snapshot has made it needless; that may be a received one of the next Ready.
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

// Compact adopts a snapshot that the caller has stored and drops the entries
// that it covers, but for Config.RetainedEntries of them. Errors: ErrNotApplied,
// ErrCompacted when there is a later snapshot, ErrInvalidState when it doesn't
// have the term of its index.
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

// sendSnapshot sends the latest snapshot to a member that needs compacted
// entries. One that doesn't answer is not sent any: its next heartbeat reply
// asks again.
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

// retrySnapshots gives up on snapshots that got no answer in time; the next
// append message finds out what the member has, or sends a snapshot again.
func (n *Node) retrySnapshots() {
	for _, member := range n.leadership.members {
		p := n.leadership.progress[member]
		if p.state == progressSnapshot && n.now >= p.snapshotSentAt+n.config.SnapshotRetry {
			p.probeFrom(p.match + 1)
			n.leadership.appendsDue = true
		}
	}
}

func (n *Node) checkSnapshot(m Message) error {
	snapshot := m.Snapshot
	if snapshot == nil || snapshot.Index == 0 || snapshot.Term > m.Term {
		return errors.Wrap(ErrInvalidMessage, "snapshot")
	}
	if snapshot.Configuration.isEmpty() || !snapshot.Configuration.consistent() {
		return errors.Wrap(ErrInvalidMessage, "snapshot's configuration")
	}
	if m.Term >= n.term && n.contradictsCommitted(snapshot.Term, snapshot.Index) {
		return errors.Wrapf(ErrDiverged, "snapshot at index %d from member %d", snapshot.Index, m.From)
	}
	return nil
}

// handleSnapshot installs the snapshot unless the log has its last entry. The
// reply goes out with the Ready that has the snapshot stored.
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
