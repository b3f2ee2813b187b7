package planner

import "time"

// Rates is the service-rate model of the engines. Zero fields take defaults.
type Rates struct {
	// PrefillTokensPerSecond is what a prefill engine reads.
	PrefillTokensPerSecond float64
	// StepBase is the time of a decode step without sequences; each sequence
	// adds StepPerSequence, and a thousand tokens of KV cache StepPerThousand.
	StepBase        time.Duration
	StepPerSequence time.Duration
	StepPerThousand time.Duration
	// MaxBatch bounds the sequences of a step, and KVTokens the sum of their lengths.
	MaxBatch int
	KVTokens int
	// MixedEfficiency is the rate of a mixed engine as a share of what the
	// time it gives to each kind of work would yield on an engine that does
	// nothing else. Below 1 prompts and decode steps hold each other up; above
	// 1 they share the fixed time of a step.
	MixedEfficiency float64
	// Headroom is the share of its rate that an engine can be loaded with
	// before waiting times break deadlines.
	Headroom float64
}

// Defaults of Rates.
const (
	DefaultPrefillTokensPerSecond = 11500
	DefaultStepBase               = 8 * time.Millisecond
	DefaultStepPerSequence        = 400 * time.Microsecond
	DefaultStepPerThousand        = 100 * time.Microsecond
	DefaultMaxBatch               = 64
	DefaultKVTokens               = 60000
	DefaultMixedEfficiency        = 1
	DefaultHeadroom               = 0.9
)

func (r Rates) withDefaults() Rates {
	if r.PrefillTokensPerSecond <= 0 {
		r.PrefillTokensPerSecond = DefaultPrefillTokensPerSecond
	}
	if r.StepBase <= 0 {
		r.StepBase = DefaultStepBase
	}
	if r.StepPerSequence <= 0 {
		r.StepPerSequence = DefaultStepPerSequence
	}
	if r.StepPerThousand <= 0 {
		r.StepPerThousand = DefaultStepPerThousand
	}
	if r.MaxBatch <= 0 {
		r.MaxBatch = DefaultMaxBatch
	}
	if r.KVTokens <= 0 {
		r.KVTokens = DefaultKVTokens
	}
	if r.MixedEfficiency <= 0 {
		r.MixedEfficiency = DefaultMixedEfficiency
	}
	if r.Headroom <= 0 {
		r.Headroom = DefaultHeadroom
	}
	return r
}

// work is an offered rate of model work.
type work struct {
	requests float64 // a second
	prompt   float64 // tokens a second, not found in caches
	read     float64 // tokens a second, cached or not
	output   float64 // tokens a second
}

// measuredWork is the offered rate over the demand's window.
func measuredWork(demand Demand) work {
	window := demand.Window.Seconds()
	if window <= 0 {
		return work{}
	}
	return work{
		requests: demand.Requests / window,
		prompt:   max(demand.PromptTokens-demand.CachedPromptTokens, 0) / window,
		read:     demand.PromptTokens / window,
		output:   demand.OutputTokens / window,
	}
}

// decodeRate is what a decode engine generates a second with the largest batch
// of sequences of the work's mean length that fits its memory.
func (r Rates) decodeRate(w work) float64 {
	batch := float64(r.MaxBatch)
	if w.requests > 0 {
		length := (w.read + w.output) / w.requests
		batch = max(min(batch, float64(r.KVTokens)/max(length, 1)), 1)
	}
	kv := min(batch*(w.read+w.output)/max(w.requests, 1e-9), float64(r.KVTokens))
	step := r.StepBase.Seconds() + r.StepPerSequence.Seconds()*batch + r.StepPerThousand.Seconds()*kv/1000
	return batch / step
}

// prefillEngines is the prompt work in prefill engines.
func (r Rates) prefillEngines(w work) float64 { return w.prompt / r.PrefillTokensPerSecond }

// decodeEngines is the output work in decode engines.
func (r Rates) decodeEngines(w work) float64 { return w.output / r.decodeRate(w) }

// engines is the work in engines that do nothing but one kind.
func (r Rates) engines(w work) float64 { return r.prefillEngines(w) + r.decodeEngines(w) }

// prefillShare is the share of the work that reads prompts; a half without any work.
func (r Rates) prefillShare(w work) float64 {
	total := r.engines(w)
	if total == 0 {
		return 0.5
	}
	return r.prefillEngines(w) / total
}

// served is how much of the work a split can serve, in engines' work a second.
// Prompts read by prefill engines are decoded by decode engines first and by
// mixed ones with what is left; mixed engines serve whole requests with the rest.
func (r Rates) served(split Split, w work) float64 {
	prefillNeed, decodeNeed := r.prefillEngines(w), r.decodeEngines(w)
	total := prefillNeed + decodeNeed
	if total == 0 {
		return 0
	}
	prefill := float64(split.Prefill) * r.Headroom
	decode := float64(split.Decode) * r.Headroom
	mixed := float64(split.Mixed) * r.Headroom * r.MixedEfficiency

	paired := min(share(prefill, prefillNeed), share(decode, decodeNeed), 1)
	prefill -= paired * prefillNeed
	handed := min(share(prefill, prefillNeed), share(mixed, decodeNeed), 1-paired)
	mixed -= handed * decodeNeed
	whole := min(share(mixed, total), 1-paired-handed)
	return (paired + handed + whole) * total
}

// share is the share of a need that a capacity covers; 1 or more covers all.
func share(capacity, need float64) float64 {
	if need <= 0 {
		return 1
	}
	return max(capacity, 0) / need
}
