package rampup

import (
	"math"
	"time"
)

// shareDoubling is the time in which the common limit of proxies without an answer doubles once its first second
// is over.
const shareDoubling = 100 * time.Millisecond

// Share is the part that one of several proxies has in the ramp of a replica, where they decide independently.
//
// Until a proxy has had a good answer, it has an equal share of a common limit, which grows from 1 to the replica's
// slots within a second, and then doubles with each shareDoubling. As a share is usually less than one request, a
// proxy draws a number for each ramp, see Draw, and may have one request in flight from when its share exceeds that
// number. From its first good answer on it has a limit of its own like that of a Ramp. So over all
// proxies the limit is the common one plus two for each good answer, with no message between them.
type Share struct {
	Ramp
	openFrom time.Duration // when the common limit begins to grow
	draw     float64
}

// Begin starts a ramp whose common limit grows from the given time, which may be in the past or in the future.
// draw returns a random number in [0, 1).
func (s *Share) Begin(from time.Duration, reason Reason, draw func() float64) {
	s.Ramp.Begin(from, reason)
	s.openFrom, s.draw = from, draw()
}

// Failed is Ramp.Failed. If nothing shows that the replica still answers, the common limit grows from the given
// time, when the replica is no longer avoided.
func (s *Share) Failed(now, ago time.Duration, inFlight int, from time.Duration, draw func() float64) {
	s.Ramp.Failed(now, ago, inFlight)
	if s.IsActive() && !s.IsProven() {
		s.openFrom, s.draw = from, draw()
	}
}

// Refused is Ramp.Refused. A proxy that is refused at a limit of one has a share of the common limit again.
func (s *Share) Refused(now time.Duration, inFlight int, draw func() float64) {
	atMinimum := s.active && s.limit == 1
	s.Ramp.Refused(now, inFlight)
	if atMinimum {
		s.reset(now)
	}
	if !s.proven {
		s.openFrom, s.draw = now, draw()
	}
}

// Allowed returns how many requests this proxy may have in flight, 0 if it has to leave the replica to others for
// now. The given number of proxies share the common limit.
func (s *Share) Allowed(now time.Duration, proxies int) int {
	if !s.active || s.proven {
		return s.Ramp.Allowed()
	}
	if s.draw*float64(max(proxies, 1)) < s.commonLimit(now) {
		return 1
	}
	return 0
}

// commonLimit returns the limit of all proxies together without those that have had a good answer.
func (s *Share) commonLimit(now time.Duration) float64 {
	seconds, slots := max((now-s.openFrom).Seconds(), 0), float64(s.maxLimit()-1)
	if seconds < 1 {
		return 1 + (slots-1)*seconds
	}
	return slots * math.Exp2(min((seconds-1)/shareDoubling.Seconds(), 64))
}

// Draw returns the number that a proxy draws whose rank among all of the given number is the given one, from 0. If the
// ranks differ, no more proxies may send than the common limit says; independent draws exceed it at times.
func Draw(rank, proxies int) float64 { return (float64(rank) + 0.5) / float64(max(proxies, 1)) }
