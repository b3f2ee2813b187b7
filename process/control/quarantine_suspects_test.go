package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine"
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
