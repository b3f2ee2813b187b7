package placement

import "time"

// When not all requests can be in time, those go first that can: in an overload, a
// request that would miss its objective behind the others is deferred, which makes
// room for one that would not. Served late it is worth less, but little less for being
// later still. One that would not even come before its deadline is refused at
// once, while its caller has time to come back; a board that has only guessed the
// pace of reading so far refuses nothing.
//
// Invariant: a deferred request keeps one that is not deferred waiting only while
// it is itself being read, and the estimate of the latter counts just that. So
// deferring one request never makes the next one late.
const (
	// objectiveShare is the part of the objective that an estimate may use up.
	objectiveShare = 0.9
	// deadlineShare is the part of the time left that the estimate of a deferred
	// request may use up: others will yet go ahead of it.
	deadlineShare = 0.8
	// overloadShare is the share of late requests from which late ones are deferred.
	overloadShare = 0.15
	// latenessMemory is the time after which a request counts a third in that share.
	latenessMemory = 4 * time.Second
)

// chooseInOrder returns the cheapest way to serve the request, and defers or
// refuses one that would be late.
func (b *Board) chooseInOrder(now time.Duration, ask *Ask) (option, bool) {
	chosen, found := b.choosePressed(now, ask)
	if !found {
		return chosen, false
	}
	late := ask.late(chosen.first)
	if ask.Objective > 0 && !ask.Continued && chosen.wait == 0 {
		b.noteLateness(now, late)
		b.objective.note(ask.Objective)
	}
	if !b.givesWay(now, ask, late) {
		return chosen, true
	}
	ask.deferred = true
	chosen, found = b.choose(now, ask)
	if found && chosen.wait == 0 && b.paces[chosen.readsAt().Role].trusted() && chosen.first > share(ask.Deadline, deadlineShare) {
		return option{refused: true, first: chosen.first}, true
	}
	return chosen, found
}

// choosePressed returns the cheapest way to serve the request. One that would be late behind
// full readers is read at a generator with streams where it is in time there.
func (b *Board) choosePressed(now time.Duration, ask *Ask) (option, bool) {
	chosen, found := b.choose(now, ask)
	if !found || !ask.late(chosen.first) {
		return chosen, found
	}
	ask.pressed = true
	pressed, _ := b.choose(now, ask)
	ask.pressed = false
	if ask.late(pressed.first) {
		return chosen, true
	}
	return pressed, true
}

// givesWay reports whether a request lets those go first that can be in time.
func (b *Board) givesWay(now time.Duration, ask *Ask, late bool) bool {
	if ask.surging {
		return true // also where few are late, as they are while it gives way
	}
	return late && b.isOverloaded(now) && !b.isStarved(now, ask)
}

// noteLateness counts a request that could, or could not, be placed in time.
func (b *Board) noteLateness(now time.Duration, late bool) {
	b.lateness.events.add(now)
	if late {
		b.lateness.hits.add(now)
	}
}

// Late returns the share of requests with an objective that could not be placed
// in time lately, and the weight of the requests that it is the share of.
func (b *Board) Late(now time.Duration) (share, requests float64) {
	return b.lateness.value(now), b.lateness.events.value(now)
}

// isOverloaded reports whether so many requests are late that their order matters.
// Where few are, nobody waits for the room that a deferred one makes, and one whose
// estimate was too high would have been in time.
func (b *Board) isOverloaded(now time.Duration) bool {
	return b.lateness.value(now) >= overloadShare
}

// isStarved reports whether requests of this size are served too seldom to be put
// behind others.
func (b *Board) isStarved(now time.Duration, ask *Ask) bool {
	known := b.fairnessOf(now, ask)
	return known.isStarved(now, known.group(ask.Prompt))
}

// late reports whether the request misses its objective if its first token comes
// after so long.
func (a *Ask) late(first time.Duration) bool {
	if a.Objective == 0 || a.Continued {
		return false
	}
	return a.Age+first > share(a.Objective, objectiveShare)
}

func share(of time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(of))
}
