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
}

// retryProcess is one process of a proxy. Its clock starts at zero with it.
type retryProcess struct {
	startedAt time.Duration
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
	return fleet
}

// start replaces the process of a proxy.
func (f *retryFleet) start(proxy int) {
	process := &retryProcess{startedAt: f.now}
	upstreams := newUpstreams(Config{Retry: f.budget}.WithDefaults(), func() time.Duration { return f.now - process.startedAt })
	listed := map[string]*api.Proxy{}
	for i := range f.processes {
		listed[fmt.Sprint("proxy-", i)] = &api.Proxy{}
	}
	upstreams.update(&view.View{Version: view.Version{Term: 1, Revision: 1}, Proxies: listed}, 0)
	process.upstream = upstreams.get("model")
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
		process := f.processes[f.random.IntN(len(f.processes))]
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
