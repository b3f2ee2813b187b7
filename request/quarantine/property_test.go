package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// A request that crashes every replica is found harmful once it was sent again often enough,
// whatever else was in flight, whoever reports first and whichever replicas fail together. No other
// request is found harmful as long as it was in flight at fewer of the failures: from
// decisiveFailures on, the harmful request needs no lead of requiredLead.
func TestOnlyHarmfulRequestIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		now := time.Duration(0)
		failures := rapid.IntRange(decisiveFailures, maxFailures).Draw(t, "failures")
		bystanders := map[string]int{}
		for i := range failures {
			now += rapid.SampledFrom([]time.Duration{20 * time.Millisecond, time.Second, time.Minute}).Draw(t, "gap")
			requests := []string{"fatal"}
			for b := range rapid.IntRange(0, 5).Draw(t, "bystanders") {
				name := fmt.Sprint("b", b)
				if bystanders[name] < failures-1 {
					bystanders[name]++
					requests = append(requests, name)
				}
			}
			for _, request := range rapid.Permutation(requests).Draw(t, "order") {
				ran := 5 * time.Millisecond
				if request != "fatal" { // with runs of 1 s, failures that are 20 ms apart form one incident
					ran = rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second}).Draw(t, "ran")
				}
				table.RecordFailure(now, Evidence{Fingerprint: fingerprintOf(request), Replica: fmt.Sprint("r", i), RunTime: ran})
			}
		}
		must.Eq(t, Harmful, table.Verdict(now+pastSettling, fingerprintOf("fatal")))
		for name := range bystanders {
			must.Less(t, Harmful, table.Verdict(now+pastSettling, fingerprintOf(name)), must.Sprint(name))
		}
		must.True(t, slices.Contains(table.Watched(now+pastSettling), fingerprintOf("fatal")))
	})
}
