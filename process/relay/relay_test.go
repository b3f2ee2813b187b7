package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/admin"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

func TestChangeIsInForceOnceEveryDaemonBehindTheRelayHasIt(t *testing.T) {
	topology := newTestTopology(t)
	quick, slow := view.NewHolder(), &blockableViews{Holder: view.NewHolder()}
	topology.follow("quick", quick)
	topology.follow("slow", slow)
	eventually(t, "both daemons hold a lease", func() bool { return quick.Valid(testClock()) && slow.Valid(testClock()) })
	must.Eq(t, 1, topology.leader.Subscribers(), must.Sprint("the leader must have the relay as its only subscriber"))
	first := topology.createTenant()
	eventually(t, "the change is in force", func() bool { return topology.inForce(first) })
	must.Eq(t, first, quick.Load().Version)
	must.Eq(t, first, slow.Load().Version)

	slow.lock.Lock()
	second := topology.createTenant()
	eventually(t, "the quick daemon has the change", func() bool { return quick.Load().Version == second })
	eventually(t, "the change is in force without the slow daemon", func() bool {
		done := topology.inForce(second)
		must.False(t, done && slow.Valid(testClock()), must.Sprint("the slow daemon still uses its view"))
		return done
	})
	must.True(t, quick.Valid(testClock()), must.Sprint("a slow daemon must not delay another"))
	slow.lock.Unlock()
	eventually(t, "the slow daemon catches up", func() bool { return slow.Load().Version == second && slow.Valid(testClock()) })
}

func TestClaimsAndDemandPassThroughTheRelay(t *testing.T) {
	topology := newTestTopology(t)
	client := topology.follow("proxy", view.NewHolder())
	eventually(t, "the proxy is served", client.Connected)
	request := state.ClaimRequest{Tenant: "t", Key: "k", BodyHash: 1, Nonce: 1}
	result, err := client.Claim(t.Context(), request)
	must.NoError(t, err)
	must.Eq(t, api.ClaimGranted, result.Code)
	outcome := state.RunOutcome{Tenant: "t", Key: "k", Nonce: 1, Outcome: api.RunCompleted, Answer: []byte("done")}
	must.NoError(t, client.RecordOutcome(t.Context(), outcome))
	request.Nonce = 2
	result, err = client.Claim(t.Context(), request)
	must.NoError(t, err)
	must.Eq(t, api.ClaimDone, result.Code)
	must.Eq(t, "done", string(result.Claim.Answer))
	for range 3 {
		must.True(t, client.ReportDemand(feed.DemandReport{Window: time.Second, Demands: []feed.Demand{{Intent: "i", Class: "c", Requests: 5}}}))
	}
	eventually(t, "the demand has reached the leader", func() bool { return topology.group.totalRequests() >= 15 })
	must.Eq(t, 15.0, topology.group.totalRequests())
}

func TestRelayStopsServingWithoutTheControlGroup(t *testing.T) {
	topology := newTestTopology(t)
	holder := view.NewHolder()
	client := topology.follow("proxy", holder)
	eventually(t, "a lease", func() bool { return holder.Valid(testClock()) })
	address := topology.address
	topology.leader.Close()
	eventually(t, "the lease lapses", func() bool { return !holder.Valid(testClock()) })
	eventually(t, "the relay is not ready", func() bool { return !topology.ready() })
	eventually(t, "claims are refused", func() bool {
		_, err := client.Claim(t.Context(), state.ClaimRequest{Tenant: "t", Key: "k"})
		return errors.Is(err, feed.ErrNoQuorum)
	})
	topology.serveLeader(address)
	eventually(t, "the lease is renewed", func() bool { return holder.Valid(testClock()) })
}

func TestDaemonsReconnectElsewhereWhenTheRelayStops(t *testing.T) {
	topology := newTestTopology(t)
	holder := view.NewHolder()
	topology.follow("proxy", holder, topology.config.FeedAddress, topology.address)
	eventually(t, "a lease", func() bool { return holder.Valid(testClock()) })
	topology.stopRelay()
	eventually(t, "the daemon subscribes to the leader", func() bool { return topology.leader.Subscribers() == 1 })
	version := topology.createTenant()
	eventually(t, "a change reaches the daemon", func() bool { return holder.Load().Version == version && holder.Valid(testClock()) })
}

// ready queries the readiness endpoint of the relay's admin server.
func (topology *testTopology) ready() bool {
	response, err := http.Get("http://" + topology.config.AdminAddress + admin.PathReady)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var state admin.Readiness
	must.NoError(topology.t, json.NewDecoder(response.Body).Decode(&state))
	must.Eq(topology.t, response.StatusCode == http.StatusOK, state.Ready)
	return state.Ready
}

func TestConfig(t *testing.T) {
	valid := Config{Name: "r", FeedAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0", Control: []string{"127.0.0.1:1"}}
	cases := map[string]func(*Config){
		"name":    func(c *Config) { c.Name = "" },
		"feed":    func(c *Config) { c.FeedAddress = "" },
		"admin":   func(c *Config) { c.AdminAddress = "" },
		"control": func(c *Config) { c.Control = nil },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			config := valid
			invalidate(&config)
			must.ErrorIs(t, Run(context.Background(), config, log.NewNopLogger()), ErrConfig)
		})
	}
	conflicting := valid
	conflicting.AdminAddress = freeAddress(t)
	conflicting.FeedAddress = conflicting.AdminAddress
	must.ErrorIs(t, Run(context.Background(), conflicting, log.NewNopLogger()), admin.ErrListen)
}

func TestDemandIsSummedAndQueuesAreGauges(t *testing.T) {
	sum := newDemandAggregator(0)
	report := func(requests float64, queued int) feed.DemandReport {
		return feed.DemandReport{Demands: []feed.Demand{{Intent: "i", Class: "c", Requests: requests, QueuedRequests: queued}}}
	}
	sum.add("a", report(3, 1), time.Second)
	sum.add("a", report(4, 2), 2*time.Second)
	sum.add("b", report(5, 3), 2*time.Second)
	first := sum.report(2 * time.Second)
	must.Eq(t, []feed.Demand{{Intent: "i", Class: "c", Requests: 12, QueuedRequests: 5}}, first.Demands)
	sum.finishReport(first, false, 2*time.Second)
	must.Eq(t, 12, sum.report(3 * time.Second).Demands[0].Requests, must.Sprint("a report that was not sent must be kept"))
	sum.add("b", report(6, 3), 3*time.Second)
	sum.finishReport(first, true, 3*time.Second)
	next := sum.report(3 * time.Second)
	must.Eq(t, 6, next.Demands[0].Requests, must.Sprint("demand that arrived since the report must be kept"))
	must.Eq(t, 5, next.Demands[0].QueuedRequests)
	sum.finishReport(next, true, 3*time.Second)
	must.SliceEmpty(t, sum.report(10*time.Second).Demands, must.Sprint("queue reports must expire"))
}
