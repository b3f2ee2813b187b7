package wal

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const segmentSuffix = ".wal"

// segment is the open segment that records are appended to.
type segment struct {
	file     File
	sequence uint64
	salt     uint64 // random; part of every checksum: see recordChecksum
	size     int64
}

func segmentName(sequence uint64) string { return fmt.Sprintf("%016x%s", sequence, segmentSuffix) }

// parseSegmentName returns the sequence number in a segment's file name, or false
// for any other file.
func parseSegmentName(name string) (uint64, bool) {
	digits, found := strings.CutSuffix(name, segmentSuffix)
	if !found || len(digits) != 16 {
		return 0, false
	}
	sequence, err := strconv.ParseUint(digits, 16, 64)
	return sequence, err == nil
}

// createSegment writes a segment with its start record to a temporary file, syncs
// it and renames it. A file with a segment's name therefore always has a complete
// start record, and a shorter file is corrupt or was truncated.
func createSegment(fileSystem FileSystem, dir string, s startRecord) (*segment, error) {
	salt := newSalt()
	buffer := binary.BigEndian.AppendUint64(nil, segmentMagic)
	buffer = binary.BigEndian.AppendUint64(buffer, salt)
	buffer = appendRecord(buffer, salt, preambleSize, record{kind: recordStart, payload: encodeStart(s)})
	name := filepath.Join(dir, segmentName(s.sequence))
	if err := WriteFile(fileSystem, name, buffer); err != nil {
		return nil, err
	}
	file, err := fileSystem.Append(name)
	if err != nil {
		return nil, err
	}
	return &segment{file: file, sequence: s.sequence, salt: salt, size: int64(len(buffer))}, nil
}

func newSalt() uint64 {
	var data [8]byte
	rand.Read(data[:]) // never returns an error: crypto/rand crashes the process instead
	return binary.BigEndian.Uint64(data[:])
}

// append writes the record in one write and syncs it.
func (s *segment) append(r record) error {
	buffer := make([]byte, 0, recordHeaderSize+len(r.payload))
	buffer = appendRecord(buffer, s.salt, s.size, r)
	if err := writeAndSync(s.file, buffer); err != nil {
		return err
	}
	s.size += int64(len(buffer))
	return nil
}

// segmentContent is the content of a segment read from disk.
type segmentContent struct {
	name           string
	sequence       uint64
	salt           uint64
	start          startRecord
	records        []record // after the start record
	valid          int64    // bytes up to the end of the last valid record
	data           []byte
	size           int64
	hasLaterRecord bool // a valid record follows the first invalid one
}

// torn reports whether bytes other than a valid record follow the last valid one.
func (c segmentContent) torn() bool { return c.valid < c.size }

// sealed reports whether the last record is a seal, which names the next segment.
func (c segmentContent) sealed() bool {
	return len(c.records) > 0 && c.records[len(c.records)-1].kind == recordSeal
}

// readSegment reads the segment's valid records up to the first invalid one. A file
// that is too short for the preamble was truncated, so its log is lost; any other
// invalid preamble or start record is corruption: see createSegment.
func readSegment(fileSystem FileSystem, dir, name string, sequence uint64) (segmentContent, error) {
	data, err := fileSystem.ReadFile(filepath.Join(dir, name))
	if err != nil {
		return segmentContent{}, err
	}
	content := segmentContent{name: name, sequence: sequence, data: data, size: int64(len(data))}
	if len(data) < preambleSize {
		return segmentContent{}, errors.Wrapf(ErrLostLog, "segment %s is only %d bytes long", name, len(data))
	}
	if binary.BigEndian.Uint64(data) != segmentMagic {
		return segmentContent{}, errors.Wrapf(ErrCorrupt, "segment %s: invalid magic number", name)
	}
	content.salt = binary.BigEndian.Uint64(data[8:])
	first, ok := parseRecord(data, content.salt, preambleSize)
	if !ok || first.kind != recordStart {
		return segmentContent{}, errors.Wrapf(ErrCorrupt, "segment %s: missing or invalid start record", name)
	}
	if content.start, err = decodeStart(first.payload); err != nil {
		return segmentContent{}, errors.Wrapf(ErrCorrupt, "segment %s: start record: %v", name, err)
	}
	if content.start.sequence != sequence {
		return segmentContent{}, errors.Wrapf(ErrCorrupt, "segment %s: start record has sequence number %d", name, content.start.sequence)
	}
	content.readRecords(data, preambleSize+recordHeaderSize+int64(len(first.payload)))
	return content, nil
}

func (c *segmentContent) readRecords(data []byte, offset int64) {
	for offset < int64(len(data)) {
		next, ok := parseRecord(data, c.salt, offset)
		if !ok {
			c.hasLaterRecord = hasRecordFrom(data, c.salt, offset+1)
			break
		}
		c.records = append(c.records, next)
		offset += recordHeaderSize + int64(len(next.payload))
	}
	c.valid = offset
}

// hasRecordFrom reports whether there is a valid record at or after offset. Each
// record is synced before the next one is written, so a valid record after an
// invalid one proves that the invalid one was once complete: it is corrupt, not a
// torn write.
func hasRecordFrom(data []byte, salt uint64, offset int64) bool {
	for ; offset+recordHeaderSize <= int64(len(data)); offset++ {
		if _, ok := parseRecord(data, salt, offset); ok {
			return true
		}
	}
	return false
}
