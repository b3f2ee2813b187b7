package snap_test

import (
	"fmt"
	"hash/crc32"
	"path/filepath"
	"testing"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/snap"
	"github.com/landingtrail/landingtrail/process/wal/faultfs"
	"github.com/shoenig/test/must"
)

const testDir = "member"

// holdsAllEntries is the argument of Load for a complete log.
func holdsAllEntries(uint64) bool { return true }

func snapshotAt(index uint64) raft.Snapshot {
	return raft.Snapshot{
		Term:          2,
		Index:         index,
		Configuration: raft.Configuration{Voters: []raft.MemberID{1, 2, 3}},
		Data:          []byte(fmt.Sprint("state at ", index)),
	}
}

func snapshotPath(index uint64) string {
	return filepath.Join(testDir, fmt.Sprintf("%016x-%016x.snap", index, 2))
}

// storeWith returns a file system and a store with snapshots at the indexes.
func storeWith(t must.T, indexes ...uint64) (*faultfs.FileSystem, *snap.Store) {
	t.Helper()
	fileSystem := faultfs.New(1)
	store, err := snap.Open(fileSystem, testDir)
	must.NoError(t, err)
	for _, index := range indexes {
		must.NoError(t, store.Save(snapshotAt(index)))
	}
	return fileSystem, store
}

func load(t must.T, fileSystem *faultfs.FileSystem) (snap.LoadResult, error) {
	t.Helper()
	store, err := snap.Open(fileSystem, testDir)
	must.NoError(t, err)
	return store.Load(holdsAllEntries)
}

func TestLastTwoSnapshotsAreKept(t *testing.T) {
	fileSystem, store := storeWith(t, 10, 20, 30)
	oldest, found := store.OldestIndex()
	must.True(t, found)
	must.Eq(t, 20, oldest)
	names, err := fileSystem.List(testDir)
	must.NoError(t, err)
	must.Len(t, 2, names)
	loaded, err := load(t, fileSystem)
	must.NoError(t, err)
	must.Eq(t, snapshotAt(30), loaded.Snapshot)
}

// A snapshot that the member took itself may be finished after a newer one was
// received.
func TestOlderSnapshotIsIgnored(t *testing.T) {
	fileSystem, store := storeWith(t, 10, 20)
	must.NoError(t, store.Save(snapshotAt(15)))
	must.NoError(t, store.Save(snapshotAt(20)))
	loaded, err := load(t, fileSystem)
	must.NoError(t, err)
	must.Eq(t, 20, loaded.Snapshot.Index)
	oldest, _ := store.OldestIndex()
	must.Eq(t, 10, oldest)
}

func TestSnapshotUnderAnotherNameIsDamaged(t *testing.T) {
	fileSystem, _ := storeWith(t, 10)
	must.NoError(t, fileSystem.Rename(snapshotPath(10), snapshotPath(12)))
	_, err := load(t, fileSystem)
	must.ErrorIs(t, err, snap.ErrCorrupt)
}

func TestDamageAtAnyOffsetIsDetected(t *testing.T) {
	fileSystem, _ := storeWith(t, 10)
	content, err := fileSystem.ReadFile(snapshotPath(10))
	must.NoError(t, err)
	for offset := range content {
		damaged, _ := storeWith(t, 10)
		damaged.Edit(snapshotPath(10), func(c []byte) []byte { c[offset] ^= 0x10; return c })
		_, err := load(t, damaged)
		must.ErrorIs(t, err, snap.ErrCorrupt)
		shortened, _ := storeWith(t, 10)
		shortened.Edit(snapshotPath(10), func(c []byte) []byte { return c[:offset] })
		_, err = load(t, shortened)
		must.ErrorIs(t, err, snap.ErrCorrupt)
	}
}

// A crash at any point during Save must leave either the previous or the new
// snapshot, and no temporary files after reopening.
func TestSaveSurvivesCrashes(t *testing.T) {
	kept, saved := 0, 0
	for operations := range 8 {
		for seed := range uint64(20) {
			fileSystem := faultfs.New(seed)
			store, err := snap.Open(fileSystem, testDir)
			must.NoError(t, err)
			must.NoError(t, store.Save(snapshotAt(10)))
			fileSystem.StopAfter(operations)
			err = store.Save(snapshotAt(20))
			fileSystem.Crash()
			loaded, loadErr := load(t, fileSystem)
			must.NoError(t, loadErr)
			switch loaded.Snapshot.Index {
			case 10:
				must.Error(t, err)
				kept++
			case 20:
				saved++
			}
			names, err := fileSystem.List(testDir)
			must.NoError(t, err)
			for _, name := range names {
				must.Eq(t, ".snap", filepath.Ext(name))
			}
		}
	}
	must.Positive(t, kept)
	must.Positive(t, saved)
}

// FuzzLoad loads a file of arbitrary content, with and without a valid checksum.
// Either it is rejected as corrupt, or it is encoded to the same bytes again.
func FuzzLoad(f *testing.F) {
	fileSystem, _ := storeWith(f, 10)
	content, err := fileSystem.ReadFile(snapshotPath(10))
	must.NoError(f, err)
	f.Add(content, false)
	f.Add(content[:len(content)-4], true)
	f.Fuzz(func(t *testing.T, content []byte, summed bool) {
		if summed {
			encoder := frame.NewEncoder(content)
			encoder.Uint32(crc32.Checksum(content, crc32.MakeTable(crc32.Castagnoli)))
			content = encoder.Data()
		}
		fileSystem, _ := storeWith(t, 10)
		fileSystem.Edit(snapshotPath(10), func([]byte) []byte { return content })
		loaded, err := load(t, fileSystem)
		if err != nil {
			must.ErrorIs(t, err, snap.ErrCorrupt)
			return
		}
		copied, store := storeWith(t)
		must.NoError(t, store.Save(loaded.Snapshot))
		again, err := copied.ReadFile(snapshotPath(10))
		must.NoError(t, err)
		must.Eq(t, content, again)
	})
}
