package view

import (
	"maps"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/version/api"
)

// Errors of Apply. In each case the view stays as it is.
var (
	// ErrGap is returned when the delta starts from another version than the
	// view's, so that changes could be missing between them.
	ErrGap = errors.New("view: delta starts from another version")
	// ErrStale is returned when the delta does not lead to a later version.
	ErrStale = errors.New("view: delta does not lead forward")
)

// Compare returns a negative number, zero or a positive number as v is older
// than, equal to or newer than w. The revision decides, since committed
// revisions are never given twice.
func (v Version) Compare(w Version) int {
	switch {
	case v.Revision < w.Revision:
		return -1
	case v.Revision > w.Revision:
		return 1
	}
	return 0
}

// IsZero reports whether v is the version of an empty view.
func (v Version) IsZero() bool { return v == Version{} }

// New returns an empty view of version zero.
func New() *View {
	return &View{
		Intents:   map[string]*api.Intent{},
		Engines:   map[string]*api.Engine{},
		Services:  map[string]*api.Service{},
		Classes:   map[string]*api.Class{},
		Tenants:   map[string]*api.Tenant{},
		Ingresses: map[string]*api.Ingress{},
		Replicas:  map[string]*api.Replica{},
		Proxies:   map[string]*api.Proxy{},
		Members:   map[string]*api.Member{},
	}
}

// Apply returns the view that the delta leads to and leaves v unchanged. The
// result shares with v the objects and the maps that the delta does not touch,
// which is safe because neither is ever written to again.
//
// Invariant: the result's version is later than v's, and its objects are those
// of that version. A partial delta is taken only from exactly v's version, and
// a full one replaces everything, so no change can be missed between them; both
// must lead forward, so late or repeated deltas change nothing.
func (v *View) Apply(d Delta) (*View, error) {
	if d.To.Compare(v.Version) <= 0 || d.To.Term < v.Version.Term {
		return nil, ErrStale
	}
	if !d.Full && d.From != v.Version {
		return nil, ErrGap
	}
	next := *v
	if d.Full {
		next = *New()
	}
	next.Version = d.To
	next.copyTouched(d)
	for _, o := range d.Objects {
		next.put(o)
	}
	for _, key := range d.Removed {
		next.remove(key)
	}
	return &next, nil
}

// Object returns the object with the key.
func (v *View) Object(key api.Key) (api.Object, bool) {
	switch key.Kind {
	case api.KindIntent:
		o, ok := v.Intents[key.Name]
		return api.Object{Intent: o}, ok
	case api.KindEngine:
		o, ok := v.Engines[key.Name]
		return api.Object{Engine: o}, ok
	case api.KindService:
		o, ok := v.Services[key.Name]
		return api.Object{Service: o}, ok
	case api.KindClass:
		o, ok := v.Classes[key.Name]
		return api.Object{Class: o}, ok
	case api.KindTenant:
		o, ok := v.Tenants[key.Name]
		return api.Object{Tenant: o}, ok
	case api.KindIngress:
		o, ok := v.Ingresses[key.Name]
		return api.Object{Ingress: o}, ok
	case api.KindReplica:
		o, ok := v.Replicas[key.Name]
		return api.Object{Replica: o}, ok
	case api.KindProxy:
		o, ok := v.Proxies[key.Name]
		return api.Object{Proxy: o}, ok
	case api.KindMember:
		o, ok := v.Members[key.Name]
		return api.Object{Member: o}, ok
	}
	return api.Object{}, false
}

// Full returns the delta that leads from nothing to v, with the objects in
// the order of their kinds and names.
func (v *View) Full() Delta {
	d := Delta{To: v.Version, Full: true}
	for _, kind := range api.Kinds {
		d.Objects = append(d.Objects, v.List(kind)...)
	}
	return d
}

// copyTouched replaces the maps that the delta writes to by copies.
func (v *View) copyTouched(d Delta) {
	touched := map[api.Kind]bool{}
	for _, o := range d.Objects {
		if key, ok := o.Key(); ok {
			touched[key.Kind] = true
		}
	}
	for _, key := range d.Removed {
		touched[key.Kind] = true
	}
	v.Intents = copyIf(touched[api.KindIntent], v.Intents)
	v.Engines = copyIf(touched[api.KindEngine], v.Engines)
	v.Services = copyIf(touched[api.KindService], v.Services)
	v.Classes = copyIf(touched[api.KindClass], v.Classes)
	v.Tenants = copyIf(touched[api.KindTenant], v.Tenants)
	v.Ingresses = copyIf(touched[api.KindIngress], v.Ingresses)
	v.Replicas = copyIf(touched[api.KindReplica], v.Replicas)
	v.Proxies = copyIf(touched[api.KindProxy], v.Proxies)
	v.Members = copyIf(touched[api.KindMember], v.Members)
}

func copyIf[T any](touched bool, items map[string]*T) map[string]*T {
	switch {
	case !touched:
		return items
	case items == nil:
		return map[string]*T{}
	}
	return maps.Clone(items)
}

func (v *View) put(o api.Object) {
	switch {
	case o.Intent != nil:
		v.Intents[o.Intent.Name] = o.Intent
	case o.Engine != nil:
		v.Engines[o.Engine.Name] = o.Engine
	case o.Service != nil:
		v.Services[o.Service.Name] = o.Service
	case o.Class != nil:
		v.Classes[o.Class.Name] = o.Class
	case o.Tenant != nil:
		v.Tenants[o.Tenant.Name] = o.Tenant
	case o.Ingress != nil:
		v.Ingresses[o.Ingress.Name] = o.Ingress
	case o.Replica != nil:
		v.Replicas[o.Replica.Name] = o.Replica
	case o.Proxy != nil:
		v.Proxies[o.Proxy.Name] = o.Proxy
	case o.Member != nil:
		v.Members[o.Member.Name] = o.Member
	}
}

func (v *View) remove(key api.Key) {
	switch key.Kind {
	case api.KindIntent:
		delete(v.Intents, key.Name)
	case api.KindEngine:
		delete(v.Engines, key.Name)
	case api.KindService:
		delete(v.Services, key.Name)
	case api.KindClass:
		delete(v.Classes, key.Name)
	case api.KindTenant:
		delete(v.Tenants, key.Name)
	case api.KindIngress:
		delete(v.Ingresses, key.Name)
	case api.KindReplica:
		delete(v.Replicas, key.Name)
	case api.KindProxy:
		delete(v.Proxies, key.Name)
	case api.KindMember:
		delete(v.Members, key.Name)
	}
}
