package control

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/shoenig/test/must"
)

// fakeSink records usage reports and returns a configurable outcome.
type fakeSink struct {
	lock    sync.Mutex
	outcome CallOutcome
	reports []receivedReport
}

type receivedReport struct {
	holder CallHolder
	window api.UsageWindow
}

func (s *fakeSink) Report(_ context.Context, holder CallHolder, window api.UsageWindow) (CallOutcome, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.reports = append(s.reports, receivedReport{holder, window})
	return s.outcome, nil
}

func (s *fakeSink) answer(outcome CallOutcome) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.outcome = outcome
}

// reportsOf returns the received reports of a window.
func (s *fakeSink) reportsOf(window int64) []receivedReport {
	s.lock.Lock()
	defer s.lock.Unlock()
	var found []receivedReport
	for _, report := range s.reports {
		if report.window.Window == window {
			found = append(found, report)
		}
	}
	return found
}

const testWindow = 400 * time.Millisecond

// newMeteredGroup returns a group of three members that counts usage per tenant.
func newMeteredGroup(t *testing.T, sink *fakeSink) *growingGroup {
	g := newGrowingGroup(t, 3, 3, 1)
	for i := range g.configs {
		g.configs[i].Usage = Usage{Window: testWindow, Sink: sink}
		g.configs[i].Durations.OrderSettle = time.Millisecond
	}
	g.start(0, 1, 2)
	g.awaitVoters(3, 0, 1, 2)
	spec := ingressOf(1, "")
	spec.KeysRequired = true
	spec.Tenants = []api.TenantKeys{{Name: "north", Keys: []string{"k"}}}
	must.Eq(t, api.ReplaceApplied, g.replaceIngress(0, spec).Code)
	return g
}

// futureWindow returns a window that has not started, so that its counts are reported before it
// is decided.
func futureWindow() int64 { return time.Now().UnixMilli()/testWindow.Milliseconds() + 3 }

// reportCount makes a proxy report a count to the leader.
func (g *growingGroup) reportCount(client *feed.Client, processRun string, window int64, count uint64) {
	g.t.Helper()
	eventually(g.t, "the client is connected", client.Connected)
	must.True(g.t, client.ReportUsage(feed.UsageReport{
		ProcessRun: processRun, Through: time.Now().UnixMilli(), Counts: []feed.UsageCount{{Window: window, Tenant: "north", Count: count}},
	}))
}

// A window is decided once it has ended, and reported once.
func TestUsageIsReported(t *testing.T) {
	sink := &fakeSink{outcome: CallDone}
	g := newMeteredGroup(t, sink)
	first, _ := g.subscribe("proxy-1")
	second, _ := g.subscribe("proxy-2")
	window := futureWindow()
	g.reportCount(first, "a", window, 2)
	g.reportCount(first, "a", window, 5)
	g.reportCount(second, "b", window, 7)
	eventually(t, "the next window is reported", func() bool { return len(sink.reportsOf(window+1)) > 0 })
	reports := sink.reportsOf(window)
	must.SliceLen(t, 1, reports)
	must.Eq(t, map[string]uint64{"north": 12}, reports[0].window.Counts)
	must.True(t, reports[0].window.Decided)
	var list operatorapi.UsageList
	must.Eq(t, http.StatusOK, g.call(0, http.MethodGet, operatorapi.PathUsage, "", &list))
	must.Eq(t, testWindow.Milliseconds(), list.WindowMilliseconds)
	must.SliceNotEmpty(t, list.Windows)
}

// An unanswered report is repeated, also by the next leader: with the same counts, whatever was
// reported since, and under a higher fencing token.
func TestUnansweredReportIsRepeatedByNextLeader(t *testing.T) {
	sink := &fakeSink{}
	g := newMeteredGroup(t, sink)
	client, _ := g.subscribe("proxy-1")
	window := futureWindow()
	g.reportCount(client, "a", window, 3)
	eventually(t, "the report is repeated", func() bool { return len(sink.reportsOf(window)) > 1 })
	g.crash(g.leader())
	eventually(t, "another leader is elected", client.Connected)
	_ = client.ReportUsage(feed.UsageReport{ProcessRun: "b", Counts: []feed.UsageCount{{Window: window, Tenant: "north", Count: 9}}})
	sink.answer(CallDone)
	eventually(t, "the next leader reports", func() bool {
		reports := sink.reportsOf(window)
		return reports[len(reports)-1].holder.Name != reports[0].holder.Name
	})
	reports := sink.reportsOf(window)
	for _, report := range reports {
		must.Eq(t, map[string]uint64{"north": 3}, report.window.Counts)
		must.GreaterEq(t, reports[0].holder.Fence, report.holder.Fence)
	}
	must.NotEq(t, reports[0].holder.Fence, reports[len(reports)-1].holder.Fence)
}

