package proxy

import (
	"hash/maphash"
	"sort"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/request/attempt"
)

// inFlightShards is the number of independently locked shards of an inFlight.
const inFlightShards = 32

// entry describes one request in flight.
type entry struct {
	id           string
	service      string
	class        string
	tenant       string
	started      time.Time
	attempts     *attempt.Lifecycle
	model        string // "" for a plain backend
	promptTokens int    // estimated prompt tokens
}

// inFlight tracks the requests in flight. It is split into independently locked shards to reduce
// lock contention.
type inFlight struct {
	seed   maphash.Seed
	shards [inFlightShards]inFlightShard
}

type inFlightShard struct {
	lock    sync.Mutex
	entries map[string]*entry
}

func newInFlight() *inFlight {
	requests := &inFlight{seed: maphash.MakeSeed()}
	for i := range requests.shards {
		requests.shards[i].entries = map[string]*entry{}
	}
	return requests
}

func (f *inFlight) shard(id string) *inFlightShard {
	return &f.shards[maphash.String(f.seed, id)%inFlightShards]
}

// add registers the request and returns the function that removes it.
func (f *inFlight) add(request *entry) func() {
	shard := f.shard(request.id)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	shard.entries[request.id] = request
	return func() {
		shard.lock.Lock()
		defer shard.lock.Unlock()
		delete(shard.entries, request.id)
	}
}

// count returns the number of requests in flight.
func (f *inFlight) count() int {
	total := 0
	for i := range f.shards {
		shard := &f.shards[i]
		shard.lock.Lock()
		total += len(shard.entries)
		shard.lock.Unlock()
	}
	return total
}

// list returns the requests in flight, oldest first.
func (f *inFlight) list() []*entry {
	var all []*entry
	for i := range f.shards {
		shard := &f.shards[i]
		shard.lock.Lock()
		for _, request := range shard.entries {
			all = append(all, request)
		}
		shard.lock.Unlock()
	}
	sort.Slice(all, func(i, j int) bool { return all[i].started.Before(all[j].started) })
	return all
}
