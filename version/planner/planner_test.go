package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
)

var allRoles = []api.EngineRole{api.RolePrefill, api.RoleDecode, api.RoleMixed}

func testIntent(roles ...api.EngineRole) *api.Intent {
	return &api.Intent{
		Metadata: api.Metadata{Name: "i"},
		Spec:     api.IntentSpec{Model: "m", Version: "v1", Roles: roles},
	}
}

func servingEngine(name string, role api.EngineRole) Engine {
	return Engine{
		Name: name, Intent: "i", Phase: api.PhaseServing, SinceChange: -1,
		Assignment: api.Assignment{Model: "m", Version: "v1", Role: role},
	}
}

func idleEngine(name string) Engine {
	return Engine{Name: name, Intent: "i", Phase: api.PhaseIdle, SinceChange: -1}
}

func testEngines(prefill, decode, mixed int) []Engine {
	var engines []Engine
	for i := range prefill {
		engines = append(engines, servingEngine(fmt.Sprintf("p%d", i), api.RolePrefill))
	}
	for i := range decode {
		engines = append(engines, servingEngine(fmt.Sprintf("d%d", i), api.RoleDecode))
	}
	for i := range mixed {
		engines = append(engines, servingEngine(fmt.Sprintf("x%d", i), api.RoleMixed))
	}
	return engines
}

// testDemand returns a demand of the given prompt and output tokens per second over a
// window of ten seconds, with 20 output tokens per request.
func testDemand(prompt, output float64) []Demand {
	return []Demand{{
		Intent: "i", Window: 10 * time.Second,
		Requests: output / 2, PromptTokens: 10 * prompt, OutputTokens: 10 * output,
	}}
}

// decisionSummary returns "engine:role" for each decision.
func decisionSummary(decisions []Decision) []string {
	list := []string{}
	for _, decision := range decisions {
		list = append(list, decision.Engine+":"+string(decision.Assignment.Role))
	}
	return list
}

func TestPlannersRespectIntentsAndBudget(t *testing.T) {
	change := func(engine Engine, apply func(*Engine)) Engine {
		apply(&engine)
		return engine
	}
	pending := &api.Assignment{Model: "m", Version: "v1", Role: api.RoleMixed}
	old := func(e *Engine) { e.Assignment.Version = "v0" }
	cases := []struct {
		name    string
		intent  *api.Intent
		engines []Engine
		want    []string
	}{
		{"idle engines", testIntent(api.RoleMixed), []Engine{idleEngine("a"), idleEngine("b")}, []string{"a:mixed", "b:mixed"}},
		{"no roles", testIntent(), []Engine{idleEngine("a")}, []string{}},
		{"one role", testIntent(api.RoleDecode), []Engine{idleEngine("a")}, []string{"a:decode"}},
		{
			"unmatched engine", testIntent(api.RoleMixed),
			[]Engine{change(idleEngine("a"), func(e *Engine) { e.Intent = "" })}, []string{},
		},
		{
			"open order", testIntent(api.RoleMixed),
			[]Engine{change(idleEngine("a"), func(e *Engine) { e.Pending = pending })}, []string{},
		},
		{
			"drained engine", testIntent(api.RoleMixed),
			[]Engine{change(idleEngine("a"), func(e *Engine) { e.Drain = true })}, []string{},
		},
		{
			"unreachable engine", testIntent(api.RoleMixed),
			[]Engine{change(servingEngine("a", api.RoleMixed), func(e *Engine) { e.Phase = api.PhaseUnknown; e.Assignment.Version = "v0" })}, []string{},
		},
		{
			"roll-out respects the budget, least work first", testIntent(api.RoleMixed),
			[]Engine{
				change(servingEngine("a", api.RoleMixed), func(e *Engine) { old(e); e.Running = 3 }),
				change(servingEngine("b", api.RoleMixed), old),
				change(servingEngine("c", api.RoleMixed), old),
			}, []string{"b:mixed"},
		},
		{
			"roll-out waits for the unavailable engine", testIntent(api.RoleMixed),
			[]Engine{
				change(servingEngine("a", api.RoleMixed), func(e *Engine) { e.Phase = api.PhaseDraining; e.Pending = pending }),
				change(servingEngine("b", api.RoleMixed), old),
			}, []string{},
		},
		{
			"idle engine is assigned during a roll-out", testIntent(api.RoleMixed),
			[]Engine{change(servingEngine("a", api.RoleMixed), old), idleEngine("b")}, []string{"b:mixed", "a:mixed"},
		},
		{
			"role no longer permitted", testIntent(api.RoleMixed),
			[]Engine{servingEngine("a", api.RoleDecode), servingEngine("b", api.RoleMixed)}, []string{"a:mixed"},
		},
	}
	planners := map[string]func() Planner{
		"static":    func() Planner { return NewStatic(StaticConfig{PrefillShare: 0.5}) },
		"threshold": func() Planner { return NewThreshold(ThresholdConfig{}) },
		"adaptive":  func() Planner { return New(Config{}) },
	}
	for _, c := range cases {
		for name, newPlanner := range planners {
			t.Run(c.name+"/"+name, func(t *testing.T) {
				input := Input{Intents: []*api.Intent{c.intent}, Engines: c.engines, Demand: testDemand(20000, 2000)}
				decisions := newPlanner().Plan(input)
				must.Eq(t, c.want, decisionSummary(decisions))
				for _, decision := range decisions {
					must.Eq(t, "m", decision.Assignment.Model)
					must.Eq(t, "v1", decision.Assignment.Version)
					must.NotEq(t, "", decision.Reason)
				}
			})
		}
	}
}

