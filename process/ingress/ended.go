package ingress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/guard"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/pkg/errors"
)

// fingerprint identifies the request by its content, since its ID differs each time it is sent. It
// is computed only when needed: while requests are suspected of crashing replicas, if a replica
// seems to crash during this one, or if the control group asks for fingerprints.
func (s *session) fingerprint() quarantine.Fingerprint {
	if s.cachedFingerprint == nil {
		identity := quarantine.RequestIdentity{
			Method: s.call.Method, Host: s.call.Host, Path: s.call.Path, Caller: s.call.Caller, Body: s.call.Body,
		}
		// A body tells what is requested; without one, the query does.
		if len(s.call.Body) == 0 {
			_, identity.Query, _ = strings.Cut(s.call.Target, "?")
		}
		computed := quarantine.FingerprintOf(identity)
		s.cachedFingerprint = &computed
	}
	return *s.cachedFingerprint
}

// knownFingerprint returns the fingerprint if it was computed, and an empty string otherwise. In a
// log line it shows whether a request on record was served elsewhere.
func (s *session) knownFingerprint() string {
	if s.cachedFingerprint == nil {
		return ""
	}
	return s.cachedFingerprint.String()
}

// noteBrokenConnection records that a replica's connection broke while it processed the request,
// which may be due to a crash of the replica. It does nothing for other errors, or if ctx has
// ended, or if this proxy reaches no replica. It marks the replica as crashed and reports the
// evidence, with the time that has passed: until it is known whether a replica is reached, and, if a
// run was isolated or had hardly produced output, when the evidence weighs most, until the replica's
// address was probed, which takes up to probeTimeout.
func (s *session) noteBrokenConnection(ctx context.Context, stage string, target *replica, sent *send, err error) {
	if ctx.Err() != nil || !isConnectionClosed(err) {
		return
	}
	s.ingress.metrics.brokenConnections.WithLabelValues(s.upstream.service, stage).Inc()
	brokenAt := s.ingress.now()
	s.recordFailure(err)
	state := addressUnknown
	if stage == stageRun && (s.isolated || sent.events < minOutputEvents) {
		state = s.ingress.probeAddress(ctx, target)
	}
	if !s.isReplicaFault(ctx, err) {
		s.crashUnknown = s.crashUnknown || stage == stageRun
		return
	}
	isolated := s.isolated && state == addressRefuses
	process := s.crashedProcessOf(target, sent, state)
	event.RunBroken.Log(s.ingress.logger, "request", s.call.ID, "fingerprint", s.fingerprint(), "route", s.route.Name,
		"stage", stage, "replica", process.name, "after_ms", (brokenAt - sent.at).Milliseconds(),
		"events", sent.events, "alone", isolated, "listens", state == addressListens, "leaving", target.isLeaving(),
		"parts", strings.Join(s.sharedParts(maxLoggedParts), ","), "model", s.call.Work.Model, "tokens", s.call.Work.PromptTokens,
		"software", target.spec().SoftwareVersion, "length", sent.bodyEnd, "err", err)
	if stage == stageRun {
		s.crashes++
	}
	target.noteCrash(brokenAt)
	if state == addressRefuses {
		target.noteRefused(brokenAt)
	}
	evidence := quarantine.Evidence{
		Fingerprint: s.fingerprint(), Replica: process.name, HadOutput: sent.events >= minOutputEvents, Read: stage == stagePrefill,
		OnlyInFlight: isolated, StillListening: state == addressListens, RunTime: brokenAt - sent.at, UniqueName: process.isUnique,
		RequestInfo: quarantine.RequestInfo{Service: s.upstream.service, Route: s.route.Name, Request: s.call.ID},
	}
	now := s.ingress.now()
	s.ingress.guard.NoteCrash(now, quarantine.AgedEvidence{Evidence: evidence, Age: now - brokenAt})
	if stage == stageRun {
		s.notePartCrash(process, sent, brokenAt, state)
	}
}

// mayHaveCrashed reports whether a replica may have crashed under the request.
func (s *session) mayHaveCrashed() bool { return s.crashes > 0 || s.crashUnknown }

// crashedProcess is the process of a replica that seems to have crashed.
type crashedProcess struct {
	name     string
	isUnique bool // no other process has the name
}

// crashedProcessOf returns the process that a broken run was sent to. The list of replicas may not show yet that
// the listed process has crashed and another one listens at its address, least of all while there is no leader:
// the second crash is then the other one's.
func (s *session) crashedProcessOf(target *replica, sent *send, state addressState) crashedProcess {
	listed, isUnique := target.incarnation(), target.spec().Born != 0
	if isUnique && state == addressRefuses && s.ingress.guard.HasCrashedBefore(listed, sent.at) {
		return crashedProcess{name: quarantine.SuccessorName(listed)}
	}
	return crashedProcess{name: listed, isUnique: isUnique}
}

