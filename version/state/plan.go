package state

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/selector"
)

// maxListedConflicts is the maximum number of intent conflicts in one result.
const maxListedConflicts = 100

// plan is a transaction that was checked against the machine but not yet applied. It is
// unrelated to the plans of package planner. Creating a plan does not change the machine.
type plan struct {
	machine         *Machine
	transaction     *api.Transaction
	keys            []api.Key // of the writes, in order
	intents         map[string]*api.Intent
	engines         map[string]*api.Engine // written engines; nil if deleted, as in intents
	intentsByEngine map[string][]string    // names of the selecting intents, by engine, after the writes
	result          api.TransactionResult
}

// newPlan checks a transaction. The result of the transaction is in plan.result.
func (m *Machine) newPlan(transaction *api.Transaction, limits TransactionLimits) *plan {
	p := &plan{
		machine:         m,
		transaction:     transaction,
		intents:         map[string]*api.Intent{},
		engines:         map[string]*api.Engine{},
		intentsByEngine: map[string][]string{},
	}
	p.result = p.check(limits)
	return p
}

// check validates the transaction, stages its writes and returns the result.
func (p *plan) check(limits TransactionLimits) api.TransactionResult {
	if faults := p.fieldFaults(); len(faults) > 0 {
		return api.TransactionResult{Code: api.OutcomeInvalid, Faults: faults}
	}
	if conflicts := p.revisionConflicts(); len(conflicts) > 0 {
		return api.TransactionResult{Code: api.OutcomeRevisionConflict, Conflicts: conflicts}
	}
	if faults := p.openOrderFaults(); len(faults) > 0 {
		return api.TransactionResult{Code: api.OutcomeInvalid, Faults: faults}
	}
	p.stage()
	if conflicts := p.intentConflicts(); len(conflicts) > 0 {
		return api.TransactionResult{Code: api.OutcomeIntentConflict, Conflicts: conflicts}
	}
	affected, reassigned := p.affectedEngines()
	if limits.MaxAffectedEngines > 0 && reassigned > limits.MaxAffectedEngines && !p.transaction.AllowBroad {
		return api.TransactionResult{Code: api.OutcomeTooBroad, AffectedEngines: affected}
	}
	accepted := api.TransactionResult{Code: api.OutcomeAccepted, AffectedEngines: affected}
	if !p.transaction.DryRun {
		accepted.Revision = p.machine.index
	}
	return accepted
}

// fieldFaults returns the validation errors that depend on the transaction alone.
func (p *plan) fieldFaults() []api.FieldFault {
	if len(p.transaction.Writes) == 0 {
		return []api.FieldFault{{Field: "writes", Message: "must not be empty"}}
	}
	var faults []api.FieldFault
	firstWrite := map[api.Key]int{}
	for i, write := range p.transaction.Writes {
		prefix := fmt.Sprintf("writes[%d].", i)
		for _, fault := range writeFaults(write) {
			faults = append(faults, api.FieldFault{Field: prefix + fault.Field, Message: fault.Message})
		}
		key, ok := write.Object.Key()
		if earlier, repeated := firstWrite[key]; ok && repeated {
			message := fmt.Sprintf("%s is also written by writes[%d]", key, earlier)
			faults = append(faults, api.FieldFault{Field: prefix + "object", Message: message})
		} else if ok {
			firstWrite[key] = i
		}
		p.keys = append(p.keys, key)
	}
	return faults
}

// writeFaults returns the validation errors of one write. A delete needs no valid spec,
// but a key and metadata.revision. A delete of an object that has no kind or a kind that
// transactions must not write is validated as a whole, which rejects it.
func writeFaults(write api.Write) []api.FieldFault {
	key, ok := write.Object.Key()
	if !write.Delete || !ok || !api.IsWritable(key.Kind) {
		return api.Validate(write.Object)
	}
	faults := api.ValidateKey(key)
	if write.Object.Metadata().Revision == 0 {
		faults = append(faults, api.FieldFault{Field: "object", Message: "a delete needs the revision that the writer saw"})
	}
	return faults
}

// revisionConflicts returns the objects whose stored revision differs from the one
// that the writer saw.
func (p *plan) revisionConflicts() []api.Conflict {
	var conflicts []api.Conflict
	for i, key := range p.keys {
		current, exists := p.machine.Object(key)
		var revision uint64
		if exists {
			revision = current.Metadata().Revision
		}
		if p.transaction.Writes[i].Object.Metadata().Revision == revision {
			continue
		}
		conflict := api.Conflict{Key: key}
		if exists {
			conflict.Current = &current
		}
		conflicts = append(conflicts, conflict)
	}
	return conflicts
}

// openOrderFaults rejects the deletion of engines with open orders: the engine could
// still execute the order after its record was deleted. An engine whose machine the
// platform lists as gone may be deleted. An order is executed only by the process that
// it was opened for, which ended with the machine, so no report that closes the order
// can arrive.
func (p *plan) openOrderFaults() []api.FieldFault {
	var faults []api.FieldFault
	for i, write := range p.transaction.Writes {
		if !write.Delete || write.Object.Engine == nil {
			continue
		}
		status := p.machine.engines.items[p.keys[i].Name].Status
		if order := status.OpenOrder; order != nil && status.Phase != api.PhaseGone {
			message := fmt.Sprintf("engine %s has the open order (%d, %d)", order.Engine, order.Fence.Term, order.Fence.Index)
			faults = append(faults, api.FieldFault{Field: fmt.Sprintf("writes[%d].delete", i), Message: message})
		}
	}
	return faults
}

