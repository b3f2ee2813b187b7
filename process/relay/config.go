package relay

import (
	"cmp"
	"time"

	"github.com/pkg/errors"
)

// ErrConfig means that a required setting is missing from a Config.
var ErrConfig = errors.New("relay: invalid configuration")

// Config configures a relay. Zero durations and limits are replaced by the defaults.
type Config struct {
	// Name identifies the relay among all daemons that subscribe to the feed.
	Name string
	// Zone is the relay's zone, as sent to the control group.
	Zone string
	// FeedAddress serves the feed to daemons, AdminAddress serves health and
	// metrics. Both are an IP address and a port.
	FeedAddress  string
	AdminAddress string
	// Control lists the feed addresses of the control group's members.
	Control []string
	// MaxLease is the maximum view lease granted to daemons. It must be at most half
	// of the control group's view lease, which is not checked here. The relay's own
	// lease then outlasts the wait for a hanging daemon (see ackTimeoutDivisor), so
	// that a hanging daemon delays no other daemon behind the relay.
	MaxLease time.Duration
	// BeatInterval is the interval between renewals of the relay's own lease.
	BeatInterval time.Duration
	// DemandInterval is the interval between reports of the daemons' aggregated demand.
	DemandInterval time.Duration
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
	DefaultMaxLease       = 1500 * time.Millisecond
	DefaultBeatInterval   = 500 * time.Millisecond
	DefaultDemandInterval = time.Second
	DefaultClaimTimeout   = 5 * time.Second
	DefaultStopTimeout    = 10 * time.Second
	DefaultMaxDaemons     = 1024
)

// ackTimeoutDivisor divides the lease to give the interval at which the feed server
// updates the version that a daemon must have acknowledged to be granted a further
// lease. A version is required one to two intervals, at most half a lease, after it
// was applied. The last lease on an older version ends one lease later, so the control
// group waits at most a lease and a half for a hanging daemon. This is less than the
// relay's own lease lasts if Config limits the daemons' lease as required.
const ackTimeoutDivisor = 4

func (c Config) withDefaults() Config {
	c.MaxLease = cmp.Or(c.MaxLease, DefaultMaxLease)
	c.BeatInterval = cmp.Or(c.BeatInterval, DefaultBeatInterval)
	c.DemandInterval = cmp.Or(c.DemandInterval, DefaultDemandInterval)
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
