package placement

import (
	"math"
	"time"
)

// recentCount counts events with exponential decay: after its time constant, an event counts
// 1/e, about a third.
type recentCount struct {
	timeConstant time.Duration
	sum          float64
	at           time.Duration // time of the last event, for which sum is valid
}

// add counts one event.
func (c *recentCount) add(now time.Duration) { c.addWeight(now, 1) }

// addWeight adds an event with the given weight.
func (c *recentCount) addWeight(now time.Duration, weight float64) {
	c.sum = c.value(now) + weight
	c.at = max(c.at, now)
}

// value returns the decayed weight of all events.
func (c *recentCount) value(now time.Duration) float64 {
	return c.sum * math.Exp(-float64(max(now-c.at, 0))/float64(c.timeConstant))
}

// recentShare is the share of hits among recent events. Every hit is also counted as an event.
type recentShare struct{ events, hits recentCount }

func newRecentShare(timeConstant time.Duration) recentShare {
	return recentShare{events: recentCount{timeConstant: timeConstant}, hits: recentCount{timeConstant: timeConstant}}
}

// value returns the share of hits; 0 without events.
func (s *recentShare) value(now time.Duration) float64 {
	events := s.events.value(now)
	if events == 0 {
		return 0
	}
	return s.hits.value(now) / events
}
