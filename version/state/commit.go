package state

import (
	"maps"
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
)

// commit applies an accepted plan to the machine.
func (p *plan) commit() {
	for i, write := range p.transaction.Writes {
		if write.Delete {
			p.machine.deleteObject(p.keys[i])
		} else {
			p.machine.writeObject(write.Object)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.intentsByEngine)) {
		p.machine.setEngineIntents(name, p.intentsByEngine[name])
	}
}

// writeObject stores an object with the writer's metadata and spec and, for kinds with
// a status, the status that the machine holds. It does not modify the writer's object.
func (m *Machine) writeObject(o api.Object) {
	switch {
	case o.Intent != nil:
		intent := &api.Intent{Metadata: o.Intent.Metadata, Spec: o.Intent.Spec}
		o = api.Object{Intent: intent}
	case o.Engine != nil:
		engine := &api.Engine{Metadata: o.Engine.Metadata, Spec: o.Engine.Spec}
		engine.Status = m.engineStatus(engine.Name)
		o = api.Object{Engine: engine}
	case o.Service != nil:
		service := &api.Service{Metadata: o.Service.Metadata, Spec: o.Service.Spec}
		service.Status = m.platform.serviceStatus(service.Spec.Backends)
		o = api.Object{Service: service}
	case o.Class != nil:
		class := *o.Class
		o = api.Object{Class: &class}
	case o.Tenant != nil:
		tenant := *o.Tenant
		o = api.Object{Tenant: &tenant}
	}
	o.Metadata().Revision = m.index
	m.put(o)
}

// engineStatus returns the status for an engine that is being written: the stored
// status, or the initial status of a new engine.
func (m *Machine) engineStatus(name string) api.EngineStatus {
	if engine := m.engines.items[name]; engine != nil {
		return engine.Status
	}
	phase := m.platform.effectivePhase(name, api.PhaseUnknown)
	return api.EngineStatus{Phase: phase, MachinePhase: phase}
}

// deleteObject removes an object and the state derived from it. The intents that select
// a deleted engine are removed by setEngineIntents, which commit calls afterwards.
func (m *Machine) deleteObject(key api.Key) {
	m.remove(key)
	if key.Kind == api.KindEngine {
		m.incarnations.remove(key.Name)
	}
	if key.Kind == api.KindIntent {
		delete(m.selection.engines, key.Name)
	}
}

// setEngineIntents stores which intents select an engine. An engine that is no longer
// selected keeps its assignment, and UnmatchedSince is set to the current log index.
// Automation may change labels in several steps, and an engine that is moving between
// two intents must not have its model unloaded.
func (m *Machine) setEngineIntents(name string, intents []string) {
	m.selection.set(name, intents)
	engine := m.engines.items[name]
	if engine == nil {
		return
	}
	status := engine.Status
	switch {
	case len(intents) > 0:
		status.UnmatchedSince = 0
	case status.UnmatchedSince == 0:
		status.UnmatchedSince = m.index
	}
	m.updateEngine(engine, status)
}
