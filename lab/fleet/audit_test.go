package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/lab/caller"
	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/version/api"
)

func order(term, index uint64, code string, assignment api.Assignment) ledger.Entry {
	return ledger.Entry{Event: ledger.EventOrder, Reason: code, Fence: &api.Fence{Term: term, Index: index}, Assignment: &assignment}
}

func TestAuditEngine(t *testing.T) {
	mixed := api.Assignment{Model: "m", Version: "1", Role: api.RoleMixed}
	decode := api.Assignment{Model: "m", Version: "1", Role: api.RoleDecode}
	newer := api.Assignment{Model: "m", Version: "2", Role: api.RoleMixed}
	cases := []struct {
		name           string
		page           ledger.Page
		roles, version int
		violations     int
	}{
		{"first assignment is no change", ledger.Page{Entries: []ledger.Entry{order(1, 5, "accepted", mixed)}}, 0, 0, 0},
		{"role", ledger.Page{Entries: []ledger.Entry{order(1, 5, "accepted", mixed), order(1, 6, "accepted", decode)}}, 1, 0, 0},
		{"version", ledger.Page{Entries: []ledger.Entry{order(1, 5, "accepted", mixed), order(2, 1, "accepted", newer)}}, 0, 1, 0},
		{"resend", ledger.Page{Entries: []ledger.Entry{order(1, 5, "accepted", mixed), order(1, 5, "accepted", mixed)}}, 0, 0, 0},
		{"stale order refused", ledger.Page{Entries: []ledger.Entry{order(1, 5, "accepted", mixed), order(1, 4, "stale_fence", decode)}}, 0, 0, 0},
		{"stale order accepted", ledger.Page{Entries: []ledger.Entry{order(2, 5, "accepted", mixed), order(1, 9, "accepted", decode)}}, 0, 0, 1},
		{"cut short", ledger.Page{Entries: []ledger.Entry{{Event: ledger.EventCutShort, RequestID: "r"}}}, 0, 0, 1},
		{"entries lost", ledger.Page{Dropped: 2}, 0, 0, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			summary := newSummary(Config{})
			summary.auditEngine("e", test.page)
			must.Eq(t, test.roles, summary.RoleChanges)
			must.Eq(t, test.version, summary.VersionChanges)
			must.Eq(t, test.violations, summary.ViolationCount, must.Sprint(summary.Violations))
		})
	}
}

func TestCountRunsLeavesOutExports(t *testing.T) {
	counts := countRuns([]ledger.Entry{
		{Event: ledger.EventStarted, RequestID: "a", Attempt: 1, PromptHash: 7},
		{Event: ledger.EventExported, RequestID: "a", Attempt: 1},
		{Event: ledger.EventStarted, RequestID: "a", Attempt: 2, PromptHash: 7},
		{Event: ledger.EventFinished, RequestID: "a", Attempt: 2},
		{Event: ledger.EventStarted, RequestID: "b", Attempt: 1, PromptHash: 8},
		{Event: ledger.EventCrashed, RequestID: "b", Attempt: 1},
		{Event: ledger.EventStarted, RequestID: "b", Attempt: 2, PromptHash: 8},
		{Event: ledger.EventRefused, RequestID: "b", Attempt: 3, PromptHash: 8},
	})
	must.Eq(t, map[uint64]int{7: 1, 8: 2}, counts)
}

func TestOnceOnlyNamesThePromptsThatCallersSend(t *testing.T) {
	item := trace.Item{Model: "m", PromptTokens: 3, RepeatNever: true, Key: "k"}
	prompts := onceOnly([]trace.Item{item, {Model: "m", PromptTokens: 3}, {Service: "s", RepeatNever: true, Key: "x"}})
	must.Eq(t, map[uint64]string{enginemodel.PromptHash(caller.Prompt(&item, "k")): "k"}, prompts)
}

func TestNotServing(t *testing.T) {
	status := operatorapi.Status{Engines: []operatorapi.EngineSummary{
		{Name: "a", Phase: api.PhaseServing, Assignment: api.Assignment{Model: "m"}},
		{Name: "b", Phase: api.PhaseServing},
		{Name: "c", Phase: api.PhaseChanging, Assignment: api.Assignment{Model: "m"}},
	}}
	must.Eq(t, []string{"b", "c", "d"}, notServing(status, []string{"a", "b", "c", "d"}))
}

func TestQuantile(t *testing.T) {
	durations := []time.Duration{4, 1, 3, 2, 5}
	must.Eq(t, 3, quantile(durations, 0.5))
	must.Eq(t, 5, quantile(durations, 1))
	must.Eq(t, 0, quantile(nil, 0.5))
}
