package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
	"github.com/landingtrail/landingtrail/version/state"
)

// CapacityOrders sets the number of replicas per zone and kind of a service. There are two kinds:
// withdrawable replicas, which the platform may take back, and lasting ones.
type CapacityOrders interface {
	// Scale sends an order. CallNoCapacity means that the platform has no replicas of the kind in the
	// zone now; the other outcomes are those of any platform call.
	Scale(ctx context.Context, holder CallHolder, order CapacityOrder) (CallOutcome, error)
}

// CapacityOrder is a wanted number of replicas, as an absolute number. The latest order for a
// service, zone and kind applies.
type CapacityOrder struct {
	Service      string
	Zone         string
	Withdrawable bool
	Wanted       int
}

// Timing of capacity management.
const (
	capacityCheckInterval = 250 * time.Millisecond // between two plans
	// capacitySettleTime is how long the number of listed replicas must stay the same before it
	// is taken as the initial capacity: a list that is still filling up shows too few.
	capacitySettleTime = 2 * time.Second
	// orderExpiry is how long an unanswered order may still be executed, overriding newer ones;
	// until then the latest order is repeated.
	orderExpiry = 13 * time.Second
	// orderRepeatInterval is the interval at which an order is repeated.
	orderRepeatInterval = 2 * time.Second
	// maxNoCapacityPause limits the pause before a zone without capacity is asked again.
	maxNoCapacityPause = 4 * time.Second
	// orderListTime is how long it takes an executed order to show in the list, in addition to
	// the start time of a replica.
	orderListTime = 3 * time.Second
)

// capacityTermState is the state of capacity management in one term. Only the leader's loop uses
// it, except for what callGuard protects.
type capacityTermState struct {
	callGuard
	nextCheck time.Duration // when the capacity is next planned
	// listed is the number of listed replicas by service, with the time since when it has been the
	// same.
	listed map[string]listedSince
	orders map[orderKey]*orderState
	// results are the results of the last orders. They are written by the sending goroutine while
	// busy is set, and read by the loop while it is not.
	results []orderResult
}

type listedSince struct {
	count int
	at    time.Duration
}

type orderKey struct {
	service      string
	zone         string
	withdrawable bool
}

// orderState is the state of the orders for one service, zone and kind.
type orderState struct {
	// ordered is the last number ordered.
	ordered int
	// at is when that order was started or, once there is one, when its result was read.
	at time.Duration
	// outcome is the result of that order.
	outcome CallOutcome
	// mayExecuteUntil is the time until which an unanswered order may still be executed.
	mayExecuteUntil time.Duration
	noCapacityPause time.Duration // pause after the last result of CallNoCapacity
}

type orderResult struct {
	key     orderKey
	outcome CallOutcome
}

func newCapacityTermState() capacityTermState {
	return capacityTermState{listed: map[string]listedSince{}, orders: map[orderKey]*orderState{}}
}

// manageCapacity decides how many replicas each zone should have, and orders them.
func (d *leaderTasks) manageCapacity(ctx context.Context, term *termState) {
	now := monotonic()
	if d.group.config.Capacity == nil || now < term.capacity.nextCheck {
		return
	}
	term.capacity.nextCheck = now + capacityCheckInterval
	term.capacity.collectResults(now)
	listed, reads := d.fleet.replicas()
	ingress := d.group.machine.view().Ingresses[api.IngressName]
	if reads == 0 || ingress == nil {
		return
	}
	var changes state.Observe
	for i := range ingress.Spec.Services {
		service := &ingress.Spec.Services[i]
		if service.Scaling != nil {
			d.planCapacity(term, service, listed, now, &changes)
		}
	}
	if len(changes.Put) > 0 {
		if _, err := d.group.propose(ctx, state.Command{Kind: state.CommandObserve, Observe: &changes}); err != nil {
			return // decided again in a later round
		}
		for _, object := range changes.Put {
			spec := &object.Capacity.Spec
			event.CapacityDecided.Log(d.logger, "capacity", object.Capacity.Name, "found", spec.Found, "lasting", spec.Lasting, "withdrawable", spec.Withdrawable, "reason", spec.Reason)
		}
	}
	d.orderCapacity(term, ingress, listed, now)
}

