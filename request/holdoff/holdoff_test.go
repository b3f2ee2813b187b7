package holdoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	testStart    = time.UnixMilli(1_000_000_000)
	firstProcess = Process{Address: "a:1", Born: testStart.Add(-time.Hour).UnixMilli()}
)

func TestPauseLastsAsLongAsRequested(t *testing.T) {
	replica := NewTable(Config{}).ObserveListed("r", firstProcess, 0)
	must.True(t, replica.TryBegin(0))
	must.False(t, replica.Apply(0, testStart, Restrictions{RetryAfter: 3 * time.Second}))
	must.False(t, replica.Apply(time.Second, testStart, Restrictions{RetryAfter: time.Second})) // a shorter pause has no effect
	must.False(t, replica.Apply(2*time.Second, testStart, Restrictions{}))                      // an answer to a request sent earlier
	must.Eq(t, Closed, replica.State(3*time.Second-1))
	must.False(t, replica.TryBegin(3*time.Second-1))
	must.Eq(t, time.Second, replica.PauseLeft(2*time.Second))
	must.Eq(t, LastResort, replica.State(3*time.Second))
	must.Eq(t, Open, replica.State(3*time.Second+maxJitter))
}

// After a pause a single request probes whether the replica answers. Until then others avoid the
// replica if they can.
func TestOneRequestProbesAReplicaAfterItsPause(t *testing.T) {
	replica := NewTable(Config{}).ObserveListed("r", firstProcess, 0)
	replica.Apply(0, testStart, Restrictions{RetryAfter: time.Second})
	const later = 2 * time.Second
	must.Eq(t, Open, replica.State(later))
	must.True(t, replica.TryBegin(later))
	must.Eq(t, LastResort, replica.State(later+1))
	must.True(t, replica.TryBegin(later+1)) // if there is no other replica
	must.Eq(t, Open, replica.State(later+1+probeTimeout))
	replica.Apply(later+2, testStart, Restrictions{})
	must.Eq(t, Open, replica.State(later+2))

	replica.Apply(later+3, testStart, Restrictions{RetryAfter: time.Second})
	must.Eq(t, Closed, replica.State(later+4))
}

func TestLeavingReplicaGetsNoNewRequests(t *testing.T) {
	replica := NewTable(Config{LeavingGrace: time.Second}).ObserveListed("r", firstProcess, 0)
	must.True(t, replica.Apply(0, testStart, Restrictions{Leaving: true}))
	must.False(t, replica.Apply(time.Millisecond, testStart, Restrictions{Leaving: true}))
	must.Eq(t, LastResort, replica.State(time.Second-1))
	must.False(t, replica.Apply(time.Second, testStart, Restrictions{})) // leaving never ends
	must.Eq(t, Closed, replica.State(time.Hour))
	must.Eq(t, Closed, NewTable(Config{}).announceLeaving(t).State(0))
}

func (t *Table) announceLeaving(test *testing.T) *Replica {
	replica := t.ObserveListed("r", firstProcess, 0)
	must.True(test, replica.Apply(0, testStart, Restrictions{Leaving: true}))
	must.Eq(test, []string{"r"}, t.Leaving())
	return replica
}

// A stale or incomplete list cancels no restriction; one that shows a new process does.
func TestOnlyANewProcessClearsRestrictions(t *testing.T) {
	later := func(after time.Duration) Process {
		return Process{Address: firstProcess.Address, Born: testStart.Add(after).UnixMilli()}
	}
	cases := []struct {
		name    string
		process Process
		pause   time.Duration // time left of a pause of one minute
		leaving bool
	}{
		{"the same process", firstProcess, time.Minute, true},
		{"start time unknown", Process{Address: firstProcess.Address}, time.Minute, true},
		{"an older process", Process{Address: firstProcess.Address, Born: firstProcess.Born - 1}, time.Minute, true},
		{"started long after the restriction", later(maxClockSkew + time.Second), 0, false},
		{"started soon after the restriction", later(time.Second), time.Minute, false},
		{"started before the restriction", later(-time.Second), time.Minute, true},
		{"at another address", Process{Address: "a:2"}, 0, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable(Config{})
			pausing := table.ObserveListed("p", firstProcess, 0)
			pausing.Apply(0, testStart, Restrictions{RetryAfter: time.Minute})
			must.Eq(t, pausing, table.ObserveListed("p", test.process, 0))
			must.Eq(t, test.pause, pausing.PauseLeft(0))
			leaving := table.announceLeaving(t)
			table.ObserveListed("r", test.process, 0)
			must.Eq(t, test.leaving, leaving.IsLeaving())
			must.Eq(t, test.leaving, leaving.State(0) == Closed)
		})
	}
}

func TestTableForgetsUnlistedReplicas(t *testing.T) {
	table := NewTable(Config{})
	table.ObserveListed("r", firstProcess, 0).Apply(0, testStart, Restrictions{RetryAfter: time.Hour})
	table.announceLeaving(t)
	table.ObserveListed("gone", firstProcess, 0)
	table.Forget(forgetAfter)
	must.Eq(t, 2, len(table.replicas))
	table.Forget(forgetAfter + 1)
	must.Eq(t, 1, len(table.replicas))
	must.Eq(t, Closed, table.Find("r").State(forgetAfter+1), must.Sprint("its pause is not over"))
}

// A replica with six slots has none free and requests a pause of three seconds from 295 processes
// within 50 ms. Each of them has 20 requests per second for it that could go to other replicas. Of
// the requests that reach the replica in the worst 20 ms after the pause it can accept six. The
// test models neither the slots nor the rate: each process sends in every tick in which it may.
func TestPauseEndIsJittered(t *testing.T) {
	const (
		processes = 295
		pause     = 3 * time.Second
		tick      = 20 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	worst := func(usable func(replica *Replica, now time.Duration) bool) int {
		var all []*Replica
		for range processes {
			replica := NewTable(Config{}).ObserveListed("r", firstProcess, 0)
			replica.Apply(time.Duration(random.Int64N(int64(50*time.Millisecond))), testStart, Restrictions{RetryAfter: pause})
			all = append(all, replica)
		}
		most := 0
		for now := time.Duration(0); now < 2*pause; now += tick {
			arrived := 0
			for _, replica := range all {
				if usable(replica, now) && replica.TryBegin(now) {
					arrived++
				}
			}
			most = max(most, arrived)
		}
		return most
	}
	withoutJitter := worst(func(replica *Replica, now time.Duration) bool { return replica.State(now) != Closed })
	withJitter := worst(func(replica *Replica, now time.Duration) bool { return replica.State(now) == Open })
	t.Logf("requests in the worst %v: %d without jitter, %d with jitter, one per process", tick, withoutJitter, withJitter)
	must.Eq(t, processes, withoutJitter)
	must.LessEq(t, processes/8, withJitter)
}
