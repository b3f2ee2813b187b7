package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A leader whose process has just started asks at once; one that leads after another
// hears first what proxies remember.
func TestFreshLeaderAsksReplicasAtOnce(t *testing.T) {
	must.Eq(t, 0, warmsAfter(500*time.Millisecond))
	must.Eq(t, warmDelay, warmsAfter(time.Minute))
}
