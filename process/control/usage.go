package control

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
)

// UsageSink receives usage reports.
type UsageSink interface {
	// Report submits the counts of a window. Repeated reports of a window always have the same
	// counts. CallDone means that the report was accepted; after any other outcome but CallFenced
	// it is repeated.
	Report(ctx context.Context, holder CallHolder, window api.UsageWindow) (CallOutcome, error)
}

// Usage configures usage reporting. A zero Window or a nil Sink disables it.
type Usage struct {
	Window time.Duration
	// Sink receives the reports.
	Sink UsageSink
}

// Timing and limits of usage reporting.
const (
	// usageCommitInterval is the interval between commits of counted usage. If a leader is lost,
	// counts that only it has received are lost if their proxies are lost at the same time.
	usageCommitInterval = time.Second
	// usageMinDelay is the minimum time between the end of a window and its decision, which fixes
	// its counts. It covers the reporting interval of the proxies and the transmission of counts
	// from before the end.
	usageMinDelay = 700 * time.Millisecond
	// usageMaxDelay is how long a decision waits for a proxy that has not reported all its
	// counts. A platform may require the report ten seconds after its window, and replacing a
	// leader after the decision takes up to five seconds.
	usageMaxDelay = 3500 * time.Millisecond
	// usageTakeoverDelay is how long a new leader collects reports before it decides. Proxies
	// need up to a second to find it and to report all their counts.
	usageTakeoverDelay = 1500 * time.Millisecond
	// usageSilenceTimeout is how long a decision waits for a proxy that sends no reports.
	usageSilenceTimeout = 2 * time.Second
	// maxWindowsPerRound limits the windows decided in one round.
	maxWindowsPerRound = 16
	// maxUsageCommit limits the counters in one commit; the rest follows with the next.
	maxUsageCommit = 1 << 14
)

// usageCollector collects the usage counted by proxies. Its counts are committed regularly, and all
// of them before their window is decided. A process is one run of a proxy, which a report names in
// its field ProcessRun.
type usageCollector struct {
	lock sync.Mutex
	// pending are the uncommitted counters by process, window and tenant.
	pending map[usageKey]uint64
	// progress is the progress of each process in reporting its counts.
	progress map[string]reportProgress
}

type usageKey struct {
	process string
	window  int64
	tenant  string
}

type reportProgress struct {
	through int64         // all counts up to this time are reported, in milliseconds since 1970
	at      time.Duration // of the last report
}

func newUsageCollector() *usageCollector {
	return &usageCollector{pending: map[usageKey]uint64{}, progress: map[string]reportProgress{}}
}

// note adds the counts reported by a process. Counts are cumulative, so the highest one applies.
func (u *usageCollector) note(report feed.UsageReport, now time.Duration) {
	u.lock.Lock()
	defer u.lock.Unlock()
	for _, counted := range report.Counts {
		key := usageKey{process: report.ProcessRun, window: counted.Window, tenant: counted.Tenant}
		u.pending[key] = max(u.pending[key], counted.Count)
	}
	known := u.progress[report.ProcessRun]
	u.progress[report.ProcessRun] = reportProgress{through: max(known.through, report.Through), at: now}
}

// takePending removes and returns counters to commit, the oldest windows first. It drops the
// counters of windows that are already decided.
func (u *usageCollector) takePending(decided int64) []state.UsageCount {
	u.lock.Lock()
	defer u.lock.Unlock()
	var counts []state.UsageCount
	for key, count := range u.pending {
		if key.window <= decided {
			delete(u.pending, key)
			continue
		}
		counts = append(counts, state.UsageCount{ProcessRun: key.process, Window: key.window, Tenant: key.tenant, Count: count})
	}
	slices.SortFunc(counts, compareUsage)
	counts = counts[:min(len(counts), maxUsageCommit)]
	for _, counted := range counts {
		delete(u.pending, usageKey{process: counted.ProcessRun, window: counted.Window, tenant: counted.Tenant})
	}
	return counts
}

