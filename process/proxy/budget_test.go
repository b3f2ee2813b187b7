package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Failing engines may exhaust only the retry budget of their own service. Otherwise requests to a
// plain backend that has just died would not be retried on another one.
func TestRetryBudgetIsPerService(t *testing.T) {
	engine, alive := newFakeEngine(t, "e1", 11), newFakeBackend(t)
	other := newFakeEngine(t, "e2", 12)
	fail := func(_ *fakeEngine, w http.ResponseWriter, _ *http.Request, _ int) {
		w.WriteHeader(http.StatusInternalServerError)
	}
	engine.script, other.script = fail, fail
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	config := fastConfig()
	config.Intervals.Load = time.Minute // polls must not detect that the backend is dead
	config.Limits.RetryShare, config.Limits.RetryReserve = 0.001, 2
	f := startFleet(t, config, []*fakeEngine{engine, other}, dead, alive.server)
	for range 4 {
		must.NotEq(t, http.StatusOK, f.stream(HeaderClass, "cap").status)
	}
	for range 12 {
		must.Eq(t, http.StatusOK, f.do(http.MethodGet, "/services/tiles/frame", "").status)
	}
}
