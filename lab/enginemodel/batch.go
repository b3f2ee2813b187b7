package enginemodel

import (
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// outputReserve is the KV memory that a request's output takes.
func outputReserve(request *Request) int {
	if request.PrefillOnly {
		return 0
	}
	return request.OutputTokens
}

// unread is how many prompt tokens a request that waits has to be read.
func unread(request *Request) int {
	if request.Handle != "" {
		return 0
	}
	return request.PromptTokens
}

// startIteration fills the batch and begins one iteration, if there is work.
func (e *Engine) startIteration(now time.Duration) {
	e.fillBatch(now)
	if len(e.running) == 0 {
		return
	}
	prefill, decodes, resident := e.planIteration()
	duration := e.config.StepBase
	duration += time.Duration(float64(prefill) / e.config.PrefillTokensPerSecond * float64(time.Second))
	duration += time.Duration(decodes) * e.config.DecodePerSequence
	duration += time.Duration(resident) * e.config.KVReadPerThousand / 1000
	duration = e.config.work(time.Duration(float64(duration) * e.slowdown))
	e.iterating = true
	e.iterationEnd = now + max(duration, 1)
}

// planIteration gives every running sequence its part of the iteration and
// returns the prompt tokens read, the sequences that decode and the KV tokens held.
func (e *Engine) planIteration() (prefill, decodes, resident int) {
	budget := e.config.chunkTokens(e.orders.assignment.Role)
	for _, s := range e.running {
		resident += s.prefilled + s.generated
		remaining := s.request.PromptTokens - s.prefilled
		s.decoding = remaining == 0
		s.chunk = min(remaining, budget-prefill)
		prefill += s.chunk
		if s.decoding {
			decodes++
		}
	}
	return prefill, decodes, resident
}

// finishIteration gives each sequence the tokens of the iteration.
func (e *Engine) finishIteration(now time.Duration) {
	e.iterating = false
	kept := e.running[:0]
	for _, s := range e.running {
		if e.progress(now, s) {
			e.release(s)
			e.finish(now, s)
			continue
		}
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// progress applies the iteration to one sequence and reports whether it is done.
// The iteration that reads the last prompt token also yields the first output token.
func (e *Engine) progress(now time.Duration, s *sequence) (done bool) {
	starved := s.chunk == 0 && !s.decoding
	if starved {
		return false
	}
	s.prefilled += s.chunk
	e.promptTokens += int64(s.chunk)
	readWhole := s.prefilled == s.request.PromptTokens
	if s.chunk > 0 && readWhole {
		e.shareBlocks(now, s)
	}
	s.chunk = 0
	if !readWhole {
		return false
	}
	if s.request.PrefillOnly {
		return true
	}
	e.emit(Event{Kind: EventToken, Request: s.request, Offset: s.generated, Cached: s.cached})
	s.generated++
	s.record.generated = s.generated
	e.outputTokens++
	return s.generated >= s.request.OutputTokens
}

// finish reports the end of a run whose memory is released.
func (e *Engine) finish(now time.Duration, s *sequence) {
	if s.request.PrefillOnly {
		handle := e.stageExport(now, s.request)
		e.emit(Event{Kind: EventExported, Request: s.request, Handle: handle, Cached: s.cached})
	} else {
		e.emit(Event{Kind: EventFinished, Request: s.request, Offset: s.generated})
	}
	s.record.finished = true
	e.runs.end(now, &e.config, s.record)
}

// fillBatch moves waiting sequences into the batch in their order. The first
// one that does not fit holds up the rest, so that none waits for ever.
func (e *Engine) fillBatch(now time.Duration) {
	moved := 0
	for moved < len(e.waiting) && len(e.running) < e.config.MaxBatch {
		s := e.waiting[moved]
		if !e.reserve(now, s) {
			break
		}
		e.waitingTokens -= unread(s.request)
		e.running = append(e.running, s)
		moved++
	}
	if moved > 0 {
		rest := copy(e.waiting, e.waiting[moved:])
		clear(e.waiting[rest:])
		e.waiting = e.waiting[:rest]
	}
}

// reserve takes the KV memory for a sequence's prompt and output, less the
// prefix blocks that are cached, and evicts other blocks for it. Because the
// whole output is reserved, a running sequence is never preempted.
func (e *Engine) reserve(now time.Duration, s *sequence) bool {
	request := s.request
	matched := e.matchBlocks(request)
	for _, hash := range request.Blocks[:matched] {
		e.cache.pin(hash)
	}
	shared := matched * e.config.BlockTokens
	need := request.PromptTokens + outputReserve(request) - shared
	if need > e.freeTokens()+e.cache.unpinned*e.config.BlockTokens {
		e.unpinBlocks(request.Blocks[:matched])
		return false
	}
	for need > e.freeTokens() {
		if !e.cache.evict(now) {
			panic("enginemodel: unpinned blocks were counted that do not exist")
		}
	}
	s.pinned, s.private = matched, need
	s.cached, s.prefilled = shared, shared
	e.private += need
	if request.Handle != "" {
		e.staging.take(request.Handle)
		s.prefilled = request.PromptTokens
		e.shareBlocks(now, s)
	}
	return true
}

// matchBlocks returns how many leading blocks can be taken from the cache; at
// least one prompt token is always read, since its result is the first output.
func (e *Engine) matchBlocks(request *Request) int {
	usable := min(len(request.Blocks), (request.PromptTokens-1)/e.config.BlockTokens)
	return e.cache.leading(request.Blocks[:usable])
}

// freeTokens is the KV memory that neither sequences nor cached blocks hold.
func (e *Engine) freeTokens() int {
	return e.config.KVTokens - e.private - len(e.cache.blocks)*e.config.BlockTokens
}

// shareBlocks moves a sequence's prompt blocks from its private memory to the cache.
func (e *Engine) shareBlocks(now time.Duration, s *sequence) {
	full := min(len(s.request.Blocks), s.request.PromptTokens/e.config.BlockTokens)
	for ; s.pinned < full; s.pinned++ {
		e.cache.insert(now, s.request.Blocks[s.pinned])
		s.private -= e.config.BlockTokens
		e.private -= e.config.BlockTokens
	}
}

// release gives back a sequence's memory; its prompt blocks stay in the cache.
func (e *Engine) release(s *sequence) {
	e.private -= s.private
	e.unpinBlocks(s.request.Blocks[:s.pinned])
	s.private, s.pinned = 0, 0
}

// unpinBlocks releases the last block first, so that the cache evicts the end
// of a prefix before its beginning.
func (e *Engine) unpinBlocks(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		e.cache.unpin(blocks[i])
	}
}

// busy reports whether any admitted run has not ended.
func (e *Engine) busy() bool { return len(e.running)+len(e.waiting) > 0 }

// phase is the phase that the engine shows.
func (e *Engine) phase() api.EnginePhase {
	if e.leaving {
		return api.PhaseLeaving
	}
	return e.orders.phase
}
