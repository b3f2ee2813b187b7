package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against treating engines as silent between two polls. With 10,000 engines a poll round
// takes the default 5 s of EngineSilence, and with a constant threshold every engine counted as
// silent half of the time.
func TestEngineSilenceGrowsWithFleetSize(t *testing.T) {
	durations := Durations{}.withDefaults()
	for _, c := range []struct {
		name    string
		engines int
		want    time.Duration
	}{
		{"none", 0, DefaultEngineSilence},
		{"small fleet", 9, DefaultEngineSilence},
		{"one thousand", 1_000, DefaultEngineSilence},
		{"ten thousand", 10_000, 15 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, durations.engineSilenceFor(c.engines)) })
	}
}
