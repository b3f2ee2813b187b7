package parts

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
)

// Limits of a Table.
const (
	// retention is how long a crash counts.
	retention = time.Hour
	// maxCrashes limits the crashes kept. The oldest are dropped.
	maxCrashes = 64
	// maxSuspects limits the suspects and the cleared parts of one crash, each.
	maxSuspects = 4096
	// maxCallers limits the callers kept for a suspect of one crash, and maxRequests the requests.
	maxCallers  = 8
	maxRequests = 8
	// startRetention is how long a start clears parts of earlier crashes that are reported later.
	startRetention = time.Minute
	// maxStarts limits the parts whose last start is kept.
	maxStarts = 8192
	// maxReportDelay is the longest delay that is assumed between a crash and its observation. A run
	// that was sent later than that ran in another process.
	maxReportDelay = 250 * time.Millisecond
)

// Table holds the crashes of replicas with their suspects. It is not safe for concurrent use.
type Table struct {
	crashes []*crash // in order of time
	// startedAt is the time of the last known start with a part, serviceStartedAt that of the last
	// known start of any run of a service.
	startedAt        map[Key]time.Duration
	serviceStartedAt map[string]time.Duration
	// held and tried are the parts that the caller holds or tries.
	held, tried map[Key]struct{}
	// found are the parts that the caller has found harmful.
	found map[Key]struct{}
	// changes counts the changes of the table's content.
	changes uint64
}

// crash is the crash of one process.
type crash struct {
	process    string
	service    string
	uniqueName bool
	at         time.Duration
	// confirmed is true once nothing listened at the replica's address, or if the crash is on record.
	confirmed bool
	// observed is true if this table was told of the crash by an observer and not by a record.
	observed bool
	// notedAt is when the crash was read from a record; 0 if it was observed first.
	notedAt  time.Duration
	suspects map[Key]*suspect
	// begun holds the parts with which the process had produced output.
	begun map[Key]struct{}
}

// suspect is a part with which the process of a crash had a request but had produced no output.
type suspect struct {
	sentAt   time.Duration // when the last such request was sent to the replica
	callers  []Key
	requests []quarantine.Fingerprint
	// recorded says what the record says of the crash, whose exact time it does not contain.
	recorded recordedIncident
}

// recordedIncident says whether a crash is on record for a part, and as what.
type recordedIncident uint8

const (
	notRecorded      recordedIncident = iota
	recordedFirst                     // the first crash of an incident
	recordedTogether                  // in one incident with an earlier crash
)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{startedAt: map[Key]time.Duration{}, serviceStartedAt: map[string]time.Duration{}, held: map[Key]struct{}{}, tried: map[Key]struct{}{}, found: map[Key]struct{}{}}
}

// Changes returns a counter that changes whenever the table's content does.
func (t *Table) Changes() uint64 { return t.changes }

// IsEmpty reports whether the table holds no crash with a suspect.
func (t *Table) IsEmpty() bool {
	return !slices.ContainsFunc(t.crashes, func(known *crash) bool { return len(known.suspects) > 0 })
}

// Apply adds the observations of a report.
func (t *Table) Apply(now time.Duration, report Report) {
	for _, observed := range report.Crashes {
		t.addCrash(now, observed)
	}
	for _, observed := range report.Starts {
		t.addStart(now, observed)
	}
}

func (t *Table) addCrash(now time.Duration, observed Crash) {
	if observed.Age < 0 || observed.Age >= retention || len(observed.Parts) == 0 {
		return
	}
	at := now - observed.Age
	sentAt := at - observed.RunTime
	known := t.crashOf(observed, sentAt, at)
	if known == nil {
		known = t.insert(&crash{process: observed.Replica, service: observed.Service, uniqueName: observed.UniqueName, at: at})
	}
	if known.at > at || !known.observed && known.at < at { // the record has no exact time
		known.at = at
		t.sort()
	}
	known.observed = true
	known.uniqueName = known.uniqueName || observed.UniqueName
	if !observed.MayBeAlive && !known.confirmed {
		known.confirmed = true
		t.changes++
	}
	for _, part := range observed.Parts[:min(len(observed.Parts), MaxPartsPerRun)] {
		if observed.Begun {
			t.clear(known, part)
		} else {
			t.suspect(known, part, observed.Caller, sentAt)
			t.addRequest(known, part, observed.Request)
		}
	}
}

// crashOf returns the known crash of the process that a run was sent to at sentAt and that crashed
// at about the time at, or nil. Processes may share a name unless it is unique: a run that was sent
// after a crash was sent to a later process.
func (t *Table) crashOf(observed Crash, sentAt, at time.Duration) *crash {
	for _, known := range t.crashes {
		if known.process != observed.Replica {
			continue
		}
		isUnique := observed.UniqueName || known.uniqueName
		if isUnique || sentAt <= known.at+maxReportDelay && known.at-at <= maxReportDelay {
			return known
		}
	}
	return t.restoredCrashOf(observed, sentAt)
}

