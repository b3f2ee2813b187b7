package replica

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"testing"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/snap"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/landingtrail/landingtrail/process/wal/faultfs"
	"github.com/shoenig/test/must"
)

const (
	testDir   = "member"
	testGroup = 5
)

func openDisk(fileSystem wal.FileSystem) (*Disk, error) {
	return OpenDisk(DiskOptions{FileSystem: fileSystem, Dir: testDir, Group: testGroup, SegmentBytes: 1024})
}

func mustOpen(t *testing.T, fileSystem wal.FileSystem) (*Disk, raft.InitialState) {
	t.Helper()
	disk, err := openDisk(fileSystem)
	must.NoError(t, err)
	initial, err := disk.Load()
	must.NoError(t, err)
	return disk, initial
}

// save stores the entries from first to last, one per Save.
func save(t *testing.T, disk *Disk, first, last uint64) {
	t.Helper()
	for index := first; index <= last; index++ {
		must.NoError(t, disk.Save(Update{
			HardState: &raft.HardState{Term: 2, Vote: 1, Commit: index},
			Entries:   []raft.Entry{{Term: 2, Index: index, Data: make([]byte, 50)}},
			MustSync:  true,
		}))
	}
}

func snapshotAt(term, index uint64) raft.Snapshot {
	return raft.Snapshot{
		Term:          term,
		Index:         index,
		Configuration: raft.Configuration{Voters: []raft.MemberID{1, 2, 3}},
		Data:          []byte(fmt.Sprint("state at ", index)),
	}
}

// snapshotAndCompact saves a local snapshot and compacts the log, as a replica does.
func snapshotAndCompact(t *testing.T, disk *Disk, index uint64) {
	t.Helper()
	must.NoError(t, disk.SaveSnapshot(snapshotAt(2, index)))
	must.NoError(t, disk.Compact())
}

func snapshotPath(term, index uint64) string {
	return filepath.Join(testDir, fmt.Sprintf("%016x-%016x.snap", index, term))
}

func flipBit(content []byte) []byte {
	content[len(content)/2] ^= 1
	return content
}

func TestDiskKeepsBootstrapAndState(t *testing.T) {
	fileSystem := faultfs.New(1)
	disk, _ := mustOpen(t, fileSystem)
	must.True(t, disk.Empty())
	configuration := raft.Configuration{Voters: []raft.MemberID{1, 2, 3}}
	must.NoError(t, disk.Bootstrap(configuration))
	must.NoError(t, disk.Close())
	disk, initial := mustOpen(t, fileSystem)
	must.False(t, disk.Empty())
	must.Eq(t, configuration, initial.Configuration)
	save(t, disk, 1, 40)
	snapshotAndCompact(t, disk, 30)
	must.NoError(t, disk.Close())
	_, initial = mustOpen(t, fileSystem)
	must.Eq(t, snapshotAt(2, 30), initial.Snapshot)
	must.Eq(t, 31, initial.Entries[0].Index)
	must.Eq(t, 10, len(initial.Entries))
	must.Eq(t, 40, initial.HardState.Commit)
}

func TestDamagedNewestSnapshotFallsBack(t *testing.T) {
	fileSystem := faultfs.New(1)
	disk, _ := mustOpen(t, fileSystem)
	save(t, disk, 1, 60)
	for _, index := range []uint64{20, 40, 60} {
		snapshotAndCompact(t, disk, index)
	}
	must.NoError(t, disk.Close())
	fileSystem.Edit(snapshotPath(2, 60), flipBit)
	disk, initial := mustOpen(t, fileSystem)
	must.Eq(t, 1, disk.Recovery().DamagedSnapshots)
	must.Eq(t, 40, initial.Snapshot.Index)
	must.Eq(t, 20, len(initial.Entries))
	save(t, disk, 61, 70)
	snapshotAndCompact(t, disk, 70)
	must.NoError(t, disk.Close())
	// The corrupt file must not count as one of the two snapshots kept.
	fileSystem.Edit(snapshotPath(2, 70), flipBit)
	_, initial = mustOpen(t, fileSystem)
	must.Eq(t, 40, initial.Snapshot.Index)
	must.Eq(t, 70, initial.Entries[len(initial.Entries)-1].Index)
}

