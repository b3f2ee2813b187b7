package feed

import (
	"slices"
	"sync"
)

// latestSubscriptions knows which of a daemon's open subscriptions is the latest. An
// earlier one is that of a process that has ended, or a connection that its process has
// given up: what it still brings was said before. Subscriptions that only stand by are
// none of these.
type latestSubscriptions struct {
	lock sync.Mutex
	// byDaemon holds the numbers of the open ones, by the order in which their
	// connections were accepted; no list is empty.
	byDaemon map[string][]uint64
}

func newLatestSubscriptions() *latestSubscriptions {
	return &latestSubscriptions{byDaemon: map[string][]uint64{}}
}

func (l *latestSubscriptions) add(daemon string, number uint64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.byDaemon[daemon] = append(l.byDaemon[daemon], number)
}

func (l *latestSubscriptions) remove(daemon string, number uint64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	left := slices.DeleteFunc(l.byDaemon[daemon], func(open uint64) bool { return open == number })
	if len(left) == 0 {
		delete(l.byDaemon, daemon)
		return
	}
	l.byDaemon[daemon] = left
}

// ifLatest acts if the open subscription is its daemon's latest. No later one is added
// until act, which must not block, has returned.
func (l *latestSubscriptions) runIfLatest(daemon string, number uint64, act func()) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if number == slices.Max(l.byDaemon[daemon]) {
		act()
	}
}
