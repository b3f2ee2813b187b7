// Package state implements the replicated state machine of the control group, which
// is a group of members that replicate a log by Raft. The machine holds objects, the
// results of transactions by operation ID, orders that change the assignment of an
// engine, at-most-once claims, usage counters and the members' addresses. Apply is
// deterministic: it reads no clock and no random source, so commands carry every input
// that the outcome depends on.
//
// The package makes these guarantees, which also hold across snapshots. Those on
// operation IDs and claims hold for the retention that the commands set.
//
//   - An operation ID is executed once, and a resend always gets the first result.
//   - A claimed key is granted to another claimant only after the first claimant
//     recorded that its request was definitely not run.
//   - An engine has at most one open order. The order's fence is greater than those of
//     all earlier orders, and only a report of the engine itself closes the order.
package state

import (
	"github.com/landingtrail/landingtrail/version/api"
)

// CommandKind identifies the kind of a command.
type CommandKind uint8

// Kinds of commands, with the type of the body and of the result of Apply; "nothing"
// stands for a nil result. The numbers are part of the encoding of the log.
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

// Command is the content of a log entry. Only the body that matches Kind is set.
type Command struct {
	Kind CommandKind
	// Time is the proposing leader's wall clock in milliseconds since the Unix epoch.
	// The group clock is the highest Time applied so far. It never goes back, and it
	// is used only for retention and timestamps, never for fences or leases.
	Time           int64
	Transaction    *api.Transaction
	Limits         TransactionLimits // set with Transaction
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

// TransactionLimits are settings of the proposing leader. The command carries them
// so that every member reaches the same result.
type TransactionLimits struct {
	// MaxAffectedEngines limits how many engines with a desired or current
	// assignment one transaction may reassign, unless its AllowBroad is set. 0 means
	// no limit.
	MaxAffectedEngines int
	// OperationRetention and ClaimRetention are in milliseconds of the group clock.
	OperationRetention int64
	ClaimRetention     int64
}

// OpenOrder opens an order for an engine. It is rejected if an order is already
// open, if the incarnation differs from the committed one, if the intent that
// selects the engine does not allow the assignment, or if the intent's disruption
// budget is exhausted. The order's fence is the (term, index) of the log entry: an
// engine ignores orders whose fence is lower than one that it has confirmed. The
// incarnation is a random number that identifies one run of the engine's process.
type OpenOrder struct {
	Engine      string
	Incarnation uint64
	Assignment  api.Assignment
	Reason      string
}

// OpenOrderCode is the outcome of an OpenOrder.
type OpenOrderCode uint8

// Outcomes of an OpenOrder.
const (
	OpenOrderOpened OpenOrderCode = iota + 1
	OpenOrderAlreadyOpen
	OpenOrderUnknownEngine
	OpenOrderOtherIncarnation
	OpenOrderNotAllowed      // the intent, a drain or the machine's phase does not permit the assignment
	OpenOrderBudgetExhausted // the disruption budget is exhausted, or the engine's phase is unknown
)

// OpenOrderResult is the result of an OpenOrder.
type OpenOrderResult struct {
	Code  OpenOrderCode
	Order api.Order // the new order, or the one that was already open
}

// VoidOrder requests a fence greater than that of the open order, as the first step of
// voiding the order; it changes no state. The engine is then asked to confirm the new
// fence without changing anything. An engine that confirmed it rejects the old order,
// which can then be closed with CloseVoid. The fence is the (term, index) of the log
// entry, like that of an order. It must not come from a clock or be chosen by a leader,
// which could make it lower than the fence of an order.
type VoidOrder struct {
	Engine string
	Fence  api.Fence // of the order to void
}

// VoidOrderResult is the result of a VoidOrder. If no order with the given fence is
// open, Open is false and Fence is zero.
type VoidOrderResult struct {
	Open  bool
	Fence api.Fence // (term, index) of the log entry
}

// CloseReason is the reason for closing an order.
type CloseReason uint8

// Reasons for closing an order. A report of the engine must prove the reason.
const (
	CloseDone             CloseReason = iota + 1 // the engine has executed the order
	CloseVoid                                    // the engine has confirmed a higher fence
	CloseOtherIncarnation                        // the process that the order was opened for has ended
)

// CloseOrder closes the open order that has the fence.
type CloseOrder struct {
	Engine string
	Fence  api.Fence
	Reason CloseReason
	Report EngineReport
}

// CloseOrderResult is the result of a CloseOrder. Closed is false if no order with the
// fence is open, or if the report is of another engine, is stale or does not prove the
// reason.
type CloseOrderResult struct{ Closed bool }

// EngineReport commits the status that an engine reported. The leader proposes a report
// only if it differs from the committed status; see ReportChanges.
type EngineReport struct {
	Engine      string
	Incarnation uint64
	Phase       api.EnginePhase
	Assignment  api.Assignment
	Fence       api.Fence // the highest fence that the engine has confirmed
}

// Machines commits the lists of machines that are about to be shut down (leaving) or
// no longer exist (gone), by the names of the engines and back ends that run on them.
// They come from the platform, which runs the machines.
type Machines struct {
	Leaving []string
	Gone    []string
}

// ClaimRequest claims the right to run a request that must run at most once.
type ClaimRequest struct {
	Tenant    string
	Key       string
	BodyHash  uint64
	Attempt   uint32 // number of the attempt, chosen by the proxy; identifies the claimant together with Proxy and Nonce
	Proxy     string
	Nonce     uint64 // random per request, so a resend through the same proxy has another nonce
	Retention int64  // in milliseconds of the group clock
}

// RunOutcome records the outcome of a claimed run, which its field Outcome holds. Only
// the claimant may record it.
type RunOutcome struct {
	Tenant  string
	Key     string
	Nonce   uint64
	Outcome api.RunOutcome
	Answer  []byte // the response; if longer than MaxAnswerBytes, the outcome is stored without it
}

// MaxAnswerBytes is the maximum size of an answer that is stored with a claim.
const MaxAnswerBytes = 64 << 10

// Member holds the identity and the addresses of a member of the control group. It is
// not the object api.Member, which names a member that daemons may follow.
type Member struct {
	ID              uint64
	Name            string
	PeerAddress     string
	FeedAddress     string
	OperatorAddress string
	Removed         bool
}

// EngineName returns the name of the engine whose status the command may change, or ""
// if the command is not about a single engine or, like VoidOrder, changes nothing.
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
