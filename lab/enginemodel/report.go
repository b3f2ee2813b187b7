package enginemodel

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
)

const (
	reportResolution   = 20 * time.Millisecond // samples closer than this are merged
	cacheEventsPerPage = 1024
)

// State returns the engine's own account of itself as of now.
func (e *Engine) State() engineapi.State {
	state := engineapi.State{
		Engine:      e.config.Engine,
		Incarnation: e.incarnation,
		Fence:       e.orders.fence,
		Phase:       e.phase(),
		Assignment:  e.orders.assignment,
		Running:     len(e.running),
		Waiting:     len(e.waiting),
	}
	if e.orders.open != nil {
		open := *e.orders.open
		state.Order = &open
	}
	return state
}

// loadSample is the load from a time on, until the next sample.
type loadSample struct {
	at      time.Duration
	running int
	waiting int
	tokens  int
	kvUsed  float64
	phase   api.EnginePhase
	prompt  int64
	output  int64
}

// reportHistory holds the samples that a lagging report can still show.
type reportHistory struct {
	samples []loadSample
}

// note records the present load.
func (e *Engine) note(now time.Duration) {
	sample := loadSample{
		at:      now,
		running: len(e.running),
		waiting: len(e.waiting),
		tokens:  e.waitingTokens,
		kvUsed:  e.kvUsed(),
		phase:   e.phase(),
		prompt:  e.promptTokens,
		output:  e.outputTokens,
	}
	for _, s := range e.running {
		sample.tokens += s.request.PromptTokens - s.prefilled
	}
	e.reports.add(sample, e.config.ReportDelay+e.config.ReportInterval)
}

func (h *reportHistory) add(sample loadSample, lag time.Duration) {
	last := len(h.samples) - 1
	if last >= 0 && sample.at-h.samples[last].at < reportResolution {
		sample.at = h.samples[last].at
		h.samples[last] = sample
		return
	}
	h.samples = append(h.samples, sample)
	h.prune(sample.at - lag)
}

// prune drops samples that were replaced before the oldest time of interest.
func (h *reportHistory) prune(oldest time.Duration) {
	unused := 0
	for unused+1 < len(h.samples) && h.samples[unused+1].at <= oldest {
		unused++
	}
	if unused*2 > len(h.samples) {
		h.samples = append(h.samples[:0], h.samples[unused:]...)
	}
}

// at returns the sample that held at a time, or the first one.
func (h *reportHistory) at(t time.Duration) loadSample {
	for i := len(h.samples) - 1; i > 0; i-- {
		if h.samples[i].at <= t {
			return h.samples[i]
		}
	}
	return h.samples[0]
}

// kvUsed is the share of KV memory that running sequences hold; unpinned cache
// is free for the taking.
func (e *Engine) kvUsed() float64 {
	pinned := len(e.cache.blocks) - e.cache.unpinned
	return float64(e.private+pinned*e.config.BlockTokens) / float64(e.config.KVTokens)
}

// Load returns the report published last: a report is made each
// Config.ReportInterval and published Config.ReportDelay later.
func (e *Engine) Load(now time.Duration) engineapi.Load {
	published := now - e.config.ReportDelay
	if e.config.ReportInterval > 0 {
		published = published.Truncate(e.config.ReportInterval)
	}
	published = max(published, 0)
	sample := e.reports.at(published)
	return engineapi.Load{
		Engine:          e.config.Engine,
		Incarnation:     e.incarnation,
		Phase:           sample.phase,
		Running:         sample.running,
		Waiting:         sample.waiting,
		WaitingTokens:   sample.tokens,
		KVUsed:          sample.kvUsed,
		AgeMilliseconds: (now - published).Milliseconds(),
		PromptTokens:    sample.prompt,
		OutputTokens:    sample.output,
	}
}

// CacheEvents returns the events after a sequence number that are old enough to
// be published; some are lost for ever. With after 0 it returns the whole cache
// as of now. A reader that sees an event whose number is not the one before
// plus one has missed something; a loss at the end of a page shows in the next.
func (e *Engine) CacheEvents(now time.Duration, after uint64) engineapi.CacheEvents {
	page := engineapi.CacheEvents{Incarnation: e.incarnation, Next: after}
	if after == 0 {
		page.Snapshot = true
		page.Blocks = e.cache.hashes()
		page.Next = e.cache.events.sequence
		return page
	}
	for _, timed := range e.cache.events.after(after) {
		if timed.at+e.config.CacheEventDelay > now || len(page.Events) == cacheEventsPerPage {
			break
		}
		if e.lost(timed.event.Sequence) {
			continue
		}
		page.Events = append(page.Events, timed.event)
		page.Next = timed.event.Sequence
	}
	return page
}

// CopyCache fills a set with the blocks of the whole cache as of now and
// returns the number of the last event. It is CacheEvents with after 0 for a
// reader in the same process, who needs no order.
func (e *Engine) CopyCache(into map[uint64]bool) (next uint64) {
	clear(into)
	for hash := range e.cache.blocks {
		into[hash] = true
	}
	return e.cache.events.sequence
}

// lost decides by the seed alone whether a cache event is never published.
func (e *Engine) lost(sequence uint64) bool {
	var input [24]byte
	for i := range 8 {
		input[i] = byte(e.config.Seed >> (8 * i))
		input[8+i] = byte(e.incarnation >> (8 * i))
		input[16+i] = byte(sequence >> (8 * i))
	}
	const scale = 1 << 53
	return float64(xxhash.Sum64(input[:])>>11)/scale < e.config.CacheEventLoss
}
