package emulator

import (
	"time"

	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/request/attempt"
)

// stage is one piece of work of a flow on one engine: the prompt alone when
// next is set, else the run that generates the answer.
type stage struct {
	flow   *flow
	number uint32
	target *target
	next   *target // the engine that will generate
	handle string  // of imported KV cache
	// attempt is the attempt's number in the request's life, of a run.
	attempt  uint32
	sent     *dispatch
	closed   bool // no news of it counts any more
	admitted bool
}

func (s *stage) prefillOnly() bool { return s.next != nil }

func (s *stage) key() enginemodel.RunKey {
	return enginemodel.RunKey{ID: s.flow.id, Attempt: s.number}
}

func (s *stage) latency() time.Duration {
	return s.flow.run.latency(s.flow.proxy.zone, s.target.host.zone)
}

// send begins the attempt and hands the request to the network.
func (s *stage) send() {
	tokens := s.flow.item.PromptTokens
	if s.handle != "" {
		tokens = 0
	}
	s.sent = s.target.send(s.flow.run.now, tokens)
	if s.flow.proxy.links.isPartitioned() {
		s.flow.giveUp(reasonUnreachable)
		return
	}
	if !s.prefillOnly() {
		number, err := s.flow.lifecycle.Begin(s.target.host.name, s.target.host.model.Incarnation())
		if err != nil {
			s.flow.giveUp("attempt not allowed")
			return
		}
		s.attempt = number
		s.flow.received = 0
	}
	if s.flow.proxy.links.cut {
		s.unreached()
		return
	}
	if !s.prefillOnly() {
		s.flow.lifecycle.Wrote(s.attempt)
	}
	s.flow.run.after(s.latency(), s.reach)
}

// reach is the request's arrival at the engine.
func (s *stage) reach() {
	if s.closed {
		return // its cancel, sent later, would take it out at once
	}
	if s.flow.proxy.links.cut {
		s.flow.proxy.links.breakOff(s)
		return
	}
	host := s.target.host
	s.flow.run.limits.arrive(host, s.sent.at, s.latency())
	if host.down {
		s.refused(true)
		return
	}
	item := s.flow.item
	admission := host.admit(s, enginemodel.Request{
		Key:          s.key(),
		Model:        item.Model,
		Incarnation:  s.target.host.model.Incarnation(),
		Priority:     classPriorities[item.Class],
		PromptTokens: item.PromptTokens,
		OutputTokens: item.OutputTokens,
		Blocks:       s.flow.blocks,
		PrefillOnly:  s.prefillOnly(),
		Handle:       s.handle,
	})
	if !admission.Admitted {
		s.refused(phaseRefusal(host.phase()))
		return
	}
	s.admitted = true
	if s.prefillOnly() {
		return
	}
	s.flow.runs++
	s.flow.lifecycle.Admit(s.attempt, host.model.Incarnation())
}

// refused is an explicit refusal before admission, on its way back.
func (s *stage) refused(byPhase bool) {
	s.flow.run.after(s.latency(), func() {
		s.finish()
		if s.closed {
			return
		}
		s.closed = true
		if byPhase {
			s.target.refused = s.flow.run.now + refusalHold
		}
		if s.prefillOnly() {
			s.flow.splitAgain(s.target.host.name)
			return
		}
		s.flow.lifecycle.Fail(s.attempt, attempt.FaultRefused)
		s.flow.exclude(s.target.host.name)
		s.flow.retry("refused by engine", byPhase)
	})
}

func (s *stage) finish() {
	if s.sent != nil {
		s.sent.ended = true
	}
}

// token counts one token of the answer.
func (s *stage) token(event *enginemodel.Event) {
	if event.Offset == 0 && s.handle == "" {
		s.flow.cached = event.Cached
	}
	if s.closed || s.flow.closed {
		return
	}
	switch s.flow.lifecycle.Accept(s.attempt, event.Offset, 1) {
	case attempt.VerdictPass:
		s.flow.received++
	case attempt.VerdictGap:
		s.flow.run.result.WrongAnswer++
	}
}

// end is the engine's word that the stage has ended.
func (s *stage) end(event *enginemodel.Event) {
	s.finish()
	run := s.flow.run
	switch event.Kind {
	case enginemodel.EventCancelled:
		if !s.closed {
			run.result.CutShort++
			run.after(s.latency(), s.broken)
		}
	case enginemodel.EventExported:
		s.flow.cached = event.Cached
		handle := event.Handle
		run.after(s.latency(), func() { s.handOver(handle) })
	case enginemodel.EventFinished:
		run.after(s.latency(), s.whole)
	}
}

// whole is the arrival of the answer's last token.
func (s *stage) whole() {
	if s.closed || s.flow.closed {
		return
	}
	s.closed = true
	if !s.flow.lifecycle.Finish(s.attempt) {
		return
	}
	s.flow.stage = nil
	s.flow.close("")
}

// handOver moves the KV cache to the engine that generates.
func (s *stage) handOver(handle string) {
	if s.closed || s.flow.closed {
		return
	}
	s.closed = true
	source, destination := s.target.host, s.next.host
	run := s.flow.run
	export, kept := source.model.Export(run.now, handle)
	if source.down || destination.down || !kept {
		s.flow.splitAgain(source.name)
		return
	}
	ready, refusal := destination.model.Import(run.now, export)
	if refusal != enginemodel.RefusalNone {
		source.model.ReleaseExport(handle)
		s.flow.splitAgain(destination.name)
		return
	}
	run.at(ready, func() {
		source.model.ReleaseExport(handle)
		if !s.flow.closed {
			s.flow.open(&stage{flow: s.flow, target: s.next, handle: handle})
		}
	})
}

// broken is the news that the stage's engine was lost. The prompt alone can be
// read again elsewhere; a run may have happened.
func (s *stage) broken() {
	s.finish()
	if s.closed || s.flow.closed {
		return
	}
	s.closed = true
	s.repeatElsewhere()
}

// repeatElsewhere goes on after a stage that broke off.
func (s *stage) repeatElsewhere() {
	if s.prefillOnly() {
		s.flow.splitAgain(s.target.host.name)
		return
	}
	s.flow.lifecycle.Fail(s.attempt, attempt.FaultBroken)
	s.flow.exclude(s.target.host.name)
	s.flow.retry("engine lost", false)
}

// cancel gives the stage up and tells the engine.
func (s *stage) cancel() {
	s.closed = true
	s.finish()
	s.flow.run.after(s.latency(), func() {
		if s.admitted {
			s.target.host.cancel(s.key())
		}
	})
}
