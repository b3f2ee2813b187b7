// Package control implements one member of the control group. A member keeps a copy of the
// replicated state, serves the feed and the operator API, and runs the leader's tasks while it
// holds a valid leader lease.
//
// Terms used in this package:
//   - A daemon is a process that subscribes to the feed, for example a proxy.
//   - The feed is the protocol between members and daemons; a view is the immutable version of the
//     replicated state that it distributes.
//   - An engine is a language-model server whose model and role the group assigns by orders. An
//     Intent states which model, version and roles the selected engines are to serve.
//   - A replica is a model server of a routed service, as listed by the platform. Package replica
//     is about something else, a member's copy of the Raft state.
//   - A replica with the prefill role reads prompts; one with the decode role generates the output.
//   - The Ingress is the configuration of routes, services and tenants for callers' requests.
//   - A platform call is a call that only the leader may make to the platform, which checks its
//     fencing token.
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

// Member describes a member of the initial group. Each address is an IP address and a port:
// PeerAddress serves the other members, FeedAddress the daemons, and OperatorAddress the operator
// API.
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
	// CurrentMembers returns the other members that the settings list now, for a process whose settings may
	// change while it runs. It is called often, and concurrently. nil means that Members stays valid.
	CurrentMembers func() []Member
	// Join makes a member with an empty data directory ask the listed members to add it as a new
	// learner instead of bootstrapping the group.
	Join bool
	// PlatformAddress is the IP and port of the platform's machine list. Without it, no machine is
	// treated as leaving or gone.
	PlatformAddress string
	// Bootstrap makes a member with an empty data directory bootstrap a new group of which it is the
	// only voter; the other members join it. It must be set on at most one member, and only for the
	// first start of the whole system.
	Bootstrap bool
	// FirstStart is true if all members of the group start for the first time, with empty disks.
	FirstStart bool
	// ToleratedLosses is the number of members that may fail at the same time, including their disks,
	// without losing acknowledged data. The group accepts no Ingress while its quorum is smaller
	// than ToleratedLosses+1. It removes a member that stays unreachable, or that stops as planned,
	// while it has more than 2*ToleratedLosses+1 voters.
	ToleratedLosses int
	// Fleet is the leader's source of the replicas of routed services; nil if there are no routed
	// services.
	Fleet FleetSource
	// PromptCache lets the leader query replicas for the prompt parts that they have cached; nil if
	// replicas support no such query.
	PromptCache CacheSource
	// Roles lets the leader order replicas to change their role; nil if replicas accept no such
	// orders.
	Roles RoleOrders
	// ChangeRoles makes the leader order role changes. It is off by default because on some fleets
	// the changes left too few decode replicas; see docs/ACCOUNT.md.
	ChangeRoles bool
	// ChangeRolesIfSlownessReported makes the leader order role changes in services whose replicas report their slowness, even
	// without ChangeRoles.
	ChangeRolesIfSlownessReported bool
	// Usage configures the accounting of tenants' requests.
	Usage Usage
	// Quotas defines the windows in which tenants' quotas are granted; the zero Rule disables
	// quotas.
	Quotas quota.Rule
	// Capacity orders more or fewer replicas; nil if this group does not scale the fleet.
	Capacity CapacityOrders
	// Extensions run alongside the member from the time when it takes part in the group. Their
	// context is cancelled when the member stops: after the planned stop, or after a failure.
	Extensions []Extension

	Durations Durations
	Limits    Limits
	Planner   Planner

	// fileSystem holds DataFolder; nil means wal.OS{}.
	fileSystem wal.FileSystem
	// contacts lives as long as the process; see contactList.
	contacts *contactList
}

// Durations are the member's intervals and timeouts.
type Durations struct {
	// Election is the base of the election timeout.
	Election time.Duration
	// Heartbeat is the leader's heartbeat interval.
	Heartbeat time.Duration
	// Lease is the duration of the leader lease. It is shorter than Election, and the difference is
	// the clock drift that is tolerated.
	Lease time.Duration
	// ViewLease is how long a daemon may use its view after a heartbeat was granted.
	ViewLease time.Duration
	// Reconcile is the interval between rounds of the leader's tasks.
	Reconcile time.Duration
	// Plan is the interval between plans.
	Plan time.Duration
	// Poll is the interval between polls of one engine.
	Poll time.Duration
	// EngineTimeout bounds each poll of an engine and each order to one.
	EngineTimeout time.Duration
	// EngineSilence is the minimum age at which an observation of an engine becomes stale; the age
	// grows with the number of engines.
	EngineSilence time.Duration
	// FailurePause is the delay before an assignment that an engine could not apply is retried.
	FailurePause time.Duration
	// PlatformPoll is the interval between reads of the machine list.
	PlatformPoll time.Duration
	// ProxySilence is how long a proxy that reports nothing is still advertised to callers.
	ProxySilence time.Duration
	// MemberSilence is how long a member may be unreachable before it is removed from a group that
	// has more voters than ToleratedLosses requires.
	MemberSilence time.Duration
	// OrderSettle is how long a new leader orders no role changes and makes no platform calls. In
	// that time orders and calls of the previous leader may still arrive, and its lease on the
	// replicas expires.
	OrderSettle time.Duration
	// Proposal bounds the wait for the commit of a proposed command.
	Proposal time.Duration
	// Shutdown bounds a planned stop.
	Shutdown time.Duration
}

// Limits bound the resources that the member uses and the changes that it accepts.
type Limits struct {
	// MaxAffectedEngines bounds the engines that one transaction may reassign unless it sets
	// AllowBroad; negative means no bound.
	MaxAffectedEngines int
	// OperationRetention is how long the result of a transaction is kept for retries with the same
	// operation ID.
	OperationRetention time.Duration
	// ClaimRetention is how long at-most-once claims are kept if the request specifies no retention.
	ClaimRetention time.Duration
	// MaxBodyBytes bounds the body of an operator request.
	MaxBodyBytes int64
	// SnapshotEntries is the number of entries applied between snapshots.
	SnapshotEntries uint64
	// MaxDaemons bounds the subscriptions to this member's feed.
	MaxDaemons int
	// MaxOperatorConnections bounds the requests that the operator server handles concurrently.
	MaxOperatorConnections int
}

// Planner selects the planning policy and its parameters.
type Planner struct {
	// Name selects the policy: landingtrail, static or threshold. Any other name selects
	// landingtrail.
	Name string
	// ChangeCost is the cost of a role change, in seconds of one engine's work, for intents that
	// specify none. The planner weighs it against the goodput that the change gains.
	ChangeCost float64
}

// Defaults of the zero fields of Durations, Limits and Planner.Name. Planner.ChangeCost has none.
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

// engineSilenceFor returns the age at which an observation becomes stale if there are this many
// engines. With many engines a poll round takes longer than EngineSilence, and an engine that
// answers every poll must not count as silent between two of them.
func (d Durations) engineSilenceFor(engines int) time.Duration {
	return max(d.EngineSilence, silentPollRounds*orders.PollRoundDuration(d.Poll, engines))
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
