package api

import (
	"slices"
	"strings"
)

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

// suspectPart is the prefix of the labels of a Suspect that name the request's prompt parts which may be the cause. The
// value lists the callers with the part, as in Quarantine. They are labels since members of earlier versions, which do
// not know them, keep labels as they are.
const suspectPart = "suspect-part-"

// SuspectLabels returns the labels of a Suspect with the given prompt parts and their callers, as hex keys.
func SuspectLabels(callersOf map[string][]string) Labels {
	if len(callersOf) == 0 {
		return nil
	}
	labels := Labels{}
	for part, callers := range callersOf {
		labels[suspectPart+part] = strings.Join(callers, ",")
	}
	return labels
}

// Parts returns the request's prompt parts that may be the cause, in order.
func (s *Suspect) Parts() []string {
	var found []string
	for label := range s.Labels {
		if part, ok := strings.CutPrefix(label, suspectPart); ok {
			found = append(found, part)
		}
	}
	slices.Sort(found)
	return found
}

// PartCallers returns the callers of the requests with the part that were in flight at the crash.
func (s *Suspect) PartCallers(part string) []string {
	return strings.Split(s.Labels[suspectPart+part], ",")
}
