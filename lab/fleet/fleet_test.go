package fleet

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestFleetServesWholeDeployment runs the deployment as real processes for a
// short while. It looks at what must hold, and at no time.
func TestFleetServesWholeDeployment(t *testing.T) {
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs, "../../cmd/landingtrail", "../../cmd/landingtrail-lab")
	output, err := build.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	summary, err := Run(context.Background(), Config{
		Deployment:  "radarvlak",
		Folder:      "../../deployments",
		Product:     filepath.Join(programs, "landingtrail"),
		Lab:         filepath.Join(programs, "landingtrail-lab"),
		Duration:    4 * time.Second,
		Seed:        1,
		Rate:        0.5,
		Speed:       2,
		WeightBytes: 1 << 20,
		WeightRate:  8 << 20,
	})
	must.NoError(t, err)
	must.SliceEmpty(t, summary.Violations)
	must.Positive(t, summary.CompletedInDeadline)
	must.Positive(t, summary.Changes)
	must.Positive(t, summary.InForce.Count)
}
