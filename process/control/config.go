// Package control implements one member of the control group. A member keeps a replica of the
// state, serves the feed and the operator API, and runs the leader's duties while it holds a valid
// leader lease.
package control

import (
	"cmp"
	"net"
	"time"

	"github.com/landingtrail/landingtrail/connection/orders"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// ErrConfig means that the configuration is invalid; the message lists all faults.
var ErrConfig = errors.New("control: invalid configuration")

// Member describes a member of the initial group.
type Member struct {
	Name            string
	PeerAddress     string
	FeedAddress     string
	OperatorAddress string
}

// Config configures a member. Zero durations and limits are replaced by their defaults.
type Config struct {
	// Name is the name of one of Members. A member that lost its disk keeps its name.
	Name string
	// DataFolder is the data directory of the member.
	DataFolder string
	// GroupID identifies the group; connections from other groups are refused.
	GroupID uint64
	// PeerAddress, FeedAddress and OperatorAddress are the listen addresses, each an IP and a port.
	PeerAddress     string
	FeedAddress     string
	OperatorAddress string
	// Members lists the members of the initial group, including this one.
	Members []Member
	// Join makes a member with an empty data directory ask the listed members to add it as a new
	// learner instead of bootstrapping the group.
	Join bool
	// PlatformAddress is the IP and port of the platform's machine list. Without it, no machine is
	// treated as leaving or gone.
	PlatformAddress string
	// Found makes a member with an empty data directory bootstrap a new group of which it is the
	// only voter; the other members join it. It must be set on at most one member, and only for the
	// first start of the whole system.
	Found bool
	// LossesToBear is the number of members that may fail at the same time, including their disks,
	// without losing acknowledged data. The group accepts no Ingress while its quorum is smaller
	// than LossesToBear+1, and it removes a member that stays unreachable as long as enough others
	// remain.
	LossesToBear int
	// Fleet is the leader's source of the replicas of routed services; nil if there are none.
	Fleet FleetSource
	// Kept queries replicas for the parts of prompts that they have cached; nil if they cannot be
	// queried.
	Kept KeptSource
	// Roles orders replicas to change their role; nil if they cannot be ordered.
	Roles RoleOrders
	// ChangeRoles makes the leader order role changes. It is off by default because on some fleets
	// the changes left too few generators; see docs/ACCOUNT.md.
	ChangeRoles bool
	// Usage configures the accounting of tenants' requests.
	Usage Usage
	// Quotas defines the windows by which tenants' quotas are enforced; the zero Rule disables
	// quotas.
	Quotas quota.Rule
	// Capacity orders more or fewer replicas; nil if this group does not scale the fleet.
	Capacity CapacityOrders
	// Extensions run alongside the member from the time when it takes part in the group. Their
	// context is cancelled after a planned stop.
	Extensions []Extension

	Durations Durations
	Limits    Limits
	Planner   Planner

	// fileSystem holds DataFolder; nil means wal.OS{}.
	fileSystem wal.FileSystem
}

// Durations are the member's intervals and timeouts.
type Durations struct {
	// Election is the base of the election timeout, Heartbeat the leader's heartbeat interval, and
	// Lease the duration of the leader lease. Lease is shorter than Election by the clock-drift
	// margin.
	Election  time.Duration
	Heartbeat time.Duration
	Lease     time.Duration
	// ViewLease is how long a daemon may use its view after a heartbeat was granted.
	ViewLease time.Duration
	// Reconcile is the interval between rounds of the leader's duties, Plan that between plans, and
	// Poll that between polls of one engine. EngineTimeout bounds each poll and order.
	Reconcile     time.Duration
	Plan          time.Duration
	Poll          time.Duration
	EngineTimeout time.Duration
	// EngineSilence is the age at which an observation of an engine becomes stale; it grows with
	// the fleet, see silenceOf. FailurePause is how long an assignment that an engine could not
	// apply is not retried.
	EngineSilence time.Duration
	FailurePause  time.Duration
	// PlatformPoll is the interval between reads of the machine list.
	PlatformPoll time.Duration
	// ProxySilence is how long a proxy that reports nothing is still advertised to callers.
	// MemberSilence is how long a member may be unreachable before it is removed from a group that
	// has more voters than it needs.
	ProxySilence  time.Duration
	MemberSilence time.Duration
	// OrderSettle is how long a new leader orders no role changes: orders of its predecessor may
	// still arrive in that time, and the predecessor's lease on the replicas expires in it.
	OrderSettle time.Duration
	// Proposal bounds the wait for a commit.
	Proposal time.Duration
	// Shutdown bounds a planned stop.
	Shutdown time.Duration
}

// Limits bound the resources that the member uses and the changes that it accepts.
type Limits struct {
	// MaxAffectedEngines bounds the engines that one transaction may reassign without allowBroad;
	// negative means no bound.
	MaxAffectedEngines int
	OperationRetention time.Duration
	ClaimRetention     time.Duration
	// MaxBodyBytes bounds the body of an operator request.
	MaxBodyBytes int64
	// SnapshotEntries is the number of entries applied between snapshots.
	SnapshotEntries uint64
	// MaxDaemons bounds the feed's subscriptions.
	MaxDaemons int
	// MaxOperatorConnections bounds the concurrent requests of the operator server.
	MaxOperatorConnections int
}

// Planner configures the planner.
type Planner struct {
	// Name selects the policy: landingtrail, static or threshold.
	Name string
	// ChangeCost weighs a role change against goodput for intents that specify no cost of their
	// own. It is measured in seconds of one engine's work.
	ChangeCost float64
}

// Defaults of a Config.
const (
	DefaultElection      = 1000 * time.Millisecond
	DefaultHeartbeat     = 100 * time.Millisecond
	DefaultLease         = 800 * time.Millisecond
	DefaultViewLease     = 3 * time.Second
	DefaultReconcile     = 200 * time.Millisecond
	DefaultPlan          = 500 * time.Millisecond
	DefaultPoll          = 500 * time.Millisecond
	DefaultEngineTimeout = 2 * time.Second
	DefaultEngineSilence = 5 * time.Second
	DefaultFailurePause  = 30 * time.Second
	DefaultPlatformPoll  = time.Second
	DefaultProxySilence  = 3 * time.Second
	DefaultMemberSilence = 8 * time.Second
	DefaultOrderSettle   = 5 * time.Second
	DefaultProposal      = 5 * time.Second
	DefaultShutdown      = 10 * time.Second

	DefaultMaxAffectedEngines     = 8
	DefaultOperationRetention     = 24 * time.Hour
	DefaultClaimRetention         = 24 * time.Hour
	DefaultMaxBodyBytes           = 8 << 20
	DefaultSnapshotEntries        = 10_000
	DefaultMaxDaemons             = 4096
	DefaultMaxOperatorConnections = 256
	DefaultPlanner                = "landingtrail"
)

// WithDefaults returns the configuration with all zero durations and limits set to their defaults.
func (c Config) WithDefaults() Config {
	c.Durations = c.Durations.withDefaults()
	c.Limits = c.Limits.withDefaults()
	if c.Planner.Name == "" {
		c.Planner.Name = DefaultPlanner
	}
	if c.fileSystem == nil {
		c.fileSystem = wal.OS{}
	}
	return c
}

func (d Durations) withDefaults() Durations {
	d.Election = cmp.Or(d.Election, DefaultElection)
	d.Heartbeat = cmp.Or(d.Heartbeat, DefaultHeartbeat)
	d.Lease = cmp.Or(d.Lease, DefaultLease)
	d.ViewLease = cmp.Or(d.ViewLease, DefaultViewLease)
	d.Reconcile = cmp.Or(d.Reconcile, DefaultReconcile)
	d.Plan = cmp.Or(d.Plan, DefaultPlan)
	d.Poll = cmp.Or(d.Poll, DefaultPoll)
	d.EngineTimeout = cmp.Or(d.EngineTimeout, DefaultEngineTimeout)
	d.EngineSilence = cmp.Or(d.EngineSilence, DefaultEngineSilence)
	d.FailurePause = cmp.Or(d.FailurePause, DefaultFailurePause)
	d.PlatformPoll = cmp.Or(d.PlatformPoll, DefaultPlatformPoll)
	d.ProxySilence = cmp.Or(d.ProxySilence, DefaultProxySilence)
	d.MemberSilence = cmp.Or(d.MemberSilence, DefaultMemberSilence)
	d.OrderSettle = cmp.Or(d.OrderSettle, DefaultOrderSettle)
	d.Proposal = cmp.Or(d.Proposal, DefaultProposal)
	d.Shutdown = cmp.Or(d.Shutdown, DefaultShutdown)
	return d
}

// silentPollRounds is the number of poll rounds that an engine may leave unanswered before it
// counts as silent.
const silentPollRounds = 3

// silenceOf returns the age at which an observation becomes stale in a fleet of the given size. In
// a large fleet the poll rounds take longer than EngineSilence, and an engine that answers every
// poll must not count as silent between two of them.
func (d Durations) silenceOf(engines int) time.Duration {
	return max(d.EngineSilence, silentPollRounds*orders.RoundTime(d.Poll, engines))
}

func (l Limits) withDefaults() Limits {
	l.MaxAffectedEngines = cmp.Or(l.MaxAffectedEngines, DefaultMaxAffectedEngines)
	l.OperationRetention = cmp.Or(l.OperationRetention, DefaultOperationRetention)
	l.ClaimRetention = cmp.Or(l.ClaimRetention, DefaultClaimRetention)
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, DefaultMaxBodyBytes)
	l.SnapshotEntries = cmp.Or(l.SnapshotEntries, DefaultSnapshotEntries)
	l.MaxDaemons = cmp.Or(l.MaxDaemons, DefaultMaxDaemons)
	l.MaxOperatorConnections = cmp.Or(l.MaxOperatorConnections, DefaultMaxOperatorConnections)
	return l
}

