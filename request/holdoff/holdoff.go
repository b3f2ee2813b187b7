package holdoff

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
	"weak"
)

// Times of pauses and of what follows them.
const (
	// spreadShare is the inverse of the part of a pause by which its end is moved at random,
	// up to longestSpread. A replica that is full asks all processes at about the same time;
	// without the spread they come back in one moment (TestEndOfAPauseIsSpread has the
	// figures). It costs the replica a sixteenth of the pause on average.
	spreadShare   = 8
	longestSpread = time.Second
	// trialTime is how long the first request after a pause keeps others off. As long as it
	// has no answer the replica may still be full, and each further request would cost a
	// retry; one that is answered later than this tells nothing of that.
	trialTime = time.Second
	// birthSlack is by how much the times of day of machines may differ: a wish for a pause
	// that was heard longer before a birth is surely another process's. Too much of it costs
	// the rest of one pause.
	birthSlack = 5 * time.Second
	// forgetAfter is how long a replica that no list names any more is remembered. Lists
	// lag by seconds, and one may lack a replica for a moment.
	forgetAfter = time.Minute
)

// State says whether a replica may be sent a request.
type State uint8

// States of a replica.
const (
	// Open replicas have asked for nothing that still holds.
	Open State = iota
	// Doubtful ones are to be asked only where no other is left: they leave, and still
	// take what comes at once; or their pause is over and they have not shown since that
	// they answer.
	Doubtful
	// Closed ones are sent nothing.
	Closed
)

// Process tells the processes apart that a replica's name stands for, one after the other.
type Process struct {
	Address string
	// Born is when it started, in milliseconds since 1970; 0 where it is not known.
	Born int64
}

// isOther reports whether the two are surely different.
func (p Process) isOther(earlier Process) bool {
	return p.Address != earlier.Address || p.Born != 0 && earlier.Born != 0 && p.Born != earlier.Born
}

// isBefore reports whether the process surely began before the other.
func (p Process) isBefore(other Process) bool { return p.Born != 0 && p.Born < other.Born }

// Config holds what a Table is created with.
type Config struct {
	// Notice is how long a replica that says it leaves may still be asked where no other
	// is left. 0 stands for no time at all.
	Notice time.Duration
}

// Table holds the replicas of a process by name. It is safe for concurrent use.
//
// Invariant: what a replica has asked for holds for as long as this process and that one
// live. No view, leader, placement or list takes it back, since it belongs to none of them:
// only another process under the replica's name does.
type Table struct {
	config Config

	lock     sync.Mutex
	replicas map[string]*Replica
	// held are replicas that no list names and that requests under way may still hold: what is
	// told to one of them is told to all that find it.
	held map[string]weak.Pointer[Replica]
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	return &Table{config: config, replicas: map[string]*Replica{}, held: map[string]weak.Pointer[Replica]{}}
}

// Follow returns the replica of the name, which a list shows as this process now.
func (t *Table) Follow(name string, process Process, now time.Duration) *Replica {
	t.lock.Lock()
	known := t.findLocked(name)
	t.keepLocked(known)
	t.lock.Unlock()
	known.follow(process, now)
	return known
}

// Find returns the replica of the name; one that is not known has asked for nothing.
func (t *Table) Find(name string) *Replica {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.findLocked(name)
}

// findLocked returns the replica of the name, the same one as long as anybody has it.
func (t *Table) findLocked(name string) *Replica {
	if known := t.replicas[name]; known != nil {
		return known
	}
	if known := t.held[name].Value(); known != nil {
		return known
	}
	made := &Replica{name: name, table: t, notice: t.config.Notice}
	t.held[name] = weak.Make(made)
	return made
}

// keepLocked has the table keep a replica until it is forgotten.
func (t *Table) keepLocked(known *Replica) {
	t.replicas[known.name] = known
	delete(t.held, known.name)
}

// keep is keepLocked for a replica that has asked for something, listed or not.
func (t *Table) keep(known *Replica) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.keepLocked(known)
}

// Forget drops the replicas that have not been followed for long and ask for nothing.
func (t *Table) Forget(now time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for name, known := range t.replicas {
		if known.isForgotten(now) {
			delete(t.replicas, name)
			t.held[name] = weak.Make(known)
		}
	}
	maps.DeleteFunc(t.held, func(_ string, known weak.Pointer[Replica]) bool { return known.Value() == nil })
}

// Leaving returns the names of the replicas that have said that they leave.
func (t *Table) Leaving() []string {
	t.lock.Lock()
	defer t.lock.Unlock()
	var names []string
	for name, known := range t.replicas {
		if known.IsLeaving() {
			names = append(names, name)
		}
	}
	return names
}

