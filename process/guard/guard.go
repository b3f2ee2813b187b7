// Package guard keeps requests under which replicas end from the replicas, in one proxy.
//
// The group's record, which comes with the view, decides while a leader serves the proxy:
// it knows what all proxies saw, also of what stood beside. A proxy that is cut off goes on
// by that record and by what it sees itself. Where members reach it that can't write to the
// record, it goes by what they tell it as well.
package guard

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// Reporter is the control group as it is told of replicas that ended; *feed.Client is one.
type Reporter interface {
	ReportEnds(report feed.EndReport) bool
	// Connected reports whether a leader serves this proxy now.
	Connected() bool
}

// Guard is safe for concurrent use.
type Guard struct {
	// active is true while there is anything to look for. Until then a request costs the
	// reading of one flag.
	active atomic.Bool

	lock     sync.Mutex
	reporter Reporter // nil without a group
	// served is true once a leader was seen to serve this proxy, lost since lostAt that none
	// does any more.
	served bool
	lost   bool
	lostAt time.Duration
	// toldTill is until when this proxy judges by what a member has told it of ends that are not
	// on record.
	toldTill time.Duration
	table    *quarantine.Table
	version  view.Version
	recorded map[string]*api.Quarantine
	// name is this proxy's, proxies are those that may be given turns, in order.
	name    string
	proxies []string
	// trials are the requests that this proxy is trying, by fingerprint, each with its owner.
	trials map[quarantine.Fingerprint]any
	// doubted are the replicas that are on record as ended, with when this proxy learnt it:
	// whoever hears of one refutes that.
	doubted map[string]doubt
}

// doubt is what makes a replica that is on record as ended doubtful.
type doubt struct {
	learntAt time.Duration
	endedAt  time.Time // the first end on its record, by the leader's time of day
}

// New returns a guard that tells nobody until it has a Reporter. name is its proxy's, empty
// where no request is tried.
func New(name string) *Guard {
	return &Guard{name: name, table: quarantine.NewTable(), trials: map[quarantine.Fingerprint]any{}}
}

// SetReporter sets who is told, and whose record decides.
func (g *Guard) SetReporter(reporter Reporter) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.reporter = reporter
}

// Active reports whether there is anything to look for.
func (g *Guard) Active() bool { return g.active.Load() }

// Follow takes in the record of a view that is newer than the last one.
func (g *Guard) Follow(current *view.View, now time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if current.Version.Compare(g.version) <= 0 {
		return
	}
	g.version = current.Version
	g.isCutOff(now)
	if g.toldTill > 0 { // a leader commits: its record decides again
		g.toldTill = 0
		g.table.DropTold()
	}
	before := g.recorded
	g.recorded = current.Quarantines
	for name, known := range g.recorded {
		if earlier := before[name]; earlier == nil || earlier.Revision != known.Revision {
			g.learn(earlier, known, now)
		}
	}
	for name := range before {
		if g.recorded[name] == nil {
			g.forget(name)
		}
	}
	g.proxies = slices.Sorted(maps.Keys(current.Proxies))
	g.doubt(now)
	g.rest(now)
}

// doubt keeps which replicas are on record as ended.
func (g *Guard) doubt(now time.Duration) {
	before := g.doubted
	g.doubted = map[string]doubt{}
	for _, known := range g.recorded {
		for _, replica := range known.Spec.Replicas {
			next, found := before[replica]
			if !found {
				next = doubt{learntAt: now, endedAt: time.UnixMilli(known.Spec.Since)}
			}
			g.doubted[replica] = next
		}
	}
}

