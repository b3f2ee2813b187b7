package raft

import (
	"slices"
	"time"
)

// progressState determines how the leader sends entries to one member.
type progressState uint8

const (
	progressProbe     progressState = iota // one message at a time, until the matching index is found
	progressReplicate                      // pipelined: next advances when entries are sent
	progressSnapshot                       // a snapshot was sent and is not acknowledged
)

// progress is a leader's view of one other member. match never decreases within a
// term, and match < next always holds.
type progress struct {
	match uint64 // last index persisted by the member
	next  uint64 // index of the next entry to send
	state progressState

	awaitingReply bool     // probe: a message is unanswered
	inflight      []uint64 // replicate: last index of each unanswered message, ascending
	forceAppend   bool     // send a message even without new entries, to detect lost messages

	snapshotIndex  uint64        // snapshot: its index
	snapshotSentAt time.Duration // snapshot: when it was last sent

	commitSent    uint64        // commit index last sent with entries
	lastActive    time.Duration // time of the last reply in this term
	everActive    bool          // has replied in this term
	ackedSequence uint64        // highest heartbeat round replied to
	ackedSentAt   time.Duration // when that round was sent
	ackedCommit   uint64        // commit index when that round was sent
}

// blocked reports whether flow control prevents another append message.
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

// needsAppend reports whether an append message is useful for the member.
func (p *progress) needsAppend(lastIndex, committed uint64) bool {
	if p.state == progressProbe || p.forceAppend {
		return true
	}
	return p.next <= lastIndex || p.commitSent < committed
}

// recordAppendSent records that an append message with entries up to lastSent was sent.
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

// recordAcknowledged records that the member has persisted the log up to index. It reports
// whether match increased.
func (p *progress) recordAcknowledged(index uint64) bool {
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

// finishProbeOrSnapshot leaves the probe or snapshot state once the member's log is
// known to match.
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

// probeFrom enters the probe state with the given next index.
func (p *progress) probeFrom(next uint64) {
	p.state = progressProbe
	p.next = max(next, p.match+1)
	p.awaitingReply = false
	p.inflight = p.inflight[:0]
	p.commitSent = 0
}

// recordSnapshotSent enters the snapshot state.
func (p *progress) recordSnapshotSent(index uint64, now time.Duration) {
	p.state = progressSnapshot
	p.snapshotIndex = index
	p.snapshotSentAt = now
	p.inflight = p.inflight[:0]
}

// recordReply records that the member replied at now.
func (p *progress) recordReply(now time.Duration) {
	p.lastActive = now
	p.everActive = true
}

// recordHeartbeatReply lets one more append message be sent, because the reply that flow
// control waits for may be lost. It does so even if nothing was lost.
func (p *progress) recordHeartbeatReply(lastIndex uint64, maxInflight int) {
	p.awaitingReply = false
	if p.state == progressReplicate && len(p.inflight) >= maxInflight {
		p.inflight = slices.Delete(p.inflight, 0, 1)
	}
	if p.match < lastIndex {
		p.forceAppend = true
	}
}
