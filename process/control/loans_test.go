package control

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/replica"
	"github.com/landingtrail/landingtrail/request/retry"
	"github.com/shoenig/test/must"
)

// Guards against a member that lends retries beside the leader, and a leader that lends in its first window all of what the
// one before it may have lent.
func TestOnlyALeaderLendsRetries(t *testing.T) {
	g := newSingleMemberGroup(t, func(m *machine) replica.StateMachine { return m })
	request := feed.ChargeRequest{Loan: &retry.LoanRequest{Service: "s", Reserve: 10, Window: time.Second}, Cost: 1}
	grant, decided := g.Charge(request)
	must.True(t, decided)
	if !grant.Granted { // nothing has accrued yet
		eventually(t, "it lends a part in its first window", func() bool {
			grant, decided = g.Charge(request)
			return decided && grant.Granted
		})
	}
	for range 3 {
		grant, decided = g.Charge(request)
	}
	must.False(t, grant.Granted, must.Sprint("its term has just begun"))
	eventually(t, "it lends after a window", func() bool {
		grant, decided = g.Charge(request)
		return decided && grant.Granted
	})
	g.RefundCharge(feed.ChargeRequest{Loan: &retry.LoanRequest{Service: "s", Reserve: 10, Window: time.Second, Loan: uint64(grant.Left)}})
	term := g.ledTerm.Swap(0)
	_, decided = g.Charge(request)
	must.False(t, decided, must.Sprint("it does not lead"))
	g.ledTerm.Store(term)
}
