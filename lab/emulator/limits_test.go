package emulator

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/shoenig/test/must"
)

// playLimit runs a trace in which one engine states a limit, and returns the most requests that it got in
// any window of the rule, and all of them, from a moment after the limit began.
func playLimit(t *testing.T, perSecond float64) (result *Result, worst, total int) {
	t.Helper()
	const begin, settled, end = 5 * time.Second, 8 * time.Second, 35 * time.Second
	config := Config{Seed: 1, Limits: []Limit{{At: begin, Until: end, Engine: 1, PerSecond: perSecond}}}
	result, limits := runWithLimits(t, config)
	var arrivals []time.Duration
	for _, at := range limits.arrivals[limits.run.hosts[1]] {
		if at >= settled && at < end {
			arrivals = append(arrivals, at)
		}
	}
	first := 0
	for i, at := range arrivals {
		for at-arrivals[first] > ratelimit.DefaultRule.Window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return result, worst, len(arrivals)
}

// An engine that states a limit gets no more, uses what it has where there is demand, and the others serve
// what it does not take.
func TestLimitedEngineGetsItsRate(t *testing.T) {
	without := runTest(t, Config{Seed: 1})
	for _, perSecond := range []float64{0.3, 1.4} {
		result, worst, total := playLimit(t, perSecond)
		checkInvariants(t, result)
		t.Logf("limit %v: %d requests in the worst window, %d in 27 s; %d of %d completed, %d without a limit", perSecond, worst, total, result.Completed, result.Offered, without.Completed)
		must.LessEq(t, 1.5*perSecond*4+5, float64(worst))
		must.GreaterEq(t, 0.5*perSecond*27-1, float64(total))
		must.GreaterEq(t, 0.95*float64(without.Completed), float64(result.Completed))
	}
}
