// Package lint finds entries of a valid configuration that can have no effect or that contradict
// each other. It reports only what is certain from the configuration alone.
package lint

import (
	"fmt"
	"net"

	"github.com/landingtrail/landingtrail/version/api"
)

// Shortest time after which a silent replica is given up for another attempt. Both values equal
// those of the answer timeout in process/ingress.
const (
	answerTimeoutObjectives = 2
	minAnswerMilliseconds   = 300
)

type linter struct{ findings []api.FieldFault }

func (l *linter) add(field, format string, args ...any) {
	l.findings = append(l.findings, api.FieldFault{Field: field, Message: fmt.Sprintf(format, args...)})
}

// Ingress returns the findings of an Ingress that api.ValidateIngress accepts.
func Ingress(spec *api.IngressSpec) []api.FieldFault {
	var l linter
	keyCount := 0
	for i := range spec.Tenants {
		keyCount += len(spec.Tenants[i].Keys)
	}
	anyPublic := false
	for i := range spec.Routes {
		route, field := &spec.Routes[i], fmt.Sprintf("routes[%d]", i)
		anyPublic = anyPublic || route.Public
		if spec.KeysRequired && keyCount == 0 && !route.Public {
			l.add(field, "accepts no request: keysRequired is set, the route is not public and no tenant has a key")
		}
		l.route(field, route)
	}
	for i := range spec.Services {
		scaling := spec.Services[i].Scaling
		if scaling != nil && scaling.Max > 0 && scaling.Min > scaling.Max {
			l.add(fmt.Sprintf("services[%d].scaling.min", i), "%d is above the maximum of %d", scaling.Min, scaling.Max)
		}
	}
	for i := range spec.Tenants {
		tenant, field := &spec.Tenants[i], fmt.Sprintf("tenants[%d]", i)
		if !spec.KeysRequired {
			l.add(field, "no request can be of this tenant: keysRequired is not set, so that keys are not read")
		}
		if spec.KeysRequired && !anyPublic && len(tenant.Keys) == 0 {
			l.add(field+".keys", "no request can be of this tenant: it has no key and no route is public")
		}
		l.quota(field+".quota", tenant.Quota)
	}
	return l.findings
}

func (l *linter) route(field string, route *api.Route) {
	if name, _, err := net.SplitHostPort(route.Host); err == nil {
		l.add(field+".host", "%q matches no request: the port of a request's host is removed before it is compared; use %q", route.Host, name)
	}
	timeout := route.TimeoutMilliseconds
	if route.ObjectiveMilliseconds > timeout {
		l.add(field+".objectiveMilliseconds", "%d is above timeoutMilliseconds (%d)", route.ObjectiveMilliseconds, timeout)
	}
	if route.GapMilliseconds > timeout {
		l.add(field+".gapMilliseconds", "%d is above timeoutMilliseconds (%d)", route.GapMilliseconds, timeout)
	}
	silence := max(answerTimeoutObjectives*route.ObjectiveMilliseconds, minAnswerMilliseconds)
	// Streams are left out: their silence has a limit of its own, which is a setting of the proxies.
	if route.Attempts > 1 && route.Kind == api.RouteSafe && timeout <= silence {
		l.add(field+".timeoutMilliseconds", "%d leaves no time for a second attempt: a replica that does not answer is given up after %d ms at the earliest", timeout, silence)
	}
}

func (l *linter) quota(field string, quota api.Quota) {
	if !quota.IsBounded() {
		if quota.Burst > 0 {
			l.add(field+".burst", "has no effect without perSecond")
		}
		return
	}
	cost := quota.Cost(0) // the cost of a request whose tokens are unknown
	if quota.PerSecond < cost && quota.Burst < cost {
		l.add(field, "perSecond (%v) and burst (%v) are both below the cost of one request (%v)", quota.PerSecond, quota.Burst, cost)
	}
}

// Objects returns the findings of the objects of one file, with the fields' paths in it. A file
// may hold a part of the objects, so nothing follows from an object that is missing.
func Objects(objects []api.Object) []api.FieldFault {
	var l linter
	empty := map[string]int{}
	for i, object := range objects {
		if s := object.Service; s != nil && s.Spec.Type == api.ServiceBackend && len(s.Spec.Backends) == 0 {
			empty[s.Name] = i
		}
	}
	for i, object := range objects {
		if object.Class == nil {
			continue
		}
		if service, found := empty[object.Class.Spec.Service]; found {
			l.add(fmt.Sprintf("objects[%d].class.spec.service", i), "no request of the class can be served: objects[%d].service has no backends", service)
		}
	}
	return l.findings
}
