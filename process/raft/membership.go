package raft

import (
	"time"

	"github.com/pkg/errors"
)

// ProposeChange appends an entry with the latest configuration after change. The
// configuration takes effect at once, and the change is complete when the entry is
// committed. Only one change may be pending, and the leader must have committed an entry
// of its own term first. This ensures that the quorums of any two configurations that
// can be in effect at the same time overlap. It returns the term and index of the entry.
//
// Errors: ErrNotLeader, ErrTransferPending, ErrChangePending,
// ErrTermNotCommitted, ErrUnknownMember, ErrInvalidChange, ErrNotCaughtUp,
// ErrLastVoter.
func (n *Node) ProposeChange(now time.Duration, change ConfigurationChange) (term, index uint64, err error) {
	n.advanceClock(now)
	if err := n.checkChangeAllowed(); err != nil {
		return 0, 0, err
	}
	next, err := n.configurations.latest().configuration.withChange(change)
	if err != nil {
		return 0, 0, err
	}
	if change.Kind == ChangePromote && !n.caughtUp(change.Member) {
		return 0, 0, errors.Wrapf(ErrNotCaughtUp, "%d", change.Member)
	}
	index = n.appendAsLeader(EntryConfig, next.AppendBinary(nil))
	n.configurations.add(index, next)
	n.updateTrackedMembers()
	n.maybeCommit()
	return n.term, index, nil
}

// checkChangeAllowed returns an error if no membership change may be proposed now.
func (n *Node) checkChangeAllowed() error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.leadership.transfer != nil:
		return ErrTransferPending
	case n.configurations.latest().index > n.log.committed:
		return ErrChangePending
	case !n.committedInTerm():
		return ErrTermNotCommitted
	default:
		return nil
	}
}

// committedInTerm reports whether the leader has committed an entry of its own term.
// Only then does it know everything that earlier terms committed.
func (n *Node) committedInTerm() bool {
	return n.leadership != nil && n.log.committed >= n.leadership.firstIndex
}

// caughtUp reports whether the learner has persisted everything that was committed
// when the last heartbeat it replied to was sent, and that heartbeat was sent less than
// an election timeout ago.
func (n *Node) caughtUp(member MemberID) bool {
	p := n.leadership.progress[member]
	if p == nil || p.ackedSequence == 0 || n.now >= p.ackedSentAt+n.config.ElectionTimeout {
		return false
	}
	return p.match >= p.ackedCommit
}

// onConfigurationCommitted notifies removed members of the commit and stops tracking
// them. A leader that was removed itself transfers leadership and steps down.
func (n *Node) onConfigurationCommitted() {
	n.notifyRemovedMembers()
	n.updateTrackedMembers()
	if !n.configurations.latest().configuration.isVoter(n.config.ID) {
		n.queueLeaderMessages()
		n.sendTimeoutNowToBestVoter()
		n.becomeFollower(n.term, None)
	}
}

// notifyRemovedMembers sends removed members an append message with the log's next
// entries and the commit index, once, so that they stop campaigning. If the
// message is lost, voters that hear from a leader still reject requests of the removed
// members.
func (n *Node) notifyRemovedMembers() {
	latest := n.configurations.latest().configuration
	for _, member := range n.leadership.members {
		if latest.contains(member) {
			continue
		}
		p := n.leadership.progress[member]
		if matchTerm, kept := n.log.term(p.match); kept {
			n.sendEntries(member, p.match, matchTerm)
		}
	}
}
