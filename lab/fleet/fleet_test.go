package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestFleetServesWholeDeployment runs the deployment as real processes for a
// short while. It looks at what must hold, and at no time.
func TestFleetServesWholeDeployment(t *testing.T) {
	takeSlot(t)
	config := testConfig()
	config.Duration = 4 * time.Second
	config.Speed = 2
	config.WeightBytes = 1 << 20
	config.WeightRate = 8 << 20
	summary, err := Run(context.Background(), config)
	must.NoError(t, err)
	must.SliceEmpty(t, summary.Violations, must.Sprint(summary.Violations))
	must.Positive(t, summary.CompletedInDeadline)
	must.Positive(t, summary.Changes)
	must.Positive(t, summary.InForce.Count)
}
