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

// lane holds the connections, the queue, the retry budget and the endpoints of one service. Lanes
// share none of these, so that fast requests to plain backends never wait behind model requests.
type lane struct {
	service  string
	kind     api.ServiceType
	pool     *upstream.Pool
	pollPool *upstream.Pool // separate from pool, so that polls never wait behind requests
	queue    *limit.Queue
	// budget limits retries, per service so that the failures of one do not use up the retries
	// of another.
	budget *retry.Budget
	// loadBudget and cacheBudget limit the traffic of load and cache event polls.
	loadBudget  *pollBudget
	cacheBudget *pollBudget
	// endpoints maps names to the endpoints that the proxy polls and routes to. The map is
	// immutable and is replaced when the set changes.
	endpoints atomic.Pointer[map[string]*endpoint]

	lock    sync.Mutex // held while endpoints and pollers change
	pollers map[string]*poller
}

// newLane returns a lane without endpoints. onUnmatchedResponse is called for each unmatched
// response.
func newLane(config *Config, service *api.Service, onUnmatchedResponse func(address string, cause error)) *lane {
	created := &lane{
		service:  service.Name,
		kind:     service.Spec.Type,
		pool:     upstream.NewPool(upstream.Config{DialTimeout: config.Timeouts.Dial, OnUnmatchedResponse: onUnmatchedResponse}),
		pollPool: upstream.NewPool(upstream.Config{DialTimeout: config.Timeouts.Dial, MaxIdlePerHost: 2, OnUnmatchedResponse: onUnmatchedResponse}),
		queue: limit.NewQueue(limit.Config{
			MaxInFlight: maxInFlight(config, service),
			QueueLimit:  config.Limits.QueueLimit,
		}),
		budget:      retry.NewBudget(config.Limits.RetryShare, config.Limits.RetryReserve),
		loadBudget:  &pollBudget{},
		cacheBudget: &pollBudget{},
		pollers:     map[string]*poller{},
	}
	created.endpoints.Store(&map[string]*endpoint{})
	return created
}

func maxInFlight(config *Config, service *api.Service) int {
	if service.Spec.MaxInFlight > 0 {
		return service.Spec.MaxInFlight
	}
	return config.Limits.MaxInFlight
}

// endpointSpec is an engine or backend of a service, as the view describes it. Endpoints with the
// same group can replace each other in the subset that the proxy uses.
type endpointSpec struct {
	name, address, zone, group string
}

// endpointSpecs lists the engines or backends of a service in unspecified order.
func (c *catalog) endpointSpecs(service *api.Service) []endpointSpec {
	if service.Spec.Type != api.ServiceModel {
		specs := make([]endpointSpec, 0, len(service.Spec.Backends))
		for _, backend := range service.Spec.Backends {
			specs = append(specs, endpointSpec{name: backend.Name, address: backend.Address, zone: backend.Zone})
		}
		return specs
	}
	specs := make([]endpointSpec, 0, len(c.view.Engines))
	for name, engine := range c.view.Engines {
		if engine.Spec.Service != service.Name {
			continue
		}
		specs = append(specs, endpointSpec{
			name:    name,
			address: engine.Spec.Address,
			zone:    engine.Spec.Zone,
			group:   c.engineGroup(engine),
		})
	}
	return specs
}

// engineGroup returns the name of the engine's group. The engines of one intent and role are
// interchangeable.
func (c *catalog) engineGroup(engine *api.Engine) string {
	intent := ""
	if selected := c.intentByEngine[engine.Name]; selected != nil {
		intent = selected.Name
	}
	return intent + "/" + string(engine.Status.Assignment.Role)
}

// updateEndpoints selects the endpoints that the lane uses, starts polling new ones and stops
// polling those that are no longer selected. Requests in flight to the latter continue.
func (l *lane) updateEndpoints(p *Proxy, specs []endpointSpec) {
	selected := l.selectSubset(&p.config, specs)
	l.lock.Lock()
	defer l.lock.Unlock()
	current := *l.endpoints.Load()
	next := make(map[string]*endpoint, len(selected))
	for _, spec := range selected {
		ep := current[spec.name]
		if ep == nil || ep.address != spec.address || ep.zone != spec.zone {
			ep = newEndpoint(spec.name, spec.address, spec.zone, l.kind == api.ServiceModel)
		}
		next[spec.name] = ep
	}
	if maps.Equal(current, next) {
		return
	}
	l.endpoints.Store(&next)
	for name, active := range l.pollers {
		if next[name] != active.endpoint {
			active.stop()
			delete(l.pollers, name)
		}
	}
	for name, target := range next {
		if l.pollers[name] == nil {
			l.pollers[name] = p.startPoller(l, target)
		}
	}
}

// selectSubset returns the specs of the endpoints that the proxy uses. It runs on every view update
// with all endpoints of the fleet, so it builds no map of them.
func (l *lane) selectSubset(config *Config, specs []endpointSpec) []endpointSpec {
	candidates := make([]subset.Endpoint, len(specs))
	for i := range specs {
		candidates[i] = subset.Endpoint{Name: specs[i].name, Zone: specs[i].zone, Group: specs[i].group}
	}
	names := subset.Choose(config.ID, config.Zone, candidates, config.Subset) // sorted
	selected := make([]endpointSpec, 0, len(names))
	for i := range specs {
		if _, found := slices.BinarySearch(names, specs[i].name); found {
			selected = append(selected, specs[i])
		}
	}
	return selected
}

// close stops polling and closes idle connections. Requests in flight continue.
func (l *lane) close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, active := range l.pollers {
		active.stop()
	}
	l.pollers = map[string]*poller{}
	l.pool.Close()
	l.pollPool.Close()
}

// viewState is the applied view, whether its lease is valid, and since when it is not.
type viewState struct {
	catalog   *catalog
	valid     bool
	expiredAt time.Duration // when the expiry was noticed; unused if valid
	now       time.Duration
}

// mayUse reports whether requests may be sent to an endpoint that last reported this state: always
// while the view's lease is valid, afterwards only if it has reported since the expiry.
func (s *viewState) mayUse(state reportedState) bool {
	return s.valid || (state.hasReported && state.lastReportAt > s.expiredAt)
}

// snapshot returns those of the lane's engines that the view has as routing candidates, sorted by
// name.
func (l *lane) snapshot(s *viewState) router.Snapshot {
	endpoints := *l.endpoints.Load()
	snapshot := router.Snapshot{Endpoints: make([]*router.Endpoint, 0, len(endpoints))}
	for name, target := range endpoints {
		engine := s.catalog.view.Engines[name]
		if engine == nil {
			continue
		}
		snapshot.Endpoints = append(snapshot.Endpoints, target.candidate(s, engine))
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

func (e *endpoint) candidate(s *viewState, engine *api.Engine) *router.Endpoint {
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
			return e.cache.cachedPrefix(blocks)
		},
	}
	e.fillCandidate(s.now, candidate)
	return candidate
}

// admits reports whether the engine takes new work according to all sources: the view, the engine's
// own reports and, once the view's lease has expired, a report since then. It returns false if the
// view has an open order for the engine, or describes another incarnation than the engine reports.
func (e *endpoint) admits(s *viewState, engine *api.Engine) bool {
	if engine.Spec.Drain || engine.Status.OpenOrder != nil || engine.Status.Phase != api.PhaseServing {
		return false
	}
	state := e.reported()
	if refusesNewWork(state.phase) {
		return false
	}
	if state.incarnation != 0 && state.incarnation != engine.Status.Incarnation {
		return false
	}
	return s.mayUse(state)
}
