package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/landingtrail/landingtrail/lab/emulator"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
)

// Hindsight is the best plan found with the trace known. Searched are:
//
//   - constant splits: all mixed; mixed beside at most two prefill or decode
//     engines, or one of each; and without mixed engines those of two to five
//     prefill engines (all of them if no engine may be mixed);
//   - piecewise-constant splits over segments of a minute, composed by dynamic
//     programming from what each constant split completed of the requests that
//     arrived in each segment, at several prices of a role change, and the same
//     plans with every change some seconds earlier;
//   - what the other compared policies did.
//
// Each plan is emulated and the one of the highest goodput is taken. It is thus
// a bound among the plans searched, and not of all plans. Nothing is searched
// where a compared policy served all but saturatedShare of what was offered:
// no plan can serve more than that.
const (
	saturatedShare = 0.001
	leastPrefill   = 2 // without mixed engines, where mixed ones are permitted
	mostPrefill    = 5

	segmentLength  = time.Minute
	maxDedicated   = 2 // prefill or decode engines beside mixed ones
	hindsightLeads = 2 // plans of the dynamic programming that are also tried earlier
)

// changePrices are tried as the price of a role change, in seconds of one
// engine's share of the goodput.
var changePrices = []float64{5, 20, 80}

// changeLeads are by how much changes are tried earlier.
var changeLeads = []time.Duration{10 * time.Second, 25 * time.Second}

// plan is one plan that was emulated.
type plan struct {
	steps  []planner.ScheduleStep
	result *emulator.Result
}

// hindsight searches and returns the best plan; online is what the other
// policies did.
func (b *bench) hindsight(online []PolicyRun) (PolicyRun, error) {
	if best, found := bestRun(online); found && best.Goodput >= (1-saturatedShare)*b.offeredTokens() {
		return asHindsight(best), nil
	}
	constants := b.constantPlans()
	if err := b.emulatePlans(constants); err != nil {
		return PolicyRun{}, err
	}
	composed := b.composedPlans(constants)
	if err := b.emulatePlans(composed); err != nil {
		return PolicyRun{}, err
	}
	earlier := b.earlierPlans(composed)
	if err := b.emulatePlans(earlier); err != nil {
		return PolicyRun{}, err
	}
	best := bestPlan(slices.Concat(constants, composed, earlier))
	run := policyRun(PolicyHindsight, best.result)
	run.Plan = describe(best.steps)
	if other, found := bestRun(online); found && other.Goodput > run.Goodput {
		return asHindsight(other), nil
	}
	return run, nil
}

// asHindsight makes another policy's run the bound.
func asHindsight(run PolicyRun) PolicyRun {
	run.Policy, run.Plan = PolicyHindsight, planAs+run.Policy
	return run
}

// planAs begins the plan of a bound that a compared policy set.
const planAs = "as "

func bestRun(runs []PolicyRun) (best PolicyRun, found bool) {
	for _, run := range runs {
		if !found || run.Goodput > best.Goodput {
			best, found = run, true
		}
	}
	return best, found
}

// offeredTokens is the model work offered a second: a bound of every goodput.
func (b *bench) offeredTokens() float64 {
	tokens := 0
	for i := range b.items {
		if b.items[i].Model != "" {
			tokens += b.items[i].PromptTokens + b.items[i].OutputTokens
		}
	}
	return float64(tokens) / b.config.Duration.Seconds()
}

func (b *bench) emulatePlans(plans []plan) error {
	return b.each(len(plans), func(i int) error {
		result, err := b.emulate(planner.NewSchedule(plans[i].steps))
		plans[i].result = result
		return err
	})
}

// constantPlans returns the constant splits over the permitted roles.
func (b *bench) constantPlans() []plan {
	var plans []plan
	total := emulator.DefaultEngines
	for prefill := 0; prefill <= total; prefill++ {
		for decode := 0; prefill+decode <= total; decode++ {
			split := planner.Split{Prefill: prefill, Decode: decode, Mixed: total - prefill - decode}
			if b.searched(split) {
				plans = append(plans, plan{steps: []planner.ScheduleStep{{Split: split}}})
			}
		}
	}
	return plans
}

func (b *bench) searched(split planner.Split) bool {
	mixedAllowed := slices.Contains(b.config.Roles, api.RoleMixed)
	switch {
	case split.Mixed == 0 && mixedAllowed:
		return split.Prefill >= leastPrefill && split.Prefill <= mostPrefill
	case split.Mixed == 0:
		return split.Prefill > 0 && split.Decode > 0
	default:
		return mixedAllowed && split.Prefill+split.Decode <= maxDedicated
	}
}

