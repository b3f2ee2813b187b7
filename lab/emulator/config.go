// Package emulator runs one deployment in virtual time: engine models behind
// lagging load reports and late cache events, a weight store with limited
// rate, a proxy in each zone and callers that follow a trace. Routing, attempts,
// retries, planning and what shows a partition are the product's own code; a run
// depends on its configuration only.
//
// Left out, since it changes no figure taken here: proxies share one view of
// the engines' caches, bytes on the wire take no time beside a fixed latency,
// and the control group commits in a fixed time.
package emulator

import (
	"cmp"
	"time"

	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/request/router"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
)

// Loss is the sudden loss of one engine's process.
type Loss struct {
	At     time.Duration
	Engine int           // index
	Back   time.Duration // how long until the process is up again, idle
}

// Config is one run. Zero fields take defaults.
type Config struct {
	Deployment string
	Items      []trace.Item
	// Duration is the length of the trace; the run goes on until every request has ended.
	Duration time.Duration
	Seed     uint64
	// Engines is the number of engines, spread over the deployment's zones.
	Engines int
	// Engine is what all engines have in common.
	Engine enginemodel.Config
	Router router.Config
	// Planner decides on the roles. It must be a new one for each run.
	Planner planner.Planner
	// Intent is the only intent; its selector is not evaluated.
	Intent     api.IntentSpec
	Losses     []Loss
	Limits     []Limit
	Partitions []Partition

	PlanInterval time.Duration
	DemandWindow time.Duration
	// PollInterval is how often a proxy fetches an engine's load and cache events.
	PollInterval time.Duration
	// LocalLatency and ZoneLatency are one way, within a zone and between two.
	LocalLatency time.Duration
	ZoneLatency  time.Duration
	// CommitLatency is how long the control group takes to commit.
	CommitLatency time.Duration
	// WeightLoads is how many weight loads the store serves at once.
	WeightLoads int
	// SampleInterval is the distance of the points of the time line.
	SampleInterval time.Duration
}

// Defaults of Config.
const (
	DefaultEngines        = 9
	DefaultPlanInterval   = time.Second
	DefaultDemandWindow   = 10 * time.Second
	DefaultPollInterval   = 250 * time.Millisecond
	DefaultLocalLatency   = 200 * time.Microsecond
	DefaultZoneLatency    = 700 * time.Microsecond
	DefaultCommitLatency  = 5 * time.Millisecond
	DefaultWeightLoads    = 2
	DefaultSampleInterval = 5 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Engines == 0 {
		c.Engines = DefaultEngines
	}
	if c.Engine.MaxBatch == 0 {
		c.Engine = enginemodel.DefaultConfig("", 0)
	}
	if len(c.Intent.Roles) == 0 {
		c.Intent.Roles = []api.EngineRole{api.RolePrefill, api.RoleDecode, api.RoleMixed}
	}
	if c.Intent.Model == "" {
		c.Intent.Model, c.Intent.Version = modelOf(c.Items), "v1"
	}
	if c.WeightLoads == 0 {
		c.WeightLoads = DefaultWeightLoads
	}
	if c.Planner == nil {
		c.Planner = planner.New(planner.Config{})
	}
	c.PlanInterval = cmp.Or(c.PlanInterval, DefaultPlanInterval)
	c.DemandWindow = cmp.Or(c.DemandWindow, DefaultDemandWindow)
	c.PollInterval = cmp.Or(c.PollInterval, DefaultPollInterval)
	c.LocalLatency = cmp.Or(c.LocalLatency, DefaultLocalLatency)
	c.ZoneLatency = cmp.Or(c.ZoneLatency, DefaultZoneLatency)
	c.CommitLatency = cmp.Or(c.CommitLatency, DefaultCommitLatency)
	c.SampleInterval = cmp.Or(c.SampleInterval, DefaultSampleInterval)
	return c
}

// modelOf returns the model that the trace's requests name first.
func modelOf(items []trace.Item) string {
	for _, item := range items {
		if item.Model != "" {
			return item.Model
		}
	}
	return ""
}
