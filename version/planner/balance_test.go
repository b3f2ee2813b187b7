package planner

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// testReplicas returns prefill and decode replicas over three zones. Each decode replica
// has eight slots, of which the given number is occupied.
func testReplicas(prefill, decode, running int) []ReplicaLoad {
	var replicas []ReplicaLoad
	for i := range prefill + decode {
		replica := ReplicaLoad{Name: fmt.Sprintf("r-%02d", i), Zone: fmt.Sprint("zone-", i%3), Slots: 8, Prefill: i < prefill}
		if !replica.Prefill {
			replica.Running = running
		}
		replicas = append(replicas, replica)
	}
	return replicas
}

func TestBalanceMovesReplicasToPrefillWhenLate(t *testing.T) {
	cases := []struct {
		name    string
		load    ServiceLoad
		changes int
	}{
		{"late", ServiceLoad{Replicas: testReplicas(4, 8, 1), Requests: 200, LateShare: 0.4}, 3},
		{"in time", ServiceLoad{Replicas: testReplicas(4, 8, 1), Requests: 200, LateShare: 0.05}, 0},
		{"too few requests", ServiceLoad{Replicas: testReplicas(4, 8, 1), Requests: 10, LateShare: 1}, 0},
		{"decode starts are slow already", ServiceLoad{Replicas: testReplicas(4, 8, 1), Requests: 200, LateShare: 0.4, DecodeStartShare: 0.4}, 0},
		{"only a third is in decode", ServiceLoad{Replicas: testReplicas(8, 4, 1), Requests: 200, LateShare: 0.4}, 0},
		{"decode is occupied", ServiceLoad{Replicas: testReplicas(4, 8, 4), Requests: 200, LateShare: 0.4}, 0},
		{"the only decode replica", ServiceLoad{Replicas: testReplicas(0, 1, 0), Requests: 200, LateShare: 1}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			changes := Balance(test.load)
			must.SliceLen(t, test.changes, changes)
			for _, change := range changes {
				must.True(t, change.ToPrefill)
			}
		})
	}
}

func TestBalanceReturnsReplicaToDecodeWhenOccupied(t *testing.T) {
	load := ServiceLoad{Replicas: testReplicas(6, 6, 7), Requests: 200, LateShare: 0}
	must.SliceEmpty(t, Balance(load), must.Sprint("replicas were moved to prefill recently"))
	load.ReversalAllowed = true
	changes := Balance(load)
	must.SliceLen(t, 1, changes)
	must.False(t, changes[0].ToPrefill)
	load.LateShare = 0.1
	must.SliceEmpty(t, Balance(load), must.Sprint("too many requests are late to move a prefill replica"))
}

// Where requests wait for decode after their prefill, one prefill replica moves to decode
// even if requests are late.
func TestBalanceReturnsReplicaToDecodeWhenStartsAreSlow(t *testing.T) {
	load := ServiceLoad{Replicas: testReplicas(6, 3, 1), Requests: 200, LateShare: 0.4, DecodeStartShare: 0.7}
	changes := Balance(load)
	must.SliceLen(t, 1, changes)
	must.False(t, changes[0].ToPrefill)
}

// For any load, no zone loses the last replica of a role, at most a quarter of the
// replicas change at once, and no replica is chosen twice or while it is changing. The
// share of replicas that remain in decode is tested above only.
func TestBalanceLeavesEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var load ServiceLoad
		for i := range rapid.IntRange(0, 40).Draw(t, "replicas") {
			load.Replicas = append(load.Replicas, ReplicaLoad{
				Name:     fmt.Sprintf("r-%02d", i),
				Zone:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
				Prefill:  rapid.Bool().Draw(t, "reads"),
				Running:  rapid.IntRange(0, 10).Draw(t, "running"),
				Slots:    rapid.IntRange(0, 8).Draw(t, "slots"),
				Changing: rapid.IntRange(0, 9).Draw(t, "changing") == 0,
			})
		}
		load.Requests = rapid.Float64Range(0, 1000).Draw(t, "requests")
		load.LateShare = rapid.Float64Range(0, 1).Draw(t, "late")
		load.DecodeStartShare = rapid.Float64Range(0, 1).Draw(t, "starting")
		load.ReversalAllowed = rapid.Bool().Draw(t, "settled")
		changes := Balance(load)
		changed := map[string]bool{}
		for _, change := range changes {
			must.False(t, changed[change.Replica])
			changed[change.Replica] = true
		}
		if len(changes) == 0 {
			return
		}
		must.LessEq(t, max(len(load.Replicas)/4, 1), load.Changing()+len(changes))
		remaining := map[string]int{}
		for _, replica := range load.Replicas {
			zoneAndRole := fmt.Sprint(replica.Zone, replica.Prefill)
			if changed[replica.Name] {
				must.False(t, replica.Changing)
				must.NotEq(t, changes[0].ToPrefill, replica.Prefill)
				remaining[zoneAndRole] += 0
			} else if !replica.Changing {
				remaining[zoneAndRole]++
			}
		}
		for zoneAndRole, count := range remaining {
			must.Greater(t, 0, count, must.Sprint(zoneAndRole))
		}
	})
}

