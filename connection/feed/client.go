package feed

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/process/clock"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/pkg/errors"
)

// ClientConfig configures a Client. Durations and limits that are not positive use the defaults.
type ClientConfig struct {
	// Daemon is the daemon's name. It is unique among running daemons.
	Daemon string
	Zone   string
	// Addresses are the feed addresses of the control members.
	Addresses []string
	// MoreAddresses returns additional feed addresses discovered at runtime; nil returns none. It
	// is called before each round of connection attempts.
	MoreAddresses func() []string
	// OnServed, if set, is called whenever a session with a leader or a standby member starts to
	// serve the client. It must not block.
	OnServed func()
	// OnLeaderResumed, if set, is called when an unresponsive leader responds again and a standby
	// session was open meanwhile, to which placements may have been reported. It must not block.
	OnLeaderResumed func()
	// OnUnrecordedCrashes, if set, is called with the crashes that the group could not commit,
	// either because it has no leader or because its leader can't commit. It must not block.
	OnUnrecordedCrashes func(report CrashReport)
	// OnLimits, if set, is called with limits of replicas that a member announces. It must not block.
	OnLimits func(reports []ratelimit.NamedReport)
	// Standby sends placement requests and charges to any member, the last leader first, or to a
	// relaying daemon while no leader serves the client or the leader is unresponsive.
	Standby bool
	// Partial limits the views to the daemon's own subset of the replicas of large services. The
	// method ReplicaByName of the Client returns other replicas that answers have named.
	Partial bool
	// StandbyRelays returns the feed addresses of other daemons that relay placements; nil returns
	// none. It is called before each round of connection attempts.
	StandbyRelays func() []string
	// Presence returns the state that the daemon reports with each heartbeat; nil reports nothing.
	// Heartbeats wait for it, so it should return quickly.
	Presence func() Presence
	// OnWallClock, if set, is called with the group's wall-clock time from the answer to a
	// heartbeat, in Unix milliseconds, and the local times at which that heartbeat was sent and
	// answered. It must not block.
	OnWallClock func(sent, answered time.Duration, wallClock int64)
	// HeartbeatInterval is the heartbeat interval. The view lease should be several times as long.
	HeartbeatInterval time.Duration
	DialTimeout       time.Duration
	// WriteTimeout bounds each write. SilenceTimeout is the time without any frame from the leader
	// after which another member is tried.
	WriteTimeout   time.Duration
	SilenceTimeout time.Duration
	// BackoffMin and BackoffMax bound the backoff between connection attempts. Each delay is
	// random, between half of the current backoff and all of it.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// HandoverWait is how long claims and outcomes wait for the next leader after the previous one
	// announced that it stepped down. After that, or if the leader was lost without an
	// announcement, they are refused immediately.
	HandoverWait time.Duration
	// MaxInFlight limits the claims and outcomes waiting for a reply. Further ones fail with
	// ErrNoQuorum.
	MaxInFlight int
	// Dial opens the connections; nil uses a net.Dialer with DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Clock reads the monotonic clock used for the view lease; nil counts from process start.
	Clock  func() time.Duration
	Logger log.Logger
}

// Defaults of ClientConfig.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultDialTimeout       = 2 * time.Second
	DefaultWriteTimeout      = 5 * time.Second
	DefaultSilenceTimeout    = 3 * time.Second
	DefaultBackoffMin        = 50 * time.Millisecond
	DefaultBackoffMax        = 2 * time.Second
	DefaultHandoverWait      = 500 * time.Millisecond
	DefaultMaxInFlight       = 1024
)

func (c ClientConfig) withDefaults() ClientConfig {
	c.HeartbeatInterval = orDefault(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.DialTimeout = orDefault(c.DialTimeout, DefaultDialTimeout)
	c.WriteTimeout = orDefault(c.WriteTimeout, DefaultWriteTimeout)
	c.SilenceTimeout = orDefault(c.SilenceTimeout, DefaultSilenceTimeout)
	c.BackoffMin = orDefault(c.BackoffMin, DefaultBackoffMin)
	c.BackoffMax = orDefault(c.BackoffMax, DefaultBackoffMax)
	c.HandoverWait = orDefault(c.HandoverWait, DefaultHandoverWait)
	c.MaxInFlight = orDefault(c.MaxInFlight, DefaultMaxInFlight)
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: c.DialTimeout}).DialContext
	}
	if c.Clock == nil {
		c.Clock = clock.Now
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	return c
}

