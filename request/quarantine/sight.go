package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// That a replica ended under a request is a fact: it needs neither an order nor an agreement, and
// nothing is lost if it is kept twice. So tables that tell each other what was seen come to hold the
// same, in whatever order the words arrive, however often, and by whichever way.

// Sights returns what was seen of ends, whoever saw it, the oldest first; most bounds it. Noted by
// another table in that order it says the same there, ends of earlier processes included. Requests of
// whose ends none tells anything are left out; of too many those that stood at most ends are kept, and of
// these the latest.
func (t *Table) Sights(now time.Duration, most int) []Aged {
	telling := func(known *entry) bool { return slices.ContainsFunc(known.ends, end.isTelling) }
	fingerprints := slices.DeleteFunc(slices.Collect(maps.Keys(t.requests)), func(fingerprint Fingerprint) bool {
		return !telling(t.requests[fingerprint])
	})
	slices.SortFunc(fingerprints, func(a, b Fingerprint) int {
		first, second := t.requests[a], t.requests[b]
		return cmp.Or(cmp.Compare(len(second.ends), len(first.ends)), cmp.Compare(second.lastAt(), first.lastAt()), slices.Compare(a[:], b[:]))
	})
	return t.SightsOf(fingerprints, now, most)
}

// NotableSights is Sights of those requests alone that are worth watching for.
func (t *Table) NotableSights(now time.Duration, most int) []Aged {
	notable := t.Watched(now)
	for _, fingerprint := range t.Tried() {
		if !slices.Contains(notable, fingerprint) {
			notable = append(notable, fingerprint)
		}
	}
	return t.SightsOf(notable, now, most)
}

// SightsOf is Sights of the requests given, those first that are to be kept of too many.
func (t *Table) SightsOf(fingerprints []Fingerprint, now time.Duration, most int) []Aged {
	var sights []Aged
	for _, fingerprint := range fingerprints {
		known := t.requests[fingerprint]
		if known == nil {
			continue
		}
		for _, ended := range slices.Backward(known.ends) {
			if ended.recalled || len(sights) == most {
				continue
			}
			seen := ended.evidence(fingerprint, known.about)
			seen.Replica = ReplicaOf(ended.replica)
			sights = append(sights, Aged{Evidence: seen, Age: now - ended.at})
		}
	}
	slices.SortStableFunc(sights, func(a, b Aged) int { return cmp.Compare(b.Age, a.Age) })
	return sights
}

// DropTold drops the ends that only members have told of.
func (t *Table) DropTold() {
	for fingerprint, known := range t.requests {
		for _, ended := range slices.Clone(known.ends) {
			if ended.told && !ended.recalled {
				t.drop(fingerprint, ended.replica)
			}
		}
	}
}

// IsWorthTelling reports whether others are to know of a request at once: replicas ended under it at
// several moments, or lately at one that tells something.
func (t *Table) IsWorthTelling(now time.Duration, fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	if known == nil {
		return false
	}
	return len(known.strikes()) >= WatchedEnds || t.IsSuspect(now, fingerprint) && slices.ContainsFunc(known.ends, end.isTelling)
}

// StoodInSeries reports whether a request under which replicas ended at several moments stood at an end
// of the replica.
func (t *Table) StoodInSeries(replica string) bool {
	for _, name := range t.processesOf(replica) {
		for fingerprint := range t.beside[name] {
			if t.IsSeries(fingerprint) {
				return true
			}
		}
	}
	return false
}
