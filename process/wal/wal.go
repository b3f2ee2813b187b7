// Package wal is the durable log of one member: its hard state and its entries,
// in segment files of checksummed records. Every Save is one record, written and
// synced before Save returns, so after a crash the log holds each Save that
// returned, and of the one that did not either all or nothing.
//
// A record that fails its checksum is a torn tail only where a crash can have
// left one; anywhere else it is damage and the log does not open. A log that
// held something and is empty or missing does not open either, because a member
// that forgot its vote must not vote again.
package wal

import (
	"io"
	"path/filepath"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// Errors of opening and using a Log.
var (
	// ErrCorrupt says that durable state is damaged. The member must not run.
	ErrCorrupt = errors.New("wal: damaged")
	// ErrLostLog says that the folder has an identity but its log is gone, wholly
	// or in part. The member must come back under a new identity: see Discard.
	ErrLostLog = errors.New("wal: log was lost")
	// ErrWrongGroup says that the folder belongs to another group.
	ErrWrongGroup = errors.New("wal: folder belongs to another group")
	// ErrUnusable says that an earlier write or sync failed. What is on the disk
	// is unknown until the log is opened again.
	ErrUnusable = errors.New("wal: unusable after a failure")
)

// DefaultSegmentBytes is the size at which a segment is followed by a new one.
const DefaultSegmentBytes = 8 << 20

// maxBatchBytes is where a Save is split into several records. It bounds the
// search for good records after a bad one.
const maxBatchBytes = 4 << 20

// Options says where a Log is kept.
type Options struct {
	FileSystem   FileSystem // OS{} when nil
	Dir          string
	Group        uint64
	SegmentBytes int64 // DefaultSegmentBytes when 0
}

// Log is an open log. It is for one goroutine at a time.
type Log struct {
	fileSystem   FileSystem
	dir          string
	segmentBytes int64
	lock         io.Closer
	identity     Identity
	used         bool
	current      *segment
	spans        []span
	hardState    raft.HardState
	last         position
	install      position
	err          error
}

// Open opens the log in the folder, or makes a new one with a new identity in an
// empty folder.
func Open(options Options) (*Log, Recovered, error) {
	log := newLog(options)
	if err := log.fileSystem.MakeDir(log.dir); err != nil {
		return nil, Recovered{}, err
	}
	lock, err := log.fileSystem.Lock(log.dir)
	if err != nil {
		return nil, Recovered{}, err
	}
	log.lock = lock
	recovered, err := log.open(options.Group)
	if err != nil {
		lock.Close()
		return nil, Recovered{}, err
	}
	return log, recovered, nil
}

func newLog(options Options) *Log {
	log := &Log{
		fileSystem:   options.FileSystem,
		dir:          options.Dir,
		segmentBytes: options.SegmentBytes,
	}
	if log.fileSystem == nil {
		log.fileSystem = OS{}
	}
	if log.segmentBytes == 0 {
		log.segmentBytes = DefaultSegmentBytes
	}
	return log
}

func (l *Log) open(group uint64) (Recovered, error) {
	content, found, err := readIdentity(l.fileSystem, l.dir)
	if err != nil {
		return Recovered{}, err
	}
	sequences, err := listSegments(l.fileSystem, l.dir)
	if err != nil {
		return Recovered{}, err
	}
	if !found {
		return l.create(group, sequences)
	}
	l.identity, l.used = content.identity, content.used
	if l.identity.Group != group {
		return Recovered{}, errors.Wrapf(ErrWrongGroup, "group %x, expected %x", l.identity.Group, group)
	}
	if len(sequences) == 0 {
		return Recovered{}, errors.Wrap(ErrLostLog, "no segments")
	}
	return l.recover(sequences)
}

// create makes the first segment and then the identity, so that an identity
// without a segment always means a lost log.
func (l *Log) create(group uint64, sequences []uint64) (Recovered, error) {
	if err := l.checkUnused(sequences); err != nil {
		return Recovered{}, err
	}
	l.identity = Identity{Group: group, Member: newMember()}
	current, err := createSegment(l.fileSystem, l.dir, start{identity: l.identity, sequence: 1})
	if err != nil {
		return Recovered{}, err
	}
	if err := writeIdentity(l.fileSystem, l.dir, identityFile{identity: l.identity}); err != nil {
		current.file.Close()
		return Recovered{}, err
	}
	l.current = current
	l.spans = []span{{sequence: 1}}
	return Recovered{Identity: l.identity}, nil
}

// checkUnused allows a folder without identity only what a crash during create
// leaves: the first segment without records.
func (l *Log) checkUnused(sequences []uint64) error {
	if len(sequences) == 0 {
		return nil
	}
	contents, err := readSegments(l.fileSystem, l.dir, sequences)
	if err != nil {
		return err
	}
	if len(contents) > 1 || sequences[0] != 1 || len(contents[0].records) > 0 {
		return errors.Wrap(ErrLostLog, "segments without an identity")
	}
	return nil
}

func (l *Log) recover(sequences []uint64) (Recovered, error) {
	contents, err := readSegments(l.fileSystem, l.dir, sequences)
	if err != nil {
		return Recovered{}, err
	}
	if err := checkTails(contents); err != nil {
		return Recovered{}, err
	}
	state := recovery{identity: l.identity}
	for _, content := range contents {
		if err := state.replay(content); err != nil {
			return Recovered{}, err
		}
	}
	if l.used && sequences[0] == 1 && state.records == 0 {
		return Recovered{}, errors.Wrap(ErrLostLog, "log is empty")
	}
	l.hardState, l.last, l.install, l.spans = state.hardState, state.last, state.install, state.spans
	torn, err := l.repairTails(contents)
	if err != nil {
		return Recovered{}, err
	}
	return Recovered{
		Identity:     l.identity,
		HardState:    state.hardState,
		Entries:      state.entries,
		LastTerm:     state.last.term,
		LastIndex:    state.last.index,
		InstallTerm:  state.install.term,
		InstallIndex: state.install.index,
		TornBytes:    torn,
	}, nil
}

// repairTails rewrites the segments whose end a crash can have left in doubt: the
// last one, without its torn tail, and the one before it when the last was never
// used, with its seal. They are written anew and not only synced, because after a
// failed sync the operating system may hold pages as clean that never reached
// the disk.
func (l *Log) repairTails(contents []segmentContent) (int64, error) {
	last := contents[len(contents)-1]
	if len(contents) > 1 && len(last.records) == 0 {
		if err := l.rewriteSealed(contents[len(contents)-2]); err != nil {
			return 0, err
		}
	}
	name := filepath.Join(l.dir, last.name)
	if err := WriteFile(l.fileSystem, name, last.data[:last.valid]); err != nil {
		return 0, err
	}
	file, err := l.fileSystem.Append(name)
	if err != nil {
		return 0, err
	}
	l.current = &segment{file: file, sequence: last.sequence, salt: last.salt, size: last.valid}
	return last.size - last.valid, nil
}

// rewriteSealed writes the segment with its seal, which may be missing or torn.
func (l *Log) rewriteSealed(content segmentContent) error {
	data := content.data[:content.valid:content.valid]
	if !content.sealed() {
		seal := record{kind: recordSeal, payload: encodeSeal(content.sequence + 1)}
		data = appendRecord(data, content.salt, content.valid, seal)
	}
	return WriteFile(l.fileSystem, filepath.Join(l.dir, content.name), data)
}

// Identity returns the folder's identity.
func (l *Log) Identity() Identity { return l.identity }

// Close releases the folder. Nothing is written: every Save that returned is
// durable already.
func (l *Log) Close() error {
	if l.current == nil {
		return nil
	}
	err := l.current.file.Close()
	l.current = nil
	if lockErr := l.lock.Close(); err == nil {
		err = lockErr
	}
	l.fail(errors.New("closed"))
	return errors.WithStack(err)
}

// fail makes the log refuse all further use.
func (l *Log) fail(err error) error {
	if l.err == nil {
		l.err = errors.Wrap(ErrUnusable, err.Error())
	}
	return err
}

// Discard removes the identity and the log from the folder, so that the next
// Open makes a new member. It is for a folder whose log was lost or damaged; the
// group must have the lost member replaced by the new one.
func Discard(fileSystem FileSystem, dir string) error {
	lock, err := fileSystem.Lock(dir)
	if err != nil {
		return err
	}
	defer lock.Close()
	names, err := fileSystem.List(dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		_, isSegment := parseSegmentName(name)
		if !isSegment && name != identityName {
			continue
		}
		if err := fileSystem.Remove(filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return fileSystem.SyncDir(dir)
}
