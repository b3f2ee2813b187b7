package proxy

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

// TestSilentBackEndStaysSuspect: a back end that accepts and never answers gets
// no frame once its polls have told so, also when a suspicion has run out, and
// gets frames again when it answers.
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
		followed.succeed() // any suspicion of a failed request has run out
		must.Eq(t, http.StatusOK, frame())
	}
	must.Eq(t, before, frames.Load())

	paused.Store(false)
	eventually(t, func() bool { return frame() == http.StatusOK && frames.Load() > before })
}
