package emulator

import (
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/process/settings"
)

// The emulator's priorities and weights are those that the deployments run with.
func TestClassesAndTenantsAreTheDeployments(t *testing.T) {
	for _, deployment := range []string{trace.DeploymentRadarvlak, trace.DeploymentCaroni} {
		objects, err := settings.LoadObjects(filepath.Join("..", "..", "deployments", deployment, "objects.yaml"))
		must.NoError(t, err)
		services := map[string]string{}
		for _, item := range trace.Generate(deployment, 1, testDuration) {
			if item.Model != "" {
				services[item.Service] = item.Model
			}
		}
		checked := 0
		for _, object := range objects {
			if class := object.Class; class != nil && services[class.Spec.Service] != "" {
				must.Eq(t, class.Spec.Priority, classPriorities[class.Name])
				checked++
			}
			if tenant := object.Tenant; tenant != nil && tenantWeights[tenant.Name] != 0 {
				must.Eq(t, tenant.Spec.Weight, tenantWeights[tenant.Name])
				checked++
			}
		}
		must.Greater(t, 5, checked)
	}
}
