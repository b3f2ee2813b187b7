package campaign

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/shoenig/test/must"
)

// The limits that replicas state, in virtual time: proxies with the product's own tables request permits from the
// product's own limiters, over links that delay and lose messages; leaders change, nobody leads for a while, all
// members are unreachable, proxies restart; answers arrive late. The oracle knows which proxies have received an
// answer with the limit, and which requests arrived.

const (
	limitReplicas   = 4
	limitTime       = 60 * time.Second
	limitDemand     = 2 * time.Millisecond // between two requests, on average
	limitFaults     = 900 * time.Millisecond
	limitTravel     = 60 * time.Millisecond // at most, of a request and of an answer
	limitLateAnswer = 2 * time.Second       // at most, of one answer in limitLateOnceIn
	limitLateOnceIn = 20
	limitHeartbeat  = 350 * time.Millisecond
	limitMember     = 12 * time.Millisecond // at most, to a member and back
	limitLostOnceIn = 50                    // requests to a member, of which one is lost
	lossyOnceIn     = 2                     // the same on bad links
	limitPermit     = time.Second           // for which a permit may be used
	limitDial       = 1200 * time.Millisecond
	limitOutage     = 2500 * time.Millisecond // at most, without a leader
	longLimitOutage = 15 * time.Second        // at most, without any member
	// Figures of the rule.
	limitTouch        = 3 * time.Second
	notificationSlack = 500 * time.Millisecond
	limitWindow       = 4 * time.Second
)

// limitRates are the limits that replicas state.
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
	// generation is that of the leader's latest announcement.
	generation uint64
	// punctual answers are never late.
	punctual bool
	// lostOnceIn is how many requests to a member there are for one that is lost.
	lostOnceIn int
}

type limitProxy struct {
	name   string
	table  *holdoff.Table
	shares *ratelimit.Shares
	life   int
}

// limitReplica is a replica and what the oracle knows of it.
type limitReplica struct {
	name     string
	rate     float64
	limited  bool
	beganAt  time.Duration
	largest  float64                  // of the limits stated since then
	notified map[string]time.Duration // when a proxy first received it, by proxy and its life
	arrivals []limitArrival
}

type limitArrival struct {
	at     time.Duration
	counts bool
	by     string // who permitted it
}

func newLimitWorld(seed uint64, proxies int) *limitWorld {
	w := &limitWorld{random: rand.New(rand.NewPCG(seed, 21)), counts: map[string]int{}, standby: ratelimit.NewLimiter(ratelimit.DefaultRule, 0), lostOnceIn: limitLostOnceIn}
	w.leader = ratelimit.NewLimiter(ratelimit.DefaultRule, 0)
	for i := range limitReplicas {
		w.replicas = append(w.replicas, &limitReplica{name: fmt.Sprintf("r%d", i), notified: map[string]time.Duration{}})
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
	proxy.table, proxy.shares = holdoff.NewTable(holdoff.Config{}), ratelimit.NewShares(w.random.Float64)
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
		if limiter == nil || w.random.IntN(w.lostOnceIn) == 0 {
			w.after(limitMember, func() { w.decideAlone(proxy, life, target, request) })
			return
		}
		reply, announce := limiter.Charge(w.now, request, leads)
		if announce && leads {
			w.announce()
		}
		w.after(w.draw(limitMember), func() {
			if proxy.life == life {
				proxy.shares.RecordAnswer()
			}
			w.decided(proxy, life, target, reply, by)
		})
	})
}

// announce sends to all proxies what has changed since the previous announcement.
func (w *limitWorld) announce() {
	if w.leader == nil {
		return
	}
	reports, generation := w.leader.Announcements(w.now, w.generation)
	w.generation = generation
	for _, proxy := range w.proxies {
		life, announcedAt := proxy.life, w.now
		w.after(w.draw(limitMember), func() {
			if proxy.life != life {
				return
			}
			for _, named := range reports {
				report := named.Report
				report.Age += w.now - announcedAt
				proxy.table.Find(named.Replica).ObserveLimitReport(w.now, w.wall(), report)
			}
		})
	}
}

