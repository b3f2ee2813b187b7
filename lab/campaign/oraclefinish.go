package campaign

import (
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
)

// finish checks what must hold at the end, after a time without faults.
func (o *oracle) finish() {
	for _, c := range o.calls {
		if c.answer == nil {
			o.violate(ruleFinalAnswer, "%s never got an answer", c.id)
			continue
		}
		if c.answer.ran == attempt.RanNo && !c.answer.whole && o.runsByCall[c.id] > 0 {
			o.violate(ruleNotRun, "%s was told that it did not run, and ran", c.id)
		}
	}
	for _, op := range o.operations {
		if op.result == nil {
			o.violate(ruleRecovers, "%s never got an answer", op.write.OperationID)
		}
	}
	o.checkRevisions()
	o.checkRecovery()
}

// checkRevisions checks that the last accepted write of each object stands.
func (o *oracle) checkRevisions() {
	current := o.machine.View()
	for name, engine := range current.Engines {
		key := api.Key{Kind: api.KindEngine, Name: name}
		if engine.Revision != o.accepted[key.String()] {
			o.violate(ruleConfiguration, "%s stands at revision %d, the last accepted is %d", key, engine.Revision, o.accepted[key.String()])
		}
	}
}

func (o *oracle) checkRecovery() {
	w := o.world
	leader := w.leader()
	if leader == nil {
		o.violate(ruleRecovers, "no leader")
		return
	}
	version := leader.machine.Version()
	for _, m := range w.members {
		if m.up && m.machine.Version().Revision != version.Revision {
			o.violate(ruleRecovers, "%s stands at revision %d, the leader at %d", m.name, m.machine.Version().Revision, version.Revision)
		}
	}
	for _, p := range w.proxies {
		if held := p.holder.Load().Version; held.Revision != version.Revision || !p.holder.Valid(p.clock()) {
			o.violate(ruleRecovers, "%s holds revision %d, the leader %d", p.name, held.Revision, version.Revision)
		}
	}
	o.checkEngines(leader)
	o.checkSnapshots()
}

func (o *oracle) checkEngines(leader *member) {
	for _, h := range o.world.engines {
		intent := leader.machine.SelectingIntent(h.name)
		engine := leader.machine.View().Engines[h.name]
		said := h.model.State()
		if intent == nil || engine == nil {
			continue // an operator left it unselected
		}
		if !state.Satisfies(intent.Spec, said.Assignment) || said.Phase != api.PhaseServing {
			o.violate(ruleRecovers, "%s is %s as %+v, wanted %s %s", h.name, said.Phase, said.Assignment, intent.Spec.Model, intent.Spec.Version)
		}
	}
}

// checkSnapshots compares the members' whole states where they stand at the same index.
func (o *oracle) checkSnapshots() {
	sums := map[uint64]uint64{}
	for _, m := range o.world.members {
		if !m.up {
			continue
		}
		data, err := m.machine.Snapshot()
		if err != nil {
			o.violate(ruleAgreement, "%s: %v", m.name, err)
			continue
		}
		_, index := m.machine.Applied()
		sum := checksum(data)
		if known, found := sums[index]; found && known != sum {
			o.violate(ruleAgreement, "%s has another state at index %d", m.name, index)
		}
		sums[index] = sum
	}
}
