package fleet

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
)

func TestEnvironmentHoldsTheAddressesOfOperatorsAndCallers(t *testing.T) {
	planned := &layout{
		folder:   t.TempDir(),
		platform: "127.0.0.1:1",
		members:  []memberPlace{{operator: "127.0.0.1:2"}, {operator: "127.0.0.1:3"}},
		proxies:  []proxyPlace{{address: "127.0.0.1:4", admin: "127.0.0.1:5"}, {address: "127.0.0.1:6"}},
	}
	must.NoError(t, (&Fleet{layout: planned}).announce())
	text, err := os.ReadFile(filepath.Join(planned.folder, environmentFile))
	must.NoError(t, err)
	must.Eq(t, `export LANDINGTRAIL_ENDPOINTS=127.0.0.1:2,127.0.0.1:3
export FLEET_PLATFORM=http://127.0.0.1:1
export FLEET_PROXY=http://127.0.0.1:4
export FLEET_PROXY_ADMIN=http://127.0.0.1:5
`, string(text))
}

func TestProbesAskForTheFirstIntentsModel(t *testing.T) {
	planned := &layout{objects: []api.Object{
		{Tenant: &api.Tenant{}},
		{Intent: &api.Intent{Spec: api.IntentSpec{Model: "m-1"}}},
		{Intent: &api.Intent{Spec: api.IntentSpec{Model: "m-2"}}},
	}}
	must.Eq(t, "m-1", planned.firstModel())
}

// cancelOn ends a context when a text was written to it.
type cancelOn struct {
	text    string
	cancel  context.CancelFunc
	written bytes.Buffer
}

// Write implements io.Writer for the run's one goroutine.
func (c *cancelOn) Write(part []byte) (int, error) {
	if strings.Contains(string(part), c.text) {
		c.cancel()
	}
	return c.written.Write(part)
}

// TestIdleFleetServesUntilItsContextEnds: without a duration, the fleet says
// that it serves only once its proxy has answered a model request, and then
// stops as planned.
func TestIdleFleetServesUntilItsContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	progress := &cancelOn{text: "serving until", cancel: cancel}
	config := testConfig()
	config.Folder, config.Deployment = "testdata", "small"
	config.Data = filepath.Join(t.TempDir(), "data")
	config.Progress = progress
	summary, err := Run(ctx, config)
	must.NoError(t, err, must.Sprint(progress.written.String()))
	must.SliceEmpty(t, summary.Violations)
	must.StrContains(t, progress.written.String(), "serving until")
	environment, err := os.ReadFile(filepath.Join(config.Data, environmentFile))
	must.NoError(t, err)
	must.StrContains(t, string(environment), "export FLEET_PROXY=http://127.0.0.1:")
}
