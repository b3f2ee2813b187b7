package campaign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/version/state"
)

const (
	electionTimeout   = time.Second
	heartbeatInterval = 100 * time.Millisecond
	leaseDuration     = 800 * time.Millisecond
	tickInterval      = 25 * time.Millisecond
	diskLatency       = 2 * time.Millisecond
	snapshotEntries   = 120
	retainedEntries   = 20
)

// member is one control member: agreement, state machine, leader duties.
type member struct {
	process
	id       raft.MemberID
	disk     *disk
	random   *rand.Rand
	founding raft.Configuration
	joining  bool // its disk was lost: it asks to be taken in as a learner

	node     *raft.Node
	machine  *state.Machine
	applied  uint64
	saving   *raft.Ready
	proposed map[uint64]proposal
	ledTerm  uint64
	duties   *duties
	// crashInSave kills the member in the middle of its next synced save.
	crashInSave func()
	// stopping is set during a planned stop: leadership is handed over first.
	stopping bool
}

type proposal struct {
	term   uint64
	answer func(result any, known bool)
}

// boot starts the member from its disk.
func (m *member) boot() {
	m.start()
	m.stopping = false
	m.crashInSave = nil
	m.saving = nil
	m.proposed = map[uint64]proposal{}
	m.ledTerm = 0
	m.duties = nil
	m.machine = state.New()
	m.applied = 0
	initial := m.disk.state
	initial.Entries = slices.Clone(initial.Entries)
	if initial.Snapshot.Index == 0 {
		initial.Configuration = m.founding
	} else {
		m.restore(initial.Snapshot)
	}
	node, err := raft.New(m.config(), initial)
	if err != nil {
		panic(fmt.Sprintf("campaign: member %s cannot start from its disk: %v", m.name, err))
	}
	m.node = node
	m.node.Tick(m.clock())
	m.every(tickInterval, m.tick)
}

func (m *member) config() raft.Config {
	return raft.Config{
		ID:                  m.id,
		ElectionTimeout:     electionTimeout,
		HeartbeatInterval:   heartbeatInterval,
		LeaseDuration:       leaseDuration,
		MaxEntriesBytes:     64 << 10,
		MaxInflight:         16,
		MaxUncommittedBytes: 4 << 20,
		Seed:                m.random.Uint64(),
		RetainedEntries:     retainedEntries,
	}
}

func (m *member) restore(snapshot raft.Snapshot) {
	if err := m.machine.Restore(snapshot.Data); err != nil {
		panic(fmt.Sprintf("campaign: member %s: snapshot %d: %v", m.name, snapshot.Index, err))
	}
	m.applied = snapshot.Index
	m.world.oracle.restored(m, snapshot)
}

func (m *member) tick() {
	m.node.Tick(m.clock())
	m.pump()
}

// receive takes a message of another member.
func (m *member) receive(message raft.Message) {
	if message.To != m.id {
		return
	}
	now := m.clock()
	m.node.Tick(now)
	if err := m.node.Step(now, message); err != nil {
		m.world.oracle.messageRefused(m, err)
	}
	m.pump()
}

// pump takes the next Ready to the disk; what follows happens once it is synced.
func (m *member) pump() {
	m.observeLeadership()
	if m.saving != nil || !m.node.HasReady() {
		return
	}
	ready := m.node.Ready()
	m.saving = &ready
	delay := time.Duration(0)
	if ready.MustSync {
		delay = diskLatency + time.Duration(m.random.Int64N(int64(diskLatency)))
	}
	if crash := m.crashInSave; crash != nil && ready.MustSync {
		m.crashInSave = nil
		delay /= 2
		m.after(delay, crash)
		return
	}
	m.after(delay, m.saved)
}

// saved carries out the Ready that is on the disk now.
func (m *member) saved() {
	ready := *m.saving
	m.saving = nil
	m.disk.save(ready)
	if ready.Snapshot != nil {
		m.restore(*ready.Snapshot)
	}
	m.transmit(ready.Messages)
	for _, entry := range ready.Committed {
		m.apply(entry)
	}
	m.node.Advance(ready)
	m.snapshot()
	m.pump()
}

func (m *member) transmit(messages []raft.Message) {
	for _, message := range messages {
		// The receiver must not share memory with the sender.
		decoded, err := raft.DecodeMessage(message.AppendBinary(nil))
		if err != nil {
			panic(fmt.Sprintf("campaign: a message does not survive its codec: %v", err))
		}
		if to := m.world.memberByID(message.To); to != nil {
			m.world.network.datagram(&m.process, &to.process, func() { to.receive(decoded) })
		}
	}
}

func (m *member) apply(entry raft.Entry) {
	m.world.oracle.committed(m, entry)
	var result any
	if entry.Kind == raft.EntryCommand {
		command, err := state.Decode(entry.Data)
		if err != nil {
			panic(fmt.Sprintf("campaign: entry %d cannot be decoded: %v", entry.Index, err))
		}
		result = m.machine.Apply(entry.Term, entry.Index, command)
	}
	m.applied = entry.Index
	waiting, found := m.proposed[entry.Index]
	if !found {
		return
	}
	delete(m.proposed, entry.Index)
	waiting.answer(result, waiting.term == entry.Term)
}

func (m *member) snapshot() {
	if m.applied < m.disk.state.Snapshot.Index+snapshotEntries {
		return
	}
	data, err := m.machine.Snapshot()
	if err != nil {
		panic(fmt.Sprintf("campaign: snapshot: %v", err))
	}
	taken, err := m.node.SnapshotAt(m.applied, data)
	if err != nil || m.node.Compact(taken) != nil {
		return // a received one has made it needless
	}
	m.disk.compact(taken)
	m.world.strike(strikeSnapshot)
}

// propose appends a command if this member leads with a valid lease; answer is
// called once, with known false when the outcome is not known. The result is
// false when the command was surely not taken.
func (m *member) propose(command state.Command, answer func(result any, known bool)) bool {
	now := m.clock()
	if m.stopping || !m.node.LeaseValid(now) {
		return false
	}
	command.Time = m.world.wallClock(&m.process)
	command.Limits = state.TransactionLimits{
		MaxAffectedEngines: maxAffectedEngines,
		OperationRetention: retention.Milliseconds(),
		ClaimRetention:     retention.Milliseconds(),
	}
	term, index, err := m.node.Propose(now, state.Encode(command))
	if err != nil {
		return false
	}
	m.proposed[index] = proposal{term: term, answer: answer}
	m.pump()
	return true
}

// observeLeadership answers what waits when a leadership has ended.
func (m *member) observeLeadership() {
	status := m.node.Status()
	led := uint64(0)
	if status.Role == raft.Leader {
		led = status.Term
		m.world.oracle.leads(m, status.Term)
	}
	if m.ledTerm != 0 && led != m.ledTerm {
		m.duties = nil
		m.abandon()
	}
	m.ledTerm = led
}

func (m *member) abandon() {
	indexes := make([]uint64, 0, len(m.proposed))
	for index := range m.proposed {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	for _, index := range indexes {
		waiting := m.proposed[index]
		delete(m.proposed, index)
		waiting.answer(nil, false)
	}
}

// crash kills the member, in the middle of a save if one is under way.
func (m *member) crash() {
	if m.saving != nil {
		m.disk.tear(*m.saving, m.random)
		m.world.strike(strikeTornSave)
	}
	m.kill()
}

// leads reports whether the member leads with a valid lease now.
func (m *member) leads() bool {
	return m.up && m.node.Status().Role == raft.Leader && m.node.LeaseValid(m.clock())
}
