package placement

import (
	"math"
	"time"
)

// recentCount counts events, of which the older ones count less: after its memory,
// an event counts a third.
type recentCount struct {
	memory time.Duration
	sum    float64
	at     time.Duration // up to when the sum has decayed
}

// add counts one event.
func (c *recentCount) add(now time.Duration) { c.addWeight(now, 1) }

// addWeight counts an event that is worth so many.
func (c *recentCount) addWeight(now time.Duration, weight float64) {
	c.sum = c.value(now) + weight
	c.at = max(c.at, now)
}

// value is the weight of all events so far.
func (c *recentCount) value(now time.Duration) float64 {
	return c.sum * math.Exp(-float64(max(now-c.at, 0))/float64(c.memory))
}

// recentShare is the share of events that were hits, among those of late.
type recentShare struct{ events, hits recentCount }

func newRecentShare(memory time.Duration) recentShare {
	return recentShare{events: recentCount{memory: memory}, hits: recentCount{memory: memory}}
}

// value is the share of hits, 0 where there were no events.
func (s *recentShare) value(now time.Duration) float64 {
	events := s.events.value(now)
	if events == 0 {
		return 0
	}
	return s.hits.value(now) / events
}
