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

// machine wraps the replicated state for the replica, which applies commands, and for the rest of
// the daemon, which reads. Readers use the published history, which is immutable, or read the state
// under the lock.
type machine struct {
	lock    sync.Mutex
	state   *state.Machine
	history atomic.Pointer[view.History]
	// versionChanged receives a value after the version has changed or a snapshot was restored.
	versionChanged chan struct{}
	// membersChanged is called without the lock after a member's addresses have changed. It must be
	// set before the replica starts.
	membersChanged func()
}

func newMachine() *machine {
	m := &machine{state: state.New(), versionChanged: make(chan struct{}, 1), membersChanged: func() {}}
	m.publish()
	return m
}

// publish makes the current version visible to readers and reports whether it has changed.
func (m *machine) publish() bool {
	previous := m.history.Load()
	if previous != nil && previous.View.Version == m.state.Version() {
		return false
	}
	current := m.state.History()
	m.history.Store(&current)
	return true
}

// Apply applies a committed command. It panics on an entry that cannot be decoded: the entry was
// written by a faulty member, and skipping it would make the members' states diverge.
func (m *machine) Apply(entry raft.Entry) any {
	command, err := state.Decode(entry.Data)
	if err != nil {
		panic(fmt.Sprintf("control: entry %d cannot be decoded: %v", entry.Index, err))
	}
	result, changed := m.applyAndPublish(entry, command)
	if changed {
		m.signal()
	}
	if command.Kind == state.CommandMember {
		m.membersChanged()
	}
	return result
}

// applyAndPublish applies a command under the lock and reports whether the version has changed.
func (m *machine) applyAndPublish(entry raft.Entry, command state.Command) (result any, changed bool) {
	m.lock.Lock()
	defer m.lock.Unlock()
	result = m.state.Apply(entry.Term, entry.Index, command)
	return result, m.publish()
}

// Snapshot returns the encoded state.
func (m *machine) Snapshot() ([]byte, error) { return m.Capture()() }

// Capture returns a function that encodes the state as of this call.
func (m *machine) Capture() func() ([]byte, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	frozen := m.state.Freeze()
	return func() ([]byte, error) { return frozen.Encode(), nil }
}

// Restore replaces the state by an encoded one.
func (m *machine) Restore(data []byte) error {
	if err := m.restoreAndPublish(data); err != nil {
		return errors.Wrap(err, "control: restore state")
	}
	m.signal()
	m.membersChanged()
	return nil
}

// signal notifies the reader of versionChanged; signals that were not received yet are merged into
// one.
func (m *machine) signal() {
	select {
	case m.versionChanged <- struct{}{}:
	default:
	}
}

// restoreAndPublish replaces the state under the lock and publishes it.
func (m *machine) restoreAndPublish(data []byte) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if err := m.state.Restore(data); err != nil {
		return err
	}
	m.publish()
	return nil
}

// view returns the last applied view.
func (m *machine) view() *view.View { return m.history.Load().View }

// read calls visit with the state under the lock; visit must not retain anything that a later
// command changes.
func (m *machine) read(visit func(*state.Machine)) {
	m.lock.Lock()
	defer m.lock.Unlock()
	visit(m.state)
}

// members returns the members that have not been removed.
func (m *machine) members() []state.Member {
	var members []state.Member
	m.read(func(machine *state.Machine) { members = machine.Members() })
	return members
}

// isRemovedMember reports whether the identity belongs to a member that was removed.
func (m *machine) isRemovedMember(id uint64) (removed bool) {
	m.read(func(machine *state.Machine) { removed = machine.IsRemovedMember(id) })
	return removed
}
