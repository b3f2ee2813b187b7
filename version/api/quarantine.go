package api

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Quarantine records a request that was running when replicas crashed and may be the cause. Its
// name is the request's fingerprint in hex: a hash of its method, host, path, query, caller and
// body, but not of the request ID. The body is not stored. The Quarantine of a prompt part (IsPart)
// records a part that requests had in common which were running when replicas crashed; its name is
// the hex key of the part.
type Quarantine struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     QuarantineSpec `json:"spec" yaml:"spec"`
}

// QuarantineState determines how the request is handled.
type QuarantineState string

// States of a Quarantine.
const (
	// QuarantineWatched requests run normally; one more crash of a replica may confirm that
	// they are the cause.
	QuarantineWatched QuarantineState = "watched"
	// QuarantineTried requests run one at a time, through a single proxy. Either several
	// replicas crashed at once while running them (the cause may be the request or, for
	// example, the loss of a rack), or a hold (QuarantineHeld) has expired. At Until the trial moves to another proxy.
	QuarantineTried QuarantineState = "tried"
	// QuarantineSettling requests are temporarily sent to no replica: enough replicas crashed to
	// justify a hold, but the reports about other requests that were in flight on those
	// replicas are still to arrive.
	QuarantineSettling QuarantineState = "settling"
	// QuarantineHeld requests are sent to no replica.
	QuarantineHeld QuarantineState = "held"
)

// States of the Quarantine of a prompt part, which concern all requests with the part.
const (
	// QuarantinePartWatched: the requests run normally.
	QuarantinePartWatched QuarantineState = "part_watched"
	// QuarantinePartTried: few proxies at a time may send one request each, and only one in which this
	// is the only part on trial. At Until other proxies take over.
	QuarantinePartTried QuarantineState = "part_tried"
	// QuarantinePartHeld: the requests are sent to no replica.
	QuarantinePartHeld QuarantineState = "part_held"
)

// The label partCallers marks the Quarantine of a prompt part. Its value lists the callers whose
// requests it concerns, as hex keys with commas between, or is allCallers.
const (
	partCallers = "part-callers"
	allCallers  = "*"
)

// PartLabels returns the labels of the Quarantine of a prompt part that concerns the requests of the
// given callers, or of all if callers is nil.
func PartLabels(callers []string) Labels {
	if callers == nil {
		return Labels{partCallers: allCallers}
	}
	return Labels{partCallers: strings.Join(callers, ",")}
}

// IsPart reports whether this is the Quarantine of a prompt part and not of a request.
func (q *Quarantine) IsPart() bool {
	_, found := q.Labels[partCallers]
	return found
}

// PartCallers returns the callers whose requests the Quarantine of a prompt part concerns, nil for all.
func (q *Quarantine) PartCallers() []string {
	listed := q.Labels[partCallers]
	if listed == allCallers {
		return nil
	}
	return strings.Split(listed, ",")
}

// CallersText returns the callers for a log line: all of them as allCallers, empty for the Quarantine of
// a request.
func (q *Quarantine) CallersText() string { return q.Labels[partCallers] }

// Concerns reports whether the Quarantine of a prompt part concerns the requests of a caller.
func (q *Quarantine) Concerns(caller string) bool {
	callers := q.PartCallers()
	return callers == nil || slices.Contains(callers, caller)
}

// SplitQuarantines returns the quarantines of requests and those of prompt parts.
func SplitQuarantines(all map[string]*Quarantine) (requests, parts map[string]*Quarantine) {
	requests, parts = map[string]*Quarantine{}, map[string]*Quarantine{}
	for name, known := range all {
		if known.IsPart() {
			parts[name] = known
		} else {
			requests[name] = known
		}
	}
	return requests, parts
}

// EndedAtOnce reports whether the request is on trial because several replicas crashed at once.
// A request that is tried after a hold (Times > 0) crashed its replicas one after the other.
func (s *QuarantineSpec) EndedAtOnce() bool { return s.State == QuarantineTried && s.Times == 0 }

// HeldFirst returns the names of quarantines with the held ones before all others, otherwise ordered
// by name.
func HeldFirst(recorded map[string]*Quarantine) []string {
	rank := func(name string) int {
		if recorded[name].Spec.State == QuarantineHeld {
			return 0
		}
		return 1
	}
	return slices.SortedFunc(maps.Keys(recorded), func(a, b string) int {
		return cmp.Or(rank(a)-rank(b), cmp.Compare(a, b))
	})
}

// QuarantineSpec is what the control group knows about the request.
type QuarantineSpec struct {
	State   QuarantineState `json:"state" yaml:"state"`
	Service string          `json:"service" yaml:"service"`
	Route   string          `json:"route" yaml:"route"`
	// Request is the request ID with which it last crashed a replica.
	Request string `json:"request" yaml:"request"`
	// Replicas are the incarnation names of the replicas that crashed while running it.
	Replicas []string `json:"replicas" yaml:"replicas"`
	// Weak is the subset of Replicas whose crashes are weak evidence: the run had already
	// produced events, the replica only processed the prompt (prefill), or something accepted
	// connections at its address right after. In the Quarantine of a prompt part it is the subset that
	// crashed in one incident with an earlier one.
	Weak []string `json:"weak,omitempty" yaml:"weak,omitempty"`
	// Alone is set if a replica crashed with no other request in flight, so fewer crashes are
	// needed to identify the request as the cause.
	Alone bool `json:"alone,omitempty" yaml:"alone,omitempty"`
	// Since is when the first of the replicas crashed, in milliseconds of the leader's wall clock.
	Since int64 `json:"since,omitempty" yaml:"since,omitempty"`
	// Until is when the state expires or, on trial, when another proxy takes over, in
	// milliseconds of the leader's wall clock.
	Until int64 `json:"until" yaml:"until"`
	// Times is the number of times the request was held.
	Times int `json:"times" yaml:"times"`
	// TriedSince is when its trial began, in milliseconds of the leader's wall clock; 0 if it
	// is not on trial.
	TriedSince int64 `json:"triedSince,omitempty" yaml:"triedSince,omitempty"`
}
