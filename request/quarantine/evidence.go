package quarantine

import "time"

// Evidence describes a suspected failure of one replica while it ran a request. It is refuted when
// the replica answers again.
type Evidence struct {
	Fingerprint Fingerprint
	Replica     string
	// Began is true if the run had produced output before the failure.
	Began bool
	// Read is true if the replica only ran the prefill phase. Prefill replicas are few and heavily
	// loaded, and also reset connections when they have no free slot.
	Read bool
	// Alone is true if nothing else was in flight at the replica, so that no other request can
	// have caused the failure.
	Alone bool
	// Listens is true if the replica's address still accepted connections right after the failure.
	// This is weaker evidence, since a faulty replica may reset connections and keep running.
	Listens bool
	// Ran is how long the run had been in progress.
	Ran   time.Duration
	About About
	// Once is true if the replica name identifies a single process, which can fail only once.
	Once bool
	// Sight is a random number drawn by the process that observed the failure, 0 for none. Delayed
	// and repeated reports with the same number describe the same failure.
	Sight uint64

	// Told is true if another control group member reported the failure. The sources of such
	// reports already hold the evidence, so it is not reported back to them.
	Told bool

	// fromRecord is true for evidence restored from the stored record, which omits most of the
	// details.
	fromRecord bool
}

// About identifies a request for operators.
type About struct {
	Service string
	Route   string
	Request string // the most recent request ID
}
