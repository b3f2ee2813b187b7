package control

import (
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/version/state"
)

// groupClock assigns timestamps to commands. Retention is computed from them, so a wall clock that
// jumps forward must not expire claims: within a term the clock advances with the monotonic clock,
// and a new leader continues from the highest committed timestamp. Only a new group starts from the
// wall clock. The clock stands still while no leader commits anything, which can lengthen retention
// but never shorten it.
type groupClock struct {
	lock  sync.Mutex
	term  uint64
	base  int64 // milliseconds
	since time.Time
}

// now returns the timestamp, in milliseconds, of a command proposed by the leader of the term.
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
