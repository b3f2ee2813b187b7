package api

// EngineRole is the inference phase that an engine performs.
type EngineRole string

// Roles of an engine. A prefill engine processes prompts and exports their KV
// cache, a decode engine imports the cache and generates tokens, and a mixed
// engine does both.
const (
	RoleNone    EngineRole = "" // no assignment
	RolePrefill EngineRole = "prefill"
	RoleDecode  EngineRole = "decode"
	RoleMixed   EngineRole = "mixed"
)

// Assignment is the complete configuration that an engine is given: a
// model, its version, its adapters and a role.
type Assignment struct {
	Model    string     `json:"model" yaml:"model"`
	Version  string     `json:"version" yaml:"version"`
	Adapters []string   `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	Role     EngineRole `json:"role" yaml:"role"`
}

// Equal reports whether the assignments are identical, including the order of
// their adapters.
func (a Assignment) Equal(b Assignment) bool {
	if a.Model != b.Model || a.Version != b.Version || a.Role != b.Role || len(a.Adapters) != len(b.Adapters) {
		return false
	}
	for i := range a.Adapters {
		if a.Adapters[i] != b.Adapters[i] {
			return false
		}
	}
	return true
}

// Intent declares which model, version and adapters the selected engines serve,
// in which roles and for which request classes.
type Intent struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     IntentSpec   `json:"spec" yaml:"spec"`
	Status   IntentStatus `json:"status" yaml:"-"`
}

// IntentSpec is the state that an operator wants.
type IntentSpec struct {
	Engines  Selector `json:"engines" yaml:"engines"`
	Classes  Selector `json:"classes" yaml:"classes"`
	Model    string   `json:"model" yaml:"model"`
	Version  string   `json:"version" yaml:"version"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	// Roles lists the roles that the planner may assign to the engines. With a
	// single role the planner has no choice.
	Roles []EngineRole `json:"roles" yaml:"roles"`
	// MaxUnavailable is the disruption budget: the number of engines that
	// planned changes may make unavailable at the same time. 0 means the default, 1.
	MaxUnavailable int `json:"maxUnavailable,omitempty" yaml:"maxUnavailable,omitempty"`
	// ChangeCost is the minimum gain in goodput, in seconds of one engine's
	// work, that justifies a role change. It is added to the seconds for which
	// the change makes the engine unavailable.
	ChangeCost float64 `json:"changeCost,omitempty" yaml:"changeCost,omitempty"`
}

// IntentStatus counts the engines that the intent's selector matches. Changing engines have an
// open order, drain or change; the others are Assigned if their assignment satisfies the
// intent, and else Unassigned.
type IntentStatus struct {
	Engines    int `json:"engines"`
	Assigned   int `json:"assigned"`
	Changing   int `json:"changing"`
	Unassigned int `json:"unassigned"`
}

// Engine is one replica of a language-model inference engine.
type Engine struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     EngineSpec   `json:"spec" yaml:"spec"`
	Status   EngineStatus `json:"status" yaml:"-"`
}

// EngineSpec holds the location of an engine and whether it is to be drained.
type EngineSpec struct {
	// Address is the IP and port of the engine's HTTP server.
	Address string `json:"address" yaml:"address"`
	Zone    string `json:"zone" yaml:"zone"`
	Service string `json:"service" yaml:"service"`
	// Drain stops the engine from accepting new requests; set by "landingtrail drain".
	Drain bool `json:"drain,omitempty" yaml:"drain,omitempty"`
}

// EnginePhase is the lifecycle phase of an engine.
type EnginePhase string

// Phases of an engine.
const (
	PhaseUnknown  EnginePhase = ""         // no report received yet
	PhaseIdle     EnginePhase = "idle"     // no assignment
	PhaseServing  EnginePhase = "serving"  // admits requests
	PhaseDraining EnginePhase = "draining" // finishes running requests, admits no new ones
	PhaseChanging EnginePhase = "changing" // loads a model or changes role
	PhaseLeaving  EnginePhase = "leaving"  // the platform is removing its machine
	PhaseGone     EnginePhase = "gone"     // not on the platform's list
)

