package campaign

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
)

// Config is a campaign over a range of seeds.
type Config struct {
	First, Last uint64
	// Workers is how many seeds run at once; 0 means one.
	Workers int
	// Shrink is how many runs may be spent on shortening the schedule of one
	// violation; 0 leaves it as drawn.
	Shrink int
}

// Report is what a campaign found.
type Report struct {
	Seeds  int            `json:"seeds"`
	Steps  int            `json:"steps"`
	Faults map[string]int `json:"faults"`
	// Work counts what went on beside the faults: a campaign in which nothing
	// was done proves nothing.
	Work       map[string]int `json:"work"`
	Violations []Violation    `json:"violations"`
}

// Encode returns the report as JSON.
func (r Report) Encode() ([]byte, error) { return json.MarshalIndent(r, "", "  ") }

// NeverStruck lists the kinds of faults and of their consequences that no run
// brought about: a campaign proves nothing of these.
func (r Report) NeverStruck() []string {
	var never []string
	for _, kind := range append(slices.Clone(faultKinds), strikeKinds...) {
		if r.Faults[kind] == 0 {
			never = append(never, kind)
		}
	}
	return never
}

// outcome is what one seed gave.
type outcome struct {
	steps      int
	counts     map[string]int
	work       map[string]int
	violations []Violation
}

// Run runs the campaign. The report depends on the range of seeds alone.
func Run(config Config) Report {
	count := int(config.Last-config.First) + 1
	outcomes := make([]outcome, count)
	var group sync.WaitGroup
	slots := make(chan struct{}, max(config.Workers, 1))
	for i := range count {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			outcomes[i] = runSeed(config.First+uint64(i), config.Shrink)
		})
	}
	group.Wait()
	report := Report{Seeds: count, Faults: map[string]int{}, Work: map[string]int{}, Violations: []Violation{}}
	for _, each := range outcomes {
		report.Steps += each.steps
		for kind, struck := range each.counts {
			report.Faults[kind] += struck
		}
		for kind, done := range each.work {
			report.Work[kind] += done
		}
		report.Violations = append(report.Violations, each.violations...)
	}
	return report
}

// Schedule returns the faults of a seed.
func Schedule(seed uint64) []Fault { return schedule(rand.New(rand.NewPCG(seed, 5))) }

func runSeed(seed uint64, shrinkRuns int) outcome {
	faults := Schedule(seed)
	result := play(seed, faults)
	if len(result.violations) == 0 {
		return result
	}
	shortest, violations := shrink(seed, faults, result.violations, shrinkRuns)
	result.violations = firstOfEachRule(violations)
	for i := range result.violations {
		result.violations[i].Trace = describe(shortest, result.violations[i].Trace)
	}
	return result
}

// play runs one schedule from the beginning.
func play(seed uint64, faults []Fault) outcome {
	w := newWorld(seed)
	w.run(faults)
	return outcome{steps: w.steps, counts: w.counts, work: w.oracle.work(), violations: w.oracle.violations}
}

func firstOfEachRule(violations []Violation) []Violation {
	seen := map[string]bool{}
	var first []Violation
	for _, violation := range violations {
		if !seen[violation.Rule] {
			seen[violation.Rule] = true
			first = append(first, violation)
		}
	}
	return first
}

func describe(faults []Fault, violation string) string {
	lines := make([]string, 0, len(faults)+1)
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(append(lines, violation), "; ")
}

// shrink looks for a shorter schedule that breaks the same rule, by leaving out
// ever smaller parts of it.
func shrink(seed uint64, faults []Fault, violations []Violation, runs int) ([]Fault, []Violation) {
	rule := violations[0].Rule
	for size := len(faults) / 2; size >= 1 && runs > 0; {
		shorter := false
		for start := 0; start < len(faults) && runs > 0; start += size {
			candidate := slices.Delete(slices.Clone(faults), start, min(start+size, len(faults)))
			runs--
			broken := play(seed, candidate).violations
			if i := slices.IndexFunc(broken, func(v Violation) bool { return v.Rule == rule }); i >= 0 {
				faults, violations, shorter = candidate, broken, true
				break
			}
		}
		if !shorter {
			size /= 2
		}
	}
	return faults, violations
}
