package fleet

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/lab/caller"
	"github.com/landingtrail/landingtrail/lab/trace"
)

// loadRound is the length of one of the traces that a load plays one after the other.
const loadRound = 2 * time.Second

// patience lengthens the trace's deadlines: a busy machine is no violation.
const patience = 10

// load plays traces until it is told to stop. Every request is played to its
// end, and each that must run at most once is sent through a second proxy as well.
type load struct {
	fleet *Fleet
	stop  chan struct{}
	once  sync.Once
	done  sync.WaitGroup

	mutex  sync.Mutex
	items  []trace.Item
	report caller.Report
	twins  caller.Report
	extra  int // requests sent alone
	// failures say what became of the requests that did not complete.
	failures []string
	// ended holds every outcome, for the comparison with the ledgers.
	ended []ended
}

// ended is how one request ended for its caller.
type ended struct {
	class, key string
	prompt     uint64
	outcome    caller.Outcome
	detail     string
}

func startLoad(fleet *Fleet) *load {
	l := &load{fleet: fleet, stop: make(chan struct{})}
	l.done.Go(l.run)
	return l
}

func (l *load) run() {
	for round := uint64(1); ; round++ {
		l.play(round)
		select {
		case <-l.stop:
			return
		case <-time.After(loadRound):
		}
	}
}

// play starts one round.
func (l *load) play(round uint64) {
	config := l.fleet.config
	items, err := trace.Make(trace.Config{
		Deployment: config.Deployment,
		Seed:       config.Seed<<32 + round,
		Scenario:   trace.ScenarioFront,
		Duration:   loadRound,
		Compress:   true,
		Rate:       config.Rate,
	})
	if err != nil {
		panic(err) // the deployment is one of ours
	}
	for i := range items {
		items[i].Deadline *= patience
	}
	l.mutex.Lock()
	l.items = append(l.items, items...)
	l.mutex.Unlock()
	twins := l.twinsOf(items)
	proxies := l.fleet.layout.proxies
	for i, proxy := range proxies {
		l.done.Go(func() { l.add(&l.report, proxy, proxy.zone, items, round) })
		l.done.Go(func() { l.add(&l.twins, proxies[(i+1)%len(proxies)], proxy.zone, twins, round) })
	}
}

// twinsOf lists the requests that are sent a second time. The first of the two
// is told "unknown" when the other was given the claim, so that a run in which
// nothing may be unknown has none.
func (l *load) twinsOf(items []trace.Item) []trace.Item {
	var twins []trace.Item
	for _, item := range items {
		if item.RepeatNever && l.fleet.config.Drill != DrillPlanned {
			twins = append(twins, item)
		}
	}
	return twins
}

func (l *load) add(to *caller.Report, proxy proxyPlace, zone string, items []trace.Item, round uint64) {
	report := caller.Play(context.Background(), caller.Config{
		Proxy:        proxy.address,
		Items:        items,
		Zone:         zone,
		Name:         proxy.name + "-" + strconv.FormatUint(round, 10),
		RetryRefused: true,
		Observe:      l.observe,
	})
	l.mutex.Lock()
	defer l.mutex.Unlock()
	to.Merge(report)
}

// pause ends the load early: finish then brings what it was.
func (l *load) pause() {
	l.once.Do(func() { close(l.stop) })
	l.done.Wait()
}

// observe keeps the outcome, and what was said of requests that did not complete.
func (l *load) observe(seen caller.Observation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ended = append(l.ended, ended{seen.Item.Class, seen.Item.Key, seen.PromptHash, seen.Outcome, seen.Detail})
	if seen.Outcome == caller.OutcomeCompleted {
		return
	}
	l.failures = append(l.failures, fmt.Sprintf("%s %s %s after %v of %v: %s",
		seen.Item.Class, seen.Item.Key, seen.Outcome, seen.Latency.Round(time.Millisecond), seen.Item.Deadline, seen.Detail))
}

// alone sends one request more, under a name of its own.
func (l *load) alone(proxy proxyPlace, item trace.Item) {
	l.mutex.Lock()
	l.extra++
	name := "alone-" + strconv.Itoa(l.extra)
	l.mutex.Unlock()
	l.done.Go(func() {
		report := caller.Play(context.Background(), caller.Config{
			Proxy:        proxy.address,
			Items:        []trace.Item{item},
			Name:         name,
			RetryRefused: true,
			Observe:      l.observe,
		})
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.report.Merge(report)
	})
}

// finish returns once every request has its outcome.
func (l *load) finish() (caller.Report, []trace.Item) {
	l.pause()
	return l.report, l.items
}

// outcomes returns what has ended since the first given number.
func (l *load) outcomes(first int) []ended {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ended[first:len(l.ended):len(l.ended)]
}
