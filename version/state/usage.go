package state

import (
	"maps"
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/binenc"
)

// Usage is counted by each process for itself: how many requests of a tenant began in a
// window of time. Its counters only rise, so the highest one that was heard of each is right
// in whatever order they come, and however often. A report is decided here before it is
// sent, so that two different ones of a window cannot exist.

// keptUsageWindows is how many decided windows are kept for operators: an hour of windows
// of five seconds.
const keptUsageWindows = 720

// UsageCount is one counter of one process.
type UsageCount struct {
	Life   string // of the process; one that starts again has another
	Window int64
	Tenant string
	Count  uint64
}

// CountUsage takes in counters.
type CountUsage struct{ Counts []UsageCount }

// DecideUsage closes a window: what was counted of it by then is final.
type DecideUsage struct {
	Window  int64
	Partial bool
}

// UsageReported notes that the platform has taken a window's report.
type UsageReported struct{ Window int64 }

// usageCounts holds the counters of a window that is not decided, by life and tenant.
type usageCounts map[string]map[string]uint64

// usageLedger is what is known of usage.
type usageLedger struct {
	open    map[int64]usageCounts
	decided map[int64]*api.UsageWindow // replaced, never written to
	// last is the highest window that was decided.
	last int64
}

func newUsageLedger() usageLedger {
	return usageLedger{open: map[int64]usageCounts{}, decided: map[int64]*api.UsageWindow{}}
}

// countUsage takes counters in. What comes of a window after its decision is too late.
func (m *Machine) countUsage(given *CountUsage) {
	for _, counted := range given.Counts {
		if counted.Window <= m.usage.last {
			continue
		}
		counts := m.usage.open[counted.Window]
		if counts == nil {
			counts = usageCounts{}
			m.usage.open[counted.Window] = counts
		}
		if counts[counted.Life] == nil {
			counts[counted.Life] = map[string]uint64{}
		}
		counts[counted.Life][counted.Tenant] = max(counts[counted.Life][counted.Tenant], counted.Count)
	}
}

// decideUsage closes a window and returns what holds of it.
//
// Invariant: what a window's decision holds never changes, and windows are decided in their
// order. It holds because a decided window and all before it are passed over.
func (m *Machine) decideUsage(given *DecideUsage) api.UsageWindow {
	if known := m.usage.decided[given.Window]; known != nil {
		return *known
	}
	if given.Window <= m.usage.last {
		return api.UsageWindow{Window: given.Window} // it has lapsed
	}
	made := &api.UsageWindow{
		Window: given.Window, Counts: m.usage.open[given.Window].sum(), Decided: true, Partial: given.Partial,
	}
	m.usage.last = given.Window
	m.usage.decided[given.Window] = made
	for window := range m.usage.open {
		if window <= given.Window {
			delete(m.usage.open, window)
		}
	}
	for window := range m.usage.decided {
		if window <= given.Window-keptUsageWindows {
			delete(m.usage.decided, window)
		}
	}
	return *made
}

func (c usageCounts) sum() map[string]uint64 {
	total := map[string]uint64{}
	for _, tenants := range c {
		for tenant, count := range tenants {
			total[tenant] += count
		}
	}
	return total
}

func (m *Machine) usageReported(given *UsageReported) {
	known := m.usage.decided[given.Window]
	if known == nil || known.Reported {
		return
	}
	next := *known
	next.Reported = true
	m.usage.decided[given.Window] = &next
}

// UsageDecided returns the highest window that was decided, 0 for none.
func (m *Machine) UsageDecided() int64 { return m.usage.last }

// Usage returns the windows that are known, the oldest first.
func (m *Machine) Usage() []api.UsageWindow {
	var windows []api.UsageWindow
	for _, window := range slices.Sorted(maps.Keys(m.usage.decided)) {
		windows = append(windows, *m.usage.decided[window])
	}
	for _, window := range slices.Sorted(maps.Keys(m.usage.open)) {
		windows = append(windows, api.UsageWindow{Window: window, Counts: m.usage.open[window].sum()})
	}
	return windows
}

// OutstandingUsage returns the decided windows that were not reported, the oldest first.
func (m *Machine) OutstandingUsage() []api.UsageWindow {
	var windows []api.UsageWindow
	for _, window := range slices.Sorted(maps.Keys(m.usage.decided)) {
		if known := m.usage.decided[window]; !known.Reported {
			windows = append(windows, *known)
		}
	}
	return windows
}

// clone copies what later commands write to.
func (l *usageLedger) clone() usageLedger {
	next := usageLedger{open: make(map[int64]usageCounts, len(l.open)), decided: maps.Clone(l.decided), last: l.last}
	for window, counts := range l.open {
		copied := make(usageCounts, len(counts))
		for life, tenants := range counts {
			copied[life] = maps.Clone(tenants)
		}
		next.open[window] = copied
	}
	return next
}

// counters returns the counters of open windows in their order.
func (l *usageLedger) counters() []UsageCount {
	var all []UsageCount
	for _, window := range slices.Sorted(maps.Keys(l.open)) {
		for _, life := range slices.Sorted(maps.Keys(l.open[window])) {
			tenants := l.open[window][life]
			for _, tenant := range slices.Sorted(maps.Keys(tenants)) {
				all = append(all, UsageCount{Life: life, Window: window, Tenant: tenant, Count: tenants[tenant]})
			}
		}
	}
	return all
}

func appendUsageLedger(b []byte, l *usageLedger) []byte {
	b = appendUsageCounts(b, l.counters())
	b = binenc.AppendInt(b, l.last)
	windows := slices.Sorted(maps.Keys(l.decided))
	b = binenc.AppendUint(b, uint64(len(windows)))
	for _, window := range windows {
		b = appendUsageWindow(b, l.decided[window])
	}
	return b
}

func readUsageLedger(r *binenc.Reader) usageLedger {
	const minimumWindowBytes = 5
	l := newUsageLedger()
	reader := &Machine{usage: l}
	reader.countUsage(&CountUsage{Counts: readUsageCounts(r)})
	l = reader.usage
	l.last = r.Int()
	windows := r.Count(minimumWindowBytes)
	for i := 0; i < windows && r.Err() == nil; i++ {
		window := readUsageWindow(r)
		l.decided[window.Window] = &window
	}
	return l
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

// appendUsageCounts appends counters; names stand once, in the order in which they come.
func appendUsageCounts(b []byte, counts []UsageCount) []byte {
	names := nameTable{places: map[string]uint64{}}
	for _, counted := range counts {
		names.add(counted.Life)
		names.add(counted.Tenant)
	}
	b = binenc.AppendStrings(b, names.list)
	b = binenc.AppendUint(b, uint64(len(counts)))
	for _, counted := range counts {
		b = binenc.AppendUint(b, names.places[counted.Life])
		b = binenc.AppendUint(b, names.places[counted.Tenant])
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
		life, tenant := r.Uint(), r.Uint()
		if life >= uint64(len(names)) || tenant >= uint64(len(names)) {
			r.Fail(binenc.ErrMalformed)
			return nil
		}
		counts = append(counts, UsageCount{Life: names[life], Tenant: names[tenant], Window: r.Int(), Count: r.Uint()})
	}
	return counts
}

// nameTable gives names their places in a list.
type nameTable struct {
	list   []string
	places map[string]uint64
}

func (t *nameTable) add(name string) {
	if _, known := t.places[name]; !known {
		t.places[name] = uint64(len(t.list))
		t.list = append(t.list, name)
	}
}
