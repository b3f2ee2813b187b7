package state

import (
	"hash/maphash"
	"maps"
	"math"
)

const (
	// defaultRetention, in milliseconds, applies when a command sets no retention: a
	// missing setting must not cause claims to expire immediately.
	defaultRetention = 24 * 3600 * 1000
	// expireBatch is the maximum number of queue entries that one command removes. A
	// command adds at most one entry, so removal keeps up.
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

// expiringMap maps keys to values that expire by the group clock. An expired entry is
// never returned. Its memory is freed a few entries at a time in the order of
// insertion, so an entry behind one with a longer retention is freed later.
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

func (r *expiringMap[K, V]) get(key K, clock int64) *entry[V] {
	e := r.shard(key).items[key]
	if e == nil || e.expires <= clock {
		return nil
	}
	return e
}

// add stores a new entry and replaces any existing entry of the key.
func (r *expiringMap[K, V]) add(key K, e *entry[V]) {
	r.put(key, e)
	r.queue = append(r.queue, queuedKey[K]{key: key, revision: e.revision})
}

// update replaces the value of a key and keeps its revision and expiry.
func (r *expiringMap[K, V]) update(key K, value V) {
	old := r.shard(key).items[key]
	r.put(key, &entry[V]{revision: old.revision, expires: old.expires, value: value})
}

// expire removes a bounded number of expired entries and stale references.
func (r *expiringMap[K, V]) expire(clock int64) {
	for range expireBatch {
		if len(r.queue) == 0 {
			r.queue = nil
			return
		}
		head := r.queue[0]
		e := r.lookup(head)
		if e != nil && e.expires > clock {
			return
		}
		r.queue = r.queue[1:]
		if e != nil {
			r.remove(head.key)
		}
	}
}

// lookup returns the entry that the reference was created for, or nil if it was
// replaced or removed.
func (r *expiringMap[K, V]) lookup(q queuedKey[K]) *entry[V] {
	e := r.shard(q.key).items[q.key]
	if e == nil || e.revision != q.revision {
		return nil
	}
	return e
}

// freeze returns an immutable copy.
func (r *expiringMap[K, V]) freeze() *expiringMap[K, V] {
	for i := range r.shards {
		r.shards[i].shared = true
	}
	frozen := *r
	frozen.queue = r.queue[:len(r.queue):len(r.queue)]
	return &frozen
}

func (r *expiringMap[K, V]) put(key K, e *entry[V]) {
	shard := r.shard(key)
	shard.ensureWritable()
	shard.items[key] = e
}

func (r *expiringMap[K, V]) remove(key K) {
	shard := r.shard(key)
	shard.ensureWritable()
	delete(shard.items, key)
}

func (r *expiringMap[K, V]) shard(key K) *expiringShard[K, V] {
	return &r.shards[maphash.Comparable(shardSeed, key)%shardCount]
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

// expiry returns the time on the group clock at which an entry added now expires.
func expiry(clock, retention int64) int64 {
	if retention <= 0 {
		retention = defaultRetention
	}
	if retention > math.MaxInt64-max(clock, 0) {
		return math.MaxInt64
	}
	return clock + retention
}
