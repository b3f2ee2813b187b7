package trace

import (
	"math/rand/v2"
	"time"
)

// Scenario is the course of a trace.
type Scenario string

// Scenarios. A seed stands for one of them, see ScenarioOf.
const (
	// ScenarioFront is one long shift: a storm front that turns captions into
	// summaries, or a month end that brings long statement prompts.
	ScenarioFront Scenario = "front"
	// ScenarioSwings alternates between prompt-heavy and output-heavy work within minutes.
	ScenarioSwings Scenario = "swings"
	// ScenarioQuiet is a quiet night.
	ScenarioQuiet Scenario = "quiet"
	// ScenarioDouble is two shorter fronts.
	ScenarioDouble Scenario = "double"
)

var scenarios = []Scenario{ScenarioQuiet, ScenarioFront, ScenarioSwings, ScenarioDouble}

// ScenarioOf returns the scenario that a seed stands for; consecutive seeds go
// through all scenarios.
func ScenarioOf(seed uint64) Scenario {
	return scenarios[seed%uint64(len(scenarios))]
}

// shapeSpan is the time that a scenario's course takes; a longer trace repeats it.
const shapeSpan = 15 * time.Minute

// shapeRandom draws the times and heights of a scenario.
type shapeRandom struct {
	*rand.Rand
}

// between draws evenly from an interval.
func (r *shapeRandom) between(low, high float64) float64 {
	return low + (high-low)*r.Float64()
}

// minutes draws a time evenly from an interval given in minutes.
func (r *shapeRandom) minutes(low, high float64) time.Duration {
	return time.Duration(r.between(low, high) * float64(time.Minute))
}

// wave is one front: it rises from start to full and falls from fall to end.
type wave struct {
	start, full, fall, end time.Duration
}

func drawWave(random *shapeRandom, earliest, latest, holdLow, holdHigh float64) wave {
	start := random.minutes(earliest, latest)
	full := start + random.minutes(0.7, 1.8)
	fall := full + random.minutes(holdLow, holdHigh)
	return wave{start, full, fall, fall + random.minutes(1, 2)}
}

// drawWaves draws the fronts of a scenario; none for a quiet night.
func drawWaves(scenario Scenario, random *shapeRandom) []wave {
	switch scenario {
	case ScenarioFront:
		return []wave{drawWave(random, 2.5, 4.5, 4, 6)}
	case ScenarioDouble:
		return []wave{drawWave(random, 1.5, 2.5, 1.5, 2.5), drawWave(random, 9, 9.5, 1.5, 2.5)}
	case ScenarioSwings:
		return drawSwings(random)
	default:
		return nil
	}
}

// drawSwings draws fronts of one to two minutes, one after the other.
func drawSwings(random *shapeRandom) []wave {
	var waves []wave
	at := random.minutes(1, 2)
	for {
		full := at + random.minutes(0.3, 0.7)
		fall := full + random.minutes(0.8, 1.6)
		end := fall + random.minutes(0.3, 0.7)
		if end > shapeSpan {
			return waves
		}
		waves = append(waves, wave{at, full, fall, end})
		at = end + random.minutes(0.8, 1.6)
	}
}

// along returns the curve that is calm outside the waves and peak within them.
func along(waves []wave, calm, peak float64) curve {
	result := curve{{0, calm}}
	for _, w := range waves {
		result = result.then(w.start, w.full, peak)
		result = result.then(w.fall, w.end, calm)
	}
	return result
}

// quietFactor scales the arrivals of a quiet night.
const quietFactor = 0.25

func radarvlakShapes(scenario Scenario, random *shapeRandom) shapes {
	if scenario == ScenarioQuiet {
		return quietShapes(random, ClassCaption, ClassBriefing, ClassSummary, ClassFrame)
	}
	waves := drawWaves(scenario, random)
	strength := random.between(0.9, 1.15)
	return shapes{rate: map[string]curve{
		ClassCaption:  along(waves, random.between(0.9, 1.3), 0.35*strength),
		ClassBriefing: along(waves, 1, 2.5*strength),
		ClassSummary:  along(waves, 1, 11*strength),
		ClassFrame:    along(waves, 1, 1.5),
	}}
}

func caroniShapes(scenario Scenario, random *shapeRandom) shapes {
	if scenario == ScenarioQuiet {
		return quietShapes(random, ClassStatement, ClassQuery, ClassGap, ClassDownload, ClassLookup)
	}
	waves := drawWaves(scenario, random)
	strength := random.between(0.9, 1.15)
	return shapes{
		rate: map[string]curve{
			ClassStatement: along(waves, 1, 3.2*strength),
			ClassQuery:     along(waves, random.between(0.9, 1.4), 0.8*strength),
			ClassGap:       along(waves, 1, 1.5),
			ClassDownload:  along(waves, 1, 2),
			ClassLookup:    along(waves, 1, 1.5),
		},
		prompt: map[string]curve{ClassStatement: along(waves, 1, 1.8)},
	}
}

// quietShapes is low traffic with one bump.
func quietShapes(random *shapeRandom, names ...string) shapes {
	result := shapes{rate: map[string]curve{}}
	bump := []wave{drawWave(random, 3, 8, 1, 2)}
	for _, name := range names {
		result.rate[name] = along(bump, quietFactor, 2*quietFactor)
	}
	return result
}
