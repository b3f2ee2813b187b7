package placement

import (
	"maps"
	"slices"
	"time"
)

// Some requests end each replica that begins to run them. What stood beside at an end is
// sent again, and nobody can tell it from the one that did it: spread over what is left of
// the fleet, the one ends further replicas and makes suspects of all that stand there. So
// while replicas end one after the other, whatever stood at an end is a suspect, and
// suspects run in a small part of the generators, the wards, where nothing else is, one at
// a time: one that is answered is cleared, one under which a ward ends has done it. All
// other requests run outside of the wards at once. A suspect under which enough have ended
// waits for the verdict: each copy that went out meanwhile might end one more.
//
// Invariant: at any time no more generators are wards, or were lost as wards within
// wardReturn, than a third of those that are listed, or one where that is less. It holds
// since wards are opened in one place, which counts both.
const (
	// alertTime is how long after the last sign of it a series of ends is taken to go on.
	alertTime = 10 * time.Second
	// wardShare is the inverse of the share of generators that may be at risk.
	wardShare = 3
	// mostWards bounds them in a large service, where each request that comes during an alert
	// looks through them.
	mostWards = 64
	// wardReturn is how long a lost ward counts as at risk: a replica takes some seconds to
	// start again.
	wardReturn = 4 * time.Second
	// wardDrain is how long what runs at a new ward is waited for.
	wardDrain = 400 * time.Millisecond
	// wardWatch is how long after its first token a suspect still has its ward for itself.
	wardWatch = 300 * time.Millisecond
	// wardWait is when a suspect for which there is no place asks again.
	wardWait = 40 * time.Millisecond
	// wardIdle is how long after a suspect has asked wards are kept for the next one: several
	// of those that wait ask within it. Replicas that end by themselves raise an alert as well,
	// in which nobody is a suspect for long, and the others need all that is left.
	wardIdle = 500 * time.Millisecond
)

// confinement is where suspects run while replicas end in series.
type confinement struct {
	alertTill time.Duration
	askedTill time.Duration            // wards are kept for suspects until then
	wards     map[string]time.Duration // since when
	lost      []time.Duration          // when wards ended
}

// Alert notes that replicas end one after the other under some request.
func (b *Board) Alert(now time.Duration) { b.confinement.alertTill = now + alertTime }

// IsAlert reports whether requests are to be told apart by what they are.
func (b *Board) IsAlert(now time.Duration) bool { return now < b.confinement.alertTill }

// admit returns how long a suspect has to wait for a ward, 0 for no time at all.
func (c *confinement) admit(b *Board, now time.Duration, ask *Ask) (wait time.Duration) {
	if now >= c.alertTill {
		c.wards, c.lost = nil, nil
		ask.Suspect = false
		return 0
	}
	if ask.Suspect {
		c.askedTill = now + wardIdle
	}
	c.tend(b, now)
	if !ask.Suspect || !ask.Judged && b.freeWard(now, ask) {
		return 0
	}
	return wardWait
}

// tend closes wards that are lost, and opens as many as there may be.
func (c *confinement) tend(b *Board, now time.Duration) {
	if c.wards == nil {
		c.wards = map[string]time.Duration{}
	}
	for name := range c.wards {
		if known := b.replicas[name]; known == nil || !known.isThere(now) || known.isDoubted(now) {
			delete(c.wards, name)
			c.lost = append(c.lost, now)
		}
	}
	if now >= c.askedTill {
		clear(c.wards)
		return
	}
	c.lost = slices.DeleteFunc(c.lost, func(at time.Duration) bool { return now-at >= wardReturn })
	listed, sound := b.generators(now)
	most := min(max(listed/wardShare, 1), mostWards)
	for len(c.wards) > 0 && len(c.wards) >= len(sound) {
		c.closeOne() // all others have to run somewhere
	}
	for len(c.wards)+len(c.lost) < most && len(c.wards) < len(sound)-1 {
		c.wards[c.emptiest(sound).Name] = now
	}
}

// closeOne closes the ward whose name comes first.
func (c *confinement) closeOne() {
	delete(c.wards, slices.Min(slices.Collect(maps.Keys(c.wards))))
}

// generators returns how many generators are listed, and those that answer.
func (b *Board) generators(now time.Duration) (listed int, sound []*replica) {
	for _, name := range b.names {
		known := b.replicas[name]
		if known.Role != RoleDecode || known.isLeaving() {
			continue
		}
		listed++
		if known.isThere(now) && !known.isDoubted(now) && !b.isChanging(now, known) {
			sound = append(sound, known)
		}
	}
	return listed, sound
}

// emptiest is the sound generator that has least to do and is no ward.
func (c *confinement) emptiest(sound []*replica) *replica {
	var best *replica
	for _, known := range sound {
		if _, isWard := c.wards[known.Name]; isWard {
			continue
		}
		if best == nil || len(known.running) < len(best.running) {
			best = known
		}
	}
	return best
}

// allows reports whether the request may run at a generator: suspects at free wards, all
// others anywhere else. Readers are open to all: a prompt that was read ends none.
func (c *confinement) allows(now time.Duration, at *replica, ask *Ask) bool {
	if now >= c.alertTill || at.Role != RoleDecode {
		return true
	}
	since, isWard := c.wards[at.Name]
	return isWard == ask.Suspect && (!isWard || at.isFree(now, since))
}

// freeWard reports whether a ward has a place for the suspect.
func (b *Board) freeWard(now time.Duration, ask *Ask) bool {
	return len(b.shortlist(now, RoleDecode, ask, nil)) > 0
}

// isFree reports whether a ward that was opened then takes a suspect now.
func (r *replica) isFree(now, since time.Duration) bool {
	for p := range r.running {
		if p.ask.Suspect && (!p.started || now-p.startedAt < wardWatch) {
			return false
		}
		if !p.ask.Suspect && now-since < wardDrain {
			return false
		}
	}
	return true
}

// waitAlone answers a suspect that has no place yet. One that cannot wait any longer is
// told so while its caller can come back.
func (b *Board) waitAlone(ask *Ask, wait time.Duration) Answer {
	if ask.Deadline < 2*wait || ask.Deadline < share(ask.Age, waitAloneShare) {
		return Answer{Refused: true, RetryAfter: wardReturn}
	}
	return Answer{Wait: wait}
}

// waitAloneShare is the part of its age that a waiting suspect must have left: after two
// thirds of its time it is refused, and may be cleared when it comes again.
const waitAloneShare = 0.5

// absenceWait is how long a request waits for a generator where none is left; longer than
// its objective nobody waits.
const absenceWait = 50 * time.Millisecond

// nowhere answers a request that no generator takes. Where all of them are gone it waits
// as long as it could be in time, and then is told when one is expected.
func (b *Board) nowhere(now time.Duration, ask *Ask) Answer {
	listed, sound := b.generators(now)
	if listed == 0 || len(sound) > 0 || ask.Continued {
		return Answer{}
	}
	if ask.Age+absenceWait < share(ask.Objective, objectiveShare) {
		return Answer{Wait: absenceWait}
	}
	return Answer{Refused: true, RetryAfter: firstAbsence}
}
