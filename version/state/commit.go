package state

import (
	"maps"
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
)

// commit carries out an accepted plan.
func (p *plan) commit() {
	for i, write := range p.transaction.Writes {
		if write.Delete {
			p.machine.delete(p.keys[i])
		} else {
			p.machine.write(write.Object)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.selected)) {
		p.machine.selectEngine(name, p.selected[name])
	}
}

// write stores an object with the metadata and spec of a writer and the status
// that the machine has. The writer's objects are not written to.
func (m *Machine) write(o api.Object) {
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

// engineStatus returns the status of an engine that is being written.
func (m *Machine) engineStatus(name string) api.EngineStatus {
	if engine := m.engines.items[name]; engine != nil {
		return engine.Status
	}
	listed := m.platform.phase(name, api.PhaseUnknown)
	return api.EngineStatus{Phase: listed, MachinePhase: listed}
}

func (m *Machine) delete(key api.Key) {
	m.remove(key)
	if key.Kind == api.KindEngine {
		m.incarnations.remove(key.Name)
	}
	if key.Kind == api.KindIntent {
		delete(m.selection.engines, key.Name)
	}
}

// selectEngine stores which intents select an engine. An engine that no intent
// selects any more keeps its assignment: automation moves labels in several
// steps, and an engine between two intents must not be unloaded.
func (m *Machine) selectEngine(name string, intents []string) {
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
