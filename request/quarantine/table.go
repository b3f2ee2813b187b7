package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Limits and thresholds of a Table. Three failures are more than a bystander meets by chance while
// its route allows two attempts, and no more than users tolerate.
const (
	// CondemningEnds is the number of failed replicas from which a request is considered harmful.
	CondemningEnds = 3
	// WatchedEnds is the number of failures from which a request is watched.
	WatchedEnds = 2
	// certainFailures is the number of failures from which a process with a partial view considers
	// a request harmful.
	certainFailures = 4
	// maxFailures bounds the failures kept per request, maxRequests the requests.
	maxFailures = 8
	maxRequests = 4096
	// failureRetention is how long a failure counts.
	failureRetention = time.Hour
	// simultaneityMargin is how long before the first failure of an incident a run must have been
	// sent to count as in flight then: reports from different proxies arrive some milliseconds
	// apart.
	simultaneityMargin = 5 * time.Millisecond
	// suspectDuration is how long a request remains suspect after a failure if it is not sent
	// again. Callers retry within their deadlines, which are seconds.
	suspectDuration = 30 * time.Second
	// clearanceDuration is how long failures of a request are ignored after it was served: it is
	// not what makes the replicas fail.
	clearanceDuration = time.Minute
)

// Standing is a verdict on a request.
type Standing uint8

// Standings, from harmless to harmful.
const (
	Free      Standing = iota
	Watched            // replicas failed while it ran, too few to decide
	Settling           // enough of them failed, but reports on bystanders may still arrive
	Condemned          // it makes replicas fail
)

// Table records which requests were running when replicas failed. It is not safe for concurrent
// use.
//
// Replicas that fail together, with their machine or rack, count as one incident. These are the
// replicas to which the request was sent before the first of them failed. Whether a request makes
// replicas fail shows when it is sent again.
//
// A failure counts against one request only, the one that is well ahead of all others in flight
// there. So a bystander is not found harmful for what another request did.
type Table struct {
	requests map[Fingerprint]*entry
	// inFlightAt maps failed replicas to the requests that were in flight there.
	inFlightAt map[string]map[Fingerprint]struct{}
	// cleared holds the requests that were served recently.
	cleared clearances
	// sequence is the number of the next failure.
	sequence uint64
	// changes counts the changes of the table's content.
	changes uint64
}

type entry struct {
	failures []failure // of different processes, in order of time
	holds    []hold
	about    About
}

type failure struct {
	replica   string
	sent      time.Duration // when the request was sent to the replica
	at        time.Duration
	hadOutput bool
	prefill   bool
	alone     bool
	listens   bool
	// uniqueName is true if the replica name identifies a single process. observationIDs holds the
	// first observation numbers reported for the failure.
	uniqueName     bool
	observationIDs []uint64
	// reported is true if the failure is known only from other members.
	reported bool
	// fromRecord is true until an observer reports the failure; notedAt is when the record was
	// read.
	fromRecord bool
	notedAt    time.Duration
	// sequence numbers the table's failures in order of arrival.
	sequence uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{requests: map[Fingerprint]*entry{}, inFlightAt: map[string]map[Fingerprint]struct{}{}, cleared: clearances{}}
}

// News returns a counter that changes whenever the table's content does. Reports without new
// information leave it unchanged, so that they need not be passed on.
func (t *Table) News() uint64 { return t.changes }

// Empty reports whether the table holds no failures.
func (t *Table) Empty() bool { return len(t.requests) == 0 }

// Note records a suspected replica failure, unless the request was served recently.
func (t *Table) Note(now time.Duration, seen Evidence) { t.noteAt(now, now, seen) }

// NoteAged is Note for a failure of the given age. It ignores ages outside the retention time.
func (t *Table) NoteAged(now, age time.Duration, seen Evidence) {
	if age >= 0 && age < failureRetention {
		t.noteAt(now, now-age, seen)
	}
}

