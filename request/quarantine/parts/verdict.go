package parts

import (
	"cmp"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
)

// Thresholds of a verdict.
const (
	// watchedCrashes is the number of crashes from which a part is watched.
	watchedCrashes = 2
	// harmfulIncidents is the number of incidents from which a part is found harmful, if it stands in
	// clearLead more crashes than any other suspect. A lead of one may be a crash of another cause.
	harmfulIncidents = 3
	clearLead        = 2
	// decisiveCrashes is the number of crashes from which a part without a clear lead is in doubt, and
	// doubtfulCrashes is that number if what observed some of them is gone.
	decisiveCrashes = 5
	doubtfulCrashes = 3
	// fewIncidents incidents are enough from decisiveCrashes crashes on: where many replicas run
	// requests with a part, many crash before the first crash is known.
	fewIncidents = 2
	// partialViewIncidents replaces harmfulIncidents for an observer of a part of all crashes.
	partialViewIncidents = 4
	// settleDelay is how long a crash is known before it counts, in which time others report which
	// parts it clears.
	settleDelay = 250 * time.Millisecond
	// simultaneityMargin is how long before the first crash of an incident a request must have been
	// sent to count as in flight then.
	simultaneityMargin = 5 * time.Millisecond
	// maxIncidentTime is how long after the first crash of an incident a further one may belong to it.
	// Replicas that fail together, as with their rack, do so within less.
	maxIncidentTime = 500 * time.Millisecond
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

// Finding is what a table says about a part with at least watchedCrashes crashes.
type Finding struct {
	Part    Key
	Service string
	Verdict Verdict
	// Overtaken is true if another held part explains these crashes better.
	Overtaken bool
	// Replicas are the processes of these crashes, those that do not count yet included, in order of time. Together are those of them that
	// crashed in one incident with an earlier one.
	Replicas, Together []string
	// FirstAt is the time of the first of these crashes.
	FirstAt time.Duration
	// LastAloneAt is the time of the last one of which no other part is a suspect that is held, on trial, or
	// stands in about as many crashes; IsAlone is false if there is none.
	LastAloneAt time.Duration
	IsAlone     bool
	// Callers are the callers that the finding binds; nil if it binds all of them.
	Callers []Key
}

// evidence is the crashes that count against one part.
type evidence struct {
	part    Key
	crashes []*crash
	// recent are further crashes after those, which do not count yet.
	recent    []*crash
	incidents []*crash // the first crash of each
	together  []string // the processes of the other crashes
}

// Findings returns the findings at now, those with the most crashes first, at most maxFindings.
func (t *Table) Findings(now time.Duration) []Finding {
	return t.findings(now, harmfulIncidents)
}

// PartialFindings is Findings for an observer that sees a part of all crashes.
func (t *Table) PartialFindings(now time.Duration) []Finding {
	return t.findings(now, partialViewIncidents)
}

func (t *Table) findings(now time.Duration, required int) []Finding {
	all := t.collectEvidence(now)
	ranked := rank(all)
	var found []Finding
	for _, own := range ranked {
		found = append(found, t.judge(own, all, ranked, required))
	}
	return found
}

// maxFindings limits the parts that are judged.
const maxFindings = 128

// rank returns the evidence that makes up at least watchedCrashes crashes, that of the most crashes first.
func rank(all map[Key]*evidence) []*evidence {
	var ranked []*evidence
	for _, own := range all {
		if len(own.crashes)+len(own.recent) >= watchedCrashes {
			ranked = append(ranked, own)
		}
	}
	slices.SortFunc(ranked, func(a, b *evidence) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(len(b.recent), len(a.recent)), slices.Compare(a.part[:], b.part[:]))
	})
	return ranked[:min(len(ranked), maxFindings)]
}

