package proxy

import (
	"cmp"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/request/retry"
	"github.com/landingtrail/landingtrail/request/router"
	"github.com/landingtrail/landingtrail/version/subset"
)

// LossPolicy defines how a proxy handles requests to a type of service after its view lease has
// expired because the whole control group is down or unreachable.
type LossPolicy string

// Loss policies.
const (
	// LossServe keeps serving by the last view, but only through engines and backends that have
	// reported since the lease expired that they serve.
	LossServe LossPolicy = "serve"
	// LossRefuse rejects requests as not run (ran "no"), with a Retry-After header.
	LossRefuse LossPolicy = "refuse"
)

// ControlLoss holds the LossPolicy of each type of service; empty means LossServe.
type ControlLoss struct {
	Model   LossPolicy
	Backend LossPolicy
}

// Timeouts limit how long a proxy waits for other parties. A zero field takes its default.
type Timeouts struct {
	Dial time.Duration // connecting to an engine or a backend
	// Head is the wait for the status line and headers of an engine's response, which tell
	// whether the engine admitted or refused the request.
	Head time.Duration
	// FirstToken is the wait for the first token after the engine has admitted the request.
	FirstToken time.Duration
	// Stall is the wait between two events of a stream.
	Stall time.Duration
	// Write is the wait of one write for a caller that has stopped reading.
	Write time.Duration
	// ReadHeader and ReadBody limit how long a caller may take to send a request.
	ReadHeader time.Duration
	ReadBody   time.Duration
	Idle       time.Duration // keep-alive of callers' idle connections
	Claim      time.Duration // requesting a claim from, or recording an outcome at, the control group
	Cancel     time.Duration // sending a cancellation to an engine
	// Deadline applies to requests that carry none and whose class has none.
	Deadline time.Duration
}

// Limits bound the resources that a proxy uses. A zero field takes its default.
type Limits struct {
	BodyBytes   int64   // size of a request body
	HeldBytes   int64   // total size of the request bodies in memory, per type of service
	AnswerBytes int64   // size of a response that is buffered until it is complete
	EventBytes  int     // size of one stream event
	PollBytes   float64 // traffic of polls for load reports and cache events, sent and received, per second
	MaxInFlight int     // concurrent requests of a service that sets no limit
	QueueLimit  int     // queued requests of a class that sets no limit
	Attempts    int     // runs of one request
	Resumes     int     // resumptions of one run's stream
	// RetryShare is the ratio of retries to requests that the retry budget allows; RetryReserve
	// is the maximum number of unused retries that it accumulates.
	RetryShare   float64
	RetryReserve int
}

// Intervals of the proxy's periodic tasks. A zero field takes its default.
type Intervals struct {
	Load   time.Duration // polling an endpoint's load report
	Cache  time.Duration // polling an engine's cache events
	Demand time.Duration // reporting demand to the control group
	View   time.Duration // checking for a new view
	Beat   time.Duration // sending heartbeats to the control group
}

// Config is the configuration of a proxy.
type Config struct {
	ID            string // unique among the proxies of the control group
	Zone          string
	ListenAddress string   // for callers
	AdminAddress  string   // for health, metrics and debugging
	FeedAddresses []string // of the control group's members
	OnControlLoss ControlLoss
	Timeouts      Timeouts
	Limits        Limits
	Intervals     Intervals
	Subset        subset.Sizes
	Speed         router.Speed
	Backoff       retry.Backoff
	Margin        retry.Margin // time that the proxy keeps of a deadline for itself
	// DrainNotice is how long a proxy in a planned stop keeps accepting requests, while it
	// reports that it is not ready and every response asks the caller to close the connection.
	DrainNotice time.Duration
	// DrainLimit limits the wait for requests in flight after DrainNotice; 0 means no limit.
	DrainLimit time.Duration
}

// Default values of Config.
const (
	DefaultDialTimeout       = time.Second
	DefaultHeadTimeout       = 3 * time.Second
	DefaultFirstTokenTimeout = 20 * time.Second
	DefaultStallTimeout      = 10 * time.Second
	DefaultWriteTimeout      = 10 * time.Second
	DefaultReadHeaderTimeout = 10 * time.Second
	DefaultReadBodyTimeout   = 30 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
	DefaultClaimTimeout      = 2 * time.Second
	DefaultCancelTimeout     = time.Second
	DefaultDeadline          = 60 * time.Second

	DefaultBodyBytes    = 1 << 20
	DefaultHeldBytes    = 64 << 20
	DefaultAnswerBytes  = 4 << 20
	DefaultEventBytes   = 256 << 10
	DefaultPollBytes    = 7000 // per second
	DefaultMaxInFlight  = 256
	DefaultQueueLimit   = 128
	DefaultAttempts     = 4
	DefaultResumes      = 3
	DefaultRetryShare   = 0.2
	DefaultRetryReserve = 20

	DefaultLoadInterval   = 250 * time.Millisecond
	DefaultCacheInterval  = 500 * time.Millisecond
	DefaultDemandInterval = time.Second
	DefaultViewInterval   = 20 * time.Millisecond
	DefaultBeatInterval   = 500 * time.Millisecond

	DefaultBackoffBase = 10 * time.Millisecond
	DefaultBackoffCap  = 500 * time.Millisecond
	DefaultMarginLeast = 2 * time.Millisecond
	DefaultMarginShare = 0.01
	DefaultDrainNotice = time.Second
)