func compareUsage(a, b state.UsageCount) int {
	switch {
	case a.Window != b.Window:
		return int(a.Window - b.Window)
	case a.ProcessRun != b.ProcessRun:
		return compareText(a.ProcessRun, b.ProcessRun)
	}
	return compareText(a.Tenant, b.Tenant)
}

// compareText orders two different texts.
func compareText(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// putBack returns counters that could not be committed.
func (u *usageCollector) putBack(counts []state.UsageCount) {
	u.lock.Lock()
	defer u.lock.Unlock()
	for _, counted := range counts {
		key := usageKey{process: counted.ProcessRun, window: counted.Window, tenant: counted.Tenant}
		u.pending[key] = max(u.pending[key], counted.Count)
	}
}

// hasAllReports reports whether all known processes have reported their counts up to a time,
// ignoring processes that have been silent for usageSilenceTimeout. As a side effect it forgets
// processes that have been silent for usageRetention.
func (u *usageCollector) hasAllReports(upTo int64, now time.Duration) bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	for processRun, known := range u.progress {
		switch silent := now - known.at; {
		case silent > usageRetention:
			delete(u.progress, processRun)
		case silent <= usageSilenceTimeout && known.through < upTo:
			return false
		}
	}
	return true
}

// usageRetention is how long a silent process is remembered.
const usageRetention = time.Minute

// hasSilentProcess reports whether a process recently fell silent before it had reported its
// counts up to a time, so that some counts may be missing.
func (u *usageCollector) hasSilentProcess(upTo int64, now time.Duration) bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	for _, known := range u.progress {
		if now-known.at > usageSilenceTimeout && known.through < upTo && known.through > upTo-usageRetention.Milliseconds() {
			return true
		}
	}
	return false
}

// RecordUsage adds the usage reported by a process.
func (g *group) RecordUsage(report feed.UsageReport) {
	if g.config.Usage.Sink != nil {
		g.usage.note(report, monotonic())
	}
}

// WallClock returns the group's wall-clock time in milliseconds, which a minority of wrong clocks
// cannot change.
func (g *group) WallClock() int64 { return g.agreedTime.Now().UnixMilli() }

// usageTermState is the state of usage reporting in one term.
type usageTermState struct {
	callGuard
	committedAt time.Duration
	// firstWindow is the first window to report if none has been decided yet.
	firstWindow int64
	// retryAt is when outstanding windows may be reported again.
	retryAt time.Duration
}

// manageUsage commits the counted usage, decides the windows that have ended, and reports the
// decided ones.
func (d *leaderTasks) manageUsage(ctx context.Context, term *termState) {
	config := d.group.config.Usage
	if config.Sink == nil || config.Window <= 0 || !d.countsTenants() {
		return
	}
	now, wallClock := monotonic(), d.group.WallClock()
	length := config.Window.Milliseconds()
	usage := &term.usage
	if usage.firstWindow == 0 {
		usage.firstWindow = wallClock / length
	}
	decided := d.usageDecided()
	if now-usage.committedAt >= usageCommitInterval {
		usage.committedAt = now
		d.commitUsage(ctx, decided)
	}
	next := decided + 1
	if decided == 0 {
		next = usage.firstWindow
	}
	for range maxWindowsPerRound {
		if !d.isWindowDue(next, length, wallClock, now, now-term.startedAt) || !d.commitUsage(ctx, decided) || !d.decideUsage(ctx, next, (next+1)*length, now) {
			break
		}
		decided, next = next, next+1
	}
	d.startReporting(term)
}

// countsTenants reports whether requests are counted per tenant.
func (d *leaderTasks) countsTenants() bool {
	ingress := d.group.machine.view().Ingresses[api.IngressName]
	return ingress != nil && ingress.Spec.KeysRequired
}

func (d *leaderTasks) usageDecided() (decided int64) {
	d.group.machine.read(func(machine *state.Machine) { decided = machine.LastDecidedWindow() })
	return decided
}

