package control

import (
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/ratelimit"
)

// ChargeLimit grants or refuses a request for a replica that states a limit.
func (g *group) ChargeLimit(request ratelimit.Request, _ bool) (ratelimit.Reply, bool) {
	reply, announce := g.rates.Charge(monotonic(), request, g.Leadership().Leads)
	g.metrics.observeLimitCharge(reply)
	if announce {
		g.announceLimit(request)
	}
	return reply, true
}

// RecordLimit records a proxy's report of a replica's limit.
func (g *group) RecordLimit(request ratelimit.Request, _ bool) {
	if g.rates.Record(monotonic(), request) {
		g.announceLimit(request)
	}
}

// announceLimit lets the feed announce to all proxies a limit that has begun, ended or changed.
func (g *group) announceLimit(request ratelimit.Request) {
	event.LimitAnnounced.Log(g.logger, "replica", request.Replica, "service", request.Service,
		"limited", request.Report.Kind == ratelimit.Limited, "per_second", request.Report.PerSecond, "age_ms", request.Report.Age.Milliseconds())
	g.wakeFeed()
}

// AnnouncedLimits returns the limits announced after a generation.
func (g *group) AnnouncedLimits(since uint64) ([]ratelimit.NamedReport, uint64) {
	return g.rates.Announcements(monotonic(), since)
}

// excludeExhausted excludes from a placement the replicas whose limits leave no room for the request.
// If that leaves no generator, it refuses the request with a time at which the limits have room for it.
func (g *group) excludeExhausted(request *feed.PlaceRequest, now time.Duration) (answer placement.Answer, refused bool) {
	exhausted, first := g.rates.Exhausted(now, request.Service, request.Ask.Priority)
	if len(exhausted) == 0 {
		return placement.Answer{}, false
	}
	before := request.Ask.Excluded
	request.Ask.Excluded = append(before[:len(before):len(before)], exhausted...)
	if g.boards.canGenerate(request.Service, request.Ask.Excluded, now) || !g.boards.canGenerate(request.Service, before, now) {
		return placement.Answer{}, false
	}
	return placement.Answer{Refused: true, RetryAfter: g.rates.RetryDelay(now, request.Service, first)}, true
}

// canGenerate reports whether a replica of the service that is not excluded could run a request.
func (d *placementBoards) canGenerate(service string, excluded []string, now time.Duration) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	board := d.boards[service]
	return board != nil && board.CanGenerate(now, excluded)
}
