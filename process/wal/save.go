package wal

import (
	"path/filepath"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// Save appends the entries and the hard state; a nil hard state keeps the last
// one. An entry at an index that is already there replaces it and all after it.
// When Save returns nil everything is durable. After an error the log is
// unusable.
func (l *Log) Save(hardState *raft.HardState, entries []raft.Entry) error {
	if l.err != nil {
		return l.err
	}
	next := l.hardState
	if hardState != nil {
		next = *hardState
	}
	if err := l.checkOrder(entries); err != nil {
		return err
	}
	for {
		count := batchLength(entries)
		part := batch{hardState: next, entries: entries[:count]}
		if count < len(entries) {
			// The commit index never runs ahead of the entries in the log.
			part.hardState.Commit = l.hardState.Commit
		}
		if err := l.saveBatch(part); err != nil {
			return l.fail(err)
		}
		entries = entries[count:]
		if len(entries) == 0 {
			return nil
		}
	}
}

// checkOrder refuses entries that leave a gap. Nothing is written then.
func (l *Log) checkOrder(entries []raft.Entry) error {
	last := l.last.index
	for _, entry := range entries {
		if entry.Index == 0 || entry.Index > last+1 {
			return errors.Errorf("wal: entry %d follows entry %d", entry.Index, last)
		}
		last = entry.Index
	}
	return nil
}

// batchLength returns how many entries fit into one record, at least one.
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
	current := &l.spans[len(l.spans)-1]
	for _, entry := range b.entries {
		l.last = position{term: entry.Term, index: entry.Index}
		current.maxIndex = max(current.maxIndex, entry.Index)
	}
	return nil
}

// append writes one record, into a new segment when the current one is full.
func (l *Log) append(r record) error {
	if l.current.size >= l.segmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	if err := l.current.append(r); err != nil {
		return err
	}
	return l.markUsed()
}

// markUsed notes in the identity that the log has held something. The record is
// durable by now, so the note is never ahead of the log.
func (l *Log) markUsed() error {
	if l.used {
		return nil
	}
	if err := writeIdentity(l.fileSystem, l.dir, identityFile{identity: l.identity, used: true}); err != nil {
		return err
	}
	l.used = true
	return nil
}

// rotate makes the next segment and then seals the current one. The new segment
// is used only after the seal is durable, so a sealed last segment proves that a
// segment was lost.
func (l *Log) rotate() error {
	next := l.current.sequence + 1
	created, err := createSegment(l.fileSystem, l.dir, start{
		identity:  l.identity,
		sequence:  next,
		last:      l.last,
		hardState: l.hardState,
		install:   l.install,
	})
	if err != nil {
		return err
	}
	if err := l.current.append(record{kind: recordSeal, payload: encodeSeal(next)}); err != nil {
		created.file.Close()
		return err
	}
	if err := l.current.file.Close(); err != nil {
		created.file.Close()
		return errors.WithStack(err)
	}
	l.current = created
	l.spans = append(l.spans, span{sequence: next})
	return nil
}

// BeginInstall notes that a received snapshot is about to be written. Without the
// note a snapshot newer than the log would look like a log that lost its end. The
// note stands until Reset or CancelInstall.
func (l *Log) BeginInstall(term, index uint64) error {
	if l.err != nil {
		return l.err
	}
	install := position{term: term, index: index}
	if err := l.append(record{kind: recordInstall, payload: encodePositionPayload(install)}); err != nil {
		return l.fail(err)
	}
	l.install = install
	return nil
}

// CancelInstall takes back BeginInstall after the snapshot was not written.
func (l *Log) CancelInstall() error { return l.BeginInstall(0, 0) }

// Reset drops all entries: the log restarts after the installed snapshot, which
// must be durable by now.
func (l *Log) Reset(term, index uint64) error {
	if l.err != nil {
		return l.err
	}
	last := position{term: term, index: index}
	if err := l.append(record{kind: recordReset, payload: encodePositionPayload(last)}); err != nil {
		return l.fail(err)
	}
	l.last, l.install = last, position{}
	return nil
}

// Compact removes the oldest segments while all their entries are at or below
// index. The caller keeps a durable snapshot at index or later.
func (l *Log) Compact(index uint64) error {
	if l.err != nil {
		return l.err
	}
	for len(l.spans) > 1 && l.spans[0].maxIndex <= index {
		name := filepath.Join(l.dir, segmentName(l.spans[0].sequence))
		if err := l.fileSystem.Remove(name); err != nil {
			return l.fail(err)
		}
		// Synced one by one: a crash must not leave a gap in the sequence.
		if err := l.fileSystem.SyncDir(l.dir); err != nil {
			return l.fail(err)
		}
		l.spans = l.spans[1:]
	}
	return nil
}

// LastIndex returns the index of the last entry, or of the snapshot that the log
// was restarted after.
func (l *Log) LastIndex() uint64 { return l.last.index }
