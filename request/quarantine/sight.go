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
// another table in that order it says the same there, ends of earlier processes included. Of too
// many, those of the requests that stood at most ends are kept, and of these the latest.
func (t *Table) Sights(now time.Duration, most int) []Aged {
	fingerprints := slices.SortedFunc(maps.Keys(t.requests), func(a, b Fingerprint) int {
		first, second := t.requests[a], t.requests[b]
		return cmp.Or(cmp.Compare(len(second.ends), len(first.ends)), cmp.Compare(second.lastAt(), first.lastAt()), slices.Compare(a[:], b[:]))
	})
	return t.sightsOf(fingerprints, now, most)
}

// NotableSights is Sights of those requests alone that are worth watching for.
func (t *Table) NotableSights(now time.Duration, most int) []Aged {
	notable := t.Watched(now)
	for _, fingerprint := range t.Tried() {
		if !slices.Contains(notable, fingerprint) {
			notable = append(notable, fingerprint)
		}
	}
	return t.sightsOf(notable, now, most)
}

func (t *Table) sightsOf(fingerprints []Fingerprint, now time.Duration, most int) []Aged {
	var sights []Aged
	for _, fingerprint := range fingerprints {
		known := t.requests[fingerprint]
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
