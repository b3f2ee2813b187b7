package relay

import (
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
)

// maxDemandWindow bounds how long unreported demand is kept. Older demand would
// mislead the control group's planner.
const maxDemandWindow = 10 * time.Second

// queueReportTTL is how long a daemon's last queue report stays valid.
const queueReportTTL = 3 * time.Second

// demandKey identifies demand by the intent it was offered for and its request class.
type demandKey struct{ intent, class string }

// demandAggregator sums the demand that daemons report to the relay, so that the
// control group gets one report instead of one per daemon.
type demandAggregator struct {
	lock   sync.Mutex
	since  time.Duration
	counts map[demandKey]*feed.Demand
	queues map[string]queueReport // by daemon
}

// queueReport is a daemon's last demand report, used for its queue lengths.
type queueReport struct {
	at      time.Duration
	demands []feed.Demand
}

func newDemandAggregator(now time.Duration) *demandAggregator {
	return &demandAggregator{since: now, counts: map[demandKey]*feed.Demand{}, queues: map[string]queueReport{}}
}

// add adds a report that arrived from a daemon at time now.
func (a *demandAggregator) add(daemon string, report feed.DemandReport, now time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for i := range report.Demands {
		a.count(&report.Demands[i])
	}
	a.queues[daemon] = queueReport{at: now, demands: report.Demands}
}

func (a *demandAggregator) count(offered *feed.Demand) {
	sum := aggregateFor(a.counts, offered)
	sum.Requests += offered.Requests
	sum.PromptTokens += offered.PromptTokens
	sum.CachedPromptTokens += offered.CachedPromptTokens
	sum.OutputTokens += offered.OutputTokens
	sum.Refused += offered.Refused
	sum.Late += offered.Late
}

// aggregateFor returns the sum for the intent and class of the offered demand, and
// creates it if necessary.
func aggregateFor(counts map[demandKey]*feed.Demand, offered *feed.Demand) *feed.Demand {
	key := demandKey{intent: offered.Intent, class: offered.Class}
	sum := counts[key]
	if sum == nil {
		sum = &feed.Demand{Intent: offered.Intent, Class: offered.Class}
		counts[key] = sum
	}
	return sum
}

// report returns the sums since the last report that was sent. Queue lengths are
// gauges: each daemon contributes its latest values until they expire.
func (a *demandAggregator) report(now time.Duration) feed.DemandReport {
	a.lock.Lock()
	defer a.lock.Unlock()
	sums := make(map[demandKey]*feed.Demand, len(a.counts))
	for key, counted := range a.counts {
		copied := *counted
		sums[key] = &copied
	}
	for daemon, queue := range a.queues {
		if now-queue.at > queueReportTTL {
			delete(a.queues, daemon)
			continue
		}
		for i := range queue.demands {
			sum := aggregateFor(sums, &queue.demands[i])
			sum.QueuedRequests += queue.demands[i].QueuedRequests
			sum.QueuedPromptTokens += queue.demands[i].QueuedPromptTokens
		}
	}
	report := feed.DemandReport{Window: now - a.since}
	for _, sum := range sums {
		report.Demands = append(report.Demands, *sum)
	}
	return report
}

// finishReport subtracts the report and starts a new window at now if the report was
// accepted or its window is too long to be kept for another attempt.
func (a *demandAggregator) finishReport(report feed.DemandReport, accepted bool, now time.Duration) {
	if !accepted && report.Window < maxDemandWindow {
		return
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	for i := range report.Demands {
		a.subtract(&report.Demands[i])
	}
	a.since = now
}

// subtract removes the reported demand; demand that arrived since the report was
// made is kept.
func (a *demandAggregator) subtract(reported *feed.Demand) {
	key := demandKey{intent: reported.Intent, class: reported.Class}
	sum := a.counts[key]
	if sum == nil {
		return
	}
	if sum.Requests <= reported.Requests && sum.Refused <= reported.Refused && sum.Late <= reported.Late {
		delete(a.counts, key)
		return
	}
	sum.Requests -= reported.Requests
	sum.PromptTokens -= reported.PromptTokens
	sum.CachedPromptTokens -= reported.CachedPromptTokens
	sum.OutputTokens -= reported.OutputTokens
	sum.Refused -= reported.Refused
	sum.Late -= reported.Late
}
