package proxy

import (
	"net/http"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/request/router"
	"github.com/landingtrail/landingtrail/version/api"
)

// minSuspectTime is how long an endpoint is suspect after a failure: it is used only if no other
// endpoint is available. It doubles with each further consecutive failure, up to maxSuspectTime.
const (
	minSuspectTime = 500 * time.Millisecond
	maxSuspectTime = 15 * time.Second
)

// dispatch is a request in flight to an endpoint.
type dispatch struct {
	sentAt time.Duration
	tokens int
}

// endpoint is the proxy's state of one engine or backend. Each endpoint has its own lock. Times are
// readings of the proxy's clock.
type endpoint struct {
	name    string
	address string
	zone    string
	model   bool // an engine rather than a plain backend

	lock sync.Mutex
	// phase and incarnation are what the endpoint last reported about itself, lastReportAt when
	// the proxy received that.
	phase       api.EnginePhase
	incarnation uint64
	// incarnationAsOf is the earliest time at which the endpoint can have made the latest report
	// of the incarnation. Reports may arrive out of order, so one of an earlier incarnation may
	// follow.
	incarnationAsOf time.Duration
	lastReportAt    time.Duration
	hasReported     bool
	closedAt        time.Duration // when a phase that takes no new work was last reported
	load            engineapi.Load
	loadAt          time.Duration // when the load was measured
	failures        int
	suspectUntil    time.Duration
	// silent is set while polls get no response. Unlike suspectUntil it does not expire, so that
	// no request is sent just to find that the endpoint is still down.
	silent     bool
	dispatches map[uint64]dispatch
	nextID     uint64
	cache      cacheIndex
	// suspectedCrashAt is when the incarnation appeared to crash, because its connection broke; 0
	// once the engine has responded to a later request.
	suspectedCrashAt          time.Duration
	suspectedCrashIncarnation uint64
}

func newEndpoint(name, address, zone string, model bool) *endpoint {
	return &endpoint{name: name, address: address, zone: zone, model: model, dispatches: map[uint64]dispatch{}}
}

// trackRequest registers a request in flight and returns the function that removes it.
func (e *endpoint) trackRequest(now time.Duration, tokens int) func() {
	e.lock.Lock()
	defer e.lock.Unlock()
	id := e.nextID
	e.nextID++
	e.dispatches[id] = dispatch{sentAt: now, tokens: tokens}
	return func() {
		e.lock.Lock()
		defer e.lock.Unlock()
		delete(e.dispatches, id)
	}
}

// stateReport is a report by an endpoint of its own state. asOf is the earliest time at which the
// endpoint can have made it, now is when the proxy received it.
type stateReport struct {
	asOf, now   time.Duration
	phase       api.EnginePhase // empty if not reported
	incarnation uint64
}

// recordState records the phase and incarnation that the endpoint reported.
func (e *endpoint) recordState(reported stateReport) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.recordStateLocked(reported)
}

// recordStateLocked is recordState for code that holds the lock. Responses may arrive out of order,
// so a phase that takes new work is ignored if it may predate the last one that did not.
func (e *endpoint) recordStateLocked(reported stateReport) {
	e.hasReported = true
	e.silent = false
	e.lastReportAt = max(e.lastReportAt, reported.now)
	switch {
	case reported.phase == api.PhaseUnknown: // not reported: the phase stays
	case refusesNewWork(reported.phase):
		e.phase, e.closedAt = reported.phase, reported.now
	case reported.asOf >= e.closedAt:
		e.phase = reported.phase
	}
	if reported.incarnation == 0 || reported.incarnation != e.incarnation && reported.asOf < e.incarnationAsOf {
		return
	}
	e.incarnationAsOf = max(e.incarnationAsOf, reported.asOf)
	if reported.incarnation != e.incarnation {
		e.incarnation = reported.incarnation
		e.cache.reset()
	}
}

// backendLeaving is the value of engineapi.HeaderBackendState that a backend sends when its machine
// is about to be removed.
const backendLeaving = "leaving"

