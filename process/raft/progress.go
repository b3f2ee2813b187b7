package raft

import (
	"slices"
	"time"
)

// progressState is how a leader sends entries to one follower.
type progressState uint8

const (
	progressProbe     progressState = iota // one message at a time, looking for the matching index
	progressReplicate                      // pipelined, next moves on at sending
	progressSnapshot                       // a snapshot is on its way
)

// progress is a leader's view of one other member. match only rises within a
// term, and match < next always holds.
type progress struct {
	match uint64 // persisted by the member
	next  uint64 // next entry to send
	state progressState

	awaitingReply bool     // probe: a message is out
	inflight      []uint64 // replicate: last index of each unanswered message, rising
	forceAppend   bool     // send a message even without entries, to learn what was lost

	snapshotIndex  uint64        // snapshot: its index
	snapshotSentAt time.Duration // snapshot: when it was last sent

	commitSent    uint64        // commit index last sent with entries
	lastActive    time.Duration // last reply in this term
	everActive    bool          // has replied in this term at all
	ackedSequence uint64        // highest heartbeat round answered
	ackedSentAt   time.Duration // when that round was sent
	ackedCommit   uint64        // commit index when that round was sent
}

// blocked tells whether flow control forbids another append message.
func (p *progress) blocked(maxInflight int) bool {
	switch p.state {
	case progressProbe:
		return p.awaitingReply
	case progressReplicate:
		return len(p.inflight) >= maxInflight
	default:
		return true
	}
}

// wants tells whether an append message would tell the member anything new.
func (p *progress) needsAppend(lastIndex, committed uint64) bool {
	if p.state == progressProbe || p.forceAppend {
		return true
	}
	return p.next <= lastIndex || p.commitSent < committed
}

// sent records an append message with entries through lastSent.
func (p *progress) recordAppendSent(lastSent, committed uint64) {
	p.forceAppend = false
	p.commitSent = committed
	if p.state == progressProbe {
		p.awaitingReply = true
		return
	}
	if lastSent >= p.next {
		p.inflight = append(p.inflight, lastSent)
		p.next = lastSent + 1
	}
}

// acknowledge raises match; it reports whether the message was news.
func (p *progress) acknowledge(index uint64) bool {
	p.awaitingReply = false
	answered, _ := slices.BinarySearch(p.inflight, index+1)
	p.inflight = slices.Delete(p.inflight, 0, answered)
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}

// settle leaves probing or the snapshot once the member's log is known to match.
func (p *progress) finishProbeOrSnapshot() {
	switch p.state {
	case progressProbe:
		p.state = progressReplicate
		p.next = p.match + 1
		p.inflight = p.inflight[:0]
	case progressSnapshot:
		if p.match >= p.snapshotIndex {
			p.probeFrom(p.match + 1)
		}
	}
}

// probeFrom goes back to one message at a time.
func (p *progress) probeFrom(next uint64) {
	p.state = progressProbe
	p.next = max(next, p.match+1)
	p.awaitingReply = false
	p.inflight = p.inflight[:0]
	p.commitSent = 0
}

// startSnapshot records that a snapshot was sent.
func (p *progress) recordSnapshotSent(index uint64, now time.Duration) {
	p.state = progressSnapshot
	p.snapshotIndex = index
	p.snapshotSentAt = now
	p.inflight = p.inflight[:0]
}

// reply records any reply of the member.
func (p *progress) recordReply(now time.Duration) {
	p.lastActive = now
	p.everActive = true
}

// heartbeatAnswered lets messages flow again that wait for a lost answer.
func (p *progress) recordHeartbeatReply(lastIndex uint64, maxInflight int) {
	p.awaitingReply = false
	if p.state == progressReplicate && len(p.inflight) >= maxInflight {
		p.inflight = slices.Delete(p.inflight, 0, 1)
	}
	if p.match < lastIndex {
		p.forceAppend = true
	}
}
