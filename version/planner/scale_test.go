package planner

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
)

// largeFleetSize is the number of engines of the large test intent.
const largeFleetSize = 1000

// testDemandForShare returns the demand that occupies prefillShare of the engine time with
// prompts, at the given utilization of all engines.
func testDemandForShare(prefillShare, utilization float64) []Demand {
	rates := Rates{}.withDefaults()
	const answerTokens, promptTokens = 250, 1500
	perEngine := rates.decodeRate(work{requests: 1, totalPrompt: promptTokens, output: answerTokens})
	output := (1 - prefillShare) * utilization * largeFleetSize * perEngine
	uncachedPrompt := prefillShare * utilization * largeFleetSize * rates.PrefillTokensPerSecond
	const window = 10
	return []Demand{{
		Intent: "i", Window: window * time.Second, Requests: window * output / answerTokens,
		PromptTokens:       window * output / answerTokens * promptTokens,
		CachedPromptTokens: window * max(output/answerTokens*promptTokens-uncachedPrompt, 0),
		OutputTokens:       window * output,
	}}
}

// The prefill share of the demand rises from 1/4 to 3/8. The split follows, and the
// disruption budget and the cool-down limit the number of changes.
func TestAdaptiveFollowsDemandWithThousandEngines(t *testing.T) {
	const seconds, ramp = 2000, 1500
	intent := testIntent(api.RolePrefill, api.RoleDecode)
	offered := func(second int) []Demand {
		return testDemandForShare(0.25+0.125*min(float64(second)/ramp, 1), 0.85)
	}
	split, changes := runAdaptive(Config{}, intent, testEngines(largeFleetSize/4, largeFleetSize*3/4, 0), seconds, offered)
	must.Between(t, 340, split.Prefill, 400)
	must.LessEq(t, 200, changes)
}

// Candidates exist for every total, whatever the grid's step.
func TestCandidateSplits(t *testing.T) {
	only := func(roles ...api.EngineRole) func(api.EngineRole) bool {
		return func(role api.EngineRole) bool { return slices.Contains(roles, role) }
	}
	for _, total := range []int{2, 9, 16, 17, 33, 100, 1000} {
		current := Split{Prefill: total / 2, Decode: total - total/2}
		for _, allowed := range []func(api.EngineRole) bool{only(api.RolePrefill, api.RoleDecode), only(allRoles...)} {
			found := candidateSplits(current, allowed)
			must.SliceNotEmpty(t, found)
			must.LessEq(t, 400, len(found))
			for _, split := range found {
				must.Eq(t, total, split.Total())
				must.True(t, isPermitted(split, allowed))
			}
			if total > 2 {
				must.SliceContains(t, found, current.with(api.RoleDecode, -1).with(api.RolePrefill, 1))
			}
		}
	}
}

// BenchmarkPlanThousandEngines measures one plan for 1000 engines.
func BenchmarkPlanThousandEngines(b *testing.B) {
	intent := testIntent(allRoles...)
	engines := testEngines(largeFleetSize/4, largeFleetSize/2, largeFleetSize/4)
	offered := testDemandForShare(0.3, 0.85)
	planner := New(Config{})
	now := time.Duration(0)
	for b.Loop() {
		now += time.Second
		planner.Plan(Input{Now: now, Intents: []*api.Intent{intent}, Engines: engines, Demand: offered})
	}
}
