package raft

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	simSeeds     = 240 // one simulation each
	simDuration  = 6 * time.Second
	simHealing   = 3 * time.Second // after the faults end
	simMinVoters = 3               // or one less, by seed
	simMaxGroup  = 6               // members
)

// fault is a kind of fault to inject. inject reports whether the fault took place.
type fault struct {
	name   string
	inject func(*cluster, *simMember) bool
}

var faults = []fault{
	{"cut one way", func(c *cluster, m *simMember) bool {
		c.cut(m, c.randomMember(), false)
		return true
	}},
	{"cut both ways", func(c *cluster, m *simMember) bool {
		for _, other := range c.members {
			c.cut(m, other, true)
		}
		return true
	}},
	{"cut inbound links", func(c *cluster, m *simMember) bool {
		for _, other := range c.members {
			c.cut(other, m, false)
		}
		return true
	}},
	{"crash", func(c *cluster, m *simMember) bool {
		c.crash(m)
		c.scheduleRestart(m)
		return true
	}},
	{"pause", func(c *cluster, m *simMember) bool {
		m.pausedUntil = c.now + time.Duration(c.random.IntN(600))*time.Millisecond
		return true
	}},
	{"pause the leader", func(c *cluster, _ *simMember) bool {
		leader := c.leader()
		if leader == nil {
			return false
		}
		leader.pausedUntil = c.now + simLeaseDuration + time.Duration(c.random.IntN(300))*time.Millisecond
		return true
	}},
	{"crash all", func(c *cluster, _ *simMember) bool {
		for _, m := range c.members {
			if m.up {
				c.crash(m)
				c.scheduleRestart(m)
			}
		}
		return true
	}},
	{"transfer", func(c *cluster, m *simMember) bool {
		leader := c.leader()
		return leader != nil && leader.node.TransferLeadership(c.clock(leader), m.id) == nil
	}},
	{"lost disk", (*cluster).loseDisk},
	{"add learner", func(c *cluster, _ *simMember) bool {
		leader := c.leader()
		if leader == nil || len(leader.node.Status().Configuration.members()) >= simMaxGroup {
			return false
		}
		return c.change(ChangeAddLearner, c.addMember(Configuration{}).id)
	}},
	{"promote", func(c *cluster, _ *simMember) bool { return c.promoteLearner() }},
	{"remove voter", func(c *cluster, m *simMember) bool {
		leader := c.leader()
		if leader == nil {
			return false
		}
		configuration := leader.node.Status().Configuration
		if len(configuration.Voters) <= c.minVoters || c.anyLost(configuration) {
			return false
		}
		return c.change(ChangeRemove, m.id)
	}},
	{"remove leader", func(c *cluster, _ *simMember) bool {
		leader := c.leader()
		if leader == nil || len(leader.node.Status().Configuration.Voters) <= c.minVoters {
			return false
		}
		return !c.anyLost(leader.node.Status().Configuration) && c.change(ChangeRemove, leader.id)
	}},
}

func (c *cluster) randomMember() *simMember { return c.members[c.random.IntN(len(c.members))] }

// cut drops messages between two members for a random time.
func (c *cluster) cut(from, to *simMember, both bool) {
	length := time.Duration(50+c.random.IntN(700)) * time.Millisecond
	links := [][2]MemberID{{from.id, to.id}}
	if both {
		links = append(links, [2]MemberID{to.id, from.id})
	}
	for _, link := range links {
		c.cuts[link] = true
		c.push(event{at: c.now + length, run: func() { delete(c.cuts, link) }})
	}
}

func (c *cluster) scheduleRestart(m *simMember) {
	incarnation := m.incarnation
	delay := time.Duration(c.random.IntN(400)) * time.Millisecond
	if c.random.IntN(2) == 0 {
		delay = time.Duration(c.random.IntN(5)) * time.Millisecond // before any lease has expired
	}
	c.push(event{at: c.now + delay, run: func() {
		if !m.up && m.incarnation == incarnation && !m.lost {
			c.start(m)
		}
	}})
}

func (c *cluster) change(kind ChangeKind, member MemberID) bool {
	leader := c.leader()
	_, _, err := leader.node.ProposeChange(c.clock(leader), ConfigurationChange{kind, member})
	c.startReady(leader)
	return err == nil
}

func (c *cluster) promoteLearner() bool {
	leader := c.leader()
	if leader == nil {
		return false
	}
	for _, learner := range leader.node.Status().Configuration.Learners {
		if c.change(ChangePromote, learner) {
			return true
		}
	}
	return false
}

func (c *cluster) anyLost(configuration Configuration) bool {
	return slices.ContainsFunc(configuration.members(), func(id MemberID) bool { return c.members[id-1].lost })
}

