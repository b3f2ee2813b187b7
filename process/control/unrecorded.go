package control

import (
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
)

// The quarantine record reaches each daemon with its view. If there is no leader or it cannot
// commit, each daemon would know only the crashes that it observed itself, and a harmful request
// would crash one replica for each daemon. In that case members send the daemons what they know.

// maxRecordLag is how long the record may lag behind the reports. It covers a review and a commit,
// with some margin.
const maxRecordLag = 300 * time.Millisecond

// unrecorded is the evidence sent to daemons while the record lags behind.
type unrecorded struct {
	// recordedChangeCount is the table's change count at the last review that was committed.
	recordedChangeCount uint64
	// heardAt is when the first change after that review was reported.
	heardAt time.Duration
	// observations are the notable observations at cachedChangeCount, with their ages at cachedAt.
	observations []quarantine.AgedEvidence
	// served are the requests that were served last, as of cachedAt.
	served            []quarantine.Fingerprint
	cachedChangeCount uint64
	cachedAt          time.Duration
}

// changeCount returns a number that rises with each change of the table.
func (d *quarantineTracker) changeCount() uint64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.table.Changes()
}

// markRecorded notes that the record contains everything in the table up to a change count.
func (d *quarantineTracker) markRecorded(changeCount uint64, now time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.unrecorded.recordedChangeCount, d.unrecorded.heardAt = changeCount, now
}

// unrecordedReport returns the evidence for daemons and the change count that it corresponds to.
// The evidence of a leader is empty until its record has lagged behind for maxRecordLag.
func (d *quarantineTracker) unrecordedReport(leads bool, now time.Duration) (feed.CrashReport, uint64) {
	d.lock.Lock()
	defer d.lock.Unlock()
	cached, changeCount := &d.unrecorded, d.table.Changes()
	if leads && (changeCount == cached.recordedChangeCount || now-cached.heardAt < maxRecordLag) {
		return feed.CrashReport{}, changeCount
	}
	if cached.cachedChangeCount != changeCount {
		cached.observations, cached.cachedChangeCount, cached.cachedAt = d.table.NotableReports(now, maxReportedEvidence), changeCount, now
		cached.served = d.table.Cleared(now)
		cached.served = cached.served[:min(len(cached.served), maxReportedEvidence)]
	}
	observations := slices.Clone(cached.observations)
	for i := range observations {
		observations[i].Age += now - cached.cachedAt
	}
	return feed.CrashReport{Crashes: observations, Served: cached.served}, changeCount
}

// UnrecordedCrashes returns the evidence that is missing from the record, with its change count.
func (g *group) UnrecordedCrashes() (feed.CrashReport, uint64) {
	return g.evidence.tracker.unrecordedReport(g.Leadership().Leads, monotonic())
}

// applyRecordChange applies a change of the record at a member that does not lead, and reports
// whether the table changed. It drops the evidence for entries that the leader removed or reduced;
// the next leader would otherwise restore them from it.
func (d *quarantineTracker) applyRecordChange(before, current map[string]*api.Quarantine, now time.Duration) (changed bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	changeCount := d.table.Changes()
	before, partsBefore := api.SplitQuarantines(before)
	current, currentParts := api.SplitQuarantines(current)
	d.applyPartRecordChange(partsBefore, currentParts)
	for name, earlier := range before {
		fingerprint, ok := quarantine.ParseFingerprint(name)
		if !ok {
			continue
		}
		known := current[name]
		switch {
		case known == nil:
			d.table.Forget(fingerprint)
		case len(known.Spec.Replicas) < len(earlier.Spec.Replicas):
			d.table.Restore(now, fingerprint, quarantine.Record{
				Replicas: known.Spec.Replicas, Weak: known.Spec.Weak, Alone: known.Spec.Alone,
				Simultaneous: known.Spec.EndedAtOnce(), About: aboutOf(&known.Spec),
			})
		}
	}
	return d.table.Changes() != changeCount
}