// stage computes which intents would select which engines after the writes, in
// p.intentsByEngine.
func (p *plan) stage() {
	for i, write := range p.transaction.Writes {
		p.stageWrite(p.keys[i].Name, write)
	}
	for name, engine := range p.engines {
		p.intentsByEngine[name] = p.selectingIntentsAfter(engine)
	}
	for name, intent := range p.intents {
		p.stageIntent(name, intent)
	}
}

// stageWrite adds a write to the staged intents or engines.
func (p *plan) stageWrite(name string, write api.Write) {
	switch {
	case write.Object.Intent != nil && write.Delete:
		p.intents[name] = nil
	case write.Object.Intent != nil:
		p.intents[name] = write.Object.Intent
	case write.Object.Engine != nil && write.Delete:
		p.engines[name] = nil
	case write.Object.Engine != nil:
		p.engines[name] = write.Object.Engine
	}
}

// selectingIntentsAfter evaluates all selectors for a written engine and returns the names
// of the intents that select it after the writes.
func (p *plan) selectingIntentsAfter(engine *api.Engine) []string {
	if engine == nil {
		return nil
	}
	names := selectingIntents(p.machine.intents.items, engine)
	for name, intent := range p.intents {
		selects := intent != nil && selector.Matches(intent.Spec.Engines, engine.Labels)
		names = withName(names, name, selects)
	}
	return names
}

// stageIntent evaluates the selector of one written intent for the engines that the
// transaction does not write.
func (p *plan) stageIntent(intentName string, intent *api.Intent) {
	before := p.machine.selection.engines[intentName]
	if intent == nil {
		for name := range before {
			p.stageSelection(name, intentName, false)
		}
		return
	}
	stored := p.machine.intents.items[intentName]
	if stored != nil && reflect.DeepEqual(stored.Spec.Engines, intent.Spec.Engines) {
		for name := range before {
			p.stageSelection(name, intentName, true)
		}
		return
	}
	for name, engine := range p.machine.engines.items {
		selects := selector.Matches(intent.Spec.Engines, engine.Labels)
		if _, selected := before[name]; selects || selected {
			p.stageSelection(name, intentName, selects)
		}
	}
}

// stageSelection stages whether an intent selects an engine that the transaction does
// not write. It ignores written engines, for which all selectors are evaluated.
func (p *plan) stageSelection(engine, intent string, selects bool) {
	if _, written := p.engines[engine]; written {
		return
	}
	names, staged := p.intentsByEngine[engine]
	if !staged {
		names = p.machine.selection.intents[engine]
	}
	p.intentsByEngine[engine] = withName(names, intent, selects)
}

// intentSpec returns the spec of an intent after the writes. The intent must exist after
// the writes.
func (p *plan) intentSpec(name string) *api.IntentSpec {
	if intent, written := p.intents[name]; written {
		return &intent.Spec
	}
	return &p.machine.intents.items[name].Spec
}

// intentConflicts returns the engines that are selected by intents with different
// desired states (model, version, adapters or roles), at most maxListedConflicts of
// them.
func (p *plan) intentConflicts() []api.Conflict {
	var conflicts []api.Conflict
	for _, engine := range slices.Sorted(maps.Keys(p.intentsByEngine)) {
		names := p.intentsByEngine[engine]
		for i := 1; i < len(names); i++ {
			if sameDesired(p.intentSpec(names[0]), p.intentSpec(names[i])) {
				continue
			}
			conflicts = append(conflicts, api.Conflict{
				Key:     api.Key{Kind: api.KindEngine, Name: engine},
				Intents: []string{names[0], names[i]},
				Engine:  engine,
			})
		}
		if len(conflicts) >= maxListedConflicts {
			return conflicts[:maxListedConflicts]
		}
	}
	return conflicts
}

// affectedEngines returns the engines whose desired state changes with the writes,
// and how many of them already had a desired state or an assignment.
func (p *plan) affectedEngines() (names []string, reassigned int) {
	for _, name := range slices.Sorted(maps.Keys(p.intentsByEngine)) {
		after := p.intentsByEngine[name]
		if len(after) == 0 {
			continue // an engine that no intent selects keeps its assignment
		}
		same, unassigned := p.compareDesired(name, p.intentSpec(after[0]))
		if same {
			continue
		}
		names = append(names, name)
		if !unassigned {
			reassigned++
		}
	}
	return names, reassigned
}

// compareDesired compares the desired state of the engine before the writes with the
// spec. same reports whether it already matched. unassigned reports whether the engine
// had no desired state and no assignment. For an engine that no intent selected, the
// assignment last ordered or else reported is used as the desired state.
func (p *plan) compareDesired(name string, after *api.IntentSpec) (same, unassigned bool) {
	if before := p.machine.SelectingIntent(name); before != nil {
		return sameDesired(&before.Spec, after), false
	}
	engine := p.machine.engines.items[name]
	if engine == nil {
		return false, true
	}
	assignment := engine.Status.Assignment
	if order := engine.Status.OpenOrder; order != nil {
		assignment = order.Assignment
	}
	return Satisfies(*after, assignment), assignment.Equal(api.Assignment{})
}
