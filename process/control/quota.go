package control

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// quotaCharger charges requests to the tenants' quotas: to an account while this member leads, and
// otherwise, for proxies that reach no leader, to the smaller allowance of quota.Standby.
type quotaCharger struct {
	rule    quota.Rule
	lock    sync.Mutex
	account *quota.Account // of the current or last term led by this member
	standby *quota.Standby
}

func newQuotaCharger(rule quota.Rule) *quotaCharger {
	return &quotaCharger{rule: rule, standby: quota.NewStandby(rule)}
}

// begin opens a new account at the start of a term.
func (d *quotaCharger) begin(now time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.account = quota.NewAccount(d.rule, now)
}

// currentAccount returns the account, or nil if this member has never led. A member that leads has
// one, since begin is called before its term counts as led.
func (d *quotaCharger) currentAccount() *quota.Account {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.account
}

// quotaOf returns a tenant's quota according to the view; false if the tenant is unknown or its
// quota is unbounded.
func quotaOf(current *view.View, tenant string) (api.Quota, bool) {
	known := current.RouteTenants[tenant]
	if known == nil {
		return api.Quota{}, false
	}
	return known.Spec.Quota, known.Spec.Quota.IsBounded()
}

// Charge deducts the cost of a tenant's request, in the unit of its quota, from the quota. It
// returns false if there is nothing to charge: the quota is unbounded, quotas are disabled, or the
// cost is negative or not a number.
func (g *group) Charge(request feed.ChargeRequest) (quota.Grant, bool) {
	if request.Loan != nil {
		return g.lendRetry(*request.Loan)
	}
	if request.Streams != nil {
		return g.findStream(*request.Streams)
	}
	if request.Trial != nil {
		return g.claimPartTrial(*request.Trial)
	}
	limit, bounded := quotaOf(g.machine.view(), request.Tenant)
	if !bounded || !(request.Cost >= 0) || g.config.Quotas.Window <= 0 {
		return quota.Grant{}, false
	}
	var grant quota.Grant
	if g.Leadership().Leads {
		grant = g.quotas.currentAccount().Charge(monotonic(), request.Tenant, limit, request.Cost)
	} else {
		grant = g.quotas.standby.Charge(monotonic(), request.Tenant, limit, request.Cost)
	}
	g.metrics.observeCharge(grant)
	return grant, true
}

// RefundCharge refunds the charge of a request that no replica has run. Grants of a member that
// does not lead are not refunded.
func (g *group) RefundCharge(request feed.ChargeRequest) {
	if request.Loan != nil {
		g.retries.Return(*request.Loan)
		return
	}
	if request.Streams != nil {
		g.streams.record(monotonic(), *request.Streams)
		return
	}
	if request.Parts != nil {
		g.evidence.tracker.addPartReport(*request.Parts, monotonic())
		return
	}
	if request.Trial != nil {
		g.evidence.tracker.returnPartTrial(*request.Trial)
		return
	}
	limit, bounded := quotaOf(g.machine.view(), request.Tenant)
	if bounded && request.Cost >= 0 && g.Leadership().Leads {
		g.quotas.currentAccount().Refund(monotonic(), request.Tenant, limit, request.Cost)
	}
}

// quotas lists the quota usage of the bounded tenants at this leader, sorted by name.
func (s *operatorServer) quotas(w http.ResponseWriter, r *http.Request, _ []byte) {
	s.withLease(w, r, func(current *group, _ uint64) {
		list := operatorapi.QuotaList{Tenants: []operatorapi.TenantQuota{}}
		now, account := monotonic(), current.quotas.currentAccount()
		for name, tenant := range current.machine.view().RouteTenants {
			if !tenant.Spec.Quota.IsBounded() {
				continue
			}
			accountState := account.AccountState(now, name, tenant.Spec.Quota)
			list.Tenants = append(list.Tenants, operatorapi.TenantQuota{
				Tenant: name, Quota: tenant.Spec.Quota, Left: accountState.Left, Granted: accountState.Granted, Refused: accountState.Refused,
			})
		}
		slices.SortFunc(list.Tenants, func(a, b operatorapi.TenantQuota) int { return strings.Compare(a.Tenant, b.Tenant) })
		writeJSON(w, http.StatusOK, list)
	})
}
