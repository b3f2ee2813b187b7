package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Callers are told to retry when the proxy is expected to have its routes, even if the control
// group has to elect a leader first, and not all at the same time. The longer the proxy has been
// up, the shorter the delay.
func TestRetryDelayOfAProxyWithoutRoutes(t *testing.T) {
	none := newRouteTable(nil)
	for range 100 {
		must.Between(t, expectedStartup, noRoute(none, 0).retryAfter, expectedStartup+startRetryJitter)
		must.Between(t, expectedStartup/2, noRoute(none, expectedStartup/2).retryAfter, expectedStartup/2+startRetryJitter)
		must.Between(t, minStartRetryAfter, noRoute(none, time.Minute).retryAfter, minStartRetryAfter+startRetryJitter)
	}
	must.Eq(t, http.StatusServiceUnavailable, noRoute(none, 0).status)
}
