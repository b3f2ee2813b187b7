package planner

import (
	"fmt"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// StaticConfig sets up the static baseline.
type StaticConfig struct {
	// PrefillShare is the share of engines that are prefill engines, the rest
	// being decode engines. 0 makes all engines mixed.
	PrefillShare float64
}

// NewStatic returns a planner that gives out a fixed split and then changes no role.
func NewStatic(config StaticConfig) Planner {
	return &policyPlanner{policy: &static{config: config}}
}

type static struct {
	config StaticConfig
}

func (s *static) target(g *group) (Split, string) {
	total := g.capacity()
	if s.config.PrefillShare == 0 || !g.allows(api.RolePrefill) || !g.allows(api.RoleDecode) {
		return fixedTarget(g, total), "fixed split"
	}
	current := g.split()
	if current.Total() == total {
		return current, "fixed split" // an engine lost or back is no reason to change another's role
	}
	return proportional(total, s.config.PrefillShare), "fixed split"
}

// fixedTarget is the split for intents that leave no choice: mixed if
// permitted, else the permitted roles in halves.
func fixedTarget(g *group, total int) Split {
	if g.allows(api.RoleMixed) {
		return Split{Mixed: total}
	}
	if len(g.intent.Spec.Roles) == 1 {
		return Split{}.with(g.intent.Spec.Roles[0], total)
	}
	return proportional(total, 0.5)
}

// ThresholdConfig sets up the threshold baseline. Zero fields take defaults.
type ThresholdConfig struct {
	Rates Rates
	// Band is by how many engines the balance of the measured demand must
	// differ from the split before an engine is moved.
	Band float64
	// CoolDown is the least time between two changes of an intent.
	CoolDown time.Duration
}

// Defaults of ThresholdConfig.
const (
	DefaultThresholdBand     = 0.75
	DefaultThresholdCoolDown = 20 * time.Second
)

// NewThreshold returns a planner that follows the measured balance of prompt
// and output work with hysteresis: as soon as it differs from the split by
// more than a band, one engine is moved.
func NewThreshold(config ThresholdConfig) Planner {
	config.Rates = config.Rates.withDefaults()
	if config.Band == 0 {
		config.Band = DefaultThresholdBand
	}
	if config.CoolDown == 0 {
		config.CoolDown = DefaultThresholdCoolDown
	}
	return &policyPlanner{policy: &threshold{config: config, changed: map[string]time.Duration{}}}
}

type threshold struct {
	config  ThresholdConfig
	changed map[string]time.Duration // by intent, when the last change was asked for
}

func (t *threshold) target(g *group) (Split, string) {
	total := g.capacity()
	if total < 2 || !g.allows(api.RolePrefill) || !g.allows(api.RoleDecode) {
		return fixedTarget(g, total), "no choice of roles"
	}
	work := measuredWork(g.demand)
	share := t.config.Rates.prefillShare(work)
	current := g.split()
	if current.Total() < total || current.Mixed > 0 {
		return proportional(total, share), "first split"
	}
	wanted := share * float64(total)
	offset := wanted - float64(current.Prefill)
	target := proportional(total, share)
	if offset*offset < t.config.Band*t.config.Band || target == current {
		return current, ""
	}
	last, changed := t.changed[g.intent.Name]
	if g.budget() == 0 || changed && g.now-last < t.config.CoolDown {
		return current, ""
	}
	t.changed[g.intent.Name] = g.now
	return current.toward(target), fmt.Sprintf("prompt work is worth %.1f engines, has %d", wanted, current.Prefill)
}

// toward returns the split one move nearer to a target.
func (s Split) toward(target Split) Split {
	for _, from := range splitRoles {
		for _, to := range splitRoles {
			if s.Of(from) > target.Of(from) && s.Of(to) < target.Of(to) {
				return s.with(from, -1).with(to, 1)
			}
		}
	}
	return s
}
