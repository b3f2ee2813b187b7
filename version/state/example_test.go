package state_test

import (
	"fmt"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
)

// A claimed key is granted to another claimant only after the first one recorded that
// the request was definitely not run, also across a snapshot.
func Example() {
	claim := func(nonce uint64) state.Command {
		request := state.ClaimRequest{Tenant: "gritting", Key: "crew-7", Nonce: nonce}
		return state.Command{Kind: state.CommandClaim, Claim: &request}
	}
	notRun := state.RunOutcome{Tenant: "gritting", Key: "crew-7", Nonce: 1, Outcome: api.RunNotRun}

	first := state.New()
	fmt.Println(first.Apply(1, 1, claim(1)).(api.ClaimResult).Code)
	fmt.Println(first.Apply(1, 2, claim(2)).(api.ClaimResult).Code)

	snapshot := first.Freeze().Encode()
	second := state.New()
	if err := second.Restore(snapshot); err != nil {
		fmt.Println(err)
	}
	second.Apply(2, 3, state.Command{Kind: state.CommandRunOutcome, RunOutcome: &notRun})
	fmt.Println(second.Apply(2, 4, claim(2)).(api.ClaimResult).Code)
	// Output:
	// granted
	// running
	// granted
}

// The fence of an order is the term and index of its log entry. The order is bound to
// the engine's incarnation, and only a report of the engine closes it.
func Example_orders() {
	machine := state.New()
	index := uint64(0)
	apply := func(command state.Command) any {
		index++
		return machine.Apply(5, index, command)
	}
	apply(state.Command{Kind: state.CommandTransaction, Transaction: &api.Transaction{
		OperationID: "fleet",
		Writes: []api.Write{
			{Object: api.Object{Engine: &api.Engine{
				Metadata: api.Metadata{Name: "engine-1", Labels: api.Labels{"pool": "a"}},
				Spec:     api.EngineSpec{Address: "10.0.0.1:8000", Zone: "west", Service: "narrator"},
			}}},
			{Object: api.Object{Intent: &api.Intent{
				Metadata: api.Metadata{Name: "narrate"},
				Spec: api.IntentSpec{
					Engines: api.Selector{All: true}, Classes: api.Selector{All: true},
					Model: "narrator-7b", Version: "v2", Roles: []api.EngineRole{api.RoleMixed},
				},
			}}},
		},
	}})
	report := func(incarnation uint64, fence api.Fence, assignment api.Assignment) state.EngineReport {
		return state.EngineReport{
			Engine: "engine-1", Incarnation: incarnation, Phase: api.PhaseIdle, Fence: fence, Assignment: assignment,
		}
	}
	first := report(7, api.Fence{}, api.Assignment{})
	apply(state.Command{Kind: state.CommandReportEngine, EngineReport: &first})

	wanted := api.Assignment{Model: "narrator-7b", Version: "v2", Role: api.RoleMixed}
	open := state.OpenOrder{Engine: "engine-1", Incarnation: 7, Assignment: wanted}
	opened := apply(state.Command{Kind: state.CommandOpenOrder, OpenOrder: &open}).(state.OpenOrderResult)
	fmt.Println(opened.Code == state.OpenOrderOpened, opened.Order.Fence)
	second := apply(state.Command{Kind: state.CommandOpenOrder, OpenOrder: &open}).(state.OpenOrderResult)
	fmt.Println(second.Code == state.OpenOrderAlreadyOpen)

	closeOrder := func(reason state.CloseReason, report state.EngineReport) bool {
		body := state.CloseOrder{Engine: "engine-1", Fence: opened.Order.Fence, Reason: reason, Report: report}
		return apply(state.Command{Kind: state.CommandCloseOrder, CloseOrder: &body}).(state.CloseOrderResult).Closed
	}
	// Another incarnation never received the order, so it cannot have executed it.
	fmt.Println(closeOrder(state.CloseDone, report(8, opened.Order.Fence, wanted)))
	fmt.Println(closeOrder(state.CloseDone, report(7, opened.Order.Fence, wanted)))
	// Output:
	// true {5 3}
	// true
	// false
	// true
}
