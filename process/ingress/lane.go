package ingress

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/request/retry"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// upstream holds everything that requests of one service use. Upstreams share nothing but the
// table of pauses and departures, so that requests of plain services, which have no prompts, never
// wait for model requests.
type upstream struct {
	service string
	pool    *exchange.Pool
	budget  *retry.ProxyBudget
	fleet   *fleet
	clock   func() time.Duration
	speed   prefillSpeed
	lender  lenderState
	// retryPacer spaces out the callers that are refused because all replicas have used up their limits.
	retryPacer ratelimit.RetryPacer
}

// upstreams holds an upstream for each service that has been requested.
type upstreams struct {
	config   Config
	clock    func() time.Duration
	holdoffs *holdoff.Table
	// lookupUnlisted returns the entry of a replica that the control group has named and the view
	// does not list, or nil; it is nil itself if there are no such replicas.
	lookupUnlisted func(name string) *api.Replica
	// proxies is the number of proxies that share the budgets.
	proxies atomic.Int64
	// proxyNames are those of the last view, nil before.
	proxyNames atomic.Pointer[proxyNames]
	// rampChanged is called with each begin and end of a ramp; nil for no call.
	rampChanged func(change rampChange)

	lock         sync.Mutex
	version      view.Version
	listed       listing // of that version
	byService    map[string]*upstream
	proxyCounter proxyCounter
	// isListed is true if the last view lists this proxy. reserveHeldUntil is until when its part of the
	// reserves is withheld for that.
	isListed         bool
	reserveHeldUntil time.Duration
}

func newUpstreams(config Config, clock func() time.Duration) *upstreams {
	holdoffs := holdoff.NewTable(holdoff.Config{LeavingGrace: config.LeaveNotice})
	return &upstreams{config: config, clock: clock, holdoffs: holdoffs, byService: map[string]*upstream{}}
}

// get returns the upstream of a service.
func (u *upstreams) get(service string) *upstream {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.getLocked(service)
}

func (u *upstreams) getLocked(service string) *upstream {
	if result := u.byService[service]; result != nil {
		return result
	}
	pool := exchange.NewPool(exchange.Config{Clock: u.clock, Dial: u.config.Dial})
	result := &upstream{
		service: service,
		pool:    pool,
		clock:   u.clock,
		fleet:   newFleet(service, pool, u.holdoffs, u.lookupUnlisted),
		budget:  u.newBudget(),
	}
	result.fleet.ramps = u.newRampContext(service)
	result.fleet.update(u.listed, u.clock())
	u.byService[service] = result
	return result
}

// newBudget returns this proxy's part of a service's retry budget.
func (u *upstreams) newBudget() *retry.ProxyBudget {
	config := u.config.Retry
	reserve := reserveShare(config.Reserve, int(u.proxies.Load()))
	settle := max(config.Settle, u.reserveHeldUntil)
	return retry.NewProxyBudget(usableShare*config.Share, reserve, config.Window, settle)
}

// update applies a view that is newer than the last one. Requests in flight to replicas that are
// gone continue.
func (u *upstreams) update(current *view.View, now time.Duration) {
	u.lock.Lock()
	defer u.lock.Unlock()
	if current.Version.Compare(u.version) <= 0 {
		return
	}
	u.version = current.Version
	u.listed = current.Replicas
	proxies := u.proxyCounter.observe(len(current.Proxies), now, u.config.Retry.Window)
	u.proxies.Store(int64(proxies))
	u.proxyNames.Store(&current.Proxies)
	share := reserveShare(u.config.Retry.Reserve, proxies)
	for _, upstream := range u.byService {
		upstream.fleet.update(u.listed, now)
		upstream.budget.SetReserve(share)
	}
	_, listed := current.Proxies[u.config.Name]
	u.observeOwnListing(listed, now)
	u.holdoffs.Forget(now)
}

const (
	// untilListed is the end of a time that ends once this proxy is listed.
	untilListed = time.Duration(math.MaxInt64)
	// listingDelay is how much later than this proxy others may receive the view that lists it again.
	listingDelay = time.Second
)

// observeOwnListing withholds this proxy's part of the reserves while it is not listed, because the others
// then divide them without it, and afterwards until what they have spent has left the window. At the first
// start of all proxies nothing has been spent, and it need not wait until it is listed.
func (u *upstreams) observeOwnListing(listed bool, now time.Duration) {
	firstStart := u.config.Retry.Settle < 0
	switch {
	case !listed && (u.isListed || !firstStart):
		u.holdReserves(untilListed)
	case listed && u.reserveHeldUntil == untilListed:
		u.holdReserves(now + u.config.Retry.Window + listingDelay)
	}
	u.isListed = listed
}

// holdReserves withholds this proxy's part of the reserves of all services until the given time, and
// for RetryBudget.Settle after its start in any case.
func (u *upstreams) holdReserves(until time.Duration) {
	u.reserveHeldUntil = until
	for _, upstream := range u.byService {
		upstream.budget.WithholdReserve(max(u.config.Retry.Settle, until))
	}
}

// proxyCounter counts the proxies that share a reserve: the maximum number listed within the last
// window. One that is no longer listed may still serve, or may have used its share within the
// current window.
type proxyCounter struct {
	max    int
	maxAt  time.Duration // when max proxies were last listed
	listed int
}

// observe records the number of listed proxies and returns the number that share the reserve.
func (c *proxyCounter) observe(listed int, now, window time.Duration) int {
	if c.listed == c.max {
		c.maxAt = now
	}
	c.listed = listed
	if listed >= c.max || now-c.maxAt > window {
		c.max, c.maxAt = listed, now
	}
	return c.max
}

// usableReserve is the share of the reserve that the proxies divide. The leader lends pooledReserve; the rest
// covers new leaders, which together lend at most pooledReserve again in a window before they know what the ones
// before have lent, and proxies that are missing from the list and still serve.
const usableReserve = 0.4

// usableShare is the share of RetryBudget.Share that is used. The rest covers the time between the
// grant of a retry and its arrival.
const usableShare = 0.95

// reserveShare returns one proxy's part of the shared reserve.
func reserveShare(reserve float64, proxies int) float64 {
	return reserve * usableReserve / float64(max(proxies, 1))
}

// all returns the existing upstreams.
func (u *upstreams) all() []*upstream {
	u.lock.Lock()
	defer u.lock.Unlock()
	return slices.Collect(maps.Values(u.byService))
}

func (u *upstreams) close() {
	u.lock.Lock()
	defer u.lock.Unlock()
	for _, upstream := range u.byService {
		upstream.pool.Close()
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

// tokenTime returns the estimated time to prefill one token.
func (p *prefillSpeed) tokenTime() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.timePerToken == 0 {
		return initialTimePerToken
	}
	return p.timePerToken
}

// observe records the duration of a prefill of that many tokens, from sending it to its answer.
// The estimate therefore includes the time that prefills wait at the replica.
func (p *prefillSpeed) observe(tokens int, took time.Duration) {
	if tokens < minMeasuredTokens {
		return
	}
	measured := took / time.Duration(tokens)
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.timePerToken == 0 {
		p.timePerToken = initialTimePerToken
	}
	p.timePerToken += time.Duration(speedWeight * float64(measured-p.timePerToken))
}

// minMeasuredTokens is the shortest prefill whose duration is used for the estimate.
const minMeasuredTokens = 1000
