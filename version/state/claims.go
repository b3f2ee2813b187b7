package state

import (
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// claimKey names a claim: keys of different tenants do not meet.
type claimKey struct {
	tenant string
	key    string
}

// claimRecord is a claim with the claimant's nonce. It is immutable.
type claimRecord struct {
	api.Claim
	nonce uint64
}

// claim grants the run of a request to at most one claimant at a time.
//
// Invariant: between the grant of a key and its expiry, another claimant is
// granted the key only after the first one recorded that its request was surely
// not run. A claimant must not dispatch after it has recorded that, and must
// draw a new nonce to claim again: the same nonce is then answered with the
// recorded outcome, so a delayed duplicate of its claim takes nothing.
//
// The same claim (nonce, proxy, attempt) is granted again while no outcome is
// recorded, because the first grant may have been lost on its way. That is safe
// since the claimant is one request of one process, which alone knows whether
// it has dispatched; a restarted process draws another nonce.
func (m *Machine) claim(request *ClaimRequest) api.ClaimResult {
	key := claimKey{tenant: request.Tenant, key: request.Key}
	e := m.claims.get(key, m.clock)
	if e == nil {
		return m.grant(key, request)
	}
	held := e.value
	switch {
	case held.Outcome == api.RunNotRun && held.nonce != request.Nonce:
		return m.grant(key, request)
	case held.Outcome == api.RunNotRun:
		return api.ClaimResult{Code: api.ClaimDone, Claim: held.Claim}
	case held.BodyHash != request.BodyHash:
		return refuseClaim(held)
	case held.Outcome != api.RunUnknown:
		return api.ClaimResult{Code: api.ClaimDone, Claim: held.Claim}
	case held.nonce == request.Nonce && held.Proxy == request.Proxy && held.Attempt == request.Attempt:
		return api.ClaimResult{Code: api.ClaimGranted, Claim: held.Claim}
	}
	return api.ClaimResult{Code: api.ClaimRunning, Claim: held.Claim}
}

func (m *Machine) grant(key claimKey, request *ClaimRequest) api.ClaimResult {
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
		expires:  expiry(m.clock, request.Retention),
		value:    record,
	})
	return api.ClaimResult{Code: api.ClaimGranted, Claim: record.Claim}
}

// giveUpClaim remembers that the claim with the nonce must not be granted.
func (m *Machine) giveUpClaim(key claimKey, nonce uint64) {
	record := &claimRecord{
		Claim: api.Claim{Tenant: key.tenant, Key: key.key, Outcome: api.RunNotRun, GrantedAt: m.clock, Revision: m.index},
		nonce: nonce,
	}
	m.claims.add(key, &entry[*claimRecord]{
		revision: m.index,
		expires:  expiry(m.clock, lateClaimRetention),
		value:    record,
	})
}

// refuseClaim answers a claim with another body. The recorded answer belongs to
// the other request and is left out.
func refuseClaim(held *claimRecord) api.ClaimResult {
	claim := held.Claim
	claim.Answer = nil
	return api.ClaimResult{Code: api.ClaimConflict, Claim: claim}
}

// lateClaimRetention is how long, in milliseconds, a claim that was given up
// before it arrived is remembered.
const lateClaimRetention = int64(time.Hour / time.Millisecond)

// recordOutcome records what became of a granted run. Only the claimant may,
// and only once: a recorded outcome is final. A claimant that never learned
// whether it was granted may record that it will not run; if its claim is not
// there yet, the record keeps the claim from being granted when it arrives late,
// which would block the key until its retention ends.
func (m *Machine) recordOutcome(outcome *RunOutcome) {
	key := claimKey{tenant: outcome.Tenant, key: outcome.Key}
	e := m.claims.get(key, m.clock)
	if outcome.Outcome == api.RunNotRun && (e == nil || e.value.Outcome == api.RunNotRun) {
		m.giveUpClaim(key, outcome.Nonce)
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
