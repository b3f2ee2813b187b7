package feed

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func TestUsageReportRoundTrip(t *testing.T) {
	report := UsageReport{ProcessRun: "p#1", Through: 1_700_000_000_123, Counts: []UsageCount{{Window: 7, Tenant: "north", Count: 3}, {Window: 8, Tenant: "south", Count: 1}}}
	decoded, err := decodeUsage(encodeUsage(report))
	must.NoError(t, err)
	must.Eq(t, report, decoded)
	for i := range encodeUsage(report) {
		_, err := decodeUsage(encodeUsage(report)[:i])
		must.Error(t, err)
	}
}

// A report that exceeds the size of a message is split into several. Only the last one sets
// Through, when the report is complete.
func TestLongUsageReportsAreSplit(t *testing.T) {
	report := UsageReport{ProcessRun: "p", Through: 9}
	for i := range 2*maxUsageCounts + 5 {
		report.Counts = append(report.Counts, UsageCount{Window: 1, Tenant: fmt.Sprint(i), Count: 1})
	}
	parts := report.split()
	must.SliceLen(t, 3, parts)
	all := 0
	for i, part := range parts {
		must.Eq(t, i == 2, part.Through == 9)
		all += len(part.Counts)
		_, err := decodeUsage(encodeUsage(part))
		must.NoError(t, err)
	}
	must.Eq(t, len(report.Counts), all)
}
