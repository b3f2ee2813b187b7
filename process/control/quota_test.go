package control

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// newQuotaGroup returns a group of three members with one tenant that has a quota.
func newQuotaGroup(t *testing.T, limit api.Quota) *growingGroup {
	g := newGrowingGroup(t, 3, 3, 1)
	for i := range g.configs {
		g.configs[i].Quotas = quota.Rule{Window: 8 * time.Second, Overshoot: 0.1}
	}
	g.start(0, 1, 2)
	g.awaitVoters(3, 0, 1, 2)
	spec := ingressOf(1, "")
	spec.KeysRequired = true
	spec.Tenants = []api.TenantKeys{{Name: "north", Keys: []string{"k"}, Quota: limit}, {Name: "south", Keys: []string{"s"}}}
	must.Eq(t, api.ReplaceApplied, g.replaceIngress(0, spec).Code)
	return g
}

// awaitCharge requests a charge until a member answers.
func (g *growingGroup) awaitCharge(client *feed.Client, tenant string, cost float64) quota.Grant {
	g.t.Helper()
	var grant quota.Grant
	eventually(g.t, "the charge is answered", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		answered, err := client.Charge(ctx, feed.ChargeRequest{Tenant: tenant, Cost: cost})
		grant = answered
		return err == nil
	})
	return grant
}

// All proxies draw on one quota, whose usage is visible to operators.
func TestProxiesShareOneQuota(t *testing.T) {
	g := newQuotaGroup(t, api.Quota{Unit: api.QuotaTokens, PerSecond: 0.001, Burst: 1000})
	first, _ := g.subscribe("proxy-1")
	second, _ := g.subscribe("proxy-2")
	must.False(t, g.awaitCharge(first, "north", 100).Granted, must.Sprint("a new account granted a charge"))
	raised := ingressOf(2, "")
	raised.KeysRequired = true
	raised.Tenants = []api.TenantKeys{{Name: "north", Keys: []string{"k"}, Quota: api.Quota{Unit: api.QuotaTokens, PerSecond: 1e9, Burst: 1000}}}
	must.Eq(t, api.ReplaceApplied, g.replaceIngress(0, raised).Code)
	eventually(t, "the raised quota applies", func() bool { return g.awaitCharge(first, "north", 1000).Granted })
	lowered := ingressOf(3, "")
	lowered.KeysRequired = true
	lowered.Tenants = []api.TenantKeys{{Name: "north", Keys: []string{"k"}, Quota: api.Quota{Unit: api.QuotaTokens, PerSecond: 0.001, Burst: 500}}}
	must.Eq(t, api.ReplaceApplied, g.replaceIngress(0, lowered).Code)
	eventually(t, "the lowered quota applies", func() bool {
		g.awaitCharge(first, "north", 400)
		return !g.awaitCharge(second, "north", 400).Granted
	})
	var list operatorapi.QuotaList
	must.Eq(t, http.StatusOK, g.call(0, http.MethodGet, operatorapi.PathQuotas, "", &list))
	must.SliceLen(t, 1, list.Tenants)
	must.Eq(t, "north", list.Tenants[0].Tenant)
	must.Eq(t, 500, list.Tenants[0].Quota.Burst)
	must.Positive(t, list.Tenants[0].Refused)
	must.Less(t, 500, list.Tenants[0].Left)
}

// A new leader starts with an empty account, so it does not grant again what the previous leader
// has granted.
func TestNextLeaderStartsWithEmptyAccount(t *testing.T) {
	g := newQuotaGroup(t, api.Quota{Unit: api.QuotaTokens, PerSecond: 20, Burst: 200})
	client, _ := g.subscribe("proxy-1")
	eventually(t, "the whole burst is granted", func() bool { return g.awaitCharge(client, "north", 200).Granted })
	g.crash(g.leader())
	eventually(t, "another leader is elected", client.Connected)
	must.False(t, g.awaitCharge(client, "north", 200).Granted)
}

// grantLog records granted costs by the time of their answers.
type grantLog struct {
	lock sync.Mutex
	all  []grantAt
}

type grantAt struct {
	at   time.Duration
	cost float64
}

func (g *grantLog) add(cost float64) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.all = append(g.all, grantAt{monotonic(), cost})
}

// maxInWindow returns the largest sum of costs within any window.
func (g *grantLog) maxInWindow(window time.Duration) float64 {
	g.lock.Lock()
	defer g.lock.Unlock()
	slices.SortFunc(g.all, func(a, b grantAt) int { return cmp.Compare(a.at, b.at) })
	most, sum, first := 0.0, 0.0, 0
	for _, granted := range g.all {
		sum += granted.cost
		for granted.at-g.all[first].at >= window {
			sum -= g.all[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

// A tenant that requests four times its quota through several proxies is granted no more than the
// rule allows in any window, while one leader after the other crashes.
func TestQuotaHoldsAcrossLeaderCrashes(t *testing.T) {
	limit := api.Quota{Unit: api.QuotaTokens, PerSecond: 400, Burst: 200}
	g := newQuotaGroup(t, limit)
	rule := g.configs[0].Quotas
	var granted grantLog
	var requests sync.WaitGroup
	ctx, stop := context.WithCancel(t.Context())
	const cost, proxies = 10.0, 4
	for i := range proxies {
		client, _ := g.subscribe(fmt.Sprint("proxy-", i))
		requests.Go(func() {
			for pause.Sleep(ctx, time.Duration(proxies*cost/(4*limit.PerSecond)*float64(time.Second))) {
				requestCtx, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
				grant, err := client.Charge(requestCtx, feed.ChargeRequest{Tenant: "north", Cost: cost})
				cancel()
				if err == nil && grant.Granted {
					granted.add(cost)
				}
			}
		})
	}
	for range 2 {
		time.Sleep(2 * time.Second)
		killed := g.leader()
		g.crash(killed)
		eventually(t, "another leader is elected", func() bool { return g.leader() != killed })
		g.start(killed)
	}
	time.Sleep(time.Second)
	stop()
	requests.Wait()
	allowed := limit.PerSecond*rule.Window.Seconds() + limit.Burst + rule.Overrun(limit)
	must.LessEq(t, allowed, granted.maxInWindow(rule.Window))
	must.Positive(t, granted.maxInWindow(rule.Window))
}
