package state

import (
	"maps"
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/binenc"
)

// Observe commits objects that the leader derived from the state of the fleet:
// replicas on the platform's list, proxies that accept requests, members that daemons
// may follow, quarantines and suspects of requests during which replicas terminated, and
// the desired number of replicas. Put holds objects of these kinds only, Removed the
// keys of such objects.
type Observe struct {
	Put     []api.Object
	Removed []api.Key
}

// ReplaceIngress replaces the Ingress and its tenants. It contains API keys only in the
// compressed source document.
type ReplaceIngress struct {
	// Spec has a compressed Source and no Tenants.
	Spec    api.IngressSpec
	Tenants []api.RouteTenant
}

// replaceIngress puts the spec in force if its generation is greater than the one in
// force.
//
// Invariant: the generation in force never decreases, and the content of a generation
// never changes. It holds because this function is the only writer and changes
// nothing unless the generation increases. Routes and tenants change in the same
// log entry, so no view has new routes with old tenants or the reverse.
func (m *Machine) replaceIngress(given *ReplaceIngress) api.ReplaceResult {
	held := m.ingressGeneration()
	if given.Spec.Generation <= held {
		return api.ReplaceResult{Code: api.ReplaceSuperseded, Generation: held}
	}
	spec := given.Spec
	m.ingressSource = spec.Source
	spec.Source, spec.Tenants = nil, nil // they contain keys, and views are sent to every proxy
	metadata := api.Metadata{Name: api.IngressName, Revision: m.index}
	m.put(api.Object{Ingress: &api.Ingress{Metadata: metadata, Spec: spec}})
	m.replaceTenants(given.Tenants)
	return api.ReplaceResult{Code: api.ReplaceApplied, Generation: given.Spec.Generation}
}

// replaceTenants stores only the tenants that differ and removes those that are no longer
// listed, so that a change of a few keys results in a small delta.
func (m *Machine) replaceTenants(tenants []api.RouteTenant) {
	given := make(map[string]bool, len(tenants))
	for i := range tenants {
		tenant := tenants[i]
		given[tenant.Name] = true
		if known := m.routeTenants.items[tenant.Name]; known != nil && known.Spec.Equal(&tenant.Spec) {
			continue
		}
		tenant.Metadata = api.Metadata{Name: tenant.Name, Revision: m.index}
		m.put(api.Object{RouteTenant: &tenant})
	}
	for _, name := range slices.Sorted(maps.Keys(m.routeTenants.items)) {
		if !given[name] {
			m.remove(api.Key{Kind: api.KindRouteTenant, Name: name})
		}
	}
}

func appendReplaceIngress(b []byte, given *ReplaceIngress) []byte {
	b = binenc.AppendIngressSpec(b, &given.Spec)
	b = binenc.AppendUint(b, uint64(len(given.Tenants)))
	for i := range given.Tenants {
		b = binenc.AppendRouteTenant(b, &given.Tenants[i])
	}
	return b
}

func readReplaceIngress(r *binenc.Reader) *ReplaceIngress {
	const minimumTenantBytes = 4
	given := &ReplaceIngress{Spec: r.IngressSpec()}
	tenants := r.Count(minimumTenantBytes)
	for i := 0; i < tenants && r.Err() == nil; i++ {
		given.Tenants = append(given.Tenants, *r.RouteTenant())
	}
	return given
}

// ingressGeneration returns the generation in force, or 0 if there is no Ingress.
func (m *Machine) ingressGeneration() uint64 {
	if held := m.ingresses.items[api.IngressName]; held != nil {
		return held.Spec.Generation
	}
	return 0
}

// observe stores and removes objects of the observed kinds. It ignores objects of other
// kinds, which are owned by their writers.
func (m *Machine) observe(seen *Observe) {
	for _, object := range seen.Put {
		key, ok := object.Key()
		if !ok || !isObserved(key.Kind) {
			continue
		}
		object.Metadata().Revision = m.index
		m.put(object)
	}
	for _, key := range seen.Removed {
		if _, found := m.Object(key); found && isObserved(key.Kind) {
			m.remove(key)
		}
	}
}

func isObserved(kind api.Kind) bool {
	switch kind {
	case api.KindReplica, api.KindProxy, api.KindMember, api.KindQuarantine, api.KindCapacity, api.KindSuspect:
		return true
	}
	return false
}

func appendObserve(b []byte, seen *Observe) []byte {
	b = binenc.AppendUint(b, uint64(len(seen.Put)))
	for _, object := range seen.Put {
		b = binenc.AppendObject(b, object)
	}
	b = binenc.AppendUint(b, uint64(len(seen.Removed)))
	for _, key := range seen.Removed {
		b = binenc.AppendKey(b, key)
	}
	return b
}

func readObserve(r *binenc.Reader) *Observe {
	const minimumObjectBytes, minimumKeyBytes = 4, 2
	seen := &Observe{}
	objects := r.Count(minimumObjectBytes)
	for i := 0; i < objects && r.Err() == nil; i++ {
		seen.Put = append(seen.Put, r.Object())
	}
	removed := r.Count(minimumKeyBytes)
	for i := 0; i < removed && r.Err() == nil; i++ {
		seen.Removed = append(seen.Removed, r.Key())
	}
	return seen
}
