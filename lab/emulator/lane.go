package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/lab/trace"
)

// Constants of the plain back ends.
const (
	backendReplicas    = 3
	backendParallel    = 4
	backendServiceTime = 6 * time.Millisecond
)

// lanePercentile runs the plain requests of a trace through a lane of their
// own and returns a percentile of their times. The lane shares nothing with
// model work, neither here nor in the proxy; what model work costs it through
// the processor is measured with real processes.
func lanePercentile(items []trace.Item, seed uint64, percentile float64) time.Duration {
	random := rand.New(rand.NewPCG(seed, 77))
	busyUntil := make([]time.Duration, backendReplicas*backendParallel)
	var times []time.Duration
	for i := range items {
		if items[i].Model != "" {
			continue
		}
		worker := earliest(busyUntil)
		start := max(items[i].At, busyUntil[worker])
		service := time.Duration(random.ExpFloat64()*float64(backendServiceTime)/2) + backendServiceTime/2
		busyUntil[worker] = start + service
		times = append(times, busyUntil[worker]-items[i].At)
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(percentile*float64(len(times)-1))]
}

func earliest(times []time.Duration) int {
	first := 0
	for i, t := range times {
		if t < times[first] {
			first = i
		}
	}
	return first
}