// withSpeeds gives the replicas the speeds in turn.
func withSpeeds(replicas []ReplicaLoad, speeds ...float64) []ReplicaLoad {
	for i := range replicas {
		replicas[i].Speed = speeds[i%len(speeds)]
	}
	return replicas
}

// Guards against a plan that takes slow decode replicas for as much capacity as fast ones: the remaining ones would have
// more than half of their slots occupied, or less than a third of the capacity.
func TestBalanceCountsCapacityBySpeed(t *testing.T) {
	equal := ServiceLoad{Replicas: testReplicas(3, 9, 3), Requests: 200, LateShare: 0.4}
	must.SliceLen(t, 2, Balance(equal))
	uneven := ServiceLoad{Replicas: testReplicas(3, 9, 3), Requests: 200, LateShare: 0.4}
	for i := range uneven.Replicas {
		uneven.Replicas[i].Speed = 0.6
	}
	for _, i := range []int{3, 4, 5} { // idle and fast, so that they are chosen first
		uneven.Replicas[i].Running, uneven.Replicas[i].Speed = 0, 2
	}
	must.SliceLen(t, 1, Balance(uneven))

	third := ServiceLoad{Replicas: withSpeeds(testReplicas(6, 7, 0), 2.5), Requests: 200, LateShare: 0.4}
	must.SliceLen(t, 2, Balance(third))
	for i := range third.Replicas {
		if !third.Replicas[i].Prefill {
			third.Replicas[i].Speed = 1
		}
	}
	must.SliceEmpty(t, Balance(third), must.Sprint("the slow replicas have less than a third of the capacity"))
}

// Guards against moving a replica out of a zone whose many replicas are slow.
func TestBalanceTakesFromTheZoneWithTheLargestCapacity(t *testing.T) {
	replicas := []ReplicaLoad{
		{Name: "a-1", Zone: "a", Speed: 0.6}, {Name: "a-2", Zone: "a", Speed: 0.6}, {Name: "a-3", Zone: "a", Speed: 0.6},
		{Name: "b-1", Zone: "b", Speed: 1.6}, {Name: "b-2", Zone: "b", Speed: 1.6}, {Name: "p-1", Zone: "a", Prefill: true},
	}
	changes := Balance(ServiceLoad{Replicas: replicas, Requests: 200, LateShare: 0.4})
	must.SliceLen(t, 1, changes)
	must.Eq(t, "b-1", changes[0].Replica)
}

// Guards against incorrect speeds that give a replica more weight than any real one has.
func TestBalanceBoundsSpeeds(t *testing.T) {
	for _, speed := range []float64{-1, 0, 1e-9, 1e9} {
		counted := (&ReplicaLoad{Speed: speed}).speed()
		must.Between(t, minSpeed, counted, maxSpeed)
	}
}

// Guards against replicas that change their role although no prompt waits: in a large service with little load and
// nothing cached, long prompts are late since a single read takes too long, and more readers would not help.
func TestMovesToPrefillNeedQueuedPrompts(t *testing.T) {
	for _, test := range []struct {
		reported bool
		queued   int // at the first prefill replica
		changes  bool
	}{{false, 0, true}, {true, 0, false}, {true, 1, false}, {true, 2, true}} {
		load := ServiceLoad{Replicas: testReplicas(3, 9, 3), Requests: 200, LateShare: 0.4, SlownessReported: test.reported}
		for i := range load.Replicas {
			load.Replicas[i].Queued = 0
		}
		first := slices.IndexFunc(load.Replicas, func(r ReplicaLoad) bool { return r.Prefill })
		load.Replicas[first].Queued = test.queued
		must.Eq(t, test.changes, len(Balance(load)) > 0, must.Sprint(test))
	}
}
