package raft

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	simElectionTimeout   = 100 * time.Millisecond
	simHeartbeatInterval = 20 * time.Millisecond
	simLeaseDuration     = 80 * time.Millisecond
	simTickInterval      = 5 * time.Millisecond
	simSnapshotEvery     = 40 // applied entries between compactions
)

// event is a function scheduled at a virtual time. Ties are broken by sequence.
type event struct {
	at          time.Duration
	sequence    uint64
	member      *simMember // deferred while this member is paused; nil for cluster events
	incarnation int        // the event is dropped if the member has crashed since
	config      bool       // delivers a configuration entry
	run         func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// simDisk is the stored state of a member.
type simDisk struct {
	hardState HardState
	snapshot  Snapshot
	entries   []Entry // after the snapshot
	bootstrap Configuration
}

func (d *simDisk) store(ready Ready) {
	if ready.Snapshot != nil {
		d.snapshot = *ready.Snapshot
		d.entries = nil
	}
	if len(ready.Entries) > 0 {
		keep := ready.Entries[0].Index - d.snapshot.Index - 1
		d.entries = append(slices.Clone(d.entries[:keep]), ready.Entries...)
	}
	if ready.HardState != nil {
		d.hardState = *ready.HardState
	}
}

// simMember is one member process with its disk and its drifting clock.
type simMember struct {
	id          MemberID
	node        *Node
	synced      simDisk // survives a crash
	written     simDisk // reset to synced by a crash
	incarnation int
	up          bool
	lost        bool // the disk is lost; the identity must not be reused
	pausedUntil time.Duration
	clockRate   float64
	applied     uint64
	stateHash   uint64
	role        Role
}

// cluster simulates members in virtual time, connected by a faulty network.
type cluster struct {
	random       *rand.Rand
	seed         uint64
	now          time.Duration
	queue        eventQueue
	lastSequence uint64
	members      []*simMember // ordered by ID; IDs are 1, 2, ...
	cuts         map[[2]MemberID]bool
	oracle       *oracle
	counts       map[string]int

	// The intervals vary by seed. With long ones the group is idle, so that a member
	// that was partitioned has an up-to-date log and can be elected. With short ones
	// the group is busy, so that there are uncommitted entries that can be lost.
	proposalInterval time.Duration
	faultInterval    time.Duration
	minVoters        int // voters are not removed below this number

	faulty    bool // enables message faults, slow writes and crashes during a Ready
	nextValue uint64
	trace     []string
}

func newCluster(seed uint64, voters int) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 7)),
		seed:   seed,
		cuts:   make(map[[2]MemberID]bool),
		counts: make(map[string]int),
	}
	c.oracle = newOracle(c)
	c.proposalInterval = []time.Duration{3 * time.Millisecond, 8 * time.Millisecond, 150 * time.Millisecond}[c.random.IntN(3)]
	c.faultInterval = []time.Duration{20 * time.Millisecond, 60 * time.Millisecond}[c.random.IntN(2)]
	c.minVoters = simMinVoters - c.random.IntN(2)
	configuration := Configuration{}
	for id := range voters {
		configuration.Voters = append(configuration.Voters, MemberID(id+1))
	}
	for range voters {
		c.addMember(configuration)
	}
	return c
}

func (c *cluster) tracef(format string, args ...any) {
	line := fmt.Sprintf("%v ", c.now) + fmt.Sprintf(format, args...)
	c.trace = append(c.trace, line)
	c.trace = c.trace[max(0, len(c.trace)-60):]
}

func (c *cluster) count(kind string, id MemberID) {
	c.counts[kind]++
	c.tracef("%s %d", kind, id)
}

func (c *cluster) formatTrace() string { return strings.Join(c.trace, "\n") }

