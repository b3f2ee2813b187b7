package state

import (
	"fmt"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// maxChanges is the maximum number of changes that are kept for deltas. A daemon that
// lacks a change that was dropped gets a full delta.
const maxChanges = 1 << 14

// Machine is the replicated state machine. It is not safe for concurrent use, but
// the values returned by View, History and Freeze are immutable and may be used by
// other goroutines.
//
// Invariant: two machines that applied the same commands at the same indexes have
// equal snapshots, even if they were restored from each other's snapshots in
// between. Stored state never depends on a clock, on map iteration order or on
// anything else outside the commands.
type Machine struct {
	term    uint64 // of the last applied log entry
	index   uint64 // of the last applied log entry
	clock   int64  // highest Command.Time in milliseconds
	version view.Version

	intents       table[api.Intent]
	engines       table[api.Engine]
	services      table[api.Service]
	classes       table[api.Class]
	tenants       table[api.Tenant]
	ingresses     table[api.Ingress]
	replicas      table[api.Replica]
	proxies       table[api.Proxy]
	memberObjects table[api.Member]
	quarantines   table[api.Quarantine]
	routeTenants  table[api.RouteTenant]
	capacities    table[api.Capacity]
	suspects      table[api.Suspect]
	// ingressSource is the compressed source document of the Ingress. It contains API
	// keys and is therefore not part of any view.
	ingressSource []byte
	usage         usageState

	changes      []view.Change // the latest, in ascending order of revisions
	changesFloor uint64        // highest revision that was dropped from changes
	cachedView   *view.View

	selection    selection       // derived from intents and engines
	incarnations table[[]uint64] // earlier incarnations by engine, oldest first
	platform     platformList
	members      map[uint64]Member
	operations   expiringMap[string, *operation]
	claims       expiringMap[claimKey, *claimRecord]
}

// New returns an empty machine.
func New() *Machine {
	return &Machine{
		intents:       newTable[api.Intent](),
		engines:       newTable[api.Engine](),
		services:      newTable[api.Service](),
		classes:       newTable[api.Class](),
		tenants:       newTable[api.Tenant](),
		ingresses:     newTable[api.Ingress](),
		replicas:      newTable[api.Replica](),
		proxies:       newTable[api.Proxy](),
		memberObjects: newTable[api.Member](),
		quarantines:   newTable[api.Quarantine](),
		routeTenants:  newTable[api.RouteTenant](),
		capacities:    newTable[api.Capacity](),
		suspects:      newTable[api.Suspect](),
		selection:     newSelection(),
		incarnations:  newTable[[]uint64](),
		usage:         newUsageState(),
		members:       map[uint64]Member{},
	}
}

// Apply executes the command of the log entry (term, index) and returns the result
// documented at the CommandKind constants, or nil. It retains the command, which the
// caller must not modify afterwards. It panics if the index does not increase, if the
// term decreases, if the kind is unknown or if the body of the command is missing,
// because the log is then corrupt.
func (m *Machine) Apply(term, index uint64, command Command) (result any) {
	if index <= m.index || term < m.term {
		panic(fmt.Sprintf("state: log entry (%d, %d) applied after (%d, %d)", term, index, m.term, m.index))
	}
	m.term = term
	m.index = index
	m.clock = max(m.clock, command.Time)
	m.operations.expire(m.clock)
	m.claims.expire(m.clock)
	return m.execute(command)
}

func (m *Machine) execute(command Command) any {
	switch command.Kind {
	case CommandTransaction:
		return m.transact(command.Transaction, command.Limits)
	case CommandOpenOrder:
		return m.openOrder(command.OpenOrder)
	case CommandCloseOrder:
		return m.closeOrder(command.CloseOrder)
	case CommandVoidOrder:
		return m.voidOrder(command.VoidOrder)
	case CommandReportEngine:
		m.reportEngine(command.EngineReport)
	case CommandMachines:
		m.setMachines(command.Machines)
	case CommandClaim:
		return m.claim(command.Claim)
	case CommandRunOutcome:
		m.recordOutcome(command.RunOutcome)
	case CommandMember:
		m.putMember(*command.Member)
	case CommandReplaceIngress:
		return m.replaceIngress(command.ReplaceIngress)
	case CommandObserve:
		m.observe(command.Observe)
	case CommandCountUsage:
		m.countUsage(command.CountUsage)
	case CommandDecideUsage:
		return m.decideUsage(command.DecideUsage)
	case CommandUsageReported:
		m.markUsageReported(command.UsageReported)
	default:
		panic(fmt.Sprintf("state: unknown command kind %d", command.Kind))
	}
	return nil
}

// fence returns the fence of the log entry that is being applied.
func (m *Machine) fence() api.Fence { return api.Fence{Term: m.term, Index: m.index} }

// put stores an object, which must not be modified afterwards, and records the change.
func (m *Machine) put(o api.Object) {
	m.putUnrecorded(o)
	key, _ := o.Key()
	m.recordChange(key)
}

// putUnrecorded stores an object without recording a change, as needed for Restore.
func (m *Machine) putUnrecorded(o api.Object) {
	key, _ := o.Key()
	if objects := m.table(key.Kind); objects != nil {
		objects.putObject(key.Name, o)
	}
}

// remove removes an object and records the change, even if there is no such object.
func (m *Machine) remove(key api.Key) {
	if objects := m.table(key.Kind); objects != nil {
		objects.remove(key.Name)
	}
	m.recordChange(key)
}

// recordChange records that the current log entry changed the object with the key, and
// advances the version of the view. It is called for every change, including changes of
// a status. The Revision in an object's metadata advances only when the object is
// written, so status changes do not cause revision conflicts for writers.
func (m *Machine) recordChange(key api.Key) {
	m.version = view.Version{Term: m.term, Revision: m.index}
	m.cachedView = nil
	m.changes = append(m.changes, view.Change{Revision: m.index, Key: key})
	if len(m.changes) > maxChanges {
		m.changesFloor = m.changes[0].Revision
		m.changes = m.changes[1:]
	}
}

// updateEngine stores a copy of the engine with the status, unless it is unchanged.
func (m *Machine) updateEngine(engine *api.Engine, status api.EngineStatus) {
	if equalStatus(engine.Status, status) {
		return
	}
	next := *engine
	next.Status = status
	m.put(api.Object{Engine: &next})
}

func equalStatus(a, b api.EngineStatus) bool {
	return a.Phase == b.Phase &&
		a.MachinePhase == b.MachinePhase &&
		a.Incarnation == b.Incarnation &&
		a.Fence == b.Fence &&
		a.OpenOrder == b.OpenOrder &&
		a.UnmatchedSince == b.UnmatchedSince &&
		a.Assignment.Equal(b.Assignment)
}

// putMember stores a member. It ignores a member whose ID was removed, since IDs of
// removed members are never reused.
func (m *Machine) putMember(member Member) {
	if m.members[member.ID].Removed {
		return
	}
	m.members[member.ID] = member
}
