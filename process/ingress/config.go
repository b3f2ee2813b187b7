package ingress

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// ErrConfig is returned for an invalid configuration.
var ErrConfig = errors.New("ingress: invalid configuration")

// Config is the configuration of the data path. Zero values of Retry, Drain, Timeouts and
// ReadyPath take the defaults.
type Config struct {
	Name string // identifies this proxy to the control group; required
	Zone string // replicas in the same zone are preferred
	// ListenAddress serves callers, ReadyAddress health checks, MetricsAddress metrics; each is an
	// IP:port. Only ListenAddress is required.
	ListenAddress  string
	ReadyAddress   string
	ReadyPath      string // answered 200 at ReadyAddress while callers may be sent here
	MetricsAddress string
	// FeedAddresses are possible addresses of control group members; Seeds returns further ones
	// from settings that may change, nil for none.
	FeedAddresses []string
	Seeds         func() []string
	// RelayAddress is where this proxy relays placement requests for proxies that cannot reach the
	// control group; empty for no relay. RelayAddressOf maps a proxy's ListenAddress to its relay
	// address, empty if it has none; a nil function means that no proxy has one.
	RelayAddress   string
	RelayAddressOf func(callersAddress string) string

	// Dial opens connections to replicas; nil selects the system's dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	Retry RetryBudget
	Drain Drain
	// LeaveNotice is how long a replica that announced its departure may still be sent requests if
	// no other replica accepts them; 0 for not at all.
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
	// FailClosed refuses callers with keys once the view has been unconfirmed for most of
	// RevokeWithin, since a key may have been revoked in the meantime. Otherwise the last known
	// keys remain valid.
	FailClosed bool
	// RevokeWithin is how long a key may still be accepted after its revocation.
	RevokeWithin time.Duration
}

// Silence defines how long callers tolerate a stream without events. The limit is the largest of
// Min, of Objectives times the route's objective for the first event, and of Gaps times its
// objective for the time between events. The zero value sets no limit, so that callers wait until
// their deadline.
type Silence struct {
	Min        time.Duration
	Objectives int
	Gaps       int
}

// limitFor returns how long the callers of a route wait for a stream's next event; 0 if only the
// deadline limits it.
func (s Silence) limitFor(route *api.Route) time.Duration {
	if route.Kind != api.RouteStreaming || s == (Silence{}) {
		return 0
	}
	first := time.Duration(s.Objectives) * milliseconds(route.ObjectiveMilliseconds)
	between := time.Duration(s.Gaps) * milliseconds(route.GapMilliseconds)
	return max(s.Min, first, between)
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// RetryBudget limits the retries of all proxies together for each service. In any period of the
// length Window, at most Share times the number of requests plus Reserve are allowed.
type RetryBudget struct {
	Share   float64 // retries per request
	Reserve float64 // retries
	Window  time.Duration
	// Settle is how long a process that has just started leaves its part of the reserve unused, since
	// the process before it may have spent it in the same window. 0 means Window; a negative value
	// means no time at all.
	Settle time.Duration
}

// Drain configures a planned stop; all times count from its start.
type Drain struct {
	// Notice is how long the proxy goes on accepting connections after it has reported that it is
	// stopping. At Limit the remaining requests are cancelled; the process ends at most 5 % of
	// Limit later.
	Notice time.Duration
	// From RefuseAfter on, requests that may outlast Limit are refused; those that arrive earlier
	// may be cut at Limit. By then callers are expected to know that the proxy is stopping. A
	// request that still arrives uses a connection that its caller has kept open, and the caller
	// can send it to another proxy at once.
	RefuseAfter time.Duration
	Limit       time.Duration
}

// Timeouts limits waits of the data path.
type Timeouts struct {
	Header time.Duration // for the head of a caller's request
	Idle   time.Duration // of a caller's connection between two requests
	// CallerStall is how long a caller may take nothing of its answer until the answer is ended. It is
	// shorter than the time after which replicas end an answer that is left unread.
	CallerStall time.Duration
	// Transit is subtracted from a request's remaining time to allow for the way of the answer
	// back to the caller.
	Transit time.Duration
}

// Defaults of Config. In a planned stop, DefaultRefuseAfter comes before DefaultNotice, and that
// before DefaultDrainLimit.
const (
	DefaultHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout   = 60 * time.Second
	DefaultCallerStall   = 2 * time.Second
	DefaultTransit       = 10 * time.Millisecond
	DefaultNotice        = 4500 * time.Millisecond
	DefaultRefuseAfter   = 2500 * time.Millisecond
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
	c.Drain.RefuseAfter = cmp.Or(c.Drain.RefuseAfter, DefaultRefuseAfter)
	c.Drain.Limit = cmp.Or(c.Drain.Limit, DefaultDrainLimit)
	c.Timeouts.Header = cmp.Or(c.Timeouts.Header, DefaultHeaderTimeout)
	c.Timeouts.Idle = cmp.Or(c.Timeouts.Idle, DefaultIdleTimeout)
	c.Timeouts.CallerStall = cmp.Or(c.Timeouts.CallerStall, DefaultCallerStall)
	c.Timeouts.Transit = cmp.Or(c.Timeouts.Transit, DefaultTransit)
	return c
}

// Check returns the required fields that are missing.
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
