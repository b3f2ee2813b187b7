package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// simulation runs a group through proposals and faults. It records the result of each
// proposal, with which the group's final state must agree.
type simulation struct {
	*group
	proposals    sync.WaitGroup
	mutex        sync.Mutex
	answers      map[string]answer
	staleReads   []string // acknowledged commands that a later read missed
	readCount    int
	commandCount int
}

// answer is the result of a proposal: its position in the history, or an error.
type answer struct {
	position int
	err      error
}

func (s *simulation) drawMember(t *rapid.T) *member {
	return s.members[rapid.IntRange(0, len(s.members)-1).Draw(t, "member")]
}

func (s *simulation) propose(t *rapid.T) {
	m := s.drawMember(t)
	timeout := time.Duration(rapid.IntRange(0, 3000).Draw(t, "patience")) * time.Millisecond
	for range rapid.IntRange(1, 10).Draw(t, "commands") {
		command := s.nextCommand()
		replica := m.replica
		s.proposals.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			result, err := replica.Propose(ctx, []byte(command))
			s.record(command, result, err)
		})
	}
}

func (s *simulation) nextCommand() string {
	s.commandCount++
	return fmt.Sprint("command ", s.commandCount)
}

func (s *simulation) record(command string, result Result, err error) {
	position, _ := result.Value.(int)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answers[command] = answer{position: position, err: err}
}

// proposeToLeader proposes without a deadline: even an isolated leader must answer.
func (s *simulation) proposeToLeader(t *rapid.T) {
	for _, m := range s.members {
		if m.replica.Status().Role != raft.Leader {
			continue
		}
		for range rapid.IntRange(1, 15).Draw(t, "commands") {
			command := s.nextCommand()
			result, err := m.replica.Propose(context.Background(), []byte(command))
			s.record(command, result, err)
		}
		return
	}
}

// read reads from all members that consider themselves leader, by lease or through a
// quorum. A successful read must see everything acknowledged before it.
func (s *simulation) read(t *rapid.T) {
	byLease := rapid.Bool().Draw(t, "by lease")
	for _, m := range s.members {
		if m.replica.Status().Role != raft.Leader {
			continue
		}
		replica, machine := m.replica, m.stateMachine
		s.proposals.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			before := s.acknowledgedCommands()
			ask := replica.ReadIndex
			if byLease {
				ask = replica.LeaseRead
			}
			if ask(ctx) == nil {
				s.checkRead(before, machine)
			}
		})
	}
}

func (s *simulation) acknowledgedCommands() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var commands []string
	for command, answer := range s.answers {
		if answer.err == nil {
			commands = append(commands, command)
		}
	}
	return commands
}

func (s *simulation) checkRead(acknowledged []string, machine *history) {
	missing := slices.DeleteFunc(acknowledged, machine.contains)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readCount++
	s.staleReads = append(s.staleReads, missing...)
}

// stallDisk makes a member's disk hang at its next write.
func (s *simulation) stallDisk(t *rapid.T) {
	s.drawMember(t).stall.Store(int64(rapid.IntRange(1, 5000).Draw(t, "stall")) * int64(time.Millisecond))
}

// crashMachine crashes a member's machine, which loses unsynced data, and restarts the
// member. The power may fail up to half a second before the crash.
func (s *simulation) crashMachine(t *rapid.T) {
	m := s.drawMember(t)
	m.fileSystem.StopAfter(rapid.IntRange(0, 8).Draw(t, "operations"))
	time.Sleep(time.Duration(rapid.IntRange(0, 500).Draw(t, "until crash")) * time.Millisecond)
	s.crash(m)
	m.fileSystem.FailSyncs(0)
	m.fileSystem.Crash()
	s.restart(m)
}

func (s *simulation) failSync(t *rapid.T) { s.drawMember(t).fileSystem.FailSyncs(1) }

// restartStopped restarts the members that stopped because of a disk failure.
func (s *simulation) restartStopped(*rapid.T) {
	for _, m := range s.members {
		select {
		case <-m.replica.Done():
			m.fileSystem.StopAfter(-1)
			m.fileSystem.FailSyncs(0)
			m.fileSystem.Restart()
			s.restart(m)
		default:
		}
	}
}

