package control

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// newWatchedRequest returns a request that is watched after two crashes, at the second of which it was alone.
func newWatchedRequest(t *testing.T) *trackerTest {
	d := newTrackerTest(t)
	d.tracker.addProxyReport(crashReport(fatalRequest, "r-0"), d.now)
	d.step(1, time.Second)
	alone := crashReport(fatalRequest, "r-1")
	alone.Crashes[0].OnlyInFlight = true
	d.tracker.addProxyReport(alone, d.now)
	d.step(1, 500*time.Millisecond)
	must.Eq(t, api.QuarantineWatched, d.state())
	return d
}

// noteCopy notes what became of a copy of the request.
func (d *trackerTest) noteCopy(isPlaced bool) {
	d.tracker.noteCopy(string(fatalRequest[:]), isPlaced, d.now)
}

// Guards against a harmless request that is held for minutes after two crashes of other causes, at the second of which
// it was alone, although no replica took a copy since that could have served it.
func TestRequestWhoseCopiesFindNoPlaceIsNotHeld(t *testing.T) {
	d := newWatchedRequest(t)
	for range 8 {
		d.noteCopy(false)
		d.step(1, time.Second)
		must.Eq(t, api.QuarantineWatched, d.state())
	}
	d.tracker.addProxyReport(feed.CrashReport{Served: []quarantine.Fingerprint{fatalRequest}}, d.now)
	d.step(1, time.Second)
	must.Eq(t, "", d.state())
}

// Guards against a harmful request that is never held because its copies find no place, or because one of them was
// placed and nothing is heard of it; and against one that is not held at its third crash.
func TestWaitForACopyIsLimited(t *testing.T) {
	unplaced := newWatchedRequest(t)
	for range 10 {
		unplaced.noteCopy(false)
		unplaced.step(1, time.Second)
	}
	must.Eq(t, api.QuarantineHeld, unplaced.state())

	placed := newWatchedRequest(t)
	placed.noteCopy(false)
	placed.step(1, 2*time.Second)
	placed.noteCopy(true)
	placed.step(1, copyOutcomeTime/2)
	must.Eq(t, api.QuarantineWatched, placed.state())
	placed.step(1, copyOutcomeTime/2)
	must.Eq(t, api.QuarantineHeld, placed.state())

	crashing := newWatchedRequest(t)
	crashing.noteCopy(false)
	crashing.step(1, time.Second)
	crashing.tracker.addProxyReport(crashReport(fatalRequest, "r-2"), crashing.now)
	crashing.step(1, 500*time.Millisecond)
	must.Eq(t, api.QuarantineHeld, crashing.state())
}

// Guards against a harmful request that goes on to more replicas because its copies find no place between its crashes,
// of which not all are strong evidence.
func TestThirdCrashEndsTheWaitForACopy(t *testing.T) {
	d := newWatchedRequest(t)
	third := crashReport(fatalRequest, "r-2")
	third.Crashes[0].HadOutput = true
	d.tracker.addProxyReport(third, d.now)
	for range 3 {
		d.noteCopy(false)
		d.step(1, time.Second)
	}
	must.Eq(t, api.QuarantineHeld, d.state())
}

// Guards against a memory of copies that grows without limit.
func TestSuspectCopiesAreBounded(t *testing.T) {
	copies := suspectCopies{}
	for i := range maxSuspectCopies + 10 {
		copies.note(quarantine.Fingerprint{byte(i), byte(i >> 8)}, false, 0)
	}
	must.MapLen(t, maxSuspectCopies, copies)
	copies.expire(maxCopyWait)
	must.MapEmpty(t, copies)
}