func TestStaticSplit(t *testing.T) {
	engines := make([]Engine, 9)
	for i := range engines {
		engines[i] = idleEngine(fmt.Sprintf("e%d", i))
	}
	input := Input{Intents: []*api.Intent{testIntent(allRoles...)}, Engines: engines}
	counts := map[api.EngineRole]int{}
	for _, decision := range NewStatic(StaticConfig{PrefillShare: 0.33}).Plan(input) {
		counts[decision.Assignment.Role]++
	}
	must.Eq(t, map[api.EngineRole]int{api.RolePrefill: 3, api.RoleDecode: 6}, counts)

	input.Engines = testEngines(1, 8, 0)
	must.SliceEmpty(t, NewStatic(StaticConfig{PrefillShare: 0.33}).Plan(input))
}

func TestThreshold(t *testing.T) {
	planner := NewThreshold(ThresholdConfig{})
	at := func(now time.Duration, prompt, output float64, engines []Engine) []string {
		return decisionSummary(planner.Plan(Input{
			Now: now, Intents: []*api.Intent{testIntent(allRoles...)}, Engines: engines, Demand: testDemand(prompt, output),
		}))
	}
	// The first demand calls for 5 prefill engines of 9.
	must.Eq(t, []string{}, at(0, 28000, 3460, testEngines(5, 4, 0)))
	must.Eq(t, []string{"d0:prefill"}, at(time.Second, 60000, 3460, testEngines(5, 4, 0)))
	must.Eq(t, []string{}, at(2*time.Second, 60000, 3460, testEngines(6, 3, 0)))
	must.Eq(t, []string{"p0:decode"}, at(time.Minute, 5000, 6000, testEngines(6, 3, 0)))
}

// runAdaptive plans once a second for engines that execute each order immediately, and
// returns the split at the end and the number of changes.
func runAdaptive(config Config, intent *api.Intent, engines []Engine, seconds int, offered func(second int) []Demand) (Split, int) {
	planner := New(config)
	changes := 0
	for second := range seconds {
		decisions := planner.Plan(Input{
			Now: time.Duration(second) * time.Second, Intents: []*api.Intent{intent}, Engines: engines, Demand: offered(second),
		})
		for _, decision := range decisions {
			for i := range engines {
				if engines[i].Name == decision.Engine {
					engines[i].Assignment = decision.Assignment
					changes++
				}
			}
		}
	}
	g := group{intent: intent, engines: engines}
	return g.currentSplit(), changes
}

func TestAdaptive(t *testing.T) {
	dedicatedRoles := []api.EngineRole{api.RolePrefill, api.RoleDecode}
	steady := func(prompt, output float64) func(int) []Demand {
		return func(int) []Demand { return testDemand(prompt, output) }
	}
	alternating := func(period int) func(int) []Demand {
		return func(second int) []Demand {
			share := 0.0
			for ago := range 10 { // the mean over a window of ten seconds
				share += float64((second+10*period-ago)/period%2) / 10
			}
			return testDemand(20000+50000*share, 9500-6700*share)
		}
	}
	costly := testIntent(dedicatedRoles...)
	costly.Spec.ChangeCost = 1000
	cases := []struct {
		name       string
		config     Config
		intent     *api.Intent
		engines    []Engine
		seconds    int
		demand     func(int) []Demand
		want       Split
		maxChanges int
	}{
		{"balanced", Config{}, testIntent(dedicatedRoles...), testEngines(4, 5, 0), 120, steady(30000, 4000), Split{4, 5, 0}, 0},
		{"no demand", Config{}, testIntent(dedicatedRoles...), testEngines(4, 5, 0), 120, steady(0, 0), Split{4, 5, 0}, 0},
		{"prompt-heavy", Config{}, testIntent(dedicatedRoles...), testEngines(3, 6, 0), 300, steady(70000, 2800), Split{7, 2, 0}, 4},
		{"output-heavy", Config{}, testIntent(dedicatedRoles...), testEngines(6, 3, 0), 300, steady(15000, 11000), Split{2, 7, 0}, 4},
		{"prompt-heavy at a high change cost", Config{}, costly, testEngines(3, 6, 0), 300, steady(70000, 2800), Split{3, 6, 0}, 0},
		{"demand varies too fast for a change to pay off", Config{}, testIntent(dedicatedRoles...), testEngines(5, 4, 0), 400, alternating(5), Split{5, 4, 0}, 0},
		{
			"inefficient mixed engines", Config{Rates: Rates{MixedEfficiency: 0.6}},
			testIntent(allRoles...), testEngines(0, 0, 9), 600, steady(45000, 6000), Split{4, 3, 2}, 9,
		},
		{"efficient mixed engines", Config{}, testIntent(allRoles...), testEngines(0, 0, 9), 300, alternating(60), Split{0, 0, 9}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, changes := runAdaptive(c.config, c.intent, c.engines, c.seconds, c.demand)
			must.Eq(t, c.want, got)
			must.LessEq(t, c.maxChanges, changes)
		})
	}
}

