package api

import (
	"fmt"
	"strings"
)

// RouteKinds lists the kinds of routes.
var RouteKinds = []RouteKind{RouteSafe, RouteUnsafe, RouteStreaming}

// ValidateIngress returns all validation errors of an Ingress, in the order of its
// fields; the Ingress is valid if there are none.
func ValidateIngress(spec *IngressSpec) []FieldFault {
	var c checker
	if spec.Generation == 0 {
		c.add("generation", "must be above 0")
	}
	services := c.routeServices(spec.Services)
	places := map[string]int{}
	for i := range spec.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		route := &spec.Routes[i]
		c.route(field, route, services)
		place := strings.ToLower(route.Host) + route.PathPrefix
		if earlier, taken := places[place]; taken {
			c.add(field, "has the host and prefix of routes[%d]", earlier)
			continue
		}
		places[place] = i
	}
	c.tenants(spec.Tenants)
	return c.faults
}

// Limits of tenant names and API keys, both of which are sent in request headers.
const (
	maxTenantNameBytes = 256
	maxKeyBytes        = 1024
)

// tenants validates the submitted tenants of an Ingress. No error message contains a key.
func (c *checker) tenants(tenants []TenantKeys) {
	named := map[string]int{}
	owners := map[string]int{}
	for i := range tenants {
		tenant := &tenants[i]
		field := fmt.Sprintf("tenants[%d]", i)
		c.fieldText(field+".name", tenant.Name, maxTenantNameBytes)
		if earlier, taken := named[tenant.Name]; taken {
			c.add(field+".name", "%q is the name of tenants[%d]", tenant.Name, earlier)
		}
		named[tenant.Name] = i
		for _, fault := range tenant.Quota.faults() {
			c.add(field+".quota."+fault.Field, "%s", fault.Message)
		}
		for k, key := range tenant.Keys {
			entry := fmt.Sprintf("%s.keys[%d]", field, k)
			c.keyText(entry, key)
			if owner, taken := owners[key]; taken && owner != i {
				c.add(entry, "is a key of tenants[%d]", owner)
			}
			owners[key] = i
		}
	}
}

// fieldText validates text that is sent as the value of a request header.
func (c *checker) fieldText(field, text string, limit int) {
	switch {
	case text == "":
		c.add(field, "must not be empty")
	case len(text) > limit:
		c.add(field, "must not be longer than %d bytes", limit)
	case strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r > '~' }), strings.TrimSpace(text) != text:
		c.add(field, "must consist of printable ASCII without spaces at its ends")
	}
}

func (c *checker) keyText(field, key string) {
	switch {
	case key == "":
		c.add(field, "must not be empty")
	case len(key) > maxKeyBytes:
		c.add(field, "must not be longer than %d bytes", maxKeyBytes)
	}
}

func (c *checker) routeServices(services []RouteService) map[string]bool {
	known := map[string]bool{}
	for i, service := range services {
		field := fmt.Sprintf("services[%d].name", i)
		switch {
		case service.Name == "":
			c.add(field, "must not be empty")
		case known[service.Name]:
			c.add(field, "names %s twice", service.Name)
		}
		known[service.Name] = true
	}
	return known
}

func (c *checker) route(field string, route *Route, services map[string]bool) {
	if route.Host == "" {
		c.add(field+".host", "must not be empty")
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		c.add(field+".pathPrefix", "%q must begin and end with a slash", route.PathPrefix)
	}
	if !isRouteKind(route.Kind) {
		c.add(field+".kind", "%q must be one of %v", route.Kind, RouteKinds)
	}
	if route.TimeoutMilliseconds <= 0 {
		c.add(field+".timeoutMilliseconds", "must be above 0")
	}
	c.routeBackends(field+".backends", route.Backends, services)
}

func isRouteKind(kind RouteKind) bool {
	for _, known := range RouteKinds {
		if kind == known {
			return true
		}
	}
	return false
}

func (c *checker) routeBackends(field string, backends []RouteBackend, services map[string]bool) {
	total := 0
	for i, backend := range backends {
		entry := fmt.Sprintf("%s[%d]", field, i)
		if !services[backend.Service] {
			c.add(entry+".service", "%q is not among the services", backend.Service)
		}
		if backend.Weight < 0 {
			c.add(entry+".weight", "must not be negative")
		}
		total += max(backend.Weight, 0)
	}
	if total == 0 {
		c.add(field, "the weights must not sum to 0")
	}
}
