package feed

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

// relayTimeout is how long an answer of the leader is waited for on behalf of
// another daemon, which waits little longer itself.
const relayTimeout = 25 * time.Millisecond

// PlacementRelay is the Group of a Server that a daemon runs for others of its
// kind: one that is cut off from all members, but not from this daemon, has its
// requests placed by the leader through it. Nothing else is served.
//
// It stands by only while the leader serves its own client, and passes nothing
// on that was passed on to it, so that no question goes in circles.
type PlacementRelay struct {
	client *Client
	views  Views
}

var _ Group = (*PlacementRelay)(nil)

// NewPlacementRelay returns the Group of a daemon with the client and views.
func NewPlacementRelay(client *Client, views Views) *PlacementRelay {
	return &PlacementRelay{client: client, views: views}
}

// Place passes the question on to the leader.
func (r *PlacementRelay) Place(daemon string, request PlaceRequest) (placement.Answer, bool) {
	if request.Origin != "" {
		return placement.Answer{}, false
	}
	request.Origin = daemon
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	answer, err := r.client.Place(ctx, request)
	return answer, err == nil
}

// NotePlaced passes the word on to the leader.
func (r *PlacementRelay) NotePlaced(daemon string, note PlaceNote) {
	if note.Origin != "" {
		return
	}
	note.Origin = daemon
	r.client.NotePlaced(note)
}

// NoteEnds passes the word on to the leader: a daemon that is cut off from the members has
// nobody else to tell.
func (r *PlacementRelay) NoteEnds(report EndReport) { reportEnds(r.client.session.Load(), report) }

// Unrecorded tells nothing: this daemon keeps no evidence for others.
func (r *PlacementRelay) Unrecorded() (EndReport, uint64) { return EndReport{}, 0 }

// NoteUsage passes the word on to the leader.
func (r *PlacementRelay) NoteUsage(report UsageReport) { r.client.ReportUsage(report) }

// Charge passes the charge on to the leader.
func (r *PlacementRelay) Charge(request ChargeRequest) (quota.Grant, bool) {
	if request.Passed {
		return quota.Grant{}, false
	}
	request.Passed = true
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	grant, err := r.client.Charge(ctx, request)
	return grant, err == nil
}

// ReturnCharge passes the word on to the leader.
func (r *PlacementRelay) ReturnCharge(request ChargeRequest) {
	if request.Passed {
		return
	}
	request.Passed = true
	r.client.ReturnCharge(request)
}

// Day says that this daemon tells nobody the time of day.
func (r *PlacementRelay) Day() int64 { return 0 }

// Version is that of the views while the leader serves the client, and zero
// otherwise: then this daemon has nobody to pass anything on to.
func (r *PlacementRelay) Version() view.Version {
	if !r.client.Connected() {
		return view.Version{}
	}
	return r.views.Load().Version
}

// View returns this daemon's own view.
func (r *PlacementRelay) View() *view.View { return r.views.Load() }

// Listed returns the replica of the name, where this daemon follows it or was told of it.
func (r *PlacementRelay) Listed(name string) *api.Replica {
	if listed := r.views.Load().Replicas[name]; listed != nil {
		return listed
	}
	return r.client.Listed(name)
}

// Leadership says that this daemon does not lead.
func (r *PlacementRelay) Leadership() Leadership { return Leadership{} }

// Lease says that there is no lease here.
func (r *PlacementRelay) Lease(context.Context) (term uint64, valid bool) { return 0, false }

// DeltaSince sends nothing.
func (r *PlacementRelay) DeltaSince(view.Version) (view.Delta, bool) { return view.Delta{}, false }

// Claim refuses: nothing was proposed.
func (r *PlacementRelay) Claim(context.Context, state.ClaimRequest) (api.ClaimResult, error) {
	return api.ClaimResult{}, ErrNoQuorum
}

// RecordOutcome refuses: nothing was proposed.
func (r *PlacementRelay) RecordOutcome(context.Context, state.RunOutcome) error { return ErrNoQuorum }

// ReportDemand drops the report.
func (r *PlacementRelay) ReportDemand(string, DemandReport) {}

// ReportPresence drops the word: a daemon that members do not hear is not to be
// named to callers.
func (r *PlacementRelay) ReportPresence(Presence) {}

// NoteKept drops the word.
func (r *PlacementRelay) NoteKept(KeptParts) {}

// NoteInFlight drops the word: the leader has placed what went through here.
func (r *PlacementRelay) NoteInFlight(string, InFlight) {}
