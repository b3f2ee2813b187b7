package guard

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
)

// partGuard is what a Guard knows of prompt parts that crash replicas.
type partGuard struct {
	// active is true while a part is on record or a suspect here. Otherwise parts cost a request one
	// atomic load.
	active *atomic.Bool
	// table holds this proxy's observations and the recorded crashes.
	table    *parts.Table
	recorded map[parts.Key]*api.Quarantine
	// granter grants trials; nil if proxies take turns.
	granter TrialGranter
	// trials holds the trials of parts that this proxy has or asks for. refusedAt is when the last claim of a
	// trial was refused.
	trials    map[parts.Key]partTrial
	refusedAt map[parts.Key]time.Duration
	// reportedAt is when a start with a part, or of a service, was last reported.
	partReportedAt    map[parts.Key]time.Duration
	serviceReportedAt map[string]time.Duration
	// local holds the parts that this proxy's table finds harmful, as of localChanges and localAt.
	local        map[parts.Key]parts.Finding
	localChanges uint64
	localAt      time.Duration
}

func newPartGuard() partGuard {
	return partGuard{
		active: &atomic.Bool{}, table: parts.NewTable(), trials: map[parts.Key]partTrial{}, refusedAt: map[parts.Key]time.Duration{},
		partReportedAt: map[parts.Key]time.Duration{}, serviceReportedAt: map[string]time.Duration{},
	}
}

// PartsActive reports whether any prompt part is suspected of crashing replicas.
func (g *Guard) PartsActive() bool { return g.parts.active.Load() }

// updatePartsActive updates the result of PartsActive. The caller must hold the lock.
func (g *Guard) updatePartsActive() {
	g.parts.active.Store(len(g.parts.recorded) > 0 || !g.parts.table.IsEmpty())
}

// followParts applies the record's prompt parts. The caller must hold the lock.
func (g *Guard) followParts(recorded map[string]*api.Quarantine, now time.Duration) {
	before := g.parts.recorded
	if len(recorded) == 0 && len(before) == 0 {
		return
	}
	g.parts.recorded = map[parts.Key]*api.Quarantine{}
	for name, entry := range recorded {
		part, ok := quarantine.ParseFingerprint(name)
		if !ok {
			continue
		}
		g.parts.recorded[part] = entry
		if earlier := before[part]; earlier == nil || earlier.Revision != entry.Revision {
			g.applyPartRecord(part, entry, now)
		}
	}
	for part := range before {
		if g.parts.recorded[part] == nil {
			g.parts.table.Forget(part)
			delete(g.parts.trials, part)
			delete(g.parts.refusedAt, part)
		}
	}
	g.parts.table.Expire(now)
	g.updatePartsActive()
}

// applyPartRecord applies a recorded part that is new or has changed.
func (g *Guard) applyPartRecord(part parts.Key, entry *api.Quarantine, now time.Duration) {
	g.parts.table.Restore(now, part, parts.Record{
		Service: entry.Spec.Service, Replicas: entry.Spec.Replicas, Together: entry.Spec.Weak, Callers: callerKeys(entry),
	})
	handling := parts.Sent
	if entry.Spec.State == api.QuarantinePartHeld {
		handling = parts.Held
	}
	g.parts.table.SetHandling(part, handling)
	g.parts.table.SetFound(part, isFoundHarmful(entry))
}

// callerKeys returns the keys of the callers that a recorded part concerns, nil for all.
func callerKeys(entry *api.Quarantine) []parts.Key {
	var keys []parts.Key
	for _, caller := range entry.PartCallers() {
		if key, ok := quarantine.ParseFingerprint(caller); ok {
			keys = append(keys, key)
		}
	}
	return keys
}

// NotePartCrash records a run that was in progress when its replica seems to have crashed, and reports
// it to the control group.
func (g *Guard) NotePartCrash(now time.Duration, crash parts.Crash) {
	g.lock.Lock()
	defer g.lock.Unlock()
	report := parts.Report{Crashes: []parts.Crash{crash}}
	g.parts.table.Apply(now, report)
	g.updatePartsActive()
	g.reportParts(report)
}

// startReportInterval is the minimum time between two reports that requests with a part, or of a
// service, are answered.
const startReportInterval = 200 * time.Millisecond

// NotePartStart records a run that produces output without crashing its replica. It reports the run to
// the control group if that may clear a part or shows that the service answers other requests.
func (g *Guard) NotePartStart(now time.Duration, start parts.Start) {
	g.lock.Lock()
	defer g.lock.Unlock()
	isReported := g.isStartReported(now, start.Run)
	report := parts.Report{Starts: []parts.Start{start}}
	g.parts.table.Apply(now, report)
	g.updatePartsActive()
	if isReported {
		g.reportParts(report)
	}
}

