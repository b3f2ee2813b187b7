package api

import "strconv"

// Replica is one process of a service, as listed by the platform. A new process
// may reuse the name of an earlier one but starts without its state; the start time in Born
// distinguishes the two.
type Replica struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     ReplicaSpec `json:"spec" yaml:"spec"`
}

// ReplicaSpec describes a replica as listed by the platform.
type ReplicaSpec struct {
	Service string `json:"service" yaml:"service"`
	Address string `json:"address" yaml:"address"` // IP and port
	Zone    string `json:"zone" yaml:"zone"`
	// Slots is the number of requests it processes concurrently; 0 if unknown.
	Slots int `json:"slots,omitempty" yaml:"slots,omitempty"`
	// Leaving replicas receive no new requests.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
	// Withdrawable replicas (spot or preemptible machines) may be reclaimed by the platform at
	// short notice.
	Withdrawable bool `json:"withdrawable,omitempty" yaml:"withdrawable,omitempty"`
	// Role and Models are set for replicas of model services.
	Role   EngineRole `json:"role,omitempty" yaml:"role,omitempty"`
	Models []string   `json:"models,omitempty" yaml:"models,omitempty"`
	// SoftwareVersion is the version of the software that the process runs, whose order is unknown; empty if
	// unknown. A stream continues only at the version that began it.
	SoftwareVersion string `json:"softwareVersion,omitempty" yaml:"softwareVersion,omitempty"`
	// Born is the start time that the process reports, in milliseconds since the Unix epoch;
	// 0 if it has not reported one. See process/control for the handling of processes that
	// never report it.
	Born int64 `json:"born,omitempty" yaml:"born,omitempty"`
}

// IsAnotherProcess reports whether the two specs describe different processes with the same
// name: both have reported a start time, and the times differ. A process without a start time
// is assumed to be the same one until its connections show that it has ended. The order of
// the two specs does not matter.
func (s *ReplicaSpec) IsAnotherProcess(earlier *ReplicaSpec) bool {
	return s.Born != 0 && earlier.Born != 0 && s.Born != earlier.Born
}

// Incarnation returns a name that is unique to the process, so that the end of one process is
// not attributed to the next one with the same replica name.
func (r *Replica) Incarnation() string { return IncarnationName(r.Name, r.Spec.Born) }

// IncarnationName returns the name of the process of a replica that started at born, in
// milliseconds since the Unix epoch. If born is 0 (unknown), it is the replica's name,
// otherwise "name@born".
func IncarnationName(replica string, born int64) string {
	if born == 0 {
		return replica
	}
	return replica + "@" + strconv.FormatInt(born, 10)
}

// Capacity is the most recent scaling decision for the replicas of a service in a zone. Its name is
// "service/zone"; see CapacityName.
type Capacity struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     CapacitySpec `json:"spec" yaml:"spec"`
}

// CapacitySpec holds the wanted numbers of replicas and the reason for them.
type CapacitySpec struct {
	// Found is the number of replicas at the group's first scaling decision: the size that
	// was considered sufficient when the fleet was set up.
	Found int `json:"found" yaml:"found"`
	// Lasting and Withdrawable are the wanted numbers of replicas that the platform cannot
	// and can reclaim at short notice.
	Lasting      int    `json:"lasting" yaml:"lasting"`
	Withdrawable int    `json:"withdrawable" yaml:"withdrawable"`
	Reason       string `json:"reason" yaml:"reason"`
}

// CapacityName returns the name of the Capacity of a service in a zone.
func CapacityName(service, zone string) string { return service + "/" + zone }

// Proxy is a proxy that currently accepts client requests.
type Proxy struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     ProxySpec `json:"spec" yaml:"spec"`
}

// ProxySpec holds the address at which clients reach a proxy.
type ProxySpec struct {
	Address string `json:"address" yaml:"address"` // IP and port
	Zone    string `json:"zone" yaml:"zone"`
}

// Member is a member of the control group, as published to the daemons that follow it.
type Member struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     MemberSpec `json:"spec" yaml:"spec"`
}

// MemberSpec holds the addresses of a member.
type MemberSpec struct {
	FeedAddress     string `json:"feedAddress" yaml:"feedAddress"`
	OperatorAddress string `json:"operatorAddress" yaml:"operatorAddress"`
}
