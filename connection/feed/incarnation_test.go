package feed

import (
	"testing"

	"github.com/shoenig/test/must"
)

// told returns what proxies last said of themselves, and how often they did.
func (g *fakeGroup) told() (last Presence, count int) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if len(g.presences) == 0 {
		return Presence{}, 0
	}
	return g.presences[len(g.presences)-1], len(g.presences)
}

// say sends a proxy's word; the server may have ended the subscription.
func (r *rawSubscriber) say(presence Presence) {
	_ = r.writer.WriteFrame(kindPresence, encodePresence(presence))
	_ = r.writer.Flush()
}

// A proxy that was stopped and started again has said that it is ready. What its earlier
// process said before it ended comes late, over its own connection, and is not the proxy's
// word any more: it would take the proxy off the directory.
func TestLateWordOfAnEarlierProcessSaysNothingOfItsProxy(t *testing.T) {
	group := newFakeGroup()
	server, address := startServer(t, group)
	subscribeAs := func(instance uint64) *rawSubscriber {
		raw := newRawSubscriber(t, address)
		raw.send(kindSubscribe, encodeSubscribe(subscribe{daemon: "proxy-a", instance: instance}))
		return raw
	}
	earlier := subscribeAs(1)
	earlier.say(Presence{Proxy: "proxy-a", Ready: true})
	eventually(t, "the first word", func() bool { _, count := group.told(); return count == 1 })
	subscribeAs(2).say(Presence{Proxy: "proxy-a", Ready: true})
	eventually(t, "the word of the later process", func() bool { _, count := group.told(); return count == 2 })

	earlier.say(Presence{Proxy: "proxy-a", Stopping: true})
	eventually(t, "the late word is taken in, or its connection is at its end", func() bool {
		_, count := group.told()
		return count == 3 || server.Subscribers() == 1
	})
	last, _ := group.told()
	must.False(t, last.Stopping)
}
