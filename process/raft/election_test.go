package raft

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestVotes requests a vote from a member whose log ends in (term 2, index 2).
func TestVotes(t *testing.T) {
	late := 3 * simElectionTimeout
	cases := []struct {
		name         string
		message      Message
		vote         MemberID
		now          time.Duration
		contact      time.Duration // time of a heartbeat from member 3 in term 2, if not zero
		unconfigured bool
		learner      bool
		granted      bool
		answered     bool
	}{
		{name: "longer log, same term", message: Message{Term: 2, LogTerm: 2, Index: 3}, now: late, granted: true, answered: true},
		{name: "longer log", message: Message{Term: 3, LogTerm: 2, Index: 3}, now: late, granted: true, answered: true},
		{name: "same log", message: Message{Term: 3, LogTerm: 2, Index: 2}, now: late, granted: true, answered: true},
		{name: "shorter log", message: Message{Term: 3, LogTerm: 2, Index: 1}, now: late, answered: true},
		{name: "older last term", message: Message{Term: 3, LogTerm: 1, Index: 9}, now: late, answered: true},
		{name: "older term", message: Message{Term: 1, LogTerm: 2, Index: 9}, now: late, answered: true},
		{name: "voted for another", message: Message{Term: 2, LogTerm: 2, Index: 9}, vote: 3, now: late, answered: true},
		{name: "voted for the same", message: Message{Term: 2, LogTerm: 2, Index: 9}, vote: 2, now: late, granted: true, answered: true},
		{name: "just started", message: Message{Term: 3, LogTerm: 2, Index: 9}, now: simElectionTimeout - 1},
		{name: "started a timeout ago", message: Message{Term: 3, LogTerm: 2, Index: 9}, now: simElectionTimeout, granted: true, answered: true},
		{name: "just started, transfer", message: Message{Term: 3, LogTerm: 2, Index: 9, Transfer: true}, granted: true, answered: true},
		{name: "heard a leader", message: Message{Term: 3, LogTerm: 2, Index: 9}, now: late, contact: late - simElectionTimeout + 1},
		{name: "heard a leader a timeout ago", message: Message{Term: 3, LogTerm: 2, Index: 9}, now: late, contact: late - simElectionTimeout, granted: true, answered: true},
		{name: "heard a leader, transfer", message: Message{Term: 3, LogTerm: 2, Index: 9, Transfer: true}, now: late, contact: late - 1, granted: true, answered: true},
		{name: "heard a leader of the same term a timeout ago", message: Message{Term: 2, LogTerm: 2, Index: 9}, now: late, contact: late - simElectionTimeout, answered: true},
		{name: "no configuration yet", message: Message{Term: 3, LogTerm: 2, Index: 9}, now: late, unconfigured: true},
		{name: "no configuration yet, same term", message: Message{Term: 2, LogTerm: 2, Index: 9}, now: late, unconfigured: true},
		{name: "learner by its own log", message: Message{Term: 3, LogTerm: 2, Index: 9}, now: late, learner: true, granted: true, answered: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			initial := InitialState{
				HardState:     HardState{Term: 2, Vote: c.vote},
				Entries:       []Entry{{Term: 1, Index: 1}, {Term: 2, Index: 2}},
				Configuration: voters(1, 2, 3),
			}
			if c.learner {
				initial.Configuration = Configuration{Voters: []MemberID{2}, Learners: []MemberID{1}}
			}
			if c.unconfigured {
				initial.Configuration = Configuration{}
			}
			node, err := New(testConfig(1), initial)
			must.NoError(t, err)
			must.NoError(t, node.Step(0, Message{Kind: MessageHeartbeatReply, From: 3, To: 1, Term: 2}))
			if c.contact > 0 {
				must.NoError(t, node.Step(c.contact, Message{Kind: MessageHeartbeat, From: 3, To: 1, Term: 2}))
				drain(node)
			}
			c.message.Kind, c.message.From, c.message.To = MessageVote, 2, 1
			must.NoError(t, node.Step(c.now, c.message))
			ready := node.Ready()
			if c.granted && c.vote != 2 {
				must.Eq(t, &HardState{Term: c.message.Term, Vote: 2}, ready.HardState)
				must.True(t, ready.MustSync)
			}
			must.Eq(t, c.answered, len(ready.Messages) == 1)
			if c.answered {
				must.Eq(t, c.granted, !ready.Messages[0].Reject)
			}
		})
	}
}

