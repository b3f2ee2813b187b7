package ingress

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/admin"
	"github.com/landingtrail/landingtrail/process/clock"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/metering"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// Timing of the subscription to the control group. An unresponsive leader is abandoned after
// silenceTimeout, so that a new configuration is not delayed much by a change of leader.
const (
	heartbeatInterval = 350 * time.Millisecond
	silenceTimeout    = 1000 * time.Millisecond
	dialTimeout       = 250 * time.Millisecond
	maxBackoff        = 200 * time.Millisecond
)

// maxHeaderBytes is the limit on the head of a caller's request.
const maxHeaderBytes = 64 << 10

// Run serves callers until ctx ends and then performs a planned stop. If the configuration is
// invalid, it returns ErrConfig before opening anything. It also returns an error if it cannot
// listen or subscribe to the control group, and nil after a planned stop, even one that had to
// cancel requests.
func Run(ctx context.Context, config Config, logger log.Logger) error {
	config = config.WithDefaults()
	if faults := config.Check(); len(faults) > 0 {
		return errors.Wrapf(ErrConfig, "%v", faults)
	}
	views := view.NewHolder()
	ingress := New(config, views, clock.Now, logger)
	defer ingress.Close()
	groupClock := metering.NewGroupClock(clock.Now, time.Now)
	// Corrected by the control group; the machine's own wall clock may jump by seconds.
	ingress.wallClock = groupClock.Now
	if config.UsageWindow > 0 {
		ingress.usage = metering.NewCounter(config.Name, config.UsageWindow, groupClock.Now)
	}
	served, resumed := make(chan struct{}, 1), make(chan struct{}, 1)
	client, err := feed.Dial(feed.ClientConfig{
		Daemon:              config.Name,
		Zone:                config.Zone,
		Addresses:           config.FeedAddresses,
		MoreAddresses:       func() []string { return append(memberAddresses(views.Load()), ingress.seeds()...) },
		Presence:            ingress.presence,
		OnWallClock:         groupClock.Update,
		OnServed:            func() { pause.Signal(served) },
		OnUnrecordedCrashes: ingress.recordUnrecordedCrashes,
		OnLeaderResumed:     func() { pause.Signal(resumed) },
		OnLimits:            ingress.applyAnnouncedLimits,
		Standby:             true,
		Partial:             true,
		StandbyRelays:       func() []string { return ingress.relays(views.Load()) },
		HeartbeatInterval:   heartbeatInterval,
		SilenceTimeout:      silenceTimeout,
		DialTimeout:         dialTimeout,
		BackoffMax:          maxBackoff,
		Clock:               clock.Now,
		Logger:              logger,
	}, views)
	if err != nil {
		return errors.Wrap(err, "ingress: subscribe to the control group")
	}
	defer client.Close()
	ingress.upstreams.lookupUnlisted = client.ReplicaByName
	ingress.placer = client
	ingress.charger = client
	ingress.lender = client
	ingress.directory = client
	ingress.limitCharger = client
	ingress.confirmer = views
	ingress.guard.SetReporter(client)
	ingress.guard.SetTrialGranter(client)
	ingress.reachability.announce = client.Announce
	endRelay, err := ingress.serveRelay(feed.NewPlacementRelay(client, views))
	if err != nil {
		return err
	}
	defer endRelay()
	reporting, stop := context.WithCancel(ctx)
	defer stop()
	go ingress.reportOnConnect(reporting, served, resumed, client)
	go ingress.reportUsage(reporting, client)
	return ingress.serveUntil(ctx, client)
}

