package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// A table stores the failures of a replica under process names, because a platform that does not
// report process start times may restart a replica under the same name, so that its failures can
// belong to several processes. The process name of the latest known process is the replica name. If
// a request was sent after the replica had failed with nothing listening any more, its failure is
// that of a later process, and the failures of the earlier process are moved to a process name of
// their own.

// earlierMark separates a replica name from a number that distinguishes its earlier processes. The
// numbers do not tell which of them started first.
const earlierMark = "#earlier-"

// ReplicaOf returns the replica name for a process name.
func ReplicaOf(name string) string {
	replica, _, _ := strings.Cut(name, earlierMark)
	return replica
}

// successorMark follows the name of a listed process in the name of the processes that have replaced it.
const successorMark = "#successor"

// SuccessorName returns the replica name for the processes that run at the address of a listed process
// after its failure, and which are not listed themselves yet. Unlike the name of the listed process it does not
// identify a single one.
func SuccessorName(process string) string { return process + successorMark }

// processNames returns the process names of a replica that failures are stored under, in no
// particular order.
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
// was sent to it. Only a strong failure is certain: a replica that kept listening may not have
// failed. A failure from the record has no exact time, so it counts as no earlier than the time
// when the record was read.
func (f failure) isBefore(incoming failure) bool {
	return f.isStrong() && max(f.at, f.notedAt)+maxReportDelay < incoming.sent
}

// processNameFor returns the process name for a reported failure. This is the process of a failure
// already known for the request, a process started later or, if the report was delayed, one that
// failed earlier. For a process started later it renames the replica's known failures to an earlier
// process (renameToEarlier).
func (t *Table) processNameFor(known *entry, incoming failure) string {
	if incoming.uniqueName {
		return incoming.replica
	}
	for _, failed := range known.failures {
		if slices.ContainsFunc(incoming.observationIDs, func(id uint64) bool { return slices.Contains(failed.observationIDs, id) }) {
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
// process. Failures from the record have no exact time: each revision of the record repeats those that
// are known, and a report that seems to precede one of them is taken as one of the same process.
func (f failure) mayShareProcess(incoming failure) bool {
	if incoming.fromRecord {
		return true
	}
	return !f.isBefore(incoming) && (f.fromRecord || !incoming.isBefore(f))
}

// earlierProcessName returns the name of the replica's earlier process that the failure belongs
// to. It returns an unused name if no known process failed at that time.
func (t *Table) earlierProcessName(known *entry, incoming failure) string {
	for _, name := range t.processNames(incoming.replica) {
		if known.has(name) {
			continue // one process fails at most once, and the request has another failure there
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

// renameToEarlier moves the failures stored under the replica name of the reported failure to the
// name of an earlier process, because that failure is the one of a new process with the replica's
// name.
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

// addInFlight records that the request was in flight when the replica failed.
func (t *Table) addInFlight(fingerprint Fingerprint, replica string) {
	if t.inFlightAt[replica] == nil {
		t.inFlightAt[replica] = map[Fingerprint]struct{}{}
	}
	t.inFlightAt[replica][fingerprint] = struct{}{}
}
