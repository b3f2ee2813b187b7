// Package operatorapi defines the HTTP protocol between operators and the control
// group: paths, bodies and error codes. Any member accepts any request; a member that is
// not the leader forwards requests that need the leader to it, once.
package operatorapi

import (
	"strconv"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// Paths of a control member's operator server.
const (
	PathTransactions = "/apis/v1/transactions"   // POST api.Transaction -> api.TransactionResult
	PathObjects      = "/apis/v1/objects"        // GET /{kind}[/{name}] -> ObjectList
	PathInForce      = "/apis/v1/inforce"        // GET ?revision=N -> InForce
	PathStatus       = "/apis/v1/status"         // GET -> Status
	PathOrders       = "/apis/v1/orders"         // GET -> OrderList
	PathLedger       = "/apis/v1/ledger"         // GET ?tenant=T&key=K -> Ledger
	PathIngress      = "/apis/v1/ingress"        // POST api.IngressSpec -> api.ReplaceResult; GET -> ObjectList, with the ingress document
	PathUsage        = "/apis/v1/usage"          // GET -> UsageList
	PathQuotas       = "/apis/v1/quotas"         // GET -> QuotaList
	PathQuarantine   = "/apis/v1/quarantine"     // DELETE /{fingerprint} -> Released
	PathMembers      = "/apis/v1/members"        // POST MemberRequest -> MemberReply
	PathMemberStatus = "/apis/v1/members/status" // GET of one member itself -> MemberStatus
	PathHealth       = "/healthz"
	PathMetrics      = "/metrics"
)

// HeaderForwarded marks a request forwarded by another member, which is not
// forwarded again.
const HeaderForwarded = "Landingtrail-Forwarded"

// ErrorCode is the reason why a request was not served.
type ErrorCode string

// Error codes.
const (
	ErrorInvalidBody    ErrorCode = "invalid_body"    // 400: not JSON, unknown field or wrong type
	ErrorBodyTooLarge   ErrorCode = "body_too_large"  // 413
	ErrorNotFound       ErrorCode = "not_found"       // 404
	ErrorWrongMethod    ErrorCode = "wrong_method"    // 405
	ErrorNoQuorum       ErrorCode = "no_quorum"       // 503: guaranteed not accepted; retry after the seconds in Retry-After
	ErrorOutcomeUnknown ErrorCode = "outcome_unknown" // 504: resend with the same operation ID
	ErrorRefused        ErrorCode = "refused"         // 409: the change cannot be made now
	ErrorRemoved        ErrorCode = "removed"         // 409: the member's ID was removed from the group permanently
	ErrorNeeded         ErrorCode = "member_needed"   // 409: the group needs the member to tolerate the configured losses
	ErrorInternal       ErrorCode = "internal"        // 500
)

// Error is the body of every error response.
type Error struct {
	Code    ErrorCode        `json:"code"`
	Message string           `json:"message"`
	Faults  []api.FieldFault `json:"faults,omitempty"`
	// Leader is the operator address of the leader, if known.
	Leader string `json:"leader,omitempty"`
}

// ObjectList is the response to a read of objects.
type ObjectList struct {
	Term     uint64       `json:"term"`
	Revision uint64       `json:"revision"`
	Objects  []api.Object `json:"objects"`
}

// UsageList is the response to a read of usage, oldest window first.
type UsageList struct {
	// WindowMilliseconds is the length of a window.
	WindowMilliseconds int64             `json:"windowMilliseconds"`
	Windows            []api.UsageWindow `json:"windows"`
}

// QuotaList is the response to a read of the tenants' quota balances.
type QuotaList struct {
	Tenants []TenantQuota `json:"tenants"`
}

// TenantQuota is the quota balance of one tenant. Left is what remains to be spent now.
// Granted and Refused count since the current leader was elected. Left and Granted are
// in the quota's unit.
type TenantQuota struct {
	Tenant  string    `json:"tenant"`
	Quota   api.Quota `json:"quota"`
	Left    float64   `json:"left"`
	Granted float64   `json:"granted"`
	Refused int64     `json:"refused"`
}

// Released is the response to the release of a quarantined request.
type Released struct {
	Fingerprint string `json:"fingerprint"`
}

// InForce reports how far the daemons have applied a revision.
type InForce struct {
	Revision uint64 `json:"revision"`
	// Done is true when every daemon has either acknowledged the revision or lost
	// its view lease.
	Done         bool `json:"done"`
	Acknowledged int  `json:"acknowledged"`
	// Lapsed lists the daemons known to this leader that have no lease. It lacks the
	// daemons that were disconnected before the leader was elected; the leader has
	// waited for their leases to expire as well.
	Lapsed []string `json:"lapsed,omitempty"`
	// Waiting lists the daemons whose acknowledgement is awaited.
	Waiting []string `json:"waiting,omitempty"`
	// Settling is true while a new leader does not know yet which daemons hold a
	// lease granted by an earlier leader.
	Settling bool `json:"settling,omitempty"`
}

// MemberRole is a member's Raft role in the group.
type MemberRole string

// Roles of members.
const (
	MemberLeader   MemberRole = "leader"
	MemberFollower MemberRole = "follower"
	MemberLearner  MemberRole = "learner"
)

// Member is one control member as the leader sees it.
type Member struct {
	ID              uint64     `json:"id,string"`
	Name            string     `json:"name"`
	Role            MemberRole `json:"role"`
	PeerAddress     string     `json:"peerAddress"`
	FeedAddress     string     `json:"feedAddress"` // where daemons follow the group; see connection/feed
	OperatorAddress string     `json:"operatorAddress"`
	// Match is the highest log index known to be synced on the member, Lag the
	// number of entries it is behind the leader's commit index.
	Match  uint64 `json:"match"`
	Lag    uint64 `json:"lag"`
	Active bool   `json:"active"` // it responded within an election timeout
}

// EngineSummary is the status of one engine.
type EngineSummary struct {
	Name       string          `json:"name"`
	Intent     string          `json:"intent,omitempty"`
	Phase      api.EnginePhase `json:"phase"`
	Assignment api.Assignment  `json:"assignment"`
	// Target and Reason are taken from the open order.
	Target *api.Assignment `json:"target,omitempty"`
	Reason string          `json:"reason,omitempty"`
	// Silent is true when the leader has received no state from the engine, or none within
	// control.engineSilence, or three polling rounds if these take longer.
	Silent bool `json:"silent,omitempty"`
	// Drain is the value in the engine's spec.
	Drain bool `json:"drain,omitempty"`
}

// Status is the response to a read of the group's status.
type Status struct {
	Leader   string   `json:"leader"` // name of the leader
	Term     uint64   `json:"term"`
	Revision uint64   `json:"revision"`
	Commit   uint64   `json:"commit"` // log index
	Members  []Member `json:"members"`
	// FurtherLosses is the number of voters that can be lost permanently from now on
	// without losing the quorum. Voters that are inactive or lack part of the
	// committed log count as lost already.
	FurtherLosses int `json:"furtherLosses"`
	// Repairing lists the members that are not yet voters with the complete log.
	Repairing []string        `json:"repairing,omitempty"`
	Engines   []EngineSummary `json:"engines"`
	// DaemonsBehind lists the daemons that hold a lease on an older revision.
	DaemonsBehind []string `json:"daemonsBehind,omitempty"`
	Daemons       int      `json:"daemons"`
}

// MemberStatus is a member's own status, whether or not it is the leader.
type MemberStatus struct {
	ID      uint64     `json:"id,string"`
	Name    string     `json:"name"`
	Role    MemberRole `json:"role"`
	Term    uint64     `json:"term"`
	Leader  uint64     `json:"leader,string"`
	Applied uint64     `json:"applied"`
	Commit  uint64     `json:"commit"`
	// Voters and Learners are taken from the member's latest configuration.
	Voters   []MemberID `json:"voters"`
	Learners []MemberID `json:"learners,omitempty"`
}

// MemberID is a member ID that is encoded as a decimal string, since many JSON
// implementations cannot represent 64-bit numbers.
type MemberID uint64

// MarshalText implements encoding.TextMarshaler.
func (m MemberID) MarshalText() ([]byte, error) { return strconv.AppendUint(nil, uint64(m), 10), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *MemberID) UnmarshalText(text []byte) error {
	value, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return errors.Wrap(err, "operatorapi: member ID")
	}
	*m = MemberID(value)
	return nil
}

