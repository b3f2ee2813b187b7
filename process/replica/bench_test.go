package replica

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/connection/peer"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/shoenig/test/must"
)

// testProcess is a member that runs as in a daemon: on a disk and over TCP.
type testProcess struct {
	id           raft.MemberID
	dir          string
	address      string
	transport    *peer.Transport
	stateMachine *history
	replica      *Replica
	running      atomic.Pointer[Replica]
	joins        bool // joins an existing group
	sentBytes    atomic.Int64
}

// Send sends the messages and counts their encoded size.
func (p *testProcess) Send(messages []raft.Message) {
	for _, message := range messages {
		p.sentBytes.Add(int64(encodedBytes(message)))
	}
	p.transport.Send(messages)
}

func encodedBytes(message raft.Message) int {
	size := frame.HeaderSize + len(raft.Message{}.AppendBinary(nil))
	for _, entry := range message.Entries {
		size += len(raft.Entry{}.AppendBinary(nil)) + len(entry.Data)
	}
	return size
}

// processGroup is a group of members on one machine that use real disks and sockets.
type processGroup struct {
	t         testing.TB
	processes []*testProcess
	bootstrap raft.Configuration
	configure func(*Config)
}

func newProcessGroup(t testing.TB, size int, configure func(*Config)) *processGroup {
	g := &processGroup{t: t, configure: configure}
	for range size {
		p := g.newProcess()
		g.bootstrap.Voters = append(g.bootstrap.Voters, p.id)
	}
	for _, p := range g.processes {
		g.start(p)
	}
	t.Cleanup(g.stop)
	return g
}

// newProcess creates a member with an empty directory. Its transport listens, but the
// member is not started.
func (g *processGroup) newProcess() *testProcess {
	p := &testProcess{dir: g.t.TempDir()}
	disk, err := OpenDisk(DiskOptions{Dir: p.dir, Group: testGroup})
	must.NoError(g.t, err)
	p.id = disk.Identity().Member
	must.NoError(g.t, disk.Close())
	g.listen(p)
	g.processes = append(g.processes, p)
	return p
}

// addLearner starts another member and waits until the group has added it as a learner.
func (g *processGroup) addLearner() {
	p := g.newProcess()
	p.joins = true
	for _, member := range g.processes {
		member.transport.SetPeers(g.addresses())
	}
	g.start(p)
	change := raft.ConfigurationChange{Kind: raft.ChangeAddLearner, Member: p.id}
	for {
		if _, err := g.leader(nil).replica.ChangeMembership(context.Background(), change); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// listen opens the member's transport, on its previous address if it had one.
func (g *processGroup) listen(p *testProcess) {
	address := p.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	must.NoError(g.t, err)
	p.transport, err = peer.New(peer.Config{Group: testGroup, ID: p.id, Listener: listener}, p.receive)
	must.NoError(g.t, err)
	p.address = p.transport.Address().String()
}

func (p *testProcess) receive(message raft.Message) {
	if running := p.running.Load(); running != nil {
		running.Receive(message)
	}
}

func (g *processGroup) addresses() map[raft.MemberID]string {
	addresses := make(map[raft.MemberID]string)
	for _, p := range g.processes {
		addresses[p.id] = p.address
	}
	return addresses
}

func (g *processGroup) start(p *testProcess) {
	disk, err := OpenDisk(DiskOptions{Dir: p.dir, Group: testGroup})
	must.NoError(g.t, err)
	p.stateMachine = &history{}
	config := Config{
		Raft:         raft.Config{ID: p.id, Seed: uint64(p.id)},
		Storage:      disk,
		Transport:    p,
		StateMachine: p.stateMachine,
	}
	if !p.joins {
		config.Bootstrap = g.bootstrap
	}
	if g.configure != nil {
		g.configure(&config)
	}
	p.transport.SetPeers(g.addresses())
	p.replica, err = Start(config)
	must.NoError(g.t, err)
	p.running.Store(p.replica)
}

// kill stops the member without a handover and closes its transport.
func (g *processGroup) kill(p *testProcess) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	p.replica.Stop(ended)
	must.NoError(g.t, p.transport.Close())
}

func (g *processGroup) restart(p *testProcess) {
	g.listen(p)
	g.start(p)
}

func (g *processGroup) stop() {
	for _, p := range g.processes {
		select {
		case <-p.replica.Done():
		default:
			g.kill(p)
		}
	}
}

func (g *processGroup) leader(excluded *testProcess) *testProcess {
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		for _, p := range g.processes {
			if p != excluded && p.replica.Status().Role == raft.Leader && p.replica.LeaseRead(context.Background()) == nil {
				return p
			}
		}
		time.Sleep(time.Millisecond)
	}
	g.t.Fatal("no leader")
	return nil
}

