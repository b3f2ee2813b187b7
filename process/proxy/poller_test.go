package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/subset"
	"github.com/landingtrail/landingtrail/version/view"
)

// Pollers that share a budget stay within it and each get an equal share. The test runs in virtual
// time with 192 pollers, more than a proxy usually polls, and 7000 bytes per second, the default
// budget.
func TestPollersShareBudgetEqually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pollers, perSecond, pollBytes, window = 192, 7000, 1000, 10 * time.Minute
		budget := &pollBudget{}
		budget.resize(perSecond)
		ctx, cancel := context.WithTimeout(context.Background(), window)
		defer cancel()
		counts := make([]int, pollers)
		for i := range pollers {
			go func() {
				for budget.wait(ctx) {
					counts[i]++
					budget.charge(pollBytes)
					pause.Sleep(ctx, jitter(250*time.Millisecond))
				}
			}()
		}
		<-ctx.Done()
		synctest.Wait()
		total := 0
		for _, count := range counts {
			total += count
		}
		allowed := int(perSecond * (window + pollBurstWindow).Seconds())
		must.LessEq(t, allowed+pollers*pollBytes, total*pollBytes)
		must.GreaterEq(t, allowed*9/10, total*pollBytes)
		must.LessEq(t, slices.Min(counts)+2, slices.Max(counts))
	})
}

// countingListener counts the bytes sent and received on its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, bytes: &l.bytes}, err
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.bytes.Add(int64(count))
	return count, err
}

func (c *countingConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.bytes.Add(int64(count))
	return count, err
}

// largeFleet returns a view of the given number of engines, all of which one fake engine serves. The
// load reports name no engine, because the proxy ignores a report that names another engine.
func largeFleet(tb testing.TB, count int) (*view.View, *countingListener) {
	tb.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		engineapi.EchoCall(w.Header(), r.Header)
		w.Header().Set(engineapi.HeaderIncarnation, "11")
		w.Header().Set(engineapi.HeaderPhase, string(api.PhaseServing))
		if r.URL.Path == engineapi.PathLoad {
			writeJSON(w, http.StatusOK, engineapi.Load{Incarnation: 11, Phase: api.PhaseServing, Running: 12, KVUsed: 0.4567})
			return
		}
		writeJSON(w, http.StatusOK, engineapi.CacheEvents{Incarnation: 11, Snapshot: true})
	}))
	counting := &countingListener{Listener: server.Listener}
	server.Listener = counting
	server.Start()
	tb.Cleanup(server.Close)
	fleetView := newView(nil, nil)
	for i := range count {
		name := fmt.Sprintf("engine-%05d", i)
		fleetView.Engines[name] = &api.Engine{Metadata: api.Metadata{Name: name},
			Spec: api.EngineSpec{Address: counting.Addr().String(), Zone: fmt.Sprint("zone-", i%5), Service: "narrator"},
			Status: api.EngineStatus{Phase: api.PhaseServing, Incarnation: 11,
				Assignment: api.Assignment{Model: "llm", Version: "1", Role: api.RoleMixed}}}
	}
	return fleetView, counting
}

func startPollingProxy(tb testing.TB, config Config, current *view.View) (*Proxy, *fixedViews) {
	tb.Helper()
	views := &fixedViews{}
	views.view.Store(current)
	started := time.Now()
	proxy := New(config, views, newFakeControl(), func() time.Duration { return time.Since(started) }, log.NewNopLogger())
	tb.Cleanup(proxy.Close)
	proxy.viewState()
	return proxy, views
}

// An engine that is down becomes suspect although the budget of one byte per second allows only the
// two polls with which it starts.
func TestDownEngineIsDetectedOnExhaustedPollBudget(t *testing.T) {
	stopped := newFakeEngine(t, "e1", 11)
	stopped.server.Close()
	config := fastConfig()
	config.Limits.PollBytes = 1
	f := startFleet(t, config, []*fakeEngine{stopped})
	eventually(t, func() bool { return f.endpoint("narrator", "e1").isSuspect(f.proxy.clock()) })
}

// A load report that may be older than the last report of a draining engine must not mark the engine
// as serving again; a newer one does.
func TestStaleLoadReportDoesNotEndDraining(t *testing.T) {
	target := newEndpoint("e1", "", "", true)
	serving := engineapi.Load{Phase: api.PhaseServing, AgeMilliseconds: 300}
	target.recordLoad(0, time.Second, serving)
	target.recordState(stateReport{asOf: time.Second, now: 2 * time.Second, phase: api.PhaseDraining})
	target.recordLoad(1900*time.Millisecond, 2100*time.Millisecond, serving) // requested before the engine drained
	must.Eq(t, api.PhaseDraining, target.reported().phase)
	target.recordLoad(2200*time.Millisecond, 2300*time.Millisecond, serving) // measured before the engine drained
	must.Eq(t, api.PhaseDraining, target.reported().phase)
	target.recordLoad(2300*time.Millisecond, 2400*time.Millisecond, serving)
	must.Eq(t, api.PhaseServing, target.reported().phase)
}

// A drained engine that serves again is noticed although the budget of one byte per second allows
// only the two polls with which it starts.
func TestReturningEngineIsDetectedOnExhaustedPollBudget(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.setPhase(api.PhaseDraining)
	config := fastConfig()
	config.Limits.PollBytes = 1
	f := startFleet(t, config, []*fakeEngine{engine})
	phase := func() api.EnginePhase { return f.endpoint("narrator", "e1").reported().phase }
	eventually(t, func() bool { return phase() == api.PhaseDraining })
	time.Sleep(5 * config.Intervals.Load) // exhaust the budget
	engine.setPhase(api.PhaseServing)
	eventually(t, func() bool { return phase() == api.PhaseServing })
}