func (s *simulation) isolateMember(t *rapid.T) { s.network.isolate(s.drawMember(t).id) }

func (s *simulation) blockOneWay(t *rapid.T) {
	from, to := s.drawMember(t).id, s.drawMember(t).id
	s.network.setBlocked(func(f, o raft.MemberID) bool { return f == from && o == to })
}

func (s *simulation) healNetwork(*rapid.T) { s.network.setBlocked(nil) }

func (s *simulation) advanceTime(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 5000).Draw(t, "milliseconds")) * time.Millisecond)
}

func (s *simulation) transfer(t *rapid.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.drawMember(t).replica.TransferLeadership(ctx, raft.None)
}

// converge removes all faults and waits until all members have the same state.
func (s *simulation) converge(t *rapid.T) {
	s.network.setBlocked(nil)
	for _, m := range s.members {
		m.fileSystem.FailSyncs(0)
	}
	s.proposals.Wait()
	synctest.Wait() // until members with a failing disk have stopped
	s.restartStopped(t)
	s.group.propose("last")
	s.waitEqual(s.members...)
}

// verify compares the final state with the results of the proposals: an acknowledged
// command must be at the returned position, a rejected one must be absent, and none may
// be applied twice.
func (s *simulation) verify(t *rapid.T) {
	must.SliceEmpty(t, s.staleReads, must.Sprint("a read missed commands acknowledged before it"))
	places := make(map[string][]int)
	for i, command := range s.members[0].stateMachine.copy() {
		places[string(command)] = append(places[string(command)], i+1)
	}
	for command, answer := range s.answers {
		switch {
		case answer.err == nil:
			must.Eq(t, []int{answer.position}, places[command], must.Sprint(command, " was acknowledged"))
		case errors.Is(answer.err, ErrOutcomeUnknown):
			must.LessEq(t, 1, len(places[command]), must.Sprint(command, " had an unknown outcome"))
		default:
			must.Eq(t, 0, len(places[command]), must.Sprint(command, " was rejected: ", answer.err))
		}
	}
}

func TestGroupAgainstOracle(t *testing.T) {
	outcomes := make(map[string]int)
	synctest.Test(t, func(t *testing.T) {
		// Hides the Deadline method, because a test in virtual time has no deadline.
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			s := &simulation{group: newGroup(t, 3, frequentSnapshots), answers: make(map[string]answer)}
			defer s.stopAll()
			s.leader()
			t.Repeat(map[string]func(*rapid.T){
				"propose":           s.propose,
				"propose to leader": s.proposeToLeader,
				"crash":             s.crashMachine,
				"fail sync":         s.failSync,
				"stall":             s.stallDisk,
				"read":              s.read,
				"revive":            s.restartStopped,
				"cut off":           s.isolateMember,
				"cut one way":       s.blockOneWay,
				"heal":              s.healNetwork,
				"transfer":          s.transfer,
				"pass":              s.advanceTime,
			})
			s.converge(t)
			s.verify(t)
			s.countOutcomes(outcomes)
		})
	})
	t.Log(outcomes)
	for _, outcome := range []string{"acknowledged", ErrOutcomeUnknown.Error(), ErrNotLeader.Error(), ErrStopped.Error(), "snapshots", "reads"} {
		must.Positive(t, outcomes[outcome], must.Sprint("outcome never occurred: ", outcome))
	}
}

// countOutcomes adds up the outcomes, so that the test can fail if one never occurred.
func (s *simulation) countOutcomes(outcomes map[string]int) {
	for _, answer := range s.answers {
		switch {
		case answer.err == nil:
			outcomes["acknowledged"]++
		case errors.Is(answer.err, ErrNotLeader):
			outcomes[ErrNotLeader.Error()]++
		default:
			outcomes[errors.Cause(answer.err).Error()]++
		}
	}
	outcomes["reads"] += s.readCount
	for _, m := range s.members {
		if len(s.fileNames(m, ".snap")) > 1 { // the first one is from Bootstrap
			outcomes["snapshots"]++
		}
	}
}
