package raft

import (
	"time"

	"github.com/pkg/errors"
)

// transfer is a leadership that is being handed over.
type transfer struct {
	to             MemberID
	deadline       time.Duration
	timeoutNowSent bool // the target was told to campaign
}

// TransferLeadership makes the voter to campaign at once, as soon as it has all
// entries. Proposals are refused meanwhile. It is given up after an election
// timeout. Errors: ErrNotLeader, ErrUnknownMember when to is not a voter,
// ErrTransferPending during a transfer to another member.
func (n *Node) TransferLeadership(now time.Duration, to MemberID) error {
	n.advanceClock(now)
	if n.role != Leader {
		return ErrNotLeader
	}
	if !n.configurations.latest().configuration.isVoter(to) {
		return errors.Wrapf(ErrUnknownMember, "%d", to)
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

// continueTransfer tells the target to campaign once it has every entry, and
// again on each of its replies, since the message may have been lost.
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

// sendTimeoutNow gives up the lease for the rest of the term: voters grant their
// vote to a member that was told to campaign without waiting for the lease's end,
// and nobody knows when the message arrives.
func (n *Node) sendTimeoutNow(member MemberID) {
	n.leadership.leaseForfeited = true
	n.send(Message{Kind: MessageTimeoutNow, To: member})
}

// tickTransfer ends a transfer that took too long. Where the target was told to
// campaign, the leader steps down: it could not hold a lease in this term again.
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

// handOverOnRemoval lets the voter with the most entries campaign at once, so
// that the group need not wait for a timeout.
func (n *Node) transferOnRemoval() {
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
