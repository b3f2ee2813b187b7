package control

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
)

const presenceShards = 8

// presenceTable keeps what proxies last said of themselves to this member.
type presenceTable struct {
	seed   maphash.Seed
	shards [presenceShards]presenceShard
}

type presenceShard struct {
	sync.Mutex
	proxies map[string]presenceRecord
}

type presenceRecord struct {
	presence feed.Presence
	heardAt  time.Duration
}

func newPresenceTable() *presenceTable {
	t := &presenceTable{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].proxies = map[string]presenceRecord{}
	}
	return t
}

// note keeps a proxy's word that arrived now.
func (t *presenceTable) note(presence feed.Presence, now time.Duration) {
	shard := &t.shards[maphash.String(t.seed, presence.Proxy)%presenceShards]
	shard.Lock()
	defer shard.Unlock()
	shard.proxies[presence.Proxy] = presenceRecord{presence: presence, heardAt: now}
}

// heardSince returns the proxies that have spoken since then, by name, and
// forgets the others.
func (t *presenceTable) heardSince(then time.Duration) map[string]feed.Presence {
	heard := map[string]feed.Presence{}
	for i := range t.shards {
		t.shards[i].collect(then, heard)
	}
	return heard
}

func (s *presenceShard) collect(then time.Duration, heard map[string]feed.Presence) {
	s.Lock()
	defer s.Unlock()
	for name, record := range s.proxies {
		if record.heardAt < then {
			delete(s.proxies, name)
			continue
		}
		heard[name] = record.presence
	}
}
