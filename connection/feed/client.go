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
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/pkg/errors"
)

// ClientConfig holds what a Client is created with. Zero durations and bounds
// take the defaults.
type ClientConfig struct {
	// Daemon identifies the subscriber; no two running daemons share it.
	Daemon string
	Zone   string
	// Addresses are the feed addresses of the control members.
	Addresses []string
	// MoreAddresses returns further feed addresses, learned while running; nil
	// returns none. It is asked before each round of tries.
	MoreAddresses func() []string
	// Served is called each time a leader has begun to serve the client; it must
	// not block. nil: nothing is called.
	Served func()
	// Resumed is called when a leader that was silent is heard again, and others were
	// told of placements meanwhile; it must not block. nil: nothing is called.
	Resumed func()
	// Unrecorded is called with what a member tells of replicas that ended while the record can't
	// tell it; it must not block. nil: nothing is called.
	Unrecorded func(report EndReport)
	// Standby has any other member place requests while no leader serves the
	// client.
	Standby bool
	// Partial has the views hold the daemon's own subset of the replicas of large services;
	// Listed returns others that answers have named.
	Partial bool
	// StandbyRelays returns the feed addresses of other daemons that pass
	// placements on; nil returns none. It is asked before each round of tries.
	StandbyRelays func() []string
	// Presence returns what the daemon says of itself with each beat; nil says
	// nothing.
	Presence func() Presence
	// Day is called with the group's time of day that came in answer to a beat which was
	// sent and answered then; it must not block. nil: nothing is called.
	Day func(sent, answered time.Duration, day int64)
	// BeatInterval is the time between two beats; the view lease should be
	// several times as long.
	BeatInterval time.Duration
	DialTimeout  time.Duration
	// WriteTimeout bounds each write, SilenceTimeout the time without any frame
	// from the leader after which another member is tried.
	WriteTimeout   time.Duration
	SilenceTimeout time.Duration
	// BackoffMin and BackoffMax bound the pause between two tries; each pause
	// is drawn from the upper half of its range.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// HandoverWait is how long claims and outcomes wait for the next leader
	// after the last one said that it leads no more. Later, and when a leader
	// was lost without a word, they are refused at once.
	HandoverWait time.Duration
	// MaxInFlight bounds the claims and outcomes that wait for a reply.
	MaxInFlight int
	// Dial opens the connections; nil uses a net.Dialer with DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Clock reads the monotonic clock by which the views' lease counts; nil
	// counts from the start of the process.
	Clock  func() time.Duration
	Logger log.Logger
}

// Defaults of a ClientConfig.
const (
	DefaultBeatInterval   = 500 * time.Millisecond
	DefaultDialTimeout    = 2 * time.Second
	DefaultWriteTimeout   = 5 * time.Second
	DefaultSilenceTimeout = 3 * time.Second
	DefaultBackoffMin     = 50 * time.Millisecond
	DefaultBackoffMax     = 2 * time.Second
	DefaultHandoverWait   = 500 * time.Millisecond
	DefaultMaxInFlight    = 1024
)

func (c ClientConfig) withDefaults() ClientConfig {
	c.BeatInterval = orDefault(c.BeatInterval, DefaultBeatInterval)
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

// orDefault returns value, or fallback when value is not positive.
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
	standby       atomic.Pointer[session] // nil while no member stands by for one
	leaderLost    chan struct{}           // has an item once a leader serves the client no more, or is silent
	lastLeader    atomic.Pointer[string]  // the address of the one that served last
	handover      *handover
	shares        atomic.Pointer[shares] // of the replicas that views holds
	namedReplicas namedReplicas
	requestID     atomic.Uint64
	slots         chan struct{} // one for each claim or outcome in flight
	context       context.Context
	cancel        context.CancelFunc
	done          sync.WaitGroup
}

// Dial starts a client that connects in the background, finds the leader among
// the addresses and keeps views up to date until Close. It returns ErrConfig
// when the configuration lacks the daemon or the addresses.
func Dial(config ClientConfig, views Views) (*Client, error) {
	if config.Daemon == "" {
		return nil, errors.Wrap(ErrConfig, "no daemon")
	}
	if len(config.Addresses) == 0 {
		return nil, errors.Wrap(ErrConfig, "no addresses")
	}
	client := &Client{config: config.withDefaults(), views: views, instance: rand.Uint64()}
	client.handover = newHandover(client.config.HandoverWait)
	client.slots = make(chan struct{}, client.config.MaxInFlight)
	client.context, client.cancel = context.WithCancel(context.Background())
	client.leaderLost = make(chan struct{}, 1)
	client.done.Go(client.follow)
	if client.config.Standby {
		client.done.Go(client.runStandby)
	}
	return client, nil
}

// Close ends the connection and waits for the client's goroutines. Requests
// that wait for a reply get ErrOutcomeUnknown.
func (c *Client) Close() {
	c.cancel()
	c.done.Wait()
}

// Connected reports whether a leader serves the client now.
func (c *Client) Connected() bool { return c.session.Load() != nil }

// Claim commits the claim and returns the group's answer. ErrNoQuorum is sure:
// the claim was not and will not be committed. After ErrOutcomeUnknown it may
// have been granted; the same request (same nonce) may be sent again and gets
// the same answer. A claim with an unknown outcome must not be dispatched.
func (c *Client) Claim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error) {
	reply, err := c.call(ctx, kindClaim, func(id uint64) []byte { return encodeClaim(id, request) })
	return reply.result, err
}

// RecordOutcome commits what became of a claimed run. Errors are those of
// Claim; recording the same outcome again changes nothing.
func (c *Client) RecordOutcome(ctx context.Context, outcome state.RunOutcome) error {
	_, err := c.call(ctx, kindOutcome, func(id uint64) []byte { return encodeOutcome(id, outcome) })
	return err
}

// Acknowledge tells the leader at once which version is acknowledged now, if
// the client is connected; the next beat tells it in any case.
func (c *Client) Acknowledge() {
	if current := c.session.Load(); current != nil {
		current.acknowledge()
	}
}

// Announce tells the leader at once what Presence returns now, if the client is
// connected; the next beat tells it in any case.
func (c *Client) Announce() {
	if c.config.Presence != nil {
		c.ReportPresence(c.config.Presence())
	}
}

// ReportPresence sends a proxy's word on itself if the client is connected and
// its queue has room; it returns false when it was dropped.
func (c *Client) ReportPresence(presence Presence) bool {
	current := c.session.Load()
	if current == nil {
		return false
	}
	return current.enqueue(&outgoing{kind: kindPresence, payload: encodePresence(presence)})
}

// ReportDemand sends a report if the client is connected and its queue has
// room. It returns false when the report was dropped; the caller may add it to
// the next window.
func (c *Client) ReportDemand(report DemandReport) bool {
	current := c.session.Load()
	if current == nil {
		return false
	}
	return current.enqueue(&outgoing{kind: kindDemand, payload: encodeDemand(report)})
}
