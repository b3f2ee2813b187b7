package parts

import (
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
)

// Record is what is persisted of a part that is suspected.
type Record struct {
	Service string
	// Replicas are process names in order of time, Together those of them that crashed in one incident
	// with an earlier one.
	Replicas, Together []string
	Age                time.Duration
	Callers            []Key
	Requests           []quarantine.Fingerprint // that are known to contain the part
	// IsSingle is true for the record of a part's only crash. How long the run had lasted is not recorded: it is assumed
	// that the crash counts as one with others at that moment.
	IsSingle bool
}

// Restore adds the crashes of a record. Those that are not known are assumed to have happened at the
// recorded age, in their order.
func (t *Table) Restore(now time.Duration, part Key, record Record) {
	since := now - min(max(record.Age, settleDelay), retention/2)
	if record.IsSingle {
		since = now - min(record.Age, retention/2) // its time decides which other crashes it counts as one with
	}
	callers := record.Callers
	if len(callers) == 0 {
		callers = []Key{{}}
	}
	for i, replica := range record.Replicas {
		known := t.recordedCrash(replica, countOf(replica, record.Replicas[:i]))
		if known == nil {
			at := since + time.Duration(i)*time.Millisecond
			known = t.insert(&crash{process: replica, service: record.Service, at: at, notedAt: now, confirmed: true})
		}
		sentAt := known.at
		if record.IsSingle {
			sentAt -= maxIncidentTime
		}
		for _, caller := range callers {
			t.suspect(known, part, caller, sentAt)
		}
		for _, request := range record.Requests {
			t.addRequest(known, part, request)
		}
		if restored := known.suspects[part]; restored != nil && !known.observed && !record.IsSingle {
			restored.recorded = recordedFirst
			if slices.Contains(record.Together, replica) {
				restored.recorded = recordedTogether
			}
		}
	}
}

// recordedCrash returns the next known crash of a process with the name after the given number of earlier ones,
// or nil. Several processes may share a name that is not unique.
func (t *Table) recordedCrash(process string, earlier int) *crash {
	for _, known := range t.crashes {
		if known.process != process {
			continue
		}
		if earlier == 0 {
			return known
		}
		earlier--
	}
	return nil
}

// countOf returns how often a name stands in a list.
func countOf(wanted string, names []string) int {
	count := 0
	for _, name := range names {
		if name == wanted {
			count++
		}
	}
	return count
}
