package quarantine

import (
	"slices"
	"time"
)

// entry holds what is known of one request. It has at least one failure.
type entry struct {
	failures    []failure // of different processes, in order of time
	holds       []hold
	requestInfo RequestInfo
}

// failure is a suspected failure of one replica process while it ran a request. See Evidence for
// the fields that it takes from there.
type failure struct {
	replica   string        // the process name
	sent      time.Duration // when the request was sent to the replica
	at        time.Duration // when the replica failed
	hadOutput bool
	prefill   bool
	alone     bool
	listens   bool
	// uniqueName is true if the replica name identifies a single process.
	uniqueName bool
	// observationIDs holds the first observation IDs reported for the failure, up to
	// maxObservationIDs.
	observationIDs []uint64
	// reported is true if the failure is known only from other members.
	reported bool
	// fromRecord is true until an observer reports the failure.
	fromRecord bool
	// notedAt is when the record was read, 0 for observed failures.
	notedAt time.Duration
	// sequence numbers the table's failures in order of arrival.
	sequence uint64
}

// isStrong reports whether the failure is strong evidence that the request caused it: the run had
// produced no output, was no prefill run, and nothing listened at the replica's address afterwards.
func (f failure) isStrong() bool { return !f.hadOutput && !f.prefill && !f.listens }

// insert adds a failure in order of time.
func (e *entry) insert(failed failure) {
	index := slices.IndexFunc(e.failures, func(other failure) bool { return other.at > failed.at })
	if index < 0 {
		index = len(e.failures)
	}
	e.failures = slices.Insert(e.failures, index, failed)
}

// leastUsefulReplica returns the replica whose failure affects the verdict least: one of several
// that failed together, otherwise the one that failed first.
func (e *entry) leastUsefulReplica() string {
	for _, incident := range e.incidents() {
		if len(incident) > 1 {
			return incident[len(incident)-1].replica
		}
	}
	return e.failures[0].replica
}

// withoutPrefill returns a copy of the entry without failures of prefill runs. The copy shares its
// holds with the entry and must not be changed.
func (e *entry) withoutPrefill() *entry {
	kept := *e
	kept.failures = slices.DeleteFunc(slices.Clone(e.failures), func(failed failure) bool { return failed.prefill })
	return &kept
}

func (e *entry) has(replica string) bool {
	return e.indexOf(replica) >= 0
}

// failureOf returns the failure of the given replica. It panics if there is none.
func (e *entry) failureOf(replica string) failure {
	return e.failures[e.indexOf(replica)]
}

// indexOf returns the index of the replica's failure, or a negative number if there is none.
func (e *entry) indexOf(replica string) int {
	return slices.IndexFunc(e.failures, func(other failure) bool { return other.replica == replica })
}

// lastAt returns the time of the latest failure. It panics if there is none.
func (e *entry) lastAt() time.Duration { return e.failures[len(e.failures)-1].at }

func (e *entry) isEvictedBefore(other *entry) bool {
	if len(e.failures) != len(other.failures) {
		return len(e.failures) < len(other.failures)
	}
	return e.lastAt() < other.lastAt()
}
