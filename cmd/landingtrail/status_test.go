package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/version/api"
)

func TestStatusAtAGlance(t *testing.T) {
	served := api.Assignment{Model: "storm", Version: "1", Role: api.RoleMixed}
	wanted := api.Assignment{Model: "storm", Version: "2", Role: api.RoleMixed}
	status := operatorapi.Status{
		Leader: "control-1", Term: 3, Revision: 17, FurtherLosses: 0, Repairing: []string{"control-2"},
		Members: []operatorapi.Member{{Name: "control-1", ID: 5, Role: operatorapi.MemberLeader, Active: true}},
		Engines: []operatorapi.EngineSummary{
			{Name: "e-1", Intent: "narrate", Phase: api.PhaseServing, Assignment: served},
			{Name: "e-2", Intent: "narrate", Phase: api.PhaseDraining, Assignment: served, Target: &wanted, Reason: "intent narrate", Drain: true},
			{Name: "e-3", Silent: true},
		},
		Daemons: 3, DaemonsBehind: []string{"proxy-9"},
	}
	var out bytes.Buffer
	must.NoError(t, printStatus(cli.Streams{Out: &out}, status))
	lines := strings.Split(out.String(), "\n")
	holds := func(words ...string) {
		for _, line := range lines {
			missing := false
			for _, word := range words {
				missing = missing || !strings.Contains(line, word)
			}
			if !missing {
				return
			}
		}
		t.Fatalf("no line with %q in\n%s", words, out.String())
	}
	holds("leader control-1", "term 3", "revision 17")
	holds("further losses", "0")
	holds("repaired", "control-2 (1)")
	holds("daemons: 3", "not in force yet: proxy-9 (1)")
	holds("e-1", "narrate", "storm", "1")
	holds("e-2", "narrate", "draining", "2", "intent narrate", "drain asked")
	holds("e-3", "silent")
}

func TestLongAnswersAreCutForPersonsAlone(t *testing.T) {
	fake := newGroup(t)
	const engines = 100
	result := api.TransactionResult{Code: api.OutcomeIntentConflict}
	for i := range engines {
		result.Conflicts = append(result.Conflicts, api.Conflict{Intents: []string{"a", "b"}, Engine: fmt.Sprintf("e-%d", i)})
	}
	fake.answer = func(api.Transaction) (int, any) { return http.StatusOK, result }
	file := writeFile(t, engineFile)
	code, out, messages := fake.call("apply", "--file", file, "--output", "json")
	must.Eq(t, exitConflict, code)
	must.Eq(t, maxPrinted+1, strings.Count(messages, "\n"))
	must.StrContains(t, messages, fmt.Sprintf("%d more", engines-maxPrinted))
	must.Eq(t, engines, strings.Count(out, `"engine"`))
	must.StrContains(t, listOrNone(make([]string, engines)), fmt.Sprintf("and %d more (%d)", engines-maxPrinted, engines))
}
