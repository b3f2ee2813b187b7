package ingress

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// A replica that lost one answer and gives the next is not passed over.
func TestSuspicionEndsWithAnyAnswer(t *testing.T) {
	r := newReplica("r-1", api.ReplicaSpec{}, &holdoff.Replica{})
	sent := r.begin(0, 0)
	r.suspect(time.Millisecond)
	must.True(t, r.isSuspect(2*time.Millisecond))
	r.hear(nil, 3*time.Millisecond)
	must.False(t, r.isSuspect(4*time.Millisecond))
	r.suspect(5 * time.Millisecond)
	r.start(sent, 6*time.Millisecond)
	must.False(t, r.isSuspect(7*time.Millisecond))
}

// Requests that fail together lengthen a suspicion once.
func TestFailuresTogetherAreOneSuspicion(t *testing.T) {
	r := newReplica("r-1", api.ReplicaSpec{}, &holdoff.Replica{})
	for at := range time.Duration(20) {
		r.suspect(at * time.Millisecond)
	}
	must.False(t, r.isSuspect(firstSuspicion))
}

// Where the machine of a replica is slow for the time being, its work is worth more elsewhere.
func TestSlowReplicasAreChosenLast(t *testing.T) {
	slow, busy := newReplica("slow", api.ReplicaSpec{}, &holdoff.Replica{}), newReplica("busy", api.ReplicaSpec{}, &holdoff.Replica{})
	now := time.Minute
	slow.hear(&Load{Slowdown: 3}, now)
	busy.hear(&Load{Running: 1, Slowdown: 1}, now)
	must.Greater(t, busy.plainCost("", now), slow.plainCost("", now))
	slow.hear(&Load{Slowdown: 1}, now)
	must.Less(t, busy.plainCost("", now), slow.plainCost("", now))
	must.Eq(t, 1, newReplica("mute", api.ReplicaSpec{}, &holdoff.Replica{}).occupancy(now).slowdown)
}
