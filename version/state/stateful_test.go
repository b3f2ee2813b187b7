package state

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.steps": "100", "rapid.checks": "200"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var (
	engineNames  = []string{"e1", "e2", "e3", "e4"}
	intentNames  = []string{"i1", "i2", "i3"}
	machineNames = []string{"e1", "e2", "e3", "b1", "b2"}
	pools        = []string{"a", "b", ""}
)

// comparison applies the same commands to a machine and to the oracle.
type comparison struct {
	machine     *Machine
	oracle      *oracle
	holder      *view.Holder
	term, index uint64
	clock       int64
	log         []logEntry
	sent        []api.Transaction
	fences      []api.Fence
	outcomes    map[string]int
}

type logEntry struct {
	term, index uint64
	data        []byte
}

func (c *comparison) apply(t *rapid.T, command Command) any {
	c.index += rapid.Uint64Range(1, 3).Draw(t, "gap")
	command.Time = c.clock
	data := Encode(command)
	c.log = append(c.log, logEntry{c.term, c.index, data})
	first, err := Decode(data)
	must.NoError(t, err)
	must.Eq(t, data, Encode(first))
	second, err := Decode(data)
	must.NoError(t, err)
	want := c.oracle.apply(c.term, c.index, first)
	got := c.machine.Apply(c.term, c.index, second)
	if result, ok := got.(api.TransactionResult); ok {
		result.Faults = nil // the oracle does not compute faults
		got = result
	}
	must.Eq(t, want, got)
	c.fences = append(c.fences, api.Fence{Term: c.term, Index: c.index})
	c.outcomes[fmt.Sprintf("%d %v", command.Kind, codeOf(got))]++
	return got
}

func codeOf(result any) any {
	switch r := result.(type) {
	case api.TransactionResult:
		return r.Code
	case OpenOrderResult:
		return r.Code
	case CloseOrderResult:
		return r.Closed
	case VoidOrderResult:
		return r.Open
	case api.ClaimResult:
		return r.Code
	}
	return ""
}

func (c *comparison) check(t *rapid.T) {
	v := c.machine.View()
	total := 0
	for _, kind := range api.Kinds {
		total += len(c.machine.List(kind))
	}
	must.Eq(t, len(c.oracle.objects), total)
	for key, want := range c.oracle.objects {
		got, ok := v.Object(key)
		must.True(t, ok)
		if !reflect.DeepEqual(want, got) {
			must.Eq(t, want, got)
		}
	}
	for _, e := range sortedEngines(c.oracle.objects) {
		var want *api.Intent
		if intents := intentsOf(c.oracle.objects, e); len(intents) > 0 {
			want = intents[0]
		}
		must.Eq(t, want, c.machine.SelectingIntent(e.Name))
		must.Eq(t, want, SelectingIntent(v, e))
	}
	for _, claim := range c.oracle.claims {
		got, ok := c.machine.Claim(claim.claim.Tenant, claim.claim.Key)
		must.Eq(t, c.oracle.clock < claim.expires, ok)
		if ok {
			must.Eq(t, claim.claim, got)
		}
	}
	c.checkDelta(t)
}

// checkDelta updates a daemon's view with an encoded and decoded delta and compares it
// with the machine's view.
func (c *comparison) checkDelta(t *rapid.T) {
	delta, ok := c.machine.DeltaSince(c.holder.Load().Version)
	if !ok {
		return
	}
	data, err := delta.AppendBinary(nil)
	must.NoError(t, err)
	decoded, err := view.DecodeDelta(data)
	must.NoError(t, err)
	must.NoError(t, c.holder.Apply(decoded))
	if !reflect.DeepEqual(c.machine.View(), c.holder.Load()) {
		must.Eq(t, c.machine.View(), c.holder.Load())
	}
	must.ErrorIs(t, c.holder.Apply(decoded), view.ErrStale)
}

