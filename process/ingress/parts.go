package ingress

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/guard"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
)

// minOutputEvents is the number of events from which a run has shown that its request does not crash
// the replica. A run that does may produce one event before.
const minOutputEvents = 2

// partRun returns the parts of the prompt as the guard knows them. They are computed only when
// needed: while parts are suspected of crashing replicas, or if a replica seems to crash during this
// request.
func (s *session) partRun() parts.Run {
	if s.cachedPartRun == nil {
		run := parts.Run{Service: s.upstream.service, Caller: parts.CallerKey(s.call.Caller)}
		for _, id := range s.sharedParts(parts.MaxPartsPerRun) {
			run.Parts = append(run.Parts, parts.KeyOf(run.Service, s.call.Work.Model, id))
		}
		s.cachedPartRun = &run
	}
	return *s.cachedPartRun
}

// partHold reports whether the request must not be sent to any replica because of a part of its
// prompt, and why. wall is the wall-clock time.
func (s *session) partHold(wall time.Time) (hold guard.Hold, held bool) {
	if !s.hasSuspectParts() {
		return guard.Hold{}, false
	}
	return s.ingress.guard.CheckParts(s.ingress.now(), wall, s.partRun(), s, s.mayHaveCrashed())
}

// hasSuspectParts reports whether a part of the prompt may be suspected of crashing replicas.
func (s *session) hasSuspectParts() bool {
	return s.ingress.guard.PartsActive() && len(s.call.Work.Parts) >= 2
}

const (
	// maxTrialWait limits each wait for the trial of a part. A harmless part is cleared once the request that
	// tries it is answered.
	maxTrialWait = time.Second
	// trialPollInterval is the time between two checks during that wait.
	trialPollInterval = 20 * time.Millisecond
	// claimTimeout is how long to wait for the control group's answer to a claim.
	claimTimeout = 200 * time.Millisecond
)

// awaitPartTrial waits while a part of the prompt is on trial: until this request gets the trial or the part is
// cleared. It returns the last hold, and false if the request may be sent. Any other hold is returned at once.
func (s *session) awaitPartTrial(ctx context.Context, hold guard.Hold) (_ guard.Hold, held bool) {
	began := s.ingress.now()
	for held = true; held && hold.Basis == guard.BasisPartTrial; hold, held = s.quarantineHold() {
		if s.claimPartTrial(ctx) {
			event.PartTrialBegan.Log(s.ingress.logger, "request", s.call.ID, "parts", strings.Join(s.sharedParts(maxLoggedParts), ","),
				"waited_ms", (s.ingress.now() - began).Milliseconds())
			continue
		}
		isOver := s.ingress.now()-began >= maxTrialWait || s.remaining() <= 2*trialPollInterval
		if isOver || !pause.Sleep(ctx, trialPollInterval) {
			return hold, true
		}
		s.ingress.routes() // applies the latest quarantine record
	}
	if waited := s.ingress.now() - began; waited >= trialPollInterval {
		fmt.Fprintf(&s.trace, " awaited_part(%s)", waited.Round(time.Millisecond))
	}
	return hold, held
}

// claimPartTrial claims the trial of the part that is on trial. A request under which a replica may have crashed is no
// trial: it could cost a second one.
func (s *session) claimPartTrial(ctx context.Context) bool {
	if s.mayHaveCrashed() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return s.ingress.guard.ClaimPartTrial(ctx, s.ingress.now(), s.partRun(), s)
}

// triesPart reports whether the request is sent to find out whether a part of its prompt is harmful.
func (s *session) triesPart() bool {
	return s.ingress.guard.PartsActive() && s.ingress.guard.IsPartTrial(s.partRun(), s)
}

// notePartStart notes that a run has produced output and its replica still runs.
func (s *session) notePartStart(sent *send) {
	if !s.ingress.guard.PartsActive() {
		return
	}
	now := s.ingress.now()
	s.ingress.guard.NotePartStart(now, parts.Start{Run: s.partRun(), Age: now - sent.firstEventAt})
}

// noteWholeAnswer notes that a run has ended with a complete answer.
func (s *session) noteWholeAnswer(sent *send) {
	if sent.events >= minOutputEvents {
		return // noted before
	}
	if sent.events == 0 {
		sent.firstEventAt = s.ingress.now()
	}
	s.notePartStart(sent)
}

// notePartCrash notes that a replica's process seems to have crashed during a run of the request.
func (s *session) notePartCrash(process crashedProcess, sent *send, brokenAt time.Duration, state addressState) {
	run := s.partRun()
	if len(run.Parts) == 0 {
		return
	}
	now := s.ingress.now()
	hasOutput := sent.events >= minOutputEvents
	s.ingress.guard.NotePartCrash(now, parts.Crash{
		Run: run, Request: s.fingerprint(), Replica: process.name, UniqueName: process.isUnique, Begun: hasOutput,
		MayBeAlive: hasOutput || state == addressListens, RunTime: brokenAt - sent.at, Age: now - brokenAt,
	})
}
