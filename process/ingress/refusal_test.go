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
		must.Between(t, expectedStartup, noRoute(none, 0).retryAfter, expectedStartup+startRetryJitter)
		must.Between(t, expectedStartup/2, noRoute(none, expectedStartup/2).retryAfter, expectedStartup/2+startRetryJitter)
		must.Between(t, minStartRetryAfter, noRoute(none, time.Minute).retryAfter, minStartRetryAfter+startRetryJitter)
	}
	must.Eq(t, http.StatusServiceUnavailable, noRoute(none, 0).status)
}
