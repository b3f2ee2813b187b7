package wal

import (
	"path/filepath"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// Save appends the entries and the hard state; a nil hard state keeps the last
// one. An entry whose index is already in the log replaces that entry and all
// later ones. When Save returns nil, everything is durable. After a write error
// the log is unusable; entries that would leave a gap are rejected and change
// nothing.
func (l *Log) Save(hardState *raft.HardState, entries []raft.Entry) error {
	if l.err != nil {
		return l.err
	}
	newHardState := l.hardState
	if hardState != nil {
		newHardState = *hardState
	}
	if err := l.checkContiguous(entries); err != nil {
		return err
	}
	for {
		count := batchLength(entries)
		part := batch{hardState: newHardState, entries: entries[:count]}
		if count < len(entries) {
			// The commit index must not exceed the last entry in the log.
			part.hardState.Commit = l.hardState.Commit
		}
		if err := l.saveBatch(part); err != nil {
			return l.markUnusable(err)
		}
		entries = entries[count:]
		if len(entries) == 0 {
			return nil
		}
	}
}

// checkContiguous returns an error if the entries would leave a gap in the log.
func (l *Log) checkContiguous(entries []raft.Entry) error {
	last := l.last.index
	for _, entry := range entries {
		if entry.Index == 0 || entry.Index > last+1 {
			return errors.Errorf("wal: entry %d cannot follow entry %d", entry.Index, last)
		}
		last = entry.Index
	}
	return nil
}

// batchLength returns how many of the entries fit into one record: at least one,
// or zero if there are none.
func batchLength(entries []raft.Entry) int {
	size := 0
	for i, entry := range entries {
		size += entryHeaderSize + len(entry.Data)
		if size > maxBatchBytes && i > 0 {
			return i
		}
	}
	return len(entries)
}

func (l *Log) saveBatch(b batch) error {
	if err := l.append(record{kind: recordBatch, payload: encodeBatch(b)}); err != nil {
		return err
	}
	l.hardState = b.hardState
	current := &l.segments[len(l.segments)-1]
	for _, entry := range b.entries {
		l.last = position{term: entry.Term, index: entry.Index}
		current.maxIndex = max(current.maxIndex, entry.Index)
	}
	return nil
}

// append writes one record, first rotating to a new segment if the current one is
// full.
func (l *Log) append(r record) error {
	if l.current.size >= l.segmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	if err := l.current.append(r); err != nil {
		return err
	}
	return l.setHasRecords()
}

// setHasRecords sets the hasRecords flag in the identity file after the first record.
// The record is already durable, so the flag is set only if the log holds a record.
func (l *Log) setHasRecords() error {
	if l.hasRecords {
		return nil
	}
	if err := writeIdentity(l.fileSystem, l.dir, identityFile{identity: l.identity, hasRecords: true}); err != nil {
		return err
	}
	l.hasRecords = true
	return nil
}

// rotate creates the next segment and then seals the current one. The next segment
// exists before the seal is written, so a last segment that is sealed proves that a
// segment was lost. It gets records only after the seal is durable, so an unsealed
// segment before one with records is corrupt.
func (l *Log) rotate() error {
	nextSequence := l.current.sequence + 1
	newSegment, err := createSegment(l.fileSystem, l.dir, startRecord{
		identity:       l.identity,
		sequence:       nextSequence,
		last:           l.last,
		hardState:      l.hardState,
		pendingInstall: l.pendingInstall,
	})
	if err != nil {
		return err
	}
	if err := l.current.append(record{kind: recordSeal, payload: encodeSeal(nextSequence)}); err != nil {
		newSegment.file.Close()
		return err
	}
	if err := l.current.file.Close(); err != nil {
		newSegment.file.Close()
		return errors.WithStack(err)
	}
	l.current = newSegment
	l.segments = append(l.segments, segmentInfo{sequence: nextSequence})
	return nil
}

// BeginInstall records that a received snapshot is about to be written and to replace
// the log. Without this record, a snapshot newer than the log would look like a log
// that lost its last entries. The installation stays pending until Reset or
// CancelInstall.
func (l *Log) BeginInstall(term, index uint64) error {
	if l.err != nil {
		return l.err
	}
	install := position{term: term, index: index}
	if err := l.append(record{kind: recordInstall, payload: encodePositionPayload(install)}); err != nil {
		return l.markUnusable(err)
	}
	l.pendingInstall = install
	return nil
}

// CancelInstall reverts BeginInstall when the snapshot was not written.
func (l *Log) CancelInstall() error { return l.BeginInstall(0, 0) }

// Reset drops all entries and restarts the log after the installed snapshot, which
// must already be durable.
func (l *Log) Reset(term, index uint64) error {
	if l.err != nil {
		return l.err
	}
	last := position{term: term, index: index}
	if err := l.append(record{kind: recordReset, payload: encodePositionPayload(last)}); err != nil {
		return l.markUnusable(err)
	}
	l.last, l.pendingInstall = last, position{}
	return nil
}

// Compact removes the oldest segments whose entries are all at or below index. The
// caller must have a durable snapshot at index or later.
func (l *Log) Compact(index uint64) error {
	if l.err != nil {
		return l.err
	}
	for len(l.segments) > 1 && l.segments[0].maxIndex <= index {
		name := filepath.Join(l.dir, segmentName(l.segments[0].sequence))
		if err := l.fileSystem.Remove(name); err != nil {
			return l.markUnusable(err)
		}
		// Sync after each removal, so that a crash leaves no gap in the sequence.
		if err := l.fileSystem.SyncDir(l.dir); err != nil {
			return l.markUnusable(err)
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// LastIndex returns the index of the last entry or, if there is none since Reset,
// that of the installed snapshot.
func (l *Log) LastIndex() uint64 { return l.last.index }