// addMember starts a member with an empty disk and a new ID.
func (c *cluster) addMember(bootstrap Configuration) *simMember {
	// Clocks drift by up to 5 %, which the difference between the election timeout and the
	// lease must cover.
	m := &simMember{id: MemberID(len(c.members) + 1), clockRate: 0.95 + 0.1*c.random.Float64()}
	m.synced.bootstrap = bootstrap
	c.members = append(c.members, m)
	c.start(m)
	return m
}

func (c *cluster) start(m *simMember) {
	node, err := New(Config{
		ID:                  m.id,
		ElectionTimeout:     simElectionTimeout,
		HeartbeatInterval:   simHeartbeatInterval,
		LeaseDuration:       simLeaseDuration,
		MaxEntriesBytes:     200,
		MaxInflight:         4,
		MaxUncommittedBytes: 4000,
		RetainedEntries:     uint64(m.id % 3 * 10),
		Seed:                c.seed,
	}, InitialState{
		HardState:     m.synced.hardState,
		Snapshot:      m.synced.snapshot,
		Entries:       slices.Clone(m.synced.entries),
		Configuration: m.synced.bootstrap,
	})
	if err != nil {
		c.oracle.violation("restart", "member %d: %v", m.id, err)
		return
	}
	m.node, m.up, m.pausedUntil = node, true, 0
	m.written = m.synced
	m.role = Follower
	m.applied, m.stateHash = 0, 0
	if m.synced.snapshot.Index > 0 {
		c.oracle.checkInstalled(m, m.synced.snapshot)
	}
	c.schedule(m, simTickInterval, func() { c.tick(m) })
}

func (c *cluster) crash(m *simMember) {
	m.up = false
	m.incarnation++
	m.written = m.synced
}

func (c *cluster) clock(m *simMember) time.Duration {
	return time.Duration(float64(c.now) * m.clockRate)
}

func (c *cluster) schedule(m *simMember, delay time.Duration, run func()) {
	c.push(event{at: c.now + delay, member: m, run: run})
}

func (c *cluster) push(e event) {
	c.lastSequence++
	e.sequence = c.lastSequence
	if e.member != nil {
		e.incarnation = e.member.incarnation
	}
	heap.Push(&c.queue, e)
}

// run processes events until the given time or the first violation.
func (c *cluster) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until && c.oracle.failure == nil {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		if m := e.member; m != nil {
			if !m.up || m.incarnation != e.incarnation {
				continue
			}
			if m.pausedUntil > c.now {
				e.at = m.pausedUntil
				heap.Push(&c.queue, e)
				continue
			}
		}
		e.run()
		c.oracle.checkMembers()
	}
	c.now = max(c.now, until)
}

func (c *cluster) tick(m *simMember) {
	m.node.Tick(c.clock(m))
	c.startReady(m)
	c.schedule(m, simTickInterval, func() { c.tick(m) })
}

// startReady takes the next Ready and schedules its processing after a write delay.
// Messages are stepped meanwhile, and the process may crash at any point.
func (c *cluster) startReady(m *simMember) {
	if !m.up || !m.node.HasReady() {
		return
	}
	ready := m.node.Ready()
	delay := time.Duration(c.random.IntN(300)) * time.Microsecond
	if c.faulty && c.random.IntN(50) == 0 {
		delay = time.Duration(c.random.IntN(20)) * time.Millisecond
	}
	c.schedule(m, delay, func() { c.processReady(m, ready) })
}

func (c *cluster) processReady(m *simMember, ready Ready) {
	// Phases: 0 before the Ready is stored, 1 when half of its messages are sent, 2
	// after all messages are sent, 3 after Committed is applied but before Advance.
	crashPhase := -1
	if c.faulty && c.random.IntN(3000) == 0 {
		crashPhase = c.random.IntN(4)
		c.count(fmt.Sprintf("crash in phase %d", crashPhase), m.id)
		defer c.scheduleRestart(m)
	}
	if crashPhase == 0 {
		c.crash(m)
		return
	}
	m.written.store(ready)
	if ready.MustSync {
		m.synced = m.written
	}
	c.oracle.checkStored(m, ready)
	for i, message := range ready.Messages {
		if crashPhase == 1 && i >= len(ready.Messages)/2 {
			c.crash(m)
			return
		}
		c.oracle.checkSent(m, message)
		c.transmit(message)
	}
	if crashPhase == 2 {
		c.crash(m)
		return
	}
	c.oracle.checkApplied(m, ready)
	if crashPhase == 3 {
		c.crash(m)
		return
	}
	m.node.Advance(ready)
	c.maybeCompact(m)
	c.startReady(m)
}

