package control

import (
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/zeromicro/go-zero/rest/pathvar"
)

// Times and bounds of quarantines. They are policy: a request that ends replicas costs
// several seconds of a replica each time that it is tried again.
const (
	// firstHold is how long a request is held for the first time, twice as long the second, and
	// longestHold from then on. After each of them it is tried, one copy at a time, and one end
	// more holds it: a hold by mistake costs callers minutes, and one that is right two replicas
	// more within a quarter of an hour, and then one a day.
	firstHold   = 5 * time.Minute
	longestHold = 24 * time.Hour
	// tryTurn is how long one proxy has to try a request alone until it is another one's turn:
	// callers come to each of them every now and then. tryTime is after which time without an
	// end or an answer the request is taken for harmless.
	tryTurn = time.Second
	tryTime = time.Minute
	// watchTime is how long a request is watched under which no more replicas end.
	watchTime = time.Hour
	// maxQuarantines bounds the requests on record, a kilobyte each at most.
	maxQuarantines = 256
	// maxRecordedEnds bounds the replicas named of one request.
	maxRecordedEnds = 8
)

// quarantineDesk gathers what proxies say of replicas that ended, and works out what is to
// be on record. The record is replicated and reaches every proxy with its view, so it
// outlasts leaders, restarts and losses; the table is what this member has heard itself.
type quarantineDesk struct {
	lock  sync.Mutex
	table *quarantine.Table
	// term is the leadership that the table was last filled for from the record.
	term    uint64
	refuted refutations
	// reviewUntil is how long what was heard is still to be looked through: until it has
	// settled, was watched, and was committed.
	reviewUntil time.Duration
	// judgeFrom is from when on a new leader holds or tries requests: proxies tell it first what
	// they saw, also of those that stood beside and of those that were served.
	judgeFrom time.Duration
	// sentUnheard are the requests of which one copy may have gone out since this leader began,
	// before it had heard.
	sentUnheard map[quarantine.Fingerprint]bool
	// alertTill is until when ends are taken to come in series, by service; alerted is the
	// latest of them, which is read without the lock.
	alertTill map[string]time.Duration
	alerted   atomic.Int64
	// unrecorded is what daemons are told while the record can't tell it.
	unrecorded unrecorded
}

// takeOverTime is how long proxies take to find a new leader and to tell it all.
const takeOverTime = time.Second

// reviewTime is how long after the last word the record is looked through in each round.
const reviewTime = 3 * time.Second

// refutations are words that take something off the record. They are kept until they were
// committed.
type refutations struct {
	alive  map[string]quarantine.Alive // by replica
	heard  map[string]time.Duration    // when that was heard
	served map[quarantine.Fingerprint]bool
}

func newRefutations() refutations {
	return refutations{alive: map[string]quarantine.Alive{}, heard: map[string]time.Duration{}, served: map[quarantine.Fingerprint]bool{}}
}

func newQuarantineDesk() *quarantineDesk {
	return &quarantineDesk{
		table: quarantine.NewTable(), refuted: newRefutations(), alertTill: map[string]time.Duration{},
		sentUnheard: map[quarantine.Fingerprint]bool{},
	}
}

// note takes in what a proxy has seen.
func (d *quarantineDesk) note(report feed.EndReport, now time.Duration) learnt {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, alive := range report.Alive {
		d.refuted.alive[alive.Replica], d.refuted.heard[alive.Replica] = alive, now
	}
	for _, fingerprint := range report.Served {
		d.refuted.served[fingerprint] = true
	}
	return d.learn(report, now)
}

// hear takes in what another member was told, or has kept. It takes nothing off the record: proxies tell
// that to the leader themselves.
func (d *quarantineDesk) hear(report feed.EndReport, now time.Duration) learnt {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.learn(report, now)
}

// sights returns what is known of ends, for those that have to learn it.
func (d *quarantineDesk) sights(now time.Duration) []quarantine.Aged {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.table.Sights(now, maxEvidence)
}

// sightsOf returns what is known of the ends of these requests.
func (d *quarantineDesk) sightsOf(fingerprints []quarantine.Fingerprint, now time.Duration) []quarantine.Aged {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.table.SightsOf(fingerprints, now, maxEvidence)
}

// notableSights returns what is known of the ends of requests that are worth watching for.
func (d *quarantineDesk) notableSights(now time.Duration) []quarantine.Aged {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.table.NotableSights(now, maxEvidence)
}

// learnt is what of a report was new, and what of that others are to know: ends by their requests.
type learnt struct {
	isNew  bool
	ended  []quarantine.Fingerprint
	alive  []quarantine.Alive
	served []quarantine.Fingerprint
}

