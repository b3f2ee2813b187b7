package state

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
)

var servingAssignment = api.Assignment{Model: "storm", Version: "v1", Role: api.RoleMixed}

// newFleet returns a harness with n engines that serve one intent.
func newFleet(t *testing.T, n, maxUnavailable int) *harness {
	c := newHarness(t)
	pool := api.Labels{"pool": "a"}
	intent := testIntent("i1", "storm", pool)
	intent.Spec.MaxUnavailable = maxUnavailable
	writes := []api.Write{put(intent)}
	for i := range n {
		writes = append(writes, put(testEngine(fmt.Sprint("e", i), pool)))
	}
	must.Eq(t, api.OutcomeAccepted, c.transact("fleet", writes...).Code)
	for i := range n {
		c.report(fmt.Sprint("e", i), api.PhaseServing, api.Fence{})
	}
	return c
}

func (c *harness) report(engine string, phase api.EnginePhase, fence api.Fence) {
	c.t.Helper()
	report := EngineReport{Engine: engine, Incarnation: 7, Phase: phase, Assignment: servingAssignment, Fence: fence}
	c.apply(Command{Kind: CommandReportEngine, EngineReport: &report})
}

func (c *harness) openPrefillOrder(engine string) OpenOrderResult {
	c.t.Helper()
	prefill := api.Assignment{Model: "storm", Version: "v1", Role: api.RolePrefill}
	open := OpenOrder{Engine: engine, Incarnation: 7, Assignment: prefill}
	return c.apply(Command{Kind: CommandOpenOrder, OpenOrder: &open}).(OpenOrderResult)
}

// relabel replaces the labels of the engines in one transaction that may reassign at
// most one engine.
func (c *harness) relabel(id string, engines []string, labels api.Labels) api.TransactionResult {
	c.t.Helper()
	var writes []api.Write
	for _, name := range engines {
		engine := *c.engine(name)
		engine.Labels = labels
		writes = append(writes, put(&engine))
	}
	return c.transactLimited(TransactionLimits{MaxAffectedEngines: 1}, api.Transaction{OperationID: id, Writes: writes})
}

func (c *harness) restoreFromSnapshot() {
	c.t.Helper()
	restored := New()
	must.NoError(c.t, restored.Restore(c.machine.Freeze().Encode()))
	c.machine = restored
}

func TestOperationResultIsStored(t *testing.T) {
	c := newHarness(t)
	write := func(name string) api.Transaction {
		return api.Transaction{OperationID: "op", Writes: []api.Write{put(testEngine(name, nil))}}
	}
	limits := TransactionLimits{OperationRetention: 1000}
	dryRun := write("e1")
	dryRun.DryRun = true
	must.Eq(t, api.TransactionResult{Code: api.OutcomeAccepted}, c.transactLimited(limits, dryRun))
	must.SliceEmpty(t, c.machine.List(api.KindEngine))
	first := c.transactLimited(limits, write("e1"))
	must.Eq(t, api.TransactionResult{Code: api.OutcomeAccepted, Revision: 2}, first)
	c.restoreFromSnapshot()
	withStatus := write("e1")
	withStatus.Writes[0].Object.Engine.Status.Phase = api.PhaseGone
	must.Eq(t, first, c.transactLimited(limits, withStatus))
	must.Eq(t, api.PhaseUnknown, c.engine("e1").Status.Phase)
	must.Eq(t, api.OutcomeOperationConflict, c.transactLimited(limits, write("e2")).Code)

	rejected := c.transactLimited(limits, api.Transaction{OperationID: "op-2", Writes: write("e1").Writes})
	must.Eq(t, api.OutcomeRevisionConflict, rejected.Code)
	must.Eq(t, uint64(2), rejected.Conflicts[0].Current.Engine.Revision)
	deleted := testEngine("e1", nil)
	deleted.Revision = 2
	must.Eq(t, api.OutcomeAccepted, c.transact("delete", api.Write{Object: api.Object{Engine: deleted}, Delete: true}).Code)
	c.restoreFromSnapshot()
	resent := c.transactLimited(limits, api.Transaction{OperationID: "op-2", Writes: write("e1").Writes})
	must.Eq(t, rejected, resent, must.Sprint("a rejection must stay one after the conflicting object was deleted"))

	c.clock = 1000
	must.Eq(t, api.OutcomeAccepted, c.transactLimited(limits, write("e3")).Code, must.Sprint("the ID can be used again after the retention"))
}

