package replica

import (
	"slices"
	"sync"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// Update is what one Ready wants stored.
type Update struct {
	HardState *raft.HardState // nil when unchanged
	// Snapshot is a received one that replaces the whole log; nil when there is
	// none.
	Snapshot *raft.Snapshot
	Entries  []raft.Entry
	// MustSync is false when losing the update in a crash is harmless.
	MustSync bool
}

// Storage keeps a member's durable state. SaveSnapshot may be called beside the
// other methods, which are called by one goroutine at a time.
type Storage interface {
	// Load returns what is stored.
	Load() (raft.InitialState, error)
	// Bootstrap stores the configuration that a new group starts with.
	Bootstrap(configuration raft.Configuration) error
	// Save returns when the update is durable. After an error the storage must
	// not be used any more.
	Save(update Update) error
	// SaveSnapshot makes a snapshot of applied entries durable.
	SaveSnapshot(snapshot raft.Snapshot) error
	// Compact reclaims the space of entries that no kept snapshot needs.
	Compact() error
	// Close ends the use of the storage.
	Close() error
}

// Memory is a Storage that lasts as long as the value does. Closing it changes
// nothing, so a member can be started on it again. It is for tests and emulation.
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
		return errors.Errorf("replica: entry %d does not follow the stored ones", entries[0].Index)
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
