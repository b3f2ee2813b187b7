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
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// Leadership is the serving member's part in the group now.
type Leadership struct {
	// Leads is true for the leader once it has applied everything that earlier
	// leaders committed.
	Leads bool
	Term  uint64
	// Address is the leader's feed address, if it is known.
	Address string
}

// Group is the control group as a Server uses it. Its methods are called by
// many goroutines.
type Group interface {
	Leadership() Leadership
	// Lease returns the term that the member leads, and false unless it leads
	// and its leader lease is valid by a clock read after the call began.
	Lease(ctx context.Context) (term uint64, valid bool)
	// View returns the view last applied, and Version its version; DeltaSince what leads to it;
	// false when there is nothing to send.
	View() *view.View
	Version() view.Version
	DeltaSince(from view.Version) (view.Delta, bool)
	// Claim and RecordOutcome commit. ErrNoQuorum says that nothing was
	// proposed; after any other error the outcome is unknown.
	Claim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error)
	RecordOutcome(ctx context.Context, outcome state.RunOutcome) error
	ReportDemand(daemon string, report DemandReport)
	// ReportPresence takes a proxy's word on itself; it comes again with each beat.
	ReportPresence(presence Presence)
	// Place decides where a request goes, and false where the group does not
	// decide; NotePlaced takes in how far it has come. Neither waits.
	Place(daemon string, request PlaceRequest) (placement.Answer, bool)
	NotePlaced(daemon string, note PlaceNote)
	// NoteKept takes in what a replica is believed to keep of prompts.
	NoteKept(cached KeptParts)
	// NoteInFlight takes in what a daemon has in flight, in place of what was known of it.
	NoteInFlight(daemon string, inFlight InFlight)
	// NoteEnds takes in under which requests replicas ended. Unrecorded returns what daemons are to
	// know of that while the record can't tell it, empty for nothing; news changes with it.
	NoteEnds(report EndReport)
	Unrecorded() (report EndReport, generation uint64)
	// NoteUsage takes in what a process has counted.
	NoteUsage(report UsageReport)
	// Charge takes the cost of a tenant's request off its quota, and false where this member
	// keeps no quotas; ReturnCharge gives back what was charged for one that did not run.
	Charge(request ChargeRequest) (quota.Grant, bool)
	ReturnCharge(request ChargeRequest)
	// Day is the group's time of day in milliseconds, 0 where none is known.
	Day() int64
}

// ServerConfig holds what a Server is created with. Zero durations and bounds
// take the defaults.
type ServerConfig struct {
	Group Group
	// ViewLease is how long a daemon may use its view after a granted beat.
	ViewLease time.Duration
	// WriteTimeout bounds each write; a subscriber that takes longer is cut off
	// and starts again from the version it holds.
	WriteTimeout time.Duration
	// SilenceTimeout is the time without any frame after which a subscriber is cut off.
	SilenceTimeout time.Duration
	// MaxSubscribers bounds the connections, MaxClaims the claims and outcomes
	// of one connection that are under way.
	MaxSubscribers int
	MaxClaims      int
	// MaxBulkDeltas bounds the subscribers that large deltas are on the way to
	// at once; the others wait their turn. When all daemons start again
	// together and share the network evenly, none would get a whole view before
	// it gives up and starts anew.
	MaxBulkDeltas int
	// FloorInterval is how often the floor moves along: a daemon that has not
	// acknowledged what was applied that long ago gets no lease. 0: ViewLease.
	FloorInterval time.Duration
	// Tracker keeps the daemons' leases over all terms; nil starts one for each
	// term, as the leader must.
	Tracker *view.Tracker
	// Limit bounds the leases that are granted now; nil: nothing does.
	Limit func() time.Duration
	// Observed is called after each beat that was taken into account, by many
	// goroutines; it must not block. nil: nothing is called.
	Observed func()
	// Clock reads the time that has passed; nil: clock.Now.
	Clock  func() time.Duration
	Logger log.Logger
}

// Defaults of a ServerConfig.
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
	accepted     uint64 // connections so far; only accept counts
	latest       *latestSubscriptions
	count        atomic.Int64
	registry     atomic.Pointer[registry]
	cache        deltaCache
	partial      partialViewCache
	bulkSlots    chan struct{} // one for each large delta on its way
	openingSlots chan struct{} // one for each subscription that begins
	wakeups      chan struct{}
	context      context.Context
	cancel       context.CancelFunc
	done         sync.WaitGroup
}

// NewServer starts a Server on the listener, which it owns from now on.
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
	s.done.Go(s.maintainTerm)
	return s
}

