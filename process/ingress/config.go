package ingress

import (
	"cmp"
	"time"

	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// ErrConfig is returned for an invalid configuration.
var ErrConfig = errors.New("ingress: invalid configuration")

// Config is the configuration of the data path. Zero values take the defaults.
type Config struct {
	Name string
	Zone string
	// ListenAddress serves callers, ReadyAddress health checks, MetricsAddress metrics; each is
	// an IP and port.
	ListenAddress  string
	ReadyAddress   string
	ReadyPath      string
	MetricsAddress string
	// FeedAddresses are possible addresses of control group members; Seeds returns further ones
	// from settings that may change, nil for none.
	FeedAddresses []string
	Seeds         func() []string
	// RelayAddress is where this proxy relays placement requests for proxies that cannot reach
	// the control group; empty for no relay. RelayOf returns the relay address of the proxy with
	// the given address for callers; nil if unknown.
	RelayAddress string
	RelayOf      func(callersAddress string) string

	Retry RetryBudget
	Drain Drain
	// LeaveNotice is how long a replica that announced its departure may still be sent requests
	// if there is no other one; 0 for not at all.
	LeaveNotice time.Duration
	Dialect     Dialect
	Timeouts    Timeouts
	Silence     Silence
	Keys        Keys
	// Quotas defines the windows of tenant quotas; the zero Rule disables quotas.
	Quotas quota.Rule
	// UsageWindow is the length of the windows in which started requests are counted per tenant;
	// 0 disables counting.
	UsageWindow time.Duration
}

// Keys configures the use of API keys while no leader confirms the view.
type Keys struct {
	// FailClosed refuses callers with keys once the view has been unconfirmed for so long that a
	// revoked key might still be accepted. Otherwise the last known keys remain valid.
	FailClosed bool
	// RevokeWithin is how long a key may still be accepted after its revocation.
	RevokeWithin time.Duration
}

// Silence is how long callers tolerate a stream without events: the maximum of Least, Objectives
// times the objective for the first event, and Gaps times the one between events. With the zero
// value they wait until their deadline.
type Silence struct {
	Least      time.Duration
	Objectives int
	Gaps       int
}

// of returns how long the callers of a route wait for a stream's next event; 0 for no limit but
// the deadline.
func (s Silence) of(route *api.Route) time.Duration {
	if route.Kind != api.RouteStreaming || s == (Silence{}) {
		return 0
	}
	first := time.Duration(s.Objectives) * milliseconds(route.ObjectiveMilliseconds)
	between := time.Duration(s.Gaps) * milliseconds(route.GapMilliseconds)
	return max(s.Least, first, between)
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// RetryBudget limits what all proxies together send beyond the first send of each request: within
// any window, a share of the requests plus a reserve.
type RetryBudget struct {
	Share   float64
	Reserve float64
	Window  time.Duration
	// Settle is how long a process that has just started leaves most of its part of the reserve
	// unused, since its predecessor may have spent it in the same window. 0 stands for Window, a
	// negative value for no time at all.
	Settle time.Duration
}

// Drain configures a planned stop.
type Drain struct {
	// Notice is how long the proxy goes on accepting requests after it has reported that it is
	// stopping, Limit when the process has ended at the latest.
	Notice time.Duration
	// Late is the time after which requests that may outlast Limit are refused; earlier ones may
	// be cut at Limit. By Late callers have learned that the proxy is stopping. Those that still
	// arrive use connections that they keep open, and can turn to another proxy at once.
	Late  time.Duration
	Limit time.Duration
}

// Timeouts limits waits of the data path.
type Timeouts struct {
	Header time.Duration // for a caller's head
	Idle   time.Duration // for a caller's connection
	// Transit is subtracted from a deadline for the answer's way back.
	Transit time.Duration
}

// Defaults of Config.
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

// WithDefaults returns the configuration with zero values replaced by the defaults.
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

// Check returns all faults of the configuration.
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