// learn puts a report into the table; the lock is held.
func (d *quarantineDesk) learn(report feed.EndReport, now time.Duration) (found learnt) {
	before := d.table.News()
	d.reviewUntil = now + reviewTime
	for _, seen := range report.Ended {
		known := d.table.News()
		d.table.NoteAged(now, seen.Age, seen.Evidence)
		if d.table.News() != known && d.table.IsWorthTelling(now, seen.Fingerprint) {
			found.ended = append(found.ended, seen.Fingerprint)
		}
		if d.table.IsSeries(seen.Fingerprint) && !seen.Read {
			d.alert(seen.About.Service, now)
		}
	}
	for _, alive := range report.Alive {
		if d.table.StoodInSeries(alive.Replica) {
			found.alive = append(found.alive, alive)
		}
		d.table.Lives(now, alive)
	}
	for _, fingerprint := range report.Served {
		if d.table.IsSeries(fingerprint) {
			found.served = append(found.served, fingerprint)
		}
		d.table.Served(now, fingerprint)
	}
	found.isNew = d.table.News() != before
	if found.isNew && before == d.unrecorded.recordedNews {
		d.unrecorded.heardAt = now
	}
	return found
}

// alertTime is how long after the last end that fits one, or the last word of a request at two
// of them, a series of ends is taken to go on.
const alertTime = 10 * time.Second

// isAlert reports whether replicas of the service end one after the other under a request.
func (d *quarantineDesk) isAlert(service string, now time.Duration) bool {
	if int64(now) >= d.alerted.Load() {
		return false
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	return now < d.alertTill[service]
}

// isSuspect reports whether a replica has lately ended under the request of that name. As long
// as one asks under which they end in series, the alert goes on: its copies may have waited for
// all of it, and would go out at once.
func (d *quarantineDesk) isSuspect(name string, now time.Duration) bool {
	fingerprint, ok := fingerprintOf(name)
	if !ok {
		return false
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	if !d.table.IsSuspect(now, fingerprint) {
		return false
	}
	if d.table.IsSeries(fingerprint) {
		_, about := d.table.Ends(fingerprint)
		d.alert(about.Service, now)
	}
	return true
}

// isJudged reports whether the request of that name is about to be held. The record reaches the
// proxies some hundred milliseconds after the end that decides, and copies that went out until
// then would each end a replica. A new leader first hears what there is to say for it: until then
// one copy may go, whose answer or end is heard here, and the others wait.
func (d *quarantineDesk) isJudged(name string, now time.Duration) bool {
	fingerprint, ok := fingerprintOf(name)
	if !ok {
		return false
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.hasHeard(now) {
		return d.isAboutToBeHeld(fingerprint, now)
	}
	if !d.table.IsConvicted(fingerprint) {
		return false
	}
	before := d.sentUnheard[fingerprint]
	d.sentUnheard[fingerprint] = true
	return before
}

// fingerprintOf reads the name that a question for a place brings, false where it brings none.
func fingerprintOf(name string) (fingerprint quarantine.Fingerprint, ok bool) {
	ok = copy(fingerprint[:], name) == len(fingerprint)
	return fingerprint, ok
}

// alert notes that replicas of the service end in series; the lock is held.
func (d *quarantineDesk) alert(service string, now time.Duration) {
	d.alertTill[service] = now + alertTime
	d.alerted.Store(int64(now + alertTime))
}

// forget drops what is known of a request that an operator has released.
func (d *quarantineDesk) forget(fingerprint quarantine.Fingerprint) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.table.Forget(fingerprint)
}

// takeBack keeps refutations that were not committed for the next review, which follows.
func (d *quarantineDesk) takeBack(refuted refutations, now time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.reviewUntil = now + reviewTime
	maps.Copy(d.refuted.alive, refuted.alive)
	maps.Copy(d.refuted.heard, refuted.heard)
	maps.Copy(d.refuted.served, refuted.served)
}

// NoteEnds takes in under which requests replicas ended.
func (g *group) NoteEnds(report feed.EndReport) { g.evidence.note(report, monotonic()) }

// release takes a request off the record, as an operator asks.
func (s *operatorServer) release(w http.ResponseWriter, r *http.Request, _ []byte) {
	name := pathvar.Vars(r)["name"]
	current := s.member.group.Load()
	if current.machine.view().Quarantines[name] == nil {
		message := "no request with this fingerprint is on record"
		writeError(w, http.StatusNotFound, operatorapi.Error{
			Code: operatorapi.ErrorNotFound, Message: message, Faults: []api.FieldFault{{Field: "name", Message: message}},
		})
		return
	}
	seen := state.Observe{Removed: []api.Key{{Kind: api.KindQuarantine, Name: name}}}
	if _, err := current.propose(r.Context(), state.Command{Kind: state.CommandObserve, Observe: &seen}); err != nil {
		writeProposalError(w, err)
		return
	}
	if fingerprint, ok := quarantine.Parse(name); ok {
		current.evidence.desk.forget(fingerprint)
	}
	event.QuarantineEnded.Log(s.member.logger, "fingerprint", name, "by", "operator", "err", nil)
	writeJSON(w, http.StatusOK, operatorapi.Released{Fingerprint: name})
}
