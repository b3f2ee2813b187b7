package feed

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// A restarted daemon is reported once, by its newer process, as soon as the lease of the earlier
// process has lapsed.
func TestRestartedDaemonIsReportedByItsNewerInstance(t *testing.T) {
	const lease = time.Second
	first, second := view.Version{Term: 1, Revision: 1}, view.Version{Term: 1, Revision: 2}
	leases := newTermLeases(1, view.Version{}, lease, 0)
	earlier := daemonKey{daemon: "proxy-a", instance: 1}.String()
	newer := daemonKey{daemon: "proxy-a", instance: 2}.String()
	other := daemonKey{daemon: "proxy-b", instance: 9}.String()
	must.True(t, leases.tracker.Observe(earlier, first, lease))
	must.True(t, leases.tracker.Observe(other, second, lease))
	must.True(t, leases.tracker.Observe(newer, second, lease))

	waiting := leases.inForce(second, lease)
	must.Eq(t, InForce{Acknowledged: 2, Waiting: []string{"proxy-a"}}, waiting)

	now := 3 * lease
	must.True(t, leases.tracker.Observe(newer, second, now))
	must.True(t, leases.tracker.Observe(other, second, now))
	must.Eq(t, InForce{Done: true, Acknowledged: 2}, leases.inForce(second, now))

	// Both processes have the first version, which counts as one acknowledgement.
	must.Eq(t, InForce{Done: true, Acknowledged: 2}, leases.inForce(first, now))

	// Without a newer process, the lapsed lease is reported.
	late := 6 * lease
	must.True(t, leases.tracker.Observe(other, second, late))
	third := view.Version{Term: 1, Revision: 3}
	must.Eq(t, InForce{Lapsed: []string{"proxy-a"}, Waiting: []string{"proxy-b"}}, leases.inForce(third, late))
}

// A daemon that is cut off when the leader changes is unknown to the new leader and may hold a
// lease that the previous leader granted just before it stopped leading. Nothing may be in force
// before that lease has lapsed. The daemon is not named until it is heard from again.
func TestNewLeaderWaitsForLeasesOfUnseenDaemons(t *testing.T) {
	const lease, step = time.Second, time.Millisecond
	first, second := view.Version{Term: 1, Revision: 1}, view.Version{Term: 2, Revision: 2}
	cut := daemonKey{daemon: "proxy-a", instance: 1}.String()
	other := daemonKey{daemon: "proxy-b", instance: 9}.String()
	held := view.NewHolder()
	must.NoError(t, held.Apply(view.Delta{Full: true, To: first}))
	earlier := newTermLeases(1, view.Version{}, lease, 0)
	began := 5 * lease
	must.True(t, earlier.tracker.Observe(cut, first, began))
	must.True(t, held.Confirm(began, lease, 1))

	later := newTermLeases(2, first, lease, began)
	now := began
	for ; ; now += step {
		must.Less(t, began+2*lease, now)
		must.True(t, later.tracker.Observe(other, second, now))
		state := later.inForce(second, now)
		if state.Done {
			must.Eq(t, InForce{Done: true, Acknowledged: 1}, state)
			break
		}
		must.Eq(t, InForce{Acknowledged: 1, Settling: true}, state)
	}
	must.False(t, held.Valid(now), must.Sprint("in force while the older view is still leased"))

	must.False(t, later.tracker.Observe(cut, first, now), must.Sprint("no further lease for the older view"))
	must.Eq(t, InForce{Done: true, Acknowledged: 1, Lapsed: []string{"proxy-a"}}, later.inForce(second, now))
	must.True(t, later.tracker.Observe(cut, second, now))
	must.Eq(t, InForce{Done: true, Acknowledged: 2}, later.inForce(second, now))
}

// What an earlier leader reported as in force must stay so: a daemon that was behind at that time
// gets no lease for its older view from the next leader, whether or not that leader was queried
// before.
func TestNewLeaderGrantsNoLeaseBehindItsOwnVersion(t *testing.T) {
	const lease = time.Second
	first, second := view.Version{Term: 1, Revision: 1}, view.Version{Term: 1, Revision: 2}
	behind := daemonKey{daemon: "proxy-a", instance: 1}.String()
	earlier := newTermLeases(1, view.Version{}, lease, 0)
	must.True(t, earlier.tracker.Observe(behind, first, 0))
	now := 2 * lease
	must.Eq(t, InForce{Done: true, Lapsed: []string{"proxy-a"}}, earlier.inForce(second, now))

	later := newTermLeases(2, second, lease, now)
	must.False(t, later.tracker.Observe(behind, first, now))
	must.True(t, later.tracker.Observe(behind, second, now))
}
