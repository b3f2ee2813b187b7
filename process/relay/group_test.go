package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

const (
	groupLease = 2 * time.Second
	relayLease = 800 * time.Millisecond
	testBeat   = 100 * time.Millisecond
	// waitTimeout is the limit for every condition that a test waits for, not an
	// expected duration.
	waitTimeout = 20 * time.Second
)

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", waitTimeout, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// leaderGroup is a control group of one member that always leads.
type leaderGroup struct {
	lock          sync.Mutex
	machine       *state.Machine
	index         uint64
	demandReports []feed.DemandReport
}

func (g *leaderGroup) apply(command state.Command) any {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.index++
	return g.machine.Apply(1, g.index, command)
}

func (g *leaderGroup) Leadership() feed.Leadership { return feed.Leadership{Leads: true, Term: 1} }

func (g *leaderGroup) Lease(context.Context) (uint64, bool) { return 1, true }

func (g *leaderGroup) Version() view.Version {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.machine.Version()
}

func (g *leaderGroup) View() *view.View {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.machine.History().View
}

func (g *leaderGroup) DeltaSince(from view.Version) (view.Delta, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.machine.DeltaSince(from)
}

func (g *leaderGroup) Claim(_ context.Context, request state.ClaimRequest) (api.ClaimResult, error) {
	return g.apply(state.Command{Kind: state.CommandClaim, Claim: &request}).(api.ClaimResult), nil
}

func (g *leaderGroup) RecordOutcome(_ context.Context, outcome state.RunOutcome) error {
	g.apply(state.Command{Kind: state.CommandRunOutcome, RunOutcome: &outcome})
	return nil
}

func (g *leaderGroup) ReportPresence(feed.Presence) {}

func (g *leaderGroup) Place(string, feed.PlaceRequest) (placement.Answer, bool) {
	return placement.Answer{}, false
}

func (g *leaderGroup) RecordProgress(string, feed.PlacementProgress) {}

func (g *leaderGroup) RecordCrashes(feed.CrashReport) {}

func (g *leaderGroup) UnrecordedCrashes() (feed.CrashReport, uint64) { return feed.CrashReport{}, 0 }

func (g *leaderGroup) Charge(feed.ChargeRequest) (quota.Grant, bool) { return quota.Grant{}, false }

func (g *leaderGroup) RefundCharge(feed.ChargeRequest) {}

func (g *leaderGroup) ChargeLimit(ratelimit.Request, bool) (ratelimit.Reply, bool) {
	return ratelimit.Reply{}, false
}

func (g *leaderGroup) RecordLimit(ratelimit.Request, bool) {}

func (g *leaderGroup) AnnouncedLimits(uint64) ([]ratelimit.NamedReport, uint64) { return nil, 0 }

func (g *leaderGroup) RecordUsage(feed.UsageReport) {}

func (g *leaderGroup) WallClock() int64 { return 0 }

func (g *leaderGroup) RecordCachedParts(feed.CachedParts) {}

func (g *leaderGroup) RecordInFlight(string, feed.InFlight) {}

func (g *leaderGroup) ReportDemand(_ string, report feed.DemandReport) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.demandReports = append(g.demandReports, report)
}

func (g *leaderGroup) totalRequests() float64 {
	g.lock.Lock()
	defer g.lock.Unlock()
	sum := 0.0
	for _, report := range g.demandReports {
		for _, demand := range report.Demands {
			sum += demand.Requests
		}
	}
	return sum
}

// testTopology consists of a leader, a relay and daemons that subscribe to the relay.
type testTopology struct {
	t       *testing.T
	group   *leaderGroup
	leader  *feed.Server
	address string
	config  Config
	stop    context.CancelFunc
	stopped chan error
}

func newTestTopology(t *testing.T) *testTopology {
	topology := &testTopology{t: t, group: &leaderGroup{machine: state.New()}}
	topology.createTenant()
	topology.serveLeader("127.0.0.1:0")
	t.Cleanup(func() { topology.leader.Close() })
	topology.config = Config{
		Name:           "relay-1",
		FeedAddress:    freeAddress(t),
		AdminAddress:   freeAddress(t),
		Control:        []string{topology.address},
		MaxLease:       relayLease,
		BeatInterval:   testBeat,
		DemandInterval: testBeat,
	}
	topology.startRelay()
	t.Cleanup(topology.stopRelay)
	return topology
}

func (topology *testTopology) serveLeader(address string) {
	listener, err := net.Listen("tcp", address)
	must.NoError(topology.t, err)
	topology.address = listener.Addr().String()
	topology.leader = feed.NewServer(feed.ServerConfig{Group: topology.group, ViewLease: groupLease}, listener)
}

func (topology *testTopology) startRelay() {
	ctx, stop := context.WithCancel(context.Background())
	topology.stop, topology.stopped = stop, make(chan error, 1)
	go func() { topology.stopped <- Run(ctx, topology.config, log.NewNopLogger()) }()
}

// stopRelay shuts the relay down gracefully. Further calls do nothing.
func (topology *testTopology) stopRelay() {
	if topology.stop != nil {
		topology.stop()
		topology.stop = nil
		must.NoError(topology.t, <-topology.stopped)
	}
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// createTenant creates a tenant and returns the version of the view that has it.
func (topology *testTopology) createTenant() view.Version {
	topology.group.lock.Lock()
	name := fmt.Sprint("tenant-", topology.group.index)
	topology.group.lock.Unlock()
	tenant := &api.Tenant{Metadata: api.Metadata{Name: name}}
	transaction := &api.Transaction{OperationID: name, Writes: []api.Write{{Object: api.Object{Tenant: tenant}}}}
	topology.group.apply(state.Command{Kind: state.CommandTransaction, Transaction: transaction})
	if topology.leader != nil {
		topology.leader.Wake()
	}
	return topology.group.Version()
}

// follow starts a daemon that subscribes to the addresses, by default to the relay.
func (topology *testTopology) follow(name string, views feed.Views, addresses ...string) *feed.Client {
	if len(addresses) == 0 {
		addresses = []string{topology.config.FeedAddress}
	}
	client, err := feed.Dial(feed.ClientConfig{
		Daemon: name, Addresses: addresses, HeartbeatInterval: testBeat, BackoffMax: testBeat, Clock: testClock,
	}, views)
	must.NoError(topology.t, err)
	topology.t.Cleanup(client.Close)
	return client
}

var testStart = time.Now()

func testClock() time.Duration { return time.Since(testStart) }

func (topology *testTopology) inForce(version view.Version) bool {
	result, leads := topology.leader.InForce(topology.t.Context(), version.Revision)
	return leads && result.Done
}

// blockableViews blocks Apply while a test holds lock, like a daemon that hangs.
type blockableViews struct {
	*view.Holder
	lock sync.Mutex
}

func (s *blockableViews) Apply(delta view.Delta) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.Holder.Apply(delta)
}
