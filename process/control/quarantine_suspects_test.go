package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// Guards against losing the first crash under a request when all processes are killed at once. A
// request had crashed three replicas: the first crash was known to a leader that kept it in
// memory, the others to proxies that were killed as well. It then crashed four more before it was
// held (soak seed 9231).
func TestSingleCrashSurvivesLossOfAllProcesses(t *testing.T) {
	d := newTrackerTest(t)
	d.tracker.addProxyReport(crashReport(fatalRequest, "r-0"), d.now)
	d.step(1, 50*time.Millisecond)
	must.Eq(t, "", d.state())
	must.Eq(t, "r-0", d.suspect())
	d.tracker = newQuarantineTracker() // simulates the loss of everything in memory
	d.step(2, 5*time.Second)
	d.tracker.addProxyReport(crashReport(fatalRequest, "r-1"), d.now)
	d.step(2, time.Second)
	must.Eq(t, api.QuarantineWatched, d.state())
	must.Eq(t, []string{"r-0", "r-1"}, d.machine.View().Quarantines[fatalRequest.String()].Spec.Replicas)
	must.Eq(t, "", d.suspect(), must.Sprint("it is recorded as a quarantine instead"))
	d.tracker.addProxyReport(crashReport(fatalRequest, "r-2"), d.now)
	d.step(2, time.Second)
	must.Eq(t, api.QuarantineHeld, d.state())
}

// suspect returns the replica recorded as the single crash under the fatal request, or an empty
// string.
func (d *trackerTest) suspect() string {
	known := d.machine.View().Suspects[fatalRequest.String()]
	if known == nil {
		return ""
	}
	return known.Spec.Replica
}

// A single crash leaves the record when it expires, its replica is alive or the request was
// served. An expired one stays known to the leader.
func TestSuspectIsRemovedFromRecord(t *testing.T) {
	begin := func() *trackerTest {
		d := newTrackerTest(t)
		d.tracker.addProxyReport(crashReport(fatalRequest, "r-0"), d.now)
		d.step(1, 50*time.Millisecond)
		must.Eq(t, "r-0", d.suspect())
		return d
	}
	t.Run("served", func(t *testing.T) {
		d := begin()
		d.tracker.addProxyReport(feed.CrashReport{Served: []quarantine.Fingerprint{fatalRequest}}, d.now)
		d.step(1, 50*time.Millisecond)
		must.Eq(t, "", d.suspect())
	})
	t.Run("its replica is alive", func(t *testing.T) {
		d := begin()
		d.tracker = newQuarantineTracker()
		d.tracker.addProxyReport(feed.CrashReport{Alive: []quarantine.LiveReplica{{Replica: "r-0", RunningFor: quarantine.AnyAge}}}, d.now)
		d.step(2, 50*time.Millisecond)
		must.Eq(t, "", d.suspect())
	})
	t.Run("expired", func(t *testing.T) {
		d := begin()
		d.step(1, suspectRecordDuration)
		must.Eq(t, "", d.suspect())
		d.step(1, time.Second)
		must.Eq(t, "", d.suspect())
		d.tracker.addProxyReport(crashReport(fatalRequest, "r-1"), d.now)
		d.step(1, time.Second)
		must.Eq(t, api.QuarantineWatched, d.state())
	})
}

// Replicas that crashed at one moment count as one crash, even if the next leader learns of one
// from the record and of another from a report.
func TestRecordedAndReportedSimultaneousCrashesCountOnce(t *testing.T) {
	d := newTrackerTest(t)
	d.tracker.addProxyReport(simultaneousCrashReport(fatalRequest, "a", "b"), d.now)
	d.step(1, 50*time.Millisecond)
	must.Eq(t, "a", d.suspect())
	d.tracker = newQuarantineTracker()
	d.now += time.Second
	d.wall = d.wall.Add(time.Second)
	again := simultaneousCrashReport(fatalRequest, "b")
	again.Crashes[0].Age = 1050 * time.Millisecond
	d.tracker.addProxyReport(again, d.now)
	d.step(2, 0)
	d.step(2, 2*time.Second)
	must.Eq(t, "", d.state())
	must.Eq(t, "a", d.suspect())
}

