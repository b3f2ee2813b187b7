package view

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const testLease = 100 * time.Millisecond

func TestTracker(t *testing.T) {
	v1, v2 := Version{1, 1}, Version{1, 2}
	tracker := NewTracker(testLease)
	waiting := func(version Version, now time.Duration, want ...string) {
		t.Helper()
		done, names := tracker.InForce(version, now)
		must.Eq(t, len(want) == 0, done)
		must.Eq(t, want, names)
	}
	waiting(v1, time.Hour, UnseenDaemons)
	tracker.Reset(0)
	must.True(t, tracker.Observe("a", v1, 0))
	waiting(v1, 100*time.Millisecond, UnseenDaemons)
	must.True(t, tracker.Observe("a", v1, 50*time.Millisecond))
	must.True(t, tracker.Observe("b", v2, 50*time.Millisecond))
	waiting(v1, 101*time.Millisecond)
	waiting(v2, 101*time.Millisecond, "a")
	waiting(v2, 150*time.Millisecond, "a")
	waiting(v2, 151*time.Millisecond)
	must.False(t, tracker.Observe("a", v1, 151*time.Millisecond), must.Sprint("v2 is in force"))
	must.False(t, tracker.Observe("c", Version{}, 151*time.Millisecond))
	waiting(v2, 151*time.Millisecond)
	must.True(t, tracker.Observe("c", v2, 160*time.Millisecond))
	must.Eq(t, []DaemonStatus{
		{Name: "a", Acked: v1, LapsesAt: 151 * time.Millisecond, Lapsed: true},
		{Name: "b", Acked: v2, LapsesAt: 151 * time.Millisecond, Lapsed: true},
		{Name: "c", Acked: v2, LapsesAt: 261 * time.Millisecond},
	}, tracker.Daemons(200*time.Millisecond))
	tracker.Reset(time.Second)
	waiting(v2, time.Second, UnseenDaemons)
	must.False(t, tracker.Observe("a", v1, time.Second), must.Sprint("versions reported as in force stay required after Reset"))
	must.SliceEmpty(t, tracker.Daemons(time.Hour))
}

// heartbeat is a message that was sent but not yet delivered: a daemon's heartbeat or
// the grant that answers it.
type heartbeat struct {
	daemon int
	sentAt time.Duration
	acked  Version
	term   uint64
	arrive time.Duration
}

// TestInForceIsFinal simulates daemons and successive leaders in virtual time, with
// heartbeats and grants that are delayed and lost. Once a version was reported as in
// force, no daemon may have a valid lease on an older view.
func TestInForceIsFinal(t *testing.T) {
	inForce, notInForce, lapsed := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var now time.Duration
		var highestInForce Version // highest version that was in force
		latest := Version{1, 1}
		tracker := NewTracker(testLease)
		tracker.Reset(0)
		var daemons []*Holder
		var heartbeats, grants []heartbeat
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon") }
		delay := func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 80).Draw(t, "delay")) * time.Millisecond
		}
		deliver := func(list []heartbeat, handle func(heartbeat)) []heartbeat {
			var pending []heartbeat
			for _, b := range list {
				if b.arrive > now {
					pending = append(pending, b)
					continue
				}
				handle(b)
			}
			return pending
		}
		start := func(version Version) {
			h := NewHolder()
			_ = h.Apply(Delta{Full: true, To: version})
			daemons = append(daemons, h)
		}
		start(Version{1, 1})
		t.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) { latest.Revision++ },
			"start": func(t *rapid.T) { // with a view that may be older than the leader's
				start(Version{1, rapid.Uint64Range(1, latest.Revision).Draw(t, "revision")})
			},
			"update": func(t *rapid.T) { _ = daemons[pick(t)].Apply(Delta{Full: true, To: latest}) },
			"beat": func(t *rapid.T) {
				i := pick(t)
				heartbeats = append(heartbeats, heartbeat{daemon: i, sentAt: now, acked: daemons[i].Load().Version, arrive: now + delay(t)})
			},
			"lose": func(t *rapid.T) { heartbeats, grants = nil, nil },
			"time": func(t *rapid.T) { now += delay(t) },
			"elect": func(t *rapid.T) {
				// The earlier leader's lease has lapsed, so it grants no more daemon leases.
				latest.Term++
				tracker = NewTracker(testLease)
				tracker.Reset(now)
				tracker.RequireVersion(latest)
			},
			"ask": func(t *rapid.T) {
				version := Version{latest.Term, rapid.Uint64Range(1, latest.Revision).Draw(t, "asked")}
				done, _ := tracker.InForce(version, now)
				if !done {
					notInForce++
					return
				}
				inForce++
				if version.Compare(highestInForce) > 0 {
					highestInForce = version
				}
			},
			"": func(t *rapid.T) {
				heartbeats = deliver(heartbeats, func(b heartbeat) {
					if tracker.Observe(fmt.Sprint(b.daemon), b.acked, now) {
						b.term, b.arrive = latest.Term, now+delay(t)
						grants = append(grants, b)
					}
				})
				grants = deliver(grants, func(b heartbeat) { daemons[b.daemon].Confirm(b.sentAt, testLease, b.term) })
				for _, h := range daemons {
					old := h.Load().Version.Compare(highestInForce) < 0
					must.False(t, old && h.Valid(now), must.Sprintf("a daemon uses %v while %v is in force", h.Load().Version, highestInForce))
					if old {
						lapsed++
					}
				}
			},
		})
	})
	must.Positive(t, inForce)
	must.Positive(t, notInForce)
	must.Positive(t, lapsed)
}
