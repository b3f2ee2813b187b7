// Package proxy is the daemon beside the callers: it takes their requests,
// decides by the view where each goes, and sees it through to one final answer.
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

// Views is the version of the replicated state that the proxy acts on.
type Views interface {
	// Load returns the view in force.
	Load() *view.View
	// Valid reports whether the view lease covers now, read from the clock
	// that the views were given.
	Valid(now time.Duration) bool
}

// Control is the control group as the proxy uses it.
type Control interface {
	Claim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error)
	RecordOutcome(ctx context.Context, outcome state.RunOutcome) error
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

	guard   *guard.Guard
	lanes   *lanes
	buckets *limit.Buckets
	answers *router.AnswerLengths
	router  *router.Router
	running *inFlight
	demand  *demandWindow
	metrics *metrics
	// owed has the records that are not confirmed yet, *state.RunOutcome by
	// claimKey, of requests that were surely not run.
	owed sync.Map
	// modelBodies and backendBodies bound the memory of request bodies.
	modelBodies   bodyBudget
	backendBodies bodyBudget

	// lapsed is when the view lease was first seen lapsed; 0 while it holds.
	lapsed atomic.Int64
	// stopping is set once answers must ask callers to close connections.
	stopping atomic.Bool
	// cutAt is when a planned stop ends what is still in flight, 0 where nothing is cut.
	cutAt atomic.Int64

	instance uint64 // drawn anew at each start
	sequence atomic.Uint64
	// background bounds the tasks that no request waits for.
	background context.Context
	stop       context.CancelFunc
	tasks      sync.WaitGroup
}

// New returns a proxy over the views and the control group. clock must be the
// one that the views' lease counts by. Close ends it.
func New(config Config, views Views, control Control, clock func() time.Duration, logger log.Logger) *Proxy {
	config = config.withDefaults()
	made := &Proxy{
		config:   config,
		logger:   logger,
		views:    views,
		control:  control,
		clock:    clock,
		guard:    guard.New(""),
		lanes:    newLanes(),
		buckets:  limit.NewBuckets(),
		answers:  router.NewAnswerLengths(),
		router:   router.New(router.Config{Speed: config.Speed}),
		running:  newInFlight(),
		demand:   newDemandWindow(),
		metrics:  newMetrics(),
		instance: rand.Uint64(),
	}
	made.guard.SetReporter(control)
	made.modelBodies.limit = config.Limits.HeldBytes
	made.backendBodies.limit = config.Limits.HeldBytes
	made.metrics.watch(made)
	made.background, made.stop = context.WithCancel(context.Background())
	made.tasks.Go(made.followViews)
	made.tasks.Go(made.reportDemand)
	return made
}

// Close ends the background work and waits for it. Requests must have ended.
func (p *Proxy) Close() {
	p.stop()
	p.lanes.close()
	p.tasks.Wait()
	p.lanes.close()
}

// followViews takes in each new view even when no request comes.
func (p *Proxy) followViews() {
	for {
		p.standing()
		if !pause.Sleep(p.background, p.config.Intervals.View) {
			return
		}
	}
}

// standing returns the view's meaning and whether it may be acted on now. It
// must be asked again after any wait.
func (p *Proxy) standing() standing {
	known := p.lanes.update(p, p.views.Load())
	now := p.clock()
	if p.views.Valid(now) {
		p.noteConfirmed(known.view)
		return standing{catalog: known, valid: true, now: now}
	}
	p.noteLapsed(known.view, now)
	return standing{catalog: known, lapsedAt: time.Duration(p.lapsed.Load()), now: now}
}

// noteConfirmed ends a lapse.
func (p *Proxy) noteConfirmed(current *view.View) {
	if p.lapsed.Load() != 0 && p.lapsed.Swap(0) != 0 {
		event.ProxyViewConfirmed.Log(p.logger, "revision", current.Version.Revision)
	}
}

// noteLapsed keeps when the lapse was first seen. A proxy that has had no view
// yet has lost none.
func (p *Proxy) noteLapsed(current *view.View, now time.Duration) {
	if p.lapsed.CompareAndSwap(0, int64(max(now, 1))) && !current.Version.IsZero() {
		event.ProxyViewLapsed.Log(p.logger, "revision", current.Version.Revision)
	}
}

// refuseLost returns the refusal of a request whose service may not be served
// without the control group, or nil.
func (p *Proxy) refuseLost(s *standing, kind api.ServiceType) *failure {
	if s.catalog.view.Version.IsZero() {
		return unavailable(codeControlLost, "no view of the fleet yet", time.Second)
	}
	policy := p.config.OnControlLoss.Backend
	if kind == api.ServiceModel {
		policy = p.config.OnControlLoss.Model
	}
	if s.valid || policy == LossServe {
		return nil
	}
	return unavailable(codeControlLost, "the view of the fleet has not been confirmed for its lease", time.Second)
}

// newID names a request so that no other request of any proxy has the name.
func (p *Proxy) newID() string {
	buffer := make([]byte, 0, len(p.config.ID)+32)
	buffer = append(buffer, p.config.ID...)
	buffer = append(buffer, '-')
	buffer = strconv.AppendUint(buffer, p.instance, 36)
	buffer = append(buffer, '-')
	buffer = strconv.AppendUint(buffer, p.sequence.Add(1), 36)
	return string(buffer)
}

// newRandom returns a generator for one request.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// noteForeign tells of an answer that was not its request's.
func (p *Proxy) noteForeign(address string, cause error) {
	p.metrics.foreign.Inc()
	event.ProxyForeignAnswer.Log(p.logger, "address", address, "err", cause)
}
