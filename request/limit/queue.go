// Package limit decides which requests may run now, which wait and which are
// refused at once: token buckets for tenants, and one bounded queue for each
// lane with priorities, deadlines and a fair share for each tenant. A request
// that cannot meet its deadline is refused when it comes, never held.
package limit

import (
	"context"
	"math"
	"sync"
	"time"
)

// Reason says why a request was refused.
type Reason string

// Reasons for a refusal; all are sure "not run".
const (
	ReasonQueueFull Reason = "queue_full"         // the class's queue is at its bound
	ReasonDeadline  Reason = "deadline_too_short" // the expected wait does not fit
	ReasonExpired   Reason = "deadline_exceeded"  // the deadline passed in the queue
	ReasonCancelled Reason = "cancelled"          // the caller went away
)

// Refusal is the answer to a request that may not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is when asking again makes sense, by the queue's length and
	// the time that requests took lately.
	RetryAfter time.Duration
}

// Gate decides between dispatch and expiry: exactly one of the two may ever
// return true. attempt.Life is one.
type Gate interface {
	Dispatch() bool
	Expire() bool
}

// Ticket is a request that asks to run.
type Ticket struct {
	Class    string
	Priority int // higher goes first
	// QueueLimit bounds the waiting requests of the class; 0 means the default.
	QueueLimit int
	// MaxInFlight bounds the running requests of the class; 0 means no bound.
	MaxInFlight int
	Tenant      string
	Weight      float64 // the tenant's fair share; 0 means 1
	Cost        float64 // work in any unit that all tickets share; 0 means 1
	Deadline    time.Time
	Gate        Gate
}

// Config holds what a Queue is created with.
type Config struct {
	MaxInFlight int // running requests; 0 means the default
	QueueLimit  int // waiting requests of a class without its own limit
	// ExpectedService is the first guess of how long a request runs.
	ExpectedService time.Duration
	// Now is the clock; nil is time.Now.
	Now func() time.Time
}

// Defaults of a Config.
const (
	DefaultMaxInFlight     = 256
	DefaultQueueLimit      = 128
	DefaultExpectedService = 100 * time.Millisecond
)

// smoothing is the weight of the last request in the mean service time.
const smoothing = 0.1

// maxTenants bounds the remembered fair-share tags.
const maxTenants = 1024

// Queue admits the requests of one lane. Its lock is the lane's own: lanes
// share nothing.
type Queue struct {
	config Config

	lock     sync.Mutex
	inFlight int
	classes  map[string]*classCount
	waiting  []*Waiting
	arrivals uint64
	// virtual is the fair-queueing clock: the start tag of the last request
	// that was let through; finish holds the last finish tag of each tenant.
	virtual float64
	finish  map[string]float64
	// service is the mean time a request ran lately, in seconds.
	service float64
}

type classCount struct{ running, waiting int }

// Waiting is a request that has entered a queue.
type Waiting struct {
	queue   *Queue
	ticket  Ticket
	start   float64
	arrival uint64
	granted chan struct{}
}

// Granted is closed when the request may run; Start is then to be called.
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
		config:  config,
		classes: map[string]*classCount{},
		finish:  map[string]float64{},
		service: config.ExpectedService.Seconds(),
	}
}

// Resize changes the number of requests that may run. Requests that run
// already go on.
func (q *Queue) Resize(maxInFlight int) {
	if maxInFlight <= 0 {
		maxInFlight = DefaultMaxInFlight
	}
	q.lock.Lock()
	defer q.lock.Unlock()
	q.config.MaxInFlight = maxInFlight
	q.grant()
}

// Acquire waits until the request may run. It returns a release function to be
// called once when the request has ended, or why the request was refused.
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

// Enter puts the request into the queue, grants what can run and does not
// wait; Acquire is the form that does. The caller watches Granted and calls
// Leave when it waits no longer.
func (q *Queue) Enter(ticket Ticket) (*Waiting, *Refusal) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if refusal := q.refuseEarly(&ticket); refusal != nil && ticket.Gate.Expire() {
		return nil, refusal
	}
	entered := &Waiting{queue: q, ticket: ticket, arrival: q.arrivals, granted: make(chan struct{})}
	q.arrivals++
	entered.start = q.tag(&ticket)
	q.class(ticket.Class).waiting++
	q.waiting = append(q.waiting, entered)
	q.grant()
	return entered, nil
}

