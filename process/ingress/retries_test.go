package ingress

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// retryFleet is a fleet of proxies in virtual time that serve one service. A killed proxy is replaced by a process
// that knows nothing of the one before it.
type retryFleet struct {
	budget    RetryBudget
	random    *rand.Rand
	now       time.Duration
	processes []*retryProcess
	requests  []time.Duration // when clients sent them, in order
	retries   []time.Duration // when they were granted, in order
	wanted    int             // retries that were asked for
	// partitioned proxies get no requests. listed are those that the view lists, of the given revision.
	partitioned map[int]bool
	listed      map[string]*api.Proxy
	revision    uint64
}

// retryProcess is one process of a proxy. Its clock starts at zero with it.
type retryProcess struct {
	startedAt time.Duration
	upstreams *upstreams
	upstream  *upstream
}

// retryFleetSize is a size of a fleet with the budget and the traffic of a deployment of that size.
type retryFleetSize struct {
	proxies, requestsPerSecond int
	reserve                    float64
}

var retryFleetSizes = []retryFleetSize{{3, 290, 56}, {30, 290, 56}, {300, 600, 200}}

func newRetryFleet(size retryFleetSize, seed uint64) *retryFleet {
	fleet := &retryFleet{
		budget:    RetryBudget{Share: 0.2, Reserve: size.reserve, Window: 10 * time.Second},
		random:    rand.New(rand.NewPCG(seed, uint64(size.proxies))),
		processes: make([]*retryProcess, size.proxies),
	}
	for i := range fleet.processes {
		fleet.start(i)
	}
	fleet.relist()
	return fleet
}

// relist sends all processes a view that lists the proxies that are not partitioned.
func (f *retryFleet) relist() {
	f.revision++
	f.listed = map[string]*api.Proxy{}
	for i := range f.processes {
		if !f.partitioned[i] {
			f.listed[retryProxyName(i)] = &api.Proxy{}
		}
	}
	for _, process := range f.processes {
		f.update(process)
	}
}

// update sends a process the present view.
func (f *retryFleet) update(process *retryProcess) {
	current := &view.View{Version: view.Version{Term: 1, Revision: f.revision}, Proxies: f.listed}
	process.upstreams.update(current, f.now-process.startedAt)
}

func retryProxyName(number int) string { return fmt.Sprint("proxy-", number) }

// partition partitions all but the given share of the proxies, or none if it is 1. The view lists them again, or no
// longer, after the delay, in which requests fail with the probability.
func (f *retryFleet) partition(connected float64, delay time.Duration, requestsPerSecond int, failing float64) {
	f.partitioned = map[int]bool{}
	for _, proxy := range f.random.Perm(len(f.processes))[max(1, int(connected*float64(len(f.processes)))):] {
		f.partitioned[proxy] = true
	}
	f.play(requestsPerSecond, delay, failing)
	f.relist()
}

// start replaces the process of a proxy.
func (f *retryFleet) start(proxy int) {
	process := &retryProcess{startedAt: f.now}
	config := Config{Name: retryProxyName(proxy), Retry: f.budget}.WithDefaults()
	process.upstreams = newUpstreams(config, func() time.Duration { return f.now - process.startedAt })
	if f.revision > 0 {
		f.update(process)
	}
	process.upstream = process.upstreams.get("model")
	f.processes[proxy] = process
}

// kill replaces the processes of a share of the proxies, all of the first ones if zone is true.
func (f *retryFleet) kill(share float64, zone bool) {
	order := f.random.Perm(len(f.processes))
	if zone {
		sort.Ints(order)
	}
	for _, proxy := range order[:int(share*float64(len(order)))] {
		f.start(proxy)
	}
}

// play sends requests at the rate for the duration. Each fails with the probability, and is then sent again if
// the budget allows it.
func (f *retryFleet) play(requestsPerSecond int, duration time.Duration, failing float64) {
	interval := time.Second / time.Duration(requestsPerSecond)
	for end := f.now + duration; f.now < end; f.now += interval {
		proxy := f.random.IntN(len(f.processes))
		for f.partitioned[proxy] {
			proxy = f.random.IntN(len(f.processes))
		}
		process := f.processes[proxy]
		f.requests = append(f.requests, f.now)
		process.upstream.budget.CountRequest(f.now - process.startedAt)
		if f.random.Float64() >= failing {
			continue
		}
		f.wanted++
		if process.upstream.budget.Withdraw(f.now - process.startedAt) {
			f.retries = append(f.retries, f.now)
		}
	}
}

// countBetween returns how many of the sorted times are in [from, to).
func countBetween(times []time.Duration, from, to time.Duration) int {
	first := sort.Search(len(times), func(i int) bool { return times[i] >= from })
	last := sort.Search(len(times), func(i int) bool { return times[i] >= to })
	return last - first
}

// checkEveryWindow compares the retries of all processes in every window with the budget: a share of the
// requests of that window, of the one before or of the one half a window earlier, and the reserve.
func (f *retryFleet) checkEveryWindow(t *testing.T) {
	t.Helper()
	window := f.budget.Window
	for _, start := range f.retries {
		requests := max(
			countBetween(f.requests, start, start+window),
			countBetween(f.requests, start-window/2, start+window/2),
			countBetween(f.requests, start-window, start),
		)
		granted := float64(countBetween(f.retries, start, start+window))
		allowed := f.budget.Share*float64(requests) + f.budget.Reserve
		if granted > allowed {
			t.Fatalf("%.0f retries in the window from %v for %d requests; allowed %.0f", granted, start, requests, allowed)
		}
	}
}