// recordHeader records the state that the endpoint reports in the headers of a response to a request
// sent at sentAt. A plain backend is serving unless it reports that it is leaving.
func (e *endpoint) recordHeader(sentAt, now time.Duration, header http.Header) {
	phase := api.EnginePhase(header.Get(engineapi.HeaderPhase))
	if !e.model {
		phase = api.PhaseServing
		if header.Get(engineapi.HeaderBackendState) == backendLeaving {
			phase = api.PhaseLeaving
		}
	}
	e.recordState(stateReport{asOf: sentAt, now: now, phase: phase, incarnation: incarnationOf(header)})
}

// isFromOtherEngine reports whether the load report comes from a different engine, which has taken
// over the address.
func (e *endpoint) isFromOtherEngine(load engineapi.Load) bool {
	return load.Engine != "" && load.Engine != e.name
}

// recordLoad records a load report in response to a poll sent at sentAt. The report describes the
// load AgeMilliseconds earlier.
func (e *endpoint) recordLoad(sentAt, now time.Duration, load engineapi.Load) {
	if e.isFromOtherEngine(load) {
		return
	}
	age := time.Duration(load.AgeMilliseconds) * time.Millisecond
	e.lock.Lock()
	defer e.lock.Unlock()
	e.recordStateLocked(stateReport{asOf: sentAt - age, now: now, phase: load.Phase, incarnation: load.Incarnation})
	if load.Incarnation != 0 && load.Incarnation != e.incarnation {
		return // measured by an earlier incarnation
	}
	e.load = load
	e.loadAt = now - age
}

// recordSuccess records a successful request: the endpoint is no longer suspect because of failures.
// It may still be silent.
func (e *endpoint) recordSuccess() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.failures = 0
	e.suspectUntil = 0
}

// recordFailure records a failed request and makes the endpoint suspect for a limited time.
func (e *endpoint) recordFailure(now time.Duration) {
	e.lock.Lock()
	defer e.lock.Unlock()
	suspectTime := minSuspectTime << min(e.failures, 5)
	e.failures++
	e.suspectUntil = now + min(suspectTime, maxSuspectTime)
}

// markSilent makes the endpoint suspect until it responds again.
func (e *endpoint) markSilent() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.silent = true
}

func (e *endpoint) suspectedLocked(now time.Duration) bool { return e.silent || now < e.suspectUntil }

// reportedState is the state that an endpoint last reported about itself.
type reportedState struct {
	phase        api.EnginePhase
	incarnation  uint64
	hasReported  bool
	lastReportAt time.Duration
}

func (e *endpoint) reported() reportedState {
	e.lock.Lock()
	defer e.lock.Unlock()
	return reportedState{phase: e.phase, incarnation: e.incarnation, hasReported: e.hasReported, lastReportAt: e.lastReportAt}
}

// fillCandidate sets the fields of a routing candidate that come from the endpoint's reports and
// from this proxy's requests in flight. Requests sent after the load was measured are counted
// separately, since the report does not include them.
func (e *endpoint) fillCandidate(now time.Duration, candidate *router.Endpoint) {
	e.lock.Lock()
	defer e.lock.Unlock()
	candidate.Name = e.name
	candidate.Address = e.address
	candidate.Zone = e.zone
	candidate.Suspect = e.suspectedLocked(now)
	candidate.Load = router.Load{
		Running:       e.load.Running,
		Waiting:       e.load.Waiting,
		WaitingTokens: e.load.WaitingTokens,
		KVUsed:        e.load.KVUsed,
		Age:           now - e.loadAt,
	}
	for _, dispatched := range e.dispatches {
		if dispatched.sentAt > e.loadAt {
			candidate.Load.OwnRunning++
			candidate.Load.OwnTokens += dispatched.tokens
		}
	}
}

// refusesNewWork reports whether an endpoint in the phase takes no new work. An endpoint that has not
// reported its phase may take new work.
func refusesNewWork(phase api.EnginePhase) bool {
	switch phase {
	case api.PhaseServing, api.PhaseUnknown:
		return false
	}
	return true
}