// restore replaces the machine with one restored from a frozen copy. More commands
// are applied to the original machine before the copy is encoded, because they
// must not change the copy.
func (c *comparison) restore(t *rapid.T) {
	frozen := c.machine.Freeze()
	laterClaim := claimCommand(1)
	laterClaim.Time = c.clock + 1_000_000
	c.machine.Apply(c.term, c.index+1, laterClaim)
	c.machine.Apply(c.term, c.index+2, Command{Kind: CommandMachines, Machines: &Machines{Gone: engineNames}})
	restored := New()
	must.NoError(t, restored.Restore(frozen.Encode()))
	reencoded, err := restored.Snapshot()
	must.NoError(t, err)
	must.Eq(t, frozen.Encode(), reencoded)
	c.machine = restored
}

// replay applies the whole log to a new machine. Its state must equal that of the
// machine that was restored from snapshots in between.
func (c *comparison) replay(t *rapid.T) {
	replayed := New()
	for _, e := range c.log {
		command, err := Decode(e.data)
		must.NoError(t, err)
		replayed.Apply(e.term, e.index, command)
	}
	must.Eq(t, replayed.Freeze().Encode(), c.machine.Freeze().Encode())
}

func (c *comparison) transact(t *rapid.T) {
	var transaction api.Transaction
	if len(c.sent) > 0 && rapid.IntRange(0, 4).Draw(t, "resend") == 0 {
		transaction = rapid.SampledFrom(c.sent).Draw(t, "sent")
		transaction.AllowBroad = transaction.AllowBroad != (rapid.IntRange(0, 4).Draw(t, "other body") == 0)
	} else {
		transaction.OperationID = fmt.Sprint("op-", c.index)
		transaction.AllowBroad = rapid.Bool().Draw(t, "broad")
		for _, key := range rapid.SliceOfNDistinct(rapid.IntRange(0, 8), 1, 3, rapid.ID).Draw(t, "keys") {
			transaction.Writes = append(transaction.Writes, c.drawWrite(t, key))
		}
		c.sent = append(c.sent, transaction)
	}
	transaction.DryRun = rapid.IntRange(0, 5).Draw(t, "dry run") == 0
	limits := TransactionLimits{MaxAffectedEngines: rapid.IntRange(0, 2).Draw(t, "limit"), OperationRetention: 50}
	c.apply(t, Command{Kind: CommandTransaction, Transaction: &transaction, Limits: limits})
}

func (c *comparison) drawWrite(t *rapid.T, key int) api.Write {
	var o api.Object
	switch {
	case key < len(engineNames):
		o.Engine = testEngine(engineNames[key], drawLabels(t))
		o.Engine.Spec.Drain = rapid.IntRange(0, 5).Draw(t, "drain") == 0
	case key < len(engineNames)+len(intentNames):
		o.Intent = testIntent(intentNames[key-len(engineNames)], rapid.SampledFrom([]string{"m1", "m2"}).Draw(t, "model"), nil)
		o.Intent.Spec.Engines = drawSelector(t)
		o.Intent.Spec.MaxUnavailable = rapid.IntRange(0, 2).Draw(t, "budget")
	case key == 7:
		backends := []api.Backend{{Name: "b1", Address: "10.0.0.1:1"}, {Name: "b2", Address: "10.0.0.2:1"}}
		o.Service = &api.Service{Spec: api.ServiceSpec{Type: api.ServiceBackend, Backends: backends}}
		o.Service.Name = "tilegate"
	default:
		o.Tenant = &api.Tenant{Metadata: api.Metadata{Name: "gritting"}, Spec: api.TenantSpec{Weight: 2}}
	}
	k, _ := o.Key()
	current, exists := c.oracle.objects[k]
	if exists {
		o.Metadata().Revision = current.Metadata().Revision
	}
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		o.Metadata().Revision = 1_000_000
	}
	return api.Write{Object: o, Delete: exists && rapid.IntRange(0, 4).Draw(t, "delete") == 0}
}

func drawLabels(t *rapid.T) api.Labels {
	if pool := rapid.SampledFrom(pools).Draw(t, "pool"); pool != "" {
		return api.Labels{"pool": pool}
	}
	return nil
}

