package quota

import "time"

// spendingSlots is how finely a window's spending is kept.
const spendingSlots = 16

// spending is what was spent within the last window, by slots of it. The oldest slot counts
// whole, so that no window, wherever it is laid, holds more than what was allowed.
type spending struct {
	latest int64 // number of the slot in which something was spent last
	slots  [spendingSlots + 1]float64
}

// within returns what the window that ends now holds.
func (s *spending) within(now, window time.Duration) float64 {
	s.advance(now, window)
	sum := 0.0
	for _, spent := range s.slots {
		sum += spent
	}
	return sum
}

func (s *spending) add(now, window time.Duration, cost float64) {
	s.advance(now, window)
	s.slots[s.latest%int64(len(s.slots))] += cost
}

// advance empties the slots that the window has left behind.
func (s *spending) advance(now, window time.Duration) {
	current := int64(now / (window / spendingSlots))
	if current-s.latest > spendingSlots {
		s.slots = [spendingSlots + 1]float64{}
		s.latest = current
		return
	}
	for s.latest < current {
		s.latest++
		s.slots[s.latest%int64(len(s.slots))] = 0
	}
}
