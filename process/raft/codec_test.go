package raft

import (
	"testing"

	"github.com/shoenig/test/must"
)

func sampleMessages() []Message {
	snapshot := Snapshot{Term: 3, Index: 7, Configuration: Configuration{Voters: []MemberID{1, 2}, Learners: []MemberID{9}}, Data: []byte("state")}
	return []Message{
		{Kind: MessagePreVote, From: 1, To: 2, Term: 3, Index: 4, LogTerm: 2},
		{Kind: MessageVote, From: 1, To: 2, Term: 3, Transfer: true},
		{Kind: MessagePreVoteReply, From: 1, To: 2, Term: 3, Unanimous: true},
		{Kind: MessageAppend, From: 1, To: 2, Term: 3, Index: 1, LogTerm: 1, Commit: 1, Entries: []Entry{
			{Term: 2, Index: 2, Kind: EntryCommand, Data: []byte("command")},
			{Term: 3, Index: 3, Kind: EntryEmpty},
			{Term: 3, Index: 4, Kind: EntryConfig, Data: snapshot.Configuration.AppendBinary(nil)},
		}},
		{Kind: MessageAppendReply, From: 2, To: 1, Term: 3, Index: 9, Reject: true, RejectHint: 5, LogTerm: 2},
		{Kind: MessageHeartbeatReply, From: 2, To: 1, Term: 3, Sequence: 1 << 63},
		{Kind: MessageSnapshot, From: 1, To: 2, Term: 3, Snapshot: &snapshot},
		{Kind: MessageSnapshot, From: 1, To: 2, Term: 3, Snapshot: &Snapshot{}},
	}
}

func TestMessageEncodingRoundTrip(t *testing.T) {
	for _, message := range sampleMessages() {
		encoded := message.AppendBinary([]byte("prefix"))[len("prefix"):]
		decoded, err := DecodeMessage(encoded)
		must.NoError(t, err)
		must.Eq(t, message, decoded)
		for length := range encoded {
			_, err := DecodeMessage(encoded[:length])
			must.ErrorIs(t, err, ErrMalformed, must.Sprintf("truncated to %d bytes", length))
		}
		_, err = DecodeMessage(append(encoded, 0))
		must.ErrorIs(t, err, ErrMalformed)
	}
	state := HardState{Term: 1, Vote: 2, Commit: 3}
	decoded, err := DecodeHardState(state.AppendBinary(nil))
	must.NoError(t, err)
	must.Eq(t, state, decoded)
}

// Element counts that exceed the input must not cause large allocations.
func TestOversizedCountsDoNotAllocate(t *testing.T) {
	configuration := []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}
	entry := Entry{}.AppendBinary(nil)
	copy(entry[entryHeaderSize-4:], configuration[:4])
	message := Message{Kind: MessageAppend}.AppendBinary(nil)
	copy(message[messageHeaderSize-4:], configuration[:4])
	allocations := testing.AllocsPerRun(100, func() {
		d := decoder{rest: configuration}
		d.configuration()
		d = decoder{rest: entry}
		d.entry()
		d = decoder{rest: message}
		d.message()
	})
	must.LessEq(t, 4, allocations, must.Sprint("only the header's reflection allocates"))
}

// FuzzDecodeMessage checks that accepted input encodes to the same bytes again, and that
// a node processes the message without a panic.
func FuzzDecodeMessage(f *testing.F) {
	for _, message := range sampleMessages() {
		f.Add(message.AppendBinary(nil))
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		message, err := DecodeMessage(encoded)
		if err != nil {
			must.ErrorIs(t, err, ErrMalformed)
			return
		}
		must.Eq(t, encoded, message.AppendBinary(nil))
		node, err := New(testConfig(2), InitialState{Configuration: voters(1, 2, 3)})
		must.NoError(t, err)
		message.To = 2
		if node.Step(0, message) == nil {
			drain(node)
		}
		node.Tick(2 * simElectionTimeout)
		drain(node)
	})
}

// FuzzDecodeState checks that accepted encodings of stored values encode to the same
// bytes again.
func FuzzDecodeState(f *testing.F) {
	for _, message := range sampleMessages() {
		for _, entry := range message.Entries {
			f.Add(entry.AppendBinary(nil))
			f.Add(entry.Data)
		}
		if message.Snapshot != nil {
			f.Add(message.Snapshot.AppendBinary(nil))
		}
	}
	f.Add(HardState{Term: 1}.AppendBinary(nil))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		if entry, err := DecodeEntry(encoded); err == nil {
			must.Eq(t, encoded, entry.AppendBinary(nil))
		}
		if state, err := DecodeHardState(encoded); err == nil {
			must.Eq(t, encoded, state.AppendBinary(nil))
		}
		if configuration, err := DecodeConfiguration(encoded); err == nil {
			must.Eq(t, encoded, configuration.AppendBinary(nil))
		}
		if snapshot, err := DecodeSnapshot(encoded); err == nil {
			must.Eq(t, encoded, snapshot.AppendBinary(nil))
		}
	})
}
