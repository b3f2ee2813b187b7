// Package snap stores the snapshot files of one Raft member. A snapshot is written
// to a temporary file, synced and renamed, and the directory is synced, so a file
// with a snapshot's name is complete unless the disk corrupted it. The last two
// snapshots are kept: if the newest is corrupt, the member can recover from the one
// before it as long as the log holds every entry after that one.
package snap

import (
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/pkg/errors"
)

// ErrCorrupt means that a snapshot file is corrupt. Load returns it if no intact
// snapshot is left from which the log can continue.
var ErrCorrupt = errors.New("snap: corrupt snapshot")

const (
	snapshotMagic   = 0x4c54_534e_0000_0001
	snapshotSuffix  = ".snap"
	temporarySuffix = ".tmp"
	corruptSuffix   = ".damaged"
	checksumSize    = 4
	retainedCount   = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// snapshotID identifies a snapshot by the index and term in its file name.
type snapshotID struct{ index, term uint64 }

func (id snapshotID) fileName() string {
	return fmt.Sprintf("%016x-%016x%s", id.index, id.term, snapshotSuffix)
}

// parseFileName returns the snapshot that a file name identifies, or false for any
// other file.
func parseFileName(name string) (snapshotID, bool) {
	stem, found := strings.CutSuffix(name, snapshotSuffix)
	if !found || len(stem) != 33 || stem[16] != '-' {
		return snapshotID{}, false
	}
	index, indexErr := strconv.ParseUint(stem[:16], 16, 64)
	term, termErr := strconv.ParseUint(stem[17:], 16, 64)
	return snapshotID{index: index, term: term}, indexErr == nil && termErr == nil
}

// Store manages the snapshots in one directory. It is safe for concurrent use.
type Store struct {
	fileSystem wal.FileSystem
	dir        string
	mutex      sync.Mutex
	snapshots  []snapshotID // oldest first
}

// Open lists the snapshots in the directory, which must exist. It removes temporary
// files left by a crash.
func Open(fileSystem wal.FileSystem, dir string) (*Store, error) {
	store := &Store{fileSystem: fileSystem, dir: dir}
	names, err := fileSystem.List(dir)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix+temporarySuffix) {
			if err := fileSystem.Remove(filepath.Join(dir, name)); err != nil {
				return nil, err
			}
			continue
		}
		if id, ok := parseFileName(name); ok {
			store.snapshots = append(store.snapshots, id)
		}
	}
	return store, nil
}

// LoadResult is the result of Load.
type LoadResult struct {
	Snapshot raft.Snapshot
	Found    bool
	// Damaged is the number of newer snapshots that were skipped as corrupt.
	Damaged int
}

// Load returns the newest intact snapshot. If the newest is corrupt, it falls back
// to an older one only if logHoldsEntriesAfter reports that the log still holds
// every entry after that one's index; otherwise it returns ErrCorrupt. If it finds an
// intact snapshot, it renames the newer, corrupt files, so that they never count as
// one of the snapshots kept.
func (s *Store) Load(logHoldsEntriesAfter func(index uint64) bool) (LoadResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	loaded := LoadResult{}
	for position := len(s.snapshots) - 1; position >= 0; position-- {
		id := s.snapshots[position]
		if loaded.Damaged > 0 && !logHoldsEntriesAfter(id.index) {
			return LoadResult{}, errors.Wrapf(ErrCorrupt, "the log does not hold every entry after snapshot %d", id.index)
		}
		snapshot, err := s.read(id)
		if err == nil {
			loaded.Snapshot, loaded.Found = snapshot, true
			return loaded, s.renameCorruptFrom(position + 1)
		}
		if !errors.Is(err, ErrCorrupt) {
			return LoadResult{}, err
		}
		loaded.Damaged++
	}
	if loaded.Damaged > 0 {
		return LoadResult{}, errors.Wrap(ErrCorrupt, "all snapshots are corrupt")
	}
	return loaded, nil
}

// renameCorruptFrom renames the corrupt snapshots from position on and removes them
// from the list.
func (s *Store) renameCorruptFrom(position int) error {
	if position == len(s.snapshots) {
		return nil
	}
	for _, id := range s.snapshots[position:] {
		name := filepath.Join(s.dir, id.fileName())
		if err := s.fileSystem.Rename(name, name+corruptSuffix); err != nil {
			return err
		}
	}
	s.snapshots = s.snapshots[:position]
	return s.fileSystem.SyncDir(s.dir)
}

func (s *Store) read(id snapshotID) (raft.Snapshot, error) {
	data, err := s.fileSystem.ReadFile(filepath.Join(s.dir, id.fileName()))
	if err != nil {
		return raft.Snapshot{}, err
	}
	snapshot, err := decode(data)
	if err != nil {
		return raft.Snapshot{}, errors.Wrapf(ErrCorrupt, "%s: %v", id.fileName(), err)
	}
	if snapshot.Index != id.index || snapshot.Term != id.term {
		return raft.Snapshot{}, errors.Wrapf(ErrCorrupt, "%s contains snapshot %d", id.fileName(), snapshot.Index)
	}
	return snapshot, nil
}

// Save makes the snapshot durable and removes all but the last two. It ignores a
// snapshot that is not newer than the newest one stored.
func (s *Store) Save(snapshot raft.Snapshot) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if count := len(s.snapshots); count > 0 && s.snapshots[count-1].index >= snapshot.Index {
		return nil
	}
	id := snapshotID{index: snapshot.Index, term: snapshot.Term}
	if err := wal.WriteFile(s.fileSystem, filepath.Join(s.dir, id.fileName()), encode(snapshot)); err != nil {
		return err
	}
	s.snapshots = append(s.snapshots, id)
	return s.removeOld()
}

func (s *Store) removeOld() error {
	for len(s.snapshots) > retainedCount {
		if err := s.fileSystem.Remove(filepath.Join(s.dir, s.snapshots[0].fileName())); err != nil {
			return err
		}
		s.snapshots = s.snapshots[1:]
	}
	return nil
}

// OldestIndex returns the index of the oldest snapshot kept; the log must hold every
// entry after it. It returns false if there is no snapshot.
func (s *Store) OldestIndex() (uint64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.snapshots) == 0 {
		return 0, false
	}
	return s.snapshots[0].index, true
}

// Discard removes all snapshots, including corrupt ones, from the directory.
func Discard(fileSystem wal.FileSystem, dir string) error {
	names, err := fileSystem.List(dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		_, isSnapshot := parseFileName(name)
		if !isSnapshot && !strings.HasSuffix(name, snapshotSuffix+corruptSuffix) {
			continue
		}
		if err := fileSystem.Remove(filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return fileSystem.SyncDir(dir)
}

func encode(snapshot raft.Snapshot) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(snapshotMagic)
	data := snapshot.AppendBinary(encoder.Data())
	encoder = frame.NewEncoder(data)
	encoder.Uint32(crc32.Checksum(data, castagnoli))
	return encoder.Data()
}

func decode(data []byte) (raft.Snapshot, error) {
	if len(data) < checksumSize {
		return raft.Snapshot{}, errors.New("file is shorter than its checksum")
	}
	content := data[:len(data)-checksumSize]
	trailer := frame.NewDecoder(data[len(content):])
	if trailer.Uint32() != crc32.Checksum(content, castagnoli) {
		return raft.Snapshot{}, errors.New("checksum mismatch")
	}
	decoder := frame.NewDecoder(content)
	if decoder.Uint64() != snapshotMagic {
		return raft.Snapshot{}, errors.New("invalid magic number")
	}
	return raft.DecodeSnapshot(decoder.Raw(decoder.Remaining()))
}
