package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Limits and thresholds of a Table.
const (
	// HarmfulIncidents is the number of incidents with strong evidence from which a request is
	// considered harmful (see harmfulWeight for weaker evidence). Three are more than a bystander
	// meets by chance while its route allows two attempts, and no more than users tolerate.
	HarmfulIncidents = 3
	// WatchedIncidents is the number of incidents from which a request is watched.
	WatchedIncidents = 2
	// certainFailures is the number of incidents from which a process with a partial view, which
	// does not receive the failures observed by all others, considers a request harmful.
	certainFailures = 4
	// maxFailures bounds the failures kept per request.
	maxFailures = 8
	// maxRequests bounds the requests with failures, and separately those that were cleared.
	maxRequests = 4096
	// failureRetention is how long a failure counts.
	failureRetention = time.Hour
	// simultaneityMargin is how long before the first failure of an incident (see Table) a run must
	// have been sent to count as in flight then, because reports from different proxies arrive some
	// milliseconds apart.
	simultaneityMargin = 5 * time.Millisecond
	// suspectDuration is how long a request remains suspect after a failure. It exceeds the
	// deadlines of callers, which are seconds, so that it covers their retries.
	suspectDuration = 30 * time.Second
	// clearanceDuration is how long failures of a request are ignored after it was served, because
	// a request that was answered is not the cause of the failures.
	clearanceDuration = time.Minute
)

// Verdict is the judgement of a request by the evidence against it.
type Verdict uint8

// Standings, from harmless to harmful.
const (
	Free     Verdict = iota
	Watched          // replicas failed while it ran, too few to decide or explained by another request
	Settling         // it is found harmful, but reports that change this may still arrive
	Harmful          // harmful: it makes replicas fail
)

// Table records which requests were running when replicas failed. It is not safe for concurrent
// use.
//
// Replicas that fail together, for example with their machine or rack, count as one incident. An
// incident consists of the failed replicas to which the request was sent before the first of them
// failed. So only a request that was sent again after a failure can have a second incident.
//
// A failure counts against a request only if the request has a sufficient lead over all others in
// flight at that replica (see requiredLead), so that a bystander is not found harmful for what
// another request did. From decisiveFailures incidents on, it is enough that no other is ahead.
type Table struct {
	requests map[Fingerprint]*entry
	// inFlightAt maps the process names of failed replicas to the requests that were in flight
	// there at the failure.
	inFlightAt map[string]map[Fingerprint]struct{}
	// cleared holds the requests that were served recently.
	cleared clearances
	// hasOtherCause reports which failures do not count against a request; nil if all do.
	hasOtherCause func(Failure) bool
	// sequence is the number of the next failure.
	sequence uint64
	// changes counts the changes of the table's content.
	changes uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{requests: map[Fingerprint]*entry{}, inFlightAt: map[string]map[Fingerprint]struct{}{}, cleared: clearances{}}
}

// Changes returns a counter that changes whenever the table's content does. Repeated reports of an
// observed failure leave it unchanged, even if they update details, as they need not be passed on.
func (t *Table) Changes() uint64 { return t.changes }

// Empty reports whether the table holds no failures. It may still hold cleared requests.
func (t *Table) Empty() bool { return len(t.requests) == 0 }

// RecordFailure records a suspected replica failure, unless the request was served recently.
func (t *Table) RecordFailure(now time.Duration, evidence Evidence) { t.noteAt(now, now, evidence) }

// NoteAged is RecordFailure for a failure of the given age. It ignores negative ages and those
// beyond the retention time.
func (t *Table) NoteAged(now, age time.Duration, evidence Evidence) {
	if age >= 0 && age < failureRetention {
		t.noteAt(now, now-age, evidence)
	}
}

