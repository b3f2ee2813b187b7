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

func TestUnusableAnswersAreErrors(t *testing.T) {
	const timeout = 300 * time.Millisecond
	cases := map[string]struct {
		serve http.HandlerFunc
		want  error
	}{
		"not JSON":     {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "<html>") }, ErrAnswer},
		"wrong type":   {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"code":7}`) }, ErrAnswer},
		"no code":      {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{}`) }, ErrAnswer},
		"server error": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, ErrAnswer},
		"other address": {func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, ErrAnswer},
		"too long": {func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"code":%q}`, strings.Repeat("x", maxAnswerBytes))
		}, ErrAnswer},
		"cut short": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, `{"code"`)
		}, ErrUnreachable},
		"no answer": {func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // only then is the caller's end noticed
			<-r.Context().Done()
		}, ErrUnreachable},
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

func TestRefusedOrderIsAnAnswer(t *testing.T) {
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

var errSilent = errors.New("no answer")

// fleet is an Asker whose engines' addresses are their names. Names that begin
// with "silent" answer nothing until the question is given up.
type fleet struct {
	lock        sync.Mutex
	incarnation uint64
	asked       map[string]int
}

func (f *fleet) State(ctx context.Context, address string) (engineapi.State, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.asked[address]++
	if strings.HasPrefix(address, "silent") {
		f.lock.Unlock()
		defer f.lock.Lock()
		select {
		case <-time.After(2 * time.Second):
		case <-ctx.Done():
		}
		return engineapi.State{}, errSilent
	}
	return engineapi.State{Engine: address, Incarnation: f.incarnation}, nil
}

func (f *fleet) Load(_ context.Context, address string) (engineapi.Load, error) {
	return engineapi.Load{Engine: address}, nil
}

func (f *fleet) count(address string) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.asked[address]
}

func startPoller(asker Asker, changed func()) *Poller {
	start := time.Now()
	return NewPoller(PollerConfig{
		Asker: asker, Interval: 500 * time.Millisecond, Changed: changed,
		Clock: func() time.Duration { return time.Since(start) },
	})
}

func TestPollerHearsTheOthersBesideSilentEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asker := &fleet{asked: map[string]int{}}
		poller := startPoller(asker, nil)
		defer poller.Close()
		targets := map[string]string{}
		const engines = 300 // the silent ones alone fill every shard's workers
		for i := range engines {
			for _, name := range []string{fmt.Sprintf("silent-%d", i), fmt.Sprintf("engine-%d", i)} {
				targets[name] = name
			}
		}
		poller.SetTargets(targets)
		time.Sleep(30 * time.Second)
		seen := poller.Seen()
		must.MapLen(t, engines, seen)
		for name := range seen {
			must.Greater(t, 2, asker.count(name))
		}
	})
}

// TestSilentEnginesTakeTurns: there are more engines than workers, and none
// answers before its question is given up.
func TestSilentEnginesTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asker := &fleet{asked: map[string]int{}}
		poller := startPoller(asker, nil)
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
				least, most = min(least, asker.count(name)), max(most, asker.count(name))
			}
			must.Between(t, most-1, least, most)
		}
	})
}

func TestPollerAsksEachEngineOnceAnInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asker := &fleet{asked: map[string]int{}}
		changes := make(chan struct{}, 100)
		poller := startPoller(asker, func() { changes <- struct{}{} })
		defer poller.Close()
		poller.SetTargets(map[string]string{"engine-1": "engine-1"})
		time.Sleep(10 * time.Second)
		must.Between(t, 18, asker.count("engine-1"), 21)
		must.Eq(t, 1, len(changes)) // heard once, and the same since
		asker.lock.Lock()
		asker.incarnation = 2
		asker.lock.Unlock()
		time.Sleep(time.Second)
		must.Eq(t, 2, len(changes))
		poller.SetTargets(map[string]string{"engine-1": "moved"})
		must.MapEmpty(t, poller.Seen())
		time.Sleep(time.Second)
		must.Eq(t, "moved", poller.Seen()["engine-1"].State.Engine)
	})
}

func TestLaterQuestionWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		poller := startPoller(&fleet{asked: map[string]int{}}, nil)
		defer poller.Close()
		poller.SetTargets(map[string]string{"silent": "silent"})
		state := func(incarnation uint64) engineapi.State {
			return engineapi.State{Engine: "silent", Incarnation: incarnation}
		}
		poller.Record("silent", "silent", state(2), 2*time.Second)
		poller.Record("silent", "silent", state(1), time.Second)
		poller.Record("silent", "other", state(3), 3*time.Second)
		must.Eq(t, 2, poller.Seen()["silent"].State.Incarnation)
	})
}

// restarted is an Asker whose engine has restarted: its load report lags, and is still
// of the life before.
type restarted struct{ lagging atomic.Bool }

func (*restarted) State(context.Context, string) (engineapi.State, error) {
	return engineapi.State{Engine: "engine-1", Incarnation: 2}, nil
}

func (r *restarted) Load(context.Context, string) (engineapi.Load, error) {
	if r.lagging.Load() {
		return engineapi.Load{Engine: "engine-1", Incarnation: 1, Running: 7}, nil
	}
	return engineapi.Load{Engine: "engine-1", Incarnation: 2, Running: 1}, nil
}

// Seen: an engine that has just restarted shows the load of its life before. It comes
// about because load reports lag and are kept by the engine's name alone.
// Proof: no load is shown until a report is of the incarnation that the state names, and
// none is kept for the next incarnation.
func TestLoadIsOfTheIncarnationThatTheStateNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &restarted{}
		engine.lagging.Store(true)
		poller := startPoller(engine, nil)
		defer poller.Close()
		poller.SetTargets(map[string]string{"engine-1": "engine-1"})
		time.Sleep(time.Second)
		must.Eq(t, 0, poller.Seen()["engine-1"].Load.Running)
		engine.lagging.Store(false)
		time.Sleep(time.Second)
		must.Eq(t, 1, poller.Seen()["engine-1"].Load.Running)
		next := engineapi.State{Engine: "engine-1", Incarnation: 3}
		poller.Record("engine-1", "engine-1", next, time.Hour)
		must.Eq(t, 0, poller.Seen()["engine-1"].Load.Running)
	})
}

// Two questions for an engine's load can be under way where its entry was replaced by one
// with the same address. The answer to the earlier one says less than what is known.
func TestLateLoadReportReplacesNoLaterOne(t *testing.T) {
	known := &target{heard: true, seen: Seen{State: engineapi.State{Incarnation: 3}}}
	known.recordLoad(engineapi.Load{Incarnation: 3, Running: 7}, 2*time.Second)
	known.recordLoad(engineapi.Load{Incarnation: 3, Running: 1}, time.Second)
	must.Eq(t, 7, known.seen.Load.Running)
	must.Eq(t, 2*time.Second, known.seen.LoadAt)
}

// slowReport is an Asker whose first load report comes when it is let go, and whose
// reports are numbered as they were asked for.
type slowReport struct {
	asked atomic.Int64
	first chan struct{}
}

func (*slowReport) State(context.Context, string) (engineapi.State, error) {
	return engineapi.State{Engine: "engine-1", Incarnation: 1}, nil
}

func (s *slowReport) Load(context.Context, string) (engineapi.Load, error) {
	number := s.asked.Add(1)
	if number == 1 {
		<-s.first
	}
	return engineapi.Load{Engine: "engine-1", Incarnation: 1, Running: int(number)}, nil
}

// An engine that leaves the list and comes back, while a question to it is under way, is
// asked anew: the earlier question's answer takes nothing back, and leaves the engine to
// the questions of now.
func TestReportOfAnEarlierQuestionTakesNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &slowReport{first: make(chan struct{})}
		poller := startPoller(engine, nil)
		defer poller.Close()
		targets := map[string]string{"engine-1": "engine-1"}
		poller.SetTargets(targets)
		time.Sleep(100 * time.Millisecond) // the first report is under way
		must.Eq(t, 1, engine.asked.Load())
		poller.SetTargets(nil)
		poller.SetTargets(targets)
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, 2, poller.Seen()["engine-1"].Load.Running)
		latest := poller.Seen()["engine-1"].LoadAt
		close(engine.first)
		synctest.Wait()
		must.Eq(t, 2, poller.Seen()["engine-1"].Load.Running)
		must.Eq(t, latest, poller.Seen()["engine-1"].LoadAt)
	})
}
