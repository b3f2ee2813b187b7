package state

import (
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
)

const (
	// defaultMaxUnavailable is the disruption budget of an intent that sets none. It must
	// equal planner.DefaultMaxUnavailable.
	defaultMaxUnavailable = 1
	// maxEarlierIncarnations is the maximum number of earlier incarnations that are
	// stored per engine. A report of an incarnation that is no longer stored is taken for
	// one of a new incarnation.
	maxEarlierIncarnations = 8
)

// openOrder commits an order. An order with the zero assignment makes an engine finish
// its requests and unload its model. Such an order is opened only for an engine whose
// spec requests a drain or that is leaving, and no other order is opened for such an
// engine. Keeping new requests away from a draining engine needs no order, because the
// view contains the drain in the engine's spec.
func (m *Machine) openOrder(open *OpenOrder) OpenOrderResult {
	engine := m.engines.items[open.Engine]
	switch {
	case engine == nil:
		return OpenOrderResult{Code: OpenOrderUnknownEngine}
	case engine.Status.OpenOrder != nil:
		return OpenOrderResult{Code: OpenOrderAlreadyOpen, Order: *engine.Status.OpenOrder}
	case open.Incarnation == 0 || open.Incarnation != engine.Status.Incarnation:
		return OpenOrderResult{Code: OpenOrderOtherIncarnation}
	case !m.isAssignmentAllowed(engine, open.Assignment):
		return OpenOrderResult{Code: OpenOrderNotAllowed}
	case !m.withinDisruptionBudget(engine):
		return OpenOrderResult{Code: OpenOrderBudgetExhausted}
	}
	order := api.Order{
		Fence:       m.fence(),
		Engine:      open.Engine,
		Incarnation: open.Incarnation,
		Assignment:  open.Assignment,
		Reason:      open.Reason,
	}
	status := engine.Status
	status.OpenOrder = &order
	m.updateEngine(engine, status)
	return OpenOrderResult{Code: OpenOrderOpened, Order: order}
}

// isAssignmentAllowed reports whether an order may give the engine the assignment.
func (m *Machine) isAssignmentAllowed(engine *api.Engine, assignment api.Assignment) bool {
	leaving := engine.Status.Phase == api.PhaseLeaving
	if engine.Spec.Drain || leaving {
		return assignment.Equal(api.Assignment{})
	}
	if engine.Status.Phase == api.PhaseGone {
		return false
	}
	intent := m.SelectingIntent(engine.Name)
	return intent != nil && Satisfies(intent.Spec, assignment)
}

// Satisfies reports whether the assignment matches the spec of the intent.
func Satisfies(spec api.IntentSpec, assignment api.Assignment) bool {
	return spec.Model == assignment.Model &&
		spec.Version == assignment.Version &&
		equalSets(spec.Adapters, assignment.Adapters) &&
		slices.Contains(spec.Roles, assignment.Role)
}

// withinDisruptionBudget reports whether the disruption budget of the engine's intent
// permits an order for the engine. An engine that does not serve needs no
// budget, since the change does not reduce capacity. An engine that has not reported
// may be serving: it counts as unavailable for the other engines' budget and gets no
// order until it reports.
func (m *Machine) withinDisruptionBudget(engine *api.Engine) bool {
	if engine.Spec.Drain {
		return true
	}
	switch engine.Status.Phase {
	case api.PhaseUnknown:
		return false
	case api.PhaseServing: // needs budget
	default:
		return true
	}
	intent := m.SelectingIntent(engine.Name)
	if intent == nil {
		return true
	}
	budget := intent.Spec.MaxUnavailable
	if budget == 0 {
		budget = defaultMaxUnavailable
	}
	unavailable := 0
	for name := range m.selection.engines[intent.Name] {
		if isUnavailable(m.engines.items[name]) {
			unavailable++
		}
	}
	return unavailable < budget
}

// isUnavailable reports whether an engine counts as unavailable in the disruption budget.
// That includes engines whose machine is gone, until the engine is deleted or its labels
// change.
func isUnavailable(engine *api.Engine) bool {
	if engine.Status.OpenOrder != nil || engine.Spec.Drain {
		return true
	}
	phase := engine.Status.Phase
	return phase != api.PhaseServing && phase != api.PhaseIdle
}

// voidOrder returns a fence greater than that of the open order. It stores nothing:
// the fence is unique because the index of the log entry is, and greater because
// the entry of the order precedes it.
func (m *Machine) voidOrder(void *VoidOrder) VoidOrderResult {
	engine := m.engines.items[void.Engine]
	if !hasOpenOrder(engine, void.Fence) {
		return VoidOrderResult{}
	}
	return VoidOrderResult{Open: true, Fence: m.fence()}
}

// closeOrder closes the open order with the fence and commits the engine's report, if
// the report proves the reason.
func (m *Machine) closeOrder(closing *CloseOrder) CloseOrderResult {
	engine := m.engines.items[closing.Engine]
	if !hasOpenOrder(engine, closing.Fence) || closing.Report.Engine != closing.Engine {
		return CloseOrderResult{}
	}
	if m.isStale(engine, &closing.Report) || !supportsReason(engine.Status.OpenOrder, closing.Reason, &closing.Report) {
		return CloseOrderResult{}
	}
	status := m.statusAfterReport(engine, &closing.Report)
	status.OpenOrder = nil
	m.updateEngine(engine, status)
	return CloseOrderResult{Closed: true}
}

