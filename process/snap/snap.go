// Package snap keeps the snapshot files of one member. A snapshot is written
// under a temporary name, synced, renamed and its folder synced, so a file that
// bears a snapshot's name is whole unless the disk damaged it. The last two are
// kept, so that damage to the newest can be borne while the log still reaches
// back to the one before it.
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

// ErrDamaged says that no snapshot file that the log reaches back to is good.
var ErrDamaged = errors.New("snap: damaged")

const (
	snapshotMagic   = 0x4c54_534e_0000_0001
	snapshotSuffix  = ".snap"
	temporarySuffix = ".tmp"
	damagedSuffix   = ".damaged"
	checksumSize    = 4
	retainedCount   = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// place names a snapshot file: its index and term.
type place struct{ index, term uint64 }

func (p place) name() string { return fmt.Sprintf("%016x-%016x%s", p.index, p.term, snapshotSuffix) }

// parseName returns false for files that are no snapshots.
func parseName(name string) (place, bool) {
	stem, found := strings.CutSuffix(name, snapshotSuffix)
	if !found || len(stem) != 33 || stem[16] != '-' {
		return place{}, false
	}
	index, indexErr := strconv.ParseUint(stem[:16], 16, 64)
	term, termErr := strconv.ParseUint(stem[17:], 16, 64)
	return place{index: index, term: term}, indexErr == nil && termErr == nil
}

// Store keeps the snapshots in one folder. Its methods may be called by several
// goroutines.
type Store struct {
	fileSystem wal.FileSystem
	dir        string
	mutex      sync.Mutex
	places     []place // oldest first
}

// Open lists the snapshots in the folder, which must exist. It removes files that
// a crash left half written.
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
		if p, ok := parseName(name); ok {
			store.places = append(store.places, p)
		}
	}
	return store, nil
}

// Loaded is the outcome of Load.
type Loaded struct {
	Snapshot raft.Snapshot
	Found    bool
	// Damaged counts newer snapshots that were passed over.
	Damaged int
}

// Load returns the newest good snapshot. When the newest is damaged it falls back
// to an older one only if logReaches says that the log still holds every entry
// after that one's index; otherwise it returns ErrDamaged. A damaged file is
// renamed, so that it never counts as one of the snapshots kept.
func (s *Store) Load(logReaches func(index uint64) bool) (Loaded, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	loaded := Loaded{}
	for position := len(s.places) - 1; position >= 0; position-- {
		p := s.places[position]
		if loaded.Damaged > 0 && !logReaches(p.index) {
			return Loaded{}, errors.Wrapf(ErrDamaged, "the log does not reach back to snapshot %d", p.index)
		}
		snapshot, err := s.read(p)
		if err == nil {
			loaded.Snapshot, loaded.Found = snapshot, true
			return loaded, s.setAside(position + 1)
		}
		if !errors.Is(err, ErrDamaged) {
			return Loaded{}, err
		}
		loaded.Damaged++
	}
	if loaded.Damaged > 0 {
		return Loaded{}, errors.Wrap(ErrDamaged, "no good snapshot is left")
	}
	return loaded, nil
}

// setAside renames the snapshots from position on, which are damaged.
func (s *Store) setAside(position int) error {
	if position == len(s.places) {
		return nil
	}
	for _, p := range s.places[position:] {
		name := filepath.Join(s.dir, p.name())
		if err := s.fileSystem.Rename(name, name+damagedSuffix); err != nil {
			return err
		}
	}
	s.places = s.places[:position]
	return s.fileSystem.SyncDir(s.dir)
}

func (s *Store) read(p place) (raft.Snapshot, error) {
	data, err := s.fileSystem.ReadFile(filepath.Join(s.dir, p.name()))
	if err != nil {
		return raft.Snapshot{}, err
	}
	snapshot, err := decode(data)
	if err != nil {
		return raft.Snapshot{}, errors.Wrapf(ErrDamaged, "%s: %v", p.name(), err)
	}
	if snapshot.Index != p.index || snapshot.Term != p.term {
		return raft.Snapshot{}, errors.Wrapf(ErrDamaged, "%s holds snapshot %d", p.name(), snapshot.Index)
	}
	return snapshot, nil
}

// Save makes the snapshot durable and removes all but the last two. A snapshot
// that is not newer than the newest is ignored.
func (s *Store) Save(snapshot raft.Snapshot) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if count := len(s.places); count > 0 && s.places[count-1].index >= snapshot.Index {
		return nil
	}
	p := place{index: snapshot.Index, term: snapshot.Term}
	if err := wal.WriteFile(s.fileSystem, filepath.Join(s.dir, p.name()), encode(snapshot)); err != nil {
		return err
	}
	s.places = append(s.places, p)
	return s.removeOld()
}

func (s *Store) removeOld() error {
	for len(s.places) > retainedCount {
		if err := s.fileSystem.Remove(filepath.Join(s.dir, s.places[0].name())); err != nil {
			return err
		}
		s.places = s.places[1:]
	}
	return nil
}

// OldestIndex returns the index of the oldest snapshot kept; the log must reach
// back to it. It returns false when there is none.
func (s *Store) OldestIndex() (uint64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.places) == 0 {
		return 0, false
	}
	return s.places[0].index, true
}

// Discard removes all snapshots from the folder.
func Discard(fileSystem wal.FileSystem, dir string) error {
	names, err := fileSystem.List(dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		_, isSnapshot := parseName(name)
		if !isSnapshot && !strings.HasSuffix(name, snapshotSuffix+damagedSuffix) {
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
		return raft.Snapshot{}, errors.New("too short")
	}
	content := data[:len(data)-checksumSize]
	trailer := frame.NewDecoder(data[len(content):])
	if trailer.Uint32() != crc32.Checksum(content, castagnoli) {
		return raft.Snapshot{}, errors.New("checksum mismatch")
	}
	decoder := frame.NewDecoder(content)
	if decoder.Uint64() != snapshotMagic {
		return raft.Snapshot{}, errors.New("bad magic")
	}
	return raft.DecodeSnapshot(decoder.Raw(decoder.Remaining()))
}
