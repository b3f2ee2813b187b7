package state

import (
	"maps"
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/binenc"
)

// Each process counts the requests of each tenant that began in a time window. Counters only
// increase, so taking the maximum of the received values of a counter is correct for any
// order and number of deliveries. The state machine decides the counts of a window before
// the window is reported to the platform, so that it never has two different reports.

// maxDecidedWindows is the number of decided windows kept for operators: one hour of
// windows of five seconds.
const maxDecidedWindows = 720

// UsageCount is the value of one counter of one run of a process.
type UsageCount struct {
	ProcessRun string // identifies the run; a restarted process has another
	Window     int64  // number of the window, see api.UsageWindow
	Tenant     string
	Count      uint64
}

// CountUsage merges counters into the usage of undecided windows.
type CountUsage struct{ Counts []UsageCount }

// DecideUsage closes a window: its counts are final from then on.
type DecideUsage struct {
	Window  int64
	Partial bool // counts of processes may be missing, see api.UsageWindow
}

// UsageReported records that the platform has accepted the report of a window.
type UsageReported struct{ Window int64 }

// usageCounts holds the counters of an undecided window, by process run and tenant.
type usageCounts map[string]map[string]uint64

// usageState holds the usage of undecided and decided windows.
type usageState struct {
	undecided map[int64]usageCounts
	decided   map[int64]*api.UsageWindow // values are replaced, never modified
	// lastDecided is the highest window that was decided, or 0.
	lastDecided int64
}

func newUsageState() usageState {
	return usageState{undecided: map[int64]usageCounts{}, decided: map[int64]*api.UsageWindow{}}
}

// countUsage merges counters. Counters that arrive after their window was decided are
// dropped.
func (m *Machine) countUsage(command *CountUsage) {
	for _, counter := range command.Counts {
		if counter.Window <= m.usage.lastDecided {
			continue
		}
		counts := m.usage.undecided[counter.Window]
		if counts == nil {
			counts = usageCounts{}
			m.usage.undecided[counter.Window] = counts
		}
		if counts[counter.ProcessRun] == nil {
			counts[counter.ProcessRun] = map[string]uint64{}
		}
		counts[counter.ProcessRun][counter.Tenant] = max(counts[counter.ProcessRun][counter.Tenant], counter.Count)
	}
}

// decideUsage closes a window and returns it. If the window was decided before, it
// returns the stored window; if a later window was decided and this one is not stored,
// it returns a window without counts whose Decided is false.
//
// Invariant: a decided window never changes, except for Reported, and windows are decided
// in increasing order. It holds because a window up to the last decided one is never
// decided again.
func (m *Machine) decideUsage(command *DecideUsage) api.UsageWindow {
	if decided := m.usage.decided[command.Window]; decided != nil {
		return *decided
	}
	if command.Window <= m.usage.lastDecided {
		return api.UsageWindow{Window: command.Window} // never decided, or no longer kept
	}
	decided := &api.UsageWindow{
		Window: command.Window, Counts: m.usage.undecided[command.Window].totalByTenant(), Decided: true, Partial: command.Partial,
	}
	m.usage.lastDecided = command.Window
	m.usage.decided[command.Window] = decided
	for window := range m.usage.undecided {
		if window <= command.Window {
			delete(m.usage.undecided, window)
		}
	}
	for window := range m.usage.decided {
		if window <= command.Window-maxDecidedWindows {
			delete(m.usage.decided, window)
		}
	}
	return *decided
}

func (c usageCounts) totalByTenant() map[string]uint64 {
	total := map[string]uint64{}
	for _, tenants := range c {
		for tenant, count := range tenants {
			total[tenant] += count
		}
	}
	return total
}

func (m *Machine) markUsageReported(command *UsageReported) {
	decided := m.usage.decided[command.Window]
	if decided == nil || decided.Reported {
		return
	}
	next := *decided
	next.Reported = true
	m.usage.decided[command.Window] = &next
}

// LastDecidedWindow returns the highest window that was decided, or 0 if there is none.
func (m *Machine) LastDecidedWindow() int64 { return m.usage.lastDecided }

// Usage returns the decided windows, oldest first, and then the undecided ones, oldest
// first.
func (m *Machine) Usage() []api.UsageWindow {
	var windows []api.UsageWindow
	for _, window := range slices.Sorted(maps.Keys(m.usage.decided)) {
		windows = append(windows, *m.usage.decided[window])
	}
	for _, window := range slices.Sorted(maps.Keys(m.usage.undecided)) {
		windows = append(windows, api.UsageWindow{Window: window, Counts: m.usage.undecided[window].totalByTenant()})
	}
	return windows
}

// UnreportedUsage returns the decided windows that have not been reported, oldest first.
func (m *Machine) UnreportedUsage() []api.UsageWindow {
	var windows []api.UsageWindow
	for _, window := range slices.Sorted(maps.Keys(m.usage.decided)) {
		if decided := m.usage.decided[window]; !decided.Reported {
			windows = append(windows, *decided)
		}
	}
	return windows
}

