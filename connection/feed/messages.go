package feed

import (
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// Protocol is the preface of every feed connection.
var Protocol = frame.Protocol{ID: 2, Version: 11}

// Kinds of frames. A subscriber sends Subscribe first and once.
const (
	kindSubscribe      frame.Kind = iota + 1 // subscriber: subscribe
	kindDelta                                // server: view.Delta
	kindHeartbeat                            // subscriber: beat
	kindGrant                                // server: grant
	kindNotLeader                            // server: notLeader; the connection ends
	kindClaim                                // subscriber: request ID, state.ClaimRequest
	kindClaimReply                           // server: request ID, replyCode, api.ClaimResult
	kindOutcome                              // subscriber: request ID, state.RunOutcome
	kindOutcomeReply                         // server: request ID, replyCode
	kindDemand                               // subscriber: DemandReport
	kindPresence                             // subscriber: Presence
	kindPlace                                // subscriber: request ID, PlaceRequest
	kindPlaceReply                           // server: request ID, placement.Answer
	kindPlaceNote                            // subscriber: PlaceNote
	kindCachedParts                          // subscriber: KeptParts
	kindStandbyReady                         // server, to a standby subscription: nothing
	kindInFlight                             // subscriber: InFlight
	kindEnds                                 // either side: EndReport
	kindUsage                                // subscriber: UsageReport
	kindCharge                               // subscriber: request ID, ChargeRequest
	kindChargeReply                          // server: request ID, quota.Grant
	kindRefund                               // subscriber: ChargeRequest
	kindSubsetReplicas                       // server, to a partial subscription: ownReplicas
)

// Bounds of payloads in bytes. A server takes only small frames from
// subscribers; a view of ten thousand engines takes some megabytes.
const (
	maxSubscriberPayload = 1 << 20
	maxServerPayload     = 256 << 20
	// maxDemands bounds the entries of one demand report.
	maxDemands = 4096
)

// subscribe opens a subscription from a version on.
type subscribe struct {
	daemon string
	// instance is drawn anew by each client, so that a restarted daemon is not
	// taken for the process before it, whose lease may still run.
	instance uint64
	zone     string
	version  view.Version
	// standby asks for placements alone, of any member that has a view.
	standby bool
	// partial asks for the daemon's own subset of the replicas; shares is which part of them
	// the version holds.
	partial bool
	shares  shares
}

// beat asks for the view lease to be renewed and acknowledges a version. A
// relay holds versions that it does not acknowledge yet.
type heartbeat struct {
	sequence uint64
	acked    view.Version
	held     view.Version
}

// grant renews the view lease: from the moment at which the beat with the
// sequence was sent, for the duration. day is the group's time of day when the
// grant was sent, in milliseconds, 0 where none is known.
type grant struct {
	sequence  uint64
	lease     time.Duration
	term      uint64
	wallClock int64
}

// notLeader sends the subscriber to another member; the address may be empty.
type notLeader struct{ address string }

// Presence is a proxy's word on whether callers are to be sent to it.
type Presence struct {
	// Proxy is the proxy's name; it may reach the leader through a relay.
	Proxy string
	// Address is where callers reach the proxy, IP and port.
	Address string
	Zone    string
	// Ready is false before the proxy can serve and from its planned stop on, Stopping
	// true from that on.
	Ready    bool
	Stopping bool
	// Day is the time of day of the proxy's machine when it spoke, in milliseconds.
	Day int64
}

func encodePresence(message Presence) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.String(message.Proxy)
	encoder.String(message.Address)
	encoder.String(message.Zone)
	encoder.Bool(message.Ready)
	encoder.Bool(message.Stopping)
	encoder.Int64(message.Day)
	return encoder.Data()
}

func decodePresence(data []byte) (Presence, error) {
	decoder := frame.NewDecoder(data)
	message := Presence{Proxy: decoder.String(), Address: decoder.String(), Zone: decoder.String(), Ready: decoder.Bool(), Stopping: decoder.Bool()}
	message.Day = decoder.Int64()
	return message, decoder.Finish()
}

// replyCode says what became of a claim or an outcome at the server.
type replyCode uint8

const (
	replyDone    replyCode = iota + 1 // committed; the result holds
	replyRefused                      // surely not proposed
	replyUnknown                      // proposed, outcome not known
)

type claimReply struct {
	requestID uint64
	code      replyCode
	result    api.ClaimResult
}

type outcomeReply struct {
	requestID uint64
	code      replyCode
}

