package router

import "math/rand/v2"

// BestPicker picks the endpoint with the lowest cost. Proxies that share a stale load report
// would all pick the same one; see TwoChoicePicker.
type BestPicker struct{}

// Name implements Picker.
func (BestPicker) Name() string { return "best" }

// Pick implements Picker.
func (BestPicker) Pick(scored []Scored, _ *rand.Rand) Scored { return scored[0] }

// TwoChoicePicker draws two of the lowest-cost endpoints at random and takes the cheaper, so
// that proxies that share a stale load report spread over several endpoints. Endpoints that
// cost more than the slack allows are never drawn.
type TwoChoicePicker struct {
	// Slack is the share of the lowest cost by which an endpoint may exceed it and still be
	// drawn.
	Slack float64
	// SlackSeconds is added to this allowance.
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
