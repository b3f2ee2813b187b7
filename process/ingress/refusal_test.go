package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Callers come back when the proxy has its routes even where an election had to be waited
// for, and not together; the longer the proxy has been up, the sooner.
func TestCallersOfAProxyWithoutRoutesComeBackOnceItHasThem(t *testing.T) {
	none := newRouteTable(nil)
	for range 100 {
		must.Between(t, expectedStart, noRoute(none, 0).retryAfter, expectedStart+startSpread)
		must.Between(t, expectedStart/2, noRoute(none, expectedStart/2).retryAfter, expectedStart/2+startSpread)
		must.Between(t, leastStartPause, noRoute(none, time.Minute).retryAfter, leastStartPause+startSpread)
	}
	must.Eq(t, http.StatusServiceUnavailable, noRoute(none, 0).status)
}