// A request that had returned events, that was only in prefill, or whose replica still listens is
// not recorded. When a whole rack is lost, the number of recorded suspects stays limited.
func TestRecordedSuspectsAreLimited(t *testing.T) {
	d := newTrackerTest(t)
	for _, change := range []func(*quarantine.Evidence){
		func(seen *quarantine.Evidence) { seen.HadOutput = true },
		func(seen *quarantine.Evidence) { seen.Read = true },
		func(seen *quarantine.Evidence) { seen.StillListening = true },
	} {
		report := crashReport(fatalRequest, "r-0")
		change(&report.Crashes[0].Evidence)
		d.tracker.addProxyReport(report, d.now)
		d.step(1, time.Second)
		must.Eq(t, "", d.suspect())
		d.tracker = newQuarantineTracker()
	}
	for i := range 10 * maxSuspects {
		d.tracker.addProxyReport(crashReport(quarantine.FingerprintOf(quarantine.RequestIdentity{Path: fmt.Sprint(i)}), fmt.Sprint("rack-", i%9)), d.now)
	}
	for range 3 {
		d.step(1, time.Second)
		must.MapLen(t, maxSuspects, d.machine.View().Suspects)
	}
}

// Weak evidence stays weak under the next leader, whether it is reported again or not, and
// whether the report or the record comes first.
func TestWeakEvidenceStaysWeakUnderNextLeader(t *testing.T) {
	popular := func() feed.CrashReport {
		report := crashReport(fatalRequest, "r-0", "r-1", "r-2", "r-3")
		report.Crashes[0].HadOutput = true
		report.Crashes[1].StillListening = true
		report.Crashes[2].Read = true
		return report
	}
	for name, tell := range map[string]func(d *trackerTest){
		"not reported again":                   func(*trackerTest) {},
		"reported before the record is loaded": func(d *trackerTest) { d.tracker.addProxyReport(popular(), d.now) },
		"reported after the record is loaded": func(d *trackerTest) {
			d.step(2, 0)
			d.tracker.addProxyReport(popular(), d.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTrackerTest(t)
			d.tracker.addProxyReport(popular(), d.now)
			d.reviewTwice(1)
			must.Eq(t, api.QuarantineWatched, d.state())
			must.Eq(t, []string{"r-0", "r-1", "r-2"}, d.machine.View().Quarantines[fatalRequest.String()].Spec.Weak)
			d.tracker = newQuarantineTracker()
			tell(d)
			d.step(2, 0)
			d.step(2, 2*takeoverDelay)
			d.step(2, time.Second)
			must.Eq(t, api.QuarantineWatched, d.state())
		})
	}
}

// crashWithParts crashes a replica with the fatal request, which contains the parts.
func (d *trackerTest) crashWithParts(replica, caller string, contained ...parts.Key) {
	d.tracker.addProxyReport(crashReport(fatalRequest, replica), d.now)
	d.tracker.addPartReport(parts.Report{Crashes: []parts.Crash{{
		Run:     parts.Run{Service: "s", Caller: parts.CallerKey(caller), Parts: contained},
		Request: fatalRequest, Replica: replica, UniqueName: true, RunTime: 10 * time.Millisecond,
	}}}, d.now)
}

// Guards against losing the first crash of a prompt part when a new leader has the record alone, which then needed one
// more crash to find the part harmful, and held sound requests beside it.
func TestSingleCrashOfPartSurvivesLossOfAllProcesses(t *testing.T) {
	d := newTrackerTest(t)
	part := parts.KeyOf("s", "m", "p")
	d.crashWithParts("r-0", "a", part)
	d.step(1, time.Second)
	for term := uint64(2); term < 4; term++ { // the second one has the record of a leader that had the record alone
		d.tracker = newQuarantineTracker()
		d.step(term, 2*takeoverDelay)
		must.Eq(t, []string{part.String()}, d.machine.View().Suspects[fatalRequest.String()].Parts())
	}
	d.tracker.addPartReport(parts.Report{Crashes: []parts.Crash{{
		Run: parts.Run{Service: "s", Caller: parts.CallerKey("b"), Parts: []parts.Key{part}}, Replica: "r-1", UniqueName: true,
	}}}, d.now)
	d.step(3, time.Second)
	known := d.machine.View().Quarantines[part.String()]
	must.NotNil(t, known)
	must.Eq(t, []string{"r-0", "r-1"}, known.Spec.Replicas)
	must.Eq(t, "s", known.Spec.Service)
	must.Eq(t, []string{""}, known.PartCallers(), must.Sprint("two callers with a crash each bind neither"))
}

