package feed

import (
	"slices"
	"sync"
)

// latestSubscriptions tracks which of a daemon's open subscriptions is the latest. An earlier
// subscription belongs to an instance that has exited, or is a connection that its instance has
// abandoned; anything that still arrives on it is outdated. Standby subscriptions are not tracked.
type latestSubscriptions struct {
	lock sync.Mutex
	// byDaemon holds the numbers of the open subscriptions, in the order in which their
	// connections were accepted. No list is empty.
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
	remaining := slices.DeleteFunc(l.byDaemon[daemon], func(open uint64) bool { return open == number })
	if len(remaining) == 0 {
		delete(l.byDaemon, daemon)
		return
	}
	l.byDaemon[daemon] = remaining
}

// runIfLatest calls act if the subscription is the latest of its daemon. No later one is added
// until act has returned; act must not block. runIfLatest panics if the daemon has no open
// subscription.
func (l *latestSubscriptions) runIfLatest(daemon string, number uint64, act func()) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if number == slices.Max(l.byDaemon[daemon]) {
		act()
	}
}