// eachRetryFleet runs the test with several seeds for each size.
func eachRetryFleet(t *testing.T, play func(t *testing.T, size retryFleetSize, fleet *retryFleet)) {
	for _, size := range retryFleetSizes {
		t.Run(fmt.Sprint(size.proxies), func(t *testing.T) {
			for seed := range uint64(8) {
				play(t, size, newRetryFleet(size, seed))
			}
		})
	}
}

// Guards against processes that spend what the killed ones before them have spent already.
func TestRetriesOfKilledProxiesStayWithinTheBudget(t *testing.T) {
	eachRetryFleet(t, func(t *testing.T, size retryFleetSize, fleet *retryFleet) {
		fleet.play(size.requestsPerSecond, 12*time.Second, 0)
		for range 3 {
			fleet.play(size.requestsPerSecond, 3*time.Second, 0.8)
			fleet.kill(1, false)
		}
		fleet.play(size.requestsPerSecond, 12*time.Second, 0.8)
		fleet.checkEveryWindow(t)
	})
}

// Guards against the same for any course of kills, of single proxies, of many and of whole zones, with any share
// of failures and any changes of the traffic between them.
func TestAnyCourseOfKillsStaysWithinTheRetryBudget(t *testing.T) {
	eachRetryFleet(t, func(t *testing.T, size retryFleetSize, fleet *retryFleet) {
		for range 40 {
			pause := time.Duration(fleet.random.IntN(3000)+1) * time.Millisecond
			rate := max(1, size.requestsPerSecond*(1+fleet.random.IntN(16))/16)
			fleet.play(rate, pause, []float64{0, 0.05, 0.8, 1}[fleet.random.IntN(4)])
			if fleet.random.IntN(3) > 0 {
				fleet.kill([]float64{0.01, 0.34, 0.6, 1}[fleet.random.IntN(4)], fleet.random.IntN(2) == 0)
			}
		}
		fleet.checkEveryWindow(t)
	})
}

// Guards against proxies that return from a partition and use their parts of the reserve, although the others have
// divided it among themselves meanwhile; through kills of single proxies, of many and of all meanwhile.
func TestProxiesThatReturnStayWithinTheRetryBudget(t *testing.T) {
	eachRetryFleet(t, func(t *testing.T, size retryFleetSize, fleet *retryFleet) {
		for _, rate := range []int{size.requestsPerSecond, max(1, size.requestsPerSecond/10)} {
			fleet.play(rate, 12*time.Second, 0)
			fleet.partition([]float64{0.05, 0.17, 0.34, 0.67}[fleet.random.IntN(4)], 200*time.Millisecond, rate, 0.8)
			for range 8 + fleet.random.IntN(24) {
				fleet.play(rate, time.Second, []float64{0, 0.8, 1}[fleet.random.IntN(3)])
				fleet.relist()
				if fleet.random.IntN(8) == 0 {
					fleet.kill([]float64{0.01, 0.34, 1}[fleet.random.IntN(3)], false)
				}
			}
			fleet.partition(1, time.Duration(200+fleet.random.IntN(4000))*time.Millisecond, rate, 1)
			fleet.play(rate, 22*time.Second, 1)
		}
		fleet.checkEveryWindow(t)
	})
}

// Guards against a budget that is kept by granting nothing: a tenth of the requests fails for half a minute, of
// which the budget allows all, whether the processes are old or all of them have just started.
func TestRetriesWithinTheBudgetAreGranted(t *testing.T) {
	eachRetryFleet(t, func(t *testing.T, size retryFleetSize, fleet *retryFleet) {
		fleet.play(size.requestsPerSecond, 12*time.Second, 0)
		for _, course := range []struct {
			name    string
			kill    float64
			granted float64 // least share of the retries that must be granted
		}{{"old", 0, 0.9}, {"started", 1, 0.75}} {
			fleet.kill(course.kill, false)
			fleet.retries, fleet.wanted = nil, 0
			fleet.play(size.requestsPerSecond, 30*time.Second, 0.1)
			must.GreaterEq(t, course.granted*float64(fleet.wanted), float64(len(fleet.retries)), must.Sprint(course.name))
		}
	})
}

// Guards against a reserve that is used while the others divide it without this proxy, or while what they spent then
// still counts; and against one that is withheld at the first start of all, when nobody has spent anything.
func TestReserveIsWithheldWhileTheProxyIsNotListed(t *testing.T) {
	const window = 10 * time.Second
	for _, test := range []struct {
		name   string
		settle time.Duration
		first  bool // at the first start, it may be used before the proxy is listed
	}{{"first start", -1, true}, {"later start", window, false}} {
		t.Run(test.name, func(t *testing.T) {
			upstreams := newUpstreams(Config{Name: "own", Retry: RetryBudget{Reserve: 100, Window: window, Settle: test.settle}}, nil)
			upstreams.clock = func() time.Duration { return 0 }
			revision := uint64(0)
			list := func(now time.Duration, names ...string) {
				revision++
				listed := map[string]*api.Proxy{"other": {}}
				for _, name := range names {
					listed[name] = &api.Proxy{}
				}
				upstreams.update(&view.View{Version: view.Version{Term: 1, Revision: revision}, Proxies: listed}, now)
			}
			grants := func(now time.Duration) bool { return upstreams.get("used").budget.Withdraw(now) }
			list(0)
			must.Eq(t, test.first, grants(2*window), must.Sprint("not listed yet"))
			list(2*window, "own")
			must.True(t, grants(3*window+listingDelay))
			list(4 * window)
			must.False(t, grants(9*window))
			must.False(t, upstreams.get("not used before").budget.Withdraw(9*window))
			list(9*window, "own")
			must.False(t, grants(10*window))
			must.True(t, grants(10*window+listingDelay))
		})
	}
}
