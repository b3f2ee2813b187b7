package ingress

import (
	"math/rand/v2"
	"net"
	"sort"
	"strings"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/apikey"
)

// routeTable finds the route of a request. It is immutable.
type routeTable struct {
	generation uint64
	limits     api.IngressLimits
	// byHost holds the routes of each host, the longest prefix first.
	byHost   map[string][]*api.Route
	services map[string]*api.RouteService
	// keysRequired, if set, means that keys maps API keys to tenants.
	keysRequired bool
	keySecret    []byte
	keys         *apikey.Table
}

// newRouteTable builds the table from the Ingress object, which is nil if none has been received
// yet. The caller sets keys.
func newRouteTable(object *api.Ingress) *routeTable {
	table := &routeTable{byHost: map[string][]*api.Route{}, services: map[string]*api.RouteService{}, keys: apikey.NewTable()}
	if object == nil {
		return table
	}
	table.generation = object.Spec.Generation
	table.limits = object.Spec.Limits
	table.keysRequired, table.keySecret = object.Spec.KeysRequired, object.Spec.KeySecret
	for i := range object.Spec.Services {
		service := &object.Spec.Services[i]
		table.services[service.Name] = service
	}
	for i := range object.Spec.Routes {
		route := &object.Spec.Routes[i]
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, routes := range table.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return table
}

// find returns the route with the longest matching path prefix, or nil.
func (t *routeTable) find(host, path string) *api.Route {
	for _, route := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// hostName returns a Host field in lower case without the port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// maxBodyBytes returns the size limit of a request's body.
func (t *routeTable) maxBodyBytes() int64 {
	if t.limits.MaxBodyBytes > 0 {
		return t.limits.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

// chooseService picks one of the route's services at random by weight. It returns an empty name,
// for which there are no replicas, if the total weight is 0.
func chooseService(route *api.Route, random *rand.Rand) string {
	total := 0
	for _, backend := range route.Backends {
		total += backend.Weight
	}
	if total <= 0 {
		return ""
	}
	drawn := random.IntN(total)
	for _, backend := range route.Backends {
		if drawn < backend.Weight {
			return backend.Service
		}
		drawn -= backend.Weight
	}
	return ""
}
