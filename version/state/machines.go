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

// effectivePhase returns the phase that the platform lists for an engine, or the
// reported phase if the engine is not listed.
func (l *platformList) effectivePhase(engine string, reported api.EnginePhase) api.EnginePhase {
	switch {
	case containsSorted(l.gone, engine):
		return api.PhaseGone
	case containsSorted(l.leaving, engine):
		return api.PhaseLeaving
	}
	return reported
}

func (l *platformList) contains(name string) bool {
	return containsSorted(l.gone, name) || containsSorted(l.leaving, name)
}

// serviceStatus returns the status of a service that has the back ends.
func (l *platformList) serviceStatus(backends []api.Backend) api.ServiceStatus {
	var status api.ServiceStatus
	for _, backend := range backends {
		switch {
		case containsSorted(l.gone, backend.Name):
			status.Gone = append(status.Gone, backend.Name)
		case containsSorted(l.leaving, backend.Name):
			status.Leaving = append(status.Leaving, backend.Name)
		}
	}
	slices.Sort(status.Leaving)
	slices.Sort(status.Gone)
	return status
}

// setMachines replaces the platform's lists and updates the statuses of engines and
// services. The phase of an engine that is no longer listed as leaving or gone is
// unknown until it reports.
func (m *Machine) setMachines(machines *Machines) {
	previous := m.platform
	m.platform = platformList{leaving: sortedUnique(machines.Leaving), gone: sortedUnique(machines.Gone)}
	for _, name := range slices.Sorted(maps.Keys(m.engines.items)) {
		m.updateMachinePhase(m.engines.items[name], &previous)
	}
	for _, name := range slices.Sorted(maps.Keys(m.services.items)) {
		m.updateServiceStatus(m.services.items[name])
	}
}

// updateMachinePhase updates the phases of an engine after the lists have changed from
// the previous ones.
func (m *Machine) updateMachinePhase(engine *api.Engine, previous *platformList) {
	status := engine.Status
	reported := status.Phase
	if previous.contains(engine.Name) {
		reported = api.PhaseUnknown
	}
	status.MachinePhase = m.platform.effectivePhase(engine.Name, api.PhaseUnknown)
	status.Phase = m.platform.effectivePhase(engine.Name, reported)
	m.updateEngine(engine, status)
}

// updateServiceStatus stores the status of a service, unless it is unchanged.
func (m *Machine) updateServiceStatus(service *api.Service) {
	status := m.platform.serviceStatus(service.Spec.Backends)
	if slices.Equal(status.Leaving, service.Status.Leaving) && slices.Equal(status.Gone, service.Status.Gone) {
		return
	}
	next := *service
	next.Status = status
	m.put(api.Object{Service: &next})
}

func sortedUnique(names []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(names)))
}

func containsSorted(sorted []string, name string) bool {
	_, found := slices.BinarySearch(sorted, name)
	return found
}
