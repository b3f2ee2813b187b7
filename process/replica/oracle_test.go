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

func (w *simulation) drawMember(t *rapid.T) *member {
	return w.members[rapid.IntRange(0, len(w.members)-1).Draw(t, "member")]
}

func (w *simulation) propose(t *rapid.T) {
	m := w.drawMember(t)
	timeout := time.Duration(rapid.IntRange(0, 3000).Draw(t, "patience")) * time.Millisecond
	for range rapid.IntRange(1, 10).Draw(t, "commands") {
		command := w.nextCommand()
		replica := m.replica
		w.proposals.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			result, err := replica.Propose(ctx, []byte(command))
			w.record(command, result, err)
		})
	}
}

func (w *simulation) nextCommand() string {
	w.commandCount++
	return fmt.Sprint("command ", w.commandCount)
}

func (w *simulation) record(command string, result Result, err error) {
	position, _ := result.Value.(int)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.answers[command] = answer{position: position, err: err}
}

// proposeToLeader proposes without a deadline: even an isolated leader must answer.
func (w *simulation) proposeToLeader(t *rapid.T) {
	for _, m := range w.members {
		if m.replica.Status().Role != raft.Leader {
			continue
		}
		for range rapid.IntRange(1, 15).Draw(t, "commands") {
			command := w.nextCommand()
			result, err := m.replica.Propose(context.Background(), []byte(command))
			w.record(command, result, err)
		}
		return
	}
}

// read reads from all members that consider themselves leader, by lease or through a
// quorum. A successful read must see everything acknowledged before it.
func (w *simulation) read(t *rapid.T) {
	byLease := rapid.Bool().Draw(t, "by lease")
	for _, m := range w.members {
		if m.replica.Status().Role != raft.Leader {
			continue
		}
		replica, machine := m.replica, m.stateMachine
		w.proposals.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			before := w.acknowledgedCommands()
			ask := replica.ReadIndex
			if byLease {
				ask = replica.LeaseRead
			}
			if ask(ctx) == nil {
				w.checkRead(before, machine)
			}
		})
	}
}

func (w *simulation) acknowledgedCommands() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var commands []string
	for command, answer := range w.answers {
		if answer.err == nil {
			commands = append(commands, command)
		}
	}
	return commands
}

func (w *simulation) checkRead(acknowledged []string, machine *history) {
	missing := slices.DeleteFunc(acknowledged, machine.contains)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.readCount++
	w.staleReads = append(w.staleReads, missing...)
}

// stallDisk makes a member's disk hang at its next write.
func (w *simulation) stallDisk(t *rapid.T) {
	w.drawMember(t).stall.Store(int64(rapid.IntRange(1, 5000).Draw(t, "stall")) * int64(time.Millisecond))
}

// crashMachine crashes a member's machine, which loses unsynced data, and restarts the
// member. The power may fail up to half a second before the crash.
func (w *simulation) crashMachine(t *rapid.T) {
	m := w.drawMember(t)
	m.fileSystem.StopAfter(rapid.IntRange(0, 8).Draw(t, "operations"))
	time.Sleep(time.Duration(rapid.IntRange(0, 500).Draw(t, "until crash")) * time.Millisecond)
	w.crash(m)
	m.fileSystem.FailSyncs(0)
	m.fileSystem.Crash()
	w.restart(m)
}

func (w *simulation) failSync(t *rapid.T) { w.drawMember(t).fileSystem.FailSyncs(1) }

// restartStopped restarts the members that stopped because of a disk failure.
func (w *simulation) restartStopped(*rapid.T) {
	for _, m := range w.members {
		select {
		case <-m.replica.Done():
			m.fileSystem.StopAfter(-1)
			m.fileSystem.FailSyncs(0)
			m.fileSystem.Restart()
			w.restart(m)
		default:
		}
	}
}

func (w *simulation) isolateMember(t *rapid.T) { w.network.isolate(w.drawMember(t).id) }

func (w *simulation) blockOneWay(t *rapid.T) {
	from, to := w.drawMember(t).id, w.drawMember(t).id
	w.network.setBlocked(func(f, o raft.MemberID) bool { return f == from && o == to })
}

func (w *simulation) healNetwork(*rapid.T) { w.network.setBlocked(nil) }

func (w *simulation) advanceTime(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 5000).Draw(t, "milliseconds")) * time.Millisecond)
}

func (w *simulation) transfer(t *rapid.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = w.drawMember(t).replica.TransferLeadership(ctx, raft.None)
}

// converge removes all faults and waits until all members have the same state.
func (w *simulation) converge(t *rapid.T) {
	w.network.setBlocked(nil)
	for _, m := range w.members {
		m.fileSystem.FailSyncs(0)
	}
	w.proposals.Wait()
	synctest.Wait() // until members with a failing disk have stopped
	w.restartStopped(t)
	w.group.propose("last")
	w.waitEqual(w.members...)
}

// verify compares the final state with the results of the proposals: an acknowledged
// command must be at the returned position, a rejected one must be absent, and none may
// be applied twice.
func (w *simulation) verify(t *rapid.T) {
	must.SliceEmpty(t, w.staleReads, must.Sprint("a read missed commands acknowledged before it"))
	places := make(map[string][]int)
	for i, command := range w.members[0].stateMachine.copy() {
		places[string(command)] = append(places[string(command)], i+1)
	}
	for command, answer := range w.answers {
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
			w := &simulation{group: newGroup(t, 3, frequentSnapshots), answers: make(map[string]answer)}
			defer w.stopAll()
			w.leader()
			t.Repeat(map[string]func(*rapid.T){
				"propose":           w.propose,
				"propose to leader": w.proposeToLeader,
				"crash":             w.crashMachine,
				"fail sync":         w.failSync,
				"stall":             w.stallDisk,
				"read":              w.read,
				"revive":            w.restartStopped,
				"cut off":           w.isolateMember,
				"cut one way":       w.blockOneWay,
				"heal":              w.healNetwork,
				"transfer":          w.transfer,
				"pass":              w.advanceTime,
			})
			w.converge(t)
			w.verify(t)
			w.countOutcomes(outcomes)
		})
	})
	t.Log(outcomes)
	for _, outcome := range []string{"acknowledged", ErrOutcomeUnknown.Error(), ErrNotLeader.Error(), ErrStopped.Error(), "snapshots", "reads"} {
		must.Positive(t, outcomes[outcome], must.Sprint("outcome never occurred: ", outcome))
	}
}

// countOutcomes adds up the outcomes, so that the test can fail if one never occurred.
func (w *simulation) countOutcomes(outcomes map[string]int) {
	for _, answer := range w.answers {
		switch {
		case answer.err == nil:
			outcomes["acknowledged"]++
		case errors.Is(answer.err, ErrNotLeader):
			outcomes[ErrNotLeader.Error()]++
		default:
			outcomes[errors.Cause(answer.err).Error()]++
		}
	}
	outcomes["reads"] += w.readCount
	for _, m := range w.members {
		if len(w.fileNames(m, ".snap")) > 1 { // the first one is from Bootstrap
			outcomes["snapshots"]++
		}
	}
}