// noteAt records at now a failure that happened at the time at.
func (t *Table) noteAt(now, at time.Duration, evidence Evidence) {
	if t.cleared.ignores(now, evidence.Fingerprint) {
		return
	}
	before := t.changes
	known := t.requests[evidence.Fingerprint]
	if known == nil {
		t.makeRoom()
		known = &entry{}
		t.requests[evidence.Fingerprint] = known
	}
	incoming := failure{
		replica: evidence.Replica, sent: at - evidence.RunTime, at: at, hadOutput: evidence.HadOutput, prefill: evidence.Read, alone: evidence.OnlyInFlight,
		listens: evidence.StillListening, uniqueName: evidence.UniqueName, reported: evidence.ReportedByOther, fromRecord: evidence.fromRecord, sequence: t.sequence,
	}
	if evidence.fromRecord {
		incoming.notedAt = now
	}
	if evidence.ObservationID != 0 {
		incoming.observationIDs = []uint64{evidence.ObservationID}
	}
	incoming.replica = t.processNameFor(known, incoming)
	if known.has(incoming.replica) {
		if known.mergeReport(incoming) {
			t.changes++
		}
		return
	}
	known.requestInfo = evidence.RequestInfo
	known.insert(incoming)
	t.sequence++
	t.addInFlight(evidence.Fingerprint, incoming.replica)
	for len(known.failures) > maxFailures {
		t.drop(evidence.Fingerprint, known.leastUsefulReplica())
	}
	if t.changes == before {
		t.changes++
		return
	}
	// A failure or request was dropped for the new one. This does not count as a change: otherwise
	// two full tables would endlessly send each other the failures that the other one drops.
	t.changes = before
}

// LiveReplica describes an answer of a replica that was suspected to have failed.
type LiveReplica struct {
	Replica string
	// RunningFor says that the answering process has been running for at least this long. An
	// earlier process with the same name may have failed before.
	RunningFor time.Duration
}

// AnyAge is the LiveReplica.RunningFor of a process that is the only one with its name. It covers
// all failures, because none is kept longer than failureRetention.
const AnyAge = failureRetention

// maxReportDelay is the longest delay that is assumed between a replica failure and a report of it.
// A process that answers refutes a failure if it started at least this long before the reported
// time of the failure.
const maxReportDelay = 250 * time.Millisecond

// RefuteFailures drops the failures of a replica that happened while the answering process was
// already running.
func (t *Table) RefuteFailures(now time.Duration, alive LiveReplica) {
	for _, name := range t.processNames(alive.Replica) {
		for fingerprint := range t.inFlightAt[name] {
			if failed := t.requests[fingerprint].failureOf(name); now-alive.RunningFor+maxReportDelay <= failed.at {
				t.drop(fingerprint, name)
			}
		}
	}
}

// HasFailure reports whether a replica is known to have failed while it ran the request.
func (t *Table) HasFailure(fingerprint Fingerprint, replica string) bool {
	known := t.requests[fingerprint]
	return known != nil && known.has(replica)
}

// Forget drops the failures and holds of a request. Its clearance is kept, so that it is not
// suspected for the next failures that it is in flight at by chance.
func (t *Table) Forget(fingerprint Fingerprint) {
	known := t.requests[fingerprint]
	if known == nil {
		return
	}
	for _, failed := range known.failures {
		t.removeInFlight(fingerprint, failed.replica)
	}
	delete(t.requests, fingerprint)
	t.changes++
}

// Expire drops expired failures and clearances, and requests without any failures left.
func (t *Table) Expire(now time.Duration) {
	t.cleared.expire(now)
	for fingerprint, known := range t.requests {
		for len(known.failures) > 0 && now-known.failures[0].at >= failureRetention {
			t.drop(fingerprint, known.failures[0].replica)
		}
	}
}