func (w *limitWorld) decideAlone(proxy *limitProxy, life int, target *limitReplica, request ratelimit.Request) {
	if proxy.life != life {
		return
	}
	w.counts["decided alone"]++
	granted, wait := proxy.shares.Draw(w.now, target.name, request.Report.PerSecond, len(w.proxies))
	w.decided(proxy, life, target, ratelimit.Reply{Report: request.Report, Granted: granted, Wait: wait}, "the proxy alone")
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
	notifiedAt, known := target.notified[key]
	target.arrivals = append(target.arrivals, limitArrival{at: w.now, counts: known && w.now-notifiedAt >= notificationSlack, by: by})
	w.judge(target)
	statement := ratelimit.Statement{}
	if target.limited {
		statement = ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: target.rate}
	}
	back := w.draw(limitTravel)
	if !w.punctual && w.random.IntN(limitLateOnceIn) == 0 {
		back = w.draw(limitLateAnswer)
	}
	w.after(back, func() {
		if proxy.life != life {
			return
		}
		if _, known := target.notified[key]; statement.Kind == ratelimit.Limited && !known && target.limited {
			target.notified[key] = w.now
		}
		replica := proxy.table.Find(target.name)
		changed := replica.ObserveLimit(sentAt, w.now, w.wall(), statement)
		if !changed {
			return
		}
		request := ratelimit.Request{Service: "s", Replica: target.name, Report: replica.LimitReport(w.now)}
		w.after(w.draw(limitMember), func() {
			if w.leader != nil && w.leader.Record(w.now, request) {
				w.announce()
			}
		})
	})
}

// judge holds the window that ends now against the rule.
func (w *limitWorld) judge(target *limitReplica) {
	if !target.limited || w.now-target.beganAt < limitTouch {
		return
	}
	count, by := 0, map[string]int{}
	for i := len(target.arrivals) - 1; i >= 0 && w.now-target.arrivals[i].at <= limitWindow; i-- {
		if target.arrivals[i].at < target.beganAt {
			break // permitted by an earlier limit, which has ended since
		}
		if target.arrivals[i].counts {
			count++
			by[target.arrivals[i].by]++
		}
	}
	allowed := 1.5*limitWindow.Seconds()*target.largest + 5
	if float64(count) > allowed {
		w.broken = append(w.broken, fmt.Sprintf("%v: %s stated %v since %v and got %d in %v, allowed %.1f, permitted by %v", w.now, target.name, target.rate, target.beganAt, count, limitWindow, allowed, by))
	}
}

// changeLimit has a replica state a limit, another one, or none.
func (w *limitWorld) changeLimit(target *limitReplica) {
	if target.limited && w.random.IntN(2) == 0 {
		target.limited = false
		clear(target.notified)
		return
	}
	if !target.limited {
		target.limited, target.beganAt, target.largest = true, w.now, 0
	}
	target.rate = limitRates[w.random.IntN(len(limitRates))]
	target.largest = max(target.largest, target.rate)
	w.counts["limits stated"]++
}

