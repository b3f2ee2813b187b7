package fleet

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/lab/caller"
	"github.com/landingtrail/landingtrail/lab/fleet/faults"
	"github.com/landingtrail/landingtrail/lab/trace"
)

// Bounds of a soak.
const (
	soakCallTimeout = 700 * time.Millisecond // of an operator's attempt
	soakTimeout     = 60 * time.Second       // of a whole call
	// settleTimeout is how long the deployment may take, once every fault has
	// ended, until it serves again as if nothing had been.
	settleTimeout = 60 * time.Second
	recoverPause  = 50 * time.Millisecond
)

// SoakReport says what a soak did to a fleet and what it saw.
type SoakReport struct {
	Deployment string            `json:"deployment"`
	Seed       uint64            `json:"seed"`
	Seconds    float64           `json:"seconds"`
	Faults     map[FaultKind]int `json:"faults"`
	// Skipped counts the faults that did not fit what else was going on.
	Skipped   map[FaultKind]int `json:"skipped"`
	Offered   int64             `json:"offered"`
	Completed int64             `json:"completed"`
	Refused   int64             `json:"refused_not_run"`
	Unknown   int64             `json:"unknown"`
	RanOnce   int               `json:"ran_once"` // of the requests to run at most once
	Changes   int               `json:"changes"`
	// SettledSeconds is how long it took, once every fault had ended, until
	// everything served again.
	SettledSeconds float64  `json:"settled_seconds"`
	Violations     []string `json:"violations"`
}

// soak is one run of Soak.
type soak struct {
	fleet      *Fleet
	network    *faults.Network
	client     *operator.Client
	load       *load
	automation *automation
	watch      *watch
	report     SoakReport

	mutex sync.Mutex
	taken map[string]bool // processes and links under a fault
}

// Soak runs a deployment of real processes under load, with links in front of
// every process, and lets the faults that the seed draws strike for the
// config's duration. Promises are checked while it runs and once it has
// settled. The schedule is the seed's; what it meets is not, since real
// processes run. The error says why the run could not be made or was given up.
func Soak(ctx context.Context, config Config) (SoakReport, error) {
	data, cleanUp, err := dataFolder(config.Data)
	if err != nil {
		return SoakReport{}, err
	}
	defer cleanUp()
	network := faults.NewNetwork()
	defer network.Close()
	config.Drill, config.Via = DrillCrash, network.Add
	planned, err := newLayout(config, data)
	if err != nil {
		return SoakReport{}, err
	}
	s := &soak{
		fleet:   &Fleet{config: config, layout: planned, run: newSupervisor(ctx, filepath.Join(data, "logs"))},
		network: network,
		watch:   newWatch(),
		taken:   map[string]bool{},
		report: SoakReport{Deployment: config.Deployment, Seed: config.Seed,
			Faults: map[FaultKind]int{}, Skipped: map[FaultKind]int{}, Violations: []string{}},
	}
	err = s.serve(ctx)
	summary := newSummary(config)
	if stopErr := s.fleet.stop(&summary); err == nil {
		err = stopErr
	}
	s.report.Violations = append(s.report.Violations, summary.Violations...)
	return s.report, err
}

// serve brings the deployment up and soaks it.
func (s *soak) serve(ctx context.Context) error {
	if err := s.fleet.start(); err != nil {
		return err
	}
	var err error
	if s.fleet.driver, err = newDriver(s.fleet.config, s.fleet.layout); err != nil {
		return err
	}
	s.client, err = operator.New(operator.Config{
		Members:        s.fleet.layout.operators(),
		AttemptTimeout: soakCallTimeout,
		Timeout:        soakTimeout,
	})
	if err != nil {
		return err
	}
	if err := s.fleet.bringUp(); err != nil {
		return err
	}
	s.load = startLoad(s.fleet)
	s.automation = startAutomation(s.client, s.fleet.layout.engines[0].name)
	stopWatch := s.startWatch()
	started := time.Now()
	s.strikeAll(planFaults(s.fleet.config.Seed, s.fleet.config.Duration))
	s.report.Seconds = time.Since(started).Seconds()
	s.settle(ctx)
	report, items := s.load.finish()
	if err := s.automation.finish(); err != nil {
		s.violate("%v", err)
	}
	stopWatch()
	return s.conclude(report, items)
}

// startWatch polls until the result is called.
func (s *soak) startWatch() (stop func()) {
	end, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			s.watch.poll(s.fleet)
			s.watch.takeOutcomes(s.load.outcomes(0))
			select {
			case <-end:
				return
			case <-time.After(watchPause):
			}
		}
	}()
	return func() {
		close(end)
		<-done
	}
}