// ErrConfig is returned when a Config is invalid.
var ErrConfig = errors.New("invalid proxy configuration")

func (c Config) withDefaults() Config {
	c.OnControlLoss.Model = cmp.Or(c.OnControlLoss.Model, LossServe)
	c.OnControlLoss.Backend = cmp.Or(c.OnControlLoss.Backend, LossServe)
	c.Timeouts.setDefaults()
	c.Limits.setDefaults()
	c.Intervals.setDefaults()
	c.Subset = cmp.Or(c.Subset, subset.DefaultSizes)
	c.Backoff = cmp.Or(c.Backoff, retry.Backoff{Base: DefaultBackoffBase, Cap: DefaultBackoffCap})
	c.Margin = cmp.Or(c.Margin, retry.Margin{Minimum: DefaultMarginLeast, Share: DefaultMarginShare})
	c.DrainNotice = cmp.Or(c.DrainNotice, DefaultDrainNotice)
	return c
}

func (t *Timeouts) setDefaults() {
	t.Dial = cmp.Or(t.Dial, DefaultDialTimeout)
	t.Head = cmp.Or(t.Head, DefaultHeadTimeout)
	t.FirstToken = cmp.Or(t.FirstToken, DefaultFirstTokenTimeout)
	t.Stall = cmp.Or(t.Stall, DefaultStallTimeout)
	t.Write = cmp.Or(t.Write, DefaultWriteTimeout)
	t.ReadHeader = cmp.Or(t.ReadHeader, DefaultReadHeaderTimeout)
	t.ReadBody = cmp.Or(t.ReadBody, DefaultReadBodyTimeout)
	t.Idle = cmp.Or(t.Idle, DefaultIdleTimeout)
	t.Claim = cmp.Or(t.Claim, DefaultClaimTimeout)
	t.Cancel = cmp.Or(t.Cancel, DefaultCancelTimeout)
	t.Deadline = cmp.Or(t.Deadline, DefaultDeadline)
}

func (l *Limits) setDefaults() {
	l.BodyBytes = cmp.Or(l.BodyBytes, DefaultBodyBytes)
	l.HeldBytes = cmp.Or(l.HeldBytes, max(DefaultHeldBytes, l.BodyBytes))
	l.AnswerBytes = cmp.Or(l.AnswerBytes, DefaultAnswerBytes)
	l.EventBytes = cmp.Or(l.EventBytes, DefaultEventBytes)
	l.PollBytes = cmp.Or(l.PollBytes, DefaultPollBytes)
	l.MaxInFlight = cmp.Or(l.MaxInFlight, DefaultMaxInFlight)
	l.QueueLimit = cmp.Or(l.QueueLimit, DefaultQueueLimit)
	l.Attempts = cmp.Or(l.Attempts, DefaultAttempts)
	l.Resumes = cmp.Or(l.Resumes, DefaultResumes)
	l.RetryShare = cmp.Or(l.RetryShare, DefaultRetryShare)
	l.RetryReserve = cmp.Or(l.RetryReserve, DefaultRetryReserve)
}

func (i *Intervals) setDefaults() {
	i.Load = cmp.Or(i.Load, DefaultLoadInterval)
	i.Cache = cmp.Or(i.Cache, DefaultCacheInterval)
	i.Demand = cmp.Or(i.Demand, DefaultDemandInterval)
	i.View = cmp.Or(i.View, DefaultViewInterval)
	i.Beat = cmp.Or(i.Beat, DefaultBeatInterval)
}

func (c *Config) check() error {
	if c.ID == "" {
		return errors.Wrap(ErrConfig, "ID is empty")
	}
	if len(c.FeedAddresses) == 0 {
		return errors.Wrap(ErrConfig, "no feed address is configured")
	}
	for _, address := range []string{c.ListenAddress, c.AdminAddress} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return errors.Wrapf(ErrConfig, "invalid listen address %q: %s", address, err)
		}
	}
	for _, policy := range []LossPolicy{c.OnControlLoss.Model, c.OnControlLoss.Backend} {
		if policy != LossServe && policy != LossRefuse {
			return errors.Wrapf(ErrConfig, "unknown control loss policy %q", policy)
		}
	}
	return nil
}
