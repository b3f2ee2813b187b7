package feed

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/request/retry"
)

// Requests for loans of the retry reserves travel in the frames of quota charges, in place of a tenant's
// name as requests for limited replicas do, so that daemons and members that do not know them can run
// together with those that do.
const loanPrefix = "\x00retry\x00"

// BorrowRetry asks the leader for one retry of the common reserve. It returns ErrNotCharged as Charge
// does; no other member lends any.
func (c *Client) BorrowRetry(ctx context.Context, request retry.LoanRequest) (retry.LoanReply, error) {
	grant, err := c.Charge(ctx, ChargeRequest{Loan: &request, Cost: 1})
	return loanReply(grant), err
}

// ReturnRetry returns a loan that was not used up. It returns false if the message was dropped; the loan
// then ends with its window.
func (c *Client) ReturnRetry(request retry.LoanRequest) bool {
	return c.RefundCharge(ChargeRequest{Loan: &request})
}

// LoanGrant and loanReply convert a reply to and from the form in which it is sent.
func LoanGrant(reply retry.LoanReply) quota.Grant {
	return quota.Grant{Granted: reply.Granted, Left: float64(reply.Loan), Wait: reply.Wait}
}

func loanReply(grant quota.Grant) retry.LoanReply {
	return retry.LoanReply{Granted: grant.Granted, Loan: uint64(grant.Left), Wait: grant.Wait}
}

// encodeLoanTenant encodes a request in place of a tenant's name.
func encodeLoanTenant(request *retry.LoanRequest) string {
	encoder := frame.NewEncoder(nil)
	encoder.String(request.Service)
	encoder.Float64(request.Reserve)
	encoder.Int64(int64(request.Window))
	encoder.Uint64(request.Loan)
	return loanPrefix + string(encoder.Data())
}

// decodeLoanTenant is the reverse of encodeLoanTenant. It returns nil for the name of a tenant.
func decodeLoanTenant(tenant string) (*retry.LoanRequest, error) {
	decoder, found := messageDecoder(tenant, loanPrefix)
	if !found {
		return nil, nil
	}
	request := &retry.LoanRequest{Service: decoder.String(), Reserve: decoder.Float64(), Window: time.Duration(decoder.Int64()), Loan: decoder.Uint64()}
	return request, decoder.Finish()
}
