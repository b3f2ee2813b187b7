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

// charger charges requests to the quotas that all proxies share; *feed.Client is one.
type charger interface {
	Charge(ctx context.Context, request feed.ChargeRequest) (quota.Grant, error)
	ReturnCharge(request feed.ChargeRequest) bool
}

// chargeTimeout is how long the group's answer to a charge is waited for before this proxy
// decides by what it keeps itself.
const chargeTimeout = 30 * time.Millisecond

// charge is what a request cost its tenant; the zero charge cost nothing.
type charge struct {
	tenant string
	cost   float64
	// alone is true where this proxy decided by itself.
	alone bool
}

// causeOverQuota is told to callers whose tenant has spent its quota.
const causeOverQuota = "over_quota"

// charge takes a call's cost off its tenant's quota before anything is kept or done for it,
// or refuses it until the quota will cover it.
func (i *Ingress) charge(ctx context.Context, call *Call, tenant *api.RouteTenant) (charge, *localRefusal) {
	if tenant == nil || !tenant.Spec.Quota.IsBounded() || i.config.Quotas.Window <= 0 {
		return charge{}, nil
	}
	limit := tenant.Spec.Quota
	asked := charge{tenant: tenant.Name, cost: limit.Cost(call.Work.PromptTokens + call.Work.OutputTokens)}
	grant, err := i.askCharge(ctx, asked)
	if err == nil {
		i.standaloneQuota.Heard(asked.tenant, limit, grant)
	} else {
		asked.alone = true
		grant = i.standaloneQuota.Charge(i.now(), asked.tenant, limit, asked.cost, i.sharing())
	}
	if grant.Granted {
		return asked, nil
	}
	event.QuotaRefused.Log(i.logger, "request", call.ID, "tenant", asked.tenant, "cost", asked.cost, "left", grant.Left,
		"wait_ms", grant.Wait.Milliseconds(), "alone", asked.alone)
	wait := max(grant.Wait, minimumRetryAfter)
	return charge{}, &localRefusal{status: http.StatusTooManyRequests, cause: causeOverQuota, retryAfter: wait}
}

func (i *Ingress) askCharge(ctx context.Context, asked charge) (quota.Grant, error) {
	if i.charger == nil {
		return quota.Grant{}, feed.ErrNotCharged
	}
	ctx, cancel := context.WithTimeout(ctx, chargeTimeout)
	defer cancel()
	return i.charger.Charge(ctx, feed.ChargeRequest{Tenant: asked.tenant, Cost: asked.cost})
}

// sharing says how the quotas are divided while this proxy is left alone.
func (i *Ingress) sharing() quota.Sharing {
	made := quota.Sharing{Proxies: int(i.upstreams.proxies.Load())}
	if i.confirmer != nil {
		made.Alone = i.confirmer.SinceConfirmed(i.now())
	}
	return made
}

// returnCharge gives back what was charged for a request that no replica has run.
func (i *Ingress) returnCharge(spent charge) {
	if spent.tenant == "" {
		return
	}
	if spent.alone || i.charger == nil {
		i.standaloneQuota.Return(spent.tenant, spent.cost)
		return
	}
	i.charger.ReturnCharge(feed.ChargeRequest{Tenant: spent.tenant, Cost: spent.cost})
}
