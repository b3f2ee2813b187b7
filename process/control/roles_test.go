package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// sentOrder is an order received by a replica.
type sentOrder struct {
	replica string
	order   RoleOrder
	at      time.Time
}

// fakeRoles implements RoleOrders with a configurable state and outcome.
type fakeRoles struct {
	lock    sync.Mutex
	state   RoleState
	failing error
	outcome OrderOutcome
	sent    []sentOrder
}

func (f *fakeRoles) State(context.Context, *api.Replica) (RoleState, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.state, f.failing
}

func (f *fakeRoles) Order(_ context.Context, replica *api.Replica, order RoleOrder) (OrderOutcome, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.sent = append(f.sent, sentOrder{replica: replica.Name, order: order, at: time.Now()})
	return f.outcome, nil
}

func (f *fakeRoles) orders() []sentOrder {
	f.lock.Lock()
	defer f.lock.Unlock()
	return append([]sentOrder(nil), f.sent...)
}

// newRoleTasks returns the tasks of a leader in term 7 whose lease is given by the test.
func newRoleTasks(roles RoleOrders, lease func() (uint64, bool)) (*leaderTasks, *termState) {
	boards := newPlacementBoards()
	boards.update(modelView(1, "r-1"))
	d := &leaderTasks{
		group:  &group{boards: boards, rates: ratelimit.NewLimiter(ratelimit.DefaultRule, 0), config: Config{Name: "member-1", Roles: roles, ChangeRoles: true}.WithDefaults()},
		logger: log.NewNopLogger(),
		lease:  func(context.Context) (uint64, bool) { return lease() },
	}
	return d, &termState{number: 7}
}

func TestRoleOrderRequiresLeaseOfTerm(t *testing.T) {
	leads := func() (uint64, bool) { return 7, true }
	cases := []struct {
		name  string
		roles *fakeRoles
		lease func() (uint64, bool)
		sent  int
	}{
		{"leading", &fakeRoles{state: RoleState{Role: api.RoleDecode, Sequence: 3}}, leads, 1},
		{"lease expired", &fakeRoles{}, func() (uint64, bool) { return 7, false }, 0},
		{"elected for another term", &fakeRoles{}, func() (uint64, bool) { return 8, true }, 0},
		{"replica does not answer", &fakeRoles{failing: errors.New("replica does not answer")}, leads, 0},
		{"another order in progress", &fakeRoles{state: RoleState{Busy: true}}, leads, 0},
		{"role taken already", &fakeRoles{state: RoleState{Role: api.RolePrefill}}, leads, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			d, term := newRoleTasks(test.roles, test.lease)
			replica := &api.Replica{Metadata: api.Metadata{Name: "r-1"}}
			d.changeRole(t.Context(), term, "chat", replica, api.RolePrefill)
			sent := test.roles.orders()
			must.SliceLen(t, test.sent, sent)
			if test.sent > 0 {
				must.Eq(t, RoleOrder{Role: api.RolePrefill, Holder: "member-1", Fence: 7, Expected: 3}, sent[0].order)
			}
		})
	}
}

// A leader sends no more orders once one replica has reported a newer leader.
func TestFencedLeaderSendsNoRoleOrders(t *testing.T) {
	roles := &fakeRoles{outcome: OrderFenced}
	d, term := newRoleTasks(roles, func() (uint64, bool) { return 7, true })
	replica := &api.Replica{Metadata: api.Metadata{Name: "r-1"}}
	d.changeRole(t.Context(), term, "chat", replica, api.RolePrefill)
	d.changeRole(t.Context(), term, "chat", replica, api.RolePrefill)
	must.SliceLen(t, 1, roles.orders())
	must.True(t, term.roles.fenced.Load())
	before := term.roles.nextCheck
	d.manageRoles(term, time.Hour)
	must.Eq(t, before, term.roles.nextCheck)
}

