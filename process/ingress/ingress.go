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
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/request/resume"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// Views provides the current version of the replicated state.
type Views interface {
	Load() *view.View
}

// Ingress is the state of one ingress process.
type Ingress struct {
	config Config
	logger log.Logger
	views  Views
	clock  func() time.Duration
	// wallClock returns the wall clock time, with which replicas' start times are compared.
	wallClock func() time.Time
	upstreams *upstreams
	table     atomic.Pointer[versionedTable]
	// stopping is set once answers must ask callers to close their connections.
	stopping    atomic.Bool
	plannedStop atomic.Pointer[plannedStop] // nil unless a planned stop has begun
	serving     atomic.Int64                // number of requests being served
	// requestContext is cancelled when a planned stop can no longer wait for requests.
	requestContext      context.Context
	cancelRequests      context.CancelFunc
	inFlight            inFlightTable
	guard               *guard.Guard
	sessions            sessionTable
	stopSuspensionWatch func()
	metrics             *metrics
	rampLog             rampLog
	unknownFields       unknownFields
	// placer places model requests and takes those of all proxies into account; if nil, this proxy
	// uses only its own knowledge.
	placer Placer
	// confirmer tells how long ago the view was confirmed; nil without a control group.
	confirmer        Confirmer
	placementNumbers atomic.Uint64
	// charger charges requests to tenant quotas; nil without a control group. standaloneQuota is
	// used while the control group does not answer.
	charger         charger
	standaloneQuota *quota.LocalShare
	// streams holds the software versions that began this proxy's streams, directory those of other proxies; it is
	// nil without a control group.
	streams   *resume.Registry
	directory streamDirectory
	// lender lends retries beyond this proxy's part of the budgets; nil without a control group.
	lender lender
	// limitCharger asks for permission to send requests to limited replicas; nil without a control
	// group. limitShares is used while the control group does not answer.
	limitCharger limitCharger
	limitShares  *ratelimit.Shares
	// usage counts started requests per tenant; nil if usage is not reported.
	usage        *metering.Counter
	reachability *reachability
	profiles     profiles
	// fingerprintsUntil is the time until which placement requests include the fingerprint, as a
	// time.Duration of clock.
	fingerprintsUntil atomic.Int64
}

// Placer decides where model requests go; implemented by *feed.Client. Place returns an error if
// there is no decision in time. RecordProgress reports the progress of a request in the order of
// the calls, and returns whether the report was sent.
type Placer interface {
	Place(ctx context.Context, request feed.PlaceRequest) (placement.Answer, error)
	RecordProgress(progress feed.PlacementProgress) bool
}

// versionedTable is the route table of one version of the view.
type versionedTable struct {
	version view.Version
	ingress *api.Ingress
	tenants map[string]*api.RouteTenant // the tenants whose keys routes.keys holds
	routes  *routeTable
}

// New returns an ingress that uses the current version of views for each request. now is a
// monotonic clock that starts at zero with the process. New starts a watch for suspensions of the
// machine, so the caller must call Close.
func New(config Config, views Views, now func() time.Duration, logger log.Logger) *Ingress {
	config = config.WithDefaults()
	ingress := &Ingress{
		config: config, logger: logger, views: views, clock: now, wallClock: time.Now,
		upstreams: newUpstreams(config, now), metrics: newMetrics(), guard: guard.New(config.Name),
		streams:         resume.NewRegistry(resume.Lifetime, maxOwnStreams),
		standaloneQuota: quota.NewLocalShare(config.Quotas), limitShares: ratelimit.NewShares(rand.Float64),
	}
	ingress.reachability = newReachability(ingress)
	ingress.upstreams.rampChanged = ingress.noteRampChange
	ingress.requestContext, ingress.cancelRequests = context.WithCancel(context.Background())
	ingress.table.Store(&versionedTable{routes: newRouteTable(nil)})
	ingress.stopSuspensionWatch = clock.Watch(ingress.sessions.cancelOverdue)
	return ingress
}

