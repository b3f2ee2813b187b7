package feed

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/view"
)

// bulkTenantCount makes a view that exceeds bulkThresholdBytes even when compressed.
const bulkTenantCount = 110_000

func startBulkServer(t *testing.T, config ServerConfig) (*Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	config.ViewLease, config.WriteTimeout = testLease, time.Second
	server := NewServer(config, listener)
	t.Cleanup(server.Close)
	return server, listener.Addr().String()
}

// subscribeFullView subscribes without a version, which requests the full view.
func subscribeFullView(t *testing.T, address, daemon string) *rawSubscriber {
	raw := newRawSubscriber(t, address)
	raw.send(kindSubscribe, encodeSubscribe(subscribe{daemon: daemon}))
	return raw
}

// readDelta returns the version that the next delta leads to.
func (r *rawSubscriber) readDelta() view.Version {
	deadline := time.Now().Add(testTimeout)
	received, err := r.reader.ReadFrame()
	for err == nil && received.Kind == kindLeaseGrant && time.Now().Before(deadline) {
		received, err = r.reader.ReadFrame()
	}
	must.NoError(r.t, err)
	must.Eq(r.t, kindDelta, received.Kind)
	must.GreaterEq(r.t, bulkThresholdBytes, len(received.Payload))
	delta, err := decodeDelta(received.Payload)
	must.NoError(r.t, err)
	return delta.To
}

func TestLargeDeltasWaitForASlot(t *testing.T) {
	group := newFakeGroup()
	group.putBatch("water", bulkTenantCount)
	server, address := startBulkServer(t, ServerConfig{Group: group, MaxBulkDeltas: 2, SilenceTimeout: testTimeout})
	first := subscribeFullView(t, address, "first")
	version := first.readDelta()
	second := subscribeFullView(t, address, "second")
	second.readDelta()
	third := subscribeFullView(t, address, "third")
	received, err := third.reader.ReadFrame()
	must.NoError(t, err)
	must.Eq(t, kindLeaseGrant, received.Kind, must.Sprint("two large deltas are already in transit"))
	must.Eq(t, 3, server.Subscribers())

	first.send(kindHeartbeat, encodeHeartbeat(heartbeat{acked: version, held: version}))
	must.Eq(t, version, third.readDelta())
	must.NoError(t, second.conn.Close())
	subscribeFullView(t, address, "fourth").readDelta()
}

func TestClientWaitingForALargeDeltaStaysConnected(t *testing.T) {
	group := newFakeGroup()
	group.putBatch("water", bulkTenantCount)
	server, address := startBulkServer(t, ServerConfig{Group: group, MaxBulkDeltas: 1, SilenceTimeout: testTimeout})
	first := subscribeFullView(t, address, "first")
	version := first.readDelta()
	const silence = 3 * bulkKeepAlive
	var dials atomic.Int64
	holder := view.NewHolder()
	client, err := Dial(ClientConfig{
		Daemon: "waiting", Addresses: []string{address}, SilenceTimeout: silence,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Add(1)
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	}, holder)
	must.NoError(t, err)
	t.Cleanup(client.Close)
	eventually(t, "two subscriptions", func() bool { return server.Subscribers() == 2 })
	time.Sleep(silence + bulkKeepAlive) // longer than the client's silence timeout
	first.send(kindHeartbeat, encodeHeartbeat(heartbeat{acked: version, held: version}))
	eventually(t, "the view to arrive", func() bool { return holder.Load().Version == version })
	must.Eq(t, 1, dials.Load())
}

// The server's clock advances past the acknowledgement timeout with each heartbeat. The read
// timeout of the connection, after which a silent subscriber is disconnected, uses the real clock.
func TestSubscriberThatNeverAcknowledgesLosesItsBulkSlot(t *testing.T) {
	group := newFakeGroup()
	group.putBatch("water", bulkTenantCount)
	var clock atomic.Int64
	server, address := startBulkServer(t, ServerConfig{
		Group: group, MaxBulkDeltas: 1, SilenceTimeout: testTimeout,
		Clock: func() time.Duration { return time.Duration(clock.Load()) },
	})
	unacknowledging := subscribeFullView(t, address, "stuck")
	unacknowledging.readDelta()
	next := subscribeFullView(t, address, "next")
	ctx, cancel := context.WithCancel(context.Background())
	var heartbeats sync.WaitGroup
	heartbeats.Go(func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			clock.Add(int64(testTimeout + 1))
			_ = unacknowledging.writer.WriteFrame(kindHeartbeat, encodeHeartbeat(heartbeat{sequence: sequence}))
			_ = unacknowledging.writer.Flush()
			time.Sleep(testLease / 2)
		}
	})
	next.readDelta()
	must.Eq(t, 2, server.Subscribers(), must.Sprint("neither subscriber was disconnected"))
	cancel()
	heartbeats.Wait()
}

func TestFullViewEncodingIsReused(t *testing.T) {
	group := newFakeGroup()
	group.put("water")
	cache := &deltaCache{}
	first, version, err := cache.deltaSince(group, view.Version{}, 0)
	must.NoError(t, err)
	laterRevision := group.put("gritting")
	partial, reached, err := cache.deltaSince(group, version, 0)
	must.NoError(t, err)
	must.Eq(t, laterRevision, reached.Revision)
	must.NotEq(t, first, partial)
	again, same, err := cache.deltaSince(group, view.Version{}, fullViewCacheTTL-1)
	must.NoError(t, err)
	must.True(t, &first[0] == &again[0], must.Sprint("the cached encoding is reused"))
	must.Eq(t, version, same)
	_, fresh, err := cache.deltaSince(group, view.Version{}, fullViewCacheTTL)
	must.NoError(t, err)
	must.Eq(t, laterRevision, fresh.Revision)
}
