package guard

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

var (
	heldPart  = parts.KeyOf("s", "m", "held")
	otherPart = parts.KeyOf("s", "m", "other")
	partWall  = time.Unix(1_700_000_000, 0)
)

// partView returns a view with parts on record in a state, whose turn or hold ends a minute later.
func partView(revision uint64, state api.QuarantineState, callers []string, proxies int, recorded ...parts.Key) *view.View {
	v := view.New()
	v.Version = view.Version{Term: 1, Revision: revision}
	for _, part := range recorded {
		v.Quarantines[part.String()] = &api.Quarantine{
			Metadata: api.Metadata{Name: part.String(), Revision: revision, Labels: api.PartLabels(callers)},
			Spec:     api.QuarantineSpec{State: state, Service: "s", Replicas: []string{"r-0", "r-1"}, Until: partWall.Add(time.Minute).UnixMilli()},
		}
	}
	for i := range proxies {
		name := fmt.Sprint("p-", i)
		v.Proxies[name] = &api.Proxy{Metadata: api.Metadata{Name: name}}
	}
	return v
}

func runOf(caller string, shared ...parts.Key) parts.Run {
	return parts.Run{Service: "s", Caller: parts.CallerKey(caller), Parts: shared}
}

// holdsRun reports whether a request is held that claims the trial of its part where it can.
func (g *Guard) holdsRun(run parts.Run, owner any, mayHaveCrashed bool) bool {
	_, held := g.CheckParts(later, partWall, run, owner, mayHaveCrashed)
	if held && !mayHaveCrashed && g.ClaimPartTrial(context.Background(), later, run, owner) {
		_, held = g.CheckParts(later, partWall, run, owner, mayHaveCrashed)
	}
	return held
}

// Guards against a held part that a proxy lets through, for example right after its start, and against requests
// of other callers, or without the part, that it holds.
func TestHeldPartIsSentNowhere(t *testing.T) {
	guard := New("p-0")
	guard.SetReporter(&fakeGroup{connected: true})
	must.False(t, guard.PartsActive())
	guard.Follow(partView(1, api.QuarantinePartHeld, nil, 1, heldPart), later)
	must.True(t, guard.PartsActive())
	must.True(t, guard.holdsRun(runOf("a", otherPart, heldPart), nil, false))
	must.False(t, guard.holdsRun(runOf("a", otherPart), nil, false))

	alice := parts.CallerKey("alice").String()
	guard.Follow(partView(2, api.QuarantinePartHeld, []string{alice}, 1, heldPart), later)
	must.True(t, guard.holdsRun(runOf("alice", heldPart), nil, false))
	must.False(t, guard.holdsRun(runOf("bob", heldPart), nil, false))

	guard.Follow(partView(3, "", nil, 1), later)
	must.False(t, guard.holdsRun(runOf("alice", heldPart), nil, false))
	must.False(t, guard.PartsActive())
}

// Guards against a trial that costs more than one send: by a second request of the turn, by a second attempt of
// the first one, at the proxies beside it, or by requests that would show nothing since they have several parts on
// trial.
func TestPartIsTriedByOneSendInEachTurn(t *testing.T) {
	sends := 0
	for i := range 8 {
		guard := New(fmt.Sprint("p-", i))
		guard.SetReporter(&fakeGroup{connected: true})
		guard.Follow(partView(1, api.QuarantinePartTried, nil, 8, heldPart, otherPart), later)
		must.True(t, guard.holdsRun(runOf("a", heldPart, otherPart), "both", false))
		for number := range 5 {
			if !guard.holdsRun(runOf("a", heldPart), number, false) {
				sends++
				must.False(t, guard.holdsRun(runOf("a", heldPart), number, false), must.Sprint("asked again before the send"))
				must.True(t, guard.holdsRun(runOf("a", heldPart), number, true), must.Sprint("a second attempt"))
				must.True(t, guard.IsPartTrial(runOf("a", heldPart), number))
			}
		}
	}
	must.Eq(t, 1, sends)
}

