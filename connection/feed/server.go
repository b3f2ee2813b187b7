package feed

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/process/clock"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// Leadership is the current role of the Server's own member in the group.
type Leadership struct {
	// Leads is true for the leader once it has applied everything that earlier leaders committed.
	Leads bool
	Term  uint64
	// Address is the leader's feed address, empty if unknown.
	Address string
}

// Group is the control group as used by a Server. Its methods are called concurrently.
type Group interface {
	Leadership() Leadership
	// Lease returns the term that the member leads. valid is false unless the member leads and its
	// leader lease is valid at a time read after the call began.
	Lease(ctx context.Context) (term uint64, valid bool)
	// View returns the view applied last and Version its version. DeltaSince returns the delta
	// that leads to it, and false if there is nothing to send. The delta is a full view if the
	// group no longer has the changes since from.
	View() *view.View
	Version() view.Version
	DeltaSince(from view.Version) (view.Delta, bool)
	// Claim and RecordOutcome commit. ErrNoQuorum says that nothing was proposed; after any other
	// error the outcome is unknown.
	Claim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error)
	RecordOutcome(ctx context.Context, outcome state.RunOutcome) error
	// ReportDemand receives the demand reported by the named daemon.
	ReportDemand(daemon string, report DemandReport)
	// ReportPresence takes a proxy's presence report, which is repeated with each heartbeat.
	ReportPresence(presence Presence)
	// Place decides where to send a request and returns false if the group does not decide.
	// RecordProgress records the progress of the request. key is the string form of the daemonKey
	// of the daemon that asked. Neither blocks, except that a PlacementRelay's Place waits up to
	// relayTimeout for the leader.
	Place(key string, request PlaceRequest) (placement.Answer, bool)
	RecordProgress(key string, progress PlacementProgress)
	// RecordCachedParts records which prompt parts a replica is believed to have cached.
	RecordCachedParts(cached CachedParts)
	// RecordInFlight replaces the recorded in-flight requests of a daemon; key is as in Place.
	RecordInFlight(key string, inFlight InFlight)
	// RecordCrashes records the requests during which replicas crashed. UnrecordedCrashes returns
	// the crashes that daemons should know but can't read from the group's committed quarantine
	// record, empty if there are none; generation changes whenever the report does.
	RecordCrashes(report CrashReport)
	UnrecordedCrashes() (report CrashReport, generation uint64)
	// RecordUsage records the usage counters of an instance.
	RecordUsage(report UsageReport)
	// Charge deducts the cost of a tenant's request from its quota and returns false if this
	// member keeps no quotas. RefundCharge refunds a request that did not run.
	Charge(request ChargeRequest) (quota.Grant, bool)
	RefundCharge(request ChargeRequest)
	// ChargeLimit grants or refuses a request for a limited replica, and returns false if this member
	// keeps no limits. RecordLimit records a daemon's report of a limit. forwarded is as in
	// ChargeRequest. AnnouncedLimits returns the limits announced after the given generation, and the latest
	// generation.
	ChargeLimit(request ratelimit.Request, forwarded bool) (ratelimit.Reply, bool)
	RecordLimit(request ratelimit.Request, forwarded bool)
	AnnouncedLimits(since uint64) (reports []ratelimit.NamedReport, generation uint64)
	// WallClock returns the group's wall-clock time in Unix milliseconds, 0 if unknown.
	WallClock() int64
}

// ServerConfig configures a Server. Durations and limits that are not positive use the defaults.
type ServerConfig struct {
	Group Group
	// ViewLease is how long a daemon may use its view after a granted heartbeat.
	ViewLease time.Duration
	// WriteTimeout bounds each write. A subscriber that takes longer is disconnected and resumes
	// from the version it holds. The default is DefaultWriteTimeout.
	WriteTimeout time.Duration
	// SilenceTimeout is the time without any frame after which a subscriber is disconnected. The
	// default is twice DefaultSilenceTimeout.
	SilenceTimeout time.Duration
	// MaxSubscribers limits the connections, MaxClaims the calls in progress on one connection:
	// claims, outcomes, placements and charges.
	MaxSubscribers int
	MaxClaims      int
	// MaxBulkDeltas limits the subscribers that receive a large delta at the same time; the others
	// wait. Without the limit, daemons that all restart together would share the network so evenly
	// that none receives a full view before it times out and starts over.
	MaxBulkDeltas int
	// FloorInterval is how often the minimum version for leases is raised: a daemon that has not
	// acknowledged what was applied one interval ago gets no lease. The default is ViewLease.
	FloorInterval time.Duration
	// Tracker holds the daemons' leases over all terms; a relay sets it. nil creates a tracker for
	// each term. The leader requires that, because a term starts by waiting for the leases of
	// earlier leaders.
	Tracker *view.Tracker
	// Limit returns an upper bound for leases granted now; nil sets no bound.
	Limit func() time.Duration
	// Observed, if set, is called after each heartbeat or acknowledgement that the Tracker has
	// processed. It is called concurrently and must not block.
	Observed func()
	// Clock reads a monotonic clock; nil uses clock.Now.
	Clock  func() time.Duration
	Logger log.Logger
}

