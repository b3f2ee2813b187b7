package trace

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestGenerateIsDeterministic(t *testing.T) {
	for _, deployment := range []string{DeploymentRadarvlak, DeploymentCaroni} {
		first := Generate(deployment, 7, time.Minute)
		must.Eq(t, first, Generate(deployment, 7, time.Minute))
		must.NotEq(t, first, Generate(deployment, 11, time.Minute))
	}
}

func TestMakeUnknownDeployment(t *testing.T) {
	_, err := Make(Config{Deployment: "other"})
	must.ErrorIs(t, err, ErrUnknownDeployment)
}

func TestItemsAreWellFormed(t *testing.T) {
	for _, deployment := range []string{DeploymentRadarvlak, DeploymentCaroni} {
		for seed := range uint64(4) {
			checkItems(t, Generate(deployment, seed, 5*time.Minute))
		}
	}
}

func checkItems(t *testing.T, items []Item) {
	t.Helper()
	must.SliceNotEmpty(t, items)
	keys := map[string]bool{}
	previous := time.Duration(0)
	for _, item := range items {
		must.GreaterEq(t, previous, item.At)
		previous = item.At
		must.Positive(t, item.Deadline)
		must.Eq(t, item.RepeatNever, item.Key != "")
		must.False(t, item.RepeatNever && keys[item.Key])
		keys[item.Key] = true
		must.Eq(t, item.Model != "", item.PromptTokens > 0 && item.OutputTokens > 0)
		must.LessEq(t, item.PromptTokens, item.PrefixTokens)
	}
}

// ratios returns the prompt tokens per output token in each slice of a trace.
func ratios(items []Item, slice time.Duration) []float64 {
	var prompt, output []float64
	for _, item := range items {
		index := int(item.At / slice)
		for len(prompt) <= index {
			prompt = append(prompt, 0)
			output = append(output, 0)
		}
		prompt[index] += float64(item.PromptTokens)
		output[index] += float64(item.OutputTokens)
	}
	for i := range prompt {
		prompt[i] /= output[i]
	}
	return prompt
}

func TestScenariosShiftTheMix(t *testing.T) {
	cases := []struct {
		name   string
		config Config
		slice  time.Duration
		shifts bool
	}{
		{"storm front", Config{Deployment: DeploymentRadarvlak, Seed: 1, Duration: 15 * time.Minute}, time.Minute, true},
		{"storm swings", Config{Deployment: DeploymentRadarvlak, Seed: 2, Duration: 15 * time.Minute}, time.Minute, true},
		{"month end", Config{Deployment: DeploymentCaroni, Seed: 1, Duration: 15 * time.Minute}, time.Minute, true},
		{"compressed front", Config{Deployment: DeploymentRadarvlak, Seed: 1, Duration: 20 * time.Second, Compress: true}, 2 * time.Second, true},
		{"quiet night", Config{Deployment: DeploymentCaroni, Seed: 0, Duration: 15 * time.Minute}, 5 * time.Minute, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			items, err := Make(c.config)
			must.NoError(t, err)
			low, high := 1e9, 0.0
			for _, ratio := range ratios(items, c.slice) {
				low, high = min(low, ratio), max(high, ratio)
			}
			must.Eq(t, c.shifts, high > 1.6*low, must.Sprintf("ratio from %.2f to %.2f", low, high))
		})
	}
}

func TestCurve(t *testing.T) {
	c := curve{{0, 1}}.then(10, 20, 3)
	for at, want := range map[time.Duration]float64{0: 1, 10: 1, 15: 2, 20: 3, 99: 3} {
		must.Eq(t, want, c.at(at))
	}
	must.Eq(t, 3.0, c.maximum())
	must.Eq(t, 1.0, curve(nil).at(5))
	must.Eq(t, 1.0, curve(nil).maximum())
}
