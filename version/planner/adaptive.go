package planner

import (
	"fmt"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// Config configures the adaptive planner. Fields that are zero or negative take
// defaults.
type Config struct {
	Rates    Rates          // throughput model of the engines
	Forecast ForecastConfig // smoothing of the measured demand
	// ChangeTime is how long a role change makes an engine unavailable, without the drain.
	ChangeTime time.Duration
	// DrainTime is how long an engine typically takes to finish its requests.
	DrainTime time.Duration
	// CacheWarmupTime is the time of one engine that is lost to a cold prefix cache
	// after a change.
	CacheWarmupTime time.Duration
	// MinMixDuration and MaxMixDuration bound the estimate of how long the ratio of
	// prompt to output work stays above or below its average, where the estimate is
	// used; InitialMixDuration is its first value.
	MinMixDuration     time.Duration
	InitialMixDuration time.Duration
	MaxMixDuration     time.Duration
	// GainRatio is the ratio of expected gain to cost, both in engine-seconds, that a
	// change must exceed. It is above 1 because both are estimates: the candidate with
	// the highest estimated gain is often one whose gain is overestimated.
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
// is harmless: forecasts start again from the next measurement, and the cool-down
// from its initial value, which may allow a role change earlier.
type intentState struct {
	forecast    forecast
	mixDuration mixDurationEstimate
	lastMove    move
	lastMoveAt  time.Duration
	hasMoved    bool          // lastMove and lastMoveAt are set
	coolDown    time.Duration // current value, see recordMove
}

// move is the role change of one engine.
type move struct {
	from, to api.EngineRole
}

func (m move) reverses(other move) bool { return m.from == other.to && m.to == other.from }

// updateState adds the measured demand to the intent's state, which it creates if there
// is none, and returns the state. The state of a deleted intent is not removed.
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
	if g.availableBudget() == 0 || state.hasMoved && g.now-state.lastMoveAt < state.coolDown {
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
// The values are per second.
var defaultWork = work{requests: 10, uncachedPrompt: 5000, totalPrompt: 10000, output: 1000}

// assignUnassigned returns the current split with roles added for the engines that
// have none, one engine at a time, each with the role that gives the split the highest
// value.
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

// partialSplitValue returns the value, in engines, of a split in which some engines may
// not have a role yet. It is the work that the split can serve, plus a bonus of a
// thousandth of its lower coverage of prompt and output work. The bonus decides between
// splits that can serve the same work, such as none at all, so that neither kind of
// work is left without engines.
func (a *adaptive) partialSplitValue(split Split, w work) float64 {
	minCoverage := min(
		coverage(float64(split.Prefill+split.Mixed), a.config.Rates.requiredPrefillEngines(w)),
		coverage(float64(split.Decode+split.Mixed), a.config.Rates.requiredDecodeEngines(w)),
	)
	return a.config.Rates.servableWork(split, w) + 1e-3*minCoverage
}

// moveChoice is the move that bestMove chose, with the reason shown to operators.
type moveChoice struct {
	move   move
	reason string
}

// bestMove evaluates the candidate splits over the expected duration of the mix. Among
// those whose gain exceeds GainRatio times the cost of the moves that lead to them, it
// chooses the one with the highest gain less cost, and returns the first move toward
// it. It returns false if there is none. The prompts that are queued now are added to
// the expected work, spread over the duration.
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

// moveCost returns the cost in engine-seconds of the moves that lead to a split. Each
// move costs the work not served while the engine is unavailable, its cold prefix
// cache, and the intent's ChangeCost, which is in engine-seconds too. The work not
// served is that of the role whose loss of one engine costs most. Half of DrainTime
// counts as unavailable.
func (a *adaptive) moveCost(g *group, current, candidate Split, expected work) float64 {
	moves := float64(current.MovesTo(candidate))
	unavailable := (a.config.DrainTime/2 + a.config.ChangeTime).Seconds()
	servedNow := a.config.Rates.servableWork(current, expected)
	lostWork := 0.0
	for _, role := range splitRoles {
		if current.Count(role) > candidate.Count(role) {
			lostWork = max(lostWork, servedNow-a.config.Rates.servableWork(current.with(role, -1), expected))
		}
	}
	return moves * (lostWork*unavailable + a.config.CacheWarmupTime.Seconds() + g.intent.Spec.ChangeCost)
}

// firstMoveToward returns the move toward a split after which partialSplitValue is
// highest.
func (a *adaptive) firstMoveToward(current, target Split, expected work) move {
	best, most := move{}, -1.0
	for _, from := range splitRoles {
		for _, to := range splitRoles {
			if current.Count(from) <= target.Count(from) || current.Count(to) >= target.Count(to) {
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

// recordMove records a role change and adapts the cool-down, which bounds how often
// engines change back and forth. A change that reverses the previous one within
// MinMixDuration, or within twice the cool-down if that is longer, doubles the
// cool-down, up to MaxCoolDown. A change that follows the previous one after both
// MaxMixDuration and twice the cool-down have passed resets it.
func (a *adaptive) recordMove(now time.Duration, state *intentState, next move) {
	since := now - state.lastMoveAt
	switch {
	case state.hasMoved && next.reverses(state.lastMove) && since < max(a.config.MinMixDuration, 2*state.coolDown):
		state.coolDown = min(2*state.coolDown, a.config.MaxCoolDown)
	case since > max(a.config.MaxMixDuration, 2*state.coolDown):
		state.coolDown = a.config.CoolDown
	}
	state.lastMove, state.lastMoveAt, state.hasMoved = next, now, true
}
