package quarantine

import (
	"slices"
	"time"
)

// Failure is a failure of a replica during a run of a request, as a Table knows it.
type Failure struct {
	Fingerprint Fingerprint
	Replica     string
	At          time.Duration
	// IsTimeKnown is false if the failure is known from a Record alone, which has no exact time.
	IsTimeKnown bool
}

// SetOtherCause sets a function that reports whether something that the request does not contain is
// known to have caused a failure. Such failures do not count against the request as long as the
// function says so, but are kept. The function must not use the Table.
func (t *Table) SetOtherCause(hasOtherCause func(Failure) bool) { t.hasOtherCause = hasOtherCause }

// counted returns the entry of a request with the failures that count against it. The result shares
// its holds with the entry and must not be changed.
func (t *Table) counted(fingerprint Fingerprint, known *entry) *entry {
	isCausedOtherwise := func(failed failure) bool {
		return t.hasOtherCause != nil && t.hasOtherCause(Failure{
			Fingerprint: fingerprint, Replica: ReplicaOf(failed.replica), At: failed.at, IsTimeKnown: !failed.fromRecord,
		})
	}
	if !slices.ContainsFunc(known.failures, isCausedOtherwise) {
		return known
	}
	kept := *known
	kept.failures = slices.DeleteFunc(slices.Clone(known.failures), isCausedOtherwise)
	return &kept
}
