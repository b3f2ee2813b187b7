package replica

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStability counts the elections of a group under the load of 64 proposers and
// without injected faults. The result depends on what else the machine runs.
func BenchmarkStability(b *testing.B) {
	for _, timeout := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		b.Run(fmt.Sprintf("election=%v", timeout), func(b *testing.B) {
			g := newProcessGroup(b, 3, func(c *Config) {
				c.StateMachine = &commandCounter{}
				c.Raft.ElectionTimeout = timeout
				c.Raft.LeaseDuration = timeout * 4 / 5
			})
			leader := g.leader(nil)
			first := leader.replica.Status().Term
			latencies := proposeAll(b, leader.replica, 64, b.N)
			b.ReportMetric(float64(leader.replica.Status().Term-first), "elections")
			b.ReportMetric(float64(latencies.Max())/1000, "max-ms")
			g.stop()
		})
	}
}
