package controller

import (
	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
)

// PlannedEngine shows the planner an engine as it is committed and as it says
// itself; said is nil when it was not heard from lately, and its phase is then
// unknown. The platform's word on its machine stands over the engine's.
func PlannedEngine(committed *api.Engine, reported *engineapi.State) planner.Engine {
	engine := planner.Engine{
		Name:       committed.Name,
		Zone:       committed.Spec.Zone,
		Drain:      committed.Spec.Drain,
		Phase:      api.PhaseUnknown,
		Assignment: committed.Status.Assignment,
	}
	if order := committed.Status.OpenOrder; order != nil {
		engine.Pending = &order.Assignment
	}
	if reported != nil {
		engine.Phase = reported.Phase
		engine.Assignment = reported.Assignment
	}
	if phase := committed.Status.Phase; phase == api.PhaseLeaving || phase == api.PhaseGone {
		engine.Phase = phase
	}
	return engine
}
