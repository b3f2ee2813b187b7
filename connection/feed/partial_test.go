package feed

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/subset"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

func listedReplica(number int, leaving bool) api.Object {
	return api.Object{Replica: &api.Replica{
		Metadata: api.Metadata{Name: fmt.Sprintf("r-%05d", number)},
		Spec:     api.ReplicaSpec{Service: "chat", Address: fmt.Sprintf("10.0.0.1:%d", number), Zone: "a", Slots: 8, Leaving: leaving},
	}}
}

// addReplicas adds the replicas with the numbers to the group's view.
func (g *fakeGroup) addReplicas(from, to int, leaving bool) {
	observed := state.Observe{}
	for number := from; number < to; number++ {
		observed.Put = append(observed.Put, listedReplica(number, leaving))
	}
	g.apply(state.Command{Kind: state.CommandObserve, Observe: &observed})
}

// removeReplicas removes the replicas with the numbers from the group's view.
func (g *fakeGroup) removeReplicas(from, to int) {
	observed := state.Observe{}
	for number := from; number < to; number++ {
		observed.Removed = append(observed.Removed, api.Key{Kind: api.KindReplica, Name: fmt.Sprintf("r-%05d", number)})
	}
	g.apply(state.Command{Kind: state.CommandObserve, Observe: &observed})
}

// countingConn counts the bytes read.
type countingConn struct {
	net.Conn
	bytesRead *atomic.Int64
}

func (c countingConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.bytesRead.Add(int64(n))
	return n, err
}

// startPartial starts a client with a partial subscription and returns a counter of the bytes it
// reads.
func startPartial(t *testing.T, daemon string, holder *view.Holder, address string) (*Client, *atomic.Int64) {
	read := &atomic.Int64{}
	client, err := Dial(ClientConfig{
		Daemon: daemon, Addresses: []string{address}, Partial: true,
		HeartbeatInterval: 20 * time.Millisecond, SilenceTimeout: testTimeout, BackoffMin: time.Millisecond, BackoffMax: 20 * time.Millisecond,
		Dial: countingDial(read),
	}, holder)
	must.NoError(t, err)
	t.Cleanup(client.Close)
	return client, read
}

// The size of a partial view must not grow with the number of replicas. Otherwise the view of a
// service with ten thousand replicas takes a proxy's link more than a second, and the leader's link
// the time of all proxies together.
func TestPartialViewSizeIsIndependentOfReplicaCount(t *testing.T) {
	viewBytes := map[int]int64{}
	for _, size := range []int{200, 10_000} {
		group := newFakeGroup()
		_, address := startServer(t, group)
		group.put("water")
		group.addReplicas(0, size, false)
		holder := view.NewHolder()
		_, read := startPartial(t, "proxy-1", holder, address)
		eventually(t, "the view", func() bool { return holder.Load().Version.Revision == 2 })
		must.MapContainsKey(t, holder.Load().Tenants, "water")
		// A subset has between 128 and 255 replicas on average; all 200 are included.
		must.Between(t, 90, len(holder.Load().Replicas), 255, must.Sprint(size))
		viewBytes[size] = read.Load()
	}
	must.Less(t, 2*viewBytes[200], viewBytes[10_000])
}

// A daemon receives each change of the replicas in its subset, and none of the others.
func TestPartialViewsFollowTheReplicasOfTheirSubset(t *testing.T) {
	group := newFakeGroup()
	server, address := startServer(t, group)
	group.addReplicas(0, 1000, false)
	holder := view.NewHolder()
	startPartial(t, "proxy-1", holder, address)
	share := subset.ShareOf(1000, 0)
	check := func(revision uint64, inView func(number int) bool) {
		t.Helper()
		server.Wake()
		eventually(t, "the version", func() bool { return holder.Load().Version.Revision == revision })
		for number := range 1200 {
			name := fmt.Sprintf("r-%05d", number)
			_, listed := holder.Load().Replicas[name]
			must.Eq(t, inView(number) && share.Includes("proxy-1", name), listed, must.Sprint(name))
		}
	}
	check(1, func(number int) bool { return number < 1000 })
	group.removeReplicas(0, 100)
	check(2, func(number int) bool { return number >= 100 && number < 1000 })
	group.addReplicas(1000, 1100, false)
	check(3, func(number int) bool { return number >= 100 && number < 1100 })
	group.addReplicas(100, 1100, true)
	check(4, func(number int) bool { return number >= 100 && number < 1100 })
	for _, replica := range holder.Load().Replicas {
		must.True(t, replica.Spec.Leaving)
	}
	share = 0
	group.removeReplicas(200, 1100)
	check(5, func(number int) bool { return number >= 100 && number < 200 })
}