// OrderList is the response to a read of the open orders.
type OrderList struct {
	Revision uint64      `json:"revision"`
	Orders   []OpenOrder `json:"orders"`
}

// OpenOrder is an open order with the last known state of its engine.
type OpenOrder struct {
	Order api.Order       `json:"order"`
	Phase api.EnginePhase `json:"phase"`
	// Confirmed is the highest fence that the engine has committed.
	Confirmed api.Fence `json:"confirmed"`
	Silent    bool      `json:"silent,omitempty"`
}

// Ledger is the response to a ledger lookup: the claim of the key, or no claims if
// none is stored.
type Ledger struct {
	Revision uint64      `json:"revision"`
	Claims   []api.Claim `json:"claims"`
}

// MemberAction is one step of a membership change.
type MemberAction string

// Steps of a membership change.
const (
	// MemberAdd adds a learner with its ID and addresses. The leader promotes it
	// once it has caught up; it then replaces an older member of the same name.
	MemberAdd MemberAction = "add"
	// MemberPromote makes a learner a voter.
	MemberPromote MemberAction = "promote"
	MemberRemove  MemberAction = "remove"
	// MemberLeave removes a member at its own request, unless the group needs it to
	// tolerate the configured losses.
	MemberLeave MemberAction = "leave"
)

// MemberRequest requests one step of a membership change.
type MemberRequest struct {
	Action          MemberAction `json:"action"`
	ID              MemberID     `json:"id"`
	Name            string       `json:"name,omitempty"`
	PeerAddress     string       `json:"peerAddress,omitempty"`
	FeedAddress     string       `json:"feedAddress,omitempty"`
	OperatorAddress string       `json:"operatorAddress,omitempty"`
}

// MemberReply lists the members after the change.
type MemberReply struct {
	Members []Member `json:"members"`
}