// NeedsTrial reports whether a request is due for a trial, which means that only a single copy of
// it is sent, to find out whether a replica fails again. It is due if manyFailures replicas failed
// while they ran it, which would be enough to find it harmful had they failed at different times; a
// lost rack or machine causes the same failures. If many copies were sent at once, each could make
// a replica fail before the result of the first is known.
//
// Failures shared with another request that is or was held do not count, because a held request
// causes no more failures, and a trial of the bystander would refuse its callers needlessly. Weak
// failures, such as those of replicas that keep listening, do not count either.
func (t *Table) NeedsTrial(fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	if known == nil || !known.hasManyFailures() {
		return false
	}
	own := slices.DeleteFunc(slices.Clone(t.counted(fingerprint, known).failures), func(failed failure) bool {
		return t.sharedWithHeldRequest(fingerprint, failed.replica)
	})
	return countStrong(own) >= manyFailures
}

// sharedWithHeldRequest reports whether another request that is or was held was in flight at the
// replica when it failed.
func (t *Table) sharedWithHeldRequest(fingerprint Fingerprint, replica string) bool {
	for other := range t.inFlightAt[replica] {
		if other != fingerprint && len(t.requests[other].holds) > 0 {
			return true
		}
	}
	return false
}

// NeedingTrial returns the requests that are due for a trial, ordered by fingerprint.
func (t *Table) NeedingTrial() []Fingerprint {
	var due []Fingerprint
	for fingerprint := range t.requests {
		if t.NeedsTrial(fingerprint) {
			due = append(due, fingerprint)
		}
	}
	slices.SortFunc(due, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	return due
}

// FailedAlone reports whether the request has at least two incidents and one of its failures
// happened with nothing else in flight.
func (t *Table) FailedAlone(fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	return known != nil && t.counted(fingerprint, known).failedAlone()
}

// IsSuspect reports whether the request may have caused a replica failure in the last
// suspectDuration: several replicas failed, or one did before the run produced output. A request
// that was served since has no failures left and is no suspect.
func (t *Table) IsSuspect(now time.Duration, fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	if known == nil || len(known.failures) == 0 || now-known.lastAt() > suspectDuration {
		return false
	}
	return len(known.failures) > 1 || !known.failures[0].hadOutput
}

// SingleIncidentSuspects returns the suspects (see IsSuspect) with a single incident that includes
// strong evidence. The most recent come first.
func (t *Table) SingleIncidentSuspects(now time.Duration) []Fingerprint {
	var found []Fingerprint
	for fingerprint, known := range t.requests {
		if t.IsSuspect(now, fingerprint) && len(known.incidents()) < WatchedIncidents && slices.ContainsFunc(known.failures, failure.isStrong) {
			found = append(found, fingerprint)
		}
	}
	slices.SortFunc(found, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(t.requests[b].lastAt(), t.requests[a].lastAt()), slices.Compare(a[:], b[:]))
	})
	return found
}

// FailedRepeatedly reports whether the request has at least two incidents.
func (t *Table) FailedRepeatedly(fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	return known != nil && len(known.incidents()) >= WatchedIncidents
}

// IsHarmfulOnPartialView reports whether a request is harmful by a rule for a process with a partial
// view. Beyond what Verdict requires, it requires one more incident, counts no prefill runs, and
// ignores incidents in which another request of the same or a higher rank was in flight, without
// regard to holds.
func (t *Table) IsHarmfulOnPartialView(fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	if known == nil {
		return false
	}
	if harmful, _ := t.isHarmful(fingerprint, known); !harmful {
		return false
	}
	known = t.counted(fingerprint, known)
	own := t.unexplained(fingerprint, known.withoutPrefill(), func(other *entry) bool {
		return t.explains(other, known) || other.rank().compare(known.rank()) >= 0
	})
	return len(own) >= certainFailures
}

// HarmfulFor returns how long a harmful request still has HarmfulIncidents incidents if no more
// replicas fail. It returns 0 if the request has fewer incidents, even if two were enough to find
// it harmful, and may be negative until Expire is called.
func (t *Table) HarmfulFor(now time.Duration, fingerprint Fingerprint) time.Duration {
	known := t.requests[fingerprint]
	if known == nil {
		return 0
	}
	incidents := known.incidents()
	if len(incidents) < HarmfulIncidents {
		return 0
	}
	return failureRetention - (now - incidents[len(incidents)-HarmfulIncidents][0].at)
}

