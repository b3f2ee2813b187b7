package ingress

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/clock"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/guard"
	"github.com/landingtrail/landingtrail/process/metering"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// Views is the version of the replicated state that the ingress acts on.
type Views interface {
	Load() *view.View
}

// Ingress is the state of one ingress process.
type Ingress struct {
	config Config
	logger log.Logger
	views  Views
	clock  func() time.Duration
	// day is the time of day that replicas' births are told by.
	day   func() time.Time
	lanes *lanes
	table atomic.Pointer[tableAt]
	// stopping is set once answers must ask callers to close connections.
	stopping atomic.Bool
	stop     atomic.Pointer[plannedStop] // nil before one
	serving  atomic.Int64                // requests
	// patient ends when a planned stop cannot wait for requests any longer.
	patient    context.Context
	endPatient context.CancelFunc
	inFlight   inFlightTable
	guard      *guard.Guard
	sessions   sessionTable
	unwatch    func() // of suspensions
	metrics    *metrics
	// placer places model requests by all that is in flight; nil leaves it to
	// what this proxy knows itself.
	placer Placer
	// confirmer tells how old the view may be; nil without a group.
	confirmer Confirmer
	numbers   atomic.Uint64
	// charger charges requests to their tenants' quotas; nil without a group. alone does so
	// while nobody answers it.
	charger charger
	alone   *quota.Alone
	// usage counts the requests of each tenant that began; nil: nobody asks for it.
	usage *metering.Counter
	// namesTill is until when questions bring the requests' fingerprints.
	namesTill atomic.Int64
}

// Placer decides where model requests go; *feed.Client is one.
type Placer interface {
	Place(ctx context.Context, request feed.PlaceRequest) (placement.Answer, error)
	NotePlaced(note feed.PlaceNote) bool
}

// tableAt is the route table of one version of the view.
type tableAt struct {
	version view.Version
	ingress *api.Ingress
	tenants map[string]*api.RouteTenant // those that the keys of routes are of
	routes  *routeTable
}

// New returns an ingress over the views. Close ends it.
func New(config Config, views Views, now func() time.Duration, logger log.Logger) *Ingress {
	config = config.WithDefaults()
	made := &Ingress{
		config: config, logger: logger, views: views, clock: now, day: time.Now,
		lanes: newLanes(config, now), metrics: newMetrics(), guard: guard.New(config.Name),
		alone: quota.NewAlone(config.Quotas),
	}
	made.patient, made.endPatient = context.WithCancel(context.Background())
	made.table.Store(&tableAt{routes: newRouteTable(nil)})
	made.unwatch = clock.Watch(made.sessions.endOverdue)
	return made
}

// Close ends what is in flight and closes the idle connections.
func (i *Ingress) Close() {
	i.unwatch()
	i.endPatient()
	i.lanes.close()
}

func (i *Ingress) now() time.Duration { return i.clock() }

// routes returns the route table of the view that is held now. Requests load views side by
// side: one that was overtaken must not put its older view in the place of a newer one.
func (i *Ingress) routes() *routeTable {
	current := i.views.Load()
	for {
		known := i.table.Load()
		if current.Version.Compare(known.version) <= 0 {
			return known.routes
		}
		i.lanes.update(current, i.now())
		i.guard.Follow(current, i.now())
		held := current.Ingresses[api.IngressName]
		next := &tableAt{version: current.Version, ingress: held, tenants: known.tenants, routes: known.routes}
		if held != known.ingress || !maps.Equal(current.RouteTenants, known.tenants) {
			next.routes = newRouteTable(held)
			next.routes.keys = known.routes.keys.Follow(next.routes.keySecret, current.RouteTenants)
			next.tenants = current.RouteTenants
		}
		if !i.table.CompareAndSwap(known, next) {
			continue
		}
		if held != known.ingress {
			event.IngressInForce.Log(i.logger, "generation", next.routes.generation, "routes", len(held.Spec.Routes),
				"revision", current.Version.Revision, "term", current.Version.Term)
		}
		return next.routes
	}
}

// Ready reports whether callers may be sent here.
func (i *Ingress) Ready() bool { return !i.stopping.Load() && i.routes().generation > 0 }

// ServeHTTP takes one caller's request.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.serving.Add(1)
	defer i.serving.Add(-1)
	arrived := i.now()
	if i.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	routes := i.routes()
	call, taken, refusal := i.take(w, r, routes)
	if refusal != nil {
		i.refuse(w, &call, refusal)
		i.logRefusal(&call, routes, refusal)
		return
	}
	i.serve(w, r, call, taken, arrived)
}