// A member may learn of a higher term from messages other than vote requests. The lease
// that it acknowledged before must still prevent it from voting in that term.
func TestLeaseHoldsAfterTermIncrease(t *testing.T) {
	node, err := New(testConfig(1), InitialState{Configuration: voters(1, 2, 3)})
	must.NoError(t, err)
	contact := 3 * simElectionTimeout
	must.NoError(t, node.Step(contact, Message{Kind: MessageHeartbeat, From: 3, To: 1, Term: 2, Sequence: 1}))
	must.NoError(t, node.Step(contact, Message{Kind: MessageVoteReply, From: 2, To: 1, Term: 3, Reject: true}))
	must.Eq(t, 3, node.term)
	drain(node)
	for _, now := range []time.Duration{contact + simElectionTimeout - 1, contact + simElectionTimeout} {
		must.NoError(t, node.Step(now, Message{Kind: MessageVote, From: 2, To: 1, Term: 3}))
		replies, _ := drain(node)
		must.Eq(t, now < contact+simElectionTimeout, replies[0].Reject)
	}
}

func TestPreVoteDoesNotChangeState(t *testing.T) {
	node, err := New(testConfig(1), InitialState{Configuration: voters(1, 2, 3)})
	must.NoError(t, err)
	node.Tick(0)
	request := Message{Kind: MessagePreVote, From: 2, To: 1, Term: 1}
	for _, now := range []time.Duration{simElectionTimeout - 1, simElectionTimeout} {
		must.NoError(t, node.Step(now, request))
		replies, _ := drain(node)
		must.False(t, replies[0].Reject)
		must.Eq(t, now < simElectionTimeout, replies[0].Unanimous, must.Sprint("after a start only a unanimous election is granted"))
		must.Eq(t, HardState{}, node.hardState())
	}
	must.NoError(t, node.Step(simElectionTimeout, Message{Kind: MessageHeartbeat, From: 3, To: 1, Term: 1}))
	drain(node)
	request.Term = 2
	must.NoError(t, node.Step(2*simElectionTimeout-1, request))
	replies, _ := drain(node)
	must.True(t, replies[0].Reject, must.Sprint("after a heartbeat no pre-vote is granted"))
	must.False(t, replies[0].Unanimous)
}

// A voter may grant a pre-vote before a leader is heard, and acknowledge that leader's
// lease before its reply arrives. Such a late reply must not start an election. Replies
// of members of an earlier version carry no sequence and are always counted.
func TestPreVoteReplyFromBeforeLeaderContactIsIgnored(t *testing.T) {
	for name, test := range map[string]struct {
		answers func(asked Message) uint64
		want    Role
	}{
		"earlier request":                {func(asked Message) uint64 { return asked.Sequence }, PreCandidate},
		"a member of an earlier version": {func(Message) uint64 { return 0 }, Candidate},
	} {
		t.Run(name, func(t *testing.T) {
			node, err := New(testConfig(1), InitialState{Configuration: voters(1, 2, 3)})
			must.NoError(t, err)
			node.Tick(time.Second)
			ask := func(after time.Duration) Message {
				node.Tick(node.now + after)
				must.Eq(t, PreCandidate, node.role)
				requests, _ := drain(node)
				must.SliceNotEmpty(t, requests)
				return requests[0]
			}
			heartbeat := Message{Kind: MessageHeartbeat, From: 3, To: 1, Term: 1, Sequence: 1}
			must.NoError(t, node.Step(node.now, heartbeat))
			drain(node)
			before := ask(2 * simElectionTimeout)
			must.NoError(t, node.Step(node.now, heartbeat))
			must.Eq(t, Follower, node.role)
			drain(node)
			now := ask(2 * simElectionTimeout)
			must.Eq(t, before.Term, now.Term)
			late := Message{Kind: MessagePreVoteReply, From: 2, To: 1, Term: before.Term, Sequence: test.answers(before)}
			must.NoError(t, node.Step(node.now, late))
			must.Eq(t, test.want, node.role)
			late.Sequence = now.Sequence
			must.NoError(t, node.Step(node.now, late))
			must.Eq(t, Candidate, node.role)
		})
	}
}

// A voter echoes the request's sequence in its reply, granted or not.
func TestPreVoteReplyEchoesSequence(t *testing.T) {
	node, err := New(testConfig(1), InitialState{HardState: HardState{Term: 2}, Configuration: voters(1, 2, 3)})
	must.NoError(t, err)
	node.Tick(0)
	for term, granted := range map[uint64]bool{1: false, 2: false, 3: true} {
		request := Message{Kind: MessagePreVote, From: 2, To: 1, Term: term, Sequence: 7}
		must.NoError(t, node.Step(simElectionTimeout, request))
		replies, _ := drain(node)
		must.Eq(t, granted, !replies[0].Reject)
		must.Eq(t, 7, replies[0].Sequence)
	}
}

