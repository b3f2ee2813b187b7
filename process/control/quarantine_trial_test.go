package control

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// Guards against starting trials before proxies have reported to a new leader. A trial refuses
// all copies but one, so a harmless request was refused again and again under leaders that lasted
// about two seconds each: each learned first of the crashes at which the request had been in
// flight, and only after starting a trial of its successful answers (soak seed 3024, "shut out").
func TestNewLeaderTriesNothingBeforeItHasHeard(t *testing.T) {
	stoodAtThree := func() feed.EndReport { return atOnce(fatalRequest, "a", "b", "c") }
	served := feed.EndReport{Served: []quarantine.Fingerprint{fatalRequest}}
	t.Run("served under leaders that last two seconds", func(t *testing.T) {
		d := newDeskTest(t)
		d.route(nil)
		for term := uint64(2); term < 12; term++ {
			d.desk = newQuarantineDesk()
			d.desk.note(stoodAtThree(), d.now)
			d.pass(term, 50*time.Millisecond)
			must.NotEq(t, api.QuarantineTried, d.state(), must.Sprint("term ", term))
			d.desk.note(served, d.now+takeOverTime-100*time.Millisecond)
			d.pass(term, takeOverTime)
			must.Eq(t, "", d.state(), must.Sprint("term ", term))
			d.pass(term, time.Second)
			must.Eq(t, "", d.state(), must.Sprint("term ", term))
		}
	})
	t.Run("leaders replaced before reports of answers arrive", func(t *testing.T) {
		d := newDeskTest(t)
		d.route(nil)
		for term := uint64(2); term < 12; term++ {
			d.desk = newQuarantineDesk()
			d.desk.note(stoodAtThree(), d.now)
			d.pass(term, takeOverTime-50*time.Millisecond)
			must.NotEq(t, api.QuarantineTried, d.state(), must.Sprint("term ", term))
		}
	})
	t.Run("never served", func(t *testing.T) {
		d := newDeskTest(t)
		d.route(nil)
		d.desk = newQuarantineDesk()
		d.desk.note(stoodAtThree(), d.now)
		d.pass(2, 50*time.Millisecond)
		must.Eq(t, api.QuarantineWatched, d.state())
		d.pass(2, takeOverTime)
		must.Eq(t, api.QuarantineTried, d.state(), must.Sprint("after takeoverDelay"))
	})
	t.Run("trial of an earlier leader continues", func(t *testing.T) {
		d := newDeskTest(t)
		d.route(nil)
		d.desk.note(stoodAtThree(), d.now)
		d.pass(1, 50*time.Millisecond)
		must.Eq(t, api.QuarantineTried, d.state())
		d.desk = newQuarantineDesk()
		d.pass(2, 50*time.Millisecond)
		must.Eq(t, api.QuarantineTried, d.state())
	})
}
