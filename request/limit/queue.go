// Package limit decides which requests run immediately, which wait and which are refused. It has
// token buckets for tenants, and for each lane, which is the set of resources for the requests of
// one service, a bounded queue with priorities, deadlines and a fair share for each tenant.
// Requests are divided into classes, each with its own limits. A request that cannot meet its
// deadline is refused on arrival and not queued.
package limit

import (
	"context"
	"math"
	"sync"
	"time"
)

// Reason says why a request was refused.
type Reason string

// Reasons for a refusal. In all cases the request has certainly not run.
const (
	ReasonQueueFull Reason = "queue_full"         // the queue of the class is full
	ReasonDeadline  Reason = "deadline_too_short" // the expected wait exceeds the deadline
	ReasonExpired   Reason = "deadline_exceeded"  // the deadline passed in the queue
	ReasonCancelled Reason = "cancelled"          // the caller disconnected
)

// Refusal is the answer to a request that may not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is how long to wait before a retry, estimated from the queue length and recent
	// service times.
	RetryAfter time.Duration
}

// Gate decides whether a queued request is dispatched or expires, if both happen at the same time.
// A method returns true if it took effect. At most one of the two may ever return true.
// attempt.Lifecycle implements it.
type Gate interface {
	Dispatch() bool
	Expire() bool
}

// Ticket describes a request that wants to run.
type Ticket struct {
	Class    string
	Priority int // a higher value runs first
	// QueueLimit limits the waiting requests of the class; 0 means the default.
	QueueLimit int
	// MaxInFlight limits the running requests of the class; 0 means no limit.
	MaxInFlight int
	Tenant      string
	Weight      float64   // the tenant's fair share relative to other tenants; 0 means 1
	Cost        float64   // work in any unit that is common to all tickets; 0 means 1
	Deadline    time.Time // required; a request past its deadline is refused
	Gate        Gate      // required
}