func TestInvalidTransactionListsAllFaults(t *testing.T) {
	c := newHarness(t)
	invalid := testEngine("E1", nil)
	invalid.Spec.Address = "localhost:80"
	result := c.transact("op", put(invalid), put(testEngine("e2", nil)), put(testEngine("e2", nil)), api.Write{},
		api.Write{Delete: true, Object: api.Object{Engine: testEngine("e3", nil)}})
	var fields []string
	for _, fault := range result.Faults {
		fields = append(fields, fault.Field)
	}
	must.Eq(t, []string{
		"writes[0].engine.metadata.name", "writes[0].engine.spec.address", "writes[2].object", "writes[3].object", "writes[4].object",
	}, fields)
	must.Eq(t, "operationId", c.transact("", put(testEngine("e1", nil))).Faults[0].Field)
	must.Eq(t, "writes", c.transact("none").Faults[0].Field)
}

func TestStatusAdvancesVersionButNotRevision(t *testing.T) {
	c := newFleet(t, 1, 0)
	revision, version := c.engine("e0").Revision, c.machine.Version()
	c.report("e0", api.PhaseDraining, api.Fence{})
	must.Eq(t, revision, c.engine("e0").Revision)
	must.Positive(t, c.machine.Version().Compare(version))
	version = c.machine.Version()
	c.report("e0", api.PhaseDraining, api.Fence{})
	must.Eq(t, version, c.machine.Version(), must.Sprint("an unchanged report must not advance the version"))
}

func TestIntentConflictThroughLabels(t *testing.T) {
	c := newFleet(t, 1, 0)
	other := testIntent("i2", "squall", api.Labels{"zone": "b"})
	must.Eq(t, api.OutcomeAccepted, c.transact("i2", put(other)).Code)
	result := c.relabel("labels", []string{"e0"}, api.Labels{"pool": "a", "zone": "b"})
	must.Eq(t, api.OutcomeIntentConflict, result.Code)
	want := []api.Conflict{{Key: api.Key{Kind: api.KindEngine, Name: "e0"}, Intents: []string{"i1", "i2"}, Engine: "e0"}}
	must.Eq(t, want, result.Conflicts)
}

func TestRelabelingInTwoStepsIsBounded(t *testing.T) {
	c := newFleet(t, 2, 0)
	names := []string{"e0", "e1"}
	must.Eq(t, api.OutcomeAccepted, c.transact("i2", put(testIntent("i2", "squall", api.Labels{"pool": "b"}))).Code)
	must.SliceEmpty(t, c.relabel("step-1", names, nil).AffectedEngines)
	must.Positive(t, c.engine("e0").Status.UnmatchedSince)
	must.Eq(t, servingAssignment, c.engine("e0").Status.Assignment)
	must.Eq(t, OpenOrderNotAllowed, c.openPrefillOrder("e0").Code, must.Sprint("no intent selects the engine"))
	tooBroad := c.relabel("step-2", names, api.Labels{"pool": "b"})
	must.Eq(t, api.TransactionResult{Code: api.OutcomeTooBroad, AffectedEngines: names}, tooBroad)
	must.SliceEmpty(t, c.relabel("back", names, api.Labels{"pool": "a"}).AffectedEngines)
	must.Zero(t, c.engine("e0").Status.UnmatchedSince)
}

func TestDeleteEngineWithOpenOrder(t *testing.T) {
	c := newFleet(t, 1, 0)
	must.Eq(t, OpenOrderOpened, c.openPrefillOrder("e0").Code)
	remove := api.Write{Delete: true, Object: api.Object{Engine: c.engine("e0")}}
	must.Eq(t, "writes[0].delete", c.transact("op-1", remove).Faults[0].Field)
	c.apply(Command{Kind: CommandMachines, Machines: &Machines{Gone: []string{"e0"}}})
	must.Eq(t, api.OutcomeAccepted, c.transact("op-2", remove).Code)
}

