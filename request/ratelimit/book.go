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
	Word     Word
	Priority int // of the request; smaller is more urgent
}

// Reply is the answer to a Request.
type Reply struct {
	// Word is the latest one that is known. If it is not Limited, no permission is needed.
	Word Word
	// Granted is true if the request may be sent; otherwise Wait is the time until another one is
	// granted.
	Granted bool
	Wait    time.Duration
}

// Book holds the limited replicas at a member of the control group. It is safe for concurrent use.
//
// Invariant: the requests that successive leaders grant for a replica in any window, and those that at
// most two other members grant meanwhile, exceed neither the rate nor the rule's overrun; see package
// quota.
type Book struct {
	rule quota.Rule

	lock       sync.Mutex
	account    *quota.Account
	standby    *quota.Standby
	replicas   map[string]*entry
	limited    map[string]map[string]*entry // by service and replica
	generation uint64                       // of the latest announcement
	prunedAt   time.Duration
}

// entry is what a Book holds for one replica.
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

// NewBook returns a book without replicas.
func NewBook(rule quota.Rule, now time.Duration) *Book {
	return &Book{
		rule: rule, account: quota.NewAccount(rule, now), standby: quota.NewStandby(rule),
		replicas: map[string]*entry{}, limited: map[string]map[string]*entry{},
	}
}

// BeginTerm starts an empty account, because the previous leader may have granted everything within
// the same window.
func (b *Book) BeginTerm(now time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.account = quota.NewAccount(b.rule, now)
}

// Record records what a proxy has heard, without a request to be sent. It reports whether there is
// something new to announce.
func (b *Book) Record(now time.Duration, request Request) (announce bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	before := b.generation
	b.observe(now, request)
	return b.generation != before
}

// Charge grants or refuses a request. leads is false at a member that does not lead, which grants only
// a part of the overrun. announce is as in Record.
func (b *Book) Charge(now time.Duration, request Request, leads bool) (reply Reply, announce bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	before := b.generation
	known := b.observe(now, request)
	if known == nil {
		return Reply{Granted: true}, false
	}
	reply = Reply{Word: known.tracker.Word(now), Granted: true}
	if perSecond, limited := known.tracker.Limit(); limited {
		grant := b.grant(now, known, perSecond, request.Priority, leads)
		reply.Granted, reply.Wait = grant.Granted, grant.Wait
	}
	return reply, b.generation != before
}

func (b *Book) grant(now time.Duration, known *entry, perSecond float64, priority int, leads bool) quota.Grant {
	if !leads {
		return b.standby.Charge(now, known.name, QuotaOf(perSecond), 1)
	}
	grant := b.account.ChargeAbove(now, known.name, QuotaOf(perSecond), 1, known.reserve(now, priority))
	if !grant.Granted && (now >= known.urgentUntil || priority <= known.urgentPriority) {
		known.urgentPriority, known.urgentUntil = priority, now+urgentHold
	}
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
// the book knows of a limit.
func (b *Book) observe(now time.Duration, request Request) *entry {
	known := b.replicas[request.Replica]
	if known == nil {
		if request.Word.Kind != Limited {
			return nil
		}
		b.prune(now)
		known = &entry{name: request.Replica, service: request.Service}
		b.replicas[request.Replica] = known
	}
	known.mentionedAt = now
	if known.tracker.ObserveWord(now, request.Word) {
		b.change(now, known)
	}
	b.announce(now, known)
	return known
}

// change applies the begin or the end of a limit.
func (b *Book) change(now time.Duration, known *entry) {
	if _, limited := known.tracker.Limit(); !limited {
		delete(b.limited[known.service], known.name)
		return
	}
	b.account.Open(now, known.name)
	if b.limited[known.service] == nil {
		b.limited[known.service] = map[string]*entry{}
	}
	b.limited[known.service][known.name] = known
}

// announce makes the replica part of the next announcement if its statement differs from the last one
// that was announced.
func (b *Book) announce(now time.Duration, known *entry) {
	current := known.tracker.Word(now).Statement
	if !known.announced.differsFrom(current) || known.generation > 0 && now-known.announcedAt < announceInterval {
		return
	}
	b.generation++
	known.announced, known.announcedAt, known.generation = current, now, b.generation
}

// differsFrom reports whether another statement is worth announcing.
func (s Statement) differsFrom(other Statement) bool {
	if s.Kind != other.Kind {
		return true
	}
	return s.PerSecond > announcedChange*other.PerSecond || other.PerSecond > announcedChange*s.PerSecond
}

// prune drops the replicas that no proxy has mentioned for a long time.
func (b *Book) prune(now time.Duration) {
	if now-b.prunedAt < forgetAfter {
		return
	}
	b.prunedAt = now
	for name, known := range b.replicas {
		if now-known.mentionedAt <= forgetAfter {
			continue
		}
		delete(b.replicas, name)
		delete(b.limited[known.service], name)
		b.account.Forget(name)
		b.standby.Forget(name)
	}
}

// IsLimited reports whether the replica has a limit.
func (b *Book) IsLimited(replica string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	known := b.replicas[replica]
	if known == nil {
		return false
	}
	_, limited := known.tracker.Limit()
	return limited
}

// Exhausted returns the replicas of a service for which a request of the priority would not be granted
// now, and the time until the first of them grants one.
func (b *Book) Exhausted(now time.Duration, service string, priority int) (names []string, first time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for name, known := range b.limited[service] {
		perSecond, _ := known.tracker.Limit()
		wait := b.account.WaitFor(now, name, QuotaOf(perSecond), 1, known.reserve(now, priority))
		if wait <= 0 {
			continue
		}
		if len(names) == 0 || wait < first {
			first = wait
		}
		names = append(names, name)
	}
	return names, first
}

// NamedWord is a Word about one replica.
type NamedWord struct {
	Replica string
	Word    Word
}

// Announcements returns the statements announced after the given generation, in any order, and the
// generation of the latest one.
func (b *Book) Announcements(now time.Duration, since uint64) (words []NamedWord, generation uint64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if since == b.generation {
		return nil, since
	}
	for name, known := range b.replicas {
		if known.generation > since {
			words = append(words, NamedWord{Replica: name, Word: known.tracker.Word(now)})
		}
	}
	return words, b.generation
}
