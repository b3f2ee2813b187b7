package placement

import (
	"slices"
	"time"
)

// A replica completes the prompt that it is reading, and then reads the queued ones by urgency and,
// among those of equal urgency, by arrival. Deferred requests are the least urgent, so they delay
// others only while they are being read themselves. Among the other requests, the board ignores
// urgency and estimates as if they were read by arrival: a more urgent request is read earlier than
// estimated, each request that it overtakes is read later, and the two effects cancel out.

// isReadAfter reports whether the request is read after one that was placed earlier.
func (a *Request) isReadAfter(earlier *Request) bool { return a.deferred || !earlier.deferred }

// enqueue adds a request to the read queue of the replica.
func (r *replica) enqueue(now time.Duration, p *placedRequest) {
	p.readAlone = r.current == nil
	p.slownessAtPlacement = r.speed.knownSlowness(now)
	r.queuedTokens += p.unreadTokens
	pos := slices.IndexFunc(r.queue, func(queued *placedRequest) bool { return !p.request.isReadAfter(&queued.request) })
	if pos < 0 {
		pos = len(r.queue)
	}
	r.queue = slices.Insert(r.queue, pos, p)
	if r.current == nil {
		r.current, r.currentSince = p, now
	}
}

// dequeue removes a request from the read queue of the replica.
func (r *replica) dequeue(now time.Duration, p *placedRequest) {
	if i := slices.Index(r.queue, p); i >= 0 {
		r.queue = slices.Delete(r.queue, i, i+1)
		r.queuedTokens -= p.unreadTokens
	}
	if r.current != p {
		return
	}
	r.current, r.currentSince = nil, now
	if len(r.queue) > 0 {
		r.current = r.queue[0]
	}
}

// backlog returns the time to read all prompts that precede a new request.
func (r *replica) backlog(now, perToken time.Duration, request *Request) time.Duration {
	total := time.Duration(0)
	if r.current != nil {
		total = max(time.Duration(r.current.unreadTokens)*perToken-(now-r.currentSince), minReadRemaining)
	}
	for _, queued := range r.queue {
		if !request.isReadAfter(&queued.request) {
			break
		}
		if queued != r.current {
			total += time.Duration(queued.unreadTokens) * perToken
		}
	}
	return total
}

// minReadRemaining is the assumed minimum remaining time of the current read, even if it is
// overdue.
const minReadRemaining = time.Millisecond

// lastInQueue is a request that is read after all queued ones. Its backlog is that of the whole
// queue.
var lastInQueue = &Request{deferred: true}
