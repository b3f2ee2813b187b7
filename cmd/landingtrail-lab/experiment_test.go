package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/version/api"
)

func runExperimentCommand(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	var out, messages bytes.Buffer
	command := experimentCommand(cli.Streams{Out: &out, Err: &messages})
	err := command.ParseAndRun(context.Background(), append([]string{"--for", "10s", "--policies", "landingtrail,static"}, arguments...))
	return out.String(), err
}

func TestExperimentWritesPlotAndReport(t *testing.T) {
	plot, report := filepath.Join(t.TempDir(), "plot.svg"), filepath.Join(t.TempDir(), "report.md")
	printed, err := runExperimentCommand(t, "--seeds", "1001-1002", "--json", "--roles", "prefill,decode", "--plot", plot, "--report", report)
	must.NoError(t, err)
	var summary experimentSummary
	must.NoError(t, json.Unmarshal([]byte(printed), &summary))
	must.Len(t, 2, summary.Policies)
	must.Eq(t, "1001-1002", summary.Seeds)
	drawn, err := os.ReadFile(plot)
	must.NoError(t, err)
	must.StrContains(t, string(drawn), "<svg")
	written, err := os.ReadFile(report)
	must.NoError(t, err)
	must.StrContains(t, string(written), "### radarvlak, seed 1002")
}

func TestExperimentFaults(t *testing.T) {
	cases := []struct {
		name, field string
		arguments   []string
	}{
		{"policy", "policies", []string{"--policies", "other"}},
		{"role", "roles", []string{"--roles", "reader"}},
		{"no whole request", "roles", []string{"--roles", "prefill"}},
		{"check", "check", []string{"--check", "engine"}},
		{"seeds", "seeds", []string{"--seeds", "3-1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := runExperimentCommand(t, c.arguments...)
			var usage cli.UsageError
			must.True(t, errors.As(err, &usage))
			must.Eq(t, c.field, usage.Field)
		})
	}
}

func TestParseRoles(t *testing.T) {
	roles, err := parseRoles("mixed")
	must.NoError(t, err)
	must.Eq(t, []api.EngineRole{api.RoleMixed}, roles)
}
