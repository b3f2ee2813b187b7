package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/connection/peer"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/metering"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/replica"
	"github.com/pkg/errors"
)

// Run serves the member until ctx ends, then stops it as planned: leadership is
// handed over first. It returns nil after a planned stop, ErrConfig before
// anything was opened, and otherwise what stopped the member.
func Run(ctx context.Context, config Config, logger log.Logger) error {
	config = config.WithDefaults()
	if faults := config.Check(); len(faults) > 0 {
		return errors.Wrapf(ErrConfig, "%v", faults)
	}
	m, err := open(ctx, config, logger)
	if err != nil {
		return err
	}
	return m.run(ctx)
}

// storageRetryDelay is the wait before a member whose storage failed is opened again.
const storageRetryDelay = time.Second

// RunAgain is Run, but opens the member again, after a pause, when its storage
// has failed: a full disk may have room again, and a process that ends each time
// only costs starts. So does a member that was removed and is to join again, under
// the next identity. Invalid configurations and other removals end it as they end Run.
func RunAgain(ctx context.Context, config Config, logger log.Logger) error {
	for {
		err := Run(ctx, config, logger)
		if isFinal(ctx, config.Join, err) {
			return runResult(ctx, config.Join, err)
		}
		before := storageRetryDelay
		if errors.Is(err, ErrRemoved) {
			before = joinRetryInterval
			config.Found = false // what it founded goes on without it
		}
		event.ControlReopens.Log(logger, "err", err, "pause", before)
		if !pause.For(ctx, before) {
			return nil
		}
	}
}

// isFinal reports whether a member, which joins again after a removal or does not, is
// not to be run again.
func isFinal(ctx context.Context, joins bool, err error) bool {
	if err == nil || ctx.Err() != nil || errors.Is(err, ErrConfig) {
		return true
	}
	return errors.Is(err, ErrRemoved) && !joins
}

// runResult is what the last run's end means. A removal is none where the member
// would have joined again, had it not been asked to stop meanwhile.
func runResult(ctx context.Context, joins bool, err error) error {
	if errors.Is(err, ErrRemoved) && joins && ctx.Err() != nil {
		return nil
	}
	return err
}

// member is this process's member of the group.
type member struct {
	config    Config
	logger    log.Logger
	id        raft.MemberID
	disk      *replica.Disk
	evidence  *evidence
	machine   *machine
	transport *peer.Transport
	addresses *addressBook
	listeners listeners
	operator  *operatorServer
	metrics   *metrics
	feed      *feed.Server
	// replica is set before group is published; both are nil until the member
	// knows how it takes part in the group.
	replica *replica.Replica
	group   atomic.Pointer[group]
	duties  *duties
	// initialized is true once the folder holds a group's log.
	initialized atomic.Bool
	// removed has an item once the group has removed the member's identity.
	removed    chan struct{}
	background sync.WaitGroup
	peers      peerStates
}

func (m *member) run(ctx context.Context) error {
	// Background work ends after the planned stop, not with ctx.
	work, cancelBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelBackground()
	server, err := newOperatorServer(m)
	if err != nil {
		m.abandon()
		return err
	}
	m.operator = server
	m.background.Go(server.serve)
	if err := m.start(ctx, work); err != nil {
		server.close()
		m.abandon()
		m.background.Wait()
		if errors.Is(err, context.Canceled) {
			return nil // asked to stop before the group was found
		}
		return err
	}
	event.ControlStarted.Log(m.logger, "id", uint64(m.id), "operator", m.listeners.operator.Addr())
	m.background.Go(func() { m.watchRemoval(work) })
	select {
	case <-ctx.Done():
		return m.stop(cancelBackground)
	case <-m.replica.Done():
		return m.fail(cancelBackground)
	case <-m.removed:
		if err := m.stop(cancelBackground); err != nil {
			return err
		}
		return m.finishRemoved()
	}
}

// abandon releases what was opened when the replica was not started.
func (m *member) abandon() {
	_ = m.transport.Close()
	m.listeners.close()
	_ = m.disk.Close()
}

