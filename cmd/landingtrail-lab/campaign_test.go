package main

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/lab/campaign"
)

func TestCampaignCommand(t *testing.T) {
	cases := map[string]struct {
		args []string
		code cli.ExitCode
		says string
	}{
		"no seed":        {[]string{"--seeds", "x"}, cli.ExitUsage, "seeds"},
		"seeds backward": {[]string{"--seeds", "3-2"}, cli.ExitUsage, "seeds"},
		"workers":        {[]string{"--workers", "-1"}, cli.ExitUsage, "workers"},
		"arguments":      {[]string{"more"}, cli.ExitUsage, "more"},
		"one seed":       {[]string{"--seeds", "3"}, cli.ExitOK, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out, err bytes.Buffer
			code := run(t.Context(), append([]string{"campaign"}, c.args...), cli.Streams{Out: &out, Err: &err})
			must.Eq(t, c.code, code, must.Sprint(err.String()))
			must.StrContains(t, err.String(), c.says)
		})
	}
}

func TestCampaignPrintsTheReportAsJSON(t *testing.T) {
	var out, err bytes.Buffer
	code := run(t.Context(), []string{"campaign", "--seeds", "5", "--json"}, cli.Streams{Out: &out, Err: &err})
	must.Eq(t, cli.ExitOK, code)
	var report campaign.Report
	must.NoError(t, json.Unmarshal(out.Bytes(), &report))
	must.Eq(t, 1, report.Seeds)
	must.Positive(t, report.Work["requests"])
	must.SliceEmpty(t, report.Violations)
}
