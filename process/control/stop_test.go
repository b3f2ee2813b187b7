package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a planned stop that is reported as a failure. It happened to a member that was
// still the leader when its stop timed out, for example because it was elected while it stopped:
// the missing leadership transfer was treated as an error. The member must stop without an error,
// and the others must elect a leader.
func TestStopWithoutLeadershipTransferIsPlanned(t *testing.T) {
	c := newCluster(t, 3, func(config *Config) { config.Durations.Shutdown = time.Nanosecond })
	c.start(0, 1, 2)
	c.awaitFurtherLosses(1)
	leader := c.leader()
	must.NoError(t, c.stop(leader))
	eventually(t, "another leader is elected", func() bool {
		status, found := c.status()
		return found && status.Leader != "" && c.leader() != leader
	})
}
