package placement

import (
	"math"
	"time"
)

// Replicas of one role differ: machines are shared, throttled or cold. What each read
// took there is held against the pace of the role, so that one that is slower gets less
// to read within a few answers, and as much as the others again once it has recovered.

const (
	// slownessPrior is the reading time, as the role's pace has it, for which a replica
	// is taken for as fast as the others before its own reads tell: about two prompts.
	slownessPrior = 150 * time.Millisecond
	// slownessMemory is the time after which a read counts a third.
	slownessMemory = 1500 * time.Millisecond
	// Bounds of what is believed: a read that waited for something else tells nothing.
	leastSlowness = 0.5
	mostSlowness  = 8.0
)

// slowness is how much longer a replica takes for its reads than its role does.
type slowness struct {
	took, expected float64       // seconds, of which the older count less
	at             time.Duration // up to when they have decayed
}

// learn takes in a read that was expected to take so long.
func (s *slowness) learn(now, took, expected time.Duration) {
	s.decay(now)
	s.expected += expected.Seconds()
	s.took += min(took.Seconds(), mostSlowness*expected.Seconds())
}

func (s *slowness) decay(now time.Duration) {
	kept := math.Exp(-float64(max(now-s.at, 0)) / float64(slownessMemory))
	s.took, s.expected = s.took*kept, s.expected*kept
	s.at = max(s.at, now)
}

// factor is the slowness as it is believed now, 1 for a replica like the others.
func (s *slowness) factor(now time.Duration) float64 {
	s.decay(now)
	prior := slownessPrior.Seconds()
	return min(max((s.took+prior)/(s.expected+prior), leastSlowness), mostSlowness)
}

// paceOf is the time that the replica takes to read one token.
func (b *Board) paceOf(now time.Duration, r *replica) time.Duration {
	return time.Duration(r.slowness.factor(now) * float64(b.paces[r.Role].perToken()))
}
