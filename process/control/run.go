package control

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/request/retry"
	"github.com/pkg/errors"
)

// Run runs the member until ctx ends and then performs a planned stop, which first transfers
// leadership. It returns nil after a planned stop, ErrConfig for an invalid configuration, which is
// checked before anything is opened, ErrRemoved if the group has removed the member, and otherwise
// the error that stopped the member.
func Run(ctx context.Context, config Config, logger log.Logger) error {
	config = config.WithDefaults()
	if faults := config.Check(); len(faults) > 0 {
		return errors.Wrapf(ErrConfig, "%v", faults)
	}
	m, err := open(ctx, config, logger)
	if err != nil {
		return err
	}
	defer func() { m.config.contacts.remember(m.machine.members()) }()
	return m.run(ctx)
}

// storageRetryDelay is the delay before a member whose storage failed is opened again.
const storageRetryDelay = time.Second

// RunWithRestart is like Run, but opens the member again after a delay when its storage has failed,
// since a full disk may get space again. This way the process does not have to be restarted each
// time. It also opens the member again, under a new identity, when the member was removed and Join
// is set. For an invalid configuration or any other removal it returns what Run returns.
func RunWithRestart(ctx context.Context, config Config, logger log.Logger) error {
	config.contacts = newContactList(config) // outlasts each identity of the member
	for {
		err := Run(ctx, config, logger)
		if isFinal(ctx, config.Join, err) {
			return finalResult(ctx, config.Join, err)
		}
		delay := storageRetryDelay
		if errors.Is(err, ErrRemoved) {
			delay = joinRetryInterval
			config.Bootstrap, config.FirstStart = false, false // its group continues without it
		}
		event.ControlReopens.Log(logger, "err", err, "pause", delay)
		if !pause.Sleep(ctx, delay) {
			return nil
		}
	}
}

// isFinal reports whether the member is not to be run again after the error. rejoins tells whether
// it rejoins after a removal.
func isFinal(ctx context.Context, rejoins bool, err error) bool {
	if err == nil || ctx.Err() != nil || errors.Is(err, ErrConfig) {
		return true
	}
	return errors.Is(err, ErrRemoved) && !rejoins
}

// finalResult returns the error with which RunWithRestart ends. A removal is not an error if the
// member would have rejoined, had it not been asked to stop in the meantime.
func finalResult(ctx context.Context, rejoins bool, err error) error {
	if errors.Is(err, ErrRemoved) && rejoins && ctx.Err() != nil {
		return nil
	}
	return err
}

// member is one member of the group: its storage, servers and background work.
type member struct {
	config    Config
	logger    log.Logger
	id        raft.MemberID
	disk      *replica.Disk
	evidence  *evidence
	streams   *streamArchive
	machine   *machine
	transport *peer.Transport
	addresses *addressBook
	listeners listeners
	operator  *operatorServer
	metrics   *metrics
	feed      *feed.Server
	// replica is set before group is published. Both are nil until the member knows its initial
	// configuration.
	replica *replica.Replica
	group   atomic.Pointer[group]
	tasks   *leaderTasks
	// initialized is true once the data directory holds a group's log.
	initialized atomic.Bool
	// removed receives a value once the group has removed the member's identity.
	removed    chan struct{}
	background sync.WaitGroup
	peers      peerStates
}

func (m *member) run(ctx context.Context) error {
	// Background work ends after the planned stop, not when ctx ends.
	backgroundCtx, cancelBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelBackground()
	server, err := newOperatorServer(m)
	if err != nil {
		m.releaseResources()
		return err
	}
	m.operator = server
	m.background.Go(server.serve)
	if err := m.start(ctx, backgroundCtx); err != nil {
		server.close()
		m.releaseResources()
		m.background.Wait()
		if errors.Is(err, context.Canceled) {
			return nil // asked to stop before it joined the group
		}
		return err
	}
	event.ControlStarted.Log(m.logger, "id", uint64(m.id), "operator", m.listeners.operator.Addr())
	m.background.Go(func() { m.watchRemoval(backgroundCtx) })
	select {
	case <-ctx.Done():
		return m.stop(cancelBackground)
	case <-m.replica.Done():
		return m.stopAfterFailure(cancelBackground)
	case <-m.removed:
		if err := m.stop(cancelBackground); err != nil {
			return err
		}
		return m.finishRemoved()
	}
}

// releaseResources closes what was opened if the replica was not started.
func (m *member) releaseResources() {
	_ = m.transport.Close()
	m.listeners.close()
	_ = m.disk.Close()
}

