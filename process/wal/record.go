package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// recordKind identifies the payload of a record.
type recordKind uint8

const (
	recordStart   recordKind = iota + 1 // first record of a segment: identity and state carried over
	recordBatch                         // hard state and entries of a Save; recovered whole or not at all
	recordInstall                       // a received snapshot is about to be written and to replace the log
	recordReset                         // the received snapshot is durable; the log restarts after it
	recordSeal                          // last record of a segment: the next segment exists
)

// Sizes are in bytes.
const (
	recordHeaderSize = 9  // length, kind, checksum
	preambleSize     = 16 // magic number and salt at the start of a segment
	segmentMagic     = 0x4c54_574c_0000_0001
	sealSize         = recordHeaderSize + 8 // sequence number of the next segment
	hardStateSize    = 24                   // term, vote, commit index
	entryHeaderSize  = 21                   // term, index, kind, length of the data
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one framed unit of a segment.
type record struct {
	kind    recordKind
	payload []byte
}

// recordChecksum includes the segment's random salt and the record's position, so
// that a record copied from another segment or position, for example in entry data
// that is itself a log, is not accepted as a valid record here.
func recordChecksum(salt uint64, position int64, kind recordKind, payload []byte) uint32 {
	var fixed [21]byte
	binary.BigEndian.PutUint64(fixed[0:], salt)
	binary.BigEndian.PutUint64(fixed[8:], uint64(position))
	binary.BigEndian.PutUint32(fixed[16:], uint32(len(payload)))
	fixed[20] = byte(kind)
	return crc32.Update(crc32.Update(0, castagnoli, fixed[:]), castagnoli, payload)
}

// appendRecord encodes a record for the given position in its segment and appends
// it to the buffer.
func appendRecord(buffer []byte, salt uint64, position int64, r record) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(r.payload)))
	buffer = append(buffer, byte(r.kind))
	buffer = binary.BigEndian.AppendUint32(buffer, recordChecksum(salt, position, r.kind, r.payload))
	return append(buffer, r.payload...)
}

// parseRecord returns the record at position in data, or false if there is no
// complete record with a valid checksum.
func parseRecord(data []byte, salt uint64, position int64) (record, bool) {
	rest := data[position:]
	if len(rest) < recordHeaderSize {
		return record{}, false
	}
	length := binary.BigEndian.Uint32(rest)
	kind := recordKind(rest[4])
	if kind < recordStart || kind > recordSeal {
		return record{}, false
	}
	if uint64(length) > uint64(len(rest)-recordHeaderSize) {
		return record{}, false
	}
	payload := rest[recordHeaderSize : recordHeaderSize+int(length)]
	if recordChecksum(salt, position, kind, payload) != binary.BigEndian.Uint32(rest[5:]) {
		return record{}, false
	}
	return record{kind: kind, payload: payload}, true
}

// startRecord is the payload of a segment's first record. It carries over the state
// that recovery needs after earlier segments were removed by compaction.
type startRecord struct {
	identity       Identity
	sequence       uint64
	last           position
	hardState      raft.HardState
	pendingInstall position
}

// position identifies an entry in the log.
type position struct{ term, index uint64 }

func encodePosition(encoder *frame.Encoder, p position) {
	encoder.Uint64(p.term)
	encoder.Uint64(p.index)
}

func decodePosition(decoder *frame.Decoder) position {
	return position{term: decoder.Uint64(), index: decoder.Uint64()}
}

func encodeHardState(encoder *frame.Encoder, state raft.HardState) {
	encoder.Uint64(state.Term)
	encoder.Uint64(uint64(state.Vote))
	encoder.Uint64(state.Commit)
}

func decodeHardState(decoder *frame.Decoder) raft.HardState {
	return raft.HardState{
		Term:   decoder.Uint64(),
		Vote:   raft.MemberID(decoder.Uint64()),
		Commit: decoder.Uint64(),
	}
}

func encodeStart(s startRecord) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(s.identity.Group)
	encoder.Uint64(uint64(s.identity.Member))
	encoder.Uint64(s.sequence)
	encodePosition(encoder, s.last)
	encodeHardState(encoder, s.hardState)
	encodePosition(encoder, s.pendingInstall)
	return encoder.Data()
}

func decodeStart(payload []byte) (startRecord, error) {
	decoder := frame.NewDecoder(payload)
	s := startRecord{
		identity:       Identity{Group: decoder.Uint64(), Member: raft.MemberID(decoder.Uint64())},
		sequence:       decoder.Uint64(),
		last:           decodePosition(decoder),
		hardState:      decodeHardState(decoder),
		pendingInstall: decodePosition(decoder),
	}
	return s, decoder.Finish()
}

// batch is the payload of a batch record: all or part of one Save.
type batch struct {
	hardState raft.HardState
	entries   []raft.Entry
}

func encodeBatch(b batch) []byte {
	size := hardStateSize + 4
	for _, entry := range b.entries {
		size += entryHeaderSize + len(entry.Data)
	}
	encoder := frame.NewEncoder(make([]byte, 0, size))
	encodeHardState(encoder, b.hardState)
	encoder.Uint32(uint32(len(b.entries)))
	for _, entry := range b.entries {
		encoder.Uint64(entry.Term)
		encoder.Uint64(entry.Index)
		encoder.Uint8(uint8(entry.Kind))
		encoder.Bytes(entry.Data)
	}
	return encoder.Data()
}

// decodeBatch copies the entries' data, so that long-lived entries do not keep the
// memory of the whole segment alive.
func decodeBatch(payload []byte) (batch, error) {
	decoder := frame.NewDecoder(payload)
	b := batch{hardState: decodeHardState(decoder)}
	count := decoder.Count(entryHeaderSize)
	b.entries = make([]raft.Entry, 0, count)
	for range count {
		b.entries = append(b.entries, raft.Entry{
			Term:  decoder.Uint64(),
			Index: decoder.Uint64(),
			Kind:  raft.EntryKind(decoder.Uint8()),
			Data:  append([]byte(nil), decoder.Bytes()...),
		})
	}
	return b, errors.Wrap(decoder.Finish(), "batch")
}

func encodePositionPayload(p position) []byte {
	encoder := frame.NewEncoder(nil)
	encodePosition(encoder, p)
	return encoder.Data()
}

func decodePositionPayload(payload []byte) (position, error) {
	decoder := frame.NewDecoder(payload)
	p := decodePosition(decoder)
	return p, decoder.Finish()
}

// encodeSeal encodes the sequence number of the next segment.
func encodeSeal(next uint64) []byte { return binary.BigEndian.AppendUint64(nil, next) }

func decodeSeal(payload []byte) (uint64, error) {
	decoder := frame.NewDecoder(payload)
	next := decoder.Uint64()
	return next, decoder.Finish()
}
