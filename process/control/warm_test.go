package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A leader whose process has just started queries replicas at once; one that takes over from
// another leader first waits for the proxies' reports.
func TestFreshLeaderAsksReplicasAtOnce(t *testing.T) {
	must.Eq(t, 0, warmsAfter(500*time.Millisecond))
	must.Eq(t, warmDelay, warmsAfter(time.Minute))
}
