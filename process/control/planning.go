package control

import (
	"maps"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/connection/orders"
	"github.com/landingtrail/landingtrail/process/controller"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

// Planning policies: the planner of this project, a constant share of prefill engines, and changes
// at thresholds of the load, as package planner implements them.
const (
	PolicyLandingtrail = "landingtrail"
	PolicyStatic       = "static"
	PolicyThreshold    = "threshold"
)

// staticPrefillShare is the fraction of prefill engines under the static policy.
const staticPrefillShare = 1.0 / 3

func newPlanner(config Planner) planner.Planner {
	switch config.Name {
	case PolicyStatic:
		return planner.NewStatic(planner.StaticConfig{PrefillShare: staticPrefillShare})
	case PolicyThreshold:
		return planner.NewThreshold(planner.ThresholdConfig{})
	default:
		return planner.New(planner.Config{})
	}
}

// plan returns the planner's decisions if a plan is due, otherwise nil.
func (d *leaderTasks) plan(term *termState, current *view.View, observations map[string]orders.Observation, now time.Duration) []planner.Decision {
	if now < term.nextPlan {
		return nil
	}
	term.nextPlan = now + d.group.config.Durations.Plan
	return term.planner.Plan(planner.Input{
		Now:     now,
		Intents: d.plannedIntents(current),
		Engines: d.plannedEngines(term, current, observations, now),
		Demand:  d.group.demand.sum(time.Now()),
	})
}

// plannedIntents returns the intents sorted by name, with the configured change cost where they
// specify none.
func (d *leaderTasks) plannedIntents(current *view.View) []*api.Intent {
	intents := make([]*api.Intent, 0, len(current.Intents))
	for _, name := range slices.Sorted(maps.Keys(current.Intents)) {
		intent := current.Intents[name]
		if intent.Spec.ChangeCost == 0 {
			copied := *intent
			copied.Spec.ChangeCost = d.group.config.Planner.ChangeCost
			intent = &copied
		}
		intents = append(intents, intent)
	}
	return intents
}

func (d *leaderTasks) plannedEngines(term *termState, current *view.View, observations map[string]orders.Observation, now time.Duration) []planner.Engine {
	intents := d.intentsByEngine(current)
	engines := make([]planner.Engine, 0, len(current.Engines))
	for _, name := range slices.Sorted(maps.Keys(current.Engines)) {
		engine := plannedEngine(current.Engines[name], observations[name], now-d.group.config.Durations.engineSilenceFor(len(current.Engines)))
		engine.Intent = intents[name]
		engine.SinceChange = term.sinceChange(name, now)
		engines = append(engines, engine)
	}
	return engines
}

// intentsByEngine returns the name of the intent that selects each engine.
func (d *leaderTasks) intentsByEngine(current *view.View) map[string]string {
	intents := make(map[string]string, len(current.Engines))
	d.group.machine.read(func(machine *state.Machine) {
		for name := range current.Engines {
			if intent := machine.SelectingIntent(name); intent != nil {
				intents[name] = intent.Name
			}
		}
	})
	return intents
}

// plannedEngine returns the planner's view of an engine. It includes the engine's reported state
// and load if the engine has answered since silentAt.
func plannedEngine(committed *api.Engine, observation orders.Observation, silentAt time.Duration) planner.Engine {
	if observation.State.Engine != committed.Name || observation.RequestedAt < silentAt {
		return controller.PlannerEngine(committed, nil)
	}
	engine := controller.PlannerEngine(committed, &observation.State)
	engine.Running = observation.Load.Running
	engine.Waiting = observation.Load.Waiting
	engine.WaitingTokens = observation.Load.WaitingTokens
	engine.KVUsed = observation.Load.KVUsed
	return engine
}
