package control

import (
	"maps"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
)

// Prompt parts that crash replicas are recorded as Quarantine objects of their own (api.Quarantine.IsPart),
// in these states:
//   - watched: requests with the part are sent as usual, and further crashes are awaited;
//   - tried: one request with the part may be sent in each turn, see partTrials;
//   - held: no request with the part is sent until the hold expires, which a trial follows, or until an
//     operator releases the part.
//
// A part that a request begins to be answered with is harmless, and its entry is removed.

// Durations and limits of the quarantines of parts.
const (
	// partTrialTurn is the length of a trial's turn while the cause is in doubt, and longPartTrialTurn
	// that of the turns after partTrialTurns of them: a harmless part is cleared in one of the first.
	partTrialTurn     = time.Second
	partTrialTurns    = 2
	longPartTrialTurn = 3 * time.Second
	// holdTrialTurn is the length of a turn after a hold, in which one proxy sends one request. It
	// exceeds the deadlines of callers, so that the outcome of one trial is known before the next.
	holdTrialTurn = 10 * time.Second
	// doubtTime is how long a part stays on trial after another part was found to explain its crashes, or
	// since the last of these crashes. It exceeds a turn: if that was a mistake, or both parts are harmful,
	// a crash in the next turn shows it.
	doubtTime = 4 * time.Second
	// maxPartQuarantines limits the parts in the record.
	maxPartQuarantines = 32
)

// partHoldDurations are the lengths of a part's holds, the last one of all later ones. A mistaken hold
// ends with the first trial, a correct one costs a replica for each trial.
var partHoldDurations = []time.Duration{30 * time.Second, 10 * time.Minute, 24 * time.Hour}

// addPartReport adds a proxy's observations of prompt parts.
func (d *quarantineTracker) addPartReport(report parts.Report, now time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.parts.Apply(now, report)
	d.reviewUntil = max(d.reviewUntil, now+reviewPeriod)
}

