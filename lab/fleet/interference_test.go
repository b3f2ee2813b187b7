package fleet

import (
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestBootstrapRatioBoundsTheRatio(t *testing.T) {
	block := func(times ...time.Duration) *laneBlock { return &laneBlock{times: times} }
	alone := []*laneBlock{block(1000, 1000, 2000), block(1000, 1000, 2000)}
	low, high := bootstrapRatio(alone, alone)
	must.Eq(t, 1.0, low)
	must.Eq(t, 1.0, high)
	beside := []*laneBlock{block(1000, 1000, 4000), block(1000, 1000, 6000)}
	low, high = bootstrapRatio([]*laneBlock{block(2000000, 2000000)}, []*laneBlock{block(4000000, 4000000), block(6000000, 6000000)})
	must.Eq(t, 2.0, low)
	must.Eq(t, 3.0, high)
	must.Eq(t, LaneTimes{Count: 6, P50: 0.001, P99: 0.004}, timesOf(beside))
}

func TestProcessorTimeOfThisProcess(t *testing.T) {
	first, err := processorTime(os.Getpid())
	must.NoError(t, err)
	var later time.Duration
	for later <= first {
		later, err = processorTime(os.Getpid())
		must.NoError(t, err)
	}
	_, err = processorTime(-1)
	must.Error(t, err)
}
