package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Bounds and thresholds of a Table. They are policy: three ends are what no bystander
// reaches by chance while its route allows two attempts, and users bear as much.
const (
	// CondemningEnds is under how many ended replicas a request is condemned.
	CondemningEnds = 3
	// WatchedEnds is from how many on it is worth watching for.
	WatchedEnds = 2
	// certainEnds is from how many on who sees only a part condemns a request.
	certainEnds = 4
	// maxEnds bounds the ends kept of one request, maxRequests the requests.
	maxEnds     = 8
	maxRequests = 4096
	// memory is how long an end counts.
	memory = time.Hour
	// together is by how much earlier than a first end a run must have been sent to count as
	// in flight then: what is told of by different proxies arrives some milliseconds apart.
	together = 5 * time.Millisecond
	// suspectTime is how long a request that stood at an end is a suspect if it does not
	// come again: callers try again within their deadlines, of seconds.
	suspectTime = 30 * time.Second
	// clearance is how long ends do not count of a request that was served: whatever ends
	// the replicas, it is not this one.
	clearance = time.Minute
)

// Standing is what is believed of a request.
type Standing uint8

// Standings, from harmless to harmful.
const (
	Free      Standing = iota
	Watched            // replicas ended under it, too few to tell
	Settling           // enough of them, and the word on bystanders may still be under way
	Condemned          // it ends replicas
)

// Table keeps under which requests replicas ended. It is not safe for concurrent use.
//
// Replicas that end at once, with their machine or rack, count as one end: those whose run of
// the request was sent before the first of them ended. What ends replicas shows when it is
// sent again.
//
// An end speaks against one request only: against the one that is well ahead of all others
// that were in flight there. So a request that merely stood beside is not condemned for what
// another one did.
type Table struct {
	requests map[Fingerprint]*entry
	// beside holds the requests that were in flight at a replica that ended.
	beside map[string]map[Fingerprint]struct{}
	// cleared holds the requests that were served lately.
	cleared clearances
	// sequence is the next end's.
	sequence uint64
	// news counts what the table did not know before.
	news uint64
}

type entry struct {
	ends  []end // of different replicas, in the order of time
	holds []hold
	about About
}

type end struct {
	replica string
	sent    time.Duration // when the run was
	at      time.Duration
	began   bool
	read    bool
	alone   bool
	listens bool
	// once says that the name is of one process alone; sights are the first numbers that those who
	// saw the end have drawn for it.
	once   bool
	sights []uint64
	// told is true for what a member has passed on and was not seen here.
	told bool
	// recalled is true until whoever saw the end has told of it; it was read at notedAt then.
	recalled bool
	notedAt  time.Duration
	// sequence numbers the ends of the table in the order in which they came to it.
	sequence uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{requests: map[Fingerprint]*entry{}, beside: map[string]map[Fingerprint]struct{}{}, cleared: clearances{}}
}

// News counts what the table has learnt or dropped: as long as it is the same, so is the table.
// Words that say nothing new do not count, so that they need not be passed on.
func (t *Table) News() uint64 { return t.news }

// Empty reports whether no end is kept.
func (t *Table) Empty() bool { return len(t.requests) == 0 }

// Note takes in that a replica seems to have ended under a request.
func (t *Table) Note(now time.Duration, seen Evidence) { t.noteAt(now, now, seen) }

// NoteAged takes in what was seen some time ago.
func (t *Table) NoteAged(now, age time.Duration, seen Evidence) {
	if age >= 0 && age < memory {
		t.noteAt(now, now-age, seen)
	}
}

func (t *Table) noteAt(now, at time.Duration, seen Evidence) {
	if t.cleared.has(now, seen.Fingerprint) {
		return
	}
	before := t.news
	known := t.requests[seen.Fingerprint]
	if known == nil {
		t.makeRoom()
		known = &entry{}
		t.requests[seen.Fingerprint] = known
	}
	told := end{
		replica: seen.Replica, sent: at - seen.Ran, at: at, began: seen.Began, read: seen.Read, alone: seen.Alone,
		listens: seen.Listens, once: seen.Once, told: seen.Told, recalled: seen.recalled, sequence: t.sequence,
	}
	if seen.recalled {
		told.notedAt = now
	}
	if seen.Sight != 0 {
		told.sights = []uint64{seen.Sight}
	}
	told.replica = t.processAt(known, told)
	if known.has(told.replica) {
		if known.hearAgain(told) {
			t.news++
		}
		return
	}
	known.about = seen.About
	known.insert(told)
	t.sequence++
	t.rememberBeside(seen.Fingerprint, told.replica)
	for len(known.ends) > maxEnds {
		t.drop(seen.Fingerprint, known.surplus())
	}
	if t.news == before {
		t.news++
		return
	}
	// Something made room for it. That is no news: two full tables would else tell each other
	// what the other has just dropped, for ever.
	t.news = before
}

