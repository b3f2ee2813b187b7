package control

import (
	"maps"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/version/api"
)

// partTrials holds the granted trials of prompt parts. The leader grants the trial of a part to the first proxy that
// has a request to try it: where a part is rare, a proxy that is named beforehand may have none for many turns, in
// which all requests with the part are refused.
//
// Invariant: in one term at most one proxy has the trial of a part within a turn, and within partTrialLease, unless
// the proxy that had it returned it.
type partTrials map[parts.Key]grantedTrial

// grantedTrial is a trial and when it was granted.
type grantedTrial struct {
	parts.TrialClaim
	at time.Duration
}

// partTrialLease is how long the outcome of a granted trial is awaited. It covers the time until a replica has read
// the prompt and begins to answer.
const partTrialLease = 3 * time.Second

// claim grants the trial if no other proxy has it in this turn of the recorded part, and the outcome of no earlier
// trial is awaited. A claim may be repeated. The entry is nil if the part is not on record.
func (t partTrials) claim(claim parts.TrialClaim, entry *api.Quarantine, now time.Duration) bool {
	if entry == nil || entry.Spec.State != api.QuarantinePartTried || entry.Spec.Until != claim.TurnEnd {
		return false
	}
	granted, found := t[claim.Part]
	if found && granted.TrialClaim == claim {
		return true
	}
	if found && (granted.TurnEnd == claim.TurnEnd || now-granted.at < partTrialLease) {
		return false
	}
	t[claim.Part] = grantedTrial{TrialClaim: claim, at: now}
	return true
}

// giveBack ends a trial that has shown nothing, so that another request can have it in the same turn.
func (t partTrials) giveBack(claim parts.TrialClaim) {
	if t[claim.Part].TrialClaim == claim {
		delete(t, claim.Part)
	}
}

// retain drops the trials of parts that are not on record any more.
func (t partTrials) retain(recorded map[string]*api.Quarantine) {
	maps.DeleteFunc(t, func(part parts.Key, _ grantedTrial) bool { return recorded[part.String()] == nil })
}

// claimPartTrial decides about a claim at the leader. It returns false at a member that does not lead.
func (g *group) claimPartTrial(claim parts.TrialClaim) (quota.Grant, bool) {
	if !g.Leadership().Leads {
		return quota.Grant{}, false
	}
	entry := g.machine.view().Quarantines[claim.Part.String()]
	return quota.Grant{Granted: g.evidence.tracker.claimPartTrial(claim, entry, monotonic())}, true
}

// claimPartTrial is partTrials.claim.
func (d *quarantineTracker) claimPartTrial(claim parts.TrialClaim, entry *api.Quarantine, now time.Duration) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.partTrials.claim(claim, entry, now)
}

// returnPartTrial is partTrials.giveBack.
func (d *quarantineTracker) returnPartTrial(claim parts.TrialClaim) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.partTrials.giveBack(claim)
}
