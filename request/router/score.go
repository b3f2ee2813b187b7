package router

import "math"

// PrefixScorer charges the time to read the part of the prompt that the endpoint does not have
// cached. It is in the same unit as LoadScorer, so an endpoint with a warm cache is preferred
// exactly as long as its cache saves more time than its queue costs.
type PrefixScorer struct {
	Speed Speed
}

// Name implements Scorer.
func (PrefixScorer) Name() string { return "prefix" }

// Score implements Scorer.
func (s PrefixScorer) Score(request *Request, endpoint *Endpoint, part Part) float64 {
	if part == PartDecode {
		return 0
	}
	return s.Speed.prefillSeconds(s.Speed.uncachedTokens(request, endpoint))
}

// LoadScorer charges the time to generate the output under the load of the endpoint, plus the
// time that the load adds to reading the prompt. The load is that of the last report plus this
// proxy's own dispatches that the report can't include yet.
type LoadScorer struct {
	Speed Speed
}

// Name implements Scorer.
func (LoadScorer) Name() string { return "load" }

// Score implements Scorer.
func (s LoadScorer) Score(request *Request, endpoint *Endpoint, part Part) float64 {
	load := endpoint.Load
	tokensBefore := load.WaitingTokens + load.OwnTokens
	queue := s.Speed.prefillSeconds(tokensBefore)
	if part == PartPrefill {
		return queue
	}
	sequences := load.Running + load.Waiting + load.OwnRunning + 1
	step := s.Speed.stepSeconds(sequences, load.KVUsed)
	generate := float64(request.OutputTokens) * step
	chunk := float64(s.Speed.ChunkTokens)
	if part == PartDecode {
		// Each decode step is delayed by at most one chunk of the queued prompts, and all steps
		// together by at most the whole queue.
		return generate + min(queue, float64(request.OutputTokens)*s.Speed.prefillSeconds(s.Speed.ChunkTokens))
	}
	// A mixed engine runs one decode step along with each chunk of a prompt, which lengthens the
	// reading of the queued prompts and of this one by a step per chunk.
	chunks := float64(tokensBefore+s.Speed.uncachedTokens(request, endpoint)) / chunk
	return queue + chunks*step + generate
}

// KVScorer charges a cost that rises steeply as the KV cache of the endpoint fills, so that an
// engine is avoided before it queues or evicts.
type KVScorer struct {
	// Scale is the cost in seconds at 80 percent use.
	Scale float64
}

// kvCostThreshold is the share of the KV cache in use above which there is a cost. kvCeiling
// limits the share so that the cost stays finite.
const (
	kvCostThreshold = 0.6
	kvCeiling       = 0.98
)

// Name implements Scorer.
func (KVScorer) Name() string { return "kv" }

// Score implements Scorer.
func (s KVScorer) Score(_ *Request, endpoint *Endpoint, _ Part) float64 {
	used := math.Min(endpoint.Load.KVUsed, kvCeiling)
	if used <= kvCostThreshold {
		return 0
	}
	return s.Scale * (used - kvCostThreshold) / (1 - used)
}

// ZoneScorer charges endpoints outside the zone of the deciding proxy.
type ZoneScorer struct {
	// Cost is in seconds.
	Cost float64
}

// Name implements Scorer.
func (ZoneScorer) Name() string { return "zone" }

// Score implements Scorer.
func (s ZoneScorer) Score(request *Request, endpoint *Endpoint, _ Part) float64 {
	if request.Zone == "" || endpoint.Zone == request.Zone {
		return 0
	}
	return s.Cost
}