// start takes part in the group.
func (m *member) start(ctx, work context.Context) error {
	configuration := raft.Configuration{}
	if m.disk.Empty() {
		deciding := &entry{config: m.config, self: m.id, addresses: m.addresses, logger: m.logger}
		var err error
		if configuration, err = deciding.configuration(ctx); err != nil {
			return err
		}
	}
	if err := m.startReplica(configuration); err != nil {
		return err
	}
	m.feed = feed.NewServer(feed.ServerConfig{
		Group:          m.group.Load(),
		ViewLease:      m.config.Durations.ViewLease,
		MaxSubscribers: m.config.Limits.MaxDaemons,
		Logger:         m.logger,
	}, m.listeners.feed)
	m.evidence.tellDaemons(m.wakeIfNotLeader)
	m.duties = newDuties(m.group.Load(), m.addresses, m.logger)
	m.metrics.watch(m)
	m.background.Go(func() { m.watchLeadership(work) })
	m.background.Go(func() { m.watchVersion(work) })
	m.background.Go(func() { m.probeAddresses(work) })
	m.background.Go(func() { m.join(work) })
	m.background.Go(func() { m.duties.run(work) })
	m.background.Go(func() { m.group.Load().logPlacementSummaries(work) })
	m.background.Go(func() { m.evidence.run(work) })
	m.background.Go(func() { m.evidence.tell(work) })
	for _, extension := range m.config.Extensions {
		m.background.Go(func() { extension(work, &Access{member: m}) })
	}
	return nil
}

// wakeIfNotLeader has daemons look again that this member stands by for.
func (m *member) wakeIfNotLeader() {
	if !m.group.Load().Leadership().Leads {
		m.feed.Wake()
	}
}

func (m *member) startReplica(configuration raft.Configuration) error {
	m.machine.membersChanged = func() { m.addresses.setCommitted(m.machine.members()) }
	started, err := replica.Start(replica.Config{
		Raft: raft.Config{
			ID:                m.id,
			ElectionTimeout:   m.config.Durations.Election,
			HeartbeatInterval: m.config.Durations.Heartbeat,
			LeaseDuration:     m.config.Durations.Lease,
			Seed:              uint64(m.id),
		},
		Storage:         m.disk,
		Transport:       m.transport,
		StateMachine:    m.machine,
		Bootstrap:       configuration,
		SnapshotEntries: m.config.Limits.SnapshotEntries,
	})
	if err != nil {
		return errors.Wrap(err, "control: replica")
	}
	m.replica = started
	m.initialized.Store(true)
	m.group.Store(&group{
		replica:  started,
		machine:  m.machine,
		config:   m.config,
		demand:   newDemandTable(time.Now()),
		presence: newPresenceTable(),
		usage:    newUsageDesk(),
		day:      metering.NewAgreement(monotonic, time.Now),
		desk:     newPlacementDesk(),
		quotas:   newQuotaDesk(m.config.Quotas),

		evidence: m.evidence,
		metrics:  m.metrics,
		logger:   m.logger,
	})
	return nil
}

// leaseChecksPerHeartbeat is how often a new leader asks for its first lease, which
// needs one exchange with a quorum; requests wait for it.
const leaseChecksPerHeartbeat = 20

// watchLeadership takes up a leadership as soon as its lease is valid, and
// tells the feed and the duties of every change.
func (m *member) watchLeadership(ctx context.Context) {
	current := m.group.Load()
	announced := uint64(0) // the last term in which this member was seen to lead
	for {
		changed := m.replica.Changed()
		status := m.replica.Status()
		if status.Role == raft.Leader && announced != status.Term {
			if _, valid := current.Lease(ctx); !valid {
				if !pause.For(ctx, m.config.Durations.Heartbeat/leaseChecksPerHeartbeat) {
					return
				}
				continue
			}
			announced = status.Term
			event.ControlLeads.Log(m.logger, "term", status.Term)
		}
		event.ControlRole.Log(m.logger, "role", roleOf(m.id, status), "term", status.Term, "leader", uint64(status.Leader),
			"commit", status.Commit, "last", status.LastIndex, "voters", fmt.Sprint(status.Configuration.Voters),
			"learners", fmt.Sprint(status.Configuration.Learners))
		m.feed.Wake()
		m.duties.wake()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// watchVersion tells the evidence, the feed and the duties of every new version.
func (m *member) watchVersion(ctx context.Context) {
	recorded := m.machine.view().Quarantines
	for {
		select {
		case <-m.machine.moved:
			before := recorded
			recorded = m.machine.view().Quarantines
			if !m.group.Load().Leadership().Leads {
				m.evidence.follow(before, recorded)
			}
			m.feed.Wake()
			m.duties.wake()
		case <-ctx.Done():
			return
		}
	}
}

// probeAddresses asks at the configured addresses for members that the state
// does not name yet.
func (m *member) probeAddresses(ctx context.Context) {
	for {
		for _, configured := range m.addresses.unprobedMembers() {
			// An address that does not answer is asked again in the next round.
			_, _ = m.addresses.ask(ctx, configured)
		}
		if !pause.For(ctx, m.config.Durations.Election) {
			return
		}
	}
}