// Doubts reports whether a replica is on record as ended that has answered what was sent to
// it then, after this proxy had learnt so: it lives.
func (g *Guard) Doubts(replica string, sentAt time.Duration) bool {
	if !g.Active() {
		return false
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	known, found := g.doubted[replica]
	return found && sentAt > known.learntAt
}

// DoubtsSince is Doubts for a replica that does not say which process answers: another one
// may have its name by now. It is the same only if it answered on a connection that was
// open before the end, by clocks of different machines.
func (g *Guard) DoubtsSince(replica string, sentAt time.Duration, opened time.Time) bool {
	if !g.Doubts(replica, sentAt) {
		return false
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	known, found := g.doubted[replica]
	return found && opened.Before(known.endedAt.Add(-clockMargin))
}

// clockMargin is by how much clocks of different machines may disagree, steps of the time
// of day included.
const clockMargin = 5 * time.Second

// learn takes in one entry that is new or has changed. One with fewer replicas than before
// was refuted in part, or has lapsed: what is known here is then replaced by it.
func (g *Guard) learn(earlier, known *api.Quarantine, now time.Duration) {
	fingerprint, ok := quarantine.Parse(known.Name)
	if !ok {
		return
	}
	spec := &known.Spec
	about := quarantine.About{Service: spec.Service, Route: spec.Route, Request: spec.Request}
	recorded := quarantine.Record{
		Replicas: spec.Replicas, Weak: spec.Weak, Alone: spec.Alone, AtOnce: spec.EndedAtOnce(), About: about,
	}
	if earlier != nil && len(spec.Replicas) < len(earlier.Spec.Replicas) {
		g.table.Restore(now, fingerprint, recorded)
	}
	for _, replica := range spec.Replicas {
		seen := recorded.Evidence(fingerprint, replica)
		seen.Alone = false // that was seen elsewhere
		g.table.Note(now, seen)
	}
	g.table.SetHeld(fingerprint, spec.State == api.QuarantineHeld)
}

// forget drops a request that is on record no more.
func (g *Guard) forget(name string) {
	if fingerprint, ok := quarantine.Parse(name); ok {
		g.table.Forget(fingerprint)
	}
}

// rest works out whether there is anything to look for; the lock is held.
func (g *Guard) rest(now time.Duration) {
	g.table.Expire(now)
	g.active.Store(len(g.recorded) > 0 || len(g.table.Watched(now)) > 0)
}

// Ended notes that a replica seems to have ended under a request, and tells the group.
func (g *Guard) Ended(now time.Duration, seen quarantine.Evidence) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.isCutOff(now)
	seen.Sight = rand.Uint64()
	g.table.Note(now, seen)
	if g.table.Standing(now, seen.Fingerprint) != quarantine.Free {
		g.active.Store(true)
	}
	g.report(feed.EndReport{Ended: []quarantine.Aged{{Evidence: seen}}})
}

// toldTime is for how long a member's word on ends that are not on record holds; it comes again as long
// as they aren't.
const toldTime = 3 * feed.UnrecordedPause

// Unrecorded takes in what a member tells of ends that are not on record: there is no leader, or it
// can't commit. Nobody else judges by them then, so this proxy does.
func (g *Guard) Unrecorded(now time.Duration, report feed.EndReport) {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, seen := range report.Ended {
		seen.Told = true
		g.table.NoteAged(now, seen.Age, seen.Evidence)
	}
	g.toldTill = now + toldTime
	g.rest(now)
}

// EndsMany reports whether as many replicas ended under a request as would condemn it, by the
// record and by what this proxy has seen, whatever stood beside. Who is cut off sees only a
// part, and asks for one more.
func (g *Guard) EndsMany(now time.Duration, fingerprint quarantine.Fingerprint) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	many := quarantine.CondemningEnds
	if g.isCutOff(now) {
		many++
	}
	return g.table.CountEnds(fingerprint) >= many
}

// Lives notes that a replica which seemed to have ended has answered since.
func (g *Guard) Lives(now time.Duration, alive quarantine.Alive) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.table.Lives(now, alive)
	delete(g.doubted, alive.Replica)
	g.rest(now)
	g.report(feed.EndReport{Alive: []quarantine.Alive{alive}})
}

// Served notes that a request was served whole, if anything speaks against it.
func (g *Guard) Served(now time.Duration, fingerprint quarantine.Fingerprint) {
	g.lock.Lock()
	defer g.lock.Unlock()
	heard, _ := g.table.Ends(fingerprint)
	if len(heard) == 0 && g.recorded[fingerprint.String()] == nil {
		return
	}
	g.table.Served(now, fingerprint)
	g.report(feed.EndReport{Served: []quarantine.Fingerprint{fingerprint}})
}

// Cleared notes that a request was served whole that the group took for one that may end
// replicas, whatever this proxy knows of it.
func (g *Guard) Cleared(now time.Duration, fingerprint quarantine.Fingerprint) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.table.Served(now, fingerprint)
	g.report(feed.EndReport{Served: []quarantine.Fingerprint{fingerprint}})
}