// Demand is the work that one proxy was offered for one intent and class.
type Demand struct {
	Intent             string
	Class              string
	Requests           float64
	PromptTokens       float64
	CachedPromptTokens float64 // of PromptTokens, found in caches
	OutputTokens       float64
	Refused            float64 // requests refused for lack of capacity
	Late               float64 // requests that missed their deadline
	QueuedRequests     int     // waiting now
	QueuedPromptTokens float64
}

// DemandReport is what one proxy was offered over the window that ends now.
// Reports of consecutive windows add up; none is sent again.
type DemandReport struct {
	Window  time.Duration
	Demands []Demand
}

func encodeSubscribe(message subscribe) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.String(message.daemon)
	encoder.Uint64(message.instance)
	encoder.String(message.zone)
	encodeVersion(encoder, message.version)
	encoder.Bool(message.standby)
	encoder.Bool(message.partial)
	encodeShares(encoder, message.shares)
	return encoder.Data()
}

func decodeSubscribe(data []byte) (subscribe, error) {
	decoder := frame.NewDecoder(data)
	message := subscribe{daemon: decoder.String(), instance: decoder.Uint64(), zone: decoder.String()}
	message.version = decodeVersion(decoder)
	message.standby = decoder.Bool()
	message.partial = decoder.Bool()
	message.shares = decodeShares(decoder)
	return message, decoder.Finish()
}

func encodeVersion(encoder *frame.Encoder, version view.Version) {
	encoder.Uint64(version.Term)
	encoder.Uint64(version.Revision)
}

func decodeVersion(decoder *frame.Decoder) view.Version {
	return view.Version{Term: decoder.Uint64(), Revision: decoder.Uint64()}
}

func encodeHeartbeat(message heartbeat) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(message.sequence)
	encodeVersion(encoder, message.acked)
	encodeVersion(encoder, message.held)
	return encoder.Data()
}

func decodeHeartbeat(data []byte) (heartbeat, error) {
	decoder := frame.NewDecoder(data)
	message := heartbeat{sequence: decoder.Uint64(), acked: decodeVersion(decoder), held: decodeVersion(decoder)}
	if err := decoder.Finish(); err != nil {
		return heartbeat{}, err
	}
	if message.acked.Compare(message.held) > 0 {
		return heartbeat{}, errors.Wrapf(errProtocol, "version %d is acknowledged and not held", message.acked.Revision)
	}
	return message, nil
}

func encodeGrant(message grant) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(message.sequence)
	encoder.Int64(message.lease.Milliseconds())
	encoder.Uint64(message.term)
	encoder.Int64(message.wallClock)
	return encoder.Data()
}

func decodeGrant(data []byte) (grant, error) {
	decoder := frame.NewDecoder(data)
	message := grant{sequence: decoder.Uint64()}
	message.lease = time.Duration(decoder.Int64()) * time.Millisecond
	message.term = decoder.Uint64()
	message.wallClock = decoder.Int64()
	return message, decoder.Finish()
}

func encodeNotLeader(message notLeader) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.String(message.address)
	return encoder.Data()
}

func decodeNotLeader(data []byte) (notLeader, error) {
	decoder := frame.NewDecoder(data)
	message := notLeader{address: decoder.String()}
	return message, decoder.Finish()
}

func encodeClaim(requestID uint64, request state.ClaimRequest) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(requestID)
	encoder.String(request.Tenant)
	encoder.String(request.Key)
	encoder.Uint64(request.BodyHash)
	encoder.Uint32(request.Attempt)
	encoder.String(request.Proxy)
	encoder.Uint64(request.Nonce)
	encoder.Int64(request.Retention)
	return encoder.Data()
}

func decodeClaim(data []byte) (uint64, state.ClaimRequest, error) {
	decoder := frame.NewDecoder(data)
	requestID := decoder.Uint64()
	request := state.ClaimRequest{
		Tenant:    decoder.String(),
		Key:       decoder.String(),
		BodyHash:  decoder.Uint64(),
		Attempt:   decoder.Uint32(),
		Proxy:     decoder.String(),
		Nonce:     decoder.Uint64(),
		Retention: decoder.Int64(),
	}
	return requestID, request, decoder.Finish()
}

