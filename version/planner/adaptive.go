package planner

import (
	"fmt"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// Config sets up the planner. Zero fields take defaults.
type Config struct {
	Rates    Rates
	Forecast ForecastConfig
	// ChangeTime is how long a role change takes an engine away, drain not counted.
	ChangeTime time.Duration
	// DrainTime is how long an engine typically takes to finish what it has.
	DrainTime time.Duration
	// ColdTime is the engine time lost to a cold prefix cache after a change.
	ColdTime time.Duration
	// MinStay, FirstStay and MaxStay bound and start the estimate of how long
	// a mix of work lasts.
	MinStay   time.Duration
	FirstStay time.Duration
	MaxStay   time.Duration
	// GainRatio is how many times its cost a change must be expected to gain.
	// Above 1, since both are estimates, and of all moves that seem to pay the
	// ones whose gain was judged too high are chosen.
	GainRatio float64
	// CoolDown is the least time between two role changes of an intent. It
	// doubles with each change that soon undoes the one before, up to MaxCoolDown.
	CoolDown    time.Duration
	MaxCoolDown time.Duration
}

// Defaults of Config.
const (
	DefaultChangeTime  = 3 * time.Second
	DefaultDrainTime   = 8 * time.Second
	DefaultColdTime    = 2 * time.Second
	DefaultMinStay     = 45 * time.Second
	DefaultFirstStay   = 2 * time.Minute
	DefaultMaxStay     = 10 * time.Minute
	DefaultCoolDown    = 10 * time.Second
	DefaultMaxCoolDown = 5 * time.Minute
	DefaultGainRatio   = 2
)

func (c Config) withDefaults() Config {
	c.Rates = c.Rates.withDefaults()
	setDefault(&c.Forecast.LevelTime, DefaultLevelTime)
	setDefault(&c.Forecast.TrendTime, DefaultTrendTime)
	setDefault(&c.ChangeTime, DefaultChangeTime)
	setDefault(&c.DrainTime, DefaultDrainTime)
	setDefault(&c.ColdTime, DefaultColdTime)
	setDefault(&c.MinStay, DefaultMinStay)
	setDefault(&c.FirstStay, DefaultFirstStay)
	setDefault(&c.MaxStay, DefaultMaxStay)
	if c.GainRatio <= 0 {
		c.GainRatio = DefaultGainRatio
	}
	setDefault(&c.CoolDown, DefaultCoolDown)
	setDefault(&c.MaxCoolDown, DefaultMaxCoolDown)
	return c
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}

// New returns the planner: it forecasts the demand of each intent and moves an
// engine only where the work that the new split is expected to win over the
// mix's stay exceeds what the change costs.
func New(config Config) Planner {
	return &policyPlanner{policy: &adaptive{config: config.withDefaults(), memory: map[string]*memory{}}}
}

// adaptive is the policy of New.
type adaptive struct {
	config Config
	memory map[string]*memory // by intent name
}

// memory is what the policy keeps of one intent between plans. Losing it is
// harmless: forecasts start anew from the next measurement.
type memory struct {
	forecast forecast
	stay     stayEstimate
	last     move
	changed  time.Duration
	moved    bool
	coolDown time.Duration
}

// move is one role change.
type move struct {
	from, to api.EngineRole
}

func (m move) undoes(other move) bool { return m.from == other.to && m.to == other.from }

func (a *adaptive) remember(g *group) *memory {
	kept := a.memory[g.intent.Name]
	if kept == nil {
		kept = &memory{
			forecast: forecast{config: a.config.Forecast},
			stay:     stayEstimate{expected: a.config.FirstStay, crossed: g.now},
			coolDown: a.config.CoolDown,
		}
		a.memory[g.intent.Name] = kept
	}
	measured := measuredWork(g.demand)
	elapsed := g.now - kept.forecast.last
	kept.forecast.update(g.now, measured)
	kept.stay.update(g.now, elapsed, a.config.Rates.prefillShare(measured))
	return kept
}

// target implements policy.
func (a *adaptive) target(g *group) (Split, string) {
	kept := a.remember(g)
	current := g.split()
	if missing := g.capacity() - current.Total(); missing > 0 {
		return a.extend(g, current, missing, kept), "first assignment"
	}
	if g.budget() == 0 || kept.moved && g.now-kept.changed < kept.coolDown {
		return current, ""
	}
	choice, found := a.choose(g, current, kept)
	if !found {
		return current, ""
	}
	a.note(g.now, kept, choice.next)
	return current.with(choice.next.from, -1).with(choice.next.to, 1), choice.reason
}

// nominalWork stands in for the demand while none is known.
var nominalWork = work{requests: 10, prompt: 5000, read: 10000, output: 1000}

// extend gives roles to engines that have none, one at a time, each the role
// in which it adds most.
func (a *adaptive) extend(g *group, current Split, missing int, kept *memory) Split {
	expected := kept.forecast.at(a.config.ChangeTime)
	if a.config.Rates.engines(expected) == 0 {
		expected = nominalWork
	}
	for range missing {
		best, most := api.RoleNone, -1.0
		for _, role := range splitRoles {
			if !g.allows(role) {
				continue
			}
			served := a.potential(current.with(role, 1), expected)
			if served > most {
				best, most = role, served
			}
		}
		current = current.with(best, 1)
	}
	return current
}

// potential values a split that is not complete yet: what it serves, and a
// little for the scarcer of the two kinds of work, so that neither is left out.
func (a *adaptive) potential(split Split, w work) float64 {
	balance := min(
		share(float64(split.Prefill+split.Mixed), a.config.Rates.prefillEngines(w)),
		share(float64(split.Decode+split.Mixed), a.config.Rates.decodeEngines(w)),
	)
	return a.config.Rates.served(split, w) + 1e-3*balance
}

// choice is a move that pays.
type choice struct {
	next   move
	reason string
}

// choose looks for the split whose gain over the expected stay most exceeds the
// cost of the moves to it, and returns the first of these moves.
func (a *adaptive) choose(g *group, current Split, kept *memory) (choice, bool) {
	stay := min(max(kept.stay.expected, a.config.MinStay), a.config.MaxStay)
	expected := kept.forecast.at(a.config.DrainTime + a.config.ChangeTime + stay/4)
	expected.prompt += g.demand.QueuedPromptTokens / stay.Seconds()
	now := a.config.Rates.served(current, expected)

	best, bestNet, bestGain, bestCost := current, 0.0, 0.0, 0.0
	for _, candidate := range candidates(current, g.allows) {
		gain := (a.config.Rates.served(candidate, expected) - now) * stay.Seconds()
		if gain <= bestNet {
			continue
		}
		cost := a.cost(g, current, candidate, expected)
		if gain > a.config.GainRatio*cost && gain-cost > bestNet {
			best, bestNet, bestGain, bestCost = candidate, gain-cost, gain, cost
		}
	}
	if best == current {
		return choice{}, false
	}
	reason := fmt.Sprintf("expect %.0f prompt and %.0f output tokens/s; %s gains %.0f engine-seconds over %s, costs %.0f",
		expected.prompt, expected.output, best, bestGain, stay.Round(time.Second), bestCost)
	return choice{next: a.firstMove(current, best, expected), reason: reason}, true
}

// cost is the engine-seconds that the moves to a split cost: the work not
// served while each engine is away, its cold cache, and the intent's own weight.
func (a *adaptive) cost(g *group, current, candidate Split, expected work) float64 {
	moves := float64(current.Moves(candidate))
	away := (a.config.DrainTime/2 + a.config.ChangeTime).Seconds()
	now := a.config.Rates.served(current, expected)
	lost := 0.0
	for _, role := range splitRoles {
		if current.Of(role) > candidate.Of(role) {
			lost = max(lost, now-a.config.Rates.served(current.with(role, -1), expected))
		}
	}
	return moves * (lost*away + a.config.ColdTime.Seconds() + g.intent.Spec.ChangeCost)
}

// firstMove is the move towards a split after which most work is served.
func (a *adaptive) firstMove(current, target Split, expected work) move {
	best, most := move{}, -1.0
	for _, from := range splitRoles {
		for _, to := range splitRoles {
			if current.Of(from) <= target.Of(from) || current.Of(to) >= target.Of(to) {
				continue
			}
			served := a.potential(current.with(from, -1).with(to, 1), expected)
			if served > most {
				best, most = move{from, to}, served
			}
		}
	}
	return best
}

// note records a change and bounds flapping: a change that undoes the one
// before within MinStay doubles the cool-down, and only a change long after the
// one before resets it.
func (a *adaptive) note(now time.Duration, kept *memory, next move) {
	since := now - kept.changed
	switch {
	case kept.moved && next.undoes(kept.last) && since < max(a.config.MinStay, 2*kept.coolDown):
		kept.coolDown = min(2*kept.coolDown, a.config.MaxCoolDown)
	case since > max(a.config.MaxStay, 2*kept.coolDown):
		kept.coolDown = a.config.CoolDown
	}
	kept.last, kept.changed, kept.moved = next, now, true
}