// isWindowDue reports whether a window of the length is to be decided at the wall-clock time day,
// both in milliseconds. lasted is how long the term has lasted: a new leader first has to receive
// the proxies' counts.
func (d *leaderTasks) isWindowDue(window, length, wallClock int64, now, lasted time.Duration) bool {
	end := (window + 1) * length
	if lasted < usageTakeoverDelay {
		return false
	}
	switch since := time.Duration(wallClock-end) * time.Millisecond; {
	case since < usageMinDelay:
		return false
	case since >= usageMaxDelay:
		return true
	default:
		return d.group.usage.hasAllReports(end, now)
	}
}

// commitUsage commits counted usage. It returns true if everything is committed, and false if that
// failed or counters may be left.
func (d *leaderTasks) commitUsage(ctx context.Context, decided int64) bool {
	counts := d.group.usage.takePending(decided)
	if len(counts) == 0 {
		return true
	}
	_, err := d.group.propose(ctx, state.Command{Kind: state.CommandCountUsage, CountUsage: &state.CountUsage{Counts: counts}})
	if err != nil {
		d.group.usage.putBack(counts)
		return false
	}
	return len(counts) < maxUsageCommit
}

// decideUsage commits the decision that fixes the counts of a window, and returns false if that
// failed.
func (d *leaderTasks) decideUsage(ctx context.Context, window, end int64, now time.Duration) bool {
	partial := d.group.usage.hasSilentProcess(end, now)
	result, err := d.group.propose(ctx, state.Command{
		Kind: state.CommandDecideUsage, DecideUsage: &state.DecideUsage{Window: window, Partial: partial},
	})
	if err != nil {
		return false
	}
	decided := result.(api.UsageWindow)
	event.UsageDecided.Log(d.logger, "window", window, "tenants", len(decided.Counts), "requests", totalOf(decided.Counts), "partial", decided.Partial)
	return true
}

func totalOf(counts map[string]uint64) (total uint64) {
	for _, count := range counts {
		total += count
	}
	return total
}

// startReporting reports the outstanding windows sequentially in the background.
func (d *leaderTasks) startReporting(term *termState) {
	if monotonic() < term.usage.retryAt || !term.usage.busy.CompareAndSwap(false, true) {
		return
	}
	var outstanding []api.UsageWindow
	d.group.machine.read(func(machine *state.Machine) { outstanding = machine.UnreportedUsage() })
	if len(outstanding) == 0 {
		term.usage.busy.Store(false)
		return
	}
	term.usage.retryAt = monotonic() + platformCallPause
	term.background.Go(func() {
		defer term.usage.busy.Store(false)
		for _, window := range outstanding {
			// A window that is not accepted does not block the others.
			if !d.reportUsage(term.orders, term, window) {
				return
			}
		}
	})
}

// reportUsage reports one window. It returns false if no further windows can be reported now.
func (d *leaderTasks) reportUsage(ctx context.Context, term *termState, window api.UsageWindow) bool {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	holder, ok := d.authorizeCall(ctx, term, &term.usage.callGuard)
	if !ok {
		return false
	}
	outcome, err := d.group.config.Usage.Sink.Report(ctx, holder, window)
	event.UsageReported.Log(d.logger, "window", window.Window, "fence", holder.Fence, "outcome", outcome, "err", err)
	switch outcome {
	case CallFenced:
		term.usage.fenced.Store(true)
		return false
	case CallDone:
		command := state.Command{Kind: state.CommandUsageReported, UsageReported: &state.UsageReported{Window: window.Window}}
		// If this is not committed, the same report is sent again.
		_, err := d.group.propose(context.WithoutCancel(ctx), command)
		return err == nil
	}
	return term.orders.Err() == nil
}

// usage lists the counted usage for operators.
func (s *operatorServer) usage(w http.ResponseWriter, r *http.Request, _ []byte) {
	s.withLease(w, r, func(current *group, _ uint64) {
		list := operatorapi.UsageList{WindowMilliseconds: current.config.Usage.Window.Milliseconds(), Windows: []api.UsageWindow{}}
		current.machine.read(func(machine *state.Machine) {
			for _, window := range machine.Usage() {
				window.Counts = maps.Clone(window.Counts)
				list.Windows = append(list.Windows, window)
			}
		})
		writeJSON(w, http.StatusOK, list)
	})
}
