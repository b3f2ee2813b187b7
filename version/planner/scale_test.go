package planner

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
)

// manyEngines is the size of a target's intent.
const manyEngines = 1000

// demandFor is the work that keeps a share of the engines reading prompts and
// all of them at a load.
func demandFor(prefillShare, load float64) []Demand {
	rates := Rates{}.withDefaults()
	const answer, prompt = 250, 1500
	perEngine := rates.decodeRate(work{requests: 1, read: prompt, output: answer})
	output := (1 - prefillShare) * load * manyEngines * perEngine
	read := prefillShare * load * manyEngines * rates.PrefillTokensPerSecond
	const window = 10
	return []Demand{{
		Intent: "i", Window: window * time.Second, Requests: window * output / answer,
		PromptTokens:       window * output / answer * prompt,
		CachedPromptTokens: window * max(output/answer*prompt-read, 0),
		OutputTokens:       window * output,
	}}
}

// The share of engines that read prompts goes from a quarter to three eighths:
// the split follows, and the disruption budget and the cool-down bound how fast.
func TestAdaptiveFollowsAtAThousandEngines(t *testing.T) {
	const seconds, ramp = 2000, 1500
	intent := testIntent(api.RolePrefill, api.RoleDecode)
	offered := func(second int) []Demand {
		return demandFor(0.25+0.125*min(float64(second)/ramp, 1), 0.85)
	}
	split, changes := adaptiveRun(Config{}, intent, fleet(manyEngines/4, manyEngines*3/4, 0), seconds, offered)
	must.Between(t, 340, split.Prefill, 400)
	must.LessEq(t, 200, changes)
}

// Splits are found for every total, whatever the grid's step.
func TestCandidates(t *testing.T) {
	only := func(roles ...api.EngineRole) func(api.EngineRole) bool {
		return func(role api.EngineRole) bool { return slices.Contains(roles, role) }
	}
	for _, total := range []int{2, 9, 16, 17, 33, 100, 1000} {
		current := Split{Prefill: total / 2, Decode: total - total/2}
		for _, allowed := range []func(api.EngineRole) bool{only(api.RolePrefill, api.RoleDecode), only(allRoles...)} {
			found := candidates(current, allowed)
			must.SliceNotEmpty(t, found)
			must.LessEq(t, 400, len(found))
			for _, split := range found {
				must.Eq(t, total, split.Total())
				must.True(t, permitted(split, allowed))
			}
			if total > 2 {
				must.SliceContains(t, found, current.with(api.RoleDecode, -1).with(api.RolePrefill, 1))
			}
		}
	}
}

// BenchmarkPlanThousandEngines is one round of the planner.
func BenchmarkPlanThousandEngines(b *testing.B) {
	intent := testIntent(allRoles...)
	engines := fleet(manyEngines/4, manyEngines/2, manyEngines/4)
	offered := demandFor(0.3, 0.85)
	planner := New(Config{})
	now := time.Duration(0)
	for b.Loop() {
		now += time.Second
		planner.Plan(Input{Now: now, Intents: []*api.Intent{intent}, Engines: engines, Demand: offered})
	}
}
