package feed

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

func limitedReport(perSecond float64) ratelimit.Report {
	return ratelimit.Report{Statement: ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: perSecond}}
}

// A request for a limited replica travels in the frame of a quota charge; the name of a tenant is
// never taken for one.
func TestLimitRequestsTravelInCharges(t *testing.T) {
	request := &ratelimit.Request{Service: "s", Replica: "r", Report: limitedReport(1.4), Priority: 2}
	request.Report.Age, request.Report.SentAge = 3, 4
	data := encodeChargeRequest(frame.NewEncoder(nil), ChargeRequest{Limit: request, Cost: 1})
	decoded, err := decodeChargeRequest(frame.NewDecoder(data))
	must.NoError(t, err)
	must.Eq(t, ChargeRequest{Limit: request, Cost: 1}, decoded)
	_, err = decodeChargeRequest(frame.NewDecoder(encodeChargeRequest(frame.NewEncoder(nil), ChargeRequest{Tenant: limitPrefix + "x"})))
	must.Error(t, err)
	for _, reply := range []ratelimit.Reply{
		{Report: limitedReport(2), Granted: true}, {Report: limitedReport(0), Wait: time.Second}, {Report: ratelimit.Report{Age: time.Second}, Granted: true},
	} {
		must.Eq(t, reply, limitReply(limitGrant(reply)))
	}
}

// announced collects the limits that are announced to a client.
type announced struct {
	lock    sync.Mutex
	reports []ratelimit.NamedReport
}

func (a *announced) add(reports []ratelimit.NamedReport) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.reports = append(a.reports, reports...)
}

func (a *announced) count() int {
	a.lock.Lock()
	defer a.lock.Unlock()
	return len(a.reports)
}

// startLimitClient starts a client with the daemon's name; onLimits may be nil.
func startLimitClient(t *testing.T, address, daemon string, onLimits func([]ratelimit.NamedReport)) *Client {
	client, err := Dial(ClientConfig{
		Daemon: daemon, Addresses: []string{address}, OnLimits: onLimits,
		HeartbeatInterval: 20 * time.Millisecond, SilenceTimeout: testTimeout, BackoffMin: time.Millisecond, BackoffMax: 20 * time.Millisecond,
	}, view.NewHolder())
	must.NoError(t, err)
	t.Cleanup(client.Close)
	eventually(t, "a subscription", client.Connected)
	return client
}

// A limit that one daemon reports reaches all others, and only those that ask for it: daemons of
// older versions end the connection at a frame that they do not know.
func TestLimitsAreAnnouncedToDaemonsThatAsk(t *testing.T) {
	group, received := newFakeGroup(), &announced{}
	_, address := startServer(t, group)
	group.put("water")
	silent := startLimitClient(t, address, "silent", nil)
	reading := startLimitClient(t, address, "reading", received.add)
	reply, err := silent.ChargeLimit(t.Context(), ratelimit.Request{Service: "s", Replica: "r", Report: limitedReport(2)})
	must.NoError(t, err)
	must.False(t, reply.Granted, must.Sprint("the account starts empty"))
	must.Eq(t, 2, reply.Report.PerSecond)
	eventually(t, "the first announcement", func() bool { return received.count() == 1 })
	must.True(t, reading.ReportLimit(ratelimit.Request{Service: "s", Replica: "other", Report: limitedReport(3)}))
	eventually(t, "the second announcement", func() bool { return received.count() == 2 })
	must.True(t, silent.Connected())
	must.Eq(t, 0, silent.session.Load().unanswered.Load())
}

// A report that a relay passes on for another daemon does not subscribe the relay.
func TestRelayedSubscriptionIsIgnored(t *testing.T) {
	group := newFakeGroup()
	_, address := startServer(t, group)
	group.put("water")
	received := &announced{}
	relay := startLimitClient(t, address, "relay", nil)
	relay.config.OnLimits = received.add // which an older relay would not know
	must.True(t, relay.ReportLimit(ratelimit.Request{Service: "another daemon"}))
	_, err := relay.ChargeLimit(t.Context(), ratelimit.Request{Service: "s", Replica: "r", Report: limitedReport(2)})
	must.NoError(t, err)
	time.Sleep(100 * time.Millisecond) // several heartbeats, each of which would bring the announcement
	must.Eq(t, 0, received.count())
}

// Guards against limits that begin or end for some daemons only, or late: with 300 daemons, each learns of both
// within a second of the report.
func TestLimitsReachAllDaemons(t *testing.T) {
	const daemons, soon = 300, time.Second
	group := newFakeGroup()
	_, address := startServer(t, group)
	group.put("water")
	var received [daemons]announced
	var clients [daemons]*Client
	for i := range clients {
		clients[i] = startLimitClient(t, address, fmt.Sprint("proxy-", i), received[i].add)
	}
	for round, report := range []ratelimit.Report{limitedReport(2), {}} {
		group.passTime(2 * time.Second)
		began := time.Now()
		must.True(t, clients[0].ReportLimit(ratelimit.Request{Service: "s", Replica: "r", Report: report}))
		eventually(t, "all have received it", func() bool {
			for i := range received {
				if received[i].count() <= round {
					return false
				}
			}
			return true
		})
		t.Logf("%d daemons received it after %v", daemons, time.Since(began).Round(time.Millisecond))
		must.Less(t, soon, time.Since(began))
	}
}