// clone returns a copy that later commands do not modify.
func (s *usageState) clone() usageState {
	next := usageState{undecided: make(map[int64]usageCounts, len(s.undecided)), decided: maps.Clone(s.decided), lastDecided: s.lastDecided}
	for window, counts := range s.undecided {
		clonedCounts := make(usageCounts, len(counts))
		for run, tenants := range counts {
			clonedCounts[run] = maps.Clone(tenants)
		}
		next.undecided[window] = clonedCounts
	}
	return next
}

// counters returns the counters of undecided windows, sorted by window, process run and
// tenant.
func (s *usageState) counters() []UsageCount {
	var all []UsageCount
	for _, window := range slices.Sorted(maps.Keys(s.undecided)) {
		for _, run := range slices.Sorted(maps.Keys(s.undecided[window])) {
			tenants := s.undecided[window][run]
			for _, tenant := range slices.Sorted(maps.Keys(tenants)) {
				all = append(all, UsageCount{ProcessRun: run, Window: window, Tenant: tenant, Count: tenants[tenant]})
			}
		}
	}
	return all
}

func appendUsageState(b []byte, s *usageState) []byte {
	b = appendUsageCounts(b, s.counters())
	b = binenc.AppendInt(b, s.lastDecided)
	windows := slices.Sorted(maps.Keys(s.decided))
	b = binenc.AppendUint(b, uint64(len(windows)))
	for _, window := range windows {
		b = appendUsageWindow(b, s.decided[window])
	}
	return b
}

// readUsageState reads what appendUsageState wrote. It merges the counters before it
// sets lastDecided, since countUsage drops counters of decided windows.
func readUsageState(r *binenc.Reader) usageState {
	const minimumWindowBytes = 5
	s := newUsageState()
	merger := &Machine{usage: s}
	merger.countUsage(&CountUsage{Counts: readUsageCounts(r)})
	s = merger.usage
	s.lastDecided = r.Int()
	windows := r.Count(minimumWindowBytes)
	for i := 0; i < windows && r.Err() == nil; i++ {
		window := readUsageWindow(r)
		s.decided[window.Window] = &window
	}
	return s
}

func appendUsageWindow(b []byte, window *api.UsageWindow) []byte {
	b = binenc.AppendInt(b, window.Window)
	b = binenc.AppendUint(b, uint64(len(window.Counts)))
	for _, tenant := range slices.Sorted(maps.Keys(window.Counts)) {
		b = binenc.AppendString(b, tenant)
		b = binenc.AppendUint(b, window.Counts[tenant])
	}
	b = binenc.AppendBool(b, window.Decided)
	b = binenc.AppendBool(b, window.Reported)
	return binenc.AppendBool(b, window.Partial)
}

func readUsageWindow(r *binenc.Reader) api.UsageWindow {
	window := api.UsageWindow{Window: r.Int(), Counts: map[string]uint64{}}
	tenants := r.Count(2)
	for i := 0; i < tenants && r.Err() == nil; i++ {
		tenant := r.String()
		window.Counts[tenant] = r.Uint()
	}
	window.Decided, window.Reported, window.Partial = r.Bool(), r.Bool(), r.Bool()
	return window
}

// appendUsageCounts appends counters. A string table, in order of first use, encodes each
// name once.
func appendUsageCounts(b []byte, counts []UsageCount) []byte {
	names := nameTable{indexes: map[string]uint64{}}
	for _, counter := range counts {
		names.add(counter.ProcessRun)
		names.add(counter.Tenant)
	}
	b = binenc.AppendStrings(b, names.names)
	b = binenc.AppendUint(b, uint64(len(counts)))
	for _, counted := range counts {
		b = binenc.AppendUint(b, names.indexes[counted.ProcessRun])
		b = binenc.AppendUint(b, names.indexes[counted.Tenant])
		b = binenc.AppendInt(b, counted.Window)
		b = binenc.AppendUint(b, counted.Count)
	}
	return b
}

func readUsageCounts(r *binenc.Reader) []UsageCount {
	const minimumCountBytes = 4
	names := r.Strings()
	count := r.Count(minimumCountBytes)
	var counts []UsageCount
	for i := 0; i < count && r.Err() == nil; i++ {
		run, tenant := r.Uint(), r.Uint()
		if run >= uint64(len(names)) || tenant >= uint64(len(names)) {
			r.Fail(binenc.ErrMalformed)
			return nil
		}
		counts = append(counts, UsageCount{ProcessRun: names[run], Tenant: names[tenant], Window: r.Int(), Count: r.Uint()})
	}
	return counts
}

// nameTable is a string table: it maps names to their indexes in a list.
type nameTable struct {
	names   []string
	indexes map[string]uint64
}

func (t *nameTable) add(name string) {
	if _, known := t.indexes[name]; !known {
		t.indexes[name] = uint64(len(t.names))
		t.names = append(t.names, name)
	}
}
