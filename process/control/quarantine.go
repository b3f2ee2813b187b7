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
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/zeromicro/go-zero/rest/pathvar"
)

// Durations and limits of quarantines. A request may reach the proxies many times; each time that
// it is sent to a replica is a copy of it. Each copy of a request that crashes replicas costs
// several seconds of a replica's time.
const (
	// firstHoldDuration is the length of a request's first hold. The second hold is twice as
	// long, and all later ones last maxHoldDuration. A hold is followed by a trial, which sends
	// one copy at a time; one more crash renews the hold. A mistaken hold then costs callers
	// minutes. A correct one costs two more replicas within a quarter of an hour, and then one a
	// day.
	firstHoldDuration = 5 * time.Minute
	maxHoldDuration   = 24 * time.Hour
	// trialTurn is how long one proxy alone may send copies of a request in a trial, before it is
	// the next proxy's turn. Turns are taken since callers may send the request to any proxy.
	trialTurn = time.Second
	// trialDuration is how long a trial lasts. Without a crash or an answer until then the request
	// is considered harmless.
	trialDuration = time.Minute
	// watchDuration is how long a request is watched without further crashes.
	watchDuration = time.Hour
	// maxQuarantines limits the requests in the record, at most a kilobyte each.
	maxQuarantines = 256
	// maxRecordedReplicas limits the crashed replicas listed per request.
	maxRecordedReplicas = 8
)

// quarantineTracker collects the proxies' reports of crashed replicas and computes what the
// quarantine record should contain. The record consists of the Quarantine and Suspect objects of
// the replicated state. It reaches every proxy with its view, so it survives leader changes,
// restarts and the loss of members. The table holds what was reported to this member.
//
// A crash under a request is one at which the request was in flight at the replica. A series of
// crashes is two or more under the same request at different moments. Replicas that crash at the
// same moment, as in the failure of a rack, count as one crash.
//
// The states of a recorded request are:
//   - watched: the request is sent as usual, and further crashes are awaited;
//   - tried: one proxy at a time may send one copy;
//   - settling: the request is refused until a decision that is due shortly;
//   - held: the request is refused until the hold expires or an operator releases it.
type quarantineTracker struct {
	lock  sync.Mutex
	table *quarantine.Table
	parts *parts.Table
	// term is the term for which the table was last loaded from the record.
	term    uint64
	refuted refutations
	// reviewUntil is the time until which the reports are reviewed in each round. Until then late
	// reports may arrive, and all changes of the record are committed.
	reviewUntil time.Duration
	// decideFrom is when a new leader starts to hold or try requests. Until then proxies report
	// what they observed, including requests that were merely in flight during a crash and
	// requests that were served.
	decideFrom time.Duration
	// sentEarly is the set of requests of which one copy may have been sent since this leader's
	// term began, before decideFrom.
	sentEarly map[quarantine.Fingerprint]bool
	// alertUntil is, per service, the time until which a series of crashes is assumed to continue.
	// latestAlert is the maximum of these times, readable without the lock.
	alertUntil  map[string]time.Duration
	latestAlert atomic.Int64
	// unsuspectedSince is when parts on trial ceased to be in doubt.
	unsuspectedSince map[parts.Key]time.Duration
	partTrials       partTrials
	copies           suspectCopies
	// unrecorded is what daemons are told while the record lags behind.
	unrecorded unrecorded
}

// takeoverDelay is how long proxies need to find a new leader and report everything they know.
const takeoverDelay = time.Second

// reviewPeriod is how long after the last report the record is reviewed in each round. It covers
// the wait for late reports and the commit.
const reviewPeriod = 3 * time.Second

// refutations are reports that remove something from the record. They are kept until the removal
// is committed.
type refutations struct {
	alive      map[string]quarantine.LiveReplica // replicas found alive, by name
	reportedAt map[string]time.Duration          // when each was reported alive
	served     map[quarantine.Fingerprint]bool
}

func newRefutations() refutations {
	return refutations{alive: map[string]quarantine.LiveReplica{}, reportedAt: map[string]time.Duration{}, served: map[quarantine.Fingerprint]bool{}}
}

func newQuarantineTracker() *quarantineTracker {
	tracker := &quarantineTracker{
		table: quarantine.NewTable(), parts: parts.NewTable(), refuted: newRefutations(), alertUntil: map[string]time.Duration{},
		sentEarly: map[quarantine.Fingerprint]bool{}, unsuspectedSince: map[parts.Key]time.Duration{}, partTrials: partTrials{}, copies: suspectCopies{},
	}
	tracker.table.SetOtherCause(tracker.parts.HasHarmfulPart)
	return tracker
}

// addProxyReport adds a proxy's report.
func (d *quarantineTracker) addProxyReport(report feed.CrashReport, now time.Duration) findings {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, alive := range report.Alive {
		d.refuted.alive[alive.Replica], d.refuted.reportedAt[alive.Replica] = alive, now
	}
	for _, fingerprint := range report.Served {
		d.refuted.served[fingerprint] = true
	}
	return d.addLocked(report, now)
}

// addEvidence adds evidence that another member sent or that was stored on disk. It removes nothing
// from the record: proxies report refutations to the leader themselves.
func (d *quarantineTracker) addEvidence(report feed.CrashReport, now time.Duration) findings {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.addLocked(report, now)
}

// observations returns the known crash observations, for members that need all of them.
func (d *quarantineTracker) observations(now time.Duration) []quarantine.AgedEvidence {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.table.Reports(now, maxEvidence)
}

// observationsOf returns the known crash observations of the given requests.
func (d *quarantineTracker) observationsOf(fingerprints []quarantine.Fingerprint, now time.Duration) []quarantine.AgedEvidence {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.table.ReportsOf(fingerprints, now, maxEvidence)
}