// Guards against a next leader that counts replicas which crashed together, as with their rack, as one crash each, and
// finds a part harmful that was in flight at all of them.
func TestRecordedCrashesOfPartAtOneMomentCountOnce(t *testing.T) {
	d := newTrackerTest(t)
	popular := parts.KeyOf("s", "m", "popular")
	crash := func(number int, age time.Duration) {
		request, replica := courseFingerprint(fmt.Sprint("request ", number)), fmt.Sprint("rack-", number)
		report := crashReport(request, replica)
		report.Crashes[0].Age, report.Crashes[0].RunTime = age, 50*time.Millisecond
		d.tracker.addProxyReport(report, d.now)
		d.tracker.addPartReport(parts.Report{Crashes: []parts.Crash{{
			Run:     parts.Run{Service: "s", Parts: []parts.Key{popular}},
			Request: request, Replica: replica, UniqueName: true, RunTime: 50 * time.Millisecond, Age: age,
		}}, Starts: []parts.Start{{Run: parts.Run{Service: "s"}}}}, d.now)
	}
	crash(0, 0)
	d.step(1, 50*time.Millisecond)
	must.MapLen(t, 1, d.machine.View().Suspects)
	d.tracker = newQuarantineTracker()
	d.step(2, 50*time.Millisecond)
	for number := range 4 { // reported late, some milliseconds before and after the first
		crash(1+number, time.Duration(96+2*number)*time.Millisecond)
	}
	d.step(2, 2*takeoverDelay)
	known := d.machine.View().Quarantines[popular.String()]
	must.NotNil(t, known)
	must.SliceLen(t, 4, known.Spec.Weak, must.Sprint("crashes that count as one with an earlier one"))
	d.tracker = newQuarantineTracker() // has the records of the part and of the requests
	d.step(3, 2*takeoverDelay)
	d.step(3, time.Second)
	must.SliceLen(t, 4, d.machine.View().Quarantines[popular.String()].Spec.Weak)
	for _, suspect := range d.machine.View().Suspects {
		must.SliceEmpty(t, suspect.Parts(), must.Sprint("the part is on record by itself"))
	}
}

// Guards against a next leader that suspects a part which was answered after the crash.
func TestAnsweredPartLeavesTheRecordOfSuspects(t *testing.T) {
	d := newTrackerTest(t)
	sound, other := parts.KeyOf("s", "m", "sound"), parts.KeyOf("s", "m", "other")
	d.crashWithParts("r-0", "a", sound, other)
	d.step(1, time.Second)
	must.SliceLen(t, 2, d.machine.View().Suspects[fatalRequest.String()].Parts())
	d.tracker.addPartReport(parts.Report{Starts: []parts.Start{{Run: parts.Run{Service: "s", Parts: []parts.Key{sound}}}}}, d.now)
	d.step(1, time.Second)
	must.Eq(t, []string{other.String()}, d.machine.View().Suspects[fatalRequest.String()].Parts())
	d.tracker = newQuarantineTracker()
	d.step(2, time.Second)
	must.False(t, d.tracker.parts.IsSuspect(sound))
	must.True(t, d.tracker.parts.IsSuspect(other))
}

// Guards against a record that grows with the parts of a prompt, and against one that names parts which are answered
// all the time instead of the one that is not.
func TestRecordedPartsOfSuspectsAreLimited(t *testing.T) {
	d := newTrackerTest(t)
	fatal := parts.KeyOf("s", "m", "fatal")
	contained := []parts.Key{fatal}
	for i := range parts.MaxPartsPerRun - 1 {
		contained = append(contained, parts.KeyOf("s", "m", fmt.Sprint("popular ", i)))
	}
	d.tracker.addPartReport(parts.Report{Starts: []parts.Start{{Run: parts.Run{Service: "s", Parts: contained[1:]}}}}, d.now)
	d.now, d.wall = d.now+time.Second, d.wall.Add(time.Second)
	d.crashWithParts("r-0", "a", contained...)
	d.step(1, time.Second)
	recorded := d.machine.View().Suspects[fatalRequest.String()].Parts()
	must.SliceLen(t, maxSuspectParts, recorded)
	must.SliceContains(t, recorded, fatal.String())
}

// A record of a member of the last version names no parts.
func TestSuspectWithoutPartsIsLoaded(t *testing.T) {
	d := newTrackerTest(t)
	d.tracker.addProxyReport(crashReport(fatalRequest, "r-0"), d.now)
	d.step(1, time.Second)
	must.MapEmpty(t, d.machine.View().Suspects[fatalRequest.String()].Labels)
	d.tracker = newQuarantineTracker()
	d.step(2, time.Second)
	must.Eq(t, 1, d.tracker.table.CountFailures(fatalRequest))
	must.True(t, d.tracker.parts.IsEmpty())
}
