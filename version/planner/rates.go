package planner

import "time"

// Rates is the throughput model of the engines. Fields that are zero or negative take
// defaults.
type Rates struct {
	// PrefillTokensPerSecond is the prompt throughput of one prefill engine.
	PrefillTokensPerSecond float64
	// StepBase is the fixed time of a decode step; each sequence adds
	// StepPerSequence, and each thousand tokens of KV cache adds StepPerThousand.
	StepBase        time.Duration
	StepPerSequence time.Duration
	StepPerThousand time.Duration
	// MaxBatch bounds the number of sequences in a step, and KVTokens the sum of
	// their lengths in tokens.
	MaxBatch int
	KVTokens int
	// MixedEfficiency is the throughput of a mixed engine relative to that of a prefill
	// and a decode engine that together spend the same time on the same work. Below 1,
	// prompts and decode steps delay each other; above 1, they share the fixed time of
	// a step.
	MixedEfficiency float64
	// MaxUtilization is the highest utilization at which queueing delays don't make
	// requests miss their deadlines.
	MaxUtilization float64
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
	DefaultMaxUtilization         = 0.9
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
	if r.MaxUtilization <= 0 {
		r.MaxUtilization = DefaultMaxUtilization
	}
	return r
}

// work is a load in requests and tokens per second, measured or predicted.
type work struct {
	requests       float64 // per second
	uncachedPrompt float64 // tokens per second, not found in prefix caches
	totalPrompt    float64 // tokens per second, cached or not
	output         float64 // tokens per second
}

// measuredWork returns the mean load over the demand's window.
func measuredWork(demand Demand) work {
	window := demand.Window.Seconds()
	if window <= 0 {
		return work{}
	}
	return work{
		requests:       demand.Requests / window,
		uncachedPrompt: max(demand.PromptTokens-demand.CachedPromptTokens, 0) / window,
		totalPrompt:    demand.PromptTokens / window,
		output:         demand.OutputTokens / window,
	}
}

// decodeRate returns the tokens per second that one decode engine generates with the
// largest batch of sequences of the work's mean length that fits into its KV cache;
// with a batch of MaxBatch if the work has no requests.
func (r Rates) decodeRate(w work) float64 {
	batch := float64(r.MaxBatch)
	if w.requests > 0 {
		length := (w.totalPrompt + w.output) / w.requests
		batch = max(min(batch, float64(r.KVTokens)/max(length, 1)), 1)
	}
	kv := min(batch*(w.totalPrompt+w.output)/max(w.requests, 1e-9), float64(r.KVTokens))
	step := r.StepBase.Seconds() + r.StepPerSequence.Seconds()*batch + r.StepPerThousand.Seconds()*kv/1000
	return batch / step
}

// requiredPrefillEngines returns how many prefill engines the prompt work would keep
// fully busy.
func (r Rates) requiredPrefillEngines(w work) float64 {
	return w.uncachedPrompt / r.PrefillTokensPerSecond
}

// requiredDecodeEngines returns how many decode engines the output work would keep
// fully busy.
func (r Rates) requiredDecodeEngines(w work) float64 { return w.output / r.decodeRate(w) }

// requiredEngines returns how many dedicated engines the work would keep fully busy. A
// dedicated engine has the prefill or the decode role.
func (r Rates) requiredEngines(w work) float64 {
	return r.requiredPrefillEngines(w) + r.requiredDecodeEngines(w)
}

// prefillShare returns the share of engine time that goes to prompts; 0.5 without work.
func (r Rates) prefillShare(w work) float64 {
	total := r.requiredEngines(w)
	if total == 0 {
		return 0.5
	}
	return r.requiredPrefillEngines(w) / total
}

// servableWork returns how much of the work a split can serve, measured as the number
// of dedicated engines that this part would keep fully busy. Requests that prefill
// engines have processed are decoded by decode engines first (disaggregated) and then
// by mixed ones (decodedByMixed); mixed engines serve whole requests with the rest of
// their capacity (servedByMixed).
func (r Rates) servableWork(split Split, w work) float64 {
	prefillNeed, decodeNeed := r.requiredPrefillEngines(w), r.requiredDecodeEngines(w)
	total := prefillNeed + decodeNeed
	if total == 0 {
		return 0
	}
	prefill := float64(split.Prefill) * r.MaxUtilization
	decode := float64(split.Decode) * r.MaxUtilization
	mixed := float64(split.Mixed) * r.MaxUtilization * r.MixedEfficiency

	disaggregated := min(coverage(prefill, prefillNeed), coverage(decode, decodeNeed), 1)
	prefill -= disaggregated * prefillNeed
	decodedByMixed := min(coverage(prefill, prefillNeed), coverage(mixed, decodeNeed), 1-disaggregated)
	mixed -= decodedByMixed * decodeNeed
	servedByMixed := min(coverage(mixed, total), 1-disaggregated-decodedByMixed)
	return (disaggregated + decodedByMixed + servedByMixed) * total
}

// coverage returns the ratio of a capacity to a need; 1 or more covers all of it. It
// returns 1 if there is no need, even without capacity.
func coverage(capacity, need float64) float64 {
	if need <= 0 {
		return 1
	}
	return max(capacity, 0) / need
}
