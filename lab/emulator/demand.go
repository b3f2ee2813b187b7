package emulator

import (
	"time"

	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/version/planner"
)

// demandMeter sums the offered work over a sliding window, in buckets of a
// second.
type demandMeter struct {
	run     *run
	buckets []planner.Demand
	second  int64
}

func newDemandMeter(r *run) *demandMeter {
	return &demandMeter{run: r, buckets: make([]planner.Demand, int(r.config.DemandWindow/time.Second))}
}

// bucket returns the bucket of the present second.
func (m *demandMeter) bucket() *planner.Demand {
	second := int64(m.run.now / time.Second)
	count := int64(len(m.buckets))
	for m.second < second {
		m.second++
		m.buckets[m.second%count] = planner.Demand{}
	}
	return &m.buckets[second%count]
}

// offer counts a request that comes. Its answer's length is not known yet, so
// the expected one stands in for it.
func (m *demandMeter) offer(item *trace.Item, expectedOutput int) {
	bucket := m.bucket()
	bucket.Requests++
	bucket.PromptTokens += float64(item.PromptTokens)
	bucket.OutputTokens += float64(expectedOutput)
}

// cached counts the prompt tokens that a request which has ended found in caches.
func (m *demandMeter) cached(tokens int) {
	m.bucket().CachedPromptTokens += float64(tokens)
}

func (m *demandMeter) measured(intent string) planner.Demand {
	m.bucket()
	sum := planner.Demand{Intent: intent, Window: min(m.run.config.DemandWindow, max(m.run.now, time.Second))}
	for _, bucket := range m.buckets {
		sum.Requests += bucket.Requests
		sum.PromptTokens += bucket.PromptTokens
		sum.CachedPromptTokens += bucket.CachedPromptTokens
		sum.OutputTokens += bucket.OutputTokens
	}
	for _, p := range m.run.proxies {
		sum.QueuedRequests += len(p.waiting)
		for _, waiting := range p.waiting {
			sum.QueuedPromptTokens += float64(waiting.item.PromptTokens)
		}
	}
	return sum
}