func drawSelector(t *rapid.T) api.Selector {
	pool := rapid.SampledFrom(pools[:2]).Draw(t, "selected pool")
	expression := func(operator api.Operator, values ...string) api.Selector {
		return api.Selector{MatchExpressions: []api.Requirement{{Key: "pool", Operator: operator, Values: values}}}
	}
	return rapid.SampledFrom([]api.Selector{
		{}, {All: true}, {MatchLabels: api.Labels{"pool": pool}}, {MatchLabels: api.Labels{"pool": pool}},
		expression(api.OperatorIn, pool), expression(api.OperatorNotIn, pool),
		expression(api.OperatorExists), expression(api.OperatorDoesNotExist),
	}).Draw(t, "selector")
}

func drawAssignment(t *rapid.T) api.Assignment {
	model := rapid.SampledFrom([]string{"m1", "m2", ""}).Draw(t, "model")
	if model == "" {
		return api.Assignment{}
	}
	role := rapid.SampledFrom([]api.EngineRole{api.RoleMixed, api.RolePrefill, api.RoleDecode}).Draw(t, "role")
	return api.Assignment{Model: model, Version: "v1", Role: role}
}

func (c *comparison) drawReport(t *rapid.T, engine string) EngineReport {
	phases := []api.EnginePhase{
		api.PhaseServing, api.PhaseServing, api.PhaseServing, api.PhaseIdle, api.PhaseDraining, api.PhaseChanging, api.PhaseLeaving,
	}
	report := EngineReport{
		Engine:      engine,
		Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"),
		Phase:       rapid.SampledFrom(phases).Draw(t, "phase"),
		Assignment:  drawAssignment(t),
	}
	if e := c.oracle.engine(engine); e != nil && rapid.IntRange(0, 3).Draw(t, "same incarnation") > 0 {
		report.Incarnation, report.Fence = e.Status.Incarnation, e.Status.Fence
		if order := e.Status.OpenOrder; order != nil && rapid.Bool().Draw(t, "as ordered") {
			report.Assignment, report.Fence = order.Assignment, order.Fence
		}
	}
	if len(c.fences) > 0 && rapid.IntRange(0, 3).Draw(t, "any fence") == 0 {
		report.Fence = rapid.SampledFrom(c.fences).Draw(t, "fence")
	}
	return report
}

func (c *comparison) closeOrder(t *rapid.T) {
	engine := rapid.SampledFrom(engineNames).Draw(t, "engine")
	closing := CloseOrder{Engine: engine, Report: c.drawReport(t, engine)}
	closing.Reason = CloseReason(rapid.IntRange(1, 3).Draw(t, "reason"))
	if e := c.oracle.engine(engine); e != nil && e.Status.OpenOrder != nil {
		closing.Fence = e.Status.OpenOrder.Fence
	}
	if rapid.IntRange(0, 4).Draw(t, "other fence") == 0 {
		closing.Fence.Index++
	}
	if rapid.IntRange(0, 4).Draw(t, "void") == 0 {
		c.apply(t, Command{Kind: CommandVoidOrder, VoidOrder: &VoidOrder{Engine: engine, Fence: closing.Fence}})
		return
	}
	c.apply(t, Command{Kind: CommandCloseOrder, CloseOrder: &closing})
}

func (c *comparison) openOrder(t *rapid.T) {
	open := OpenOrder{Engine: rapid.SampledFrom(engineNames).Draw(t, "engine"), Assignment: drawAssignment(t)}
	open.Incarnation = rapid.Uint64Range(0, 3).Draw(t, "incarnation")
	if e := c.oracle.engine(open.Engine); e != nil && rapid.IntRange(0, 4).Draw(t, "committed") > 0 {
		open.Incarnation = e.Status.Incarnation
	}
	if intent := c.machine.SelectingIntent(open.Engine); intent != nil && rapid.Bool().Draw(t, "as wanted") {
		open.Assignment = api.Assignment{Model: intent.Spec.Model, Version: "v1", Role: api.RoleMixed}
	}
	c.apply(t, Command{Kind: CommandOpenOrder, OpenOrder: &open})
}