func TestDisruptionBudget(t *testing.T) {
	cases := []struct {
		name   string
		budget int
		others []api.EnginePhase // of e1 and e2
		phase  api.EnginePhase   // of e0, which gets the order
		want   OpenOrderCode
	}{
		{"all available", 0, []api.EnginePhase{api.PhaseServing, api.PhaseIdle}, api.PhaseServing, OpenOrderOpened},
		{"one draining", 0, []api.EnginePhase{api.PhaseDraining, api.PhaseServing}, api.PhaseServing, OpenOrderBudgetExhausted},
		{"one changing", 1, []api.EnginePhase{api.PhaseChanging, api.PhaseServing}, api.PhaseServing, OpenOrderBudgetExhausted},
		{"one leaving", 1, []api.EnginePhase{api.PhaseLeaving, api.PhaseServing}, api.PhaseServing, OpenOrderBudgetExhausted},
		{"one unknown", 1, []api.EnginePhase{"", api.PhaseServing}, api.PhaseServing, OpenOrderBudgetExhausted},
		{"one of two", 2, []api.EnginePhase{api.PhaseLeaving, api.PhaseServing}, api.PhaseServing, OpenOrderOpened},
		{"two of two", 2, []api.EnginePhase{api.PhaseLeaving, api.PhaseChanging}, api.PhaseServing, OpenOrderBudgetExhausted},
		{"idle engine", 1, []api.EnginePhase{api.PhaseLeaving, api.PhaseChanging}, api.PhaseIdle, OpenOrderOpened},
		{"engine already unavailable", 1, []api.EnginePhase{api.PhaseLeaving, api.PhaseServing}, api.PhaseDraining, OpenOrderOpened},
		{"engine without a report", 1, []api.EnginePhase{api.PhaseServing, api.PhaseServing}, "", OpenOrderBudgetExhausted},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newFleet(t, 3, test.budget)
			c.report("e0", test.phase, api.Fence{})
			c.report("e1", test.others[0], api.Fence{})
			c.report("e2", test.others[1], api.Fence{})
			must.Eq(t, test.want, c.openPrefillOrder("e0").Code)
		})
	}
	c := newFleet(t, 2, 0)
	must.Eq(t, OpenOrderOpened, c.openPrefillOrder("e0").Code)
	must.Eq(t, OpenOrderAlreadyOpen, c.openPrefillOrder("e0").Code)
	must.Eq(t, OpenOrderBudgetExhausted, c.openPrefillOrder("e1").Code)
}

func TestDrainOrder(t *testing.T) {
	c := newFleet(t, 2, 0)
	drain := Command{Kind: CommandOpenOrder, OpenOrder: &OpenOrder{Engine: "e0", Incarnation: 7}}
	must.Eq(t, OpenOrderNotAllowed, c.apply(drain).(OpenOrderResult).Code)
	engine := *c.engine("e0")
	engine.Spec.Drain = true
	must.Eq(t, api.OutcomeAccepted, c.transact("drain", put(&engine)).Code)
	must.Eq(t, OpenOrderNotAllowed, c.openPrefillOrder("e0").Code)
	must.Eq(t, OpenOrderBudgetExhausted, c.openPrefillOrder("e1").Code, must.Sprint("a draining engine counts as unavailable"))
	must.Eq(t, OpenOrderOpened, c.apply(drain).(OpenOrderResult).Code)
}

func TestCloseOrder(t *testing.T) {
	ordered := api.Assignment{Model: "storm", Version: "v1", Role: api.RolePrefill}
	above := api.Fence{Term: 9, Index: 1}
	cases := []struct {
		name        string
		reason      CloseReason
		incarnation uint64
		phase       api.EnginePhase
		assignment  api.Assignment
		fence       api.Fence // zero means the order's fence
		closed      bool
	}{
		{"done", CloseDone, 7, api.PhaseServing, ordered, api.Fence{}, true},
		{"done at a higher fence", CloseDone, 7, api.PhaseServing, ordered, above, true},
		{"done below the fence", CloseDone, 7, api.PhaseServing, ordered, api.Fence{Term: 1, Index: 1}, false},
		{"done by another incarnation", CloseDone, 8, api.PhaseServing, ordered, api.Fence{}, false},
		{"done with another assignment", CloseDone, 7, api.PhaseServing, servingAssignment, api.Fence{}, false},
		{"done while changing", CloseDone, 7, api.PhaseChanging, ordered, api.Fence{}, false},
		{"void", CloseVoid, 7, api.PhaseServing, servingAssignment, above, true},
		{"void at the order's fence", CloseVoid, 7, api.PhaseServing, servingAssignment, api.Fence{}, false},
		{"void while changing", CloseVoid, 7, api.PhaseChanging, servingAssignment, above, false},
		{"void by another incarnation", CloseVoid, 8, api.PhaseServing, servingAssignment, above, false},
		{"other incarnation", CloseOtherIncarnation, 8, api.PhaseIdle, api.Assignment{}, above, true},
		{"same incarnation", CloseOtherIncarnation, 7, api.PhaseIdle, api.Assignment{}, above, false},
		{"no incarnation", CloseOtherIncarnation, 0, api.PhaseIdle, api.Assignment{}, above, false},
		{"earlier incarnation", CloseOtherIncarnation, 6, api.PhaseIdle, api.Assignment{}, api.Fence{}, false},
		{"earlier incarnation that confirms a higher fence", CloseOtherIncarnation, 6, api.PhaseIdle, api.Assignment{}, above, true},
		{"unknown reason", CloseReason(9), 7, api.PhaseServing, ordered, api.Fence{}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newFleet(t, 1, 0)
			c.apply(Command{Kind: CommandReportEngine, EngineReport: &EngineReport{Engine: "e0", Incarnation: 6}})
			c.report("e0", api.PhaseServing, api.Fence{Term: 1, Index: 3})
			order := c.openPrefillOrder("e0").Order
			must.Eq(t, api.Fence{Term: 1, Index: c.index}, order.Fence)
			if test.fence.IsZero() {
				test.fence = order.Fence
			}
			report := EngineReport{Engine: "e0", Incarnation: test.incarnation, Phase: test.phase, Assignment: test.assignment, Fence: test.fence}
			closing := CloseOrder{Engine: "e0", Fence: order.Fence, Reason: test.reason, Report: report}
			result := c.apply(Command{Kind: CommandCloseOrder, CloseOrder: &closing})
			must.Eq(t, any(CloseOrderResult{Closed: test.closed}), result)
			must.Eq(t, test.closed, c.engine("e0").Status.OpenOrder == nil)
		})
	}
}

