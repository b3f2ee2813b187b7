package enginemodel

import (
	"strconv"
	"time"
)

// staged is the KV cache of one prompt in host memory, on its way from or to
// another engine.
type staged struct {
	Export
	imported bool
	ready    time.Duration // when the transfer of an import ends
	expiry   time.Duration
	claimed  bool // an admitted request will decode from it
}

// stagingArea is host memory beside the KV memory proper, so that an export
// frees the prefill engine's batch at once.
type stagingArea struct {
	entries  map[string]*staged
	tokens   int
	promised int           // tokens that admitted prefill-only runs will export
	nextEnd  time.Duration // no entry expires before
}

func (a *stagingArea) free(config *Config) int { return config.StagingTokens - a.tokens - a.promised }

func (a *stagingArea) put(entry *staged) {
	a.entries[entry.Handle] = entry
	a.tokens += entry.Tokens
	if len(a.entries) == 1 || entry.expiry < a.nextEnd {
		a.nextEnd = entry.expiry
	}
}

func (a *stagingArea) take(handle string) {
	if entry := a.entries[handle]; entry != nil {
		a.tokens -= entry.Tokens
		delete(a.entries, handle)
	}
}

// claim ties an imported prompt to the request that decodes from it.
func (a *stagingArea) claim(request *Request) Refusal {
	entry := a.entries[request.Handle]
	switch {
	case entry == nil || !entry.imported || entry.claimed:
		return RefusalUnknownHandle
	case entry.Tokens != request.PromptTokens || entry.Model != request.Model:
		return RefusalUnknownHandle
	case entry.PromptHash != request.PromptHash:
		return RefusalUnknownHandle
	}
	entry.claimed = true
	return RefusalNone
}

// forget gives back what a request that was cancelled holds or would have held.
func (a *stagingArea) forget(request *Request) {
	if request.Handle != "" {
		a.take(request.Handle)
	}
	if request.PrefillOnly {
		a.promised -= request.PromptTokens
	}
}

// clear drops everything: KV cache is of no use to other weights.
func (a *stagingArea) clear() {
	clear(a.entries)
	a.tokens = 0
}

func (a *stagingArea) expire(now time.Duration) {
	if len(a.entries) == 0 || now < a.nextEnd {
		return
	}
	a.nextEnd = Never
	for handle, entry := range a.entries {
		if !entry.claimed && entry.expiry <= now {
			a.take(handle)
		} else if entry.expiry < a.nextEnd {
			a.nextEnd = entry.expiry
		}
	}
}

func (e *Engine) stageExport(now time.Duration, request *Request) string {
	handle := e.config.Engine + "-" + strconv.FormatUint(e.incarnation, 36) + "-" +
		request.Key.ID + "-" + strconv.FormatUint(uint64(request.Key.Attempt), 10)
	export := Export{
		Handle:     handle,
		Model:      request.Model,
		Version:    e.orders.assignment.Version,
		Tokens:     request.PromptTokens,
		PromptHash: request.PromptHash,
	}
	e.staging.promised -= request.PromptTokens
	e.staging.put(&staged{Export: export, expiry: now + e.config.StagingRetention})
	return handle
}

// Export describes staged KV cache that a peer may pull. It is of use only to
// the same prompt on the same model, adapter and version.
type Export struct {
	Handle     string `json:"handle"`
	Model      string `json:"model"`
	Version    string `json:"version"`
	Tokens     int    `json:"tokens"`
	PromptHash uint64 `json:"promptHash,string"`
}

// Export returns the export with the handle, and false if it is not kept.
func (e *Engine) Export(now time.Duration, handle string) (Export, bool) {
	e.staging.expire(now)
	entry := e.staging.entries[handle]
	if entry == nil || entry.imported {
		return Export{}, false
	}
	return entry.Export, true
}

// ReleaseExport drops an export that its peer has pulled.
func (e *Engine) ReleaseExport(handle string) {
	if entry := e.staging.entries[handle]; entry != nil && !entry.imported {
		e.staging.take(handle)
	}
}

// Import stages KV cache that comes from a peer and returns when the transfer
// ends. A request that names the handle may be admitted from then on; the
// caller sees to it that none is before.
func (e *Engine) Import(now time.Duration, export Export) (ready time.Duration, refusal Refusal) {
	e.staging.expire(now)
	if entry := e.staging.entries[export.Handle]; entry != nil {
		if entry.imported {
			return entry.ready, RefusalNone // a resend
		}
		return 0, RefusalUnknownHandle // this engine's own export
	}
	switch {
	case e.orders.assignment.Version != export.Version || !serves(e.orders.assignment, export.Model):
		return 0, RefusalWrongModel
	case e.staging.free(&e.config) < export.Tokens:
		return 0, RefusalStagingFull
	}
	ready = now + e.config.TransferTime(export.Tokens)
	e.staging.put(&staged{
		Export:   export,
		imported: true,
		ready:    ready,
		expiry:   ready + e.config.StagingRetention,
	})
	return ready, RefusalNone
}
