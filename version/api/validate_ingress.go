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
	var c fieldValidator
	if spec.Generation == 0 {
		c.addFault("generation", "must be above 0")
	}
	services := c.validateRouteServices(spec.Services)
	routeIndexes := map[string]int{}
	for i := range spec.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		route := &spec.Routes[i]
		c.validateRoute(field, route, services)
		matchKey := strings.ToLower(route.Host) + route.PathPrefix
		if earlier, taken := routeIndexes[matchKey]; taken {
			c.addFault(field, "has the host and prefix of routes[%d]", earlier)
			continue
		}
		routeIndexes[matchKey] = i
	}
	c.validateTenants(spec.Tenants)
	return c.faults
}

// Limits of tenant names and API keys, both of which are sent in request headers.
const (
	maxTenantNameBytes = 256
	maxKeyBytes        = 1024
)

// validateTenants validates the submitted tenants of an Ingress. No error message contains a key.
func (c *fieldValidator) validateTenants(tenants []TenantKeys) {
	nameIndexes := map[string]int{}
	keyOwners := map[string]int{}
	for i := range tenants {
		tenant := &tenants[i]
		field := fmt.Sprintf("tenants[%d]", i)
		c.validateHeaderText(field+".name", tenant.Name, maxTenantNameBytes)
		if earlier, taken := nameIndexes[tenant.Name]; taken {
			c.addFault(field+".name", "%q is the name of tenants[%d]", tenant.Name, earlier)
		}
		nameIndexes[tenant.Name] = i
		for _, fault := range tenant.Quota.faults() {
			c.addFault(field+".quota."+fault.Field, "%s", fault.Message)
		}
		for k, key := range tenant.Keys {
			entry := fmt.Sprintf("%s.keys[%d]", field, k)
			c.validateKeyText(entry, key)
			if owner, taken := keyOwners[key]; taken && owner != i {
				c.addFault(entry, "is a key of tenants[%d]", owner)
			}
			keyOwners[key] = i
		}
	}
}

// validateHeaderText validates text that is sent as the value of a request header.
func (c *fieldValidator) validateHeaderText(field, text string, limit int) {
	switch {
	case text == "":
		c.addFault(field, "must not be empty")
	case len(text) > limit:
		c.addFault(field, "must not be longer than %d bytes", limit)
	case strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r > '~' }), strings.TrimSpace(text) != text:
		c.addFault(field, "must consist of printable ASCII without spaces at its ends")
	}
}

func (c *fieldValidator) validateKeyText(field, key string) {
	switch {
	case key == "":
		c.addFault(field, "must not be empty")
	case len(key) > maxKeyBytes:
		c.addFault(field, "must not be longer than %d bytes", maxKeyBytes)
	}
}

// validateRouteServices validates the services of an Ingress and returns their names.
func (c *fieldValidator) validateRouteServices(services []RouteService) map[string]bool {
	known := map[string]bool{}
	for i, service := range services {
		field := fmt.Sprintf("services[%d].name", i)
		switch {
		case service.Name == "":
			c.addFault(field, "must not be empty")
		case known[service.Name]:
			c.addFault(field, "names %s twice", service.Name)
		}
		known[service.Name] = true
	}
	return known
}

func (c *fieldValidator) validateRoute(field string, route *Route, services map[string]bool) {
	if route.Host == "" {
		c.addFault(field+".host", "must not be empty")
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		c.addFault(field+".pathPrefix", "%q must begin and end with a slash", route.PathPrefix)
	}
	if !isRouteKind(route.Kind) {
		c.addFault(field+".kind", "%q must be one of %v", route.Kind, RouteKinds)
	}
	if route.TimeoutMilliseconds <= 0 {
		c.addFault(field+".timeoutMilliseconds", "must be above 0")
	}
	c.validateRouteBackends(field+".backends", route.Backends, services)
}

func isRouteKind(kind RouteKind) bool {
	for _, known := range RouteKinds {
		if kind == known {
			return true
		}
	}
	return false
}

func (c *fieldValidator) validateRouteBackends(field string, backends []RouteBackend, services map[string]bool) {
	total := 0
	for i, backend := range backends {
		entry := fmt.Sprintf("%s[%d]", field, i)
		if !services[backend.Service] {
			c.addFault(entry+".service", "%q is not among the services", backend.Service)
		}
		if backend.Weight < 0 {
			c.addFault(entry+".weight", "must not be negative")
		}
		total += max(backend.Weight, 0)
	}
	if total == 0 {
		c.addFault(field, "the weights must not sum to 0")
	}
}