// Watched returns the requests whose verdict is not Free, including harmful ones, ordered by
// fingerprint.
func (t *Table) Watched(now time.Duration) []Fingerprint {
	var watched []Fingerprint
	for fingerprint := range t.requests {
		if t.Verdict(now, fingerprint) != Free {
			watched = append(watched, fingerprint)
		}
	}
	slices.SortFunc(watched, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	return watched
}

// Weak returns the process names of the replicas whose failures are weak evidence against the
// request, oldest first.
func (t *Table) Weak(fingerprint Fingerprint) []string {
	known := t.requests[fingerprint]
	if known == nil {
		return nil
	}
	var weak []string
	for _, failed := range known.failures {
		if !failed.isStrong() {
			weak = append(weak, failed.replica)
		}
	}
	return weak
}

// FailedReplicas returns the process names of the replicas that failed while they ran the request,
// oldest first, and the description of the request. It returns one replica per incident. If many
// replicas failed in fewer than HarmfulIncidents incidents it returns all of them, so that a record
// of them gives the same verdict.
func (t *Table) FailedReplicas(fingerprint Fingerprint) ([]string, RequestInfo) {
	known := t.requests[fingerprint]
	if known == nil {
		return nil, RequestInfo{}
	}
	var replicas []string
	incidents := known.incidents()
	for _, incident := range incidents {
		if !known.hasManyFailures() || len(incidents) >= HarmfulIncidents {
			incident = incident[:1]
		}
		for _, failed := range incident {
			replicas = append(replicas, failed.replica)
		}
	}
	return replicas, known.requestInfo
}

// CountFailures returns the number of replicas that failed while they ran the request, including
// those that failed together.
func (t *Table) CountFailures(fingerprint Fingerprint) int {
	if known := t.requests[fingerprint]; known != nil {
		return len(known.failures)
	}
	return 0
}

// FirstFailureAt returns the time of the first known failure of a request.
func (t *Table) FirstFailureAt(fingerprint Fingerprint) (at time.Duration, found bool) {
	known := t.requests[fingerprint]
	if known == nil || len(known.failures) == 0 {
		return 0, false
	}
	return known.failures[0].at, true
}

// LastFailureAt returns the time of the latest known failure of a request.
func (t *Table) LastFailureAt(fingerprint Fingerprint) (at time.Duration, found bool) {
	known := t.requests[fingerprint]
	if known == nil || len(known.failures) == 0 {
		return 0, false
	}
	return known.lastAt(), true
}

// drop removes one failure of a request, and the request if no failure is left.
func (t *Table) drop(fingerprint Fingerprint, replica string) {
	known := t.requests[fingerprint]
	known.failures = slices.DeleteFunc(known.failures, func(failed failure) bool { return failed.replica == replica })
	t.removeInFlight(fingerprint, replica)
	t.changes++
	if len(known.failures) == 0 {
		delete(t.requests, fingerprint)
	}
}

func (t *Table) removeInFlight(fingerprint Fingerprint, replica string) {
	delete(t.inFlightAt[replica], fingerprint)
	if len(t.inFlightAt[replica]) == 0 {
		delete(t.inFlightAt, replica)
	}
}

// makeRoom evicts a request if the table is full: the one with the fewest failures, so that a
// flood of other requests does not displace a harmful one, and among these the one whose last
// failure is the oldest.
func (t *Table) makeRoom() {
	if len(t.requests) < maxRequests {
		return
	}
	var victim Fingerprint
	var victimEntry *entry
	for fingerprint, known := range t.requests {
		if victimEntry == nil || known.isEvictedBefore(victimEntry) {
			victim, victimEntry = fingerprint, known
		}
	}
	t.Forget(victim)
}
