package guard

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// fakeGranter grants one trial at a time.
type fakeGranter struct {
	granted *parts.TrialClaim
	err     error
	claims  int
}

func (g *fakeGranter) ClaimPartTrial(_ context.Context, claim parts.TrialClaim) (bool, error) {
	g.claims++
	if g.err != nil {
		return false, g.err
	}
	if g.granted == nil {
		g.granted = &claim
	}
	return *g.granted == claim, nil
}

func (g *fakeGranter) ReturnPartTrial(claim parts.TrialClaim) bool {
	if g.granted != nil && *g.granted == claim {
		g.granted = nil
	}
	return true
}

// newTrialGuard returns the guard of a proxy, one of eight, that has had the record of a part for a while.
func newTrialGuard(name string, group *fakeGroup, granter TrialGranter, recorded *view.View) *Guard {
	guard := New(name)
	guard.SetReporter(group)
	guard.SetTrialGranter(granter)
	guard.Follow(recorded, 0)
	return guard
}

// Guards against a rare part, on trial by mistake, whose requests are all refused because they come to other proxies
// than the one whose turn it is.
func TestRarePartIsTriedWhereverARequestComes(t *testing.T) {
	for i := range 8 {
		recorded := partView(1, api.QuarantinePartTried, nil, 8, heldPart, otherPart)
		guard := newTrialGuard(fmt.Sprint("p-", i), &fakeGroup{connected: true}, &fakeGranter{}, recorded)
		must.False(t, guard.holdsRun(runOf("a", heldPart), "first", false))
		must.True(t, guard.IsPartTrial(runOf("a", heldPart), "first"))
		must.True(t, guard.holdsRun(runOf("a", heldPart), "second", false))
		must.True(t, guard.holdsRun(runOf("a", heldPart), "first", true), must.Sprint("a second attempt"))
		must.True(t, guard.holdsRun(runOf("a", heldPart, otherPart), "both", false))
	}
}

// Guards against a trial at several proxies at a time, against one that is lost with a request that was never sent, and
// against a second one in the same turn after a crash.
func TestGrantedTrialEndsWithItsRequest(t *testing.T) {
	granter, recorded := &fakeGranter{}, partView(1, api.QuarantinePartTried, nil, 8, heldPart)
	first := newTrialGuard("p-0", &fakeGroup{connected: true}, granter, recorded)
	second := newTrialGuard("p-1", &fakeGroup{connected: true}, granter, recorded)
	run := runOf("a", heldPart)
	must.False(t, first.holdsRun(run, "unsent", false))
	must.True(t, second.holdsRun(run, "other", false))
	for range 10 {
		must.True(t, second.holdsRun(run, "other", false))
	}
	must.Eq(t, 2, granter.claims, must.Sprint("a refused claim is not repeated at once"))

	first.EndPartTrial(run, "other", false)
	must.True(t, first.IsPartTrial(run, "unsent"), must.Sprint("it belongs to another request"))
	first.EndPartTrial(run, "unsent", false)
	must.False(t, first.holdsRun(run, "next", false))
	first.EndPartTrial(run, "next", true)
	must.True(t, first.holdsRun(run, "after the crash", false))
}

// Guards against a request that waits for the outcome of its own trial: its attempt lasted longer than the turn, and
// ended without a crash.
func TestTrialOfAnEarlierTurnIsReturned(t *testing.T) {
	recorded := partView(1, api.QuarantinePartTried, nil, 8, heldPart)
	guard := newTrialGuard("p-0", &fakeGroup{connected: true}, &fakeGranter{}, recorded)
	must.False(t, guard.holdsRun(runOf("a", heldPart), "first", false))
	recorded = partView(2, api.QuarantinePartTried, nil, 8, heldPart)
	recorded.Quarantines[heldPart.String()].Spec.Until += time.Second.Milliseconds()
	guard.Follow(recorded, later)
	must.False(t, guard.holdsRun(runOf("a", heldPart), "first", false))
	must.True(t, guard.holdsRun(runOf("a", heldPart), "second", false))
}

// Guards against parts that nobody tries while members do not grant trials: proxies take turns then.
func TestProxiesTakeTurnsIfNobodyGrantsTrials(t *testing.T) {
	sends := 0
	for i := range 8 {
		recorded := partView(1, api.QuarantinePartTried, nil, 8, heldPart)
		guard := newTrialGuard(fmt.Sprint("p-", i), &fakeGroup{connected: true}, &fakeGranter{err: errors.New("not charged")}, recorded)
		for owner := range 3 {
			if !guard.holdsRun(runOf("a", heldPart), owner, false) {
				sends++
			}
		}
	}
	must.Eq(t, 1, sends)
}

// Guards against a harmless part on trial that a proxy refuses for as long as there is no leader, since the record
// does not change: the proxy tries it by itself.
func TestCutOffProxyTriesPartsByItself(t *testing.T) {
	run := runOf("a", heldPart)
	guard := newTrialGuard("p-0", &fakeGroup{}, &fakeGranter{err: errors.New("no leader")}, partView(1, api.QuarantinePartTried, nil, 8, heldPart))
	must.False(t, guard.holdsRun(run, "first", false))
	must.True(t, guard.holdsRun(run, "second", false), must.Sprint("one at a time"))
	guard.NotePartStart(later+time.Second, parts.Start{Run: run})
	must.False(t, guard.holdsRun(run, "second", false))
	must.False(t, guard.holdsRun(run, "third", true))
}

// Guards against a proxy without a leader that tries a part again and again though replicas crash, or one that was
// found harmful.
func TestCutOffProxyTriesAHarmfulPartOnce(t *testing.T) {
	run := runOf("a", heldPart)
	guard := newTrialGuard("p-0", &fakeGroup{}, nil, partView(1, api.QuarantinePartTried, nil, 8, heldPart))
	must.False(t, guard.holdsRun(run, "first", false))
	guard.NotePartCrash(later, parts.Crash{Run: run, Replica: "r-9", UniqueName: true, RunTime: time.Millisecond})
	guard.EndPartTrial(run, "first", true)
	for owner := range 5 {
		must.True(t, guard.holdsRun(run, owner, false))
	}

	recorded := partView(1, api.QuarantinePartTried, nil, 8, heldPart)
	recorded.Quarantines[heldPart.String()].Spec.Times = 1
	must.True(t, newTrialGuard("p-0", &fakeGroup{}, nil, recorded).holdsRun(run, "first", false))
}

// Guards against proxies that each try a part, and lose a replica, because all processes were started at once and no
// leader serves them yet.
func TestStartedProxyTriesNoPartByItself(t *testing.T) {
	run, sends := runOf("a", heldPart), 0
	for i := range 8 {
		guard := New(fmt.Sprint("p-", i))
		guard.SetReporter(&fakeGroup{})
		guard.SetTrialGranter(&fakeGranter{err: errors.New("no leader")})
		guard.Follow(partView(1, api.QuarantinePartTried, nil, 8, heldPart), later-cutOffDelay/2)
		if !guard.holdsRun(run, "first", false) {
			sends++
		}
	}
	must.Eq(t, 1, sends, must.Sprint("one has the turn"))
}
