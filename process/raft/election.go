package raft

import (
	"slices"
	"time"
)

// promotable tells whether the member may campaign: it votes in the latest
// configuration or in the committed one. The second matters for a member whose
// removal is not committed: it may hold the only copy of that entry, and then
// nobody else can win.
func (n *Node) promotable() bool {
	if n.configurations.latest().configuration.isVoter(n.config.ID) {
		return true
	}
	return n.configurations.at(n.log.committed).isVoter(n.config.ID)
}

// refreshRole adapts the role to a configuration that was appended, replaced or
// committed.
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

// leaseGuarded tells whether a vote could break a lease: the member leads, or
// has within an election timeout heard from a leader or started.
func (n *Node) leaseMayBeHeld() bool {
	return n.role == Leader || n.now < n.leaderContact+n.config.ElectionTimeout
}

// isUnled tells whether the member is guarded by its start alone: it may have promised a
// lease just before, to whom it does not know, and has heard of no leader since.
func (n *Node) leaseMayPredateStart() bool {
	return n.leaseMayBeHeld() && n.role != Leader && !n.heardLeader
}

// Parts of an election timeout after which a member that is unled asks for votes: at
// least one in unledLeast, and up to one in unledSpread more: some 200 ms of spread, where
// an election takes 10, keep two from asking at once four times in five.
const (
	restartMinDelayDivisor    = 16
	restartDelaySpreadDivisor = 2
)

// resetElectionDeadline waits for between one and two election timeouts from now, and
// for much less while the member is unled.
func (n *Node) resetElectionDeadline() {
	timeout := n.config.ElectionTimeout
	least, spread := timeout, timeout
	if n.leaseMayPredateStart() {
		least, spread = timeout/restartMinDelayDivisor, timeout/restartDelaySpreadDivisor
	}
	n.electionDeadline = n.now + least + time.Duration(n.random.Int64N(int64(max(spread, 1))))
}

// becomeFollower enters term, where it is newer, and follows leader, None when
// it is not known.
func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.term {
		n.term = term
		n.vote = None
	}
	wasActive := n.role == Leader || n.role == PreCandidate || n.role == Candidate
	n.endLeadership()
	n.voteReplies = nil
	n.leaderID = leader
	n.role = Follower
	if wasActive {
		n.resetElectionDeadline()
	}
	n.updateRole()
}

// followLeader records that the term's leader was heard.
func (n *Node) followLeader(leader MemberID) {
	if n.role == PreCandidate || n.role == Candidate || n.leaderID != leader {
		n.becomeFollower(n.term, leader)
	}
	n.leaderContact = n.now
	n.heardLeader = true
	n.resetElectionDeadline()
}

// startPreElection asks whether an election could be won, before the term is
// raised for it, so that a member that was cut off disturbs nobody.
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

// electionKind tells what a candidate may count on.
type electionKind uint8

const (
	// electionByQuorum is won by a quorum of voters who have promised no lease.
	electionByQuorum electionKind = iota
	// electionByTransfer is won by a quorum as well: the leader that holds the lease
	// asked for it.
	electionByTransfer
	// electionByAll is won by the votes of all voters, and is held where only their
	// start keeps some of them from voting, as after a stop of the whole group.
	//
	// Invariant: no lease is broken by it. Whoever holds a lease is a voter of the
	// latest configuration or of the committed one, so it has voted as well, and a
	// leader that votes in a later term leads no more.
	electionUnanimous
)

// startElection raises the term and asks for votes in it. The member's own vote
// is synced with the Ready that lets the requests go.
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

// preVoteQuestion names what the member's pre-votes ask for: a successor of the leader
// that it heard last. Answers to further rounds of the same question add up, so that one
// can be won where an answer takes longer than a round; once a leader was heard, what
// others said before is out of date.
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

// allVoters returns the voters of the latest configuration, and those of the committed
// one that it lacks.
func (n *Node) allVoters() []MemberID {
	voters := slices.Clone(n.configurations.latest().configuration.Voters)
	for _, voter := range n.configurations.at(n.log.committed).Voters {
		if !slices.Contains(voters, voter) {
			voters = append(voters, voter)
		}
	}
	return voters
}

// countBallots counts the answers of the latest configuration's voters.
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

// allGrant tells whether each voter has granted its vote, in one of the counts.
func (n *Node) grantedByAll(counts ...map[MemberID]bool) bool {
	for _, voter := range n.allVoters() {
		if !slices.ContainsFunc(counts, func(count map[MemberID]bool) bool { return count[voter] }) {
			return false
		}
	}
	return true
}

// electionLost tells whether the voters that are left can't make a quorum.
func (n *Node) electionIsLost() bool {
	_, refused := n.countVotes()
	return len(n.configurations.latest().configuration.Voters)-refused < n.quorum()
}

// mayVote tells whether the member takes part in votes at all. One that was
// never sent a configuration doesn't: its disk may be a lost one. A learner does
// when asked, because a candidate counts it only where its promotion is already
// in the candidate's log, and then its vote may be the one that is needed.
func (n *Node) mayVote() bool {
	return !n.configurations.latest().configuration.isEmpty()
}

func (n *Node) handlePreVote(m Message) {
	if !n.mayVote() {
		return
	}
	granted := m.Term > n.term && (!n.leaseMayBeHeld() || n.leaseMayPredateStart()) && n.log.upToDate(m.LogTerm, m.Index)
	if granted {
		n.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term, Sequence: m.Sequence, Unanimous: n.leaseMayPredateStart()})
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
	// Members of an earlier version do not repeat the question.
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

// guardedFrom tells whether a vote for the candidate could break a lease.
func (n *Node) voteMayBreakLease(m Message) bool {
	if m.Transfer || m.Unanimous && n.leaseMayPredateStart() {
		return false
	}
	return n.leaseMayBeHeld()
}

// handleVote grants at most one vote a term. The vote is part of the HardState
// that is synced before the reply is sent.
func (n *Node) handleVote(m Message) {
	if !n.mayVote() {
		return
	}
	free := n.vote == m.From || (n.vote == None && n.leaderID == None)
	granted := free && !n.voteMayBreakLease(m) && n.log.upToDate(m.LogTerm, m.Index)
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
