package control

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/shoenig/test/must"
)

// newReplacedGroup returns a running group with one voter more than the tolerated losses require, as
// after the successor of a member has joined. MemberSilence is longer than the test.
func newReplacedGroup(t *testing.T, losses int) *growingGroup {
	t.Helper()
	size := 2*losses + 2
	g := newGrowingGroup(t, size, size, losses)
	for i := range g.configs {
		g.configs[i].Durations.MemberSilence = time.Hour
	}
	all := g.startAll(size)
	g.awaitVoters(size, all...)
	return g
}

// startAll starts the first members and returns their indexes.
func (g *growingGroup) startAll(count int) []int {
	var indexes []int
	for i := range count {
		indexes = append(indexes, i)
	}
	g.start(indexes...)
	return indexes
}

// loseDisks kills the members at once and starts them again with empty disks.
func (g *growingGroup) loseDisks(lost ...int) {
	g.t.Helper()
	for _, i := range lost {
		g.crash(i)
	}
	for _, i := range lost {
		g.loseDisk(i)
		g.start(i)
	}
}

// followers returns the indexes of the running members that do not lead.
func (g *growingGroup) followers() []int {
	g.t.Helper()
	leader := g.leader()
	var others []int
	for i := range g.configs {
		if g.running[i] != nil && i != leader {
			others = append(others, i)
		}
	}
	return others
}

// awaitRecovery waits until the group serves reads and has the number of voters again.
func (g *growingGroup) awaitRecovery(voters int, generation uint64) {
	g.t.Helper()
	var running []int
	for i := range g.running {
		running = append(running, i)
	}
	must.Eq(g.t, generation, g.currentIngress(running[0]).Spec.Generation)
	g.awaitVoters(voters, running...)
}

// Guards against a voter that has stopped for good and is still counted: after the loss of as many
// disks as the group tolerates, the others were no quorum and an acknowledged configuration could not
// be read any more.
func TestStoppedMemberThatIsNotNeededLeavesTheGroup(t *testing.T) {
	cases := []struct {
		name   string
		losses int
		leads  bool
	}{{"follower", 2, false}, {"leader", 2, true}, {"group of three", 1, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newReplacedGroup(t, c.losses)
			g.replaceIngress(0, ingressOf(2, "document"))
			stopping := g.followers()[0]
			if c.leads {
				stopping = g.leader()
			}
			must.NoError(t, g.stop(stopping))
			g.loseDisks(g.followers()[:c.losses]...)
			g.awaitRecovery(2*c.losses+1, 2)
		})
	}
}

// Guards against losing all of the voters to spare at once: each of two members that stop together
// could rely on the other one to stay.
func TestMembersThatStopTogetherLeaveEnoughVoters(t *testing.T) {
	g := newReplacedGroup(t, 2)
	g.replaceIngress(0, ingressOf(2, "document"))
	followers := g.followers()
	stopped := make(chan error)
	for _, i := range followers[:2] {
		running := g.removeRunning(i)
		go func() { stopped <- running.stop() }()
	}
	must.NoError(t, <-stopped)
	must.NoError(t, <-stopped)
	eventually(t, "one of the two is still a voter", func() bool { return g.voters(followers[2]) == 5 })
	g.start(followers[:2]...)
	g.awaitRecovery(6, 2)
}

// A member that left the group as it stopped must rejoin under a new identity when it is started.
func TestMemberThatLeftRejoins(t *testing.T) {
	g := newReplacedGroup(t, 2)
	g.replaceIngress(0, ingressOf(2, "document"))
	stopping := g.followers()[0]
	old := g.running[stopping].member.id
	must.NoError(t, g.stop(stopping))
	g.start(stopping)
	g.awaitRecovery(6, 2)
	must.NotEq(t, old, g.running[stopping].member.id)
}

// A member that the group needs must keep its identity and its data when it is stopped.
func TestStoppedMemberThatIsNeededStaysInTheGroup(t *testing.T) {
	g := newGrowingGroup(t, 5, 3, 2)
	g.awaitVoters(5, g.startAll(5)...)
	stopping := g.followers()[0]
	old := g.running[stopping].member.id
	must.NoError(t, g.stop(stopping))
	g.start(stopping)
	g.awaitVoters(5, stopping)
	must.Eq(t, old, g.running[stopping].member.id)
}

// Guards against a killed voter that is counted for MemberSilence although its successor has joined:
// the tolerated losses then leave no quorum.
func TestUnreachableMemberIsRemovedSoonIfAQuorumDependsOnIt(t *testing.T) {
	g := newReplacedGroup(t, 2)
	killed := g.followers()[0]
	id := g.running[killed].member.id
	g.crash(killed)
	remaining := g.running[g.leader()].member
	eventually(t, "the killed member is removed", func() bool {
		return !slices.Contains(remaining.replica.Status().Configuration.Voters, id)
	})
	g.loseDisks(g.followers()[:2]...)
	g.awaitVoters(5, g.followers()...)
}

func TestRemovalDelay(t *testing.T) {
	const election, silence = time.Second, time.Minute
	g := &group{config: Config{ToleratedLosses: 2, Durations: Durations{Election: election, MemberSilence: silence}}}
	for _, c := range []struct {
		voters, unreachable int
		want                time.Duration
	}{{6, 1, election}, {7, 1, silence}, {7, 2, election}, {8, 1, silence}, {8, 2, election}, {9, 2, silence}, {9, 3, election}} {
		must.Eq(t, c.want, g.removalDelay(c.voters, c.unreachable), must.Sprint(c.voters, " voters, ", c.unreachable, " unreachable"))
	}
	must.True(t, g.hasSurplus(make([]raft.MemberID, 6)))
	must.False(t, g.hasSurplus(make([]raft.MemberID, 5)))
	g.config.ToleratedLosses = 0
	must.False(t, g.hasSurplus(make([]raft.MemberID, 6)), must.Sprint("an operator manages the members"))
}

// Guards against a member that discards its data as it stops, although its group counts it on as a voter, since
// another server, or a member of another group, that uses the address of a seed accepted its request to leave.
func TestStoppedMemberLeavesThroughItsOwnGroupOnly(t *testing.T) {
	answers := map[string]func(http.ResponseWriter){
		"an empty answer":   func(w http.ResponseWriter) { _, _ = w.Write([]byte(`{}`)) },
		"no such path":      func(w http.ResponseWriter) { http.Error(w, `{"error":"no such path"}`, http.StatusNotFound) },
		"no answer of ours": func(w http.ResponseWriter) { _, _ = w.Write([]byte("tile")) },
		"another group":     nil,
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			g := newReplacedGroup(t, 2)
			stopping := g.followers()[0]
			seed := Member{Name: "replaced", OperatorAddress: freeAddress(t)}
			if answer == nil {
				other := newGrowingGroup(t, 1, 1, 0)
				other.start(0)
				other.awaitVoters(1, 0)
				seed.OperatorAddress = other.configs[0].OperatorAddress
			} else {
				var current atomic.Pointer[func(http.ResponseWriter)]
				current.Store(&answer)
				g.serveAt(seed.OperatorAddress, &current)
			}
			member, leader := g.running[stopping].member, g.running[g.leader()].member
			member.config.contacts.current = func() []Member { return []Member{seed} }
			must.NoError(t, g.stop(stopping))
			must.SliceNotContains(t, leader.replica.Status().Configuration.Voters, member.id)
		})
	}
}