// Close ends all subscriptions and waits for the server's goroutines.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.done.Wait()
}

// Wake makes every subscription look at the group again: for a new version or
// another leader. It does not block.
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
	for subscribed := range s.subscribers {
		subscribed.signal()
	}
}

// Subscribers returns the number of connections.
func (s *Server) Subscribers() int { return int(s.count.Load()) }

// InForce says how far a revision has reached the daemons, and false when this
// member does not lead with a valid lease. A revision that is not applied yet
// is not in force.
func (s *Server) InForce(ctx context.Context, revision uint64) (InForce, bool) {
	current := s.leasedRegistry(ctx)
	if current == nil {
		return InForce{}, false
	}
	version := view.Version{Term: current.term, Revision: revision}
	if version.Compare(s.config.Group.Version()) > 0 {
		return InForce{}, true
	}
	result := current.inForce(version, s.config.Clock())
	// The lease is checked again: a leader that was paused may have counted
	// the leases of a term that has ended.
	return result, s.leasedRegistry(ctx) == current
}

// Daemons says how many daemons follow this leader, and which are behind the revision.
func (s *Server) Daemons(revision uint64) Daemons {
	current := s.registry.Load()
	if current == nil {
		return Daemons{}
	}
	return current.daemons(view.Version{Revision: revision}, s.config.Clock())
}

// leased returns the registry of the term that the member leads, or nil
// without a valid lease.
func (s *Server) leasedRegistry(ctx context.Context) *registry {
	term, valid := s.config.Group.Lease(ctx)
	if !valid {
		return nil
	}
	for {
		current := s.registry.Load()
		if current != nil && current.term >= term {
			if current.term > term {
				return nil
			}
			return current
		}
		started := s.newTermRegistry(term)
		if s.registry.CompareAndSwap(current, started) {
			return started
		}
	}
}

func (s *Server) newTermRegistry(term uint64) *registry {
	if s.config.Tracker != nil {
		return &registry{term: term, lease: s.config.ViewLease, tracker: s.config.Tracker}
	}
	return newRegistry(term, s.config.Group.Version(), s.config.ViewLease, s.config.Clock())
}

// tick moves the floor along: a daemon that has not acknowledged what was
// applied one floor interval ago gets no lease, so that every accepted change is
// in force within a bounded time.
func (s *Server) maintainTerm() {
	ticker := time.NewTicker(s.config.FloorInterval)
	defer ticker.Stop()
	var previous view.Version
	for {
		select {
		case <-s.context.Done():
			return
		case <-s.wakeups:
			// A term starts with what was accepted when its leader took over, not
			// with what the first question finds.
			s.leasedRegistry(s.context)
			continue
		case <-ticker.C:
		}
		if current := s.leasedRegistry(s.context); current != nil {
			current.tracker.Require(previous)
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
		if s.count.Add(1) > int64(s.config.MaxSubscribers) {
			s.count.Add(-1)
			_ = conn.Close()
			event.FeedRefused.Log(s.config.Logger, "address", conn.RemoteAddr(), "err", "too many subscribers")
			continue
		}
		s.accepted++
		number := s.accepted
		s.done.Go(func() { s.serve(conn, number) })
	}
}

// acceptPause is the wait after a failed accept, as when descriptors run out.
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
	defer s.count.Add(-1)
	subscribed := newSubscriber(s, conn, number)
	subscribed.releaseOpeningSlot = s.acquireOpeningSlot()
	defer subscribed.releaseOpeningSlot()
	shard := &s.shards[number%subscriberShards]
	shard.add(subscribed)
	err := subscribed.run(s.context)
	shard.remove(subscribed)
	if s.context.Err() == nil && !errors.Is(err, errNotLeader) {
		event.FeedEnded.Log(s.config.Logger, "address", conn.RemoteAddr(), "daemon", subscribed.key.daemon, "err", err)
	}
}

const (
	// maxEntering is how many subscriptions begin at once. When a leader is elected all daemons
	// come to it in one moment; what they ask for first, all at once, would keep it from the
	// heartbeats of its group until it is leader no more.
	maxOpeningSubscriptions = 16
	// enterTime is how long one that says nothing holds its place.
	openingSlotTimeout = 100 * time.Millisecond
)

// enter waits for a place among the subscriptions that begin, and returns what gives it back.
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

func (s *subscriberShard) add(subscribed *subscriber) {
	s.Lock()
	defer s.Unlock()
	s.subscribers[subscribed] = struct{}{}
}

func (s *subscriberShard) remove(subscribed *subscriber) {
	s.Lock()
	defer s.Unlock()
	delete(s.subscribers, subscribed)
}