func (t *Table) noteAt(now, at time.Duration, seen Evidence) {
	if t.cleared.has(now, seen.Fingerprint) {
		return
	}
	before := t.changes
	known := t.requests[seen.Fingerprint]
	if known == nil {
		t.makeRoom()
		known = &entry{}
		t.requests[seen.Fingerprint] = known
	}
	incoming := failure{
		replica: seen.Replica, sent: at - seen.Ran, at: at, hadOutput: seen.Began, prefill: seen.Read, alone: seen.Alone,
		listens: seen.Listens, uniqueName: seen.Once, reported: seen.Told, fromRecord: seen.fromRecord, sequence: t.sequence,
	}
	if seen.fromRecord {
		incoming.notedAt = now
	}
	if seen.Sight != 0 {
		incoming.observationIDs = []uint64{seen.Sight}
	}
	incoming.replica = t.processNameFor(known, incoming)
	if known.has(incoming.replica) {
		if known.mergeReport(incoming) {
			t.changes++
		}
		return
	}
	known.about = seen.About
	known.insert(incoming)
	t.sequence++
	t.addInFlight(seen.Fingerprint, incoming.replica)
	for len(known.failures) > maxFailures {
		t.drop(seen.Fingerprint, known.leastUsefulReplica())
	}
	if t.changes == before {
		t.changes++
		return
	}
	// The new failure replaced another. This does not count as a change, or two full tables would
	// keep sending each other what the other has just dropped.
	t.changes = before
}

// Alive identifies a replica that was suspected to have failed and has answered since.
type Alive struct {
	Replica string
	// For is the minimum time for which the answering process has been running. An earlier process
	// with the same name may have failed.
	For time.Duration
}

// Ever is the Alive.For of a process that is the only one with its name.
const Ever = failureRetention

// maxReportDelay is the longest delay that is assumed between a replica failure and a report of
// it. A process that answers and has been running for at least that much longer refutes the
// failure.
const maxReportDelay = 250 * time.Millisecond

// Lives drops the failures of a replica that happened while the answering process was already
// running.
func (t *Table) Lives(now time.Duration, alive Alive) {
	for _, name := range t.processNames(alive.Replica) {
		for fingerprint := range t.inFlightAt[name] {
			if failed := t.requests[fingerprint].failureOf(name); now-alive.For+maxReportDelay <= failed.at {
				t.drop(fingerprint, name)
			}
		}
	}
}

// HasEnd reports whether a replica is known to have failed while it ran the request.
func (t *Table) HasEnd(fingerprint Fingerprint, replica string) bool {
	known := t.requests[fingerprint]
	return known != nil && known.has(replica)
}

// Forget drops the failures and holds of a request. A clearance is kept, since the request is just
// as likely to be in flight at the next failures.
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

// Expire drops expired failures and clearances.
func (t *Table) Expire(now time.Duration) {
	t.cleared.expire(now)
	for fingerprint, known := range t.requests {
		for len(known.failures) > 0 && now-known.failures[0].at >= failureRetention {
			t.drop(fingerprint, known.failures[0].replica)
		}
	}
}

