package router

import "math"

// PrefixScorer is the time to read the part of the prompt that the endpoint
// does not have in its cache. Since LoadScorer is in seconds as well, a warm
// cache is preferred just as long as it saves more time than the queue costs.
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

// LoadScorer is the time that generating takes beside the load on the endpoint,
// and that the load adds to reading. Load is the last report plus this proxy's
// own dispatches that the report can't contain yet.
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
		// The prompts before this request hold up a step by a chunk at most.
		return generate + min(queue, float64(request.OutputTokens)*s.Speed.prefillSeconds(s.Speed.ChunkTokens))
	}
	// The engine decodes a step beside each chunk that it reads.
	chunks := float64(tokensBefore+s.Speed.uncachedTokens(request, endpoint)) / chunk
	return queue + chunks*step + generate
}

// KVScorer grows without bound as the endpoint's KV memory fills, so that an
// engine about to queue or evict is avoided before it does.
type KVScorer struct {
	// Scale is the cost in seconds at 80 percent use.
	Scale float64
}

// kvKnee is the share of KV memory from which its use costs anything, and
// kvCeiling bounds the share so that the cost stays finite.
const (
	kvKnee    = 0.6
	kvCeiling = 0.98
)

// Name implements Scorer.
func (KVScorer) Name() string { return "kv" }

// Score implements Scorer.
func (s KVScorer) Score(_ *Request, endpoint *Endpoint, _ Part) float64 {
	used := math.Min(endpoint.Load.KVUsed, kvCeiling)
	if used <= kvKnee {
		return 0
	}
	return s.Scale * (used - kvKnee) / (1 - used)
}

// ZoneScorer charges endpoints in another zone than the deciding proxy.
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