// Close cancels requests in flight and closes idle connections to replicas. It does not close the
// listeners.
func (i *Ingress) Close() {
	i.stopSuspensionWatch()
	i.cancelRequests()
	i.upstreams.close()
}

func (i *Ingress) now() time.Duration { return i.clock() }

// routes returns the route table of the current view. If the view is newer than the last one, it
// first applies its replicas and its quarantine record, and some callers call it only for that.
// Requests do so concurrently: one that loaded a view before another one applied a newer view must
// not replace it.
func (i *Ingress) routes() *routeTable {
	current := i.views.Load()
	for {
		cached := i.table.Load()
		if current.Version.Compare(cached.version) <= 0 {
			return cached.routes
		}
		i.upstreams.update(current, i.now())
		i.guard.Follow(current, i.now())
		object := current.Ingresses[api.IngressName]
		next := &versionedTable{version: current.Version, ingress: object, tenants: cached.tenants, routes: cached.routes}
		if object != cached.ingress || !maps.Equal(current.RouteTenants, cached.tenants) {
			next.routes = newRouteTable(object)
			next.routes.keys = cached.routes.keys.Follow(next.routes.keySecret, current.RouteTenants)
			next.tenants = current.RouteTenants
		}
		if !i.table.CompareAndSwap(cached, next) {
			continue
		}
		if object != cached.ingress {
			event.IngressInForce.Log(i.logger, "generation", next.routes.generation, "routes", len(object.Spec.Routes),
				"revision", current.Version.Revision, "term", current.Version.Term)
		}
		return next.routes
	}
}

// Ready reports whether callers may be sent here: routes have been received, no planned stop has
// begun, and replicas are reached.
func (i *Ingress) Ready() bool {
	return !i.stopping.Load() && i.routes().generation > 0 && !i.reachability.isPartitioned()
}

// ServeHTTP handles one caller's request. It panics with http.ErrAbortHandler to close the
// connection without a complete answer.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.serving.Add(1)
	defer i.serving.Add(-1)
	arrivedAt := i.now()
	if i.stopping.Load() || i.reachability.isPartitioned() {
		w.Header().Set("Connection", "close")
	}
	routes := i.routes()
	call, admitted, refusal := i.admit(w, r, routes)
	if refusal != nil {
		i.refuseCall(w, &call, refusal)
		i.logRefusal(&call, routes, refusal)
		return
	}
	i.serve(w, r, call, admitted, arrivedAt)
}

// refuseCall answers a call that is not processed. The answer is sent even if the body has not
// arrived yet; by default net/http would read the body first.
func (i *Ingress) refuseCall(w http.ResponseWriter, call *Call, refusal *localRefusal) {
	_ = http.NewResponseController(w).EnableFullDuplex() // on error the answer is sent after the body
	i.config.Dialect.Refusal(w.Header(), call, refusal.retryAfter)
	writeRefusal(w, refusal.status, refusal.cause)
}

// admission is the result of admitting a call.
type admission struct {
	route      *api.Route
	priority   int
	generation uint64 // of the Ingress object that the request was routed by
	charge     quotaCharge
}

// admit finds the route and the tenant of a request and only then reads the body, so that no body
// is buffered for a request that is refused.
func (i *Ingress) admit(w http.ResponseWriter, r *http.Request, routes *routeTable) (Call, admission, *localRefusal) {
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
	admitted := admission{route: route, generation: routes.generation}
	admitted.priority = i.identify(routes, route, &call, tenant)
	if admitted.charge, refusal = i.charge(r.Context(), &call, tenant); refusal != nil {
		return call, admission{}, refusal
	}
	if refusal = i.readCallBody(w, r, routes, &call); refusal != nil {
		i.returnCharge(admitted.charge)
	}
	return call, admitted, refusal
}

// localRefusal is an answer of the proxy to a call for which no replica was contacted.
type localRefusal struct {
	status     int
	cause      string
	retryAfter time.Duration
}

