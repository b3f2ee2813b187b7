package feed

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/pkg/errors"
)

// ChargeRequest asks for a request of a tenant to be charged to its quota.
type ChargeRequest struct {
	Tenant string
	Cost   float64 // in the quota's unit
	// Passed is set where a daemon asks for another one: it is passed on once.
	Passed bool
}

// ErrNotCharged says that nobody who keeps quotas has answered: the daemon decides by what
// it keeps itself.
var ErrNotCharged = errors.New("feed: no member keeps quotas now")

func encodeChargeRequest(encoder *frame.Encoder, request ChargeRequest) []byte {
	encoder.String(request.Tenant)
	encoder.Float64(request.Cost)
	encoder.Bool(request.Passed)
	return encoder.Data()
}

func decodeChargeRequest(decoder *frame.Decoder) (ChargeRequest, error) {
	request := ChargeRequest{Tenant: decoder.String(), Cost: decoder.Float64(), Passed: decoder.Bool()}
	return request, decoder.Finish()
}

func encodeCharge(requestID uint64, request ChargeRequest) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(requestID)
	return encodeChargeRequest(encoder, request)
}

// chargeReply answers a charge; found is false where this member keeps no quotas.
type chargeReply struct {
	requestID uint64
	found     bool
	grant     quota.Grant
}

func encodeChargeReply(message chargeReply) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(message.requestID)
	encoder.Bool(message.found)
	encoder.Bool(message.grant.Granted)
	encoder.Int64(int64(message.grant.Wait))
	encoder.Float64(message.grant.Left)
	return encoder.Data()
}

func decodeChargeReply(data []byte) (chargeReply, error) {
	decoder := frame.NewDecoder(data)
	message := chargeReply{requestID: decoder.Uint64(), found: decoder.Bool()}
	message.grant = quota.Grant{Granted: decoder.Bool(), Wait: time.Duration(decoder.Int64()), Left: decoder.Float64()}
	return message, decoder.Finish()
}

// chargingFor is the session that is asked for a charge: what is passed on for another
// daemon goes to the leader alone.
func (c *Client) chargeSession(request ChargeRequest) *session {
	if request.Passed {
		return c.session.Load()
	}
	return c.placementSession()
}

// Charge charges a request to its tenant's quota at the leader, or at the member that stands
// by without one; ErrNotCharged when none answers before ctx ends. It may be charged then.
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

// ReturnCharge gives back what was charged for a request that no replica has run; false when
// the word was dropped.
func (c *Client) ReturnCharge(request ChargeRequest) bool {
	current := c.chargeSession(request)
	if current == nil {
		return false
	}
	payload := encodeChargeRequest(frame.NewEncoder(nil), request)
	return current.enqueue(&outgoing{kind: kindRefund, payload: payload})
}

// receiveCharge answers a charge beside the reader.
func (s *subscriber) receiveCharge(payload []byte) error {
	decoder := frame.NewDecoder(payload)
	requestID := decoder.Uint64()
	request, err := decodeChargeRequest(decoder)
	if err != nil {
		return err
	}
	select {
	case s.slots <- struct{}{}:
	default:
		return nil // too much is under way; the daemon decides by itself
	}
	s.calls.Go(func() { s.answerCharge(requestID, request) }) // who passes it on waits for the leader
	return nil
}

func (s *subscriber) answerCharge(requestID uint64, request ChargeRequest) {
	reply := chargeReply{requestID: requestID}
	if s.standby || s.server.config.Group.Leadership().Leads {
		reply.grant, reply.found = s.server.config.Group.Charge(request)
	}
	s.enqueueResponse(kindChargeReply, encodeChargeReply(reply))
}

func (s *subscriber) receiveRefund(payload []byte) error {
	request, err := decodeChargeRequest(frame.NewDecoder(payload))
	if err != nil {
		return err
	}
	s.server.config.Group.ReturnCharge(request)
	return nil
}