// restoredCrashOf returns a crash that is known from a record alone, and that the observed one may be, or nil. The record
// has no exact time, so a run that was sent before the record was read may have been one of that crash.
func (t *Table) restoredCrashOf(observed Crash, sentAt time.Duration) *crash {
	for _, known := range t.crashes {
		if !known.observed && known.process == observed.Replica && sentAt <= known.notedAt+maxReportDelay && known.hasSuspect(observed.Parts) {
			return known
		}
	}
	return nil
}

// hasSuspect reports whether any of the parts is a suspect of the crash.
func (c *crash) hasSuspect(listed []Key) bool {
	return slices.ContainsFunc(listed, func(part Key) bool { return c.suspects[part] != nil })
}

// insert adds a crash in order of time and drops the oldest if there are too many.
func (t *Table) insert(added *crash) *crash {
	added.suspects, added.begun = map[Key]*suspect{}, map[Key]struct{}{}
	index, _ := slices.BinarySearchFunc(t.crashes, added.at, func(known *crash, at time.Duration) int { return cmp.Compare(known.at, at) })
	t.crashes = slices.Insert(t.crashes, index, added)
	if len(t.crashes) > maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	t.changes++
	return added
}

// sort brings the crashes into the order of time.
func (t *Table) sort() {
	slices.SortStableFunc(t.crashes, func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
}

// suspect makes a part a suspect of a crash, unless it is cleared of it.
func (t *Table) suspect(of *crash, part, caller Key, sentAt time.Duration) {
	startedAt, started := t.startedAt[part]
	if _, begun := of.begun[part]; begun || started && startedAt > of.at {
		return
	}
	known := of.suspects[part]
	if known == nil {
		if len(of.suspects) >= maxSuspects {
			return
		}
		known = &suspect{sentAt: sentAt}
		of.suspects[part] = known
		t.changes++
	}
	known.sentAt = max(known.sentAt, sentAt)
	if !slices.Contains(known.callers, caller) && len(known.callers) < maxCallers {
		known.callers = append(known.callers, caller)
		t.changes++
	}
}

// addRequest notes which request had a suspect of a crash.
func (t *Table) addRequest(of *crash, part Key, request quarantine.Fingerprint) {
	known := of.suspects[part]
	if known != nil && !slices.Contains(known.requests, request) && len(known.requests) < maxRequests {
		known.requests = append(known.requests, request)
		t.changes++
	}
}

// clear clears a part of a crash.
func (t *Table) clear(of *crash, part Key) {
	if len(of.begun) < maxSuspects {
		of.begun[part] = struct{}{}
	}
	if of.suspects[part] != nil {
		delete(of.suspects, part)
		t.changes++
	}
}

// addStart clears the parts of a run of all crashes before its first output.
func (t *Table) addStart(now time.Duration, observed Start) {
	if observed.Age < 0 || observed.Age >= startRetention {
		return
	}
	at := now - observed.Age
	if known, found := t.serviceStartedAt[observed.Service]; observed.Service != "" && (!found || known < at) {
		t.serviceStartedAt[observed.Service] = at
	}
	for _, part := range observed.Parts[:min(len(observed.Parts), MaxPartsPerRun)] {
		known, found := t.startedAt[part]
		if !found && len(t.startedAt) >= maxStarts {
			continue
		}
		if !found || known < at {
			t.startedAt[part] = at
		}
		for _, earlier := range t.crashes {
			if earlier.at < at && earlier.suspects[part] != nil {
				delete(earlier.suspects, part)
				t.changes++
			}
		}
	}
}

// IsSuspect reports whether the part is a suspect of any crash.
func (t *Table) IsSuspect(part Key) bool {
	return slices.ContainsFunc(t.crashes, func(known *crash) bool { return known.suspects[part] != nil })
}

// LastCrashAt returns the time of the last crash of which the part is a suspect, whether or not another
// part explains it; 0 if there is none.
func (t *Table) LastCrashAt(part Key) time.Duration {
	for _, known := range slices.Backward(t.crashes) {
		if known.suspects[part] != nil {
			return known.at
		}
	}
	return 0
}

// LastStart returns the time of the last known start with a part; found is false if none is known.
func (t *Table) LastStart(part Key) (at time.Duration, found bool) {
	at, found = t.startedAt[part]
	return at, found
}

// Handling says what a caller does with requests that contain a part.
type Handling uint8

// Kinds of handling.
const (
	Sent  Handling = iota
	Tried          // only requests that try the part are sent
	Held           // none is sent
)

// SetHandling notes what is done with requests that contain a part. A held part explains the crashes of
// which it is a suspect, so that they count against no other part.
func (t *Table) SetHandling(part Key, handling Handling) {
	t.setMember(t.held, part, handling == Held)
	t.setMember(t.tried, part, handling == Tried)
}

func (t *Table) setMember(set map[Key]struct{}, part Key, member bool) {
	if _, known := set[part]; known == member {
		return
	}
	t.changes++
	if member {
		set[part] = struct{}{}
		return
	}
	delete(set, part)
}

// SetFound notes whether a part has been found harmful and not been cleared since, whatever is done with
// requests that contain it.
func (t *Table) SetFound(part Key, found bool) { t.setMember(t.found, part, found) }

// HasHarmfulPart reports whether another request, with a part that was found harmful, was in flight at a
// failure. Requests that contain that part themselves do not have another cause than their own.
func (t *Table) HasHarmfulPart(failed quarantine.Failure) bool {
	for part := range t.found {
		if t.isSuspectOf(part, failed) && !t.isInRequest(part, failed.Fingerprint) {
			return true
		}
	}
	return false
}

// isSuspectOf reports whether a part is a suspect of the crash that a failure belongs to. Processes may
// share a name, so the times must agree where both are known.
func (t *Table) isSuspectOf(part Key, failed quarantine.Failure) bool {
	return slices.ContainsFunc(t.crashes, func(known *crash) bool {
		isSameTime := !failed.IsTimeKnown || !known.observed || known.uniqueName || (known.at-failed.At).Abs() <= maxReportDelay
		return known.process == failed.Replica && known.suspects[part] != nil && isSameTime
	})
}

// isInRequest reports whether a request is known to contain a part.
func (t *Table) isInRequest(part Key, request quarantine.Fingerprint) bool {
	return slices.ContainsFunc(t.crashes, func(known *crash) bool {
		return known.suspects[part] != nil && slices.Contains(known.suspects[part].requests, request)
	})
}

// Forget removes a part from all crashes.
func (t *Table) Forget(part Key) {
	t.SetHandling(part, Sent)
	t.SetFound(part, false)
	for _, known := range t.crashes {
		if known.suspects[part] != nil {
			delete(known.suspects, part)
			t.changes++
		}
	}
}

// Expire drops crashes and starts that no longer count.
func (t *Table) Expire(now time.Duration) {
	kept := slices.DeleteFunc(t.crashes, func(known *crash) bool { return now-known.at >= retention })
	if len(kept) != len(t.crashes) {
		t.changes++
	}
	t.crashes = kept
	for part, at := range t.startedAt {
		if now-at >= startRetention {
			delete(t.startedAt, part)
		}
	}
}

// RequestSuspect is a part of a request that is a suspect of a crash.
type RequestSuspect struct {
	Part    Key
	Callers []Key
}

// SinglesIn returns the parts of a request that are suspects of a confirmed crash of the process, and of no other crash.
// Those with which no start is known, which are the likelier causes, come first.
func (t *Table) SinglesIn(request quarantine.Fingerprint, process string) []RequestSuspect {
	var found []RequestSuspect
	for _, known := range t.crashes {
		if known.process != process || !known.confirmed {
			continue
		}
		for part, suspected := range known.suspects {
			if slices.Contains(suspected.requests, request) && t.countCrashes(part) == 1 {
				found = append(found, RequestSuspect{Part: part, Callers: slices.Clone(suspected.callers)})
			}
		}
	}
	hasStarted := func(part Key) int {
		if _, started := t.startedAt[part]; started {
			return 1
		}
		return 0
	}
	slices.SortFunc(found, func(a, b RequestSuspect) int {
		return cmp.Or(hasStarted(a.Part)-hasStarted(b.Part), slices.Compare(a.Part[:], b.Part[:]))
	})
	return found
}

// countCrashes returns of how many crashes the part is a suspect.
func (t *Table) countCrashes(part Key) int {
	count := 0
	for _, known := range t.crashes {
		if known.suspects[part] != nil {
			count++
		}
	}
	return count
}

// Observed returns the crashes that were reported to this table and the latest starts, for a receiver
// that has to rebuild its table.
func (t *Table) Observed(now time.Duration) Report {
	report := Report{Starts: t.latestStarts(now)}
	for _, known := range t.crashes {
		if known.observed {
			report.Crashes = append(report.Crashes, known.observations(now)...)
		}
	}
	return report
}

// maxObservedStarts limits the starts that Observed returns.
const maxObservedStarts = 256

// latestStarts returns the latest starts, one for each part.
func (t *Table) latestStarts(now time.Duration) []Start {
	started := slices.SortedFunc(maps.Keys(t.startedAt), func(a, b Key) int {
		return cmp.Or(cmp.Compare(t.startedAt[b], t.startedAt[a]), slices.Compare(a[:], b[:]))
	})
	var starts []Start
	for _, part := range started[:min(len(started), maxObservedStarts)] {
		starts = append(starts, Start{Run: Run{Parts: []Key{part}}, Age: now - t.startedAt[part]})
	}
	return starts
}

// observations returns the suspects of a crash as observations, in which each caller and each request of a
// part stands.
func (c *crash) observations(now time.Duration) []Crash {
	var all []Crash
	for part, known := range c.suspects {
		for i := range max(len(known.callers), len(known.requests)) {
			observed := Crash{
				Run: Run{Service: c.service, Caller: known.callers[min(i, len(known.callers)-1)], Parts: []Key{part}}, Replica: c.process,
				UniqueName: c.uniqueName, MayBeAlive: !c.confirmed, RunTime: c.at - known.sentAt, Age: now - c.at,
			}
			if len(known.requests) > 0 {
				observed.Request = known.requests[min(i, len(known.requests)-1)]
			}
			all = append(all, observed)
		}
	}
	return all
}
