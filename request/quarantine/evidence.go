package quarantine

import "time"

// Evidence describes a suspected failure of one replica while it ran a request. It is refuted when
// the same process of the replica answers again.
type Evidence struct {
	Fingerprint Fingerprint
	Replica     string
	// HadOutput is true if the run had produced more output before the failure than one that makes its
	// replica fail.
	HadOutput bool
	// Read is true if the replica only ran the prefill phase. Its failure is weak evidence, because
	// prefill replicas are few and heavily loaded, and also reset connections when they have no
	// free slot.
	Read bool
	// OnlyInFlight is true if no other request was in flight at the replica, so that no other
	// request can have caused the failure.
	OnlyInFlight bool
	// StillListening is true if the replica's address still accepted connections right after the
	// failure. This is weak evidence (see failure.isStrong), since a faulty replica may reset
	// connections and keep running.
	StillListening bool
	// RunTime is how long the run had been in progress at the failure.
	RunTime time.Duration
	// RequestInfo describes the request for operators.
	RequestInfo RequestInfo
	// UniqueName is true if the replica name identifies a single process, which can fail only once.
	UniqueName bool
	// ObservationID is a random number drawn by the process that observed the failure, 0 for none.
	// Delayed and repeated reports with the same number describe the same failure.
	ObservationID uint64

	// ReportedByOther is true if the failure was reported by another member of the control group,
	// the servers that exchange these reports. It already holds the evidence, so it is not reported
	// back.
	ReportedByOther bool

	// fromRecord is true for evidence restored from a Record, which omits most of the details.
	fromRecord bool
}

// RequestInfo describes a request for operators. Its Fingerprint identifies it.
type RequestInfo struct {
	Service string
	Route   string
	Request string // the most recent request ID
}
