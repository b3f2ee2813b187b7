package control

import (
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// advance moves an entry to the state that follows from what is known.
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
			watch(spec, wall) // it comes rarely, or was merely in flight beside a request that is now held
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

// isMistaken reports whether a hold is unfounded: another request explains the crashes, or too
// few of the replicas have crashed because some turned out to be alive.
func (d *quarantineDesk) isMistaken(spec *api.QuarantineSpec, fingerprint quarantine.Fingerprint, standing quarantine.Standing) bool {
	heard, _ := d.table.Ends(fingerprint)
	isExplained := len(heard) >= endsToHold(spec) && standing == quarantine.Watched
	return isExplained || len(spec.Replicas) < endsToHold(spec)
}

// endHold ends an expired hold. Only as many crashes are kept that one more shows whether the
// request still crashes replicas.
func (d *quarantineDesk) endHold(spec *api.QuarantineSpec, fingerprint quarantine.Fingerprint, current *view.View, now time.Duration, wall time.Time) {
	watch(spec, wall)
	if routedService(current, spec.Service) != nil {
		try(spec, wall)
	}
	spec.Alone, spec.Weak = false, nil
	spec.Replicas = spec.Replicas[len(spec.Replicas)-quarantine.WatchedEnds:]
	d.table.Restore(now, fingerprint, quarantine.Record{Replicas: spec.Replicas, About: aboutOf(spec)})
}

// startWatch lets a request run and waits for its next crash.
func watch(spec *api.QuarantineSpec, wall time.Time) {
	spec.State, spec.TriedSince = api.QuarantineWatched, 0
	spec.Until = wall.Add(watchTime).UnixMilli()
}

// isTrialOver reports whether a request was tried for trialDuration without a crash or an answer.
func isTriedOut(spec *api.QuarantineSpec, wall time.Time) bool {
	return spec.State == api.QuarantineTried && wall.Sub(time.UnixMilli(spec.TriedSince)) >= tryTime
}

// crashesToHold returns how many crashed replicas a held request must have to stay held.
func endsToHold(spec *api.QuarantineSpec) int {
	if spec.Alone {
		return quarantine.WatchedEnds
	}
	return quarantine.CondemningEnds
}

// startHold holds a request from now on.
func hold(spec *api.QuarantineSpec, wall time.Time) {
	length := longestHold
	if spec.Times < 2 {
		length = firstHold << spec.Times
	}
	spec.State, spec.TriedSince = api.QuarantineHeld, 0
	spec.Times++
	spec.Until = wall.Add(length).UnixMilli()
}

// startTrialOrSettle starts a trial of a request, unless the request is about to be held: a trial
// would crash one more replica for nothing.
func (d *quarantineDesk) tryOrSettle(spec *api.QuarantineSpec, fingerprint quarantine.Fingerprint, now time.Duration, wall time.Time) {
	if d.isAboutToBeHeld(fingerprint, now) {
		settle(spec, wall)
		return
	}
	try(spec, wall)
}

// isAboutToBeHeld reports whether a request will be held unless reports that are still expected
// clear it.
func (d *quarantineDesk) isAboutToBeHeld(fingerprint quarantine.Fingerprint, now time.Duration) bool {
	return d.hasHeard(now) && d.table.IsConvicted(fingerprint)
}

// hasInitialReports reports whether proxies have had time to report to this leader what they
// know. Until then it neither holds a request nor starts a trial, which refuses all copies but
// one: crashes and the successful answers that refute them are reported in any order.
func (d *quarantineDesk) hasHeard(now time.Duration) bool { return now >= d.judgeFrom }

// startSettling keeps a request away from all replicas until the decision, which is made within
// one turn.
func settle(spec *api.QuarantineSpec, wall time.Time) {
	if spec.State != api.QuarantineSettling {
		spec.State = api.QuarantineSettling
		spec.Until = wall.Add(tryTurn).UnixMilli()
	}
}

// startTrialTurn starts the next proxy's turn.
func try(spec *api.QuarantineSpec, wall time.Time) {
	spec.State = api.QuarantineTried
	if spec.TriedSince == 0 {
		spec.TriedSince = wall.UnixMilli()
	}
	spec.Until = wall.Add(tryTurn).UnixMilli()
}

// needsTrial reports whether a request is to be tried by one proxy at a time.
func (d *quarantineDesk) isToTry(current *view.View, fingerprint quarantine.Fingerprint) bool {
	_, about := d.table.Ends(fingerprint)
	routed := routedService(current, about.Service)
	// Where requests are placed, the board isolates suspects.
	return d.table.IsTried(fingerprint) && routed != nil && routed.Model == nil
}

// routedService returns the routed service with the given name, or nil. Proxies take turns only
// with requests of such services.
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
