package replica

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/landingtrail/landingtrail/process/wal/faultfs"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// proposeMany commits count commands through the current leader.
func (g *group) proposeMany(prefix string, count int, excluded ...*member) {
	for i := range count {
		g.propose(fmt.Sprintf("%s %d", prefix, i), excluded...)
	}
}

func (g *group) propose(command string, excluded ...*member) {
	for {
		_, err := g.leader(excluded...).replica.Propose(context.Background(), []byte(command))
		if err == nil {
			return
		}
		must.True(g.t, errors.Is(err, ErrNotLeader) || errors.Is(err, ErrOutcomeUnknown))
		// A leader in a handover rejects proposals at once. Without the sleep, virtual
		// time would not advance while the proposal is retried.
		time.Sleep(20 * time.Millisecond)
	}
}

// others returns all members except the given one.
func (g *group) others(m *member) []*member {
	var rest []*member
	for _, other := range g.members {
		if other != m {
			rest = append(rest, other)
		}
	}
	return rest
}

func frequentSnapshots(config *Config) {
	config.SnapshotEntries = 20
	config.Raft.RetainedEntries = 5
}

func TestGroupSurvivesTheCrashOfEachMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, frequentSnapshots)
		defer g.stopAll()
		for round := range 3 {
			leader := g.leader()
			g.proposeMany(fmt.Sprint("before ", round), 15)
			g.crash(leader)
			leader.fileSystem.Crash()
			g.proposeMany(fmt.Sprint("without ", round), 15, leader)
			g.restart(leader)
			g.waitEqual(g.members...)
		}
		must.Eq(t, 90, len(g.members[0].stateMachine.copy()))
	})
}

func TestWholeGroupRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, frequentSnapshots)
		defer g.stopAll()
		g.proposeMany("first", 70)
		for _, m := range g.members {
			g.crash(m)
			m.fileSystem.Crash()
		}
		for _, m := range g.members {
			g.restart(m)
		}
		g.propose("after")
		g.waitEqual(g.members...)
		must.Eq(t, 71, len(g.members[0].stateMachine.copy()))
	})
}

func TestLaggingMemberGetsASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, frequentSnapshots)
		defer g.stopAll()
		lagging := g.others(g.leader())[0]
		g.network.isolate(lagging.id)
		g.proposeMany("missed", 100, lagging)
		g.network.setBlocked(nil)
		g.waitEqual(g.members...)
		// One from Bootstrap and one that was received.
		must.Eq(t, 2, len(g.fileNames(lagging, ".snap")))
		g.crash(lagging)
		lagging.fileSystem.Crash()
		g.restart(lagging)
		g.propose("after", lagging)
		g.waitEqual(g.members...)
	})
}

// A member that has lost its log rejoins as a new member: first as a learner without a
// vote, then, once it has caught up, as a voter. The lost member is removed.
func TestMemberWithALostDiskReturnsUnderANewIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, frequentSnapshots)
		defer g.stopAll()
		g.proposeMany("before", 50)
		lost := g.others(g.leader())[0]
		g.crash(lost)
		g.destroyLog(lost)
		_, err := openDisk(lost.fileSystem)
		must.ErrorIs(t, err, wal.ErrLostLog)
		must.NoError(t, DiscardDisk(lost.fileSystem, testDir))

		returned := g.newMember(9)
		must.NotEq(t, lost.id, returned.id)
		g.members = append(g.others(lost), returned)
		g.start(returned, raft.Configuration{})
		g.change(raft.ConfigurationChange{Kind: raft.ChangeAddLearner, Member: returned.id})
		g.waitEqual(g.members...)
		must.Eq(t, raft.Learner, returned.replica.Status().Role)
		g.change(raft.ConfigurationChange{Kind: raft.ChangePromote, Member: returned.id})
		g.change(raft.ConfigurationChange{Kind: raft.ChangeRemove, Member: lost.id})

		// The repaired group tolerates the loss of another member.
		second := g.others(returned)[0]
		g.crash(second)
		g.propose("after", second)
		g.restart(second)
		g.waitEqual(g.members...)
	})
}

// destroyLog durably removes every segment of the member's log.
func (g *group) destroyLog(m *member) {
	names := g.fileNames(m, ".wal")
	must.Positive(g.t, len(names))
	for _, name := range names {
		m.fileSystem.Destroy(filepath.Join(testDir, name))
	}
}

// fileNames returns the names of the member's files with the suffix.
func (g *group) fileNames(m *member, suffix string) []string {
	names, err := m.fileSystem.List(testDir)
	must.NoError(g.t, err)
	return slices.DeleteFunc(names, func(name string) bool { return !strings.HasSuffix(name, suffix) })
}

// change performs one step of a membership change, and retries until it succeeds.
func (g *group) change(change raft.ConfigurationChange) {
	for {
		_, err := g.leader().replica.ChangeMembership(context.Background(), change)
		if err == nil {
			return
		}
		must.True(g.t, errors.Is(err, raft.ErrNotCaughtUp) || errors.Is(err, raft.ErrTermNotCommitted) ||
			errors.Is(err, raft.ErrChangePending) || errors.Is(err, ErrNotLeader), must.Sprint(err))
		time.Sleep(50 * time.Millisecond)
	}
}

func TestFailingDiskStopsTheMemberAndNotTheGroup(t *testing.T) {
	for name, fail := range map[string]func(*faultfs.FileSystem){
		"failed sync": func(f *faultfs.FileSystem) { f.FailSyncs(1) },
		"full disk":   func(f *faultfs.FileSystem) { f.SetCapacity(0) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, 3, nil)
				defer g.stopAll()
				g.proposeMany("before", 5)
				leader := g.leader()
				fail(leader.fileSystem)
				_, err := leader.replica.Propose(t.Context(), []byte("lost"))
				must.ErrorIs(t, err, ErrOutcomeUnknown)
				<-leader.replica.Done()
				must.Error(t, leader.replica.Err())
				_, err = leader.replica.Propose(t.Context(), []byte("refused"))
				must.ErrorIs(t, err, ErrStopped)
				g.proposeMany("after", 5, leader)
				leader.fileSystem.SetCapacity(-1)
				leader.fileSystem.Restart()
				g.restart(leader)
				g.waitEqual(g.members...)
			})
		})
	}
}
