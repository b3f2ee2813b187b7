package state

import (
	"hash/maphash"
	"maps"
	"math"
)

const (
	// defaultRetention holds when a command gives none, in milliseconds: a
	// missing setting must not make claims be forgotten at once.
	defaultRetention = 24 * 3600 * 1000
	// expireBatch bounds the entries that one command removes. It is above the
	// one entry that a command adds, so removal keeps pace.
	expireBatch = 16

	retainedShards = 256
)

// shardSeed spreads keys over shards; no result depends on it.
var shardSeed = maphash.MakeSeed()

// entry is a retained value. It is immutable: an update stores a new entry.
type entry[V any] struct {
	revision uint64 // index of the command that added the key
	expires  int64  // group clock in milliseconds
	value    V
}

// queued refers to the entry that a command added. It is outdated when the
// key's entry has another revision.
type queued[K comparable] struct {
	key      K
	revision uint64
}

// retained maps keys to values that expire by the group clock. From its expiry
// on an entry is never returned; its memory is freed a few entries at a time in
// the order of adding, so an entry behind one of longer retention is freed later.
//
// The maps are copied on write after freeze, and the queue is only appended to
// and cut at its head, so a frozen copy costs no copy of the entries.
type retained[K comparable, V any] struct {
	shards [retainedShards]retainedShard[K, V]
	queue  []queued[K]
}

type retainedShard[K comparable, V any] struct {
	items  map[K]*entry[V]
	shared bool // a frozen copy uses items
}

func (r *retained[K, V]) get(key K, clock int64) *entry[V] {
	e := r.shard(key).items[key]
	if e == nil || e.expires <= clock {
		return nil
	}
	return e
}

// add stores a new entry and replaces one that the caller found to be replaceable.
func (r *retained[K, V]) add(key K, e *entry[V]) {
	r.put(key, e)
	r.queue = append(r.queue, queued[K]{key: key, revision: e.revision})
}

// update replaces the value of a key and keeps its revision and expiry.
func (r *retained[K, V]) update(key K, value V) {
	old := r.shard(key).items[key]
	r.put(key, &entry[V]{revision: old.revision, expires: old.expires, value: value})
}

// expire frees a bounded number of entries.
func (r *retained[K, V]) expire(clock int64) {
	for range expireBatch {
		if len(r.queue) == 0 {
			r.queue = nil
			return
		}
		head := r.queue[0]
		e := r.live(head)
		if e != nil && e.expires > clock {
			return
		}
		r.queue = r.queue[1:]
		if e != nil {
			r.remove(head.key)
		}
	}
}

// live returns the entry that the reference was made for, or nil if it was replaced.
func (r *retained[K, V]) live(q queued[K]) *entry[V] {
	e := r.shard(q.key).items[q.key]
	if e == nil || e.revision != q.revision {
		return nil
	}
	return e
}

// freeze returns a copy that never changes.
func (r *retained[K, V]) freeze() *retained[K, V] {
	for i := range r.shards {
		r.shards[i].shared = true
	}
	frozen := *r
	frozen.queue = r.queue[:len(r.queue):len(r.queue)]
	return &frozen
}

func (r *retained[K, V]) put(key K, e *entry[V]) {
	shard := r.shard(key)
	shard.own()
	shard.items[key] = e
}

func (r *retained[K, V]) remove(key K) {
	shard := r.shard(key)
	shard.own()
	delete(shard.items, key)
}

func (r *retained[K, V]) shard(key K) *retainedShard[K, V] {
	return &r.shards[maphash.Comparable(shardSeed, key)%retainedShards]
}

// own makes the map safe to write to.
func (s *retainedShard[K, V]) own() {
	switch {
	case s.items == nil:
		s.items = map[K]*entry[V]{}
	case s.shared:
		s.items = maps.Clone(s.items)
	}
	s.shared = false
}

// expiry returns the group time at which something added now expires.
func expiry(clock, retention int64) int64 {
	if retention <= 0 {
		retention = defaultRetention
	}
	if retention > math.MaxInt64-max(clock, 0) {
		return math.MaxInt64
	}
	return clock + retention
}
