package placement

import (
	"slices"
	"time"
)

// A replica finishes the prompt that it reads, and takes the next one by urgency
// and then by arrival. So a deferred request keeps others waiting only while it
// is itself being read. Among the others the board counts by arrival alone: a more
// urgent one is read sooner than that, but each that it goes before waits for it, and
// counting both comes to the same.

// rank is the request's place in the order of reading, the lowest first.
func (a *Ask) rank() int { return oneIf(a.deferred) }

// enqueue adds a request to what the replica has to read.
func (r *replica) enqueue(now time.Duration, p *placed) {
	p.alone = r.current == nil
	place, _ := slices.BinarySearchFunc(r.queue, p.ask.rank(), func(queued *placed, rank int) int {
		if queued.ask.rank() <= rank {
			return -1
		}
		return 1
	})
	r.queue = slices.Insert(r.queue, place, p)
	if r.current == nil {
		r.current, r.currentSince = p, now
	}
}

// dequeue takes a request out of what the replica has to read.
func (r *replica) dequeue(now time.Duration, p *placed) {
	if i := slices.Index(r.queue, p); i >= 0 {
		r.queue = slices.Delete(r.queue, i, i+1)
	}
	if r.current != p {
		return
	}
	r.current, r.currentSince = nil, now
	if len(r.queue) > 0 {
		r.current = r.queue[0]
	}
}

// maxOverdue is for how long a read may be overdue before it counts as over. By then the
// daemon that asked for it has given the replica up and said so, unless it is gone itself;
// and since nobody uses a replica that looks busy, nothing else would be heard of it.
const maxOverdue = 1500 * time.Millisecond

// overdueGrace is what a read may take besides its tokens: its start, 25 to 50 ms as
// measured, and the way of the word that it has ended.
const overdueGrace = 80 * time.Millisecond

// remaining is the time that the current read still takes. One that should be over is
// over if the replica has been heard of since: its daemon may be gone. Otherwise it is
// expected to go on for as long as it is overdue, up to a bound: the replica is slow, or
// has fallen silent, which nothing else tells for a second or more.
func (r *replica) remaining(now, pace time.Duration) time.Duration {
	if r.current == nil {
		return 0
	}
	takes := time.Duration(r.current.reading) * pace
	left := r.currentSince + takes - now
	if left >= -overdueGrace {
		return max(left, 0)
	}
	overdue := now - max(r.currentSince, r.heardAt) - takes
	if overdue > maxOverdue {
		return 0
	}
	return max(overdue, 0)
}

// backlog is the time that reading all that goes before a new request will take.
func (r *replica) backlog(now, pace time.Duration, ask *Ask) time.Duration {
	total := r.remaining(now, pace)
	rank := ask.rank()
	for _, queued := range r.queue {
		if queued.ask.rank() > rank {
			break
		}
		if queued != r.current {
			total += time.Duration(queued.reading) * pace
		}
	}
	return total
}

// leastUrgent goes behind everything.
var leastUrgent = &Ask{deferred: true}
