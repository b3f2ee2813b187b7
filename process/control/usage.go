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

// UsageSink takes the reports of usage.
type UsageSink interface {
	// Report hands a window's counts over. The same window always has the same counts.
	Report(ctx context.Context, holder DutyHolder, window api.UsageWindow) (DutyOutcome, error)
}

// Usage says by which windows usage is reported; a zero Window: not at all.
type Usage struct {
	Window time.Duration
	// Sink takes the reports; nil: none are made.
	Sink UsageSink
}

// Times of usage.
const (
	// usageCommit is between two commits of what proxies have counted. A leader that is lost
	// takes with it what only it had heard of proxies that are lost at the same time.
	usageCommit = time.Second
	// usageSettle is how long after a window's end its decision waits in any case: what
	// began before the end is told within usagePause of a proxy and its way.
	usageSettle = 700 * time.Millisecond
	// usageLatest is how long it waits for a proxy that has not told all of it. A report
	// falls due ten seconds after its window on the strictest platform known; a leader that
	// is replaced after the decision takes up to five.
	usageLatest = 3500 * time.Millisecond
	// usageTakeOver is how long a new leader hears before it decides: proxies find it and
	// tell it all that they have counted within a second.
	usageTakeOver = 1500 * time.Millisecond
	// usageSilence is how long a proxy that says nothing is waited for.
	usageSilence = 2 * time.Second
	// usageRound bounds the windows that are decided in one round.
	usageRound = 16
	// maxUsageCommit bounds the counters of one commit; the rest follows with the next.
	maxUsageCommit = 1 << 14
)

// usageDesk gathers what proxies have counted. Its counts are committed now and then, and
// all of them before their window is decided.
type usageDesk struct {
	lock sync.Mutex
	// pending are counters that are not committed, by life, window and tenant.
	pending map[usageKey]uint64
	// through is up to when each process has told all, in milliseconds of the day.
	through map[string]heardThrough
}

type usageKey struct {
	life   string
	window int64
	tenant string
}

type heardThrough struct {
	through int64
	at      time.Duration
}

func newUsageDesk() *usageDesk {
	return &usageDesk{pending: map[usageKey]uint64{}, through: map[string]heardThrough{}}
}

// note takes in what a proxy has counted.
func (u *usageDesk) note(report feed.UsageReport, now time.Duration) {
	u.lock.Lock()
	defer u.lock.Unlock()
	for _, counted := range report.Counts {
		key := usageKey{life: report.Life, window: counted.Window, tenant: counted.Tenant}
		u.pending[key] = max(u.pending[key], counted.Count)
	}
	known := u.through[report.Life]
	u.through[report.Life] = heardThrough{through: max(known.through, report.Through), at: now}
}