func encodeClaimReply(message claimReply) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(message.requestID)
	encoder.Uint8(uint8(message.code))
	encoder.String(string(message.result.Code))
	claim := message.result.Claim
	encoder.String(claim.Tenant)
	encoder.String(claim.Key)
	encoder.Uint64(claim.BodyHash)
	encoder.Uint32(claim.Attempt)
	encoder.String(claim.Proxy)
	encoder.String(string(claim.Outcome))
	encoder.Bytes(claim.Answer)
	encoder.Int64(claim.GrantedAt)
	encoder.Uint64(claim.Revision)
	return encoder.Data()
}

func decodeClaimReply(data []byte) (claimReply, error) {
	decoder := frame.NewDecoder(data)
	message := claimReply{requestID: decoder.Uint64(), code: decodeReplyCode(decoder)}
	message.result.Code = api.ClaimCode(decoder.String())
	message.result.Claim = api.Claim{
		Tenant:    decoder.String(),
		Key:       decoder.String(),
		BodyHash:  decoder.Uint64(),
		Attempt:   decoder.Uint32(),
		Proxy:     decoder.String(),
		Outcome:   api.RunOutcome(decoder.String()),
		Answer:    decoder.Bytes(),
		GrantedAt: decoder.Int64(),
		Revision:  decoder.Uint64(),
	}
	return message, decoder.Finish()
}

func decodeReplyCode(decoder *frame.Decoder) replyCode {
	code := replyCode(decoder.Uint8())
	if code < replyDone || code > replyUnknown {
		decoder.Fail(frame.ErrValue)
	}
	return code
}

func encodeOutcome(requestID uint64, outcome state.RunOutcome) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(requestID)
	encoder.String(outcome.Tenant)
	encoder.String(outcome.Key)
	encoder.Uint64(outcome.Nonce)
	encoder.String(string(outcome.Outcome))
	encoder.Bytes(outcome.Answer)
	return encoder.Data()
}

func decodeOutcome(data []byte) (uint64, state.RunOutcome, error) {
	decoder := frame.NewDecoder(data)
	requestID := decoder.Uint64()
	outcome := state.RunOutcome{
		Tenant:  decoder.String(),
		Key:     decoder.String(),
		Nonce:   decoder.Uint64(),
		Outcome: api.RunOutcome(decoder.String()),
		Answer:  decoder.Bytes(),
	}
	return requestID, outcome, decoder.Finish()
}

func encodeOutcomeReply(message outcomeReply) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(message.requestID)
	encoder.Uint8(uint8(message.code))
	return encoder.Data()
}

func decodeOutcomeReply(data []byte) (outcomeReply, error) {
	decoder := frame.NewDecoder(data)
	message := outcomeReply{requestID: decoder.Uint64(), code: decodeReplyCode(decoder)}
	return message, decoder.Finish()
}

func encodeDemand(report DemandReport) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Int64(int64(report.Window))
	encoder.Uint32(uint32(len(report.Demands)))
	for _, demand := range report.Demands {
		encoder.String(demand.Intent)
		encoder.String(demand.Class)
		encoder.Float64(demand.Requests)
		encoder.Float64(demand.PromptTokens)
		encoder.Float64(demand.CachedPromptTokens)
		encoder.Float64(demand.OutputTokens)
		encoder.Float64(demand.Refused)
		encoder.Float64(demand.Late)
		encoder.Int64(int64(demand.QueuedRequests))
		encoder.Float64(demand.QueuedPromptTokens)
	}
	return encoder.Data()
}

// demandSize is the smallest encoding of one Demand: two lengths and eight numbers.
const demandSize = 2*4 + 8*8

func decodeDemand(data []byte) (DemandReport, error) {
	decoder := frame.NewDecoder(data)
	report := DemandReport{Window: time.Duration(decoder.Int64())}
	count := decoder.Count(demandSize)
	if count > maxDemands {
		decoder.Fail(frame.ErrValue)
	}
	for range count {
		if decoder.Err() != nil {
			break
		}
		report.Demands = append(report.Demands, decodeOneDemand(decoder))
	}
	return report, decoder.Finish()
}

func decodeOneDemand(decoder *frame.Decoder) Demand {
	return Demand{
		Intent:             decoder.String(),
		Class:              decoder.String(),
		Requests:           decoder.Float64(),
		PromptTokens:       decoder.Float64(),
		CachedPromptTokens: decoder.Float64(),
		OutputTokens:       decoder.Float64(),
		Refused:            decoder.Float64(),
		Late:               decoder.Float64(),
		QueuedRequests:     int(decoder.Int64()),
		QueuedPromptTokens: decoder.Float64(),
	}
}