// orDefault returns value, or fallback if value is not positive.
func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Client follows the leader of the control group. It is safe for concurrent use.
type Client struct {
	config        ClientConfig
	views         Views
	instance      uint64
	session       atomic.Pointer[session] // nil while no leader serves the client
	standby       atomic.Pointer[session] // nil while no standby member serves the client
	leaderLost    chan struct{}           // signaled when the leader is lost or becomes unresponsive
	lastLeader    atomic.Pointer[string]  // address of the leader that served last
	handover      *handover
	shares        atomic.Pointer[shares] // shares of the replicas that the views contain
	namedReplicas namedReplicas
	requestID     atomic.Uint64
	callSlots     chan struct{} // holds an element per claim or outcome in flight
	context       context.Context
	cancel        context.CancelFunc
	done          sync.WaitGroup
}

// Dial starts a client that connects in the background, finds the leader among the addresses and
// keeps views up to date until Close. It does not wait for a connection. It returns ErrConfig if
// the configuration lacks the daemon or the addresses.
func Dial(config ClientConfig, views Views) (*Client, error) {
	if config.Daemon == "" {
		return nil, errors.Wrap(ErrConfig, "daemon name is empty")
	}
	if len(config.Addresses) == 0 {
		return nil, errors.Wrap(ErrConfig, "no member addresses")
	}
	client := &Client{config: config.withDefaults(), views: views, instance: rand.Uint64()}
	client.handover = newHandover(client.config.HandoverWait)
	client.callSlots = make(chan struct{}, client.config.MaxInFlight)
	client.context, client.cancel = context.WithCancel(context.Background())
	client.leaderLost = make(chan struct{}, 1)
	client.done.Go(client.runConnections)
	if client.config.Standby {
		client.done.Go(client.runStandby)
	}
	return client, nil
}

// Close closes the connection and waits for the client's goroutines. Claims and outcomes waiting
// for a reply fail with ErrOutcomeUnknown, or with ErrNoQuorum if they were not sent yet;
// placements fail with ErrNotPlaced and charges with ErrNotCharged.
func (c *Client) Close() {
	c.cancel()
	c.done.Wait()
}

// Connected reports whether a leader currently serves the client.
func (c *Client) Connected() bool { return c.session.Load() != nil }

// Claim commits a claim to run a request and returns the group's answer. After ErrNoQuorum the
// claim was not committed and never will be. After ErrOutcomeUnknown it may have been granted; the
// same claim (same nonce) may be sent again and gets the same answer. A request whose claim has an
// unknown outcome must not be run.
func (c *Client) Claim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error) {
	reply, err := c.callLeader(ctx, kindClaim, func(id uint64) []byte { return encodeClaim(id, request) })
	return reply.result, err
}

// RecordOutcome commits the outcome of a claimed run. It returns the same errors as Claim and is
// idempotent.
func (c *Client) RecordOutcome(ctx context.Context, outcome state.RunOutcome) error {
	_, err := c.callLeader(ctx, kindOutcome, func(id uint64) []byte { return encodeOutcome(id, outcome) })
	return err
}

// Acknowledge immediately sends the currently acknowledged version to the leader if the client is
// connected and its send queue has room. The next heartbeat sends it in any case.
func (c *Client) Acknowledge() {
	if current := c.session.Load(); current != nil {
		current.acknowledge()
	}
}

// Announce immediately sends the current result of Presence to the leader if the client is
// connected and its send queue has room. The next heartbeat sends it in any case.
func (c *Client) Announce() {
	if c.config.Presence != nil {
		c.ReportPresence(c.config.Presence())
	}
}

// ReportPresence sends a proxy's presence if the client is connected and its send queue has room.
// It returns false if the message was dropped.
func (c *Client) ReportPresence(presence Presence) bool {
	current := c.session.Load()
	if current == nil {
		return false
	}
	return current.enqueue(&outgoing{kind: kindPresence, payload: encodePresence(presence)})
}

// ReportDemand sends a report if the client is connected and its send queue has room. It returns
// false if the report was dropped; the caller may add it to the next window. A report with more
// than maxDemands demands ends the connection.
func (c *Client) ReportDemand(report DemandReport) bool {
	current := c.session.Load()
	if current == nil {
		return false
	}
	return current.enqueue(&outgoing{kind: kindDemand, payload: encodeDemand(report)})
}
