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

// lane is everything that requests of one service use. Lanes share nothing, so
// that plain services never wait behind model work.
type lane struct {
	service string
	pool    *exchange.Pool
	budget  *retry.Window
	fleet   *fleet
	clock   func() time.Duration
	speed   speed
}

// lanes opens a lane for each service that is asked for, and keeps it.
type lanes struct {
	config Config
	clock  func() time.Duration
	asks   *holdoff.Table
	// named returns replicas that the group has named beyond those that the view lists; nil
	// where there are none.
	named func(name string) *api.Replica
	// proxies is among how many what all proxies share is divided.
	proxies atomic.Int64

	lock    sync.Mutex
	version view.Version
	listed  listing // of the version
	open    map[string]*lane
	sharers sharers
}

func newLanes(config Config, clock func() time.Duration) *lanes {
	asks := holdoff.NewTable(holdoff.Config{Notice: config.LeaveNotice})
	return &lanes{config: config, clock: clock, asks: asks, open: map[string]*lane{}}
}

// lane returns the lane of a service.
func (l *lanes) lane(service string) *lane {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.laneLocked(service)
}

func (l *lanes) laneLocked(service string) *lane {
	if opened := l.open[service]; opened != nil {
		return opened
	}
	pool := exchange.NewPool(exchange.Config{Clock: l.clock})
	opened := &lane{
		service: service,
		pool:    pool,
		clock:   l.clock,
		fleet:   newFleet(service, pool, l.asks, l.named),
		budget:  retry.NewWindow(shareMargin*l.config.Retry.Share, l.config.Retry.Reserve, l.config.Retry.Window),
	}
	opened.budget.HoldReserve(l.config.Retry.Settle)
	opened.budget.SetReserve(reserveShare(l.config.Retry.Reserve, int(l.proxies.Load())))
	opened.fleet.follow(l.listed, l.clock())
	l.open[service] = opened
	return opened
}

// update takes in a view that is newer than the last one. What is in flight to replicas
// that are gone goes on.
func (l *lanes) update(current *view.View, now time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if current.Version.Compare(l.version) <= 0 {
		return
	}
	l.version = current.Version
	l.listed = current.Replicas
	proxies := l.sharers.among(len(current.Proxies), now, l.config.Retry.Window)
	l.proxies.Store(int64(proxies))
	share := reserveShare(l.config.Retry.Reserve, proxies)
	for _, opened := range l.open {
		opened.fleet.follow(l.listed, now)
		opened.budget.SetReserve(share)
	}
	l.asks.Forget(now)
}

// sharers counts the proxies that share a reserve. One that is not listed any
// more may still serve, or have spent its part within the window that ends now.
type sharers struct {
	most   int
	mostAt time.Duration // when there were last so many
	listed int
}

// among returns among how many the reserve is shared when so many are listed.
func (s *sharers) among(listed int, now, window time.Duration) int {
	if s.listed == s.most {
		s.mostAt = now
	}
	s.listed = listed
	if listed >= s.most || now-s.mostAt > window {
		s.most, s.mostAt = listed, now
	}
	return s.most
}

// reserveMargin is the part of the shared reserve that may be used, so that what
// proxies use that have just started, which know nothing of what was sent before,
// fits into the rest.
const reserveMargin = 0.8

// shareMargin is the part of the share of requests that may be used: reads that
// were under way when the rest was used up may yet be refused.
const shareMargin = 0.95

// reserveShare is one proxy's part of the reserve that all of them share.
func reserveShare(reserve float64, proxies int) float64 {
	return reserve * reserveMargin / float64(max(proxies, 1))
}

// all returns the open lanes.
func (l *lanes) all() []*lane {
	l.lock.Lock()
	defer l.lock.Unlock()
	return slices.Collect(maps.Values(l.open))
}

func (l *lanes) close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, opened := range l.open {
		opened.pool.Close()
	}
}

// speed is what a lane has learnt of its replicas' pace, with a guess to begin with.
type speed struct {
	lock sync.Mutex
	// perToken is the time that reading one prompt token takes at a replica that
	// is meant to read prompts.
	perToken time.Duration
}

// firstPerToken is the guess before anything was measured.
const firstPerToken = 20 * time.Microsecond

// speedWeight is the weight of the last measure.
const speedWeight = 0.05

func (s *speed) tokenTime() time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.perToken == 0 {
		return firstPerToken
	}
	return s.perToken
}

// learn takes in that reading so many tokens took so long, waits included.
func (s *speed) learn(tokens int, took time.Duration) {
	if tokens < minimumMeasured {
		return
	}
	measured := took / time.Duration(tokens)
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.perToken == 0 {
		s.perToken = firstPerToken
	}
	s.perToken += time.Duration(speedWeight * float64(measured-s.perToken))
}

// minimumMeasured is how many tokens a read must have for its time to tell the pace.
const minimumMeasured = 1000