// refuse answers a call of which nothing is done. The answer leaves before the body is in,
// which net/http would else read first.
func (i *Ingress) refuse(w http.ResponseWriter, call *Call, refusal *ownRefusal) {
	_ = http.NewResponseController(w).EnableFullDuplex() // without it the answer comes later
	i.config.Dialect.Refusal(w.Header(), call, refusal.retryAfter)
	writeOwn(w, refusal.status, refusal.cause)
}

// admission is how a call was taken in.
type admission struct {
	route      *api.Route
	priority   int
	generation uint64 // of the Ingress that the request is handled by
	charge     charge
}

// take finds the route of a request and who asks, and then reads it whole: nothing is kept
// of the body of one that is refused.
func (i *Ingress) take(w http.ResponseWriter, r *http.Request, routes *routeTable) (Call, admission, *ownRefusal) {
	call, refusal := i.readHead(r)
	if refusal != nil {
		return call, admission{}, refusal
	}
	route := routes.find(call.Host, call.Path)
	if route == nil {
		return call, admission{}, noRoute(routes, i.now())
	}
	tenant, refusal := i.authenticate(routes, route, &call)
	if refusal != nil {
		return call, admission{}, refusal
	}
	taken := admission{route: route, generation: routes.generation}
	taken.priority = i.identify(routes, route, &call, tenant)
	if taken.charge, refusal = i.charge(r.Context(), &call, tenant); refusal != nil {
		return call, admission{}, refusal
	}
	if refusal = i.readWhole(w, r, routes, &call); refusal != nil {
		i.returnCharge(taken.charge)
	}
	return call, taken, refusal
}

// ownRefusal is an answer that is given before any replica was asked.
type ownRefusal struct {
	status     int
	cause      string
	retryAfter time.Duration
}

// noRoute tells a request that no route takes from one that came before this
// process knew any route.
func noRoute(routes *routeTable, uptime time.Duration) *ownRefusal {
	if routes.generation == 0 {
		return &ownRefusal{status: http.StatusServiceUnavailable, cause: "no_configuration", retryAfter: startPause(uptime)}
	}
	return &ownRefusal{status: http.StatusNotFound, cause: "no_route"}
}

// Times of the pause that callers of a proxy without routes are told to make.
const (
	// expectedStart is how long after its start a proxy has its view where the group was
	// stopped as a whole and one of its disks is lost, so that an election timeout is
	// waited out: 0.5 s, and 0.2 to 0.4 s until the last of 295 proxies has its view.
	expectedStart = 900 * time.Millisecond
	// leastStartPause is the pause of one that has been up for longer.
	leastStartPause = 200 * time.Millisecond
	// startSpread keeps callers from coming back together.
	startSpread = 300 * time.Millisecond
)

// startPause is when a process that started so long ago will know the routes. Most callers
// come back once: one who is told to come too early is lost.
func startPause(uptime time.Duration) time.Duration {
	return max(expectedStart-uptime, leastStartPause) + rand.N(startSpread)
}

// readHead reads what stands before the body.
func (i *Ingress) readHead(r *http.Request) (Call, *ownRefusal) {
	call, err := i.config.Dialect.Call(r.Header)
	if err != nil {
		return call, &ownRefusal{status: http.StatusBadRequest, cause: "invalid_fields"}
	}
	call.Method = r.Method
	call.Target = r.RequestURI
	call.Path = rawPath(r.RequestURI)
	call.Host = r.Host
	call.Chunked = len(r.TransferEncoding) > 0
	stripConnectionFields(call.Header)
	return call, nil
}

// readWhole reads the body of a call that is taken.
func (i *Ingress) readWhole(w http.ResponseWriter, r *http.Request, routes *routeTable, call *Call) *ownRefusal {
	limit := routes.maxBodyBytes()
	if r.ContentLength > limit {
		return &ownRefusal{status: http.StatusRequestEntityTooLarge, cause: "body_too_large"}
	}
	var err error
	call.Body, err = readBody(w, r, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &ownRefusal{status: http.StatusRequestEntityTooLarge, cause: "body_too_large"}
	case err != nil:
		return &ownRefusal{status: http.StatusBadRequest, cause: "body_cut"}
	}
	return nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}

