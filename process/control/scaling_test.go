package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// fakePlatform is a platform with replicas, which executes orders immediately.
type fakePlatform struct {
	fleet *fakeFleet

	lock      sync.Mutex
	exhausted map[string]bool // zones without withdrawable capacity
	outcome   CallOutcome     // of calls; only CallDone executes them
	orders    []CapacityOrder
	fences    []uint64
	counts    map[CapacityOrder]int // keyed by orders with Wanted = 0
}

func newFakePlatform(fleet *fakeFleet, found int, zones ...string) *fakePlatform {
	m := &fakePlatform{fleet: fleet, exhausted: map[string]bool{}, outcome: CallDone, counts: map[CapacityOrder]int{}}
	for _, zone := range zones {
		m.counts[CapacityOrder{Service: "llm", Zone: zone}] = found
	}
	m.list()
	return m
}

// list publishes the current replicas. The caller holds the lock or has exclusive access.
func (m *fakePlatform) list() {
	var all []api.Replica
	for kind, count := range m.counts {
		for i := range count {
			all = append(all, api.Replica{
				Metadata: api.Metadata{Name: fmt.Sprintf("%s-%t-%d", kind.Zone, kind.Withdrawable, i)},
				Spec:     api.ReplicaSpec{Service: "llm", Address: "10.0.0.1:80", Zone: kind.Zone, Withdrawable: kind.Withdrawable},
			})
		}
	}
	m.fleet.set(all...)
}

func (m *fakePlatform) Scale(_ context.Context, holder CallHolder, order CapacityOrder) (CallOutcome, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.orders = append(m.orders, order)
	m.fences = append(m.fences, holder.Fence)
	if order.Withdrawable && m.exhausted[order.Zone] {
		return CallNoCapacity, nil
	}
	if m.outcome == CallDone {
		m.counts[CapacityOrder{Service: order.Service, Zone: order.Zone, Withdrawable: order.Withdrawable}] = order.Wanted
		m.list()
	}
	return m.outcome, nil
}

func (m *fakePlatform) count(zone string, withdrawable bool) int {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.counts[CapacityOrder{Service: "llm", Zone: zone, Withdrawable: withdrawable}]
}

func (m *fakePlatform) withdraw(zone string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.exhausted[zone] = true
	m.counts[CapacityOrder{Service: "llm", Zone: zone, Withdrawable: true}] = 0
	m.list()
}

func (m *fakePlatform) restock(zone string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.exhausted[zone] = false
}

// newScalingGroup returns a group and a platform with 20 lasting replicas per zone.
func newScalingGroup(t *testing.T) (*growingGroup, *fakePlatform) {
	g := newGrowingGroup(t, 3, 3, 1)
	platform := newFakePlatform(g.fleet, 20, "a", "b", "c")
	for i := range g.configs {
		g.configs[i].Capacity = platform
		g.configs[i].Durations.OrderSettle = time.Millisecond
	}
	g.start(0, 1, 2)
	g.awaitVoters(3, 0, 1, 2)
	spec := ingressOf(1, "")
	spec.Services = append(spec.Services, api.RouteService{Name: "llm", Scaling: &api.ScalingSheet{Min: 1, Max: 60, WithdrawablePrice: 0.2}})
	must.Eq(t, api.ReplaceApplied, g.replaceIngress(0, spec).Code)
	return g, platform
}

