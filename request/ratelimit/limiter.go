package ratelimit

import (
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/request/quota"
)

const (
	// forgetAfter is how long a replica is kept after a proxy last mentioned it.
	forgetAfter = time.Minute
	// announceInterval is the least time between two announcements of one replica, so that one
	// whose answers contradict each other causes few messages.
	announceInterval = time.Second
	// announcedChange is the factor by which a rate has to change to be announced again.
	announcedChange = 1.5
	// urgentHold is how long after the refusal of a request the less urgent ones leave urgentReserve
	// requests of the balance to it.
	urgentHold    = time.Second
	urgentReserve = 1
)

// Request is a proxy's request for permission to send one request to a replica, with what the proxy
// knows of its limit.
type Request struct {
	Service  string
	Replica  string
	Report   Report
	Priority int // of the request; smaller is more urgent
}

// Reply is the answer to a Request.
type Reply struct {
	// Report is the latest one that is known. If it is not Limited, no permission is needed.
	Report Report
	// Granted is true if the request may be sent; otherwise Wait is the time until another one may be
	// granted, 0 if only a more urgent one would be now.
	Granted bool
	Wait    time.Duration
}

// Limiter holds the limited replicas at a member of the control group. It is safe for concurrent use.
//
// Invariant: the requests that successive leaders grant for a replica in any window, and those that at
// most two other members grant meanwhile, exceed neither the rate nor the rule's overrun; see package
// quota.
type Limiter struct {
	rule quota.Rule

	lock     sync.Mutex
	account  *quota.Account
	standby  *quota.Standby
	replicas map[string]*entry
	limited  map[string]map[string]*entry // by service and replica
	// delayed holds the replicas whose change was not announced yet because of announceInterval.
	delayed    map[string]*entry
	pacers     map[string]*RetryPacer // by service
	generation uint64                 // of the latest announcement
	prunedAt   time.Duration
}

// entry is what a Limiter holds for one replica.
type entry struct {
	name        string
	service     string
	tracker     Tracker
	mentionedAt time.Duration
	// announced is the statement that was announced last, at announcedAt with that generation.
	announced   Statement
	announcedAt time.Duration
	generation  uint64
	// urgentPriority is that of the most urgent request refused lately, until urgentUntil.
	urgentPriority int
	urgentUntil    time.Duration
}

// NewLimiter returns a limiter without replicas.
func NewLimiter(rule quota.Rule, now time.Duration) *Limiter {
	return &Limiter{
		rule: rule, account: quota.NewAccount(rule, now), standby: quota.NewStandby(rule),
		replicas: map[string]*entry{}, limited: map[string]map[string]*entry{},
		delayed: map[string]*entry{}, pacers: map[string]*RetryPacer{},
	}
}

// BeginTerm starts an empty account, because the previous leader may have granted everything within
// the same window.
func (l *Limiter) BeginTerm(now time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.account = quota.NewAccount(l.rule, now)
}

// Record records what a proxy has received, without a request to be sent. It reports whether there is
// something new to announce.
func (l *Limiter) Record(now time.Duration, request Request) (announce bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	before := l.generation
	l.observe(now, request)
	return l.generation != before
}

// Charge grants or refuses a request. leads is false at a member that does not lead, which grants only
// a part of the overrun. announce is as in Record.
func (l *Limiter) Charge(now time.Duration, request Request, leads bool) (reply Reply, announce bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	before := l.generation
	known := l.observe(now, request)
	if known == nil {
		return Reply{Granted: true}, false
	}
	reply = Reply{Report: known.tracker.Report(now), Granted: true}
	if perSecond, limited := known.tracker.Limit(); limited {
		grant := l.grant(now, known, perSecond, request.Priority, leads)
		reply.Granted, reply.Wait = grant.Granted, grant.Wait
	}
	return reply, l.generation != before
}

func (l *Limiter) grant(now time.Duration, known *entry, perSecond float64, priority int, leads bool) quota.Grant {
	if !leads {
		return l.standby.Charge(now, known.name, QuotaOf(perSecond), 1)
	}
	grant := l.account.ChargeWithReserve(now, known.name, QuotaOf(perSecond), 1, known.reserve(now, priority))
	if grant.Granted {
		return grant
	}
	if now >= known.urgentUntil || priority <= known.urgentPriority {
		known.urgentPriority, known.urgentUntil = priority, now+urgentHold
	}
	grant.Wait = l.account.WaitFor(now, known.name, QuotaOf(perSecond), 1, 0)
	return grant
}

// reserve returns what a request of the priority has to leave to more urgent ones.
func (e *entry) reserve(now time.Duration, priority int) float64 {
	if now < e.urgentUntil && priority > e.urgentPriority {
		return urgentReserve
	}
	return 0
}

