package quota

import "time"

// spendingSlots is the number of slots in a window.
const spendingSlots = 16

// spending holds the amounts spent within the last window, by slots. The oldest slot counts in
// full, so that no window, wherever it starts, exceeds the allowance.
type spending struct {
	latest int64 // number of the latest slot
	slots  [spendingSlots + 1]float64
}

// within returns the amount spent in the window that ends now.
func (s *spending) within(now, window time.Duration) float64 {
	s.advance(now, window)
	sum := 0.0
	for _, spent := range s.slots {
		sum += spent
	}
	return sum
}

// add records an amount spent now.
func (s *spending) add(now, window time.Duration, cost float64) {
	s.advance(now, window)
	s.slots[s.latest%int64(len(s.slots))] += cost
}

// advance clears the slots that are no longer in the window, which must be at least spendingSlots
// nanoseconds long.
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
