package ingress

import (
	"context"
	"fmt"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/request/placement"
)

// placeTimeout is how long to wait for a decision of the control group before this proxy decides
// by itself.
const placeTimeout = 30 * time.Millisecond

// place asks the control group where to send the request, and asks again after each wait that the
// control group requires. It returns false if this proxy has to choose by itself: there is no
// control group, it does not answer in time, or it names replicas that do not accept requests
// according to this proxy. It also returns false when ctx ends. If the control group finds no
// replica that accepts the request, it returns an empty plan and true.
func (s *session) place(ctx context.Context) (plan, bool) {
	if s.ingress.placer == nil {
		return plan{}, false
	}
	number := s.ingress.placementNumbers.Add(1)
	replacements := 0
	for {
		request := s.placementRequest()
		s.placedDirect = request.DirectOnly
		answer, err := s.askPlace(ctx, number, request)
		if err != nil {
			s.trace.WriteString(" unplaced")
			s.abandonPlacement(number)
			return plan{}, false
		}
		// The control group asks for the fingerprint of the request.
		if answer.NeedsFingerprint {
			s.ingress.fingerprintsUntil.Store(int64(s.ingress.now() + fingerprintTime))
			continue
		}
		if answer.Refused {
			return plan{refused: true, retryAfter: answer.RetryAfter}, true
		}
		if answer.Wait <= 0 {
			chosen, found := s.planFromAnswer(request, answer, number)
			if found && chosen.target != nil && !s.fitsVersion(chosen.target) {
				chosen.tracked.report(placement.StepEnded, "", 0)
				s.excluded[chosen.target.name] = true
				if replacements < maxReplacements {
					replacements++
					continue
				}
				return plan{}, false
			}
			if found && chosen.target != nil && !s.obtainPermits(ctx, &chosen) {
				chosen.tracked.report(placement.StepEnded, "", 0)
				chosen, found = plan{}, false
			}
			if !found && replacements < maxReplacements && s.namesClosedReplica(answer) {
				replacements++
				continue // the next placement request lists it as excluded
			}
			return chosen, found
		}
		fmt.Fprintf(&s.trace, " waits(%s)", answer.Wait.Round(time.Millisecond))
		event.RequestWaits.Log(s.ingress.logger, "request", s.call.ID, "generation", s.generation, "wait_ms", answer.Wait.Milliseconds())
		if !pause.Sleep(ctx, min(answer.Wait, maxPlacementWait)) {
			return plan{}, false
		}
		s.ingress.routes() // applies the latest list of replicas and quarantine record
		if _, quarantined := s.quarantineHold(); quarantined {
			return plan{quarantined: true}, true // refused now instead of waiting on
		}
	}
}

// maxReplacements limits how often a request is placed again because the chosen replica asked
// this proxy for a pause in the meantime. Asking the control group again is preferable to a local
// choice, since only the control group isolates requests that may crash replicas.
const maxReplacements = 3

// namesClosedReplica reports whether an answer names a replica that must not be sent anything
// because it pauses or is leaving.
func (s *session) namesClosedReplica(answer placement.Answer) bool {
	for _, name := range []string{answer.Generator, answer.Reader} {
		if named := s.upstream.find(name); named != nil && named.holdoff.State(s.ingress.now()) == holdoff.Closed {
			return true
		}
	}
	return false
}

// abandonPlacement tells the control group that its decision, should it still make one, will not
// be followed. Otherwise the request would be counted at its replica on the placement board, the
// table of placed requests of the member that decides, until its deadline.
func (s *session) abandonPlacement(number uint64) {
	s.ingress.placer.RecordProgress(feed.PlacementProgress{
		Service: s.upstream.service, Number: number, Note: placement.ProgressReport{Step: placement.StepEnded},
	})
}

// fingerprintTime is how long all placement requests include the fingerprint after the control
// group has asked for one. If the control group had to ask for each one, each would cost a further
// round trip.
const fingerprintTime = 5 * time.Second

// maxPlacementWait limits each wait before the control group is asked again: the expected change,
// such as a free replica, may come earlier than estimated, or not at all.
const maxPlacementWait = 200 * time.Millisecond

// askPlace sends a placement request and waits up to placeTimeout for the decision.
func (s *session) askPlace(ctx context.Context, number uint64, request placement.Request) (placement.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	return s.ingress.placer.Place(ctx, feed.PlaceRequest{Service: s.upstream.service, Number: number, Ask: request})
}

