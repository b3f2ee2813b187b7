package raft

import (
	"slices"
	"time"
)

// promotable reports whether the member may campaign, that is, whether it is a
// voter in the latest or in the committed configuration. The committed one counts
// because a member whose removal is not committed may hold the only copy of that
// entry, and then no other member can win an election.
func (n *Node) promotable() bool {
	if n.configurations.latest().configuration.isVoter(n.config.ID) {
		return true
	}
	return n.configurations.at(n.log.committed).isVoter(n.config.ID)
}

// updateRole switches between Learner and Follower after a configuration was
// appended, replaced or committed.
func (n *Node) updateRole() {
	promotable := n.promotable()
	switch {
	case n.role == Leader:
		return
	case !promotable:
		n.role = Learner
		n.voteReplies = nil
	case n.role == Learner:
		n.role = Follower
		n.resetElectionDeadline()
	}
}

// leaseMayBeHeld reports whether granting a vote could break a leader's lease: the
// member is the leader, or heard from a leader or started less than an election
// timeout ago.
func (n *Node) leaseMayBeHeld() bool {
	return n.role == Leader || n.now < n.leaderContact+n.config.ElectionTimeout
}

// onlyRecentStartBlocksVote reports whether leaseMayBeHeld holds only because the member
// started recently: it may have acknowledged a lease of an unknown leader just before
// the restart, and has not heard from any leader since.
func (n *Node) onlyRecentStartBlocksVote() bool {
	return n.leaseMayBeHeld() && n.role != Leader && !n.heardLeader
}

// After a restart, while onlyRecentStartBlocksVote, the election delay is at least
// ElectionTimeout/restartMinDelayDivisor plus a random part of up to
// ElectionTimeout/restartDelaySpreadDivisor. The random part makes simultaneous
// candidacies unlikely: with a spread of 200 ms and elections that take 10 ms they are
// avoided in about four of five cases.
const (
	restartMinDelayDivisor    = 16
	restartDelaySpreadDivisor = 2
)

// resetElectionDeadline sets the next election between one and two election timeouts
// from now, or much sooner while onlyRecentStartBlocksVote.
func (n *Node) resetElectionDeadline() {
	timeout := n.config.ElectionTimeout
	least, spread := timeout, timeout
	if n.onlyRecentStartBlocksVote() {
		least, spread = timeout/restartMinDelayDivisor, timeout/restartDelaySpreadDivisor
	}
	n.electionDeadline = n.now + least + time.Duration(n.random.Int64N(int64(max(spread, 1))))
}

// becomeFollower enters term if it is newer and follows leader, which is None if
// unknown. The role becomes Learner if the member may not campaign.
func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.term {
		n.term = term
		n.vote = None
	}
	ledOrCampaigned := n.role == Leader || n.role == PreCandidate || n.role == Candidate
	n.endLeadership()
	n.voteReplies = nil
	n.leaderID = leader
	n.role = Follower
	if ledOrCampaigned {
		n.resetElectionDeadline()
	}
	n.updateRole()
}

// followLeader records a message from the leader of the current term.
func (n *Node) followLeader(leader MemberID) {
	if n.role == PreCandidate || n.role == Candidate || n.leaderID != leader {
		n.becomeFollower(n.term, leader)
	}
	n.leaderContact = n.now
	n.heardLeader = true
	n.resetElectionDeadline()
}

// startPreElection sends pre-votes to find out whether an election could be won. If the
// member's own vote suffices, it starts the election at once. The term is raised only
// afterwards, so that a partitioned member does not disrupt the group when it
// reconnects.
func (n *Node) startPreElection() {
	n.role = PreCandidate
	n.leaderID = None
	n.resetElectionDeadline()
	n.voteReplies = map[MemberID]bool{n.config.ID: true}
	n.unanimousGrants = map[MemberID]bool{}
	if n.electionIsWon() {
		n.startElection(electionByQuorum)
		return
	}
	n.requestVotes(MessagePreVote, n.term+1, electionByQuorum)
}

// electionKind determines which votes a candidate needs and whether voters wait for a
// lease to expire.
type electionKind uint8

const (
	// electionByQuorum needs a quorum of voters, each of which grants its vote only when
	// it can no longer be bound by a leader's lease.
	electionByQuorum electionKind = iota
	// electionByTransfer needs a quorum too; leases do not prevent votes because the
	// leader that holds the lease requested the election.
	electionByTransfer
	// electionUnanimous needs the votes of all voters. It is used if some voters
	// refuse other elections only because they started less than an election timeout
	// ago, as after a restart of the whole group.
	//
	// Invariant: it breaks no lease. A lease holder is a voter of the latest or of the
	// committed configuration, so it has voted too, and a leader that votes in a later
	// term steps down.
	electionUnanimous
)

// startElection raises the term and requests votes in it. If the member's own vote
// suffices, it becomes the leader at once. The member's own vote is synced as part of
// the Ready that carries the requests.
func (n *Node) startElection(kind electionKind) {
	n.role = Candidate
	n.election = kind
	n.term++
	n.vote = n.config.ID
	n.leaderID = None
	n.resetElectionDeadline()
	n.voteReplies = map[MemberID]bool{n.config.ID: true}
	if n.electionIsWon() {
		n.becomeLeader()
		return
	}
	n.requestVotes(MessageVote, n.term, kind)
}