// Withdrawable replicas, the cheaper kind, are ordered first, and lasting ones are reduced to
// their base number once those are present. After a withdrawal the zone is asked again until it
// has capacity. A new leader continues from the decisions made, and does not take the present
// capacity for the initial one.
func TestCapacityIsOrdered(t *testing.T) {
	g, platform := newScalingGroup(t)
	settled := func() bool {
		for _, zone := range []string{"a", "b", "c"} {
			if platform.count(zone, false) != 2 || platform.count(zone, true) != 27 {
				return false
			}
		}
		return true
	}
	eventually(t, "the wanted capacity is reached", settled)
	platform.lock.Lock()
	for _, order := range platform.orders[:3] {
		must.True(t, order.Withdrawable, must.Sprint("no replicas are given up first"))
	}
	platform.lock.Unlock()
	platform.withdraw("b")
	time.Sleep(300 * time.Millisecond)
	must.Eq(t, 2, platform.count("a", false))
	platform.restock("b")
	eventually(t, "the zone's replicas are replaced", settled)

	g.crash(g.leader())
	eventually(t, "the next leader reaches the wanted capacity", func() bool { return g.leader() >= 0 && settled() })
	time.Sleep(time.Second)
	must.True(t, settled())
	current := g.running[g.leader()].member.machine.view().Capacities
	must.MapLen(t, 3, current)
	must.Eq(t, 20, current["llm/a"].Spec.Found, must.Sprint("the initial capacity, not the present one"))
}

// When two zones lose their withdrawable replicas at once, lasting ones replace them until they
// are back.
func TestLastingReplicasReplaceWithdrawnOnes(t *testing.T) {
	_, platform := newScalingGroup(t)
	eventually(t, "the wanted capacity is reached", func() bool {
		return platform.count("a", false) == 2 && platform.count("c", false) == 2 && platform.count("a", true) == 27
	})
	platform.withdraw("a")
	platform.withdraw("b")
	eventually(t, "additional lasting replicas are ordered", func() bool {
		return platform.count("a", false)+platform.count("b", false)+platform.count("c", false) >= 33
	})
	platform.restock("a")
	platform.restock("b")
	eventually(t, "the wanted capacity is reached again", func() bool { return platform.count("a", false) == 2 && platform.count("b", true) == 27 })
}

// An order is due if its number is new, it was not executed, an older order may still override
// it, or it has not taken effect in time.
func TestWhenCapacityOrdersAreDue(t *testing.T) {
	key := orderKey{service: "s", zone: "a", withdrawable: true}
	const boot = 4 * time.Second
	cases := []struct {
		name          string
		known         *orderState
		wanted, ready int
		now           time.Duration
		due           bool
	}{
		{"never ordered, none wanted", nil, 0, 0, 0, false},
		{"never ordered", nil, 5, 0, 0, true},
		{"as ordered", &orderState{ordered: 5, outcome: CallDone}, 5, 5, time.Hour, false},
		{"another number", &orderState{ordered: 5, outcome: CallDone}, 6, 5, 0, true},
		{"refused, at once", &orderState{ordered: 5, outcome: CallRefused}, 5, 0, time.Millisecond, false},
		{"refused, later", &orderState{ordered: 5, outcome: CallRefused}, 5, 0, platformCallPause, true},
		{"no capacity, at once", &orderState{ordered: 5, outcome: CallNoCapacity, noCapacityPause: time.Second}, 5, 0, 900 * time.Millisecond, false},
		{"no capacity, later", &orderState{ordered: 5, outcome: CallNoCapacity, noCapacityPause: time.Second}, 5, 0, time.Second, true},
		{"an older order may still be executed", &orderState{ordered: 5, outcome: CallDone, mayExecuteUntil: orderExpiry}, 5, 5, orderRepeatInterval, true},
		{"replicas starting", &orderState{ordered: 5, outcome: CallDone}, 5, 0, boot, false},
		{"no effect in time", &orderState{ordered: 5, outcome: CallDone}, 5, 0, boot + orderListTime, true},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			capacity := newCapacityTermState()
			if each.known != nil {
				capacity.orders[key] = each.known
			}
			must.Eq(t, each.due, capacity.isDue(key, each.wanted, each.ready, 0, boot, each.now))
		})
	}
	lasting := newCapacityTermState()
	must.False(t, lasting.isDue(orderKey{service: "s", zone: "a"}, 47, 47, 47, boot, 0), must.Sprint("as found"))
	must.True(t, lasting.isDue(orderKey{service: "s", zone: "a"}, 47, 40, 47, boot, 0))
}
