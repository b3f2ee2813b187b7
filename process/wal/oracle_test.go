package wal_test

import (
	"slices"
	"testing"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/landingtrail/landingtrail/process/wal/faultfs"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// content is the expected content of a log.
type content struct {
	hardState raft.HardState
	entries   []raft.Entry // the first has index first
	first     uint64
}

func (c content) lastIndex() uint64 { return c.first + uint64(len(c.entries)) - 1 }

func (c content) with(hardState *raft.HardState, entries []raft.Entry) content {
	if hardState != nil {
		c.hardState = *hardState
	}
	if len(entries) > 0 {
		kept := c.entries[:entries[0].Index-c.first]
		c.entries = append(slices.Clip(kept), entries...)
	}
	return c
}

// oracle drives a log through saves, compactions, crashes and failing syncs, and
// compares it with an in-memory model of its expected content.
type oracle struct {
	fileSystem *faultfs.FileSystem
	log        *wal.Log
	identity   wal.Identity
	saved      content  // after the last operation that succeeded
	attempted  *content // after the operation that failed since, which may have taken effect
	compacted  uint64
	failed     bool
}

func (o *oracle) save(t *rapid.T) {
	hardState := o.drawHardState(t)
	var entries []raft.Entry
	first := rapid.Uint64Range(max(o.compacted+1, o.saved.first), o.saved.lastIndex()+1).Draw(t, "first")
	for offset := range rapid.IntRange(0, 5).Draw(t, "entries") {
		size := rapid.IntRange(0, 1500).Draw(t, "size")
		entries = append(entries, entry(o.saved.hardState.Term+1, first+uint64(offset), size))
	}
	o.attempt(t, o.saved.with(hardState, entries), func() error { return o.log.Save(hardState, entries) })
}

func (o *oracle) drawHardState(t *rapid.T) *raft.HardState {
	if !rapid.Bool().Draw(t, "hard state") {
		return nil
	}
	return &raft.HardState{
		Term:   o.saved.hardState.Term + rapid.Uint64Range(0, 2).Draw(t, "term"),
		Vote:   raft.MemberID(rapid.Uint64Range(0, 3).Draw(t, "vote")),
		Commit: o.saved.hardState.Commit,
	}
}

// attempt runs an operation after which the log holds wanted if it succeeds. Once
// an operation has failed, all others must fail with ErrUnusable.
func (o *oracle) attempt(t *rapid.T, wanted content, operation func() error) {
	if o.failed {
		must.ErrorIs(t, operation(), wal.ErrUnusable)
		return
	}
	if err := operation(); err != nil {
		o.failed = true
		o.attempted = &wanted
		return
	}
	o.saved = wanted
}

func (o *oracle) compact(t *rapid.T) {
	index := rapid.Uint64Range(0, o.saved.lastIndex()).Draw(t, "index")
	o.attempt(t, o.saved, func() error { return o.log.Compact(index) })
	o.compacted = max(o.compacted, index)
}

func (o *oracle) reset(t *rapid.T) {
	if o.failed {
		return
	}
	index := o.saved.lastIndex() + rapid.Uint64Range(1, 20).Draw(t, "skipped")
	o.attempt(t, o.saved, func() error { return o.log.BeginInstall(9, index) })
	wanted := o.saved
	wanted.entries, wanted.first = nil, index+1
	if o.failed {
		return
	}
	o.attempt(t, wanted, func() error { return o.log.Reset(9, index) })
	if !o.failed {
		o.compacted = index
	}
}

func (o *oracle) stopSoon(t *rapid.T) {
	o.fileSystem.StopAfter(rapid.IntRange(0, 12).Draw(t, "operations"))
}

func (o *oracle) failSync(t *rapid.T) { o.fileSystem.FailSyncs(1) }

func (o *oracle) crash(t *rapid.T) {
	if rapid.Bool().Draw(t, "machine") {
		o.fileSystem.Crash()
	} else {
		o.fileSystem.StopAfter(-1)
		o.fileSystem.Restart()
	}
	o.reopen(t)
}

// reopen opens the log again, optionally after a crash while opening it.
func (o *oracle) reopen(t *rapid.T) {
	o.fileSystem.FailSyncs(0)
	if rapid.Bool().Draw(t, "crash while opening") {
		o.fileSystem.StopAfter(rapid.IntRange(0, 6).Draw(t, "operations"))
		log, _, err := tryOpen(o.fileSystem)
		if err == nil {
			must.NoError(t, log.Close())
		} else {
			must.ErrorIs(t, err, faultfs.ErrPower)
		}
		o.fileSystem.Crash()
	}
	log, recovered, err := tryOpen(o.fileSystem)
	must.NoError(t, err)
	o.log = log
	o.verify(t, recovered)
}

// verify checks that the log recovered either the saved content or that of the
// failed operation, starting at the first entry that was not compacted.
func (o *oracle) verify(t *rapid.T, recovered wal.Recovered) {
	must.Eq(t, o.identity, recovered.Identity)
	err := o.saved.matches(recovered, o.compacted)
	if err != nil && o.attempted != nil {
		if o.attempted.matches(recovered, o.compacted) == nil {
			o.saved, err = *o.attempted, nil
			o.compacted = max(o.compacted, o.saved.first-1)
		}
	}
	must.NoError(t, err)
	o.attempted, o.failed = nil, false
}

func (c content) matches(recovered wal.Recovered, compacted uint64) error {
	if c.hardState != recovered.HardState {
		return errors.Errorf("hard state %+v, expected %+v", recovered.HardState, c.hardState)
	}
	if c.lastIndex() != recovered.LastIndex {
		return errors.Errorf("last index %d, expected %d", recovered.LastIndex, c.lastIndex())
	}
	next := max(compacted+1, c.first)
	if len(recovered.Entries) > 0 && recovered.Entries[0].Index > next && next <= c.lastIndex() {
		return errors.Errorf("first entry %d, expected %d or lower", recovered.Entries[0].Index, next)
	}
	for _, got := range recovered.Entries {
		if got.Index < next {
			continue
		}
		want := c.entries[got.Index-c.first]
		if got.Index != next || got.Term != want.Term || !slices.Equal(got.Data, want.Data) {
			return errors.Errorf("unexpected entry %d of term %d where entry %d was expected", got.Index, got.Term, next)
		}
		next++
	}
	if next != c.lastIndex()+1 && next <= c.lastIndex() {
		return errors.Errorf("entry %d is missing", next)
	}
	return nil
}

func TestLogAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{fileSystem: faultfs.New(rapid.Uint64().Draw(t, "seed")), saved: content{first: 1}}
		log, recovered := open(t, o.fileSystem)
		o.log, o.identity = log, recovered.Identity
		t.Repeat(map[string]func(*rapid.T){
			"save":      o.save,
			"save more": o.save,
			"compact":   o.compact,
			"reset":     o.reset,
			"stop soon": o.stopSoon,
			"fail sync": o.failSync,
			"crash":     o.crash,
		})
	})
}

// A crash at any point of the first opening must leave a directory that can still
// be opened.
func TestFirstOpeningSurvivesCrashes(t *testing.T) {
	for operations := range 20 {
		for seed := range uint64(20) {
			fileSystem := faultfs.New(seed)
			fileSystem.StopAfter(operations)
			log, _, err := tryOpen(fileSystem)
			if err == nil {
				must.NoError(t, log.Close())
			}
			fileSystem.Crash()
			_, recovered, err := tryOpen(fileSystem)
			must.NoError(t, err)
			must.Eq(t, 0, len(recovered.Entries))
		}
	}
}
