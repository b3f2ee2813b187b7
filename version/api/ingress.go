package api

// Ingress is the whole configuration of the routes that callers reach: there is
// one, and it is replaced as a whole. The one with the highest generation holds.
type Ingress struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     IngressSpec `json:"spec" yaml:"spec"`
}

// IngressName is the name of the only Ingress.
const IngressName = "ingress"

// IngressSpec is what an operator wants of all routes together.
type IngressSpec struct {
	// Generation orders configurations. A higher one replaces a lower one.
	Generation uint64         `json:"generation" yaml:"generation"`
	Routes     []Route        `json:"routes" yaml:"routes"`
	Services   []RouteService `json:"services" yaml:"services"`
	Limits     IngressLimits  `json:"limits" yaml:"limits"`
	// KeysRequired is true where a request brings the API key of a tenant, unless its
	// route is public.
	KeysRequired bool `json:"keysRequired,omitempty" yaml:"keysRequired,omitempty"`
	// KeySecret is what digests of API keys are made under. The group draws it once and
	// hands it to proxies alone.
	KeySecret []byte `json:"-" yaml:"-"`
	// Tenants, with their keys, stand only in a spec that is sent. The group stores them
	// as RouteTenants, which hold digests.
	Tenants []TenantKeys `json:"tenants,omitempty" yaml:"tenants,omitempty"`
	// Source is the document from which the operator's automation made the
	// spec; it may be empty. It stands only in a spec that is sent, or that was read
	// back: the group keeps it packed, out of views, and hands it out as it came.
	Source []byte `json:"source,omitempty" yaml:"source,omitempty"`
}

// RouteKind says what may be done with a request of a route.
type RouteKind string

// Kinds of routes.
const (
	RouteSafe      RouteKind = "safe"      // may run more than once
	RouteUnsafe    RouteKind = "unsafe"    // runs at most once
	RouteStreaming RouteKind = "streaming" // answered by a stream of events
)

// Route takes the requests of a host whose path begins with a prefix.
type Route struct {
	Name string `json:"name" yaml:"name"`
	Host string `json:"host" yaml:"host"`
	// PathPrefix begins and ends with a slash; the longest that fits holds.
	PathPrefix string    `json:"pathPrefix" yaml:"pathPrefix"`
	Kind       RouteKind `json:"kind" yaml:"kind"`
	// Priority is the rank in queues and engines, 0 the most urgent.
	Priority int `json:"priority" yaml:"priority"`
	// TimeoutMilliseconds bounds how long a request is held.
	TimeoutMilliseconds int64 `json:"timeoutMilliseconds" yaml:"timeoutMilliseconds"`
	// ObjectiveMilliseconds is the latency objective: to the answer, or to the
	// first event of a stream. GapMilliseconds is the objective between events.
	ObjectiveMilliseconds int64 `json:"objectiveMilliseconds,omitempty" yaml:"objectiveMilliseconds,omitempty"`
	GapMilliseconds       int64 `json:"gapMilliseconds,omitempty" yaml:"gapMilliseconds,omitempty"`
	// Attempts is how many replicas one request may be sent to.
	Attempts int `json:"attempts" yaml:"attempts"`
	// Affinity asks that requests that share a prompt prefix share a replica.
	Affinity bool `json:"affinity,omitempty" yaml:"affinity,omitempty"`
	// Resumable streams may be continued on another replica.
	Resumable bool `json:"resumable,omitempty" yaml:"resumable,omitempty"`
	// Public routes take requests without an API key.
	Public   bool           `json:"public,omitempty" yaml:"public,omitempty"`
	Backends []RouteBackend `json:"backends" yaml:"backends"`
}

// Idempotent reports whether requests of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStreaming && r.Resumable
}

// RouteBackend is a service that takes a share of a route's requests.
type RouteBackend struct {
	Service string `json:"service" yaml:"service"`
	Weight  int    `json:"weight" yaml:"weight"`
}