// Replica is what one replica has asked of this process.
type Replica struct {
	name   string
	table  *Table
	notice time.Duration
	// asks is false as long as nothing holds, so that most questions take no lock.
	asks atomic.Bool

	lock       sync.Mutex
	process    Process
	followedAt time.Duration
	// pauseEnd is when a request may be sent again; trialDue is true from a pause on until
	// an answer has shown that it is over, and trialFrom when the first request goes.
	pauseEnd  time.Duration
	trialDue  bool
	trialFrom time.Duration
	trialTill time.Duration // while one is under way
	heardAt   time.Time     // the last word, by the time of day
	leaving   bool
	leavingAt time.Duration
	leavesDay time.Time // the same by the time of day
}

// Name returns the replica's name.
func (r *Replica) Name() string { return r.name }

// Hear takes in the word of an answer that came now; day is the time of day, which is to be
// the one that births are told by. It reports
// whether the replica has said for the first time that it leaves.
func (r *Replica) Hear(now time.Duration, day time.Time, word Word) (leaves bool) {
	if word.IsZero() && !r.asks.Load() {
		return false
	}
	if !word.IsZero() {
		r.table.keep(r)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	if !word.IsZero() {
		r.heardAt = day
	}
	if word.RetryAfter > 0 {
		r.pauseLocked(now, word.RetryAfter)
	} else if now >= r.pauseEnd {
		r.trialDue = false // it answers
	}
	if word.Leaving && !r.leaving {
		r.leaving, r.leavingAt, r.leavesDay, leaves = true, now, day, true
	}
	r.settleLocked(now)
	return leaves
}

// pauseLocked begins a pause, or makes the one under way longer.
func (r *Replica) pauseLocked(now, length time.Duration) {
	r.trialTill = 0
	if end := now + length; end > r.pauseEnd {
		r.pauseEnd = end
		r.trialFrom = end + rand.N(min(length/spreadShare, longestSpread)+1)
	}
	r.trialDue = true
}

// settleLocked notes whether anything holds.
func (r *Replica) settleLocked(now time.Duration) {
	r.asks.Store(r.leaving || r.trialDue || now < r.pauseEnd)
}

// State says whether the replica may be sent a request now.
func (r *Replica) State(now time.Duration) State {
	if !r.asks.Load() {
		return Open
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.stateLocked(now)
}

func (r *Replica) stateLocked(now time.Duration) State {
	switch {
	case now < r.pauseEnd, r.leaving && now-r.leavingAt >= r.notice:
		return Closed
	case r.leaving, r.trialDue && (now < r.trialFrom || now < r.trialTill):
		return Doubtful
	default:
		return Open
	}
}

// Begin asks for leave to send a request at once; false where the replica wants none. It is
// asked last before the request is written: what is decided earlier may be overtaken by an
// answer.
func (r *Replica) Begin(now time.Duration) bool {
	if !r.asks.Load() {
		return true
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.stateLocked(now) == Closed {
		return false
	}
	if r.trialDue {
		r.trialTill = now + trialTime
	}
	return true
}

// Pause returns how much of a pause is left, 0 where there is none.
func (r *Replica) Pause(now time.Duration) time.Duration {
	if !r.asks.Load() {
		return 0
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return max(r.pauseEnd-now, 0)
}

// IsLeaving reports whether the replica has said that it leaves.
func (r *Replica) IsLeaving() bool {
	if !r.asks.Load() {
		return false
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.leaving
}

func (r *Replica) follow(process Process, now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	before := r.process
	r.followedAt = now
	if process.isBefore(before) {
		return // a list that lags, or the word of a leader that knows an older one, takes back nothing
	}
	if process.Born == 0 && process.Address == before.Address {
		process.Born = before.Born // nor does a list that does not tell
	}
	r.process = process
	if before != (Process{}) && process.isOther(before) && r.asks.Load() {
		r.renewLocked(process.Address != before.Address)
		r.settleLocked(now)
	}
}

// renewLocked drops what an earlier process has asked for. The new one may have spoken
// before a list showed it, unless it stands at another address: what was said after its
// birth is its own. A pause is kept also where that is in doubt; a word of leaving is not,
// since it would never end, and a process that has just begun has none to say.
func (r *Replica) renewLocked(moved bool) {
	born := time.UnixMilli(r.process.Born)
	if moved || r.leavesDay.Before(born) {
		r.leaving = false
	}
	if moved || r.heardAt.Before(born.Add(-birthSlack)) {
		r.pauseEnd, r.trialDue = 0, false
	}
}

func (r *Replica) isForgotten(now time.Duration) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return now-r.followedAt > forgetAfter && now >= r.pauseEnd
}
