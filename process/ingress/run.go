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

// Intervals of the subscription to the control group: a leader that falls
// silent is left soon enough for a new configuration to be in force in time.
const (
	beatInterval   = 350 * time.Millisecond
	silenceTimeout = 1000 * time.Millisecond
	dialTimeout    = 250 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// maxHeaderBytes bounds a caller's head where the configuration says nothing.
const maxHeaderBytes = 64 << 10

// Run serves callers until ctx ends, and then stops as planned. It returns
// ErrConfig before anything was opened.
func Run(ctx context.Context, config Config, logger log.Logger) error {
	config = config.WithDefaults()
	if faults := config.Check(); len(faults) > 0 {
		return errors.Wrapf(ErrConfig, "%v", faults)
	}
	holder := view.NewHolder()
	made := New(config, holder, clock.Now, logger)
	defer made.Close()
	day := metering.NewDay(clock.Now, time.Now)
	made.day = day.Now // a machine's own may jump by seconds
	if config.UsageWindow > 0 {
		made.usage = metering.NewCounter(config.Name, config.UsageWindow, day.Now)
	}
	served, resumed := make(chan struct{}, 1), make(chan struct{}, 1)
	client, err := feed.Dial(feed.ClientConfig{
		Daemon:         config.Name,
		Zone:           config.Zone,
		Addresses:      config.FeedAddresses,
		MoreAddresses:  func() []string { return append(memberAddresses(holder.Load()), made.seeds()...) },
		Presence:       made.presence,
		Day:            day.Learn,
		Served:         func() { pause.Signal(served) },
		Unrecorded:     made.noteUnrecorded,
		Resumed:        func() { pause.Signal(resumed) },
		Standby:        true,
		Partial:        true,
		StandbyRelays:  func() []string { return made.relays(holder.Load()) },
		BeatInterval:   beatInterval,
		SilenceTimeout: silenceTimeout,
		DialTimeout:    dialTimeout,
		BackoffMax:     maxBackoff,
		Clock:          clock.Now,
		Logger:         logger,
	}, holder)
	if err != nil {
		return errors.Wrap(err, "ingress: follow the control group")
	}
	defer client.Close()
	made.lanes.named = client.Listed
	made.placer = client
	made.charger = client
	made.confirmer = holder
	made.guard.SetReporter(client)
	endRelay, err := made.passPlacementsOn(feed.NewPlacementRelay(client, holder))
	if err != nil {
		return err
	}
	defer endRelay()
	reporting, stop := context.WithCancel(ctx)
	defer stop()
	go made.reportWhenServed(reporting, served, resumed, client)
	go made.reportUsage(reporting, client)
	return made.serveUntil(ctx, client)
}

// passPlacementsOn serves proxies that are cut off from the members until the
// result is called.
func (i *Ingress) passPlacementsOn(relay *feed.PlacementRelay) (end func(), err error) {
	if i.config.RelayAddress == "" {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp", i.config.RelayAddress)
	if err != nil {
		return nil, errors.Wrap(err, "ingress: pass placements on")
	}
	server := feed.NewServer(feed.ServerConfig{Group: relay, Clock: i.clock, Logger: i.logger}, listener)
	return server.Close, nil
}

// reportWhenServed tells each new leader, or member that stands by for one, what is in
// flight and what replicas keep, until ctx ends; a leader that was silent knows the latter.
func (i *Ingress) reportWhenServed(ctx context.Context, served, resumed <-chan struct{}, to groupReporter) {
	for {
		select {
		case <-served:
			i.reportInFlight(to)
			i.reportKept(to)
			i.reportLeaving()
			i.guard.ReportAll(i.now())
			i.usage.Again()
		case <-resumed:
			i.reportInFlight(to)
		case <-ctx.Done():
			return
		}
	}
}

// noteUnrecorded takes in what a member tells of replicas that ended while the record can't tell it.
func (i *Ingress) noteUnrecorded(report feed.EndReport) {
	event.EndsUnrecorded.Log(i.logger, "ends", len(report.Ended))
	i.guard.Unrecorded(i.now(), report)
}

// usagePause is between two reports of usage: what a proxy has not told yet is lost with it.
const usagePause = 200 * time.Millisecond

// usageReporter is told of what was counted; *feed.Client is one.
type usageReporter interface {
	ReportUsage(report feed.UsageReport) bool
}

// reportUsage tells the leader what has been counted, until ctx ends; then the rest.
func (i *Ingress) reportUsage(ctx context.Context, to usageReporter) {
	if i.usage == nil {
		return
	}
	for pause.For(ctx, usagePause) {
		i.tellUsage(to)
	}
	i.tellUsage(to)
}

func (i *Ingress) tellUsage(to usageReporter) {
	report, due := i.usage.Next()
	if due && !to.ReportUsage(report) {
		i.usage.Again() // it is told with the next one
	}
}

// memberAddresses returns where the members that the view names serve the feed.
func memberAddresses(current *view.View) []string {
	addresses := make([]string, 0, len(current.Members))
	for _, member := range current.Members {
		addresses = append(addresses, member.Spec.FeedAddress)
	}
	return addresses
}

// relays returns where the other proxies that the view names pass placements on.
func (i *Ingress) relays(current *view.View) []string {
	if i.config.RelayOf == nil {
		return nil
	}
	var addresses []string
	for name, other := range current.Proxies {
		if name == i.config.Name {
			continue
		}
		if address := i.config.RelayOf(other.Spec.Address); address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// seeds returns where members may be by the settings as they are now.
func (i *Ingress) seeds() []string {
	if i.config.Seeds == nil {
		return nil
	}
	return i.config.Seeds()
}

// announcer tells the control group at once what the ingress says of itself.
type announcer interface{ Announce() }

func (i *Ingress) serveUntil(ctx context.Context, group announcer) error {
	callers, err := i.listen(i.config.ListenAddress, i)
	if err != nil {
		return err
	}
	defer func() { _ = callers.Close() }()
	if i.config.ReadyAddress != "" {
		health, err := i.listen(i.config.ReadyAddress, http.HandlerFunc(i.serveReady))
		if err != nil {
			return err
		}
		defer func() { _ = health.Close() }()
	}
	if i.config.MetricsAddress != "" {
		served, err := admin.Listen("landingtrail-ingress", i.config.MetricsAddress, i.metrics.registry, i.readiness, i.logger)
		if err != nil {
			return err
		}
		defer served.Close()
	}
	event.IngressStarted.Log(i.logger, "address", i.config.ListenAddress, "zone", i.config.Zone)
	stopAnnouncing := i.announceWhenReady(ctx, group)
	<-ctx.Done()
	stopAnnouncing()
	return i.drain(callers, group)
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

// readyPoll is how often the ingress looks whether it has become ready.
const readyPoll = 50 * time.Millisecond

// announceWhenReady tells the group as soon as the ingress can serve; the beats
// would tell it later.
func (i *Ingress) announceWhenReady(ctx context.Context, group announcer) (stop func()) {
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer close(ended)
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
	return func() { cancel(); <-ended }
}

// listen serves an address until the server is closed.
func (i *Ingress) listen(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "ingress: listen")
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: i.config.Timeouts.Header,
		IdleTimeout:       i.config.Timeouts.Idle,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(log.NewStdlibAdapter(log.NewNopLogger()), "", 0),
	}
	go func() { _ = server.Serve(listener) }() // until it is closed
	return server, nil
}

// drain is the planned stop: the ingress says at once that it is not ready and
// asks callers to close their connections, while it still serves all that
// comes; then it accepts no more and waits for what is in flight. What it cannot
// wait for is answered: its callers would else learn nothing of it.
func (i *Ingress) drain(callers *http.Server, group announcer) error {
	began := time.Now()
	i.stop.Store(&plannedStop{lateFrom: i.now() + i.config.Drain.Late, endsAt: i.now() + i.config.Drain.Limit})
	i.stopping.Store(true)
	group.Announce()
	event.IngressDraining.Log(i.logger, "in_flight", i.serving.Load())
	time.Sleep(i.config.Drain.Notice)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(i.config.Drain.Limit))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		event.IngressDrainCut.Log(i.logger, "in_flight", i.serving.Load())
		i.answerRest(callers)
		return nil
	}
	event.IngressStopped.Log(i.logger)
	return nil
}

// answerShare is the part of a planned stop's time that is left beyond it for answers to
// what was in flight at its end.
const answerShare = 0.05

// answerRest ends the waiting of all requests and lets their answers out.
func (i *Ingress) answerRest(callers *http.Server) {
	i.endPatient()
	answering := time.Duration(answerShare * float64(i.config.Drain.Limit))
	ctx, cancel := context.WithTimeout(context.Background(), answering)
	defer cancel()
	_ = callers.Shutdown(ctx) // the process ends in any case
}