// maxLoggedParts limits the prompt parts that a log line names.
const maxLoggedParts = 16

// sharedParts returns the IDs of the first parts of the prompt, at most limit. It leaves out the last
// part of the prompt, which belongs to this request or its session alone.
func (s *session) sharedParts(limit int) []string {
	parts := s.call.Work.Parts
	shared := parts[:min(max(len(parts)-1, 0), limit)]
	ids := make([]string, 0, len(shared))
	for _, part := range shared {
		ids = append(ids, part.ID)
	}
	return ids
}

// probeTimeout limits the check whether a replica still listens. One that does so normally accepts
// a connection within a few milliseconds.
const probeTimeout = 250 * time.Millisecond

// addressState is the result of connecting to a replica's address.
type addressState uint8

const (
	addressUnknown addressState = iota
	addressListens              // connections are accepted
	addressRefuses              // connections are refused
)

// probeAddress checks whether anything listens at the address of a replica whose connection broke.
// A replica that merely resets connections, as a faulty one does, continues to listen. Any error
// but a refused connection, such as an unreachable host, proves nothing.
func (i *Ingress) probeAddress(ctx context.Context, target *replica) addressState {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := i.dial(ctx, target.spec().Address)
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent on it
		return addressListens
	case errors.Is(err, syscall.ECONNREFUSED):
		return addressRefuses
	}
	return addressUnknown
}

// noteAlive reports that a replica is alive if an answer to a request that was sent at sentAt
// refutes its suspected crash: the connection was opened before the crash, and the request was
// sent after it.
func (s *session) noteAlive(from *replica, sentAt time.Duration, answer *exchange.Response, reply *Reply) {
	if !reply.HasRequestID || reply.Misdirected {
		return
	}
	now, incarnation := s.ingress.now(), from.incarnation()
	opened := time.Now().Add(answer.ConnOpenedAt - now)
	if from.refutesCrash(sentAt, answer.ConnOpenedAt) || s.ingress.guard.RefutesCrashOnConnection(incarnation, sentAt, opened) {
		event.ReplicaLives.Log(s.ingress.logger, "request", s.call.ID, "replica", incarnation, "open_ms", (now - answer.ConnOpenedAt).Milliseconds())
		s.ingress.guard.NoteAlive(now, quarantine.LiveReplica{Replica: incarnation, RunningFor: now - answer.ConnOpenedAt})
	}
}

// quarantineHold reports whether the request must not be sent to any replica because it, or a part of
// its prompt, crashes them, and why. If the request is on trial, quarantineHold claims the trial for this
// session if it can; see guard.Guard.CheckHold and CheckParts.
func (s *session) quarantineHold() (hold guard.Hold, quarantined bool) {
	if s.ingress.guard.Active() {
		hold, quarantined = s.ingress.guard.CheckHold(s.ingress.now(), time.Now(), s.fingerprint(), s)
	}
	if quarantined {
		return hold, true
	}
	return s.partHold(time.Now())
}

// endTrial allows another copy of the request, or another request with a part of its prompt, to be tried if
// this one was on trial.
func (s *session) endTrial() {
	if s.cachedFingerprint != nil { // otherwise it was never on trial
		s.ingress.guard.EndTrial(*s.cachedFingerprint, s)
	}
	if s.cachedPartRun != nil {
		s.ingress.guard.EndPartTrial(*s.cachedPartRun, s, s.mayHaveCrashed())
	}
}

// refuseQuarantined immediately answers a request that crashes replicas, and returns the status as
// run does. If the request has certainly not run, the answer tells the caller to retry when the
// hold ends.
func (s *session) refuseQuarantined(hold guard.Hold) int {
	s.ingress.metrics.quarantinedRequests.WithLabelValues(s.upstream.service).Inc()
	event.RequestHeld.Log(s.ingress.logger, "request", s.call.ID, "fingerprint", s.fingerprint(), "route", s.route.Name,
		"parts", strings.Join(s.sharedParts(maxLoggedParts), ","),
		"sends", s.sendCount, "by", hold.Basis, "rest_ms", hold.Remaining.Milliseconds())
	ran := s.lifecycle.GiveUp()
	if s.headSent {
		s.trace.WriteString(" cut:" + causeQuarantined)
		return 0
	}
	if ran == attempt.RanNo {
		return s.answerError(http.StatusServiceUnavailable, causeQuarantined, hold.Remaining)
	}
	return s.answerError(http.StatusBadGateway, causeQuarantined, 0)
}

// causeQuarantined is returned to the caller of a quarantined request.
const causeQuarantined = "quarantined"

// isConnectionClosed reports whether the other side closed or reset the connection. No answer at
// all, and a malformed answer, are different faults, which do not suggest that the replica has
// crashed.
func isConnectionClosed(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, errEventTruncated, errEndedWithReplica, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
