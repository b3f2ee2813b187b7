package feed

import (
	"testing"

	"github.com/shoenig/test/must"
)

// lastPresence returns the last presence report and the number of reports.
func (g *fakeGroup) lastPresence() (last Presence, count int) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if len(g.presences) == 0 {
		return Presence{}, 0
	}
	return g.presences[len(g.presences)-1], len(g.presences)
}

// demandReportCount returns the number of demand reports received.
func (g *fakeGroup) demandReportCount() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return len(g.demand)
}

// sendPresence sends a presence report. Errors are ignored, since the server may have closed the
// connection.
func (r *rawSubscriber) sendPresence(presence Presence) {
	_ = r.writer.WriteFrame(kindPresence, encodePresence(presence))
	_ = r.writer.Flush()
}

// A restarted proxy has reported that it is ready. A report of its previous process may still
// arrive late on the old connection. It must be ignored, or the proxy would no longer be listed for
// callers.
func TestLatePresenceOfAnEarlierProcessIsIgnored(t *testing.T) {
	group := newFakeGroup()
	_, address := startServer(t, group)
	subscribeAs := func(instance uint64) *rawSubscriber {
		raw := newRawSubscriber(t, address)
		raw.send(kindSubscribe, encodeSubscribe(subscribe{daemon: "proxy-a", instance: instance}))
		return raw
	}
	earlier := subscribeAs(1)
	earlier.sendPresence(Presence{Proxy: "proxy-a", Ready: true})
	eventually(t, "the first report", func() bool { _, count := group.lastPresence(); return count == 1 })
	subscribeAs(2).sendPresence(Presence{Proxy: "proxy-a", Ready: true})
	eventually(t, "the report of the later process", func() bool { _, count := group.lastPresence(); return count == 2 })

	earlier.sendPresence(Presence{Proxy: "proxy-a", Stopping: true})
	earlier.send(kindDemand, encodeDemand(DemandReport{}))
	eventually(t, "the message after the late report", func() bool { return group.demandReportCount() == 1 })
	last, _ := group.lastPresence()
	must.False(t, last.Stopping)
}

// When a later subscription of a daemon has ended, presence reports on an earlier one that is still
// open count again. If they were dropped, the proxy would not be listed for callers as long as the
// earlier subscription stays open.
func TestPresenceCountsAgainAfterTheLaterSubscriptionEnds(t *testing.T) {
	group := newFakeGroup()
	server, address := startServer(t, group)
	subscribeAs := func() *rawSubscriber {
		raw := newRawSubscriber(t, address)
		raw.send(kindSubscribe, encodeSubscribe(subscribe{daemon: "proxy-a", instance: 1}))
		return raw
	}
	earlier := subscribeAs()
	earlier.sendPresence(Presence{Proxy: "proxy-a"})
	eventually(t, "the first report", func() bool { _, count := group.lastPresence(); return count == 1 })
	later := subscribeAs()
	later.sendPresence(Presence{Proxy: "proxy-a"})
	eventually(t, "the report on the later subscription", func() bool { _, count := group.lastPresence(); return count == 2 })
	must.NoError(t, later.conn.Close())
	eventually(t, "the end of the later subscription", func() bool { return server.Subscribers() == 1 })
	earlier.sendPresence(Presence{Proxy: "proxy-a", Ready: true})
	earlier.send(kindDemand, encodeDemand(DemandReport{}))
	eventually(t, "the message after the report", func() bool { return group.demandReportCount() == 1 })
	last, _ := group.lastPresence()
	must.True(t, last.Ready)
}

// A standby subscription does not count as a later subscription of the daemon and must not
// suppress presence reports on the regular one.
func TestStandbySubscriptionDoesNotSupersedePresence(t *testing.T) {
	group := newFakeGroup()
	group.put("tenant") // a member without a view redirects standby subscriptions
	_, address := startServer(t, group)
	regular, standby := newRawSubscriber(t, address), newRawSubscriber(t, address)
	regular.send(kindSubscribe, encodeSubscribe(subscribe{daemon: "proxy-a", instance: 1}))
	standby.send(kindSubscribe, encodeSubscribe(subscribe{daemon: "proxy-a", instance: 1, standby: true}))
	standby.send(kindDemand, encodeDemand(DemandReport{}))
	eventually(t, "the standby subscription to open", func() bool { return group.demandReportCount() == 1 })
	regular.sendPresence(Presence{Proxy: "proxy-a", Ready: true})
	regular.send(kindDemand, encodeDemand(DemandReport{}))
	eventually(t, "the message after the report", func() bool { return group.demandReportCount() == 2 })
	last, _ := group.lastPresence()
	must.True(t, last.Ready)
}
