package control

import (
	"testing"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/shoenig/test/must"
)

// TestHealthCountsNoLossDuringAMembershipChange holds what campaign seed 25 met:
// the removal of a lost member was appended on the leader alone when the leader
// was lost as well, and two of the four voters of the configuration before were gone.
func TestHealthCountsNoLossDuringAMembershipChange(t *testing.T) {
	current := &group{machine: newMachine()}
	status := raft.Status{
		ID:             1,
		Configuration:  raft.Configuration{Voters: []raft.MemberID{1, 2, 4}},
		Match:          map[raft.MemberID]uint64{1: 10, 2: 10, 4: 10},
		RecentlyActive: map[raft.MemberID]bool{1: true, 2: true, 4: true},
	}
	must.Eq(t, 1, current.health(status, 10).furtherLosses)
	status.ConfigurationPending = true
	must.Eq(t, 0, current.health(status, 10).furtherLosses)
}
