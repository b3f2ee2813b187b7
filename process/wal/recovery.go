package wal

import (
	"path/filepath"
	"strings"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// Recovered is the content of a log when it was opened.
type Recovered struct {
	Identity  Identity
	HardState raft.HardState
	// Entries have consecutive indexes; the first index need not be 1.
	Entries []raft.Entry
	// LastTerm and LastIndex are the position of the last entry or, if there is
	// none since a Reset, of the installed snapshot.
	LastTerm  uint64
	LastIndex uint64
	// InstallTerm and InstallIndex identify the received snapshot whose
	// installation began but did not finish (see Log.BeginInstall); they are zero
	// if there is none. A snapshot newer than the log is valid only if it is this
	// one.
	InstallTerm  uint64
	InstallIndex uint64
	// TornBytes is the length of the torn tail that was truncated.
	TornBytes int64
}

// recovery rebuilds the log's state by replaying its segments in order.
type recovery struct {
	identity       Identity
	hardState      raft.HardState
	last           position
	pendingInstall position
	entries        []raft.Entry
	segments       []segmentInfo
	records        int
}

// segmentInfo is what compaction needs to know about a segment.
type segmentInfo struct {
	sequence uint64
	maxIndex uint64
}

// listSegments returns the segments' sequence numbers in order and removes
// temporary files. It returns ErrLostLog if the sequence has a gap.
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

// checkTails distinguishes torn tails, the incomplete last records of a segment, from
// corruption. Only two tails may be torn: that of the last segment, by an append that
// never returned, and the seal of the segment before it if the last segment has no
// records, by a crash during rotation.
func checkTails(contents []segmentContent) error {
	last := len(contents) - 1
	for i, content := range contents {
		if content.hasLaterRecord {
			return errors.Wrapf(ErrCorrupt, "segment %s: invalid record at offset %d before valid ones", content.name, content.valid)
		}
		if i == last {
			continue
		}
		if content.sealed() && !content.torn() {
			continue
		}
		tornSeal := i == last-1 && len(contents[last].records) == 0 && content.size-content.valid <= sealSize
		if !tornSeal {
			return errors.Wrapf(ErrCorrupt, "segment %s: invalid record at offset %d", content.name, content.valid)
		}
	}
	if contents[last].sealed() {
		return errors.Wrapf(ErrLostLog, "segment %s is missing", segmentName(contents[last].sequence+1))
	}
	return nil
}

// replay applies the segment's records to the recovered state.
func (r *recovery) replay(content segmentContent) error {
	if content.start.identity != r.identity {
		return errors.Wrapf(ErrCorrupt, "segment %s: start record is of another group or member (member %x)", content.name, content.start.identity.Member)
	}
	if len(r.segments) == 0 {
		r.hardState, r.last, r.pendingInstall = content.start.hardState, content.start.last, content.start.pendingInstall
	}
	r.segments = append(r.segments, segmentInfo{sequence: content.sequence})
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
		r.pendingInstall = p
		return err
	case recordReset:
		p, err := decodePositionPayload(next.payload)
		r.last, r.pendingInstall, r.entries = p, position{}, nil
		return err
	case recordSeal:
		_, err := decodeSeal(next.payload)
		return err
	case recordStart:
		return errors.New("unexpected start record inside a segment")
	}
	return errors.Errorf("unknown record kind %d", next.kind)
}

// appendEntries adds entries. An entry whose index is already present replaces that
// entry and all later ones.
func (r *recovery) appendEntries(entries []raft.Entry) error {
	for _, entry := range entries {
		if entry.Index > r.last.index+1 {
			return errors.Errorf("entry %d cannot follow entry %d", entry.Index, r.last.index)
		}
		r.entries = append(truncateFrom(r.entries, entry.Index), entry)
		r.last = position{term: entry.Term, index: entry.Index}
		current := &r.segments[len(r.segments)-1]
		current.maxIndex = max(current.maxIndex, entry.Index)
	}
	return nil
}

// truncateFrom returns the entries before index.
func truncateFrom(entries []raft.Entry, index uint64) []raft.Entry {
	if len(entries) == 0 || index > entries[len(entries)-1].Index {
		return entries
	}
	if index <= entries[0].Index {
		return entries[:0]
	}
	return entries[:index-entries[0].Index]
}
