package state

import (
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// claimKey identifies a claim. Keys are scoped to a tenant.
type claimKey struct {
	tenant string
	key    string
}

// claimRecord is a claim with the nonce of the claimant's request. It is immutable.
type claimRecord struct {
	api.Claim
	nonce uint64
}

// claim grants the right to run the request of a key to at most one claimant at a time.
//
// Invariant: between the grant of a key and its expiry, another claimant is
// granted the key only after the first one recorded that its request was
// definitely not run. A claimant must not dispatch the request after recording
// that, and must use a new nonce to claim again: a claim with the same nonce gets
// the recorded outcome, so a delayed duplicate is not granted.
//
// The same claim (nonce, proxy, attempt) is granted again while no outcome is
// recorded, because the first response may have been lost. This is safe: a
// claimant is one request of one process, only that process knows whether it has
// dispatched the request, and a restarted process uses another nonce.
func (m *Machine) claim(request *ClaimRequest) api.ClaimResult {
	key := claimKey{tenant: request.Tenant, key: request.Key}
	e := m.claims.get(key, m.clock)
	if e == nil {
		return m.grantClaim(key, request)
	}
	stored := e.value
	switch {
	case stored.Outcome == api.RunNotRun && stored.nonce != request.Nonce:
		return m.grantClaim(key, request)
	case stored.Outcome == api.RunNotRun:
		return api.ClaimResult{Code: api.ClaimDone, Claim: stored.Claim}
	case stored.BodyHash != request.BodyHash:
		return conflictResult(stored)
	case stored.Outcome != api.RunUnknown:
		return api.ClaimResult{Code: api.ClaimDone, Claim: stored.Claim}
	case stored.nonce == request.Nonce && stored.Proxy == request.Proxy && stored.Attempt == request.Attempt:
		return api.ClaimResult{Code: api.ClaimGranted, Claim: stored.Claim}
	}
	return api.ClaimResult{Code: api.ClaimRunning, Claim: stored.Claim}
}

func (m *Machine) grantClaim(key claimKey, request *ClaimRequest) api.ClaimResult {
	record := &claimRecord{
		Claim: api.Claim{
			Tenant:    request.Tenant,
			Key:       request.Key,
			BodyHash:  request.BodyHash,
			Attempt:   request.Attempt,
			Proxy:     request.Proxy,
			Outcome:   api.RunUnknown,
			GrantedAt: m.clock,
			Revision:  m.index,
		},
		nonce: request.Nonce,
	}
	m.claims.add(key, &entry[*claimRecord]{
		revision: m.index,
		expires:  expiryTime(m.clock, request.Retention),
		value:    record,
	})
	return api.ClaimResult{Code: api.ClaimGranted, Claim: record.Claim}
}

// recordAbandonedClaim records that a claim with the nonce must not be granted, because
// the claimant recorded RunNotRun before the claim arrived.
func (m *Machine) recordAbandonedClaim(key claimKey, nonce uint64) {
	record := &claimRecord{
		Claim: api.Claim{Tenant: key.tenant, Key: key.key, Outcome: api.RunNotRun, GrantedAt: m.clock, Revision: m.index},
		nonce: nonce,
	}
	m.claims.add(key, &entry[*claimRecord]{
		revision: m.index,
		expires:  expiryTime(m.clock, abandonedClaimRetention),
		value:    record,
	})
}

// conflictResult returns the result for a claim whose body differs from that of the
// stored claim. The stored answer belongs to the other request and is left out.
func conflictResult(stored *claimRecord) api.ClaimResult {
	claim := stored.Claim
	claim.Answer = nil
	return api.ClaimResult{Code: api.ClaimConflict, Claim: claim}
}

// abandonedClaimRetention is the retention, in milliseconds, of a record of
// recordAbandonedClaim.
const abandonedClaimRetention = int64(time.Hour / time.Millisecond)

// recordOutcome records the outcome of a granted run. Only the claimant can record
// it, and a recorded outcome is final. A claimant that does not know whether its
// claim was granted may record RunNotRun. If its claim has not arrived yet, the
// record prevents the claim from being granted when it arrives late, which would
// block the key until the retention ends. Other outcomes that cannot be recorded are
// ignored, and the claimant is not told.
func (m *Machine) recordOutcome(outcome *RunOutcome) {
	key := claimKey{tenant: outcome.Tenant, key: outcome.Key}
	e := m.claims.get(key, m.clock)
	if outcome.Outcome == api.RunNotRun && (e == nil || e.value.Outcome == api.RunNotRun) {
		m.recordAbandonedClaim(key, outcome.Nonce)
		return
	}
	if e == nil || e.value.nonce != outcome.Nonce || e.value.Outcome != api.RunUnknown {
		return
	}
	if outcome.Outcome != api.RunCompleted && outcome.Outcome != api.RunNotRun {
		return
	}
	record := *e.value
	record.Outcome = outcome.Outcome
	if len(outcome.Answer) <= MaxAnswerBytes {
		record.Answer = outcome.Answer
	}
	m.claims.update(key, &record)
}
