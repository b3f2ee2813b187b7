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

// baseContext tells where a server listens once it does.
func baseContext(bound chan<- net.Addr) func(net.Listener) context.Context {
	return func(listener net.Listener) context.Context {
		bound <- listener.Addr()
		return context.Background()
	}
}

// Run runs a proxy until ctx ends and every request in flight has ended.
func Run(ctx context.Context, config Config, logger log.Logger) error {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return err
	}
	holder := view.NewHolder()
	served, told := make(chan struct{}, 1), make(chan feed.EndReport, maxToldWaiting)
	client, err := feed.Dial(feed.ClientConfig{
		Daemon:       config.ID,
		Zone:         config.Zone,
		Addresses:    config.FeedAddresses,
		BeatInterval: config.Intervals.Beat,
		Served:       func() { pause.Signal(served) },
		Unrecorded:   func(report feed.EndReport) { offer(told, report) },
		Standby:      true, // for the ends of engines alone: no request of this path is placed
		Clock:        clock.Now,
		Logger:       logger,
	}, holder)
	if err != nil {
		return errors.Wrap(err, "follow the control group")
	}
	defer client.Close()
	made := New(config, holder, client, clock.Now, logger)
	defer made.Close()
	made.tasks.Go(func() { made.exchangeEnds(served, told) })
	return made.Serve(ctx)
}

// maxToldWaiting bounds the words of members that wait to be taken in.
const maxToldWaiting = 16

// offer puts a member's word into the channel, unless that is full: it comes again.
func offer(to chan<- feed.EndReport, report feed.EndReport) {
	select {
	case to <- report:
	default:
	}
}

// exchangeEnds tells each member that begins to serve this proxy under which requests it has seen
// engines end, and takes in what members tell while the record can't.
func (p *Proxy) exchangeEnds(served <-chan struct{}, told <-chan feed.EndReport) {
	for {
		select {
		case <-served:
			p.guard.ReportAll(p.clock())
		case report := <-told:
			p.guard.ApplyUnrecorded(p.clock(), report)
		case <-p.background.Done():
			return
		}
	}
}

// refuseLate returns the refusal of a request that a planned stop may cut before its time is over, nil
// for any other: no engine has read it, and its caller can ask another proxy at once.
func (p *Proxy) refuseLate(left time.Duration) *failure {
	cutAt := time.Duration(p.cutAt.Load())
	if cutAt == 0 || p.clock()+left <= cutAt {
		return nil
	}
	return unavailable(codeStopping, "the proxy stops before the request's time is over", 0)
}

// Serve listens for callers and for the admin until ctx ends and every request
// in flight has ended.
func (p *Proxy) Serve(ctx context.Context) error {
	admin, err := p.listenAdmin()
	if err != nil {
		return err
	}
	defer func() { _ = admin.http.Close() }() // nothing of a caller's goes by the admin server
	callers, err := p.listenCallers()
	if err != nil {
		return err
	}
	event.ProxyStarted.Log(p.logger, "address", callers.bound, "admin", admin.bound, "zone", p.config.Zone)
	<-ctx.Done()
	return p.drain(callers)
}

// drain is the planned stop. For DrainNotice the proxy says that it is not
// ready and asks each caller to close its connection, while it still serves
// all that comes: a caller on a kept-alive connection learns of the stop with
// an answer, not with a lost request. Then it accepts no more and waits for
// what is in flight, for as long as that takes.
func (p *Proxy) drain(callers *server) error {
	if p.config.DrainLimit > 0 {
		p.cutAt.Store(int64(p.clock() + p.config.DrainNotice + p.config.DrainLimit))
	}
	p.stopping.Store(true)
	event.ProxyDraining.Log(p.logger, "in_flight", p.running.count())
	time.Sleep(p.config.DrainNotice)
	ctx := context.Background()
	if p.config.DrainLimit > 0 {
		limited, cancel := context.WithTimeout(ctx, p.config.DrainLimit)
		defer cancel()
		ctx = limited
	}
	if err := callers.http.Shutdown(ctx); err != nil {
		event.ProxyDrainCut.Log(p.logger, "in_flight", p.running.count())
		_ = callers.http.Close() // the bound was set to cut what is left
		return errors.Wrap(err, "requests were still in flight at the drain limit")
	}
	event.ProxyStopped.Log(p.logger)
	return nil
}
