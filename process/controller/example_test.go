package controller_test

import (
	"fmt"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/process/controller"
	"github.com/landingtrail/landingtrail/version/api"
)

// The leader reconciles an engine with an open order. An engine without a recent
// observation is queried. The order is sent until the engine accepts it, and once the
// engine reports completion, closing the order is proposed.
func ExampleReconcile() {
	wanted := api.Assignment{Model: "narrator-7b", Version: "v2", Role: api.RoleMixed}
	order := api.Order{Fence: api.Fence{Term: 3, Index: 40}, Engine: "engine-1", Incarnation: 7, Assignment: wanted}
	engine := &api.Engine{
		Metadata: api.Metadata{Name: "engine-1"},
		Spec:     api.EngineSpec{Address: "10.0.0.1:8000"},
		Status:   api.EngineStatus{Phase: api.PhaseIdle, Incarnation: 7, OpenOrder: &order},
	}
	round := func(heard map[string]controller.Observation) {
		actions := controller.Reconcile(controller.Input{
			Now:               10 * time.Second,
			Engines:           map[string]*api.Engine{"engine-1": engine},
			Observations:      heard,
			ObservationMaxAge: 5 * time.Second,
		})
		for _, action := range actions {
			switch action := action.(type) {
			case controller.Send:
				fmt.Println("send order", action.Order.Fence)
			case controller.Propose:
				fmt.Println("propose close of", action.Command.CloseOrder.Fence)
			case controller.Query:
				fmt.Println("ask", action.Engine)
			}
		}
	}
	observation := func(state engineapi.State) map[string]controller.Observation {
		state.Engine, state.Incarnation = "engine-1", 7
		return map[string]controller.Observation{"engine-1": {State: state, QueriedAt: 9 * time.Second}}
	}

	round(nil)
	round(observation(engineapi.State{Phase: api.PhaseIdle}))
	round(observation(engineapi.State{Phase: api.PhaseServing, Assignment: wanted, Fence: order.Fence}))
	// Output:
	// ask engine-1
	// send order {3 40}
	// propose close of {3 40}
}
