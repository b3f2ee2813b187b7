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

// relayClock runs at its own rate from its own origin.
type testClock struct {
	rate   float64
	origin time.Duration
}

func (c testClock) localTime(now time.Duration) time.Duration {
	return c.origin + time.Duration(float64(now)*c.rate)
}

// relayedDaemon follows one relay after the other.
type simulatedDaemon struct {
	testClock
	name   string
	holder *Holder
	relay  int
}

// runningRelay is one start of a relay.
type relayInstance struct {
	testClock
	*Relay
	name string
}

// relayWorld is a leader, relays and daemons with messages that arrive late, in
// any order, twice or never. It is the oracle of the guarantee of Relay.
type relaySimulation struct {
	now            time.Duration
	version        uint64
	leader         *Tracker
	relays         []*relayInstance
	daemons        []*simulatedDaemon
	starts         int
	messages       []func()
	inForce        uint64 // highest revision that the leader called in force
	inForceChanges int    // how often that moved
}

func newRelaySimulation(t *rapid.T) *relaySimulation {
	w := &relaySimulation{version: 1, leader: NewTracker(testLease)}
	w.leader.Reset(-2 * testLease)
	for i := range relayCount {
		w.relays = append(w.relays, w.startRelay(t, i))
	}
	for i := range daemonCount {
		w.daemons = append(w.daemons, &simulatedDaemon{
			testClock: drawClock(t), name: fmt.Sprint("daemon-", i), holder: NewHolder(), relay: i % relayCount,
		})
	}
	return w
}

func drawClock(t *rapid.T) testClock {
	return testClock{
		rate:   1 + float64(rapid.IntRange(-4, 4).Draw(t, "drift"))/1000,
		origin: time.Duration(rapid.IntRange(0, 1000).Draw(t, "origin")) * time.Millisecond,
	}
}

func (w *relaySimulation) startRelay(t *rapid.T, index int) *relayInstance {
	w.starts++
	clock := drawClock(t)
	return &relayInstance{
		testClock: clock,
		Relay:     NewRelay(relayLease, clock.localTime(w.now)),
		name:      fmt.Sprintf("relay-%d#%d", index, w.starts),
	}
}

// delta is the full view of the leader now; each revision is one engine.
func (w *relaySimulation) fullDelta() Delta {
	full := Delta{Full: true, To: Version{Term: relayTerm, Revision: w.version}}
	full.Objects = append(full.Objects, api.Object{Engine: testEngine("e0", w.version)})
	return full
}

func (w *relaySimulation) send(message func()) { w.messages = append(w.messages, message) }

// beatRelay is a beat of a relay to the leader.
func (w *relaySimulation) heartbeatRandomRelay(t *rapid.T) {
	w.sendRelayHeartbeat(w.relays[rapid.IntRange(0, relayCount-1).Draw(t, "relay")])
}

func (w *relaySimulation) sendRelayHeartbeat(r *relayInstance) {
	sentAt, acked := r.localTime(w.now), r.Acknowledge(r.localTime(w.now))
	w.send(func() {
		granted := w.leader.Observe(r.name, acked, w.now)
		delta := w.fullDelta()
		w.send(func() {
			_ = r.Apply(delta) // a late one is refused
			if granted {
				r.Confirm(sentAt, testLease, relayTerm)
			}
		})
	})
}

// beatDaemon is a beat of a daemon to its relay.
func (w *relaySimulation) heartbeatRandomDaemon(t *rapid.T) {
	w.sendDaemonHeartbeat(w.daemons[rapid.IntRange(0, daemonCount-1).Draw(t, "daemon")])
}

func (w *relaySimulation) sendDaemonHeartbeat(d *simulatedDaemon) {
	r := w.relays[d.relay]
	sentAt, held := d.localTime(w.now), d.holder.Load().Version
	w.send(func() {
		now := r.localTime(w.now)
		lease := min(relayLease, r.Limit(now))
		granted := lease > 0 && r.Tracker().Observe(d.name, held, now)
		delta, some := r.History().DeltaSince(held)
		if some {
			w.send(func() { _ = d.holder.Apply(delta) })
		}
		if granted {
			w.send(func() { d.holder.Confirm(sentAt, lease, relayTerm) })
		}
	})
}

func (w *relaySimulation) deliverRandomly(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "messages") {
		if len(w.messages) == 0 {
			return
		}
		i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
		message := w.messages[i]
		switch rapid.IntRange(0, 9).Draw(t, "fate") {
		case 0: // lost
			w.messages = slices.Delete(w.messages, i, i+1)
			continue
		case 1: // arrives again later
		default:
			w.messages = slices.Delete(w.messages, i, i+1)
		}
		message()
	}
}

// deliverAll delivers what is on its way, in order.
func (w *relaySimulation) deliverAll() {
	for len(w.messages) > 0 {
		message := w.messages[0]
		w.messages = w.messages[1:]
		message()
	}
}

