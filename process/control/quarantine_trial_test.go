package control

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// Seen: a harmless request of a plain service was refused by all proxies but one, again and again,
// though it was served between the refusals (the soak's seed 3024, "shut out").
// How: no leader lasted for longer than some two seconds. Each was told first of the ends at which
// the request had stood, put it on record as tried, and heard of its good answers after that.
// Cause: a new leader waits a second for what proxies have to tell before it holds a request, and did
// not wait before it began a trial, which refuses all copies but one as well.
// Proof: the kept log: served at 42.25, tried from 48.69 on, by leader after leader.
func TestNewLeaderTriesNothingBeforeItHasHeard(t *testing.T) {
	stoodAtThree := func() feed.EndReport { return atOnce(fatalRequest, "a", "b", "c") }
	served := feed.EndReport{Served: []quarantine.Fingerprint{fatalRequest}}
	t.Run("served all the time, by leaders of two seconds", func(t *testing.T) {
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
	t.Run("the next leader's word is lost, and the record stands", func(t *testing.T) {
		d := newDeskTest(t)
		d.route(nil)
		for term := uint64(2); term < 12; term++ {
			d.desk = newQuarantineDesk()
			d.desk.note(stoodAtThree(), d.now)
			d.pass(term, takeOverTime-50*time.Millisecond)
			must.NotEq(t, api.QuarantineTried, d.state(), must.Sprint("term ", term))
		}
	})
	t.Run("nobody serves it", func(t *testing.T) {
		d := newDeskTest(t)
		d.route(nil)
		d.desk = newQuarantineDesk()
		d.desk.note(stoodAtThree(), d.now)
		d.pass(2, 50*time.Millisecond)
		must.Eq(t, api.QuarantineWatched, d.state())
		d.pass(2, takeOverTime)
		must.Eq(t, api.QuarantineTried, d.state(), must.Sprint("once the second is over"))
	})
	t.Run("a trial that an earlier leader began goes on", func(t *testing.T) {
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
