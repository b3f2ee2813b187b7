package replica

import (
	"slices"
	"sync"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// Update is the state of one raft.Ready that has to be stored. Snapshot and Entries
// must be empty if MustSync is false.
type Update struct {
	HardState *raft.HardState // nil if unchanged
	// Snapshot is a received snapshot that replaces the whole log, or nil.
	Snapshot *raft.Snapshot
	Entries  []raft.Entry
	// MustSync is false if losing the update in a crash is harmless.
	MustSync bool
}

// Storage stores a member's durable state. SaveSnapshot may be called concurrently
// with the other methods, which are never called concurrently with each other.
type Storage interface {
	// Load returns the stored state. It is the zero value if nothing is stored.
	Load() (raft.InitialState, error)
	// Bootstrap stores the initial configuration of a new group.
	Bootstrap(configuration raft.Configuration) error
	// Save makes the update durable before it returns, unless MustSync is false.
	// After an error the storage must no longer be used.
	Save(update Update) error
	// SaveSnapshot makes a snapshot of applied entries durable.
	SaveSnapshot(snapshot raft.Snapshot) error
	// Compact reclaims the space of entries that no retained snapshot needs. After an
	// error the storage must no longer be used.
	Compact() error
	// Close releases the storage, also if it returns an error.
	Close() error
}

// Memory is a Storage in memory, for tests and emulation. Close has no effect, so a
// member can be restarted with the same Memory.
type Memory struct {
	mutex sync.Mutex
	state raft.InitialState
}

var _ Storage = (*Memory)(nil)

// NewMemory returns an empty Memory.
func NewMemory() *Memory { return &Memory{} }

// Load implements Storage.
func (m *Memory) Load() (raft.InitialState, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.state
	state.Entries = slices.Clone(state.Entries)
	return state, nil
}

// Bootstrap implements Storage.
func (m *Memory) Bootstrap(configuration raft.Configuration) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.Configuration = configuration
	return nil
}

// Save implements Storage.
func (m *Memory) Save(update Update) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if update.Snapshot != nil {
		m.state.Snapshot = *update.Snapshot
		m.state.Entries = nil
	}
	if update.HardState != nil {
		m.state.HardState = *update.HardState
	}
	return m.appendEntries(update.Entries)
}

func (m *Memory) appendEntries(entries []raft.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := m.state.Snapshot.Index + 1
	if len(m.state.Entries) > 0 {
		first = m.state.Entries[0].Index
	}
	if entries[0].Index < first || entries[0].Index > first+uint64(len(m.state.Entries)) {
		return errors.Errorf("replica: entry %d does not follow the stored entries", entries[0].Index)
	}
	kept := m.state.Entries[:entries[0].Index-first]
	m.state.Entries = append(slices.Clip(kept), entries...)
	return nil
}

// SaveSnapshot implements Storage.
func (m *Memory) SaveSnapshot(snapshot raft.Snapshot) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if snapshot.Index > m.state.Snapshot.Index {
		m.state.Snapshot = snapshot
	}
	return nil
}

// Compact implements Storage.
func (m *Memory) Compact() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	entries := m.state.Entries
	for len(entries) > 0 && entries[0].Index <= m.state.Snapshot.Index {
		entries = entries[1:]
	}
	m.state.Entries = slices.Clone(entries)
	return nil
}

// Close implements Storage.
func (m *Memory) Close() error { return nil }