func (c *cluster) maybeCompact(m *simMember) {
	if m.applied < m.written.snapshot.Index+simSnapshotEvery {
		return
	}
	snapshot, err := m.node.SnapshotAt(m.applied, []byte(fmt.Sprint(m.stateHash)))
	if errors.Is(err, ErrCompacted) && m.node.log.snapshot.Index > m.applied {
		return // the next Ready contains a later snapshot that was received
	}
	if err != nil {
		c.oracle.violation("compaction", "member %d: %v", m.id, err)
		return
	}
	m.written.entries = entriesAfter(m.written.entries, snapshot.Index)
	m.written.snapshot = snapshot
	m.synced = m.written
	if err := m.node.Compact(snapshot); err != nil {
		c.oracle.violation("compaction", "member %d: %v", m.id, err)
	}
}

// transmit sends one encoded message through the faulty network.
func (c *cluster) transmit(message Message) {
	copies := 1
	if c.faulty {
		switch roll := c.random.IntN(100); {
		case roll < 5:
			c.counts["lost message"]++
			copies = 0
		case roll < 8:
			c.counts["duplicated message"]++
			copies = 2
		}
	}
	encoded := message.AppendBinary(nil)
	carriesConfig := slices.ContainsFunc(message.Entries, func(e Entry) bool { return e.Kind == EntryConfig })
	for range copies {
		delay := time.Duration(200+c.random.IntN(1500)) * time.Microsecond
		if c.faulty && c.random.IntN(30) == 0 {
			c.counts["late message"]++
			delay += time.Duration(c.random.IntN(400)) * time.Millisecond
		}
		c.push(event{at: c.now + delay, config: carriesConfig, run: func() { c.arrive(message.From, message.To, encoded) }})
	}
}

// arrive schedules a message at its receiver, which processes it when not paused.
func (c *cluster) arrive(from, to MemberID, encoded []byte) {
	if c.cuts[[2]MemberID{from, to}] {
		c.counts["message into a cut"]++
		return
	}
	m := c.members[to-1]
	if !m.up {
		return
	}
	c.schedule(m, 0, func() {
		message, err := DecodeMessage(encoded)
		if err != nil {
			c.oracle.violation("codec", "%v", err)
			return
		}
		if err := m.node.Step(c.clock(m), message); err != nil {
			c.oracle.violation("step", "member %d: %+v: %v", m.id, message, err)
		}
		c.startReady(m)
	})
}

// leader returns the running leader with the highest term, or nil if there is none.
func (c *cluster) leader() *simMember {
	var found *simMember
	for _, m := range c.members {
		if m.up && m.node.role == Leader && (found == nil || m.node.term > found.node.term) {
			found = m
		}
	}
	return found
}

// propose proposes a unique value on every running member in the leader role.
func (c *cluster) propose() {
	for _, m := range c.members {
		if m.up && m.pausedUntil <= c.now && m.node.role == Leader {
			c.nextValue++
			if _, _, err := m.node.Propose(c.clock(m), fmt.Appendf(nil, "value %d", c.nextValue)); err == nil {
				c.counts["proposal"]++
			}
			c.startReady(m)
		}
	}
}

func hashOf(previous uint64, e Entry) uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, previous, e.Term, e.Index, e.Kind, string(e.Data))
	return hash.Sum64()
}
