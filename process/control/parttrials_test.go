package control

import (
	"slices"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

var triedPart = parts.KeyOf("s", "m", "tried")

// partEntry returns the record of a part.
func partEntry(state api.QuarantineState, turnEnd int64) *api.Quarantine {
	return &api.Quarantine{
		Metadata: api.Metadata{Name: triedPart.String(), Labels: api.PartLabels(nil)},
		Spec:     api.QuarantineSpec{State: state, Service: "s", Until: turnEnd},
	}
}

func claimOf(proxy string, turnEnd int64) parts.TrialClaim {
	return parts.TrialClaim{Part: triedPart, TurnEnd: turnEnd, Proxy: proxy}
}

// Guards against a part that is tried at several proxies in one turn, or before the outcome of the last trial is
// known: each trial can cost a replica.
func TestTrialOfAPartIsGrantedToOneProxy(t *testing.T) {
	const first, second, third = 1000, 2000, 5000 // ends of turns
	tracker := newQuarantineTracker()
	entry := partEntry(api.QuarantinePartTried, first)
	must.True(t, tracker.claimPartTrial(claimOf("p-1", first), entry, 0))
	must.True(t, tracker.claimPartTrial(claimOf("p-1", first), entry, 0), must.Sprint("the answer was lost"))
	must.False(t, tracker.claimPartTrial(claimOf("p-2", first), entry, 0))
	must.False(t, tracker.claimPartTrial(claimOf("p-2", first), entry, 2*partTrialLease), must.Sprint("in a long turn"))

	entry = partEntry(api.QuarantinePartTried, second)
	must.False(t, tracker.claimPartTrial(claimOf("p-2", first), entry, time.Second), must.Sprint("a turn that has passed"))
	must.False(t, tracker.claimPartTrial(claimOf("p-2", second), entry, time.Second), must.Sprint("before the outcome is known"))
	entry = partEntry(api.QuarantinePartTried, third)
	must.True(t, tracker.claimPartTrial(claimOf("p-2", third), entry, partTrialLease))

	for _, state := range []api.QuarantineState{api.QuarantinePartWatched, api.QuarantinePartHeld} {
		must.False(t, newQuarantineTracker().claimPartTrial(claimOf("p-1", first), partEntry(state, first), 0), must.Sprint(state))
	}
	must.False(t, newQuarantineTracker().claimPartTrial(claimOf("p-1", first), nil, 0), must.Sprint("not on record"))
}

// Guards against a turn that is lost because its trial was never sent, and against a trial that a proxy returns
// although another one has it.
func TestReturnedTrialIsGrantedAgain(t *testing.T) {
	tracker, entry := newQuarantineTracker(), partEntry(api.QuarantinePartTried, 1000)
	must.True(t, tracker.claimPartTrial(claimOf("p-1", 1000), entry, 0))
	tracker.returnPartTrial(claimOf("p-2", 1000))
	tracker.returnPartTrial(claimOf("p-1", 900))
	must.False(t, tracker.claimPartTrial(claimOf("p-2", 1000), entry, 0))
	tracker.returnPartTrial(claimOf("p-1", 1000))
	must.True(t, tracker.claimPartTrial(claimOf("p-2", 1000), entry, 0))

	tracker.partTrials.retain(map[string]*api.Quarantine{triedPart.String(): entry})
	must.MapLen(t, 1, tracker.partTrials)
	tracker.partTrials.retain(nil)
	must.MapEmpty(t, tracker.partTrials)
}

// Guards against trials that two members grant: those that do not lead decline, so that proxies take turns.
func TestOnlyTheLeaderGrantsTrials(t *testing.T) {
	g := newGrowingGroup(t, 3, 3, 1)
	g.start(0, 1, 2)
	g.awaitVoters(3, 0, 1, 2)
	claim := claimOf("p-1", 1000)
	eventually(t, "one member decides", func() bool {
		var deciding []int
		for i, running := range g.running {
			grant, decided := running.member.group.Load().Charge(feed.ChargeRequest{Trial: &claim})
			must.False(t, grant.Granted, must.Sprint("not on record"))
			if decided {
				deciding = append(deciding, i)
			}
		}
		return slices.Equal(deciding, []int{g.leader()})
	})
}