// preVoteID identifies the member's pre-votes since its last leader contact. It is the
// time of that contact, so it changes with the next one and older replies become invalid.
// Replies to all pre-votes with the same ID count together, so that a pre-election can be
// won even if replies take longer than its election delay.
func (n *Node) preVoteID() uint64 { return uint64(n.leaderContact) }

func (n *Node) requestVotes(kind MessageKind, term uint64, election electionKind) {
	voters := n.configurations.latest().configuration.Voters
	if kind == MessagePreVote || election == electionUnanimous {
		voters = n.allVoters()
	}
	for _, voter := range voters {
		if voter == n.config.ID {
			continue
		}
		request := Message{
			Kind:      kind,
			To:        voter,
			Term:      term,
			Index:     n.log.lastIndex(),
			LogTerm:   n.log.lastTerm(),
			Transfer:  election == electionByTransfer,
			Unanimous: election == electionUnanimous,
		}
		if kind == MessagePreVote {
			request.Sequence = n.preVoteID()
		}
		n.send(request)
	}
}

// allVoters returns the union of the voters of the latest and the committed
// configuration.
func (n *Node) allVoters() []MemberID {
	voters := slices.Clone(n.configurations.latest().configuration.Voters)
	for _, voter := range n.configurations.at(n.log.committed).Voters {
		if !slices.Contains(voters, voter) {
			voters = append(voters, voter)
		}
	}
	return voters
}

// countVotes counts the replies of the voters in the latest configuration.
func (n *Node) countVotes() (granted, refused int) {
	for _, voter := range n.configurations.latest().configuration.Voters {
		answer, answered := n.voteReplies[voter]
		switch {
		case answered && answer:
			granted++
		case answered:
			refused++
		}
	}
	return granted, refused
}

// quorum returns the number of votes that form a majority of the latest configuration.
func (n *Node) quorum() int {
	return len(n.configurations.latest().configuration.Voters)/2 + 1
}

func (n *Node) electionIsWon() bool {
	if n.role == Candidate && n.election == electionUnanimous {
		return n.grantedByAll(n.voteReplies)
	}
	granted, _ := n.countVotes()
	return granted >= n.quorum()
}

// grantedByAll reports whether each voter has granted its vote in at least one of counts.
func (n *Node) grantedByAll(counts ...map[MemberID]bool) bool {
	for _, voter := range n.allVoters() {
		if !slices.ContainsFunc(counts, func(count map[MemberID]bool) bool { return count[voter] }) {
			return false
		}
	}
	return true
}

// electionIsLost reports whether the voters that have not refused cannot form a quorum.
func (n *Node) electionIsLost() bool {
	_, refused := n.countVotes()
	return len(n.configurations.latest().configuration.Voters)-refused < n.quorum()
}

// mayVote reports whether the member takes part in elections at all. A member that
// never received a configuration doesn't, because it may have lost its disk. A
// learner votes when asked: a candidate counts its vote only if the learner's
// promotion is already in the candidate's log. In that case the vote may be needed.
func (n *Node) mayVote() bool {
	return !n.configurations.latest().configuration.isEmpty()
}

func (n *Node) handlePreVote(m Message) {
	if !n.mayVote() {
		return
	}
	granted := m.Term > n.term && (!n.leaseMayBeHeld() || n.onlyRecentStartBlocksVote()) && n.log.upToDate(m.LogTerm, m.Index)
	if granted {
		n.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term, Sequence: m.Sequence, Unanimous: n.onlyRecentStartBlocksVote()})
		return
	}
	n.send(Message{Kind: MessagePreVoteReply, To: m.From, Sequence: m.Sequence, Reject: true})
}

func (n *Node) handlePreVoteReply(m Message) {
	if n.role != PreCandidate {
		return
	}
	if !m.Reject && m.Term != n.term+1 {
		return
	}
	// Members of a version without pre-vote IDs reply with a zero Sequence.
	if m.Sequence != 0 && m.Sequence != n.preVoteID() {
		return
	}
	if m.Unanimous {
		n.unanimousGrants[m.From] = true
	} else {
		n.voteReplies[m.From] = !m.Reject
	}
	switch {
	case n.electionIsWon():
		n.startElection(electionByQuorum)
	case n.grantedByAll(n.voteReplies, n.unanimousGrants):
		n.startElection(electionUnanimous)
	case n.electionIsLost():
		n.becomeFollower(n.term, None)
	}
}

// voteMayBreakLease reports whether granting the vote request m could break a lease.
func (n *Node) voteMayBreakLease(m Message) bool {
	if m.Transfer || m.Unanimous && n.onlyRecentStartBlocksVote() {
		return false
	}
	return n.leaseMayBeHeld()
}

// handleVote grants at most one vote per term. The vote is part of the HardState
// that is synced before the reply is sent.
func (n *Node) handleVote(m Message) {
	if !n.mayVote() {
		return
	}
	mayGrant := n.vote == m.From || (n.vote == None && n.leaderID == None)
	granted := mayGrant && !n.voteMayBreakLease(m) && n.log.upToDate(m.LogTerm, m.Index)
	if granted {
		n.vote = m.From
		n.resetElectionDeadline()
	}
	n.send(Message{Kind: MessageVoteReply, To: m.From, Reject: !granted})
}

func (n *Node) handleVoteReply(m Message) {
	if n.role != Candidate {
		return
	}
	n.voteReplies[m.From] = !m.Reject
	switch {
	case n.electionIsWon():
		n.becomeLeader()
	case n.electionIsLost(), n.election == electionUnanimous && m.Reject:
		n.becomeFollower(n.term, None)
	}
}
