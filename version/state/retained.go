package state

import (
	"hash/maphash"
	"maps"
	"math"
)

const (
	// defaultRetention, in milliseconds, applies when a command sets no retention.
	// Without it, claims and operations would expire immediately.
	defaultRetention = 24 * 3600 * 1000
	// expireBatch is the maximum number of queue entries that one command removes. It
	// exceeds the one entry that a command adds, so removal keeps up.
	expireBatch = 16

	shardCount = 256
)

// shardSeed seeds the hash that assigns keys to shards. It does not affect any result
// or snapshot, so it may differ between members.
var shardSeed = maphash.MakeSeed()

// entry is a value with its expiry. It is immutable: an update stores a new entry.
type entry[V any] struct {
	revision uint64 // index of the command that added the key
	expires  int64  // milliseconds of the group clock
	value    V
}

// queuedKey refers to the entry that a command added. It is stale if the current entry
// of the key has another revision.
type queuedKey[K comparable] struct {
	key      K
	revision uint64
}

// expiringMap maps keys to values that expire by the group clock. From its expiry on,
// an entry is never returned. The memory of expired entries is freed a few entries
// at a time in the order of insertion, so an entry behind one with a longer
// retention is freed later.
//
// The maps are copied on the first write after freeze. The queue is only appended
// to and cut at its head. A frozen copy therefore does not copy any entries.
type expiringMap[K comparable, V any] struct {
	shards [shardCount]expiringShard[K, V]
	queue  []queuedKey[K]
}

type expiringShard[K comparable, V any] struct {
	items  map[K]*entry[V]
	shared bool // a frozen copy uses items
}

func (m *expiringMap[K, V]) get(key K, clock int64) *entry[V] {
	e := m.shard(key).items[key]
	if e == nil || e.expires <= clock {
		return nil
	}
	return e
}

// add stores a new entry and replaces any existing entry of the key.
func (m *expiringMap[K, V]) add(key K, e *entry[V]) {
	m.put(key, e)
	m.queue = append(m.queue, queuedKey[K]{key: key, revision: e.revision})
}

// update replaces the value of a key, which must be present, and keeps its revision and
// expiry.
func (m *expiringMap[K, V]) update(key K, value V) {
	old := m.shard(key).items[key]
	m.put(key, &entry[V]{revision: old.revision, expires: old.expires, value: value})
}

// expire removes a bounded number of expired entries and stale references.
func (m *expiringMap[K, V]) expire(clock int64) {
	for range expireBatch {
		if len(m.queue) == 0 {
			m.queue = nil
			return
		}
		head := m.queue[0]
		e := m.lookup(head)
		if e != nil && e.expires > clock {
			return
		}
		m.queue = m.queue[1:]
		if e != nil {
			m.remove(head.key)
		}
	}
}

// lookup returns the entry that the reference was created for, or nil if it was
// replaced or removed.
func (m *expiringMap[K, V]) lookup(q queuedKey[K]) *entry[V] {
	e := m.shard(q.key).items[q.key]
	if e == nil || e.revision != q.revision {
		return nil
	}
	return e
}

// freeze returns an immutable copy.
func (m *expiringMap[K, V]) freeze() *expiringMap[K, V] {
	for i := range m.shards {
		m.shards[i].shared = true
	}
	frozen := *m
	frozen.queue = m.queue[:len(m.queue):len(m.queue)]
	return &frozen
}

func (m *expiringMap[K, V]) put(key K, e *entry[V]) {
	shard := m.shard(key)
	shard.ensureWritable()
	shard.items[key] = e
}

func (m *expiringMap[K, V]) remove(key K) {
	shard := m.shard(key)
	shard.ensureWritable()
	delete(shard.items, key)
}

func (m *expiringMap[K, V]) shard(key K) *expiringShard[K, V] {
	return &m.shards[maphash.Comparable(shardSeed, key)%shardCount]
}

// ensureWritable allocates the map, or copies it if a frozen copy uses it.
func (s *expiringShard[K, V]) ensureWritable() {
	switch {
	case s.items == nil:
		s.items = map[K]*entry[V]{}
	case s.shared:
		s.items = maps.Clone(s.items)
	}
	s.shared = false
}

// expiryTime returns the time on the group clock at which an entry added now expires.
func expiryTime(clock, retention int64) int64 {
	if retention <= 0 {
		retention = defaultRetention
	}
	if retention > math.MaxInt64-max(clock, 0) {
		return math.MaxInt64
	}
	return clock + retention
}
