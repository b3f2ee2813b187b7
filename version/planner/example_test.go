package planner_test

import (
	"fmt"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
)

func ExampleNew() {
	intent := &api.Intent{
		Metadata: api.Metadata{Name: "narration"},
		Spec:     api.IntentSpec{Model: "narrator-7b", Version: "v2", Roles: []api.EngineRole{api.RoleMixed}},
	}
	old := api.Assignment{Model: "narrator-7b", Version: "v1", Role: api.RoleMixed}
	input := planner.Input{
		Now:     time.Minute,
		Intents: []*api.Intent{intent},
		Engines: []planner.Engine{
			{Name: "engine-1", Intent: "narration", Phase: api.PhaseServing, Assignment: old, Running: 7},
			{Name: "engine-2", Intent: "narration", Phase: api.PhaseServing, Assignment: old},
			{Name: "engine-3", Phase: api.PhaseServing, Assignment: old}, // selected by no intent
		},
	}
	for _, decision := range planner.New(planner.Config{}).Plan(input) {
		fmt.Println(decision.Engine, decision.Assignment.Version, decision.Reason)
	}
	// Output:
	// engine-2 v2 intent narration wants narrator-7b v2, has narrator-7b v1
}
