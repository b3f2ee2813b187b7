package state

import (
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/binenc"
)

// ErrUnknownKind is returned by Decode for a command kind that this version of the
// program does not know. The member must then stop applying commands: its state
// would diverge from that of the other members if it skipped the command.
var ErrUnknownKind = errors.New("state: unknown command kind")

// Encode encodes a command. It panics if the kind is unknown or its body is missing.
func Encode(command Command) []byte {
	b := append([]byte(nil), byte(command.Kind))
	b = binenc.AppendInt(b, command.Time)
	switch command.Kind {
	case CommandTransaction:
		b = appendLimits(b, command.Limits)
		return appendTransaction(b, command.Transaction)
	case CommandOpenOrder:
		return appendOpenOrder(b, command.OpenOrder)
	case CommandCloseOrder:
		return appendCloseOrder(b, command.CloseOrder)
	case CommandVoidOrder:
		b = binenc.AppendString(b, command.VoidOrder.Engine)
		return binenc.AppendFence(b, command.VoidOrder.Fence)
	case CommandReportEngine:
		return appendReport(b, command.EngineReport)
	case CommandMachines:
		b = binenc.AppendStrings(b, command.Machines.Leaving)
		return binenc.AppendStrings(b, command.Machines.Gone)
	case CommandClaim:
		return appendClaimRequest(b, command.Claim)
	case CommandRunOutcome:
		return appendRunOutcome(b, command.RunOutcome)
	case CommandMember:
		return appendMember(b, command.Member)
	case CommandReplaceIngress:
		return appendReplaceIngress(b, command.ReplaceIngress)
	case CommandObserve:
		return appendObserve(b, command.Observe)
	case CommandCountUsage:
		return appendUsageCounts(b, command.CountUsage.Counts)
	case CommandDecideUsage:
		b = binenc.AppendInt(b, command.DecideUsage.Window)
		return binenc.AppendBool(b, command.DecideUsage.Partial)
	case CommandUsageReported:
		return binenc.AppendInt(b, command.UsageReported.Window)
	}
	panic("state: unknown command kind")
}

// Decode decodes a command encoded by Encode. The error wraps ErrUnknownKind or one
// of the errors of binenc. The command shares no memory with b.
func Decode(b []byte) (Command, error) {
	r := binenc.NewReader(b)
	command := Command{Kind: CommandKind(r.Byte()), Time: r.Int()}
	if r.Err() == nil && !decodeBody(r, &command) {
		return Command{}, errors.Wrapf(ErrUnknownKind, "kind %d", command.Kind)
	}
	if err := r.Close(); err != nil {
		return Command{}, errors.Wrapf(err, "state: decode command of kind %d", command.Kind)
	}
	return command, nil
}

// decodeBody decodes the body of the command's kind. It returns false if the kind is
// unknown.
func decodeBody(r *binenc.Reader, command *Command) bool {
	switch command.Kind {
	case CommandTransaction:
		command.Limits = readLimits(r)
		command.Transaction = readTransaction(r)
	case CommandOpenOrder:
		command.OpenOrder = readOpenOrder(r)
	case CommandCloseOrder:
		command.CloseOrder = readCloseOrder(r)
	case CommandVoidOrder:
		command.VoidOrder = &VoidOrder{Engine: r.String(), Fence: r.Fence()}
	case CommandReportEngine:
		command.EngineReport = readReport(r)
	case CommandMachines:
		command.Machines = &Machines{Leaving: r.Strings(), Gone: r.Strings()}
	case CommandClaim:
		command.Claim = readClaimRequest(r)
	case CommandRunOutcome:
		command.RunOutcome = readRunOutcome(r)
	case CommandMember:
		command.Member = readMember(r)
	case CommandReplaceIngress:
		command.ReplaceIngress = readReplaceIngress(r)
	case CommandObserve:
		command.Observe = readObserve(r)
	case CommandCountUsage:
		command.CountUsage = &CountUsage{Counts: readUsageCounts(r)}
	case CommandDecideUsage:
		command.DecideUsage = &DecideUsage{Window: r.Int(), Partial: r.Bool()}
	case CommandUsageReported:
		command.UsageReported = &UsageReported{Window: r.Int()}
	default:
		return false
	}
	return true
}

func appendLimits(b []byte, limits TransactionLimits) []byte {
	b = binenc.AppendInt(b, int64(limits.MaxAffectedEngines))
	b = binenc.AppendInt(b, limits.OperationRetention)
	return binenc.AppendInt(b, limits.ClaimRetention)
}

func readLimits(r *binenc.Reader) TransactionLimits {
	return TransactionLimits{
		MaxAffectedEngines: int(r.Int()),
		OperationRetention: r.Int(),
		ClaimRetention:     r.Int(),
	}
}

