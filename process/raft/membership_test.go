package raft

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestChangeErrors(t *testing.T) {
	cases := []struct {
		name   string
		group  int
		before func(*group)
		asked  MemberID
		change ConfigurationChange
		want   error
	}{
		{"follower", 3, nil, 2, ConfigurationChange{ChangeAddLearner, 4}, ErrNotLeader},
		{"add a voter again", 3, nil, 1, ConfigurationChange{ChangeAddLearner, 2}, ErrInvalidChange},
		{"add None", 3, nil, 1, ConfigurationChange{ChangeAddLearner, None}, ErrInvalidChange},
		{"promote a non-member", 3, nil, 1, ConfigurationChange{ChangePromote, 4}, ErrUnknownMember},
		{"promote a voter", 3, nil, 1, ConfigurationChange{ChangePromote, 2}, ErrInvalidChange},
		{"remove a non-member", 3, nil, 1, ConfigurationChange{ChangeRemove, 4}, ErrUnknownMember},
		{"remove the last voter", 1, nil, 1, ConfigurationChange{ChangeRemove, 1}, ErrLastVoter},
		{"unknown kind", 3, nil, 1, ConfigurationChange{99, 2}, ErrInvalidChange},
		{"another is pending", 3, func(g *group) { g.change(ChangeAddLearner, 4) }, 1, ConfigurationChange{ChangeRemove, 2}, ErrChangePending},
		{"during a transfer", 3, func(g *group) { must.NoError(g.t, g.nodes[1].TransferLeadership(g.now, 2)) }, 1, ConfigurationChange{ChangeRemove, 3}, ErrTransferPending},
		{"learner never replied", 3, func(g *group) {
			g.isolate(4)
			g.change(ChangeAddLearner, 4)
			g.advanceTime(simHeartbeatInterval)
		}, 1, ConfigurationChange{ChangePromote, 4}, ErrNotCaughtUp},
		{"learner answers but lacks entries", 3, func(g *group) {
			g.filter = func(m Message) bool { return m.Kind != MessageAppend || m.To != 4 }
			g.change(ChangeAddLearner, 4)
			g.advanceTime(3 * simHeartbeatInterval)
		}, 1, ConfigurationChange{ChangePromote, 4}, ErrNotCaughtUp},
		{"learner no longer replies", 3, func(g *group) {
			g.change(ChangeAddLearner, 4)
			g.advanceTime(3 * simHeartbeatInterval)
			g.isolate(4)
			g.advanceTime(2 * simElectionTimeout)
		}, 1, ConfigurationChange{ChangePromote, 4}, ErrNotCaughtUp},
		{"learner has caught up", 3, func(g *group) {
			g.change(ChangeAddLearner, 4)
			g.advanceTime(3 * simHeartbeatInterval)
		}, 1, ConfigurationChange{ChangePromote, 4}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(t, c.group)
			if c.before != nil {
				c.before(g)
			}
			_, _, err := g.nodes[c.asked].ProposeChange(g.now, c.change)
			if c.want == nil {
				must.NoError(t, err)
				return
			}
			must.ErrorIs(t, err, c.want)
		})
	}
}

func TestChangeWaitsForOwnTerm(t *testing.T) {
	g := newGroup(t, 3)
	g.filter = func(m Message) bool { return m.Kind != MessageAppend }
	must.NoError(t, g.nodes[1].TransferLeadership(g.now, 2))
	g.deliverAll()
	must.Eq(t, Leader, g.nodes[2].role)
	_, _, err := g.nodes[2].ProposeChange(g.now, ConfigurationChange{ChangeRemove, 3})
	must.ErrorIs(t, err, ErrTermNotCommitted)
}

func TestLearnerBecomesVoter(t *testing.T) {
	g := newGroup(t, 3)
	g.advanceTime(5 * simElectionTimeout)
	must.Eq(t, Learner, g.nodes[4].role)
	must.Eq(t, 0, g.nodes[4].term, must.Sprint("a member without a configuration never campaigns"))
	g.change(ChangeAddLearner, 4)
	g.advanceTime(3 * simHeartbeatInterval)
	must.Eq(t, Learner, g.nodes[4].role)
	must.Eq(t, g.nodes[1].log.applied, g.nodes[4].log.applied)
	g.change(ChangePromote, 4)
	g.deliverAll()
	must.Eq(t, Follower, g.nodes[4].role)
	must.Eq(t, voters(1, 2, 3, 4), g.nodes[4].Status().Configuration)
}

func TestRemovedMembers(t *testing.T) {
	g := newGroup(t, 3)
	g.change(ChangeRemove, 3)
	g.deliverAll()
	must.Eq(t, Learner, g.nodes[3].role, must.Sprint("it was notified of its removal"))
	g.change(ChangeRemove, 1)
	g.deliverAll()
	must.Eq(t, Learner, g.nodes[1].role)
	must.Eq(t, Leader, g.nodes[2].role, must.Sprint("it was told to campaign at once"))
	must.Eq(t, voters(2), g.nodes[2].Status().Configuration)
}

// An isolated leader alone holds the uncommitted entry of its own removal from a group of
// two. Only it can win the next election, so it must still campaign.
func TestUncommittedRemovalAllowsElection(t *testing.T) {
	g := newGroup(t, 2)
	g.isolate(1)
	g.change(ChangeRemove, 1)
	g.advanceTime(4 * simElectionTimeout)
	g.filter = nil
	g.advanceTime(6 * simElectionTimeout)
	must.Eq(t, Leader, g.nodes[2].role)
	must.Eq(t, voters(2), g.nodes[2].Status().Configuration)
}

// A learner is promoted but does not receive the entry that makes it a voter. The leader,
// until then the only voter, needs its vote, so a learner must vote when asked.
func TestUncommittedPromotionAllowsElection(t *testing.T) {
	g := newGroup(t, 1)
	g.change(ChangeAddLearner, 2)
	g.advanceTime(3 * simHeartbeatInterval)
	g.isolate(2)
	g.change(ChangePromote, 2)
	g.advanceTime(3 * simElectionTimeout)
	must.Eq(t, Learner, g.nodes[2].role)
	must.NotEq(t, Leader, g.nodes[1].role)
	g.filter = nil
	g.advanceTime(4 * simElectionTimeout)
	must.Eq(t, Leader, g.nodes[1].role)
	must.Eq(t, Follower, g.nodes[2].role)
}

func TestReplacedConfigurationIsNotInEffect(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(1)
	g.change(ChangeRemove, 3)
	g.deliverAll()
	must.Eq(t, voters(1, 2), g.nodes[1].Status().Configuration)
	g.advanceTime(5 * simElectionTimeout)
	g.filter = nil
	g.advanceTime(2 * simElectionTimeout)
	must.Eq(t, voters(1, 2, 3), g.nodes[1].Status().Configuration)
	must.Eq(t, g.nodes[2].log.committed, g.nodes[1].log.committed)
}

func TestStatusReportsPendingConfiguration(t *testing.T) {
	g := newGroup(t, 3)
	must.False(t, g.nodes[1].Status().ConfigurationPending)
	_, _, err := g.nodes[1].ProposeChange(g.now, ConfigurationChange{ChangeRemove, 3})
	must.NoError(t, err)
	must.True(t, g.nodes[1].Status().ConfigurationPending)
	g.deliverAll()
	must.False(t, g.nodes[1].Status().ConfigurationPending)
}
