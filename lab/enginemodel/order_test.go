package enginemodel

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
)

func fence(index uint64) api.Fence { return api.Fence{Term: 2, Index: index} }

func order(index uint64, assignment api.Assignment) api.Order {
	return api.Order{Fence: fence(index), Engine: "e1", Incarnation: testIncarnation, Assignment: assignment}
}

func void(index uint64) engineapi.VoidRequest {
	return engineapi.VoidRequest{Fence: fence(index), Incarnation: testIncarnation}
}

func TestOrderCodes(t *testing.T) {
	otherIncarnation := order(5, decode)
	otherIncarnation.Incarnation++
	otherEngine := order(5, decode)
	otherEngine.Engine = "e2"
	olderTerm := order(100, decode)
	olderTerm.Fence.Term--
	cases := map[string]struct {
		earlier []api.Order
		voids   []uint64 // after the earlier orders
		settle  bool     // before the order
		order   api.Order
		want    engineapi.OrderCode
	}{
		"first":                  {order: order(5, decode), want: engineapi.OrderAccepted},
		"other incarnation":      {order: otherIncarnation, want: engineapi.OrderOtherIncarnation},
		"other engine":           {order: otherEngine, want: engineapi.OrderInvalid},
		"no fence":               {order: api.Order{Engine: "e1", Incarnation: testIncarnation, Assignment: decode}, want: engineapi.OrderInvalid},
		"unknown role":           {order: order(5, api.Assignment{Model: "m", Version: "v1", Role: "both"}), want: engineapi.OrderInvalid},
		"role without a model":   {order: order(5, api.Assignment{Role: api.RoleMixed}), want: engineapi.OrderInvalid},
		"model without a role":   {order: order(5, api.Assignment{Model: "m"}), want: engineapi.OrderInvalid},
		"unload":                 {order: order(5, api.Assignment{}), want: engineapi.OrderAccepted},
		"resend while open":      {earlier: []api.Order{order(5, decode)}, order: order(5, decode), want: engineapi.OrderAccepted},
		"same fence, other one":  {earlier: []api.Order{order(5, decode)}, order: order(5, prefill), want: engineapi.OrderInvalid},
		"newer while open":       {earlier: []api.Order{order(5, decode)}, order: order(6, prefill), want: engineapi.OrderBusy},
		"older while open":       {earlier: []api.Order{order(5, decode)}, order: order(4, prefill), want: engineapi.OrderStaleFence},
		"resend when done":       {earlier: []api.Order{order(5, decode)}, settle: true, order: order(5, decode), want: engineapi.OrderDone},
		"older when done":        {earlier: []api.Order{order(5, decode)}, settle: true, order: order(4, prefill), want: engineapi.OrderStaleFence},
		"older term":             {earlier: []api.Order{order(5, decode)}, settle: true, order: olderTerm, want: engineapi.OrderStaleFence},
		"newer when done":        {earlier: []api.Order{order(5, decode)}, settle: true, order: order(6, prefill), want: engineapi.OrderAccepted},
		"below a void":           {voids: []uint64{7}, order: order(6, decode), want: engineapi.OrderVoid},
		"at a void":              {voids: []uint64{7}, order: order(7, decode), want: engineapi.OrderVoid},
		"above a void":           {voids: []uint64{7}, order: order(8, decode), want: engineapi.OrderAccepted},
		"voided while open":      {earlier: []api.Order{order(5, decode)}, voids: []uint64{7}, order: order(5, decode), want: engineapi.OrderVoid},
		"done, then voided":      {earlier: []api.Order{order(5, mixed)}, voids: []uint64{7}, order: order(5, mixed), want: engineapi.OrderDone},
		"what it is already":     {earlier: []api.Order{order(5, mixed)}, order: order(5, mixed), want: engineapi.OrderDone},
		"after what it is":       {earlier: []api.Order{order(5, mixed)}, order: order(6, decode), want: engineapi.OrderAccepted},
		"below one done, voided": {earlier: []api.Order{order(5, mixed)}, voids: []uint64{7}, order: order(4, decode), want: engineapi.OrderStaleFence},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDriver(testConfig(mixed))
			for _, earlier := range c.earlier {
				must.Eq(t, engineapi.OrderAccepted, d.Order(0, earlier).Code)
			}
			for _, index := range c.voids {
				must.Eq(t, engineapi.OrderVoid, d.Void(0, void(index)).Code)
			}
			if c.settle {
				d.settle()
			}
			before := d.State()
			reply := d.Order(d.now, c.order)
			must.Eq(t, c.want, reply.Code)
			must.Eq(t, d.State(), reply.State)
			if c.want != engineapi.OrderAccepted {
				must.Eq(t, before, reply.State)
			}
		})
	}
}

func TestVoidCodes(t *testing.T) {
	d := newDriver(testConfig(mixed))
	d.Order(0, order(5, decode))
	other := void(9)
	other.Incarnation++
	must.Eq(t, engineapi.OrderOtherIncarnation, d.Void(0, other).Code)
	must.Eq(t, engineapi.OrderInvalid, d.Void(0, engineapi.VoidRequest{Incarnation: testIncarnation}).Code)
	must.Eq(t, engineapi.OrderStaleFence, d.Void(0, void(4)).Code)
	must.Eq(t, engineapi.OrderStaleFence, d.Void(0, void(5)).Code)
	must.NotNil(t, d.State().Order)
	must.Eq(t, engineapi.OrderVoid, d.Void(0, void(6)).Code)
	must.Eq(t, engineapi.OrderVoid, d.Void(0, void(6)).Code)
	must.Nil(t, d.State().Order)
	must.Eq(t, fence(6), d.State().Fence)
}

