// Package guard keeps requests that crash replicas away from further replicas, for one proxy.
//
// The control group consists of members, one of which is the elected leader; the others stand by.
// The view is the replicated state as this proxy last received it. Its quarantine record lists the
// requests that are suspected of crashing replicas.
//
// While a leader serves the proxy, the record decides. It combines the observations of all
// proxies, including other requests in flight at the same replicas. A proxy that is cut off,
// because it has had no leader for cutOffDelay, uses the last record and its own observations. If
// it reaches members that cannot write to the record, it also uses their reports.
//
// Times of the type time.Duration are readings of this process's monotonic clock.
package guard

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// Reporter receives reports of replica crashes for the control group; implemented by
// *feed.Client.
type Reporter interface {
	// ReportCrashes reports crashes, replicas that proved to be alive, and requests that were
	// served. It returns whether the report was sent.
	ReportCrashes(report feed.CrashReport) bool
	// Connected reports whether a leader currently serves this proxy.
	Connected() bool
	// ReportParts reports observations of prompt parts. It returns whether the report was sent.
	ReportParts(report parts.Report) bool
}

// Guard decides which requests must not be sent to replicas. It is safe for concurrent use.
type Guard struct {
	// active is true while any request is suspected of crashing replicas. Otherwise a request
	// costs one atomic load.
	active atomic.Bool

	lock     sync.Mutex
	reporter Reporter // nil without a control group
	// wasServed is true once a leader has served this proxy. lost is true while no leader does so,
	// and lostAt is when that was first seen.
	wasServed bool
	lost      bool
	lostAt    time.Duration
	// reportedUntil is the time until which this proxy acts on a member's report of unrecorded
	// crashes.
	reportedUntil time.Duration
	table         *quarantine.Table
	version       view.Version
	recorded      map[string]*api.Quarantine // the record of that version, by fingerprint
	// name is this proxy's name. proxies holds the sorted names of all proxies, which take turns
	// at trials: one proxy at a time sends one copy of a suspected request to a replica.
	name    string
	proxies []string
	// trials holds the requests on trial at this proxy by fingerprint, each with its owner, the
	// session that may send its copy.
	trials map[quarantine.Fingerprint]any
	// suspected holds the replicas that are recorded as crashed. An answer from one of them
	// refutes that.
	suspected map[string]suspectedCrash
	crashed   crashedProcesses
	parts     partGuard
}

// suspectedCrash is a recorded crash of a replica.
type suspectedCrash struct {
	learnedAt time.Duration // when this proxy first saw it on record
	crashedAt time.Time     // first recorded crash, by the leader's wall clock
}

// New returns a guard that reports nothing until SetReporter is called. name is the proxy's name,
// empty if the proxy does not run trials.
func New(name string) *Guard {
	guard := &Guard{name: name, table: quarantine.NewTable(), trials: map[quarantine.Fingerprint]any{}, crashed: crashedProcesses{}, parts: newPartGuard()}
	guard.table.SetOtherCause(guard.parts.table.HasHarmfulPart)
	return guard
}

// SetReporter sets the connection to the control group, which receives reports and tells whether a
// leader serves this proxy. Without a reporter, the proxy is cut off.
func (g *Guard) SetReporter(reporter Reporter) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.reporter = reporter
}

// Active reports whether any request is suspected: it is on record, or it is known here to have
// crashed at least quarantine.WatchedIncidents replicas.
func (g *Guard) Active() bool { return g.active.Load() }

// Follow applies the quarantine record of a view if it is newer than the last one.
func (g *Guard) Follow(current *view.View, now time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if current.Version.Compare(g.version) <= 0 {
		return
	}
	g.version = current.Version
	g.updateCutOff(now)
	if g.reportedUntil > 0 { // a leader commits again, so the record decides
		g.reportedUntil = 0
		g.table.DropReportedByOthers()
	}
	before := g.recorded
	var recordedParts map[string]*api.Quarantine
	g.recorded, recordedParts = api.SplitQuarantines(current.Quarantines)
	g.crashed.learnRecorded(current.Quarantines, now)
	g.followParts(recordedParts, now)
	// Held requests are loaded first, since a request cannot have caused crashes while it was held.
	for _, name := range api.HeldFirst(g.recorded) {
		entry := g.recorded[name]
		if earlier := before[name]; earlier == nil || earlier.Revision != entry.Revision {
			g.applyRecord(earlier, entry, now)
		}
	}
	for name := range before {
		if g.recorded[name] == nil {
			g.dropRecord(name)
		}
	}
	g.proxies = slices.Sorted(maps.Keys(current.Proxies))
	g.updateSuspected(now)
	g.updateActive(now)
}

