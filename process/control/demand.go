package control

import (
	"hash/maphash"
	"sort"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/version/planner"
)

const (
	// demandShards is the number of separately locked parts of a demandTable.
	demandShards = 8
	// demandWindow is the period over which demand is measured, in buckets of demandBucket.
	demandWindow  = 10 * time.Second
	demandBucket  = time.Second
	demandBuckets = int(demandWindow / demandBucket)
	// queueReportMaxAge is the age at which a proxy's last report of its queues is discarded.
	queueReportMaxAge = 3 * time.Second
)

// demandTable sums the demand that proxies reported over the last demandWindow.
type demandTable struct {
	started time.Time
	seed    maphash.Seed
	shards  [demandShards]demandShard
}

type demandShard struct {
	sync.Mutex
	intents map[string]*intentDemand
}

// intentDemand is the demand for one intent, as reported by the proxies of one shard.
type intentDemand struct {
	buckets [demandBuckets]demandCount
	queues  map[string]queueReport // by daemon
}

type demandCount struct {
	number int64 // index of the bucket since the table was created
	counts planner.Demand
}

// queueReport is what a proxy has queued for one intent.
type queueReport struct {
	receivedAt   time.Time
	requests     int
	promptTokens float64
}

func newDemandTable(now time.Time) *demandTable {
	t := &demandTable{started: now, seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].intents = map[string]*intentDemand{}
	}
	return t
}

func (t *demandTable) bucketNumber(now time.Time) int64 {
	return int64(now.Sub(t.started) / demandBucket)
}

// add counts a demand report received at time now. The report's queues replace those that the
// daemon reported before.
func (t *demandTable) add(daemon string, report feed.DemandReport, now time.Time) {
	shard := &t.shards[maphash.String(t.seed, daemon)%demandShards]
	number := t.bucketNumber(now)
	shard.Lock()
	defer shard.Unlock()
	queues := map[string]queueReport{}
	for _, demand := range report.Demands {
		shard.demandFor(demand.Intent).addDemand(number, demand)
		queue := queues[demand.Intent]
		queue.receivedAt = now
		queue.requests += demand.QueuedRequests
		queue.promptTokens += demand.QueuedPromptTokens
		queues[demand.Intent] = queue
	}
	for intent, queue := range queues {
		shard.intents[intent].queues[daemon] = queue
	}
}

// demandFor returns the demand for the intent, creating it if there is none. The caller holds the
// lock.
func (s *demandShard) demandFor(name string) *intentDemand {
	known := s.intents[name]
	if known == nil {
		known = &intentDemand{queues: map[string]queueReport{}}
		s.intents[name] = known
	}
	return known
}

// addDemand adds the demand to the bucket with the number.
func (d *intentDemand) addDemand(number int64, demand feed.Demand) {
	bucket := &d.buckets[number%int64(demandBuckets)]
	if bucket.number != number {
		*bucket = demandCount{number: number}
	}
	addCounts(&bucket.counts, planner.Demand{
		Requests:           demand.Requests,
		PromptTokens:       demand.PromptTokens,
		CachedPromptTokens: demand.CachedPromptTokens,
		OutputTokens:       demand.OutputTokens,
		Refused:            demand.Refused,
		Late:               demand.Late,
	})
}

// addCounts adds counts of requests and tokens; Refused and Late are numbers of requests.
func addCounts(sum *planner.Demand, more planner.Demand) {
	sum.Requests += more.Requests
	sum.PromptTokens += more.PromptTokens
	sum.CachedPromptTokens += more.CachedPromptTokens
	sum.OutputTokens += more.OutputTokens
	sum.Refused += more.Refused
	sum.Late += more.Late
	sum.QueuedRequests += more.QueuedRequests
	sum.QueuedPromptTokens += more.QueuedPromptTokens
}

// sum returns the demand per intent, sorted by name, without intents that no proxy has reported
// recently. It deletes expired entries.
func (t *demandTable) sum(now time.Time) []planner.Demand {
	totals := map[string]*planner.Demand{}
	for i := range t.shards {
		t.shards[i].sum(totals, t.bucketNumber(now), now)
	}
	window := min(demandWindow, max(demandBucket, now.Sub(t.started)))
	demands := make([]planner.Demand, 0, len(totals))
	for _, total := range totals {
		total.Window = window
		demands = append(demands, *total)
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Intent < demands[j].Intent })
	return demands
}

func (s *demandShard) sum(totals map[string]*planner.Demand, number int64, now time.Time) {
	s.Lock()
	defer s.Unlock()
	for name, intent := range s.intents {
		counts, recent := intent.sum(number, now)
		if !recent {
			delete(s.intents, name)
			continue
		}
		total := totals[name]
		if total == nil {
			total = &planner.Demand{Intent: name}
			totals[name] = total
		}
		addCounts(total, counts)
	}
}

func (d *intentDemand) sum(number int64, now time.Time) (counts planner.Demand, recent bool) {
	for i := range d.buckets {
		if number-d.buckets[i].number < int64(demandBuckets) {
			addCounts(&counts, d.buckets[i].counts)
			recent = recent || d.buckets[i].counts != planner.Demand{}
		}
	}
	for daemon, queue := range d.queues {
		if now.Sub(queue.receivedAt) > queueReportMaxAge {
			delete(d.queues, daemon)
			continue
		}
		recent = true
		counts.QueuedRequests += queue.requests
		counts.QueuedPromptTokens += queue.promptTokens
	}
	return counts, recent
}