// A change whose gain is only slightly above its cost is not made at the default GainRatio
// (0 below), since the gain is an estimate.
func TestAdaptiveGainRatio(t *testing.T) {
	intent := testIntent(api.RolePrefill, api.RoleDecode)
	intent.Spec.ChangeCost = 60
	for ratio, want := range map[float64]Split{1: {6, 3, 0}, 0: {5, 4, 0}} {
		got, _ := runAdaptive(Config{GainRatio: ratio}, intent, testEngines(4, 5, 0), 60, func(int) []Demand { return testDemand(60000, 2800) })
		must.Eq(t, want, got, must.Sprint(ratio))
	}
}

// With a forecast that follows every change of the demand, engines would move back and
// forth. The cool-down bounds how often.
func TestAdaptiveBoundsFlapping(t *testing.T) {
	offered := func(second int) []Demand {
		if second/30%2 == 0 {
			return testDemand(70000, 2800)
		}
		return testDemand(20000, 9500)
	}
	reactive := Config{
		Forecast: ForecastConfig{LevelTime: time.Second}, CoolDown: time.Second,
		CacheWarmupTime: time.Millisecond, DrainTime: time.Millisecond, ChangeTime: time.Millisecond,
	}
	_, changes := runAdaptive(reactive, testIntent(api.RolePrefill, api.RoleDecode), testEngines(4, 5, 0), 1800, offered)
	must.Between(t, 1, changes, 60) // the demand changes 60 times, each time by several engines
}

func TestAdaptiveFirstSplit(t *testing.T) {
	var engines []Engine
	for i := range 9 {
		engines = append(engines, idleEngine(fmt.Sprintf("e%d", i)))
	}
	g := group{intent: testIntent(api.RolePrefill, api.RoleDecode), engines: engines}
	target, _ := New(Config{}).(*policyPlanner).policy.target(&g)
	must.Eq(t, 9, target.Total())
	must.Positive(t, target.Prefill)
	must.Positive(t, target.Decode)
}

func TestServableWork(t *testing.T) {
	rates := Rates{MaxUtilization: 1, MixedEfficiency: 1}.withDefaults()
	load := work{requests: 100, uncachedPrompt: 4 * rates.PrefillTokensPerSecond, totalPrompt: 4 * rates.PrefillTokensPerSecond}
	load.output = 4 * rates.decodeRate(work{requests: load.requests, totalPrompt: load.totalPrompt, output: 4000})
	total := rates.requiredEngines(load)
	cases := []struct {
		name  string
		split Split
		want  float64
	}{
		{"all mixed", Split{Mixed: 9}, total},
		{"too few mixed", Split{Mixed: 4}, 4},
		{"prefill only", Split{Prefill: 9}, 0},
		{"balanced prefill and decode", Split{Prefill: 5, Decode: 5}, total},
		{"prefill with decode on mixed", Split{Prefill: 4, Mixed: 5}, total},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.InDelta(t, c.want, rates.servableWork(c.split, load), 0.35)
		})
	}
}

func TestForecastFollowsTrend(t *testing.T) {
	f := forecast{config: Config{}.withDefaults().Forecast}
	for second := range 60 {
		f.update(time.Duration(second)*time.Second, work{uncachedPrompt: 1000 + 100*float64(second)})
	}
	ahead := f.predict(10 * time.Second).uncachedPrompt
	must.Between(t, 6900, ahead, 9000)
	must.Zero(t, f.predict(time.Minute).output)
}
