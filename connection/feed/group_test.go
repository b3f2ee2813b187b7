package feed

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds every wait. No assertion depends on its value.
const testTimeout = 20 * time.Second

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting for %s", testTimeout, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// fakeGroup is a control group with a single state machine.
type fakeGroup struct {
	limits     *ratelimit.Limiter
	limitsNow  time.Duration // the time for limits
	lock       sync.Mutex
	machine    *state.Machine
	index      uint64
	leadership Leadership
	leased     bool
	claim      func(state.ClaimRequest) (api.ClaimResult, error)
	demand     []DemandReport
	usage      []UsageReport
	presences  []Presence
	// grant is the answer to each charge. charged records the charges; refunds have a negative
	// cost.
	grant   quota.Grant
	charged []ChargeRequest
}

func newFakeGroup() *fakeGroup {
	g := &fakeGroup{limits: ratelimit.NewLimiter(ratelimit.DefaultRule, 0), limitsNow: time.Hour, machine: state.New(), leadership: Leadership{Leads: true, Term: 1}, leased: true}
	g.claim = func(request state.ClaimRequest) (api.ClaimResult, error) {
		return g.apply(state.Command{Kind: state.CommandClaim, Claim: &request}).(api.ClaimResult), nil
	}
	return g
}

func (g *fakeGroup) apply(command state.Command) any {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.index++
	return g.machine.Apply(g.leadership.Term, g.index, command)
}

// put writes a tenant and returns the revision.
func (g *fakeGroup) put(name string) uint64 {
	tenant := &api.Tenant{Metadata: api.Metadata{Name: name}}
	transaction := &api.Transaction{OperationID: "put-" + name, Writes: []api.Write{{Object: api.Object{Tenant: tenant}}}}
	return g.apply(state.Command{Kind: state.CommandTransaction, Transaction: transaction}).(api.TransactionResult).Revision
}

// putBatch writes tenants in one transaction. Tenants of an earlier call are overwritten.
func (g *fakeGroup) putBatch(prefix string, count int) {
	transaction := &api.Transaction{OperationID: fmt.Sprint(prefix, "-", time.Now().UnixNano())}
	for i := range count {
		tenant := &api.Tenant{Metadata: api.Metadata{Name: fmt.Sprintf("%s-%d", prefix, i)}}
		g.lock.Lock()
		if old, found := g.machine.Object(api.Key{Kind: api.KindTenant, Name: tenant.Name}); found {
			tenant.Revision = old.Tenant.Revision
		}
		g.lock.Unlock()
		transaction.Writes = append(transaction.Writes, api.Write{Object: api.Object{Tenant: tenant}})
	}
	g.apply(state.Command{Kind: state.CommandTransaction, Transaction: transaction})
}

// setLeadership sets the member's role; leased says whether a leader has a valid leader lease.
func (g *fakeGroup) setLeadership(leads, leased bool, term uint64, address string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.leadership = Leadership{Leads: leads, Term: term, Address: address}
	g.leased = leased
}

func (g *fakeGroup) Leadership() Leadership {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.leadership
}

func (g *fakeGroup) Lease(context.Context) (uint64, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.leadership.Term, g.leadership.Leads && g.leased
}

func (g *fakeGroup) Version() view.Version {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.machine.Version()
}

func (g *fakeGroup) View() *view.View {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.machine.History().View
}

func (g *fakeGroup) DeltaSince(from view.Version) (view.Delta, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.machine.DeltaSince(from)
}

func (g *fakeGroup) Claim(_ context.Context, request state.ClaimRequest) (api.ClaimResult, error) {
	return g.claim(request)
}

func (g *fakeGroup) RecordOutcome(_ context.Context, outcome state.RunOutcome) error {
	g.apply(state.Command{Kind: state.CommandRunOutcome, RunOutcome: &outcome})
	return nil
}

func (g *fakeGroup) ReportPresence(presence Presence) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.presences = append(g.presences, presence)
}

func (g *fakeGroup) Place(string, PlaceRequest) (placement.Answer, bool) {
	return placement.Answer{}, false
}

func (g *fakeGroup) RecordProgress(string, PlacementProgress) {}

func (g *fakeGroup) RecordCrashes(CrashReport) {}

func (g *fakeGroup) UnrecordedCrashes() (CrashReport, uint64) { return CrashReport{}, 0 }

func (g *fakeGroup) Charge(request ChargeRequest) (quota.Grant, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.charged = append(g.charged, request)
	return g.grant, true
}

func (g *fakeGroup) RefundCharge(request ChargeRequest) {
	g.lock.Lock()
	defer g.lock.Unlock()
	request.Cost = -request.Cost
	g.charged = append(g.charged, request)
}

// passTime advances the time for limits.
func (g *fakeGroup) passTime(by time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.limitsNow += by
}