// Replicas keep their roles if role changes are disabled or no RoleOrders are configured.
func TestRoleChangesRequireConfiguration(t *testing.T) {
	for name, config := range map[string]Config{"disabled": {Roles: &fakeRoles{}}, "no role orders configured": {ChangeRoles: true}} {
		t.Run(name, func(t *testing.T) {
			d, term := newRoleTasks(&fakeRoles{}, func() (uint64, bool) { return 7, true })
			d.group.config = config.WithDefaults()
			d.manageRoles(term, time.Hour)
			must.Eq(t, 0, term.roles.nextCheck)
		})
	}
}

// A replica that is changing its role gets no new requests until it is listed with its new role
// or the change is considered failed.
func TestNoPlacementDuringRoleChange(t *testing.T) {
	boards := newPlacementBoards()
	request := feed.PlaceRequest{Service: "chat", Number: 1, Ask: placement.Request{PromptTokens: 100, MaxOutputTokens: 10, Deadline: time.Second}}
	place := func(revision uint64, now time.Duration) string {
		answer, _ := boards.place(modelView(revision, "r-1"), "proxy-1", request, false, now)
		return answer.Generator
	}
	must.Eq(t, "r-1", place(1, 0))
	boards.startRoleChange("chat", "r-1", api.RoleDecode, time.Second, 0)
	must.Eq(t, "", place(1, 500*time.Millisecond))
	must.Eq(t, "r-1", place(1, 1100*time.Millisecond))
	boards.startRoleChange("chat", "r-1", api.RolePrefill, time.Second, 2*time.Second)
	must.Eq(t, "", place(1, 4*time.Second), must.Sprint("it is still listed with its old role"))
	must.Eq(t, "r-1", place(1, time.Minute), must.Sprint("the change is considered failed"))
}

// modelIngress returns a configuration with one model service and an objective for the first
// token.
func modelIngress() api.IngressSpec {
	return api.IngressSpec{
		Generation: 1,
		Source:     []byte("model"),
		Services:   []api.RouteService{{Name: "chat", Model: &api.ModelSheet{Slots: 8, SwitchMillis: 50}}},
		Routes: []api.Route{{Name: "r", Host: "a", PathPrefix: "/", Kind: api.RouteStreaming, TimeoutMilliseconds: 1000,
			ObjectiveMilliseconds: 200, Backends: []api.RouteBackend{{Service: "chat", Weight: 1}}}},
	}
}

// placeLateRequests makes the leader place requests that cannot meet their objective, until ended
// is closed.
func placeLateRequests(members []*member, ended <-chan struct{}) {
	for number := uint64(1); ; number++ {
		select {
		case <-ended:
			return
		case <-time.After(2 * time.Millisecond):
		}
		for _, each := range members {
			current := each.group.Load()
			if current == nil || !current.Leadership().Leads {
				continue
			}
			request := placement.Request{PromptTokens: 500_000, MaxOutputTokens: 1, Zone: "a", Objective: 200 * time.Millisecond, Deadline: time.Minute}
			current.Place("proxy", feed.PlaceRequest{Service: "chat", Number: number, Ask: request})
			current.RecordProgress("proxy", feed.PlacementProgress{Service: "chat", Number: number, Note: placement.ProgressReport{Step: placement.StepEnded}})
		}
	}
}

