package binenc

import (
	"maps"
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
)

// Type tags, written before each encoded object. They are part of the stored format:
// append new tags and never renumber.
const (
	tagIntent byte = iota + 1
	tagEngine
	tagService
	tagClass
	tagTenant
	tagIngress
	tagReplica
	tagProxy
	tagMember
	tagQuarantine
	tagRouteTenant
	tagCapacity
	tagSuspect
)

// AppendObject appends a type tag and the object that is set. It panics if none
// is set, because callers check the object's key before they store or send it.
func AppendObject(b []byte, o api.Object) []byte {
	switch {
	case o.Intent != nil:
		return appendIntent(append(b, tagIntent), o.Intent)
	case o.Engine != nil:
		return appendEngine(append(b, tagEngine), o.Engine)
	case o.Service != nil:
		return appendService(append(b, tagService), o.Service)
	case o.Class != nil:
		return appendClass(append(b, tagClass), o.Class)
	case o.Tenant != nil:
		return appendTenant(append(b, tagTenant), o.Tenant)
	case o.Ingress != nil:
		return appendIngress(append(b, tagIngress), o.Ingress)
	case o.Replica != nil:
		return appendReplica(append(b, tagReplica), o.Replica)
	case o.Proxy != nil:
		return appendProxy(append(b, tagProxy), o.Proxy)
	case o.Member != nil:
		return appendMember(append(b, tagMember), o.Member)
	case o.Quarantine != nil:
		return appendQuarantine(append(b, tagQuarantine), o.Quarantine)
	case o.RouteTenant != nil:
		return AppendRouteTenant(append(b, tagRouteTenant), o.RouteTenant)
	case o.Capacity != nil:
		return appendCapacity(append(b, tagCapacity), o.Capacity)
	case o.Suspect != nil:
		return appendSuspect(append(b, tagSuspect), o.Suspect)
	}
	panic("binenc: object without a kind")
}

// Object reads a type tag and the object that follows it.
func (r *Reader) Object() api.Object {
	switch r.Byte() {
	case tagIntent:
		return api.Object{Intent: r.intent()}
	case tagEngine:
		return api.Object{Engine: r.engine()}
	case tagService:
		return api.Object{Service: r.service()}
	case tagClass:
		return api.Object{Class: r.class()}
	case tagTenant:
		return api.Object{Tenant: r.tenant()}
	case tagIngress:
		return api.Object{Ingress: r.ingress()}
	case tagReplica:
		return api.Object{Replica: r.replica()}
	case tagProxy:
		return api.Object{Proxy: r.proxy()}
	case tagMember:
		return api.Object{Member: r.member()}
	case tagQuarantine:
		return api.Object{Quarantine: r.quarantine()}
	case tagRouteTenant:
		return api.Object{RouteTenant: r.RouteTenant()}
	case tagCapacity:
		return api.Object{Capacity: r.capacity()}
	case tagSuspect:
		return api.Object{Suspect: r.suspect()}
	}
	r.Fail(ErrMalformed)
	return api.Object{}
}

// AppendKey appends the key of an object. The kind is encoded as its position in
// api.Kinds, counted from 1. An unknown kind is encoded as 0, which Key rejects.
func AppendKey(b []byte, key api.Key) []byte {
	b = append(b, byte(slices.Index(api.Kinds, key.Kind)+1))
	return AppendString(b, key.Name)
}

// Key reads the key of an object.
func (r *Reader) Key() api.Key {
	kind := int(r.Byte())
	if kind < 1 || kind > len(api.Kinds) {
		r.Fail(ErrMalformed)
		return api.Key{}
	}
	return api.Key{Kind: api.Kinds[kind-1], Name: r.String()}
}

// AppendFence appends a fence.
func AppendFence(b []byte, f api.Fence) []byte {
	return AppendUint(AppendUint(b, f.Term), f.Index)
}

// Fence reads a fence.
func (r *Reader) Fence() api.Fence { return api.Fence{Term: r.Uint(), Index: r.Uint()} }

// AppendAssignment appends an assignment.
func AppendAssignment(b []byte, a api.Assignment) []byte {
	b = AppendString(b, a.Model)
	b = AppendString(b, a.Version)
	b = AppendStrings(b, a.Adapters)
	return AppendString(b, string(a.Role))
}

