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

// LossPolicy says what a proxy does for a type of service once its view lease
// has lapsed, because the whole control group is lost or out of reach.
type LossPolicy string

// Loss policies.
const (
	// LossServe goes on with the last view, but only towards back ends that
	// have themselves confirmed since the lapse that they serve.
	LossServe LossPolicy = "serve"
	// LossRefuse refuses with ran "no" and Retry-After.
	LossRefuse LossPolicy = "refuse"
)

// ControlLoss is the policy for each type of service.
type ControlLoss struct {
	Model   LossPolicy
	Backend LossPolicy
}

// Timeouts bound what a proxy waits for. A zero field takes its default.
type Timeouts struct {
	Dial time.Duration // connecting to an engine or a back end
	// Head is the wait for the head of an engine's answer, which comes with
	// its admission or refusal.
	Head time.Duration
	// FirstToken is the wait for the first token after admission.
	FirstToken time.Duration
	// Stall is the wait between two events of a stream.
	Stall time.Duration
	// Write is the wait for a caller that stopped reading.
	Write time.Duration
	// ReadHeader and ReadBody bound how long a caller may take to send.
	ReadHeader time.Duration
	ReadBody   time.Duration
	Idle       time.Duration // of callers' connections
	Claim      time.Duration // claims and outcomes at the control group
	Cancel     time.Duration // telling an engine that nobody waits any more
	// Deadline holds for requests whose class has none.
	Deadline time.Duration
}

// Limits bound what a proxy holds. A zero field takes its default.
type Limits struct {
	BodyBytes   int64   // of a request
	HeldBytes   int64   // of all requests of a type of service together
	AnswerBytes int64   // of an answer that is held until it is whole
	EventBytes  int     // of one stream event
	PollBytes   float64 // a second of all load reports and cache events
	MaxInFlight int     // of a lane whose service sets none
	QueueLimit  int     // of a class that sets none
	Attempts    int     // runs of one request
	Resumes     int     // of one run's stream
	// RetryShare is the share of the traffic that may be retries, RetryReserve
	// how many may be saved up.
	RetryShare   float64
	RetryReserve int
}

// Intervals of the proxy's periodic work. A zero field takes its default.
type Intervals struct {
	Load   time.Duration // between two load reports of a back end
	Cache  time.Duration // between two pages of cache events
	Demand time.Duration // between two demand reports
	View   time.Duration // between two looks for a new view
	Beat   time.Duration // between two beats to the control group
}

// Config is all that a proxy is told at its start.
type Config struct {
	ID            string
	Zone          string
	ListenAddress string // for callers
	AdminAddress  string // for health, metrics and debugging
	FeedAddresses []string
	OnControlLoss ControlLoss
	Timeouts      Timeouts
	Limits        Limits
	Intervals     Intervals
	Subset        subset.Sizes
	Speed         router.Speed
	Backoff       retry.Backoff
	Margin        retry.Margin
	// DrainNotice is how long a stopping proxy still accepts, while it is not
	// ready and every answer asks the caller to close the connection.
	DrainNotice time.Duration
	// DrainLimit bounds the wait for requests in flight; 0 means no bound.
	DrainLimit time.Duration
}

// Defaults of a Config.
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
	DefaultPollBytes    = 7000
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

// ErrConfig is returned for a configuration that a proxy cannot run with.
var ErrConfig = errors.New("invalid proxy configuration")

func (c Config) withDefaults() Config {
	c.OnControlLoss.Model = cmp.Or(c.OnControlLoss.Model, LossServe)
	c.OnControlLoss.Backend = cmp.Or(c.OnControlLoss.Backend, LossServe)
	c.Timeouts.setDefaults()
	c.Limits.setDefaults()
	c.Intervals.setDefaults()
	c.Subset = cmp.Or(c.Subset, subset.DefaultSizes)
	c.Backoff = cmp.Or(c.Backoff, retry.Backoff{Base: DefaultBackoffBase, Cap: DefaultBackoffCap})
	c.Margin = cmp.Or(c.Margin, retry.Margin{Least: DefaultMarginLeast, Share: DefaultMarginShare})
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
		return errors.Wrap(ErrConfig, "no ID")
	}
	if len(c.FeedAddresses) == 0 {
		return errors.Wrap(ErrConfig, "no feed addresses")
	}
	for _, address := range []string{c.ListenAddress, c.AdminAddress} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return errors.Wrapf(ErrConfig, "address %q: %s", address, err)
		}
	}
	for _, policy := range []LossPolicy{c.OnControlLoss.Model, c.OnControlLoss.Backend} {
		if policy != LossServe && policy != LossRefuse {
			return errors.Wrapf(ErrConfig, "loss policy %q", policy)
		}
	}
	return nil
}