// serveRelay forwards the placement requests of proxies that cannot reach the control group, until
// the returned function is called.
func (i *Ingress) serveRelay(relay *feed.PlacementRelay) (end func(), err error) {
	if i.config.RelayAddress == "" {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp", i.config.RelayAddress)
	if err != nil {
		return nil, errors.Wrap(err, "ingress: listen for the placement relay")
	}
	server := feed.NewServer(feed.ServerConfig{Group: relay, Clock: i.clock, Logger: i.logger}, listener)
	return server.Close, nil
}

// reportOnConnect reports the requests in flight and the cached prompt parts to each new leader,
// or standby member, until ctx ends. A leader that is only heard again after a silence still knows
// the cached parts, and is sent the requests in flight alone.
func (i *Ingress) reportOnConnect(ctx context.Context, served, resumed <-chan struct{}, to groupReporter) {
	for {
		select {
		case <-served:
			i.reportInFlight(to)
			i.reportCachedParts(to)
			i.reportAllLeaving()
			i.reportAllLimits()
			i.reportStreams(feed.MaxReportedStreams)
			i.guard.ReportAll(i.now())
			i.usage.MarkAllUnreported() // does nothing if usage is not reported
		case <-resumed:
			i.reportInFlight(to)
		case <-ctx.Done():
			return
		}
	}
}

// recordUnrecordedCrashes processes a member's report of replica crashes that cannot be recorded at
// present, and of requests that were served.
func (i *Ingress) recordUnrecordedCrashes(report feed.CrashReport) {
	if len(report.Crashes) > 0 {
		event.EndsUnrecorded.Log(i.logger, "ends", len(report.Crashes))
	}
	i.guard.ApplyUnrecorded(i.now(), report)
}

// usageInterval is the time between two usage reports. Usage that was not yet reported is lost
// when the process crashes.
const usageInterval = 200 * time.Millisecond

// usageReporter receives usage counts; implemented by *feed.Client.
type usageReporter interface {
	ReportUsage(report feed.UsageReport) bool
}

// reportUsage reports usage counts to the leader periodically until ctx ends, and then once more.
func (i *Ingress) reportUsage(ctx context.Context, to usageReporter) {
	if i.usage == nil {
		return
	}
	for pause.Sleep(ctx, usageInterval) {
		i.sendUsage(to)
	}
	i.sendUsage(to)
}

func (i *Ingress) sendUsage(to usageReporter) {
	report, due := i.usage.NextReport()
	if due && !to.ReportUsage(report) {
		i.usage.MarkAllUnreported() // retried with the next report
	}
}

// memberAddresses returns the feed addresses of the members in the view.
func memberAddresses(current *view.View) []string {
	addresses := make([]string, 0, len(current.Members))
	for _, member := range current.Members {
		addresses = append(addresses, member.Spec.FeedAddress)
	}
	return addresses
}

// relays returns the relay addresses of the other proxies in the view.
func (i *Ingress) relays(current *view.View) []string {
	if i.config.RelayAddressOf == nil {
		return nil
	}
	var addresses []string
	for name, other := range current.Proxies {
		if name == i.config.Name {
			continue
		}
		if address := i.config.RelayAddressOf(other.Spec.Address); address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// seeds returns the member addresses in the current settings.
func (i *Ingress) seeds() []string {
	if i.config.Seeds == nil {
		return nil
	}
	return i.config.Seeds()
}

// announcer sends the state of this ingress to the control group immediately.
type announcer interface{ Announce() }

func (i *Ingress) serveUntil(ctx context.Context, group announcer) error {
	listener, err := net.Listen("tcp", i.config.ListenAddress)
	if err != nil {
		return errors.Wrap(err, "ingress: listen")
	}
	callerServer := i.serveCallers(listener)
	defer func() { _ = callerServer.Close() }()
	if i.config.ReadyAddress != "" {
		readyServer, err := i.listen(i.config.ReadyAddress, http.HandlerFunc(i.serveReady))
		if err != nil {
			return err
		}
		defer func() { _ = readyServer.Close() }()
	}
	if i.config.MetricsAddress != "" {
		metricsServer, err := admin.Listen("landingtrail-ingress", i.config.MetricsAddress, i.metrics.registry, i.readiness, i.logger)
		if err != nil {
			return err
		}
		defer metricsServer.Close()
	}
	event.IngressStarted.Log(i.logger, "address", i.config.ListenAddress, "zone", i.config.Zone)
	stopAnnouncing := i.announceWhenReady(ctx, group)
	<-ctx.Done()
	stopAnnouncing()
	return i.drain(callerServer, group)
}

func (i *Ingress) readiness() admin.Readiness { return admin.Readiness{Ready: i.Ready()} }

func (i *Ingress) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != i.config.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case !i.Ready():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// readyPoll is the interval at which readiness is checked after the start.
const readyPoll = 50 * time.Millisecond

// announceWhenReady notifies the control group as soon as the ingress can serve, without waiting
// for the next heartbeat.
func (i *Ingress) announceWhenReady(ctx context.Context, group announcer) (stop func()) {
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer close(done)
		ticker := time.NewTicker(readyPoll)
		defer ticker.Stop()
		for !i.Ready() {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
		group.Announce()
	}()
	return func() { cancel(); <-done }
}

// listen serves an address until the returned server is closed.
func (i *Ingress) listen(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "ingress: listen")
	}
	server := i.newServer(handler)
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return server, nil
}

// serveCallers serves callers at a listener until the returned server is closed.
func (i *Ingress) serveCallers(listener net.Listener) *http.Server {
	server := i.newServer(i)
	server.ConnContext = withCallerConn
	go func() { _ = server.Serve(callerListener{Listener: listener, ingress: i}) }() // returns when the server is closed
	return server
}

func (i *Ingress) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: i.config.Timeouts.Header,
		IdleTimeout:       i.config.Timeouts.Idle,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(log.NewStdlibAdapter(log.NewNopLogger()), "", 0),
	}
}

// drain performs the planned stop. It first reports not ready and asks callers to close their
// connections while still serving new requests, then stops accepting connections and waits for the
// requests in flight. Requests that do not finish in time are answered with an error, because
// their callers would otherwise not learn their outcome; a stream that has begun is cut.
func (i *Ingress) drain(callerServer *http.Server, group announcer) error {
	startedAt := time.Now()
	i.plannedStop.Store(&plannedStop{refuseFrom: i.now() + i.config.Drain.RefuseAfter, endsAt: i.now() + i.config.Drain.Limit})
	i.stopping.Store(true)
	group.Announce()
	event.IngressDraining.Log(i.logger, "in_flight", i.serving.Load())
	time.Sleep(i.config.Drain.Notice)
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(i.config.Drain.Limit))
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		event.IngressDrainCut.Log(i.logger, "in_flight", i.serving.Load())
		i.answerRemaining(callerServer)
		return nil
	}
	event.IngressStopped.Log(i.logger)
	return nil
}

// finalAnswerShare is the additional time, as a share of the drain limit, for sending answers to
// the requests that are still in flight then.
const finalAnswerShare = 0.05

// answerRemaining cancels all requests and waits until their answers are sent.
func (i *Ingress) answerRemaining(callerServer *http.Server) {
	i.cancelRequests()
	timeout := time.Duration(finalAnswerShare * float64(i.config.Drain.Limit))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_ = callerServer.Shutdown(ctx) // the process ends in any case
}
