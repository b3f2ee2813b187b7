package control

import (
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// advance takes an entry to the state that is due by what is known.
func (d *quarantineDesk) advance(spec *api.QuarantineSpec, fingerprint quarantine.Fingerprint, current *view.View, now time.Duration, wall time.Time) {
	standing := d.table.Standing(now, fingerprint)
	isHarmful := standing == quarantine.Condemned && d.hasHeard(now)
	switch spec.State {
	case api.QuarantineTried:
		switch {
		case isHarmful:
			hold(spec, wall)
		case d.isAboutToBeHeld(fingerprint, now):
			settle(spec, wall)
		case isTriedOut(spec, wall), spec.EndedAtOnce() && !d.isToTry(current, fingerprint):
			watch(spec, wall) // it hardly comes, or merely stood beside one that is held by now
		case hasLapsed(spec, wall):
			try(spec, wall)
		}
	case api.QuarantineSettling:
		switch {
		case isHarmful:
			hold(spec, wall)
		case d.isAboutToBeHeld(fingerprint, now), !d.hasHeard(now):
		case d.isToTry(current, fingerprint):
			try(spec, wall)
		default:
			watch(spec, wall)
		}
	case api.QuarantineWatched:
		switch {
		case standing != quarantine.Condemned && d.hasHeard(now) && d.isToTry(current, fingerprint):
			d.tryOrSettle(spec, fingerprint, now, wall)
		case isHarmful:
			hold(spec, wall)
		}
	case api.QuarantineHeld:
		switch {
		case hasLapsed(spec, wall):
			d.endHold(spec, fingerprint, current, now, wall)
		case d.isMistaken(spec, fingerprint, standing):
			watch(spec, wall)
		}
	}
}

// isMistaken reports whether what a request is held for was another one's doing, or its
// replicas live.
func (d *quarantineDesk) isMistaken(spec *api.QuarantineSpec, fingerprint quarantine.Fingerprint, standing quarantine.Standing) bool {
	heard, _ := d.table.Ends(fingerprint)
	isExplained := len(heard) >= endsToHold(spec) && standing == quarantine.Watched
	return isExplained || len(spec.Replicas) < endsToHold(spec)
}

// endHold ends a hold whose time is over. One more end shows whether the request is still what
// it was.
func (d *quarantineDesk) endHold(spec *api.QuarantineSpec, fingerprint quarantine.Fingerprint, current *view.View, now time.Duration, wall time.Time) {
	watch(spec, wall)
	if routedService(current, spec.Service) != nil {
		try(spec, wall)
	}
	spec.Alone, spec.Weak = false, nil
	spec.Replicas = spec.Replicas[len(spec.Replicas)-quarantine.WatchedEnds:]
	d.table.Restore(now, fingerprint, quarantine.Record{Replicas: spec.Replicas, About: aboutOf(spec)})
}

// watch lets a request run and waits for its next end.
func watch(spec *api.QuarantineSpec, wall time.Time) {
	spec.State, spec.TriedSince = api.QuarantineWatched, 0
	spec.Until = wall.Add(watchTime).UnixMilli()
}

// isTriedOut reports whether a request was tried for long without an end or an answer.
func isTriedOut(spec *api.QuarantineSpec, wall time.Time) bool {
	return spec.State == api.QuarantineTried && wall.Sub(time.UnixMilli(spec.TriedSince)) >= tryTime
}

// endsToHold is how many replicas must have ended under a request that stays held.
func endsToHold(spec *api.QuarantineSpec) int {
	if spec.Alone {
		return quarantine.WatchedEnds
	}
	return quarantine.CondemningEnds
}

// hold holds a request from now on.
func hold(spec *api.QuarantineSpec, wall time.Time) {
	length := longestHold
	if spec.Times < 2 {
		length = firstHold << spec.Times
	}
	spec.State, spec.TriedSince = api.QuarantineHeld, 0
	spec.Times++
	spec.Until = wall.Add(length).UnixMilli()
}

// tryOrSettle lets a request be tried, unless it is about to be held: a trial would end one more
// replica for nothing.
func (d *quarantineDesk) tryOrSettle(spec *api.QuarantineSpec, fingerprint quarantine.Fingerprint, now time.Duration, wall time.Time) {
	if d.isAboutToBeHeld(fingerprint, now) {
		settle(spec, wall)
		return
	}
	try(spec, wall)
}

// isAboutToBeHeld reports whether a request is held as soon as the words of bystanders are there.
func (d *quarantineDesk) isAboutToBeHeld(fingerprint quarantine.Fingerprint, now time.Duration) bool {
	return d.hasHeard(now) && d.table.IsConvicted(fingerprint)
}

// hasHeard reports whether proxies have had the time to tell this leader what they know. Until then
// it neither holds a request nor begins to try one: it hears of ends and of the good answers that
// refute them in any order, and a trial refuses all copies but one.
func (d *quarantineDesk) hasHeard(now time.Duration) bool { return now >= d.judgeFrom }

// settle keeps a request from all replicas until the verdict, which comes within a turn.
func settle(spec *api.QuarantineSpec, wall time.Time) {
	if spec.State != api.QuarantineSettling {
		spec.State = api.QuarantineSettling
		spec.Until = wall.Add(tryTurn).UnixMilli()
	}
}

// try gives the next proxy its turn.
func try(spec *api.QuarantineSpec, wall time.Time) {
	spec.State = api.QuarantineTried
	if spec.TriedSince == 0 {
		spec.TriedSince = wall.UnixMilli()
	}
	spec.Until = wall.Add(tryTurn).UnixMilli()
}

// isToTry reports whether a request is to be tried by one proxy at a time.
func (d *quarantineDesk) isToTry(current *view.View, fingerprint quarantine.Fingerprint) bool {
	_, about := d.table.Ends(fingerprint)
	routed := routedService(current, about.Service)
	// Where requests are placed, the board keeps suspects apart.
	return d.table.IsTried(fingerprint) && routed != nil && routed.Model == nil
}

// routedService returns the routed service of the name, or nil. Proxies take turns with the
// requests of such services only.
func routedService(current *view.View, service string) *api.RouteService {
	held := current.Ingresses[api.IngressName]
	if held == nil {
		return nil
	}
	at := slices.IndexFunc(held.Spec.Services, func(known api.RouteService) bool { return known.Name == service })
	if at < 0 {
		return nil
	}
	return &held.Spec.Services[at]
}