// planCapacity adds the decisions on a service that differ from the last ones to changes. If too few
// replicas are left, lasting ones are planned in place of missing withdrawable ones.
func (d *leaderTasks) planCapacity(term *termState, service *api.RouteService, listed map[string]listedReplica, now time.Duration, changes *state.Observe) {
	zones := zonesOf(service, listed, d.group.machine.view().Capacities)
	if !term.capacity.isSettled(service.Name, zones, now) {
		return
	}
	plans := planner.PlanCapacity(service.Scaling, zones)
	if planner.HasShortage(zones) {
		plans = planner.ReplaceMissing(service.Scaling, zones, plans)
	}
	for i := range zones {
		name := api.CapacityName(service.Name, zones[i].Zone)
		if known := d.group.machine.view().Capacities[name]; known != nil && known.Spec == plans[i] {
			continue
		}
		changes.Put = append(changes.Put, api.Object{Capacity: &api.Capacity{Metadata: api.Metadata{Name: name}, Spec: plans[i]}})
	}
}

// isSettled reports whether the initial capacity of a service is known: either a decision was
// made before, or the number of listed replicas has not changed for capacitySettleTime. It records
// the number that it finds.
func (c *capacityTermState) isSettled(service string, zones []planner.ZoneCapacity, now time.Duration) bool {
	count, decided := 0, true
	for i := range zones {
		count += zones[i].Lasting + zones[i].Withdrawable
		decided = decided && zones[i].Wanted.Reason != ""
	}
	if decided {
		return len(zones) > 0
	}
	if known := c.listed[service]; known.count != count {
		c.listed[service] = listedSince{count: count, at: now}
		return false
	}
	return count > 0 && now-c.listed[service].at >= capacitySettleTime
}

// zonesOf returns the capacity of a service's zones, sorted by name. For a zone without a
// decision, the lasting replicas found are the wanted capacity.
func zonesOf(service *api.RouteService, listed map[string]listedReplica, decided map[string]*api.Capacity) []planner.ZoneCapacity {
	zones := map[string]*planner.ZoneCapacity{}
	for _, known := range listed {
		spec := &known.replica.Spec
		if spec.Service != service.Name {
			continue
		}
		zone := zones[spec.Zone]
		if zone == nil {
			zone = &planner.ZoneCapacity{Zone: spec.Zone}
			zones[spec.Zone] = zone
		}
		switch {
		case spec.Leaving:
		case spec.Withdrawable:
			zone.Withdrawable++
		default:
			zone.Lasting++
		}
	}
	for name, known := range decided {
		for zone := range service.Scaling.ZonePrices {
			if name == api.CapacityName(service.Name, zone) && zones[zone] == nil {
				zones[zone] = &planner.ZoneCapacity{Zone: zone, Wanted: known.Spec} // no replicas are left in the zone
			}
		}
	}
	all := make([]planner.ZoneCapacity, 0, len(zones))
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		zone := *zones[name]
		if known := decided[api.CapacityName(service.Name, name)]; known != nil {
			zone.Wanted = known.Spec
		} else {
			zone.Wanted = api.CapacitySpec{Found: zone.Lasting, Lasting: zone.Lasting}
		}
		all = append(all, zone)
	}
	return all
}

// collectResults applies the results of the last orders once they are complete.
func (c *capacityTermState) collectResults(now time.Duration) {
	if c.busy.Load() {
		return
	}
	for _, result := range c.results {
		known := c.orders[result.key]
		known.outcome, known.at = result.outcome, now
		switch result.outcome {
		case CallUnanswered:
			known.mayExecuteUntil = now + orderExpiry
		case CallNoCapacity:
			known.noCapacityPause = min(max(2*known.noCapacityPause, platformCallPause), maxNoCapacityPause)
		default:
			known.noCapacityPause = 0
		}
	}
	c.results = nil
}

