package proxy

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/attempt"
)

// demandShards is the number of shards of the counted demand.
const demandShards = 8

type demandKey struct{ intent, class string }

// demandWindow counts what was offered since the last report, in shards under
// their own locks.
type demandWindow struct {
	seed   maphash.Seed
	shards [demandShards]demandShard
}

type demandShard struct {
	lock   sync.Mutex
	counts map[demandKey]*feed.Demand
}

func newDemandWindow() *demandWindow {
	made := &demandWindow{seed: maphash.MakeSeed()}
	for i := range made.shards {
		made.shards[i].counts = map[demandKey]*feed.Demand{}
	}
	return made
}

// add changes the counts of an intent and class.
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

// take returns the counts and starts a new window.
func (d *demandWindow) take() map[demandKey]*feed.Demand {
	taken := map[demandKey]*feed.Demand{}
	for i := range d.shards {
		shard := &d.shards[i]
		shard.lock.Lock()
		for key, counts := range shard.counts {
			taken[key] = counts
		}
		shard.counts = map[demandKey]*feed.Demand{}
		shard.lock.Unlock()
	}
	return taken
}

// putBack adds counts that could not be reported to the next window.
func (d *demandWindow) putBack(counts map[demandKey]*feed.Demand) {
	for key, old := range counts {
		d.add(key, func(into *feed.Demand) {
			into.Requests += old.Requests
			into.PromptTokens += old.PromptTokens
			into.CachedPromptTokens += old.CachedPromptTokens
			into.OutputTokens += old.OutputTokens
			into.Refused += old.Refused
			into.Late += old.Late
		})
	}
}

// maxDemandWindow bounds how long unreported counts are kept: older demand
// would only mislead the planner.
const maxDemandWindow = 10 * time.Second

// reportDemand tells the control group each interval what was offered.
func (p *Proxy) reportDemand() {
	since := time.Now()
	for pause.Sleep(p.background, p.config.Intervals.Demand) {
		window := time.Since(since)
		counts := p.demand.take()
		report := feed.DemandReport{Window: window}
		waiting := p.waitingDemand()
		for key := range waiting {
			if counts[key] == nil {
				counts[key] = &feed.Demand{Intent: key.intent, Class: key.class}
			}
		}
		for key, count := range counts {
			count.QueuedRequests = waiting[key].requests
			count.QueuedPromptTokens = waiting[key].tokens
			report.Demands = append(report.Demands, *count)
		}
		switch {
		case p.control.ReportDemand(report):
			since = time.Now()
		case window < maxDemandWindow:
			p.demand.putBack(counts)
		default:
			since = time.Now()
		}
	}
}

type waitingCount struct {
	requests int
	tokens   float64
}

// waitingDemand counts the model requests that wait in queues now.
func (p *Proxy) waitingDemand() map[demandKey]waitingCount {
	waiting := map[demandKey]waitingCount{}
	known := p.lanes.catalog.Load()
	for _, one := range p.running.list() {
		if one.model == "" || one.life.State() != attempt.Queued {
			continue
		}
		key := demandKey{intent: known.intentFor(one.model, one.class), class: one.class}
		count := waiting[key]
		count.requests++
		count.tokens += float64(one.tokens)
		waiting[key] = count
	}
	return waiting
}
