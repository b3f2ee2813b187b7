package feed

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// recordingGroup is a leader that counts placements and progress reports by daemon.
type recordingGroup struct {
	*fakeGroup
	lock       sync.Mutex
	placements map[string]int
	reports    map[string]int
	// blockPlacements, if set, blocks placement requests that were not relayed.
	blockPlacements chan struct{}
}

func newRecordingGroup() *recordingGroup {
	return &recordingGroup{fakeGroup: newFakeGroup(), placements: map[string]int{}, reports: map[string]int{}}
}

func (g *recordingGroup) Place(daemon string, request PlaceRequest) (placement.Answer, bool) {
	if request.Origin == "" && g.blockPlacements != nil {
		<-g.blockPlacements
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	g.placements[daemon]++
	return placement.Answer{Generator: "leader"}, true
}

func (g *recordingGroup) RecordProgress(daemon string, _ PlacementProgress) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.reports[daemon]++
}

func (g *recordingGroup) count(from map[string]int, daemon string) int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return from[daemon]
}

// partitionDialer dials connections and can simulate a partition from an address, which also
// closes its connections.
type partitionDialer struct {
	lock        sync.Mutex
	partitioned map[string]bool
	conns       map[string][]net.Conn
}

func newPartitionDialer() *partitionDialer {
	return &partitionDialer{partitioned: map[string]bool{}, conns: map[string][]net.Conn{}}
}

func (c *partitionDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.partitioned[address] {
		return nil, errors.New("simulated network partition")
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err == nil {
		c.conns[address] = append(c.conns[address], conn)
	}
	return conn, err
}

func (c *partitionDialer) partition(address string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.partitioned[address] = true
	for _, conn := range c.conns[address] {
		_ = conn.Close()
	}
}

func (c *partitionDialer) reconnect(address string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.partitioned, address)
}

func startRelayedClient(t *testing.T, daemon, leader string, dial *partitionDialer, views Views, relays ...string) *Client {
	return startResumedClient(t, nil, daemon, leader, dial, views, relays...)
}