// loseDisk removes a member ID permanently. It does so only if the group tolerates the
// loss: no other lost disk is unrepaired and no membership change is in progress.
func (c *cluster) loseDisk(m *simMember) bool {
	leader := c.leader()
	if c.minVoters < simMinVoters || leader == nil || m.lost || !leader.node.Status().Configuration.isVoter(m.id) {
		return false
	}
	configuration := leader.node.configurations.latest().configuration
	for _, other := range c.members {
		if other.lost || !configuration.contains(other.id) {
			continue
		}
		history := newConfigurationHistory(0, other.synced.bootstrap)
		if other.synced.snapshot.Index > 0 {
			history = newConfigurationHistory(0, other.synced.snapshot.Configuration)
		}
		if history.addEntries(other.synced.entries) != nil || len(history.latest().configuration.Voters) < simMinVoters {
			return false
		}
		if !slices.Equal(history.latest().configuration.Voters, configuration.Voters) || !other.up ||
			!slices.Equal(other.node.configurations.latest().configuration.Voters, configuration.Voters) {
			return false
		}
	}
	inFlight := slices.ContainsFunc(c.queue, func(e event) bool { return e.config })
	if inFlight || c.anyLost(configuration) {
		return false
	}
	c.crash(m)
	m.lost = true
	return true
}

// repair replaces a lost voter with a new member step by step: add a learner, promote
// it, remove the lost voter.
func (c *cluster) repair() {
	leader := c.leader()
	if leader == nil {
		return
	}
	configuration := leader.node.Status().Configuration
	lost := slices.IndexFunc(configuration.Voters, func(id MemberID) bool { return c.members[id-1].lost })
	switch {
	case lost < 0:
	case len(configuration.Voters) > simMinVoters:
		c.change(ChangeRemove, configuration.Voters[lost])
	case len(configuration.Learners) == 0:
		if c.change(ChangeAddLearner, c.addMember(Configuration{}).id) {
			c.count("replacement", MemberID(len(c.members)))
		}
	default:
		c.promoteLearner()
	}
}

// scheduleRepeatedly runs action at random intervals with the given mean until the
// given time.
func (c *cluster) scheduleRepeatedly(mean, until time.Duration, action func()) {
	delay := time.Duration(c.random.Int64N(int64(2 * mean)))
	if c.now+delay > until {
		return
	}
	c.push(event{at: c.now + delay, run: func() {
		action()
		c.scheduleRepeatedly(mean, until, action)
	}})
}

// runWithFaults runs the cluster while injecting random faults, then heals it and runs
// it for simHealing so that it can converge.
func (c *cluster) runWithFaults(duration time.Duration) {
	c.faulty = true
	c.scheduleRepeatedly(c.proposalInterval, duration+simHealing-simElectionTimeout, c.propose)
	c.scheduleRepeatedly(15*time.Millisecond, duration, c.oracle.requestReads)
	c.scheduleRepeatedly(50*time.Millisecond, duration+simHealing/2, c.repair)
	c.scheduleRepeatedly(c.faultInterval, duration, func() {
		f := faults[c.random.IntN(len(faults))]
		m := c.randomMember()
		if m.up && f.inject(c, m) {
			c.count(f.name, m.id)
		}
	})
	c.run(duration)
	c.heal()
	c.run(duration + simHealing)
}

func (c *cluster) heal() {
	c.faulty = false
	clear(c.cuts)
	for _, m := range c.members {
		m.pausedUntil = 0
		if !m.up && !m.lost {
			c.start(m)
		}
	}
}

// TestSimulation runs groups of three and five members with injected faults, one seed per
// subtest.
func TestSimulation(t *testing.T) {
	var mutex sync.Mutex
	totals := make(map[string]int)
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(simSeeds) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				c := newCluster(seed, simMinVoters+2*int(seed%2))
				c.runWithFaults(simDuration)
				if failure := c.oracle.failure; failure != nil {
					t.Fatalf("seed %d: %s: %s\n%s", seed, failure.rule, failure.detail, c.formatTrace())
				}
				if err := c.oracle.checkConverged(simHealing); err != nil {
					t.Fatalf("seed %d: liveness: %v\n%s", seed, err, c.formatTrace())
				}
				mutex.Lock()
				defer mutex.Unlock()
				for kind, count := range c.counts {
					totals[kind] += count
				}
				totals["committed entry"] += len(c.oracle.committed)
				totals["answered read"] += c.oracle.answeredReads
			})
		}
	})
	t.Log(totals)
	for _, f := range faults {
		must.Positive(t, totals[f.name], must.Sprintf("%s was never injected", f.name))
	}
}

// TestSimulationIsDeterministic runs the same seed twice and compares the events and
// states.
func TestSimulationIsDeterministic(t *testing.T) {
	first, second := newCluster(3, 3), newCluster(3, 3)
	first.runWithFaults(simDuration)
	second.runWithFaults(simDuration)
	must.Eq(t, first.counts, second.counts)
	must.Eq(t, first.formatTrace(), second.formatTrace())
	must.Eq(t, first.oracle.stateHashes, second.oracle.stateHashes)
}
