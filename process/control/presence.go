package control

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
)

// presenceShards is the number of separately locked parts of a presenceTable.
const presenceShards = 8

// presenceTable holds the last presence report of each proxy to this member. A report contains the
// proxy's address and zone, and whether it is ready or stopping.
type presenceTable struct {
	seed   maphash.Seed
	shards [presenceShards]presenceShard
}

type presenceShard struct {
	sync.Mutex
	proxies map[string]presenceRecord
}

type presenceRecord struct {
	presence   feed.Presence
	receivedAt time.Duration
}

func newPresenceTable() *presenceTable {
	t := &presenceTable{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].proxies = map[string]presenceRecord{}
	}
	return t
}

// record stores a proxy's report that was received now.
func (t *presenceTable) record(presence feed.Presence, now time.Duration) {
	shard := &t.shards[maphash.String(t.seed, presence.Proxy)%presenceShards]
	shard.Lock()
	defer shard.Unlock()
	shard.proxies[presence.Proxy] = presenceRecord{presence: presence, receivedAt: now}
}

// heardSince returns the reports received since the cutoff, by proxy, and deletes older ones.
func (t *presenceTable) heardSince(cutoff time.Duration) map[string]feed.Presence {
	heard := map[string]feed.Presence{}
	for i := range t.shards {
		t.shards[i].collect(cutoff, heard)
	}
	return heard
}

func (s *presenceShard) collect(cutoff time.Duration, heard map[string]feed.Presence) {
	s.Lock()
	defer s.Unlock()
	for name, record := range s.proxies {
		if record.receivedAt < cutoff {
			delete(s.proxies, name)
			continue
		}
		heard[name] = record.presence
	}
}