// Defaults of ServerConfig.
const (
	DefaultViewLease      = 3 * time.Second
	DefaultMaxSubscribers = 4096
	DefaultMaxClaims      = 256
	DefaultMaxBulkDeltas  = 32
)

func (c ServerConfig) withDefaults() ServerConfig {
	c.ViewLease = orDefault(c.ViewLease, DefaultViewLease)
	c.WriteTimeout = orDefault(c.WriteTimeout, DefaultWriteTimeout)
	c.SilenceTimeout = orDefault(c.SilenceTimeout, 2*DefaultSilenceTimeout)
	c.MaxSubscribers = orDefault(c.MaxSubscribers, DefaultMaxSubscribers)
	c.MaxClaims = orDefault(c.MaxClaims, DefaultMaxClaims)
	c.MaxBulkDeltas = orDefault(c.MaxBulkDeltas, DefaultMaxBulkDeltas)
	c.FloorInterval = orDefault(c.FloorInterval, c.ViewLease)
	if c.Limit == nil {
		c.Limit = noLeaseLimit
	}
	if c.Observed == nil {
		c.Observed = func() {}
	}
	if c.Clock == nil {
		c.Clock = clock.Now
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	return c
}

func noLeaseLimit() time.Duration { return math.MaxInt64 }

// subscriberShards is the number of shards of the subscribers, which limit lock contention between
// connections that open and close.
const subscriberShards = 16

type subscriberShard struct {
	sync.Mutex
	subscribers map[*subscriber]struct{}
}

// Server serves subscriptions while its member leads.
type Server struct {
	config       ServerConfig
	listener     net.Listener
	shards       [subscriberShards]subscriberShard
	accepted     uint64 // connections so far; used only by accept
	latest       *latestSubscriptions
	connections  atomic.Int64
	termLeases   atomic.Pointer[termLeases]
	cache        deltaCache
	partial      partialViewCache
	bulkSlots    chan struct{} // one per large delta in transit
	openingSlots chan struct{} // one per subscription that is opening
	wakeups      chan struct{} // wakes maintainTermLeases; capacity 1, so that signals coalesce
	context      context.Context
	cancel       context.CancelFunc
	done         sync.WaitGroup
}

// NewServer starts a Server on the listener and takes ownership of it.
func NewServer(config ServerConfig, listener net.Listener) *Server {
	s := &Server{config: config.withDefaults(), listener: listener, wakeups: make(chan struct{}, 1)}
	s.latest = newLatestSubscriptions()
	s.bulkSlots = make(chan struct{}, s.config.MaxBulkDeltas)
	s.openingSlots = make(chan struct{}, maxOpeningSubscriptions)
	s.context, s.cancel = context.WithCancel(context.Background())
	for i := range s.shards {
		s.shards[i].subscribers = map[*subscriber]struct{}{}
	}
	s.done.Go(s.accept)
	s.done.Go(s.maintainTermLeases)
	return s
}

// Close ends all subscriptions and waits for the server's goroutines.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.done.Wait()
}

// Wake makes every subscription check the group for a new version or another leader. It does not
// block.
func (s *Server) Wake() {
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
	for i := range s.shards {
		s.shards[i].wake()
	}
}

func (s *subscriberShard) wake() {
	s.Lock()
	defer s.Unlock()
	for sub := range s.subscribers {
		sub.signal()
	}
}

// Subscribers returns the number of connections.
func (s *Server) Subscribers() int { return int(s.connections.Load()) }

// InForce reports whether a revision is in force and which daemons it has reached. It returns false
// if this member does not lead with a valid lease. For a revision that is not applied yet it
// returns a zero result and true.
func (s *Server) InForce(ctx context.Context, revision uint64) (InForce, bool) {
	current := s.ensureTermLeases(ctx)
	if current == nil {
		return InForce{}, false
	}
	version := view.Version{Term: current.term, Revision: revision}
	if version.Compare(s.config.Group.Version()) > 0 {
		return InForce{}, true
	}
	result := current.inForce(version, s.config.Clock())
	// The lease is checked again: a leader that was paused may have evaluated the leases of a term
	// that has ended.
	return result, s.ensureTermLeases(ctx) == current
}

