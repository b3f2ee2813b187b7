package control

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
	"github.com/landingtrail/landingtrail/version/view"
)

// RoleOrders queries and changes the roles of replicas of routed services.
type RoleOrders interface {
	// State asks a replica for its role.
	State(ctx context.Context, replica *api.Replica) (RoleState, error)
	// Order tells a replica to take a role. With OrderUnanswered the order may have been taken,
	// or may still be executed later.
	Order(ctx context.Context, replica *api.Replica, order RoleOrder) (OrderOutcome, error)
}

// RoleState is a replica's reported role.
type RoleState struct {
	Role api.EngineRole
	// Busy is true while a role change is in progress.
	Busy bool
	// Sequence is the number of orders that the replica has taken.
	Sequence uint64
	// Born is the reported start time of the replica's process in milliseconds since 1970; 0 if
	// not reported.
	Born int64
}

// RoleOrder is an order to take a role. The replica executes it only if it has taken exactly
// Expected orders, so that a delayed order cannot override a newer one.
type RoleOrder struct {
	Role     api.EngineRole
	Holder   string // name of the leader's member
	Fence    uint64 // fencing token: the leader's term
	Expected uint64
}

// OrderOutcome is the result of an order.
type OrderOutcome uint8

// Results of an order.
const (
	OrderUnanswered OrderOutcome = iota
	OrderTaken
	OrderRefused // not taken, for example because another change is in progress
	OrderFenced  // rejected because a newer leader has sent an order to the replica
)

// String returns the outcome's name.
func (o OrderOutcome) String() string {
	names := [...]string{"unanswered", "taken", "refused", "fenced"}
	return names[o]
}

// Timing of role changes.
const (
	roleCheckInterval = 250 * time.Millisecond // between two checks of the role balance
	roleTimeout       = time.Second            // for one state query or order
	drainTimeout      = time.Second            // for a replica's requests to finish before an order
	drainPoll         = 20 * time.Millisecond
	// defaultSwitchTime is the duration of a role change if the configuration specifies none.
	defaultSwitchTime = 3 * time.Second
	// changeSlack is how much longer than its duration a role change may take until the replica
	// list shows it. After that it is considered failed.
	changeSlack = 5 * time.Second
)

// roleTermState is the state of role changes in one term. Only the leader's loop uses it, except
// for fenced.
type roleTermState struct {
	nextCheck time.Duration // when the role balance is next checked
	// lastPrefillAt is when a replica was last told to take the prefill role.
	lastPrefillAt time.Duration
	// fenced is set once a replica has seen a newer leader; this one then sends no more orders.
	fenced atomic.Bool
}

// manageRoles changes the roles of replicas where this benefits the requests of their service.
func (d *leaderTasks) manageRoles(term *termState, now time.Duration) {
	config := &d.group.config
	if config.Roles == nil || !config.ChangeRoles && !config.ChangeRolesIfSlownessReported || term.roles.fenced.Load() || now < term.roles.nextCheck {
		return
	}
	if now-term.startedAt < d.group.config.Durations.OrderSettle {
		return
	}
	term.roles.nextCheck = now + roleCheckInterval
	current := d.group.machine.view()
	for _, service := range d.group.boards.services() {
		d.balanceRoles(term, current, service)
	}
}

// balanceRoles starts the role changes that the planner wants for a service. The load counts as
// settled once no replica was told to take the prefill role for planner.ReversalPause.
func (d *leaderTasks) balanceRoles(term *termState, current *view.View, service string) {
	now := monotonic()
	load := d.group.boards.serviceLoad(d.group.machine.history.Load(), service, now)
	if !d.group.config.ChangeRoles && !load.SlownessReported {
		return
	}
	load.ReversalAllowed = now-max(term.roles.lastPrefillAt, term.startedAt) >= planner.ReversalPause
	changes := d.withoutLimited(planner.Balance(load))
	if len(changes) == 0 {
		return
	}
	event.RolesPlanned.Log(d.logger, "service", service, "changes", len(changes), "late", load.LateShare, "requests", int(load.Requests), "starting", load.DecodeStartShare,
		"replicas", len(load.Replicas), "readers", load.PrefillReplicas(), "changing", load.Changing())
	for _, wanted := range changes {
		replica := current.Replicas[wanted.Replica]
		if replica == nil {
			continue
		}
		role := api.RoleDecode
		if wanted.ToPrefill {
			role = api.RolePrefill
			term.roles.lastPrefillAt = now
		}
		duration := switchTime(current, service)
		d.group.boards.startRoleChange(service, replica.Name, role, duration, monotonic())
		term.background.Go(func() { d.changeRole(term.orders, term, service, replica, role) })
	}
}

