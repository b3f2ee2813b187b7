package control

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// machine is the replicated state as the replica drives it and the rest of the
// daemon reads it. Readers take the published history, which never changes, or
// read the state under the lock.
type machine struct {
	lock    sync.Mutex
	state   *state.Machine
	history atomic.Pointer[view.History]
	// moved has a place that is filled when the version has moved.
	moved chan struct{}
	// membersChanged is called after a member's addresses have changed, without
	// the lock. It is set before the replica starts.
	membersChanged func()
}

func newMachine() *machine {
	m := &machine{state: state.New(), moved: make(chan struct{}, 1), membersChanged: func() {}}
	m.publish()
	return m
}

// publish makes the present version visible and reports whether it moved.
func (m *machine) publish() bool {
	previous := m.history.Load()
	if previous != nil && previous.View.Version == m.state.Version() {
		return false
	}
	current := m.state.History()
	m.history.Store(&current)
	return true
}

// Apply carries out a committed command. An entry that cannot be decoded was
// written by a broken member: going on would make the members' states differ.
func (m *machine) Apply(entry raft.Entry) any {
	command, err := state.Decode(entry.Data)
	if err != nil {
		panic(fmt.Sprintf("control: entry %d cannot be decoded: %v", entry.Index, err))
	}
	result, moved := m.apply(entry, command)
	if moved {
		m.signal()
	}
	if command.Kind == state.CommandMember {
		m.membersChanged()
	}
	return result
}

func (m *machine) apply(entry raft.Entry, command state.Command) (result any, moved bool) {
	m.lock.Lock()
	defer m.lock.Unlock()
	result = m.state.Apply(entry.Term, entry.Index, command)
	return result, m.publish()
}

// Snapshot returns the encoded state.
func (m *machine) Snapshot() ([]byte, error) { return m.Capture()() }

// Capture returns a function that encodes the present state.
func (m *machine) Capture() func() ([]byte, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	frozen := m.state.Freeze()
	return func() ([]byte, error) { return frozen.Encode(), nil }
}

// Restore replaces the state by an encoded one.
func (m *machine) Restore(data []byte) error {
	if err := m.restore(data); err != nil {
		return errors.Wrap(err, "control: restore")
	}
	m.signal()
	m.membersChanged()
	return nil
}

// signal fills the place in moved; signals coalesce.
func (m *machine) signal() {
	select {
	case m.moved <- struct{}{}:
	default:
	}
}

func (m *machine) restore(data []byte) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if err := m.state.Restore(data); err != nil {
		return err
	}
	m.publish()
	return nil
}

// view returns the version last applied.
func (m *machine) view() *view.View { return m.history.Load().View }

// read runs visit on the state; visit must keep nothing that a later command changes.
func (m *machine) read(visit func(*state.Machine)) {
	m.lock.Lock()
	defer m.lock.Unlock()
	visit(m.state)
}

// members returns the members that were not removed.
func (m *machine) members() []state.Member {
	var members []state.Member
	m.read(func(machine *state.Machine) { members = machine.Members() })
	return members
}

// isRemovedMember tells whether the identity was a member's that was removed.
func (m *machine) isRemovedMember(id uint64) (removed bool) {
	m.read(func(machine *state.Machine) { removed = machine.IsRemovedMember(id) })
	return removed
}
