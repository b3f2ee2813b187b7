package state

import (
	"maps"
)

// table maps names to objects of one kind. Objects are immutable once stored,
// and the map is copied on the first write after it was shared.
type table[T any] struct {
	items  map[string]*T
	shared bool
}

func newTable[T any]() table[T] { return table[T]{items: map[string]*T{}} }

// share returns the map, which is never written to again.
func (t *table[T]) share() map[string]*T {
	t.shared = true
	return t.items
}

func (t *table[T]) put(name string, object *T) {
	t.own()
	t.items[name] = object
}

func (t *table[T]) remove(name string) {
	t.own()
	delete(t.items, name)
}

func (t *table[T]) own() {
	if t.shared {
		t.items = maps.Clone(t.items)
		t.shared = false
	}
}
