package state

import (
	"maps"

	"github.com/landingtrail/landingtrail/version/api"
)

// table maps names to objects of one kind. Stored objects are immutable, and the map
// is copied on the first write after it was shared.
type table[T any] struct {
	items  map[string]*T
	shared bool
}

func newTable[T any]() table[T] { return table[T]{items: map[string]*T{}} }

// share returns the map. It is not modified from then on, so the caller may keep it.
func (t *table[T]) share() map[string]*T {
	t.shared = true
	return t.items
}

func (t *table[T]) put(name string, object *T) {
	t.ensureWritable()
	t.items[name] = object
}

func (t *table[T]) remove(name string) {
	t.ensureWritable()
	delete(t.items, name)
}

func (t *table[T]) ensureWritable() {
	if t.shared {
		t.items = maps.Clone(t.items)
		t.shared = false
	}
}

// anyTable is a table whose kind is determined at run time.
type anyTable interface {
	putObject(name string, o api.Object)
	remove(name string)
}

// kindTable is a table with the function that extracts its T from an Object.
type kindTable[T any] struct {
	*table[T]
	extract func(api.Object) *T
}

func (t kindTable[T]) putObject(name string, o api.Object) { t.put(name, t.extract(o)) }

// table returns the table for objects of the kind, or nil if the kind is unknown.
func (m *Machine) table(kind api.Kind) anyTable {
	switch kind {
	case api.KindIntent:
		return kindTable[api.Intent]{&m.intents, func(o api.Object) *api.Intent { return o.Intent }}
	case api.KindEngine:
		return kindTable[api.Engine]{&m.engines, func(o api.Object) *api.Engine { return o.Engine }}
	case api.KindService:
		return kindTable[api.Service]{&m.services, func(o api.Object) *api.Service { return o.Service }}
	case api.KindClass:
		return kindTable[api.Class]{&m.classes, func(o api.Object) *api.Class { return o.Class }}
	case api.KindTenant:
		return kindTable[api.Tenant]{&m.tenants, func(o api.Object) *api.Tenant { return o.Tenant }}
	case api.KindIngress:
		return kindTable[api.Ingress]{&m.ingresses, func(o api.Object) *api.Ingress { return o.Ingress }}
	case api.KindReplica:
		return kindTable[api.Replica]{&m.replicas, func(o api.Object) *api.Replica { return o.Replica }}
	case api.KindProxy:
		return kindTable[api.Proxy]{&m.proxies, func(o api.Object) *api.Proxy { return o.Proxy }}
	case api.KindMember:
		return kindTable[api.Member]{&m.memberObjects, func(o api.Object) *api.Member { return o.Member }}
	case api.KindQuarantine:
		return kindTable[api.Quarantine]{&m.quarantines, func(o api.Object) *api.Quarantine { return o.Quarantine }}
	case api.KindRouteTenant:
		return kindTable[api.RouteTenant]{&m.routeTenants, func(o api.Object) *api.RouteTenant { return o.RouteTenant }}
	case api.KindCapacity:
		return kindTable[api.Capacity]{&m.capacities, func(o api.Object) *api.Capacity { return o.Capacity }}
	case api.KindSuspect:
		return kindTable[api.Suspect]{&m.suspects, func(o api.Object) *api.Suspect { return o.Suspect }}
	}
	return nil
}
