package api

// Ingress is the configuration of all client-facing routes (not the Kubernetes kind). There is a single
// Ingress, which is replaced as a whole; the highest generation takes effect.
type Ingress struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     IngressSpec `json:"spec" yaml:"spec"`
}

// IngressName is the name of the only Ingress.
const IngressName = "ingress"

// IngressSpec is the configuration that an operator submits.
type IngressSpec struct {
	// Generation orders configurations. A higher one replaces a lower one.
	Generation uint64         `json:"generation" yaml:"generation"`
	Routes     []Route        `json:"routes" yaml:"routes"`
	Services   []RouteService `json:"services" yaml:"services"`
	Limits     IngressLimits  `json:"limits" yaml:"limits"`
	// KeysRequired makes an API key of a tenant mandatory for requests, except on public
	// routes.
	KeysRequired bool `json:"keysRequired,omitempty" yaml:"keysRequired,omitempty"`
	// KeySecret is the HMAC key of the API key digests. The group generates it once and
	// distributes it only to proxies.
	KeySecret []byte `json:"-" yaml:"-"`
	// Tenants and their keys are set only in a submitted spec. The group stores them as
	// RouteTenants, which hold key digests instead.
	Tenants []TenantKeys `json:"tenants,omitempty" yaml:"tenants,omitempty"`
	// Source is the document from which the operator's automation generated the
	// spec; it may be empty. It is set only in a spec that is submitted or read
	// back: the group stores it compressed, omits it from views and returns it
	// unchanged.
	Source []byte `json:"source,omitempty" yaml:"source,omitempty"`
}

// RouteKind determines whether a request may be retried and how it is answered.
type RouteKind string

// Kinds of routes.
const (
	RouteSafe      RouteKind = "safe"      // idempotent: may run more than once
	RouteUnsafe    RouteKind = "unsafe"    // runs at most once
	RouteStreaming RouteKind = "streaming" // answered by a stream of events; see Route.Idempotent
)

// Route matches the requests for a host whose path begins with a prefix.
type Route struct {
	Name string `json:"name" yaml:"name"`
	Host string `json:"host" yaml:"host"`
	// PathPrefix begins and ends with a slash; the longest matching prefix wins.
	PathPrefix string    `json:"pathPrefix" yaml:"pathPrefix"`
	Kind       RouteKind `json:"kind" yaml:"kind"`
	// Priority is the priority in queues and engines; 0 is the most urgent.
	// ClassSpec.Priority has the opposite order.
	Priority int `json:"priority" yaml:"priority"`
	// TimeoutMilliseconds limits the total time of a request.
	TimeoutMilliseconds int64 `json:"timeoutMilliseconds" yaml:"timeoutMilliseconds"`
	// ObjectiveMilliseconds is the latency objective until the response, or until
	// the first event of a stream. GapMilliseconds is the objective between two
	// events of a stream.
	ObjectiveMilliseconds int64 `json:"objectiveMilliseconds,omitempty" yaml:"objectiveMilliseconds,omitempty"`
	GapMilliseconds       int64 `json:"gapMilliseconds,omitempty" yaml:"gapMilliseconds,omitempty"`
	// Attempts is the maximum number of replicas that one request is sent to,
	// including the first; 0 means 1.
	Attempts int `json:"attempts" yaml:"attempts"`
	// Affinity routes requests with a common prompt prefix to the same replica.
	Affinity bool `json:"affinity,omitempty" yaml:"affinity,omitempty"`
	// Resumable streams may be continued on another replica.
	Resumable bool `json:"resumable,omitempty" yaml:"resumable,omitempty"`
	// Public routes accept requests without an API key.
	Public   bool           `json:"public,omitempty" yaml:"public,omitempty"`
	Backends []RouteBackend `json:"backends" yaml:"backends"`
}

// Idempotent reports whether requests of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStreaming && r.Resumable
}

// RouteBackend is a service that receives a weighted share of a route's requests.
type RouteBackend struct {
	Service string `json:"service" yaml:"service"`
	Weight  int    `json:"weight" yaml:"weight"`
}

