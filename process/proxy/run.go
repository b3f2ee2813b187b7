package proxy

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/clock"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/version/view"
)

// reportAddress returns a BaseContext function that sends the server's listen address to bound.
func reportAddress(bound chan<- net.Addr) func(net.Listener) context.Context {
	return func(listener net.Listener) context.Context {
		bound <- listener.Addr()
		return context.Background()
	}
}

// Run runs a proxy until ctx ends and every request in flight has ended or the drain limit has
// passed. It returns ErrConfig for an invalid config, and otherwise the error of connecting, of
// listening or of requests that were cut off at the drain limit.
func Run(ctx context.Context, config Config, logger log.Logger) error {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return err
	}
	holder := view.NewHolder()
	served, reports := make(chan struct{}, 1), make(chan feed.CrashReport, maxPendingReports)
	client, err := feed.Dial(feed.ClientConfig{
		Daemon:              config.ID,
		Zone:                config.Zone,
		Addresses:           config.FeedAddresses,
		HeartbeatInterval:   config.Intervals.Beat,
		OnServed:            func() { pause.Signal(served) },
		OnUnrecordedCrashes: func(report feed.CrashReport) { trySend(reports, report) },
		Standby:             true, // only for the reports of engine crashes; the proxy never has members place its requests
		Clock:               clock.Now,
		Logger:              logger,
	}, holder)
	if err != nil {
		return errors.Wrap(err, "follow the control group")
	}
	defer client.Close()
	p := New(config, holder, client, clock.Now, logger)
	defer p.Close()
	p.tasks.Go(func() { p.exchangeEndReports(served, reports) })
	return p.Serve(ctx)
}

// maxPendingReports is the capacity of the channel of reports on engine crashes.
const maxPendingReports = 16

// trySend sends the report unless the channel is full. Control members repeat their reports, so a
// dropped one is not lost.
func trySend(reports chan<- feed.CrashReport, report feed.CrashReport) {
	select {
	case reports <- report:
	default:
	}
}

// exchangeEndReports reports all engine crashes that this proxy has seen, and the requests that ran
// during them, to each leader of the control group that begins to serve its feed. It also handles the
// reports that members send while they cannot record them.
func (p *Proxy) exchangeEndReports(served <-chan struct{}, reports <-chan feed.CrashReport) {
	for {
		select {
		case <-served:
			p.guard.ReportAll(p.clock())
		case report := <-reports:
			p.guard.ApplyUnrecorded(p.clock(), report)
		case <-p.background.Done():
			return
		}
	}
}

// refuseBeyondDrain returns the failure of a request that the planned stop could interrupt before its
// deadline, or nil for any other request. No engine has read the request, so the caller can send it
// to another proxy at once.
func (p *Proxy) refuseBeyondDrain(timeLeft time.Duration) *failure {
	drainDeadline := time.Duration(p.drainDeadline.Load())
	if drainDeadline == 0 || p.clock()+timeLeft <= drainDeadline {
		return nil
	}
	return unavailableFailure(codeStopping, "the proxy stops before the request's time is over", 0)
}

// Serve runs the callers' server and the admin server until ctx ends and every request in flight has
// ended or the drain limit has passed. It returns the error of listening, or of requests that were
// cut off at the drain limit.
func (p *Proxy) Serve(ctx context.Context) error {
	admin, err := p.listenAdmin()
	if err != nil {
		return err
	}
	defer func() { _ = admin.http.Close() }() // no caller request uses the admin server
	callers, err := p.listenCallers()
	if err != nil {
		return err
	}
	event.ProxyStarted.Log(p.logger, "address", callers.addr, "admin", admin.addr, "zone", p.config.Zone)
	<-ctx.Done()
	return p.drain(callers)
}

// drain performs a planned stop. For DrainNotice the proxy reports that it is not ready and asks each
// caller to close its connection, but still serves requests: a caller on a kept-alive connection
// learns of the stop from a response instead of from a failed request. After that, the proxy accepts
// no more requests and waits for those in flight, up to DrainLimit if it is set.
func (p *Proxy) drain(callers *server) error {
	if p.config.DrainLimit > 0 {
		p.drainDeadline.Store(int64(p.clock() + p.config.DrainNotice + p.config.DrainLimit))
	}
	p.stopping.Store(true)
	event.ProxyDraining.Log(p.logger, "in_flight", p.inFlight.count())
	time.Sleep(p.config.DrainNotice)
	ctx := context.Background()
	if p.config.DrainLimit > 0 {
		limited, cancel := context.WithTimeout(ctx, p.config.DrainLimit)
		defer cancel()
		ctx = limited
	}
	if err := callers.http.Shutdown(ctx); err != nil {
		event.ProxyDrainCut.Log(p.logger, "in_flight", p.inFlight.count())
		_ = callers.http.Close() // DrainLimit is set to end the remaining requests
		return errors.Wrap(err, "requests were still in flight at the drain limit")
	}
	event.ProxyStopped.Log(p.logger)
	return nil
}