// observe applies what a proxy knows and returns the replica's entry; nil if neither the proxy nor
// the limiter knows anything.
func (l *Limiter) observe(now time.Duration, request Request) *entry {
	known := l.replicas[request.Replica]
	if known == nil {
		if request.Report.Kind == Unclear {
			return nil
		}
		l.prune(now)
		known = &entry{name: request.Replica, service: request.Service}
		l.replicas[request.Replica] = known
	}
	known.mentionedAt = now
	if known.tracker.ObserveReport(now, request.Report) {
		l.applyChange(now, known)
	}
	l.announce(now, known)
	return known
}

// applyChange applies the begin or the end of a limit.
func (l *Limiter) applyChange(now time.Duration, known *entry) {
	if _, limited := known.tracker.Limit(); !limited {
		delete(l.limited[known.service], known.name)
		return
	}
	l.account.Reset(now, known.name)
	if l.limited[known.service] == nil {
		l.limited[known.service] = map[string]*entry{}
	}
	l.limited[known.service][known.name] = known
}

// announce makes the replica part of the next announcement if its statement differs from the last one
// that was announced. The first statement is always announced, even the end of a limit: after a change of
// leader, proxies may not know of it.
func (l *Limiter) announce(now time.Duration, known *entry) {
	delete(l.delayed, known.name)
	current := known.tracker.Report(now).Statement
	if known.generation > 0 && !known.announced.differsFrom(current) {
		return
	}
	if known.generation > 0 && now-known.announcedAt < announceInterval {
		l.delayed[known.name] = known
		return
	}
	l.generation++
	known.announced, known.announcedAt, known.generation = current, now, l.generation
}

// differsFrom reports whether another statement is worth announcing.
func (s Statement) differsFrom(other Statement) bool {
	if s.Kind != other.Kind {
		return true
	}
	return s.PerSecond > announcedChange*other.PerSecond || other.PerSecond > announcedChange*s.PerSecond
}

// prune drops the replicas that no proxy has mentioned for a long time.
func (l *Limiter) prune(now time.Duration) {
	if now-l.prunedAt < forgetAfter {
		return
	}
	l.prunedAt = now
	for name, known := range l.replicas {
		if now-known.mentionedAt <= forgetAfter {
			continue
		}
		delete(l.replicas, name)
		delete(l.limited[known.service], name)
		delete(l.delayed, name)
		l.account.Forget(name)
		l.standby.Forget(name)
	}
}

// IsLimited reports whether the replica has a limit.
func (l *Limiter) IsLimited(replica string) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	known := l.replicas[replica]
	if known == nil {
		return false
	}
	_, limited := known.tracker.Limit()
	return limited
}

// Exhausted returns the replicas of a service for which a request of the priority would not be granted
// now, and the time until the first of them may grant one.
func (l *Limiter) Exhausted(now time.Duration, service string, priority int) (names []string, first time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for name, known := range l.limited[service] {
		perSecond, _ := known.tracker.Limit()
		if l.account.WaitFor(now, name, QuotaOf(perSecond), 1, known.reserve(now, priority)) == 0 {
			continue
		}
		wait := l.account.WaitFor(now, name, QuotaOf(perSecond), 1, 0)
		if len(names) == 0 || wait < first {
			first = wait
		}
		names = append(names, name)
	}
	return names, first
}

// RetryDelay returns the delay for a caller that is refused because the limits of a service leave no room
// before first. Callers are spaced out by the sum of the limits.
func (l *Limiter) RetryDelay(now time.Duration, service string, first time.Duration) time.Duration {
	l.lock.Lock()
	defer l.lock.Unlock()
	pacer := l.pacers[service]
	if pacer == nil {
		pacer = &RetryPacer{}
		l.pacers[service] = pacer
	}
	sum := 0.0
	for _, known := range l.limited[service] {
		perSecond, _ := known.tracker.Limit()
		sum += perSecond
	}
	return pacer.Next(now, first, sum)
}

// NamedReport is a Report about one replica.
type NamedReport struct {
	Replica string
	Report  Report
}

// Announcements returns the statements announced after the given generation, in any order, and the
// generation of the latest one. It has to be called regularly, so that delayed announcements become due.
func (l *Limiter) Announcements(now time.Duration, since uint64) (reports []NamedReport, generation uint64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, known := range l.delayed {
		l.announce(now, known)
	}
	if since == l.generation {
		return nil, since
	}
	for name, known := range l.replicas {
		if known.generation > since {
			reports = append(reports, NamedReport{Replica: name, Report: known.tracker.Report(now)})
		}
	}
	return reports, l.generation
}
