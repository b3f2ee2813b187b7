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

// RoleOrders tells replicas of routed services which role to take.
type RoleOrders interface {
	// State asks a replica what it is.
	State(ctx context.Context, replica *api.Replica) (RoleState, error)
	// Order tells it to take a role. With OrderUnanswered the order may have been
	// taken, or may be carried out later.
	Order(ctx context.Context, replica *api.Replica, order RoleOrder) (OrderOutcome, error)
}

// RoleState is what a replica says of its role.
type RoleState struct {
	Role api.EngineRole
	// Busy is true while an order is under way.
	Busy bool
	// Sequence counts the orders that it has taken.
	Sequence uint64
	// Born is when its process started by its own word, in milliseconds since 1970; 0 if it
	// did not say.
	Born int64
}

// RoleOrder is one order. The replica carries it out only while it has taken
// Expected orders, so one that arrives late undoes nothing newer.
type RoleOrder struct {
	Role     api.EngineRole
	Holder   string
	Fence    uint64
	Expected uint64
}

// OrderOutcome is what came of an order.
type OrderOutcome uint8

// Outcomes of an order.
const (
	OrderUnanswered OrderOutcome = iota
	OrderTaken
	OrderRefused // not taken; another may be under way
	OrderFenced  // a newer leader has ordered there
)

// String returns the outcome's name.
func (o OrderOutcome) String() string {
	names := [...]string{"unanswered", "taken", "refused", "fenced"}
	return names[o]
}

// Times of role changes.
const (
	rolePause    = 250 * time.Millisecond // between two looks at the balance
	roleTimeout  = time.Second            // of one question or order
	drainTimeout = time.Second            // of a replica's requests before its order
	drainPoll    = 20 * time.Millisecond
	// defaultSwitch is how long a change takes where the configuration does not say.
	defaultSwitch = 3 * time.Second
	// changeSlack is how much longer than that a change may take to be listed.
	changeSlack = 5 * time.Second
)

// roleDuty is what one leadership keeps of role changes. Only the duties' loop
// uses it, but for fenced.
type roleDuty struct {
	next time.Duration
	// readAt is when a replica was last told to read.
	readAt time.Duration
	// fenced is set once a replica has heard of a newer leader: this one orders
	// nothing any more.
	fenced atomic.Bool
}

// tendRoles has replicas take the other role where their service's requests show
// that it pays.
func (d *duties) tendRoles(term *termDuties, now time.Duration) {
	if d.group.config.Roles == nil || !d.group.config.ChangeRoles || term.roles.fenced.Load() || now < term.roles.next {
		return
	}
	if now-term.startedAt < d.group.config.Durations.OrderSettle {
		return
	}
	term.roles.next = now + rolePause
	current := d.group.machine.view()
	for _, service := range d.group.desk.services() {
		d.balance(term, current, service)
	}
}

func (d *duties) balance(term *termDuties, current *view.View, service string) {
	now := monotonic()
	load := d.group.desk.load(d.group.machine.history.Load(), service, now)
	load.ReversalAllowed = now-max(term.roles.readAt, term.startedAt) >= planner.ReversalPause
	changes := planner.Balance(load)
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
			term.roles.readAt = now
		}
		takes := switchTime(current, service)
		d.group.desk.change(service, replica.Name, role, takes, monotonic())
		term.background.Go(func() { d.changeRole(term.orders, term, service, replica, role) })
	}
}

// switchTime is how long a change of role takes in a service.
func switchTime(current *view.View, service string) time.Duration {
	held := current.Ingresses[api.IngressName]
	if held == nil {
		return defaultSwitch
	}
	for i := range held.Spec.Services {
		sheet := held.Spec.Services[i].Model
		if held.Spec.Services[i].Name == service && sheet != nil && sheet.SwitchMillis > 0 {
			return time.Duration(sheet.SwitchMillis) * time.Millisecond
		}
	}
	return defaultSwitch
}

// changeRole waits until the replica has nothing under way, asks what it is, and
// orders the role. The lease is checked last before the order leaves: a leader
// that was stopped or cut off meanwhile orders nothing.
func (d *duties) changeRole(ctx context.Context, term *termDuties, service string, replica *api.Replica, role api.EngineRole) {
	d.awaitIdle(ctx, service, replica.Name)
	asking, cancel := context.WithTimeout(ctx, roleTimeout)
	defer cancel()
	told, err := d.group.config.Roles.State(asking, replica)
	if err != nil || told.Busy || told.Role == role {
		event.RoleOrdered.Log(d.logger, "replica", replica.Name, "role", role, "fence", term.number, "outcome", "not_sent", "busy", told.Busy, "err", err)
		return
	}
	ordering, cancel := context.WithTimeout(ctx, roleTimeout)
	defer cancel()
	if number, valid := d.lease(ordering); !valid || number != term.number || term.roles.fenced.Load() {
		return
	}
	outcome, err := d.group.config.Roles.Order(ordering, replica, RoleOrder{
		Role: role, Holder: d.group.config.Name, Fence: term.number, Expected: told.Sequence,
	})
	event.RoleOrdered.Log(d.logger, "replica", replica.Name, "role", role, "fence", term.number, "outcome", outcome, "err", err)
	if outcome == OrderFenced {
		term.roles.fenced.Store(true)
	}
}

// awaitIdle waits until nothing is under way on the replica, or for drainTimeout.
func (d *duties) awaitIdle(ctx context.Context, service, replica string) {
	for waited := time.Duration(0); waited < drainTimeout; waited += drainPoll {
		if d.group.desk.idle(service, replica) || !pause.For(ctx, drainPoll) {
			return
		}
	}
}

// services returns the model services that requests were placed for.
func (d *placementDesk) services() []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	return slices.Sorted(maps.Keys(d.boards))
}

// load returns what the service's board shows.
func (d *placementDesk) load(current *view.History, service string, now time.Duration) planner.ServiceLoad {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.update(current)
	board := d.boards[service]
	var load planner.ServiceLoad
	load.LateShare, load.Requests = board.Late(now)
	load.DecodeStartShare = board.Starting()
	for _, shown := range board.Occupancies(now) {
		load.Replicas = append(load.Replicas, planner.ReplicaLoad{
			Name:     shown.Name,
			Zone:     shown.Zone,
			Prefill:  shown.Role == placement.RolePrefill,
			Running:  shown.Running,
			Slots:    shown.Slots,
			Queued:   shown.Queued,
			Changing: shown.Changing,
		})
	}
	return load
}

// change keeps requests off a replica that is to take the role.
func (d *placementDesk) change(service, replica string, role api.EngineRole, takes, now time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	placed := placement.RoleDecode
	if role == api.RolePrefill {
		placed = placement.RolePrefill
	}
	d.boards[service].Change(now, replica, placed, takes, drainTimeout+takes+changeSlack)
}

func (d *placementDesk) idle(service, replica string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.boards[service].Idle(replica)
}