// Config holds the settings of a Queue.
type Config struct {
	MaxInFlight int // running requests; 0 means the default
	QueueLimit  int // waiting requests of a class without its own limit; 0 means the default
	// ExpectedService is the initial estimate of the service time of a request; 0 means the
	// default.
	ExpectedService time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Defaults of a Config.
const (
	DefaultMaxInFlight     = 256
	DefaultQueueLimit      = 128
	DefaultExpectedService = 100 * time.Millisecond
)

// smoothing is the weight of the latest request in the moving average of the service time.
const smoothing = 0.1

// maxTenants limits the number of tenants with a finish tag (see Queue.startTag).
const maxTenants = 1024

// Queue admits the requests of one lane. Lanes share no state and no locks.
type Queue struct {
	config Config

	lock     sync.Mutex
	inFlight int
	classes  map[string]*classCount
	waiting  []*Waiting
	arrivals uint64
	// virtualTime is the clock of fair queueing: the highest start tag of the admitted requests.
	virtualTime float64
	// finishTags holds for each tenant the earliest start tag of its next request.
	finishTags map[string]float64
	// meanService is the moving average of the service time in seconds.
	meanService float64
}

type classCount struct{ running, waiting int }

// Waiting is a request that has entered a queue. It may have been admitted since.
type Waiting struct {
	queue    *Queue
	ticket   Ticket
	startTag float64
	arrival  uint64
	granted  chan struct{}
}

// Granted returns a channel that is closed when the request may run. Start must then be called, and
// the release function that it returns; otherwise the slot remains taken.
func (w *Waiting) Granted() <-chan struct{} { return w.granted }

// NewQueue returns an empty queue.
func NewQueue(config Config) *Queue {
	if config.MaxInFlight <= 0 {
		config.MaxInFlight = DefaultMaxInFlight
	}
	if config.QueueLimit <= 0 {
		config.QueueLimit = DefaultQueueLimit
	}
	if config.ExpectedService <= 0 {
		config.ExpectedService = DefaultExpectedService
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Queue{
		config:      config,
		classes:     map[string]*classCount{},
		finishTags:  map[string]float64{},
		meanService: config.ExpectedService.Seconds(),
	}
}

// Resize changes the number of requests that may run. Requests already running continue.
func (q *Queue) Resize(maxInFlight int) {
	if maxInFlight <= 0 {
		maxInFlight = DefaultMaxInFlight
	}
	q.lock.Lock()
	defer q.lock.Unlock()
	q.config.MaxInFlight = maxInFlight
	q.grant()
}

// Acquire waits until the request may run. It returns either a release function, to be called once
// when the request has ended, or why the request was refused.
func (q *Queue) Acquire(ctx context.Context, ticket Ticket) (release func(), refusal *Refusal) {
	waiting, refusal := q.Enter(ticket)
	if refusal != nil {
		return nil, refusal
	}
	timer := time.NewTimer(ticket.Deadline.Sub(q.config.Now()))
	defer timer.Stop()
	select {
	case <-waiting.granted:
		return waiting.Start(), nil
	case <-timer.C:
		return waiting.Leave(ReasonExpired)
	case <-ctx.Done():
		return waiting.Leave(ReasonCancelled)
	}
}

// Enter adds the request to the queue and admits all requests that can run. Unlike Acquire it does
// not wait: the caller watches Granted, and calls Leave to stop waiting. A request that should be
// refused is queued all the same if its Gate does not let it expire.
func (q *Queue) Enter(ticket Ticket) (*Waiting, *Refusal) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if refusal := q.earlyRefusal(&ticket); refusal != nil && ticket.Gate.Expire() {
		return nil, refusal
	}
	entered := &Waiting{queue: q, ticket: ticket, arrival: q.arrivals, granted: make(chan struct{})}
	q.arrivals++
	entered.startTag = q.startTag(&ticket)
	q.class(ticket.Class).waiting++
	q.waiting = append(q.waiting, entered)
	q.grant()
	return entered, nil
}

// earlyRefusal returns the refusal of a request that would miss its deadline or find the queue of
// its class full, or nil. It does not expire the request. The lock must be held.
func (q *Queue) earlyRefusal(ticket *Ticket) *Refusal {
	count := q.class(ticket.Class)
	wait := q.expectedWait(ticket, count)
	left := ticket.Deadline.Sub(q.config.Now())
	if left <= 0 || wait > left {
		return &Refusal{Reason: ReasonDeadline, RetryAfter: wait}
	}
	limit := ticket.QueueLimit
	if limit <= 0 {
		limit = q.config.QueueLimit
	}
	if wait > 0 && count.waiting >= limit {
		return &Refusal{Reason: ReasonQueueFull, RetryAfter: wait}
	}
	return nil
}

// expectedWait returns how long the request is expected to wait: 0 if it can run now, otherwise the
// service time of the request and those ahead of it, divided by the slots of the lane or, if the
// limit of its class is reached, of the class. The lock must be held.
func (q *Queue) expectedWait(ticket *Ticket, count *classCount) time.Duration {
	slots := q.config.MaxInFlight
	if ticket.MaxInFlight > 0 && count.running+count.waiting >= ticket.MaxInFlight {
		slots = min(slots, ticket.MaxInFlight)
	} else if q.inFlight+len(q.waiting) < slots {
		return 0
	}
	ahead := 1
	for _, other := range q.waiting {
		if other.ticket.Priority >= ticket.Priority {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / float64(slots) * q.meanService * float64(time.Second))
}

// startTag returns the request's tag for start-time fair queueing, and sets the tenant's finish tag
// to the start tag plus cost/weight, which is the earliest start tag of its next request. The lock
// must be held.
func (q *Queue) startTag(ticket *Ticket) float64 {
	weight, cost := ticket.Weight, ticket.Cost
	if weight <= 0 {
		weight = 1
	}
	if cost <= 0 {
		cost = 1
	}
	start := math.Max(q.virtualTime, q.finishTags[ticket.Tenant])
	if len(q.finishTags) >= maxTenants {
		q.forgetTenants()
	}
	q.finishTags[ticket.Tenant] = start + cost/weight
	return start
}

// forgetTenants drops the finish tags that virtualTime has passed, since they have no effect any
// more. If too many are left, it drops all of them: callers choose the names of tenants, so the
// number of tags must be bounded, even if this makes admission briefly unfair. The lock must be
// held.
func (q *Queue) forgetTenants() {
	for tenant, finish := range q.finishTags {
		if finish <= q.virtualTime {
			delete(q.finishTags, tenant)
		}
	}
	if len(q.finishTags) >= maxTenants {
		clear(q.finishTags)
	}
}

// grant admits requests while slots are free. The lock must be held.
func (q *Queue) grant() {
	for q.inFlight < q.config.MaxInFlight {
		index := q.next()
		if index < 0 {
			return
		}
		chosen := q.remove(index)
		q.virtualTime = math.Max(q.virtualTime, chosen.startTag)
		if !chosen.ticket.Gate.Dispatch() {
			continue // expired: its caller is about to leave the queue
		}
		q.inFlight++
		q.class(chosen.ticket.Class).running++
		close(chosen.granted)
	}
}

// next returns the index of the next request to admit, or -1. The lock must be held.
func (q *Queue) next() int {
	best := -1
	for i, candidate := range q.waiting {
		limit := candidate.ticket.MaxInFlight
		if limit > 0 && q.class(candidate.ticket.Class).running >= limit {
			continue
		}
		if best < 0 || candidate.precedes(q.waiting[best]) {
			best = i
		}
	}
	return best
}

// precedes reports whether the request is admitted before the other: by priority, then start tag,
// then arrival.
func (w *Waiting) precedes(other *Waiting) bool {
	if w.ticket.Priority != other.ticket.Priority {
		return w.ticket.Priority > other.ticket.Priority
	}
	if w.startTag != other.startTag {
		return w.startTag < other.startTag
	}
	return w.arrival < other.arrival
}

// remove removes the waiting request at the index. The order of the others changes. The lock must
// be held.
func (q *Queue) remove(index int) *Waiting {
	removed := q.waiting[index]
	last := len(q.waiting) - 1
	q.waiting[index] = q.waiting[last]
	q.waiting[last] = nil
	q.waiting = q.waiting[:last]
	q.class(removed.ticket.Class).waiting--
	return removed
}

// Leave removes a request that stops waiting from the queue, and returns its refusal. If the Gate
// says that the request was already dispatched, Leave starts it and returns the release function,
// as Start does.
func (w *Waiting) Leave(reason Reason) (release func(), refusal *Refusal) {
	if !w.ticket.Gate.Expire() {
		<-w.granted
		return w.Start(), nil
	}
	q := w.queue
	q.lock.Lock()
	defer q.lock.Unlock()
	for i, candidate := range q.waiting {
		if candidate == w {
			q.remove(i)
			break
		}
	}
	wait := q.expectedWait(&w.ticket, q.class(w.ticket.Class))
	return nil, &Refusal{Reason: reason, RetryAfter: wait}
}

// Start begins the run of an admitted request and returns the release function, to be called once
// when the request has ended.
func (w *Waiting) Start() (release func()) {
	q := w.queue
	started := q.config.Now()
	var once sync.Once
	return func() { once.Do(func() { q.release(w.ticket.Class, q.config.Now().Sub(started)) }) }
}

// release ends the run of a request of the class and admits others.
func (q *Queue) release(class string, ran time.Duration) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.inFlight--
	count := q.class(class)
	count.running--
	if *count == (classCount{}) {
		delete(q.classes, class)
	}
	q.meanService += smoothing * (ran.Seconds() - q.meanService)
	q.grant()
}

// class returns the counts of the class, which it creates if necessary. The lock must be held.
func (q *Queue) class(name string) *classCount {
	count, found := q.classes[name]
	if !found {
		count = &classCount{}
		q.classes[name] = count
	}
	return count
}

// Depth is the number of requests in a queue, running ones included.
type Depth struct{ InFlight, Waiting int }

// Depth returns the number of running and waiting requests.
func (q *Queue) Depth() Depth {
	q.lock.Lock()
	defer q.lock.Unlock()
	return Depth{InFlight: q.inFlight, Waiting: len(q.waiting)}
}
