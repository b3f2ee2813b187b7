package lint

import (
	"testing"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

func cleanSpec() *api.IngressSpec {
	return &api.IngressSpec{
		Generation:   1,
		KeysRequired: true,
		Routes: []api.Route{{Name: "r", Host: "f.example", PathPrefix: "/", Kind: api.RouteSafe, TimeoutMilliseconds: 6000,
			ObjectiveMilliseconds: 600, Attempts: 3, Backends: []api.RouteBackend{{Service: "s", Weight: 1}, {Service: "t"}}}},
		Services: []api.RouteService{{Name: "s", Scaling: &api.ScalingSheet{Min: 1, Max: 2}}, {Name: "t"}},
		Tenants:  []api.TenantKeys{{Name: "a", Keys: []string{"k"}, Quota: api.Quota{PerSecond: 2}}},
	}
}

// Guards against a finding for a configuration that works, which is worse than a missed one.
func TestCleanIngressHasNoFinding(t *testing.T) {
	spec := cleanSpec()
	must.SliceEmpty(t, api.ValidateIngress(spec))
	must.SliceEmpty(t, Ingress(spec))
	for name, change := range map[string]func(*api.IngressSpec){
		"unsafe with a short timeout":  func(s *api.IngressSpec) { s.Routes[0].Kind, s.Routes[0].TimeoutMilliseconds = api.RouteUnsafe, 600 },
		"one attempt, short timeout":   func(s *api.IngressSpec) { s.Routes[0].Attempts, s.Routes[0].TimeoutMilliseconds = 1, 600 },
		"host that is an IPv6 address": func(s *api.IngressSpec) { s.Routes[0].Host = "::1" },
		"tenant of a public route":     func(s *api.IngressSpec) { s.Routes[0].Public, s.Tenants[0].Keys = true, nil },
		"tokens of unknown cost":       func(s *api.IngressSpec) { s.Tenants[0].Quota = api.Quota{Unit: api.QuotaTokens, PerSecond: 0.5} },
		"a request every two seconds":  func(s *api.IngressSpec) { s.Tenants[0].Quota = api.Quota{PerSecond: 0.5, Burst: 1} },
	} {
		spec := cleanSpec()
		change(spec)
		must.SliceEmpty(t, Ingress(spec), must.Sprint(name))
	}
}

// Guards against a finding that is missed, and against one fault that is reported as several.
func TestFindingsOfIngress(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*api.IngressSpec)
		fields []string
	}{
		{"host with a port", func(s *api.IngressSpec) { s.Routes[0].Host = "f.example:80" }, []string{"routes[0].host"}},
		{"no key at all", func(s *api.IngressSpec) { s.Tenants = nil }, []string{"routes[0]"}},
		{"tenant without keys", func(s *api.IngressSpec) { s.Tenants = append(s.Tenants, api.TenantKeys{Name: "b"}) }, []string{"tenants[1].keys"}},
		{"tenant whose keys are not read", func(s *api.IngressSpec) { s.KeysRequired = false }, []string{"tenants[0]"}},
		{"objective above timeout", func(s *api.IngressSpec) { s.Routes[0].Attempts, s.Routes[0].TimeoutMilliseconds = 1, 599 }, []string{"routes[0].objectiveMilliseconds"}},
		{"gap above timeout", func(s *api.IngressSpec) { s.Routes[0].GapMilliseconds = 6001 }, []string{"routes[0].gapMilliseconds"}},
		{"no time for a second attempt", func(s *api.IngressSpec) { s.Routes[0].TimeoutMilliseconds = 1200 }, []string{"routes[0].timeoutMilliseconds"}},
		{"minimum above maximum", func(s *api.IngressSpec) { s.Services[0].Scaling.Min = 3 }, []string{"services[0].scaling.min"}},
		{"burst without a rate", func(s *api.IngressSpec) { s.Tenants[0].Quota = api.Quota{Burst: 5} }, []string{"tenants[0].quota.burst"}},
		{"quota below a request", func(s *api.IngressSpec) { s.Tenants[0].Quota = api.Quota{PerSecond: 0.5, Burst: 0.5} }, []string{"tenants[0].quota"}},
	} {
		spec := cleanSpec()
		test.change(spec)
		must.SliceEmpty(t, api.ValidateIngress(spec), must.Sprint(test.name))
		var fields []string
		for _, finding := range Ingress(spec) {
			fields = append(fields, finding.Field)
		}
		must.Eq(t, test.fields, fields, must.Sprint(test.name))
	}
}

// Guards against a class that is accepted although its service has no backend in the same file.
func TestClassOfServiceWithoutBackendsIsFound(t *testing.T) {
	service := &api.Service{Metadata: api.Metadata{Name: "s"}, Spec: api.ServiceSpec{Type: api.ServiceBackend}}
	class := &api.Class{Spec: api.ClassSpec{Service: "s"}}
	findings := Objects([]api.Object{{Class: class}, {Service: service}})
	must.SliceLen(t, 1, findings)
	must.Eq(t, "objects[0].class.spec.service", findings[0].Field)
	must.SliceEmpty(t, Objects([]api.Object{{Class: class}}))
	service.Spec.Type = api.ServiceModel
	must.SliceEmpty(t, Objects([]api.Object{{Class: class}, {Service: service}}))
}
