package emulator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// servedShare is the least share of the work that must be served at any time but shortly after a partition
// begins: one request in fifty may fail.
const servedShare = 0.98

// checkServed compares what was served with what was asked in the intervals of the time line between two times.
func checkServed(t *testing.T, result *Result, from, until time.Duration) {
	t.Helper()
	for _, sample := range result.Samples {
		if sample.At >= from && sample.At+DefaultSampleInterval <= until {
			offered := float64(sample.PromptTokens + sample.OutputTokens)
			must.GreaterEq(t, servedShare*offered, float64(sample.UsefulTokens), must.Sprint("from ", sample.At))
		}
	}
}

// Guards against callers of partitioned proxies that are served worse than the others, and against partitioned proxies
// that keep the engines from everybody: one proxy, two, one after the other, and all three.
func TestPartitionedProxiesSendTheirCallersElsewhere(t *testing.T) {
	const begin, settled, end = 10 * time.Second, 15 * time.Second, 25 * time.Second
	const again = 30 * time.Second // served again as before
	for _, test := range []struct {
		name       string
		partitions []Partition
		meanwhile  bool // all callers are served meanwhile, and no later partition breaks their runs
	}{
		{"one", []Partition{{begin, end, 1}}, true},
		{"two", []Partition{{begin, end, 1}, {begin, end, 2}}, true},
		{"one after the other", []Partition{{begin, end, 1}, {end, again, 2}}, false},
		{"all", []Partition{{begin, end, 0}, {begin, end, 1}, {begin, end, 2}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			result := runTest(t, Config{Seed: 1, Partitions: test.partitions})
			checkInvariants(t, result)
			t.Logf("%d of %d completed; refused %v", result.Completed, result.Offered, result.Reasons)
			must.Positive(t, result.Reasons[reasonUnreachable])
			if test.meanwhile {
				checkServed(t, result, settled, end-DefaultSampleInterval)
			}
			checkServed(t, result, again, testDuration)
		})
	}
}
