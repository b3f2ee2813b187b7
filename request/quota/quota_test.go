package quota

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The seed is fixed, so that each run checks the same cases.
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	testRule = Rule{Window: 8 * time.Second, Overshoot: 0.1, Slack: 190}
	// strictRule allows nothing beyond the quota, so that expected amounts are those of the quota.
	strictRule = Rule{Window: 8 * time.Second}
	testLimit  = api.Quota{Unit: api.QuotaTokens, PerSecond: 100, Burst: 100}
)

// charge is an amount granted at a time.
type charge struct {
	at   time.Duration
	cost float64
}

// ledger holds all granted charges in order.
type ledger []charge

// maxInWindow returns the largest sum granted in any window.
func (l ledger) maxInWindow(window time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, granted := range l {
		sum += granted.cost
		for granted.at-l[first].at >= window {
			sum -= l[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

// allowed returns what the rule allows in a window.
func allowed(rule Rule, limit api.Quota) float64 {
	return limit.PerSecond*rule.Window.Seconds() + limit.Burst + rule.Overrun(limit)
}

func TestAccountGrantsTheRateAndTheBurst(t *testing.T) {
	account := NewAccount(strictRule, 0)
	must.False(t, account.Charge(0, "north", testLimit, 1).Granted, must.Sprint("the balance starts empty"))
	must.True(t, account.Charge(time.Second, "north", testLimit, 60).Granted)
	refused := account.Charge(time.Second, "north", testLimit, 60)
	must.False(t, refused.Granted)
	must.Eq(t, 200*time.Millisecond, refused.Wait)
	must.True(t, account.Charge(time.Second+refused.Wait, "north", testLimit, 60).Granted, must.Sprint("the reported wait is sufficient"))
	must.True(t, account.Charge(time.Second, "south", testLimit, 100).Granted, must.Sprint("each tenant has its own balance"))
	must.Eq(t, AccountState{Left: 0, Granted: 120, Refused: 2}, account.AccountState(time.Second, "north", testLimit))
}

func TestChargesOfRequestsThatDidNotRunAreRefunded(t *testing.T) {
	account := NewAccount(strictRule, 0)
	must.True(t, account.Charge(time.Second, "north", testLimit, 100).Granted)
	account.Refund(time.Second, "north", testLimit, 100)
	must.True(t, account.Charge(time.Second, "north", testLimit, 100).Granted)
	account.Refund(time.Second, "north", testLimit, 1000)
	must.Eq(t, 100, account.AccountState(time.Second, "north", testLimit).Left, must.Sprint("never more than the burst"))
}

func TestRequestLargerThanTheBurstPasses(t *testing.T) {
	account := NewAccount(strictRule, 0)
	must.True(t, account.Charge(time.Second, "north", testLimit, 250).Granted)
	must.False(t, account.Charge(2*time.Second, "north", testLimit, 1).Granted, must.Sprint("the excess cost is still owed"))
	must.True(t, account.Charge(3*time.Second, "north", testLimit, 1).Granted)
	none := api.Quota{PerSecond: 2}
	must.True(t, account.Charge(0, "south", none, 1).Granted, must.Sprint("a rate without a burst"))
	must.False(t, account.Charge(0, "south", none, 1).Granted)
}

// Requests arrive less evenly than a rate assumes, so an account grants a part of the overrun that
// the rule allows, and no more.
func TestAccountGrantsAPartOfTheOverrun(t *testing.T) {
	account := NewAccount(testRule, 0)
	whole := testLimit.Burst + accountOverrunShare*testRule.Overrun(testLimit)
	must.True(t, account.Charge(time.Minute, "north", testLimit, whole).Granted)
	must.False(t, account.Charge(time.Minute, "north", testLimit, 1).Granted)
}

// A lowered limit applies from the next charge on, and a raised one is filled at its rate.
func TestLimitsChange(t *testing.T) {
	account := NewAccount(strictRule, 0)
	lower := api.Quota{PerSecond: 10, Burst: 10}
	must.Eq(t, 100, account.AccountState(time.Second, "north", testLimit).Left)
	must.Eq(t, 10, account.AccountState(time.Second, "north", lower).Left)
	must.Eq(t, 10, account.AccountState(time.Second, "north", testLimit).Left)
	must.Eq(t, 60, account.AccountState(1500*time.Millisecond, "north", testLimit).Left)
}

// simulation models changes of the leader, standby members, proxies that reach one or the other,
// and callers that request far more than the quota.
type simulation struct {
	now      time.Duration
	account  *Account // nil while there is no leader
	standbys []*Standby
	granted  ledger
}

func newSimulation() *simulation {
	return &simulation{account: NewAccount(testRule, 0), standbys: []*Standby{NewStandby(testRule), NewStandby(testRule)}}
}

// charge charges a request through a proxy. With route 0 the proxy reaches the leader if there is
// one, otherwise one of the standby members.
func (s *simulation) charge(route int, cost float64) {
	var grant Grant
	switch {
	case route == 0 && s.account != nil:
		grant = s.account.Charge(s.now, "north", testLimit, cost)
	default:
		grant = s.standbys[route%len(s.standbys)].Charge(s.now, "north", testLimit, cost)
	}
	if grant.Granted {
		s.granted = append(s.granted, charge{s.now, cost})
	}
}

// No window exceeds what the rule allows, whenever leaders change or are missing, and whichever
// proxies are cut off from them, as long as each reaches one of two members.
func TestNoWindowExceedsTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			s.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				s.account = nil
			case 1, 2:
				s.account = NewAccount(testRule, s.now)
			default:
				for range rapid.IntRange(1, 12).Draw(t, "requests") {
					s.charge(rapid.IntRange(0, 3).Draw(t, "route"), rapid.Float64Range(0, 100).Draw(t, "cost"))
				}
			}
		}
		if most := s.granted.maxInWindow(testRule.Window); most > allowed(testRule, testLimit)+1e-6 {
			t.Fatalf("%.1f tokens granted in a window that allows %.1f", most, allowed(testRule, testLimit))
		}
	})
}

// A tenant that requests nine tenths of its quota is refused at most one request in a thousand,
// although its requests arrive up to 200 ms late, as they do through a thousand proxies. This is
// because the whole quota is available through each proxy.
func TestNothingWithinTheQuotaIsRefused(t *testing.T) {
	const cost = 4.0
	random := rand.New(rand.NewPCG(1, 2))
	account := NewAccount(testRule, 0)
	refused, requested := 0, 0
	for now := time.Second; now < time.Minute; now += time.Duration(cost / (0.9 * testLimit.PerSecond) * float64(time.Second)) {
		requested++
		delay := time.Duration(random.Int64N(int64(200 * time.Millisecond)))
		if !account.Charge(now+delay, "north", testLimit, cost).Granted {
			refused++
		}
	}
	must.LessEq(t, requested/1000, refused)
}
