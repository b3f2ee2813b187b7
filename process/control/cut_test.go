package control

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/connection/peer"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// peerNetwork proxies the connections between members and can isolate one of them. Data in transit
// is held back and delivered once the partition heals.
type peerNetwork struct {
	t         *testing.T
	lock      sync.Mutex
	open      *sync.Cond
	ended     bool
	cut       raft.MemberID
	listeners []net.Listener
	running   sync.WaitGroup
}

func newPeerNetwork(t *testing.T) *peerNetwork {
	n := &peerNetwork{t: t}
	n.open = sync.NewCond(&n.lock)
	t.Cleanup(n.end)
	return n
}

// proxyTo returns an address that forwards to the target.
func (n *peerNetwork) proxyTo(target string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(n.t, err)
	n.listeners = append(n.listeners, listener)
	n.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n.running.Go(func() { n.handle(conn, target) })
		}
	})
	return listener.Addr().String()
}

// recordingConn records all data read from the connection.
type recordingConn struct {
	net.Conn
	read bytes.Buffer
}

func (r *recordingConn) Read(data []byte) (int, error) {
	n, err := r.Conn.Read(data)
	r.read.Write(data[:n])
	return n, err
}

// handle reads the sender and the receiver from the first frame, forwards it, and then copies data
// in both directions.
func (n *peerNetwork) handle(conn net.Conn, target string) {
	defer func() { _ = conn.Close() }()
	opening := &recordingConn{Conn: conn}
	const helloBytes = 64
	hello, err := frame.NewReader(opening, peer.Protocol, helloBytes, waitTimeout).ReadFrame()
	if err != nil {
		return
	}
	decoder := frame.NewDecoder(hello.Payload)
	decoder.Uint64() // the group ID
	sender, receiver := raft.MemberID(decoder.Uint64()), raft.MemberID(decoder.Uint64())
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	must.NoError(n.t, conn.SetReadDeadline(time.Time{}))
	n.wait(sender, receiver)
	if _, err := upstream.Write(opening.read.Bytes()); err != nil {
		return
	}
	var copying sync.WaitGroup
	copying.Go(func() { n.copy(upstream, conn, sender, receiver) })
	copying.Go(func() { n.copy(conn, upstream, sender, receiver) })
	copying.Wait()
}

func (n *peerNetwork) copy(to, from net.Conn, endpoints ...raft.MemberID) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		n.wait(endpoints...)
		if _, writeErr := to.Write(buffer[:count]); err != nil || writeErr != nil {
			return
		}
	}
}

// wait blocks while either endpoint is isolated.
func (n *peerNetwork) wait(endpoints ...raft.MemberID) {
	n.lock.Lock()
	defer n.lock.Unlock()
	for !n.ended && n.cut != raft.None && (endpoints[0] == n.cut || endpoints[1] == n.cut) {
		n.open.Wait()
	}
}

// isolate cuts the member off from all others; raft.None heals the partition.
func (n *peerNetwork) isolate(member raft.MemberID) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.cut = member
	n.open.Broadcast()
}

// end closes the listeners. It runs after the members have stopped, when all connections are
// closed.
func (n *peerNetwork) end() {
	n.lock.Lock()
	n.ended = true
	n.lock.Unlock()
	n.open.Broadcast()
	for _, listener := range n.listeners {
		must.NoError(n.t, listener.Close())
	}
	n.running.Wait()
}

// connect routes the connections between members through the network. It must be called before any
// member starts.
func (c *cluster) connect(network *peerNetwork) {
	members := c.configs[0].Members
	for i := range members {
		members[i].PeerAddress = network.proxyTo(members[i].PeerAddress)
	}
}

func TestReconnectedOldLeaderChangesNothing(t *testing.T) {
	network := newPeerNetwork(t)
	c := newCluster(t, 3, nil)
	c.connect(network)
	c.start(0, 1, 2)
	c.awaitFurtherLosses(1)
	old := c.leader()
	first := api.Transaction{OperationID: "first", Writes: tenantWrites("water")}
	must.Eq(t, api.OutcomeAccepted, c.transact(first).Code)
	network.isolate(c.running[old].member.id)
	// The first write reaches the old leader while it still holds its lease; more follow until it
	// refuses them as definitely not accepted.
	sent := 0
	eventually(t, "a write is refused for lack of a quorum", func() bool {
		sent++
		lost := api.Transaction{OperationID: fmt.Sprintf("lost-%d", sent), Writes: tenantWrites(fmt.Sprintf("lost-%d", sent))}
		status := c.call(old, http.MethodPost, operatorapi.PathTransactions, lost, nil)
		must.NotEq(t, http.StatusOK, status)
		return status == http.StatusServiceUnavailable
	})
	must.Eq(t, http.StatusServiceUnavailable, c.call(old, http.MethodGet, operatorapi.PathObjects+"/Tenant", nil, nil))
	cutOff := c.running[old]
	delete(c.running, old)
	kept := c.transact(api.Transaction{OperationID: "kept", Writes: tenantWrites("kept")})
	must.Eq(t, api.OutcomeAccepted, kept.Code)
	before, _ := c.status()
	c.running[old] = cutOff
	network.isolate(raft.None)
	c.awaitFurtherLosses(1)
	after, _ := c.status()
	must.Eq(t, []any{before.Leader, before.Term, before.Revision}, []any{after.Leader, after.Term, after.Revision})
	eventually(t, "the old leader has the current view", func() bool { return cutOff.member.machine.view().Version.Revision == kept.Revision })
	must.MapContainsKeys(t, cutOff.member.machine.view().Tenants, []string{"water", "kept"})
	must.MapLen(t, 2, cutOff.member.machine.view().Tenants)
}

func tenantWrites(name string) []api.Write {
	return []api.Write{{Object: api.Object{Tenant: &api.Tenant{Metadata: api.Metadata{Name: name}}}}}
}