// Assignment reads an assignment.
func (r *Reader) Assignment() api.Assignment {
	return api.Assignment{
		Model:    r.String(),
		Version:  r.String(),
		Adapters: r.Strings(),
		Role:     api.EngineRole(r.String()),
	}
}

// AppendOrder appends an order.
func AppendOrder(b []byte, o api.Order) []byte {
	b = AppendFence(b, o.Fence)
	b = AppendString(b, o.Engine)
	b = AppendFixed(b, o.Incarnation)
	b = AppendAssignment(b, o.Assignment)
	return AppendString(b, o.Reason)
}

// Order reads an order.
func (r *Reader) Order() api.Order {
	return api.Order{
		Fence:       r.Fence(),
		Engine:      r.String(),
		Incarnation: r.Fixed(),
		Assignment:  r.Assignment(),
		Reason:      r.String(),
	}
}

func appendMetadata(b []byte, m api.Metadata) []byte {
	b = AppendString(b, m.Name)
	b = appendLabels(b, m.Labels)
	return AppendUint(b, m.Revision)
}

func (r *Reader) metadata() api.Metadata {
	return api.Metadata{Name: r.String(), Labels: r.labels(), Revision: r.Uint()}
}

func appendLabels(b []byte, labels api.Labels) []byte {
	b = AppendUint(b, uint64(len(labels)))
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		b = AppendString(b, key)
		b = AppendString(b, labels[key])
	}
	return b
}

func (r *Reader) labels() api.Labels {
	n := r.Count(2)
	if n == 0 {
		return nil
	}
	labels := make(api.Labels, n)
	previous := ""
	for i := 0; i < n && r.err == nil; i++ {
		key := r.String()
		if i > 0 && key <= previous {
			r.Fail(ErrMalformed)
		}
		labels[key] = r.String()
		previous = key
	}
	return labels
}

func appendSelector(b []byte, s api.Selector) []byte {
	b = AppendBool(b, s.All)
	b = appendLabels(b, s.MatchLabels)
	b = AppendUint(b, uint64(len(s.MatchExpressions)))
	for _, requirement := range s.MatchExpressions {
		b = AppendString(b, requirement.Key)
		b = AppendString(b, string(requirement.Operator))
		b = AppendStrings(b, requirement.Values)
	}
	return b
}

func (r *Reader) selector() api.Selector {
	s := api.Selector{All: r.Bool(), MatchLabels: r.labels()}
	n := r.Count(3)
	for i := 0; i < n && r.err == nil; i++ {
		s.MatchExpressions = append(s.MatchExpressions, api.Requirement{
			Key:      r.String(),
			Operator: api.Operator(r.String()),
			Values:   r.Strings(),
		})
	}
	return s
}

func appendIntent(b []byte, o *api.Intent) []byte {
	b = appendMetadata(b, o.Metadata)
	b = appendSelector(b, o.Spec.Engines)
	b = appendSelector(b, o.Spec.Classes)
	b = AppendString(b, o.Spec.Model)
	b = AppendString(b, o.Spec.Version)
	b = AppendStrings(b, o.Spec.Adapters)
	b = AppendUint(b, uint64(len(o.Spec.Roles)))
	for _, role := range o.Spec.Roles {
		b = AppendString(b, string(role))
	}
	b = AppendInt(b, int64(o.Spec.MaxUnavailable))
	b = AppendFloat(b, o.Spec.ChangeCost)
	b = AppendInt(b, int64(o.Status.Engines))
	b = AppendInt(b, int64(o.Status.Assigned))
	b = AppendInt(b, int64(o.Status.Changing))
	return AppendInt(b, int64(o.Status.Unassigned))
}

func (r *Reader) intent() *api.Intent {
	o := &api.Intent{Metadata: r.metadata()}
	o.Spec.Engines = r.selector()
	o.Spec.Classes = r.selector()
	o.Spec.Model = r.String()
	o.Spec.Version = r.String()
	o.Spec.Adapters = r.Strings()
	n := r.Count(1)
	for i := 0; i < n && r.err == nil; i++ {
		o.Spec.Roles = append(o.Spec.Roles, api.EngineRole(r.String()))
	}
	o.Spec.MaxUnavailable = int(r.Int())
	o.Spec.ChangeCost = r.Float()
	o.Status.Engines = int(r.Int())
	o.Status.Assigned = int(r.Int())
	o.Status.Changing = int(r.Int())
	o.Status.Unassigned = int(r.Int())
	return o
}

