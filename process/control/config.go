// Package control is the daemon of one member of the control group: it keeps a
// replica, serves the feed and the operator API, and carries out the leader's
// duties while it holds a valid lease.
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

// ErrConfig says that the configuration is of no use; the message names all faults.
var ErrConfig = errors.New("control: invalid configuration")

// Member is one member of the group at its first start.
type Member struct {
	Name            string
	PeerAddress     string
	FeedAddress     string
	OperatorAddress string
}

// Config is what a member runs with. Zero durations and limits take the defaults.
type Config struct {
	// Name is one of Members; the same name comes back after a lost disk.
	Name string
	// DataFolder holds all of the member's files.
	DataFolder string
	// GroupID tells groups apart; connections of another group are refused.
	GroupID uint64
	// Addresses to listen on, IP and port.
	PeerAddress     string
	FeedAddress     string
	OperatorAddress string
	// Members lists the group as it is first started, this member among them.
	Members []Member
	// Join makes a member with an empty data folder ask the listed members to
	// take it in as a new learner instead of starting the group.
	Join bool
	// PlatformAddress is the IP and port of the platform's list of machines;
	// without it no machine is taken for leaving or gone.
	PlatformAddress string
	// Found makes a member with an empty data folder start a new group of which
	// it is the only voter; the others join it. At most one member is ever told
	// so, and only at the first start of the whole system.
	Found bool
	// LossesToBear is how many members may be lost at once, disks included,
	// without losing what was acknowledged. No Ingress is taken while the
	// group's quorum is smaller than one more than that, and a member that stays
	// away is dropped while enough others are left.
	LossesToBear int
	// Fleet is where the leader reads the replicas of routed services; nil
	// where there are none.
	Fleet FleetSource
	// Kept asks replicas what they keep of prompts; nil where they cannot be asked.
	Kept KeptSource
	// Roles tells replicas which role to take; nil where they cannot be told.
	Roles RoleOrders
	// ChangeRoles has the leader order changes of role. It is off by default: on
	// some fleets generators were missed; see docs/ACCOUNT.md.
	ChangeRoles bool
	// Usage says how the requests of tenants are accounted for.
	Usage Usage
	// Quotas says by which windows the quotas of tenants are kept; the zero Rule: not at all.
	Quotas quota.Rule
	// Capacity orders replicas; nil where their number is not this group's to say.
	Capacity CapacityOrders
	// Extensions run beside the member from when it takes part in the group;
	// their context ends after the planned stop.
	Extensions []Extension

	Durations Durations
	Limits    Limits
	Planner   Planner

	// fileSystem holds DataFolder; wal.OS{} when nil.
	fileSystem wal.FileSystem
}

// Durations are the member's intervals and timeouts.
type Durations struct {
	// Election is the base of the election timeout, Heartbeat the leader's
	// interval, Lease the leader lease; Lease is shorter than Election by the
	// clock-drift margin.
	Election  time.Duration
	Heartbeat time.Duration
	Lease     time.Duration
	// ViewLease is how long a daemon may use its view after a granted beat.
	ViewLease time.Duration
	// Reconcile is the pause between two rounds of the leader's duties, Plan
	// that between two plans, Poll that between two questions to one engine,
	// EngineTimeout bounds each question and order.
	Reconcile     time.Duration
	Plan          time.Duration
	Poll          time.Duration
	EngineTimeout time.Duration
	// EngineSilence is the age from which an observation counts for nothing; it
	// grows with the fleet, see silenceOf. FailurePause is the time during which
	// an assignment that an engine could not take on is not tried again.
	EngineSilence time.Duration
	FailurePause  time.Duration
	// PlatformPoll is the pause between two reads of the machine list.
	PlatformPoll time.Duration
	// ProxySilence is how long a proxy that says nothing is still passed on to
	// callers; MemberSilence how long a member may stay away before it is
	// dropped from a group that has more than it needs.
	ProxySilence  time.Duration
	MemberSilence time.Duration
	// OrderSettle is how long a new leader orders no change of role: orders of the
	// one before may still arrive, and its lease on the replicas passes meanwhile.
	OrderSettle time.Duration
	// Proposal bounds the wait for a commit.
	Proposal time.Duration
	// Shutdown bounds a planned stop.
	Shutdown time.Duration
}

// Limits bound what the member takes on.
type Limits struct {
	// MaxAffectedEngines bounds the engines that one transaction may move
	// without allowBroad; negative means no bound.
	MaxAffectedEngines int
	OperationRetention time.Duration
	ClaimRetention     time.Duration
	// MaxBodyBytes bounds the body of an operator request.
	MaxBodyBytes int64
	// SnapshotEntries is how many entries are applied between two snapshots.
	SnapshotEntries uint64
	// MaxDaemons bounds the feed's subscriptions.
	MaxDaemons int
	// MaxOperatorConnections bounds the operator server's connections.
	MaxOperatorConnections int
}

// Planner weighs the planner's decisions.
type Planner struct {
	// Name chooses the policy: landingtrail, static or threshold.
	Name string
	// ChangeCost weighs a role change against goodput where an intent names no
	// cost of its own, in seconds of one engine's work.
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

// WithDefaults returns the configuration with every zero duration and limit filled in.
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

// silentPollRounds is how many rounds of questions an engine may leave unanswered
// before it counts as silent.
const silentPollRounds = 3

// silenceOf returns the age from which an observation counts for nothing in a
// fleet of so many engines: before a large one the rounds of questions take
// longer than EngineSilence, and an engine that answers each must not count as
// silent in between.
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

// Check returns every fault of the configuration, by field; none hides another.
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
			faults = append(faults, api.FieldFault{Field: field.name, Message: "must be an IP and a port"})
		}
	}
	return faults
}

func (c Config) checkMembers() []api.FieldFault {
	var faults []api.FieldFault
	seen := map[string]bool{}
	for _, member := range c.Members {
		if seen[member.Name] {
			faults = append(faults, api.FieldFault{Field: "members", Message: "names " + member.Name + " twice"})
		}
		seen[member.Name] = true
	}
	if !seen[c.Name] {
		faults = append(faults, api.FieldFault{Field: "members", Message: "must name this member"})
	}
	return faults
}

func (d Durations) check() []api.FieldFault {
	var faults []api.FieldFault
	if d.Lease >= d.Election {
		faults = append(faults, api.FieldFault{Field: "durations.lease", Message: "must be shorter than the election timeout"})
	}
	if d.Heartbeat*2 > d.Lease {
		faults = append(faults, api.FieldFault{Field: "durations.heartbeat", Message: "must be at most half of the lease"})
	}
	return faults
}

func isIPAndPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && port != "" && net.ParseIP(host) != nil
}