// planFromAnswer looks up the replicas that an answer names, and adds the request to those in
// flight. It returns false if one of them cannot be used.
func (s *session) planFromAnswer(request placement.Request, answer placement.Answer, number uint64) (plan, bool) {
	if answer.Generator == "" {
		return plan{}, true // no replica accepts the request
	}
	tracked := s.track(request, answer, number)
	chosen := plan{
		target:         s.upstream.find(answer.Generator),
		prefiller:      s.upstream.find(answer.Reader),
		cacheSource:    s.upstream.find(answer.FetchFrom),
		uncachedTokens: answer.UnreadTokens,
		estimate:       answer.Estimate,
		tracked:        tracked,
		deferred:       answer.Deferred,
		isolated:       answer.Isolated,
		placed:         true,
	}
	s.wasIsolated = s.wasIsolated || answer.Isolated
	now := s.ingress.now()
	if !isUsable(answer.Generator, chosen.target, now) || !isUsable(answer.Reader, chosen.prefiller, now) {
		tracked.report(placement.StepEnded, "", 0)
		// Written also if the replica is known and pauses or is leaving.
		s.trace.WriteString(" unknown_replica")
		return plan{}, false
	}
	fmt.Fprintf(&s.trace, " placed(%d unread, %s)", answer.UnreadTokens, answer.Estimate.Round(time.Millisecond))
	if answer.FetchFrom != "" {
		fmt.Fprintf(&s.trace, " fetch(%s)", answer.FetchFrom)
	}
	return chosen, true
}

// isUsable reports whether a named replica accepts requests according to this proxy, whose
// information may be newer than that of the member that named it.
func isUsable(name string, found *replica, now time.Duration) bool {
	return name == "" || found != nil && found.acceptsRequests(now)
}

// objective returns the time from arrival within which the first event is due; 0 if there is no
// objective or the event has been received.
func (s *session) objective() time.Duration {
	if s.events > 0 {
		return 0
	}
	return milliseconds(s.route.ObjectiveMilliseconds)
}

// firstEventTimeout returns how much longer the caller waits for the first event; not positive if
// it has stopped waiting. Once events have been received, it returns the remaining time of the
// request.
func (s *session) firstEventTimeout() time.Duration {
	silence := s.ingress.config.Silence.limitFor(s.route)
	if silence == 0 || s.events > 0 {
		return s.remaining()
	}
	return min(s.remaining(), silence-(s.ingress.now()-s.arrivedAt))
}

// placementRequest returns the description of the request on which the control group bases its
// decision.
func (s *session) placementRequest() placement.Request {
	request := placement.Request{
		PromptTokens:    s.call.Work.PromptTokens,
		MaxOutputTokens: s.call.Work.OutputTokens,
		Priority:        s.priority,
		Zone:            s.ingress.config.Zone,
		Tenant:          s.call.Tenant,
		Objective:       s.objective(),
		Age:             s.ingress.now() - s.arrivedAt,
		Deadline:        s.firstEventTimeout(),
		Excluded:        s.avoidedReplicas(),
		Connected:       s.upstream.connectedReplicas(),
		Continued:       s.call.ResumeAfter != "" || s.lastEventID != "",
		DirectOnly:      !s.mayCoverPrefill(),
		Streams:         s.streams(),
	}
	request.SoftwareVersion, _ = s.requiredVersion()
	if int64(s.ingress.now()) < s.ingress.fingerprintsUntil.Load() {
		fingerprint := s.fingerprint()
		request.Fingerprint = string(fingerprint[:])
	}
	for _, part := range s.call.Work.Parts {
		request.Parts = append(request.Parts, placement.Part{ID: part.ID, Tokens: part.Tokens})
	}
	return request
}

// maxConnected limits the number of replicas that a placement request lists as connected. Of more
// replicas than that, most would hardly be used before their idle connections are closed.
const maxConnected = 64

// connectedReplicas returns the replicas to which an idle connection is open.
func (u *upstream) connectedReplicas() []string {
	var names []string
	for _, current := range u.fleet.inUse() {
		if len(names) == maxConnected {
			break
		}
		if u.pool.HasIdle(current.spec().Address) {
			names = append(names, current.name)
		}
	}
	return names
}

// find returns the replica with that name if it is listed or was named by the control group, or
// nil.
func (u *upstream) find(name string) *replica { return u.fleet.find(name, u.clock()) }
