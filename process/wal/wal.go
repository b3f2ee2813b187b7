// Package wal implements the write-ahead log of one Raft member. It stores the
// member's hard state and entries in segment files of checksummed records. Every
// Save appends a record and syncs it before it returns, so after a crash the log
// holds every Save that returned and either all or nothing of an interrupted one.
// Only a Save larger than maxBatchBytes spans several records.
//
// A record with a bad checksum is treated as a torn tail only where a crash can
// leave one. Anywhere else it is corruption, and the log refuses to open. A log
// that once held records and is now empty or missing also refuses to open, because
// a member that has lost the record of the votes it cast could vote twice in a term.
package wal

import (
	"io"
	"path/filepath"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// Errors returned when opening and using a Log.
var (
	// ErrCorrupt means that durable state is corrupt. The member must not run.
	ErrCorrupt = errors.New("wal: corrupt")
	// ErrLostLog means that the directory has an identity but that all or part of
	// its log is missing, or that it has a log without an identity. The member must
	// rejoin under a new identity: see Discard.
	ErrLostLog = errors.New("wal: log is missing or incomplete")
	// ErrWrongGroup means that the directory belongs to another group.
	ErrWrongGroup = errors.New("wal: directory belongs to another group")
	// ErrUnusable means that an earlier write or sync failed or that the log is
	// closed. After a failure the content on disk is unknown until the log is
	// reopened.
	ErrUnusable = errors.New("wal: unusable: closed or failed earlier")
)

// DefaultSegmentBytes is the size from which the log rotates to a new segment before
// the next record. The last record of a segment may exceed it.
const DefaultSegmentBytes = 8 << 20

// maxBatchBytes is the size above which a Save is split into several records. It
// bounds the search for valid records after an invalid one.
const maxBatchBytes = 4 << 20

// Options configures where a Log is stored.
type Options struct {
	FileSystem   FileSystem // OS{} when nil
	Dir          string
	Group        uint64
	SegmentBytes int64 // DefaultSegmentBytes when 0
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	fileSystem     FileSystem
	dir            string
	segmentBytes   int64
	lock           io.Closer
	identity       Identity
	hasRecords     bool
	current        *segment
	segments       []segmentInfo
	hardState      raft.HardState
	last           position
	pendingInstall position
	err            error
}

// Open opens the log in the directory. In an empty directory it creates a new log
// with a new identity. Errors: ErrLocked, ErrWrongGroup, ErrLostLog, ErrCorrupt and
// those of the file system.
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
	l.identity, l.hasRecords = content.identity, content.hasRecords
	if l.identity.Group != group {
		return Recovered{}, errors.Wrapf(ErrWrongGroup, "group %x, expected %x", l.identity.Group, group)
	}
	if len(sequences) == 0 {
		return Recovered{}, errors.Wrap(ErrLostLog, "identity file exists but there are no segments")
	}
	return l.recover(sequences)
}

// create writes the first segment and then the identity, so that an identity
// without a segment always means a lost log.
func (l *Log) create(group uint64, sequences []uint64) (Recovered, error) {
	if err := l.checkNoRecords(sequences); err != nil {
		return Recovered{}, err
	}
	l.identity = Identity{Group: group, Member: newMemberID()}
	current, err := createSegment(l.fileSystem, l.dir, startRecord{identity: l.identity, sequence: 1})
	if err != nil {
		return Recovered{}, err
	}
	if err := writeIdentity(l.fileSystem, l.dir, identityFile{identity: l.identity}); err != nil {
		current.file.Close()
		return Recovered{}, err
	}
	l.current = current
	l.segments = []segmentInfo{{sequence: 1}}
	return Recovered{Identity: l.identity}, nil
}

// checkNoRecords returns ErrLostLog unless a directory without an identity holds
// at most what a crash during create leaves behind: the first segment, without
// records after its start record.
func (l *Log) checkNoRecords(sequences []uint64) error {
	if len(sequences) == 0 {
		return nil
	}
	contents, err := readSegments(l.fileSystem, l.dir, sequences)
	if err != nil {
		return err
	}
	if len(contents) > 1 || sequences[0] != 1 || len(contents[0].records) > 0 {
		return errors.Wrap(ErrLostLog, "segments exist but the identity file is missing")
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
	if l.hasRecords && sequences[0] == 1 && state.records == 0 {
		return Recovered{}, errors.Wrap(ErrLostLog, "records were written but the log is empty")
	}
	l.hardState, l.last, l.pendingInstall, l.segments = state.hardState, state.last, state.pendingInstall, state.segments
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
		InstallTerm:  state.pendingInstall.term,
		InstallIndex: state.pendingInstall.index,
		TornBytes:    torn,
	}, nil
}

// repairTails rewrites the segments whose end may be incomplete after a crash: the
// last segment without its torn tail, that is the bytes after its last valid record,
// and, if the last segment has no records yet, the one before it with its seal.
// Syncing them would not be enough: after a failed sync the operating system may mark
// pages as clean that never reached the disk. It returns the length of the torn tail.
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

// rewriteSealed rewrites the segment and adds its seal if that is missing or torn.
func (l *Log) rewriteSealed(content segmentContent) error {
	data := content.data[:content.valid:content.valid]
	if !content.sealed() {
		seal := record{kind: recordSeal, payload: encodeSeal(content.sequence + 1)}
		data = appendRecord(data, content.salt, content.valid, seal)
	}
	return WriteFile(l.fileSystem, filepath.Join(l.dir, content.name), data)
}

// Identity returns the identity of the directory.
func (l *Log) Identity() Identity { return l.identity }

// Close releases the directory. It writes nothing: every Save that returned is
// already durable.
func (l *Log) Close() error {
	if l.current == nil {
		return nil
	}
	err := l.current.file.Close()
	l.current = nil
	if lockErr := l.lock.Close(); err == nil {
		err = lockErr
	}
	l.markUnusable(errors.New("closed"))
	return errors.WithStack(err)
}

// markUnusable makes all later operations fail with ErrUnusable. It returns err
// unchanged.
func (l *Log) markUnusable(err error) error {
	if l.err == nil {
		l.err = errors.Wrap(ErrUnusable, err.Error())
	}
	return err
}

// Discard removes the identity and the log from the directory, so that the next
// Open creates a new member. Use it for a directory whose log was lost or is
// corrupt; the group must replace the lost member with the new one.
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
		if !isSegment && name != identityFileName {
			continue
		}
		if err := fileSystem.Remove(filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return fileSystem.SyncDir(dir)
}
