package replica

import (
	"bytes"
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/wal/faultfs"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true", "rapid.checks": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// history is a state machine that records the commands it applied.
type history struct {
	mutex    sync.Mutex
	commands [][]byte
}

func (h *history) Apply(entry raft.Entry) any {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.commands = append(h.commands, entry.Data)
	return len(h.commands)
}

func (h *history) Snapshot() ([]byte, error) { return h.Capture()() }

func (h *history) Capture() func() ([]byte, error) {
	commands := h.copy()
	return func() ([]byte, error) {
		var data []byte
		for _, command := range commands {
			data = binary.BigEndian.AppendUint32(data, uint32(len(command)))
			data = append(data, command...)
		}
		return data, nil
	}
}

func (h *history) Restore(data []byte) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.commands = nil
	for len(data) > 0 {
		length := int(binary.BigEndian.Uint32(data))
		h.commands = append(h.commands, data[4:4+length])
		data = data[4+length:]
	}
	return nil
}

func (h *history) copy() [][]byte {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.commands)
}

func (h *history) contains(command string) bool {
	return slices.ContainsFunc(h.copy(), func(c []byte) bool { return string(c) == command })
}

// network connects replicas in memory. Messages for which blocked returns true are
// dropped.
type network struct {
	mutex   sync.Mutex
	members map[raft.MemberID]*Replica
	blocked func(from, to raft.MemberID) bool
}

func (n *network) Send(messages []raft.Message) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, message := range messages {
		receiver := n.members[message.To]
		if receiver == nil || n.blocked != nil && n.blocked(message.From, message.To) {
			continue
		}
		receiver.Receive(message)
	}
}

func (n *network) setBlocked(blocked func(from, to raft.MemberID) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.blocked = blocked
}

// isolate drops all messages from and to the member.
func (n *network) isolate(member raft.MemberID) {
	n.setBlocked(func(from, to raft.MemberID) bool { return from == member || to == member })
}

// member is one replica of a group, with the file system that survives its restarts.
type member struct {
	id           raft.MemberID
	fileSystem   *faultfs.FileSystem
	stall        atomic.Int64 // nanoseconds that the next Save hangs
	stateMachine *history
	replica      *Replica
}

// stallingStorage delays Save by the member's stall, to simulate a hanging disk.
type stallingStorage struct {
	Storage
	member *member
}

func (s stallingStorage) Save(update Update) error {
	time.Sleep(time.Duration(s.member.stall.Swap(0)))
	return s.Storage.Save(update)
}

// group is a replicated group with in-memory disks and an in-memory network.
type group struct {
	t         must.T
	network   *network
	members   []*member
	bootstrap raft.Configuration
	configure func(*Config)
}

func newGroup(t must.T, size int, configure func(*Config)) *group {
	g := &group{t: t, network: &network{members: make(map[raft.MemberID]*Replica)}, configure: configure}
	for seed := range uint64(size) {
		m := g.newMember(seed)
		g.members = append(g.members, m)
		g.bootstrap.Voters = append(g.bootstrap.Voters, m.id)
	}
	for _, m := range g.members {
		g.start(m, g.bootstrap)
	}
	return g
}

// newMember creates a member with an empty disk without starting it.
func (g *group) newMember(seed uint64) *member {
	m := &member{fileSystem: faultfs.New(seed)}
	disk, err := openDisk(m.fileSystem)
	must.NoError(g.t, err)
	m.id = disk.Identity().Member
	must.NoError(g.t, disk.Close())
	return m
}

func (g *group) start(m *member, bootstrap raft.Configuration) {
	disk, err := openDisk(m.fileSystem)
	must.NoError(g.t, err)
	m.stateMachine = &history{}
	config := Config{
		Raft:         raft.Config{ID: m.id, Seed: 7},
		Storage:      stallingStorage{Storage: disk, member: m},
		Transport:    g.network,
		StateMachine: m.stateMachine,
		Bootstrap:    bootstrap,
	}
	if g.configure != nil {
		g.configure(&config)
	}
	started, err := Start(config)
	must.NoError(g.t, err)
	m.replica = started
	g.network.mutex.Lock()
	g.network.members[m.id] = started
	g.network.mutex.Unlock()
}

// restart starts a stopped member. The bootstrap configuration has no effect on a disk
// that already holds state.
func (g *group) restart(m *member) { g.start(m, g.bootstrap) }

// crash stops the member without a handover.
func (g *group) crash(m *member) {
	g.network.mutex.Lock()
	delete(g.network.members, m.id)
	g.network.mutex.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m.replica.Stop(ctx)
}

func (g *group) stopAll() {
	for _, m := range g.members {
		g.crash(m)
	}
}

// leader waits until a member that is not excluded leads with a valid lease, and
// returns it.
func (g *group) leader(excluded ...*member) *member {
	for range 1000 {
		for _, m := range g.members {
			if slices.Contains(excluded, m) || m.replica.Status().Role != raft.Leader {
				continue
			}
			if m.replica.LeaseRead(context.Background()) == nil {
				return m
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	must.Unreachable(g.t, must.Sprint("no leader"))
	return nil
}

// waitEqual waits until all members have applied the same commands.
func (g *group) waitEqual(members ...*member) {
	for range 1000 {
		first := members[0].stateMachine.copy()
		same := !slices.ContainsFunc(members[1:], func(m *member) bool {
			return !slices.EqualFunc(first, m.stateMachine.copy(), bytes.Equal)
		})
		if same {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	must.Unreachable(g.t, must.Sprint("state machines differ: ", g.describe(members)))
}

func (g *group) describe(members []*member) string {
	var text strings.Builder
	for _, m := range members {
		fmt.Fprintf(&text, "\n%+v error %v", m.replica.Status(), m.replica.Err())
	}
	return text.String()
}

func TestGroupAppliesProposalsEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, nil)
		defer g.stopAll()
		leader := g.leader()
		result, err := leader.replica.Propose(t.Context(), []byte("a"))
		must.NoError(t, err)
		must.Eq(t, any(1), result.Value)
		g.waitEqual(g.members...)
	})
}

func TestFollowerNamesTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, nil)
		defer g.stopAll()
		leader := g.leader()
		for _, m := range g.members {
			if m == leader {
				continue
			}
			_, err := m.replica.Propose(t.Context(), []byte("a"))
			must.ErrorIs(t, err, ErrNotLeader)
			var notLeader *NotLeaderError
			must.True(t, errors.As(err, &notLeader))
			must.Eq(t, leader.id, notLeader.Leader)
		}
	})
}

func TestIsolatedLeaderLosesItsLeaseAndItsProposals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, nil)
		defer g.stopAll()
		old := g.leader()
		g.network.isolate(old.id)
		_, err := old.replica.Propose(t.Context(), []byte("lost"))
		must.ErrorIs(t, err, ErrOutcomeUnknown)
		must.Error(t, old.replica.LeaseRead(t.Context()))
		g.leader(old)
		g.network.setBlocked(nil)
		_, err = g.leader().replica.Propose(t.Context(), []byte("kept"))
		must.NoError(t, err)
		g.waitEqual(g.members...)
		must.False(t, old.stateMachine.contains("lost"))
	})
}

func TestPlannedStopHandsLeadershipOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, nil)
		defer g.stopAll()
		old := g.leader()
		started := time.Now()
		must.NoError(t, old.replica.Stop(t.Context()))
		next := g.leader(old)
		must.Less(t, DefaultElectionTimeout, time.Since(started))
		_, err := next.replica.Propose(t.Context(), []byte("a"))
		must.NoError(t, err)
	})
}
