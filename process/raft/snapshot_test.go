package raft

import (
	"testing"

	"github.com/shoenig/test/must"
)

// newCompactedNode returns member 2 after it has received, applied and compacted ten
// entries of term 1.
func newCompactedNode(t *testing.T) *Node {
	t.Helper()
	node, err := New(testConfig(2), InitialState{Configuration: voters(1, 2, 3)})
	must.NoError(t, err)
	message := Message{Kind: MessageAppend, From: 1, To: 2, Term: 1, Commit: 10}
	for index := uint64(1); index <= 10; index++ {
		message.Entries = append(message.Entries, Entry{Term: 1, Index: index})
	}
	must.NoError(t, node.Step(0, message))
	drain(node)
	snapshot, err := node.SnapshotAt(10, []byte("state"))
	must.NoError(t, err)
	must.NoError(t, node.Compact(snapshot))
	return node
}

// snapshotMessage returns a snapshot message from member 1 to member 2 in term 1.
func snapshotMessage(index uint64, configuration Configuration) Message {
	snapshot := Snapshot{Term: 1, Index: index, Configuration: configuration, Data: []byte("received")}
	return Message{Kind: MessageSnapshot, From: 1, To: 2, Term: 1, Index: index, LogTerm: 1, Snapshot: &snapshot}
}

// A delayed snapshot must not reset the state machine to an older state.
func TestOldSnapshotIsNotInstalled(t *testing.T) {
	node := newCompactedNode(t)
	must.NoError(t, node.Step(0, snapshotMessage(5, voters(1, 2, 3))))
	ready := node.Ready()
	must.Nil(t, ready.Snapshot)
	must.Eq(t, []Message{{Kind: MessageAppendReply, From: 2, To: 1, Term: 1, Index: 10}}, ready.Messages)
	must.Eq(t, 10, node.Status().Commit)
}

func TestSnapshotInstallsItsConfiguration(t *testing.T) {
	node := newCompactedNode(t)
	must.NoError(t, node.Step(0, snapshotMessage(20, voters(1, 2, 4))))
	must.Eq(t, voters(1, 2, 4), node.Status().Configuration)
	must.Eq(t, 20, node.Ready().Snapshot.Index)
	unconfigured, err := New(testConfig(2), InitialState{})
	must.NoError(t, err)
	must.NoError(t, unconfigured.Step(0, snapshotMessage(20, voters(1, 2, 4))))
	must.Eq(t, voters(1, 2, 4), unconfigured.Status().Configuration)
	must.Eq(t, Follower, unconfigured.Status().Role)
}

func TestCompactRejectsUnappliedIndex(t *testing.T) {
	node := newCompactedNode(t)
	must.NoError(t, node.Step(0, Message{
		Kind: MessageAppend, From: 1, To: 2, Term: 1, Index: 10, LogTerm: 1, Commit: 11,
		Entries: []Entry{{Term: 1, Index: 11}, {Term: 1, Index: 12}},
	}))
	snapshot := Snapshot{Term: 1, Index: 11, Configuration: voters(1, 2, 3)}
	must.ErrorIs(t, node.Compact(snapshot), ErrNotApplied)
	drain(node)
	must.NoError(t, node.Compact(snapshot))
	must.ErrorIs(t, node.Compact(snapshot), ErrCompacted)
	must.ErrorIs(t, node.Compact(Snapshot{Term: 1, Index: 12}), ErrNotApplied)
}
