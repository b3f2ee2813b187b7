// Package relay implements a daemon that forwards the control group's feed, so that
// the leader serves one relay instead of every daemon behind it.
//
// The feed sends daemons the view, the control group's replicated configuration, as
// deltas, and grants leases on it. Daemons renew their lease with periodic messages,
// the heartbeats. A version of the view is in force once no daemon uses an older one under
// a valid lease.
//
// To the control group a relay is one more daemon that subscribes to the feed; to
// daemons it serves the feed as a leader does. It gives the guarantee of view.Relay:
// a version that the group considers in force is in force at every daemon behind the
// relay, and no daemon uses its view beyond the relay's own lease. Claims are
// forwarded individually, demand is aggregated. A relay stores nothing on disk.
package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/admin"
	"github.com/landingtrail/landingtrail/process/clock"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/version/view"
)

// relayedViews is the relay's view. The feed client updates it, and every update
// wakes the feed server.
type relayedViews struct {
	*view.Relay
	server atomic.Pointer[feed.Server]
}

// Apply applies the delta to the view and wakes the daemons' subscriptions.
func (v *relayedViews) Apply(delta view.Delta) error {
	err := v.Relay.Apply(delta)
	if server := v.server.Load(); err == nil && server != nil {
		server.Wake()
	}
	return err
}

// Relay is one running relay.
type Relay struct {
	config            Config
	logger            log.Logger
	clock             func() time.Duration
	views             *relayedViews
	group             *group
	client            *feed.Client
	server            *feed.Server
	heartbeatReceived chan struct{} // signals that a daemon's heartbeat arrived
	admin             *admin.Server
	background        sync.WaitGroup
}

// Run runs a relay until ctx ends. It returns ErrConfig for an invalid configuration,
// the error if the relay cannot listen or subscribe, and nil after ctx has ended.
func Run(ctx context.Context, config Config, logger log.Logger) error {
	r, err := open(config, logger)
	if err != nil {
		return err
	}
	work, end := context.WithCancel(context.Background())
	r.background.Go(func() { r.acknowledge(work) })
	r.background.Go(func() { r.reportDemand(work) })
	event.RelayStarted.Log(logger, "feed", config.FeedAddress, "admin", r.admin.Addr(), "zone", config.Zone)
	<-ctx.Done()
	r.drain()
	end()
	r.close()
	event.RelayStopped.Log(logger)
	return nil
}

// open listens on the configured addresses, subscribes to the control group and
// starts serving daemons.
func open(config Config, logger log.Logger) (*Relay, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	r := &Relay{
		config:            config,
		logger:            logger,
		clock:             clock.Now,
		views:             &relayedViews{Relay: view.NewRelay(config.MaxLease, clock.Now())},
		heartbeatReceived: make(chan struct{}, 1),
	}
	listener, err := net.Listen("tcp", config.FeedAddress)
	if err != nil {
		return nil, errors.Wrap(err, "relay: listen on the feed address")
	}
	if err := r.follow(); err != nil {
		_ = listener.Close()
		return nil, err
	}
	r.serve(listener)
	if r.admin, err = admin.Listen("landingtrail-relay", config.AdminAddress, r.metrics(), r.readiness, logger); err != nil {
		r.server.Close()
		r.client.Close()
		return nil, err
	}
	return r, nil
}

// follow subscribes to the control group's feed.
func (r *Relay) follow() error {
	client, err := feed.Dial(feed.ClientConfig{
		Daemon:            r.config.Name,
		Zone:              r.config.Zone,
		Addresses:         r.config.Control,
		HeartbeatInterval: r.config.BeatInterval,
		MaxInFlight:       r.config.MaxDaemons * feed.DefaultMaxClaims,
		Clock:             r.clock,
		Logger:            r.logger,
	}, r.views)
	if err != nil {
		return errors.Wrap(err, "relay: subscribe to the control group")
	}
	r.client = client
	r.group = &group{
		relay:        r.views.Relay,
		upstream:     client,
		demand:       newDemandAggregator(r.clock()),
		clock:        r.clock,
		claimTimeout: r.config.ClaimTimeout,
	}
	return nil
}

// serve starts serving the feed to daemons.
func (r *Relay) serve(listener net.Listener) {
	r.server = feed.NewServer(feed.ServerConfig{
		Group:          r.group,
		ViewLease:      r.config.MaxLease,
		FloorInterval:  r.config.MaxLease / ackTimeoutDivisor,
		Tracker:        r.views.Tracker(),
		Limit:          func() time.Duration { return r.views.MaxLease(r.clock()) },
		Observed:       r.notifyBeat,
		MaxSubscribers: r.config.MaxDaemons,
		Clock:          r.clock,
		Logger:         r.logger,
	}, listener)
	r.views.server.Store(r.server)
}

// notifyBeat makes acknowledge check again without blocking; calls coalesce.
func (r *Relay) notifyBeat() {
	select {
	case r.heartbeatReceived <- struct{}{}:
	default:
	}
}

// acknowledge notifies the control group as soon as a version is in force at all
// daemons behind the relay, instead of with the next heartbeat.
func (r *Relay) acknowledge(ctx context.Context) {
	ticker := time.NewTicker(r.config.MaxLease / ackTimeoutDivisor)
	defer ticker.Stop()
	var acknowledged view.Version
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.heartbeatReceived:
		case <-ticker.C:
		}
		if reached := r.views.Acknowledge(r.clock()); reached != acknowledged {
			acknowledged = reached
			r.client.Acknowledge()
		}
	}
}

// reportDemand sends the daemons' aggregated demand once per interval.
func (r *Relay) reportDemand(ctx context.Context) {
	ticker := time.NewTicker(r.config.DemandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := r.clock()
		report := r.group.demand.report(now)
		r.group.demand.finishReport(report, r.client.ReportDemand(report), now)
	}
}

// drainPollInterval is how often a stopping relay checks whether its daemons have
// disconnected.
const drainPollInterval = 10 * time.Millisecond

// drain redirects each daemon to another address once its pending claims are
// answered, and waits until all have disconnected or StopTimeout has passed.
func (r *Relay) drain() {
	event.RelayDraining.Log(r.logger, "daemons", r.server.Subscribers())
	r.group.stopping.Store(true)
	r.server.Wake()
	limit := time.NewTimer(r.config.StopTimeout)
	defer limit.Stop()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for r.server.Subscribers() > 0 {
		select {
		case <-limit.C:
			return
		case <-ticker.C:
		}
	}
}

func (r *Relay) close() {
	r.server.Close()
	r.client.Close()
	r.admin.Close()
	r.background.Wait()
}
