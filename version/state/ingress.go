package state

import (
	"maps"
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/binenc"
)

// Observe commits objects that the leader, and no writer, determines from what it sees
// of the fleet: replicas on the platform's list, proxies that accept requests, members
// of the control group that daemons may receive views from, quarantines and suspects of
// requests during which replicas terminated, and capacities, which are the leader's plans
// for the number of replicas. Put holds objects of these kinds only, Removed the keys of
// such objects.
type Observe struct {
	Put     []api.Object
	Removed []api.Key
}

// ReplaceIngress replaces the Ingress, the configuration of the HTTP routes, and its
// tenants. It contains API keys only in the compressed source document, from which the
// configuration was read.
type ReplaceIngress struct {
	// Spec has a compressed Source and no Tenants.
	Spec    api.IngressSpec
	Tenants []api.RouteTenant
}

// replaceIngress stores the Ingress if its generation is greater than the stored one.
//
// Invariant: the stored generation never decreases, and the content of a generation
// never changes. It holds because this function is the only writer and changes
// nothing unless the generation increases. Routes and tenants change in the same
// log entry, so no view has new routes with old tenants or the reverse.
func (m *Machine) replaceIngress(replacement *ReplaceIngress) api.ReplaceResult {
	current := m.ingressGeneration()
	if replacement.Spec.Generation <= current {
		return api.ReplaceResult{Code: api.ReplaceSuperseded, Generation: current}
	}
	spec := replacement.Spec
	m.ingressSource = spec.Source
	spec.Source, spec.Tenants = nil, nil // they contain keys, and views are sent to every proxy
	metadata := api.Metadata{Name: api.IngressName, Revision: m.index}
	m.put(api.Object{Ingress: &api.Ingress{Metadata: metadata, Spec: spec}})
	m.replaceTenants(replacement.Tenants)
	return api.ReplaceResult{Code: api.ReplaceApplied, Generation: replacement.Spec.Generation}
}

// replaceTenants stores only the tenants that differ and removes those that are no longer
// listed, so that a change of a few keys results in a small delta.
func (m *Machine) replaceTenants(tenants []api.RouteTenant) {
	listed := make(map[string]bool, len(tenants))
	for i := range tenants {
		tenant := tenants[i]
		listed[tenant.Name] = true
		if stored := m.routeTenants.items[tenant.Name]; stored != nil && stored.Spec.Equal(&tenant.Spec) {
			continue
		}
		tenant.Metadata = api.Metadata{Name: tenant.Name, Revision: m.index}
		m.put(api.Object{RouteTenant: &tenant})
	}
	for _, name := range slices.Sorted(maps.Keys(m.routeTenants.items)) {
		if !listed[name] {
			m.remove(api.Key{Kind: api.KindRouteTenant, Name: name})
		}
	}
}

func appendReplaceIngress(b []byte, replacement *ReplaceIngress) []byte {
	b = binenc.AppendIngressSpec(b, &replacement.Spec)
	b = binenc.AppendUint(b, uint64(len(replacement.Tenants)))
	for i := range replacement.Tenants {
		b = binenc.AppendRouteTenant(b, &replacement.Tenants[i])
	}
	return b
}

func readReplaceIngress(r *binenc.Reader) *ReplaceIngress {
	const minimumTenantBytes = 4
	replacement := &ReplaceIngress{Spec: r.IngressSpec()}
	tenants := r.Count(minimumTenantBytes)
	for i := 0; i < tenants && r.Err() == nil; i++ {
		replacement.Tenants = append(replacement.Tenants, *r.RouteTenant())
	}
	return replacement
}

// ingressGeneration returns the stored generation, or 0 if there is no Ingress.
func (m *Machine) ingressGeneration() uint64 {
	if current := m.ingresses.items[api.IngressName]; current != nil {
		return current.Spec.Generation
	}
	return 0
}

// observe stores and removes objects of the observed kinds, and sets the revision in the
// objects of the command. It ignores objects of other kinds, which only transactions and
// ReplaceIngress write.
func (m *Machine) observe(observed *Observe) {
	for _, object := range observed.Put {
		key, ok := object.Key()
		if !ok || !isObservedKind(key.Kind) {
			continue
		}
		object.Metadata().Revision = m.index
		m.put(object)
	}
	for _, key := range observed.Removed {
		if _, found := m.Object(key); found && isObservedKind(key.Kind) {
			m.remove(key)
		}
	}
}

func isObservedKind(kind api.Kind) bool {
	switch kind {
	case api.KindReplica, api.KindProxy, api.KindMember, api.KindQuarantine, api.KindCapacity, api.KindSuspect:
		return true
	}
	return false
}

func appendObserve(b []byte, observed *Observe) []byte {
	b = binenc.AppendUint(b, uint64(len(observed.Put)))
	for _, object := range observed.Put {
		b = binenc.AppendObject(b, object)
	}
	b = binenc.AppendUint(b, uint64(len(observed.Removed)))
	for _, key := range observed.Removed {
		b = binenc.AppendKey(b, key)
	}
	return b
}

func readObserve(r *binenc.Reader) *Observe {
	const minimumObjectBytes, minimumKeyBytes = 4, 2
	observed := &Observe{}
	objects := r.Count(minimumObjectBytes)
	for i := 0; i < objects && r.Err() == nil; i++ {
		observed.Put = append(observed.Put, r.Object())
	}
	removed := r.Count(minimumKeyBytes)
	for i := 0; i < removed && r.Err() == nil; i++ {
		observed.Removed = append(observed.Removed, r.Key())
	}
	return observed
}
