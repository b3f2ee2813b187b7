package ratelimit

import (
	"sync"
	"time"
)

const (
	// localFraction is the part of a rate that all proxies together grant while they reach no member.
	// The rest is for what members granted shortly before.
	localFraction = 0.5
	// minLocalPerSecond is the smallest rate that all proxies together use, see minPerSecond.
	minLocalPerSecond = 0.1
	// minOutage is how long no member has to answer before a proxy grants from its share. While some of
	// its requests for permits are answered, the leader grants the whole rate.
	minOutage = time.Second
	// maxAccrualTime limits the time for which a share accrues without being drawn from.
	maxAccrualTime = 2 * time.Second
	// drawAmount is how much accrues between two draws of a proxy with steady demand, unless that
	// takes longer than maxDrawInterval.
	drawAmount      = 0.25
	maxDrawInterval = time.Second
	// maxShares is the number of shares above which those that were not drawn from for forgetAfter
	// are dropped.
	maxShares = 256
)

// Shares grants requests for limited replicas at a proxy that reaches no member of the control group.
// The proxies divide a part of each rate equally. A share often yields far less than one request, so a
// request is granted at random, with what has accrued since the previous draw as the probability, and a
// draw uses that up. All proxies together therefore grant on average what their shares accrue, however
// often they draw. A share accrues only during an outage, when no request for a permit has been answered
// for minOutage. It is safe for concurrent use.
type Shares struct {
	random  func() float64 // in [0, 1)
	lock    sync.Mutex
	drawnAt map[string]time.Duration // by replica
	// unanswered is true if the latest request for a permit was not answered, and unansweredSince is the
	// time of the first one after the latest answer.
	unanswered      bool
	unansweredSince time.Duration
}

// NewShares returns shares of which none has accrued anything. random returns numbers in [0, 1), such
// as rand.Float64.
func NewShares(random func() float64) *Shares {
	return &Shares{random: random, drawnAt: map[string]time.Duration{}}
}

// RecordAnswer records that a member has answered a request for a permit.
func (s *Shares) RecordAnswer() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.unanswered = false
}

// Draw records that no member has answered a request for a permit, and reports whether it is granted from
// the share. The given number of proxies share the rate of the replica, in requests per second. If it is
// not granted, Draw returns the time until the next attempt is worthwhile.
func (s *Shares) Draw(now time.Duration, replica string, perSecond float64, proxies int) (granted bool, wait time.Duration) {
	share := max(localFraction*perSecond, minLocalPerSecond) / float64(max(proxies, 1))
	s.lock.Lock()
	defer s.lock.Unlock()
	if !s.recordUnanswered(now) {
		return false, 0
	}
	accrued := share * s.accrualTime(now, replica).Seconds()
	s.drawnAt[replica] = now
	if s.random() < accrued {
		return true, 0
	}
	return false, min(time.Duration(drawAmount/share*float64(time.Second)), maxDrawInterval)
}

// recordUnanswered records that a request for a permit was not answered, and reports whether there is an outage.
func (s *Shares) recordUnanswered(now time.Duration) (outage bool) {
	if !s.unanswered {
		s.unanswered, s.unansweredSince = true, now
	}
	return now-s.unansweredSince >= minOutage
}

// accrualTime returns the time since the previous draw of this outage, 0 for the first one.
func (s *Shares) accrualTime(now time.Duration, replica string) time.Duration {
	drawnAt, known := s.drawnAt[replica]
	if !known {
		s.prune(now)
	}
	if !known || drawnAt < s.unansweredSince {
		return 0
	}
	return min(now-drawnAt, maxAccrualTime)
}

// prune drops the shares that were not drawn from for a long time, if there are many.
func (s *Shares) prune(now time.Duration) {
	if len(s.drawnAt) < maxShares {
		return
	}
	for replica, drawnAt := range s.drawnAt {
		if now-drawnAt > forgetAfter {
			delete(s.drawnAt, replica)
		}
	}
}
