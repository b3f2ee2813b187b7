package control

import (
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/version/state"
)

// groupClock gives commands their time. Retention counts by it, so a wall clock
// that is set forward must not make claims be forgotten: within a leadership it
// advances with the monotonic clock, and a new leader continues from the highest
// time that was committed. Only a new group starts from the wall clock. The time
// in which no leader committed anything is not counted, which lengthens
// retention and never shortens it.
type groupClock struct {
	lock  sync.Mutex
	term  uint64
	base  int64 // milliseconds
	since time.Time
}

// now returns the time in milliseconds for a command of the leader of term.
func (c *groupClock) now(term uint64, machine *machine, wall time.Time) int64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.term != term {
		c.term, c.since = term, wall
		c.base = committedClock(machine)
		if c.base == 0 {
			c.base = wall.UnixMilli()
		}
	}
	return c.base + wall.Sub(c.since).Milliseconds()
}

func committedClock(machine *machine) int64 {
	var committed int64
	machine.read(func(current *state.Machine) { committed = current.Clock() })
	return committed
}
