package state

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// harness encodes and decodes commands and applies them to one machine.
type harness struct {
	t       *testing.T
	machine *Machine
	term    uint64
	index   uint64
	clock   int64
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, machine: New(), term: 1}
}

func (c *harness) apply(command Command) any {
	c.t.Helper()
	c.index++
	command.Time = c.clock
	decoded, err := Decode(Encode(command))
	must.NoError(c.t, err)
	return c.machine.Apply(c.term, c.index, decoded)
}

func (c *harness) transact(id string, writes ...api.Write) api.TransactionResult {
	c.t.Helper()
	return c.transactLimited(TransactionLimits{}, api.Transaction{OperationID: id, Writes: writes})
}

func (c *harness) transactLimited(limits TransactionLimits, transaction api.Transaction) api.TransactionResult {
	c.t.Helper()
	command := Command{Kind: CommandTransaction, Limits: limits, Transaction: &transaction}
	return c.apply(command).(api.TransactionResult)
}

func (c *harness) engine(name string) *api.Engine {
	c.t.Helper()
	o, ok := c.machine.Object(api.Key{Kind: api.KindEngine, Name: name})
	must.True(c.t, ok)
	return o.Engine
}

func testEngine(name string, labels api.Labels) *api.Engine {
	return &api.Engine{
		Metadata: api.Metadata{Name: name, Labels: labels},
		Spec:     api.EngineSpec{Address: "10.0.0.1:8000", Zone: "hall-leuven", Service: "narrator"},
	}
}

func testIntent(name, model string, labels api.Labels) *api.Intent {
	return &api.Intent{
		Metadata: api.Metadata{Name: name},
		Spec: api.IntentSpec{
			Engines: api.Selector{MatchLabels: labels},
			Classes: api.Selector{All: true},
			Model:   model,
			Version: "v1",
			Roles:   []api.EngineRole{api.RoleMixed, api.RolePrefill},
		},
	}
}

func put(o any) api.Write {
	switch o := o.(type) {
	case *api.Engine:
		return api.Write{Object: api.Object{Engine: o}}
	case *api.Intent:
		return api.Write{Object: api.Object{Intent: o}}
	case *api.Service:
		return api.Write{Object: api.Object{Service: o}}
	}
	panic("unknown object")
}

func TestSnapshotPreservesState(t *testing.T) {
	c := newHarness(t)
	pool := api.Labels{"pool": "a"}
	result := c.transact("op-1", put(testEngine("e1", pool)), put(testIntent("i1", "storm", pool)))
	must.Eq(t, api.OutcomeAccepted, result.Code)
	must.Eq(t, []string{"e1"}, result.AffectedEngines)
	c.apply(Command{Kind: CommandReportEngine, EngineReport: &EngineReport{Engine: "e1", Incarnation: 7, Phase: api.PhaseIdle}})
	opened := c.apply(Command{Kind: CommandOpenOrder, OpenOrder: &OpenOrder{
		Engine: "e1", Incarnation: 7, Assignment: api.Assignment{Model: "storm", Version: "v1", Role: api.RoleMixed},
	}}).(OpenOrderResult)
	must.Eq(t, OpenOrderOpened, opened.Code)
	must.Eq(t, api.Fence{Term: 1, Index: 3}, opened.Order.Fence)
	c.apply(Command{Kind: CommandClaim, Claim: &ClaimRequest{Tenant: "t", Key: "k", Nonce: 4}})
	c.apply(Command{Kind: CommandMember, Member: &Member{ID: 3, Name: "c"}})
	c.apply(Command{Kind: CommandMachines, Machines: &Machines{Leaving: []string{"e1"}}})

	snapshot, err := c.machine.Snapshot()
	must.NoError(t, err)
	restored := New()
	must.NoError(t, restored.Restore(snapshot))
	reencoded, err := restored.Snapshot()
	must.NoError(t, err)
	must.Eq(t, snapshot, reencoded)
	must.Eq(t, c.machine.View(), restored.View())
	must.Eq(t, "i1", restored.SelectingIntent("e1").Name)
}

func TestDeltaFollowsMachine(t *testing.T) {
	c := newHarness(t)
	c.transact("op-1", put(testEngine("e1", nil)), put(testEngine("e2", nil)))
	holder := view.NewHolder()
	full, ok := c.machine.DeltaSince(view.Version{})
	must.True(t, ok)
	must.True(t, full.Full)
	must.NoError(t, holder.Apply(full))
	c.apply(Command{Kind: CommandReportEngine, EngineReport: &EngineReport{Engine: "e1", Incarnation: 7, Phase: api.PhaseServing}})
	delta, ok := c.machine.DeltaSince(holder.Load().Version)
	must.True(t, ok)
	must.Len(t, 1, delta.Objects)
	must.NoError(t, holder.Apply(delta))
	must.Eq(t, c.machine.View(), holder.Load())
	_, ok = c.machine.DeltaSince(holder.Load().Version)
	must.False(t, ok)
}
