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

// modelTest drives a log through saves, compactions, crashes and failing syncs, and
// compares it with an in-memory model of its expected content.
type modelTest struct {
	fileSystem *faultfs.FileSystem
	log        *wal.Log
	identity   wal.Identity
	saved      content  // after the last operation that succeeded
	attempted  *content // after the operation that failed since, which may have taken effect
	compacted  uint64
	failed     bool
}

func (m *modelTest) save(t *rapid.T) {
	hardState := m.drawHardState(t)
	var entries []raft.Entry
	first := rapid.Uint64Range(max(m.compacted+1, m.saved.first), m.saved.lastIndex()+1).Draw(t, "first")
	for offset := range rapid.IntRange(0, 5).Draw(t, "entries") {
		size := rapid.IntRange(0, 1500).Draw(t, "size")
		entries = append(entries, entry(m.saved.hardState.Term+1, first+uint64(offset), size))
	}
	m.attempt(t, m.saved.with(hardState, entries), func() error { return m.log.Save(hardState, entries) })
}

func (m *modelTest) drawHardState(t *rapid.T) *raft.HardState {
	if !rapid.Bool().Draw(t, "hard state") {
		return nil
	}
	return &raft.HardState{
		Term:   m.saved.hardState.Term + rapid.Uint64Range(0, 2).Draw(t, "term"),
		Vote:   raft.MemberID(rapid.Uint64Range(0, 3).Draw(t, "vote")),
		Commit: m.saved.hardState.Commit,
	}
}

// attempt runs an operation after which the log holds wanted if it succeeds. Once
// an operation has failed, all others must fail with ErrUnusable.
func (m *modelTest) attempt(t *rapid.T, wanted content, operation func() error) {
	if m.failed {
		must.ErrorIs(t, operation(), wal.ErrUnusable)
		return
	}
	if err := operation(); err != nil {
		m.failed = true
		m.attempted = &wanted
		return
	}
	m.saved = wanted
}

func (m *modelTest) compact(t *rapid.T) {
	index := rapid.Uint64Range(0, m.saved.lastIndex()).Draw(t, "index")
	m.attempt(t, m.saved, func() error { return m.log.Compact(index) })
	m.compacted = max(m.compacted, index)
}

func (m *modelTest) reset(t *rapid.T) {
	if m.failed {
		return
	}
	index := m.saved.lastIndex() + rapid.Uint64Range(1, 20).Draw(t, "skipped")
	m.attempt(t, m.saved, func() error { return m.log.BeginInstall(9, index) })
	wanted := m.saved
	wanted.entries, wanted.first = nil, index+1
	if m.failed {
		return
	}
	m.attempt(t, wanted, func() error { return m.log.Reset(9, index) })
	if !m.failed {
		m.compacted = index
	}
}

func (m *modelTest) cutPowerSoon(t *rapid.T) {
	m.fileSystem.StopAfter(rapid.IntRange(0, 12).Draw(t, "operations"))
}

func (m *modelTest) failSync(t *rapid.T) { m.fileSystem.FailSyncs(1) }

func (m *modelTest) crash(t *rapid.T) {
	if rapid.Bool().Draw(t, "machine") {
		m.fileSystem.Crash()
	} else {
		m.fileSystem.StopAfter(-1)
		m.fileSystem.Restart()
	}
	m.reopen(t)
}

// reopen opens the log again, optionally after a crash while opening it.
func (m *modelTest) reopen(t *rapid.T) {
	m.fileSystem.FailSyncs(0)
	if rapid.Bool().Draw(t, "crash while opening") {
		m.fileSystem.StopAfter(rapid.IntRange(0, 6).Draw(t, "operations"))
		log, _, err := tryOpen(m.fileSystem)
		if err == nil {
			must.NoError(t, log.Close())
		} else {
			must.ErrorIs(t, err, faultfs.ErrPower)
		}
		m.fileSystem.Crash()
	}
	log, recovered, err := tryOpen(m.fileSystem)
	must.NoError(t, err)
	m.log = log
	m.verify(t, recovered)
}

// verify checks that the log recovered either the saved content or that of the
// failed operation, starting at the first entry that was not compacted.
func (m *modelTest) verify(t *rapid.T, recovered wal.Recovered) {
	must.Eq(t, m.identity, recovered.Identity)
	err := m.saved.matches(recovered, m.compacted)
	if err != nil && m.attempted != nil {
		if m.attempted.matches(recovered, m.compacted) == nil {
			m.saved, err = *m.attempted, nil
			m.compacted = max(m.compacted, m.saved.first-1)
		}
	}
	must.NoError(t, err)
	m.attempted, m.failed = nil, false
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
		m := &modelTest{fileSystem: faultfs.New(rapid.Uint64().Draw(t, "seed")), saved: content{first: 1}}
		log, recovered := open(t, m.fileSystem)
		m.log, m.identity = log, recovered.Identity
		t.Repeat(map[string]func(*rapid.T){
			"save":      m.save,
			"save more": m.save,
			"compact":   m.compact,
			"reset":     m.reset,
			"stop soon": m.cutPowerSoon,
			"fail sync": m.failSync,
			"crash":     m.crash,
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
