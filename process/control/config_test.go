package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestEngineSilenceGrowsWithFleetSize holds what a scale run showed: before 10,000
// engines a round of questions takes the 5 s of the default, so every engine
// counted as silent half of the time.
func TestEngineSilenceGrowsWithFleetSize(t *testing.T) {
	durations := Durations{}.withDefaults()
	for _, c := range []struct {
		name    string
		engines int
		want    time.Duration
	}{
		{"none", 0, DefaultEngineSilence},
		{"today's", 9, DefaultEngineSilence},
		{"a thousand", 1_000, DefaultEngineSilence},
		{"the target's", 10_000, 15 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, durations.silenceOf(c.engines)) })
	}
}