// The bytes charged for a poll match the bytes measured on a keep-alive connection.
func TestWireBytesMatchConnection(t *testing.T) {
	current, counting := largeFleet(t, 1)
	config := fastConfig()
	config.Intervals.Load = time.Minute
	proxy, _ := startPollingProxy(t, config, current)
	narrator := proxy.lanes.find("narrator")
	eventually(t, func() bool { return (*narrator.endpoints.Load())["engine-00000"].reported().hasReported })
	budget := &pollBudget{}
	budget.resize(1 << 20)
	p := &poller{proxy: proxy, lane: narrator, endpoint: (*narrator.endpoints.Load())["engine-00000"]}
	before := counting.bytes.Load()
	const polls = 50
	for range polls {
		budget.limiter.ReserveN(time.Now(), typicalPollBytes)
		var load engineapi.Load
		_, err := p.getJSON(context.Background(), budget, engineapi.PathLoad, &load)
		must.NoError(t, err)
	}
	wire := float64(counting.bytes.Load()-before) / polls
	request, _ := http.NewRequest(http.MethodGet, "http://"+counting.Addr().String()+engineapi.PathLoad, nil)
	request.Header.Set(engineapi.HeaderRequestID, newPollIdentity().RequestID)
	header, _ := p.getJSON(context.Background(), budget, engineapi.PathLoad, &engineapi.Load{})
	body := 0
	_, _ = fmt.Sscan(header.Get("Content-Length"), &body)
	must.Between(t, 0.97*wire, float64(wireBytes(request, header, body)), 1.03*wire)
}

func endpointNames(l *lane) map[string]bool {
	names := map[string]bool{}
	for name := range *l.endpoints.Load() {
		names[name] = true
	}
	return names
}

// A proxy uses six of sixty engines, four of them in its own zone, and routes only to these. When one
// of them leaves the fleet, exactly one other replaces it.
func TestSubsetReplacesRemovedEngine(t *testing.T) {
	current, _ := largeFleet(t, 60)
	config := fastConfig()
	config.Zone = "zone-0"
	config.Subset = subset.Sizes{Local: 4, Remote: 2}
	proxy, views := startPollingProxy(t, config, current)
	lane := proxy.lanes.find("narrator")
	before := endpointNames(lane)
	must.MapLen(t, 6, before)
	local := 0
	removed := ""
	for name := range before {
		if current.Engines[name].Spec.Zone == "zone-0" {
			local++
			removed = name
		}
	}
	must.Eq(t, 4, local)
	s := proxy.viewState()
	must.Len(t, 6, lane.snapshot(&s).Endpoints)

	next, _ := largeFleet(t, 60)
	for name, engine := range next.Engines {
		engine.Spec.Address = current.Engines[name].Spec.Address
	}
	delete(next.Engines, removed)
	next.Version.Revision = 2
	views.view.Store(next)
	proxy.viewState()
	after := endpointNames(lane)
	must.MapLen(t, 6, after)
	kept := 0
	for name := range after {
		if before[name] {
			kept++
		}
	}
	must.Eq(t, 5, kept)
	must.False(t, after[removed])
	must.MapLen(t, 6, lane.pollers)
}

func TestSmallFleetIsPolledCompletely(t *testing.T) {
	current, _ := largeFleet(t, 9)
	proxy, _ := startPollingProxy(t, fastConfig(), current)
	must.MapLen(t, 9, endpointNames(proxy.lanes.find("narrator")))
}

// BenchmarkPolling measures the cost of polling 2,000 engines: all of them, a subset, and a subset
// with the default budget. The processor time includes that of the fake engines.
func BenchmarkPolling(b *testing.B) {
	const engineCount, settleTime = 2000, 5 * time.Second
	cases := map[string]func(*Config){
		"whole": func(c *Config) {
			c.Subset, c.Limits.PollBytes = subset.Sizes{Local: engineCount, Remote: engineCount}, 1<<30
		},
		"subset":           func(c *Config) { c.Limits.PollBytes = 1 << 30 },
		"subset_and_bytes": func(*Config) {},
	}
	for name, change := range cases {
		b.Run(name, func(b *testing.B) {
			config := Config{ID: "proxy-1", Zone: "zone-0"}
			change(&config)
			current, counting := largeFleet(b, engineCount)
			_, _ = startPollingProxy(b, config, current)
			time.Sleep(settleTime)
			bytes, busy, began := counting.bytes.Load(), processorTime(b), time.Now()
			for b.Loop() {
				time.Sleep(settleTime)
			}
			seconds := time.Since(began).Seconds()
			b.ReportMetric(float64(counting.bytes.Load()-bytes)/seconds, "bytes/s")
			b.ReportMetric((processorTime(b)-busy).Seconds()/seconds, "cores")
		})
	}
}

func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	must.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkView measures applying a new view of 10,000 engines.
func BenchmarkView(b *testing.B) {
	current, _ := largeFleet(b, 10_000)
	config := Config{ID: "proxy-1", Zone: "zone-0"}
	config.Intervals.View = time.Hour
	proxy, views := startPollingProxy(b, config, current)
	for b.Loop() {
		next := *current
		next.Version.Revision = proxy.viewState().catalog.view.Version.Revision + 1
		views.view.Store(&next)
		proxy.viewState()
	}
}
