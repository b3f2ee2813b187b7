package planner

import (
	"fmt"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// StaticConfig configures the static planner, a baseline that the adaptive one is
// compared with.
type StaticConfig struct {
	// PrefillShare is the share of engines that get the prefill role; the others
	// get the decode role. With 0 the split is that of defaultTarget: all engines are
	// mixed if the intent permits it.
	PrefillShare float64
}

// NewStatic returns a planner that assigns a fixed split once and then changes no role.
// When engines without a role are added, it applies the fixed share to the new total.
func NewStatic(config StaticConfig) Planner {
	return &policyPlanner{policy: &static{config: config}}
}

type static struct {
	config StaticConfig
}

func (s *static) target(g *group) (Split, string) {
	total := g.assignableCount()
	if s.config.PrefillShare == 0 || !g.allows(api.RolePrefill) || !g.allows(api.RoleDecode) {
		return defaultTarget(g, total), "fixed split"
	}
	current := g.currentSplit()
	if current.Total() == total {
		return current, "fixed split" // the loss or return of an engine does not change the roles of others
	}
	return proportionalSplit(total, s.config.PrefillShare), "fixed split"
}

// defaultTarget returns the split that doesn't depend on the demand: all mixed if
// permitted, else the one permitted role, else half prefill and half decode.
func defaultTarget(g *group, total int) Split {
	if g.allows(api.RoleMixed) {
		return Split{Mixed: total}
	}
	if len(g.intent.Spec.Roles) == 1 {
		return Split{}.with(g.intent.Spec.Roles[0], total)
	}
	return proportionalSplit(total, 0.5)
}

// ThresholdConfig configures the threshold planner, a baseline that the adaptive one is
// compared with. Zero fields take defaults.
type ThresholdConfig struct {
	Rates Rates
	// MinDifference is the minimum difference, in engines, between the wanted and the current
	// number of prefill engines at which one engine is moved.
	MinDifference float64
	// CoolDown is the minimum time between two role changes of an intent.
	CoolDown time.Duration
}

// Defaults of ThresholdConfig.
const (
	DefaultThresholdMinDifference = 0.75
	DefaultThresholdCoolDown      = 20 * time.Second
)

// NewThreshold returns a planner that follows the measured ratio of prompt to output
// work with hysteresis: when the number of prefill engines for this ratio differs from
// the current one by MinDifference or more, one engine is moved.
func NewThreshold(config ThresholdConfig) Planner {
	config.Rates = config.Rates.withDefaults()
	if config.MinDifference == 0 {
		config.MinDifference = DefaultThresholdMinDifference
	}
	if config.CoolDown == 0 {
		config.CoolDown = DefaultThresholdCoolDown
	}
	return &policyPlanner{policy: &threshold{config: config, changed: map[string]time.Duration{}}}
}

type threshold struct {
	config  ThresholdConfig
	changed map[string]time.Duration // time of the last role change, by intent name
}

func (t *threshold) target(g *group) (Split, string) {
	total := g.assignableCount()
	if total < 2 || !g.allows(api.RolePrefill) || !g.allows(api.RoleDecode) {
		return defaultTarget(g, total), "no choice of roles"
	}
	measured := measuredWork(g.demand)
	prefillShare := t.config.Rates.prefillShare(measured)
	current := g.currentSplit()
	if current.Total() < total || current.Mixed > 0 {
		return proportionalSplit(total, prefillShare), "first split"
	}
	wanted := prefillShare * float64(total)
	offset := wanted - float64(current.Prefill)
	target := proportionalSplit(total, prefillShare)
	if offset*offset < t.config.MinDifference*t.config.MinDifference || target == current {
		return current, ""
	}
	last, changed := t.changed[g.intent.Name]
	if g.availableBudget() == 0 || changed && g.now-last < t.config.CoolDown {
		return current, ""
	}
	t.changed[g.intent.Name] = g.now
	return current.withMoveToward(target), fmt.Sprintf("prompt work is worth %.1f engines, has %d", wanted, current.Prefill)
}

// withMoveToward returns the split after one move toward a target, the first in the
// order of splitRoles.
func (s Split) withMoveToward(target Split) Split {
	for _, from := range splitRoles {
		for _, to := range splitRoles {
			if s.Count(from) > target.Count(from) && s.Count(to) < target.Count(to) {
				return s.with(from, -1).with(to, 1)
			}
		}
	}
	return s
}
