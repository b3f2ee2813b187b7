package orders

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestInvalidResponsesAreErrors(t *testing.T) {
	const timeout = 300 * time.Millisecond
	cases := map[string]struct {
		serve http.HandlerFunc
		want  error
	}{
		"not JSON":     {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "<html>") }, ErrInvalidResponse},
		"wrong type":   {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"code":7}`) }, ErrInvalidResponse},
		"no code":      {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{}`) }, ErrInvalidResponse},
		"server error": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, ErrInvalidResponse},
		"redirect": {func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, ErrInvalidResponse},
		"too long": {func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"code":%q}`, strings.Repeat("x", maxResponseBytes))
		}, ErrInvalidResponse},
		"truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, `{"code"`)
		}, ErrNoResponse},
		"no response": {func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server detects a canceled request only after reading the body
			<-r.Context().Done()
		}, ErrNoResponse},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			engine := httptest.NewServer(test.serve)
			defer engine.Close()
			client := NewClient(timeout)
			defer client.Close()
			address := engine.Listener.Addr().String()
			_, err := client.Send(t.Context(), address, api.Order{Engine: "narrator-1"})
			must.ErrorIs(t, err, test.want)
			_, err = client.Void(t.Context(), address, engineapi.VoidRequest{})
			must.ErrorIs(t, err, test.want)
		})
	}
}

func TestRefusedOrderIsNoError(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		fmt.Fprint(w, `{"code":"stale"}`)
	}))
	defer engine.Close()
	client := NewClient(time.Second)
	defer client.Close()
	reply, err := client.Send(t.Context(), engine.Listener.Addr().String(), api.Order{})
	must.NoError(t, err)
	must.Eq(t, "stale", string(reply.Code))
}

var errUnresponsive = errors.New("engine did not respond")

// fakeEngines is a fake EngineClient in which the address of an engine is its name. Engines
// whose names begin with "silent" fail after 2 s without a response.
type fakeEngines struct {
	lock        sync.Mutex
	incarnation uint64
	requests    map[string]int
}

func (f *fakeEngines) State(ctx context.Context, address string) (engineapi.State, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.requests[address]++
	if strings.HasPrefix(address, "silent") {
		f.lock.Unlock()
		defer f.lock.Lock()
		select {
		case <-time.After(2 * time.Second):
		case <-ctx.Done():
		}
		return engineapi.State{}, errUnresponsive
	}
	return engineapi.State{Engine: address, Incarnation: f.incarnation}, nil
}

func (f *fakeEngines) Load(_ context.Context, address string) (engineapi.Load, error) {
	return engineapi.Load{Engine: address}, nil
}

func (f *fakeEngines) count(address string) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.requests[address]
}

func startPoller(client EngineClient, changed func()) *Poller {
	start := time.Now()
	return NewPoller(PollerConfig{
		Client: client, Interval: 500 * time.Millisecond, Changed: changed,
		Clock: func() time.Duration { return time.Since(start) },
	})
}

func TestUnresponsiveEnginesDoNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &fakeEngines{requests: map[string]int{}}
		poller := startPoller(client, nil)
		defer poller.Close()
		targets := map[string]string{}
		const engines = 300 // the unresponsive engines alone occupy all workers of every shard
		for i := range engines {
			for _, name := range []string{fmt.Sprintf("silent-%d", i), fmt.Sprintf("engine-%d", i)} {
				targets[name] = name
			}
		}
		poller.SetTargets(targets)
		time.Sleep(30 * time.Second)
		observations := poller.Observations()
		must.MapLen(t, engines, observations)
		for name := range observations {
			must.Greater(t, 2, client.count(name))
		}
	})
}

// With more unresponsive engines than workers, each engine must still be polled equally
// often.
func TestUnresponsiveEnginesArePolledFairly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &fakeEngines{requests: map[string]int{}}
		poller := startPoller(client, nil)
		defer poller.Close()
		targets := map[string]string{}
		for i := range 4 * pollerShards * shardWorkers {
			name := fmt.Sprintf("silent-%d", i)
			targets[name] = name
		}
		poller.SetTargets(targets)
		time.Sleep(time.Minute)
		for i := range poller.shards {
			least, most := math.MaxInt, 0
			for name := range poller.shards[i].targets {
				least, most = min(least, client.count(name)), max(most, client.count(name))
			}
			must.Between(t, most-1, least, most)
		}
	})
}

func TestPollerPollsOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &fakeEngines{requests: map[string]int{}}
		changes := make(chan struct{}, 100)
		poller := startPoller(client, func() { changes <- struct{}{} })
		defer poller.Close()
		poller.SetTargets(map[string]string{"engine-1": "engine-1"})
		time.Sleep(10 * time.Second)
		must.Between(t, 18, client.count("engine-1"), 21)
		must.Eq(t, 1, len(changes)) // unchanged since the first poll
		client.lock.Lock()
		client.incarnation = 2
		client.lock.Unlock()
		time.Sleep(time.Second)
		must.Eq(t, 2, len(changes))
		poller.SetTargets(map[string]string{"engine-1": "moved"})
		must.MapEmpty(t, poller.Observations())
		time.Sleep(time.Second)
		must.Eq(t, "moved", poller.Observations()["engine-1"].State.Engine)
	})
}

func TestLaterRequestWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		poller := startPoller(&fakeEngines{requests: map[string]int{}}, nil)
		defer poller.Close()
		poller.SetTargets(map[string]string{"silent": "silent"})
		state := func(incarnation uint64) engineapi.State {
			return engineapi.State{Engine: "silent", Incarnation: incarnation}
		}
		poller.Record("silent", "silent", state(2), 2*time.Second)
		poller.Record("silent", "silent", state(1), time.Second)
		poller.Record("silent", "other", state(3), 3*time.Second)
		must.Eq(t, 2, poller.Observations()["silent"].State.Incarnation)
	})
}

// restartedEngine is a fake EngineClient whose engine has restarted. While lagging is set, its load
// report is still that of the previous incarnation.
type restartedEngine struct{ lagging atomic.Bool }

func (*restartedEngine) State(context.Context, string) (engineapi.State, error) {
	return engineapi.State{Engine: "engine-1", Incarnation: 2}, nil
}

func (r *restartedEngine) Load(context.Context, string) (engineapi.Load, error) {
	if r.lagging.Load() {
		return engineapi.Load{Engine: "engine-1", Incarnation: 1, Running: 7}, nil
	}
	return engineapi.Load{Engine: "engine-1", Incarnation: 2, Running: 1}, nil
}

// A load must only be returned together with the state of the same incarnation. Load reports
// lag, so those stored by engine name alone would show an engine that has just restarted
// with the load of its previous incarnation.
func TestLoadMatchesIncarnationOfState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &restartedEngine{}
		engine.lagging.Store(true)
		poller := startPoller(engine, nil)
		defer poller.Close()
		poller.SetTargets(map[string]string{"engine-1": "engine-1"})
		time.Sleep(time.Second)
		must.Eq(t, 0, poller.Observations()["engine-1"].Load.Running)
		engine.lagging.Store(false)
		time.Sleep(time.Second)
		must.Eq(t, 1, poller.Observations()["engine-1"].Load.Running)
		next := engineapi.State{Engine: "engine-1", Incarnation: 3}
		poller.Record("engine-1", "engine-1", next, time.Hour)
		must.Eq(t, 0, poller.Observations()["engine-1"].Load.Running)
	})
}

// Two load requests to an engine can be in flight if its entry was replaced by one with the
// same address. The response to the earlier request must not replace a later one.
func TestStaleLoadReportIsDiscarded(t *testing.T) {
	known := &target{hasState: true, observation: Observation{State: engineapi.State{Incarnation: 3}}}
	known.recordLoad(engineapi.Load{Incarnation: 3, Running: 7}, 2*time.Second)
	known.recordLoad(engineapi.Load{Incarnation: 3, Running: 1}, time.Second)
	must.Eq(t, 7, known.observation.Load.Running)
	must.Eq(t, 2*time.Second, known.observation.LoadRequestedAt)
}

// slowLoadEngine is a fake EngineClient that numbers its load reports by request and returns the first
// one only after first is closed.
type slowLoadEngine struct {
	requests atomic.Int64
	first    chan struct{}
}

func (*slowLoadEngine) State(context.Context, string) (engineapi.State, error) {
	return engineapi.State{Engine: "engine-1", Incarnation: 1}, nil
}

func (s *slowLoadEngine) Load(context.Context, string) (engineapi.Load, error) {
	number := s.requests.Add(1)
	if number == 1 {
		<-s.first
	}
	return engineapi.Load{Engine: "engine-1", Incarnation: 1, Running: int(number)}, nil
}

// An engine that is removed and added again while a poll of it is in flight is polled anew.
// The response to the earlier poll must not overwrite the later one, nor affect the polling
// of the new entry.
func TestResponseToReplacedTargetIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &slowLoadEngine{first: make(chan struct{})}
		poller := startPoller(engine, nil)
		defer poller.Close()
		targets := map[string]string{"engine-1": "engine-1"}
		poller.SetTargets(targets)
		time.Sleep(100 * time.Millisecond) // the first load request is in flight
		must.Eq(t, 1, engine.requests.Load())
		poller.SetTargets(nil)
		poller.SetTargets(targets)
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, 2, poller.Observations()["engine-1"].Load.Running)
		latest := poller.Observations()["engine-1"].LoadRequestedAt
		close(engine.first)
		synctest.Wait()
		must.Eq(t, 2, poller.Observations()["engine-1"].Load.Running)
		must.Eq(t, latest, poller.Observations()["engine-1"].LoadRequestedAt)
	})
}
