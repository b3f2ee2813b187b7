package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
)

func TestSchedule(t *testing.T) {
	p := NewSchedule([]ScheduleStep{{Split: Split{Mixed: 3}}, {From: time.Minute, Split: Split{Prefill: 1, Decode: 1, Mixed: 1}}})
	input := Input{Intents: []*api.Intent{testIntent(allRoles...)}, Engines: testEngines(0, 0, 3)}
	must.SliceEmpty(t, p.Plan(input))
	input.Now = time.Minute
	must.Eq(t, []string{"x0:prefill"}, decisionSummary(p.Plan(input))) // one at a time
	input.Engines = testEngines(1, 0, 2)
	must.Eq(t, []string{"x0:decode"}, decisionSummary(p.Plan(input)))
	input.Engines = testEngines(1, 1, 1)
	must.SliceEmpty(t, p.Plan(input))
}

func TestResize(t *testing.T) {
	cases := []struct {
		name  string
		split Split
		total int
		want  Split
	}{
		{"same", Split{2, 3, 4}, 9, Split{2, 3, 4}},
		{"one lost", Split{2, 5, 2}, 8, Split{2, 4, 2}},
		{"one more", Split{2, 3, 4}, 10, Split{2, 3, 5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, resize(c.split, c.total)) })
	}
}
