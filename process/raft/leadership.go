package raft

import (
	"slices"
	"time"
)

// leadership is the state that a member keeps only while it is the leader.
type leadership struct {
	progress map[MemberID]*progress // every other member
	members  []MemberID             // the keys of progress in ascending order

	firstIndex       uint64 // index of the empty entry that started the term
	uncommittedBytes int
	appendsDue       bool // append messages may have to be sent to some member

	heartbeatDue  bool
	nextHeartbeat time.Duration
	rounds        []heartbeatRound // recent enough to extend the lease, oldest first
	sequence      uint64           // of the last round sent

	reads    []readRequest
	transfer *transfer // nil unless leadership is being transferred
	// leaseDisabled is set for the rest of the term once MessageTimeoutNow was sent
	// to another member, because voters then don't wait for the lease to expire.
	leaseDisabled bool
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.heardLeader = true
	n.leaderID = n.config.ID
	n.voteReplies = nil
	n.leadership = &leadership{
		progress:     make(map[MemberID]*progress),
		heartbeatDue: true,
	}
	n.leadership.nextHeartbeat = n.now + n.config.HeartbeatInterval
	for _, entry := range n.log.slice(n.log.committed, n.log.lastIndex()) {
		n.leadership.uncommittedBytes += entry.size()
	}
	n.updateTrackedMembers()
	n.leadership.firstIndex = n.appendAsLeader(EntryEmpty, nil)
}

// endLeadership discards the leadership state, if any, and aborts pending reads.
func (n *Node) endLeadership() {
	if n.leadership == nil {
		return
	}
	for _, read := range n.leadership.reads {
		n.abortedReads = append(n.abortedReads, read.requestID)
	}
	n.leadership = nil
}

// updateTrackedMembers makes progress track the members of the latest configuration
// and, until that is committed, of the previous one, so that a removed member still
// receives the entry of its removal.
func (n *Node) updateTrackedMembers() {
	lead := n.leadership
	wanted := n.configurations.latest().configuration.members()
	for _, member := range n.configurations.at(n.log.committed).members() {
		if !slices.Contains(wanted, member) {
			wanted = append(wanted, member)
		}
	}
	wanted = deleteMember(wanted, n.config.ID)
	slices.Sort(wanted)
	for _, member := range lead.members {
		if !slices.Contains(wanted, member) {
			delete(lead.progress, member)
		}
	}
	for _, member := range wanted {
		if lead.progress[member] == nil {
			lead.progress[member] = &progress{next: n.log.lastIndex() + 1, lastActive: n.now}
		}
	}
	lead.members = wanted
	lead.appendsDue = true
}

// tickLeader runs the leader's time-based work.
func (n *Node) tickLeader() {
	if !n.quorumActive() {
		n.becomeFollower(n.term, None)
		return
	}
	n.tickTransfer()
	if n.role != Leader {
		return
	}
	n.retrySnapshots()
	if n.now >= n.leadership.nextHeartbeat {
		n.leadership.heartbeatDue = true
	}
}

// recentlyActive reports whether the member replied within the last election timeout.
// A member counts as active from the time the leader starts to track it.
func (n *Node) recentlyActive(p *progress) bool {
	return n.now < p.lastActive+n.config.ElectionTimeout
}

// quorumActive implements check-quorum: a leader that doesn't hear from a quorum steps
// down, so that callers of the control group turn to another member.
func (n *Node) quorumActive() bool {
	active := 0
	for _, voter := range n.configurations.latest().configuration.Voters {
		if voter == n.config.ID || n.recentlyActive(n.leadership.progress[voter]) {
			active++
		}
	}
	return active >= n.quorum()
}

// quorumValue returns the highest value that a quorum of voters has reached. own is
// the leader's value, which counts only if the leader is a voter. of returns the value
// of another member.
func quorumValue[T uint64 | time.Duration](n *Node, own T, valueOf func(*progress) T) T {
	voters := n.configurations.latest().configuration.Voters
	values := make([]T, 0, len(voters))
	for _, voter := range voters {
		if voter == n.config.ID {
			values = append(values, own)
		} else {
			values = append(values, valueOf(n.leadership.progress[voter]))
		}
	}
	slices.Sort(values)
	return values[len(values)-n.quorum()]
}
