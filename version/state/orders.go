package state

import (
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
)

const (
	// defaultMaxUnavailable is the disruption budget of an intent that gives none.
	defaultMaxUnavailable = 1
	// incarnationLimit bounds the earlier incarnations remembered of an engine.
	incarnationLimit = 8
)

// openOrder commits an order. An order with the zero assignment drains an engine
// and unloads it; it is allowed on an engine whose spec asks for a drain or
// that is leaving, and no other order is. A drain needs no order to
// keep new work away, since the drain in the spec stands in the view itself.
func (m *Machine) openOrder(open *OpenOrder) OpenOrderResult {
	engine := m.engines.items[open.Engine]
	switch {
	case engine == nil:
		return OpenOrderResult{Code: OpenOrderUnknownEngine}
	case engine.Status.OpenOrder != nil:
		return OpenOrderResult{Code: OpenOrderAlreadyOpen, Order: *engine.Status.OpenOrder}
	case open.Incarnation == 0 || open.Incarnation != engine.Status.Incarnation:
		return OpenOrderResult{Code: OpenOrderOtherIncarnation}
	case !m.allowed(engine, open.Assignment):
		return OpenOrderResult{Code: OpenOrderNotAllowed}
	case !m.withinBudget(engine):
		return OpenOrderResult{Code: OpenOrderBudget}
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

// allowed reports whether the engine may be given the assignment.
func (m *Machine) allowed(engine *api.Engine, assignment api.Assignment) bool {
	leaving := engine.Status.Phase == api.PhaseLeaving
	if engine.Spec.Drain || leaving {
		return assignment.Equal(api.Assignment{})
	}
	if engine.Status.Phase == api.PhaseGone {
		return false
	}
	intent := m.WantedIntent(engine.Name)
	return intent != nil && Satisfies(intent.Spec, assignment)
}

// Satisfies reports whether an engine with the assignment is what the intent asks for.
func Satisfies(spec api.IntentSpec, assignment api.Assignment) bool {
	return spec.Model == assignment.Model &&
		spec.Version == assignment.Version &&
		equalSets(spec.Adapters, assignment.Adapters) &&
		slices.Contains(spec.Roles, assignment.Role)
}

// withinBudget reports whether one more planned change keeps the disruption
// budget of the engine's intent. An engine that serves nothing takes nothing
// away, so it needs no budget. One that has not been heard from may well serve:
// it is away for the others' budget and gets no order until it has reported.
func (m *Machine) withinBudget(engine *api.Engine) bool {
	if engine.Spec.Drain {
		return true
	}
	switch engine.Status.Phase {
	case api.PhaseUnknown:
		return false
	case api.PhaseServing:
	default:
		return true
	}
	intent := m.WantedIntent(engine.Name)
	if intent == nil {
		return true
	}
	budget := intent.Spec.MaxUnavailable
	if budget == 0 {
		budget = defaultMaxUnavailable
	}
	away := 0
	for name := range m.selection.engines[intent.Name] {
		if unavailable(m.engines.items[name]) {
			away++
		}
	}
	return away < budget
}

// unavailable reports whether an engine counts as away.
func unavailable(engine *api.Engine) bool {
	if engine.Status.OpenOrder != nil || engine.Spec.Drain {
		return true
	}
	phase := engine.Status.Phase
	return phase != api.PhaseServing && phase != api.PhaseIdle
}

// voidOrder gives out a fence above the open order's. Nothing is stored: the
// fence is unique because the entry's index is, and above the order's because
// the order's entry came before.
func (m *Machine) voidOrder(void *VoidOrder) VoidOrderResult {
	engine := m.engines.items[void.Engine]
	if !hasOpenOrder(engine, void.Fence) {
		return VoidOrderResult{}
	}
	return VoidOrderResult{Open: true, Fence: m.fence()}
}

// closeOrder closes the open order with the fence if the engine's report bears
// the reason out, and commits the report.
func (m *Machine) closeOrder(closing *CloseOrder) CloseOrderResult {
	engine := m.engines.items[closing.Engine]
	if !hasOpenOrder(engine, closing.Fence) || closing.Report.Engine != closing.Engine {
		return CloseOrderResult{}
	}
	if m.outdated(engine, &closing.Report) || !bearsOut(engine.Status.OpenOrder, closing.Reason, &closing.Report) {
		return CloseOrderResult{}
	}
	status := m.reported(engine, &closing.Report)
	status.OpenOrder = nil
	m.updateEngine(engine, status)
	return CloseOrderResult{Closed: true}
}

func hasOpenOrder(engine *api.Engine, fence api.Fence) bool {
	return engine != nil && engine.Status.OpenOrder != nil && engine.Status.OpenOrder.Fence == fence
}

// bearsOut reports whether the order can change nothing any more by the
// engine's own word. An engine that is still draining or changing may be
// carrying the order out, whatever fence it has confirmed.
func bearsOut(order *api.Order, reason CloseReason, report *EngineReport) bool {
	sameIncarnation := report.Incarnation == order.Incarnation
	busy := report.Phase == api.PhaseDraining || report.Phase == api.PhaseChanging
	switch reason {
	case CloseDone:
		reached := !report.Fence.Less(order.Fence)
		return sameIncarnation && reached && !busy && report.Assignment.Equal(order.Assignment)
	case CloseVoid:
		return sameIncarnation && order.Fence.Less(report.Fence) && !busy
	case CloseOtherIncarnation:
		return !sameIncarnation && report.Incarnation != 0
	}
	return false
}

// reportEngine commits a report. A new incarnation does not close an open order
// by itself: CloseOrder does, so that each order has one explicit end.
func (m *Machine) reportEngine(report *EngineReport) {
	engine := m.engines.items[report.Engine]
	if engine == nil || m.outdated(engine, report) {
		return
	}
	m.updateEngine(engine, m.reported(engine, report))
}

// outdated reports whether a report is older than what is committed: it has a
// lower fence in the same incarnation, or comes from an earlier incarnation.
// An incarnation that was wrongly taken for an earlier one proves that it is
// alive by confirming a fence above all that the engine was known to have.
func (m *Machine) outdated(engine *api.Engine, report *EngineReport) bool {
	if report.Incarnation == 0 {
		return true
	}
	if report.Incarnation == engine.Status.Incarnation {
		return report.Fence.Less(engine.Status.Fence)
	}
	earlier := slices.Contains(m.earlierIncarnations(engine.Name), report.Incarnation)
	return earlier && !highestFence(engine).Less(report.Fence)
}

func highestFence(engine *api.Engine) api.Fence {
	highest := engine.Status.Fence
	if order := engine.Status.OpenOrder; order != nil && highest.Less(order.Fence) {
		return order.Fence
	}
	return highest
}

// reported returns the engine's status after a report, and remembers the
// incarnation that the report ends.
func (m *Machine) reported(engine *api.Engine, report *EngineReport) api.EngineStatus {
	status := engine.Status
	if status.Incarnation != report.Incarnation {
		m.retireIncarnation(engine.Name, status.Incarnation, report.Incarnation)
	}
	status.Incarnation = report.Incarnation
	status.Assignment = report.Assignment
	status.Fence = report.Fence
	status.Phase = m.platform.phase(engine.Name, ownPhase(report))
	return status
}

// ownPhase returns the phase that an engine gives itself. Its latest word
// counts: a machine may be kept after all, and an engine that was held for
// leaving for ever would use up the disruption budget.
func ownPhase(report *EngineReport) api.EnginePhase {
	switch report.Phase {
	case api.PhaseIdle, api.PhaseServing, api.PhaseDraining, api.PhaseChanging, api.PhaseLeaving:
		return report.Phase
	}
	return api.PhaseUnknown
}

func (m *Machine) retireIncarnation(engine string, old, current uint64) {
	earlier := slices.DeleteFunc(m.earlierIncarnations(engine), func(v uint64) bool { return v == current })
	if old != 0 {
		earlier = append(earlier, old)
	}
	if len(earlier) > incarnationLimit {
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

// ReportChanges reports whether committing the report could change the engine,
// so that reports which say nothing new need not be proposed. What the platform
// says of a machine stands over the engine's own word.
func ReportChanges(engine *api.Engine, report EngineReport) bool {
	status := engine.Status
	phaseChanges := status.MachinePhase == api.PhaseUnknown && status.Phase != ownPhase(&report)
	return phaseChanges ||
		status.Incarnation != report.Incarnation ||
		status.Fence != report.Fence ||
		!status.Assignment.Equal(report.Assignment)
}