// strikeAll lets the faults of a plan strike and returns once each has ended.
func (s *soak) strikeAll(plan []plannedFault) {
	ctx := s.fleet.run.context
	var open sync.WaitGroup
	for _, fault := range plan {
		select {
		case <-ctx.Done():
		case <-time.After(fault.Gap):
		}
		if ctx.Err() != nil {
			break
		}
		begun, err := s.begin(ctx, fault)
		if errors.Is(err, errNotNow) {
			s.report.Skipped[fault.Kind]++
			continue
		}
		if err != nil {
			s.violate("%s: %v", fault.Kind, err)
			continue
		}
		s.report.Faults[fault.Kind]++
		s.fleet.progress("%s %s for %s", fault.Kind, begun.target, fault.For.Round(time.Millisecond))
		open.Go(func() { s.healAfter(ctx, fault, begun) })
	}
	open.Wait()
}

func (s *soak) healAfter(ctx context.Context, fault plannedFault, begun strike) {
	select {
	case <-ctx.Done():
	case <-time.After(fault.For):
	}
	if err := begun.heal(); err != nil {
		s.violate("the end of %s %s: %v", fault.Kind, begun.target, err)
	}
}

func (s *soak) violate(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	text := fmt.Sprintf(format, args...)
	s.fleet.progress("violation: %s", text)
	s.report.Violations = append(s.report.Violations, text)
}

// settle waits until everything serves as if nothing had been.
func (s *soak) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	started := time.Now()
	var last error // before the time was over
	for _, step := range []struct {
		what  string
		fails func(context.Context) error // nil once it holds
	}{
		{"the group is whole", s.isWhole},
		{"every engine serves", s.enginesServe},
		{"every proxy serves", s.proxiesServe},
		{"the last change is in force everywhere", s.lastInForce},
	} {
		for {
			err := step.fails(ctx)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				s.violate("not within %s of the last fault: %s: %v", settleTimeout, step.what, last)
				return
			}
			last = err
			time.Sleep(recoverPause)
		}
	}
	s.report.SettledSeconds = time.Since(started).Seconds()
}

func (s *soak) isWhole(ctx context.Context) error {
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	if status.FurtherLosses == 0 || len(status.Repairing) > 0 || len(status.Members) != len(s.fleet.layout.members) {
		return errors.Errorf("%d further losses can be borne, %v in repair, %d members", status.FurtherLosses, status.Repairing, len(status.Members))
	}
	return nil
}

func (s *soak) enginesServe(ctx context.Context) error {
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	if missing := notServing(status, s.fleet.layout.engineNames()); len(missing) > 0 {
		return errors.Errorf("not serving: %v", missing)
	}
	return nil
}

// proxiesServe sends a request through each proxy.
func (s *soak) proxiesServe(ctx context.Context) error {
	items, err := trace.Make(trace.Config{Deployment: s.fleet.config.Deployment, Seed: s.fleet.config.Seed, Duration: loadRound, Compress: true})
	if err != nil {
		return err
	}
	index := slices.IndexFunc(items, func(item trace.Item) bool { return item.Model != "" && !item.RepeatNever })
	if index < 0 {
		return errors.New("fleet: the trace has no request that can be repeated")
	}
	for _, proxy := range s.fleet.layout.proxies {
		if err := serves(ctx, proxy, items[index]); err != nil {
			return err
		}
	}
	return nil
}

// serves sends one item through a proxy.
func serves(ctx context.Context, proxy proxyPlace, item trace.Item) error {
	item.At = 0
	item.Deadline *= patience
	var seen caller.Observation
	caller.Play(ctx, caller.Config{
		Proxy:   proxy.address,
		Items:   []trace.Item{item},
		Name:    fmt.Sprintf("settled-%d", time.Now().UnixNano()),
		Observe: func(one caller.Observation) { seen = one },
	})
	if seen.Outcome != caller.OutcomeCompleted {
		return errors.Errorf("%s: %s: %s", proxy.name, seen.Outcome, seen.Detail)
	}
	return nil
}

func (s *soak) lastInForce(ctx context.Context) error {
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	state, err := s.client.WaitInForce(ctx, status.Revision)
	if err != nil {
		return err
	}
	if len(state.Lapsed) > 0 {
		return errors.Errorf("revision %d: lapsed at %v", status.Revision, state.Lapsed)
	}
	return nil
}

// conclude reads every ledger to its end and counts.
func (s *soak) conclude(report caller.Report, items []trace.Item) error {
	s.watch.poll(s.fleet)
	s.watch.takeOutcomes(s.load.outcomes(0))
	s.report.Violations = append(s.report.Violations, s.watch.told()...)
	summary := newSummary(s.fleet.config)
	summary.count(report)
	err := s.fleet.audit(&summary, items)
	s.report.Violations = append(s.report.Violations, summary.Violations...)
	total := report.Total()
	s.report.Offered, s.report.Completed = total.Offered, total.Completed
	s.report.Refused, s.report.Unknown = total.RefusedNotRun, total.Unknown
	s.report.RanOnce = summary.RanOnce
	s.report.Changes, _ = s.automation.state()
	if s.report.Completed == 0 || s.report.Changes == 0 {
		s.violate("nothing was served or changed, so that nothing is proved")
	}
	return err
}
