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

// fakeSink is the platform as it takes reports.
type fakeSink struct {
	lock    sync.Mutex
	outcome DutyOutcome
	taken   []takenReport
}

type takenReport struct {
	holder DutyHolder
	window api.UsageWindow
}

func (s *fakeSink) Report(_ context.Context, holder DutyHolder, window api.UsageWindow) (DutyOutcome, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.taken = append(s.taken, takenReport{holder, window})
	return s.outcome, nil
}

func (s *fakeSink) answer(outcome DutyOutcome) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.outcome = outcome
}

// of returns the reports of a window.
func (s *fakeSink) of(window int64) []takenReport {
	s.lock.Lock()
	defer s.lock.Unlock()
	var found []takenReport
	for _, report := range s.taken {
		if report.window.Window == window {
			found = append(found, report)
		}
	}
	return found
}

const testWindow = 400 * time.Millisecond

// newMetered is a group of three that accounts for its tenants.
func newMetered(t *testing.T, sink *fakeSink) *growing {
	g := newGrowing(t, 3, 3, 1)
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

// windowAhead is one that has not begun: what is told of it is told before its decision.
func windowAhead() int64 { return time.Now().UnixMilli()/testWindow.Milliseconds() + 3 }

// count has a proxy tell of requests, until the leader has taken it.
func (g *growing) count(client *feed.Client, life string, window int64, count uint64) {
	g.t.Helper()
	eventually(g.t, "a subscription", client.Connected)
	must.True(g.t, client.ReportUsage(feed.UsageReport{
		Life: life, Through: time.Now().UnixMilli(), Counts: []feed.UsageCount{{Window: window, Tenant: "north", Count: count}},
	}))
}

// What proxies have counted is decided once its window is over, and reported once.
func TestUsageIsReported(t *testing.T) {
	sink := &fakeSink{outcome: DutyDone}
	g := newMetered(t, sink)
	first, _ := g.follow("proxy-1")
	second, _ := g.follow("proxy-2")
	window := windowAhead()
	g.count(first, "a", window, 2)
	g.count(first, "a", window, 5)
	g.count(second, "b", window, 7)
	eventually(t, "the next window's report", func() bool { return len(sink.of(window+1)) > 0 })
	reports := sink.of(window)
	must.SliceLen(t, 1, reports)
	must.Eq(t, map[string]uint64{"north": 12}, reports[0].window.Counts)
	must.True(t, reports[0].window.Decided)
	var list operatorapi.UsageList
	must.Eq(t, http.StatusOK, g.call(0, http.MethodGet, operatorapi.PathUsage, "", &list))
	must.Eq(t, testWindow.Milliseconds(), list.WindowMilliseconds)
	must.SliceNotEmpty(t, list.Windows)
}

// A report that is not answered is made again, and by the next leader: with the same
// counts, whatever it has heard since, and under a higher fence.
func TestReportOutlastsItsLeader(t *testing.T) {
	sink := &fakeSink{}
	g := newMetered(t, sink)
	client, _ := g.follow("proxy-1")
	window := windowAhead()
	g.count(client, "a", window, 3)
	eventually(t, "a second try", func() bool { return len(sink.of(window)) > 1 })
	g.crash(g.leader())
	eventually(t, "another leader", client.Connected)
	_ = client.ReportUsage(feed.UsageReport{Life: "b", Counts: []feed.UsageCount{{Window: window, Tenant: "north", Count: 9}}})
	sink.answer(DutyDone)
	eventually(t, "the next leader's report", func() bool {
		reports := sink.of(window)
		return reports[len(reports)-1].holder.Name != reports[0].holder.Name
	})
	reports := sink.of(window)
	for _, report := range reports {
		must.Eq(t, map[string]uint64{"north": 3}, report.window.Counts)
		must.GreaterEq(t, reports[0].holder.Fence, report.holder.Fence)
	}
	must.NotEq(t, reports[0].holder.Fence, reports[len(reports)-1].holder.Fence)
}

// A holder that is told of a higher fence calls no more in its term.
func TestFencedHolderCallsNoMore(t *testing.T) {
	sink := &fakeSink{outcome: DutyFenced}
	g := newMetered(t, sink)
	client, _ := g.follow("proxy-1")
	window := windowAhead()
	g.count(client, "a", window, 3)
	eventually(t, "a report", func() bool {
		sink.lock.Lock()
		defer sink.lock.Unlock()
		return len(sink.taken) > 0
	})
	sink.lock.Lock()
	before := len(sink.taken)
	sink.lock.Unlock()
	decided := func() (last int64) {
		g.running[g.leader()].member.machine.read(func(m *state.Machine) { last = m.LastDecidedWindow() })
		return last
	}
	eventually(t, "more windows", func() bool { return decided() > window+4 })
	sink.lock.Lock()
	defer sink.lock.Unlock()
	must.Eq(t, before, len(sink.taken))
}

// Nothing is called before the calls of the holder before can have arrived, nor under a
// lease that is another term's.
func TestHoldersCallInTheirTimeAlone(t *testing.T) {
	cases := []struct {
		name    string
		started time.Duration // ago
		number  uint64
		valid   bool
		fenced  bool
		may     bool
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
			d := &duties{
				group: &group{config: config},
				lease: func(context.Context) (uint64, bool) { return each.number, each.valid },
			}
			on := &duty{}
			on.fenced.Store(each.fenced)
			holder, may := d.mayAct(t.Context(), &termDuties{number: 7, startedAt: monotonic() - each.started}, on)
			must.Eq(t, each.may, may)
			if may {
				must.Eq(t, DutyHolder{Name: "n", Fence: 7}, holder)
			}
		})
	}
}

