package emulator

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/request/router"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
)

// ErrNoModelWork is returned for a trace without model requests.
var ErrNoModelWork = errors.New("trace has no model requests")

// run is one run of the emulator.
type run struct {
	schedule
	config  Config
	zones   []string
	hosts   []*host
	proxies []*proxy
	router  *router.Router
	control *control
	store   *weightStore
	demand  *demandMeter
	limits  *limits
	result  *Result
	// inFlight counts requests that have arrived and not ended.
	inFlight int
}

// settleTime is how long a run goes on after its trace so that every request ends.
const settleTime = 3 * time.Minute

// Run emulates a deployment under a trace. It returns trace.ErrUnknownDeployment
// or ErrNoModelWork for a config that can't be run.
func Run(config Config) (*Result, error) {
	r, err := simulate(config)
	if err != nil {
		return nil, err
	}
	return r.result, nil
}

// simulate is like Run, but returns the whole state at the end of the run.
func simulate(config Config) (*run, error) {
	config = config.withDefaults()
	zones, err := trace.Zones(config.Deployment)
	if err != nil {
		return nil, err
	}
	if config.Intent.Model == "" {
		return nil, ErrNoModelWork
	}
	r := newRun(config, zones)
	r.start()
	r.runUntil(config.Duration + settleTime)
	r.finish()
	return r, nil
}

func newRun(config Config, zones []string) *run {
	r := &run{
		config: config,
		zones:  zones,
		router: router.New(config.Router),
		result: &Result{Classes: map[string]*ClassResult{}, Reasons: map[string]int{}, Duration: config.Duration},
	}
	r.control = newControl(r)
	r.store = &weightStore{run: r}
	r.demand = newDemandMeter(r)
	r.limits = newLimits(r)
	var names []string
	for i := range config.Engines {
		names = append(names, fmt.Sprintf("engine-%02d", i+1))
	}
	first := r.control.firstAssignments(names)
	for i, name := range names {
		r.hosts = append(r.hosts, newHost(r, i, first[name]))
	}
	for i, zone := range zones {
		r.proxies = append(r.proxies, newProxy(r, i, zone))
	}
	return r
}

// start schedules everything that happens by itself.
func (r *run) start() {
	end := r.config.Duration + settleTime
	for i, p := range r.proxies {
		offset := r.config.PollInterval * time.Duration(i) / time.Duration(len(r.proxies))
		r.at(offset, func() { r.every(r.config.PollInterval, end, p.poll) })
	}
	r.every(r.config.PollInterval, end, r.pollCaches)
	r.at(r.config.PlanInterval, func() { r.every(r.config.PlanInterval, end, r.control.plan) })
	r.every(r.config.SampleInterval, r.config.Duration, r.takeSample)
	r.scheduleArrival(0)
	for _, loss := range r.config.Losses {
		r.at(loss.At, func() { r.hosts[loss.Engine].crash(loss.Back) })
	}
	for _, partition := range r.config.Partitions {
		r.at(partition.At, r.proxies[partition.Proxy].links.begin)
		r.at(partition.Until, r.proxies[partition.Proxy].links.end)
	}
}

// scheduleArrival schedules the next model request of the trace.
func (r *run) scheduleArrival(number int) {
	for number < len(r.config.Items) && r.config.Items[number].Model == "" {
		number++
	}
	if number >= len(r.config.Items) {
		return
	}
	r.at(r.config.Items[number].At, func() {
		r.arrive(number)
		r.scheduleArrival(number + 1)
	})
}

func (r *run) arrive(number int) {
	f := newFlow(r, number)
	r.inFlight++
	r.result.Offered++
	r.result.class(f.item.Class).Offered++
	sample := r.sampleAt(f.item.At)
	sample.PromptTokens += f.item.PromptTokens
	sample.OutputTokens += f.item.OutputTokens
	f.arrive()
}

func (r *run) pollCaches() {
	for _, h := range r.hosts {
		if !h.down {
			h.cache.poll(h)
		}
	}
}

func (r *run) takeSample() {
	r.result.Samples = append(r.result.Samples, Sample{At: r.now, Split: r.split()})
}

// sampleAt returns the interval that a time of the trace, not after the present, lies in.
func (r *run) sampleAt(at time.Duration) *Sample {
	return &r.result.Samples[at/r.config.SampleInterval]
}

// split counts the engines that serve, by role.
func (r *run) split() planner.Split {
	var split planner.Split
	for _, h := range r.hosts {
		if h.phase() != api.PhaseServing {
			continue
		}
		switch h.model.State().Assignment.Role {
		case api.RolePrefill:
			split.Prefill++
		case api.RoleDecode:
			split.Decode++
		case api.RoleMixed:
			split.Mixed++
		}
	}
	return split
}

// finish checks that nothing was left behind.
func (r *run) finish() {
	if r.inFlight != 0 {
		panic(fmt.Sprintf("emulator: %d requests never ended", r.inFlight))
	}
	r.result.FrameP99 = lanePercentile(r.config.Items, r.config.Seed, 0.99)
}

// proxyOf returns the proxy that a caller in the zone goes to: the one there, or any other if that one
// is known to be partitioned and another is not.
func (r *run) proxyOf(zone string) *proxy {
	nearest := r.proxies[0]
	for _, p := range r.proxies {
		if p.zone == zone {
			nearest = p
		}
	}
	if nearest.links.isNamed() {
		return nearest
	}
	for _, p := range r.proxies {
		if p.links.isNamed() {
			return p
		}
	}
	return nearest
}

func (r *run) latency(from, to string) time.Duration {
	if from == to {
		return r.config.LocalLatency
	}
	return r.config.ZoneLatency
}

// classPriorities and tenantWeights are those of the deployments' objects.
var (
	classPriorities = map[string]int{
		trace.ClassBriefing:  30,
		trace.ClassSummary:   20,
		trace.ClassCaption:   10,
		trace.ClassGap:       30,
		trace.ClassStatement: 20,
		trace.ClassQuery:     10,
	}
	tenantWeights = map[string]float64{
		"public-app":          1,
		"gritting-north":      4,
		"gritting-south":      4,
		"water-board-schelde": 2,
		"water-board-dijle":   2,
		"trustees":            2,
		"members":             2,
		"employers":           1,
	}
)