// RouteService is a service that routes lead to. Its replicas are found by the
// platform's list; see Replica.
type RouteService struct {
	Name       string `json:"name" yaml:"name"`
	HealthPath string `json:"healthPath,omitempty" yaml:"healthPath,omitempty"`
	// MaxConnections is how many connections one replica takes of all proxies.
	MaxConnections int `json:"maxConnections,omitempty" yaml:"maxConnections,omitempty"`
	// Model describes the replicas of a model service; nil for others.
	Model *ModelSheet `json:"model,omitempty" yaml:"model,omitempty"`
	// Scaling says how many replicas may be had, and for what; nil where their number is
	// not ours to say.
	Scaling *ScalingSheet `json:"scaling,omitempty" yaml:"scaling,omitempty"`
}

// ScalingSheet bounds and prices the replicas of a service. Those that may be withdrawn all
// at once in a zone cost less than those that last.
type ScalingSheet struct {
	// Min and Max bound the replicas of one zone, of both kinds together.
	Min int `json:"min" yaml:"min"`
	Max int `json:"max" yaml:"max"`
	// BootMillis is how long a new replica takes to serve.
	BootMillis int64 `json:"bootMilliseconds" yaml:"bootMilliseconds"`
	// WithdrawablePrice is what a replica that may be withdrawn costs of one that lasts;
	// 0 where there are none.
	WithdrawablePrice float64 `json:"withdrawablePrice,omitempty" yaml:"withdrawablePrice,omitempty"`
	// ZonePrices are what a lasting replica costs in each zone, in any unit.
	ZonePrices map[string]float64 `json:"zonePrices,omitempty" yaml:"zonePrices,omitempty"`
}

// ModelSheet is what is said of the replicas of a model service beforehand.
type ModelSheet struct {
	Slots          int     `json:"slots" yaml:"slots"`
	KVTokens       int64   `json:"kvTokens" yaml:"kvTokens"`
	KVBytesPerTok  int64   `json:"kvBytesPerToken" yaml:"kvBytesPerToken"`
	LinkMbps       float64 `json:"linkMbps" yaml:"linkMbps"`
	HandoverMillis int64   `json:"handoverMilliseconds" yaml:"handoverMilliseconds"` // how long a KV handle lasts
	SwitchMillis   int64   `json:"switchMilliseconds" yaml:"switchMilliseconds"`     // how long a change of role takes
	Backups        bool    `json:"backups,omitempty" yaml:"backups,omitempty"`
}

// IngressLimits bound what a caller may send and how long it may take.
type IngressLimits struct {
	MaxHeaderBytes     int64 `json:"maxHeaderBytes,omitempty" yaml:"maxHeaderBytes,omitempty"`
	MaxBodyBytes       int64 `json:"maxBodyBytes,omitempty" yaml:"maxBodyBytes,omitempty"`
	HeaderMilliseconds int64 `json:"headerMilliseconds,omitempty" yaml:"headerMilliseconds,omitempty"`
	IdleMilliseconds   int64 `json:"idleMilliseconds,omitempty" yaml:"idleMilliseconds,omitempty"`
}

// ReplaceCode says what became of a replacement of the Ingress.
type ReplaceCode string

// Outcomes of a replacement. All but ReplaceInvalid are acknowledged.
const (
	ReplaceApplied    ReplaceCode = "applied"    // it holds now
	ReplaceSuperseded ReplaceCode = "superseded" // an equal or higher generation holds; nothing has changed
	ReplaceInvalid    ReplaceCode = "invalid"    // faults in fields; nothing has changed
)

// ReplaceResult answers a replacement of the Ingress.
type ReplaceResult struct {
	Code ReplaceCode `json:"code"`
	// Generation is the one that holds now.
	Generation uint64       `json:"generation"`
	Faults     []FieldFault `json:"faults,omitempty"`
}