// Daemons reports how many daemons hold a view lease from this member and which of them are behind
// the revision, whatever its term. Unlike InForce it does not check the leader lease. The result is
// zero if this member has not led yet.
func (s *Server) Daemons(revision uint64) Daemons {
	current := s.termLeases.Load()
	if current == nil {
		return Daemons{}
	}
	return current.daemons(view.Version{Revision: revision}, s.config.Clock())
}

// ensureTermLeases returns the leases of the term that the member leads and creates them if the
// term is new. It returns nil without a valid leader lease or if a newer term is known.
func (s *Server) ensureTermLeases(ctx context.Context) *termLeases {
	term, valid := s.config.Group.Lease(ctx)
	if !valid {
		return nil
	}
	for {
		current := s.termLeases.Load()
		if current != nil && current.term >= term {
			if current.term > term {
				return nil
			}
			return current
		}
		created := s.createTermLeases(term)
		if s.termLeases.CompareAndSwap(current, created) {
			return created
		}
	}
}

func (s *Server) createTermLeases(term uint64) *termLeases {
	if s.config.Tracker != nil {
		return &termLeases{term: term, lease: s.config.ViewLease, tracker: s.config.Tracker}
	}
	return newTermLeases(term, s.config.Group.Version(), s.config.ViewLease, s.config.Clock())
}

// maintainTermLeases creates the leases of a new term and periodically raises the minimum version
// for leases. A daemon that has not acknowledged what was applied one FloorInterval ago gets no
// lease, so that every accepted change is in force within a bounded time.
func (s *Server) maintainTermLeases() {
	ticker := time.NewTicker(s.config.FloorInterval)
	defer ticker.Stop()
	var previous view.Version
	for {
		select {
		case <-s.context.Done():
			return
		case <-s.wakeups:
			// The term's leases are created now rather than at the first query, so that their
			// minimum version is the one at takeover.
			s.ensureTermLeases(s.context)
			continue
		case <-ticker.C:
		}
		if current := s.ensureTermLeases(s.context); current != nil {
			current.tracker.RequireVersion(previous)
		}
		previous = s.config.Group.Version()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if s.context.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		if err != nil {
			s.waitAfterAcceptError()
			continue
		}
		if s.connections.Add(1) > int64(s.config.MaxSubscribers) {
			s.connections.Add(-1)
			_ = conn.Close()
			event.FeedRefused.Log(s.config.Logger, "address", conn.RemoteAddr(), "err", "too many subscribers")
			continue
		}
		s.accepted++
		number := s.accepted
		s.done.Go(func() { s.serve(conn, number) })
	}
}

// acceptPause is the delay after a failed accept, for example when file descriptors run out.
const acceptPause = 50 * time.Millisecond

func (s *Server) waitAfterAcceptError() {
	timer := time.NewTimer(acceptPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.context.Done():
	}
}

func (s *Server) serve(conn net.Conn, number uint64) {
	defer s.connections.Add(-1)
	sub := newSubscriber(s, conn, number)
	sub.releaseOpeningSlot = s.acquireOpeningSlot()
	defer sub.releaseOpeningSlot()
	shard := &s.shards[number%subscriberShards]
	shard.add(sub)
	err := sub.run(s.context)
	shard.remove(sub)
	if s.context.Err() == nil && !errors.Is(err, errNotLeader) {
		event.FeedEnded.Log(s.config.Logger, "address", conn.RemoteAddr(), "daemon", sub.key.daemon, "err", err)
	}
}

const (
	// maxOpeningSubscriptions limits the subscriptions that open at the same time. All daemons
	// connect to a new leader at once; serving all their initial requests together would delay the
	// leader's heartbeats to its group until it loses leadership.
	maxOpeningSubscriptions = 16
	// openingSlotTimeout limits how long a connection holds its opening slot, so that one that
	// sends nothing does not block the others.
	openingSlotTimeout = 100 * time.Millisecond
)

// acquireOpeningSlot waits for an opening slot and returns a function that releases it.
func (s *Server) acquireOpeningSlot() (release func()) {
	select {
	case s.openingSlots <- struct{}{}:
	case <-s.context.Done():
		return func() {}
	}
	release = sync.OnceFunc(func() { <-s.openingSlots })
	time.AfterFunc(openingSlotTimeout, release)
	return release
}

func (s *subscriberShard) add(sub *subscriber) {
	s.Lock()
	defer s.Unlock()
	s.subscribers[sub] = struct{}{}
}

func (s *subscriberShard) remove(sub *subscriber) {
	s.Lock()
	defer s.Unlock()
	delete(s.subscribers, sub)
}
