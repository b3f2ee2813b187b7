package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A leader whose process has just started queries replicas at once; one that takes over from
// another leader first waits for the proxies' reports.
func TestCacheQueryDelay(t *testing.T) {
	must.Eq(t, 0, cacheQueryDelayFor(500*time.Millisecond))
	must.Eq(t, cacheQueryDelay, cacheQueryDelayFor(time.Minute))
}
