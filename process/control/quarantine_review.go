package control

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

// manageQuarantine commits the differences between the quarantine record and what it should
// contain.
func (d *leaderTasks) manageQuarantine(ctx context.Context, term *termState) {
	tracker := d.group.evidence.tracker
	changes, refuted := tracker.review(term.number, d.group.machine.view(), monotonic(), time.Now())
	changeCount := tracker.changeCount()
	if len(changes.Put) == 0 && len(changes.Removed) == 0 {
		tracker.markRecorded(changeCount, monotonic())
		return
	}
	_, err := d.group.propose(ctx, state.Command{Kind: state.CommandObserve, Observe: &changes})
	if err != nil {
		tracker.restoreRefutations(refuted, monotonic())
	} else {
		tracker.markRecorded(changeCount, monotonic())
	}
	logQuarantine(d.logger, &changes, err)
}

func logQuarantine(logger log.Logger, changes *state.Observe, err error) {
	for _, object := range changes.Put {
		if object.Suspect != nil {
			logSuspect(logger, object.Suspect, err)
			continue
		}
		spec := &object.Quarantine.Spec
		event.QuarantineChanged.Log(logger, "fingerprint", object.Quarantine.Name, "state", spec.State, "service", spec.Service,
			"route", spec.Route, "request", spec.Request, "replicas", strings.Join(spec.Replicas, ","),
			"until", time.UnixMilli(spec.Until).UTC().Format(time.RFC3339), "times", spec.Times, "callers", object.Quarantine.CallersText(), "err", err)
	}
	for _, key := range changes.Removed {
		if key.Kind == api.KindSuspect {
			continue // it expires, or its quarantine is logged
		}
		event.QuarantineEnded.Log(logger, "fingerprint", key.Name, "by", "review", "err", err)
	}
}

// review returns the changes that the record needs, and the refutations that they take into
// account, which it removes from the tracker. It also brings the table up to date: it drops expired
// entries and loads the record in a new term. wall is the wall-clock time, which may be wrong by
// seconds, since holds last minutes.
func (d *quarantineTracker) review(term uint64, current *view.View, now time.Duration, wall time.Time) (state.Observe, refutations) {
	d.lock.Lock()
	defer d.lock.Unlock()
	refuted := d.refuted
	if now > d.reviewUntil && d.term == term && !anyExpired(current, wall) {
		return state.Observe{}, refuted // nothing has been reported and nothing has expired
	}
	d.refuted = newRefutations()
	d.table.Expire(now)
	d.copies.expire(now)
	if d.loadRecord(term, current, now, wall) {
		for _, alive := range refuted.alive { // the entries just loaded are refuted as well
			d.table.RefuteFailures(refuted.reportedAt[alive.Replica], alive)
		}
	}
	var changes state.Observe
	requests, recordedParts := api.SplitQuarantines(current.Quarantines)
	d.reviewParts(&changes, recordedParts, now, wall) // first, since harmful parts explain crashes of requests
	removedParts := len(changes.Removed)
	recorded := len(requests)
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		d.reviewRecorded(&changes, current, requests[name], &refuted, now, wall)
	}
	recorded -= len(changes.Removed) - removedParts
	for _, fingerprint := range d.requestsToRecord(current, now) {
		if current.Quarantines[fingerprint.String()] == nil && recorded < maxQuarantines {
			recorded++
			changes.Put = append(changes.Put, d.newEntry(current, fingerprint, now, wall))
		}
	}
	d.reviewSuspects(&changes, current, &refuted, now, wall)
	d.recordSuspects(&changes, current, now, wall)
	return changes, refuted
}

// reviewRecorded updates one entry of the record and moves it to its next state, or removes it and
// forgets its evidence.
func (d *quarantineTracker) reviewRecorded(changes *state.Observe, current *view.View, known *api.Quarantine, refuted *refutations, now time.Duration, wall time.Time) {
	fingerprint, ok := quarantine.ParseFingerprint(known.Name)
	spec := d.withNewReports(known.Spec, fingerprint, refuted)
	if !ok || refuted.served[fingerprint] || isEntryOver(&spec, wall) {
		changes.Removed = append(changes.Removed, api.Key{Kind: api.KindQuarantine, Name: known.Name})
		d.table.Forget(fingerprint)
		return
	}
	d.advance(&spec, fingerprint, current, now, wall)
	d.table.SetHeld(fingerprint, spec.State == api.QuarantineHeld)
	if spec.State != known.Spec.State || spec.Until != known.Spec.Until || !slices.Equal(spec.Replicas, known.Spec.Replicas) ||
		!slices.Equal(spec.Weak, known.Spec.Weak) {
		changes.Put = append(changes.Put, quarantineObject(known.Name, spec))
	}
}

// withNewReports returns an entry updated with the reports received since it was written.
func (d *quarantineTracker) withNewReports(spec api.QuarantineSpec, fingerprint quarantine.Fingerprint, refuted *refutations) api.QuarantineSpec {
	spec.Replicas = slices.DeleteFunc(slices.Clone(spec.Replicas), func(name string) bool {
		_, isAlive := refuted.alive[quarantine.ReplicaOf(name)]
		return isAlive && !d.table.HasFailure(fingerprint, name)
	})
	crashed, requestInfo := d.table.FailedReplicas(fingerprint)
	spec.Replicas = mergeNames(spec.Replicas, crashed)
	spec.Weak = filterWeak(spec.Replicas, d.table.Weak(fingerprint))
	if requestInfo.Request != "" {
		spec.Request = requestInfo.Request
	}
	spec.Alone = spec.Alone || d.table.FailedAlone(fingerprint)
	return spec
}