// take returns counters that are to be committed, the oldest windows first, and drops what
// is of windows that are decided.
func (u *usageDesk) take(decided int64) []state.UsageCount {
	u.lock.Lock()
	defer u.lock.Unlock()
	var counts []state.UsageCount
	for key, count := range u.pending {
		if key.window <= decided {
			delete(u.pending, key)
			continue
		}
		counts = append(counts, state.UsageCount{ProcessRun: key.life, Window: key.window, Tenant: key.tenant, Count: count})
	}
	slices.SortFunc(counts, compareUsage)
	counts = counts[:min(len(counts), maxUsageCommit)]
	for _, counted := range counts {
		delete(u.pending, usageKey{life: counted.ProcessRun, window: counted.Window, tenant: counted.Tenant})
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

func compareText(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// putBack keeps counters that were not committed.
func (u *usageDesk) putBack(counts []state.UsageCount) {
	u.lock.Lock()
	defer u.lock.Unlock()
	for _, counted := range counts {
		key := usageKey{life: counted.ProcessRun, window: counted.Window, tenant: counted.Tenant}
		u.pending[key] = max(u.pending[key], counted.Count)
	}
}

// isTold reports whether all processes that are heard of have told everything up to a
// moment; one that has been silent for a while is not waited for.
func (u *usageDesk) isTold(upTo int64, now time.Duration) bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	for life, known := range u.through {
		switch silent := now - known.at; {
		case silent > usageMemory:
			delete(u.through, life)
		case silent <= usageSilence && known.through < upTo:
			return false
		}
	}
	return true
}

// usageMemory is how long a silent process is remembered.
const usageMemory = time.Minute

// isSilent reports whether a process fell silent lately that had not told everything up to
// a moment: its counts of that window may lack.
func (u *usageDesk) isSilent(upTo int64, now time.Duration) bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	for _, known := range u.through {
		if now-known.at > usageSilence && known.through < upTo && known.through > upTo-usageMemory.Milliseconds() {
			return true
		}
	}
	return false
}

// NoteUsage takes in what a process has counted.
func (g *group) NoteUsage(report feed.UsageReport) {
	if g.config.Usage.Sink != nil {
		g.usage.note(report, monotonic())
	}
}

// Day is the group's time of day, which no minority of clocks moves.
func (g *group) Day() int64 { return g.day.Now().UnixMilli() }

// usageDuty is what one leadership keeps of its reports.
type usageDuty struct {
	duty
	committedAt time.Duration
	// first is the first window that is reported where none was decided yet.
	first   int64
	retryAt time.Duration
}

// tendUsage commits what was counted, decides the windows that are over, and reports those
// that were decided.
func (d *duties) tendUsage(ctx context.Context, term *termDuties) {
	config := d.group.config.Usage
	if config.Sink == nil || config.Window <= 0 || !d.countsTenants() {
		return
	}
	now, day := monotonic(), d.group.Day()
	length := config.Window.Milliseconds()
	duty := &term.usage
	if duty.first == 0 {
		duty.first = day / length
	}
	decided := d.usageDecided()
	if now-duty.committedAt >= usageCommit {
		duty.committedAt = now
		d.commitUsage(ctx, decided)
	}
	next := decided + 1
	if decided == 0 {
		next = duty.first
	}
	for range usageRound {
		if !d.isOver(next, length, day, now, now-term.startedAt) || !d.commitUsage(ctx, decided) || !d.decideUsage(ctx, next, (next+1)*length, now) {
			break
		}
		decided, next = next, next+1
	}
	d.startReporting(term)
}

// countsTenants reports whether there are tenants whose requests are counted.
func (d *duties) countsTenants() bool {
	held := d.group.machine.view().Ingresses[api.IngressName]
	return held != nil && held.Spec.KeysRequired
}

func (d *duties) usageDecided() (decided int64) {
	d.group.machine.read(func(machine *state.Machine) { decided = machine.LastDecidedWindow() })
	return decided
}

// isOver reports whether a window is to be decided now, in a term that has lasted so long:
// a new leader has yet to be told what proxies have counted.
func (d *duties) isOver(window, length, day int64, now, lasted time.Duration) bool {
	end := (window + 1) * length
	if lasted < usageTakeOver {
		return false
	}
	switch since := time.Duration(day-end) * time.Millisecond; {
	case since < usageSettle:
		return false
	case since >= usageLatest:
		return true
	default:
		return d.group.usage.isTold(end, now)
	}
}

// commitUsage commits what was counted; false when it failed, or some is left.
func (d *duties) commitUsage(ctx context.Context, decided int64) bool {
	counts := d.group.usage.take(decided)
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

func (d *duties) decideUsage(ctx context.Context, window, end int64, now time.Duration) bool {
	partial := d.group.usage.isSilent(end, now)
	result, err := d.group.propose(ctx, state.Command{
		Kind: state.CommandDecideUsage, DecideUsage: &state.DecideUsage{Window: window, Partial: partial},
	})
	if err != nil {
		return false
	}
	made := result.(api.UsageWindow)
	event.UsageDecided.Log(d.logger, "window", window, "tenants", len(made.Counts), "requests", totalOf(made.Counts), "partial", made.Partial)
	return true
}

func totalOf(counts map[string]uint64) (total uint64) {
	for _, count := range counts {
		total += count
	}
	return total
}

// startReporting reports what is outstanding beside the rounds, one window after the other.
func (d *duties) startReporting(term *termDuties) {
	if monotonic() < term.usage.retryAt || !term.usage.busy.CompareAndSwap(false, true) {
		return
	}
	var outstanding []api.UsageWindow
	d.group.machine.read(func(machine *state.Machine) { outstanding = machine.UnreportedUsage() })
	if len(outstanding) == 0 {
		term.usage.busy.Store(false)
		return
	}
	term.usage.retryAt = monotonic() + dutyPause
	term.background.Go(func() {
		defer term.usage.busy.Store(false)
		for _, window := range outstanding {
			// One that is not taken keeps none of the others waiting.
			if !d.reportUsage(term.orders, term, window) {
				return
			}
		}
	})
}

// reportUsage hands one window over; false ends the series, since nothing may be called now.
func (d *duties) reportUsage(ctx context.Context, term *termDuties, window api.UsageWindow) bool {
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	holder, may := d.mayAct(ctx, term, &term.usage.duty)
	if !may {
		return false
	}
	outcome, err := d.group.config.Usage.Sink.Report(ctx, holder, window)
	event.UsageReported.Log(d.logger, "window", window.Window, "fence", holder.Fence, "outcome", outcome, "err", err)
	switch outcome {
	case DutyFenced:
		term.usage.fenced.Store(true)
		return false
	case DutyDone:
		command := state.Command{Kind: state.CommandUsageReported, UsageReported: &state.UsageReported{Window: window.Window}}
		// What is not noted is reported once more, in the same bytes.
		_, err := d.group.propose(context.WithoutCancel(ctx), command)
		return err == nil
	}
	return term.orders.Err() == nil
}

// usage serves the operators' question for what was counted.
func (s *operatorServer) usage(w http.ResponseWriter, r *http.Request, _ []byte) {
	s.leased(w, r, func(current *group, _ uint64) {
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
