package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// A replica may be started again under its name by a platform that tells no births. Its ends are
// then those of several processes. An end whose run was sent after the name had ended, with nobody
// left to listen, is another process's: the one before is kept under a name of its own.

// earlierMark stands between a replica's name and the number of its earlier process.
const earlierMark = "#earlier-"

// ReplicaOf returns the replica of a name under which an end is kept.
func ReplicaOf(name string) string {
	replica, _, _ := strings.Cut(name, earlierMark)
	return replica
}

// processesOf returns the names under which ends of a replica are kept.
func (t *Table) processesOf(replica string) []string {
	var names []string
	for name := range t.beside {
		if ReplicaOf(name) == replica {
			names = append(names, name)
		}
	}
	return names
}

// isBefore reports whether the replica had surely ended before the run of another end was sent
// there. What the record tells has no time of its own, and counts from when it was read.
func (e end) isBefore(told end) bool {
	return e.isTelling() && max(e.at, e.notedAt)+toldWithin < told.sent
}

// processAt returns the name of the process that a word of an end is of: of one at whose end the
// request is known to have stood, of a later one, or, where the word comes late, of one before it.
func (t *Table) processAt(known *entry, told end) string {
	if told.once {
		return told.replica
	}
	for _, ended := range known.ends {
		if slices.ContainsFunc(told.sights, func(number uint64) bool { return slices.Contains(ended.sights, number) }) {
			return ended.replica
		}
	}
	if known.has(told.replica) && known.endOf(told.replica).isOneWith(told) {
		return told.replica
	}
	for _, ended := range known.ends {
		if !told.recalled && !ended.recalled && ReplicaOf(ended.replica) == told.replica && ended.isOneWith(told) {
			return ended.replica
		}
	}
	if !known.has(told.replica) {
		return told.replica
	}
	if known.endOf(told.replica).isBefore(told) {
		t.renew(told)
		return told.replica
	}
	return t.earlierProcess(known, told)
}

// isOneWith reports whether two words of a replica's end may be of one process. What the record tells
// has no time of its own: a word that seems to come before it is of the same.
func (e end) isOneWith(told end) bool {
	return !e.isBefore(told) && (e.recalled || told.recalled || !told.isBefore(e))
}

// earlierProcess returns the name of the earlier process of a replica whose end it was, a new one if
// none is known that ended then.
func (t *Table) earlierProcess(known *entry, told end) string {
	for _, name := range t.processesOf(told.replica) {
		if known.has(name) {
			continue // that is another end of the request
		}
		for fingerprint := range t.beside[name] {
			ended := t.requests[fingerprint].endOf(name)
			if ended.isOneWith(told) {
				return name
			}
		}
	}
	return t.earlierName(told.replica)
}

// renew keeps the ends of an earlier process apart from one that another process has met under its
// replica's name.
func (t *Table) renew(told end) {
	earlier := t.earlierName(told.replica)
	for fingerprint := range maps.Clone(t.beside[told.replica]) {
		known := t.requests[fingerprint]
		known.ends[known.indexOf(told.replica)].replica = earlier
		t.forgetBeside(fingerprint, told.replica)
		t.rememberBeside(fingerprint, earlier)
	}
}

// earlierName is a name for an earlier process of a replica that none has yet.
func (t *Table) earlierName(replica string) string {
	for number := 1; ; number++ {
		name := fmt.Sprint(replica, earlierMark, number)
		if _, taken := t.beside[name]; !taken {
			return name
		}
	}
}

func (t *Table) rememberBeside(fingerprint Fingerprint, replica string) {
	if t.beside[replica] == nil {
		t.beside[replica] = map[Fingerprint]struct{}{}
	}
	t.beside[replica][fingerprint] = struct{}{}
}
