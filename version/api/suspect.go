package api

// Suspect records a request during which one replica crashed recently. One crash does not
// show that the request is the cause, so serving daemons ignore the record. It is stored so that
// a second crash is still counted as the second even if all processes that observed the first
// are gone. It has the name of the Quarantine that it may become.
type Suspect struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     SuspectSpec `json:"spec" yaml:"spec"`
}

// SuspectSpec is what the control group knows about the request.
type SuspectSpec struct {
	Service string `json:"service" yaml:"service"`
	Route   string `json:"route" yaml:"route"`
	// Request is the request ID.
	Request string `json:"request" yaml:"request"`
	// Replica is the incarnation name of the replica that crashed.
	Replica string `json:"replica" yaml:"replica"`
	// EndedAt is when the replica crashed and Until when the record expires, both in
	// milliseconds of the leader's wall clock.
	EndedAt int64 `json:"endedAt" yaml:"endedAt"`
	Until   int64 `json:"until" yaml:"until"`
}
