package control

import (
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/request/retry"
)

// lendRetry lends a proxy one retry of a service's reserve. It returns false if this member does not lead:
// members that lend beside the leader could lend more than there is.
func (g *group) lendRetry(request retry.LoanRequest) (quota.Grant, bool) {
	if !g.Leadership().Leads {
		return quota.Grant{}, false
	}
	reply := g.retries.Lend(monotonic(), request)
	g.metrics.observeLoan(reply.Granted)
	return feed.LoanGrant(reply), true
}