// fault strikes, and the next one follows.
func (w *limitWorld) fault() {
	w.after(w.draw(2*limitFaults), w.fault)
	switch w.random.IntN(6) {
	case 0, 1:
		w.changeLimit(w.replicas[w.random.IntN(len(w.replicas))])
	case 2:
		w.restart(w.proxies[w.random.IntN(len(w.proxies))])
	case 3: // a new leader
		w.leader = nil
		w.after(w.draw(limitOutage), w.lead)
	case 4: // nobody is in reach
		w.leader, w.standby = nil, nil
		w.after(w.draw(longLimitOutage), w.lead)
	case 5:
		for _, replica := range w.replicas {
			w.changeLimit(replica)
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
	w.leader, w.generation = ratelimit.NewLimiter(ratelimit.DefaultRule, w.now), 0
	for _, proxy := range w.proxies {
		for _, replica := range w.replicas {
			if known := proxy.table.Find(replica.name); known.HasRecentLimit(w.now) {
				w.leader.Record(w.now, ratelimit.Request{Service: "s", Replica: replica.name, Report: known.LimitReport(w.now)})
			}
		}
	}
}

// heartbeat has the leader send the announcements that have become due, and the next one follows.
func (w *limitWorld) heartbeat() {
	w.announce()
	w.after(limitHeartbeat, w.heartbeat)
}

func playLimits(seed uint64, proxies, lostOnceIn int) *limitWorld {
	w := newLimitWorld(seed, proxies)
	w.lostOnceIn = lostOnceIn
	w.request()
	w.heartbeat()
	w.fault()
	w.runUntil(limitTime)
	return w
}

// Guards against limits that hold for each proxy or each leader, and not over all of them.
func TestLimitsHoldThroughNewLeadersAndLostMembers(t *testing.T) { testLimits(t, limitLostOnceIn) }

// Guards against proxies that lose some of their requests for permits and grant what the leader grants to others.
func TestLimitsHoldOverBadLinks(t *testing.T) { testLimits(t, lossyOnceIn) }

// testLimits plays the limits with few proxies and many.
func testLimits(t *testing.T, lostOnceIn int) {
	for _, proxies := range []int{3, 40, 300} {
		t.Run(fmt.Sprintf("%d proxies", proxies), func(t *testing.T) {
			counts := map[string]int{}
			for seed := range uint64(testSeeds) {
				w := playLimits(seed, proxies, lostOnceIn)
				for what, count := range w.counts {
					counts[what] += count
				}
				if len(w.broken) > 0 {
					t.Errorf("seed %d: %d broken, the first: %s", seed, len(w.broken), strings.Join(w.broken[:min(len(w.broken), 3)], "; "))
				}
			}
			t.Log(counts)
			for _, what := range []string{"arrived", "limits stated", "granted", "refused", "withheld", "decided alone", "sent elsewhere"} {
				must.Positive(t, counts[what], must.Sprint(what))
			}
		})
	}
}

// Times of a course in which one limit ends.
const (
	endingBegins = 2 * time.Second
	endingEnds   = 20 * time.Second
	endingTime   = 60 * time.Second
	endingStep   = 10 * time.Millisecond
	endingSeeds  = 3
)

// ending is how long after the end of a limit it was noticed; negative where it was not.
type ending struct{ byFirst, byLeader, byAll time.Duration }

// playEnding plays the end of one limit, while outage makes members unreachable.
func playEnding(seed uint64, proxies int, perSecond float64, outage func(w *limitWorld)) ending {
	w := newLimitWorld(seed, proxies)
	w.punctual = true
	target := w.replicas[0]
	noticed := ending{-1, -1, -1}
	w.request()
	w.heartbeat()
	w.after(endingBegins, func() {
		target.limited, target.rate, target.largest, target.beganAt = true, perSecond, perSecond, w.now
	})
	w.after(endingEnds, func() {
		target.limited = false
		outage(w)
	})
	var look func()
	look = func() {
		w.after(endingStep, look)
		noticed.update(w, target.name)
	}
	w.after(endingEnds, look)
	w.runUntil(endingTime)
	return noticed
}

func (e *ending) update(w *limitWorld, replica string) {
	limited := 0
	for _, proxy := range w.proxies {
		if proxy.table.Find(replica).IsLimited() {
			limited++
		}
	}
	passed := w.now - endingEnds
	if e.byFirst < 0 && limited < len(w.proxies) {
		e.byFirst = passed
	}
	if e.byLeader < 0 && w.leader != nil && !w.leader.IsLimited(replica) {
		e.byLeader = passed
	}
	if e.byAll < 0 && limited == 0 {
		e.byAll = passed
	}
}

// Guards against a limit whose end is noticed late, or by some proxies only: the proxy that gets the first answer
// without it reports it to the leader, which announces it to all. The first answer takes one interval of the rate,
// 5 s for rates near 0. It may be kept for a more urgent request for a second; the rest takes an announcement
// interval, a heartbeat and the travel times. A new leader starts with empty accounts, so it takes an interval more.
func TestEndOfALimitReachesAllProxies(t *testing.T) {
	const announced = time.Second + time.Second + limitHeartbeat + 150*time.Millisecond
	outages := []struct {
		name   string
		length time.Duration
		begin  func(w *limitWorld)
	}{
		{"a leader", 0, func(*limitWorld) {}},
		{"a new leader", limitOutage, func(w *limitWorld) {
			w.leader = nil
			w.after(limitOutage, w.lead)
		}},
		{"no member for a while", 5 * time.Second, func(w *limitWorld) {
			w.leader, w.standby = nil, nil
			w.after(5*time.Second, w.lead)
		}},
	}
	for _, outage := range outages {
		for _, proxies := range []int{3, 300} {
			for _, perSecond := range []float64{0, 0.3, 1.4, 40} {
				t.Run(fmt.Sprintf("%s, %d proxies, limit %v", outage.name, proxies, perSecond), func(t *testing.T) {
					interval := time.Duration(float64(time.Second) / max(perSecond, 0.2))
					latest := ending{}
					for seed := range uint64(endingSeeds) {
						noticed := playEnding(seed, proxies, perSecond, outage.begin)
						must.GreaterEq(t, 0, noticed.byAll, must.Sprint("never noticed, seed ", seed))
						latest = ending{max(latest.byFirst, noticed.byFirst), max(latest.byLeader, noticed.byLeader), max(latest.byAll, noticed.byAll)}
					}
					t.Logf("at the latest: a first proxy after %v, the leader after %v, all after %v", latest.byFirst, latest.byLeader, latest.byAll)
					bound := interval + announced
					if outage.length > 0 {
						bound += outage.length + interval
					}
					must.LessEq(t, bound, latest.byAll)
				})
			}
		}
	}
}