func hasOpenOrder(engine *api.Engine, fence api.Fence) bool {
	return engine != nil && engine.Status.OpenOrder != nil && engine.Status.OpenOrder.Fence == fence
}

// supportsReason reports whether the engine's report proves the reason for closing the
// order, so that the order can no longer take effect. An engine that is still
// draining or changing may be executing the order, whatever fence it has confirmed.
func supportsReason(order *api.Order, reason CloseReason, report *EngineReport) bool {
	sameIncarnation := report.Incarnation == order.Incarnation
	inTransition := report.Phase == api.PhaseDraining || report.Phase == api.PhaseChanging
	switch reason {
	case CloseDone:
		confirmed := !report.Fence.Less(order.Fence)
		return sameIncarnation && confirmed && !inTransition && report.Assignment.Equal(order.Assignment)
	case CloseVoid:
		return sameIncarnation && order.Fence.Less(report.Fence) && !inTransition
	case CloseOtherIncarnation:
		return !sameIncarnation && report.Incarnation != 0
	}
	return false
}

// reportEngine commits a report. A report from a new incarnation does not close an
// open order: only CloseOrder does, so that each order is closed explicitly.
func (m *Machine) reportEngine(report *EngineReport) {
	engine := m.engines.items[report.Engine]
	if engine == nil || m.isStale(engine, report) {
		return
	}
	m.updateEngine(engine, m.statusAfterReport(engine, report))
}

// isStale reports whether a report is older than the committed status: it has a lower
// fence in the same incarnation, or comes from an earlier incarnation. A report that
// arrives late may make the current incarnation count as an earlier one. The current
// incarnation then proves that it is current by confirming a fence greater than all
// known fences of the engine.
func (m *Machine) isStale(engine *api.Engine, report *EngineReport) bool {
	if report.Incarnation == 0 {
		return true
	}
	if report.Incarnation == engine.Status.Incarnation {
		return report.Fence.Less(engine.Status.Fence)
	}
	earlier := slices.Contains(m.earlierIncarnations(engine.Name), report.Incarnation)
	return earlier && !highestKnownFence(engine).Less(report.Fence)
}

func highestKnownFence(engine *api.Engine) api.Fence {
	highest := engine.Status.Fence
	if order := engine.Status.OpenOrder; order != nil && highest.Less(order.Fence) {
		return order.Fence
	}
	return highest
}

// statusAfterReport returns the status of the engine after a report. It does not store
// the status, but if the report comes from another incarnation, it stores the
// previous one as an earlier incarnation.
func (m *Machine) statusAfterReport(engine *api.Engine, report *EngineReport) api.EngineStatus {
	status := engine.Status
	if status.Incarnation != report.Incarnation {
		m.recordEarlierIncarnation(engine.Name, status.Incarnation, report.Incarnation)
	}
	status.Incarnation = report.Incarnation
	status.Assignment = report.Assignment
	status.Fence = report.Fence
	status.Phase = m.platform.effectivePhase(engine.Name, reportedPhase(report))
	return status
}

// reportedPhase returns the phase in an engine's report, or PhaseUnknown for a phase
// that engines do not report. The latest report replaces an earlier leaving phase: the
// shutdown of a machine may be canceled, and an engine that remained in the leaving
// phase would count as unavailable in the disruption budget forever.
func reportedPhase(report *EngineReport) api.EnginePhase {
	switch report.Phase {
	case api.PhaseIdle, api.PhaseServing, api.PhaseDraining, api.PhaseChanging, api.PhaseLeaving:
		return report.Phase
	}
	return api.PhaseUnknown
}

// recordEarlierIncarnation moves an incarnation to the engine's earlier ones, of which it keeps
// the latest maxEarlierIncarnations, and removes the current one from them.
func (m *Machine) recordEarlierIncarnation(engine string, old, current uint64) {
	earlier := slices.DeleteFunc(m.earlierIncarnations(engine), func(v uint64) bool { return v == current })
	if old != 0 {
		earlier = append(earlier, old)
	}
	if len(earlier) > maxEarlierIncarnations {
		earlier = earlier[1:]
	}
	if len(earlier) > 0 {
		m.incarnations.put(engine, &earlier)
	} else {
		m.incarnations.remove(engine)
	}
}

// earlierIncarnations returns a copy of the engine's earlier incarnations, oldest first.
func (m *Machine) earlierIncarnations(engine string) []uint64 {
	earlier := m.incarnations.items[engine]
	if earlier == nil {
		return nil
	}
	return slices.Clone(*earlier)
}

// ReportChanges reports whether committing the report could change the engine's
// status. If not, the report need not be proposed. The machine phase that the
// platform lists takes precedence over the phase that the engine reports.
func ReportChanges(engine *api.Engine, report EngineReport) bool {
	status := engine.Status
	phaseChanges := status.MachinePhase == api.PhaseUnknown && status.Phase != reportedPhase(&report)
	return phaseChanges ||
		status.Incarnation != report.Incarnation ||
		status.Fence != report.Fence ||
		!status.Assignment.Equal(report.Assignment)
}