func TestMachineListsSetPhases(t *testing.T) {
	c := newFleet(t, 2, 0)
	list := func(leaving, gone []string) {
		c.apply(Command{Kind: CommandMachines, Machines: &Machines{Leaving: leaving, Gone: gone}})
	}
	service := &api.Service{Metadata: api.Metadata{Name: "tilegate"}, Spec: api.ServiceSpec{
		Type: api.ServiceBackend, Backends: []api.Backend{{Name: "b1", Address: "10.0.0.1:1"}},
	}}
	list([]string{"e0"}, []string{"b1", "e9"})
	must.Eq(t, api.OutcomeAccepted, c.transact("late", put(service), put(testEngine("e9", nil))).Code)
	must.Eq(t, api.PhaseGone, c.engine("e9").Status.Phase)
	must.Eq(t, []string{"b1"}, c.machine.View().Services["tilegate"].Status.Gone)
	must.Eq(t, api.PhaseLeaving, c.engine("e0").Status.Phase)
	must.Eq(t, api.PhaseServing, c.engine("e1").Status.Phase)
	c.report("e0", api.PhaseServing, api.Fence{})
	must.Eq(t, api.PhaseLeaving, c.engine("e0").Status.Phase, must.Sprint("the phase listed by the platform takes precedence"))
	c.report("e1", api.PhaseLeaving, api.Fence{})
	list(nil, nil)
	must.Eq(t, api.PhaseUnknown, c.engine("e0").Status.Phase)
	must.Eq(t, api.PhaseLeaving, c.engine("e1").Status.Phase, must.Sprint("the phase reported by the engine stays in force"))
	must.True(t, ReportChanges(c.engine("e0"), EngineReport{Incarnation: 7, Phase: api.PhaseServing, Assignment: servingAssignment}))
	must.True(t, ReportChanges(c.engine("e1"), EngineReport{Incarnation: 7, Phase: api.PhaseServing, Assignment: servingAssignment}))
	must.False(t, ReportChanges(c.engine("e1"), EngineReport{Incarnation: 7, Phase: api.PhaseLeaving, Assignment: servingAssignment}))
	c.report("e1", api.PhaseServing, api.Fence{})
	must.Eq(t, api.PhaseServing, c.engine("e1").Status.Phase, must.Sprint("the latest report replaces the leaving phase"))
	list([]string{"e1"}, nil)
	must.False(t, ReportChanges(c.engine("e1"), EngineReport{Incarnation: 7, Phase: api.PhaseServing, Assignment: servingAssignment}), must.Sprint("no change to commit while the platform lists the engine as leaving"))
}

