package raft

import (
	"time"

	"github.com/pkg/errors"
)

// transfer is a leadership transfer in progress.
type transfer struct {
	to             MemberID
	deadline       time.Duration
	timeoutNowSent bool // MessageTimeoutNow was sent to the target
}

// TransferLeadership transfers leadership to the given voter, which campaigns as soon as
// it has all entries. Proposals are rejected in the meantime. The transfer is abandoned
// after an election timeout. Errors: ErrNotLeader, ErrUnknownMember if the target is not
// a voter, ErrTransferPending during a transfer to another member.
func (n *Node) TransferLeadership(now time.Duration, to MemberID) error {
	n.advanceClock(now)
	if n.role != Leader {
		return ErrNotLeader
	}
	if !n.configurations.latest().configuration.isVoter(to) {
		return errors.Wrapf(ErrUnknownMember, "member %d", to)
	}
	if pending := n.leadership.transfer; pending != nil && pending.to != to {
		return ErrTransferPending
	}
	if to == n.config.ID || n.leadership.transfer != nil {
		return nil
	}
	n.leadership.transfer = &transfer{to: to, deadline: n.now + n.config.ElectionTimeout}
	n.leadership.appendsDue = true
	n.continueTransfer(to)
	return nil
}

// continueTransfer tells the target to campaign once it has every entry. It repeats
// this on each reply of the target, because the message may have been lost.
func (n *Node) continueTransfer(member MemberID) {
	if n.leadership == nil || n.leadership.transfer == nil {
		return
	}
	pending := n.leadership.transfer
	if pending.to != member || n.leadership.progress[member].match < n.log.lastIndex() {
		return
	}
	pending.timeoutNowSent = true
	n.sendTimeoutNow(member)
}

// sendTimeoutNow tells member to campaign at once. It forfeits the lease for the rest
// of the term, because voters grant votes to such a candidate without waiting for the
// lease to expire, and the message may arrive at any time.
func (n *Node) sendTimeoutNow(member MemberID) {
	n.leadership.leaseDisabled = true
	n.send(Message{Kind: MessageTimeoutNow, To: member})
}

// tickTransfer ends a transfer that has timed out. If the target was told to campaign,
// the leader steps down, because it cannot hold a lease in this term again.
func (n *Node) tickTransfer() {
	pending := n.leadership.transfer
	if pending == nil || n.now < pending.deadline {
		return
	}
	n.leadership.transfer = nil
	if pending.timeoutNowSent {
		n.becomeFollower(n.term, None)
	}
}

// sendTimeoutNowToBestVoter tells the voter with the highest match to campaign at once,
// so that the group doesn't wait for an election timeout after its leader was removed.
func (n *Node) sendTimeoutNowToBestVoter() {
	best := None
	for _, voter := range n.configurations.latest().configuration.Voters {
		if best == None || n.leadership.progress[voter].match > n.leadership.progress[best].match {
			best = voter
		}
	}
	n.sendTimeoutNow(best)
}

func (n *Node) handleTimeoutNow(m Message) {
	if n.role != Follower || !n.configurations.latest().configuration.isVoter(n.config.ID) {
		return
	}
	n.startElection(electionByTransfer)
}