// A daemon that reconnects with the version and the subset that it holds receives the later changes
// and keeps its replicas.
func TestPartialViewsResumeFromTheHeldVersion(t *testing.T) {
	group := newFakeGroup()
	server, address := startServer(t, group)
	group.addReplicas(0, 1000, false)
	holder := view.NewHolder()
	client, _ := startPartial(t, "proxy-1", holder, address)
	eventually(t, "the view", func() bool { return holder.Load().Version.Revision == 1 })
	held := client.shares.Load()
	client.Close()
	group.put("water")
	again, read := startPartial(t, "proxy-1", holder, address)
	again.shares.Store(held) // as a client of the same process would still have it
	server.Wake()
	eventually(t, "the missed changes", func() bool { return holder.Load().Version.Revision == 2 })
	must.Greater(t, 0, len(holder.Load().Replicas))
	_ = read
}

func TestSubsetReplicasRoundTrip(t *testing.T) {
	message := subsetReplicas{version: view.Version{Term: 2, Revision: 9}, shares: shares{"chat": 6}, replicas: []*api.Replica{listedReplica(3, true).Replica}}
	got, err := decodeSubsetReplicas(encodeSubsetReplicas(message))
	must.NoError(t, err)
	must.Eq(t, message, got)
	encoder := frame.NewEncoder(nil)
	encodeShares(encoder, shares{"chat": 64})
	decodeShares(frame.NewDecoder(encoder.Data()))
	_, err = decodeSubsetReplicas(append(encodeSubsetReplicas(message), 0))
	must.Error(t, err)
}

// A reply carries the replicas that it names outside the daemon's subset.
func TestPlaceRepliesCarryReplicasOutsideTheSubset(t *testing.T) {
	reply := placeReply{requestID: 4, decided: true, replicas: []*api.Replica{listedReplica(3, false).Replica}}
	got, err := decodePlaceReply(encodePlaceReply(reply))
	must.NoError(t, err)
	must.Eq(t, reply, got)

	group := newFakeGroup()
	server, _ := startServer(t, group)
	group.addReplicas(0, 1000, false)
	s := &subscriber{server: server, partial: true, key: daemonKey{daemon: "proxy-1"}}
	outsideCount := 0
	for number := range 1000 {
		name := fmt.Sprintf("r-%05d", number)
		outside := s.replicasOutsideSubset("", name, "", "unknown")
		must.Eq(t, !subset.ShareOf(1000, 0).Includes("proxy-1", name), len(outside) == 1, must.Sprint(name))
		outsideCount += len(outside)
	}
	// The share of 1000 replicas is 2, so about 750 are outside the subset.
	must.Between(t, 500, outsideCount, 950)
	must.SliceEmpty(t, (&subscriber{server: server}).replicasOutsideSubset("", "r-00001"))
}

func TestNamedReplicasAreEvictedByGeneration(t *testing.T) {
	var cache namedReplicas
	for number := range 2 * maxNamedPerGeneration {
		cache.add([]*api.Replica{listedReplica(number, false).Replica})
	}
	must.NotNil(t, cache.find(fmt.Sprintf("r-%05d", maxNamedPerGeneration)))
	must.NotNil(t, cache.find(fmt.Sprintf("r-%05d", 2*maxNamedPerGeneration-1)))
	for number := 2 * maxNamedPerGeneration; number < 3*maxNamedPerGeneration; number++ {
		cache.add([]*api.Replica{listedReplica(number, false).Replica})
	}
	must.Nil(t, cache.find("r-00000"))
}

func countingDial(read *atomic.Int64) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, read}, nil
	}
}
