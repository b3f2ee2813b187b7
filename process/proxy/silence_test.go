package proxy

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

// A backend that accepts connections and never responds gets no requests once its polls have failed,
// even after the suspect time of earlier failures has passed. It gets requests again once it responds.
func TestSilentBackendStaysSuspect(t *testing.T) {
	var paused atomic.Bool
	var requests atomic.Int32
	pausable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != engineapi.PathLoad {
			requests.Add(1)
		}
		if paused.Load() {
			waitForDisconnect(r)
			return
		}
		writeJSON(w, http.StatusOK, engineapi.Load{})
	}))
	t.Cleanup(pausable.Close)
	alive := newFakeBackend(t)
	f := startFleet(t, fastConfig(), nil, pausable, alive.server)
	target := f.endpoint("tiles", "tile-0")
	send := func() int { return f.do(http.MethodGet, "/services/tiles/frame", "").status }

	paused.Store(true)
	eventually(t, func() bool {
		target.lock.Lock()
		defer target.lock.Unlock()
		return target.silent
	})
	before := requests.Load()
	for range 12 {
		target.recordSuccess() // clear the suspect time of failed requests
		must.Eq(t, http.StatusOK, send())
	}
	must.Eq(t, before, requests.Load())

	paused.Store(false)
	eventually(t, func() bool { return send() == http.StatusOK && requests.Load() > before })
}
