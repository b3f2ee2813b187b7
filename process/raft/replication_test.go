package raft

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// A quorum holds an entry of term 1. The leader of term 3 may commit it only together
// with an entry of its own term.
func TestOlderTermIsNotCommittedByCountingReplicas(t *testing.T) {
	node, err := New(testConfig(1), InitialState{
		HardState:     HardState{Term: 2},
		Entries:       []Entry{{Term: 1, Index: 1}},
		Configuration: voters(1, 2, 3),
	})
	must.NoError(t, err)
	node.Tick(0)
	node.Tick(2 * simElectionTimeout)
	must.NoError(t, node.Step(node.now, Message{Kind: MessagePreVoteReply, From: 2, To: 1, Term: 3}))
	must.NoError(t, node.Step(node.now, Message{Kind: MessageVoteReply, From: 2, To: 1, Term: 3}))
	drain(node)
	must.Eq(t, Leader, node.role)
	must.NoError(t, node.Step(node.now, Message{Kind: MessageAppendReply, From: 2, To: 1, Term: 3, Index: 1}))
	must.Eq(t, 0, node.log.committed)
	must.NoError(t, node.Step(node.now, Message{Kind: MessageAppendReply, From: 2, To: 1, Term: 3, Index: 2}))
	must.Eq(t, 2, node.log.committed)
}

func TestLeaderCountsItselfOnlyAfterAdvance(t *testing.T) {
	g := newGroup(t, 3)
	g.propose("a")
	ready := g.nodes[1].Ready()
	must.True(t, ready.MustSync)
	answer := Message{Kind: MessageAppendReply, From: 2, To: 1, Term: 1, Index: 2}
	must.NoError(t, g.nodes[1].Step(g.now, answer))
	must.Eq(t, 1, g.nodes[1].log.committed)
	g.nodes[1].Advance(ready)
	must.Eq(t, 2, g.nodes[1].log.committed)
	ready = g.nodes[1].Ready()
	must.Eq(t, &HardState{Term: 1, Vote: 1, Commit: 2}, ready.HardState)
	must.False(t, ready.MustSync, must.Sprint("a changed commit index needs no sync"))
}

func TestFlowControlAndRecoveryOfLostMessages(t *testing.T) {
	g := newGroup(t, 3, func(c *Config) { c.MaxInflight, c.MaxEntriesBytes = 3, 1 })
	g.isolate(2)
	g.countSent(MessageAppend)
	for i := range 10 {
		g.propose(fmt.Sprint(i))
	}
	g.deliverAll()
	toSecond := 0
	for _, message := range g.sentMessages {
		if message.Kind == MessageAppend && message.To == 2 {
			must.Len(t, 1, message.Entries)
			toSecond++
		}
	}
	must.Eq(t, 3, toSecond)
	g.filter = nil
	g.advanceTime(4 * simHeartbeatInterval)
	must.Eq(t, 11, g.nodes[2].log.committed)
}

// The last append message before an idle period is lost.
func TestLostAppendIsResentWithoutNewEntries(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(2)
	g.propose("lost")
	g.deliverAll()
	g.filter = nil
	g.advanceTime(2 * simHeartbeatInterval)
	must.Eq(t, 2, g.nodes[2].log.committed)
}

// A follower must not commit entries after those in the message, even if the leader's
// commit index covers them, because they may differ from the leader's entries.
func TestCommitIsBoundedByMessageEntries(t *testing.T) {
	node, err := New(testConfig(1), InitialState{
		HardState:     HardState{Term: 1},
		Entries:       []Entry{{Term: 1, Index: 1}, {Term: 1, Index: 2}},
		Configuration: voters(1, 2, 3),
	})
	must.NoError(t, err)
	must.NoError(t, node.Step(0, Message{Kind: MessageAppend, From: 2, To: 1, Term: 2, Commit: 2, Entries: []Entry{{Term: 1, Index: 1}}}))
	must.Eq(t, 1, node.log.committed)
	must.Eq(t, 2, node.log.lastIndex())
}

// An entry is replaced while it is being written.
func TestReplacedEntriesAreNotPersisted(t *testing.T) {
	log := newEntryLog(Snapshot{}, nil, 0)
	written := []Entry{{Term: 1, Index: 1}, {Term: 1, Index: 2}}
	log.append(written...)
	log.emitted = 2
	log.replaceFrom([]Entry{{Term: 2, Index: 2}})
	log.markPersisted(written)
	must.Eq(t, 1, log.persisted)
	must.Eq(t, []Entry{{Term: 2, Index: 2}}, log.entriesToPersist())
}