func (c *comparison) listMachines(t *rapid.T) {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom(machineNames), 0, 2, rapid.ID[string])
	machines := Machines{Leaving: names.Draw(t, "leaving"), Gone: names.Draw(t, "gone")}
	c.apply(t, Command{Kind: CommandMachines, Machines: &machines})
}

func (c *comparison) claim(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	nonce := rapid.Uint64Range(1, 3).Draw(t, "nonce")
	if rapid.Bool().Draw(t, "outcome") {
		outcome := RunOutcome{Tenant: "t", Key: key, Nonce: nonce, Outcome: api.RunNotRun}
		if rapid.Bool().Draw(t, "completed") {
			outcome.Outcome, outcome.Answer = api.RunCompleted, []byte("answer")
		}
		c.apply(t, Command{Kind: CommandRunOutcome, RunOutcome: &outcome})
		return
	}
	c.apply(t, Command{Kind: CommandClaim, Claim: &ClaimRequest{
		Tenant: "t", Key: key, BodyHash: rapid.Uint64Range(1, 2).Draw(t, "body"), Nonce: nonce,
		Attempt: rapid.Uint32Range(1, 2).Draw(t, "attempt"), Proxy: "p", Retention: rapid.Int64Range(10, 100).Draw(t, "retention"),
	}})
}

// populate creates engines that serve one intent.
func (c *comparison) populate(t *rapid.T) {
	first := api.Transaction{OperationID: "populate", Writes: []api.Write{put(testIntent("i1", "m1", api.Labels{"pool": "a"}))}}
	for _, name := range engineNames {
		first.Writes = append(first.Writes, put(testEngine(name, api.Labels{"pool": "a"})))
	}
	c.apply(t, Command{Kind: CommandTransaction, Transaction: &first, Limits: TransactionLimits{OperationRetention: 50}})
	for _, name := range engineNames {
		report := EngineReport{Engine: name, Incarnation: 1, Phase: api.PhaseServing}
		report.Assignment = api.Assignment{Model: "m1", Version: "v1", Role: api.RoleMixed}
		c.apply(t, Command{Kind: CommandReportEngine, EngineReport: &report})
	}
}

func TestMachineMatchesOracle(t *testing.T) {
	outcomes := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		c := &comparison{machine: New(), oracle: newOracle(), holder: view.NewHolder(), term: 1, outcomes: outcomes}
		report := func(t *rapid.T) {
			report := c.drawReport(t, rapid.SampledFrom(engineNames).Draw(t, "engine"))
			c.apply(t, Command{Kind: CommandReportEngine, EngineReport: &report})
		}
		c.populate(t)
		t.Repeat(map[string]func(*rapid.T){
			"transact": c.transact, "transact again": c.transact, "report": report, "report again": report,
			"open order": c.openOrder, "close order": c.closeOrder, "machines": c.listMachines,
			"claim": c.claim, "restore": c.restore,
			"advance": func(t *rapid.T) {
				c.clock += rapid.Int64Range(-20, 60).Draw(t, "time")
				c.term += rapid.Uint64Range(0, 1).Draw(t, "terms")
			},
			"": c.check,
		})
		c.replay(t)
	})
	// An outcome is the number of the CommandKind with the code of the result.
	for _, want := range []string{
		"1 accepted", "1 revision_conflict", "1 operation_conflict", "1 intent_conflict", "1 invalid", "1 too_broad",
		"2 1", "2 2", "2 3", "2 4", "2 5", "2 6", "3 true", "3 false", "9 true", "9 false",
		"6 granted", "6 running", "6 done", "6 conflict",
	} {
		must.Positive(t, outcomes[want], must.Sprintf("outcome %q did not occur in %v", want, outcomes))
	}
	t.Log(outcomes)
}
