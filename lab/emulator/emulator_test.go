package emulator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
)

// restless gives a random engine a random role at each plan: far more changes
// than any policy makes.
type restless struct {
	random *rand.Rand
}

func (p *restless) Plan(input planner.Input) []planner.Decision {
	roles := []api.EngineRole{api.RolePrefill, api.RoleDecode, api.RoleMixed}
	var decisions []planner.Decision
	for _, engine := range input.Engines {
		open := engine.Pending != nil || engine.Phase != api.PhaseServing && engine.Phase != api.PhaseIdle
		if open || input.Now > 0 && p.random.IntN(10) > 0 {
			continue
		}
		decisions = append(decisions, planner.Decision{Engine: engine.Name, Assignment: api.Assignment{
			Model: input.Intents[0].Spec.Model, Version: "v1", Role: roles[p.random.IntN(len(roles))],
		}})
	}
	return decisions
}

const testDuration = 40 * time.Second

func runTest(t *testing.T, config Config) *Result {
	t.Helper()
	result, _ := runWithLimits(t, config)
	return result
}

// runWithLimits also returns what engines stated and what they got.
func runWithLimits(t *testing.T, config Config) (*Result, *limits) {
	t.Helper()
	config.Duration = testDuration
	if config.Deployment == "" {
		config.Deployment = trace.DeploymentRadarvlak
	}
	config.Items = trace.Generate(config.Deployment, config.Seed, testDuration)
	r, err := simulate(config)
	must.NoError(t, err)
	return r.result, r.limits
}

func checkInvariants(t *testing.T, result *Result) {
	t.Helper()
	must.Positive(t, result.Offered)
	must.Eq(t, result.Offered, result.Completed+result.Late+result.Refused+result.Unknown)
	must.Zero(t, result.CutShort)
	must.Zero(t, result.RanTwice)
	must.Zero(t, result.WrongAnswer)
	must.Zero(t, result.RefusedButRan)
	offered, completed := 0, 0
	for _, class := range result.Classes {
		offered += class.Offered
		completed += class.Completed
	}
	must.Eq(t, result.Offered, offered)
	must.Eq(t, result.Completed, completed)
	useful := int64(0)
	for _, sample := range result.Samples {
		useful += sample.UsefulTokens
	}
	must.Eq(t, result.UsefulTokens, useful)
}

func TestInvariants(t *testing.T) {
	losses := []Loss{{At: 10 * time.Second, Engine: 2, Back: 5 * time.Second}, {At: 12 * time.Second, Engine: 3, Back: 5 * time.Second}}
	cases := []struct {
		name    string
		config  Config
		changes bool
		unknown bool
	}{
		{"calm", Config{Seed: 1}, false, false},
		{"caroni", Config{Seed: 1, Deployment: trace.DeploymentCaroni}, false, false},
		{"restless", Config{Seed: 2, Planner: &restless{rand.New(rand.NewPCG(1, 1))}}, true, false},
		{"loss", Config{Seed: 3, Losses: losses}, false, true},
		{"restless loss", Config{Seed: 3, Losses: losses, Planner: &restless{rand.New(rand.NewPCG(2, 2))}}, true, true},
		{"two engines", Config{Seed: 4, Engines: 2}, false, false},
		{"static split", Config{Seed: 4, Planner: planner.NewStatic(planner.StaticConfig{PrefillShare: 0.3})}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			result := runTest(t, c.config)
			checkInvariants(t, result)
			must.Eq(t, c.changes, result.RoleChanges > 0)
			if !c.unknown {
				must.Zero(t, result.Unknown)
			}
		})
	}
}

func TestOverloadRefusesSurely(t *testing.T) {
	result := runTest(t, Config{Seed: 1, Engines: 1})
	checkInvariants(t, result)
	must.Positive(t, result.Refused)
	must.Positive(t, result.Completed)
}

func TestRunIsDeterministic(t *testing.T) {
	run := func() *Result {
		return runTest(t, Config{Seed: 5, Losses: []Loss{{At: 5 * time.Second, Engine: 0, Back: time.Second}}})
	}
	must.Eq(t, run(), run())
}

// A role change waits for what the engine has admitted.
func TestScheduledChange(t *testing.T) {
	steps := []planner.ScheduleStep{
		{Split: planner.Split{Prefill: 3, Decode: 6}},
		{From: 10 * time.Second, Split: planner.Split{Prefill: 4, Decode: 5}},
	}
	result := runTest(t, Config{Seed: 1, Planner: planner.NewSchedule(steps)})
	checkInvariants(t, result)
	must.Eq(t, 1, result.RoleChanges)
	must.Eq(t, planner.Split{Prefill: 4, Decode: 5}, result.Samples[len(result.Samples)-1].Split)
}

// What a policy does while the last requests end is no part of the trace.
func TestChangesAfterTheTraceDoNotCount(t *testing.T) {
	steps := []planner.ScheduleStep{
		{Split: planner.Split{Prefill: 3, Decode: 6}},
		{From: testDuration + time.Second, Split: planner.Split{Prefill: 4, Decode: 5}},
	}
	result := runTest(t, Config{Seed: 1, Planner: planner.NewSchedule(steps)})
	checkInvariants(t, result)
	must.Zero(t, result.RoleChanges)
	must.SliceEmpty(t, result.Changes)
}

func TestRunErrors(t *testing.T) {
	_, err := Run(Config{Deployment: "other"})
	must.ErrorIs(t, err, trace.ErrUnknownDeployment)
	_, err = Run(Config{Deployment: trace.DeploymentCaroni})
	must.ErrorIs(t, err, ErrNoModelWork)
}

func TestScheduleOrder(t *testing.T) {
	var s schedule
	var got []int
	s.at(2, func() { got = append(got, 2); s.after(0, func() { got = append(got, 3) }) })
	s.at(1, func() { got = append(got, 1) })
	s.at(2, func() { got = append(got, 4) })
	s.runUntil(10)
	must.Eq(t, []int{1, 2, 4, 3}, got)
	must.Eq(t, 10*time.Nanosecond, s.now)
}
