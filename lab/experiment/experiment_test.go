package experiment

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
)

func TestReportKeys(t *testing.T) {
	report, err := Run(Config{Deployment: trace.DeploymentCaroni, Seed: 1, Duration: 5 * time.Second, Policies: []string{PolicyMixed}})
	must.NoError(t, err)
	encoded, err := json.Marshal(report)
	must.NoError(t, err)
	var decoded struct {
		Deployment string
		Seed       uint64
		Runs       []map[string]any
	}
	must.NoError(t, json.Unmarshal(encoded, &decoded))
	must.Eq(t, trace.DeploymentCaroni, decoded.Deployment)
	must.Len(t, 1, decoded.Runs)
	keys := []string{
		"policy", "offered", "completed_in_deadline", "goodput", "role_changes", "cut_short",
		"ran_twice", "wrong_answer", "refused_not_run", "frame_p99_ms",
	}
	must.MapContainsKeys(t, decoded.Runs[0], keys)
	must.MapLen(t, len(keys), decoded.Runs[0])
}

func TestRunErrors(t *testing.T) {
	_, err := Run(Config{Deployment: "other"})
	must.ErrorIs(t, err, trace.ErrUnknownDeployment)
	_, err = Run(Config{Deployment: trace.DeploymentCaroni, Duration: time.Second, Policies: []string{"other"}})
	must.ErrorIs(t, err, ErrUnknownPolicy)
}

func TestHindsightBoundsTheOthers(t *testing.T) {
	config := Config{
		Deployment: trace.DeploymentRadarvlak, Seed: FirstTuningSeed, Duration: 8 * time.Second,
		Roles: []api.EngineRole{api.RolePrefill, api.RoleDecode},
	}
	report, err := Run(config)
	must.NoError(t, err)
	bound, found := report.run(PolicyHindsight)
	must.True(t, found)
	must.NotEq(t, "", bound.Plan)
	for _, run := range report.Runs {
		must.LessEq(t, bound.Goodput, run.Goodput)
		must.LessEq(t, report.OfferedTokens, run.Goodput)
	}
}

// The reported seeds hold every course in equal parts, and losses of an engine
// in courses with and without a front.
func TestReportedSeedsCoverTheCourses(t *testing.T) {
	courses := map[trace.Scenario]int{}
	losses := map[trace.Scenario]int{}
	for _, seed := range ReportSeeds() {
		must.Less(t, FirstTuningSeed, seed)
		courses[trace.ScenarioOf(seed)]++
		for _, loss := range lossesOf(seed, DefaultDuration) {
			losses[trace.ScenarioOf(seed)]++
			must.Less(t, DefaultDuration, loss.At+loss.Back)
		}
	}
	must.Eq(t, map[trace.Scenario]int{
		trace.ScenarioQuiet: 5, trace.ScenarioFront: 5, trace.ScenarioSwings: 5, trace.ScenarioDouble: 5,
	}, courses)
	must.Eq(t, map[trace.Scenario]int{
		trace.ScenarioQuiet: 1, trace.ScenarioFront: 1, trace.ScenarioSwings: 1, trace.ScenarioDouble: 1,
	}, losses)
}

func TestCheapestPath(t *testing.T) {
	values := [][]float64{{5, 5, 1, 5}, {1, 1, 4, 1}}
	cases := []struct {
		name  string
		price float64
		want  []int
	}{
		{"cheap changes", 1, []int{0, 0, 1, 0}},
		{"dear changes", 2, []int{0, 0, 0, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cost := func(from, to int) float64 {
				if from == to {
					return 0
				}
				return c.price
			}
			must.Eq(t, c.want, cheapestPath(values, cost))
		})
	}
}

func TestSteps(t *testing.T) {
	a, b := planner.Split{Mixed: 9}, planner.Split{Prefill: 4, Decode: 5}
	constants := []plan{{steps: []planner.ScheduleStep{{Split: a}}}, {steps: []planner.ScheduleStep{{Split: b}}}}
	steps := stepsOf([]int{0, 0, 1}, constants)
	must.Eq(t, []planner.ScheduleStep{{Split: a}, {From: 2 * time.Minute, Split: b}}, steps)
	must.Eq(t, []planner.ScheduleStep{{Split: a}, {From: 110 * time.Second, Split: b}}, earlier(steps, 10*time.Second))
}

func TestWriteMarkdown(t *testing.T) {
	var page strings.Builder
	reports := []*Report{
		{Deployment: "d", Seed: 4, Runs: []PolicyRun{{Policy: "p", Goodput: 50}, {Policy: PolicyHindsight, Goodput: 100}}},
		{Deployment: "d", Seed: 5, Runs: []PolicyRun{{Policy: "p", Goodput: 90}, {Policy: PolicyHindsight, Goodput: 100, Plan: "all mixed"}}},
	}
	must.NoError(t, WriteMarkdown(&page, reports))
	for _, wanted := range []string{"## d, seeds 4 to 5", "| p | 70 | 0.7000 | 0.5000 | 4 |", "### d, seed 5", "| all mixed |"} {
		must.StrContains(t, page.String(), wanted)
	}
}

func TestSummarize(t *testing.T) {
	reports := []*Report{
		{Seed: 1, OfferedTokens: 200, Runs: []PolicyRun{{Policy: "p", Goodput: 90, RoleChanges: 2}, {Policy: PolicyHindsight, Goodput: 100}}},
		{Seed: 2, OfferedTokens: 100, Runs: []PolicyRun{
			{Policy: "p", Goodput: 50, RoleChanges: 4, CutShort: 1}, {Policy: PolicyHindsight, Goodput: 100, Plan: "as p"},
		}},
	}
	summaries := Summarize(reports)
	must.Len(t, 2, summaries)
	must.Eq(t, PolicySummary{
		Policy: "p", Goodput: 70, RoleChanges: 3, OfHindsight: 0.7, Worst: 0.5, WorstSeed: 2, Violations: 1,
		OfOffered: 0.475, SetBound: 1,
	}, summaries[0])
}
