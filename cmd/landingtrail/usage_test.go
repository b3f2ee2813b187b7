package main

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/version/api"
)

func TestUsageIsShown(t *testing.T) {
	list := operatorapi.UsageList{WindowMilliseconds: 5000, Windows: []api.UsageWindow{
		{Window: 340000000, Counts: map[string]uint64{"b": 2, "a": 1}, Decided: true, Reported: true},
		{Window: 340000001, Counts: map[string]uint64{"a": 3}, Decided: true, Partial: true},
		{Window: 340000002, Counts: map[string]uint64{"a": 4}},
	}}
	var out bytes.Buffer
	must.NoError(t, printUsageCSV(cli.Streams{Out: &out}, list, "a"))
	must.Eq(t, "WINDOW,BEGINS,TENANT,REQUESTS,STATE,PARTIAL\n"+
		"340000000,2023-11-14T22:13:20Z,a,1,reported,false\n"+
		"340000001,2023-11-14T22:13:25Z,a,3,outstanding,true\n"+
		"340000002,2023-11-14T22:13:30Z,a,4,counted,false\n", out.String())
	must.SliceLen(t, 4, usageRows(list, ""))
}
