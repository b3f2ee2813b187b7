package ingress

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// Errors about bytes that a replica sends without end in place of an answer. All wrap exchange.ErrEndless.
var (
	errBodyEndless     = errors.WithMessage(exchange.ErrEndless, "ingress: body does not end")
	errEventTooLarge   = errors.WithMessage(exchange.ErrEndless, "ingress: stream event too large")
	errTooManyComments = errors.WithMessage(exchange.ErrEndless, "ingress: stream of comments")
	errHandleTooLarge  = errors.WithMessage(exchange.ErrEndless, "ingress: answer to a prefill too large")
)

// isEndless reports whether an attempt failed because its replica sends without end.
func isEndless(err error) bool { return errors.Is(err, exchange.ErrEndless) }

// noteEndless records that a replica sends without end: a failure of the replica, never of the request.
func (s *session) noteEndless(stage string, target *replica, sent *send, err error) {
	now := s.ingress.now()
	target.noteEndless(now)
	s.ingress.metrics.endlessAnswers.WithLabelValues(s.upstream.service, stage).Inc()
	event.AnswerEndless.Log(s.ingress.logger, "request", s.call.ID, "route", s.route.Name, "stage", stage,
		"replica", target.incarnation(), "after_ms", (now - sent.at).Milliseconds(), "avoided_ms", target.endlessRest(now).Milliseconds(), "err", err)
}

// endlessMemory is how long after a replica was last avoided for an endless answer the next one makes it
// avoided for longer than the first.
const endlessMemory = 30 * time.Second

// noteEndless raises the failure rate and keeps requests off the replica while there are others. The time
// doubles with each repetition, and no answer of another kind ends it: the same replica may well answer
// small requests.
func (r *replica) noteEndless(now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.failureRate += failureWeight * (1 - r.failureRate)
	if now < r.endlessUntil {
		return
	}
	if now > r.endlessUntil+endlessMemory {
		r.endlessTime = 0
	}
	r.endlessTime = min(max(2*r.endlessTime, initialSuspectTime), maxSuspectTime)
	r.endlessUntil = now + r.endlessTime
}

// endlessRest returns how long the replica is still avoided for its last endless answer.
func (r *replica) endlessRest(now time.Duration) time.Duration {
	r.lock.Lock()
	defer r.lock.Unlock()
	return max(r.endlessUntil-now, 0)
}

// Limits on a body without a declared length; see docs/design/endless-answers.md. Bodies with a declared
// length have none.
const (
	// minKnownAnswers and minKnownOnce are how many complete answers of a route are needed to judge by
	// them, for requests that may be sent again and for others.
	minKnownAnswers = 16
	minKnownOnce    = 64
	// sizeFactor and timeFactor are how much larger than the largest complete answer, and how
	// much longer than the longest, a body may be; onceTimeFactor is the latter where the request cannot
	// be sent again.
	sizeFactor      = 8
	timeFactor      = 8
	onceTimeFactor  = 16
	minBodyTime     = 400 * time.Millisecond
	minBodyTimeOnce = 500 * time.Millisecond
	// unknownBodyTime applies to requests that may be sent again while the route is not known.
	unknownBodyTime = time.Second
	// minBodyLimit is the least size at which a body of which the caller has a part is cut off;
	// unknownBodyLimit applies while the route is not known.
	minBodyLimit     = 16 << 20
	unknownBodyLimit = 64 << 20
	// A body is too slow only if it arrives in at least minBodyReads pieces at less than minBodyRate bytes
	// a second.
	minBodyReads = 8
	minBodyRate  = 128 << 10
	// profileAnswers is how many answers a profile holds before the oldest ones are dropped.
	profileAnswers = 4096
	// changeWindow is how long a body that was cut off counts as evidence that bodies of a route have become
	// larger or slower, if that of another replica is cut off as well.
	changeWindow = time.Minute
)

// bodyLimits limits a body without a declared length.
type bodyLimits struct {
	size int64
	time time.Duration // spent in reading it, 0 for no limit
}

// routeProfile holds what the complete answers of a route have been like at this proxy.
type routeProfile struct {
	lock          sync.Mutex
	current, past profileSpan
	// cutReplica is the replica of the last body that was cut off although the request could not be sent again, and
	// cutAt is when that was.
	cutReplica string
	cutAt      time.Duration
}

// profileSpan describes a number of consecutive answers.
type profileSpan struct {
	count   int
	largest int64
	longest time.Duration
}

// observe records a complete answer.
func (e *routeProfile) observe(size int64, took time.Duration) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.current.count == profileAnswers {
		e.past, e.current = e.current, profileSpan{}
	}
	e.current.count++
	e.current.include(size, took)
}

func (p *profileSpan) include(size int64, took time.Duration) {
	p.largest, p.longest = max(p.largest, size), max(p.longest, took)
}

// observeCut records a body that was cut off although the request could not be sent again. If two
// different replicas send such bodies, the route's answers seem to have changed, and more is allowed.
func (e *routeProfile) observeCut(now time.Duration, replica string, size int64, took time.Duration) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.cutReplica != "" && e.cutReplica != replica && now-e.cutAt < changeWindow {
		e.current.include(size, took)
	}
	e.cutReplica, e.cutAt = replica, now
}

// isKnown reports whether requests that may be sent again can be judged by the route's answers.
func (e *routeProfile) isKnown() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.current.count+e.past.count >= minKnownAnswers
}

