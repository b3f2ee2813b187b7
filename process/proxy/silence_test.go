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
func TestSilentBackEndStaysSuspect(t *testing.T) {
	var paused atomic.Bool
	var frames atomic.Int32
	pausing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != engineapi.PathLoad {
			frames.Add(1)
		}
		if paused.Load() {
			hang(r)
			return
		}
		writeJSON(w, http.StatusOK, engineapi.Load{})
	}))
	t.Cleanup(pausing.Close)
	alive := newFakeBackend(t)
	f := start(t, quick(), nil, pausing, alive.server)
	followed := f.endpoint("tiles", "tile-0")
	frame := func() int { return f.do(http.MethodGet, "/services/tiles/frame", "").status }

	paused.Store(true)
	eventually(t, func() bool {
		followed.lock.Lock()
		defer followed.lock.Unlock()
		return followed.silent
	})
	before := frames.Load()
	for range 12 {
		followed.succeed() // clear the suspect time of failed requests
		must.Eq(t, http.StatusOK, frame())
	}
	must.Eq(t, before, frames.Load())

	paused.Store(false)
	eventually(t, func() bool { return frame() == http.StatusOK && frames.Load() > before })
}