// withoutLimited returns the changes of replicas that state no limit. A role change would take what a limited
// replica accepts away from the requests.
func (d *leaderTasks) withoutLimited(changes []planner.RoleChange) []planner.RoleChange {
	return slices.DeleteFunc(changes, func(change planner.RoleChange) bool { return d.group.rates.IsLimited(change.Replica) })
}

// switchTime returns the duration of a role change in a service.
func switchTime(current *view.View, service string) time.Duration {
	ingress := current.Ingresses[api.IngressName]
	if ingress == nil {
		return defaultSwitchTime
	}
	for i := range ingress.Spec.Services {
		sheet := ingress.Spec.Services[i].Model
		if ingress.Spec.Services[i].Name == service && sheet != nil && sheet.SwitchMillis > 0 {
			return time.Duration(sheet.SwitchMillis) * time.Millisecond
		}
	}
	return defaultSwitchTime
}

// changeRole waits until the replica is idle, queries its state and sends the order. The lease is
// checked last before the order is sent, so that a leader that was suspended or partitioned in
// the meantime sends nothing.
func (d *leaderTasks) changeRole(ctx context.Context, term *termState, service string, replica *api.Replica, role api.EngineRole) {
	d.awaitIdle(ctx, service, replica.Name)
	if d.group.rates.IsLimited(replica.Name) {
		event.RoleOrdered.Log(d.logger, "replica", replica.Name, "role", role, "fence", term.number, "outcome", "not_sent", "busy", false, "err", "limited")
		return
	}
	queryCtx, cancel := context.WithTimeout(ctx, roleTimeout)
	defer cancel()
	reported, err := d.group.config.Roles.State(queryCtx, replica)
	if err != nil || reported.Busy || reported.Role == role {
		event.RoleOrdered.Log(d.logger, "replica", replica.Name, "role", role, "fence", term.number, "outcome", "not_sent", "busy", reported.Busy, "err", err)
		return
	}
	orderCtx, cancel := context.WithTimeout(ctx, roleTimeout)
	defer cancel()
	if number, valid := d.lease(orderCtx); !valid || number != term.number || term.roles.fenced.Load() {
		return
	}
	outcome, err := d.group.config.Roles.Order(orderCtx, replica, RoleOrder{
		Role: role, Holder: d.group.config.Name, Fence: term.number, Expected: reported.Sequence,
	})
	event.RoleOrdered.Log(d.logger, "replica", replica.Name, "role", role, "fence", term.number, "outcome", outcome, "err", err)
	if outcome == OrderFenced {
		term.roles.fenced.Store(true)
	}
}

// awaitIdle waits until the replica has no requests in flight, at most for drainTimeout.
func (d *leaderTasks) awaitIdle(ctx context.Context, service, replica string) {
	for waited := time.Duration(0); waited < drainTimeout; waited += drainPoll {
		if d.group.boards.isIdle(service, replica) || !pause.Sleep(ctx, drainPoll) {
			return
		}
	}
}

// services returns the names of the model services, sorted.
func (d *placementBoards) services() []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	return slices.Sorted(maps.Keys(d.boards))
}

// serviceLoad returns the load of a service according to its board, which must exist, after
// applying the view.
func (d *placementBoards) serviceLoad(current *view.History, service string, now time.Duration) planner.ServiceLoad {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.update(current)
	board := d.boards[service]
	load := planner.ServiceLoad{SlownessReported: board.ReportsSlowness()}
	load.LateShare, load.Requests = board.LateShare(now)
	load.DecodeStartShare = board.DecodeStartShare()
	for _, shown := range board.Occupancies(now) {
		load.Replicas = append(load.Replicas, planner.ReplicaLoad{
			Name:     shown.Name,
			Zone:     shown.Zone,
			Prefill:  shown.Role == placement.RolePrefill,
			Running:  shown.Running,
			Slots:    shown.Slots,
			Queued:   shown.Queued,
			Changing: shown.Changing,
			Speed:    shown.Speed,
		})
	}
	return load
}

// startRoleChange marks that a replica is to take the role. No requests are placed on the replica
// until it is listed with that role or the change is considered failed.
func (d *placementBoards) startRoleChange(service, replica string, role api.EngineRole, duration, now time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	placed := placement.RoleDecode
	if role == api.RolePrefill {
		placed = placement.RolePrefill
	}
	d.boards[service].BeginRoleChange(now, replica, placed, duration, drainTimeout+duration+changeSlack)
}

// isIdle reports whether the replica has no requests in flight.
func (d *placementBoards) isIdle(service, replica string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.boards[service].IsIdle(replica)
}
