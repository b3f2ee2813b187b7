package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A request whose deadline passed while the machine was suspended is not sent to another engine.
// Timers do not count the time of a suspension, but the proxy's clock does.
func TestDeadlinePassesWhileSuspended(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	var suspended atomic.Int64
	begin := time.Now()
	clock := func() time.Duration { return time.Since(begin) + time.Duration(suspended.Load()) }
	f := startFleetWithClock(t, clock, fastConfig(), newFakeControl(), []*fakeEngine{engine})
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
		suspended.Store(int64(time.Hour)) // during the refusal, before the retry
		e.refuse(w, http.StatusServiceUnavailable, "draining")
	}
	second := newFakeEngine(t, "e2", 12)
	second.script = engine.script
	f.views.view.Store(newView([]*fakeEngine{engine, second}, nil))
	answer := f.stream(HeaderClass, "cap", HeaderDeadline, "5000")
	must.Eq(t, http.StatusGatewayTimeout, answer.status)
	must.Eq(t, "no", answer.runState())
	must.Eq(t, 1, engine.runs.Load()+second.runs.Load())
}
