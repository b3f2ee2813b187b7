package relay

import (
	"cmp"
	"time"

	"github.com/pkg/errors"
)

// ErrConfig means that a required setting is missing from a Config.
var ErrConfig = errors.New("relay: invalid configuration")

// Config configures a relay. Zero durations and limits are replaced by the
// defaults.
type Config struct {
	// Name identifies the relay among all daemons that subscribe to the feed.
	Name string
	Zone string
	// FeedAddress serves the feed to daemons, AdminAddress serves health and
	// metrics. Both are an IP address and a port.
	FeedAddress  string
	AdminAddress string
	// Control lists the feed addresses of the control group's members.
	Control []string
	// Lease is the maximum view lease granted to daemons. It must be at most half
	// of the control group's view lease, so that a hanging daemon delays no other
	// daemon.
	Lease time.Duration
	// Beat is the interval between renewals of the relay's own lease.
	Beat time.Duration
	// Demand is the interval between reports of the daemons' aggregated demand.
	Demand time.Duration
	// ClaimTimeout bounds the wait for the control group's reply to a claim or an
	// outcome.
	ClaimTimeout time.Duration
	// StopTimeout bounds the draining of daemons with pending claims on shutdown.
	StopTimeout time.Duration
	// MaxDaemons is the maximum number of subscribed daemons.
	MaxDaemons int
}

// Defaults of a Config.
const (
	DefaultLease        = 1500 * time.Millisecond
	DefaultBeat         = 500 * time.Millisecond
	DefaultDemand       = time.Second
	DefaultClaimTimeout = 5 * time.Second
	DefaultStopTimeout  = 10 * time.Second
	DefaultMaxDaemons   = 1024
)

// floorIntervalDivisor divides the lease to give the time after which a daemon that
// has not acknowledged a version is granted no further lease. Its last lease ends
// one lease later, so the control group waits at most a lease and a half for a
// hanging daemon, less than the relay's own lease lasts.
const ackTimeoutDivisor = 4

func (c Config) withDefaults() Config {
	c.Lease = cmp.Or(c.Lease, DefaultLease)
	c.Beat = cmp.Or(c.Beat, DefaultBeat)
	c.Demand = cmp.Or(c.Demand, DefaultDemand)
	c.ClaimTimeout = cmp.Or(c.ClaimTimeout, DefaultClaimTimeout)
	c.StopTimeout = cmp.Or(c.StopTimeout, DefaultStopTimeout)
	c.MaxDaemons = cmp.Or(c.MaxDaemons, DefaultMaxDaemons)
	return c
}

func (c Config) validate() error {
	switch {
	case c.Name == "":
		return errors.Wrap(ErrConfig, "no name")
	case c.FeedAddress == "":
		return errors.Wrap(ErrConfig, "no feed address")
	case c.AdminAddress == "":
		return errors.Wrap(ErrConfig, "no admin address")
	case len(c.Control) == 0:
		return errors.Wrap(ErrConfig, "no control members")
	}
	return nil
}
