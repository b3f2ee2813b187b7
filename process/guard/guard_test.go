package guard

import (
	"fmt"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

var crashingRequest = quarantine.FingerprintOf(quarantine.RequestIdentity{Path: "/fatal"})

// fakeGroup is a control group that a test connects and disconnects.
type fakeGroup struct {
	connected bool
	reports   []feed.CrashReport

	partReports []parts.Report
}

func (g *fakeGroup) Connected() bool { return g.connected }

func (g *fakeGroup) ReportCrashes(report feed.CrashReport) bool {
	g.reports = append(g.reports, report)
	return g.connected
}

func (g *fakeGroup) ReportParts(report parts.Report) bool {
	g.partReports = append(g.partReports, report)
	return g.connected
}

// recordView returns a view with the crashing request on record, or with an empty record if state
// is empty.
func recordView(revision uint64, state api.QuarantineState, until time.Time, replicas ...string) *view.View {
	v := view.New()
	v.Version = view.Version{Term: 1, Revision: revision}
	if state != "" {
		v.Quarantines[crashingRequest.String()] = &api.Quarantine{
			Metadata: api.Metadata{Name: crashingRequest.String(), Revision: revision},
			Spec:     api.QuarantineSpec{State: state, Replicas: replicas, Until: until.UnixMilli()},
		}
	}
	return v
}

func (g *Guard) holdsCrashing(now time.Duration, wall time.Time) bool {
	_, held := g.CheckHold(now, wall, crashingRequest, nil)
	return held
}

const later = 10 * time.Second

// While a leader serves the proxy the record decides; older views change nothing.
func TestRecordDecidesWhileALeaderServes(t *testing.T) {
	guard, wall := New("p"), time.Unix(1_700_000_000, 0)
	guard.SetReporter(&fakeGroup{connected: true})
	for i := range 5 {
		guard.NoteCrash(0, quarantine.AgedEvidence{Evidence: quarantine.Evidence{Fingerprint: crashingRequest, Replica: fmt.Sprint("r-", i)}})
	}
	must.False(t, guard.holdsCrashing(later, wall), must.Sprint("this proxy's observations do not count while it has a leader"))
	guard.Follow(recordView(2, api.QuarantineHeld, wall.Add(time.Hour), "r-0", "r-1", "r-2"), later)
	hold, held := guard.CheckHold(later, wall, crashingRequest, nil)
	must.True(t, held)
	must.Eq(t, Hold{BasisRecord, time.Hour}, hold)
	guard.Follow(recordView(1, "", wall), later)
	must.True(t, guard.holdsCrashing(later, wall))
	guard.Follow(recordView(3, "", wall), later)
	must.False(t, guard.holdsCrashing(later, wall))
	must.False(t, guard.Active())
}

// A proxy that is cut off combines the record with its own observations. What expired, was
// refuted or released before no longer counts.
func TestCutOffProxyCombinesRecordAndObservations(t *testing.T) {
	wall := time.Unix(1_700_000_000, 0)
	leader := &fakeGroup{connected: true}
	guard := New("p")
	guard.SetReporter(leader)
	guard.Follow(recordView(1, api.QuarantineHeld, wall, "r-0", "r-1", "r-2"), 0)
	guard.Follow(recordView(2, api.QuarantineWatched, wall, "r-1", "r-2"), 0)
	leader.connected = false
	must.False(t, guard.holdsCrashing(later, wall), must.Sprint("the hold expired"))
	guard.NoteCrash(later, quarantine.AgedEvidence{Evidence: quarantine.Evidence{Fingerprint: crashingRequest, Replica: "r-9"}})
	must.False(t, guard.holdsCrashing(later+cutOffDelay-1, wall), must.Sprint("a change of leader takes up to cutOffDelay"))
	guard.NoteAlive(later, quarantine.LiveReplica{Replica: "r-9", RunningFor: quarantine.AnyAge})
	guard.NoteCrash(later, quarantine.AgedEvidence{Evidence: quarantine.Evidence{Fingerprint: crashingRequest, Replica: "r-3"}})
	must.False(t, guard.holdsCrashing(2*later, wall), must.Sprint("a cut-off proxy sees only a part of the evidence"))
	guard.NoteCrash(later, quarantine.AgedEvidence{Evidence: quarantine.Evidence{Fingerprint: crashingRequest, Replica: "r-5"}})
	must.True(t, guard.holdsCrashing(2*later, wall))
	guard.NoteAlive(2*later, quarantine.LiveReplica{Replica: "r-3", RunningFor: quarantine.AnyAge})
	must.False(t, guard.holdsCrashing(2*later, wall))

	guard.NoteCrash(3*later, quarantine.AgedEvidence{Evidence: quarantine.Evidence{Fingerprint: crashingRequest, Replica: "r-4"}})
	leader.connected = true
	guard.Follow(recordView(3, "", wall), 3*later)
	leader.connected = false
	must.False(t, guard.holdsCrashing(4*later, wall))
	must.False(t, guard.holdsCrashing(5*later, wall), must.Sprint("the request was released"))
}

// A report that was lost is repeated when a leader begins to serve.
func TestNewLeaderReceivesAllReports(t *testing.T) {
	leader := &fakeGroup{}
	guard := New("p")
	guard.SetReporter(leader)
	guard.NoteCrash(0, quarantine.AgedEvidence{Evidence: quarantine.Evidence{Fingerprint: crashingRequest, Replica: "r-0"}})
	guard.NoteCrash(0, quarantine.AgedEvidence{Evidence: quarantine.Evidence{Fingerprint: crashingRequest, Replica: "r-1"}})
	leader.connected, leader.reports = true, nil
	guard.ReportAll(later)
	must.SliceLen(t, 1, leader.reports)
	must.SliceLen(t, 2, leader.reports[0].Crashes)
	must.Eq(t, later, leader.reports[0].Crashes[0].Age)
}

// Every proxy checks answers of replicas that are recorded as crashed.
func TestAnswersOfRecordedReplicasRefuteCrashes(t *testing.T) {
	guard := New("p")
	must.False(t, guard.RefutesCrash("r-0", later))
	guard.Follow(recordView(1, api.QuarantineWatched, time.Now(), "r-0", "r-1"), time.Second)
	guard.Follow(recordView(2, api.QuarantineHeld, time.Now(), "r-0", "r-1", "r-2"), 2*time.Second)
	must.False(t, guard.RefutesCrash("r-0", time.Second), must.Sprint("sent before the proxy learned of the crash"))
	must.True(t, guard.RefutesCrash("r-0", 2*time.Second))
	must.False(t, guard.RefutesCrash("r-2", 2*time.Second))
	must.False(t, guard.RefutesCrash("r-9", later))
	guard.NoteAlive(later, quarantine.LiveReplica{Replica: "r-0", RunningFor: quarantine.AnyAge})
	must.False(t, guard.RefutesCrash("r-0", later))
}

// An answer that does not identify its process refutes a crash only on a connection that was
// opened before the crash, allowing for clock differences.
func TestAnswersWithoutAProcessIdentityRefuteCrashes(t *testing.T) {
	crashedAt := time.Unix(1_700_000_000, 0)
	guard := New("p")
	recorded := recordView(1, api.QuarantineHeld, crashedAt.Add(time.Hour), "r-0", "r-1")
	recorded.Quarantines[crashingRequest.String()].Spec.Since = crashedAt.UnixMilli()
	guard.Follow(recorded, time.Second)
	must.False(t, guard.RefutesCrashOnConnection("r-0", later, crashedAt.Add(time.Minute)), must.Sprint("possibly another process"))
	must.False(t, guard.RefutesCrashOnConnection("r-0", later, crashedAt.Add(-time.Second)), must.Sprint("within the clock margin"))
	must.True(t, guard.RefutesCrashOnConnection("r-0", later, crashedAt.Add(-time.Minute)))
	must.False(t, guard.RefutesCrashOnConnection("r-0", time.Second, crashedAt.Add(-time.Minute)), must.Sprint("sent before the proxy learned of the crash"))
	must.False(t, guard.RefutesCrashOnConnection("r-9", later, crashedAt.Add(-time.Minute)))
}

func TestServedRequestIsReportedOnlyIfSuspected(t *testing.T) {
	leader := &fakeGroup{connected: true}
	guard := New("p")
	guard.SetReporter(leader)
	guard.NoteServed(0, crashingRequest)
	must.SliceEmpty(t, leader.reports)
	guard.Follow(recordView(1, api.QuarantineWatched, time.Now(), "r-0", "r-1"), 0)
	guard.NoteServed(0, crashingRequest)
	must.SliceLen(t, 1, leader.reports)
	must.Eq(t, []quarantine.Fingerprint{crashingRequest}, leader.reports[0].Served)
}

// A request on trial is sent by one proxy, one copy at a time, and by another proxy once the turn
// is over.
func TestRequestOnTrialIsSentByOneProxy(t *testing.T) {
	wall := time.Unix(1_700_000_000, 0)
	guards := map[string]*Guard{}
	for _, name := range []string{"p-1", "p-2", "p-3", "p-4"} {
		guards[name] = New(name)
		guards[name].SetReporter(&fakeGroup{connected: true})
	}
	turns := map[string]bool{}
	for turn := range 30 {
		current := recordView(uint64(turn+2), api.QuarantineTried, wall.Add(time.Duration(turn)*time.Second), "a", "b", "c")
		current.Proxies = map[string]*api.Proxy{"p-1": {}, "p-2": {}, "p-3": {}, "p-4": {}}
		trying := ""
		for name, guard := range guards {
			guard.Follow(current, 0)
			if _, held := guard.CheckHold(0, wall, crashingRequest, "first"); held {
				continue
			}
			must.Eq(t, "", trying, must.Sprint("only one proxy runs a trial"))
			trying = name
			_, held := guard.CheckHold(0, wall, crashingRequest, "first")
			must.False(t, held, must.Sprint("repeated checks for the same owner, as before each send"))
			_, held = guard.CheckHold(0, wall, crashingRequest, "second")
			must.True(t, held)
			guard.EndTrial(crashingRequest, "second")
			guard.EndTrial(crashingRequest, "first")
			_, held = guard.CheckHold(0, wall, crashingRequest, "second")
			must.False(t, held)
			guard.EndTrial(crashingRequest, "second")
		}
		must.NotEq(t, "", trying)
		turns[trying] = true
	}
	must.Eq(t, len(guards), len(turns))
}

// A request that is about to be quarantined is sent nowhere, and its caller gets a short retry
// delay.
func TestSettlingRequestIsSentNowhere(t *testing.T) {
	guard, wall := New("p-1"), time.Unix(1_700_000_000, 0)
	guard.SetReporter(&fakeGroup{connected: true})
	guard.Follow(recordView(2, api.QuarantineSettling, wall.Add(time.Second), "a", "b", "c"), 0)
	hold, held := guard.CheckHold(0, wall, crashingRequest, "first")
	must.True(t, held)
	must.Eq(t, Hold{BasisSettling, trialRetryAfter}, hold)
}

// A proxy that judges by itself counts recorded crashes that happened at one moment as one
// incident.
func TestRequestOnTrialIsNotHeldByRecordedCrashes(t *testing.T) {
	guard, wall := New("p-1"), time.Unix(1_700_000_000, 0)
	guard.Follow(recordView(2, api.QuarantineTried, wall, "a", "b", "c", "d"), 0)
	guard.Follow(recordView(3, "", wall), later)
	must.False(t, guard.holdsCrashing(later, wall))
}

// Guards against quarantining a harmless request although it was served. If a watched request is
// served while the control group has no leader, the report of that is lost. The next leader is
// then told of the crashes only and quarantines the request, in one case for five minutes. It had
// been in flight during five broken connections, most of them weak evidence: of runs that had
// already produced events, of prefill replicas, or of replicas that went on listening. Reports of
// served requests are therefore repeated for as long as they count.
func TestNewLeaderIsToldOfServedRequests(t *testing.T) {
	leader := &fakeGroup{}
	guard := New("p")
	guard.SetReporter(leader)
	guard.Follow(recordView(1, api.QuarantineWatched, time.Now(), "r-0", "r-1"), 0)
	guard.NoteServed(later, crashingRequest)
	leader.connected, leader.reports = true, nil
	guard.ReportAll(later + time.Second)
	must.SliceLen(t, 1, leader.reports)
	must.Eq(t, []quarantine.Fingerprint{crashingRequest}, leader.reports[0].Served)
}

// Guards against refusing a harmless request at a proxy that starts without a leader and learns the
// whole record at once. What crashed while the harmful request was held, and therefore ran nowhere,
// says nothing about which of the two crashed the replicas that they have in common.
func TestRestartedProxyComparesWithTheHeldRequest(t *testing.T) {
	bystander := quarantine.FingerprintOf(quarantine.RequestIdentity{Path: "/popular"})
	wall := time.Unix(1_700_000_000, 0)
	recorded := recordView(2, api.QuarantineHeld, wall.Add(time.Hour), "r-0", "r-1", "r-2")
	recorded.Quarantines[bystander.String()] = &api.Quarantine{
		Metadata: api.Metadata{Name: bystander.String(), Revision: 2},
		Spec:     api.QuarantineSpec{State: api.QuarantineWatched, Replicas: []string{"r-0", "r-1", "r-2", "other-1", "other-2"}},
	}
	for range 20 { // the record is a map
		guard := New("p")
		guard.Follow(recorded, 0)
		must.True(t, guard.holdsCrashing(0, wall))
		_, held := guard.CheckHold(later, wall, bystander, nil)
		must.False(t, held)
	}
}

// Guards against refusing a harmless request at a proxy without a leader that has not learned of its
// success at another one: a member without a leader reports it like the crashes.
func TestReportOfAMemberClearsServedRequests(t *testing.T) {
	guard, wall := New("p"), time.Unix(1_700_000_000, 0)
	guard.SetReporter(&fakeGroup{})
	for i := range 4 {
		guard.NoteCrash(0, quarantine.AgedEvidence{Evidence: quarantine.Evidence{Fingerprint: crashingRequest, Replica: fmt.Sprint("r-", i)}})
	}
	must.True(t, guard.holdsCrashing(later, wall))
	guard.ApplyUnrecorded(later, feed.CrashReport{Served: []quarantine.Fingerprint{crashingRequest}})
	must.False(t, guard.holdsCrashing(later, wall))
}

// A success counts for as long as it does where it was seen, however often members report it, and a report of
// successes alone says nothing of the record.
func TestRepeatedReportsOfServedRequestsChangeNothing(t *testing.T) {
	guard, wall := New("p"), time.Unix(1_700_000_000, 0)
	group := &fakeGroup{}
	guard.SetReporter(group)
	now := time.Duration(0)
	for ; now < time.Minute; now += time.Second {
		guard.ApplyUnrecorded(now, feed.CrashReport{Served: []quarantine.Fingerprint{crashingRequest}})
	}
	for i := range 4 {
		guard.NoteCrash(now, quarantine.AgedEvidence{Evidence: quarantine.Evidence{Fingerprint: crashingRequest, Replica: fmt.Sprint("r-", i)}})
	}
	must.True(t, guard.holdsCrashing(now, wall), must.Sprint("the success is more than a minute old"))
	group.connected = true
	must.False(t, guard.holdsCrashing(now, wall), must.Sprint("with a leader the record decides"))
}
