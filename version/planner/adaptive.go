package planner

import (
	"fmt"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// Config configures the adaptive planner. Zero fields take defaults.
type Config struct {
	Rates    Rates
	Forecast ForecastConfig
	// ChangeTime is how long a role change makes an engine unavailable, without the drain.
	ChangeTime time.Duration
	// DrainTime is how long an engine typically takes to finish its requests.
	DrainTime time.Duration
	// CacheWarmupTime is the engine time lost to a cold prefix cache after a change.
	CacheWarmupTime time.Duration
	// MinMixDuration and MaxMixDuration bound the estimate of how long a mix of
	// prompt and output work lasts; InitialMixDuration is its first value.
	MinMixDuration     time.Duration
	InitialMixDuration time.Duration
	MaxMixDuration     time.Duration
	// GainRatio is the ratio of expected gain to cost that a change must exceed.
	// It is above 1 because both are estimates, and choosing the best candidate
	// favors those whose gain is overestimated.
	GainRatio float64
	// CoolDown is the minimum time between two role changes of an intent. It
	// doubles with each change that soon reverses the previous one, up to MaxCoolDown.
	CoolDown    time.Duration
	MaxCoolDown time.Duration
}

// Defaults of Config.
const (
	DefaultChangeTime         = 3 * time.Second
	DefaultDrainTime          = 8 * time.Second
	DefaultCacheWarmupTime    = 2 * time.Second
	DefaultMinMixDuration     = 45 * time.Second
	DefaultInitialMixDuration = 2 * time.Minute
	DefaultMaxMixDuration     = 10 * time.Minute
	DefaultCoolDown           = 10 * time.Second
	DefaultMaxCoolDown        = 5 * time.Minute
	DefaultGainRatio          = 2
)

func (c Config) withDefaults() Config {
	c.Rates = c.Rates.withDefaults()
	setDefault(&c.Forecast.LevelTime, DefaultLevelTime)
	setDefault(&c.Forecast.TrendTime, DefaultTrendTime)
	setDefault(&c.ChangeTime, DefaultChangeTime)
	setDefault(&c.DrainTime, DefaultDrainTime)
	setDefault(&c.CacheWarmupTime, DefaultCacheWarmupTime)
	setDefault(&c.MinMixDuration, DefaultMinMixDuration)
	setDefault(&c.InitialMixDuration, DefaultInitialMixDuration)
	setDefault(&c.MaxMixDuration, DefaultMaxMixDuration)
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

// New returns the adaptive planner. It forecasts the demand of each intent and
// changes an engine's role only where the additional work that the new split is
// expected to serve while the current mix of work lasts exceeds the cost of the
// change.
func New(config Config) Planner {
	return &policyPlanner{policy: &adaptive{config: config.withDefaults(), states: map[string]*intentState{}}}
}

// adaptive is the policy of the planner that New returns.
type adaptive struct {
	config Config
	states map[string]*intentState // by intent name
}

// intentState is what the policy keeps about one intent between plans. Losing it
// is harmless: forecasts start again from the next measurement.
type intentState struct {
	forecast    forecast
	mixDuration mixDurationEstimate
	lastMove    move
	lastMoveAt  time.Duration
	moved       bool
	coolDown    time.Duration
}

// move is the role change of one engine.
type move struct {
	from, to api.EngineRole
}

func (m move) reverses(other move) bool { return m.from == other.to && m.to == other.from }

// updateState adds the measured demand to the intent's state and returns the state.
func (a *adaptive) updateState(g *group) *intentState {
	state := a.states[g.intent.Name]
	if state == nil {
		state = &intentState{
			forecast:    forecast{config: a.config.Forecast},
			mixDuration: mixDurationEstimate{expected: a.config.InitialMixDuration, lastCrossing: g.now},
			coolDown:    a.config.CoolDown,
		}
		a.states[g.intent.Name] = state
	}
	measured := measuredWork(g.demand)
	elapsed := g.now - state.forecast.lastUpdate
	state.forecast.update(g.now, measured)
	state.mixDuration.update(g.now, elapsed, a.config.Rates.prefillShare(measured))
	return state
}

// target implements policy.
func (a *adaptive) target(g *group) (Split, string) {
	state := a.updateState(g)
	current := g.currentSplit()
	if missing := g.assignableCount() - current.Total(); missing > 0 {
		return a.assignUnassigned(g, current, missing, state), "first assignment"
	}
	if g.availableBudget() == 0 || state.moved && g.now-state.lastMoveAt < state.coolDown {
		return current, ""
	}
	best, found := a.bestMove(g, current, state)
	if !found {
		return current, ""
	}
	a.recordMove(g.now, state, best.move)
	return current.with(best.move.from, -1).with(best.move.to, 1), best.reason
}

// defaultWork replaces a zero forecast when roles are assigned to unassigned engines.
var defaultWork = work{requests: 10, uncachedPrompt: 5000, totalPrompt: 10000, output: 1000}

// assignUnassigned returns the current split with roles added for the engines that
// have none, one engine at a time, each with the role in which it adds most.
func (a *adaptive) assignUnassigned(g *group, current Split, missing int, state *intentState) Split {
	expected := state.forecast.predict(a.config.ChangeTime)
	if a.config.Rates.requiredEngines(expected) == 0 {
		expected = defaultWork
	}
	for range missing {
		best, most := api.RoleNone, -1.0
		for _, role := range splitRoles {
			if !g.allows(role) {
				continue
			}
			served := a.partialSplitValue(current.with(role, 1), expected)
			if served > most {
				best, most = role, served
			}
		}
		current = current.with(best, 1)
	}
	return current
}

// partialSplitValue returns the value of a split in which some engines may not have a
// role yet: the work that it can serve, plus a small bonus for its coverage of the
// scarcer of prompt and output work, so that neither is left without engines.
func (a *adaptive) partialSplitValue(split Split, w work) float64 {
	balance := min(
		coverage(float64(split.Prefill+split.Mixed), a.config.Rates.requiredPrefillEngines(w)),
		coverage(float64(split.Decode+split.Mixed), a.config.Rates.requiredDecodeEngines(w)),
	)
	return a.config.Rates.servableWork(split, w) + 1e-3*balance
}

// moveChoice is a move whose expected gain exceeds its cost.
type moveChoice struct {
	move   move
	reason string
}

// bestMove finds the split whose gain over the expected duration of the mix most
// exceeds the cost of the moves that lead to it, and returns the first of these
// moves. It returns false where no split is worth its cost.
func (a *adaptive) bestMove(g *group, current Split, state *intentState) (moveChoice, bool) {
	duration := min(max(state.mixDuration.expected, a.config.MinMixDuration), a.config.MaxMixDuration)
	expected := state.forecast.predict(a.config.DrainTime + a.config.ChangeTime + duration/4)
	expected.uncachedPrompt += g.demand.QueuedPromptTokens / duration.Seconds()
	servedNow := a.config.Rates.servableWork(current, expected)

	best, bestNet, bestGain, bestCost := current, 0.0, 0.0, 0.0
	for _, candidate := range candidateSplits(current, g.allows) {
		gain := (a.config.Rates.servableWork(candidate, expected) - servedNow) * duration.Seconds()
		if gain <= bestNet {
			continue
		}
		cost := a.moveCost(g, current, candidate, expected)
		if gain > a.config.GainRatio*cost && gain-cost > bestNet {
			best, bestNet, bestGain, bestCost = candidate, gain-cost, gain, cost
		}
	}
	if best == current {
		return moveChoice{}, false
	}
	reason := fmt.Sprintf("expect %.0f prompt and %.0f output tokens/s; %s gains %.0f engine-seconds over %s, costs %.0f",
		expected.uncachedPrompt, expected.output, best, bestGain, duration.Round(time.Second), bestCost)
	return moveChoice{move: a.firstMoveToward(current, best, expected), reason: reason}, true
}

// moveCost returns the cost in engine-seconds of the moves that lead to a split:
// the work not served while each engine is unavailable, its cold prefix cache, and
// the intent's ChangeCost.
func (a *adaptive) moveCost(g *group, current, candidate Split, expected work) float64 {
	moves := float64(current.Moves(candidate))
	unavailable := (a.config.DrainTime/2 + a.config.ChangeTime).Seconds()
	servedNow := a.config.Rates.servableWork(current, expected)
	lostWork := 0.0
	for _, role := range splitRoles {
		if current.Of(role) > candidate.Of(role) {
			lostWork = max(lostWork, servedNow-a.config.Rates.servableWork(current.with(role, -1), expected))
		}
	}
	return moves * (lostWork*unavailable + a.config.CacheWarmupTime.Seconds() + g.intent.Spec.ChangeCost)
}

// firstMoveToward returns the move toward a split after which most work can be served.
func (a *adaptive) firstMoveToward(current, target Split, expected work) move {
	best, most := move{}, -1.0
	for _, from := range splitRoles {
		for _, to := range splitRoles {
			if current.Of(from) <= target.Of(from) || current.Of(to) >= target.Of(to) {
				continue
			}
			served := a.partialSplitValue(current.with(from, -1).with(to, 1), expected)
			if served > most {
				best, most = move{from, to}, served
			}
		}
	}
	return best
}

// recordMove records a role change and bounds flapping. A change that reverses the
// previous one within MinMixDuration, or within twice the cool-down if that is
// longer, doubles the cool-down; a change later than MaxMixDuration and twice the
// cool-down resets it.
func (a *adaptive) recordMove(now time.Duration, state *intentState, next move) {
	since := now - state.lastMoveAt
	switch {
	case state.moved && next.reverses(state.lastMove) && since < max(a.config.MinMixDuration, 2*state.coolDown):
		state.coolDown = min(2*state.coolDown, a.config.MaxCoolDown)
	case since > max(a.config.MaxMixDuration, 2*state.coolDown):
		state.coolDown = a.config.CoolDown
	}
	state.lastMove, state.lastMoveAt, state.moved = next, now, true
}
