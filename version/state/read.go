package state

import (
	"maps"
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/selector"
	"github.com/landingtrail/landingtrail/version/view"
)

// Version returns the version of the machine's view of objects.
func (m *Machine) Version() view.Version { return m.version }

// Applied returns the term and index of the last applied command, or zeros if there is none.
func (m *Machine) Applied() (term, index uint64) { return m.term, m.index }

// Clock returns the group clock in milliseconds.
func (m *Machine) Clock() int64 { return m.clock }

// View returns an immutable view of the objects. It copies no objects: a map is copied
// only when a later command changes an object of its kind.
func (m *Machine) View() *view.View {
	if m.cachedView == nil {
		m.cachedView = &view.View{
			Version:   m.version,
			Intents:   m.intents.share(),
			Engines:   m.engines.share(),
			Services:  m.services.share(),
			Classes:   m.classes.share(),
			Tenants:   m.tenants.share(),
			Ingresses: m.ingresses.share(),
			Replicas:  m.replicas.share(),
			Proxies:   m.proxies.share(),
			Members:   m.memberObjects.share(),

			Quarantines:  m.quarantines.share(),
			RouteTenants: m.routeTenants.share(),
			Capacities:   m.capacities.share(),
			Suspects:     m.suspects.share(),
		}
	}
	return m.cachedView
}

// History returns the view and the changes that are kept for deltas. Other
// goroutines may compute deltas from it while the machine applies commands.
func (m *Machine) History() view.History {
	return view.History{
		View:    m.View(),
		Floor:   m.changesFloor,
		Changes: m.changes[:len(m.changes):len(m.changes)],
	}
}

// DeltaSince returns the delta from a version to the machine's version. It returns
// false if from is not older than the machine's version. See view.History.
func (m *Machine) DeltaSince(from view.Version) (view.Delta, bool) {
	return m.History().DeltaSince(from)
}

// Object returns the stored object with the key. The caller must not modify the object.
func (m *Machine) Object(key api.Key) (api.Object, bool) { return m.unsharedView().Object(key) }

// List returns the objects of a kind, sorted by name.
func (m *Machine) List(kind api.Kind) []api.Object { return m.unsharedView().List(kind) }

// unsharedView returns a view that is valid only until the next command, because its
// maps are not marked as shared.
func (m *Machine) unsharedView() *view.View {
	return &view.View{
		Intents:   m.intents.items,
		Engines:   m.engines.items,
		Services:  m.services.items,
		Classes:   m.classes.items,
		Tenants:   m.tenants.items,
		Ingresses: m.ingresses.items,
		Replicas:  m.replicas.items,
		Proxies:   m.proxies.items,
		Members:   m.memberObjects.items,

		Quarantines:  m.quarantines.items,
		RouteTenants: m.routeTenants.items,
		Capacities:   m.capacities.items,
		Suspects:     m.suspects.items,
	}
}

// IngressSource returns the compressed source document of the stored Ingress. The caller
// must not modify the bytes. They remain valid when the Ingress is replaced.
func (m *Machine) IngressSource() []byte { return m.ingressSource }

// Operation returns the result stored for an operation ID, and false if there is none or
// it has expired.
func (m *Machine) Operation(id string) (api.TransactionResult, bool) {
	e := m.operations.get(id, m.clock)
	if e == nil {
		return api.TransactionResult{}, false
	}
	return e.value.result, true
}

// Claim returns the claim stored for a key of a tenant, and false if there is none or it
// has expired.
func (m *Machine) Claim(tenant, key string) (api.Claim, bool) {
	e := m.claims.get(claimKey{tenant: tenant, key: key}, m.clock)
	if e == nil {
		return api.Claim{}, false
	}
	return e.value.Claim, true
}

// OpenOrders returns the open orders, sorted by engine name.
func (m *Machine) OpenOrders() []api.Order {
	var orders []api.Order
	for _, name := range slices.Sorted(maps.Keys(m.engines.items)) {
		if order := m.engines.items[name].Status.OpenOrder; order != nil {
			orders = append(orders, *order)
		}
	}
	return orders
}

// Members returns the members that have not been removed, sorted by ID.
func (m *Machine) Members() []Member {
	var members []Member
	for _, id := range slices.Sorted(maps.Keys(m.members)) {
		if member := m.members[id]; !member.Removed {
			members = append(members, member)
		}
	}
	return members
}

// IsRemovedMember reports whether a member with the ID has been removed.
func (m *Machine) IsRemovedMember(id uint64) bool { return m.members[id].Removed }

// SelectingIntent returns the intent that selects an engine, or nil if none does. If
// several intents select the engine, their desired states are equal and it returns
// the first by name.
func (m *Machine) SelectingIntent(engine string) *api.Intent {
	names := m.selection.intents[engine]
	if len(names) == 0 {
		return nil
	}
	return m.intents.items[names[0]]
}

// SelectingIntent is like Machine.SelectingIntent for an engine of a view. It evaluates
// the selector of every intent.
func SelectingIntent(v *view.View, engine *api.Engine) *api.Intent {
	names := selectingIntents(v.Intents, engine)
	if len(names) == 0 {
		return nil
	}
	return v.Intents[names[0]]
}

// IntentStatus counts the engines of an intent in a view by their state. An engine whose
// assignment satisfies the intent counts as assigned, even if its machine is gone. The
// status is computed on read and not stored, since it would change with every engine
// report.
func IntentStatus(v *view.View, intent *api.Intent) api.IntentStatus {
	var status api.IntentStatus
	for _, engine := range v.Engines {
		if !selector.Matches(intent.Spec.Engines, engine.Labels) {
			continue
		}
		status.Engines++
		phase := engine.Status.Phase
		switch {
		case engine.Status.OpenOrder != nil, phase == api.PhaseDraining, phase == api.PhaseChanging:
			status.Changing++
		case Satisfies(intent.Spec, engine.Status.Assignment):
			status.Assigned++
		default:
			status.Unassigned++
		}
	}
	return status
}
