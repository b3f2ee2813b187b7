package quarantine

import (
	"slices"
	"time"
)

// Record is the stored record of a request.
type Record struct {
	Replicas []string
	// Weak lists the replicas whose failures are weak evidence.
	Weak []string
	// Alone is true if one of them failed with nothing else in flight. AtOnce is true if all of
	// them failed at the same time.
	Alone  bool
	AtOnce bool
	// Age is the minimum time since the first of them failed.
	Age   time.Duration
	About About
}

// Evidence returns the evidence that the record holds for one of its replicas.
func (r *Record) Evidence(fingerprint Fingerprint, replica string) Evidence {
	seen := Evidence{
		Fingerprint: fingerprint, Replica: replica, Alone: r.Alone, Listens: slices.Contains(r.Weak, replica), About: r.About,
		fromRecord: true,
	}
	if r.AtOnce {
		seen.Ran = settleDelay // each run was in progress when the others failed
	}
	return seen
}

// Restore replaces what is known of a request with its record.
func (t *Table) Restore(now time.Duration, fingerprint Fingerprint, known Record) {
	t.Forget(fingerprint)
	since := now - min(max(known.Age, settleDelay), failureRetention/2)
	for i, replica := range known.Replicas {
		before := time.Duration(len(known.Replicas)-1-i) * time.Millisecond // they failed one after the other
		t.noteAt(now, since-before, known.Evidence(fingerprint, replica))
	}
}

// Recall merges the record of a request with the reports received for it, which take precedence.
// The failures get new sequence numbers, in the order in which requests are recalled.
func (t *Table) Recall(now time.Duration, fingerprint Fingerprint, known Record) {
	var received []failure
	if before := t.requests[fingerprint]; before != nil {
		received = slices.Clone(before.failures)
		known.About = before.about
	}
	t.Restore(now, fingerprint, known)
	for _, failed := range received {
		t.noteAt(now, failed.at, failed.evidence(fingerprint, known.About))
	}
}

// Aged is an Evidence with its age.
type Aged struct {
	Evidence
	Age time.Duration
}

// All returns the evidence observed here, for a receiver that has to rebuild its table. It omits
// what comes from the record, because the receiver has the record and would take it for an
// observation. It also omits what other members reported, and failures of earlier processes, which
// each table numbers on its own.
func (t *Table) All(now time.Duration) []Aged {
	var all []Aged
	for fingerprint, known := range t.requests {
		for _, failed := range known.failures {
			if !failed.fromRecord && !failed.reported && ReplicaOf(failed.replica) == failed.replica {
				all = append(all, Aged{Evidence: failed.evidence(fingerprint, known.about), Age: now - failed.at})
			}
		}
	}
	return all
}

// evidence returns the Evidence for a failure of the request.
func (f failure) evidence(fingerprint Fingerprint, about About) Evidence {
	return Evidence{
		Fingerprint: fingerprint, Replica: f.replica, Began: f.hadOutput, Read: f.prefill, Alone: f.alone, Listens: f.listens,
		Ran: f.at - f.sent, About: about, Once: f.uniqueName, Sight: f.observationID(), Told: f.reported, fromRecord: f.fromRecord,
	}
}

// observationID returns the first observation number of the failure, 0 for none.
func (f failure) observationID() uint64 {
	if len(f.observationIDs) == 0 {
		return 0
	}
	return f.observationIDs[0]
}

// maxObservationIDs bounds the observation numbers kept per failure. Each comes from a proxy that
// had sent the request to the replica.
const maxObservationIDs = 8

// addObservationIDs adds the observation numbers from another report of the same failure.
func (f *failure) addObservationIDs(other failure) {
	for _, number := range other.observationIDs {
		if !slices.Contains(f.observationIDs, number) && len(f.observationIDs) < maxObservationIDs {
			f.observationIDs = append(f.observationIDs, number)
		}
	}
}

// mergeReport merges another report of a known failure into the entry. An observation replaces
// what the record holds but keeps its sequence number. It reports whether a failure was replaced.
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