// commandCounter is a state machine that only counts the commands it applied.
type commandCounter struct{ count uint64 }

func (c *commandCounter) Apply(raft.Entry) any      { c.count++; return c.count }
func (c *commandCounter) Snapshot() ([]byte, error) { return make([]byte, 64<<10), nil }
func (c *commandCounter) Restore([]byte) error      { return nil }

// BenchmarkCommit measures commits of 256 bytes in a group of three members with
// synced disks, connected over loopback.
func BenchmarkCommit(b *testing.B) {
	for _, proposers := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			g := newProcessGroup(b, 3, noSnapshots)
			leader := g.leader(nil)
			before := g.usage(leader)
			b.ResetTimer()
			latencies := proposeAll(b, leader.replica, proposers, b.N)
			b.StopTimer()
			g.usage(leader).since(before).report(b)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
			g.stop()
		})
	}
}

// proposeAll makes count proposals from the given number of concurrent proposers and
// returns their latencies in microseconds.
func proposeAll(b *testing.B, r *Replica, proposers, count int) *hdrhistogram.Histogram {
	var mutex sync.Mutex
	var group sync.WaitGroup
	var next atomic.Int64
	latencies := hdrhistogram.New(1, 60_000_000, 3)
	for range proposers {
		group.Go(func() {
			own := hdrhistogram.New(1, 60_000_000, 3)
			for next.Add(1) <= int64(count) {
				started := time.Now()
				if _, err := r.Propose(context.Background(), make([]byte, 256)); err != nil {
					b.Error(err)
					return
				}
				own.RecordValue(time.Since(started).Microseconds())
			}
			mutex.Lock()
			defer mutex.Unlock()
			latencies.Merge(own)
		})
	}
	group.Wait()
	return latencies
}

// BenchmarkRecovery measures opening a disk with a log of 256-byte entries and no
// snapshot.
func BenchmarkRecovery(b *testing.B) {
	for _, count := range []uint64{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			dir := b.TempDir()
			writeLog(b, dir, count)
			for b.Loop() {
				disk, err := OpenDisk(DiskOptions{Dir: dir, Group: testGroup})
				must.NoError(b, err)
				initial, err := disk.Load()
				must.NoError(b, err)
				must.Eq(b, int(count), len(initial.Entries))
				must.NoError(b, disk.Close())
			}
		})
	}
}

func writeLog(b *testing.B, dir string, count uint64) {
	disk, err := OpenDisk(DiskOptions{Dir: dir, Group: testGroup})
	must.NoError(b, err)
	const batch = 50
	for first := uint64(1); first <= count; first += batch {
		var entries []raft.Entry
		for index := first; index < first+batch; index++ {
			entries = append(entries, raft.Entry{Term: 1, Index: index, Data: make([]byte, 256)})
		}
		must.NoError(b, disk.Save(Update{HardState: &raft.HardState{Term: 1}, Entries: entries, MustSync: true}))
	}
	must.NoError(b, disk.Close())
}

// BenchmarkFailover measures the time from the kill of the leader to the first commit
// of its successor.
func BenchmarkFailover(b *testing.B) {
	for _, timeout := range []time.Duration{500 * time.Millisecond, time.Second} {
		b.Run(fmt.Sprintf("election=%v", timeout), func(b *testing.B) {
			g := newProcessGroup(b, 3, func(c *Config) {
				c.Raft.ElectionTimeout = timeout
				c.Raft.LeaseDuration = timeout * 4 / 5
			})
			times := hdrhistogram.New(1, 60_000, 3)
			for b.Loop() {
				old := g.leader(nil)
				started := time.Now()
				g.kill(old)
				proposeUntilCommitted(b, g, old)
				times.RecordValue(time.Since(started).Milliseconds())
				g.restart(old)
			}
			b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-ms")
			b.ReportMetric(float64(times.Max()), "max-ms")
			g.stop()
		})
	}
}

func proposeUntilCommitted(b *testing.B, g *processGroup, excluded *testProcess) {
	for {
		if _, err := g.leader(excluded).replica.Propose(context.Background(), []byte("next")); err == nil {
			return
		}
	}
}