func (q *Queue) refuseEarly(ticket *Ticket) *Refusal {
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

// expectedWait returns how long the request will wait: nothing when it can run
// now, else the work of those before it over the places of the lane.
func (q *Queue) expectedWait(ticket *Ticket, count *classCount) time.Duration {
	places := q.config.MaxInFlight
	if ticket.MaxInFlight > 0 && count.running+count.waiting >= ticket.MaxInFlight {
		places = min(places, ticket.MaxInFlight)
	} else if q.inFlight+len(q.waiting) < places {
		return 0
	}
	before := 1
	for _, other := range q.waiting {
		if other.ticket.Priority >= ticket.Priority {
			before++
		}
	}
	return time.Duration(float64(before) / float64(places) * q.service * float64(time.Second))
}

// tag returns the request's start tag by start-time fair queueing: a tenant's
// requests follow each other at a distance of cost over weight.
func (q *Queue) tag(ticket *Ticket) float64 {
	weight, cost := ticket.Weight, ticket.Cost
	if weight <= 0 {
		weight = 1
	}
	if cost <= 0 {
		cost = 1
	}
	start := math.Max(q.virtual, q.finish[ticket.Tenant])
	if len(q.finish) >= maxTenants {
		q.forgetTenants()
	}
	q.finish[ticket.Tenant] = start + cost/weight
	return start
}

// forgetTenants drops the tags that the clock has passed: they say nothing any
// more. When too many are left, all go: callers choose the names of tenants,
// and a flood of names may cost fairness for a moment but no memory.
func (q *Queue) forgetTenants() {
	for tenant, finish := range q.finish {
		if finish <= q.virtual {
			delete(q.finish, tenant)
		}
	}
	if len(q.finish) >= maxTenants {
		clear(q.finish)
	}
}

// grant lets requests through while places are free.
func (q *Queue) grant() {
	for q.inFlight < q.config.MaxInFlight {
		index := q.next()
		if index < 0 {
			return
		}
		chosen := q.remove(index)
		q.virtual = math.Max(q.virtual, chosen.start)
		if !chosen.ticket.Gate.Dispatch() {
			continue // expired: its owner is on its way out
		}
		q.inFlight++
		q.class(chosen.ticket.Class).running++
		close(chosen.granted)
	}
}

// next returns the index of the request to let through, or -1.
func (q *Queue) next() int {
	best := -1
	for i, candidate := range q.waiting {
		limit := candidate.ticket.MaxInFlight
		if limit > 0 && q.class(candidate.ticket.Class).running >= limit {
			continue
		}
		if best < 0 || candidate.before(q.waiting[best]) {
			best = i
		}
	}
	return best
}

func (w *Waiting) before(other *Waiting) bool {
	if w.ticket.Priority != other.ticket.Priority {
		return w.ticket.Priority > other.ticket.Priority
	}
	if w.start != other.start {
		return w.start < other.start
	}
	return w.arrival < other.arrival
}

func (q *Queue) remove(index int) *Waiting {
	removed := q.waiting[index]
	last := len(q.waiting) - 1
	q.waiting[index] = q.waiting[last]
	q.waiting[last] = nil
	q.waiting = q.waiting[:last]
	q.class(removed.ticket.Class).waiting--
	return removed
}

// Leave takes a request that waits no longer out of the queue, unless it was
// let through at the same moment: the gate decides.
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

// Start begins the run of a request that was granted a place and returns the
// release function, to be called once when the request has ended.
func (w *Waiting) Start() (release func()) {
	q := w.queue
	started := q.config.Now()
	var once sync.Once
	return func() { once.Do(func() { q.release(w.ticket.Class, q.config.Now().Sub(started)) }) }
}

func (q *Queue) release(class string, ran time.Duration) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.inFlight--
	count := q.class(class)
	count.running--
	if *count == (classCount{}) {
		delete(q.classes, class)
	}
	q.service += smoothing * (ran.Seconds() - q.service)
	q.grant()
}

func (q *Queue) class(name string) *classCount {
	count, found := q.classes[name]
	if !found {
		count = &classCount{}
		q.classes[name] = count
	}
	return count
}

// Depth is how full a queue is.
type Depth struct{ InFlight, Waiting int }

// Depth returns how full the queue is now.
func (q *Queue) Depth() Depth {
	q.lock.Lock()
	defer q.lock.Unlock()
	return Depth{InFlight: q.inFlight, Waiting: len(q.waiting)}
}
