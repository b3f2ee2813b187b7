package ingress

import (
	"time"

	"github.com/landingtrail/landingtrail/process/guard"
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
	if !s.ingress.guard.PartsActive() || len(s.call.Work.Parts) < 2 {
		return guard.Hold{}, false
	}
	return s.ingress.guard.CheckParts(s.ingress.now(), wall, s.partRun(), s, s.sendCount > 0)
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

// notePartCrash notes that a replica seems to have crashed during a run of the request.
func (s *session) notePartCrash(target *replica, sent *send, brokenAt time.Duration, state addressState) {
	run := s.partRun()
	if len(run.Parts) == 0 {
		return
	}
	now := s.ingress.now()
	hasOutput := sent.events >= minOutputEvents
	s.ingress.guard.NotePartCrash(now, parts.Crash{
		Run: run, Request: s.fingerprint(), Replica: target.incarnation(), UniqueName: target.spec().Born != 0, Begun: hasOutput,
		MayBeAlive: hasOutput || state == addressListens, RunTime: brokenAt - sent.at, Age: now - brokenAt,
	})
}
