package feed

import (
	"context"
	"strings"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/request/resume"
	"github.com/landingtrail/landingtrail/request/retry"
	"github.com/pkg/errors"
)

// ChargeRequest asks to charge a tenant's request to the tenant's quota.
type ChargeRequest struct {
	Tenant string
	// Limit asks for permission to send a request to a limited replica instead; Tenant is empty then.
	Limit *ratelimit.Request
	// Loan asks for a loan of the retry reserve, or returns one, instead; Tenant is empty then.
	Loan *retry.LoanRequest
	// Streams reports streams, or asks for the version of one, instead; Tenant is empty then.
	Streams *resume.Report
	// Parts reports observations of prompt parts instead; Tenant is empty then.
	Parts *parts.Report
	// Trial asks for the trial of a prompt part, or returns it, instead; Tenant is empty then.
	Trial *parts.TrialClaim
	Cost  float64 // in the unit of the tenant's quota
	// Forwarded marks a request that a daemon forwards for another one; it is forwarded at most
	// once.
	Forwarded bool
}

// ErrNotCharged says that no quota-keeping member answered, although the charge may have been made.
// The daemon then decides by its local state.
var ErrNotCharged = errors.New("feed: no member with quotas answered")

func encodeChargeRequest(encoder *frame.Encoder, request ChargeRequest) []byte {
	tenant := request.Tenant
	switch {
	case request.Limit != nil:
		tenant = encodeLimitTenant(request.Limit)
	case request.Loan != nil:
		tenant = encodeLoanTenant(request.Loan)
	case request.Streams != nil:
		tenant = encodeStreamsTenant(request.Streams)
	case request.Parts != nil:
		tenant = encodePartsTenant(request.Parts)
	case request.Trial != nil:
		tenant = encodeTrialTenant(request.Trial)
	}
	encoder.String(tenant)
	encoder.Float64(request.Cost)
	encoder.Bool(request.Forwarded)
	return encoder.Data()
}

func decodeChargeRequest(decoder *frame.Decoder) (ChargeRequest, error) {
	request := ChargeRequest{Tenant: decoder.String(), Cost: decoder.Float64(), Forwarded: decoder.Bool()}
	if err := decoder.Finish(); err != nil {
		return request, err
	}
	return request, request.decodeMessage()
}

// decodeMessage decodes what travels in place of a tenant's name, if anything does.
func (r *ChargeRequest) decodeMessage() (err error) {
	name := r.Tenant
	switch {
	case strings.HasPrefix(name, limitPrefix):
		r.Limit, err = decodeLimitTenant(name)
	case strings.HasPrefix(name, loanPrefix):
		r.Loan, err = decodeLoanTenant(name)
	case strings.HasPrefix(name, streamPrefix):
		r.Streams, err = decodeStreamsTenant(name)
	case strings.HasPrefix(name, partsPrefix):
		r.Parts, err = decodePartsTenant(name)
	case strings.HasPrefix(name, trialPrefix):
		r.Trial, err = decodeTrialTenant(name)
	default:
		return nil
	}
	r.Tenant = ""
	return err
}

// messageDecoder returns a decoder of the message that travels in place of a tenant's name. found is false if it is a
// message of another kind, or a name.
func messageDecoder(tenant, prefix string) (decoder *frame.Decoder, found bool) {
	encoded, found := strings.CutPrefix(tenant, prefix)
	return frame.NewDecoder([]byte(encoded)), found
}

func encodeCharge(requestID uint64, request ChargeRequest) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(requestID)
	return encodeChargeRequest(encoder, request)
}

// chargeReply answers a charge; decided is false if this member keeps no quotas.
type chargeReply struct {
	requestID uint64
	decided   bool
	grant     quota.Grant
}

func encodeChargeReply(message chargeReply) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(message.requestID)
	encoder.Bool(message.decided)
	encoder.Bool(message.grant.Granted)
	encoder.Int64(int64(message.grant.Wait))
	encoder.Float64(message.grant.Left)
	return encoder.Data()
}

func decodeChargeReply(data []byte) (chargeReply, error) {
	decoder := frame.NewDecoder(data)
	message := chargeReply{requestID: decoder.Uint64(), decided: decoder.Bool()}
	message.grant = quota.Grant{Granted: decoder.Bool(), Wait: time.Duration(decoder.Int64()), Left: decoder.Float64()}
	return message, decoder.Finish()
}

// chargeSession returns the session to send a charge on. Charges forwarded for another daemon go
// to the leader only.
func (c *Client) chargeSession(request ChargeRequest) *session {
	if request.Forwarded {
		return c.session.Load()
	}
	return c.placementSession()
}

// Charge charges a request to its tenant's quota at the leader, or at a standby member if no
// leader is available. It returns ErrNotCharged if there is no session, the send queue is full, the
// member keeps no quotas, or the connection or ctx ends before the answer. In the last case the
// request may have been charged.
func (c *Client) Charge(ctx context.Context, request ChargeRequest) (quota.Grant, error) {
	current := c.chargeSession(request)
	if current == nil {
		return quota.Grant{}, ErrNotCharged
	}
	answer, ok := current.ask(ctx, kindCharge, func(id uint64) []byte { return encodeCharge(id, request) })
	if !ok {
		return quota.Grant{}, ErrNotCharged
	}
	return answer.grant, nil
}

// RefundCharge refunds the charge of a request that no replica has run. It returns false if the
// message was dropped.
func (c *Client) RefundCharge(request ChargeRequest) bool {
	current := c.chargeSession(request)
	if current == nil {
		return false
	}
	payload := encodeChargeRequest(frame.NewEncoder(nil), request)
	return current.enqueue(&outgoing{kind: kindRefund, payload: payload})
}

// receiveCharge answers a charge on a separate goroutine.
func (s *subscriber) receiveCharge(payload []byte) error {
	decoder := frame.NewDecoder(payload)
	requestID := decoder.Uint64()
	request, err := decodeChargeRequest(decoder)
	if err != nil {
		return err
	}
	select {
	case s.callSlots <- struct{}{}:
	default:
		return nil // too many calls in progress; the daemon decides locally
	}
	s.calls.Go(func() { s.answerCharge(requestID, request) }) // a forwarding daemon waits for the leader
	return nil
}

func (s *subscriber) answerCharge(requestID uint64, request ChargeRequest) {
	reply := chargeReply{requestID: requestID}
	if s.standby || s.server.config.Group.Leadership().Leads {
		if request.Limit != nil {
			var answer ratelimit.Reply
			answer, reply.decided = s.server.config.Group.ChargeLimit(*request.Limit, request.Forwarded)
			reply.grant = limitGrant(answer)
		} else {
			reply.grant, reply.decided = s.server.config.Group.Charge(request)
		}
	}
	s.enqueueResponse(kindChargeReply, encodeChargeReply(reply))
}

func (s *subscriber) receiveRefund(payload []byte) error {
	request, err := decodeChargeRequest(frame.NewDecoder(payload))
	if err != nil {
		return err
	}
	if request.Limit == nil {
		s.server.config.Group.RefundCharge(request)
		return nil
	}
	if request.Limit.Replica == "" {
		s.receiveLimitsSubscription(request.Limit)
		return nil
	}
	s.server.config.Group.RecordLimit(*request.Limit, request.Forwarded)
	return nil
}
