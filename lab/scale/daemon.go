package scale

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/subset"
	"github.com/landingtrail/landingtrail/version/view"
)

const (
	dialTimeout    = 5 * time.Second
	demandInterval = time.Second
	// choosers is how many daemons choose what they follow at once.
	choosers = 4
	// Bounds of the connections that the hollow daemons poll by. A proxy keeps
	// one for each engine that it follows; here they are shared.
	maxPollConnections = 4_000
	pollIdleTimeout    = 10 * time.Second
)

// hollows are the daemons of this process: each follows the feed, acknowledges,
// reports demand and polls a subset of the replicas by the product's own code,
// but takes no callers, and shares views with the others.
type hollows struct {
	feedMeter *meter
	pollMeter *meter
	polls     atomic.Int64
	pollFails atomic.Int64
	interval  time.Duration // between two polls of a daemon
	store     *viewStore
	catalog   endpointCache
	http      *http.Client
	daemons   []*hollow
	running   sync.WaitGroup
	cancel    context.CancelFunc
}

// hollow is one daemon.
type hollow struct {
	shared *hollows
	name   string
	zone   string
	holder *sharedHolder
	client *feed.Client

	followed atomic.Pointer[[]string] // addresses
	next     int
	random   *rand.Rand
}

// startHollows starts count daemons that follow the members at the feed addresses.
func startHollows(ctx context.Context, config Config, feeds []string, count int) (*hollows, error) {
	shared := &hollows{
		feedMeter: &meter{},
		pollMeter: &meter{},
		interval:  config.PollInterval,
		store:     newViewStore(),
	}
	shared.http = &http.Client{
		Timeout: dialTimeout,
		Transport: &http.Transport{
			DialContext:     shared.pollMeter.dial,
			MaxIdleConns:    maxPollConnections,
			MaxConnsPerHost: 2,
			IdleConnTimeout: pollIdleTimeout,
		},
	}
	ctx, shared.cancel = context.WithCancel(ctx)
	for i := range count {
		if err := shared.start(ctx, i, config, feeds); err != nil {
			shared.close()
			return nil, err
		}
	}
	return shared, nil
}

func (s *hollows) start(ctx context.Context, i int, config Config, feeds []string) error {
	daemon := &hollow{
		shared: s,
		name:   daemonName(i),
		zone:   zoneName(i),
		holder: newSharedHolder(s.store),
		random: rand.New(rand.NewPCG(config.Seed, uint64(i))),
	}
	client, err := feed.Dial(feed.ClientConfig{
		Daemon:    daemon.name,
		Zone:      daemon.zone,
		Addresses: feedsOf(i, feeds, config.Relays > 0),
		Dial:      s.feedMeter.dial,
	}, daemon.holder)
	if err != nil {
		return err
	}
	daemon.client = client
	s.daemons = append(s.daemons, daemon)
	s.running.Go(func() { daemon.run(ctx) })
	return nil
}

// relayChoices is how many of the relays a daemon knows.
const relayChoices = 2

// feedsOf spreads the daemons over the relays: each knows its own and the next.
// Of the members, only the leader serves, so each daemon must know all of them.
func feedsOf(i int, feeds []string, relayed bool) []string {
	if !relayed {
		return feeds
	}
	var known []string
	for choice := range min(relayChoices, len(feeds)) {
		known = append(known, feeds[(i+choice)%len(feeds)])
	}
	return known
}

// close ends all daemons.
func (s *hollows) close() {
	s.cancel()
	var closing sync.WaitGroup
	for _, daemon := range s.daemons {
		closing.Go(daemon.client.Close)
	}
	closing.Wait()
	s.running.Wait()
	s.http.CloseIdleConnections()
}

// behind counts the daemons that do not have the revision yet.
func (s *hollows) behind(revision uint64) int {
	count := 0
	for _, daemon := range s.daemons {
		if daemon.holder.Load().Version.Revision < revision {
			count++
		}
	}
	return count
}

// follow lets every daemon choose what it polls. A proxy chooses with each view;
// two thousand in one process would take each other's processor time, so they
// choose once, and the cost of a choice is seen at the real proxies.
func (s *hollows) follow() {
	waiting := make(chan *hollow)
	var choosing sync.WaitGroup
	for range choosers {
		choosing.Go(func() {
			for daemon := range waiting {
				daemon.follow()
			}
		})
	}
	for _, daemon := range s.daemons {
		waiting <- daemon
	}
	close(waiting)
	choosing.Wait()
}

// followed is the mean number of replicas that a daemon follows.
func (s *hollows) followed() float64 {
	total := 0
	for _, daemon := range s.daemons {
		total += len(*daemon.followed.Load())
	}
	return float64(total) / float64(len(s.daemons))
}

// run polls and reports demand until ctx ends.
func (d *hollow) run(ctx context.Context) {
	timer := time.NewTimer(rand.N(d.shared.interval))
	defer timer.Stop()
	reported := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if window := time.Since(reported); window >= demandInterval && d.client.ReportDemand(demandReport(window)) {
			reported = time.Now()
		}
		d.poll(ctx)
		timer.Reset(d.shared.interval*9/10 + rand.N(d.shared.interval/5+1))
	}
}

// demandReport is what a proxy in steady use reports: every model and class.
func demandReport(window time.Duration) feed.DemandReport {
	report := feed.DemandReport{Window: window}
	for i := range modelCount {
		for _, class := range []string{"caption", "summary", "briefing"} {
			report.Demands = append(report.Demands, feed.Demand{
				Intent: "serve-" + modelName(i), Class: class,
				Requests: 2, PromptTokens: 1_500, OutputTokens: 400,
			})
		}
	}
	return report
}

// poll asks one replica of the followed ones for its load, in turn.
func (d *hollow) poll(ctx context.Context) {
	followed := d.followed.Load()
	if followed == nil || len(*followed) == 0 {
		return
	}
	address := (*followed)[d.next%len(*followed)]
	d.next++
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+engineapi.PathLoad, nil)
	if err != nil {
		return // addresses come from the view, which holds only valid ones
	}
	response, err := d.shared.http.Do(request)
	if err != nil {
		if ctx.Err() == nil {
			d.shared.pollFails.Add(1)
		}
		return
	}
	_, _ = io.Copy(io.Discard, response.Body) // what counts is its length
	_ = response.Body.Close()
	d.shared.polls.Add(1)
}

// follow chooses what is polled from now on.
func (d *hollow) follow() {
	current := d.holder.Load()
	var addresses []string
	for _, name := range subset.Choose(d.name, d.zone, d.shared.catalog.endpoints(current), subset.DefaultSizes) {
		addresses = append(addresses, current.Engines[name].Spec.Address)
	}
	d.random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	d.followed.Store(&addresses)
}

// endpointCache keeps the endpoints of the view that was asked for last.
type endpointCache struct {
	lock    sync.Mutex
	version view.Version
	listed  []subset.Endpoint
}

// endpoints lists the engines as a proxy's lane does: those of one model in one
// role can stand in for each other.
func (c *endpointCache) endpoints(current *view.View) []subset.Endpoint {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.listed != nil && c.version == current.Version {
		return c.listed
	}
	listed := make([]subset.Endpoint, 0, len(current.Engines))
	for _, object := range current.List(api.KindEngine) {
		engine := object.Engine
		group := engine.Labels[labelModel] + "/" + string(engine.Status.Assignment.Role)
		listed = append(listed, subset.Endpoint{Name: engine.Name, Zone: engine.Spec.Zone, Group: group})
	}
	c.version, c.listed = current.Version, listed
	return listed
}
