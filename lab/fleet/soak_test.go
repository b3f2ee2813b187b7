package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/lab/caller"
	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// A seed's schedule is the same each time, has every kind before any comes
// again, and stays within the duration.
func TestPlanOfFaults(t *testing.T) {
	const duration = 2 * time.Minute
	plan := planFaults(7, duration)
	must.Eq(t, plan, planFaults(7, duration))
	must.NotEq(t, plan, planFaults(8, duration))
	must.Greater(t, len(faultKinds), len(plan))
	seen := map[FaultKind]bool{}
	for _, fault := range plan[:len(faultKinds)] {
		must.False(t, seen[fault.Kind], must.Sprint(fault.Kind))
		seen[fault.Kind] = true
	}
	var begun time.Duration
	for _, fault := range plan {
		begun += fault.Gap
		must.Between(t, shortestFault, fault.For, longestFault)
	}
	must.LessEq(t, duration, begun)
}

// Each broken promise is told, and what keeps to them is not.
func TestWatchTellsOfBrokenPromises(t *testing.T) {
	started := func(request string, attempt uint32, prompt uint64) ledger.Entry {
		return ledger.Entry{Event: ledger.EventStarted, RequestID: request, Attempt: attempt, PromptHash: prompt}
	}
	end := func(event ledger.Event, request string, attempt uint32) ledger.Entry {
		return ledger.Entry{Event: event, RequestID: request, Attempt: attempt}
	}
	order := func(term, index uint64) ledger.Entry {
		return ledger.Entry{Event: ledger.EventOrder, Reason: acceptedOrder, Assignment: &api.Assignment{}, Fence: &api.Fence{Term: term, Index: index}}
	}
	page := func(name string, entries ...ledger.Entry) ledger.Page {
		for i := range entries {
			entries[i].Sequence = uint64(i) + 1
		}
		return ledger.Page{Name: name, Entries: entries}
	}
	cases := []struct {
		name     string
		pages    []ledger.Page
		outcomes []ended
		members  []operatorapi.MemberStatus
		views    []view.Version // of one process, in order
		want     string         // part of the one violation; empty: none
	}{
		{
			name:     "all kept",
			pages:    []ledger.Page{page("a", started("r", 1, 5), end(ledger.EventExported, "r", 1), order(1, 1), order(1, 1), order(2, 1)), page("b", started("r", 2, 5), end(ledger.EventFinished, "r", 2))},
			outcomes: []ended{{key: "k", prompt: 5, outcome: caller.OutcomeCompleted}, {prompt: 6, outcome: caller.OutcomeRefused}},
			members:  []operatorapi.MemberStatus{{Term: 1, Leader: 3}, {Term: 1, Leader: 3}, {Term: 2, Leader: 4}, {Term: 2}},
			views:    []view.Version{{Term: 1, Revision: 4}, {Term: 1, Revision: 4}, {Term: 2, Revision: 5}},
		},
		{
			name:     "ran twice",
			pages:    []ledger.Page{page("a", started("r", 1, 5), end(ledger.EventCrashed, "r", 1)), page("b", started("r", 2, 5), end(ledger.EventFinished, "r", 2))},
			outcomes: []ended{{key: "k", prompt: 5, outcome: caller.OutcomeUnknown}},
			want:     "ran twice",
		},
		{
			name:     "told not run, but ran",
			pages:    []ledger.Page{page("a", started("r", 1, 5), end(ledger.EventFinished, "r", 1))},
			outcomes: []ended{{prompt: 5, outcome: caller.OutcomeRefused}},
			want:     "told not run, but ran",
		},
		{
			name:     "told not run, and only its prompt was read",
			pages:    []ledger.Page{page("a", started("r", 1, 5), end(ledger.EventExported, "r", 1))},
			outcomes: []ended{{prompt: 5, outcome: caller.OutcomeRefused}},
		},
		{name: "wrong answer", outcomes: []ended{{prompt: 5, outcome: caller.OutcomeWrong}}, want: "wrong"},
		{name: "cut short", pages: []ledger.Page{page("a", started("r", 1, 5), end(ledger.EventCutShort, "r", 1))}, want: "cut short"},
		{name: "fence", pages: []ledger.Page{page("a", order(2, 7), order(2, 6))}, want: "accepted fence"},
		{name: "two leaders", members: []operatorapi.MemberStatus{{Term: 1, Leader: 3}, {Term: 1, Leader: 4}}, want: "two leaders"},
		{name: "view went back", views: []view.Version{{Term: 1, Revision: 4}, {Term: 2, Revision: 3}}, want: "went back"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWatch()
			for range 2 { // what is read twice counts once
				for _, one := range c.pages {
					w.takeLedger(one)
				}
			}
			for _, self := range c.members {
				w.takeMember("m", self)
			}
			for _, version := range c.views {
				w.takeProxy("p", 1, version)
			}
			for range 2 {
				w.takeOutcomes(c.outcomes)
			}
			told := w.told()
			if c.want == "" {
				must.SliceEmpty(t, told)
				return
			}
			must.SliceLen(t, 1, told)
			must.StrContains(t, told[0], c.want)
		})
	}
}

// A view may start anew with another process.
func TestWatchKnowsProcessesApart(t *testing.T) {
	w := newWatch()
	w.takeProxy("p", 1, view.Version{Term: 1, Revision: 4})
	w.takeProxy("p", 2, view.Version{})
	must.SliceEmpty(t, w.told())
}

// A short soak of real processes: faults strike, and nothing is broken.
func TestShortSoak(t *testing.T) {
	takeSlot(t)
	config := testConfig()
	config.Seed = 103
	config.Duration = 12 * time.Second
	report, err := Soak(t.Context(), config)
	must.NoError(t, err)
	must.SliceEmpty(t, report.Violations, must.Sprint(report.Violations))
	must.Positive(t, report.Completed)
	must.Positive(t, report.Changes)
	must.Positive(t, len(report.Faults))
}
