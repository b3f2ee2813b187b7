// Package experiment compares role policies on the same traces in the emulator.
//
// Seeds are split: seeds from FirstTuningSeed on are for choosing constants of
// the planner, the router and the baselines; the seeds below are for reports
// and nothing is ever chosen by them.
package experiment

import (
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/lab/emulator"
	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/version/api"
)

// FirstTuningSeed is the first seed that constants may be chosen by.
const FirstTuningSeed = 1001

// ReportSeeds are the seeds that results are reported on.
func ReportSeeds() []uint64 {
	seeds := make([]uint64, 20)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	return seeds
}

// Config is one comparison. Zero fields take defaults.
type Config struct {
	Deployment string
	Seed       uint64
	// Policies defaults to DefaultPolicies.
	Policies []string
	// Duration of the trace; the default is 15 minutes.
	Duration time.Duration
	// Roles that all policies may give; the default is all three. Without
	// mixed engines the comparison shows what moving engines is worth.
	Roles []api.EngineRole
	// Parallel is how many emulator runs go on at once; the default is 4.
	Parallel int
}

// Defaults of Config.
const (
	DefaultDuration = 15 * time.Minute
	DefaultParallel = 4
)

func (c Config) withDefaults() Config {
	if len(c.Policies) == 0 {
		c.Policies = DefaultPolicies
	}
	if c.Duration == 0 {
		c.Duration = DefaultDuration
	}
	if len(c.Roles) == 0 {
		c.Roles = []api.EngineRole{api.RolePrefill, api.RoleDecode, api.RoleMixed}
	}
	if c.Parallel == 0 {
		c.Parallel = DefaultParallel
	}
	return c
}

// Report is the outcome of one seed.
type Report struct {
	Deployment string      `json:"deployment"`
	Seed       uint64      `json:"seed"`
	Runs       []PolicyRun `json:"runs"`
	// OfferedTokens is the model work offered, in tokens a second.
	OfferedTokens float64 `json:"-"`
}

// PolicyRun is what one policy came to. Goodput is prompt and output tokens of
// answers completed within deadline, per second of the trace.
type PolicyRun struct {
	Policy               string  `json:"policy"`
	Offered              int     `json:"offered"`
	CompletedInDeadline  int     `json:"completed_in_deadline"`
	Goodput              float64 `json:"goodput"`
	RoleChanges          int     `json:"role_changes"`
	CutShort             int     `json:"cut_short"`
	RanTwice             int     `json:"ran_twice"`
	WrongAnswer          int     `json:"wrong_answer"`
	RefusedNotRun        int     `json:"refused_not_run"`
	FrameP99Milliseconds float64 `json:"frame_p99_ms"`
	// Plan says in words what was run, where the policy chose it by search.
	Plan string `json:"-"`
	// Result is the whole outcome, with the time line.
	Result *emulator.Result `json:"-"`
}

// Run compares the policies on one seed's trace. It returns ErrUnknownPolicy or
// trace.ErrUnknownDeployment for a config that can't be run.
func Run(config Config) (*Report, error) {
	config = config.withDefaults()
	b, err := newBench(config)
	if err != nil {
		return nil, err
	}
	report := &Report{Deployment: config.Deployment, Seed: config.Seed, OfferedTokens: b.offeredTokens()}
	online := without(config.Policies, PolicyHindsight)
	runs := make([]PolicyRun, len(online))
	err = b.each(len(online), func(i int) error {
		p, err := newPlanner(online[i], config.Deployment)
		if err != nil {
			return err
		}
		result, err := b.emulate(p)
		if err == nil {
			runs[i] = policyRun(online[i], result)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	report.Runs = runs
	if slices.Contains(config.Policies, PolicyHindsight) {
		best, err := b.hindsight(runs)
		if err != nil {
			return nil, err
		}
		report.Runs = append(report.Runs, best)
	}
	return report, nil
}

func without(policies []string, dropped string) []string {
	return slices.DeleteFunc(slices.Clone(policies), func(policy string) bool { return policy == dropped })
}

func policyRun(policy string, result *emulator.Result) PolicyRun {
	return PolicyRun{
		Policy:               policy,
		Offered:              result.Offered,
		CompletedInDeadline:  result.Completed,
		Goodput:              result.Goodput(),
		RoleChanges:          result.RoleChanges,
		CutShort:             result.CutShort,
		RanTwice:             result.RanTwice,
		WrongAnswer:          result.WrongAnswer,
		RefusedNotRun:        result.Refused,
		FrameP99Milliseconds: float64(result.FrameP99.Microseconds()) / 1000,
		Result:               result,
	}
}

// lossesOf returns the engines that are suddenly lost in a seed's run: one in
// every fifth seed, in the same way under each policy.
func lossesOf(seed uint64, duration time.Duration) []emulator.Loss {
	if seed%5 != 3 {
		return nil
	}
	return []emulator.Loss{{At: duration * 2 / 5, Engine: int(seed % emulator.DefaultEngines), Back: 20 * time.Second}}
}

// bench runs planners on one seed's trace.
type bench struct {
	config Config
	items  []trace.Item
}

func newBench(config Config) (*bench, error) {
	items, err := trace.Make(trace.Config{Deployment: config.Deployment, Seed: config.Seed, Duration: config.Duration})
	if err != nil {
		return nil, err
	}
	return &bench{config: config, items: items}, nil
}