// noRoute distinguishes a request that matches no route from one that arrived before this process
// had received any routes.
func noRoute(routes *routeTable, uptime time.Duration) *localRefusal {
	if routes.generation == 0 {
		return &localRefusal{status: http.StatusServiceUnavailable, cause: "no_configuration", retryAfter: startRetryAfter(uptime)}
	}
	return &localRefusal{status: http.StatusNotFound, cause: "no_route"}
}

// Retry delays for callers of a proxy that has no routes yet.
const (
	// expectedStartup is the time from process start until the view arrives in the slowest
	// expected case: all members were stopped and one has lost its disk. An election timeout of
	// 0.5 s then has to pass, and the last of 295 proxies has its view 0.2 to 0.4 s later.
	expectedStartup = 900 * time.Millisecond
	// minStartRetryAfter is the minimum delay. It is also used while keys are refused because the
	// view is unconfirmed.
	minStartRetryAfter = 200 * time.Millisecond
	// startRetryJitter keeps callers from retrying at the same time.
	startRetryJitter = 300 * time.Millisecond
)

// startRetryAfter returns when a process with the given uptime is expected to have its routes. If
// a caller retries only once, a delay that is too short loses the request.
func startRetryAfter(uptime time.Duration) time.Duration {
	return max(expectedStartup-uptime, minStartRetryAfter) + rand.N(startRetryJitter)
}

// readHead parses the part of the request before the body.
func (i *Ingress) readHead(r *http.Request) (Call, *localRefusal) {
	call, err := i.config.Dialect.Call(r.Header)
	if err != nil {
		return call, &localRefusal{status: http.StatusBadRequest, cause: "invalid_fields"}
	}
	call.Method = r.Method
	call.Target = r.RequestURI
	call.Path = rawPath(r.RequestURI)
	call.Host = r.Host
	call.Chunked = len(r.TransferEncoding) > 0
	stripConnectionFields(call.Header)
	return call, nil
}