// Guards against messages on calm days, and against starts that clear nothing and are reported: only those with a
// suspect are, and each part not more often than needed.
func TestOnlyStartsOfSuspectsAreReported(t *testing.T) {
	group := &fakeGroup{connected: true}
	guard := New("p-0")
	guard.SetReporter(group)
	start := func(now time.Duration, part parts.Key) {
		guard.NotePartStart(now, parts.Start{Run: runOf("a", part)})
	}
	start(0, heldPart)
	must.SliceEmpty(t, group.partReports)
	guard.NotePartCrash(0, parts.Crash{Run: runOf("a", heldPart), Replica: "r-0", UniqueName: true})
	must.Len(t, 1, group.partReports)
	for i := range 10 {
		start(time.Second+time.Duration(i)*time.Millisecond, heldPart)
		start(time.Second+time.Duration(i)*time.Millisecond, otherPart)
	}
	must.Len(t, 2, group.partReports)
	must.False(t, guard.PartsActive(), must.Sprint("cleared"))
}

// Guards against a leader that begins without what proxies saw while there was none.
func TestPartObservationsAreReportedToTheNextLeader(t *testing.T) {
	group := &fakeGroup{}
	guard := New("p-0")
	guard.SetReporter(group)
	guard.NotePartCrash(0, parts.Crash{Run: runOf("a", heldPart, otherPart), Replica: "r-0", UniqueName: true})
	guard.NotePartStart(time.Second, parts.Start{Run: runOf("a", otherPart)})
	group.partReports = nil
	guard.ReportAll(2 * time.Second)
	must.Len(t, 1, group.partReports)
	must.Len(t, 1, group.partReports[0].Crashes)
	must.Eq(t, []parts.Key{heldPart}, group.partReports[0].Crashes[0].Parts)
	must.Len(t, 1, group.partReports[0].Starts)
}

// Guards against a proxy without a leader that lets a part crash one replica after the other, and against one that
// takes what it sees, a part of all crashes, for all of them.
func TestCutOffProxyJudgesPartsByItself(t *testing.T) {
	guard := New("p-0") // it never had a leader
	for i := range 6 {
		now := time.Duration(i) * time.Second
		guard.NotePartCrash(now, parts.Crash{Run: runOf("a", heldPart, otherPart), Replica: fmt.Sprint("r-", i), UniqueName: true, RunTime: time.Millisecond})
		guard.NotePartStart(now+time.Millisecond, parts.Start{Run: runOf("a", otherPart)})
		_, held := guard.CheckParts(now+500*time.Millisecond, partWall, runOf("a", heldPart), nil, false)
		must.Eq(t, i >= 3, held, must.Sprintf("after %d crashes", i+1))
	}
	must.False(t, guard.holdsRun(runOf("a", otherPart), nil, false))
}

// Guards against a proxy without a leader that holds a sound request, because it was in flight at the crashes that
// a part of other requests caused.
func TestCutOffProxySparesRequestsBesideHarmfulPart(t *testing.T) {
	guard := New("p-0") // it never had a leader
	sound := quarantine.Fingerprint{1}
	for i := range 6 {
		now := time.Duration(i) * time.Second
		replica := fmt.Sprint("r-", i)
		guard.NoteCrash(now, quarantine.AgedEvidence{Evidence: quarantine.Evidence{Fingerprint: sound, Replica: replica, UniqueName: true, RunTime: time.Millisecond}})
		guard.NotePartCrash(now, parts.Crash{
			Run: runOf("a", heldPart, otherPart), Request: quarantine.Fingerprint{2, byte(i)}, Replica: replica, UniqueName: true, RunTime: time.Millisecond,
		})
		guard.NotePartStart(now+time.Millisecond, parts.Start{Run: runOf("a", otherPart)})
		_, held := guard.CheckHold(now+500*time.Millisecond, partWall, sound, nil)
		must.False(t, held, must.Sprintf("after %d crashes", i+1))
	}
}

// Guards against the same where the part is on record, and what crashed before was seen by others.
func TestCutOffProxyKnowsRecordedCauseOfCrashes(t *testing.T) {
	for _, times := range []int{0, 1} {
		recorded := partView(1, api.QuarantinePartTried, nil, 1, heldPart)
		recorded.Quarantines[heldPart.String()].Spec.Times = times
		guard := New("p-0")
		guard.Follow(recorded, 0)
		sound := quarantine.Fingerprint{1}
		for i := range 5 {
			guard.NoteCrash(time.Duration(i+1)*time.Second, quarantine.AgedEvidence{Evidence: quarantine.Evidence{
				Fingerprint: sound, Replica: fmt.Sprint("r-", i), UniqueName: true, RunTime: time.Millisecond,
			}})
		}
		_, held := guard.CheckHold(6*time.Second, partWall, sound, nil)
		must.Eq(t, times == 0, held)
	}
}
