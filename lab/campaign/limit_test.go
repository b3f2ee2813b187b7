package campaign

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/shoenig/test/must"
)

// The limits that replicas name, in virtual time: proxies with the product's own tables ask the product's own
// limiters for permits, over links that delay and lose; leaders change, nobody leads for a while, all members are
// out of reach, proxies restart, replicas are born again; answers arrive late. The oracle knows which proxies
// were told, and what arrived.

const (
	limitReplicas   = 4
	limitTime       = 60 * time.Second
	limitDemand     = 2 * time.Millisecond // between two requests, on average
	limitFaults     = 900 * time.Millisecond
	limitTravel     = 60 * time.Millisecond // at most, of a request and of an answer
	limitLateAnswer = 2 * time.Second       // at most, of one answer in limitLateOnceIn
	limitLateOnceIn = 20
	limitMember     = 12 * time.Millisecond // at most, to a member and back
	limitLostOnceIn = 50                    // questions to a member
	limitPermit     = time.Second           // for which a permit may be used
	limitDial       = 1200 * time.Millisecond
	limitOutage     = 2500 * time.Millisecond // at most, without a leader or any member
	// Figures of the rule.
	limitTouch     = 3 * time.Second
	limitToldSlack = 500 * time.Millisecond
	limitWindow    = 4 * time.Second
)

// limitRates are the limits that replicas name.
var limitRates = []float64{0, 0.3, 1.4, 6, 40, 150}

// limitWorld is one run.
type limitWorld struct {
	scheduler
	random   *rand.Rand
	proxies  []*limitProxy
	replicas []*limitReplica
	leader   *ratelimit.Limiter // nil while nobody leads
	standby  *ratelimit.Limiter // nil while no member is in reach
	counts   map[string]int
	broken   []string
}

type limitProxy struct {
	name  string
	table *holdoff.Table
	share *quota.LocalShare
	life  int
	// aloneSince is when the last member was lost; 0 for never.
	aloneSince time.Duration
}

// limitReplica is a replica and what the oracle knows of it.
type limitReplica struct {
	name      string
	rate      float64
	limited   bool
	namedAt   time.Duration
	largest   float64                  // of the limits named without a break
	told      map[string]time.Duration // by proxy and its life
	arrivals  []limitArrival
	lastBreak time.Duration
}

type limitArrival struct {
	at     time.Duration
	counts bool
	by     string // who permitted it
}

func newLimitWorld(seed uint64, proxies int) *limitWorld {
	w := &limitWorld{random: rand.New(rand.NewPCG(seed, 21)), counts: map[string]int{}, standby: ratelimit.NewLimiter(ratelimit.DefaultRule, 0)}
	w.leader = ratelimit.NewLimiter(ratelimit.DefaultRule, 0)
	for i := range limitReplicas {
		w.replicas = append(w.replicas, &limitReplica{name: fmt.Sprintf("r%d", i), told: map[string]time.Duration{}})
	}
	for i := range proxies {
		proxy := &limitProxy{name: fmt.Sprintf("p%d", i)}
		w.proxies = append(w.proxies, proxy)
		w.restart(proxy)
	}
	return w
}

func (w *limitWorld) draw(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most)))
}

func (w *limitWorld) wall() time.Time { return time.UnixMilli(1_700_000_000_000).Add(w.now) }

func (w *limitWorld) restart(proxy *limitProxy) {
	proxy.life++
	proxy.table, proxy.share = holdoff.NewTable(holdoff.Config{}), quota.NewLocalShare(ratelimit.DefaultRule, w.random.Float64)
}

func (p *limitProxy) key() string { return fmt.Sprintf("%s.%d", p.name, p.life) }

// request sends one request of a random proxy, and the next one follows.
func (w *limitWorld) request() {
	w.after(w.draw(2*limitDemand), w.request)
	proxy, target := w.proxies[w.random.IntN(len(w.proxies))], w.replicas[w.random.IntN(len(w.replicas))]
	known := proxy.table.Find(target.name)
	if known.State(w.now) == holdoff.Closed {
		w.counts["sent elsewhere"]++
		return
	}
	if !known.IsLimited() {
		w.dial(proxy, target, -1, "nobody: no limit known")
		return
	}
	request := ratelimit.Request{Service: "s", Replica: target.name, Report: known.LimitReport(w.now), Priority: w.random.IntN(3)}
	life := proxy.life
	w.after(w.draw(limitMember), func() {
		limiter, leads, by := w.leader, true, "the leader"
		if limiter == nil {
			limiter, leads, by = w.standby, false, "a standby member"
		}
		if limiter == nil || w.random.IntN(limitLostOnceIn) == 0 {
			w.after(limitMember, func() { w.decideAlone(proxy, life, target, request) })
			return
		}
		reply, announce := limiter.Charge(w.now, request, leads)
		if announce {
			w.announce(limiter)
		}
		w.after(w.draw(limitMember), func() { w.decided(proxy, life, target, reply, by) })
	})
}

