package campaign

import (
	"math/rand/v2"
	"slices"

	"github.com/landingtrail/landingtrail/process/raft"
)

// disk is what a member has synced. The log files themselves are tested with
// torn and lost writes in process/wal; here a crash in the middle of a save
// keeps a prefix of its entries, as that log does.
type disk struct {
	state raft.InitialState
}

// save makes the durable part of a Ready last.
func (d *disk) save(ready raft.Ready) {
	if ready.Snapshot != nil {
		d.state.Snapshot = *ready.Snapshot
		d.state.Entries = nil
	}
	if ready.HardState != nil {
		d.state.HardState = *ready.HardState
	}
	d.appendEntries(ready.Entries)
}

// tear keeps what a crash in the middle of the save leaves: the whole save or
// nothing, since each save is one record.
func (d *disk) tear(ready raft.Ready, random *rand.Rand) {
	if random.IntN(2) == 0 {
		d.save(ready)
	}
}

func (d *disk) appendEntries(entries []raft.Entry) {
	if len(entries) == 0 {
		return
	}
	keep := slices.IndexFunc(d.state.Entries, func(e raft.Entry) bool { return e.Index >= entries[0].Index })
	if keep < 0 {
		keep = len(d.state.Entries)
	}
	d.state.Entries = append(slices.Clone(d.state.Entries[:keep]), entries...)
}

// compact replaces the entries that the snapshot covers.
func (d *disk) compact(snapshot raft.Snapshot) {
	d.state.Snapshot = snapshot
	d.state.Entries = slices.DeleteFunc(slices.Clone(d.state.Entries), func(e raft.Entry) bool { return e.Index <= snapshot.Index })
}