// A window waits for who has not told all of it, but not for long, nor for who is gone.
func TestWindowsWaitForProxies(t *testing.T) {
	desk := newUsageDesk()
	desk.note(feed.UsageReport{Life: "a", Through: 900}, 0)
	desk.note(feed.UsageReport{Life: "b", Through: 1100}, 0)
	must.False(t, desk.isTold(1000, time.Second))
	must.True(t, desk.isTold(1000, usageSilence+1), must.Sprint("it is gone"))
	must.True(t, desk.isSilent(1000, usageSilence+1))
	desk.note(feed.UsageReport{Life: "a", Through: 1000}, time.Second)
	must.True(t, desk.isTold(1000, time.Second))
	must.False(t, desk.isSilent(1000, time.Second))
	must.True(t, desk.isTold(5000, 2*usageMemory))
	must.MapEmpty(t, desk.through)
}

// A new leader knows nothing of what proxies have counted: it decides nothing before they
// had the time to tell it, however late the window is.
func TestNewLeaderHearsBeforeItDecides(t *testing.T) {
	d := &duties{group: &group{usage: newUsageDesk()}}
	const window, length = 7, 5000
	end := int64((window + 1) * length)
	must.False(t, d.isOver(window, length, end+usageLatest.Milliseconds(), 0, usageTakeOver-1))
	must.True(t, d.isOver(window, length, end+usageLatest.Milliseconds(), 0, usageTakeOver))
	must.False(t, d.isOver(window, length, end+usageSettle.Milliseconds()-1, 0, time.Hour))
	must.True(t, d.isOver(window, length, end+usageSettle.Milliseconds(), 0, time.Hour))
	d.group.usage.note(feed.UsageReport{Life: "a", Through: end - 1}, 0)
	must.False(t, d.isOver(window, length, end+usageSettle.Milliseconds(), 0, time.Hour), must.Sprint("one has not told all"))
}

// Commits are bounded, oldest windows first, and what was not committed comes again.
func TestUsageCommitsAreBounded(t *testing.T) {
	desk := newUsageDesk()
	for i := range maxUsageCommit + 10 {
		desk.note(feed.UsageReport{Life: fmt.Sprint(i), Counts: []feed.UsageCount{{Window: int64(10 + i%2), Tenant: "t", Count: 1}, {Window: 3, Tenant: "t", Count: 1}}}, 0)
	}
	taken := desk.take(5)
	must.SliceLen(t, maxUsageCommit, taken)
	must.Eq(t, 10, taken[0].Window)
	desk.putBack(taken)
	must.SliceLen(t, maxUsageCommit, desk.take(5))
	must.SliceLen(t, 10, desk.take(5))
	must.SliceEmpty(t, desk.take(5))
}