// isStartReported reports whether a start is to be reported, and notes that it is. The caller must
// hold the lock.
func (g *Guard) isStartReported(now time.Duration, run parts.Run) bool {
	isReported := false
	for _, part := range run.Parts {
		if g.parts.recorded[part] == nil && !g.parts.table.IsSuspect(part) {
			continue
		}
		if last, found := g.parts.partReportedAt[part]; !found || now-last >= startReportInterval {
			g.parts.partReportedAt[part] = now
			isReported = true
		}
	}
	last, found := g.parts.serviceReportedAt[run.Service]
	if g.isUndecided(run.Service) && (!found || now-last >= startReportInterval) {
		g.parts.serviceReportedAt[run.Service] = now
		isReported = true
	}
	for part, last := range g.parts.partReportedAt {
		if now-last >= startReportInterval {
			delete(g.parts.partReportedAt, part)
		}
	}
	return isReported
}

// isUndecided reports whether a part of a service's prompts is on record and not held. The caller must
// hold the lock.
func (g *Guard) isUndecided(service string) bool {
	for _, entry := range g.parts.recorded {
		if entry.Spec.Service == service && entry.Spec.State != api.QuarantinePartHeld {
			return true
		}
	}
	return false
}

// reportParts sends a report to the control group, if any.
func (g *Guard) reportParts(report parts.Report) {
	if g.reporter != nil {
		g.reporter.ReportParts(report)
	}
}

// CheckParts reports whether a request must not be sent to any replica because of the parts of its
// prompt, and why and for how long. mayHaveCrashed is true if a replica may have crashed under the request before. A
// request with a held part is sent nowhere. While a part is on trial, one request with it is sent in each turn, by the
// owner that has claimed the trial (ClaimPartTrial).
func (g *Guard) CheckParts(now time.Duration, wall time.Time, run parts.Run, owner any, mayHaveCrashed bool) (hold Hold, held bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if until, found := g.heldPart(run); found {
		return Hold{BasisPart, max(until.Sub(wall), MinHold)}, true
	}
	tried := g.partsOnTrial(now, run)
	if len(tried) > 0 && (mayHaveCrashed || !g.hasPartTrial(tried, owner)) {
		return Hold{BasisPartTrial, trialRetryAfter}, true
	}
	if g.updateCutOff(now) {
		return g.checkPartsAlone(now, run)
	}
	return Hold{}, false
}

// heldPart returns until when a part of a run is held by the record; found is false if none is. The caller must
// hold the lock.
func (g *Guard) heldPart(run parts.Run) (until time.Time, found bool) {
	caller := run.Caller.String()
	for _, part := range run.Parts {
		entry := g.parts.recorded[part]
		if entry != nil && entry.Spec.State == api.QuarantinePartHeld && entry.Concerns(caller) {
			return time.UnixMilli(entry.Spec.Until), true
		}
	}
	return time.Time{}, false
}

// localFindingsAge is how long this proxy's own findings are used without a change of its table.
const localFindingsAge = 250 * time.Millisecond

// checkPartsAlone is CheckParts by the table of a proxy that is cut off. The caller must hold the lock.
func (g *Guard) checkPartsAlone(now time.Duration, run parts.Run) (hold Hold, held bool) {
	g.judgePartsAlone(now)
	for _, part := range run.Parts {
		if found, harmful := g.parts.local[part]; harmful && (found.Callers == nil || slices.Contains(found.Callers, run.Caller)) {
			return Hold{BasisPartCutOff, MinHold}, true
		}
	}
	return Hold{}, false
}

// judgePartsAlone brings the parts that this proxy's table finds harmful up to date. The caller must hold
// the lock.
func (g *Guard) judgePartsAlone(now time.Duration) {
	known := &g.parts
	if known.local != nil && known.localChanges == known.table.Changes() && now-known.localAt < localFindingsAge {
		return
	}
	known.dropLocal()
	known.local, known.localAt = map[parts.Key]parts.Finding{}, now
	for _, found := range known.table.PartialFindings(now) {
		if found.Verdict == parts.Harmful {
			known.local[found.Part] = found
			known.table.SetFound(found.Part, true)
		}
	}
	known.localChanges = known.table.Changes()
}

// dropLocal drops what this proxy's table finds by itself.
func (g *partGuard) dropLocal() {
	for part := range g.local {
		entry := g.recorded[part]
		g.table.SetFound(part, entry != nil && isFoundHarmful(entry))
	}
	g.local = nil
}
