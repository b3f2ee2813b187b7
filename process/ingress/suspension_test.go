package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// suspendingPlacer suspends the machine while a request waits for its placement.
type suspendingPlacer struct {
	fakePlacer
	suspend func()
}

func (p *suspendingPlacer) Place(context.Context, feed.PlaceRequest) (placement.Answer, error) {
	p.suspend()
	return placement.Answer{Generator: "r-1"}, nil
}

// The monotonic clock and timers do not advance while a machine is suspended. A request whose
// deadline has passed on wake-up is answered at once and is sent to no replica: the replica would
// be told a longer timeout than the caller waits.
func TestDeadlineThatPassesDuringASuspension(t *testing.T) {
	replica := newFakeReplica(t, "r-1", streamEvents(3, ""))
	env := newTestEnv(t, replica)
	var suspended atomic.Int64
	running := env.ingress.clock
	env.ingress.clock = func() time.Duration { return running() + time.Duration(suspended.Load()) }
	env.ingress.placer = &suspendingPlacer{suspend: func() { suspended.Store(int64(10 * time.Second)) }}
	env.views.set(func(v *view.View) {
		v.Replicas = map[string]*api.Replica{"r-1": replicaObject(replica, "model", api.RoleDecode)}
	})
	began := time.Now()
	got := env.do(testRequest{method: "POST", target: "/model/x", id: "one", fields: map[string]string{testTokens: "100", testWithin: "4000"}})
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Eq(t, 0, replica.count())
	must.Less(t, time.Second, time.Since(began))
}

// A request that waits for its replica during a suspension is answered when the machine wakes up,
// not when its timer fires, which the suspension delays.
func TestRequestIsAnsweredOnWakeUpAfterASuspension(t *testing.T) {
	begun := make(chan struct{})
	replica := newFakeReplica(t, "r-1", func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
	})
	env := newTestEnv(t, replica)
	var suspended atomic.Int64
	running := env.ingress.clock
	env.ingress.clock = func() time.Duration { return running() + time.Duration(suspended.Load()) }
	began := time.Now()
	go func() {
		<-begun
		suspended.Store(int64(10 * time.Second))
		env.ingress.sessions.cancelOverdue()
	}()
	got := env.do(testRequest{method: "POST", target: "/unsafe/x", id: "one"})
	must.Eq(t, http.StatusGatewayTimeout, got.status)
	must.Less(t, 3*time.Second, time.Since(began))
	eventually(t, "the session is removed", func() bool {
		env.ingress.sessions.lock.Lock()
		defer env.ingress.sessions.lock.Unlock()
		return len(env.ingress.sessions.cancels) == 0
	})
}
