package parts

import (
	"cmp"
	"slices"
	"time"
)

// Thresholds of a verdict.
const (
	// watchedIncidents is the number of incidents from which a part is watched.
	watchedIncidents = 2
	// harmfulIncidents is the number of incidents from which a part is found harmful if no other
	// suspect is within clearLead crashes.
	harmfulIncidents = 3
	clearLead        = 2
	// decisiveCrashes is the number of crashes from which a lead of one is enough.
	decisiveCrashes = 5
	// manyCrashes is the number of crashes from which watchedIncidents incidents are enough: where
	// many replicas run requests with a part, many crash before the first crash is known.
	manyCrashes = 8
	// partialViewIncidents replaces harmfulIncidents for an observer of a part of all crashes.
	partialViewIncidents = 4
	// settleDelay is how long a crash is known before it counts, in which time others report which
	// parts it clears.
	settleDelay = 250 * time.Millisecond
	// simultaneityMargin is how long before the first crash of an incident a request must have been
	// sent to count as in flight then.
	simultaneityMargin = 5 * time.Millisecond
	// callersForAll is the number of callers with a crash each from which a verdict binds all callers.
	callersForAll = 3
	// repeatedCrashes is the number of crashes with which one caller's requests are bound by a
	// verdict; two such callers are enough for a verdict on all.
	repeatedCrashes = 2
)

// Verdict is the judgement of a part by the crashes of which it is a suspect.
type Verdict uint8

// Verdicts, from harmless to harmful.
const (
	Watched  Verdict = iota + 1 // too few crashes to decide, or another part is the likelier cause
	Doubtful                    // it may be the cause, as may others, or nothing of the service is answered
	Harmful                     // it is the cause
)

// Finding is what a table says about a part with at least watchedIncidents incidents.
type Finding struct {
	Part    Key
	Service string
	Verdict Verdict
	// Overtaken is true if another part is a suspect of more crashes.
	Overtaken bool
	// Replicas are the processes of the first crash of each incident, in order of time.
	Replicas []string
	Crashed  []string // all processes of which the part is the likeliest cause
	// FirstAt and LastAt are the times of the first and the last of these crashes.
	FirstAt, LastAt time.Duration
	// Callers are the callers that the finding binds; nil if it binds all of them.
	Callers []Key
}

// evidence is the crashes that count against one part.
type evidence struct {
	part      Key
	crashes   []*crash
	incidents []*crash // the first crash of each
}

// Findings returns the findings at now, those with the most crashes first.
func (t *Table) Findings(now time.Duration) []Finding {
	return t.findings(now, harmfulIncidents)
}

// PartialFindings is Findings for an observer that sees a part of all crashes.
func (t *Table) PartialFindings(now time.Duration) []Finding {
	return t.findings(now, partialViewIncidents)
}

func (t *Table) findings(now time.Duration, required int) []Finding {
	all := t.collectEvidence(now)
	var found []Finding
	for _, own := range all {
		if len(own.incidents) >= watchedIncidents {
			found = append(found, t.judge(own, all, required))
		}
	}
	slices.SortFunc(found, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(len(b.Crashed), len(a.Crashed)), slices.Compare(a.Part[:], b.Part[:]))
	})
	return found
}

// collectEvidence returns the settled crashes that count against each part, except those that a held
// part explains.
func (t *Table) collectEvidence(now time.Duration) map[Key]*evidence {
	all := map[Key]*evidence{}
	for _, known := range t.crashes {
		if !known.confirmed || now-known.at < settleDelay {
			continue
		}
		explainedBy := t.heldSuspect(known)
		for part := range known.suspects {
			if _, held := t.held[part]; explainedBy && !held {
				continue
			}
			own := all[part]
			if own == nil {
				own = &evidence{part: part}
				all[part] = own
			}
			own.add(known)
		}
	}
	return all
}

// heldSuspect reports whether a held part is a suspect of the crash.
func (t *Table) heldSuspect(of *crash) bool {
	for part := range t.held {
		if of.suspects[part] != nil {
			return true
		}
	}
	return false
}

// add adds the next crash in order of time. It belongs to the last incident if the part's requests
// were all sent to the replica before the first crash of that incident: replicas that crash together,
// as with their rack, count once, as do those that a part reaches before anything is known.
func (e *evidence) add(next *crash) {
	e.crashes = append(e.crashes, next)
	last := len(e.incidents) - 1
	if last < 0 || next.suspects[e.part].sentAt > e.incidents[last].at-simultaneityMargin {
		e.incidents = append(e.incidents, next)
	}
}

// judge returns the finding for a part.
func (t *Table) judge(own *evidence, all map[Key]*evidence, required int) Finding {
	found := Finding{
		Part: own.part, Service: own.crashes[0].service, Verdict: Watched, Callers: own.callers(),
		FirstAt: own.crashes[0].at, LastAt: own.crashes[len(own.crashes)-1].at,
	}
	for _, known := range own.incidents {
		found.Replicas = append(found.Replicas, known.process)
	}
	for _, known := range own.crashes {
		found.Crashed = append(found.Crashed, known.process)
	}
	isOften := len(own.incidents) >= required || len(own.crashes) >= manyCrashes
	lead := own.lead(all)
	found.Overtaken = lead < 0
	switch {
	case !isOften || lead < 0:
	case lead >= clearLead || lead > 0 && len(own.crashes) >= decisiveCrashes:
		found.Verdict = Harmful
		if t.serviceStartedAt[found.Service] <= found.FirstAt {
			// Nothing without the part was answered either, as when all replicas fail.
			found.Verdict = Doubtful
		}
	case len(own.crashes) >= decisiveCrashes:
		found.Verdict = Doubtful
	}
	return found
}

// lead returns by how many crashes the part is ahead of every other suspect of its crashes; negative
// if another one is ahead. A part that is the only suspect leads by all its crashes.
func (e *evidence) lead(all map[Key]*evidence) int {
	lead := len(e.crashes)
	for _, known := range e.crashes {
		for part := range known.suspects {
			if other := all[part]; part != e.part && other != nil {
				lead = min(lead, len(e.crashes)-len(other.crashes))
			}
		}
	}
	return lead
}

// callers returns the callers that a verdict binds, nil for all of them. A caller is bound by
// repeated crashes of its own requests. Crashes of several callers show that the part is the cause
// whoever sends it; those of one caller may be due to what else its requests contain.
func (e *evidence) callers() []Key {
	crashes := map[Key]int{}
	for _, known := range e.crashes {
		for _, caller := range known.suspects[e.part].callers {
			crashes[caller]++
		}
	}
	var bound []Key
	for caller, count := range crashes {
		if count >= repeatedCrashes {
			bound = append(bound, caller)
		}
	}
	if len(crashes) >= callersForAll || len(bound) >= repeatedCrashes {
		return nil
	}
	slices.SortFunc(bound, func(a, b Key) int { return slices.Compare(a[:], b[:]) })
	if len(bound) == 0 {
		return []Key{}
	}
	return bound
}
