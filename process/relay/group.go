package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

// upstream is the relay's connection to the control group. *feed.Client implements
// it.
type upstream interface {
	Claim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error)
	RecordOutcome(ctx context.Context, outcome state.RunOutcome) error
	ReportPresence(presence feed.Presence) bool
	ReportCrashes(report feed.CrashReport) bool
	ReportUsage(report feed.UsageReport) bool
	Charge(ctx context.Context, request feed.ChargeRequest) (quota.Grant, error)
	RefundCharge(request feed.ChargeRequest) bool
	ChargeLimit(ctx context.Context, request ratelimit.Request) (ratelimit.Reply, error)
	ReportLimit(request ratelimit.Request) bool
}

// group represents the control group to the daemons that subscribe to the relay. It
// serves them while the relay's own view lease is valid.
type group struct {
	relay        *view.Relay
	upstream     upstream
	demand       *demandAggregator
	clock        func() time.Duration
	claimTimeout time.Duration
	stopping     atomic.Bool
}

var _ feed.Group = (*group)(nil)

// Leadership reports that the relay does not lead when it has no valid lease or is
// stopping, so that daemons try another address.
func (g *group) Leadership() feed.Leadership {
	return feed.Leadership{Leads: g.canServe(), Term: g.relay.Term()}
}

func (g *group) canServe() bool { return !g.stopping.Load() && g.relay.MaxLease(g.clock()) > 0 }

// Lease returns the term of the leader that granted the relay's lease, and whether
// the relay can serve daemons.
func (g *group) Lease(context.Context) (uint64, bool) { return g.relay.Term(), g.canServe() }

// Version returns the version of the relay's current view.
func (g *group) Version() view.Version { return g.relay.History().View.Version }

// View returns the relay's current view.
func (g *group) View() *view.View { return g.relay.History().View }

// DeltaSince returns the delta from the given version to the relay's current one, or
// false if there is none.
func (g *group) DeltaSince(from view.Version) (view.Delta, bool) {
	return g.relay.History().DeltaSince(from)
}

// Claim forwards the claim. It is safe to retry, because the control group recognizes
// a repeated claim by its nonce.
func (g *group) Claim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, g.claimTimeout)
	defer cancel()
	return g.upstream.Claim(ctx, request)
}

// RecordOutcome forwards the outcome to the control group.
func (g *group) RecordOutcome(ctx context.Context, outcome state.RunOutcome) error {
	ctx, cancel := context.WithTimeout(ctx, g.claimTimeout)
	defer cancel()
	return g.upstream.RecordOutcome(ctx, outcome)
}

// ReportDemand adds the daemon's report to the relay's next aggregated one.
func (g *group) ReportDemand(daemon string, report feed.DemandReport) {
	g.demand.add(daemon, report, g.clock())
}

// Place returns false, so that the daemon decides itself: a relay does not forward
// placement requests.
func (g *group) Place(string, feed.PlaceRequest) (placement.Answer, bool) {
	return placement.Answer{}, false
}

// RecordProgress drops the report: a relay places no requests.
func (g *group) RecordProgress(string, feed.PlacementProgress) {}

// RecordCachedParts drops what a daemon reports about prompts cached by a replica: a relay
// places no requests.
func (g *group) RecordCachedParts(feed.CachedParts) {}

// RecordInFlight drops what a daemon reports about its requests in flight: a relay places
// no requests.
func (g *group) RecordInFlight(string, feed.InFlight) {}

// RecordCrashes forwards the report to the control group.
func (g *group) RecordCrashes(report feed.CrashReport) { g.upstream.ReportCrashes(report) }

// UnrecordedCrashes returns an empty report. It is for crashes of replicas that the group's
// replicated record cannot show; a relay subscribes only to leaders, so its view
// contains the record.
func (g *group) UnrecordedCrashes() (feed.CrashReport, uint64) { return feed.CrashReport{}, 0 }

// RecordUsage forwards the report to the control group.
func (g *group) RecordUsage(report feed.UsageReport) { g.upstream.ReportUsage(report) }

// Charge forwards the charge: a relay keeps no quotas itself.
func (g *group) Charge(request feed.ChargeRequest) (quota.Grant, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), chargeTimeout)
	defer cancel()
	grant, err := g.upstream.Charge(ctx, request)
	return grant, err == nil
}

// chargeTimeout is slightly less than a daemon waits for the reply to a charge:
// chargeTimeout in process/ingress.
const chargeTimeout = 25 * time.Millisecond

// RefundCharge forwards the returned charge to the control group.
func (g *group) RefundCharge(request feed.ChargeRequest) { g.upstream.RefundCharge(request) }

// ChargeLimit forwards the request: a relay keeps no limits itself.
func (g *group) ChargeLimit(request ratelimit.Request, _ bool) (ratelimit.Reply, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), chargeTimeout)
	defer cancel()
	reply, err := g.upstream.ChargeLimit(ctx, request)
	return reply, err == nil
}

// RecordLimit forwards the report to the control group.
func (g *group) RecordLimit(request ratelimit.Request, _ bool) { g.upstream.ReportLimit(request) }

// AnnouncedLimits returns nothing: daemons behind a relay learn limits from the replies to their requests.
func (g *group) AnnouncedLimits(uint64) ([]ratelimit.NamedReport, uint64) { return nil, 0 }

// WallClock returns 0 instead of the group's wall-clock time in milliseconds since the Unix
// epoch: a relay does not know it.
func (g *group) WallClock() int64 { return 0 }

// ReportPresence forwards the presence. It may be lost: daemons report it again with
// every heartbeat.
func (g *group) ReportPresence(presence feed.Presence) { g.upstream.ReportPresence(presence) }
