package router

import "math"

// PrefixScorer is the time to read the part of the prompt that the endpoint does not have
// cached. LoadScorer is in seconds as well, so a warm cache is preferred exactly as long as it
// saves more time than the queue costs.
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

// LoadScorer is the generation time under the load of the endpoint, plus the time that the
// load adds to reading. The load is that of the last report plus this proxy's own dispatches
// that the report can't include yet.
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
		// The queued prompts delay each step by one chunk at most.
		return generate + min(queue, float64(request.OutputTokens)*s.Speed.prefillSeconds(s.Speed.ChunkTokens))
	}
	// The engine runs a decode step with each chunk that it reads.
	chunks := float64(tokensBefore+s.Speed.uncachedTokens(request, endpoint)) / chunk
	return queue + chunks*step + generate
}

// KVScorer rises steeply as the KV cache of the endpoint fills, so that an engine is avoided
// before it queues or evicts.
type KVScorer struct {
	// Scale is the cost in seconds at 80 percent use.
	Scale float64
}

// kvKnee is the KV cache use above which there is a cost; kvCeiling limits the use so that the
// cost stays finite.
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
