package state

import (
	"maps"
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
)

// platformList holds the platform's latest lists of machines that must not be used.
// Both lists are sorted and have no duplicates.
type platformList struct {
	leaving []string
	gone    []string
}

// phase returns the phase that the platform lists for an engine, or else the reported
// phase.
func (l *platformList) phase(engine string, reported api.EnginePhase) api.EnginePhase {
	switch {
	case contains(l.gone, engine):
		return api.PhaseGone
	case contains(l.leaving, engine):
		return api.PhaseLeaving
	}
	return reported
}

func (l *platformList) lists(name string) bool {
	return contains(l.gone, name) || contains(l.leaving, name)
}

// serviceStatus returns the status of a service that has the back ends.
func (l *platformList) serviceStatus(backends []api.Backend) api.ServiceStatus {
	var status api.ServiceStatus
	for _, backend := range backends {
		switch {
		case contains(l.gone, backend.Name):
			status.Gone = append(status.Gone, backend.Name)
		case contains(l.leaving, backend.Name):
			status.Leaving = append(status.Leaving, backend.Name)
		}
	}
	slices.Sort(status.Leaving)
	slices.Sort(status.Gone)
	return status
}

// setMachines replaces the platform's lists. The phase of an engine that is no longer
// listed as leaving or gone is unknown until it reports.
func (m *Machine) listMachines(machines *Machines) {
	previous := m.platform
	m.platform = platformList{leaving: nameSet(machines.Leaving), gone: nameSet(machines.Gone)}
	for _, name := range slices.Sorted(maps.Keys(m.engines.items)) {
		m.relistEngine(m.engines.items[name], &previous)
	}
	for _, name := range slices.Sorted(maps.Keys(m.services.items)) {
		m.relistService(m.services.items[name])
	}
}

func (m *Machine) relistEngine(engine *api.Engine, previous *platformList) {
	status := engine.Status
	kept := status.Phase
	if previous.lists(engine.Name) {
		kept = api.PhaseUnknown
	}
	status.MachinePhase = m.platform.phase(engine.Name, api.PhaseUnknown)
	status.Phase = m.platform.phase(engine.Name, kept)
	m.updateEngine(engine, status)
}

func (m *Machine) relistService(service *api.Service) {
	status := m.platform.serviceStatus(service.Spec.Backends)
	if slices.Equal(status.Leaving, service.Status.Leaving) && slices.Equal(status.Gone, service.Status.Gone) {
		return
	}
	next := *service
	next.Status = status
	m.put(api.Object{Service: &next})
}

func nameSet(names []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(names)))
}

func contains(sorted []string, name string) bool {
	_, found := slices.BinarySearch(sorted, name)
	return found
}
