package feed

import (
	"context"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
)

// Claims for trials of prompt parts travel as charges of a tenant of no possible name (trialPrefix), so
// that daemons and members that do not know them can run together with others: those know no such tenant
// and decline.
const trialPrefix = "\x00trial\x00"

// ClaimPartTrial asks the leader for the trial of a prompt part. It returns ErrNotCharged as Charge does, and if
// the member is not the leader or knows no such claims.
func (c *Client) ClaimPartTrial(ctx context.Context, claim parts.TrialClaim) (granted bool, err error) {
	grant, err := c.Charge(ctx, ChargeRequest{Trial: &claim})
	return grant.Granted, err
}

// ReturnPartTrial returns a granted trial that has shown nothing, so that another request can have it in the same
// turn. It returns false if the message was dropped.
func (c *Client) ReturnPartTrial(claim parts.TrialClaim) bool {
	return c.RefundCharge(ChargeRequest{Trial: &claim})
}

// encodeTrialTenant encodes a claim in place of a tenant's name.
func encodeTrialTenant(claim *parts.TrialClaim) string {
	encoder := frame.NewEncoder(nil)
	encoder.String(string(claim.Part[:]))
	encoder.Int64(claim.TurnEnd)
	encoder.String(claim.Proxy)
	return trialPrefix + string(encoder.Data())
}

// decodeTrialTenant is the reverse of encodeTrialTenant. It returns nil for the name of a tenant.
func decodeTrialTenant(tenant string) (*parts.TrialClaim, error) {
	decoder, found := messageDecoder(tenant, trialPrefix)
	if !found {
		return nil, nil
	}
	claim := &parts.TrialClaim{Part: decodeFingerprint(decoder), TurnEnd: decoder.Int64(), Proxy: decoder.String()}
	return claim, decoder.Finish()
}
