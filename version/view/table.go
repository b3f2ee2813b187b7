package view

import (
	"maps"
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
)

// List returns the objects of a kind, sorted by name.
func (v *View) List(kind api.Kind) []api.Object {
	switch kind {
	case api.KindIntent:
		return list(v.Intents, func(o *api.Intent) api.Object { return api.Object{Intent: o} })
	case api.KindEngine:
		return list(v.Engines, func(o *api.Engine) api.Object { return api.Object{Engine: o} })
	case api.KindService:
		return list(v.Services, func(o *api.Service) api.Object { return api.Object{Service: o} })
	case api.KindClass:
		return list(v.Classes, func(o *api.Class) api.Object { return api.Object{Class: o} })
	case api.KindTenant:
		return list(v.Tenants, func(o *api.Tenant) api.Object { return api.Object{Tenant: o} })
	case api.KindIngress:
		return list(v.Ingresses, func(o *api.Ingress) api.Object { return api.Object{Ingress: o} })
	case api.KindReplica:
		return list(v.Replicas, func(o *api.Replica) api.Object { return api.Object{Replica: o} })
	case api.KindProxy:
		return list(v.Proxies, func(o *api.Proxy) api.Object { return api.Object{Proxy: o} })
	case api.KindMember:
		return list(v.Members, func(o *api.Member) api.Object { return api.Object{Member: o} })
	}
	return nil
}

func list[T any](items map[string]*T, wrap func(*T) api.Object) []api.Object {
	objects := make([]api.Object, 0, len(items))
	for _, name := range slices.Sorted(maps.Keys(items)) {
		objects = append(objects, wrap(items[name]))
	}
	return objects
}
