package replica

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/shoenig/test/must"
)

// usage is the resources that a group has used so far.
type usage struct {
	cpuTime time.Duration // CPU time of the whole process: all members and proposers
	disk    int64         // bytes in the leader's log
	network int64         // bytes that the leader has sent
}

func (g *processGroup) usage(leader *testProcess) usage {
	var resources syscall.Rusage
	must.NoError(g.t, syscall.Getrusage(syscall.RUSAGE_SELF, &resources))
	return usage{
		cpuTime: time.Duration(resources.Utime.Nano() + resources.Stime.Nano()),
		disk:    logBytes(g.t, leader.dir),
		network: leader.sentBytes.Load(),
	}
}

// logBytes returns the total size of the log's segments. The log doesn't shrink during
// a benchmark without snapshots.
func logBytes(t testing.TB, dir string) int64 {
	total := int64(0)
	must.NoError(t, filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".wal") {
			return err
		}
		info, err := entry.Info()
		if err == nil {
			total += info.Size()
		}
		return err
	}))
	return total
}

func (u usage) since(before usage) usage {
	return usage{u.cpuTime - before.cpuTime, u.disk - before.disk, u.network - before.network}
}

// report reports the average cost per commit as benchmark metrics.
func (u usage) report(b *testing.B) {
	b.ReportMetric(float64(u.cpuTime.Microseconds())/float64(b.N), "cpu-µs/commit")
	b.ReportMetric(float64(u.disk)/float64(b.N), "disk-B/commit")
	b.ReportMetric(float64(u.network)/float64(b.N), "net-B/commit")
}

// noSnapshots disables snapshots, so that the log is not compacted and its growth can
// be measured.
func noSnapshots(c *Config) {
	c.StateMachine = &commandCounter{}
	c.SnapshotEntries = 1 << 40
	c.SnapshotBytes = 1 << 40
}

// BenchmarkLearners measures commits of 256 bytes by 64 proposers in a group of three
// voters and several learners; the increase per learner is the cost of one learner.
func BenchmarkLearners(b *testing.B) {
	for _, learners := range []int{0, 2, 4} {
		b.Run(fmt.Sprintf("learners=%d", learners), func(b *testing.B) {
			g := newProcessGroup(b, 3, noSnapshots)
			for range learners {
				g.addLearner()
			}
			leader := g.leader(nil)
			before := g.usage(leader)
			b.ResetTimer()
			proposeAll(b, leader.replica, 64, b.N)
			b.StopTimer()
			g.usage(leader).since(before).report(b)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			g.stop()
		})
	}
}

// BenchmarkRecoveryFromSnapshot measures opening a disk with a snapshot of the given
// size and 10,000 entries of 256 bytes after it.
func BenchmarkRecoveryFromSnapshot(b *testing.B) {
	const tail = 10_000
	for _, mebibytes := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("MiB=%d", mebibytes), func(b *testing.B) {
			dir := b.TempDir()
			writeLog(b, dir, 2*tail)
			disk, err := OpenDisk(DiskOptions{Dir: dir, Group: testGroup})
			must.NoError(b, err)
			must.NoError(b, disk.SaveSnapshot(raft.Snapshot{
				Term: 1, Index: tail, Data: make([]byte, mebibytes<<20),
				Configuration: raft.Configuration{Voters: []raft.MemberID{1}},
			}))
			must.NoError(b, disk.Compact())
			must.NoError(b, disk.Close())
			for b.Loop() {
				disk, err := OpenDisk(DiskOptions{Dir: dir, Group: testGroup})
				must.NoError(b, err)
				initial, err := disk.Load()
				must.NoError(b, err)
				must.Eq(b, tail, len(initial.Entries))
				must.NoError(b, disk.Close())
			}
		})
	}
}
