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

// CapacityOrders says how many replicas of a kind a zone of a service is to have.
type CapacityOrders interface {
	// Scale orders it. DutyDry says that none of the kind are to be had there now.
	Scale(ctx context.Context, holder DutyHolder, order CapacityOrder) (DutyOutcome, error)
}

// CapacityOrder is one order. The newest one holds.
type CapacityOrder struct {
	Service      string
	Zone         string
	Withdrawable bool
	Wanted       int
}

// Times of capacity.
const (
	capacityPause = 250 * time.Millisecond // between two plans
	// capacitySettle is how long the number of listed replicas must stand before it is taken
	// for what was found: a list that fills up shows too few.
	capacitySettle = 2 * time.Second
	// orderLate is how long after an order without an answer it may still be carried out,
	// over newer ones; until then the newest is said again.
	orderLate = 13 * time.Second
	// orderAgain is between two times that an order is said again.
	orderAgain = 2 * time.Second
	// longestDry bounds the pause after which a zone is asked again that has none of a kind.
	longestDry = 4 * time.Second
	// orderRead is how long an order that was carried out takes to show in the list, beside
	// the time that a replica needs to start.
	orderRead = 3 * time.Second
)

// capacityDuty is what one leadership keeps of its orders. Only the duties' loop uses it,
// but for what its embedded duty guards.
type capacityDuty struct {
	duty
	next time.Duration
	// listed is how many replicas were listed of each service, and since when that stands.
	listed map[string]listedSince
	orders map[orderKey]*orderState
	// results are those of the last orders. Who makes the orders writes them while the duty
	// is busy, the loop reads them while it is not.
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

// orderState is what is known of the orders on one matter.
type orderState struct {
	said    int // the newest number, when it was said, and with what outcome
	at      time.Duration
	outcome DutyOutcome
	// unsure is until when an order without an answer may be carried out.
	unsure time.Duration
	dry    time.Duration // the pause after the last refusal for lack of replicas
}

type orderResult struct {
	key     orderKey
	outcome DutyOutcome
}

func newCapacityDuty() capacityDuty {
	return capacityDuty{listed: map[string]listedSince{}, orders: map[orderKey]*orderState{}}
}

// tendCapacity decides how many replicas each zone is to have, and orders them.
func (d *duties) tendCapacity(ctx context.Context, term *termDuties) {
	now := monotonic()
	if d.group.config.Capacity == nil || now < term.capacity.next {
		return
	}
	term.capacity.next = now + capacityPause
	term.capacity.collect(now)
	listed, reads := d.fleet.replicas()
	held := d.group.machine.view().Ingresses[api.IngressName]
	if reads == 0 || held == nil {
		return
	}
	var seen state.Observe
	for i := range held.Spec.Services {
		service := &held.Spec.Services[i]
		if service.Scaling != nil {
			d.planCapacity(term, service, listed, now, &seen)
		}
	}
	if len(seen.Put) > 0 {
		if _, err := d.group.propose(ctx, state.Command{Kind: state.CommandObserve, Observe: &seen}); err != nil {
			return // it is decided again with the next look
		}
		for _, object := range seen.Put {
			spec := &object.Capacity.Spec
			event.CapacityDecided.Log(d.logger, "capacity", object.Capacity.Name, "found", spec.Found, "lasting", spec.Lasting, "withdrawable", spec.Withdrawable, "reason", spec.Reason)
		}
	}
	d.orderCapacity(term, held, listed, now)
}

// planCapacity adds what differs from the last decision on a service.
func (d *duties) planCapacity(term *termDuties, service *api.RouteService, listed map[string]listedReplica, now time.Duration, seen *state.Observe) {
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
		seen.Put = append(seen.Put, api.Object{Capacity: &api.Capacity{Metadata: api.Metadata{Name: name}, Spec: plans[i]}})
	}
}

// isSettled reports whether it is known what was found: once it was decided upon, or when
// the number of listed replicas has stood for a while.
func (c *capacityDuty) isSettled(service string, zones []planner.ZoneCapacity, now time.Duration) bool {
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
	return count > 0 && now-c.listed[service].at >= capacitySettle
}

// zonesOf returns what the zones of a service have, by name. One that nothing was decided on
// has wanted what it was found with.
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
				zones[zone] = &planner.ZoneCapacity{Zone: zone, Wanted: known.Spec} // all of it is gone
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

// collect takes in what became of the orders that were under way.
func (c *capacityDuty) collect(now time.Duration) {
	if c.busy.Load() {
		return
	}
	for _, result := range c.results {
		known := c.orders[result.key]
		known.outcome, known.at = result.outcome, now
		switch result.outcome {
		case DutyUnanswered:
			known.unsure = now + orderLate
		case DutyDry:
			known.dry = min(max(2*known.dry, dutyPause), longestDry)
		default:
			known.dry = 0
		}
	}
	c.results = nil
}

// dueOrder is an order that is to be said.
type dueOrder struct {
	key    orderKey
	wanted int
}

// orderCapacity says the orders that are due, one after the other beside the rounds.
func (d *duties) orderCapacity(term *termDuties, held *api.Ingress, listed map[string]listedReplica, now time.Duration) {
	capacity := &term.capacity
	if capacity.busy.Load() {
		return
	}
	var due []dueOrder
	for i := range held.Spec.Services {
		service := &held.Spec.Services[i]
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

// isDue reports whether an order is to be said now: a new one, one that was not taken, one
// over which an older one may yet be carried out, or one that does not show.
func (c *capacityDuty) isDue(key orderKey, wanted, ready, found int, boot, now time.Duration) bool {
	known := c.orders[key]
	if known == nil {
		// What was found is as it should be until something else was wanted.
		unchanged := !key.withdrawable && wanted == found && ready == found || key.withdrawable && wanted == 0 && ready == 0
		return !unchanged
	}
	switch {
	case known.said != wanted:
		return true
	case known.outcome == DutyDry:
		return now-known.at >= known.dry
	case known.outcome != DutyDone:
		return now-known.at >= dutyPause
	case now < known.unsure:
		return now-known.at >= orderAgain
	default:
		return ready < wanted && now-known.at >= boot+orderRead
	}
}

func (d *duties) startOrders(term *termDuties, due []dueOrder) {
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
		known.said, known.at = next.wanted, monotonic()
	}
	capacity.results = make([]orderResult, len(due))
	term.background.Go(func() {
		for i, next := range due {
			capacity.results[i] = orderResult{key: next.key, outcome: d.orderOne(term, next.key, next.wanted)}
		}
		capacity.busy.Store(false) // the loop reads the results from here on
		d.wake()
	})
}

// orderOne makes one call.
func (d *duties) orderOne(term *termDuties, key orderKey, wanted int) DutyOutcome {
	ctx, cancel := context.WithTimeout(term.orders, dutyTimeout)
	defer cancel()
	holder, may := d.mayAct(ctx, term, &term.capacity.duty)
	if !may {
		return DutyRefused
	}
	outcome, err := d.group.config.Capacity.Scale(ctx, holder, CapacityOrder{
		Service: key.service, Zone: key.zone, Withdrawable: key.withdrawable, Wanted: wanted,
	})
	event.CapacityOrdered.Log(d.logger, "service", key.service, "zone", key.zone, "withdrawable", key.withdrawable, "wanted", wanted,
		"fence", holder.Fence, "outcome", outcome, "err", err)
	if outcome == DutyFenced {
		term.capacity.fenced.Store(true)
	}
	return outcome
}