func TestClaims(t *testing.T) {
	type step struct {
		nonce, body uint64
		attempt     uint32
		record      api.RunOutcome // outcome to record; "" sends a claim instead
		clock       int64
		want        api.ClaimCode
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"lost grant", []step{{1, 1, 1, "", 0, api.ClaimGranted}, {1, 1, 1, "", 0, api.ClaimGranted}}},
		{"second attempt", []step{{1, 1, 1, "", 0, api.ClaimGranted}, {1, 1, 2, "", 0, api.ClaimRunning}}},
		{"resend by the caller", []step{{1, 1, 1, "", 0, api.ClaimGranted}, {2, 1, 1, "", 0, api.ClaimRunning}}},
		{"other body", []step{{1, 1, 1, "", 0, api.ClaimGranted}, {1, 2, 1, "", 0, api.ClaimConflict}}},
		{"completed", []step{{1, 1, 1, "", 0, api.ClaimGranted}, {nonce: 1, record: api.RunCompleted},
			{nonce: 1, record: api.RunNotRun}, {2, 1, 1, "", 0, api.ClaimDone}, {1, 1, 1, "", 0, api.ClaimDone}, {2, 2, 1, "", 0, api.ClaimConflict}}},
		{"outcome by another claimant", []step{{1, 1, 1, "", 0, api.ClaimGranted}, {nonce: 2, record: api.RunNotRun}, {2, 1, 1, "", 0, api.ClaimRunning}}},
		{"not run", []step{{1, 1, 1, "", 0, api.ClaimGranted}, {nonce: 1, record: api.RunNotRun}, {2, 2, 1, "", 0, api.ClaimGranted},
			{nonce: 1, record: api.RunNotRun}, {3, 2, 1, "", 0, api.ClaimRunning}}},
		{"late duplicate claim", []step{{1, 1, 1, "", 0, api.ClaimGranted}, {nonce: 1, record: api.RunNotRun},
			{1, 1, 1, "", 0, api.ClaimDone}, {1, 1, 2, "", 0, api.ClaimDone}, {2, 1, 1, "", 0, api.ClaimGranted}}},
		{"claim that arrives after it was abandoned", []step{{nonce: 1, record: api.RunNotRun}, {1, 1, 1, "", 0, api.ClaimDone},
			{1, 2, 1, "", 0, api.ClaimDone}, {2, 1, 1, "", 0, api.ClaimGranted}, {1, 1, 1, "", 0, api.ClaimRunning}}},
		{"two claims that arrive after they were abandoned", []step{{nonce: 1, record: api.RunNotRun}, {nonce: 2, record: api.RunNotRun},
			{2, 1, 1, "", 0, api.ClaimDone}, {3, 1, 1, "", 0, api.ClaimGranted}}},
		{"completed without a claim", []step{{nonce: 1, record: api.RunCompleted}, {2, 1, 1, "", 0, api.ClaimGranted}}},
		{"retention", []step{{1, 1, 1, "", 0, api.ClaimGranted}, {2, 1, 1, "", 99, api.ClaimRunning}, {3, 2, 1, "", 100, api.ClaimGranted},
			{nonce: 1, clock: 100, record: api.RunNotRun}, {4, 2, 1, "", 0, api.ClaimRunning}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newHarness(t)
			for i, s := range test.steps {
				c.clock = s.clock
				c.restoreFromSnapshot()
				if s.record != "" {
					c.apply(Command{Kind: CommandRunOutcome, RunOutcome: &RunOutcome{Key: "k", Nonce: s.nonce, Outcome: s.record, Answer: []byte("own")}})
					continue
				}
				request := ClaimRequest{Key: "k", BodyHash: s.body, Nonce: s.nonce, Attempt: s.attempt, Retention: 100}
				result := c.apply(Command{Kind: CommandClaim, Claim: &request}).(api.ClaimResult)
				must.Eq(t, s.want, result.Code, must.Sprintf("step %d", i))
				if result.Code == api.ClaimConflict {
					must.Nil(t, result.Claim.Answer)
				}
			}
		})
	}
}

func TestClaimMemoryIsBounded(t *testing.T) {
	c := newHarness(t)
	for i := range uint64(1000) {
		c.clock = int64(i)
		request := ClaimRequest{Key: fmt.Sprint(i), Nonce: 1, Retention: 10}
		c.apply(Command{Kind: CommandClaim, Claim: &request})
		c.apply(Command{Kind: CommandRunOutcome, RunOutcome: &RunOutcome{
			Key: fmt.Sprint(i), Nonce: 1, Outcome: api.RunCompleted, Answer: []byte(strings.Repeat("x", MaxAnswerBytes+1)),
		}})
	}
	must.Less(t, 20, len(c.machine.claims.queue))
	claim, ok := c.machine.Claim("", "999")
	must.True(t, ok)
	must.Eq(t, api.RunCompleted, claim.Outcome)
	must.Nil(t, claim.Answer)
}

func TestRemovedMemberStaysRemoved(t *testing.T) {
	c := newHarness(t)
	member := func(m Member) { c.apply(Command{Kind: CommandMember, Member: &m}) }
	member(Member{ID: 2, Name: "b"})
	member(Member{ID: 1, Name: "a"})
	member(Member{ID: 2, Removed: true})
	member(Member{ID: 2, Name: "b"})
	must.Eq(t, []Member{{ID: 1, Name: "a"}}, c.machine.Members())
}
