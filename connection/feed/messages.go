package feed

import (
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// Protocol identifies the feed protocol in the preface of every connection. Peers with a different
// version don't communicate, so any change to an encoding in this package raises the version.
var Protocol = frame.Protocol{ID: 2, Version: 11}

// Frame kinds, with the sender and the payload. A subscriber sends kindSubscribe first and only
// once.
const (
	kindSubscribe         frame.Kind = iota + 1 // subscriber: subscribe
	kindDelta                                   // server: view.Delta
	kindHeartbeat                               // subscriber: heartbeat
	kindLeaseGrant                              // server: leaseGrant
	kindNotLeader                               // server: notLeader; the connection ends
	kindClaim                                   // subscriber: request ID, state.ClaimRequest
	kindClaimReply                              // server: request ID, replyCode, api.ClaimResult
	kindOutcome                                 // subscriber: request ID, state.RunOutcome
	kindOutcomeReply                            // server: request ID, replyCode
	kindDemand                                  // subscriber: DemandReport
	kindPresence                                // subscriber: Presence
	kindPlace                                   // subscriber: request ID, PlaceRequest
	kindPlaceReply                              // server: request ID, decided, placement.Answer, replicas
	kindPlacementProgress                       // subscriber: PlacementProgress
	kindCachedParts                             // subscriber: CachedParts
	kindStandbyReady                            // server, to a standby subscription: empty
	kindInFlight                                // subscriber: InFlight
	kindCrashes                                 // either side: CrashReport
	kindUsage                                   // subscriber: UsageReport
	kindCharge                                  // subscriber: request ID, ChargeRequest
	kindChargeReply                             // server: request ID, decided, quota.Grant
	kindRefund                                  // subscriber: ChargeRequest; also for reports of limits
	kindSubsetReplicas                          // server, to a partial subscription: subsetReplicas
	kindLimits                                  // server, to daemons that read them: announced limits of replicas
)

const (
	// maxSubscriberPayload and maxServerPayload limit payloads in bytes by their sender.
	// Subscribers send only small frames; a view of ten thousand replicas takes several megabytes.
	maxSubscriberPayload = 1 << 20
	maxServerPayload     = 256 << 20
	// maxDemands limits the entries of one demand report. The server ends a connection that sends
	// a longer one.
	maxDemands = 4096
)

// subscribe starts a subscription from a version.
type subscribe struct {
	daemon string
	// instance is random for each client, so that a restarted daemon is not mistaken for its
	// previous process, whose lease may still be valid.
	instance uint64
	zone     string
	version  view.Version
	// standby requests a standby subscription, which any member with a view accepts.
	standby bool
	// partial requests only the daemon's own subset of the replicas; shares is the subset that the
	// held version contains.
	partial bool
	shares  shares
}

// heartbeat requests a renewal of the view lease and acknowledges a version. With sequence 0 it
// only acknowledges. A daemon whose views are an Acknowledger, such as a relay, may hold versions
// that it has not acknowledged yet.
type heartbeat struct {
	sequence uint64
	acked    view.Version
	held     view.Version
}

// leaseGrant renews the view lease for the duration, counted from when the heartbeat with the
// sequence was sent; with sequence 0 it renews nothing. term is the leader's term. wallClock is the
// group's wall-clock time in Unix milliseconds when the grant was sent, 0 if unknown. The lease is
// sent in whole milliseconds, other durations of the protocol in nanoseconds.
type leaseGrant struct {
	sequence  uint64
	lease     time.Duration
	term      uint64
	wallClock int64
}

// notLeader redirects the subscriber to another member; the address may be empty.
type notLeader struct{ address string }

// Presence is a proxy's report of whether callers should be directed to it.
type Presence struct {
	// Proxy is the proxy's name. A relay with a feed of its own forwards the report to the leader;
	// a PlacementRelay does not.
	Proxy string
	// Address is where callers reach the proxy, as IP and port. It is empty while the proxy reaches no
	// replica; members of an earlier version take such a report for that of a proxy that is not ready yet.
	Address string
	Zone    string
	// Ready is false until the proxy can serve, and again after its planned shutdown has started.
	// Stopping is true after the start of that shutdown.
	Ready    bool
	Stopping bool
	// WallClock is the wall-clock time of the proxy's machine at the time of the report, in Unix
	// milliseconds.
	WallClock int64
}

// IsPartitioned reports whether the proxy reaches no replica.
func (p Presence) IsPartitioned() bool { return p.Address == "" && !p.Ready && !p.Stopping }

func encodePresence(message Presence) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.String(message.Proxy)
	encoder.String(message.Address)
	encoder.String(message.Zone)
	encoder.Bool(message.Ready)
	encoder.Bool(message.Stopping)
	encoder.Int64(message.WallClock)
	return encoder.Data()
}

func decodePresence(data []byte) (Presence, error) {
	decoder := frame.NewDecoder(data)
	message := Presence{Proxy: decoder.String(), Address: decoder.String(), Zone: decoder.String(), Ready: decoder.Bool(), Stopping: decoder.Bool()}
	message.WallClock = decoder.Int64()
	return message, decoder.Finish()
}

// replyCode is the result of a request at the server.
type replyCode uint8

const (
	replyDone    replyCode = iota + 1 // committed, or decided for placements and charges; the result is valid
	replyRefused                      // definitely not proposed
	replyUnknown                      // proposed, but the outcome is unknown
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

// Demand is the load offered to one proxy for one intent and class, which are named as the objects
// of these kinds in the view.
type Demand struct {
	Intent             string
	Class              string
	Requests           float64
	PromptTokens       float64
	CachedPromptTokens float64 // the part of PromptTokens found in caches
	OutputTokens       float64
	Refused            float64 // refused for lack of capacity
	Late               float64 // missed their deadline
	QueuedRequests     int     // currently waiting
	QueuedPromptTokens float64
}

// DemandReport is the load offered to one proxy over the window that ends now. Reports of
// consecutive windows add up; none is sent twice. It may hold at most maxDemands demands.
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
		return heartbeat{}, errors.Wrapf(errProtocol, "acknowledged revision %d exceeds the held one", message.acked.Revision)
	}
	return message, nil
}

func encodeLeaseGrant(message leaseGrant) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(message.sequence)
	encoder.Int64(message.lease.Milliseconds())
	encoder.Uint64(message.term)
	encoder.Int64(message.wallClock)
	return encoder.Data()
}

func decodeLeaseGrant(data []byte) (leaseGrant, error) {
	decoder := frame.NewDecoder(data)
	message := leaseGrant{sequence: decoder.Uint64()}
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