// announce tells all proxies what has changed.
func (w *limitWorld) announce(limiter *ratelimit.Limiter) {
	reports, _ := limiter.Announcements(w.now, 0)
	for _, proxy := range w.proxies {
		life, told := proxy.life, w.now
		w.after(w.draw(limitMember), func() {
			if proxy.life != life {
				return
			}
			for _, named := range reports {
				report := named.Report
				report.Age += w.now - told
				w.observe(proxy, proxy.table.Find(named.Replica).ObserveLimitReport(w.now, w.wall(), report), named.Replica)
			}
		})
	}
}

// observe follows the begin and the end of a limit at a proxy.
func (w *limitWorld) observe(proxy *limitProxy, changed bool, replica string) {
	if changed && proxy.table.Find(replica).IsLimited() {
		proxy.share.Open(w.now, replica)
	}
}

func (w *limitWorld) decideAlone(proxy *limitProxy, life int, target *limitReplica, request ratelimit.Request) {
	if proxy.life != life {
		return
	}
	w.counts["decided alone"]++
	sharing := quota.Sharing{Proxies: len(w.proxies), Alone: w.now - proxy.aloneSince}
	if w.standby != nil {
		sharing.Alone = 0
	}
	grant := proxy.share.Charge(w.now, target.name, ratelimit.QuotaOf(request.Report.PerSecond/2), 1, sharing)
	w.decided(proxy, life, target, ratelimit.Reply{Report: request.Report, Granted: grant.Granted, Wait: grant.Wait}, "the proxy alone")
}

func (w *limitWorld) decided(proxy *limitProxy, life int, target *limitReplica, reply ratelimit.Reply, by string) {
	if proxy.life != life {
		return
	}
	known := proxy.table.Find(target.name)
	if reply.Report.Kind != ratelimit.Limited {
		known.ObserveLimitReport(w.now, w.wall(), reply.Report)
	}
	if !reply.Granted {
		w.counts["refused"]++
		known.Exhaust(w.now + max(reply.Wait, 50*time.Millisecond))
		return
	}
	w.counts["granted"]++
	if reply.Report.Kind != ratelimit.Limited {
		by += ": no limit known"
	}
	w.dial(proxy, target, w.now, by)
}

// dial sends the request once its connection is open; grantedAt is less than 0 without a permit.
func (w *limitWorld) dial(proxy *limitProxy, target *limitReplica, grantedAt time.Duration, by string) {
	opening := time.Duration(0)
	if w.random.IntN(10) == 0 {
		opening = w.draw(limitDial)
	}
	life := proxy.life
	w.after(opening, func() {
		known := proxy.table.Find(target.name)
		if proxy.life != life || known.IsLimited() && (grantedAt < 0 || w.now-grantedAt > limitPermit) || !known.TryBegin(w.now) {
			w.counts["withheld"]++
			return
		}
		sentAt, key := w.now, proxy.key()
		w.after(w.draw(limitTravel), func() { w.arrive(proxy, life, key, target, sentAt, by) })
	})
}

func (w *limitWorld) arrive(proxy *limitProxy, life int, key string, target *limitReplica, sentAt time.Duration, by string) {
	w.counts["arrived"]++
	told, known := target.told[key]
	target.arrivals = append(target.arrivals, limitArrival{at: w.now, counts: known && w.now-told >= limitToldSlack, by: by})
	w.judge(target)
	said := ratelimit.Statement{}
	if target.limited {
		said = ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: target.rate}
	}
	back := w.draw(limitTravel)
	if w.random.IntN(limitLateOnceIn) == 0 {
		back = w.draw(limitLateAnswer)
	}
	w.after(back, func() {
		if proxy.life != life {
			return
		}
		if _, known := target.told[key]; said.Kind == ratelimit.Limited && !known && target.limited {
			target.told[key] = w.now
		}
		replica := proxy.table.Find(target.name)
		changed := replica.ObserveLimit(sentAt, w.now, w.wall(), said)
		w.observe(proxy, changed, target.name)
		if !changed {
			return
		}
		request := ratelimit.Request{Service: "s", Replica: target.name, Report: replica.LimitReport(w.now)}
		w.after(w.draw(limitMember), func() {
			if w.leader != nil && w.leader.Record(w.now, request) {
				w.announce(w.leader)
			}
		})
	})
}

