package wal

import (
	"path/filepath"
	"strings"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// Recovered is what a log held when it was opened.
type Recovered struct {
	Identity  Identity
	HardState raft.HardState
	// Entries are consecutive; the first need not have index 1.
	Entries []raft.Entry
	// LastTerm and LastIndex are the place of the last entry, or of the snapshot
	// that the log was restarted after.
	LastTerm  uint64
	LastIndex uint64
	// InstallTerm and InstallIndex name the received snapshot whose installation
	// was begun and not ended, zero when there is none. A snapshot newer than the
	// log is in order only if it is this one.
	InstallTerm  uint64
	InstallIndex uint64
	// TornBytes is the length of the torn tail that was cut.
	TornBytes int64
}

// recovery rebuilds the log's state from its segments in order.
type recovery struct {
	identity  Identity
	hardState raft.HardState
	last      position
	install   position
	entries   []raft.Entry
	spans     []span
	records   int
}

// span is what compaction needs to know of a segment.
type span struct {
	sequence uint64
	maxIndex uint64
}

// listSegments returns the sequence numbers in order and removes temporary files.
func listSegments(fileSystem FileSystem, dir string) ([]uint64, error) {
	names, err := fileSystem.List(dir)
	if err != nil {
		return nil, err
	}
	var sequences []uint64
	for _, name := range names {
		if strings.HasSuffix(name, segmentSuffix+temporarySuffix) {
			if err := fileSystem.Remove(filepath.Join(dir, name)); err != nil {
				return nil, err
			}
			continue
		}
		if sequence, ok := parseSegmentName(name); ok {
			sequences = append(sequences, sequence)
		}
	}
	for i := 1; i < len(sequences); i++ {
		if sequences[i] != sequences[i-1]+1 {
			return nil, errors.Wrapf(ErrLostLog, "segment %s is missing", segmentName(sequences[i-1]+1))
		}
	}
	return sequences, nil
}

func readSegments(fileSystem FileSystem, dir string, sequences []uint64) ([]segmentContent, error) {
	contents := make([]segmentContent, 0, len(sequences))
	for _, sequence := range sequences {
		content, err := readSegment(fileSystem, dir, segmentName(sequence), sequence)
		if err != nil {
			return nil, err
		}
		contents = append(contents, content)
	}
	return contents, nil
}

// checkTails tells torn tails from damage. Only two tails may be torn: that of
// the last segment, by a Save that never returned, and the seal of the segment
// before it when the last segment was never used, by a crash during rotation.
func checkTails(contents []segmentContent) error {
	last := len(contents) - 1
	for i, content := range contents {
		if content.later {
			return errors.Wrapf(ErrCorrupt, "segment %s: bad record at %d before good ones", content.name, content.valid)
		}
		if i == last {
			continue
		}
		if content.sealed() && !content.torn() {
			continue
		}
		unsealed := i == last-1 && len(contents[last].records) == 0 && content.size-content.valid <= sealSize
		if !unsealed {
			return errors.Wrapf(ErrCorrupt, "segment %s: bad record at %d", content.name, content.valid)
		}
	}
	if contents[last].sealed() {
		return errors.Wrapf(ErrLostLog, "segment %s is missing", segmentName(contents[last].sequence+1))
	}
	return nil
}

// replay applies the segment's records.
func (r *recovery) replay(content segmentContent) error {
	if content.start.identity != r.identity {
		return errors.Wrapf(ErrCorrupt, "segment %s belongs to member %x", content.name, content.start.identity.Member)
	}
	if len(r.spans) == 0 {
		r.hardState, r.last, r.install = content.start.hardState, content.start.last, content.start.install
	}
	r.spans = append(r.spans, span{sequence: content.sequence})
	for _, next := range content.records {
		if err := r.replayRecord(next); err != nil {
			return errors.Wrapf(ErrCorrupt, "segment %s: %v", content.name, err)
		}
	}
	return nil
}

func (r *recovery) replayRecord(next record) error {
	r.records++
	switch next.kind {
	case recordBatch:
		decoded, err := decodeBatch(next.payload)
		if err != nil {
			return err
		}
		r.hardState = decoded.hardState
		return r.appendEntries(decoded.entries)
	case recordInstall:
		p, err := decodePositionPayload(next.payload)
		r.install = p
		return err
	case recordReset:
		p, err := decodePositionPayload(next.payload)
		r.last, r.install, r.entries = p, position{}, nil
		return err
	case recordSeal:
		_, err := decodeSeal(next.payload)
		return err
	case recordStart:
		return errors.New("start record inside a segment")
	}
	return errors.Errorf("record of kind %d", next.kind)
}

// appendEntries adds entries; one at an index that is already there replaces it
// and everything after it.
func (r *recovery) appendEntries(entries []raft.Entry) error {
	for _, entry := range entries {
		if entry.Index > r.last.index+1 {
			return errors.Errorf("entry %d follows entry %d", entry.Index, r.last.index)
		}
		r.entries = append(truncateFrom(r.entries, entry.Index), entry)
		r.last = position{term: entry.Term, index: entry.Index}
		current := &r.spans[len(r.spans)-1]
		current.maxIndex = max(current.maxIndex, entry.Index)
	}
	return nil
}

// truncateFrom drops the entries from index on.
func truncateFrom(entries []raft.Entry, index uint64) []raft.Entry {
	if len(entries) == 0 || index > entries[len(entries)-1].Index {
		return entries
	}
	if index <= entries[0].Index {
		return entries[:0]
	}
	return entries[:index-entries[0].Index]
}
