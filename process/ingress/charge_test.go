package ingress

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// fakeCharger returns a fixed result, and records charges and refunds.
type fakeCharger struct {
	lock     sync.Mutex
	grant    quota.Grant
	err      error
	charged  []feed.ChargeRequest
	returned []feed.ChargeRequest
}

func (c *fakeCharger) Charge(_ context.Context, request feed.ChargeRequest) (quota.Grant, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.charged = append(c.charged, request)
	return c.grant, c.err
}

func (c *fakeCharger) RefundCharge(request feed.ChargeRequest) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.returned = append(c.returned, request)
	return true
}

// newQuotaEnv returns an environment with a tenant whose quota is the given number of tokens per
// second, and its charger.
func newQuotaEnv(t *testing.T, perSecond float64, replicas ...*fakeReplica) (*testEnv, *fakeCharger) {
	env := newTestEnv(t, replicas...)
	bounded := tenantKeys("north", 0, "key-n")
	bounded.Quota = api.Quota{Unit: api.QuotaTokens, PerSecond: perSecond, Burst: perSecond, PlainTokens: 20}
	env.requireKeys(bounded, tenantKeys("south", 0, "key-s"))
	env.ingress.config.Quotas = quota.Rule{Window: 8 * time.Second, Overshoot: 0.1}
	env.ingress.standaloneQuota = quota.NewLocalShare(env.ingress.config.Quotas)
	charger := &fakeCharger{grant: quota.Grant{Granted: true}}
	env.ingress.charger = charger
	return env, charger
}

func TestRequestsAreChargedToTheirTenant(t *testing.T) {
	replica := newFakeReplica(t, "r-1", answerOK)
	env, charger := newQuotaEnv(t, 100, replica)
	must.Eq(t, http.StatusOK, env.do(withKey("a", "/safe/x", "key-n")).status)
	must.Eq(t, []feed.ChargeRequest{{Tenant: "north", Cost: 20}}, charger.charged)
	must.Eq(t, http.StatusOK, env.do(withKey("b", "/safe/x", "key-s")).status)
	must.Eq(t, http.StatusUnauthorized, env.do(withKey("c", "/safe/x", "key-x")).status)
	must.SliceLen(t, 1, charger.charged, must.Sprint("neither a tenant without a quota nor an unknown caller is charged"))
	must.SliceEmpty(t, charger.returned)
}

// A request that exceeds the quota is refused at once with the time after which it will be
// accepted.
func TestRequestsOverTheQuotaAreRefused(t *testing.T) {
	replica := newFakeReplica(t, "r-1", answerOK)
	env, charger := newQuotaEnv(t, 100, replica)
	charger.grant = quota.Grant{Wait: 1500 * time.Millisecond}
	refused := env.do(withKey("a", "/safe/x", "key-n"))
	must.Eq(t, http.StatusTooManyRequests, refused.status)
	must.Eq(t, "1.5s", refused.header.Get(testAgain))
	must.Eq(t, 0, replica.count())
	must.SliceEmpty(t, charger.returned)
}

// A request that certainly did not run is refunded.
func TestRequestsThatDidNotRunAreRefunded(t *testing.T) {
	env, charger := newQuotaEnv(t, 100, newFakeReplica(t, "r-1", refuseRun))
	must.Eq(t, http.StatusServiceUnavailable, env.do(withKey("a", "/safe/x", "key-n")).status)
	must.Eq(t, charger.charged, charger.returned)
}

// While no member answers its charges, a proxy spends its own part of the quota and no more. With
// 1000 proxies the part is less than one request, so that all are refused. If the last grant of
// the control group left most of the quota, one request is granted in advance.
func TestStandaloneProxySpendsItsPartOfTheQuota(t *testing.T) {
	env, charger := newQuotaEnv(t, 20, newFakeReplica(t, "r-1", answerOK))
	charger.err = feed.ErrNotCharged
	env.views.set(func(v *view.View) {
		v.Proxies = map[string]*api.Proxy{}
		for number := range 1000 {
			name := fmt.Sprint("proxy-", number)
			v.Proxies[name] = &api.Proxy{Metadata: api.Metadata{Name: name}}
		}
	})
	for range 5 {
		must.Eq(t, http.StatusTooManyRequests, env.do(withKey("a", "/safe/x", "key-n")).status)
	}
	charger.err, charger.grant = nil, quota.Grant{Granted: true, Left: 20}
	must.Eq(t, http.StatusOK, env.do(withKey("a", "/safe/x", "key-n")).status)
	charger.err = feed.ErrNotCharged
	must.Eq(t, http.StatusOK, env.do(withKey("a", "/safe/x", "key-n")).status, must.Sprint("the tenant was far from its limit at the last grant"))
	must.Eq(t, http.StatusTooManyRequests, env.do(withKey("a", "/safe/x", "key-n")).status)
}