// readCallBody reads the body of an admitted call.
func (i *Ingress) readCallBody(w http.ResponseWriter, r *http.Request, routes *routeTable, call *Call) *localRefusal {
	limit := routes.maxBodyBytes()
	if r.ContentLength > limit {
		return &localRefusal{status: http.StatusRequestEntityTooLarge, cause: "body_too_large"}
	}
	var err error
	call.Body, err = readBody(w, r, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &localRefusal{status: http.StatusRequestEntityTooLarge, cause: "body_too_large"}
	case err != nil:
		return &localRefusal{status: http.StatusBadRequest, cause: "body_cut"}
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

// rawPath returns the path of a request target as it was sent.
func rawPath(target string) string {
	if rest, absolute := strings.CutPrefix(target, "http://"); absolute {
		if slash := strings.IndexByte(rest, '/'); slash >= 0 {
			target = rest[slash:]
		}
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

// stripConnectionFields removes the connection-specific fields, including those that the
// Connection field lists.
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

// serve processes an admitted request until its final answer.
func (i *Ingress) serve(w http.ResponseWriter, r *http.Request, call Call, admitted admission, arrivedAt time.Duration) {
	route := admitted.route
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	service := chooseService(route, random)
	s := &session{
		ingress: i, writer: w, call: call, route: route, upstream: i.upstreams.get(service), random: random,
		generation: admitted.generation, priority: admitted.priority, arrivedAt: arrivedAt, excluded: map[string]bool{}, contacted: map[string]bool{},
		lifecycle: attempt.New(attempt.Policy{
			AtMostOnce:  !route.Idempotent(),
			MaxAttempts: max(route.Attempts, 1) + maxDialFailures + 1,
		}),
	}
	s.callerConn = beginAnswer(r.Context(), call.ID, route.Name)
	timeout := time.Duration(route.TimeoutMilliseconds) * time.Millisecond
	s.deadline = arrivedAt + timeout
	s.callerDeadline = s.deadline
	if call.MaxWait > 0 {
		s.callerDeadline = arrivedAt + call.MaxWait
		s.deadline = min(s.deadline, s.callerDeadline)
	}
	if i.mayOutlastStop(i.now(), s.deadline) { // the body may have arrived slowly
		i.returnCharge(admitted.charge)
		i.finish(s, service, s.answerError(http.StatusServiceUnavailable, causeStopping, minimumRetryAfter))
		return
	}
	ctx, end := context.WithCancelCause(r.Context())
	defer end(nil)
	i.sessions.add(s, end)
	defer i.sessions.remove(s)
	defer context.AfterFunc(i.requestContext, func() { end(errStopping) })()
	ctx, cancel := context.WithTimeoutCause(ctx, s.remaining(), errTimeout)
	defer cancel()
	s.lifecycle.Dispatch()
	s.upstream.budget.CountRequest(arrivedAt)
	status := s.run(ctx)
	s.endTrial()
	if s.lifecycle.Ran() == attempt.RanNo {
		i.returnCharge(admitted.charge)
	}
	i.finish(s, service, status)
	if status == 0 && s.callerConn != nil && !r.ProtoAtLeast(1, 1) {
		s.callerConn.resetAtEnd()
	}
	if status == 0 || status == statusCallerGone {
		panic(http.ErrAbortHandler) // closes the connection, so that a truncated answer does not look complete
	}
}

// causeStopping is returned to callers whose request cannot finish before a planned stop ends.
const causeStopping = "stopping"

// plannedStop holds the times of a planned stop that has begun.
type plannedStop struct {
	refuseFrom time.Duration // from then on, requests that may outlast the stop are refused
	endsAt     time.Duration
}

// mayOutlastStop reports whether a request might still run when a planned stop ends: its body was
// complete only after refuseFrom, and its deadline is after endsAt. No replica has received it
// yet, so its caller can send it to another proxy at once.
func (i *Ingress) mayOutlastStop(readAt, deadline time.Duration) bool {
	stop := i.plannedStop.Load()
	return stop != nil && readAt >= stop.refuseFrom && deadline > stop.endsAt
}

// finish records metrics and the log line of a finished request, and tells the guard if it was
// served. status is as returned by session.run.
func (i *Ingress) finish(s *session, service string, status int) {
	took := i.now() - s.arrivedAt
	i.metrics.observe(s.route.Name, outcomeOf(status), took)
	if s.firstEventAt > 0 {
		i.metrics.firstEvent.WithLabelValues(s.route.Name).Observe((s.firstEventAt - s.arrivedAt).Seconds())
	}
	outcome := event.RequestFailed
	if status == http.StatusOK {
		switch {
		case s.wasIsolated:
			i.guard.NoteServedIsolated(i.now(), s.fingerprint())
		case s.cachedFingerprint != nil, i.guard.Active():
			// The guard is not active if this request itself caused the first crash, which is not
			// on record yet; a fingerprint was then computed.
			i.guard.NoteServed(i.now(), s.fingerprint())
		}
		outcome = event.RequestServed
	}
	outcome.Log(i.logger, "request", s.call.ID, "fingerprint", s.knownFingerprint(), "route", s.route.Name, "service", service,
		"generation", s.generation, "status", status, "took_ms", took.Milliseconds(), "first_ms", max(s.firstEventAt-s.arrivedAt, 0).Milliseconds(), "sends", s.sendCount,
		"events", s.events, "tokens", s.call.Work.PromptTokens, "tried", strings.TrimSpace(s.trace.String()))
}

func (i *Ingress) logRefusal(call *Call, routes *routeTable, refusal *localRefusal) {
	i.metrics.observe("", outcomeOf(refusal.status), 0)
	event.RequestRefused.Log(i.logger, "request", call.ID, "host", call.Host, "path", call.Path,
		"generation", routes.generation, "status", refusal.status, "cause", refusal.cause)
}
