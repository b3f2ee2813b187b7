package scale

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/landingtrail/landingtrail/lab/fleet"
	"github.com/landingtrail/landingtrail/process/control"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// Both run from the start of a process that links go-zero to its end.
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/proc.init.1.func1"),
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/stat.init.1.func1"),
	)
}

const testGroup = 7

// freePort returns a port that is free at the first replica's address.
func freePort(t *testing.T) int {
	host, _, err := net.SplitHostPort(replicaAddress(0, 0))
	must.NoError(t, err)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// startInside starts members and replicas in this process.
func startInside(t *testing.T, members, replicas int) *cluster {
	around := &cluster{port: freePort(t)}
	started, err := StartReplicas(ReplicasConfig{Count: replicas, Port: around.port})
	must.NoError(t, err)
	t.Cleanup(started.Close)
	ctx, cancel := context.WithCancel(context.Background())
	around.context = ctx
	addresses, err := fleet.FreeAddresses(3 * members)
	must.NoError(t, err)
	var listed []control.Member
	for i := range members {
		own := addresses[3*i:]
		listed = append(listed, control.Member{Name: engineName(i), PeerAddress: own[0], FeedAddress: own[1], OperatorAddress: own[2]})
	}
	ended := make(chan error, members)
	t.Cleanup(func() {
		cancel()
		for range members {
			must.NoError(t, <-ended)
		}
	})
	for _, member := range listed {
		around.feeds = append(around.feeds, member.FeedAddress)
		around.operators = append(around.operators, member.OperatorAddress)
		config := control.Config{
			Name: member.Name, Members: listed, GroupID: testGroup,
			DataFolder:  filepath.Join(t.TempDir(), member.Name),
			PeerAddress: member.PeerAddress, FeedAddress: member.FeedAddress, OperatorAddress: member.OperatorAddress,
		}
		go func() { ended <- control.Run(ctx, config, log.NewNopLogger()) }()
	}
	return around
}

func TestSmallScaleRunMeasuresEveryFigure(t *testing.T) {
	const daemons, replicas = 8, 32
	size, err := measure(startInside(t, 3, replicas), Config{
		Duration:        time.Second,
		Seed:            1,
		PollInterval:    50 * time.Millisecond,
		ChangeInterval:  100 * time.Millisecond,
		RestartInterval: 300 * time.Millisecond,
	}, daemons, replicas)
	must.NoError(t, err)
	must.Eq(t, daemons, size.Daemons)
	must.Eq(t, replicas, size.Replicas)
	must.Positive(t, size.BytesPerSecondPerDaemon)
	must.Positive(t, size.CPUSharePerDaemon)
	must.Positive(t, size.Hollow.BytesPerPoll)
	must.Positive(t, size.Hollow.FullViewBytes)
	must.Eq(t, replicas, int(size.Hollow.Followed), must.Sprint("each group is small enough to be followed whole"))
	must.Eq(t, 0, size.Hollow.PollsFailed)
	must.Positive(t, size.Changes.Accepted)
	must.Eq(t, 0, size.Changes.Failed)
	must.Eq(t, 0, size.Changes.NeverSeen)
	must.Eq(t, 0, size.Changes.RestartsFailed)
	must.Positive(t, size.Changes.Restarts)
	must.Positive(t, size.InForce.P50)
	must.Eq(t, 1, size.Processes)
	must.Positive(t, size.ResidentBytes)
	must.GreaterEq(t, size.InForce.P50, size.InForce.Last)
}

func TestViewStoreSharesOnlyTheSameStep(t *testing.T) {
	version := func(revision uint64) view.Version { return view.Version{Term: 1, Revision: revision} }
	delta := func(from, to uint64, name string) view.Delta {
		return view.Delta{From: version(from), To: version(to), Objects: []api.Object{
			{Tenant: &api.Tenant{Metadata: api.Metadata{Name: name}}},
		}}
	}
	full := view.Delta{To: version(1), Full: true}
	store := newViewStore()
	first, second := newSharedHolder(store), newSharedHolder(store)
	must.NoError(t, first.Apply(full))
	must.NoError(t, second.Apply(full))
	must.True(t, first.Load() == second.Load(), must.Sprint("the same step leads to one view"))

	must.NoError(t, first.Apply(delta(1, 2, "water")))
	must.ErrorIs(t, second.Apply(delta(2, 3, "gritting")), view.ErrGap)
	must.NoError(t, second.Apply(delta(1, 2, "water")))
	must.True(t, first.Load() == second.Load())
	must.ErrorIs(t, second.Apply(delta(1, 2, "water")), view.ErrStale)
	must.Eq(t, 1, len(second.Load().Tenants))
	must.Eq(t, 2, len(second.takeMoves()))
}

func TestReachedCountsFromTheSending(t *testing.T) {
	sent := time.Unix(100, 0)
	daemon := &hollow{holder: newSharedHolder(newViewStore())}
	daemon.holder.moves = []moved{{revision: 5, at: sent.Add(time.Second)}, {revision: 9, at: sent.Add(3 * time.Second)}}
	changes := []change{{revision: 5, sentAt: sent}, {revision: 7, sentAt: sent}, {revision: 10, sentAt: sent}}
	times, never := reached(changes, []*hollow{daemon})
	must.Eq(t, []time.Duration{time.Second, 3 * time.Second}, times)
	must.Eq(t, 1, never)
	must.Eq(t, Quantiles{P50: 1000, P99: 1000, Last: 3000}, quantilesOf(times))
	must.Eq(t, Quantiles{}, quantilesOf(nil))
}

func TestReplicaAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for i := range 20_000 {
		address := replicaAddress(i, 20_000)
		must.False(t, seen[address])
		host, _, err := net.SplitHostPort(address)
		must.NoError(t, err)
		must.True(t, net.ParseIP(host).IsLoopback())
		seen[address] = true
	}
}

func TestMeteredConnectionCountsBothWays(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		buffer := make([]byte, 3)
		_, _ = conn.Read(buffer)
		_, _ = conn.Write([]byte("answer"))
	}()
	counted := &meter{}
	conn, err := counted.dial(context.Background(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("ask"))
	must.NoError(t, err)
	buffer := make([]byte, 16)
	count, err := conn.Read(buffer)
	must.NoError(t, err)
	must.Eq(t, int64(3+count), counted.bytes.Load())
	must.Eq(t, "answer", string(buffer[:count]))
}

func TestUsageOfThisProcess(t *testing.T) {
	used, err := usageOf(os.Getpid())
	must.NoError(t, err)
	must.Positive(t, used.resident)
	must.Positive(t, used.read)
	must.Positive(t, ownProcessorTime())
	_, err = usageOf(-1)
	must.Error(t, err)
}