// start starts the replica, the feed and the background work.
func (m *member) start(ctx, backgroundCtx context.Context) error {
	configuration := raft.Configuration{}
	if m.disk.Empty() {
		bootstrap := &bootstrapper{config: m.config, self: m.id, addresses: m.addresses, logger: m.logger}
		var err error
		if configuration, err = bootstrap.configuration(ctx); err != nil {
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
	m.evidence.setDaemonNotifier(m.wakeIfNotLeader)
	m.tasks = newLeaderTasks(m.group.Load(), m.addresses, m.logger)
	m.metrics.registerGauges(m)
	m.background.Go(func() { m.watchLeadership(backgroundCtx) })
	m.background.Go(func() { m.watchVersion(backgroundCtx) })
	m.background.Go(func() { m.probeAddresses(backgroundCtx) })
	m.background.Go(func() { m.join(backgroundCtx) })
	m.background.Go(func() { m.tasks.run(backgroundCtx) })
	m.background.Go(func() { m.group.Load().logPlacementSummaries(backgroundCtx) })
	m.background.Go(func() { m.evidence.runWriter(backgroundCtx) })
	m.background.Go(func() { m.evidence.runSender(backgroundCtx) })
	m.background.Go(func() { m.streams.versions.run(backgroundCtx) })
	m.background.Go(func() { m.streams.runWriter(backgroundCtx) })
	m.background.Go(func() { m.streams.runSender(backgroundCtx) })
	for _, extension := range m.config.Extensions {
		m.background.Go(func() { extension(backgroundCtx, &Access{member: m}) })
	}
	return nil
}

// wakeIfNotLeader notifies the daemons that use this member as a standby, unless it leads.
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
		return errors.Wrap(err, "control: start replica")
	}
	m.replica = started
	m.initialized.Store(true)
	m.group.Store(&group{
		replica:    started,
		machine:    m.machine,
		config:     m.config,
		demand:     newDemandTable(time.Now()),
		presence:   newPresenceTable(),
		usage:      newUsageCollector(),
		agreedTime: metering.NewMedianClock(monotonic, time.Now),
		boards:     newPlacementBoards(),
		quotas:     newQuotaCharger(m.config.Quotas),
		rates:      ratelimit.NewLimiter(ratelimit.DefaultRule, monotonic()),
		retries:    retry.NewPool(rand.Uint64),
		streams:    m.streams,
		restarts:   newRestartDoubts(),
		wakeFeed:   func() { m.feed.Wake() },

		evidence: m.evidence,
		metrics:  m.metrics,
		logger:   m.logger,
	})
	return nil
}

// leaseChecksPerHeartbeat is how often per heartbeat interval a new leader checks for its first
// lease. The lease takes one exchange with a quorum, and requests wait until it is valid.
const leaseChecksPerHeartbeat = 20

// watchLeadership starts a term of leadership as soon as its lease is valid, and notifies the feed
// and the leader's tasks of every change.
func (m *member) watchLeadership(ctx context.Context) {
	current := m.group.Load()
	announcedTerm := uint64(0) // last term logged as led by this member
	for {
		changed := m.replica.Changed()
		status := m.replica.Status()
		if status.Role == raft.Leader && announcedTerm != status.Term {
			if _, valid := current.Lease(ctx); !valid {
				if !pause.Sleep(ctx, m.config.Durations.Heartbeat/leaseChecksPerHeartbeat) {
					return
				}
				continue
			}
			announcedTerm = status.Term
			event.ControlLeads.Log(m.logger, "term", status.Term)
		}
		event.ControlRole.Log(m.logger, "role", roleOf(m.id, status), "term", status.Term, "leader", uint64(status.Leader),
			"commit", status.Commit, "last", status.LastIndex, "voters", fmt.Sprint(status.Configuration.Voters),
			"learners", fmt.Sprint(status.Configuration.Learners))
		m.feed.Wake()
		m.tasks.wake()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// watchVersion notifies the evidence, the stream archive, the feed and the leader's tasks of every new version.
func (m *member) watchVersion(ctx context.Context) {
	recorded := m.machine.view().Quarantines
	for {
		select {
		case <-m.machine.versionChanged:
			before := recorded
			recorded = m.machine.view().Quarantines
			m.streams.observe(monotonic(), m.machine.history.Load())
			if !m.group.Load().Leadership().Leads {
				m.evidence.applyRecordChange(before, recorded)
			}
			m.feed.Wake()
			m.tasks.wake()
		case <-ctx.Done():
			return
		}
	}
}

// probeAddresses probes the configured addresses of members that the state does not contain yet.
func (m *member) probeAddresses(ctx context.Context) {
	for {
		for _, configured := range m.addresses.membersWithUnknownID() {
			// An address that does not reply is probed again in the next round.
			_, _ = m.addresses.probe(ctx, configured)
		}
		if !pause.Sleep(ctx, m.config.Durations.Election) {
			return
		}
	}
}