// IsTried reports whether a request is due for a trial: enough replicas failed to find it harmful
// if they had failed at different times. The loss of a rack looks the same. Sending a single copy
// again shows whether the request is the cause. Many copies at once must not be sent, since each
// would bring down a replica before the first has shown anything.
//
// Failures shared with a request that was held since do not count: that request causes no more
// failures, and a trial of the bystander would refuse its callers for nothing. Failures of
// replicas that keep listening do not count either.
func (t *Table) IsTried(fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	if known == nil || !known.hasManyFailures() {
		return false
	}
	own := slices.DeleteFunc(slices.Clone(known.failures), func(failed failure) bool {
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

// Tried returns the requests that are due for a trial on their own, ordered by fingerprint.
func (t *Table) Tried() []Fingerprint {
	var tried []Fingerprint
	for fingerprint := range t.requests {
		if t.IsTried(fingerprint) {
			tried = append(tried, fingerprint)
		}
	}
	slices.SortFunc(tried, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	return tried
}

// EndedAlone reports whether replicas failed at several different times while they ran the
// request, one of them with nothing else in flight.
func (t *Table) EndedAlone(fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	return known != nil && known.failedAlone()
}

// IsSuspect reports whether the request may have caused a recent replica failure: the replica
// failed before the request produced output, or it was not the only one, and the request was not
// cleared since.
func (t *Table) IsSuspect(now time.Duration, fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	if known == nil || len(known.failures) == 0 || now-known.lastAt() > suspectDuration {
		return false
	}
	return len(known.failures) > 1 || !known.failures[0].hadOutput
}

// Lone returns the recent suspects with a single incident that includes strong evidence: no output
// was produced and nothing listens at the replica's address any more. The most recent come first.
func (t *Table) Lone(now time.Duration) []Fingerprint {
	var found []Fingerprint
	for fingerprint, known := range t.requests {
		if t.IsSuspect(now, fingerprint) && len(known.incidents()) < WatchedEnds && slices.ContainsFunc(known.failures, failure.isStrong) {
			found = append(found, fingerprint)
		}
	}
	slices.SortFunc(found, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(t.requests[b].lastAt(), t.requests[a].lastAt()), slices.Compare(a[:], b[:]))
	})
	return found
}

// isStrong reports whether the failure is strong evidence that the request caused it.
func (f failure) isStrong() bool { return !f.hadOutput && !f.prefill && !f.listens }

// IsSeries reports whether replicas failed at several different times while they ran the request.
func (t *Table) IsSeries(fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	return known != nil && len(known.incidents()) >= WatchedEnds
}

// IsCertain reports whether a request is harmful by a stricter rule, for a process with a partial
// view. The rule requires one more failure, counts no prefill runs and ignores failures that any
// other request explains equally well.
func (t *Table) IsCertain(fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	if known == nil {
		return false
	}
	return len(t.unexplained(fingerprint, known.withoutPrefill(), func(other *entry) bool {
		return other.rank().compare(known.rank()) >= 0
	})) >= certainFailures
}

// Rest returns how long a harmful request remains so if no more replicas fail.
func (t *Table) Rest(now time.Duration, fingerprint Fingerprint) time.Duration {
	known := t.requests[fingerprint]
	if known == nil {
		return 0
	}
	incidents := known.incidents()
	if len(incidents) < CondemningEnds {
		return 0
	}
	return failureRetention - (now - incidents[len(incidents)-CondemningEnds][0].at)
}

// Watched returns the requests whose standing is not Free, ordered by fingerprint.
func (t *Table) Watched(now time.Duration) []Fingerprint {
	var watched []Fingerprint
	for fingerprint := range t.requests {
		if t.Standing(now, fingerprint) != Free {
			watched = append(watched, fingerprint)
		}
	}
	slices.SortFunc(watched, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	return watched
}

// Weak returns the replicas whose failures are weak evidence against the request, oldest first.
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

// Ends returns the replicas that failed while they ran the request, oldest first, and what
// identifies the request to operators. It returns one replica per incident, or all of them if many
// failed in fewer than CondemningEnds incidents.
func (t *Table) Ends(fingerprint Fingerprint) ([]string, About) {
	known := t.requests[fingerprint]
	if known == nil {
		return nil, About{}
	}
	var replicas []string
	incidents := known.incidents()
	for _, incident := range incidents {
		if !known.hasManyFailures() || len(incidents) >= CondemningEnds {
			incident = incident[:1]
		}
		for _, failed := range incident {
			replicas = append(replicas, failed.replica)
		}
	}
	return replicas, known.about
}

// CountEnds returns the number of replicas that failed while they ran the request, including those
// that failed together.
func (t *Table) CountEnds(fingerprint Fingerprint) int {
	if known := t.requests[fingerprint]; known != nil {
		return len(known.failures)
	}
	return 0
}

// FirstEnd returns the time of the first known failure of a request.
func (t *Table) FirstEnd(fingerprint Fingerprint) (at time.Duration, found bool) {
	known := t.requests[fingerprint]
	if known == nil || len(known.failures) == 0 {
		return 0, false
	}
	return known.failures[0].at, true
}

// insert adds a failure in order of time.
func (e *entry) insert(failed failure) {
	after := slices.IndexFunc(e.failures, func(other failure) bool { return other.at > failed.at })
	if after < 0 {
		after = len(e.failures)
	}
	e.failures = slices.Insert(e.failures, after, failed)
}

// leastUsefulReplica returns the replica whose failure is least worth keeping: one of several that
// failed together, otherwise the one that failed first.
func (e *entry) leastUsefulReplica() string {
	for _, incident := range e.incidents() {
		if len(incident) > 1 {
			return incident[len(incident)-1].replica
		}
	}
	return e.failures[0].replica
}

// withoutPrefill returns a copy of the entry without failures of prefill runs.
func (e *entry) withoutPrefill() *entry {
	kept := *e
	kept.failures = slices.DeleteFunc(slices.Clone(e.failures), func(failed failure) bool { return failed.prefill })
	return &kept
}

func (e *entry) has(replica string) bool {
	return e.indexOf(replica) >= 0
}

// failureOf returns the failure of the given replica, which must be known.
func (e *entry) failureOf(replica string) failure {
	return e.failures[e.indexOf(replica)]
}

// indexOf returns the index of the replica's failure, or a negative number if there is none.
func (e *entry) indexOf(replica string) int {
	return slices.IndexFunc(e.failures, func(other failure) bool { return other.replica == replica })
}

func (e *entry) lastAt() time.Duration { return e.failures[len(e.failures)-1].at }

// drop removes one failure of a request, and the request along with its last failure.
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

func (e *entry) isEvictedBefore(other *entry) bool {
	if len(e.failures) != len(other.failures) {
		return len(e.failures) < len(other.failures)
	}
	return e.lastAt() < other.lastAt()
}
