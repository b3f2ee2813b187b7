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

// cable carries the members' connections to each other and can be cut off at
// one member. What is on its way waits, and arrives once the cut is healed.
type cable struct {
	t         *testing.T
	lock      sync.Mutex
	open      *sync.Cond
	ended     bool
	cut       raft.MemberID
	listeners []net.Listener
	running   sync.WaitGroup
}

func newPeerNetwork(t *testing.T) *cable {
	c := &cable{t: t}
	c.open = sync.NewCond(&c.lock)
	t.Cleanup(c.end)
	return c
}

// lay returns an address that leads to the target.
func (c *cable) lay(target string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(c.t, err)
	c.listeners = append(c.listeners, listener)
	c.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c.running.Go(func() { c.carry(conn, target) })
		}
	})
	return listener.Addr().String()
}

// recorded keeps what was read from the connection.
type recorded struct {
	net.Conn
	read bytes.Buffer
}

func (r *recorded) Read(data []byte) (int, error) {
	n, err := r.Conn.Read(data)
	r.read.Write(data[:n])
	return n, err
}

// carry reads who connects to whom from the first frame, hands it on and then
// copies both directions.
func (c *cable) carry(conn net.Conn, target string) {
	defer func() { _ = conn.Close() }()
	opening := &recorded{Conn: conn}
	const helloBytes = 64
	hello, err := frame.NewReader(opening, peer.Protocol, helloBytes, patience).ReadFrame()
	if err != nil {
		return
	}
	decoder := frame.NewDecoder(hello.Payload)
	decoder.Uint64() // the group
	sender, receiver := raft.MemberID(decoder.Uint64()), raft.MemberID(decoder.Uint64())
	onward, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = onward.Close() }()
	must.NoError(c.t, conn.SetReadDeadline(time.Time{}))
	c.wait(sender, receiver)
	if _, err := onward.Write(opening.read.Bytes()); err != nil {
		return
	}
	var copying sync.WaitGroup
	copying.Go(func() { c.copy(onward, conn, sender, receiver) })
	copying.Go(func() { c.copy(conn, onward, sender, receiver) })
	copying.Wait()
}

func (c *cable) copy(to, from net.Conn, ends ...raft.MemberID) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.wait(ends...)
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// wait returns when neither end is cut off.
func (c *cable) wait(ends ...raft.MemberID) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for !c.ended && c.cut != raft.None && (ends[0] == c.cut || ends[1] == c.cut) {
		c.open.Wait()
	}
}

// isolate cuts the member off; raft.None heals the cut.
func (c *cable) isolate(member raft.MemberID) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.cut = member
	c.open.Broadcast()
}

// end runs after the members have stopped, so all connections are closed.
func (c *cable) end() {
	c.lock.Lock()
	c.ended = true
	c.lock.Unlock()
	c.open.Broadcast()
	for _, listener := range c.listeners {
		must.NoError(c.t, listener.Close())
	}
	c.running.Wait()
}

// connect makes the members reach each other through the cable. It is called
// before any of them starts.
func (c *cluster) connect(through *cable) {
	members := c.configs[0].Members
	for i := range members {
		members[i].PeerAddress = through.lay(members[i].PeerAddress)
	}
}

func TestReconnectedOldLeaderChangesNothing(t *testing.T) {
	wire := newPeerNetwork(t)
	c := newCluster(t, 3, nil)
	c.connect(wire)
	c.start(0, 1, 2)
	c.awaitFurtherLosses(1)
	old := c.leader()
	first := api.Transaction{OperationID: "first", Writes: tenantWrites("water")}
	must.Eq(t, api.OutcomeAccepted, c.transact(first).Code)
	wire.isolate(c.running[old].member.id)
	// One write reaches the old leader while it still holds its lease, more
	// follow until it refuses them as surely not accepted.
	sent := 0
	eventually(t, "a sure refusal", func() bool {
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
	wire.isolate(raft.None)
	c.awaitFurtherLosses(1)
	after, _ := c.status()
	must.Eq(t, []any{before.Leader, before.Term, before.Revision}, []any{after.Leader, after.Term, after.Revision})
	eventually(t, "the old leader's view", func() bool { return cutOff.member.machine.view().Version.Revision == kept.Revision })
	must.MapContainsKeys(t, cutOff.member.machine.view().Tenants, []string{"water", "kept"})
	must.MapLen(t, 2, cutOff.member.machine.view().Tenants)
}

func tenantWrites(name string) []api.Write {
	return []api.Write{{Object: api.Object{Tenant: &api.Tenant{Metadata: api.Metadata{Name: name}}}}}
}
