package view

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	relayLease  = 80 * time.Millisecond
	relayTerm   = 3
	relayCount  = 2
	daemonCount = 4
)

// testClock is a process clock with its own rate and origin.
type testClock struct {
	rate   float64
	origin time.Duration
}

func (c testClock) localTime(now time.Duration) time.Duration {
	return c.origin + time.Duration(float64(now)*c.rate)
}

// simulatedDaemon is a daemon that follows one relay and may move to another.
type simulatedDaemon struct {
	testClock
	name   string
	holder *Holder
	relay  int
}

// relayInstance is one run of a relay.
type relayInstance struct {
	testClock
	*Relay
	name string
}

// relaySimulation simulates a leader, relays and daemons whose messages arrive late,
// out of order, twice or never. It checks the guarantee of Relay.
type relaySimulation struct {
	now            time.Duration
	version        uint64
	leader         *Tracker
	relays         []*relayInstance
	daemons        []*simulatedDaemon
	starts         int
	messages       []func()
	inForce        uint64 // highest revision that the leader reported as in force
	inForceChanges int    // number of times that inForce has risen
}

func newRelaySimulation(t *rapid.T) *relaySimulation {
	s := &relaySimulation{version: 1, leader: NewTracker(testLease)}
	s.leader.Reset(-2 * testLease)
	for i := range relayCount {
		s.relays = append(s.relays, s.startRelay(t, i))
	}
	for i := range daemonCount {
		s.daemons = append(s.daemons, &simulatedDaemon{
			testClock: drawClock(t), name: fmt.Sprint("daemon-", i), holder: NewHolder(), relay: i % relayCount,
		})
	}
	return s
}

func drawClock(t *rapid.T) testClock {
	return testClock{
		rate:   1 + float64(rapid.IntRange(-4, 4).Draw(t, "drift"))/1000,
		origin: time.Duration(rapid.IntRange(0, 1000).Draw(t, "origin")) * time.Millisecond,
	}
}

func (s *relaySimulation) startRelay(t *rapid.T, index int) *relayInstance {
	s.starts++
	clock := drawClock(t)
	return &relayInstance{
		testClock: clock,
		Relay:     NewRelay(relayLease, clock.localTime(s.now)),
		name:      fmt.Sprintf("relay-%d#%d", index, s.starts),
	}
}

// fullDelta returns the leader's current view as a full delta. Its one engine changes
// with each revision.
func (s *relaySimulation) fullDelta() Delta {
	full := Delta{Full: true, To: Version{Term: relayTerm, Revision: s.version}}
	full.Objects = append(full.Objects, api.Object{Engine: testEngine("e0", s.version)})
	return full
}

func (s *relaySimulation) send(message func()) { s.messages = append(s.messages, message) }

// heartbeatRandomRelay sends a heartbeat from one relay to the leader.
func (s *relaySimulation) heartbeatRandomRelay(t *rapid.T) {
	s.sendRelayHeartbeat(s.relays[rapid.IntRange(0, relayCount-1).Draw(t, "relay")])
}

func (s *relaySimulation) sendRelayHeartbeat(r *relayInstance) {
	sentAt, acked := r.localTime(s.now), r.Acknowledge(r.localTime(s.now))
	s.send(func() {
		granted := s.leader.Observe(r.name, acked, s.now)
		delta := s.fullDelta()
		s.send(func() {
			_ = r.Apply(delta) // returns ErrStale for a late delta
			if granted {
				r.Confirm(sentAt, testLease, relayTerm)
			}
		})
	})
}

// heartbeatRandomDaemon sends a heartbeat from one daemon to its relay.
func (s *relaySimulation) heartbeatRandomDaemon(t *rapid.T) {
	s.sendDaemonHeartbeat(s.daemons[rapid.IntRange(0, daemonCount-1).Draw(t, "daemon")])
}

func (s *relaySimulation) sendDaemonHeartbeat(d *simulatedDaemon) {
	r := s.relays[d.relay]
	sentAt, held := d.localTime(s.now), d.holder.Load().Version
	s.send(func() {
		now := r.localTime(s.now)
		lease := min(relayLease, r.MaxLease(now))
		granted := lease > 0 && r.Tracker().Observe(d.name, held, now)
		delta, found := r.History().DeltaSince(held)
		if found {
			s.send(func() { _ = d.holder.Apply(delta) })
		}
		if granted {
			s.send(func() { d.holder.Confirm(sentAt, lease, relayTerm) })
		}
	})
}

func (s *relaySimulation) deliverRandomly(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "messages") {
		if len(s.messages) == 0 {
			return
		}
		i := rapid.IntRange(0, len(s.messages)-1).Draw(t, "message")
		message := s.messages[i]
		switch rapid.IntRange(0, 9).Draw(t, "delivery") {
		case 0: // lost
			s.messages = slices.Delete(s.messages, i, i+1)
			continue
		case 1: // duplicated: delivered again later
		default:
			s.messages = slices.Delete(s.messages, i, i+1)
		}
		message()
	}
}

// deliverAll delivers all pending messages in order.
func (s *relaySimulation) deliverAll() {
	for len(s.messages) > 0 {
		message := s.messages[0]
		s.messages = s.messages[1:]
		message()
	}
}