// A member that could not win must not raise the term.
func TestPreVoteNeedsAnUpToDateLog(t *testing.T) {
	node, err := New(testConfig(1), InitialState{
		HardState:     HardState{Term: 2},
		Entries:       []Entry{{Term: 1, Index: 1}, {Term: 2, Index: 2}},
		Configuration: voters(1, 2, 3),
	})
	must.NoError(t, err)
	node.Tick(0)
	for index := uint64(1); index <= 3; index++ {
		request := Message{Kind: MessagePreVote, From: 2, To: 1, Term: 3, LogTerm: 2, Index: index}
		must.NoError(t, node.Step(simElectionTimeout, request))
		replies, _ := drain(node)
		must.Eq(t, index < 2, replies[0].Reject)
	}
}

func TestRejectedPreVoteReplyOfTermZeroIsAccepted(t *testing.T) {
	node, err := New(testConfig(1), InitialState{Configuration: voters(1, 2, 3)})
	must.NoError(t, err)
	must.NoError(t, node.Step(0, Message{Kind: MessagePreVoteReply, From: 2, To: 1, Reject: true}))
}

func TestReconnectedMemberDoesNotDisruptLeader(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(3)
	g.advanceTime(10 * simElectionTimeout)
	must.Eq(t, PreCandidate, g.nodes[3].role)
	must.Eq(t, 1, g.nodes[3].term)
	g.filter = nil
	g.advanceTime(3 * simElectionTimeout)
	must.Eq(t, Status{ID: 3, Term: 1, Leader: 1, Commit: 1, Applied: 1, LastIndex: 1, Configuration: voters(1, 2, 3)}, g.nodes[3].Status())
}

// A member that lost its disk returns under a new ID, and callers use RecentlyActive to
// tell that the old ID is the one to remove. If the leader stalls, because of its disk or
// machine, the stall must not make the old ID count as active for longer. Otherwise the
// new ID would be taken for the one that is gone and be removed.
func TestLeaderStallDoesNotExtendMemberActivity(t *testing.T) {
	g := newGroup(t, 3)
	g.advanceTime(simHeartbeatInterval)
	g.isolate(3)
	g.now += simElectionTimeout - 2*simHeartbeatInterval
	g.nodes[1].Tick(g.now)
	g.deliverAll()
	g.advanceTime(3 * simHeartbeatInterval)
	must.Eq(t, Leader, g.nodes[1].role)
	active := g.nodes[1].Status().RecentlyActive
	must.True(t, active[2])
	must.False(t, active[3])
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(1)
	g.nodes[1].Tick(g.now + simElectionTimeout - 1)
	must.Eq(t, Leader, g.nodes[1].role)
	g.nodes[1].Tick(g.now + simElectionTimeout)
	must.Eq(t, Follower, g.nodes[1].role)
}

func TestOutdatedLeaderLearnsNewTerm(t *testing.T) {
	g := newGroup(t, 3)
	node := g.nodes[1]
	must.NoError(t, node.Step(g.now, Message{Kind: MessageHeartbeatReply, From: 2, To: 1, Term: 5, Reject: true}))
	must.Eq(t, Follower, node.role)
	must.NoError(t, node.Step(g.now, Message{Kind: MessageAppend, From: 2, To: 1, Term: 2}))
	messages, _ := drain(node)
	must.Eq(t, Message{Kind: MessageAppendReply, From: 1, To: 2, Term: 5, Reject: true}, messages[0])
}

func TestTransfer(t *testing.T) {
	g := newGroup(t, 3)
	must.ErrorIs(t, g.nodes[2].TransferLeadership(g.now, 1), ErrNotLeader)
	must.ErrorIs(t, g.nodes[1].TransferLeadership(g.now, 9), ErrUnknownMember)
	g.advanceTime(simHeartbeatInterval)
	must.True(t, g.nodes[1].LeaseValid(g.now))
	must.NoError(t, g.nodes[1].TransferLeadership(g.now, 2))
	must.False(t, g.nodes[1].LeaseValid(g.now))
	must.ErrorIs(t, g.nodes[1].TransferLeadership(g.now, 3), ErrTransferPending)
	_, _, err := g.nodes[1].Propose(g.now, nil)
	must.ErrorIs(t, err, ErrTransferPending)
	g.deliverAll()
	must.Eq(t, Leader, g.nodes[2].role)
	must.Eq(t, 2, g.nodes[1].leaderID)
}

// A transfer that times out ends the leader's term if the target was told to campaign and
// may still do so. Otherwise the leader stays in place.
func TestFailedTransfer(t *testing.T) {
	cases := []struct {
		name   string
		behind bool
		role   Role
	}{{"target was told", false, Follower}, {"target lacked entries", true, Leader}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(t, 3)
			g.isolate(2)
			if c.behind {
				g.propose("missing")
			}
			must.NoError(t, g.nodes[1].TransferLeadership(g.now, 2))
			for range 5 {
				g.now += simHeartbeatInterval
				g.nodes[1].Tick(g.now)
				g.deliverAll()
			}
			must.Eq(t, c.role, g.nodes[1].role)
			must.Eq(t, c.role == Leader, g.nodes[1].LeaseValid(g.now))
		})
	}
}