// judge holds the window that ends now against the rule.
func (w *limitWorld) judge(target *limitReplica) {
	if !target.limited || w.now-target.namedAt < limitTouch {
		return
	}
	count, by := 0, map[string]int{}
	for i := len(target.arrivals) - 1; i >= 0 && w.now-target.arrivals[i].at <= limitWindow; i-- {
		if target.arrivals[i].at < target.namedAt {
			break // permitted by an earlier limit, which has ended since
		}
		if target.arrivals[i].counts {
			count++
			by[target.arrivals[i].by]++
		}
	}
	allowed := 1.5*limitWindow.Seconds()*target.largest + 5
	if float64(count) > allowed {
		w.broken = append(w.broken, fmt.Sprintf("%v: %s named %v at %v and got %d in %v, allowed %.1f, permitted by %v", w.now, target.name, target.rate, target.namedAt, count, limitWindow, allowed, by))
	}
}

// name has a replica name a limit, another one, or none.
func (w *limitWorld) name(target *limitReplica) {
	if target.limited && w.random.IntN(2) == 0 {
		target.limited, target.lastBreak = false, w.now
		clear(target.told)
		return
	}
	if !target.limited {
		target.limited, target.namedAt, target.largest = true, w.now, 0
	}
	target.rate = limitRates[w.random.IntN(len(limitRates))]
	target.largest = max(target.largest, target.rate)
	w.counts["limits named"]++
}

// fault strikes, and the next one follows.
func (w *limitWorld) fault() {
	w.after(w.draw(2*limitFaults), w.fault)
	switch w.random.IntN(6) {
	case 0, 1:
		w.name(w.replicas[w.random.IntN(len(w.replicas))])
	case 2:
		w.restart(w.proxies[w.random.IntN(len(w.proxies))])
	case 3: // a new leader
		w.leader = nil
		w.after(w.draw(limitOutage), w.lead)
	case 4: // nobody is in reach
		w.leader, w.standby = nil, nil
		for _, proxy := range w.proxies {
			proxy.aloneSince = w.now
		}
		w.after(w.draw(limitOutage), w.lead)
	case 5:
		for _, replica := range w.replicas {
			w.name(replica)
		}
	}
}

// lead makes a member the leader, which learns from the proxies what they know.
func (w *limitWorld) lead() {
	if w.leader != nil {
		return
	}
	if w.standby == nil {
		w.standby = ratelimit.NewLimiter(ratelimit.DefaultRule, w.now)
	}
	w.leader = ratelimit.NewLimiter(ratelimit.DefaultRule, w.now)
	for _, proxy := range w.proxies {
		for _, replica := range w.replicas {
			if known := proxy.table.Find(replica.name); known.IsLimited() {
				w.leader.Record(w.now, ratelimit.Request{Service: "s", Replica: replica.name, Report: known.LimitReport(w.now)})
			}
		}
	}
}

func playLimits(seed uint64, proxies int) *limitWorld {
	w := newLimitWorld(seed, proxies)
	w.request()
	w.fault()
	w.runUntil(limitTime)
	return w
}

// Guards against limits that hold for each proxy or each leader, and not over all of them.
func TestLimitsHoldThroughNewLeadersAndLostMembers(t *testing.T) {
	for _, proxies := range []int{3, 40, 300} {
		t.Run(fmt.Sprintf("%d proxies", proxies), func(t *testing.T) {
			counts := map[string]int{}
			for seed := range uint64(testSeeds) {
				w := playLimits(seed, proxies)
				for what, count := range w.counts {
					counts[what] += count
				}
				if len(w.broken) > 0 {
					t.Errorf("seed %d: %d broken, the first: %s", seed, len(w.broken), strings.Join(w.broken[:min(len(w.broken), 3)], "; "))
				}
			}
			t.Log(counts)
			for _, what := range []string{"arrived", "limits named", "granted", "refused", "withheld", "decided alone", "sent elsewhere"} {
				must.Positive(t, counts[what], must.Sprint(what))
			}
		})
	}
}
