package router

import (
	"time"

	"github.com/landingtrail/landingtrail/request/prefix"
)

// Speed holds the rates and times of one engine, from which costs and estimates are computed.
// A router uses the same Speed for all engines. A field that is zero or negative takes its
// default.
type Speed struct {
	// PrefillTokensPerSecond is the rate at which an engine reads a prompt.
	PrefillTokensPerSecond float64
	// StepBase is the time of a decode step without any sequence.
	StepBase time.Duration
	// StepPerSequence is the time that each running sequence adds to a decode step.
	StepPerSequence time.Duration
	// StepFullKV is the time that a full KV cache adds to a decode step; it scales with use.
	StepFullKV time.Duration
	// ChunkTokens is the number of prompt tokens that a mixed engine reads in one step.
	ChunkTokens int
	// BlockTokens is the number of tokens in one prefix block.
	BlockTokens int
	// HandoverBase and HandoverTokensPerSecond give the time to transfer a KV cache from a
	// prefill to a decode engine. This differs from placement.Summary.Handover, which is the
	// time from the end of such a transfer to the first token.
	HandoverBase            time.Duration
	HandoverTokensPerSecond float64
}

// Defaults of Speed.
const (
	DefaultPrefillTokensPerSecond  = 11500
	DefaultStepBase                = 8 * time.Millisecond
	DefaultStepPerSequence         = 400 * time.Microsecond
	DefaultStepFullKV              = 6 * time.Millisecond
	DefaultChunkTokens             = 512
	DefaultBlockTokens             = prefix.BlockWords
	DefaultHandoverBase            = 5 * time.Millisecond
	DefaultHandoverTokensPerSecond = 38000
)

// withDefaults returns the speed with defaults in place of all fields that are not positive.
func (s Speed) withDefaults() Speed {
	if s.PrefillTokensPerSecond <= 0 {
		s.PrefillTokensPerSecond = DefaultPrefillTokensPerSecond
	}
	if s.StepBase <= 0 {
		s.StepBase = DefaultStepBase
	}
	if s.StepPerSequence <= 0 {
		s.StepPerSequence = DefaultStepPerSequence
	}
	if s.StepFullKV <= 0 {
		s.StepFullKV = DefaultStepFullKV
	}
	if s.ChunkTokens <= 0 {
		s.ChunkTokens = DefaultChunkTokens
	}
	if s.BlockTokens <= 0 {
		s.BlockTokens = DefaultBlockTokens
	}
	if s.HandoverBase <= 0 {
		s.HandoverBase = DefaultHandoverBase
	}
	if s.HandoverTokensPerSecond <= 0 {
		s.HandoverTokensPerSecond = DefaultHandoverTokensPerSecond
	}
	return s
}

// prefillSeconds returns the time to read the tokens of a prompt.
func (s Speed) prefillSeconds(tokens int) float64 {
	return float64(max(tokens, 0)) / s.PrefillTokensPerSecond
}

// stepSeconds returns the time of one decode step of a batch with the given number of sequences;
// kvUsed is the used share of the KV cache, 0 to 1.
func (s Speed) stepSeconds(sequences int, kvUsed float64) float64 {
	return s.StepBase.Seconds() + s.StepPerSequence.Seconds()*float64(sequences) + s.StepFullKV.Seconds()*kvUsed
}

// handoverSeconds returns the time to transfer the KV cache of the tokens between engines.
func (s Speed) handoverSeconds(tokens int) float64 {
	return s.HandoverBase.Seconds() + float64(tokens)/s.HandoverTokensPerSecond
}

// uncachedTokens returns the number of prompt tokens that the endpoint must read: the prompt
// without the leading blocks in its cache. A count that is not exact is halved, since a gap in
// the cache events that the engine reports may hide removals.
func (s Speed) uncachedTokens(request *Request, endpoint *Endpoint) int {
	if endpoint.CachedBlocks == nil || len(request.Blocks) == 0 {
		return request.PromptTokens
	}
	count, exact := endpoint.CachedBlocks(request.Blocks)
	if !exact {
		count /= 2
	}
	return max(request.PromptTokens-count*s.BlockTokens, 0)
}

// minimumSeconds returns a lower bound of the time to the last token on an endpoint, whichever
// endpoint the picker chooses. The queue is not counted, since the request may have a higher
// priority than all of it.
func (s Speed) minimumSeconds(request *Request, endpoint *Endpoint) float64 {
	return s.prefillSeconds(s.uncachedTokens(request, endpoint)) + float64(request.OutputTokens)*s.stepSeconds(1, 0)
}

// seconds converts a number of seconds to a duration.
func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
