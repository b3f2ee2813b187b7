package controller

import (
	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
)

// PlannerEngine returns the planner's view of an engine, which combines the committed
// state with the reported one. reported is nil if the engine has no recent observation;
// the phase of the result is then unknown. A committed phase of leaving or gone, which
// comes from the platform, takes precedence over the reported phase. Pending points into
// committed.
func PlannerEngine(committed *api.Engine, reported *engineapi.State) planner.Engine {
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