// startResumedClient is startRelayedClient with an OnLeaderResumed callback.
func startResumedClient(t *testing.T, resumed func(), daemon, leader string, dial *partitionDialer, views Views, relays ...string) *Client {
	client, err := Dial(ClientConfig{
		Daemon:            daemon,
		Addresses:         []string{leader},
		HeartbeatInterval: 20 * time.Millisecond,
		SilenceTimeout:    testTimeout,
		BackoffMin:        time.Millisecond,
		BackoffMax:        20 * time.Millisecond,
		Standby:           true,
		OnLeaderResumed:   resumed,
		StandbyRelays:     func() []string { return relays },
		Dial:              dial.dial,
	}, views)
	must.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

// A daemon that is cut off from the members has its requests placed by the leader through another
// daemon, with its own daemon key as the origin. The relay serves no view and no claim.
func TestPlacementsAreRelayedByAnotherDaemon(t *testing.T) {
	group := newRecordingGroup()
	_, leader := startServer(t, group)
	group.put("water")
	relayDialer, clientDialer := newPartitionDialer(), newPartitionDialer()
	holder := view.NewHolder()
	relaying := startRelayedClient(t, "proxy-b", leader, relayDialer, holder)
	_, relay := startServer(t, NewPlacementRelay(relaying, holder))
	client := startRelayedClient(t, "proxy-a", leader, clientDialer, view.NewHolder(), relay)
	eventually(t, "both clients to follow the leader", func() bool {
		return relaying.Connected() && client.Connected() && holder.Load().Version.Revision == 1
	})
	must.Eq(t, "leader", placedBy(client))

	clientDialer.partition(leader)
	eventually(t, "placement through the other daemon", func() bool { return !client.Connected() && placedBy(client) == "leader" })
	name := daemonKey{daemon: "proxy-a", instance: client.instance}.String()
	must.GreaterEq(t, 2, group.count(group.placements, name), must.Sprint(group.placements))
	must.True(t, client.RecordProgress(PlacementProgress{Service: "chat", Number: 1}))
	eventually(t, "the progress report", func() bool { return group.count(group.reports, name) == 1 })
	_, err := client.Claim(t.Context(), state.ClaimRequest{Tenant: "water", Key: "k", Nonce: 1})
	must.ErrorIs(t, err, ErrNoQuorum)

	relayDialer.partition(leader)
	eventually(t, "no relaying by a daemon without a leader", func() bool { return client.standby.Load() == nil && placedBy(client) == "" })

	relayDialer.reconnect(leader)
	clientDialer.reconnect(leader)
	eventually(t, "the leader to serve again", func() bool { return client.Connected() && placedBy(client) == "leader" })
}

// What was relayed once is not relayed again.
func TestRelayedPlacementsAreNotRelayedAgain(t *testing.T) {
	relay := NewPlacementRelay(nil, view.NewHolder())
	_, found := relay.Place("proxy-a", PlaceRequest{Service: "chat", Origin: "proxy-c"})
	must.False(t, found)
	relay.RecordProgress("proxy-a", PlacementProgress{Service: "chat", Origin: "proxy-c"})
}

func TestPlacementMessagesRoundTrip(t *testing.T) {
	request := PlaceRequest{Service: "chat", Number: 7, Origin: "proxy-a#1", Ask: placement.Request{
		PromptTokens: 9, MaxOutputTokens: 3, Priority: 2, Zone: "a", Deadline: time.Second, Continued: true,
		Parts: []placement.Part{{ID: "p", Tokens: 4}}, Excluded: []string{"r"},
	}}
	number, decoded, err := decodePlace(encodePlace(5, request))
	must.NoError(t, err)
	must.Eq(t, 5, number)
	must.Eq(t, request, decoded)
	reply := placeReply{requestID: 5, decided: true, answer: placement.Answer{Generator: "g", Reader: "r", FetchFrom: "f", UnreadTokens: 4, Estimate: time.Second, Wait: time.Minute}}
	gotReply, err := decodePlaceReply(encodePlaceReply(reply))
	must.NoError(t, err)
	must.Eq(t, reply, gotReply)
	progress := PlacementProgress{Service: "chat", Number: 7, Origin: "proxy-a#1", Note: placement.ProgressReport{Step: placement.StepRefused, Replica: "r", ReportedRequests: 3}}
	gotProgress, err := decodePlacementProgress(encodePlacementProgress(progress))
	must.NoError(t, err)
	must.Eq(t, progress, gotProgress)
}

// A leader that does not answer placements is bypassed long before the silence timeout closes the
// connection, and used again once it responds.
func TestUnresponsiveLeaderIsBypassed(t *testing.T) {
	group := newRecordingGroup()
	group.blockPlacements = make(chan struct{})
	unblock := sync.OnceFunc(func() { close(group.blockPlacements) })
	_, leader := startServer(t, group)
	t.Cleanup(unblock) // a server closes only after its calls have returned
	group.put("water")
	holder := view.NewHolder()
	relaying := startRelayedClient(t, "proxy-b", leader, newPartitionDialer(), holder)
	_, relay := startServer(t, NewPlacementRelay(relaying, holder))
	var resumed atomic.Int64
	count := func() { resumed.Add(1) }
	client := startResumedClient(t, count, "proxy-a", leader, newPartitionDialer(), view.NewHolder(), relay)
	eventually(t, "both clients to follow the leader", func() bool {
		return relaying.Connected() && client.Connected() && holder.Load().Version.Revision == 1
	})
	first := client.session.Load()
	place := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := client.Place(ctx, PlaceRequest{Service: "chat", Number: 1})
		return err
	}
	for range unansweredLimit {
		must.ErrorIs(t, place(), ErrNotPlaced)
	}
	eventually(t, "placement through another daemon", func() bool { return place() == nil })
	must.True(t, client.session.Load() == first, must.Sprint("the leader's connection is still open"))
	must.Eq(t, 0, resumed.Load())
	unblock()
	eventually(t, "the leader to be asked again", func() bool {
		return client.responsiveLeader() != nil && client.standby.Load() == nil && place() == nil
	})
	eventually(t, "the Resumed callback", func() bool { return resumed.Load() == 1 })
}