func TestChangeWaitsForLongAnswers(t *testing.T) {
	d := newDriver(testConfig(mixed))
	d.admit(t, request("long", 10, 20_000))
	d.admit(t, request("long, waits", 10, 20_000))
	d.step()
	d.Order(d.now, order(5, decode))
	d.runUntil(2 * time.Minute)
	must.Eq(t, api.PhaseDraining, d.State().Phase)
	must.Eq(t, RefusalDraining, d.Admit(d.now, request("new", 10, 10)).Refusal)
	d.settle()
	must.Eq(t, []string{"long", "long, waits"}, d.finished())
	must.Len(t, 40_000, d.of(EventToken))
	must.SliceEmpty(t, d.of(EventCancelled))
	must.Eq(t, api.PhaseServing, d.State().Phase)
	must.Eq(t, decode, d.State().Assignment)
}

func TestChangesTakeTheirTime(t *testing.T) {
	config := testConfig(mixed)
	adapted := mixed
	adapted.Adapters = []string{"a", "b"}
	newVersion := mixed
	newVersion.Version = "v2"
	cases := map[string]struct {
		wanted api.Assignment
		takes  time.Duration
		phase  api.EnginePhase
		load   *Load
	}{
		"role":    {decode, config.RoleChange, api.PhaseServing, nil},
		"unload":  {api.Assignment{}, config.RoleChange, api.PhaseIdle, nil},
		"adapter": {adapted, config.RoleChange, api.PhaseServing, &Load{Fence: fence(5), Version: "v1", Adapters: []string{"b"}}},
		"version": {newVersion, config.WeightLoad, api.PhaseServing, &Load{Fence: fence(5), Model: "m", Version: "v2", Adapters: []string{"a"}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDriver(config)
			d.Order(0, order(5, c.wanted))
			must.Eq(t, c.takes, d.step())
			must.Eq(t, api.PhaseChanging, d.State().Phase)
			must.Eq(t, RefusalChanging, d.Admit(0, request("new", 10, 10)).Refusal)
			loads := d.of(EventLoad)
			if c.load == nil {
				must.SliceEmpty(t, loads)
			} else {
				must.Eq(t, c.load, loads[0].Load)
			}
			d.settle()
			must.Eq(t, c.wanted, d.State().Assignment)
			must.Eq(t, c.phase, d.State().Phase)
		})
	}
}

func TestExternalLoadEndsByItsFence(t *testing.T) {
	config := testConfig(api.Assignment{})
	config.ExternalLoad = true
	d := newDriver(config)
	d.Order(0, order(5, mixed))
	must.Eq(t, Never, d.step())
	must.False(t, d.FinishLoad(d.now, fence(4)))
	must.Eq(t, engineapi.OrderVoid, d.Void(d.now, void(6)).Code)
	must.False(t, d.FinishLoad(d.now, fence(5)))
	must.Eq(t, api.PhaseIdle, d.State().Phase)
	d.Order(d.now, order(7, mixed))
	d.step()
	must.True(t, d.FinishLoad(d.now, fence(7)))
	must.Eq(t, mixed, d.State().Assignment)
	must.Eq(t, api.PhaseServing, d.State().Phase)
}

func TestVoidInEachPhase(t *testing.T) {
	newVersion := mixed
	newVersion.Version = "v2"
	cases := map[string]struct {
		wanted api.Assignment
		run    bool // a request holds up the change
		holds  api.Assignment
	}{
		"draining":        {newVersion, true, mixed},
		"changing role":   {decode, false, mixed},
		"loading weights": {newVersion, false, api.Assignment{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDriver(testConfig(mixed))
			if c.run {
				d.admit(t, request("r", 10, 100))
			}
			d.Order(0, order(5, c.wanted))
			d.step()
			d.Void(d.now, void(6))
			d.settle()
			must.Eq(t, c.holds, d.State().Assignment)
			must.Eq(t, restPhase(c.holds), d.State().Phase)
			must.Eq(t, fence(6), d.State().Fence)
		})
	}
}

func TestCrashInTheMiddleOfAChange(t *testing.T) {
	d := newDriver(testConfig(mixed))
	d.Order(0, order(5, decode))
	d.step()
	d.Crash(d.now, testIncarnation+1)
	must.Eq(t, engineapi.OrderOtherIncarnation, d.Order(d.now, order(5, decode)).Code)
	must.Eq(t, engineapi.OrderOtherIncarnation, d.Order(d.now, order(50, decode)).Code)
	d.settle()
	must.Eq(t, api.PhaseIdle, d.State().Phase)
	must.True(t, d.State().Fence.IsZero())
	again := order(1, decode)
	again.Incarnation++
	must.Eq(t, engineapi.OrderAccepted, d.Order(d.now, again).Code)
}