// dueOrder is an order that is to be sent.
type dueOrder struct {
	key    orderKey
	wanted int
}

// orderCapacity starts sending the orders that are due, sequentially and in the background.
func (d *leaderTasks) orderCapacity(term *termState, ingress *api.Ingress, listed map[string]listedReplica, now time.Duration) {
	capacity := &term.capacity
	if capacity.busy.Load() {
		return
	}
	var due []dueOrder
	for i := range ingress.Spec.Services {
		service := &ingress.Spec.Services[i]
		if service.Scaling == nil {
			continue
		}
		zones := zonesOf(service, listed, d.group.machine.view().Capacities)
		for _, withdrawable := range []bool{true, false} { // the cheaper kind first
			for k := range zones {
				key := orderKey{service: service.Name, zone: zones[k].Zone, withdrawable: withdrawable}
				wanted, ready := zones[k].Wanted.Lasting, zones[k].Lasting
				if withdrawable {
					wanted, ready = zones[k].Wanted.Withdrawable, zones[k].Withdrawable
				}
				if capacity.isDue(key, wanted, ready, zones[k].Wanted.Found, time.Duration(service.Scaling.BootMillis)*time.Millisecond, now) {
					due = append(due, dueOrder{key: key, wanted: wanted})
				}
			}
		}
	}
	if len(due) > 0 {
		d.startOrders(term, due)
	}
}

// isDue reports whether an order is to be sent now: its number differs from the last one ordered,
// the last order was not executed, an older unanswered one may still override it, or it has not
// taken effect in time.
func (c *capacityTermState) isDue(key orderKey, wanted, ready, found int, boot, now time.Duration) bool {
	known := c.orders[key]
	if known == nil {
		// Without a previous order, none is needed as long as the capacity found is the wanted
		// one.
		unchanged := !key.withdrawable && wanted == found && ready == found || key.withdrawable && wanted == 0 && ready == 0
		return !unchanged
	}
	switch {
	case known.ordered != wanted:
		return true
	case known.outcome == CallNoCapacity:
		return now-known.at >= known.noCapacityPause
	case known.outcome != CallDone:
		return now-known.at >= platformCallPause
	case now < known.mayExecuteUntil:
		return now-known.at >= orderRepeatInterval
	default:
		return ready < wanted && now-known.at >= boot+orderListTime
	}
}

// startOrders sends the orders sequentially in the background, unless orders are being sent.
func (d *leaderTasks) startOrders(term *termState, due []dueOrder) {
	capacity := &term.capacity
	if !capacity.busy.CompareAndSwap(false, true) {
		return
	}
	for _, next := range due {
		known := capacity.orders[next.key]
		if known == nil {
			known = &orderState{}
			capacity.orders[next.key] = known
		}
		known.ordered, known.at = next.wanted, monotonic()
	}
	capacity.results = make([]orderResult, len(due))
	term.background.Go(func() {
		for i, next := range due {
			capacity.results[i] = orderResult{key: next.key, outcome: d.sendOrder(term, next.key, next.wanted)}
		}
		capacity.busy.Store(false) // from here on the loop may read the results
		d.wake()
	})
}

// sendOrder sends one order. An order that this member may not send now gives CallRefused.
func (d *leaderTasks) sendOrder(term *termState, key orderKey, wanted int) CallOutcome {
	ctx, cancel := context.WithTimeout(term.orders, platformCallTimeout)
	defer cancel()
	holder, ok := d.authorizeCall(ctx, term, &term.capacity.callGuard)
	if !ok {
		return CallRefused
	}
	outcome, err := d.group.config.Capacity.Scale(ctx, holder, CapacityOrder{
		Service: key.service, Zone: key.zone, Withdrawable: key.withdrawable, Wanted: wanted,
	})
	event.CapacityOrdered.Log(d.logger, "service", key.service, "zone", key.zone, "withdrawable", key.withdrawable, "wanted", wanted,
		"fence", holder.Fence, "outcome", outcome, "err", err)
	if outcome == CallFenced {
		term.capacity.fenced.Store(true)
	}
	return outcome
}