// rawPath is the path of a request target as it was sent.
func rawPath(target string) string {
	if rest, absolute := strings.CutPrefix(target, "http://"); absolute {
		if slash := strings.IndexByte(rest, '/'); slash >= 0 {
			target = rest[slash:]
		}
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

// stripConnectionFields removes the fields that concern the caller's connection,
// those that its Connection field names among them.
func stripConnectionFields(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionFields {
		header.Del(name)
	}
}

// serve sees a routed request through.
func (i *Ingress) serve(w http.ResponseWriter, r *http.Request, call Call, taken admission, arrived time.Duration) {
	route := taken.route
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	service := chooseService(route, random)
	s := &session{
		ingress: i, writer: w, call: call, route: route, lane: i.lanes.lane(service), random: random,
		generation: taken.generation, priority: taken.priority, arrived: arrived, excluded: map[string]bool{}, sentTo: map[string]bool{},
		life: attempt.New(attempt.Policy{
			Once:     !route.Idempotent(),
			Attempts: max(route.Attempts, 1) + maxDials + 1,
		}),
	}
	timeout := time.Duration(route.TimeoutMilliseconds) * time.Millisecond
	s.deadline = arrived + timeout
	s.callerEnds = s.deadline
	if call.Within > 0 {
		s.callerEnds = arrived + call.Within
		s.deadline = min(s.deadline, s.callerEnds)
	}
	if i.isTooLate(i.now(), s.deadline) { // it may have come in slowly
		i.returnCharge(taken.charge)
		i.finish(s, service, s.refuse(http.StatusServiceUnavailable, causeStopping, minimumRetryAfter))
		return
	}
	ctx, end := context.WithCancelCause(r.Context())
	defer end(nil)
	i.sessions.add(s, end)
	defer i.sessions.remove(s)
	defer context.AfterFunc(i.patient, func() { end(errStopping) })()
	ctx, cancel := context.WithTimeoutCause(ctx, s.left(), errTimeout)
	defer cancel()
	s.life.Dispatch()
	s.lane.budget.Request(arrived)
	status := s.run(ctx)
	s.endTrial()
	if s.life.Ran() == attempt.RanNo {
		i.returnCharge(taken.charge)
	}
	i.finish(s, service, status)
	if status == 0 || status == statusCallerGone {
		panic(http.ErrAbortHandler) // cuts the connection: what was sent must not look whole
	}
}

// causeStopping is told to callers whose request a planned stop leaves no time for.
const causeStopping = "stopping"

// plannedStop times a planned stop that has begun.
type plannedStop struct {
	lateFrom time.Duration // from then on nothing is taken that may not be over by the end
	endsAt   time.Duration
}

// isTooLate reports whether a request that was read whole at that time, and may last until its
// deadline, came so late in a planned stop that it could be cut. No replica has read it, and its
// caller can ask another proxy at once.
func (i *Ingress) isTooLate(readAt, deadline time.Duration) bool {
	stop := i.stop.Load()
	return stop != nil && readAt >= stop.lateFrom && deadline > stop.endsAt
}

// finish counts and logs how a request ended.
func (i *Ingress) finish(s *session, service string, status int) {
	took := i.now() - s.arrived
	i.metrics.observe(s.route.Name, outcomeOf(status), took)
	if s.firstAt > 0 {
		i.metrics.firstEvent.WithLabelValues(s.route.Name).Observe((s.firstAt - s.arrived).Seconds())
	}
	ended := event.RequestFailed
	if status == http.StatusOK {
		switch {
		case s.confined:
			i.guard.Cleared(i.now(), s.fingerprint())
		case s.named != nil, i.guard.Active():
			// Named is also one that met its first end itself: no one else knows of it yet.
			i.guard.Served(i.now(), s.fingerprint())
		}
		ended = event.RequestServed
	}
	ended.Log(i.logger, "request", s.call.ID, "fingerprint", s.knownFingerprint(), "route", s.route.Name, "service", service,
		"generation", s.generation, "status", status, "took_ms", took.Milliseconds(), "first_ms", max(s.firstAt-s.arrived, 0).Milliseconds(), "sends", s.sends,
		"events", s.events, "tokens", s.call.Work.PromptTokens, "tried", strings.TrimSpace(s.trace.String()))
}

func (i *Ingress) logRefusal(call *Call, routes *routeTable, refusal *ownRefusal) {
	i.metrics.observe("", outcomeOf(refusal.status), 0)
	event.RequestRefused.Log(i.logger, "request", call.ID, "host", call.Host, "path", call.Path,
		"generation", routes.generation, "status", refusal.status, "cause", refusal.cause)
}
