package control

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// Guards against starting trials before proxies have reported to a new leader. A trial refuses all
// copies but one. Under leaders that last about two seconds each, a harmless request would be
// refused again and again: each leader learns first of the crashes at which the request was in
// flight, and of its successful answers only after it has started a trial (soak seed 3024).
func TestNewLeaderStartsNoTrialBeforeInitialReports(t *testing.T) {
	threeCrashes := func() feed.CrashReport { return simultaneousCrashReport(fatalRequest, "a", "b", "c") }
	served := feed.CrashReport{Served: []quarantine.Fingerprint{fatalRequest}}
	t.Run("served under leaders that last two seconds", func(t *testing.T) {
		d := newTrackerTest(t)
		d.addService(nil)
		for term := uint64(2); term < 12; term++ {
			d.tracker = newQuarantineTracker()
			d.tracker.addProxyReport(threeCrashes(), d.now)
			d.step(term, 50*time.Millisecond)
			must.NotEq(t, api.QuarantineTried, d.state(), must.Sprint("term ", term))
			d.tracker.addProxyReport(served, d.now+takeoverDelay-100*time.Millisecond)
			d.step(term, takeoverDelay)
			must.Eq(t, "", d.state(), must.Sprint("term ", term))
			d.step(term, time.Second)
			must.Eq(t, "", d.state(), must.Sprint("term ", term))
		}
	})
	t.Run("leaders replaced before reports of answers arrive", func(t *testing.T) {
		d := newTrackerTest(t)
		d.addService(nil)
		for term := uint64(2); term < 12; term++ {
			d.tracker = newQuarantineTracker()
			d.tracker.addProxyReport(threeCrashes(), d.now)
			d.step(term, takeoverDelay-50*time.Millisecond)
			must.NotEq(t, api.QuarantineTried, d.state(), must.Sprint("term ", term))
		}
	})
	t.Run("never served", func(t *testing.T) {
		d := newTrackerTest(t)
		d.addService(nil)
		d.tracker = newQuarantineTracker()
		d.tracker.addProxyReport(threeCrashes(), d.now)
		d.step(2, 50*time.Millisecond)
		must.Eq(t, api.QuarantineWatched, d.state())
		d.step(2, takeoverDelay)
		must.Eq(t, api.QuarantineTried, d.state(), must.Sprint("after takeoverDelay"))
	})
	t.Run("trial of an earlier leader continues", func(t *testing.T) {
		d := newTrackerTest(t)
		d.addService(nil)
		d.tracker.addProxyReport(threeCrashes(), d.now)
		d.step(1, 50*time.Millisecond)
		must.Eq(t, api.QuarantineTried, d.state())
		d.tracker = newQuarantineTracker()
		d.step(2, 50*time.Millisecond)
		must.Eq(t, api.QuarantineTried, d.state())
	})
}
