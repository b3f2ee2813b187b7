package state

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
)

const (
	benchEngines = 10_000
	benchIntents = 20
	benchClaims  = 100_000
)

func poolLabels(i int) api.Labels {
	return api.Labels{"pool": fmt.Sprintf("p%02d", i%benchIntents), "zone": "hall-leuven"}
}

// newFilledMachine returns a machine with engines and intents, and the last applied index.
func newFilledMachine(tb testing.TB) (*Machine, uint64) {
	tb.Helper()
	m := New()
	var writes []api.Write
	for i := range benchEngines {
		writes = append(writes, put(testEngine(fmt.Sprintf("narrator-%05d", i), poolLabels(i))))
	}
	for i := range benchIntents {
		intent := testIntent(fmt.Sprintf("intent-%02d", i), fmt.Sprintf("model-%02d", i), api.Labels{"pool": fmt.Sprintf("p%02d", i)})
		writes = append(writes, put(intent))
	}
	result := m.Apply(1, 1, Command{Kind: CommandTransaction, Transaction: &api.Transaction{OperationID: "fill", Writes: writes}})
	must.Eq(tb, api.OutcomeAccepted, result.(api.TransactionResult).Code)
	index := uint64(1)
	for i := range benchEngines {
		index++
		m.Apply(1, index, Command{Kind: CommandReportEngine, EngineReport: benchReport(i, index)})
	}
	return m, index
}

func benchReport(i int, fence uint64) *EngineReport {
	return &EngineReport{
		Engine:      fmt.Sprintf("narrator-%05d", i%benchEngines),
		Incarnation: 0x1234_5678_9abc,
		Phase:       api.PhaseServing,
		Assignment:  api.Assignment{Model: fmt.Sprintf("model-%02d", i%benchIntents), Version: "v1", Role: api.RoleMixed},
		Fence:       api.Fence{Term: 1, Index: fence},
	}
}

func claimCommand(i uint64) Command {
	return Command{Kind: CommandClaim, Time: int64(i), Claim: &ClaimRequest{
		Tenant: "gritting", Key: fmt.Sprintf("briefing-%d", i), BodyHash: i, Proxy: "proxy-1", Nonce: i, Retention: benchClaims,
	}}
}

// BenchmarkApplyClaim measures claims on a machine that holds benchClaims claims: each
// command adds one and expires one.
func BenchmarkApplyClaim(b *testing.B) {
	m := New()
	for i := uint64(1); i <= benchClaims; i++ {
		m.Apply(1, i, claimCommand(i))
	}
	index := uint64(benchClaims)
	for b.Loop() {
		index++
		m.Apply(1, index, claimCommand(index))
	}
}

func BenchmarkApplyReportAndView(b *testing.B) {
	m, index := newFilledMachine(b)
	for i := 0; b.Loop(); i++ {
		index++
		m.Apply(1, index, Command{Kind: CommandReportEngine, EngineReport: benchReport(i, index)})
		m.View()
	}
}

func BenchmarkTransactionEngineLabel(b *testing.B) {
	m, index := newFilledMachine(b)
	for i := 0; b.Loop(); i++ {
		index++
		name := fmt.Sprintf("narrator-%05d", i%benchEngines)
		engine := testEngine(name, poolLabels(i))
		engine.Revision = m.engines.items[name].Revision
		m.mustAccept(b, index, put(engine))
	}
}

func BenchmarkTransactionIntent(b *testing.B) {
	m, index := newFilledMachine(b)
	for i := 0; b.Loop(); i++ {
		index++
		intent := testIntent("intent-00", fmt.Sprintf("model-%d", i), api.Labels{"pool": "p00"})
		intent.Revision = m.intents.items["intent-00"].Revision
		m.mustAccept(b, index, put(intent))
	}
}

func (m *Machine) mustAccept(tb testing.TB, index uint64, write api.Write) {
	transaction := &api.Transaction{OperationID: fmt.Sprint(index), Writes: []api.Write{write}}
	limits := TransactionLimits{OperationRetention: 1}
	result := m.Apply(1, index, Command{Kind: CommandTransaction, Time: int64(index), Limits: limits, Transaction: transaction})
	if code := result.(api.TransactionResult).Code; code != api.OutcomeAccepted {
		tb.Fatal(code)
	}
}

func BenchmarkFreeze(b *testing.B) {
	m := newMachineWithClaims(b)
	for b.Loop() {
		m.Freeze()
	}
}

func BenchmarkSnapshotEncode(b *testing.B) {
	frozen := newMachineWithClaims(b).Freeze()
	size := 0
	for b.Loop() {
		size = len(frozen.Encode())
	}
	b.ReportMetric(float64(size), "bytes")
}

func BenchmarkRestore(b *testing.B) {
	snapshot := newMachineWithClaims(b).Freeze().Encode()
	for b.Loop() {
		must.NoError(b, New().Restore(snapshot))
	}
}

func newMachineWithClaims(tb testing.TB) *Machine {
	m, index := newFilledMachine(tb)
	for i := uint64(1); i <= benchClaims; i++ {
		command := claimCommand(i)
		command.Claim.Retention = 0
		m.Apply(1, index+i, command)
	}
	return m
}

// BenchmarkStatusDelta measures and reports the encoded size of a delta that contains the
// status of one engine.
func BenchmarkStatusDelta(b *testing.B) {
	m, index := newFilledMachine(b)
	from := m.Version()
	m.Apply(1, index+1, Command{Kind: CommandReportEngine, EngineReport: benchReport(3, index+1)})
	history := m.History()
	size := 0
	for b.Loop() {
		delta, _ := history.DeltaSince(from)
		encoded, _ := delta.AppendBinary(nil)
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "bytes")
}
