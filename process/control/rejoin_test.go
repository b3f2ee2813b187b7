package control

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/shoenig/test/must"
)

// rejoiningGroup is a group of five whose three first seeds are gone for good, each replaced by another
// member. One of the two oldest members runs with RunWithRestart, as its process does.
type rejoiningGroup struct {
	*growingGroup
	index int // of the member that rejoins
	ended chan error
}

// newRejoiningGroup replaces the seeds. The rejoining member's process starts with the first seeds;
// currentMembers, which may be nil, returns the later ones.
func newRejoiningGroup(t *testing.T, currentMembers func(*growingGroup) func() []Member) *rejoiningGroup {
	t.Helper()
	const first, size, rejoining = 5, 8, 4
	g := &rejoiningGroup{growingGroup: newGrowingGroup(t, size, 3, 2), index: rejoining, ended: make(chan error, 1)}
	if currentMembers != nil {
		g.configs[rejoining].CurrentMembers = currentMembers(g.growingGroup)
	}
	g.start(0, 1, 2, 3)
	g.startProcess(rejoining)
	g.awaitVoters(first, 0, 1, 2, 3)
	voters := []int{0, 1, 2, 3, rejoining}
	for seed := range 3 {
		successor := first + seed
		voters[seed] = successor
		g.configs[successor].Members = append(slices.Clone(g.configs[3].Members), g.memberOf(successor))
		g.crash(seed)
		g.start(successor)
		g.awaitOnlyVoters(voters)
	}
	return g
}

func (g *rejoiningGroup) startProcess(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() { g.ended <- RunWithRestart(ctx, g.configs[i], nopLogger{}) }()
	g.t.Cleanup(func() {
		cancel()
		must.NoError(g.t, <-g.ended)
	})
}

// awaitOnlyVoters waits until the given members are the voters and all of them respond.
func (g *growingGroup) awaitOnlyVoters(voters []int) {
	g.t.Helper()
	var expected []string
	for _, i := range voters {
		expected = append(expected, g.configs[i].Name)
	}
	slices.Sort(expected)
	eventually(g.t, "the voters that are gone were replaced", func() bool {
		status, known := g.status()
		var names []string
		for _, listed := range status.Members {
			if listed.Role != operatorapi.MemberLearner && listed.Active {
				names = append(names, listed.Name)
			}
		}
		slices.Sort(names)
		return known && status.FurtherLosses == 2 && len(status.Repairing) == 0 && slices.Equal(expected, names) && len(status.Members) == len(expected)
	})
}

func (g *growingGroup) memberOf(i int) Member {
	config := g.configs[i]
	return Member{Name: config.Name, PeerAddress: config.PeerAddress, FeedAddress: config.FeedAddress, OperatorAddress: config.OperatorAddress}
}

// anyMember returns a member that runs, other than the rejoining one.
func (g *rejoiningGroup) anyMember() *member {
	for _, running := range g.running {
		return running.member
	}
	return nil
}

// idOf returns the ID of the member with the name of the rejoining one.
func (g *rejoiningGroup) idOf() raft.MemberID {
	var id raft.MemberID
	for _, recorded := range g.anyMember().machine.members() {
		if recorded.Name == g.configs[g.index].Name {
			id = raft.MemberID(recorded.ID)
		}
	}
	return id
}

// firstRecorded returns the index of the first running member that the replicated state records.
func (g *rejoiningGroup) firstRecorded() int {
	for _, recorded := range g.anyMember().machine.members() {
		for i := range g.running {
			if g.configs[i].Name == recorded.Name {
				return i
			}
		}
	}
	return -1
}

// otherLeader waits until a member other than the rejoining one leads and returns its index.
func (g *rejoiningGroup) otherLeader() int {
	g.t.Helper()
	eventually(g.t, "another member leads", func() bool {
		status, known := g.status()
		if known && status.Leader == g.configs[g.index].Name {
			_ = g.accessOf(g.index).member.replica.TransferLeadership(g.t.Context(), raft.None) // tried again
		}
		return known && status.Leader != "" && status.Leader != g.configs[g.index].Name
	})
	return g.leader()
}

