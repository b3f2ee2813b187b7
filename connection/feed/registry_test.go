package feed

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// A daemon that was restarted is told of once, by its newer run, as soon as the
// lease of the earlier run has lapsed.
func TestRestartedDaemonIsToldOfByItsNewerRun(t *testing.T) {
	const lease = time.Second
	first, second := view.Version{Term: 1, Revision: 1}, view.Version{Term: 1, Revision: 2}
	registry := newRegistry(1, view.Version{}, lease, 0)
	earlier := daemonKey{daemon: "proxy-a", instance: 1}.String()
	newer := daemonKey{daemon: "proxy-a", instance: 2}.String()
	other := daemonKey{daemon: "proxy-b", instance: 9}.String()
	must.True(t, registry.tracker.Observe(earlier, first, lease))
	must.True(t, registry.tracker.Observe(other, second, lease))
	must.True(t, registry.tracker.Observe(newer, second, lease))

	waiting := registry.inForce(second, lease)
	must.Eq(t, InForce{Acknowledged: 2, Waiting: []string{"proxy-a"}}, waiting)

	now := 3 * lease
	must.True(t, registry.tracker.Observe(newer, second, now))
	must.True(t, registry.tracker.Observe(other, second, now))
	must.Eq(t, InForce{Done: true, Acknowledged: 2}, registry.inForce(second, now))

	// Both runs have the first version: one daemon has acknowledged it.
	must.Eq(t, InForce{Done: true, Acknowledged: 2}, registry.inForce(first, now))

	// Without a newer run, the lapse is told.
	late := 6 * lease
	must.True(t, registry.tracker.Observe(other, second, late))
	third := view.Version{Term: 1, Revision: 3}
	must.Eq(t, InForce{Lapsed: []string{"proxy-a"}, Waiting: []string{"proxy-b"}}, registry.inForce(third, late))
}