// updateSuspected sets g.suspected to the replicas that are now recorded as crashed, and keeps
// when each crash was learned. The caller must hold the lock.
func (g *Guard) updateSuspected(now time.Duration) {
	before := g.suspected
	g.suspected = map[string]suspectedCrash{}
	for _, entry := range g.recorded {
		for _, replica := range entry.Spec.Replicas {
			crash, found := before[replica]
			if !found {
				crash = suspectedCrash{learnedAt: now, crashedAt: time.UnixMilli(entry.Spec.Since)}
			}
			g.suspected[replica] = crash
		}
	}
}

// RefutesCrash reports whether an answer refutes the recorded crash of a replica, because it
// answers a request that was sent after this proxy learned of the crash.
func (g *Guard) RefutesCrash(replica string, sentAt time.Duration) bool {
	if !g.Active() {
		return false
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	crash, found := g.suspected[replica]
	return found && sentAt > crash.learnedAt
}

// RefutesCrashOnConnection is RefutesCrash for a replica whose answers do not identify its
// process, which may have been replaced under the same name. The crash is refuted only if the
// answer arrived on a connection that was opened before the crash. opened is by this machine's
// wall clock, the time of the crash by the leader's.
func (g *Guard) RefutesCrashOnConnection(replica string, sentAt time.Duration, opened time.Time) bool {
	if !g.RefutesCrash(replica, sentAt) {
		return false
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	crash, found := g.suspected[replica]
	return found && opened.Before(crash.crashedAt.Add(-clockMargin))
}

// clockMargin is the assumed maximum difference between the wall clocks of two machines, including
// jumps when a clock is corrected.
const clockMargin = 5 * time.Second

// applyRecord applies an entry that is new or has changed. If it has fewer replicas than before,
// some of the crashes were refuted or have expired, so it replaces what is known here. Otherwise
// its crashes are added.
func (g *Guard) applyRecord(earlier, entry *api.Quarantine, now time.Duration) {
	fingerprint, ok := quarantine.ParseFingerprint(entry.Name)
	if !ok {
		return
	}
	spec := &entry.Spec
	requestInfo := quarantine.RequestInfo{Service: spec.Service, Route: spec.Route, Request: spec.Request}
	record := quarantine.Record{
		Replicas: spec.Replicas, Weak: spec.Weak, Alone: spec.Alone, Simultaneous: spec.EndedAtOnce(), About: requestInfo,
	}
	if earlier != nil && len(spec.Replicas) < len(earlier.Spec.Replicas) {
		g.table.Restore(now, fingerprint, record)
	}
	for _, replica := range spec.Replicas {
		evidence := record.Evidence(fingerprint, replica)
		evidence.OnlyInFlight = false // another proxy saw it, perhaps at another replica of the entry
		g.table.RecordFailure(now, evidence)
	}
	g.table.SetHeld(fingerprint, spec.State == api.QuarantineHeld)
}

// dropRecord removes a request that is no longer on record.
func (g *Guard) dropRecord(name string) {
	if fingerprint, ok := quarantine.ParseFingerprint(name); ok {
		g.table.Forget(fingerprint)
	}
}

// updateActive updates the active flag. The caller must hold the lock.
func (g *Guard) updateActive(now time.Duration) {
	g.table.Expire(now)
	g.active.Store(len(g.recorded) > 0 || len(g.table.Watched(now)) > 0)
}

// NoteCrash records that a replica seems to have crashed while processing a request, and reports
// it to the control group. The age is the time since the crash; it must not be left out, because
// crashes at the same moment count as one. The random ObservationID identifies the observation if it
// is reported again.
func (g *Guard) NoteCrash(now time.Duration, crash quarantine.AgedEvidence) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.updateCutOff(now)
	crash.ObservationID = rand.Uint64()
	g.table.NoteAged(now, crash.Age, crash.Evidence)
	g.crashed.learnEvidence(crash.Evidence, now-crash.Age)
	if g.table.Verdict(now, crash.Fingerprint) != quarantine.Free {
		g.active.Store(true)
	}
	g.report(feed.CrashReport{Crashes: []quarantine.AgedEvidence{crash}})
}

// HasCrashedBefore reports whether a process is known to have crashed before a run was sent to its address
// at sentAt.
func (g *Guard) HasCrashedBefore(process string, sentAt time.Duration) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.crashed.hasCrashedBefore(process, sentAt)
}

// reportMaxAge is how long a member's report of unrecorded crashes is valid. While they remain
// unrecorded, members repeat it every feed.UnrecordedInterval.
const reportMaxAge = 3 * feed.UnrecordedInterval

