package fleet

import (
	"os"
	"path/filepath"
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
