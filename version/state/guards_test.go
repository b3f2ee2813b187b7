package state

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
)

// Only RunCompleted and RunNotRun can be recorded as outcomes. Any other outcome must
// leave the claim running and without an answer.
func TestUnknownOutcomeIsIgnored(t *testing.T) {
	c := newHarness(t)
	c.apply(Command{Kind: CommandClaim, Claim: &ClaimRequest{Tenant: "t", Key: "k", Nonce: 1}})
	for _, kind := range []api.RunOutcome{"", "other", api.RunUnknown} {
		outcome := RunOutcome{Tenant: "t", Key: "k", Nonce: 1, Outcome: kind, Answer: []byte("half")}
		c.apply(Command{Kind: CommandRunOutcome, RunOutcome: &outcome})
	}
	result := c.apply(Command{Kind: CommandClaim, Claim: &ClaimRequest{Tenant: "t", Key: "k", Nonce: 2}}).(api.ClaimResult)
	must.Eq(t, api.ClaimRunning, result.Code)
	must.SliceEmpty(t, result.Claim.Answer)
}

func TestRemovedMemberStaysRemovedAcrossSnapshot(t *testing.T) {
	first := New()
	first.Apply(1, 1, Command{Kind: CommandMember, Member: &Member{ID: 4, Name: "m", Removed: true}})
	second := New()
	must.NoError(t, second.Restore(first.Freeze().Encode()))
	second.Apply(1, 2, Command{Kind: CommandMember, Member: &Member{ID: 4, Name: "m"}})
	must.SliceEmpty(t, second.Members())
}

// A log that repeats an entry or goes back in index or term is corrupt. Applying it
// would make the members diverge.
func TestApplyPanicsOnCorruptLog(t *testing.T) {
	command := Command{Kind: CommandMachines, Machines: &Machines{}}
	for name, position := range map[string][2]uint64{"repeated": {2, 5}, "earlier": {2, 4}, "older term": {1, 6}} {
		t.Run(name, func(t *testing.T) {
			m := New()
			m.Apply(2, 5, command)
			defer func() { must.NotNil(t, recover()) }()
			m.Apply(position[0], position[1], command)
		})
	}
}
