package router

import (
	"slices"
	"strings"

	"github.com/landingtrail/landingtrail/version/api"
)

// keep returns the endpoints that match. It overwrites the given slice.
func keep(endpoints []*Endpoint, matches func(*Endpoint) bool) []*Endpoint {
	kept := endpoints[:0]
	for _, endpoint := range endpoints {
		if matches(endpoint) {
			kept = append(kept, endpoint)
		}
	}
	return kept
}

// ModelFilter keeps the engines that have the request's model and adapter loaded.
type ModelFilter struct{}

// Name implements Filter.
func (ModelFilter) Name() string { return "model" }

// Reason implements Filter.
func (ModelFilter) Reason() Reason { return ReasonUnknownModel }

// Filter implements Filter.
func (ModelFilter) Filter(request *Request, endpoints []*Endpoint) []*Endpoint {
	return keep(endpoints, func(endpoint *Endpoint) bool {
		if endpoint.Model != baseModel(request.Model) {
			return false
		}
		return request.Adapter == "" || slices.Contains(endpoint.Adapters, request.Adapter)
	})
}

// baseModel returns the model name as engines report it, without an adapter.
func baseModel(name string) string {
	base, _, _ := strings.Cut(name, ":")
	return base
}

// ClassFilter keeps the engines whose intent serves the request's class.
type ClassFilter struct{}

// Name implements Filter.
func (ClassFilter) Name() string { return "class" }

// Reason implements Filter.
func (ClassFilter) Reason() Reason { return ReasonClassRefused }

// Filter implements Filter.
func (ClassFilter) Filter(request *Request, endpoints []*Endpoint) []*Endpoint {
	return keep(endpoints, func(endpoint *Endpoint) bool {
		return endpoint.Classes == nil || endpoint.Classes(request.Class)
	})
}

// AdmitFilter keeps the engines that admit requests and have a role.
type AdmitFilter struct{}

// Name implements Filter.
func (AdmitFilter) Name() string { return "admit" }

// Reason implements Filter.
func (AdmitFilter) Reason() Reason { return ReasonNoEngine }

// Filter implements Filter.
func (AdmitFilter) Filter(_ *Request, endpoints []*Endpoint) []*Endpoint {
	return keep(endpoints, func(endpoint *Endpoint) bool {
		return endpoint.Admits && endpoint.Role != api.RoleNone
	})
}

// ExcludedFilter drops the engines that refused or failed an earlier attempt.
type ExcludedFilter struct{}

// Name implements Filter.
func (ExcludedFilter) Name() string { return "excluded" }

// Reason implements Filter.
func (ExcludedFilter) Reason() Reason { return ReasonAllExcluded }

// Filter implements Filter.
func (ExcludedFilter) Filter(request *Request, endpoints []*Endpoint) []*Endpoint {
	if len(request.Excluded) == 0 {
		return endpoints
	}
	return keep(endpoints, func(endpoint *Endpoint) bool {
		return !request.Excluded[endpoint.Name]
	})
}

// SuspectFilter drops suspect engines if any other engine is left.
type SuspectFilter struct{}

// Name implements Filter.
func (SuspectFilter) Name() string { return "suspect" }

// Reason implements Filter.
func (SuspectFilter) Reason() Reason { return ReasonNoEngine }

// Filter implements Filter.
func (SuspectFilter) Filter(_ *Request, endpoints []*Endpoint) []*Endpoint {
	healthy := func(endpoint *Endpoint) bool { return !endpoint.Suspect }
	if !slices.ContainsFunc(endpoints, healthy) {
		return endpoints
	}
	return keep(endpoints, healthy)
}

// DeadlineFilter drops the engines that could not complete the request in time even without
// any other load. A request without a deadline passes.
type DeadlineFilter struct {
	Speed Speed
}

// Name implements Filter.
func (DeadlineFilter) Name() string { return "deadline" }

// Reason implements Filter.
func (DeadlineFilter) Reason() Reason { return ReasonDeadline }

// Filter implements Filter.
func (f DeadlineFilter) Filter(request *Request, endpoints []*Endpoint) []*Endpoint {
	if request.Deadline == 0 {
		return endpoints
	}
	limit := request.Deadline.Seconds()
	return keep(endpoints, func(endpoint *Endpoint) bool {
		return f.Speed.minimumSeconds(request, endpoint) <= limit
	})
}
