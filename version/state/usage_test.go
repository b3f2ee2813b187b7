package state

import (
	"fmt"
	"testing"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func countCommand(counts ...UsageCount) Command {
	return Command{Kind: CommandCountUsage, CountUsage: &CountUsage{Counts: counts}}
}

func decideCommand(window int64) Command {
	return Command{Kind: CommandDecideUsage, DecideUsage: &DecideUsage{Window: window}}
}

// Counters only increase, so merging takes the maximum of each: reordered and repeated
// deliveries must not change the counts of a window.
func TestCountersMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var counters []UsageCount
		want := map[string]uint64{}
		for run := range 3 {
			for tenant := range 2 {
				name := fmt.Sprint("t-", tenant)
				highest := uint64(rapid.IntRange(1, 5).Draw(t, "count"))
				want[name] += highest
				for count := uint64(1); count <= highest; count++ {
					counters = append(counters, UsageCount{ProcessRun: fmt.Sprint("p-", run), Window: 7, Tenant: name, Count: count})
				}
			}
		}
		counters = append(counters, counters[:rapid.IntRange(0, len(counters)).Draw(t, "again")]...)
		m := New()
		for i, counter := range rapid.Permutation(counters).Draw(t, "order") {
			m.Apply(1, uint64(i+1), countCommand(counter))
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				m = restoredCopy(t, m)
			}
		}
		decided := m.Apply(1, 1000, decideCommand(7)).(api.UsageWindow)
		must.Eq(t, want, decided.Counts)
	})
}

// restoredCopy returns a machine restored from a snapshot of m.
func restoredCopy(t must.T, m *Machine) *Machine {
	data, err := m.Snapshot()
	must.NoError(t, err)
	next := New()
	must.NoError(t, next.Restore(data))
	return next
}

// A decided window never changes: not by counters that arrive later, by a decision of
// another leader or across snapshots.
func TestDecidedWindowsAreFinal(t *testing.T) {
	m := New()
	m.Apply(1, 1, countCommand(UsageCount{"p", 7, "a", 3}, UsageCount{"p", 8, "a", 1}))
	first := m.Apply(1, 2, decideCommand(7)).(api.UsageWindow)
	must.Eq(t, api.UsageWindow{Window: 7, Counts: map[string]uint64{"a": 3}, Decided: true}, first)
	m.Apply(2, 3, countCommand(UsageCount{"p", 7, "a", 9}, UsageCount{"p", 6, "a", 9}))
	must.MapLen(t, 1, m.usage.undecided, must.Sprint("counters of decided or skipped windows are dropped"))
	m = restoredCopy(t, m)
	must.Eq(t, first, m.Apply(2, 4, decideCommand(7)).(api.UsageWindow))
	must.Eq(t, []api.UsageWindow{first}, m.UnreportedUsage())
	must.False(t, m.Apply(2, 5, decideCommand(6)).(api.UsageWindow).Decided, must.Sprint("a skipped window"))
	m.Apply(2, 6, Command{Kind: CommandUsageReported, UsageReported: &UsageReported{Window: 7}})
	m = restoredCopy(t, m)
	must.SliceEmpty(t, m.UnreportedUsage())
	must.Eq(t, 1, m.Apply(2, 7, decideCommand(8)).(api.UsageWindow).Counts["a"])
	must.Eq(t, 8, m.LastDecidedWindow())
}

func TestUsageIsBounded(t *testing.T) {
	m := New()
	for window := int64(1); window <= 3*maxDecidedWindows; window++ {
		m.Apply(1, uint64(2*window), countCommand(UsageCount{"p", window, "a", 1}))
		m.Apply(1, uint64(2*window+1), decideCommand(window))
	}
	must.SliceLen(t, maxDecidedWindows, m.Usage())
	must.MapEmpty(t, m.usage.undecided)
}
