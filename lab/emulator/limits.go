package emulator

import (
	"time"

	"github.com/landingtrail/landingtrail/request/ratelimit"
)

// Limit is a period in which one engine states how many requests per second it accepts from all proxies.
type Limit struct {
	At, Until time.Duration
	Engine    int // index
	PerSecond float64
}

// limits holds the limits that engines state, and the group's account of them. Grants take no time.
type limits struct {
	run      *run
	limiter  *ratelimit.Limiter
	arrivals map[*host][]time.Duration
}

func newLimits(r *run) *limits {
	return &limits{run: r, limiter: ratelimit.NewLimiter(ratelimit.DefaultRule, 0), arrivals: map[*host][]time.Duration{}}
}

// stated returns what the engine's answers state now.
func (l *limits) stated(h *host) ratelimit.Statement {
	for _, limit := range l.run.config.Limits {
		if l.run.hosts[limit.Engine] == h && l.run.now >= limit.At && l.run.now < limit.Until {
			return ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: limit.PerSecond}
		}
	}
	return ratelimit.Statement{}
}

// request is a request to the account for one request to the engine.
func (l *limits) request(h *host, report ratelimit.Report) ratelimit.Request {
	return ratelimit.Request{Service: l.run.config.Deployment, Replica: h.name, Report: report}
}

// arrive records a request that was sent at sentAt. Its answer reports to the account what the engine states.
func (l *limits) arrive(h *host, sentAt, latency time.Duration) {
	if len(l.run.config.Limits) == 0 {
		return
	}
	l.arrivals[h] = append(l.arrivals[h], l.run.now)
	statement := l.stated(h)
	l.run.after(latency, func() {
		if statement.Kind == ratelimit.Unlimited && !l.limiter.IsLimited(h.name) {
			return
		}
		age := time.Duration(0)
		if statement.Kind == ratelimit.Unlimited {
			age = l.run.now - sentAt
		}
		l.limiter.Record(l.run.now, l.request(h, ratelimit.Report{Statement: statement, Age: age, SentAge: l.run.now - sentAt}))
	})
}

// permit reports whether the account grants a request to the engine.
func (l *limits) permit(h *host) bool {
	reply, _ := l.limiter.Charge(l.run.now, l.request(h, ratelimit.Report{Statement: ratelimit.Statement{Kind: ratelimit.Unclear}}), true)
	return reply.Granted
}

// hasRoom reports whether the account would grant a request to the engine.
func (l *limits) hasRoom(h *host) bool {
	exhausted, _ := l.limiter.Exhausted(l.run.now, l.run.config.Deployment, 0)
	for _, name := range exhausted {
		if name == h.name {
			return false
		}
	}
	return true
}
