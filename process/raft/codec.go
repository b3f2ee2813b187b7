package raft

import (
	"bytes"
	"encoding/binary"

	"github.com/pkg/errors"
)

// Each value is encoded as a fixed-size big-endian header followed by
// variable-length data whose length the header states. The encoding is canonical:
// every accepted input is the encoding of exactly one value.

const (
	entryHeaderSize         = 8 + 8 + 1 + 4
	hardStateSize           = 8 + 8 + 8
	configurationHeaderSize = 4 + 4
	memberIDSize            = 8
	snapshotHeaderSize      = 8 + 8 + 4
	messageHeaderSize       = 1 + 1 + 8*8 + 4
)

// Bits of messageHeader.Flags.
const (
	flagReject uint8 = 1 << iota
	flagTransfer
	flagSnapshot
	flagUnanimous
	flagsKnown = flagReject | flagTransfer | flagSnapshot | flagUnanimous
)

// messageHeader is the fixed part of an encoded Message.
type messageHeader struct {
	Kind       MessageKind
	Flags      uint8
	From       MemberID
	To         MemberID
	Term       uint64
	Index      uint64
	LogTerm    uint64
	Commit     uint64
	RejectHint uint64
	Sequence   uint64
	EntryCount uint32
}

// AppendBinary appends e's encoding to b. Data must be shorter than 4 GiB, because its
// length is encoded in 32 bits.
func (e Entry) AppendBinary(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, e.Term)
	b = binary.BigEndian.AppendUint64(b, e.Index)
	b = append(b, byte(e.Kind))
	b = binary.BigEndian.AppendUint32(b, uint32(len(e.Data)))
	return append(b, e.Data...)
}

// AppendBinary appends h's encoding to b.
func (h HardState) AppendBinary(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, h.Term)
	b = binary.BigEndian.AppendUint64(b, uint64(h.Vote))
	return binary.BigEndian.AppendUint64(b, h.Commit)
}

// AppendBinary appends c's encoding to b.
func (c Configuration) AppendBinary(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(c.Voters)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(c.Learners)))
	for _, member := range c.Voters {
		b = binary.BigEndian.AppendUint64(b, uint64(member))
	}
	for _, member := range c.Learners {
		b = binary.BigEndian.AppendUint64(b, uint64(member))
	}
	return b
}

// AppendBinary appends s's encoding to b. Data must be shorter than 4 GiB, because its
// length is encoded in 32 bits.
func (s Snapshot) AppendBinary(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, s.Term)
	b = binary.BigEndian.AppendUint64(b, s.Index)
	b = s.Configuration.AppendBinary(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(s.Data)))
	return append(b, s.Data...)
}

// AppendBinary appends m's encoding to b.
func (m Message) AppendBinary(b []byte) []byte {
	b, err := binary.Append(b, binary.BigEndian, m.header())
	if err != nil {
		panic(errors.Wrap(err, "raft: message header has no fixed size"))
	}
	for _, entry := range m.Entries {
		b = entry.AppendBinary(b)
	}
	if m.Snapshot != nil {
		b = m.Snapshot.AppendBinary(b)
	}
	return b
}

func (m Message) header() messageHeader {
	header := messageHeader{
		Kind:       m.Kind,
		From:       m.From,
		To:         m.To,
		Term:       m.Term,
		Index:      m.Index,
		LogTerm:    m.LogTerm,
		Commit:     m.Commit,
		RejectHint: m.RejectHint,
		Sequence:   m.Sequence,
		EntryCount: uint32(len(m.Entries)),
	}
	if m.Reject {
		header.Flags |= flagReject
	}
	if m.Transfer {
		header.Flags |= flagTransfer
	}
	if m.Unanimous {
		header.Flags |= flagUnanimous
	}
	if m.Snapshot != nil {
		header.Flags |= flagSnapshot
	}
	return header
}

// DecodeEntry decodes the output of Entry.AppendBinary. The result shares no
// memory with b. Like the other decoders, it wraps ErrMalformed on failure.
func DecodeEntry(b []byte) (Entry, error) {
	d := decoder{rest: b}
	entry := d.entry()
	return entry, d.finish("entry")
}

// DecodeHardState decodes the output of HardState.AppendBinary. Errors: ErrMalformed.
func DecodeHardState(b []byte) (HardState, error) {
	d := decoder{rest: b}
	state := HardState{Term: d.uint64(), Vote: MemberID(d.uint64()), Commit: d.uint64()}
	return state, d.finish("hard state")
}

// DecodeConfiguration decodes the output of Configuration.AppendBinary. Errors:
// ErrMalformed.
func DecodeConfiguration(b []byte) (Configuration, error) {
	d := decoder{rest: b}
	configuration := d.configuration()
	return configuration, d.finish("configuration")
}

