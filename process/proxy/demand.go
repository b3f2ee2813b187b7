package proxy

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/attempt"
)

// demandShards is the number of independently locked shards of a demandWindow.
const demandShards = 8

type demandKey struct{ intent, class string }

// demandWindow accumulates the demand since the last report. It is split into independently locked
// shards to reduce lock contention.
type demandWindow struct {
	seed   maphash.Seed
	shards [demandShards]demandShard
}

type demandShard struct {
	lock   sync.Mutex
	counts map[demandKey]*feed.Demand
}

func newDemandWindow() *demandWindow {
	window := &demandWindow{seed: maphash.MakeSeed()}
	for i := range window.shards {
		window.shards[i].counts = map[demandKey]*feed.Demand{}
	}
	return window
}

// add updates the counts of an intent and class with change, which runs under the shard's lock.
func (d *demandWindow) add(key demandKey, change func(*feed.Demand)) {
	shard := &d.shards[maphash.Comparable(d.seed, key)%demandShards]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	counts, found := shard.counts[key]
	if !found {
		counts = &feed.Demand{Intent: key.intent, Class: key.class}
		shard.counts[key] = counts
	}
	change(counts)
}

// take returns the accumulated counts and resets the window.
func (d *demandWindow) take() map[demandKey]*feed.Demand {
	all := map[demandKey]*feed.Demand{}
	for i := range d.shards {
		shard := &d.shards[i]
		shard.lock.Lock()
		for key, counts := range shard.counts {
			all[key] = counts
		}
		shard.counts = map[demandKey]*feed.Demand{}
		shard.lock.Unlock()
	}
	return all
}

// restore adds counts whose report could not be sent to the current window.
func (d *demandWindow) restore(counts map[demandKey]*feed.Demand) {
	for key, unreported := range counts {
		d.add(key, func(target *feed.Demand) {
			target.Requests += unreported.Requests
			target.PromptTokens += unreported.PromptTokens
			target.CachedPromptTokens += unreported.CachedPromptTokens
			target.OutputTokens += unreported.OutputTokens
			target.Refused += unreported.Refused
			target.Late += unreported.Late
		})
	}
}

// maxDemandWindow limits how long unreported counts are kept before they are dropped: older demand
// would mislead the planner, the part of the control group that assigns engines to models.
const maxDemandWindow = 10 * time.Second

// reportDemand periodically reports the demand to the control group.
func (p *Proxy) reportDemand() {
	since := time.Now()
	for pause.Sleep(p.background, p.config.Intervals.Demand) {
		window := time.Since(since)
		counts := p.demand.take()
		report := feed.DemandReport{Window: window}
		queued := p.queuedDemand()
		for key := range queued {
			if counts[key] == nil {
				counts[key] = &feed.Demand{Intent: key.intent, Class: key.class}
			}
		}
		for key, count := range counts {
			count.QueuedRequests = queued[key].requests
			count.QueuedPromptTokens = queued[key].tokens
			report.Demands = append(report.Demands, *count)
		}
		switch {
		case p.control.ReportDemand(report):
			since = time.Now()
		case window < maxDemandWindow:
			p.demand.restore(counts)
		default:
			since = time.Now()
		}
	}
}

type queuedCount struct {
	requests int
	tokens   float64
}

// queuedDemand counts the model requests that are queued now. Plain backends have no intent, so their
// requests are no demand.
func (p *Proxy) queuedDemand() map[demandKey]queuedCount {
	queued := map[demandKey]queuedCount{}
	current := p.lanes.catalog.Load()
	for _, request := range p.inFlight.list() {
		if request.model == "" || request.attempts.State() != attempt.Queued {
			continue
		}
		key := demandKey{intent: current.intentFor(request.model, request.class), class: request.class}
		count := queued[key]
		count.requests++
		count.tokens += float64(request.promptTokens)
		queued[key] = count
	}
	return queued
}
