package proxy

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/connection/upstream"
	"github.com/landingtrail/landingtrail/request/limit"
	"github.com/landingtrail/landingtrail/request/retry"
	"github.com/landingtrail/landingtrail/request/router"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/subset"
)

// lane is everything that requests of one service use: connections, queue and
// endpoints. Lanes share nothing, so that frames and lookups never wait for
// model work.
type lane struct {
	service string
	kind    api.ServiceType
	pool    *upstream.Pool
	polls   *upstream.Pool // load reports must not wait behind requests
	queue   *limit.Queue
	// budget pays for retries; failures of one service cost another none.
	budget *retry.Budget
	// loadBudget and cacheBudget bound the bytes of polls.
	loadBudget  *pollBudget
	cacheBudget *pollBudget
	// endpoints is replaced whole when the followed set changes.
	endpoints atomic.Pointer[map[string]*endpoint]

	lock    sync.Mutex // held while the followed set changes
	pollers map[string]*poller
}

func newLane(config *Config, service *api.Service, foreign func(address string, cause error)) *lane {
	opened := &lane{
		service: service.Name,
		kind:    service.Spec.Type,
		pool:    upstream.NewPool(upstream.Config{DialTimeout: config.Timeouts.Dial, Foreign: foreign}),
		polls:   upstream.NewPool(upstream.Config{DialTimeout: config.Timeouts.Dial, MaxIdlePerHost: 2, Foreign: foreign}),
		queue: limit.NewQueue(limit.Config{
			MaxInFlight: laneWidth(config, service),
			QueueLimit:  config.Limits.QueueLimit,
		}),
		budget:      retry.NewBudget(config.Limits.RetryShare, config.Limits.RetryReserve),
		loadBudget:  &pollBudget{},
		cacheBudget: &pollBudget{},
		pollers:     map[string]*poller{},
	}
	opened.endpoints.Store(&map[string]*endpoint{})
	return opened
}

func laneWidth(config *Config, service *api.Service) int {
	if service.Spec.MaxInFlight > 0 {
		return service.Spec.MaxInFlight
	}
	return config.Limits.MaxInFlight
}

// member is a back end that a view names for a lane.
type member struct {
	name, address, zone, group string
}

// members lists the back ends of a service, in no order.
func (c *catalog) members(service *api.Service) []member {
	if service.Spec.Type != api.ServiceModel {
		members := make([]member, 0, len(service.Spec.Backends))
		for _, backend := range service.Spec.Backends {
			members = append(members, member{name: backend.Name, address: backend.Address, zone: backend.Zone})
		}
		return members
	}
	members := make([]member, 0, len(c.view.Engines))
	for name, engine := range c.view.Engines {
		if engine.Spec.Service != service.Name {
			continue
		}
		members = append(members, member{
			name:    name,
			address: engine.Spec.Address,
			zone:    engine.Spec.Zone,
			group:   c.group(engine),
		})
	}
	return members
}

// group names the engines that can stand in for the engine: those of the same
// intent in the same role.
func (c *catalog) group(engine *api.Engine) string {
	intent := ""
	if selected := c.intents[engine.Name]; selected != nil {
		intent = selected.Name
	}
	return intent + "/" + string(engine.Status.Assignment.Role)
}

// follow makes the lane follow the chosen members: it starts to poll new ones
// and stops polling those that are gone. What is in flight to these goes on.
func (l *lane) follow(p *Proxy, members []member) {
	chosen := l.choose(&p.config, members)
	l.lock.Lock()
	defer l.lock.Unlock()
	current := *l.endpoints.Load()
	next := make(map[string]*endpoint, len(chosen))
	for _, wanted := range chosen {
		known := current[wanted.name]
		if known == nil || known.address != wanted.address || known.zone != wanted.zone {
			known = newEndpoint(wanted.name, wanted.address, wanted.zone, l.kind == api.ServiceModel)
		}
		next[wanted.name] = known
	}
	if maps.Equal(current, next) {
		return
	}
	l.endpoints.Store(&next)
	for name, running := range l.pollers {
		if next[name] != running.endpoint {
			running.stop()
			delete(l.pollers, name)
		}
	}
	for name, followed := range next {
		if l.pollers[name] == nil {
			l.pollers[name] = p.startPoller(l, followed)
		}
	}
}

// choose returns the members that the proxy follows. It is called for each view
// with every member of the fleet, so it makes no map of them.
func (l *lane) choose(config *Config, members []member) []member {
	candidates := make([]subset.Endpoint, len(members))
	for i := range members {
		candidates[i] = subset.Endpoint{Name: members[i].name, Zone: members[i].zone, Group: members[i].group}
	}
	names := subset.Choose(config.ID, config.Zone, candidates, config.Subset)
	chosen := make([]member, 0, len(names))
	for i := range members {
		if _, wanted := slices.BinarySearch(names, members[i].name); wanted {
			chosen = append(chosen, members[i])
		}
	}
	return chosen
}

// close stops the polling and closes what is idle. Requests in flight go on.
func (l *lane) close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, running := range l.pollers {
		running.stop()
	}
	l.pollers = map[string]*poller{}
	l.pool.Close()
	l.polls.Close()
}

// standing is whether the view may be acted on, and if not, since when.
type standing struct {
	catalog  *catalog
	valid    bool
	lapsedAt time.Duration // when not valid
	now      time.Duration
}

// confirmed reports whether work may go to an endpoint with this word: always
// while the view's lease holds; after that only if it has spoken since.
func (s *standing) confirmed(word ownWord) bool {
	return s.valid || (word.heard && word.heardAt > s.lapsedAt)
}

// snapshot describes the lane's engines for the router.
func (l *lane) snapshot(s *standing) router.Snapshot {
	endpoints := *l.endpoints.Load()
	snapshot := router.Snapshot{Endpoints: make([]*router.Endpoint, 0, len(endpoints))}
	for name, followed := range endpoints {
		engine := s.catalog.view.Engines[name]
		if engine == nil {
			continue
		}
		snapshot.Endpoints = append(snapshot.Endpoints, followed.candidate(s, engine))
	}
	slices.SortFunc(snapshot.Endpoints, func(a, b *router.Endpoint) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
	return snapshot
}

func (e *endpoint) candidate(s *standing, engine *api.Engine) *router.Endpoint {
	candidate := &router.Endpoint{
		Incarnation: engine.Status.Incarnation,
		Role:        engine.Status.Assignment.Role,
		Model:       engine.Status.Assignment.Model,
		Version:     engine.Status.Assignment.Version,
		Adapters:    engine.Status.Assignment.Adapters,
		Admits:      e.admits(s, engine),
		Classes:     func(class string) bool { return s.catalog.serves(engine.Name, class) },
		CachedBlocks: func(blocks []uint64) (int, bool) {
			e.lock.Lock()
			defer e.lock.Unlock()
			return e.cache.leading(blocks)
		},
	}
	e.describe(s.now, candidate)
	return candidate
}

// admits reports whether the engine takes new work by every source: the view,
// its own word, and a word since the lease lapsed. An incarnation that differs
// from the committed one means that the view speaks of an earlier life.
func (e *endpoint) admits(s *standing, engine *api.Engine) bool {
	if engine.Spec.Drain || engine.Status.OpenOrder != nil || engine.Status.Phase != api.PhaseServing {
		return false
	}
	word := e.word()
	if closedPhase(word.phase) {
		return false
	}
	if word.incarnation != 0 && word.incarnation != engine.Status.Incarnation {
		return false
	}
	return s.confirmed(word)
}
