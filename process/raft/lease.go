package raft

import "time"

// heartbeatRound is one heartbeat sent to all members with the same sequence.
type heartbeatRound struct {
	sequence uint64
	sentAt   time.Duration
	commit   uint64
}

// readRequest is a read that waits until a quorum has replied to the heartbeat round
// sequence or a later one.
type readRequest struct {
	requestID uint64
	sequence  uint64
}

// startHeartbeatRound sends a heartbeat to all members. The round's send time is the
// caller's last clock reading, which is earlier than the actual sending, so
// the lease ends earlier rather than later.
func (n *Node) startHeartbeatRound() {
	lead := n.leadership
	lead.heartbeatDue = false
	lead.nextHeartbeat = n.now + n.config.HeartbeatInterval
	lead.sequence++
	n.dropExpiredRounds()
	lead.rounds = append(lead.rounds, heartbeatRound{lead.sequence, n.now, n.log.committed})
	for _, member := range lead.members {
		n.send(Message{
			Kind:     MessageHeartbeat,
			To:       member,
			Commit:   min(lead.progress[member].match, n.log.committed),
			Sequence: lead.sequence,
		})
	}
	n.completeReads()
}

// dropExpiredRounds drops rounds whose replies can no longer extend the lease.
func (n *Node) dropExpiredRounds() {
	rounds := n.leadership.rounds
	for len(rounds) > 0 && rounds[0].sentAt+n.config.ElectionTimeout <= n.now {
		rounds = rounds[1:]
	}
	n.leadership.rounds = rounds
}

func (n *Node) handleHeartbeat(m Message) {
	n.followLeader(m.From)
	n.commitTo(m.Commit)
	n.send(Message{Kind: MessageHeartbeatReply, To: m.From, Sequence: m.Sequence})
}

func (n *Node) handleHeartbeatReply(m Message) {
	p := n.recordReplyFrom(m.From)
	if p == nil || m.Sequence > n.leadership.sequence {
		return
	}
	p.recordHeartbeatReply(n.log.lastIndex(), n.config.MaxInflight)
	n.leadership.appendsDue = true
	if m.Sequence > p.ackedSequence {
		p.ackedSequence = m.Sequence
		n.recordAckedRound(p)
		n.completeReads()
	}
	n.continueTransfer(m.From)
}

// recordAckedRound sets p's acknowledged send time and commit index from the last
// round that p replied to.
func (n *Node) recordAckedRound(p *progress) {
	for _, round := range n.leadership.rounds {
		if round.sequence == p.ackedSequence {
			p.ackedSentAt = round.sentAt
			p.ackedCommit = round.commit
		}
	}
}

// LeaseValid reports whether, at now, the member is the only one that can act as
// leader. The lease starts when a heartbeat that a quorum has replied to was sent. Each
// of these voters refuses other candidates for an election timeout from when it
// received that heartbeat, which is later, and the lease is shorter than the election
// timeout. Callers do the work that needs the lease, then read the clock, then
// call LeaseValid with that reading.
func (n *Node) LeaseValid(now time.Duration) bool {
	if n.role != Leader || n.leadership.leaseDisabled || !n.committedInTerm() {
		return false
	}
	now = max(now, n.now)
	sentAt := quorumValue(n, now, func(p *progress) time.Duration {
		if p.ackedSequence == 0 {
			return -n.config.LeaseDuration
		}
		return p.ackedSentAt
	})
	return now < sentAt+n.config.LeaseDuration
}

// ReadIndex requests a ReadState for requestID. With a valid lease it is part of the
// next Ready; otherwise it follows once a quorum has replied to a heartbeat sent after
// this call. The caller chooses requestID, which should be unique among its pending
// reads. If leadership is lost first, requestID is returned in Ready.AbortedReads. The
// error is ErrNotLeader.
func (n *Node) ReadIndex(now time.Duration, requestID uint64) error {
	n.advanceClock(now)
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.LeaseValid(n.now) {
		n.readStates = append(n.readStates, ReadState{RequestID: requestID, Index: n.log.committed})
		return nil
	}
	n.leadership.reads = append(n.leadership.reads, readRequest{requestID, n.leadership.sequence + 1})
	n.leadership.heartbeatDue = true
	return nil
}

// completeReads emits ReadStates for the reads whose round a quorum has replied to. It
// waits until the leader has committed in its own term, because only then does it
// know everything that earlier terms committed.
func (n *Node) completeReads() {
	lead := n.leadership
	if len(lead.reads) == 0 || !n.committedInTerm() {
		return
	}
	answered := quorumValue(n, lead.sequence, func(p *progress) uint64 { return p.ackedSequence })
	for len(lead.reads) > 0 && lead.reads[0].sequence <= answered {
		n.readStates = append(n.readStates, ReadState{RequestID: lead.reads[0].requestID, Index: n.log.committed})
		lead.reads = lead.reads[1:]
	}
}