// DecodeSnapshot decodes the output of Snapshot.AppendBinary. Errors: ErrMalformed.
func DecodeSnapshot(b []byte) (Snapshot, error) {
	d := decoder{rest: b}
	snapshot := d.snapshot()
	return snapshot, d.finish("snapshot")
}

// DecodeMessage decodes the output of Message.AppendBinary. Errors: ErrMalformed.
func DecodeMessage(b []byte) (Message, error) {
	d := decoder{rest: b}
	message := d.message()
	return message, d.finish("message")
}

// decoder reads values from the front of rest. After the first failure every
// read returns zero, so callers check for errors once, with finish. Counts and
// lengths are checked against the remaining input before memory is allocated.
type decoder struct {
	rest   []byte
	failed bool
}

// finish returns an error if decoding failed or input is left over.
func (d *decoder) finish(what string) error {
	if d.failed {
		return errors.Wrap(ErrMalformed, what)
	}
	if len(d.rest) > 0 {
		return errors.Wrapf(ErrMalformed, "%s: %d trailing bytes", what, len(d.rest))
	}
	return nil
}

// take returns the next size bytes, or nil after a failure.
func (d *decoder) take(size int) []byte {
	if d.failed || size < 0 || size > len(d.rest) {
		d.failed = true
		return nil
	}
	taken := d.rest[:size]
	d.rest = d.rest[size:]
	return taken
}

func (d *decoder) uint64() uint64 {
	b := d.take(8)
	if b == nil {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func (d *decoder) uint32() uint32 {
	b := d.take(4)
	if b == nil {
		return 0
	}
	return binary.BigEndian.Uint32(b)
}

func (d *decoder) uint8() uint8 {
	b := d.take(1)
	if b == nil {
		return 0
	}
	return b[0]
}

// checkedCount returns declared, or fails if the remaining input is too short to hold
// that many elements of at least elementSize bytes.
func (d *decoder) checkedCount(declared uint32, elementSize int) int {
	if uint64(declared)*uint64(elementSize) > uint64(len(d.rest)) {
		d.failed = true
		return 0
	}
	return int(declared)
}

// data reads a length-prefixed byte string and returns a copy, nil if it is empty.
func (d *decoder) data() []byte {
	length := d.checkedCount(d.uint32(), 1)
	taken := d.take(length)
	if len(taken) == 0 {
		return nil
	}
	return bytes.Clone(taken)
}

func (d *decoder) entry() Entry {
	entry := Entry{Term: d.uint64(), Index: d.uint64(), Kind: EntryKind(d.uint8())}
	if entry.Kind > EntryEmpty {
		d.failed = true
	}
	entry.Data = d.data()
	return entry
}

func (d *decoder) members(count int) []MemberID {
	if count == 0 || d.failed {
		return nil
	}
	members := make([]MemberID, count)
	for i := range members {
		members[i] = MemberID(d.uint64())
	}
	return members
}

func (d *decoder) configuration() Configuration {
	voters := d.uint32()
	learners := d.uint32()
	voterCount := d.checkedCount(voters, memberIDSize)
	configuration := Configuration{Voters: d.members(voterCount)}
	learnerCount := d.checkedCount(learners, memberIDSize)
	configuration.Learners = d.members(learnerCount)
	return configuration
}

func (d *decoder) snapshot() Snapshot {
	return Snapshot{
		Term:          d.uint64(),
		Index:         d.uint64(),
		Configuration: d.configuration(),
		Data:          d.data(),
	}
}

func (d *decoder) message() Message {
	var header messageHeader
	encoded := d.take(messageHeaderSize)
	if d.failed {
		return Message{}
	}
	if _, err := binary.Decode(encoded, binary.BigEndian, &header); err != nil {
		d.failed = true
		return Message{}
	}
	if !header.Kind.valid() || header.Flags&^flagsKnown != 0 {
		d.failed = true
		return Message{}
	}
	return d.messageBody(header)
}

func (d *decoder) messageBody(header messageHeader) Message {
	message := Message{
		Kind:       header.Kind,
		From:       header.From,
		To:         header.To,
		Term:       header.Term,
		Index:      header.Index,
		LogTerm:    header.LogTerm,
		Commit:     header.Commit,
		Reject:     header.Flags&flagReject != 0,
		RejectHint: header.RejectHint,
		Transfer:   header.Flags&flagTransfer != 0,
		Unanimous:  header.Flags&flagUnanimous != 0,
		Sequence:   header.Sequence,
	}
	if count := d.checkedCount(header.EntryCount, entryHeaderSize); count > 0 {
		message.Entries = make([]Entry, count)
		for i := range message.Entries {
			message.Entries[i] = d.entry()
		}
	}
	if header.Flags&flagSnapshot != 0 {
		snapshot := d.snapshot()
		message.Snapshot = &snapshot
	}
	return message
}
