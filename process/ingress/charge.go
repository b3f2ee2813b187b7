package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/version/api"
)

// charger charges requests to the quotas that all proxies share; implemented by *feed.Client.
// Charge returns an error if the control group does not decide in time; RefundCharge returns
// whether the refund was sent.
type charger interface {
	Charge(ctx context.Context, request feed.ChargeRequest) (quota.Grant, error)
	RefundCharge(request feed.ChargeRequest) bool
}

// chargeTimeout is how long to wait for the control group's answer to a charge before this proxy
// decides by its own share of the quota.
const chargeTimeout = 30 * time.Millisecond

// quotaCharge is the amount charged to a tenant for a request; zero if nothing was charged.
type quotaCharge struct {
	tenant string
	cost   float64 // in the unit of the tenant's quota
	// standalone is true if this proxy decided by itself.
	standalone bool
}

// causeOverQuota is returned to callers whose tenant has used up its quota.
const causeOverQuota = "over_quota"

// charge deducts a call's cost from its tenant's quota, before the body is read. If the quota does
// not cover the cost, it returns a refusal with the time until it does.
func (i *Ingress) charge(ctx context.Context, call *Call, tenant *api.RouteTenant) (quotaCharge, *localRefusal) {
	if tenant == nil || !tenant.Spec.Quota.IsBounded() || i.config.Quotas.Window <= 0 {
		return quotaCharge{}, nil
	}
	limit := tenant.Spec.Quota
	amount := quotaCharge{tenant: tenant.Name, cost: limit.Cost(call.Work.PromptTokens + call.Work.OutputTokens)}
	grant, err := i.askCharge(ctx, amount)
	if err == nil {
		i.standaloneQuota.RecordAnswer(amount.tenant, limit, grant)
	} else {
		amount.standalone = true
		grant = i.standaloneQuota.Charge(i.now(), amount.tenant, limit, amount.cost, i.sharing())
	}
	if grant.Granted {
		return amount, nil
	}
	event.QuotaRefused.Log(i.logger, "request", call.ID, "tenant", amount.tenant, "cost", amount.cost, "left", grant.Left,
		"wait_ms", grant.Wait.Milliseconds(), "alone", amount.standalone)
	wait := max(grant.Wait, minimumRetryAfter)
	return quotaCharge{}, &localRefusal{status: http.StatusTooManyRequests, cause: causeOverQuota, retryAfter: wait}
}

// askCharge asks the control group for a charge and waits up to chargeTimeout.
func (i *Ingress) askCharge(ctx context.Context, amount quotaCharge) (quota.Grant, error) {
	if i.charger == nil {
		return quota.Grant{}, feed.ErrNotCharged
	}
	ctx, cancel := context.WithTimeout(ctx, chargeTimeout)
	defer cancel()
	return i.charger.Charge(ctx, feed.ChargeRequest{Tenant: amount.tenant, Cost: amount.cost})
}

// sharing returns what this proxy's part of a quota depends on while the control group is
// unreachable: the number of proxies, and the time since this proxy's view was last confirmed.
func (i *Ingress) sharing() quota.Sharing {
	sharing := quota.Sharing{Proxies: int(i.upstreams.proxies.Load())}
	if i.confirmer != nil {
		sharing.Alone = i.confirmer.SinceConfirmed(i.now())
	}
	return sharing
}

// returnCharge refunds the charge of a request that no replica has run.
func (i *Ingress) returnCharge(spent quotaCharge) {
	if spent.tenant == "" {
		return
	}
	if spent.standalone || i.charger == nil {
		i.standaloneQuota.Refund(spent.tenant, spent.cost)
		return
	}
	i.charger.RefundCharge(feed.ChargeRequest{Tenant: spent.tenant, Cost: spent.cost})
}
