package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// A platform that does not report process start times may restart a replica under the same name,
// so the failures under one name can belong to several processes. If a run was sent after the name
// had failed with nothing listening any more, its failure is that of a later process, and the
// failures of the earlier process are moved to a separate name.

// earlierMark separates a replica name from the number of its earlier process.
const earlierMark = "#earlier-"

// ReplicaOf returns the replica name for a name under which a failure is stored.
func ReplicaOf(name string) string {
	replica, _, _ := strings.Cut(name, earlierMark)
	return replica
}

// processNames returns the names under which failures of a replica are stored.
func (t *Table) processNames(replica string) []string {
	var names []string
	for name := range t.inFlightAt {
		if ReplicaOf(name) == replica {
			names = append(names, name)
		}
	}
	return names
}

// isBefore reports whether the replica had certainly failed before the run behind a later failure
// was sent to it. A failure from the record has no time of its own; the time when the record was
// read is used.
func (f failure) isBefore(incoming failure) bool {
	return f.isStrong() && max(f.at, f.notedAt)+maxReportDelay < incoming.sent
}

// processNameFor returns the name of the process that a reported failure belongs to. This is the
// process of a failure already known for the request, a later one or, for a delayed report, an
// earlier one.
func (t *Table) processNameFor(known *entry, incoming failure) string {
	if incoming.uniqueName {
		return incoming.replica
	}
	for _, failed := range known.failures {
		if slices.ContainsFunc(incoming.observationIDs, func(number uint64) bool { return slices.Contains(failed.observationIDs, number) }) {
			return failed.replica
		}
	}
	if known.has(incoming.replica) && known.failureOf(incoming.replica).mayShareProcess(incoming) {
		return incoming.replica
	}
	for _, failed := range known.failures {
		if !incoming.fromRecord && !failed.fromRecord && ReplicaOf(failed.replica) == incoming.replica && failed.mayShareProcess(incoming) {
			return failed.replica
		}
	}
	if !known.has(incoming.replica) {
		return incoming.replica
	}
	if known.failureOf(incoming.replica).isBefore(incoming) {
		t.renameToEarlier(incoming)
		return incoming.replica
	}
	return t.earlierProcessName(known, incoming)
}

// mayShareProcess reports whether two reported failures of a replica may belong to the same
// process. Failures from the record have no time of their own: a report that seems to precede one
// of them still belongs to the same process.
func (f failure) mayShareProcess(incoming failure) bool {
	return !f.isBefore(incoming) && (f.fromRecord || incoming.fromRecord || !incoming.isBefore(f))
}

// earlierProcessName returns the name of the replica's earlier process that the failure belongs
// to. It returns an unused name if no known process failed at that time.
func (t *Table) earlierProcessName(known *entry, incoming failure) string {
	for _, name := range t.processNames(incoming.replica) {
		if known.has(name) {
			continue // this is another failure of the same request
		}
		for fingerprint := range t.inFlightAt[name] {
			failed := t.requests[fingerprint].failureOf(name)
			if failed.mayShareProcess(incoming) {
				return name
			}
		}
	}
	return t.unusedEarlierName(incoming.replica)
}

// renameToEarlier moves the failures stored under a replica's name to the name of an earlier
// process, because the reported failure is that of a new process with the replica's name.
func (t *Table) renameToEarlier(incoming failure) {
	earlier := t.unusedEarlierName(incoming.replica)
	for fingerprint := range maps.Clone(t.inFlightAt[incoming.replica]) {
		known := t.requests[fingerprint]
		known.failures[known.indexOf(incoming.replica)].replica = earlier
		t.removeInFlight(fingerprint, incoming.replica)
		t.addInFlight(fingerprint, earlier)
	}
}

// unusedEarlierName returns a name for an earlier process of a replica that is not in use.
func (t *Table) unusedEarlierName(replica string) string {
	for number := 1; ; number++ {
		name := fmt.Sprint(replica, earlierMark, number)
		if _, taken := t.inFlightAt[name]; !taken {
			return name
		}
	}
}

func (t *Table) addInFlight(fingerprint Fingerprint, replica string) {
	if t.inFlightAt[replica] == nil {
		t.inFlightAt[replica] = map[Fingerprint]struct{}{}
	}
	t.inFlightAt[replica][fingerprint] = struct{}{}
}