// EngineStatus is the status last committed to the Raft log of an engine.
type EngineStatus struct {
	Phase EnginePhase `json:"phase"`
	// MachinePhase is PhaseLeaving or PhaseGone while the platform is
	// removing the engine's machine or does not list it; it then overrides the phase that the engine reports.
	MachinePhase EnginePhase `json:"machinePhase,omitempty"`
	// Incarnation is a random number, generated at each start of the engine's process.
	Incarnation uint64     `json:"incarnation,string"`
	Assignment  Assignment `json:"assignment"`
	// Fence is the highest fence that the engine has acknowledged.
	Fence Fence `json:"fence"`
	// OpenOrder is the committed order that is still open, if any. It is closed when a report
	// shows that the engine followed it or that it can no longer take effect.
	OpenOrder *Order `json:"openOrder,omitempty"`
	// UnmatchedSince is the revision since which no intent has selected the engine; 0 if one does.
	UnmatchedSince uint64 `json:"unmatchedSince,omitempty"`
}

// Fence is a fencing token that puts orders in sequence. It is assigned from the
// Raft log position (term and index) when an order is committed, not from a clock.
// An engine rejects an order whose fence is not greater than the highest it has
// accepted.
type Fence struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Less reports whether f precedes g.
func (f Fence) Less(g Fence) bool {
	if f.Term != g.Term {
		return f.Term < g.Term
	}
	return f.Index < g.Index
}

// IsZero reports whether no fence has been assigned.
func (f Fence) IsZero() bool { return f == Fence{} }

// Order is a command that gives an assignment to one incarnation of an engine.
type Order struct {
	Fence       Fence      `json:"fence"`
	Engine      string     `json:"engine"`
	Incarnation uint64     `json:"incarnation,string"`
	Assignment  Assignment `json:"assignment"`
	// Reason explains why the planner requested the change.
	Reason string `json:"reason,omitempty"`
}

// ServiceType separates model services from plain ones (ServiceBackend). Requests to
// plain services must not queue behind model requests.
type ServiceType string

// Types of services.
const (
	ServiceModel   ServiceType = "model"
	ServiceBackend ServiceType = "backend"
)

// Service is a named group of backends: engines or plain HTTP servers.
type Service struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     ServiceSpec   `json:"spec" yaml:"spec"`
	Status   ServiceStatus `json:"status" yaml:"-"`
}

// ServiceSpec lists the backends of a plain service. The engines of a model
// service are Engine objects that refer to the service by name.
type ServiceSpec struct {
	Type     ServiceType `json:"type" yaml:"type"`
	Backends []Backend   `json:"backends,omitempty" yaml:"backends,omitempty"`
	// MaxInFlight limits the concurrent requests of one proxy to this service; 0 means the default.
	MaxInFlight int `json:"maxInFlight,omitempty" yaml:"maxInFlight,omitempty"`
}

// Backend is one replica of a plain HTTP service.
type Backend struct {
	Name    string `json:"name" yaml:"name"`
	Address string `json:"address" yaml:"address"`
	Zone    string `json:"zone" yaml:"zone"`
}

// ServiceStatus lists the names of the backends that are being removed or are gone.
type ServiceStatus struct {
	Leaving []string `json:"leaving,omitempty"`
	Gone    []string `json:"gone,omitempty"`
}

// Class is a class of requests to one service.
type Class struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     ClassSpec `json:"spec" yaml:"spec"`
}

// ClassSpec defines how the requests of a class are scheduled.
type ClassSpec struct {
	Service string `json:"service" yaml:"service"`
	// Priority orders classes in queues and engines; higher values go first.
	// Route.Priority has the opposite order.
	Priority int `json:"priority" yaml:"priority"`
	// DeadlineMilliseconds is the deadline of requests that specify none.
	DeadlineMilliseconds int64 `json:"deadlineMilliseconds" yaml:"deadlineMilliseconds"`
	// RepeatNever gives every request of the class at-most-once execution.
	RepeatNever bool `json:"repeatNever,omitempty" yaml:"repeatNever,omitempty"`
	// QueueLimit limits the queued requests of the class in one proxy; 0 means the default.
	QueueLimit int `json:"queueLimit,omitempty" yaml:"queueLimit,omitempty"`
	// MaxInFlight limits the running requests of the class in one proxy; 0 means no limit for the class.
	MaxInFlight int `json:"maxInFlight,omitempty" yaml:"maxInFlight,omitempty"`
}

// Tenant is a customer that pays for capacity. API tenants, which own API keys, are
// RouteTenants.
type Tenant struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     TenantSpec `json:"spec" yaml:"spec"`
}