// limits returns the limits of a body. canRetry is true if nothing of it has been passed on and the request
// can be sent to another replica, whose answer then decides.
func (e *routeProfile) limits(canRetry bool) bodyLimits {
	e.lock.Lock()
	defer e.lock.Unlock()
	count := e.current.count + e.past.count
	size, took := max(e.current.largest, e.past.largest), max(e.current.longest, e.past.longest)
	limits := bodyLimits{size: unknownBodyLimit}
	switch {
	case canRetry && sizeFactor*size <= maxBufferedAnswer:
		limits.size = maxBufferedAnswer - 1 // found while all of it is buffered
	case count >= minKnownAnswers:
		limits.size = max(sizeFactor*size, minBodyLimit)
	}
	switch {
	case canRetry && count >= minKnownAnswers:
		limits.time = max(timeFactor*took, minBodyTime)
	case canRetry:
		limits.time = unknownBodyTime
	case count >= minKnownOnce:
		limits.time = max(onceTimeFactor*took, minBodyTimeOnce)
	}
	return limits
}

// canRetryBody reports whether the request could be sent to another replica if the answer's body does not seem to
// end.
func (s *session) canRetryBody(target *replica) bool {
	if s.bodyAbandoned || !s.route.Idempotent() || s.sendCount >= s.route.Attempts {
		return false
	}
	s.ingress.routes() // applies the latest list of replicas
	now, other := s.ingress.now(), false
	s.upstream.fleet.forEach(func(entry *api.Replica, current *replica) bool {
		other = entry.Name != target.name && !s.excluded[entry.Name] && (current == nil || current.acceptsRequests(now))
		return !other
	})
	return other
}

// prepayRetry takes the retry of a request whose body was abandoned from the budget. Without one, the answer
// would be lost although it may be whole.
func (s *session) prepayRetry(ctx context.Context) bool {
	s.retryPrepaid = s.withdrawRetry(ctx, chargeRun, "budget")
	return s.retryPrepaid
}

// maxRouteProfiles limits the routes of which the answers are remembered.
const maxRouteProfiles = 4096

// profiles holds the profiles of the routes, apart for successes and errors.
type profiles struct {
	lock    sync.Mutex
	byRoute map[profileKey]*routeProfile
}

type profileKey struct {
	route   string
	success bool
}

func (e *profiles) find(route string, success bool) *routeProfile {
	key := profileKey{route, success}
	e.lock.Lock()
	defer e.lock.Unlock()
	if found := e.byRoute[key]; found != nil {
		return found
	}
	if e.byRoute == nil || len(e.byRoute) >= maxRouteProfiles {
		e.byRoute = map[profileKey]*routeProfile{}
	}
	created := &routeProfile{}
	e.byRoute[key] = created
	return created
}

// bodyReader reads a body, measures it, and enforces the limits on one without a declared length.
type bodyReader struct {
	source  io.Reader
	now     func() time.Duration
	unsized bool
	limits  bodyLimits

	endless bool // a limit was exceeded
	size    int64
	reads   int
	took    time.Duration // spent in reads after the first one, which waits for the replica's work
}

// Read returns errBodyEndless once a limit is exceeded.
func (b *bodyReader) Read(buffer []byte) (int, error) {
	if b.endless {
		return 0, errBodyEndless
	}
	begun := b.now()
	count, err := b.source.Read(buffer)
	if b.reads++; b.reads > 1 {
		b.took += b.now() - begun
	}
	b.size += int64(count)
	if err == nil && b.unsized && b.exceeds() {
		b.endless, err = true, errBodyEndless
	}
	return count, err
}

func (b *bodyReader) exceeds() bool {
	if b.size > b.limits.size {
		return true
	}
	return b.limits.time > 0 && b.took > b.limits.time && b.reads >= minBodyReads && float64(b.size) < minBodyRate*b.took.Seconds()
}

// rateCheckedReader limits how slowly a part of an answer may arrive that its replica writes at once.
type rateCheckedReader struct {
	source  io.Reader
	now     func() time.Duration
	arrival exchange.ArrivalRate
}

// Read returns an error that wraps exchange.ErrEndless if the part arrives too slowly.
func (p *rateCheckedReader) Read(buffer []byte) (int, error) {
	count, err := p.source.Read(buffer)
	if err == nil {
		err = p.arrival.Note(p.now(), count)
	}
	return count, err
}

// Limits of what a stream sends between two events with data, where replicas send a comment now and then
// to keep the connection open.
const (
	maxComments     = 16
	commentsPerSec  = 2
	maxCommentBytes = 64 << 10
	// commentBytesPerSec allows for a long wait for the next event with data.
	commentBytesPerSec = 256
)

// commentMeter counts the events without data since the last event with data.
type commentMeter struct {
	since time.Duration
	count int
	bytes int
}

// note records an event and returns errTooManyComments if there are too many without data.
func (m *commentMeter) note(now time.Duration, event []byte) error {
	if hasData(event) {
		*m = commentMeter{since: now}
		return nil
	}
	m.count++
	m.bytes += len(event)
	if float64(m.count) > maxComments+commentsPerSec*(now-m.since).Seconds() || float64(m.bytes) > maxCommentBytes+commentBytesPerSec*(now-m.since).Seconds() {
		return errTooManyComments
	}
	return nil
}
