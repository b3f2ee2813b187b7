package ingress

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/request/retry"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// upstream holds everything that requests of one service use. Upstreams share nothing, so that
// plain services never wait for model work.
type upstream struct {
	service string
	pool    *exchange.Pool
	budget  *retry.Window
	fleet   *fleet
	clock   func() time.Duration
	speed   prefillSpeed
}

// upstreams creates an upstream for each requested service and keeps it.
type upstreams struct {
	config   Config
	clock    func() time.Duration
	holdoffs *holdoff.Table
	// lookupNamed returns replicas that the control group has named and the view does not list;
	// nil if there are none.
	lookupNamed func(name string) *api.Replica
	// proxies is the number of proxies that share the budgets.
	proxies atomic.Int64

	lock       sync.Mutex
	version    view.Version
	listed     listing // of that version
	byService  map[string]*upstream
	proxyCount proxyCount
}

func newUpstreams(config Config, clock func() time.Duration) *upstreams {
	asks := holdoff.NewTable(holdoff.Config{Notice: config.LeaveNotice})
	return &upstreams{config: config, clock: clock, holdoffs: asks, byService: map[string]*upstream{}}
}

// get returns the upstream of a service.
func (l *upstreams) get(service string) *upstream {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.getLocked(service)
}

func (l *upstreams) getLocked(service string) *upstream {
	if opened := l.byService[service]; opened != nil {
		return opened
	}
	pool := exchange.NewPool(exchange.Config{Clock: l.clock})
	opened := &upstream{
		service: service,
		pool:    pool,
		clock:   l.clock,
		fleet:   newFleet(service, pool, l.holdoffs, l.lookupNamed),
		budget:  retry.NewWindow(shareMargin*l.config.Retry.Share, l.config.Retry.Reserve, l.config.Retry.Window),
	}
	opened.budget.HoldReserve(l.config.Retry.Settle)
	opened.budget.SetReserve(reserveShare(l.config.Retry.Reserve, int(l.proxies.Load())))
	opened.fleet.update(l.listed, l.clock())
	l.byService[service] = opened
	return opened
}

// update applies a view that is newer than the last one. Requests in flight to replicas that are
// gone continue.
func (l *upstreams) update(current *view.View, now time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if current.Version.Compare(l.version) <= 0 {
		return
	}
	l.version = current.Version
	l.listed = current.Replicas
	proxies := l.proxyCount.observe(len(current.Proxies), now, l.config.Retry.Window)
	l.proxies.Store(int64(proxies))
	share := reserveShare(l.config.Retry.Reserve, proxies)
	for _, opened := range l.byService {
		opened.fleet.update(l.listed, now)
		opened.budget.SetReserve(share)
	}
	l.holdoffs.Forget(now)
}

// proxyCount counts the proxies that share a reserve. One that is no longer listed may still
// serve, or may have used its share within the current window.
type proxyCount struct {
	max    int
	maxAt  time.Duration // when that many were last listed
	listed int
}

// observe records the number of listed proxies and returns the number that share the reserve.
func (s *proxyCount) observe(listed int, now, window time.Duration) int {
	if s.listed == s.max {
		s.maxAt = now
	}
	s.listed = listed
	if listed >= s.max || now-s.maxAt > window {
		s.max, s.maxAt = listed, now
	}
	return s.max
}

// reserveMargin is the usable part of the shared reserve. The rest covers proxies that have just
// started, which do not know what was sent before.
const reserveMargin = 0.8

// shareMargin is the usable part of the request share. The rest covers prefills that were under
// way when the budget was used up and may yet be refused.
const shareMargin = 0.95

// reserveShare returns one proxy's part of the shared reserve.
func reserveShare(reserve float64, proxies int) float64 {
	return reserve * reserveMargin / float64(max(proxies, 1))
}

// all returns the existing upstreams.
func (l *upstreams) all() []*upstream {
	l.lock.Lock()
	defer l.lock.Unlock()
	return slices.Collect(maps.Values(l.byService))
}

func (l *upstreams) close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, opened := range l.byService {
		opened.pool.Close()
	}
}

// prefillSpeed estimates the prefill speed of an upstream's replicas.
type prefillSpeed struct {
	lock sync.Mutex
	// timePerToken is the time to prefill one token on a prefill replica; 0 before the first
	// measurement.
	timePerToken time.Duration
}

// initialTimePerToken is the estimate before the first measurement.
const initialTimePerToken = 20 * time.Microsecond

// speedWeight is the weight of the last measurement in the moving average.
const speedWeight = 0.05

func (s *prefillSpeed) tokenTime() time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.timePerToken == 0 {
		return initialTimePerToken
	}
	return s.timePerToken
}

// learn records the duration of a prefill of that many tokens, including waits.
func (s *prefillSpeed) learn(tokens int, took time.Duration) {
	if tokens < minMeasuredTokens {
		return
	}
	measured := took / time.Duration(tokens)
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.timePerToken == 0 {
		s.timePerToken = initialTimePerToken
	}
	s.timePerToken += time.Duration(speedWeight * float64(measured-s.timePerToken))
}

// minMeasuredTokens is the shortest prefill whose duration is used for the estimate.
const minMeasuredTokens = 1000