func appendEngine(b []byte, o *api.Engine) []byte {
	b = appendMetadata(b, o.Metadata)
	b = AppendString(b, o.Spec.Address)
	b = AppendString(b, o.Spec.Zone)
	b = AppendString(b, o.Spec.Service)
	b = AppendBool(b, o.Spec.Drain)
	b = AppendString(b, string(o.Status.Phase))
	b = AppendString(b, string(o.Status.MachinePhase))
	b = AppendFixed(b, o.Status.Incarnation)
	b = AppendAssignment(b, o.Status.Assignment)
	b = AppendFence(b, o.Status.Fence)
	b = AppendBool(b, o.Status.OpenOrder != nil)
	if o.Status.OpenOrder != nil {
		b = AppendOrder(b, *o.Status.OpenOrder)
	}
	return AppendUint(b, o.Status.UnmatchedSince)
}

func (r *Reader) engine() *api.Engine {
	o := &api.Engine{Metadata: r.metadata()}
	o.Spec.Address = r.String()
	o.Spec.Zone = r.String()
	o.Spec.Service = r.String()
	o.Spec.Drain = r.Bool()
	o.Status.Phase = api.EnginePhase(r.String())
	o.Status.MachinePhase = api.EnginePhase(r.String())
	o.Status.Incarnation = r.Fixed()
	o.Status.Assignment = r.Assignment()
	o.Status.Fence = r.Fence()
	if r.Bool() {
		order := r.Order()
		o.Status.OpenOrder = &order
	}
	o.Status.UnmatchedSince = r.Uint()
	return o
}

func appendService(b []byte, o *api.Service) []byte {
	b = appendMetadata(b, o.Metadata)
	b = AppendString(b, string(o.Spec.Type))
	b = AppendUint(b, uint64(len(o.Spec.Backends)))
	for _, backend := range o.Spec.Backends {
		b = AppendString(b, backend.Name)
		b = AppendString(b, backend.Address)
		b = AppendString(b, backend.Zone)
	}
	b = AppendInt(b, int64(o.Spec.MaxInFlight))
	b = AppendStrings(b, o.Status.Leaving)
	return AppendStrings(b, o.Status.Gone)
}

func (r *Reader) service() *api.Service {
	o := &api.Service{Metadata: r.metadata()}
	o.Spec.Type = api.ServiceType(r.String())
	n := r.Count(3)
	for i := 0; i < n && r.err == nil; i++ {
		o.Spec.Backends = append(o.Spec.Backends, api.Backend{
			Name:    r.String(),
			Address: r.String(),
			Zone:    r.String(),
		})
	}
	o.Spec.MaxInFlight = int(r.Int())
	o.Status.Leaving = r.Strings()
	o.Status.Gone = r.Strings()
	return o
}

func appendClass(b []byte, o *api.Class) []byte {
	b = appendMetadata(b, o.Metadata)
	b = AppendString(b, o.Spec.Service)
	b = AppendInt(b, int64(o.Spec.Priority))
	b = AppendInt(b, o.Spec.DeadlineMilliseconds)
	b = AppendBool(b, o.Spec.RepeatNever)
	b = AppendInt(b, int64(o.Spec.QueueLimit))
	return AppendInt(b, int64(o.Spec.MaxInFlight))
}

func (r *Reader) class() *api.Class {
	o := &api.Class{Metadata: r.metadata()}
	o.Spec.Service = r.String()
	o.Spec.Priority = int(r.Int())
	o.Spec.DeadlineMilliseconds = r.Int()
	o.Spec.RepeatNever = r.Bool()
	o.Spec.QueueLimit = int(r.Int())
	o.Spec.MaxInFlight = int(r.Int())
	return o
}

func appendTenant(b []byte, o *api.Tenant) []byte {
	b = appendMetadata(b, o.Metadata)
	b = AppendFloat(b, o.Spec.Weight)
	b = AppendFloat(b, o.Spec.TokensPerSecond)
	return AppendFloat(b, o.Spec.Burst)
}

func (r *Reader) tenant() *api.Tenant {
	o := &api.Tenant{Metadata: r.metadata()}
	o.Spec.Weight = r.Float()
	o.Spec.TokensPerSecond = r.Float()
	o.Spec.Burst = r.Float()
	return o
}