// TenantSpec holds the rate limit and the scheduling weight of a tenant.
type TenantSpec struct {
	// Weight is the tenant's relative weight in fair sharing under overload; 0 means 1.
	Weight float64 `json:"weight,omitempty" yaml:"weight,omitempty"`
	// TokensPerSecond and Burst limit prompt and output tokens through one proxy; 0 means no limit.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty" yaml:"tokensPerSecond,omitempty"`
	Burst           float64 `json:"burst,omitempty" yaml:"burst,omitempty"`
}

// Object holds an object of any kind; exactly one field is set. Transactions,
// views and files represent objects in this form.
type Object struct {
	Intent  *Intent  `json:"intent,omitempty" yaml:"intent,omitempty"`
	Engine  *Engine  `json:"engine,omitempty" yaml:"engine,omitempty"`
	Service *Service `json:"service,omitempty" yaml:"service,omitempty"`
	Class   *Class   `json:"class,omitempty" yaml:"class,omitempty"`
	Tenant  *Tenant  `json:"tenant,omitempty" yaml:"tenant,omitempty"`
	Ingress *Ingress `json:"ingress,omitempty" yaml:"ingress,omitempty"`
	Replica *Replica `json:"replica,omitempty" yaml:"replica,omitempty"`
	Proxy   *Proxy   `json:"proxy,omitempty" yaml:"proxy,omitempty"`
	Member  *Member  `json:"member,omitempty" yaml:"member,omitempty"`

	Quarantine  *Quarantine  `json:"quarantine,omitempty" yaml:"quarantine,omitempty"`
	RouteTenant *RouteTenant `json:"routeTenant,omitempty" yaml:"routeTenant,omitempty"`
	Capacity    *Capacity    `json:"capacity,omitempty" yaml:"capacity,omitempty"`
	Suspect     *Suspect     `json:"suspect,omitempty" yaml:"suspect,omitempty"`
}

// Key returns the key of the object that is set, and false if not exactly one is.
func (o Object) Key() (Key, bool) {
	var keys []Key
	if o.Intent != nil {
		keys = append(keys, Key{KindIntent, o.Intent.Name})
	}
	if o.Engine != nil {
		keys = append(keys, Key{KindEngine, o.Engine.Name})
	}
	if o.Service != nil {
		keys = append(keys, Key{KindService, o.Service.Name})
	}
	if o.Class != nil {
		keys = append(keys, Key{KindClass, o.Class.Name})
	}
	if o.Tenant != nil {
		keys = append(keys, Key{KindTenant, o.Tenant.Name})
	}
	if o.Ingress != nil {
		keys = append(keys, Key{KindIngress, o.Ingress.Name})
	}
	if o.Replica != nil {
		keys = append(keys, Key{KindReplica, o.Replica.Name})
	}
	if o.Proxy != nil {
		keys = append(keys, Key{KindProxy, o.Proxy.Name})
	}
	if o.Member != nil {
		keys = append(keys, Key{KindMember, o.Member.Name})
	}
	if o.Quarantine != nil {
		keys = append(keys, Key{KindQuarantine, o.Quarantine.Name})
	}
	if o.RouteTenant != nil {
		keys = append(keys, Key{KindRouteTenant, o.RouteTenant.Name})
	}
	if o.Capacity != nil {
		keys = append(keys, Key{KindCapacity, o.Capacity.Name})
	}
	if o.Suspect != nil {
		keys = append(keys, Key{KindSuspect, o.Suspect.Name})
	}
	if len(keys) != 1 {
		return Key{}, false
	}
	return keys[0], true
}

// Metadata returns the metadata of the object that is set, not a copy,
// or nil if none is set.
func (o Object) Metadata() *Metadata {
	switch {
	case o.Intent != nil:
		return &o.Intent.Metadata
	case o.Engine != nil:
		return &o.Engine.Metadata
	case o.Service != nil:
		return &o.Service.Metadata
	case o.Class != nil:
		return &o.Class.Metadata
	case o.Tenant != nil:
		return &o.Tenant.Metadata
	case o.Ingress != nil:
		return &o.Ingress.Metadata
	case o.Replica != nil:
		return &o.Replica.Metadata
	case o.Proxy != nil:
		return &o.Proxy.Metadata
	case o.Member != nil:
		return &o.Member.Metadata
	case o.Quarantine != nil:
		return &o.Quarantine.Metadata
	case o.RouteTenant != nil:
		return &o.RouteTenant.Metadata
	case o.Capacity != nil:
		return &o.Capacity.Metadata
	case o.Suspect != nil:
		return &o.Suspect.Metadata
	}
	return nil
}