// notableObservations returns the known crash observations of the requests that are worth watching:
// those with a series of crashes, and suspects.
func (d *quarantineTracker) notableObservations(now time.Duration) []quarantine.AgedEvidence {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.table.NotableReports(now, maxEvidence)
}

// findings are the new facts of a report and, among them, those to forward to other members.
// Crashes are identified by their requests.
type findings struct {
	isNew  bool
	ended  []quarantine.Fingerprint
	alive  []quarantine.LiveReplica
	served []quarantine.Fingerprint
}

// addLocked adds a report to the table. The caller holds the lock.
func (d *quarantineTracker) addLocked(report feed.CrashReport, now time.Duration) (found findings) {
	before := d.table.Changes()
	d.reviewUntil = now + reviewPeriod
	for _, crash := range report.Crashes {
		known := d.table.Changes()
		d.table.NoteAged(now, crash.Age, crash.Evidence)
		if d.table.Changes() != known && d.table.ShouldReportNow(now, crash.Fingerprint) {
			found.ended = append(found.ended, crash.Fingerprint)
		}
		if d.table.FailedRepeatedly(crash.Fingerprint) && !crash.Read {
			d.raiseAlert(crash.RequestInfo.Service, now)
		}
	}
	for _, alive := range report.Alive {
		if d.table.AnyRequestFailedRepeatedly(alive.Replica) {
			found.alive = append(found.alive, alive)
		}
		d.table.RefuteFailures(now, alive)
	}
	for _, fingerprint := range report.Served {
		if d.table.FailedRepeatedly(fingerprint) {
			found.served = append(found.served, fingerprint)
		}
		d.table.RecordServed(now, fingerprint)
	}
	found.isNew = d.table.Changes() != before
	if found.isNew && before == d.unrecorded.recordedChangeCount {
		d.unrecorded.heardAt = now
	}
	return found
}

// alertDuration is how long a series of crashes is assumed to continue after its last crash, or
// after the last placement request of a suspect with at least two crashes.
const alertDuration = 10 * time.Second

// isAlert reports whether a series of crashes of the service's replicas is assumed to continue.
func (d *quarantineTracker) isAlert(service string, now time.Duration) bool {
	if int64(now) >= d.latestAlert.Load() {
		return false
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	return now < d.alertUntil[service]
}

// isSuspect reports whether a replica recently crashed under the named request. As a side effect, a
// request with a series of crashes extends the alert each time it is to be placed. Otherwise copies
// that waited for the whole alert would all be sent at once when it ends.
func (d *quarantineTracker) isSuspect(name string, now time.Duration) bool {
	fingerprint, ok := fingerprintOf(name)
	if !ok {
		return false
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	if !d.table.IsSuspect(now, fingerprint) {
		return false
	}
	if d.table.FailedRepeatedly(fingerprint) {
		_, requestInfo := d.table.FailedReplicas(fingerprint)
		d.raiseAlert(requestInfo.Service, now)
	}
	return true
}

// mustWait reports whether a copy of the named request has to wait because the request is about to
// be held: the record reaches the proxies a few hundred milliseconds after the deciding crash, and
// each copy sent until then would crash a replica. While a new leader still collects reports that
// may clear the request, it lets one copy through, whose answer or crash is reported to it.
// mustWait therefore returns false once per request and term, and records that in sentEarly.
func (d *quarantineTracker) mustWait(name string, now time.Duration) bool {
	fingerprint, ok := fingerprintOf(name)
	if !ok {
		return false
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.hasInitialReports(now) {
		return d.isAboutToBeHeld(fingerprint, now)
	}
	if !d.table.IsHarmfulWithoutSuccessWait(fingerprint) {
		return false
	}
	before := d.sentEarly[fingerprint]
	d.sentEarly[fingerprint] = true
	return before
}

// fingerprintOf converts the request name of a placement request to a fingerprint; ok is false if
// there is none.
func fingerprintOf(name string) (fingerprint quarantine.Fingerprint, ok bool) {
	ok = copy(fingerprint[:], name) == len(fingerprint)
	return fingerprint, ok
}

// raiseAlert marks that replicas of the service crash in series. The caller holds the lock.
func (d *quarantineTracker) raiseAlert(service string, now time.Duration) {
	d.alertUntil[service] = now + alertDuration
	d.latestAlert.Store(int64(now + alertDuration))
}

// forget drops what is known of a request that an operator has released.
func (d *quarantineTracker) forget(fingerprint quarantine.Fingerprint) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.table.Forget(fingerprint)
	d.parts.Forget(fingerprint)
}

// restoreRefutations returns refutations that were not committed, so that the next review applies
// them.
func (d *quarantineTracker) restoreRefutations(refuted refutations, now time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.reviewUntil = now + reviewPeriod
	maps.Copy(d.refuted.alive, refuted.alive)
	maps.Copy(d.refuted.reportedAt, refuted.reportedAt)
	maps.Copy(d.refuted.served, refuted.served)
}

// RecordCrashes adds a proxy's report of requests under which replicas crashed.
func (g *group) RecordCrashes(report feed.CrashReport) {
	now := monotonic()
	g.restarts.note(now, report)
	g.evidence.note(report, now)
}

// release removes a request from the quarantine record on behalf of an operator.
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
	if fingerprint, ok := quarantine.ParseFingerprint(name); ok {
		current.evidence.tracker.forget(fingerprint)
	}
	event.QuarantineEnded.Log(s.member.logger, "fingerprint", name, "by", "operator", "err", nil)
	writeJSON(w, http.StatusOK, operatorapi.Released{Fingerprint: name})
}
