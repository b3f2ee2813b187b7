package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// requestWithObjective returns a request with an objective and no shared part.
func requestWithObjective(tokens int, objective time.Duration) Request {
	next := newRequest("", 0, tokens)
	next.Objective, next.Deadline = objective, 2*time.Second
	return next
}

// placeRequests places equal requests at the same time, and returns how many were deferred and
// refused.
func placeRequests(b *Board, requests int, next func() Request) (deferred, refused int) {
	for number := range uint64(requests) {
		answer := b.Place(0, key(number), next())
		if answer.Deferred {
			deferred++
		}
		if answer.Refused {
			refused++
		}
	}
	return deferred, refused
}

func TestRequestsThatWouldBeLateAreDeferred(t *testing.T) {
	b := newTestBoard()
	deferred, refused := placeRequests(b, 30, func() Request {
		patient := requestWithObjective(6_000, 600*ms)
		patient.Deadline = time.Minute
		return patient
	})
	must.Greater(t, 0, deferred)
	must.Less(t, 30, deferred)
	must.Eq(t, 0, refused)
}

// A late request is not deferred while few requests are late.
func TestFewLateRequestsAreNotDeferred(t *testing.T) {
	b := newTestBoard()
	for number := range uint64(20) {
		b.Place(0, key(number), requestWithObjective(100, 10*time.Second))
	}
	late := func() Request {
		next := requestWithObjective(6_000, 600*ms)
		next.Age = time.Second
		return next
	}
	must.False(t, b.Place(0, key(100), late()).Deferred)
	for number := range uint64(10) {
		b.Place(0, key(200+number), late())
	}
	must.True(t, b.Place(0, key(300), late()).Deferred)
}

// Deferred requests that wait in a queue do not delay other requests: the estimate of a request is
// the same with and without them.
func TestDeferredRequestsDelayNoOthers(t *testing.T) {
	b := newTestBoard()
	placeRequests(b, 12, func() Request { return requestWithObjective(6_000, 600*ms) })
	late := requestWithObjective(6_000, 600*ms)
	late.Age = time.Second
	for number := range uint64(2) { // read at once, since the readers are idle
		must.True(t, b.Place(0, key(300+number), late).Deferred)
	}
	before := b.Place(0, key(100), requestWithObjective(300, 600*ms))
	b.RecordProgress(0, key(100), ProgressReport{Step: StepEnded})
	for number := range uint64(3) {
		must.True(t, b.Place(0, key(200+number), late).Deferred)
	}
	must.Eq(t, before.Estimate, b.Place(0, key(101), requestWithObjective(300, 600*ms)).Estimate)
}

func TestRequestsThatWouldMissTheirDeadlineAreRefused(t *testing.T) {
	b := newTestBoard()
	_, early := placeRequests(b, 200, func() Request { return requestWithObjective(6_000, 600*ms) })
	must.Eq(t, 0, early, must.Sprint("initial estimates refuse nothing"))
	b = newTestBoard()
	for role := range b.readTimes {
		for range trustedSamples {
			b.readTimes[role].learn(readSample{4_000, b.readTimes[role].fixed() + 4_000*b.readTimes[role].perToken(), true}, 1)
		}
	}
	_, refused := placeRequests(b, 200, func() Request { return requestWithObjective(6_000, 600*ms) })
	must.Greater(t, 0, refused)
	placed := len(b.inFlight)
	answer := b.Place(0, key(1000), requestWithObjective(6_000, 600*ms))
	must.True(t, answer.Refused)
	must.Greater(t, 0, answer.RetryAfter)
	must.Eq(t, "", answer.Generator)
	must.MapLen(t, placed, b.inFlight, must.Sprint("refused requests are not counted"))
}

func TestRequestsWithoutAnObjectiveAreNeverDeferred(t *testing.T) {
	b := newTestBoard()
	deferred, refused := placeRequests(b, 200, func() Request { return requestWithObjective(6_000, 0) })
	must.Eq(t, 0, deferred)
	must.Eq(t, 0, refused)
	continued := requestWithObjective(6_000, 600*ms)
	continued.Continued = true
	must.False(t, b.Place(0, key(1000), continued).Deferred)
}

// Under any sequence of enqueues and dequeues, the current read is one of the queued requests,
// deferred requests come last, and the backlog of a request that is not deferred never exceeds
// that of a deferred one.
func TestReadQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &replica{}
		var known []*placedRequest
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * ms
			if len(known) > 0 && rapid.Bool().Draw(t, "ends") {
				i := rapid.IntRange(0, len(known)-1).Draw(t, "which")
				r.dequeue(now, known[i])
				known = append(known[:i], known[i+1:]...)
			} else {
				next := &placedRequest{unreadTokens: rapid.IntRange(0, 9_000).Draw(t, "tokens")}
				next.request.deferred = rapid.Bool().Draw(t, "deferred")
				r.enqueue(now, next)
				known = append(known, next)
			}
			must.Eq(t, len(known), len(r.queue))
			must.Eq(t, len(known) > 0, r.current != nil)
			if r.current != nil {
				must.True(t, slices.Contains(known, r.current))
			}
			must.LessEq(t, r.backlog(now, time.Microsecond, lastInQueue), r.backlog(now, time.Microsecond, &Request{}))
		}
	})
}
