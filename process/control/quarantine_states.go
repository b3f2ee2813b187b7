package control

import (
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// advance moves an entry to the state that follows from the table and the time. A request is
// harmful if its verdict in the table is quarantine.Harmful.
func (d *quarantineTracker) advance(spec *api.QuarantineSpec, fingerprint quarantine.Fingerprint, current *view.View, now time.Duration, wall time.Time) {
	verdict := d.table.Verdict(now, fingerprint)
	isHarmful := verdict == quarantine.Harmful && d.hasInitialReports(now)
	switch spec.State {
	case api.QuarantineTried:
		switch {
		case isHarmful:
			startHold(spec, wall)
		case d.isAboutToBeHeld(fingerprint, now):
			startSettling(spec, wall)
		case isTrialOver(spec, wall), spec.EndedAtOnce() && !d.needsTrial(current, fingerprint):
			startWatch(spec, wall) // it is rarely sent, or was merely in flight beside a request that is now held
		case isExpired(spec, wall):
			startTrialTurn(spec, wall)
		}
	case api.QuarantineSettling:
		switch {
		case isHarmful:
			startHold(spec, wall)
		case d.isAboutToBeHeld(fingerprint, now), !d.hasInitialReports(now):
			// The decision is still to come.
		case d.needsTrial(current, fingerprint):
			startTrialTurn(spec, wall)
		default:
			startWatch(spec, wall)
		}
	case api.QuarantineWatched:
		switch {
		case verdict != quarantine.Harmful && d.hasInitialReports(now) && d.needsTrial(current, fingerprint):
			d.startTrialOrSettle(spec, fingerprint, now, wall)
		case isHarmful && !d.awaitsCopy(fingerprint, now):
			startHold(spec, wall)
		}
	case api.QuarantineHeld:
		switch {
		case isExpired(spec, wall):
			d.endHold(spec, fingerprint, current, now, wall)
		case d.isMistaken(spec, fingerprint, verdict):
			startWatch(spec, wall)
		}
	}
}

// isMistaken reports whether a hold is unfounded: another request, which was in flight at the same
// crashes, explains them, or too few of the replicas have crashed because some turned out to be
// alive.
func (d *quarantineTracker) isMistaken(spec *api.QuarantineSpec, fingerprint quarantine.Fingerprint, verdict quarantine.Verdict) bool {
	crashed, _ := d.table.FailedReplicas(fingerprint)
	isExplained := len(crashed) >= minCrashesToStayHeld(spec) && verdict == quarantine.Watched
	return isExplained || len(spec.Replicas) < minCrashesToStayHeld(spec)
}

// endHold ends an expired hold. It keeps quarantine.WatchedIncidents crashes, one less than it
// takes to hold a request, so that a single further one, in a trial or while the request is
// watched, renews the hold.
func (d *quarantineTracker) endHold(spec *api.QuarantineSpec, fingerprint quarantine.Fingerprint, current *view.View, now time.Duration, wall time.Time) {
	startWatch(spec, wall)
	if routedService(current, spec.Service) != nil {
		startTrialTurn(spec, wall)
	}
	spec.Alone, spec.Weak = false, nil
	spec.Replicas = spec.Replicas[len(spec.Replicas)-quarantine.WatchedIncidents:]
	d.table.Restore(now, fingerprint, quarantine.Record{Replicas: spec.Replicas, About: aboutOf(spec)})
}

// startWatch lets a request be sent as usual, and waits for its next crash.
func startWatch(spec *api.QuarantineSpec, wall time.Time) {
	spec.State, spec.TriedSince = api.QuarantineWatched, 0
	spec.Until = wall.Add(watchDuration).UnixMilli()
}

// isTrialOver reports whether a request was tried for trialDuration without a crash or an answer.
func isTrialOver(spec *api.QuarantineSpec, wall time.Time) bool {
	return spec.State == api.QuarantineTried && wall.Sub(time.UnixMilli(spec.TriedSince)) >= trialDuration
}

// minCrashesToStayHeld returns how many crashed replicas a held request must have to stay held. It
// takes fewer if the request was once the only one in flight at a crash.
func minCrashesToStayHeld(spec *api.QuarantineSpec) int {
	if spec.Alone {
		return quarantine.WatchedIncidents
	}
	return quarantine.HarmfulIncidents
}

// startHold holds a request from now on.
func startHold(spec *api.QuarantineSpec, wall time.Time) {
	length := maxHoldDuration
	if spec.Times < 2 {
		length = firstHoldDuration << spec.Times
	}
	spec.State, spec.TriedSince = api.QuarantineHeld, 0
	spec.Times++
	spec.Until = wall.Add(length).UnixMilli()
}

// startTrialOrSettle starts a trial of a request, unless the request is about to be held: a trial
// would crash one more replica for nothing.
func (d *quarantineTracker) startTrialOrSettle(spec *api.QuarantineSpec, fingerprint quarantine.Fingerprint, now time.Duration, wall time.Time) {
	if d.isAboutToBeHeld(fingerprint, now) {
		startSettling(spec, wall)
		return
	}
	startTrialTurn(spec, wall)
}

// isAboutToBeHeld reports whether a request will be held unless reports that are still expected
// clear it.
func (d *quarantineTracker) isAboutToBeHeld(fingerprint quarantine.Fingerprint, now time.Duration) bool {
	return d.hasInitialReports(now) && d.table.IsHarmfulWithoutSuccessWait(fingerprint)
}

// hasInitialReports reports whether proxies have had time to report to this leader what they
// know. Until then the leader neither holds a request nor starts a trial, which refuses all
// copies but one, because crashes and the successful answers that refute them are reported in any
// order.
func (d *quarantineTracker) hasInitialReports(now time.Duration) bool { return now >= d.decideFrom }

// startSettling refuses a request until the decision, which is made within one turn.
func startSettling(spec *api.QuarantineSpec, wall time.Time) {
	if spec.State != api.QuarantineSettling {
		spec.State = api.QuarantineSettling
		spec.Until = wall.Add(trialTurn).UnixMilli()
	}
}

// startTrialTurn starts the next proxy's turn.
func startTrialTurn(spec *api.QuarantineSpec, wall time.Time) {
	spec.State = api.QuarantineTried
	if spec.TriedSince == 0 {
		spec.TriedSince = wall.UnixMilli()
	}
	spec.Until = wall.Add(trialTurn).UnixMilli()
}

// needsTrial reports whether a request is to be tried by one proxy at a time.
func (d *quarantineTracker) needsTrial(current *view.View, fingerprint quarantine.Fingerprint) bool {
	_, requestInfo := d.table.FailedReplicas(fingerprint)
	routed := routedService(current, requestInfo.Service)
	// Services with a model need no trials: placement runs their suspects on isolated replicas.
	return d.table.NeedsTrial(fingerprint) && routed != nil && routed.Model == nil
}

// routedService returns the routed service with the given name, or nil. Proxies take turns only
// with requests of such services.
func routedService(current *view.View, service string) *api.RouteService {
	ingress := current.Ingresses[api.IngressName]
	if ingress == nil {
		return nil
	}
	at := slices.IndexFunc(ingress.Spec.Services, func(known api.RouteService) bool { return known.Name == service })
	if at < 0 {
		return nil
	}
	return &ingress.Spec.Services[at]
}
