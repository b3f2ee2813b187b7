// Package operatorapi is the HTTP protocol between operators and the control
// group: paths, bodies and error codes. Any member takes any request; a member
// that does not lead hands requests that need the leader on to it, once.
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
	PathIngress      = "/apis/v1/ingress"        // POST api.IngressSpec -> api.ReplaceResult; GET -> ObjectList, with the document
	PathUsage        = "/apis/v1/usage"          // GET -> UsageList
	PathQuotas       = "/apis/v1/quotas"         // GET -> QuotaList
	PathQuarantine   = "/apis/v1/quarantine"     // DELETE /{fingerprint} -> Released
	PathMembers      = "/apis/v1/members"        // POST MemberRequest -> MemberReply
	PathMemberStatus = "/apis/v1/members/status" // GET of one member itself -> MemberSelf
	PathHealth       = "/healthz"
	PathMetrics      = "/metrics"
)

// HeaderForwarded marks a request that another member handed on; it is not
// handed on a second time.
const HeaderForwarded = "Landingtrail-Forwarded"

// ErrorCode names why a request was not served.
type ErrorCode string

// Codes of errors.
const (
	ErrorInvalidBody    ErrorCode = "invalid_body"    // 400: not JSON, unknown field or wrong type
	ErrorBodyTooLarge   ErrorCode = "body_too_large"  // 413
	ErrorNotFound       ErrorCode = "not_found"       // 404
	ErrorWrongMethod    ErrorCode = "wrong_method"    // 405
	ErrorNoQuorum       ErrorCode = "no_quorum"       // 503: surely not accepted; ask again after Retry-After
	ErrorOutcomeUnknown ErrorCode = "outcome_unknown" // 504: resend with the same operation ID
	ErrorRefused        ErrorCode = "refused"         // 409: the change cannot be made now
	ErrorRemoved        ErrorCode = "removed"         // 409: the group has removed the member's identity for good
	ErrorInternal       ErrorCode = "internal"        // 500
)

// Error is the body of every answer that is neither a result nor a table.
type Error struct {
	Code    ErrorCode        `json:"code"`
	Message string           `json:"message"`
	Faults  []api.FieldFault `json:"faults,omitempty"`
	// Leader is the operator address of the leader, if it is known.
	Leader string `json:"leader,omitempty"`
}

// ObjectList answers a read of objects.
type ObjectList struct {
	Term     uint64       `json:"term"`
	Revision uint64       `json:"revision"`
	Objects  []api.Object `json:"objects"`
}

// UsageList answers a read of usage, the oldest window first.
type UsageList struct {
	// WindowMilliseconds is the length of a window.
	WindowMilliseconds int64             `json:"windowMilliseconds"`
	Windows            []api.UsageWindow `json:"windows"`
}

// QuotaList answers a read of how the tenants stand with their quotas.
type QuotaList struct {
	Tenants []TenantQuota `json:"tenants"`
}

// TenantQuota is how one tenant stands: what it may spend at once, and what was granted and
// refused since the present leader began. Left and Granted are in the quota's unit.
type TenantQuota struct {
	Tenant  string    `json:"tenant"`
	Quota   api.Quota `json:"quota"`
	Left    float64   `json:"left"`
	Granted float64   `json:"granted"`
	Refused int64     `json:"refused"`
}

// Released answers the release of a request that was held.
type Released struct {
	Fingerprint string `json:"fingerprint"`
}

// InForce says how far a revision has reached the daemons.
type InForce struct {
	Revision uint64 `json:"revision"`
	// Done is true when every daemon has acknowledged the revision or its view
	// lease has lapsed.
	Done         bool `json:"done"`
	Acknowledged int  `json:"acknowledged"`
	// Lapsed names the daemons without a lease that this leader has heard of. One
	// that was cut off before it began to lead is missing here, though its lease
	// was waited for as well.
	Lapsed  []string `json:"lapsed,omitempty"`
	Waiting []string `json:"waiting,omitempty"`
	// Settling is true while a new leader cannot know yet which daemons hold a
	// lease that an earlier leader granted.
	Settling bool `json:"settling,omitempty"`
}