// A follower with a long divergent tail of an old term must be repaired with few messages.
func TestBacktrackSkipsTerms(t *testing.T) {
	g := newGroup(t, 3)
	var tail []Entry
	for index := uint64(2); index < 400; index++ {
		tail = append(tail, Entry{Term: 1, Index: index, Kind: EntryCommand})
	}
	g.nodes[3].log.append(tail...)
	g.filter = func(m Message) bool { return m.To != 3 }
	must.NoError(t, g.nodes[1].TransferLeadership(g.now, 2))
	g.deliverAll()
	must.Eq(t, Leader, g.nodes[2].role)
	for i := range 400 {
		_, _, err := g.nodes[2].Propose(g.now, fmt.Append(nil, i))
		must.NoError(t, err)
	}
	g.deliverAll()
	g.countSent(MessageAppend)
	g.filter = nil
	g.advanceTime(3 * simHeartbeatInterval)
	must.Eq(t, g.nodes[2].log.entries, g.nodes[3].log.entries)
	// Fewer than 10 replies: the repair must not backtrack entry by entry.
	must.Less(t, 10, g.countSent(MessageAppendReply))
}

func TestUncommittedBytesAreBounded(t *testing.T) {
	g := newGroup(t, 3, func(c *Config) { c.MaxUncommittedBytes = 3 * entryOverhead })
	for range 3 {
		g.propose("")
	}
	_, _, err := g.nodes[1].Propose(g.now, nil)
	must.ErrorIs(t, err, ErrOverloaded)
	g.deliverAll()
	must.Eq(t, 0, g.nodes[1].leadership.uncommittedBytes)
	g.propose("more than the bound, but alone")
}

// A member needs compacted entries when it reconnects, and the first snapshot sent to it
// is lost.
func TestSnapshotIsSentAndRetried(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(3)
	g.propose("a")
	g.deliverAll()
	snapshot, err := g.nodes[1].SnapshotAt(2, []byte("state"))
	must.NoError(t, err)
	must.NoError(t, g.nodes[1].Compact(snapshot))
	must.ErrorIs(t, g.nodes[1].Compact(snapshot), ErrCompacted)
	_, err = g.nodes[1].SnapshotAt(9, nil)
	must.ErrorIs(t, err, ErrNotApplied)
	g.propose("b")
	g.countSent(MessageSnapshot)
	g.filter = func(m Message) bool { return m.Kind != MessageSnapshot }
	g.advanceTime(3 * simElectionTimeout)
	must.Eq(t, 1, g.countSent(MessageSnapshot))
	g.filter = nil
	g.advanceTime(2 * simElectionTimeout)
	must.Eq(t, 1, g.countSent(MessageSnapshot))
	must.Eq(t, snapshot, g.nodes[3].log.snapshot)
	must.Eq(t, 3, g.nodes[3].log.applied)
}

