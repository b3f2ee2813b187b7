package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

// upstream is the control group as the relay uses it; *feed.Client is one.
type upstream interface {
	Claim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error)
	RecordOutcome(ctx context.Context, outcome state.RunOutcome) error
	ReportPresence(presence feed.Presence) bool
	ReportEnds(report feed.EndReport) bool
	ReportUsage(report feed.UsageReport) bool
	Charge(ctx context.Context, request feed.ChargeRequest) (quota.Grant, error)
	ReturnCharge(request feed.ChargeRequest) bool
}

// group is what stands for the control group toward the daemons behind the
// relay. It serves them while the relay's own view lease holds.
type group struct {
	relay        *view.Relay
	upstream     upstream
	demand       *demandAggregator
	clock        func() time.Duration
	claimTimeout time.Duration
	stopping     atomic.Bool
}

var _ feed.Group = (*group)(nil)

// Leadership tells daemons to go on to another address when the relay has no
// lease to pass on or stops.
func (g *group) Leadership() feed.Leadership {
	return feed.Leadership{Leads: g.canServe(), Term: g.relay.Term()}
}

func (g *group) canServe() bool { return !g.stopping.Load() && g.relay.Limit(g.clock()) > 0 }

// Lease returns the term of the leader that granted the relay's lease.
func (g *group) Lease(context.Context) (uint64, bool) { return g.relay.Term(), g.canServe() }

// Version returns the version held.
func (g *group) Version() view.Version { return g.relay.History().View.Version }

// View returns the view held.
func (g *group) View() *view.View { return g.relay.History().View }

// DeltaSince returns what leads from a version to the one held.
func (g *group) DeltaSince(from view.Version) (view.Delta, bool) {
	return g.relay.History().DeltaSince(from)
}

// Claim passes the claim on; its nonce makes a repeat harmless.
func (g *group) Claim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, g.claimTimeout)
	defer cancel()
	return g.upstream.Claim(ctx, request)
}

// RecordOutcome passes the outcome on.
func (g *group) RecordOutcome(ctx context.Context, outcome state.RunOutcome) error {
	ctx, cancel := context.WithTimeout(ctx, g.claimTimeout)
	defer cancel()
	return g.upstream.RecordOutcome(ctx, outcome)
}

// ReportDemand adds the report to the relay's own next one.
func (g *group) ReportDemand(daemon string, report feed.DemandReport) {
	g.demand.add(daemon, report, g.clock())
}

// Place leaves the decision to the daemon: a relay passes no questions on.
func (g *group) Place(string, feed.PlaceRequest) (placement.Answer, bool) {
	return placement.Answer{}, false
}

// NotePlaced implements feed.Group.
func (g *group) NotePlaced(string, feed.PlaceNote) {}

// NoteKept implements feed.Group.
func (g *group) NoteKept(feed.KeptParts) {}

// NoteInFlight implements feed.Group.
func (g *group) NoteInFlight(string, feed.InFlight) {}

// NoteEnds passes the word on.
func (g *group) NoteEnds(report feed.EndReport) { g.upstream.ReportEnds(report) }

// Unrecorded tells nothing: a relay follows leaders alone, and has the record.
func (g *group) Unrecorded() (feed.EndReport, uint64) { return feed.EndReport{}, 0 }

// NoteUsage passes the word on.
func (g *group) NoteUsage(report feed.UsageReport) { g.upstream.ReportUsage(report) }

// Charge passes the charge on: a relay keeps no quotas.
func (g *group) Charge(request feed.ChargeRequest) (quota.Grant, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), chargeTimeout)
	defer cancel()
	grant, err := g.upstream.Charge(ctx, request)
	return grant, err == nil
}

// chargeTimeout is little less than a daemon waits for the answer to a charge.
const chargeTimeout = 25 * time.Millisecond

// ReturnCharge passes the word on.
func (g *group) ReturnCharge(request feed.ChargeRequest) { g.upstream.ReturnCharge(request) }

// Day says that a relay knows no time of day of its own.
func (g *group) Day() int64 { return 0 }

// ReportPresence passes the word on; one that is lost comes again with a beat.
func (g *group) ReportPresence(presence feed.Presence) { g.upstream.ReportPresence(presence) }