// restart replaces a member by a new node with the same persisted state.
func (g *group) restart(id MemberID, configuration Configuration) {
	old := g.nodes[id]
	restarted, err := New(testConfig(id), InitialState{
		HardState: old.hardState(), Entries: old.log.entries, Configuration: configuration,
	})
	must.NoError(g.t, err)
	g.nodes[id] = restarted
}

// timeToLeader advances time until there is a leader. It returns the leader and the
// elapsed time.
func (g *group) timeToLeader(limit time.Duration) (MemberID, time.Duration) {
	start := g.now
	for g.now < start+limit {
		g.now += time.Millisecond
		for _, id := range g.ids {
			g.nodes[id].Tick(g.now)
		}
		g.deliverAll()
		for _, id := range g.ids {
			if g.nodes[id].role == Leader {
				return id, g.now - start
			}
		}
	}
	return None, limit
}

// After a restart of the whole group no member holds a lease. All voters confirm this by
// their votes, so that an election need not wait for the election timeout.
func TestRestartedGroupElectsLeaderWithoutElectionTimeout(t *testing.T) {
	g := newGroup(t, 5)
	g.propose("before the stop")
	g.deliverAll()
	for _, id := range g.ids {
		g.restart(id, voters(1, 2, 3, 4, 5))
	}
	leader, took := g.timeToLeader(2 * simElectionTimeout)
	must.NotEq(t, None, leader)
	must.Less(t, simElectionTimeout, took)
}

// A voter that does not respond may hold a lease, so the others must wait until it has
// expired.
func TestElectionWaitsForLeaseOfSilentVoter(t *testing.T) {
	g := newGroup(t, 5)
	g.isolate(1)
	for _, id := range []MemberID{2, 3, 4, 5} {
		g.restart(id, voters(1, 2, 3, 4, 5))
	}
	start := g.now
	for g.nodes[1].LeaseValid(g.now) {
		g.now += time.Millisecond
		for _, id := range []MemberID{2, 3, 4, 5} {
			g.nodes[id].Tick(g.now)
		}
		g.deliverAll()
		for _, id := range []MemberID{2, 3, 4, 5} {
			must.NotEq(t, Leader, g.nodes[id].role)
		}
	}
	must.Greater(t, start, g.now)
	for _, id := range []MemberID{2, 3, 4, 5} {
		for g.nodes[id].now < start+simElectionTimeout {
			g.now += time.Millisecond
			for _, other := range []MemberID{2, 3, 4, 5} {
				g.nodes[other].Tick(g.now)
			}
			g.deliverAll()
			must.NotEq(t, Leader, g.nodes[id].role, must.Sprint("no leader before an election timeout has passed"))
		}
	}
}

// A running leader keeps its lease even if all other members have restarted: it grants no
// vote, and a unanimous election needs its vote.
func TestUnanimousElectionPreservesLease(t *testing.T) {
	g := newGroup(t, 5)
	for _, id := range []MemberID{2, 3, 4, 5} {
		g.restart(id, voters(1, 2, 3, 4, 5))
	}
	for _, id := range []MemberID{2, 3, 4, 5} {
		g.nodes[id].Tick(g.now)
		g.nodes[id].electionDeadline = g.now
		g.nodes[id].Tick(g.now)
	}
	g.deliverAll()
	must.Eq(t, Leader, g.nodes[1].role)
	must.Eq(t, 1, g.nodes[1].term)
	for _, id := range []MemberID{2, 3, 4, 5} {
		must.NotEq(t, Leader, g.nodes[id].role)
	}
}

// A quorum is not enough if the voters could not vote otherwise because of their recent
// start: one of the remaining voters may hold a lease that it gives up only when it
// receives the vote request.
func TestUnanimousElectionNeedsAllVotes(t *testing.T) {
	node, err := New(testConfig(1), InitialState{Configuration: voters(1, 2, 3)})
	must.NoError(t, err)
	node.Tick(0)
	node.electionDeadline = 0
	node.Tick(0)
	for _, from := range []MemberID{2, 3} {
		must.Eq(t, PreCandidate, node.role)
		must.NoError(t, node.Step(0, Message{Kind: MessagePreVoteReply, From: from, To: 1, Term: 1, Unanimous: true}))
	}
	must.Eq(t, Candidate, node.role)
	must.NoError(t, node.Step(0, Message{Kind: MessageVoteReply, From: 2, To: 1, Term: 1}))
	must.Eq(t, Candidate, node.role, must.Sprint("two of three"))
	must.NoError(t, node.Step(0, Message{Kind: MessageVoteReply, From: 3, To: 1, Term: 1}))
	must.Eq(t, Leader, node.role)
}
