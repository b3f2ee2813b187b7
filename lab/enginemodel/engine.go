package enginemodel

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// Never is the time of the next step of an engine that has nothing to do.
const Never = time.Duration(math.MaxInt64)

const attached = time.Duration(-1)

// Engine is one engine in one process; Crash starts a new incarnation of it.
type Engine struct {
	config      Config
	incarnation uint64
	slowdown    float64
	leaving     bool

	orders  orderState
	runs    runRecords
	staging stagingArea
	cache   prefixCache
	reports reportHistory

	waiting       []*sequence // by priority, then arrival
	waitingTokens int
	running       []*sequence
	private       int // tokens of KV memory held by running sequences beside the cache
	arrivals      uint64

	iterating    bool
	iterationEnd time.Duration

	promptTokens int64
	outputTokens int64

	events []Event
	spare  []Event
}

// New returns an engine at time 0 that holds the configured assignment.
func New(config Config) *Engine {
	engine := &Engine{config: config}
	engine.start(0, config.Incarnation, config.Assignment)
	return engine
}

// start begins an incarnation that knows nothing of an earlier one.
func (e *Engine) start(now time.Duration, incarnation uint64, assignment api.Assignment) {
	*e = Engine{config: e.config, incarnation: incarnation, slowdown: 1}
	e.cache.blocks = map[uint64]*block{}
	e.cache.events.limit = e.config.CacheEventLimit
	e.runs.byKey = map[RunKey]*record{}
	e.runs.cancelled = map[RunKey]bool{}
	e.staging.entries = map[string]*staged{}
	e.orders.assignment = assignment
	e.orders.phase = restPhase(assignment)
	e.note(now)
}

// Crash ends the incarnation and starts the given one, idle and without any
// fence. It returns the requests whose runs were lost.
func (e *Engine) Crash(now time.Duration, incarnation uint64) []*Request {
	var lost []*Request
	for _, s := range e.running {
		lost = append(lost, s.request)
	}
	for _, s := range e.waiting {
		lost = append(lost, s.request)
	}
	e.start(now, incarnation, api.Assignment{})
	return lost
}

// Config returns the configuration.
func (e *Engine) Config() Config { return e.config }

// Incarnation returns the present incarnation.
func (e *Engine) Incarnation() uint64 { return e.incarnation }

// SetSlowdown multiplies the duration of iterations that start from now on; it
// models a gray failure.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// SetLeaving says whether the engine's machine is being taken away: the engine
// then finishes what it has and admits nothing.
func (e *Engine) SetLeaving(now time.Duration, leaving bool) {
	if e.leaving == leaving {
		return
	}
	e.leaving = leaving
	e.emit(Event{Kind: EventPhase})
	e.note(now)
}

// Admit admits a request to the waiting queue or refuses it.
func (e *Engine) Admit(now time.Duration, request Request) Admission {
	if refusal := e.refuse(&request); refusal != RefusalNone {
		return Admission{Refusal: refusal}
	}
	kept := &record{request: &request, detachedAt: attached}
	e.arrivals++
	kept.sequence = &sequence{request: &request, record: kept, arrival: e.arrivals}
	e.runs.byKey[request.Key] = kept
	if request.PrefillOnly {
		e.staging.promised += request.PromptTokens
	}
	e.enqueue(kept.sequence)
	e.note(now)
	return Admission{Admitted: true}
}

func (e *Engine) refuse(request *Request) Refusal {
	switch {
	case request.Incarnation != 0 && request.Incarnation != e.incarnation:
		return RefusalOtherIncarnation
	case e.runs.byKey[request.Key] != nil:
		return RefusalDuplicate
	case e.runs.cancelled[request.Key]:
		return RefusalCancelled
	case e.leaving:
		return RefusalLeaving
	case e.orders.phase == api.PhaseDraining:
		return RefusalDraining
	case e.orders.phase == api.PhaseChanging:
		return RefusalChanging
	case e.orders.phase == api.PhaseIdle:
		return RefusalIdle
	case !serves(e.orders.assignment, request.Model):
		return RefusalWrongModel
	}
	return e.refuseWork(request)
}

// refuseWork refuses work that this engine in its role can't hold.
func (e *Engine) refuseWork(request *Request) Refusal {
	role := e.orders.assignment.Role
	switch {
	case role == api.RolePrefill && !request.PrefillOnly, role == api.RoleDecode && request.PrefillOnly:
		return RefusalWrongRole
	case request.PromptTokens <= 0 || (request.OutputTokens <= 0 && !request.PrefillOnly):
		return RefusalEmpty
	case request.PromptTokens+outputReserve(request) > e.config.KVTokens:
		return RefusalTooLong
	case len(e.waiting) >= e.config.MaxWaiting:
		return RefusalQueueFull
	case request.Handle != "":
		return e.staging.claim(request)
	case request.PrefillOnly && e.staging.free(&e.config) < request.PromptTokens:
		return RefusalStagingFull
	}
	return RefusalNone
}

// serves reports whether an assignment covers a model as callers name it.
func serves(assignment api.Assignment, model string) bool {
	name, adapter, adapted := strings.Cut(model, ":")
	if name != assignment.Model {
		return false
	}
	return !adapted || slices.Contains(assignment.Adapters, adapter)
}

func (e *Engine) enqueue(s *sequence) {
	at, _ := slices.BinarySearchFunc(e.waiting, s, func(queued, added *sequence) int {
		if queued.before(added) {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, s)
	e.waitingTokens += unread(s.request)
}

// Step finishes the batch iteration that ends by now, starts the next one and
// carries on with the open order. It returns when it wants to be called again
// (Never if a call from outside must come first) and what happened since the
// last Step. Calling it early does no harm. The events are valid until the next
// Step.
func (e *Engine) Step(now time.Duration) (next time.Duration, events []Event) {
	if e.iterating && now >= e.iterationEnd {
		e.finishIteration(now)
	}
	e.runs.expire(now)
	e.staging.expire(now)
	e.cancelAbandoned(now)
	e.advanceOrder(now)
	if !e.iterating {
		e.startIteration(now)
	}
	e.note(now)
	events = e.events
	e.events, e.spare = e.spare[:0], events
	return e.nextStep(), events
}

func (e *Engine) nextStep() time.Duration {
	next := Never
	if e.iterating {
		next = e.iterationEnd
	}
	if e.orders.phase == api.PhaseChanging && e.orders.changeEnd < next {
		next = e.orders.changeEnd
	}
	return next
}

func (e *Engine) emit(event Event) { e.events = append(e.events, event) }