func (w *relaySimulation) heartbeatAllRelays(*rapid.T) {
	for range 2 { // the second acknowledges what the first has brought
		for _, r := range w.relays {
			w.sendRelayHeartbeat(r)
		}
		w.deliverAll()
	}
}

func (w *relaySimulation) heartbeatAllDaemons(*rapid.T) {
	for _, d := range w.daemons {
		w.sendDaemonHeartbeat(d)
	}
	w.deliverAll()
}

func (w *relaySimulation) advanceTime(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(1, 12).Draw(t, "milliseconds")) * time.Millisecond
}

func (w *relaySimulation) addRevision(*rapid.T) { w.version++ }

func (w *relaySimulation) restartRelay(t *rapid.T) {
	i := rapid.IntRange(0, relayCount-1).Draw(t, "relay")
	w.relays[i] = w.startRelay(t, i)
}

func (w *relaySimulation) moveDaemon(t *rapid.T) {
	d := w.daemons[rapid.IntRange(0, daemonCount-1).Draw(t, "daemon")]
	d.relay = (d.relay + 1) % relayCount
}

func (w *relaySimulation) checkInvariant(t *rapid.T) {
	if done, _ := w.leader.InForce(Version{Term: relayTerm, Revision: w.version}, w.now); done && w.version > w.inForce {
		w.inForce = w.version
		w.inForceChanges++
	}
	for _, d := range w.daemons {
		if held := d.holder.Load().Version.Revision; d.holder.Valid(d.localTime(w.now)) {
			must.GreaterEq(t, w.inForce, held, must.Sprintf("%s uses it at %v", d.name, w.now))
		}
	}
}

func TestRelayedLeasesNeverCoverViewsOlderThanInForce(t *testing.T) {
	leased, reached := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newRelaySimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         w.checkInvariant,
			"relay":    w.heartbeatRandomRelay,
			"daemon":   w.heartbeatRandomDaemon,
			"deliver":  w.deliverRandomly,
			"deliver2": w.deliverRandomly,
			"relays":   w.heartbeatAllRelays,
			"daemons":  w.heartbeatAllDaemons,
			"pass":     w.advanceTime,
			"change":   w.addRevision,
			"restart":  w.restartRelay,
			"move":     w.moveDaemon,
		})
		for _, d := range w.daemons {
			if d.holder.Load().Version.Revision > 0 {
				leased++
			}
		}
		reached += w.inForceChanges
	})
	must.Positive(t, leased)
	must.Positive(t, reached)
}

func TestRelay(t *testing.T) {
	r := NewRelay(relayLease, 0)
	must.Eq(t, Version{}, r.Acknowledge(0))
	must.Eq(t, 0, r.Limit(0), must.Sprint("it has no lease to pass on"))
	first, second := Version{1, 1}, Version{1, 2}
	must.NoError(t, r.Apply(Delta{Full: true, To: first}))
	must.Eq(t, first, r.Acknowledge(0), must.Sprint("nobody uses an older one"))
	must.True(t, r.Confirm(0, testLease, 1))
	must.Eq(t, 99*time.Millisecond, r.Limit(0))
	must.True(t, r.Tracker().Observe("a", first, 0))
	must.NoError(t, r.Apply(Delta{From: first, To: second, Objects: []api.Object{{Engine: testEngine("e0", 1)}}}))
	must.Eq(t, first, r.Acknowledge(10*time.Millisecond), must.Sprint("a uses it"))
	must.Eq(t, second, r.Acknowledge(81*time.Millisecond), must.Sprint("the lease of a has lapsed"))
	must.False(t, r.Tracker().Observe("a", first, 81*time.Millisecond))

	delta, some := r.History().DeltaSince(first)
	must.True(t, some)
	must.Eq(t, 1, len(delta.Objects))
	must.False(t, delta.Full)
	delta, some = r.History().DeltaSince(Version{})
	must.True(t, some)
	must.True(t, delta.Full)
	_, some = r.History().DeltaSince(second)
	must.False(t, some)
}

func TestRelayHistoryIsBounded(t *testing.T) {
	r := NewRelay(relayLease, 0)
	at := Version{1, 1}
	must.NoError(t, r.Apply(Delta{Full: true, To: at}))
	for range 2*relayChangesKept + 1 {
		next := Version{1, at.Revision + 1}
		must.NoError(t, r.Apply(Delta{From: at, To: next, Objects: []api.Object{{Engine: testEngine("e0", next.Revision)}}}))
		at = next
	}
	history := r.History()
	must.Eq(t, relayChangesKept, len(history.Changes))
	delta, _ := history.DeltaSince(Version{1, history.Floor})
	must.False(t, delta.Full)
	delta, _ = history.DeltaSince(Version{1, history.Floor - 1})
	must.True(t, delta.Full, must.Sprint("its changes were dropped"))
}