func (s *relaySimulation) heartbeatAllRelays(*rapid.T) {
	for range 2 { // the second heartbeat acknowledges the delta that the first one returned
		for _, r := range s.relays {
			s.sendRelayHeartbeat(r)
		}
		s.deliverAll()
	}
}

func (s *relaySimulation) heartbeatAllDaemons(*rapid.T) {
	for _, d := range s.daemons {
		s.sendDaemonHeartbeat(d)
	}
	s.deliverAll()
}

func (s *relaySimulation) advanceTime(t *rapid.T) {
	s.now += time.Duration(rapid.IntRange(1, 12).Draw(t, "milliseconds")) * time.Millisecond
}

func (s *relaySimulation) addRevision(*rapid.T) { s.version++ }

func (s *relaySimulation) restartRelay(t *rapid.T) {
	i := rapid.IntRange(0, relayCount-1).Draw(t, "relay")
	s.relays[i] = s.startRelay(t, i)
}

func (s *relaySimulation) moveDaemon(t *rapid.T) {
	d := s.daemons[rapid.IntRange(0, daemonCount-1).Draw(t, "daemon")]
	d.relay = (d.relay + 1) % relayCount
}

func (s *relaySimulation) checkInvariant(t *rapid.T) {
	if done, _ := s.leader.InForce(Version{Term: relayTerm, Revision: s.version}, s.now); done && s.version > s.inForce {
		s.inForce = s.version
		s.inForceChanges++
	}
	for _, d := range s.daemons {
		if held := d.holder.Load().Version.Revision; d.holder.Valid(d.localTime(s.now)) {
			must.GreaterEq(t, s.inForce, held, must.Sprintf("%s uses an older view than is in force at %v", d.name, s.now))
		}
	}
}

func TestRelayedLeasesNeverCoverViewsOlderThanInForce(t *testing.T) {
	updated, inForce := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newRelaySimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"":                  s.checkInvariant,
			"relay heartbeat":   s.heartbeatRandomRelay,
			"daemon heartbeat":  s.heartbeatRandomDaemon,
			"deliver":           s.deliverRandomly,
			"deliver2":          s.deliverRandomly,
			"relay heartbeats":  s.heartbeatAllRelays,
			"daemon heartbeats": s.heartbeatAllDaemons,
			"pass time":         s.advanceTime,
			"change":            s.addRevision,
			"restart relay":     s.restartRelay,
			"move daemon":       s.moveDaemon,
		})
		for _, d := range s.daemons {
			if d.holder.Load().Version.Revision > 0 {
				updated++
			}
		}
		inForce += s.inForceChanges
	})
	must.Positive(t, updated)
	must.Positive(t, inForce)
}

func TestRelay(t *testing.T) {
	r := NewRelay(relayLease, 0)
	must.Eq(t, Version{}, r.Acknowledge(0))
	must.Eq(t, 0, r.MaxLease(0), must.Sprint("without a lease of its own it grants none"))
	first, second := Version{1, 1}, Version{1, 2}
	must.NoError(t, r.Apply(Delta{Full: true, To: first}))
	must.Eq(t, first, r.Acknowledge(0), must.Sprint("no daemon uses an older view"))
	must.True(t, r.Confirm(0, testLease, 1))
	must.Eq(t, 99*time.Millisecond, r.MaxLease(0))
	must.True(t, r.Tracker().Observe("a", first, 0))
	must.NoError(t, r.Apply(Delta{From: first, To: second, Objects: []api.Object{{Engine: testEngine("e0", 1)}}}))
	must.Eq(t, first, r.Acknowledge(10*time.Millisecond), must.Sprint("daemon a uses it under a lease"))
	must.Eq(t, second, r.Acknowledge(81*time.Millisecond), must.Sprint("the lease of a has lapsed"))
	must.False(t, r.Tracker().Observe("a", first, 81*time.Millisecond))

	delta, found := r.History().DeltaSince(first)
	must.True(t, found)
	must.Eq(t, 1, len(delta.Objects))
	must.False(t, delta.Full)
	delta, found = r.History().DeltaSince(Version{})
	must.True(t, found)
	must.True(t, delta.Full)
	_, found = r.History().DeltaSince(second)
	must.False(t, found)
}

func TestRelayHistoryIsBounded(t *testing.T) {
	r := NewRelay(relayLease, 0)
	current := Version{1, 1}
	must.NoError(t, r.Apply(Delta{Full: true, To: current}))
	for range 2*relayChangesKept + 1 {
		next := Version{1, current.Revision + 1}
		must.NoError(t, r.Apply(Delta{From: current, To: next, Objects: []api.Object{{Engine: testEngine("e0", next.Revision)}}}))
		current = next
	}
	history := r.History()
	must.Eq(t, relayChangesKept, len(history.Changes))
	delta, _ := history.DeltaSince(Version{1, history.Floor})
	must.False(t, delta.Full)
	delta, _ = history.DeltaSince(Version{1, history.Floor - 1})
	must.True(t, delta.Full, must.Sprint("its changes were dropped"))
}