// Alive is a replica that seemed to have ended and has answered since.
type Alive struct {
	Replica string
	// For is how long the process that answers has lived, at least. An earlier one may have
	// ended under the same name.
	For time.Duration
}

// Ever stands for a process that is the only one of its name.
const Ever = memory

// toldWithin is by how much later than a replica's end a word of it comes. An answer of a
// process that has lived for that much longer refutes it.
const toldWithin = 250 * time.Millisecond

// Lives refutes those ends of a replica at which the process that has answered lived already.
func (t *Table) Lives(now time.Duration, alive Alive) {
	for _, name := range t.processesOf(alive.Replica) {
		for fingerprint := range t.beside[name] {
			if ended := t.requests[fingerprint].endOf(name); now-alive.For+toldWithin <= ended.at {
				t.drop(fingerprint, name)
			}
		}
	}
}

// HasEnd reports whether a replica ended under a request, as far as is known.
func (t *Table) HasEnd(fingerprint Fingerprint, replica string) bool {
	known := t.requests[fingerprint]
	return known != nil && known.has(replica)
}

// Forget drops the ends and holds that are known of a request. That it was served lately is
// kept: it is as likely to stand at the next ends.
func (t *Table) Forget(fingerprint Fingerprint) {
	known := t.requests[fingerprint]
	if known == nil {
		return
	}
	for _, ended := range known.ends {
		t.forgetBeside(fingerprint, ended.replica)
	}
	delete(t.requests, fingerprint)
	t.news++
}

// Expire drops ends and clearances that are over.
func (t *Table) Expire(now time.Duration) {
	t.cleared.expire(now)
	for fingerprint, known := range t.requests {
		for len(known.ends) > 0 && now-known.ends[0].at >= memory {
			t.drop(fingerprint, known.ends[0].replica)
		}
	}
}

// IsTried reports whether as many replicas ended under a request as would condemn it, had they
// ended one after the other. A lost rack looks the same: whether it was the request shows when
// one copy of it is sent again, and many at once may not be, since each would end a replica
// before the first has told. Ends at which one stood that was held since do not count: it ends
// replicas no more, and to try what merely stood beside would refuse its callers for nothing.
// Nor do those of replicas that go on listening.
func (t *Table) IsTried(fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	if known == nil || !known.hasMany() {
		return false
	}
	own := slices.DeleteFunc(slices.Clone(known.ends), func(ended end) bool {
		return t.stoodBesideHeld(fingerprint, ended.replica)
	})
	return tellingEnds(own) >= manyEnds
}

// stoodBesideHeld reports whether another request was in flight at the replica's end that is
// held, or has been.
func (t *Table) stoodBesideHeld(fingerprint Fingerprint, replica string) bool {
	for other := range t.beside[replica] {
		if other != fingerprint && len(t.requests[other].holds) > 0 {
			return true
		}
	}
	return false
}

// Tried returns the requests that are to be tried alone, in the order of their fingerprints.
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

// EndedAlone reports whether replicas ended under the request more than once, and one of
// them with nothing else in flight.
func (t *Table) EndedAlone(fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	return known != nil && known.endedAlone()
}

// IsSuspect reports whether a replica has lately ended under the request before it brought
// anything, and nothing has cleared it since: it may have been its doing.
func (t *Table) IsSuspect(now time.Duration, fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	if known == nil || len(known.ends) == 0 || now-known.lastAt() > suspectTime {
		return false
	}
	return len(known.ends) > 1 || !known.ends[0].began
}

// Lone returns the requests under which replicas ended lately at one moment only, before they
// brought anything and where nobody listens any more: the latest first.
func (t *Table) Lone(now time.Duration) []Fingerprint {
	var found []Fingerprint
	for fingerprint, known := range t.requests {
		if t.IsSuspect(now, fingerprint) && len(known.strikes()) < WatchedEnds && slices.ContainsFunc(known.ends, end.isTelling) {
			found = append(found, fingerprint)
		}
	}
	slices.SortFunc(found, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(t.requests[b].lastAt(), t.requests[a].lastAt()), slices.Compare(a[:], b[:]))
	})
	return found
}

// isTelling reports whether the replica may well have ended by the request's doing.
func (e end) isTelling() bool { return !e.began && !e.read && !e.listens }

// IsSeries reports whether replicas have ended under the request at different moments.
func (t *Table) IsSeries(fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	return known != nil && len(known.strikes()) >= WatchedEnds
}

// IsCertain reports whether a request is condemned by one end more than it takes, of runs
// alone, none of which any other explains as well: the bar for who sees only a part of what
// happens.
func (t *Table) IsCertain(fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	if known == nil {
		return false
	}
	return len(t.unexplained(fingerprint, known.runs(), func(other *entry) bool {
		return other.rank().compare(known.rank()) >= 0
	})) >= certainEnds
}