func (g *fakeGroup) ChargeLimit(request ratelimit.Request, _ bool) (ratelimit.Reply, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	reply, _ := g.limits.Charge(g.limitsNow, request, true)
	return reply, true
}

func (g *fakeGroup) RecordLimit(request ratelimit.Request, _ bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.limits.Record(g.limitsNow, request)
}

func (g *fakeGroup) AnnouncedLimits(since uint64) ([]ratelimit.NamedReport, uint64) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.limits.Announcements(g.limitsNow, since)
}

func (g *fakeGroup) RecordUsage(report UsageReport) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.usage = append(g.usage, report)
}

// fakeWallClock is the wall-clock time of a fakeGroup in Unix milliseconds.
const fakeWallClock = 1_700_000_000_000

func (g *fakeGroup) WallClock() int64 { return fakeWallClock }

func (g *fakeGroup) RecordCachedParts(CachedParts) {}

func (g *fakeGroup) RecordInFlight(string, InFlight) {}

func (g *fakeGroup) ReportDemand(_ string, report DemandReport) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.demand = append(g.demand, report)
}

// testLease is the view lease used by the tests.
const testLease = 200 * time.Millisecond

// smallBufferListener accepts connections with a small send buffer, so that the tests don't depend
// on the size of the system's buffers or on how long filling them takes.
type smallBufferListener struct{ net.Listener }

const smallBufferBytes = 16 << 10

func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(smallBufferBytes)
}

func startServer(t *testing.T, group Group) (*Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	listener = smallBufferListener{listener}
	server := NewServer(ServerConfig{Group: group, ViewLease: testLease, WriteTimeout: time.Second}, listener)
	t.Cleanup(server.Close)
	return server, listener.Addr().String()
}

func startClient(t *testing.T, views Views, addresses ...string) *Client {
	client, err := Dial(ClientConfig{
		Daemon:            "proxy-a",
		HandoverWait:      testTimeout,
		Addresses:         addresses,
		HeartbeatInterval: 20 * time.Millisecond,
		SilenceTimeout:    time.Second,
		BackoffMin:        time.Millisecond,
		BackoffMax:        20 * time.Millisecond,
	}, views)
	must.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

// tcpRelay forwards bytes to a server until its connections are closed.
type tcpRelay struct {
	t        *testing.T
	listener net.Listener
	target   string
	lock     sync.Mutex
	conns    []net.Conn
	done     sync.WaitGroup
}

func newTCPRelay(t *testing.T, target string) *tcpRelay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &tcpRelay{t: t, listener: listener, target: target}
	r.done.Go(r.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		r.closeConnections()
		r.done.Wait()
	})
	return r
}

func (r *tcpRelay) address() string { return r.listener.Addr().String() }

func (r *tcpRelay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		onward, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		r.lock.Lock()
		r.conns = append(r.conns, conn, onward)
		r.lock.Unlock()
		r.done.Go(func() { copyUntilError(onward, conn) })
		r.done.Go(func() { copyUntilError(conn, onward) })
	}
}

func copyUntilError(to, from net.Conn) {
	buffer := make([]byte, 1<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// closeConnections closes every open connection.
func (r *tcpRelay) closeConnections() {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
	r.conns = nil
}

// putMany writes tenants one by one and returns the last revision.
func putMany(g *fakeGroup, prefix string, count int) (revision uint64) {
	for i := range count {
		revision = g.put(fmt.Sprintf("%s-%d", prefix, i))
	}
	return revision
}

func TestNewGroupDoesNotWaitForEarlierLeases(t *testing.T) {
	const lease = time.Second
	first := view.Version{Term: 1, Revision: 1}
	fresh := newTermLeases(1, view.Version{}, lease, 0)
	must.True(t, fresh.inForce(first, 0).Done, must.Sprint("no daemon holds a view"))
	must.True(t, fresh.tracker.Observe("proxy#1", first, 0))
	must.False(t, fresh.inForce(view.Version{Term: 1, Revision: 2}, 0).Done, must.Sprint("the proxy has not acknowledged"))
	later := newTermLeases(2, first, lease, 0)
	must.True(t, later.inForce(first, 0).Settling, must.Sprint("an earlier leader may have granted leases"))
}

func TestTermStartsBeforeTheFirstQuery(t *testing.T) {
	group := newFakeGroup()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := NewServer(ServerConfig{Group: group, ViewLease: time.Hour}, listener)
	t.Cleanup(server.Close)
	server.Wake()
	eventually(t, "the registry of the term", func() bool { return server.termLeases.Load() != nil })
	revision := group.put("first")
	state, leads := server.InForce(t.Context(), revision)
	must.True(t, leads)
	must.True(t, state.Done, must.Sprint("no lease of an earlier leader is waited for"))
}
