package router

import "math/rand/v2"

// BestPicker picks the endpoint with the lowest cost. Proxies that share a stale load report
// would all pick the same one; see TwoChoicePicker.
type BestPicker struct{}

// Name implements Picker.
func (BestPicker) Name() string { return "best" }

// Pick implements Picker.
func (BestPicker) Pick(scored []Scored, _ *rand.Rand) Scored { return scored[0] }

// TwoChoicePicker draws two of the endpoints whose cost is within the slack of the lowest cost,
// at random, and picks the cheaper one. So proxies that share a stale load report spread over
// several endpoints.
type TwoChoicePicker struct {
	// An endpoint may be drawn if its cost exceeds the lowest one by at most Slack times the
	// lowest cost plus SlackSeconds.
	Slack float64
	// SlackSeconds is the constant part of the slack; see Slack.
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