// report tells the group if there is one; a word that is lost comes again when a leader
// begins to serve.
func (g *Guard) report(told feed.EndReport) {
	if g.reporter != nil {
		g.reporter.ReportEnds(told)
	}
}

// ReportAll tells a leader that has just begun what this proxy knows. Good answers are told
// again as ends are: one that came while there was no leader was heard by nobody, and without
// it the ends would stand alone.
func (g *Guard) ReportAll(now time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	all := feed.EndReport{Ended: g.table.All(now), Served: g.table.Cleared(now)}
	if !all.IsEmpty() {
		g.report(all)
	}
}

// Holds reports whether a request is to go to no replica, and for how long. Of the owners of
// a request that is tried, one at a time is told that it is not held, until it calls EndTrial.
func (g *Guard) Holds(now time.Duration, wall time.Time, fingerprint quarantine.Fingerprint, owner any) (rest time.Duration, held bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	known := g.recorded[fingerprint.String()]
	switch {
	case known == nil:
	case known.Spec.State == api.QuarantineHeld:
		return max(time.UnixMilli(known.Spec.Until).Sub(wall), LeastHold), true
	case known.Spec.State == api.QuarantineSettling:
		return tryPause, true
	case known.Spec.State == api.QuarantineTried:
		return tryPause, !g.tries(fingerprint, known.Spec.Until, owner)
	}
	if !g.isCutOff(now) && now >= g.toldTill || !g.table.IsCertain(fingerprint) {
		return 0, false
	}
	return max(g.table.Rest(now, fingerprint), LeastHold), true
}

// KeepsApart reports whether a request goes only where the group says: as many replicas ended under
// it as make it a suspect, and this proxy is not cut off. The group gives it a place where nothing
// else is, one copy at a time, or none; a proxy knows of no other copy.
func (g *Guard) KeepsApart(now time.Duration, fingerprint quarantine.Fingerprint) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	known := g.recorded[fingerprint.String()]
	if known == nil || known.Spec.State != api.QuarantineWatched {
		return false
	}
	return len(known.Spec.Replicas)-len(known.Spec.Weak) >= quarantine.WatchedEnds && !g.isCutOff(now)
}

// IsLed reports whether a leader serves this proxy now.
func (g *Guard) IsLed() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.reporter != nil && g.reporter.Connected()
}

// tryPause is told of a request that is tried by another owner: an answer to it takes less.
const tryPause = 300 * time.Millisecond

// tries reports whether the owner may try the request: it is this proxy's turn, which the
// turn's end and the request's name draw alike at all proxies, and nobody else tries it here.
// Two proxies that see different views may both try for a moment. The lock is held.
func (g *Guard) tries(fingerprint quarantine.Fingerprint, turn int64, owner any) bool {
	if trying, found := g.trials[fingerprint]; found {
		return trying == owner
	}
	if len(g.proxies) > 0 {
		drawn := xxhash.Sum64(binary.BigEndian.AppendUint64(fingerprint[:], uint64(turn)))
		if g.proxies[drawn%uint64(len(g.proxies))] != g.name {
			return false
		}
	}
	g.trials[fingerprint] = owner
	return true
}

// EndTrial notes that the owner's request is over.
func (g *Guard) EndTrial(fingerprint quarantine.Fingerprint, owner any) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.trials[fingerprint] == owner {
		delete(g.trials, fingerprint)
	}
}

// cutOffTime is for how long no leader must have served a proxy until it judges by itself:
// longer than leaders take to change, or to come back after all members were stopped. What
// it sees is a part of what the group sees, and what stood beside looks worse in it.
const cutOffTime = 3 * time.Second

// isCutOff reports whether this proxy has to judge by itself; the lock is held.
func (g *Guard) isCutOff(now time.Duration) bool {
	switch {
	case g.reporter == nil:
		return true
	case g.reporter.Connected():
		g.served, g.lost = true, false
		return false
	case !g.served:
		return true
	case !g.lost:
		g.lost, g.lostAt = true, now
	}
	return now-g.lostAt >= cutOffTime
}

// LeastHold is told of a hold that is about to lapse, or is not on record yet.
const LeastHold = time.Second