// ApplyUnrecorded applies a member's report of requests that were served, and of crashes that are not on record, because there is no
// leader or it cannot commit. Until they are recorded, only the proxies can act on them.
func (g *Guard) ApplyUnrecorded(now time.Duration, report feed.CrashReport) {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, fingerprint := range report.Served {
		if !g.table.IsCleared(now, fingerprint) { // a repeated report must not extend the time
			g.table.RecordServed(now, fingerprint)
		}
	}
	for _, evidence := range report.Crashes {
		evidence.ReportedByOther = true
		g.table.NoteAged(now, evidence.Age, evidence.Evidence)
		g.crashed.learnEvidence(evidence.Evidence, now)
	}
	if len(report.Crashes) > 0 {
		g.reportedUntil = now + reportMaxAge
	}
	g.updateActive(now)
}

// HasManyCrashes reports whether enough replicas have crashed while processing a request to
// quarantine it, by the record and this proxy's own observations, regardless of other requests in
// flight there. A proxy that is cut off sees only a part of the evidence and requires one crash
// more.
func (g *Guard) HasManyCrashes(now time.Duration, fingerprint quarantine.Fingerprint) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	threshold := quarantine.HarmfulIncidents
	if g.updateCutOff(now) {
		threshold++
	}
	return g.table.CountFailures(fingerprint) >= threshold
}

// NoteAlive records that a replica which seemed to have crashed has answered since, and reports it
// to the control group.
func (g *Guard) NoteAlive(now time.Duration, alive quarantine.LiveReplica) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.table.RefuteFailures(now, alive)
	delete(g.suspected, alive.Replica)
	delete(g.crashed, alive.Replica)
	g.updateActive(now)
	g.report(feed.CrashReport{Alive: []quarantine.LiveReplica{alive}})
}

// NoteServed clears a request that was served completely and reports that to the control group. It
// does nothing if there is no evidence against the request, here or on record.
func (g *Guard) NoteServed(now time.Duration, fingerprint quarantine.Fingerprint) {
	g.lock.Lock()
	defer g.lock.Unlock()
	evidence, _ := g.table.FailedReplicas(fingerprint)
	if len(evidence) == 0 && g.recorded[fingerprint.String()] == nil {
		return
	}
	g.table.RecordServed(now, fingerprint)
	g.report(feed.CrashReport{Served: []quarantine.Fingerprint{fingerprint}})
}

// NoteServedIsolated clears and reports a request that was served completely while it was
// isolated: the control group suspected it of crashing replicas and had it sent to one without
// other requests. It does so even if this proxy has no evidence against the request.
func (g *Guard) NoteServedIsolated(now time.Duration, fingerprint quarantine.Fingerprint) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.table.RecordServed(now, fingerprint)
	g.report(feed.CrashReport{Served: []quarantine.Fingerprint{fingerprint}})
}

// report sends a report to the control group, if any. Whether it was sent does not matter: the
// ingress calls ReportAll once a leader serves this proxy.
func (g *Guard) report(report feed.CrashReport) {
	if g.reporter != nil {
		g.reporter.ReportCrashes(report)
	}
}

// ReportAll sends all observations of this proxy to the control group. It is called when a leader
// or a standby member begins to serve this proxy. Requests that were served are reported again as
// well as crashes: a report made while there was no leader was lost, and without it only the
// crashes would count.
func (g *Guard) ReportAll(now time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	all := feed.CrashReport{Crashes: g.table.ObservedHere(now), Served: g.table.Cleared(now)}
	if !all.IsEmpty() {
		g.report(all)
	}
	if observed := g.parts.table.Observed(now); !observed.IsEmpty() {
		g.reportParts(observed)
	}
}

// HasLeader reports whether a leader currently serves this proxy.
func (g *Guard) HasLeader() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.reporter != nil && g.reporter.Connected()
}

// cutOffDelay is how long a proxy must be without a leader before it judges by itself. It is
// longer than a change of leader or a restart of all members takes, because the proxy sees only a
// part of the evidence, in which requests that merely ran at the time of a crash look more
// suspicious.
const cutOffDelay = 3 * time.Second

// updateCutOff reports whether this proxy has to judge by itself. It also records since when it has no
// leader, and is called for that where the result is not needed. The caller must hold the lock.
func (g *Guard) updateCutOff(now time.Duration) bool {
	if g.reporter == nil {
		return true
	}
	if g.reporter.Connected() {
		g.wasServed, g.lost = true, false
		return false
	}
	if !g.lost {
		g.lost, g.lostAt = true, now
	}
	return !g.wasServed || now-g.lostAt >= cutOffDelay
}

// isLongCutOff reports whether this proxy has been without a leader for cutOffDelay, also if it never had one. The
// caller must hold the lock.
func (g *Guard) isLongCutOff(now time.Duration) bool {
	return g.updateCutOff(now) && (g.reporter == nil || now-g.lostAt >= cutOffDelay)
}
