// Package state is the replicated state machine of the control group: objects,
// operations, engine orders, at-most-once claims and the members' addresses.
// Apply is deterministic: it reads no clock and no random source; whatever the
// outcome needs stands in the command.
//
// Guarantees, within the retention that the commands give, also across snapshots:
// an operation ID is carried out once and always gets its first answer; a claimed
// key is granted to another claimant only after the first recorded that its
// request was surely not run; an engine has at most one open order, its fence is
// above all earlier ones, and only the engine's own word closes it.
package state

import (
	"github.com/landingtrail/landingtrail/version/api"
)

// CommandKind names a command.
type CommandKind uint8

// Kinds of commands.
const (
	CommandTransaction    CommandKind = iota + 1 // *api.Transaction -> api.TransactionResult
	CommandOpenOrder                             // *OpenOrder -> OpenOrderResult
	CommandCloseOrder                            // *CloseOrder -> CloseOrderResult
	CommandReportEngine                          // *EngineReport -> nothing
	CommandMachines                              // *Machines -> nothing
	CommandClaim                                 // *ClaimRequest -> api.ClaimResult
	CommandRunOutcome                            // *RunOutcome -> nothing
	CommandMember                                // *Member -> nothing
	CommandVoidOrder                             // *VoidOrder -> VoidOrderResult
	CommandReplaceIngress                        // *ReplaceIngress -> api.ReplaceResult
	CommandObserve                               // *Observe -> nothing
	CommandCountUsage                            // *CountUsage -> nothing
	CommandDecideUsage                           // *DecideUsage -> api.UsageWindow
	CommandUsageReported                         // *UsageReported -> nothing
)

// Command is one entry of the log. Exactly the body of its kind is set.
type Command struct {
	Kind CommandKind
	// Time is the proposing leader's wall clock in milliseconds. The group's
	// clock is the highest Time applied so far; it never goes back and is used
	// for retention only, never for fences or leases.
	Time           int64
	Transaction    *api.Transaction
	Limits         TransactionLimits // with Transaction
	OpenOrder      *OpenOrder
	CloseOrder     *CloseOrder
	EngineReport   *EngineReport
	Machines       *Machines
	Claim          *ClaimRequest
	RunOutcome     *RunOutcome
	Member         *Member
	VoidOrder      *VoidOrder
	ReplaceIngress *ReplaceIngress
	Observe        *Observe
	CountUsage     *CountUsage
	DecideUsage    *DecideUsage
	UsageReported  *UsageReported
}

// TransactionLimits are the proposing leader's settings, carried in the
// command so that every member decides alike.
type TransactionLimits struct {
	// MaxAffectedEngines bounds the engines whose wanted model or version one
	// transaction may change, unless it allows broad changes; 0 means no bound.
	MaxAffectedEngines int
	// OperationRetention and ClaimRetention are milliseconds of group time.
	OperationRetention int64
	ClaimRetention     int64
}

// OpenOrder opens an order for an engine. It is refused when one is open,
// when the engine's incarnation differs from the committed one, or when the
// assignment is not one that the selecting intent allows. The order's fence is
// the entry's (term, index).
type OpenOrder struct {
	Engine      string
	Incarnation uint64
	Assignment  api.Assignment
	Reason      string
}

// OpenOrderCode says what became of an OpenOrder.
type OpenOrderCode uint8

// Outcomes of an OpenOrder.
const (
	OpenOrderOpened OpenOrderCode = iota + 1
	OpenOrderAlreadyOpen
	OpenOrderUnknownEngine
	OpenOrderOtherIncarnation
	OpenOrderNotAllowed
	OpenOrderBudget // the intent's disruption budget is used up
)

// OpenOrderResult answers an OpenOrder.
type OpenOrderResult struct {
	Code  OpenOrderCode
	Order api.Order // the opened one, or the one that is open
}

// VoidOrder asks for a fence above the open order's. The engine is then asked
// to confirm the new fence without any change; once it has, it refuses the old
// order, which CloseVoid closes. The fence comes from the log as an order's
// does, since no clock or leader may make one up.
type VoidOrder struct {
	Engine string
	Fence  api.Fence // of the order that is to be void
}

// VoidOrderResult answers a VoidOrder. Open is false, and Fence zero, when the
// order with the fence is not open.
type VoidOrderResult struct {
	Open  bool
	Fence api.Fence // the entry's (term, index)
}

// CloseReason says why an order is closed.
type CloseReason uint8

// Reasons for closing an order. An order is closed only on the engine's own
// word: that it is done, or that the engine has confirmed a higher fence or
// has another incarnation, so that the order can change nothing any more.
const (
	CloseDone CloseReason = iota + 1
	CloseVoid
	CloseOtherIncarnation
)

// CloseOrder closes the open order with the fence.
type CloseOrder struct {
	Engine string
	Fence  api.Fence
	Reason CloseReason
	Report EngineReport
}

// CloseOrderResult answers a CloseOrder; Closed is false when another or no order was open.
type CloseOrderResult struct{ Closed bool }

// EngineReport commits what an engine said of itself. Reports are proposed
// only when they differ from what is committed.
type EngineReport struct {
	Engine      string
	Incarnation uint64
	Phase       api.EnginePhase
	Assignment  api.Assignment
	Fence       api.Fence
}

// Machines commits the platform's list of machines that are leaving or gone,
// by the names of engines and back ends.
type Machines struct {
	Leaving []string
	Gone    []string
}

// ClaimRequest claims the run of a request that must run at most once.
type ClaimRequest struct {
	Tenant    string
	Key       string
	BodyHash  uint64
	Attempt   uint32 // chosen by the proxy; with Proxy and Nonce it names the claimant
	Proxy     string
	Nonce     uint64 // drawn anew for each request: a resend through the same proxy differs
	Retention int64  // milliseconds of group time
}

// RunOutcome records what became of a claimed run; only the claimant may.
type RunOutcome struct {
	Tenant  string
	Key     string
	Nonce   uint64
	Outcome api.RunOutcome
	Answer  []byte // kept when not longer than MaxAnswerBytes
}

// MaxAnswerBytes bounds the answer kept with a claim.
const MaxAnswerBytes = 64 << 10

// Member is a control member's addresses.
type Member struct {
	ID              uint64
	Name            string
	PeerAddress     string
	FeedAddress     string
	OperatorAddress string
	Removed         bool
}

// EngineName returns the engine that the command is about, or nothing if it is
// about no single one.
func (c Command) EngineName() string {
	switch c.Kind {
	case CommandOpenOrder:
		return c.OpenOrder.Engine
	case CommandCloseOrder:
		return c.CloseOrder.Engine
	case CommandReportEngine:
		return c.EngineReport.Engine
	default:
		return ""
	}
}
