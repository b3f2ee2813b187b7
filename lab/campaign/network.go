package campaign

import (
	"math/rand/v2"
	"time"
)

const (
	baseLatency   = 500 * time.Microsecond
	latencyJitter = time.Millisecond
)

// link is one direction between two processes.
type link struct{ from, to string }

// network carries messages between processes. Each direction of a link can be
// cut (messages are lost) or stalled (messages wait, as in a socket buffer,
// and arrive when the stall ends).
type network struct {
	world  *world
	random *rand.Rand
	cuts   map[link]int
	stalls map[link]time.Duration
	// last keeps the messages of one direction in order.
	last map[link]time.Duration
	lost int
	// duplicates is the share of datagrams that arrive twice.
	duplicates float64
}

func newNetwork(w *world, random *rand.Rand) *network {
	return &network{
		world:  w,
		random: random,
		cuts:   map[link]int{},
		stalls: map[link]time.Duration{},
		last:   map[link]time.Duration{},
	}
}

// send delivers run at the receiving process, in order with what was sent
// before in the same direction, unless the direction is cut when the message
// leaves or arrives, or the receiver has started anew meanwhile.
func (n *network) send(from, to *process, run func()) {
	direction := link{from.name, to.name}
	if n.cuts[direction] > 0 {
		n.lost++
		return
	}
	arrival := n.world.now + baseLatency + time.Duration(n.random.Int64N(int64(latencyJitter)))
	arrival = max(arrival, n.stalls[direction], n.last[direction])
	n.last[direction] = arrival
	generation := to.generation
	n.world.after(arrival-n.world.now, func() {
		if n.cuts[direction] > 0 {
			n.lost++
			return
		}
		to.deliver(generation, run)
	})
}

// datagram is send for protocols that bear duplicates and reordering.
func (n *network) datagram(from, to *process, run func()) {
	n.send(from, to, run)
	if n.random.Float64() < n.duplicates {
		delete(n.last, link{from.name, to.name})
		n.send(from, to, run)
	}
}

// cut loses the messages of one direction for the given time.
func (n *network) cut(from, to string, length time.Duration) {
	direction := link{from, to}
	n.cuts[direction]++
	n.world.after(length, func() { n.cuts[direction]-- })
}

// stall holds the messages of one direction back for the given time.
func (n *network) stall(from, to string, length time.Duration) {
	direction := link{from, to}
	n.stalls[direction] = max(n.stalls[direction], n.world.now+length)
}
