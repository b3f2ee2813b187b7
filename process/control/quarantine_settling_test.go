package control

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// Guards against starting a trial of a request that is about to be held. A request with three
// crashes at different moments was given a trial while only late reports were awaited, and the
// trial crashed a fourth replica 0.1 s before the hold (soak seed 9231).
func TestNoTrialOfRequestAboutToBeHeld(t *testing.T) {
	begin := func() *trackerTest {
		d := newTrackerTest(t)
		d.addService(nil)
		for i, replica := range []string{"r-0", "r-1", "r-2"} {
			must.NotEq(t, api.QuarantineSettling, d.state(), must.Sprint(i, " crashes"))
			d.tracker.addProxyReport(crashReport(fatalRequest, replica), d.now)
			d.step(1, 50*time.Millisecond)
		}
		must.Eq(t, api.QuarantineSettling, d.state())
		return d
	}
	t.Run("held", func(t *testing.T) {
		d := begin()
		d.step(1, 300*time.Millisecond)
		must.Eq(t, api.QuarantineHeld, d.state())
	})
	t.Run("one of its replicas is alive", func(t *testing.T) {
		d := begin()
		d.tracker.addProxyReport(feed.CrashReport{Alive: []quarantine.LiveReplica{{Replica: "r-1", RunningFor: quarantine.AnyAge}}}, d.now)
		d.step(1, 50*time.Millisecond)
		must.Eq(t, api.QuarantineWatched, d.state())
	})
	t.Run("another request explains the crashes", func(t *testing.T) {
		d := begin()
		other := quarantine.FingerprintOf(quarantine.RequestIdentity{Path: "/other"})
		d.tracker.addProxyReport(crashReport(other, "r-0", "r-1", "r-2", "r-3", "r-4"), d.now)
		d.step(1, 300*time.Millisecond)
		must.NotEq(t, api.QuarantineSettling, d.state())
		must.NotEq(t, api.QuarantineHeld, d.state())
	})
	t.Run("under a new leader", func(t *testing.T) {
		d := begin()
		d.tracker = newQuarantineTracker()
		d.step(2, 50*time.Millisecond)
		must.Eq(t, api.QuarantineSettling, d.state(), must.Sprint("no proxy tries it meanwhile"))
		d.step(2, takeoverDelay)
		must.Eq(t, api.QuarantineHeld, d.state())
	})
}

// After a trial that crashed one more replica, no further trial starts before the decision.
func TestNoTrialAfterCrashInTrial(t *testing.T) {
	d := newTrackerTest(t)
	d.addService(nil)
	d.tracker.addProxyReport(simultaneousCrashReport(fatalRequest, "a", "b", "c"), d.now)
	d.step(1, 50*time.Millisecond)
	must.Eq(t, api.QuarantineTried, d.state())
	d.step(1, time.Second)
	d.tracker.addProxyReport(crashReport(fatalRequest, "a-again"), d.now)
	d.step(1, 50*time.Millisecond)
	must.Eq(t, api.QuarantineSettling, d.state())
	d.step(1, 300*time.Millisecond)
	must.Eq(t, api.QuarantineHeld, d.state())
}
