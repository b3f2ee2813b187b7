package feed

import "sync"

// latestSubscriptions knows which of a daemon's open subscriptions is the latest. An
// earlier one is that of a process that has ended, or a connection that its process has
// given up: what it still brings was said before.
type latestSubscriptions struct {
	lock     sync.Mutex
	byDaemon map[string]openSubscriptions
}

// openSubscriptions are those of one daemon.
type openSubscriptions struct {
	count  int
	latest uint64 // by the order in which connections were accepted
}

func newLatestSubscriptions() *latestSubscriptions {
	return &latestSubscriptions{byDaemon: map[string]openSubscriptions{}}
}

func (l *latestSubscriptions) add(daemon string, number uint64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	known := l.byDaemon[daemon]
	known.count++
	known.latest = max(known.latest, number)
	l.byDaemon[daemon] = known
}

func (l *latestSubscriptions) remove(daemon string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	known := l.byDaemon[daemon]
	if known.count--; known.count <= 0 {
		delete(l.byDaemon, daemon)
		return
	}
	l.byDaemon[daemon] = known
}

// ifLatest acts if the subscription is the daemon's latest. No later one is added until
// act, which must not block, has returned.
func (l *latestSubscriptions) ifLatest(daemon string, number uint64, act func()) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if number >= l.byDaemon[daemon].latest {
		act()
	}
}