// A holder that learns of a higher fencing token makes no more calls in its term.
func TestFencedHolderMakesNoMoreCalls(t *testing.T) {
	sink := &fakeSink{outcome: CallFenced}
	g := newMeteredGroup(t, sink)
	client, _ := g.subscribe("proxy-1")
	window := futureWindow()
	g.reportCount(client, "a", window, 3)
	eventually(t, "a window is reported", func() bool {
		sink.lock.Lock()
		defer sink.lock.Unlock()
		return len(sink.reports) > 0
	})
	sink.lock.Lock()
	before := len(sink.reports)
	sink.lock.Unlock()
	decided := func() (last int64) {
		g.running[g.leader()].member.machine.read(func(m *state.Machine) { last = m.LastDecidedWindow() })
		return last
	}
	eventually(t, "more windows are decided", func() bool { return decided() > window+4 })
	sink.lock.Lock()
	defer sink.lock.Unlock()
	must.Eq(t, before, len(sink.reports))
}

// No call is made before OrderSettle has elapsed, while the previous holder's calls may still be in
// transit, or without a lease of the same term.
func TestPlatformCallRequiresLeaseAndSettledOrders(t *testing.T) {
	cases := []struct {
		name    string
		started time.Duration // time since the term began
		number  uint64
		valid   bool
		fenced  bool
		allowed bool
	}{
		{"settled", time.Minute, 7, true, false, true},
		{"too early", 0, 7, true, false, false},
		{"another term", time.Minute, 8, true, false, false},
		{"no lease", time.Minute, 7, false, false, false},
		{"fenced", time.Minute, 7, true, true, false},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			config := Config{Name: "n", Durations: Durations{OrderSettle: time.Second}}
			d := &leaderTasks{
				group: &group{config: config},
				lease: func(context.Context) (uint64, bool) { return each.number, each.valid },
			}
			guard := &callGuard{}
			guard.fenced.Store(each.fenced)
			holder, allowed := d.authorizeCall(t.Context(), &termState{number: 7, startedAt: monotonic() - each.started}, guard)
			must.Eq(t, each.allowed, allowed)
			if allowed {
				must.Eq(t, CallHolder{Name: "n", Fence: 7}, holder)
			}
		})
	}
}

// The decision on a window waits for processes that have not reported all counts, but not for
// silent ones.
func TestWindowsWaitForProxies(t *testing.T) {
	collector := newUsageCollector()
	collector.note(feed.UsageReport{ProcessRun: "a", Through: 900}, 0)
	collector.note(feed.UsageReport{ProcessRun: "b", Through: 1100}, 0)
	must.False(t, collector.hasAllReports(1000, time.Second))
	must.True(t, collector.hasAllReports(1000, usageSilenceTimeout+1), must.Sprint("the process is silent"))
	must.True(t, collector.hasSilentProcess(1000, usageSilenceTimeout+1))
	collector.note(feed.UsageReport{ProcessRun: "a", Through: 1000}, time.Second)
	must.True(t, collector.hasAllReports(1000, time.Second))
	must.False(t, collector.hasSilentProcess(1000, time.Second))
	must.True(t, collector.hasAllReports(5000, 2*usageRetention))
	must.MapEmpty(t, collector.progress)
}

// A new leader knows none of the uncommitted counts. However late a window is, it is not decided
// before proxies have had time to report.
func TestNewLeaderCollectsReportsBeforeDeciding(t *testing.T) {
	d := &leaderTasks{group: &group{usage: newUsageCollector()}}
	const window, length = 7, 5000
	end := int64((window + 1) * length)
	must.False(t, d.isWindowDue(window, length, end+usageMaxDelay.Milliseconds(), 0, usageTakeoverDelay-1))
	must.True(t, d.isWindowDue(window, length, end+usageMaxDelay.Milliseconds(), 0, usageTakeoverDelay))
	must.False(t, d.isWindowDue(window, length, end+usageMinDelay.Milliseconds()-1, 0, time.Hour))
	must.True(t, d.isWindowDue(window, length, end+usageMinDelay.Milliseconds(), 0, time.Hour))
	d.group.usage.note(feed.UsageReport{ProcessRun: "a", Through: end - 1}, 0)
	must.False(t, d.isWindowDue(window, length, end+usageMinDelay.Milliseconds(), 0, time.Hour), must.Sprint("a process has not reported all counts"))
}

// Commits are limited in size, start with the oldest windows, and counters that could not be
// committed are taken again.
func TestUsageCommitsAreBounded(t *testing.T) {
	collector := newUsageCollector()
	for i := range maxUsageCommit + 10 {
		collector.note(feed.UsageReport{ProcessRun: fmt.Sprint(i), Counts: []feed.UsageCount{{Window: int64(10 + i%2), Tenant: "t", Count: 1}, {Window: 3, Tenant: "t", Count: 1}}}, 0)
	}
	taken := collector.takePending(5)
	must.SliceLen(t, maxUsageCommit, taken)
	must.Eq(t, 10, taken[0].Window)
	collector.putBack(taken)
	must.SliceLen(t, maxUsageCommit, collector.takePending(5))
	must.SliceLen(t, 10, collector.takePending(5))
	must.SliceEmpty(t, collector.takePending(5))
}
