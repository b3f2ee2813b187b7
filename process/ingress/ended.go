package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/pkg/errors"
)

// fingerprint names the request by what it is; its ID is new each time it comes. It is
// worked out only once it is needed: on calm days never.
func (s *session) fingerprint() quarantine.Fingerprint {
	if s.cachedFingerprint == nil {
		identity := quarantine.Identity{
			Method: s.call.Method, Host: s.call.Host, Path: s.call.Path, Caller: s.call.Caller, Body: s.call.Body,
		}
		if len(s.call.Body) == 0 {
			_, identity.Query, _ = strings.Cut(s.call.Target, "?")
		}
		named := quarantine.Of(identity)
		s.cachedFingerprint = &named
	}
	return *s.cachedFingerprint
}

// knownFingerprint names the request if that was worked out, as it is while replicas are on
// record as ended; empty otherwise. A log line with it tells whether a request on record was
// served elsewhere.
func (s *session) knownFingerprint() string {
	if s.cachedFingerprint == nil {
		return ""
	}
	return s.cachedFingerprint.String()
}

// noteBroken notes that a replica's connection broke while it was at work on the request,
// as it does when the replica ends.
func (s *session) noteBroken(ctx context.Context, stage string, target *replica, sent *send, err error) {
	if ctx.Err() != nil || !isBroken(err) {
		return
	}
	s.ingress.metrics.broken.WithLabelValues(s.upstream.service, stage).Inc()
	now := s.ingress.now()
	looked := addressUnknown
	if stage == stageRun && (s.isolated || sent.events == 0) {
		looked = lookAt(target)
	}
	alone := s.isolated && looked == addressRefuses
	event.RunBroken.Log(s.ingress.logger, "request", s.call.ID, "fingerprint", s.fingerprint(), "route", s.route.Name,
		"stage", stage, "replica", target.incarnation(), "after_ms", (now - sent.at).Milliseconds(),
		"events", sent.events, "alone", alone, "listens", looked == addressListens, "leaving", target.isLeaving(), "err", err)
	if stage == stageRun {
		s.crashes++
	}
	target.noteEnd(now)
	s.ingress.guard.Ended(now, quarantine.Evidence{
		Fingerprint: s.fingerprint(), Replica: target.incarnation(), Began: sent.events > 0, Read: stage == stagePrefill,
		Alone: alone, Listens: looked == addressListens, Ran: now - sent.at, Once: target.listed().Born != 0,
		About: quarantine.About{Service: s.upstream.service, Route: s.route.Name, Request: s.call.ID},
	})
}

// endedTimeout bounds the question whether a replica has ended: one that listens takes a
// connection within some milliseconds.
const endedTimeout = 250 * time.Millisecond

// addressState is what became of a connection to the address of a replica.
type addressState uint8

const (
	addressUnknown addressState = iota
	addressListens              // somebody takes connections
	addressRefuses              // nobody does
)

// lookAt tells whether anybody listens at the address of a replica whose connection broke. A
// replica that merely resets connections, as a faulty one does, goes on listening.
func lookAt(target *replica) addressState {
	conn, err := net.DialTimeout("tcp", target.listed().Address, endedTimeout)
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent on it
		return addressListens
	case errors.Is(err, syscall.ECONNREFUSED):
		return addressRefuses
	}
	return addressUnknown
}

// noteAnswer notes that a replica has answered what was sent to it then. Where that came on
// a connection that was open before it seemed to end, it lives.
func (s *session) noteAnswer(from *replica, sentAt time.Duration, answer *exchange.Answer, reply *Reply) {
	if !reply.Named || reply.Misdirected {
		return
	}
	now, incarnation := s.ingress.now(), from.incarnation()
	opened := time.Now().Add(answer.Opened - now)
	if from.refutesEnd(sentAt, answer.Opened) || s.ingress.guard.DoubtsSince(incarnation, sentAt, opened) {
		event.ReplicaLives.Log(s.ingress.logger, "request", s.call.ID, "replica", incarnation, "open_ms", (now - answer.Opened).Milliseconds())
		s.ingress.guard.Lives(now, quarantine.Alive{Replica: incarnation, For: now - answer.Opened})
	}
}

// held reports whether the request is to go to no replica since replicas end under it, and
// for how long.
func (s *session) quarantineHold() (rest time.Duration, held bool) {
	if !s.ingress.guard.Active() {
		return 0, false
	}
	return s.ingress.guard.Holds(s.ingress.now(), time.Now(), s.fingerprint(), s)
}

// endTrial lets the next one try the request, if this one did.
func (s *session) endTrial() {
	if s.cachedFingerprint != nil { // else it was not looked at
		s.ingress.guard.EndTrial(*s.cachedFingerprint, s)
	}
}

// refuseHeld answers a request under which replicas end, at once. It may come back when
// the hold is over.
func (s *session) refuseQuarantined(rest time.Duration) int {
	s.ingress.metrics.held.WithLabelValues(s.upstream.service).Inc()
	event.RequestHeld.Log(s.ingress.logger, "request", s.call.ID, "fingerprint", s.fingerprint(), "route", s.route.Name,
		"sends", s.sendCount, "rest_ms", rest.Milliseconds())
	ran := s.lifecycle.GiveUp()
	if s.headSent {
		s.trace.WriteString(" cut:" + causeQuarantined)
		return 0
	}
	if ran == attempt.RanNo {
		return s.refuse(http.StatusServiceUnavailable, causeQuarantined, rest)
	}
	return s.refuse(http.StatusBadGateway, causeQuarantined, 0)
}

// causeHeld is told to the caller of a request that goes to no replica.
const causeQuarantined = "quarantined"

// isBroken reports whether a connection was closed or reset by the other side. Silence
// and bytes that are no answer are other faults: the replica may well live on.
func isBroken(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, errEventCut, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
