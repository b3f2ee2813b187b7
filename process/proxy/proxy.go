// Package proxy implements the sidecar proxy that runs next to the callers. It accepts their
// requests, routes each by its view to an engine or backend, and handles retries and stream
// resumption until the caller has one final response.
//
// The terms of the package:
//   - The control group is the set of replicated control processes. The proxy receives its state
//     over the feed. A view is one version of that state; its lease limits how long the proxy may
//     rely on it without hearing from the control group.
//   - An engine runs a model. A plain backend is any other HTTP server behind the proxy. Endpoint
//     stands for either.
//   - An incarnation is one run of an engine process: a restarted engine keeps its name and has a
//     new incarnation. The phase of an engine says whether it serves, drains or leaves.
//   - An intent assigns a model to the engines that it selects and names the classes that they
//     serve. A class sets the priority, deadline and queue limits of its requests.
//   - Ran, the run state of a request, tells its caller whether the request ran on an engine or
//     backend: "yes", "no" or "unknown".
//   - A planned stop is a graceful shutdown.
package proxy

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/guard"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/limit"
	"github.com/landingtrail/landingtrail/request/router"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

// Views provides the view: the version of the replicated state that the proxy acts on.
type Views interface {
	// Load returns the latest view. It must not be nil, even before the first view has arrived.
	Load() *view.View
	// Valid reports whether the view lease is valid at now, a reading of the clock that the
	// Views was created with.
	Valid(now time.Duration) bool
}

// Control is the proxy's client of the control group.
type Control interface {
	// Claim requests the permission to run an at-most-once request. feed.ErrNoQuorum means that
	// the claim was certainly not committed, feed.ErrOutcomeUnknown that it may have been.
	Claim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error)
	// RecordOutcome records the outcome of a claimed run. It may be repeated.
	RecordOutcome(ctx context.Context, outcome state.RunOutcome) error
	// ReportDemand sends the report. It returns false if the report was dropped.
	ReportDemand(report feed.DemandReport) bool
	guard.Reporter
}

// Proxy is the state of one proxy process.
type Proxy struct {
	config  Config
	logger  log.Logger
	views   Views
	control Control
	clock   func() time.Duration

	guard         *guard.Guard // finds requests that crash engines
	lanes         *lanes
	buckets       *limit.Buckets        // rate limits of tenants
	answerLengths *router.AnswerLengths // learned response lengths by class
	router        *router.Router
	inFlight      *inFlight
	demand        *demandWindow // not yet reported
	metrics       *metrics
	// pendingOutcomes maps claimKey to *state.RunOutcome. It holds the outcomes of requests that
	// certainly did not run, until the control group confirms that it has recorded them.
	pendingOutcomes sync.Map
	// modelBodies and backendBodies limit the memory used by request bodies.
	modelBodies   bodyBudget
	backendBodies bodyBudget

	// expiredAt is when the proxy noticed that the view lease had expired, in nanoseconds by its
	// clock; 0 while the lease is valid.
	expiredAt atomic.Int64
	// stopping is set once responses must ask callers to close their connections.
	stopping atomic.Bool
	// drainDeadline is when a planned stop aborts the requests that are still in flight, in
	// nanoseconds by the proxy's clock; 0 while none is under way or if it has no drain limit.
	drainDeadline atomic.Int64

	startID  uint64 // random for each start, so that request IDs do not repeat after a restart
	sequence atomic.Uint64
	// background is the context of tasks that outlive requests.
	background context.Context
	stop       context.CancelFunc
	tasks      sync.WaitGroup
}

