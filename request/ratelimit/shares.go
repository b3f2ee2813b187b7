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
// often they draw. It is safe for concurrent use.
type Shares struct {
	random  func() float64 // in [0, 1)
	lock    sync.Mutex
	drawnAt map[string]time.Duration // by replica
}

// NewShares returns shares of which none has accrued anything. random returns numbers in [0, 1), such
// as rand.Float64.
func NewShares(random func() float64) *Shares {
	return &Shares{random: random, drawnAt: map[string]time.Duration{}}
}

// Draw reports whether a request may be sent to the replica with the given rate, which the given number
// of proxies share. If not, it returns the time until the next draw is worthwhile.
func (s *Shares) Draw(now time.Duration, replica string, perSecond float64, proxies int) (granted bool, wait time.Duration) {
	share := max(localFraction*perSecond, minLocalPerSecond) / float64(max(proxies, 1))
	s.lock.Lock()
	defer s.lock.Unlock()
	accrued := share * s.accrualTime(now, replica).Seconds()
	s.drawnAt[replica] = now
	if s.random() < accrued {
		return true, 0
	}
	return false, min(time.Duration(drawAmount/share*float64(time.Second)), maxDrawInterval)
}

// accrualTime returns the time since the previous draw, 0 for a new share.
func (s *Shares) accrualTime(now time.Duration, replica string) time.Duration {
	drawnAt, known := s.drawnAt[replica]
	if !known {
		s.prune(now)
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