// RouteService is a service that routes refer to. Its replicas are discovered from
// the platform's list; see Replica.
type RouteService struct {
	Name       string `json:"name" yaml:"name"`
	HealthPath string `json:"healthPath,omitempty" yaml:"healthPath,omitempty"`
	// MaxConnections limits the connections to one replica from all proxies together.
	MaxConnections int `json:"maxConnections,omitempty" yaml:"maxConnections,omitempty"`
	// Model describes the replicas of a model service; nil for others.
	Model *ModelSheet `json:"model,omitempty" yaml:"model,omitempty"`
	// Scaling bounds the number of replicas and gives their prices; nil if the group does
	// not control their number.
	Scaling *ScalingSheet `json:"scaling,omitempty" yaml:"scaling,omitempty"`
}

// ScalingSheet holds the limits and prices of a service's replicas. Withdrawable replicas
// cost less than lasting ones, but the platform may reclaim all of those in a zone at once.
type ScalingSheet struct {
	// Min and Max bound the number of replicas per zone, both kinds together.
	Min int `json:"min" yaml:"min"`
	Max int `json:"max" yaml:"max"`
	// BootMillis is the time until a new replica can serve requests.
	BootMillis int64 `json:"bootMilliseconds" yaml:"bootMilliseconds"`
	// WithdrawablePrice is the price of a withdrawable replica as a fraction of that of a
	// lasting one; 0 if there are no withdrawable replicas.
	WithdrawablePrice float64 `json:"withdrawablePrice,omitempty" yaml:"withdrawablePrice,omitempty"`
	// ZonePrices is the price of a lasting replica in each zone, in any unit
	// that is the same for all zones.
	ZonePrices map[string]float64 `json:"zonePrices,omitempty" yaml:"zonePrices,omitempty"`
}

// ModelSheet holds the configured properties of a model service's replicas. KVTokens is the
// number of tokens that a replica's KV cache holds, and LinkMbps the bandwidth for moving KV
// cache between replicas, in megabits per second.
type ModelSheet struct {
	Slots          int     `json:"slots" yaml:"slots"`
	KVTokens       int64   `json:"kvTokens" yaml:"kvTokens"`
	KVBytesPerTok  int64   `json:"kvBytesPerToken" yaml:"kvBytesPerToken"`
	LinkMbps       float64 `json:"linkMbps" yaml:"linkMbps"`
	HandoverMillis int64   `json:"handoverMilliseconds" yaml:"handoverMilliseconds"` // lifetime of a KV handle
	SwitchMillis   int64   `json:"switchMilliseconds" yaml:"switchMilliseconds"`     // duration of a role change
	Backups        bool    `json:"backups,omitempty" yaml:"backups,omitempty"`
}

// IngressLimits bounds the size and the timing of client requests.
type IngressLimits struct {
	MaxHeaderBytes     int64 `json:"maxHeaderBytes,omitempty" yaml:"maxHeaderBytes,omitempty"`
	MaxBodyBytes       int64 `json:"maxBodyBytes,omitempty" yaml:"maxBodyBytes,omitempty"`
	HeaderMilliseconds int64 `json:"headerMilliseconds,omitempty" yaml:"headerMilliseconds,omitempty"`
	IdleMilliseconds   int64 `json:"idleMilliseconds,omitempty" yaml:"idleMilliseconds,omitempty"`
}

// ReplaceCode is the outcome of a replacement of the Ingress.
type ReplaceCode string

// Outcomes of a replacement. ReplaceInvalid is the only one that does not
// acknowledge the submitted Ingress.
const (
	ReplaceApplied    ReplaceCode = "applied"    // the new Ingress is in effect
	ReplaceSuperseded ReplaceCode = "superseded" // an equal or higher generation is in effect; nothing changed
	ReplaceInvalid    ReplaceCode = "invalid"    // validation errors; nothing changed
)

// ReplaceResult is the response to a replacement of the Ingress.
type ReplaceResult struct {
	Code ReplaceCode `json:"code"`
	// Generation is the generation that is now in effect.
	Generation uint64       `json:"generation"`
	Faults     []FieldFault `json:"faults,omitempty"`
}
