package api

import "strconv"

// Replica is one process of a service as the platform's list shows it. Its name may be
// that of an earlier process, which held what this one does not: the two are told apart
// by their births.
type Replica struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     ReplicaSpec `json:"spec" yaml:"spec"`
}

// ReplicaSpec is what the list says of a replica.
type ReplicaSpec struct {
	Service string `json:"service" yaml:"service"`
	Address string `json:"address" yaml:"address"` // IP and port
	Zone    string `json:"zone" yaml:"zone"`
	// Slots is how many requests it works on at once; 0 if not known.
	Slots int `json:"slots,omitempty" yaml:"slots,omitempty"`
	// Leaving replicas get nothing new.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
	// Withdrawable replicas may be taken away by the platform, with little notice.
	Withdrawable bool `json:"withdrawable,omitempty" yaml:"withdrawable,omitempty"`
	// Role and Models are set for replicas of model services.
	Role   EngineRole `json:"role,omitempty" yaml:"role,omitempty"`
	Models []string   `json:"models,omitempty" yaml:"models,omitempty"`
	// Born is when the process started by its own word, in milliseconds since 1970; 0 if
	// it has not said. See process/control for what one that never says is taken for.
	Born int64 `json:"born,omitempty" yaml:"born,omitempty"`
}

// IsAnotherProcess reports whether the two specs speak of different processes under one
// name: either has told its birth, and they differ. One that has not told is taken for the
// same process, until its connections show that it has ended.
func (s *ReplicaSpec) IsAnotherProcess(earlier *ReplicaSpec) bool {
	return s.Born != 0 && earlier.Born != 0 && s.Born != earlier.Born
}

// Incarnation names the process: ends of one are not ends of the next one under its name.
func (r *Replica) Incarnation() string { return IncarnationName(r.Name, r.Spec.Born) }

// IncarnationName is the name of a process that was born then; 0 for not known.
func IncarnationName(replica string, born int64) string {
	if born == 0 {
		return replica
	}
	return replica + "@" + strconv.FormatInt(born, 10)
}

// Capacity is how many replicas of a service a zone is to have. Its name is that of the
// service and the zone, with a slash between.
type Capacity struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     CapacitySpec `json:"spec" yaml:"spec"`
}

// CapacitySpec is what was decided last.
type CapacitySpec struct {
	// Found is how many replicas there were when the group began to decide: what whoever
	// set the fleet up took for enough.
	Found int `json:"found" yaml:"found"`
	// Lasting and Withdrawable are wanted now.
	Lasting      int    `json:"lasting" yaml:"lasting"`
	Withdrawable int    `json:"withdrawable" yaml:"withdrawable"`
	Reason       string `json:"reason" yaml:"reason"`
}

// CapacityName is the name of a Capacity.
func CapacityName(service, zone string) string { return service + "/" + zone }

// Proxy is a proxy that takes callers' requests now.
type Proxy struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     ProxySpec `json:"spec" yaml:"spec"`
}

// ProxySpec says where callers reach a proxy.
type ProxySpec struct {
	Address string `json:"address" yaml:"address"` // IP and port
	Zone    string `json:"zone" yaml:"zone"`
}

// Member is a member of the control group as daemons that follow it know it.
type Member struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     MemberSpec `json:"spec" yaml:"spec"`
}

// MemberSpec says where a member is.
type MemberSpec struct {
	FeedAddress     string `json:"feedAddress" yaml:"feedAddress"`
	OperatorAddress string `json:"operatorAddress" yaml:"operatorAddress"`
}