// isEntryOver reports whether an entry is to be removed: too few of its replicas have crashed,
// its watch has expired, or its trial has ended without a crash and it has never been held.
func isEntryOver(spec *api.QuarantineSpec, wall time.Time) bool {
	switch {
	case len(spec.Replicas) < quarantine.WatchedIncidents:
		return true
	case spec.State == api.QuarantineWatched:
		return isExpired(spec, wall)
	}
	return isTrialOver(spec, wall) && spec.Times == 0
}

func isExpired(spec *api.QuarantineSpec, wall time.Time) bool { return wall.UnixMilli() >= spec.Until }

// requestsToRecord returns the requests that belong in the record, without duplicates.
func (d *quarantineTracker) requestsToRecord(current *view.View, now time.Duration) []quarantine.Fingerprint {
	found := d.table.Watched(now)
	for _, fingerprint := range d.table.NeedingTrial() {
		if !slices.Contains(found, fingerprint) && d.needsTrial(current, fingerprint) {
			found = append(found, fingerprint)
		}
	}
	return found
}

// anyExpired reports whether any entry of the record has expired.
func anyExpired(current *view.View, wall time.Time) bool {
	for _, known := range current.Quarantines {
		if wall.UnixMilli() >= known.Spec.Until {
			return true
		}
	}
	for _, known := range current.Suspects {
		if wall.UnixMilli() >= known.Spec.Until {
			return true
		}
	}
	return false
}

// loadRecord loads the record into the table if this member has not done so in this term, and
// reports whether it did.
func (d *quarantineTracker) loadRecord(term uint64, current *view.View, now time.Duration, wall time.Time) bool {
	if d.term == term {
		return false
	}
	d.term = term
	d.decideFrom = now + takeoverDelay
	clear(d.sentEarly)
	d.reviewUntil = max(d.reviewUntil, d.decideFrom+reviewPeriod)
	// Held requests are loaded first, since a request cannot have caused crashes while it was held.
	requests, recordedParts := api.SplitQuarantines(current.Quarantines)
	d.loadParts(recordedParts, now, wall)
	for _, name := range api.HeldFirst(requests) {
		known := requests[name]
		fingerprint, ok := quarantine.ParseFingerprint(name)
		if !ok {
			continue
		}
		d.table.MergeRecord(now, fingerprint, quarantine.Record{
			Replicas: known.Spec.Replicas, Weak: known.Spec.Weak, Alone: known.Spec.Alone, Simultaneous: known.Spec.EndedAtOnce(), About: aboutOf(&known.Spec),
			Age: wall.Sub(time.UnixMilli(known.Spec.Since)),
		})
		d.table.SetHeld(fingerprint, known.Spec.State == api.QuarantineHeld)
		if known.Spec.State == api.QuarantineWatched && d.table.IsSuspect(now, fingerprint) {
			d.raiseAlert(known.Spec.Service, now)
		}
	}
	d.loadSuspects(current, now, wall)
	return true
}

func aboutOf(spec *api.QuarantineSpec) quarantine.RequestInfo {
	return quarantine.RequestInfo{Service: spec.Service, Route: spec.Route, Request: spec.Request}
}

// filterWeak returns the recorded replicas whose crashes are weak evidence against the request: it
// had produced output there, the replica only ran prefills, or it accepted connections right
// afterwards.
func filterWeak(replicas, weak []string) []string {
	var found []string
	for _, replica := range replicas {
		if slices.Contains(weak, replica) {
			found = append(found, replica)
		}
	}
	return found
}

// mergeNames returns known followed by more, without duplicates, limited to the last
// maxRecordedReplicas names.
func mergeNames(known, more []string) []string {
	merged := slices.Clone(known)
	for _, name := range more {
		if !slices.Contains(merged, name) {
			merged = append(merged, name)
		}
	}
	return merged[max(0, len(merged)-maxRecordedReplicas):]
}

// newEntry returns the entry of a request that is not in the record yet. Unless a trial is due, the
// request is watched first, however many replicas have crashed. Proxies report when a watched
// request is served, as one is that was merely in flight during the crashes.
func (d *quarantineTracker) newEntry(current *view.View, fingerprint quarantine.Fingerprint, now time.Duration, wall time.Time) api.Object {
	replicas, requestInfo := d.table.FailedReplicas(fingerprint)
	spec := api.QuarantineSpec{
		State: api.QuarantineWatched, Service: requestInfo.Service, Route: requestInfo.Route, Request: requestInfo.Request,
		Replicas: replicas, Weak: filterWeak(replicas, d.table.Weak(fingerprint)), Since: d.firstCrashAt(fingerprint, now, wall), Until: wall.Add(watchDuration).UnixMilli(),
	}
	if d.hasInitialReports(now) && d.needsTrial(current, fingerprint) {
		d.startTrialOrSettle(&spec, fingerprint, now, wall)
	}
	return quarantineObject(fingerprint.String(), spec)
}

// firstCrashAt returns the wall-clock time of the first crash under a request, in milliseconds.
func (d *quarantineTracker) firstCrashAt(fingerprint quarantine.Fingerprint, now time.Duration, wall time.Time) int64 {
	first, found := d.table.FirstFailureAt(fingerprint)
	if !found {
		return wall.UnixMilli()
	}
	return wall.Add(first - now).UnixMilli()
}

func quarantineObject(name string, spec api.QuarantineSpec) api.Object {
	return api.Object{Quarantine: &api.Quarantine{Metadata: api.Metadata{Name: name}, Spec: spec}}
}