// TestStepErrors checks that rejected messages leave the node unchanged.
func TestStepErrors(t *testing.T) {
	entry := func(term, index uint64) Entry { return Entry{Term: term, Index: index} }
	cases := []struct {
		name    string
		message Message
		want    error
	}{
		{"other member", Message{Kind: MessageAppend, From: 1, To: 3, Term: 1}, ErrWrongMember},
		{"from None", Message{Kind: MessageAppend, To: 2, Term: 1}, ErrInvalidMessage},
		{"from itself", Message{Kind: MessageAppend, From: 2, To: 2, Term: 1}, ErrInvalidMessage},
		{"unknown kind", Message{Kind: 99, From: 1, To: 2, Term: 1}, ErrInvalidMessage},
		{"no term", Message{Kind: MessageAppend, From: 1, To: 2}, ErrInvalidMessage},
		{"gap", Message{Kind: MessageAppend, From: 1, To: 2, Term: 1, Entries: []Entry{entry(1, 2)}}, ErrInvalidMessage},
		{"decreasing term", Message{Kind: MessageAppend, From: 1, To: 2, Term: 3, Index: 1, LogTerm: 2, Entries: []Entry{entry(1, 2)}}, ErrInvalidMessage},
		{"future term", Message{Kind: MessageAppend, From: 1, To: 2, Term: 1, Entries: []Entry{entry(2, 1)}}, ErrInvalidMessage},
		{"bad configuration", Message{Kind: MessageAppend, From: 1, To: 2, Term: 1, Index: 1, LogTerm: 1, Entries: []Entry{{Term: 1, Index: 2, Kind: EntryConfig}}}, ErrInvalidMessage},
		{"no snapshot", Message{Kind: MessageSnapshot, From: 1, To: 2, Term: 1}, ErrInvalidMessage},
		{"snapshot without voters", Message{Kind: MessageSnapshot, From: 1, To: 2, Term: 1, Snapshot: &Snapshot{Term: 1, Index: 9}}, ErrInvalidMessage},
		{"replaces committed", Message{Kind: MessageAppend, From: 1, To: 2, Term: 2, Entries: []Entry{entry(2, 1)}}, ErrDiverged},
		{"follows another committed", Message{Kind: MessageAppend, From: 1, To: 2, Term: 3, Index: 1, LogTerm: 2}, ErrDiverged},
		{"snapshot of another log", Message{Kind: MessageSnapshot, From: 1, To: 2, Term: 3, Snapshot: &Snapshot{Term: 2, Index: 1, Configuration: voters(1)}}, ErrDiverged},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(t, 3)
			before := g.nodes[2].Status()
			must.ErrorIs(t, g.nodes[2].Step(g.now, c.message), c.want)
			must.Eq(t, before, g.nodes[2].Status())
			must.False(t, g.nodes[2].HasReady())
		})
	}
	g := newGroup(t, 3)
	must.ErrorIs(t, g.nodes[1].Step(g.now, Message{Kind: MessageHeartbeat, From: 2, To: 1, Term: 1}), ErrDiverged)
}

func TestNewErrors(t *testing.T) {
	cases := []struct {
		name    string
		adjust  func(*Config)
		initial InitialState
		want    error
	}{
		{"no ID", func(c *Config) { c.ID = None }, InitialState{}, ErrInvalidConfig},
		{"no heartbeat", func(c *Config) { c.HeartbeatInterval = 0 }, InitialState{}, ErrInvalidConfig},
		{"lease as long as the election timeout", func(c *Config) { c.LeaseDuration = c.ElectionTimeout }, InitialState{}, ErrInvalidConfig},
		{"lease as short as a heartbeat", func(c *Config) { c.LeaseDuration = c.HeartbeatInterval }, InitialState{}, ErrInvalidConfig},
		{"negative limit", func(c *Config) { c.MaxInflight = -1 }, InitialState{}, ErrInvalidConfig},
		{"commit beyond the log", nil, InitialState{HardState: HardState{Commit: 1}}, ErrInvalidState},
		{"entry of a future term", nil, InitialState{Entries: []Entry{{Term: 1, Index: 1}}}, ErrInvalidState},
		{"gap", nil, InitialState{HardState: HardState{Term: 1}, Entries: []Entry{{Term: 1, Index: 2}}}, ErrInvalidState},
		{"member listed twice", nil, InitialState{Configuration: voters(1, 1)}, ErrInvalidState},
		{"damaged configuration", nil, InitialState{HardState: HardState{Term: 1}, Entries: []Entry{{Term: 1, Index: 1, Kind: EntryConfig}}}, ErrInvalidState},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := testConfig(1)
			if c.adjust != nil {
				c.adjust(&config)
			}
			_, err := New(config, c.initial)
			must.ErrorIs(t, err, c.want)
		})
	}
}

// BenchmarkProposeToCommit commits entries of 128 bytes in an in-memory group of three,
// in batches of 1 and 64 as a caller under load does, without codec, disk and network.
func BenchmarkProposeToCommit(b *testing.B) {
	for _, batch := range []int{1, 64} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			g := newGroup(b, 3)
			data := make([]byte, 128)
			for done := 0; done < b.N; done += batch {
				for range batch {
					_, _, err := g.nodes[1].Propose(g.now, data)
					must.NoError(b, err)
				}
				g.deliverAll()
				g.sentMessages = g.sentMessages[:0]
				if leader := g.nodes[1]; leader.log.committed%1000 < uint64(batch) {
					for _, id := range g.ids[:3] {
						node := g.nodes[id]
						snapshot, err := node.SnapshotAt(node.log.applied, nil)
						must.NoError(b, err)
						must.NoError(b, node.Compact(snapshot))
					}
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}
