// Package api defines the objects of the control group's state and their
// validation. The control group is the Raft group of controllers. Operators write
// intents, engines, services, classes and tenants in transactions; the other kinds
// are replaced as a whole or recorded by the group.
// Objects have metadata, a spec and, for some kinds, a status with the observed
// state. Writes are compare-and-set on the metadata's revision.
package api

// Kind names a type of object.
type Kind string

// Kinds of objects.
const (
	KindIntent  Kind = "Intent"
	KindEngine  Kind = "Engine"
	KindService Kind = "Service"
	KindClass   Kind = "Class"
	KindTenant  Kind = "Tenant"
	KindIngress Kind = "Ingress"
	KindReplica Kind = "Replica"
	KindProxy   Kind = "Proxy"
	KindMember  Kind = "Member"

	KindQuarantine  Kind = "Quarantine"
	KindRouteTenant Kind = "RouteTenant"
	KindCapacity    Kind = "Capacity"
	KindSuspect     Kind = "Suspect"
)

// Kinds lists every kind in the order in which tables print them. Package binenc encodes
// a kind by its position in this list, which is part of the stored format: append only.
var Kinds = []Kind{KindIntent, KindEngine, KindService, KindClass, KindTenant, KindIngress, KindReplica, KindProxy, KindMember, KindQuarantine, KindRouteTenant, KindCapacity, KindSuspect}

// IsWritable reports whether transactions can write objects of the kind. Other
// kinds are replaced as a whole or recorded by the control group.
func IsWritable(kind Kind) bool {
	switch kind {
	case KindIntent, KindEngine, KindService, KindClass, KindTenant:
		return true
	}
	return false
}

// Labels are key-value pairs that selectors match.
type Labels map[string]string

// Metadata is common to all objects.
type Metadata struct {
	Name   string `json:"name" yaml:"name"`
	Labels Labels `json:"labels,omitempty" yaml:"labels,omitempty"`
	// Revision is the Raft log index of the object's last accepted write. In a
	// write, 0 means that the object must not exist yet.
	Revision uint64 `json:"revision,omitempty" yaml:"revision,omitempty"`
}

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind" yaml:"kind"`
	Name string `json:"name" yaml:"name"`
}

// String returns "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Selector matches objects whose labels satisfy all of MatchLabels and all of
// MatchExpressions. An empty selector matches nothing, so that an omitted selector
// cannot select the whole fleet; use All or the operator Exists to match widely.
type Selector struct {
	MatchLabels      Labels        `json:"matchLabels,omitempty" yaml:"matchLabels,omitempty"`
	MatchExpressions []Requirement `json:"matchExpressions,omitempty" yaml:"matchExpressions,omitempty"`
	// All matches every object; the other fields must then be empty.
	All bool `json:"all,omitempty" yaml:"all,omitempty"`
}

// Operator compares a label with the values of a Requirement.
type Operator string

// Operators of a Requirement.
const (
	OperatorIn           Operator = "In"
	OperatorNotIn        Operator = "NotIn"
	OperatorExists       Operator = "Exists"
	OperatorDoesNotExist Operator = "DoesNotExist"
)

// Requirement is one condition on one label.
type Requirement struct {
	Key      string   `json:"key" yaml:"key"`
	Operator Operator `json:"operator" yaml:"operator"`
	Values   []string `json:"values,omitempty" yaml:"values,omitempty"`
}