// Each leader sends orders under its own term, and a new leader none before the orders of the
// previous one have settled.
func TestRoleOrdersOfTwoLeadersDoNotOverlap(t *testing.T) {
	const settle = 400 * time.Millisecond
	roles := &fakeRoles{state: RoleState{Role: api.RoleDecode}, outcome: OrderUnanswered}
	g := newGrowingGroup(t, 3, 3, 1)
	for i := range g.configs {
		g.configs[i].Roles, g.configs[i].ChangeRoles = roles, true
		g.configs[i].Durations.OrderSettle = settle
	}
	var replicas []api.Replica
	for i := range 12 {
		role := api.RoleDecode
		if i < 2 {
			role = api.RolePrefill
		}
		replicas = append(replicas, api.Replica{
			Metadata: api.Metadata{Name: fmt.Sprintf("m-%02d", i)},
			Spec:     api.ReplicaSpec{Service: "chat", Address: "10.0.0.1:80", Zone: "a", Slots: 8, Role: role},
		})
	}
	g.fleet.set(replicas...)
	g.start(0, 1, 2)
	g.awaitVoters(3, 0, 1, 2)
	_, err := g.accessOf(g.leader()).ReplaceIngress(t.Context(), modelIngress())
	must.NoError(t, err)
	var members []*member
	for _, running := range g.running {
		members = append(members, running.member)
	}
	ended := make(chan struct{})
	var requests sync.WaitGroup
	requests.Go(func() { placeLateRequests(members, ended) })
	eventually(t, "the leader sends orders", func() bool { return len(roles.orders()) > 0 })
	g.crash(g.leader())
	crashed := time.Now()
	first := roles.orders()
	eventually(t, "the next leader sends orders", func() bool { return len(roles.orders()) > len(first) })
	close(ended)
	requests.Wait()
	holders := map[uint64]string{}
	last := uint64(0)
	for _, sent := range roles.orders() {
		must.GreaterEq(t, last, sent.order.Fence, must.Sprint("fencing tokens never decrease"))
		last = sent.order.Fence
		if holder, known := holders[sent.order.Fence]; known {
			must.Eq(t, holder, sent.order.Holder, must.Sprint("a fencing token has one holder"))
		}
		holders[sent.order.Fence] = sent.order.Holder
	}
	must.MapLen(t, 2, holders)
	must.GreaterEq(t, settle, roles.orders()[len(first)].at.Sub(crashed))
}

// Guards against role changes in services whose replicas do not report their slowness, where only those services are to
// have them, and against none in the others.
func TestOnlyRolesOfServicesThatReportSlownessChange(t *testing.T) {
	for _, reportsSlowness := range []bool{false, true} {
		board := placement.NewBoard()
		var listed []placement.Replica
		current := &view.View{Replicas: map[string]*api.Replica{}}
		for i := range 12 {
			role := placement.RoleDecode
			if i < 3 {
				role = placement.RolePrefill
			}
			name := fmt.Sprintf("r-%d", i)
			listed = append(listed, placement.Replica{Name: name, Zone: "a", Role: role, Slots: 8})
			current.Replicas[name] = &api.Replica{Metadata: api.Metadata{Name: name}}
		}
		board.SetReplicas(placement.ServiceParameters{}, listed)
		if reportsSlowness {
			board.RecordProgress(0, placement.Key{}, placement.ProgressReport{Step: placement.StepRefused, Replica: "r-0", ReportedSlowness: 1})
		}
		d, term := newRoleTasks(&fakeRoles{}, func() (uint64, bool) { return 7, true })
		d.group.config.ChangeRoles, d.group.config.ChangeRolesIfSlownessReported = false, true
		d.group.machine = newMachine()
		term.orders = t.Context()
		d.group.boards.boards["chat"] = board
		for number := range uint64(200) {
			request := placement.Request{PromptTokens: 100_000, Objective: time.Millisecond, Deadline: time.Minute}
			board.Place(monotonic(), placement.Key{Daemon: "proxy", Number: number}, request)
		}
		load := d.group.boards.serviceLoad(d.group.machine.history.Load(), "chat", monotonic())
		must.Eq(t, reportsSlowness, load.SlownessReported)
		must.Greater(t, 0.9, load.LateShare)
		d.balanceRoles(term, current, "chat")
		term.background.Wait()
		must.Eq(t, reportsSlowness, slices.ContainsFunc(board.Occupancies(monotonic()), func(o placement.Occupancy) bool { return o.Changing }))
	}
}
