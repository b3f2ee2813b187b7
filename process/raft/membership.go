package raft

import (
	"time"

	"github.com/pkg/errors"
)

// ProposeChange appends the configuration after change. It is in force at once
// and done when it is committed. Changes go one by one, and only after the leader
// has committed in its own term: then the quorums of any two configurations that
// can be in force at the same time have a member in common.
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

// committedInTerm tells whether the leader has committed an entry of its term;
// only then it knows everything that earlier terms committed.
func (n *Node) committedInTerm() bool {
	return n.leadership != nil && n.log.committed >= n.leadership.firstIndex
}

// caughtUp tells whether the learner has persisted all that was committed when
// the heartbeat was sent that it answered last, less than an election timeout ago.
func (n *Node) caughtUp(member MemberID) bool {
	p := n.leadership.progress[member]
	if p == nil || p.ackedSequence == 0 || n.now >= p.ackedSentAt+n.config.ElectionTimeout {
		return false
	}
	return p.match >= p.ackedCommit
}

// configurationCommitted drops members that were removed, after telling them of
// the commit. A leader that was removed itself hands over and steps down.
func (n *Node) configurationCommitted() {
	n.notifyRemovedMembers()
	n.updateTrackedMembers()
	if !n.configurations.latest().configuration.isVoter(n.config.ID) {
		n.queueLeaderMessages()
		n.transferOnRemoval()
		n.becomeFollower(n.term, None)
	}
}

// tellRemovedMembers sends the rest of the log with the commit index once to
// members that leave, so that they stop campaigning. A lost message is harmless:
// voters that hear from a leader refuse them.
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
