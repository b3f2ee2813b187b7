package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Reports returns the observed failures for other tables, oldest first, including those reported by
// other members but not those from a record. It returns at most limit failures; a negative limit
// means all. Requests with only weak failures are omitted. If there are too many failures, requests
// with the most failures are kept first, and among these the most recent.
//
// Reports may arrive in any order, by any route and more than once: tables that exchange them
// converge to the same state without consensus, as long as none of them has reached its bounds.
// Recording the failures in the returned order in another table gives the same state there,
// including the failures of earlier processes.
func (t *Table) Reports(now time.Duration, limit int) []AgedEvidence {
	hasStrong := func(known *entry) bool { return slices.ContainsFunc(known.failures, failure.isStrong) }
	fingerprints := slices.DeleteFunc(slices.Collect(maps.Keys(t.requests)), func(fingerprint Fingerprint) bool {
		return !hasStrong(t.requests[fingerprint])
	})
	slices.SortFunc(fingerprints, func(a, b Fingerprint) int {
		first, second := t.requests[a], t.requests[b]
		return cmp.Or(cmp.Compare(len(second.failures), len(first.failures)), cmp.Compare(second.lastAt(), first.lastAt()), slices.Compare(a[:], b[:]))
	})
	return t.ReportsOf(fingerprints, now, limit)
}

// NotableReports is like Reports, but covers only requests that are watched or due for a trial (see
// NeedsTrial), including those with only weak failures.
func (t *Table) NotableReports(now time.Duration, limit int) []AgedEvidence {
	notable := t.Watched(now)
	for _, fingerprint := range t.NeedingTrial() {
		if !slices.Contains(notable, fingerprint) {
			notable = append(notable, fingerprint)
		}
	}
	return t.ReportsOf(notable, now, limit)
}

// ReportsOf is like Reports, but covers only the given requests, including those with only weak
// failures. If there are too many failures, earlier requests in the list take precedence.
func (t *Table) ReportsOf(fingerprints []Fingerprint, now time.Duration, limit int) []AgedEvidence {
	var reports []AgedEvidence
	for _, fingerprint := range fingerprints {
		known := t.requests[fingerprint]
		if known == nil {
			continue
		}
		for _, failed := range slices.Backward(known.failures) {
			if failed.fromRecord || len(reports) == limit {
				continue
			}
			evidence := failed.evidence(fingerprint, known.requestInfo)
			evidence.Replica = ReplicaOf(failed.replica)
			reports = append(reports, AgedEvidence{Evidence: evidence, Age: now - failed.at})
		}
	}
	slices.SortStableFunc(reports, func(a, b AgedEvidence) int { return cmp.Compare(b.Age, a.Age) })
	return reports
}

// DropReportedByOthers drops the failures known only from reports of other members.
func (t *Table) DropReportedByOthers() {
	for fingerprint, known := range t.requests {
		for _, failed := range slices.Clone(known.failures) {
			if failed.reported && !failed.fromRecord {
				t.drop(fingerprint, failed.replica)
			}
		}
	}
}

// ShouldReportNow reports whether a request should be reported to others immediately. This is the
// case if replicas failed in at least two incidents, or if a recent failure is strong evidence.
func (t *Table) ShouldReportNow(now time.Duration, fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	if known == nil {
		return false
	}
	return len(known.incidents()) >= WatchedIncidents || t.IsSuspect(now, fingerprint) && slices.ContainsFunc(known.failures, failure.isStrong)
}

// AnyRequestFailedRepeatedly reports whether any request that was in flight when the replica failed
// has at least two incidents (see FailedRepeatedly).
func (t *Table) AnyRequestFailedRepeatedly(replica string) bool {
	for _, name := range t.processNames(replica) {
		for fingerprint := range t.inFlightAt[name] {
			if t.FailedRepeatedly(fingerprint) {
				return true
			}
		}
	}
	return false
}
