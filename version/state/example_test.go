package state_test

import (
	"fmt"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
)

// A claim is granted to one claimant until it has recorded that the request was
// surely not run, also across a snapshot.
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