func TestDamagedSnapshotsStopTheMember(t *testing.T) {
	for name, prepare := range map[string]func(*testing.T, *Disk, *faultfs.FileSystem){
		"both damaged": func(t *testing.T, disk *Disk, fileSystem *faultfs.FileSystem) {
			snapshotAndCompact(t, disk, 20)
			snapshotAndCompact(t, disk, 40)
			fileSystem.Edit(snapshotPath(2, 20), flipBit)
			fileSystem.Edit(snapshotPath(2, 40), flipBit)
		},
		"log restarted after the newest": func(t *testing.T, disk *Disk, fileSystem *faultfs.FileSystem) {
			snapshotAndCompact(t, disk, 20)
			received := snapshotAt(2, 100)
			must.NoError(t, disk.Save(Update{Snapshot: &received, MustSync: true}))
			fileSystem.Edit(snapshotPath(2, 100), flipBit)
		},
	} {
		t.Run(name, func(t *testing.T) {
			fileSystem := faultfs.New(1)
			disk, _ := mustOpen(t, fileSystem)
			save(t, disk, 1, 40)
			prepare(t, disk, fileSystem)
			must.NoError(t, disk.Close())
			_, err := openDisk(fileSystem)
			must.ErrorIs(t, err, snap.ErrCorrupt)
		})
	}
}

func TestLogThatEndsBeforeItsSnapshotIsLost(t *testing.T) {
	fileSystem := faultfs.New(1)
	disk, _ := mustOpen(t, fileSystem)
	save(t, disk, 1, 5)
	earlierLog, err := fileSystem.ReadFile(filepath.Join(testDir, fmt.Sprintf("%016x.wal", 1)))
	must.NoError(t, err)
	save(t, disk, 6, 8)
	must.NoError(t, disk.SaveSnapshot(snapshotAt(2, 8)))
	must.NoError(t, disk.Close())
	fileSystem.Edit(filepath.Join(testDir, fmt.Sprintf("%016x.wal", 1)), func([]byte) []byte { return earlierLog })
	_, err = openDisk(fileSystem)
	must.ErrorIs(t, err, wal.ErrLostLog)
	must.NoError(t, DiscardDisk(fileSystem, testDir))
	disk, _ = mustOpen(t, fileSystem)
	must.True(t, disk.Empty())
}

// If the entries right after the snapshot are missing, the log must not open.
func TestLogThatDoesNotReachBackToItsSnapshotIsLost(t *testing.T) {
	fileSystem := faultfs.New(1)
	disk, _ := mustOpen(t, fileSystem)
	save(t, disk, 1, 60)
	snapshotAndCompact(t, disk, 20)
	must.NoError(t, disk.Close())
	names, err := fileSystem.List(testDir)
	must.NoError(t, err)
	segments := slices.DeleteFunc(names, func(name string) bool { return filepath.Ext(name) != ".wal" })
	for _, name := range segments[:len(segments)-1] {
		fileSystem.Destroy(filepath.Join(testDir, name))
	}
	_, err = openDisk(fileSystem)
	must.ErrorIs(t, err, wal.ErrLostLog)
}

func TestLogThatEndsBeforeItsCommitIndexIsLost(t *testing.T) {
	fileSystem := faultfs.New(1)
	disk, _ := mustOpen(t, fileSystem)
	save(t, disk, 1, 5)
	must.NoError(t, disk.log.Save(&raft.HardState{Term: 2, Vote: 1, Commit: 6}, nil))
	must.NoError(t, disk.Close())
	_, err := openDisk(fileSystem)
	must.ErrorIs(t, err, wal.ErrLostLog)
}

// A vote is saved without entries and must still survive a crash.
func TestVoteIsDurableWhenSaveReturns(t *testing.T) {
	fileSystem := faultfs.New(1)
	disk, _ := mustOpen(t, fileSystem)
	save(t, disk, 1, 5)
	vote := raft.HardState{Term: 7, Vote: 3, Commit: 5}
	must.NoError(t, disk.Save(Update{HardState: &vote, MustSync: true}))
	fileSystem.Crash()
	_, initial := mustOpen(t, fileSystem)
	must.Eq(t, vote, initial.HardState)
}