// collectEvidence returns the crashes that count against each part, except those that a held part
// explains. Crashes within settleDelay are kept apart.
func (t *Table) collectEvidence(now time.Duration) map[Key]*evidence {
	all := map[Key]*evidence{}
	for _, known := range t.crashes {
		if !known.confirmed {
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
			if now-known.at < settleDelay {
				own.recent = append(own.recent, known)
			} else {
				own.add(known)
			}
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

// add adds the next crash in order of time. It belongs to the last incident if it came soon after the
// first crash of that incident and the part's requests were all sent to the replica before: replicas
// that crash together, as with their rack, count once, as do those that a part reaches before anything
// is known.
func (e *evidence) add(next *crash) {
	e.crashes = append(e.crashes, next)
	if e.isTogether(next) {
		e.together = append(e.together, next.process)
		return
	}
	e.incidents = append(e.incidents, next)
}

// isTogether reports whether the next crash belongs to the last incident.
func (e *evidence) isTogether(next *crash) bool {
	known := next.suspects[e.part]
	if known.recorded != notRecorded {
		return known.recorded == recordedTogether
	}
	if len(e.incidents) == 0 {
		return false
	}
	first := e.incidents[len(e.incidents)-1].at
	return known.sentAt <= first-simultaneityMargin && next.at-first <= maxIncidentTime
}

// judge returns the finding for a part.
func (t *Table) judge(own *evidence, all map[Key]*evidence, ranked []*evidence, required int) Finding {
	crashes := slices.Concat(own.crashes, own.recent)
	found := Finding{
		Part: own.part, Service: serviceOf(crashes), Verdict: Watched, Callers: own.callers(), Together: own.together,
		FirstAt: crashes[0].at,
	}
	found.LastAloneAt, found.IsAlone = t.lastAloneAt(own, ranked)
	for _, known := range crashes {
		found.Replicas = append(found.Replicas, known.process)
	}
	isOften := len(own.incidents) >= required || len(own.incidents) >= fewIncidents && len(own.crashes) >= decisiveCrashes
	lead := own.lead(ranked)
	found.Overtaken = t.isOvertaken(own, all)
	serviceStartedAt, isAnswered := t.serviceStartedAt[found.Service]
	isAnswered = isAnswered && serviceStartedAt > found.FirstAt
	isDoubtful := len(own.crashes) >= decisiveCrashes || len(own.crashes) >= doubtfulCrashes && own.isPartlyLost()
	switch {
	case own.isOfOneRequest():
		// Whatever else the request contains is as likely; it is judged as a whole.
	case isOften && lead >= clearLead && isAnswered:
		found.Verdict = Harmful
	case (isOften || isDoubtful) && lead > -clearLead && (lead >= clearLead || isDoubtful):
		found.Verdict = Doubtful // others are as likely, or nothing without the part is answered either
	}
	return found
}

// serviceOf returns the service of crashes with the same part. The record of a single crash may lack it.
func serviceOf(crashes []*crash) string {
	for _, known := range crashes {
		if known.service != "" {
			return known.service
		}
	}
	return ""
}

// lead returns by how many crashes the part is ahead of every other suspect of its crashes; negative
// if another one is ahead, and clearLead or more if none is close. Suspects that leave harmfulIncidents of
// its crashes unexplained do not matter, so that two harmful parts are both found.
func (e *evidence) lead(ranked []*evidence) int {
	lead := max(len(e.crashes), clearLead)
	for _, other := range ranked {
		difference := len(e.crashes) - len(other.crashes)
		if difference >= clearLead {
			break // all later ones are further behind
		}
		without := e.countWithout(other.part)
		if other != e && without < len(e.crashes) && without < harmfulIncidents {
			lead = min(lead, difference)
		}
	}
	return lead
}

// lastAloneAt returns the time of the last crash of which no other part is a suspect that is held, on
// trial, or close (see clearLead); found is false if there is none.
func (t *Table) lastAloneAt(own *evidence, ranked []*evidence) (at time.Duration, found bool) {
	for _, known := range slices.Backward(own.crashes) {
		isShared := slices.ContainsFunc(ranked, func(other *evidence) bool {
			return other != own && len(own.crashes)-len(other.crashes) < clearLead && known.suspects[other.part] != nil
		})
		if !isShared && !known.hasOther(own.part, t.held) && !known.hasOther(own.part, t.tried) {
			return known.at, true
		}
	}
	return 0, false
}

// hasOther reports whether any part of a set but the given one is a suspect of the crash.
func (c *crash) hasOther(part Key, set map[Key]struct{}) bool {
	for other := range set {
		if other != part && c.suspects[other] != nil {
			return true
		}
	}
	return false
}

// isOvertaken reports whether both this part and another one are held, and too few crashes show that
// this one is harmful too.
func (t *Table) isOvertaken(own *evidence, all map[Key]*evidence) bool {
	if _, held := t.held[own.part]; !held {
		return false
	}
	for part := range t.held {
		other := all[part]
		if part == own.part || other == nil {
			continue
		}
		if alone := own.countWithout(part); alone < harmfulIncidents && alone < other.countWithout(own.part) {
			return true
		}
	}
	return false
}

// countWithout returns how many crashes the other part is no suspect of.
func (e *evidence) countWithout(other Key) int {
	count := 0
	for _, known := range e.crashes {
		if known.suspects[other] == nil {
			count++
		}
	}
	return count
}

// isOfOneRequest reports whether one and the same request was in flight with the part at all crashes.
func (e *evidence) isOfOneRequest() bool {
	if len(e.crashes) == 0 {
		return false
	}
	return slices.ContainsFunc(e.crashes[0].suspects[e.part].requests, func(request quarantine.Fingerprint) bool {
		return request != quarantine.Fingerprint{} && !slices.ContainsFunc(e.crashes, func(known *crash) bool {
			return !slices.Contains(known.suspects[e.part].requests, request)
		})
	})
}

// isPartlyLost reports whether some of the crashes are known from a record alone: what observed them is
// gone, and may have known of more.
func (e *evidence) isPartlyLost() bool {
	return slices.ContainsFunc(e.crashes, func(known *crash) bool { return !known.observed })
}

// callers returns the callers that a verdict binds, nil for all of them. A caller is bound by
// repeated crashes of its own requests. Crashes of several callers show that the part is the cause
// whoever sends it; those of one caller may be due to what else its requests contain.
func (e *evidence) callers() []Key {
	crashes := map[Key]int{}
	for _, known := range slices.Concat(e.crashes, e.recent) {
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
