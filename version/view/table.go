package view

import (
	"maps"
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
)

// List returns the objects of a kind, sorted by name.
func (v *View) List(kind api.Kind) []api.Object {
	objects := v.table(kind)
	if objects == nil {
		return nil
	}
	return objects.list()
}

// table gives access to the objects of one kind in a view.
type table interface {
	get(name string) (api.Object, bool)
	put(name string, o api.Object)
	remove(name string)
	list() []api.Object
	// cloneMap replaces the view's map by a copy that may be written to.
	cloneMap()
}

// table returns the table of the kind, nil for an unknown kind. It is the only place
// that maps kinds to the fields of a view.
func (v *View) table(kind api.Kind) table {
	switch kind {
	case api.KindIntent:
		return kindTable[api.Intent]{&v.Intents, func(o *api.Object) **api.Intent { return &o.Intent }}
	case api.KindEngine:
		return kindTable[api.Engine]{&v.Engines, func(o *api.Object) **api.Engine { return &o.Engine }}
	case api.KindService:
		return kindTable[api.Service]{&v.Services, func(o *api.Object) **api.Service { return &o.Service }}
	case api.KindClass:
		return kindTable[api.Class]{&v.Classes, func(o *api.Object) **api.Class { return &o.Class }}
	case api.KindTenant:
		return kindTable[api.Tenant]{&v.Tenants, func(o *api.Object) **api.Tenant { return &o.Tenant }}
	case api.KindIngress:
		return kindTable[api.Ingress]{&v.Ingresses, func(o *api.Object) **api.Ingress { return &o.Ingress }}
	case api.KindReplica:
		return kindTable[api.Replica]{&v.Replicas, func(o *api.Object) **api.Replica { return &o.Replica }}
	case api.KindProxy:
		return kindTable[api.Proxy]{&v.Proxies, func(o *api.Object) **api.Proxy { return &o.Proxy }}
	case api.KindMember:
		return kindTable[api.Member]{&v.Members, func(o *api.Object) **api.Member { return &o.Member }}
	case api.KindQuarantine:
		return kindTable[api.Quarantine]{&v.Quarantines, func(o *api.Object) **api.Quarantine { return &o.Quarantine }}
	case api.KindRouteTenant:
		return kindTable[api.RouteTenant]{&v.RouteTenants, func(o *api.Object) **api.RouteTenant { return &o.RouteTenant }}
	case api.KindCapacity:
		return kindTable[api.Capacity]{&v.Capacities, func(o *api.Object) **api.Capacity { return &o.Capacity }}
	case api.KindSuspect:
		return kindTable[api.Suspect]{&v.Suspects, func(o *api.Object) **api.Suspect { return &o.Suspect }}
	}
	return nil
}

// kindTable implements table for objects of type T.
type kindTable[T any] struct {
	items *map[string]*T
	// field returns the field of an Object that holds its T.
	field func(*api.Object) **T
}

func (t kindTable[T]) get(name string) (api.Object, bool) {
	item, found := (*t.items)[name]
	return t.wrap(item), found
}

func (t kindTable[T]) put(name string, o api.Object) { (*t.items)[name] = *t.field(&o) }

func (t kindTable[T]) remove(name string) { delete(*t.items, name) }

func (t kindTable[T]) list() []api.Object {
	objects := make([]api.Object, 0, len(*t.items))
	for _, name := range slices.Sorted(maps.Keys(*t.items)) {
		objects = append(objects, t.wrap((*t.items)[name]))
	}
	return objects
}

func (t kindTable[T]) cloneMap() {
	if *t.items == nil {
		*t.items = map[string]*T{}
		return
	}
	*t.items = maps.Clone(*t.items)
}

// wrap returns an Object that holds the item.
func (t kindTable[T]) wrap(item *T) api.Object {
	var o api.Object
	*t.field(&o) = item
	return o
}
