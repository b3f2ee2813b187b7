package relay

import (
	"cmp"
	"time"

	"github.com/pkg/errors"
)

// ErrConfig says that a configuration is of no use.
var ErrConfig = errors.New("relay: invalid configuration")

// Config holds what a relay runs with. Zero durations and bounds take the
// defaults.
type Config struct {
	// Name identifies the relay among all daemons that follow the feed.
	Name string
	Zone string
	// FeedAddress is where daemons follow it, AdminAddress where health and
	// metrics are served. Both are an IP and a port.
	FeedAddress  string
	AdminAddress string
	// Control are the feed addresses of the control members.
	Control []string
	// Lease is the longest view lease that is passed on; half of the group's
	// view lease or less, so that a daemon that hangs holds up only itself.
	Lease time.Duration
	// Beat is the time between two confirmations of the relay's own lease.
	Beat time.Duration
	// Demand is the time between two reports of the daemons' summed demand.
	Demand time.Duration
	// ClaimTimeout bounds the wait for the group's answer to a claim.
	ClaimTimeout time.Duration
	// StopTimeout bounds a planned stop: answering claims that are under way.
	StopTimeout time.Duration
	// MaxDaemons bounds the daemons that follow the relay.
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

// floorShare is the part of the lease after which a daemon that has not
// acknowledged a version gets no lease any more. Its last lease ends one lease
// later, so the group waits for a hanging daemon a lease and a half at most,
// less than the relay's own lease lasts.
const floorIntervalDivisor = 4

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