func appendTransaction(b []byte, t *api.Transaction) []byte {
	b = binenc.AppendString(b, t.OperationID)
	b = binenc.AppendBool(b, t.DryRun)
	b = binenc.AppendBool(b, t.AllowBroad)
	b = binenc.AppendUint(b, uint64(len(t.Writes)))
	for _, write := range t.Writes {
		b = binenc.AppendBool(b, write.Delete)
		b = appendWrittenObject(b, write.Object)
	}
	return b
}

func readTransaction(r *binenc.Reader) *api.Transaction {
	t := &api.Transaction{OperationID: r.String(), DryRun: r.Bool(), AllowBroad: r.Bool()}
	const minimumWriteBytes = 2
	n := r.Count(minimumWriteBytes)
	for i := 0; i < n && r.Err() == nil; i++ {
		t.Writes = append(t.Writes, api.Write{Delete: r.Bool(), Object: readWrittenObject(r)})
	}
	return t
}

// appendWrittenObject appends an object as the writer sent it. The codec accepts an object
// with several kinds or none; the machine rejects it.
func appendWrittenObject(b []byte, o api.Object) []byte {
	parts := splitKinds(o)
	b = binenc.AppendUint(b, uint64(len(parts)))
	for _, part := range parts {
		b = binenc.AppendObject(b, part)
	}
	return b
}

// splitKinds returns one object for each kind that o holds, in the order of the ranks
// that mergeKind returns. A new kind must be added to both, in the same position.
func splitKinds(o api.Object) []api.Object {
	var parts []api.Object
	if o.Intent != nil {
		parts = append(parts, api.Object{Intent: o.Intent})
	}
	if o.Engine != nil {
		parts = append(parts, api.Object{Engine: o.Engine})
	}
	if o.Service != nil {
		parts = append(parts, api.Object{Service: o.Service})
	}
	if o.Class != nil {
		parts = append(parts, api.Object{Class: o.Class})
	}
	if o.Tenant != nil {
		parts = append(parts, api.Object{Tenant: o.Tenant})
	}
	if o.Ingress != nil {
		parts = append(parts, api.Object{Ingress: o.Ingress})
	}
	if o.Replica != nil {
		parts = append(parts, api.Object{Replica: o.Replica})
	}
	if o.Proxy != nil {
		parts = append(parts, api.Object{Proxy: o.Proxy})
	}
	if o.Member != nil {
		parts = append(parts, api.Object{Member: o.Member})
	}
	if o.Quarantine != nil {
		parts = append(parts, api.Object{Quarantine: o.Quarantine})
	}
	if o.RouteTenant != nil {
		parts = append(parts, api.Object{RouteTenant: o.RouteTenant})
	}
	if o.Capacity != nil {
		parts = append(parts, api.Object{Capacity: o.Capacity})
	}
	if o.Suspect != nil {
		parts = append(parts, api.Object{Suspect: o.Suspect})
	}
	return parts
}

// readWrittenObject reads what appendWrittenObject wrote. It rejects parts in another
// order, so that each object has only one encoding.
func readWrittenObject(r *binenc.Reader) api.Object {
	var o api.Object
	rank := 0
	n := r.Count(1)
	for i := 0; i < n && r.Err() == nil; i++ {
		part := r.Object()
		next := mergeKind(&o, part)
		if next <= rank {
			r.Fail(binenc.ErrMalformed)
		}
		rank = next
	}
	return o
}

// mergeKind sets the part in o and returns its position in the order of splitKinds,
// starting at 1, or 0 for an empty part.
func mergeKind(o *api.Object, part api.Object) int {
	switch {
	case part.Intent != nil:
		o.Intent = part.Intent
		return 1
	case part.Engine != nil:
		o.Engine = part.Engine
		return 2
	case part.Service != nil:
		o.Service = part.Service
		return 3
	case part.Class != nil:
		o.Class = part.Class
		return 4
	case part.Tenant != nil:
		o.Tenant = part.Tenant
		return 5
	case part.Ingress != nil:
		o.Ingress = part.Ingress
		return 6
	case part.Replica != nil:
		o.Replica = part.Replica
		return 7
	case part.Proxy != nil:
		o.Proxy = part.Proxy
		return 8
	case part.Member != nil:
		o.Member = part.Member
		return 9
	case part.Quarantine != nil:
		o.Quarantine = part.Quarantine
		return 10
	case part.RouteTenant != nil:
		o.RouteTenant = part.RouteTenant
		return 11
	case part.Capacity != nil:
		o.Capacity = part.Capacity
		return 12
	case part.Suspect != nil:
		o.Suspect = part.Suspect
		return 13
	}
	return 0
}
