package feed

import (
	"testing"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/shoenig/test/must"
)

// Guards against a claim for a trial that arrives changed, and against a damaged one that is taken for a tenant.
func TestTrialClaimsTravelInCharges(t *testing.T) {
	claim := parts.TrialClaim{Part: parts.KeyOf("s", "m", "a"), TurnEnd: 1_700_000_000_123, Proxy: "p-1"}
	data := encodeChargeRequest(frame.NewEncoder(nil), ChargeRequest{Trial: &claim, Forwarded: true})
	decoded, err := decodeChargeRequest(frame.NewDecoder(data))
	must.NoError(t, err)
	must.Eq(t, ChargeRequest{Trial: &claim, Forwarded: true}, decoded)
	_, err = decodeChargeRequest(frame.NewDecoder(encodeChargeRequest(frame.NewEncoder(nil), ChargeRequest{Tenant: trialPrefix + "x"})))
	must.Error(t, err)
}
