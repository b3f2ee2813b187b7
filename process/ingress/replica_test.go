package ingress

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// A replica that failed to answer one request and answers the next is not avoided.
func TestAnyAnswerEndsTheSuspectTime(t *testing.T) {
	r := newReplica("r-1", api.ReplicaSpec{}, &holdoff.Replica{})
	sent := r.beginSend(0, 0)
	r.suspect(time.Millisecond)
	must.True(t, r.isSuspect(2*time.Millisecond))
	r.noteAnswer(nil, 3*time.Millisecond)
	must.False(t, r.isSuspect(4*time.Millisecond))
	r.suspect(5 * time.Millisecond)
	r.noteStarted(sent, 6*time.Millisecond)
	must.False(t, r.isSuspect(7*time.Millisecond))
}

// Concurrent failures extend the suspect time only once.
func TestConcurrentFailuresExtendTheSuspectTimeOnce(t *testing.T) {
	r := newReplica("r-1", api.ReplicaSpec{}, &holdoff.Replica{})
	for at := range time.Duration(20) {
		r.suspect(at * time.Millisecond)
	}
	must.False(t, r.isSuspect(initialSuspectTime))
}

// While a replica's machine is slow, work is cheaper on other replicas.
func TestSlowReplicasAreChosenLast(t *testing.T) {
	slow, busy := newReplica("slow", api.ReplicaSpec{}, &holdoff.Replica{}), newReplica("busy", api.ReplicaSpec{}, &holdoff.Replica{})
	now := time.Minute
	slow.noteAnswer(&Load{Slowness: 3}, now)
	busy.noteAnswer(&Load{Running: 1, Slowness: 1}, now)
	must.Greater(t, busy.plainCost("", now), slow.plainCost("", now))
	slow.noteAnswer(&Load{Slowness: 1}, now)
	must.Less(t, busy.plainCost("", now), slow.plainCost("", now))
	must.Eq(t, 1, newReplica("mute", api.ReplicaSpec{}, &holdoff.Replica{}).occupancy(now).slowness)
}

// Guards against a reachability check that begins with the replicas that are the least likely to accept connections.
func TestReplicasAreOrderedByTheirLastContact(t *testing.T) {
	order := []contact{
		{heardAt: 2 * time.Second}, {heardAt: time.Second}, {},
		{suspect: true, heardAt: 3 * time.Second}, {suspect: true},
	}
	for i, first := range order {
		for _, second := range order[i+1:] {
			must.Negative(t, first.compare(second))
			must.Positive(t, second.compare(first))
		}
	}
}