// Check returns all faults of the configuration, each with its field.
func (c Config) Check() []api.FieldFault {
	var faults []api.FieldFault
	add := func(field, message string) {
		faults = append(faults, api.FieldFault{Field: field, Message: message})
	}
	if c.Name == "" {
		add("name", "is required")
	}
	if c.DataFolder == "" {
		add("dataFolder", "is required")
	}
	faults = append(faults, c.checkAddresses()...)
	faults = append(faults, c.checkMembers()...)
	return append(faults, c.WithDefaults().Durations.check()...)
}

func (c Config) checkAddresses() []api.FieldFault {
	fields := []struct{ name, address string }{
		{"peerAddress", c.PeerAddress}, {"feedAddress", c.FeedAddress}, {"operatorAddress", c.OperatorAddress},
	}
	if c.PlatformAddress != "" {
		fields = append(fields, struct{ name, address string }{"platformAddress", c.PlatformAddress})
	}
	var faults []api.FieldFault
	for _, field := range fields {
		if !isIPAndPort(field.address) {
			faults = append(faults, api.FieldFault{Field: field.name, Message: "must be an IP address and a port"})
		}
	}
	return faults
}

func (c Config) checkMembers() []api.FieldFault {
	var faults []api.FieldFault
	seen := map[string]bool{}
	for _, member := range c.Members {
		if seen[member.Name] {
			faults = append(faults, api.FieldFault{Field: "members", Message: "lists " + member.Name + " twice"})
		}
		seen[member.Name] = true
	}
	if !seen[c.Name] {
		faults = append(faults, api.FieldFault{Field: "members", Message: "must include this member"})
	}
	return faults
}

func (d Durations) check() []api.FieldFault {
	var faults []api.FieldFault
	if d.Lease >= d.Election {
		faults = append(faults, api.FieldFault{Field: "durations.lease", Message: "must be shorter than the election timeout"})
	}
	if d.Heartbeat*2 > d.Lease {
		faults = append(faults, api.FieldFault{Field: "durations.heartbeat", Message: "must be at most half the lease duration"})
	}
	return faults
}

func isIPAndPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && port != "" && net.ParseIP(host) != nil
}