// MemberRole is a member's part in the group.
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
	FeedAddress     string     `json:"feedAddress"`
	OperatorAddress string     `json:"operatorAddress"`
	// Match is the highest log index known to be synced there, Lag how many
	// entries it is behind the leader's commit index.
	Match  uint64 `json:"match"`
	Lag    uint64 `json:"lag"`
	Active bool   `json:"active"` // it answered within an election timeout
}

// EngineSummary is one engine's line in the status.
type EngineSummary struct {
	Name       string          `json:"name"`
	Intent     string          `json:"intent,omitempty"`
	Phase      api.EnginePhase `json:"phase"`
	Assignment api.Assignment  `json:"assignment"`
	// Target and Reason are those of the open order.
	Target *api.Assignment `json:"target,omitempty"`
	Reason string          `json:"reason,omitempty"`
	// Silent is true when the leader has not heard from the engine lately.
	Silent bool `json:"silent,omitempty"`
	Drain  bool `json:"drain,omitempty"`
}

// Status answers a read of the group's status.
type Status struct {
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Revision uint64   `json:"revision"`
	Commit   uint64   `json:"commit"`
	Members  []Member `json:"members"`
	// FurtherLosses is how many voters can be lost for good from now on without
	// losing the quorum. Only voters that are active and have the whole
	// committed log count as held.
	FurtherLosses int `json:"furtherLosses"`
	// Repairing lists the members that are not yet voters with the whole log.
	Repairing []string        `json:"repairing,omitempty"`
	Engines   []EngineSummary `json:"engines"`
	// DaemonsBehind lists the daemons that hold a lease on an older revision.
	DaemonsBehind []string `json:"daemonsBehind,omitempty"`
	Daemons       int      `json:"daemons"`
}

// MemberSelf is what a member says of itself, leader or not.
type MemberSelf struct {
	ID      uint64     `json:"id,string"`
	Name    string     `json:"name"`
	Role    MemberRole `json:"role"`
	Term    uint64     `json:"term"`
	Leader  uint64     `json:"leader,string"`
	Applied uint64     `json:"applied"`
	Commit  uint64     `json:"commit"`
	// Voters and Learners are those of the member's latest configuration.
	Voters   []MemberID `json:"voters"`
	Learners []MemberID `json:"learners,omitempty"`
}

// MemberID is a member's identity as a decimal string, since JSON numbers of
// many programs hold no 64 bits.
type MemberID uint64

// MarshalText writes the decimal form.
func (m MemberID) MarshalText() ([]byte, error) { return strconv.AppendUint(nil, uint64(m), 10), nil }

// UnmarshalText reads the decimal form.
func (m *MemberID) UnmarshalText(text []byte) error {
	value, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return errors.Wrap(err, "operatorapi: member ID")
	}
	*m = MemberID(value)
	return nil
}

// OrderList answers a read of the open orders.
type OrderList struct {
	Revision uint64      `json:"revision"`
	Orders   []OpenOrder `json:"orders"`
}

// OpenOrder is one open order and what its engine last said.
type OpenOrder struct {
	Order api.Order       `json:"order"`
	Phase api.EnginePhase `json:"phase"`
	// Confirmed is the highest fence that the engine has committed.
	Confirmed api.Fence `json:"confirmed"`
	Silent    bool      `json:"silent,omitempty"`
}

// Ledger answers with the claim of one key, or with no claim if none is kept.
type Ledger struct {
	Revision uint64      `json:"revision"`
	Claims   []api.Claim `json:"claims"`
}

// MemberAction is one step of a membership change.
type MemberAction string

// Steps of a membership change.
const (
	// MemberAdd adds a learner under its ID and addresses. It is promoted by
	// the leader once it has caught up, and then replaces an older member of
	// the same name.
	MemberAdd     MemberAction = "add"
	MemberPromote MemberAction = "promote"
	MemberRemove  MemberAction = "remove"
)

// MemberRequest asks for one step of a membership change.
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
