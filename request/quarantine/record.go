package quarantine

import (
	"slices"
	"time"
)

// Record is what the caller persists of the failures of a harmful request, so that it remains known
// when the Table that observed them is lost.
type Record struct {
	Replicas []string
	// Weak lists the replicas whose failures are weak evidence (see failure.isStrong).
	Weak []string
	// Alone is true if one of Replicas failed with nothing else in flight.
	Alone bool
	// Simultaneous is true if all of Replicas failed in a single incident.
	Simultaneous bool
	// Age says that the first of Replicas failed at least this long ago.
	Age   time.Duration
	About RequestInfo
}

// Evidence returns the evidence that the record holds for one of its replicas. The record does not
// say which replica failed with nothing else in flight, so Alone is set for all of them.
func (r *Record) Evidence(fingerprint Fingerprint, replica string) Evidence {
	evidence := Evidence{
		Fingerprint: fingerprint, Replica: replica, OnlyInFlight: r.Alone, StillListening: slices.Contains(r.Weak, replica), RequestInfo: r.About,
		fromRecord: true,
	}
	if r.Simultaneous {
		evidence.RunTime = settleDelay // long enough that each run had started before the others failed
	}
	return evidence
}

// Restore replaces what is known of a request, observed failures included, with its record. It
// assumes that the failures are old enough to be judged at once and recent enough to count for at
// least another half of failureRetention.
func (t *Table) Restore(now time.Duration, fingerprint Fingerprint, record Record) {
	t.Forget(fingerprint)
	since := now - min(max(record.Age, settleDelay), failureRetention/2)
	for i, replica := range record.Replicas {
		spacing := time.Duration(len(record.Replicas)-1-i) * time.Millisecond // keeps their order
		t.noteAt(now, since-spacing, record.Evidence(fingerprint, replica))
	}
}

// MergeRecord merges the record of a request with the reports received for it. The reports take
// precedence. All failures of the request get new sequence numbers, so a caller that recalls
// several requests determines how their failures are ordered.
func (t *Table) MergeRecord(now time.Duration, fingerprint Fingerprint, record Record) {
	var received []failure
	if previous := t.requests[fingerprint]; previous != nil {
		received = slices.Clone(previous.failures)
		record.About = previous.requestInfo
	}
	t.Restore(now, fingerprint, record)
	for _, failed := range received {
		t.noteAt(now, failed.at, failed.evidence(fingerprint, record.About))
	}
}

// AgedEvidence is an Evidence with the time since the failure.
type AgedEvidence struct {
	Evidence
	Age time.Duration
}

// ObservedHere returns the evidence that was reported to this table directly, in no particular
// order, for a receiver that has to rebuild its table. It omits evidence from the record: the
// receiver has the record as well, and would treat a second copy as an observed failure. It also
// omits what other members reported, and failures of earlier processes, which each table numbers on
// its own.
func (t *Table) ObservedHere(now time.Duration) []AgedEvidence {
	var all []AgedEvidence
	for fingerprint, known := range t.requests {
		for _, failed := range known.failures {
			if !failed.fromRecord && !failed.reported && ReplicaOf(failed.replica) == failed.replica {
				all = append(all, AgedEvidence{Evidence: failed.evidence(fingerprint, known.requestInfo), Age: now - failed.at})
			}
		}
	}
	return all
}

// evidence returns the Evidence for a failure of the request.
func (f failure) evidence(fingerprint Fingerprint, info RequestInfo) Evidence {
	return Evidence{
		Fingerprint: fingerprint, Replica: f.replica, HadOutput: f.hadOutput, Read: f.prefill, OnlyInFlight: f.alone, StillListening: f.listens,
		RunTime: f.at - f.sent, RequestInfo: info, UniqueName: f.uniqueName, ObservationID: f.observationID(), ReportedByOther: f.reported, fromRecord: f.fromRecord,
	}
}

// observationID returns the first observation ID of the failure, 0 for none.
func (f failure) observationID() uint64 {
	if len(f.observationIDs) == 0 {
		return 0
	}
	return f.observationIDs[0]
}

// maxObservationIDs bounds the observation IDs kept per failure. There is one for each proxy that
// had sent the request to the replica.
const maxObservationIDs = 8

// addObservationIDs adds the observation IDs from another report of the same failure.
func (f *failure) addObservationIDs(other failure) {
	for _, id := range other.observationIDs {
		if !slices.Contains(f.observationIDs, id) && len(f.observationIDs) < maxObservationIDs {
			f.observationIDs = append(f.observationIDs, id)
		}
	}
}

// mergeReport merges another report of a known failure into the entry. An observation replaces the
// failure from the record, and the replacement keeps the old sequence number. The result says
// whether a failure was replaced; other changes are not reported. Of two reports of the same kind
// the stronger evidence applies.
func (e *entry) mergeReport(incoming failure) (replaced bool) {
	at := e.indexOf(incoming.replica)
	known := e.failures[at]
	incoming.addObservationIDs(known)
	e.failures[at].addObservationIDs(incoming)
	switch {
	case known.fromRecord && !incoming.fromRecord:
		incoming.sequence = known.sequence
		incoming.alone = incoming.alone || known.alone
		e.failures = slices.Delete(e.failures, at, at+1)
		e.insert(incoming)
		return true
	case known.fromRecord == incoming.fromRecord:
		e.failures[at].listens = known.listens && incoming.listens
		e.failures[at].reported = known.reported && incoming.reported
	}
	return false
}
