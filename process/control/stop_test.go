package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Seen: a member that was asked to stop ended as one that had failed. It comes about where
// it leads when the time to stop is over, as one that is elected while it stops.
// Cause: a leadership that it had no time to hand over was taken for a failure.
// Proof: it ends without an error, and the others elect a leader.
func TestStopWithoutLeadershipTransferIsPlanned(t *testing.T) {
	c := newCluster(t, 3, func(config *Config) { config.Durations.Shutdown = time.Nanosecond })
	c.start(0, 1, 2)
	c.awaitFurtherLosses(1)
	leader := c.leader()
	must.NoError(t, c.stop(leader))
	eventually(t, "another leader", func() bool {
		status, found := c.status()
		return found && status.Leader != "" && c.leader() != leader
	})
}
