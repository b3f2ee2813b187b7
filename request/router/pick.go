package router

import "math/rand/v2"

// BestPicker picks the endpoint of the lowest cost. Many proxies that look at
// the same stale report would all pick the same one; see TwoChoicePicker.
type BestPicker struct{}

// Name implements Picker.
func (BestPicker) Name() string { return "best" }

// Pick implements Picker.
func (BestPicker) Pick(scored []Scored, _ *rand.Rand) Scored { return scored[0] }

// TwoChoicePicker draws two of the best-scored endpoints at random and takes
// the cheaper. Proxies that share a stale report thus spread over several
// endpoints, and the worst-scored ones are never drawn.
type TwoChoicePicker struct {
	// Slack is by how much, as a share of the best cost, an endpoint may cost
	// more and still be drawn.
	Slack float64
	// SlackSeconds is added to that.
	SlackSeconds float64
}

// Name implements Picker.
func (TwoChoicePicker) Name() string { return "two-choice" }

// Pick implements Picker.
func (p TwoChoicePicker) Pick(scored []Scored, random *rand.Rand) Scored {
	limit := scored[0].Cost*(1+p.Slack) + p.SlackSeconds
	count := 1
	for count < len(scored) && scored[count].Cost <= limit {
		count++
	}
	if count == 1 {
		return scored[0]
	}
	first := random.IntN(count)
	second := random.IntN(count - 1)
	if second >= first {
		second++
	}
	return scored[min(first, second)]
}