// Rest is how long a condemned request stays so if no more replicas end under it.
func (t *Table) Rest(now time.Duration, fingerprint Fingerprint) time.Duration {
	known := t.requests[fingerprint]
	if known == nil {
		return 0
	}
	strikes := known.strikes()
	if len(strikes) < CondemningEnds {
		return 0
	}
	return memory - (now - strikes[len(strikes)-CondemningEnds][0].at)
}

// Watched returns the requests that are not free, in the order of their fingerprints.
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

// Weak returns those replicas whose ends under a request tell little, the oldest first.
func (t *Table) Weak(fingerprint Fingerprint) []string {
	known := t.requests[fingerprint]
	if known == nil {
		return nil
	}
	var weak []string
	for _, ended := range known.ends {
		if !ended.isTelling() {
			weak = append(weak, ended.replica)
		}
	}
	return weak
}

// Ends returns the replicas that ended under a request, the oldest first, and which request it
// was: one of each that ended together, and all of many as long as little else is known.
func (t *Table) Ends(fingerprint Fingerprint) ([]string, About) {
	known := t.requests[fingerprint]
	if known == nil {
		return nil, About{}
	}
	var replicas []string
	strikes := known.strikes()
	for _, strike := range strikes {
		if !known.hasMany() || len(strikes) >= CondemningEnds {
			strike = strike[:1]
		}
		for _, ended := range strike {
			replicas = append(replicas, ended.replica)
		}
	}
	return replicas, known.about
}

// CountEnds is how many replicas ended under a request, those that ended together included.
func (t *Table) CountEnds(fingerprint Fingerprint) int {
	if known := t.requests[fingerprint]; known != nil {
		return len(known.ends)
	}
	return 0
}

// FirstEnd returns when the first replica ended under a request that is known.
func (t *Table) FirstEnd(fingerprint Fingerprint) (at time.Duration, found bool) {
	known := t.requests[fingerprint]
	if known == nil || len(known.ends) == 0 {
		return 0, false
	}
	return known.ends[0].at, true
}

// insert keeps an end in the order of time.
func (e *entry) insert(ended end) {
	after := slices.IndexFunc(e.ends, func(known end) bool { return known.at > ended.at })
	if after < 0 {
		after = len(e.ends)
	}
	e.ends = slices.Insert(e.ends, after, ended)
}

// surplus is the replica whose end is least worth keeping: one of several that ended
// together, and else the one that ended first.
func (e *entry) surplus() string {
	for _, strike := range e.strikes() {
		if len(strike) > 1 {
			return strike[len(strike)-1].replica
		}
	}
	return e.ends[0].replica
}

// runs is the entry without the ends of replicas that only read the prompt.
func (e *entry) runs() *entry {
	kept := *e
	kept.ends = slices.DeleteFunc(slices.Clone(e.ends), func(ended end) bool { return ended.read })
	return &kept
}

func (e *entry) has(replica string) bool {
	return e.indexOf(replica) >= 0
}

// endOf returns the end of a replica at which the request stood.
func (e *entry) endOf(replica string) end {
	return e.ends[e.indexOf(replica)]
}

// indexOf is where the end of a replica stands, less than 0 for none.
func (e *entry) indexOf(replica string) int {
	return slices.IndexFunc(e.ends, func(known end) bool { return known.replica == replica })
}

func (e *entry) lastAt() time.Duration { return e.ends[len(e.ends)-1].at }

// drop removes one end of a request, and the request with its last one.
func (t *Table) drop(fingerprint Fingerprint, replica string) {
	known := t.requests[fingerprint]
	known.ends = slices.DeleteFunc(known.ends, func(ended end) bool { return ended.replica == replica })
	t.forgetBeside(fingerprint, replica)
	t.news++
	if len(known.ends) == 0 {
		delete(t.requests, fingerprint)
	}
}

func (t *Table) forgetBeside(fingerprint Fingerprint, replica string) {
	delete(t.beside[replica], fingerprint)
	if len(t.beside[replica]) == 0 {
		delete(t.beside, replica)
	}
}

// makeRoom drops the request that is least worth keeping when the table is full: with the
// fewest ends, so that a flood of others does not push out what ends replicas, and among
// these the one whose last end is the oldest.
func (t *Table) makeRoom() {
	if len(t.requests) < maxRequests {
		return
	}
	var least Fingerprint
	var leastEntry *entry
	for fingerprint, known := range t.requests {
		if leastEntry == nil || known.lessWorth(leastEntry) {
			least, leastEntry = fingerprint, known
		}
	}
	t.Forget(least)
}

func (e *entry) lessWorth(other *entry) bool {
	if len(e.ends) != len(other.ends) {
		return len(e.ends) < len(other.ends)
	}
	return e.lastAt() < other.lastAt()
}