// A crash at any point of installing a received snapshot must leave either the old log
// intact or the new snapshot with an empty log. With the new snapshot, its term must
// not be lost.
func TestInstallationSurvivesCrashes(t *testing.T) {
	installed, kept := 0, 0
	for operations := range 25 {
		for seed := range uint64(20) {
			fileSystem := faultfs.New(seed)
			disk, _ := mustOpen(t, fileSystem)
			save(t, disk, 1, 10)
			fileSystem.StopAfter(operations)
			received := snapshotAt(3, 50)
			err := disk.Save(Update{
				HardState: &raft.HardState{Term: 3, Commit: 50},
				Snapshot:  &received,
				MustSync:  true,
			})
			fileSystem.Crash()
			disk, initial := mustOpen(t, fileSystem)
			switch initial.Snapshot.Index {
			case 50:
				installed++
				must.Eq(t, 0, len(initial.Entries))
				must.Eq(t, 3, initial.HardState.Term)
			case 0:
				kept++
				must.Error(t, err)
				must.Eq(t, 10, len(initial.Entries))
			}
			last := max(initial.Snapshot.Index, 10)
			save(t, disk, last+1, last+3)
			must.NoError(t, disk.Close())
			_, initial = mustOpen(t, fileSystem)
			must.Eq(t, last+3, initial.Entries[len(initial.Entries)-1].Index)
		}
	}
	must.Positive(t, installed)
	must.Positive(t, kept)
}

// After an interrupted installation the member may reach the snapshot's index through
// its own log. Recovery must then not drop the log entries after that index.
func TestAbandonedInstallationIsForgotten(t *testing.T) {
	fileSystem := faultfs.New(1)
	disk, _ := mustOpen(t, fileSystem)
	save(t, disk, 1, 10)
	must.NoError(t, disk.log.BeginInstall(2, 20))
	must.NoError(t, disk.Close())
	disk, _ = mustOpen(t, fileSystem)
	save(t, disk, 11, 30)
	must.NoError(t, disk.SaveSnapshot(snapshotAt(2, 20)))
	must.NoError(t, disk.Close())
	_, initial := mustOpen(t, fileSystem)
	must.Eq(t, 20, initial.Snapshot.Index)
	must.Eq(t, 10, len(initial.Entries))
}

func TestDiskIsUnusableAfterAFailedSync(t *testing.T) {
	fileSystem := faultfs.New(1)
	disk, _ := mustOpen(t, fileSystem)
	save(t, disk, 1, 3)
	fileSystem.FailSyncs(1)
	update := Update{Entries: []raft.Entry{{Term: 2, Index: 4}}, MustSync: true}
	must.ErrorIs(t, disk.Save(update), faultfs.ErrSync)
	must.ErrorIs(t, disk.Save(update), wal.ErrUnusable)
	_, err := disk.Load()
	must.Error(t, err)
	must.True(t, errors.Is(disk.Compact(), wal.ErrUnusable) || disk.Compact() == nil)
}

func TestMemoryFollowsTheStorageContract(t *testing.T) {
	memory := NewMemory()
	configuration := raft.Configuration{Voters: []raft.MemberID{1}}
	must.NoError(t, memory.Bootstrap(configuration))
	entries := []raft.Entry{{Term: 1, Index: 1}, {Term: 1, Index: 2}, {Term: 1, Index: 3}}
	must.NoError(t, memory.Save(Update{HardState: &raft.HardState{Term: 1}, Entries: entries}))
	must.NoError(t, memory.Save(Update{Entries: []raft.Entry{{Term: 2, Index: 2}}}))
	must.Error(t, memory.Save(Update{Entries: []raft.Entry{{Term: 2, Index: 4}}}))
	must.NoError(t, memory.SaveSnapshot(raft.Snapshot{Term: 1, Index: 1, Configuration: configuration}))
	must.NoError(t, memory.Compact())
	initial, err := memory.Load()
	must.NoError(t, err)
	must.Eq(t, []raft.Entry{{Term: 2, Index: 2}}, initial.Entries)
	must.NoError(t, memory.Save(Update{Snapshot: &raft.Snapshot{Term: 2, Index: 9}}))
	must.NoError(t, memory.Save(Update{Entries: []raft.Entry{{Term: 2, Index: 10}}}))
	initial, err = memory.Load()
	must.NoError(t, err)
	must.Eq(t, 9, initial.Snapshot.Index)
	must.Eq(t, 10, initial.Entries[0].Index)
}