// composedPlans composes plans from the constant ones, one for each price.
func (b *bench) composedPlans(constants []plan) []plan {
	segments := int((b.config.Duration + segmentLength - 1) / segmentLength)
	values := make([][]float64, len(constants))
	for i, constant := range constants {
		values[i] = segmentTokens(constant.result, segments)
	}
	engineSecond := bestPlan(constants).result.Goodput() / emulator.DefaultEngines
	var plans []plan
	for _, price := range changePrices {
		path := cheapestPath(values, func(from, to int) float64 {
			moves := constants[from].steps[0].Split.MovesTo(constants[to].steps[0].Split)
			return price * engineSecond * float64(moves)
		})
		steps := stepsOf(path, constants)
		known := slices.ContainsFunc(plans, func(other plan) bool { return slices.Equal(other.steps, steps) })
		if len(steps) > 1 && !known { // one step is a constant split
			plans = append(plans, plan{steps: steps})
		}
	}
	return plans
}

// segmentTokens returns the useful tokens of the requests that arrived in each segment.
func segmentTokens(result *emulator.Result, segments int) []float64 {
	tokens := make([]float64, segments)
	for _, sample := range result.Samples {
		index := min(int(sample.At/segmentLength), segments-1)
		tokens[index] += float64(sample.UsefulTokens)
	}
	return tokens
}

// cheapestPath returns the choice for each segment that maximizes the sum of
// values less the costs of switching between neighbours (Viterbi's algorithm).
func cheapestPath(values [][]float64, cost func(from, to int) float64) []int {
	choices, segments := len(values), len(values[0])
	score := make([]float64, choices)
	previous := make([][]int, segments)
	for segment := range segments {
		next := make([]float64, choices)
		previous[segment] = make([]int, choices)
		for to := range choices {
			from := bestOrigin(score, to, cost, segment > 0)
			previous[segment][to] = from
			next[to] = score[from] + values[to][segment]
			if segment > 0 {
				next[to] -= cost(from, to)
			}
		}
		score = next
	}
	path := make([]int, segments)
	path[segments-1] = argmax(score)
	for segment := segments - 1; segment > 0; segment-- {
		path[segment-1] = previous[segment][path[segment]]
	}
	return path
}

func bestOrigin(score []float64, to int, cost func(from, to int) float64, moves bool) int {
	if !moves {
		return to
	}
	best := to
	for from := range score {
		if score[from]-cost(from, to) > score[best]-cost(best, to) {
			best = from
		}
	}
	return best
}

func argmax(values []float64) int {
	best := 0
	for i, value := range values {
		if value > values[best] {
			best = i
		}
	}
	return best
}

// stepsOf turns the choices for segments into steps of a schedule.
func stepsOf(path []int, constants []plan) []planner.ScheduleStep {
	var steps []planner.ScheduleStep
	for segment, choice := range path {
		if segment > 0 && choice == path[segment-1] {
			continue
		}
		steps = append(steps, planner.ScheduleStep{
			From:  time.Duration(segment) * segmentLength,
			Split: constants[choice].steps[0].Split,
		})
	}
	return steps
}

// earlierPlans moves the changes of the best composed plans to earlier times.
func (b *bench) earlierPlans(composed []plan) []plan {
	slices.SortStableFunc(composed, func(x, y plan) int {
		return int(y.result.UsefulTokens - x.result.UsefulTokens)
	})
	var plans []plan
	for _, lead := range changeLeads {
		for _, original := range composed[:min(hindsightLeads, len(composed))] {
			plans = append(plans, plan{steps: earlier(original.steps, lead)})
		}
	}
	return plans
}

func earlier(steps []planner.ScheduleStep, lead time.Duration) []planner.ScheduleStep {
	moved := slices.Clone(steps)
	for i := range moved {
		moved[i].From = max(moved[i].From-lead, 0)
	}
	return moved
}

func bestPlan(plans []plan) plan {
	return slices.MaxFunc(plans, func(x, y plan) int {
		return int(x.result.UsefulTokens - y.result.UsefulTokens)
	})
}

func describe(steps []planner.ScheduleStep) string {
	var parts []string
	for _, step := range steps {
		parts = append(parts, fmt.Sprintf("from %v %v", step.From, step.Split))
	}
	return strings.Join(parts, "; ")
}
