package api

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func validIngress() IngressSpec {
	return IngressSpec{
		Generation: 7,
		Services:   []RouteService{{Name: "narrator"}, {Name: "tiles"}},
		Routes: []Route{
			{Name: "a", Host: "a.example", PathPrefix: "/x/", Kind: RouteSafe, TimeoutMilliseconds: 100, Attempts: 2,
				Backends: []RouteBackend{{Service: "tiles", Weight: 1}}},
			{Name: "b", Host: "a.example", PathPrefix: "/x/y/", Kind: RouteStreaming, TimeoutMilliseconds: 100, Attempts: 1,
				Backends: []RouteBackend{{Service: "narrator", Weight: 0}, {Service: "tiles", Weight: 3}}},
		},
	}
}

func TestValidateIngress(t *testing.T) {
	cases := []struct {
		name   string
		change func(*IngressSpec)
		fields []string
	}{
		{"valid", func(*IngressSpec) {}, nil},
		{"no routes", func(s *IngressSpec) { s.Routes = nil }, nil},
		{"no generation", func(s *IngressSpec) { s.Generation = 0 }, []string{"generation"}},
		{"unknown service", func(s *IngressSpec) { s.Routes[0].Backends[0].Service = "nobody" }, []string{"routes[0].backends[0].service"}},
		{"duplicate host and prefix", func(s *IngressSpec) { s.Routes[1].Host, s.Routes[1].PathPrefix = "A.example", "/x/" }, []string{"routes[1]"}},
		{"no weight", func(s *IngressSpec) { s.Routes[0].Backends[0].Weight = 0 }, []string{"routes[0].backends"}},
		{"negative weight", func(s *IngressSpec) { s.Routes[1].Backends[0].Weight = -1 }, []string{"routes[1].backends[0].weight"}},
		{"no backends", func(s *IngressSpec) { s.Routes[0].Backends = nil }, []string{"routes[0].backends"}},
		{"no timeout", func(s *IngressSpec) { s.Routes[0].TimeoutMilliseconds = 0 }, []string{"routes[0].timeoutMilliseconds"}},
		{"no host", func(s *IngressSpec) { s.Routes[0].Host = "" }, []string{"routes[0].host"}},
		{"prefix without a slash", func(s *IngressSpec) { s.Routes[0].PathPrefix = "/x" }, []string{"routes[0].pathPrefix"}},
		{"unknown kind", func(s *IngressSpec) { s.Routes[0].Kind = "often" }, []string{"routes[0].kind"}},
		{"service twice", func(s *IngressSpec) { s.Services[1].Name = "narrator"; s.Routes = nil }, []string{"services[1].name"}},
		{"service without a name", func(s *IngressSpec) { s.Services = append(s.Services, RouteService{}) }, []string{"services[2].name"}},
		{"all errors are returned", func(s *IngressSpec) {
			s.Generation = 0
			s.Routes[0].TimeoutMilliseconds = -1
			s.Routes[1].Kind = ""
		}, []string{"generation", "routes[0].timeoutMilliseconds", "routes[1].kind"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			spec := validIngress()
			test.change(&spec)
			var fields []string
			for _, fault := range ValidateIngress(&spec) {
				fields = append(fields, fault.Field)
			}
			must.Eq(t, test.fields, fields)
		})
	}
}

func TestIdempotentRoutes(t *testing.T) {
	must.True(t, (&Route{Kind: RouteSafe}).Idempotent())
	must.False(t, (&Route{Kind: RouteUnsafe, Resumable: true}).Idempotent())
	must.False(t, (&Route{Kind: RouteStreaming}).Idempotent())
	must.True(t, (&Route{Kind: RouteStreaming, Resumable: true}).Idempotent())
}

// Validation errors of tenants must name the invalid field and must not reveal a key.
func TestValidateIngressTenants(t *testing.T) {
	key := "secret-key"
	cases := []struct {
		tenants []TenantKeys
		field   string
	}{
		{[]TenantKeys{{Name: "a", Keys: []string{key}}, {Name: "b", Keys: []string{"x", key}}}, "tenants[1].keys[1]"},
		{[]TenantKeys{{Name: "a"}, {Name: "a"}}, "tenants[1].name"},
		{[]TenantKeys{{Name: ""}}, "tenants[0].name"},
		{[]TenantKeys{{Name: "a\r\nPriority: 0"}}, "tenants[0].name"},
		{[]TenantKeys{{Name: " a"}}, "tenants[0].name"},
		{[]TenantKeys{{Name: "a", Keys: []string{""}}}, "tenants[0].keys[0]"},
		{[]TenantKeys{{Name: "a", Keys: []string{strings.Repeat("k", 1025)}}}, "tenants[0].keys[0]"},
	}
	for _, each := range cases {
		spec := IngressSpec{Generation: 1, Tenants: each.tenants}
		faults := ValidateIngress(&spec)
		must.SliceLen(t, 1, faults)
		must.Eq(t, each.field, faults[0].Field)
		must.StrNotContains(t, faults[0].Message, key)
	}
	spec := IngressSpec{Generation: 1, Tenants: []TenantKeys{{Name: "a", Keys: []string{key, key}}, {Name: "b"}}}
	must.SliceEmpty(t, ValidateIngress(&spec), must.Sprint("a key may be repeated within one tenant"))
}
