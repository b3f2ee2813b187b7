package ingress

import (
	"cmp"
	"time"

	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// ErrConfig says that the configuration is of no use.
var ErrConfig = errors.New("ingress: invalid configuration")

// Config is what the data path runs with. Zero values take the defaults.
type Config struct {
	Name string
	Zone string
	// ListenAddress is where callers connect, ReadyAddress where health is
	// asked for, MetricsAddress where metrics are read; IP and port.
	ListenAddress  string
	ReadyAddress   string
	ReadyPath      string
	MetricsAddress string
	// FeedAddresses are where members of the control group may be; Seeds returns
	// where they may be by settings that change, nil for none.
	FeedAddresses []string
	Seeds         func() []string
	// RelayAddress is where this proxy passes placements on for proxies that are
	// cut off from the members; empty: it does not. RelayOf returns that address of
	// the proxy that callers reach at an address; nil: none is known.
	RelayAddress string
	RelayOf      func(callersAddress string) string

	Retry RetryBudget
	Drain Drain
	// LeaveNotice is how long a replica that says it leaves may still be asked where no
	// other is left; 0 for not at all.
	LeaveNotice time.Duration
	Dialect     Dialect
	Timeouts    Timeouts
	Silence     Silence
	Keys        Keys
	// Quotas says by which windows the quotas of tenants are kept; the zero Rule: not at all.
	Quotas quota.Rule
	// UsageWindow is the length of the windows by which requests that began are counted
	// for each tenant; 0: they are not.
	UsageWindow time.Duration
}

// Keys says what becomes of API keys while no leader confirms the view.
type Keys struct {
	// FailClosed refuses callers with keys once the view was not confirmed for so long
	// that a key which was taken away might still be taken; else what was held last goes on.
	FailClosed bool
	// RevokeWithin is how long after its removal a key may still be taken.
	RevokeWithin time.Duration
}

// Silence is how long callers bear with a stream that says nothing: the longest
// of Least, so many objectives of the first event and so many between events. A
// zero value says that they bear with it until their deadline.
type Silence struct {
	Least      time.Duration
	Objectives int
	Gaps       int
}

// of returns how long the callers of a route wait for a stream's next event; 0
// for as long as they wait at all.
func (s Silence) of(route *api.Route) time.Duration {
	if route.Kind != api.RouteStreaming || s == (Silence{}) {
		return 0
	}
	first := time.Duration(s.Objectives) * milliseconds(route.ObjectiveMilliseconds)
	between := time.Duration(s.Gaps) * milliseconds(route.GapMilliseconds)
	return max(s.Least, first, between)
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// RetryBudget bounds what all proxies together send beyond the first send of
// each request: within any window, a share of the requests plus a reserve.
type RetryBudget struct {
	Share   float64
	Reserve float64
	Window  time.Duration
	// Settle is how long a process that has just started leaves most of its part of
	// the reserve unused: the one before it may have spent it in the same window. 0
	// stands for a window, less than 0 for no time at all.
	Settle time.Duration
}

// Drain times a planned stop.
type Drain struct {
	// Notice is how long the proxy goes on taking requests after it has said
	// that it is leaving, Limit when the process has ended at the latest.
	Notice time.Duration
	// Late is from when on a request is refused that may not be over before Limit; what
	// came earlier may be cut then. Callers have heard by Late that the proxy leaves: those
	// that still come do so on connections which they keep, and can go elsewhere at once.
	Late  time.Duration
	Limit time.Duration
}

// Timeouts bound waits of the data path.
type Timeouts struct {
	Header time.Duration // of a caller's head
	Idle   time.Duration // of a caller's connection
	// Transit is what is kept off a deadline for the way back.
	Transit time.Duration
}

// Defaults of a Config.
const (
	DefaultHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout   = 60 * time.Second
	DefaultTransit       = 10 * time.Millisecond
	DefaultNotice        = 4500 * time.Millisecond
	DefaultLate          = 2500 * time.Millisecond
	DefaultDrainLimit    = 7500 * time.Millisecond
	DefaultRetryShare    = 0.1
	DefaultRetryReserve  = 50
	DefaultRetryWindow   = 10 * time.Second
	defaultReadyPath     = "/readyz"
	defaultMaxBodyBytes  = 8 << 20
)

// WithDefaults returns the configuration with zero values filled in.
func (c Config) WithDefaults() Config {
	c.ReadyPath = cmp.Or(c.ReadyPath, defaultReadyPath)
	c.Retry.Share = cmp.Or(c.Retry.Share, DefaultRetryShare)
	c.Retry.Reserve = cmp.Or(c.Retry.Reserve, DefaultRetryReserve)
	c.Retry.Window = cmp.Or(c.Retry.Window, DefaultRetryWindow)
	c.Retry.Settle = cmp.Or(c.Retry.Settle, c.Retry.Window)
	c.Drain.Notice = cmp.Or(c.Drain.Notice, DefaultNotice)
	c.Drain.Late = cmp.Or(c.Drain.Late, DefaultLate)
	c.Drain.Limit = cmp.Or(c.Drain.Limit, DefaultDrainLimit)
	c.Timeouts.Header = cmp.Or(c.Timeouts.Header, DefaultHeaderTimeout)
	c.Timeouts.Idle = cmp.Or(c.Timeouts.Idle, DefaultIdleTimeout)
	c.Timeouts.Transit = cmp.Or(c.Timeouts.Transit, DefaultTransit)
	return c
}

// Check returns every fault of the configuration.
func (c Config) Check() []api.FieldFault {
	var faults []api.FieldFault
	need := func(field string, ok bool) {
		if !ok {
			faults = append(faults, api.FieldFault{Field: field, Message: "is required"})
		}
	}
	need("name", c.Name != "")
	need("listenAddress", c.ListenAddress != "")
	need("feedAddresses", len(c.FeedAddresses) > 0)
	need("dialect", c.Dialect != nil)
	return faults
}