// New returns a proxy and starts its background tasks; Serve makes it listen. It does not check the
// config. clock must be the clock by which the view lease expires. Call Close to stop the proxy.
func New(config Config, views Views, control Control, clock func() time.Duration, logger log.Logger) *Proxy {
	config = config.withDefaults()
	p := &Proxy{
		config:        config,
		logger:        logger,
		views:         views,
		control:       control,
		clock:         clock,
		guard:         guard.New(""), // no name, since this proxy tries no quarantined requests
		lanes:         newLanes(),
		buckets:       limit.NewBuckets(),
		answerLengths: router.NewAnswerLengths(),
		router:        router.New(router.Config{Speed: config.Speed}),
		inFlight:      newInFlight(),
		demand:        newDemandWindow(),
		metrics:       newMetrics(),
		startID:       rand.Uint64(),
	}
	p.guard.SetReporter(control)
	p.modelBodies.limit = config.Limits.HeldBytes
	p.backendBodies.limit = config.Limits.HeldBytes
	p.metrics.registerViewGauges(p)
	p.background, p.stop = context.WithCancel(context.Background())
	p.tasks.Go(p.watchViews)
	p.tasks.Go(p.reportDemand)
	return p
}

// Close stops the background tasks and waits for them. All requests must have ended before.
func (p *Proxy) Close() {
	p.stop()
	p.lanes.close()
	p.tasks.Wait()
	p.lanes.close() // a task may have added lanes or pollers after the first close
}

// watchViews applies new views periodically, so that they also take effect while there are no
// requests.
func (p *Proxy) watchViews() {
	for {
		p.viewState()
		if !pause.Sleep(p.background, p.config.Intervals.View) {
			return
		}
	}
}

// viewState applies the latest view and returns it with the validity of its lease. The result must
// not be used after blocking: request it again.
func (p *Proxy) viewState() viewState {
	current := p.lanes.update(p, p.views.Load())
	now := p.clock()
	if p.views.Valid(now) {
		p.recordLeaseValid(current.view)
		return viewState{catalog: current, valid: true, now: now}
	}
	p.recordLeaseExpired(current.view, now)
	return viewState{catalog: current, expiredAt: time.Duration(p.expiredAt.Load()), now: now}
}

// recordLeaseValid logs that the lease is valid again and resets expiredAt.
func (p *Proxy) recordLeaseValid(current *view.View) {
	if p.expiredAt.Load() != 0 && p.expiredAt.Swap(0) != 0 {
		event.ProxyViewConfirmed.Log(p.logger, "revision", current.Version.Revision)
	}
}

// recordLeaseExpired sets expiredAt when the lease expires. It logs the expiry unless the proxy has
// not received a view yet.
func (p *Proxy) recordLeaseExpired(current *view.View, now time.Duration) {
	if p.expiredAt.CompareAndSwap(0, int64(max(now, 1))) && !current.Version.IsZero() {
		event.ProxyViewLapsed.Log(p.logger, "revision", current.Version.Revision)
	}
}

// refuseWithoutControl returns the failure of a request whose type of service must not be served now,
// since the proxy has no view yet or the view lease has expired, or nil if it may be served.
func (p *Proxy) refuseWithoutControl(s *viewState, kind api.ServiceType) *failure {
	if s.catalog.view.Version.IsZero() {
		return unavailableFailure(codeControlLost, "no view of the fleet yet", time.Second)
	}
	policy := p.config.OnControlLoss.Backend
	if kind == api.ServiceModel {
		policy = p.config.OnControlLoss.Model
	}
	if s.valid || policy == LossServe {
		return nil
	}
	return unavailableFailure(codeControlLost, "the view of the fleet has not been confirmed for its lease", time.Second)
}

// newID returns a request ID that is unique among the requests of all proxies.
func (p *Proxy) newID() string {
	buffer := make([]byte, 0, len(p.config.ID)+32)
	buffer = append(buffer, p.config.ID...)
	buffer = append(buffer, '-')
	buffer = strconv.AppendUint(buffer, p.startID, 36)
	buffer = append(buffer, '-')
	buffer = strconv.AppendUint(buffer, p.sequence.Add(1), 36)
	return string(buffer)
}

// newRandom returns a random number generator for one request.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// countUnmatched counts and logs an unmatched response: one that does not belong to the request it
// arrived for.
func (p *Proxy) countUnmatched(address string, cause error) {
	p.metrics.unmatchedResponses.Inc()
	event.ProxyForeignAnswer.Log(p.logger, "address", address, "err", cause)
}
