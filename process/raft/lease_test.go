package raft

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLeaseStartsWhenHeartbeatIsSent(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.nodes[1]
	sentAt := g.now + simHeartbeatInterval
	leader.Tick(sentAt)
	messages, _ := drain(leader)
	must.Eq(t, MessageHeartbeat, messages[0].Kind)
	answer := Message{Kind: MessageHeartbeatReply, From: 2, To: 1, Term: 1, Sequence: messages[0].Sequence}
	must.NoError(t, leader.Step(sentAt+simLeaseDuration/2, answer))
	must.True(t, leader.LeaseValid(sentAt+simLeaseDuration-1))
	must.False(t, leader.LeaseValid(sentAt+simLeaseDuration), must.Sprint("one reply completes a quorum of three, until the lease expires"))
	must.False(t, g.nodes[2].LeaseValid(sentAt))
}

func TestLeaseNeedsQuorumAndOwnTerm(t *testing.T) {
	g := newGroup(t, 5)
	leader := g.nodes[1]
	g.isolate(3, 4, 5)
	start := g.now
	for g.now < start+simLeaseDuration {
		must.True(t, leader.LeaseValid(g.now))
		g.now += simHeartbeatInterval
		leader.Tick(g.now)
		g.deliverAll()
	}
	must.False(t, leader.LeaseValid(g.now), must.Sprint("quorum of five needs more than two"))

	alone, err := New(testConfig(1), InitialState{Configuration: voters(1)})
	must.NoError(t, err)
	alone.Tick(0)
	alone.Tick(2 * simElectionTimeout)
	must.Eq(t, Leader, alone.role)
	must.False(t, alone.LeaseValid(2*simElectionTimeout), must.Sprint("no entry of the term is committed"))
	drain(alone)
	must.True(t, alone.LeaseValid(9*simElectionTimeout))
}

func TestReadIndex(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.nodes[1]
	must.ErrorIs(t, g.nodes[2].ReadIndex(g.now, 1), ErrNotLeader)
	must.NoError(t, leader.ReadIndex(g.now, 1))
	_, reads := drain(leader)
	must.Eq(t, []ReadState{{1, 1}}, reads, must.Sprint("immediately under a valid lease"))

	g.now += simLeaseDuration
	must.NoError(t, leader.ReadIndex(g.now, 2))
	messages, reads := drain(leader)
	must.SliceEmpty(t, reads)
	answer := Message{Kind: MessageHeartbeatReply, From: 2, To: 1, Term: 1, Sequence: messages[0].Sequence - 1}
	must.NoError(t, leader.Step(g.now, answer))
	_, reads = drain(leader)
	must.SliceEmpty(t, reads, must.Sprint("the reply is to a round before the read"))
	answer.Sequence++
	must.NoError(t, leader.Step(g.now, answer))
	_, reads = drain(leader)
	must.Eq(t, []ReadState{{2, 1}}, reads)

	g.now += simLeaseDuration
	must.NoError(t, leader.ReadIndex(g.now, 3))
	leader.Tick(g.now + simElectionTimeout)
	must.Eq(t, []uint64{3}, leader.Ready().AbortedReads)
}

// A follower that completed the lease's quorum restarts. The other follower, which never
// received a heartbeat of the lease, must not win an election with its vote.
func TestLeaseSurvivesFollowerRestart(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(3)
	g.advanceTime(2 * simElectionTimeout)
	must.True(t, g.nodes[1].LeaseValid(g.now))
	restarted, err := New(testConfig(2), InitialState{
		HardState: g.nodes[2].hardState(), Entries: g.nodes[2].log.entries, Configuration: voters(1, 2, 3),
	})
	must.NoError(t, err)
	g.nodes[2] = restarted
	g.isolate(1)
	g.now += time.Millisecond
	g.nodes[2].Tick(g.now)
	g.nodes[3].electionDeadline = g.now
	g.nodes[3].Tick(g.now)
	g.deliverAll()
	must.True(t, g.nodes[1].LeaseValid(g.now))
	must.NotEq(t, Leader, g.nodes[3].role)
}

// A leader whose machine was suspended notices it only once it reads its clock after the
// resume. With that first reading it has no lease, and it steps down at the next tick. A
// voter that resumes still honors the lease of any leader that it hears from then on.
func TestResumedLeaderHasNoLease(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.nodes[1]
	g.advanceTime(2 * simHeartbeatInterval)
	must.True(t, leader.LeaseValid(g.now))
	resumedAt := g.now + 10*simElectionTimeout
	must.False(t, leader.LeaseValid(resumedAt))
	must.NoError(t, leader.ReadIndex(resumedAt, 7))
	leader.Tick(resumedAt)
	must.Eq(t, Follower, leader.role)
	_, _, err := leader.Propose(resumedAt, []byte("late"))
	must.ErrorIs(t, err, ErrNotLeader)
}
