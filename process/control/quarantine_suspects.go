package control

import (
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

// A single crash under a request proves nothing, and proxies and the leader keep it in memory only.
// If all of them are lost at once, as in a power failure, a harmful request could crash as many
// replicas again before it is held. So the latest single crashes are recorded for a short time, for
// the next leader only.

// Limits of the recorded suspects.
const (
	// suspectRecordDuration is how long a single crash is recorded: callers retry failed requests
	// within seconds, and all processes have restarted within some more.
	suspectRecordDuration = time.Minute
	// maxSuspects limits the suspects, since each is sent to every daemon: a replica that crashes
	// by itself makes suspects of all requests that were in flight.
	maxSuspects = 32
	// maxSuspectParts limits the parts recorded of one suspect, for the same reason.
	maxSuspectParts = 8
)

// recordSuspects adds the single crashes that are not recorded yet, the latest first.
func (d *quarantineTracker) recordSuspects(changes *state.Observe, current *view.View, now time.Duration, wall time.Time) {
	left := maxSuspects - len(current.Suspects)
	for _, fingerprint := range d.table.SingleIncidentSuspects(now) {
		if left <= 0 {
			return
		}
		name := fingerprint.String()
		if current.Suspects[name] != nil || current.Quarantines[name] != nil || d.needsTrial(current, fingerprint) {
			continue
		}
		left--
		replicas, requestInfo := d.table.FailedReplicas(fingerprint)
		labels := d.suspectLabels(fingerprint, replicas[0])
		changes.Put = append(changes.Put, api.Object{Suspect: &api.Suspect{Metadata: api.Metadata{Name: name, Labels: labels}, Spec: api.SuspectSpec{
			Service: requestInfo.Service, Route: requestInfo.Route, Request: requestInfo.Request, Replica: replicas[0],
			EndedAt: d.firstCrashAt(fingerprint, now, wall), Until: wall.Add(suspectRecordDuration).UnixMilli(),
		}}})
	}
}

// suspectLabels returns the labels that record which parts of a request may have caused the crash of a replica. Parts
// with further crashes are on record by themselves.
func (d *quarantineTracker) suspectLabels(fingerprint quarantine.Fingerprint, replica string) api.Labels {
	found := d.parts.SinglesIn(fingerprint, quarantine.ReplicaOf(replica))
	callersOf := map[string][]string{}
	for _, suspected := range found[:min(len(found), maxSuspectParts)] {
		callersOf[suspected.Part.String()] = callerNames(suspected.Callers)
	}
	return api.SuspectLabels(callersOf)
}

// reviewSuspects removes the suspects that are expired, refuted or recorded as quarantines from
// the record. This leader keeps what it knows of them: the record only holds what would be lost
// between leaders.
func (d *quarantineTracker) reviewSuspects(changes *state.Observe, current *view.View, refuted *refutations, now time.Duration, wall time.Time) {
	for _, name := range slices.Sorted(maps.Keys(current.Suspects)) {
		fingerprint, ok := quarantine.ParseFingerprint(name)
		isOver := wall.UnixMilli() >= current.Suspects[name].Spec.Until
		isRecordedElsewhere := d.table.Verdict(now, fingerprint) != quarantine.Free || current.Quarantines[name] != nil
		if !ok || isOver || isRecordedElsewhere || refuted.served[fingerprint] || d.table.CountFailures(fingerprint) == 0 {
			changes.Removed = append(changes.Removed, api.Key{Kind: api.KindSuspect, Name: name})
			continue
		}
		// Parts are reported after their request, and cleared by later answers.
		known := current.Suspects[name]
		if labels := d.suspectLabels(fingerprint, known.Spec.Replica); !maps.Equal(labels, known.Labels) {
			changes.Put = append(changes.Put, api.Object{Suspect: &api.Suspect{Metadata: api.Metadata{Name: name, Labels: labels}, Spec: known.Spec}})
		}
	}
}

// loadSuspects loads the recorded single crashes into the table when this member becomes leader.
// How long the request had run before the crash is not recorded. Simultaneous is therefore assumed:
// that it had run long enough for its crash to count as one with all other crashes at that moment.
func (d *quarantineTracker) loadSuspects(current *view.View, now time.Duration, wall time.Time) {
	for name, known := range current.Suspects {
		fingerprint, ok := quarantine.ParseFingerprint(name)
		if !ok {
			continue
		}
		spec := &known.Spec
		recorded := quarantine.Record{
			Simultaneous: true, About: quarantine.RequestInfo{Service: spec.Service, Route: spec.Route, Request: spec.Request},
		}
		age := max(wall.Sub(time.UnixMilli(spec.EndedAt)), 0)
		d.table.NoteAged(now, age, recorded.Evidence(fingerprint, spec.Replica))
		for _, part := range known.Parts() {
			key, ok := quarantine.ParseFingerprint(part)
			if !ok || current.Quarantines[part] != nil {
				continue
			}
			d.parts.Restore(now, key, parts.Record{
				Service: spec.Service, Replicas: []string{quarantine.ReplicaOf(spec.Replica)}, Callers: callerKeys(known.PartCallers(part)), Age: age,
				Requests: []quarantine.Fingerprint{fingerprint}, IsSingle: true,
			})
		}
	}
}

// logSuspect logs that a single crash was recorded.
func logSuspect(logger log.Logger, known *api.Suspect, err error) {
	event.SuspectRecorded.Log(logger, "fingerprint", known.Name, "service", known.Spec.Service, "route", known.Spec.Route,
		"request", known.Spec.Request, "replica", known.Spec.Replica, "err", err)
}
