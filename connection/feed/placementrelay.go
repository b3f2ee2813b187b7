package feed

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

// relayTimeout is how long a relay waits for the leader's answer on behalf of another daemon. It
// must be shorter than the 30 ms for which a proxy itself waits for a placement or charge.
const relayTimeout = 25 * time.Millisecond

// PlacementRelay is the Group of a Server that a daemon runs for other daemons that can't reach a
// member. It forwards their placements, progress reports, charges, refunds, crash reports and usage
// reports to the leader, and serves or forwards nothing else.
//
// It serves only while a leader serves its own client. To avoid forwarding loops, it refuses
// placements, progress reports, charges and refunds that were already relayed. Crash and usage
// reports need no such check, since they are sent to the leader only.
type PlacementRelay struct {
	client *Client
	views  Views
}

var _ Group = (*PlacementRelay)(nil)

// NewPlacementRelay returns the Group of a daemon with the given client and views.
func NewPlacementRelay(client *Client, views Views) *PlacementRelay {
	return &PlacementRelay{client: client, views: views}
}

// Place forwards the request to the leader. It returns false if the request was already relayed, or
// if the leader does not answer within relayTimeout.
func (r *PlacementRelay) Place(key string, request PlaceRequest) (placement.Answer, bool) {
	if request.Origin != "" {
		return placement.Answer{}, false
	}
	request.Origin = key
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	answer, err := r.client.Place(ctx, request)
	return answer, err == nil
}

// RecordProgress forwards the report to the leader.
func (r *PlacementRelay) RecordProgress(key string, progress PlacementProgress) {
	if progress.Origin != "" {
		return
	}
	progress.Origin = key
	r.client.RecordProgress(progress)
}

// RecordCrashes forwards the report to the leader: a daemon that is cut off from the members has no
// other way to send it.
func (r *PlacementRelay) RecordCrashes(report CrashReport) {
	sendCrashReport(r.client.session.Load(), report)
}

// UnrecordedCrashes returns nothing: only members collect crashes for other daemons.
func (r *PlacementRelay) UnrecordedCrashes() (CrashReport, uint64) { return CrashReport{}, 0 }

// RecordUsage forwards the report to the leader.
func (r *PlacementRelay) RecordUsage(report UsageReport) { r.client.ReportUsage(report) }

// Charge forwards the charge to the leader. It returns false if the charge was already relayed, or
// if the leader does not answer within relayTimeout.
func (r *PlacementRelay) Charge(request ChargeRequest) (quota.Grant, bool) {
	if request.Forwarded {
		return quota.Grant{}, false
	}
	request.Forwarded = true
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	grant, err := r.client.Charge(ctx, request)
	return grant, err == nil
}

// RefundCharge forwards the refund to the leader.
func (r *PlacementRelay) RefundCharge(request ChargeRequest) {
	if request.Forwarded {
		return
	}
	request.Forwarded = true
	r.client.RefundCharge(request)
}

// ChargeLimit forwards the request to the leader, as Charge does.
func (r *PlacementRelay) ChargeLimit(request ratelimit.Request, forwarded bool) (ratelimit.Reply, bool) {
	grant, decided := r.Charge(ChargeRequest{Limit: &request, Cost: 1, Forwarded: forwarded})
	return limitReply(grant), decided
}

// RecordLimit forwards the report to the leader.
func (r *PlacementRelay) RecordLimit(request ratelimit.Request, forwarded bool) {
	r.RefundCharge(ChargeRequest{Limit: &request, Forwarded: forwarded})
}

// AnnouncedLimits returns nothing: daemons learn limits here only from the answers to their charges.
func (r *PlacementRelay) AnnouncedLimits(uint64) ([]ratelimit.NamedReport, uint64) { return nil, 0 }

// WallClock returns 0, since a relay does not distribute the group's wall-clock time.
func (r *PlacementRelay) WallClock() int64 { return 0 }

// Version returns the version of the views while a leader serves the client, and zero otherwise,
// since this daemon can't forward anything then.
func (r *PlacementRelay) Version() view.Version {
	if !r.client.Connected() {
		return view.Version{}
	}
	return r.views.Load().Version
}

// View returns this daemon's own view.
func (r *PlacementRelay) View() *view.View { return r.views.Load() }

// ReplicaByName returns the replica with the name if this daemon follows it or has received it with
// an answer.
func (r *PlacementRelay) ReplicaByName(name string) *api.Replica {
	if listed := r.views.Load().Replicas[name]; listed != nil {
		return listed
	}
	return r.client.ReplicaByName(name)
}

// Leadership reports that this daemon does not lead.
func (r *PlacementRelay) Leadership() Leadership { return Leadership{} }

// Lease reports that there is no leader lease.
func (r *PlacementRelay) Lease(context.Context) (term uint64, valid bool) { return 0, false }

// DeltaSince returns no delta.
func (r *PlacementRelay) DeltaSince(view.Version) (view.Delta, bool) { return view.Delta{}, false }

// Claim refuses the claim; nothing was proposed.
func (r *PlacementRelay) Claim(context.Context, state.ClaimRequest) (api.ClaimResult, error) {
	return api.ClaimResult{}, ErrNoQuorum
}

// RecordOutcome refuses the outcome; nothing was proposed.
func (r *PlacementRelay) RecordOutcome(context.Context, state.RunOutcome) error { return ErrNoQuorum }

// ReportDemand drops the report.
func (r *PlacementRelay) ReportDemand(string, DemandReport) {}

// ReportPresence drops the report: a daemon that the members can't reach must not be listed for
// callers.
func (r *PlacementRelay) ReportPresence(Presence) {}

// RecordCachedParts drops the report.
func (r *PlacementRelay) RecordCachedParts(CachedParts) {}

// RecordInFlight drops the report: the leader itself has placed the requests relayed here.
func (r *PlacementRelay) RecordInFlight(string, InFlight) {}