// reviewParts adds to the changes what the record needs of prompt parts.
func (d *quarantineTracker) reviewParts(changes *state.Observe, recorded map[string]*api.Quarantine, now time.Duration, wall time.Time) {
	d.parts.Expire(now)
	d.partTrials.retain(recorded)
	findings := map[string]parts.Finding{}
	var unrecorded []parts.Finding
	for _, found := range d.parts.Findings(now) {
		findings[found.Part.String()] = found
		if recorded[found.Part.String()] == nil {
			unrecorded = append(unrecorded, found)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(recorded)) {
		found, isFound := findings[name]
		d.reviewPart(changes, recorded[name], found, isFound, now, wall)
	}
	for _, found := range unrecorded[:min(len(unrecorded), max(maxPartQuarantines-len(recorded), 0))] {
		entry := &api.Quarantine{Metadata: api.Metadata{Name: found.Part.String()}, Spec: api.QuarantineSpec{
			Service: found.Service, Since: wall.Add(found.FirstAt - now).UnixMilli(),
		}}
		entry.Labels = api.PartLabels(callerNames(found.Callers))
		startPartWatch(&entry.Spec, wall)
		d.advancePart(&entry.Spec, found.Part, found, now, wall)
		changes.Put = append(changes.Put, api.Object{Quarantine: entry})
	}
}

// reviewPart updates the entry of a part, or removes it if the part is cleared or its crashes are too old.
func (d *quarantineTracker) reviewPart(changes *state.Observe, known *api.Quarantine, found parts.Finding, isFound bool, now time.Duration, wall time.Time) {
	part, ok := quarantine.ParseFingerprint(known.Name)
	_, isStarted := d.parts.LastStart(part)
	isUndecided := known.Spec.Times == 0 && d.hasInitialReports(now) && d.isDoubtOver(&known.Spec, part, found.Verdict, now)
	if !ok || !isFound && (isStarted || isUndecided) {
		changes.Removed = append(changes.Removed, api.Key{Kind: api.KindQuarantine, Name: known.Name})
		d.parts.Forget(part)
		delete(d.unsuspectedSince, part)
		return
	}
	next := &api.Quarantine{Metadata: known.Metadata, Spec: known.Spec}
	if isFound {
		next.Labels = api.PartLabels(mergeCallers(known.PartCallers(), callerNames(found.Callers)))
	}
	d.advancePart(&next.Spec, part, found, now, wall)
	if next.Spec.State != known.Spec.State || next.Spec.Until != known.Spec.Until || !maps.Equal(next.Labels, known.Labels) || !slices.Equal(next.Spec.Replicas, known.Spec.Replicas) {
		changes.Put = append(changes.Put, api.Object{Quarantine: next})
	}
}

// advancePart moves the entry of a part to the state that follows from the finding, which is empty if
// nothing counts against the part any more, and the time. A new leader that has not heard from the
// proxies yet keeps the state, but for trials, whose turns go on.
func (d *quarantineTracker) advancePart(spec *api.QuarantineSpec, part parts.Key, found parts.Finding, now time.Duration, wall time.Time) {
	if len(found.Replicas) > 0 {
		spec.Replicas = found.Replicas[max(0, len(found.Replicas)-maxRecordedReplicas):]
		spec.Weak = filterWeak(spec.Replicas, found.Together)
	}
	verdict := found.Verdict
	if !d.hasInitialReports(now) {
		verdict, found.Overtaken = parts.Watched, false
	}
	switch spec.State {
	case api.QuarantinePartWatched:
		switch verdict {
		case parts.Harmful:
			holdPart(spec, wall)
		case parts.Doubtful:
			startPartTurn(spec, wall)
		}
	case api.QuarantinePartTried:
		// A crash of which no other part on trial is a suspect decides, since requests with several are not sent.
		crashedAgain := found.IsAlone && wall.Add(found.LastAloneAt-now).After(time.UnixMilli(spec.TriedSince))
		switch {
		case crashedAgain, spec.Times == 0 && verdict == parts.Harmful:
			holdPart(spec, wall)
		case spec.Times == 0 && verdict == parts.Watched && d.hasInitialReports(now) && d.isDoubtOver(spec, part, verdict, now):
			startPartWatch(spec, wall)
		case isExpired(spec, wall):
			startPartTurn(spec, wall)
		}
	case api.QuarantinePartHeld:
		switch {
		case found.Overtaken:
			spec.Times = 0
			startPartTurn(spec, wall)
		case isExpired(spec, wall) && d.hasInitialReports(now):
			startPartTurn(spec, wall)
		}
	}
	d.parts.SetHandling(part, handlingOf(spec))
	d.parts.SetFound(part, spec.Times > 0)
}

// isDoubtOver reports whether a part is not on trial, or has not been in doubt for doubtTime. It notes when
// the doubt ceased.
func (d *quarantineTracker) isDoubtOver(spec *api.QuarantineSpec, part parts.Key, verdict parts.Verdict, now time.Duration) bool {
	if spec.State != api.QuarantinePartTried || verdict >= parts.Doubtful {
		delete(d.unsuspectedSince, part)
		return true
	}
	since, found := d.unsuspectedSince[part]
	if !found {
		since = now
		d.unsuspectedSince[part] = now
	}
	return now-max(since, d.parts.LastCrashAt(part)) >= doubtTime
}

// handlingOf returns what proxies do with requests that contain a part on record.
func handlingOf(spec *api.QuarantineSpec) parts.Handling {
	switch spec.State {
	case api.QuarantinePartHeld:
		return parts.Held
	case api.QuarantinePartTried:
		return parts.Tried
	}
	return parts.Sent
}

// startPartWatch lets requests with a part be sent as usual.
func startPartWatch(spec *api.QuarantineSpec, wall time.Time) {
	spec.State, spec.TriedSince = api.QuarantinePartWatched, 0
	spec.Until = wall.Add(watchDuration).UnixMilli()
}

// startPartTurn lets the next proxies try a part.
func startPartTurn(spec *api.QuarantineSpec, wall time.Time) {
	if spec.State != api.QuarantinePartTried {
		spec.State, spec.TriedSince = api.QuarantinePartTried, wall.UnixMilli()
	}
	turn := partTrialTurn
	switch tried := wall.Sub(time.UnixMilli(spec.TriedSince)); {
	case spec.Times > 0:
		turn = holdTrialTurn
	case tried >= partTrialTurns*partTrialTurn:
		turn = longPartTrialTurn
	}
	spec.Until = wall.Add(turn).UnixMilli()
}

// holdPart holds a part from now on.
func holdPart(spec *api.QuarantineSpec, wall time.Time) {
	length := partHoldDurations[min(spec.Times, len(partHoldDurations)-1)]
	spec.State, spec.TriedSince = api.QuarantinePartHeld, 0
	spec.Times++
	spec.Until = wall.Add(length).UnixMilli()
}

// loadParts loads the recorded parts into the table.
func (d *quarantineTracker) loadParts(recorded map[string]*api.Quarantine, now time.Duration, wall time.Time) {
	for _, name := range slices.Sorted(maps.Keys(recorded)) {
		part, ok := quarantine.ParseFingerprint(name)
		if !ok {
			continue
		}
		known := recorded[name]
		d.parts.Restore(now, part, parts.Record{
			Service: known.Spec.Service, Replicas: known.Spec.Replicas, Together: known.Spec.Weak, Callers: callerKeys(known.PartCallers()),
			Age: wall.Sub(time.UnixMilli(known.Spec.Since)),
		})
		d.parts.SetHandling(part, handlingOf(&known.Spec))
	}
}

// applyPartRecordChange drops the evidence for parts that the leader removed from the record, at a
// member that does not lead.
func (d *quarantineTracker) applyPartRecordChange(before, current map[string]*api.Quarantine) {
	for name := range before {
		if part, ok := quarantine.ParseFingerprint(name); ok && current[name] == nil {
			d.parts.Forget(part)
		}
	}
}

// callerNames returns the names of callers in a record, nil for all.
func callerNames(callers []parts.Key) []string {
	if callers == nil {
		return nil
	}
	names := make([]string, 0, len(callers))
	for _, caller := range callers {
		names = append(names, caller.String())
	}
	return names
}

// callerKeys is the reverse of callerNames.
func callerKeys(names []string) []parts.Key {
	var keys []parts.Key
	for _, name := range names {
		if key, ok := quarantine.ParseFingerprint(name); ok {
			keys = append(keys, key)
		}
	}
	return keys
}

// mergeCallers returns the callers of two records of a part; nil, for all, if one of them concerns all.
func mergeCallers(known, more []string) []string {
	if known == nil || more == nil {
		return nil
	}
	merged := slices.Concat(known, more)
	slices.Sort(merged)
	merged = slices.Compact(merged)
	return slices.DeleteFunc(merged, func(name string) bool { return name == "" })
}