// removeAndAwaitRejoin removes the member, as the group does while it cannot reach it, and waits until the
// member is a voter again under another identity.
func (g *rejoiningGroup) removeAndAwaitRejoin() {
	g.t.Helper()
	old := g.idOf()
	must.NotEq(g.t, raft.None, old)
	leader := g.running[g.otherLeader()].member.group.Load()
	must.NoError(g.t, leader.removeMember(g.t.Context(), state.Member{ID: uint64(old), Name: g.configs[g.index].Name}))
	eventually(g.t, "the removed member is a voter under another identity", func() bool {
		id := g.idOf()
		return id != old && slices.Contains(g.anyMember().replica.Status().Configuration.Voters, id)
	})
}

// Guards against a member that was removed while it was cut off and never rejoins, since it asks only the
// seeds of its process's start, which have all been replaced: the next loss of two disks then leaves no quorum.
func TestRemovedMemberRejoinsThoughItsFirstSeedsAreGone(t *testing.T) {
	var replaced atomic.Bool
	g := newRejoiningGroup(t, func(g *growingGroup) func() []Member {
		return func() []Member {
			if !replaced.Load() {
				return g.configs[0].Members[:3]
			}
			return []Member{g.memberOf(5), g.memberOf(6), g.memberOf(7)}
		}
	})
	replaced.Store(true)
	g.removeAndAwaitRejoin()
}

// Guards against a removed member that has only settings as old as the first start, where it must ask the
// members that it knew before, and that stops asking at another server which has the address of a seed.
func TestRemovedMemberRejoinsThroughMembersItKnewBefore(t *testing.T) {
	g := newRejoiningGroup(t, nil)
	g.removeAndAwaitRejoin()
	var answer atomic.Pointer[func(http.ResponseWriter)]
	g.serveAt(g.configs[0].OperatorAddress, &answer)
	for _, foreign := range []func(http.ResponseWriter){
		func(w http.ResponseWriter) { http.Error(w, `{"error":"no such path"}`, http.StatusNotFound) },
		func(w http.ResponseWriter) { _, _ = w.Write([]byte(`{}`)) },
		func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) },
		func(w http.ResponseWriter) { _, _ = w.Write([]byte("tile")) },
		func(w http.ResponseWriter) { http.Error(w, `{"code":"busy"}`, http.StatusConflict) },
	} {
		answer.Store(&foreign)
		g.removeAndAwaitRejoin()
	}
}

// Guards against a removed member that joins another group, whose member uses the address of one that it knew
// before.
func TestRemovedMemberJoinsNoOtherGroup(t *testing.T) {
	g := newRejoiningGroup(t, nil)
	other := newGrowingGroup(t, 1, 1, 0)
	first := g.firstRecorded()
	g.crash(first)
	other.configs[0].OperatorAddress = g.configs[first].OperatorAddress
	other.configs[0].Members[0].OperatorAddress = g.configs[first].OperatorAddress
	other.start(0)
	other.awaitVoters(1, 0)
	g.removeAndAwaitRejoin()
	must.SliceEmpty(t, other.running[0].member.replica.Status().Configuration.Learners)
	must.Eq(t, 1, other.voters(0))
}

// serveAt answers every request at the address with the current answer.
func (g *growingGroup) serveAt(address string, answer *atomic.Pointer[func(http.ResponseWriter)]) {
	listener, err := net.Listen("tcp", address)
	must.NoError(g.t, err)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { (*answer.Load())(w) }))
	must.NoError(g.t, server.Listener.Close())
	server.Listener = listener
	server.Start()
	g.t.Cleanup(server.Close)
}

// Guards against a member with an empty disk that never joins, since the seeds of its process's start were
// replaced before any of them took it in.
func TestNewMemberJoinsThroughSeedsListedAfterItsStart(t *testing.T) {
	g := newGrowingGroup(t, 4, 3, 1)
	g.start(0, 1, 2)
	g.awaitVoters(3, 0, 1, 2)
	var listed atomic.Pointer[[]Member]
	gone := []Member{{Name: "gone", PeerAddress: freeAddress(t), FeedAddress: freeAddress(t), OperatorAddress: freeAddress(t)}}
	listed.Store(&gone)
	g.configs[3].Members = append(slices.Clone(gone), g.memberOf(3))
	g.configs[3].CurrentMembers = func() []Member { return *listed.Load() }
	g.start(3)
	time.Sleep(2 * joinRetryInterval)
	must.Eq(t, 0, g.voters(3))
	later := []Member{g.memberOf(1)}
	listed.Store(&later)
	g.awaitVoters(4, 0, 1, 2, 3)
}
