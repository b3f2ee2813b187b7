package feed

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/clock"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

func TestClientReconnectsAfterConnectionLoss(t *testing.T) {
	group := newFakeGroup()
	server, address := startServer(t, group)
	between := newTCPRelay(t, address)
	holder := view.NewHolder()
	client := startClient(t, holder, between.address())
	for round := range 10 {
		revision := putMany(group, fmt.Sprintf("round-%d", round), 5)
		server.Wake()
		if round%2 == 0 {
			between.closeConnections()
		}
		eventually(t, "the version", func() bool { return holder.Load().Version.Revision == revision })
	}
	must.Eq(t, 50, len(holder.Load().Tenants))
	eventually(t, "a lease", func() bool { return holder.Valid(clock.Now()) && client.Connected() })
}

func TestClientFollowsRedirectToLeader(t *testing.T) {
	leading := newFakeGroup()
	server, leaderAddress := startServer(t, leading)
	following := newFakeGroup()
	following.setLeadership(false, false, 1, leaderAddress)
	_, address := startServer(t, following)
	revision := leading.put("water")
	server.Wake()
	holder := view.NewHolder()
	startClient(t, holder, address)
	eventually(t, "the leader's version", func() bool { return holder.Load().Version.Revision == revision })
}

func TestSubscribersReconnectToNewLeader(t *testing.T) {
	first, second := newFakeGroup(), newFakeGroup()
	second.setLeadership(false, false, 1, "")
	firstServer, firstAddress := startServer(t, first)
	secondServer, secondAddress := startServer(t, second)
	first.put("water")
	second.put("water")
	holder := view.NewHolder()
	client := startClient(t, holder, firstAddress, secondAddress)
	eventually(t, "a subscription", func() bool { return client.Connected() && firstServer.Subscribers() == 1 })
	second.setLeadership(true, true, 2, "")
	first.setLeadership(false, false, 2, secondAddress)
	firstServer.Wake()
	eventually(t, "the subscription to move to the new leader", func() bool {
		return firstServer.Subscribers() == 0 && secondServer.Subscribers() == 1 && client.Connected()
	})
}

func TestClaimsWaitForTheNextLeaderOnlyAfterAnnouncedHandover(t *testing.T) {
	first, second := newFakeGroup(), newFakeGroup()
	second.setLeadership(false, false, 1, "")
	firstServer, firstAddress := startServer(t, first)
	secondServer, secondAddress := startServer(t, second)
	secondRelay := newTCPRelay(t, secondAddress)
	client := startClient(t, view.NewHolder(), firstAddress, secondRelay.address())
	eventually(t, "a subscription", client.Connected)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	request := state.ClaimRequest{Tenant: "water", Key: "crew-7", BodyHash: 9, Attempt: 1, Proxy: "proxy-a", Nonce: 1}
	refused := make(chan struct{})
	first.claim = func(state.ClaimRequest) (api.ClaimResult, error) {
		close(refused)
		return api.ClaimResult{}, errors.Wrap(ErrNoQuorum, "leader is stepping down")
	}
	claimed := make(chan error, 2)
	claim := func() {
		_, err := client.Claim(ctx, request)
		claimed <- err
	}
	go claim()
	<-refused // the leader, which is about to step down, has refused the first claim
	first.setLeadership(false, false, 1, "")
	firstServer.Wake()
	eventually(t, "the end of the subscription", func() bool { return !client.Connected() })
	go claim() // a second claim while there is no leader
	second.setLeadership(true, true, 2, "")
	secondServer.Wake()
	must.NoError(t, <-claimed)
	must.NoError(t, <-claimed)

	must.NoError(t, secondRelay.listener.Close())
	secondRelay.closeConnections() // the leader is lost without announcing a handover
	eventually(t, "the end of the subscription", func() bool { return !client.Connected() })
	_, err := client.Claim(ctx, request)
	must.ErrorIs(t, err, ErrNoQuorum)
	must.NoError(t, ctx.Err())
}

func TestInvalidBytesCloseOnlyTheirConnection(t *testing.T) {
	group := newFakeGroup()
	server, address := startServer(t, group)
	holder := view.NewHolder()
	startClient(t, holder, address)
	for name, data := range map[string][]byte{
		"http":        []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
		"zeros":       make([]byte, 64),
		"empty":       {},
		"huge length": append(prefaceBytes(t), 0xff, 0xff, 0xff, 0xff, 0, 1, 0, 0, 0, 0),
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write(data)
			must.NoError(t, err)
			if len(data) == 0 {
				return
			}
			must.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
			_, err = conn.Read(make([]byte, 1))
			must.Error(t, err)
		})
	}
	revision := group.put("water")
	server.Wake()
	eventually(t, "the version", func() bool { return holder.Load().Version.Revision == revision })
}

// prefaceBytes returns the bytes that start a connection of this protocol.
func prefaceBytes(t *testing.T) []byte {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	defer func() { _ = far.Close() }()
	go func() { _ = frame.NewWriter(near, Protocol, 0).Flush() }()
	data := make([]byte, frame.PrefaceSize)
	count, err := far.Read(data)
	must.NoError(t, err)
	return data[:count]
}

// rawSubscriber is a subscriber that reads and writes single frames.
type rawSubscriber struct {
	t      *testing.T
	conn   net.Conn
	writer *frame.Writer
	reader *frame.Reader
}

func newRawSubscriber(t *testing.T, address string) *rawSubscriber {
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	raw := &rawSubscriber{t: t, conn: conn}
	raw.writer = frame.NewWriter(conn, Protocol, time.Second)
	raw.reader = frame.NewReader(conn, Protocol, maxServerPayload, testTimeout)
	return raw
}

func (r *rawSubscriber) send(kind frame.Kind, payload []byte) {
	must.NoError(r.t, r.writer.WriteFrame(kind, payload))
	must.NoError(r.t, r.writer.Flush())
}

// A subscriber that reads slowly receives all changes, usually in fewer deltas than there were
// changes; their number is only logged.
func TestSlowSubscriberGetsCoalescedDeltas(t *testing.T) {
	group := newFakeGroup()
	server, address := startServer(t, group)
	raw := newRawSubscriber(t, address)
	raw.send(kindSubscribe, encodeSubscribe(subscribe{daemon: "slow"}))
	eventually(t, "the subscription", func() bool { return server.Subscribers() == 1 })
	const changes = 3000
	var revision uint64
	for i := range changes {
		revision = group.put(fmt.Sprintf("tenant-%d", i))
		server.Wake()
	}
	holder := view.NewHolder()
	frames := 0
	for holder.Load().Version.Revision < revision {
		received, err := raw.reader.ReadFrame()
		must.NoError(t, err)
		must.Eq(t, kindDelta, received.Kind)
		delta, err := decodeDelta(received.Payload)
		must.NoError(t, err)
		must.NoError(t, holder.Apply(delta))
		frames++
	}
	must.Eq(t, changes, len(holder.Load().Tenants))
	t.Logf("%d changes arrived in %d deltas", changes, frames)
}

func TestSubscriberThatStopsReadingIsDisconnected(t *testing.T) {
	group := newFakeGroup()
	server, address := startServer(t, group)
	raw := newRawSubscriber(t, address)
	must.NoError(t, raw.conn.(*net.TCPConn).SetReadBuffer(1<<10))
	raw.send(kindSubscribe, encodeSubscribe(subscribe{daemon: "stuck"}))
	eventually(t, "the subscription", func() bool { return server.Subscribers() == 1 })
	started := time.Now()
	for i := 0; server.Subscribers() > 0; i++ {
		must.Less(t, testTimeout, time.Since(started))
		group.putBatch(fmt.Sprintf("batch-%d", i%50), 200)
		server.Wake()
		// It keeps sending, so that only its failure to read can be the cause.
		_ = raw.writer.WriteFrame(kindHeartbeat, encodeHeartbeat(heartbeat{sequence: uint64(i + 1)}))
		_ = raw.writer.Flush()
	}
}

func TestClaimErrorsDistinguishRefusedFromUnknown(t *testing.T) {
	request := state.ClaimRequest{Tenant: "water", Key: "crew", Nonce: 7}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()

	t.Run("no leader", func(t *testing.T) {
		client := startClient(t, view.NewHolder(), "127.0.0.1:1")
		_, err := client.Claim(ctx, request)
		must.ErrorIs(t, err, ErrNoQuorum)
		must.False(t, client.ReportDemand(DemandReport{}))
	})
	cases := map[string]struct{ answer, want error }{
		"refused before proposing": {errors.Wrap(ErrNoQuorum, "a"), ErrNoQuorum},
		"outcome unknown":          {errors.Wrap(ErrOutcomeUnknown, "a"), ErrOutcomeUnknown},
		"any other error":          {errors.New("a"), ErrOutcomeUnknown},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			group := newFakeGroup()
			group.claim = func(state.ClaimRequest) (api.ClaimResult, error) { return api.ClaimResult{}, test.answer }
			_, address := startServer(t, group)
			client := startClient(t, view.NewHolder(), address)
			eventually(t, "a connection", client.Connected)
			_, err := client.Claim(ctx, request)
			must.ErrorIs(t, err, test.want)
		})
	}
	t.Run("connection lost after proposal", func(t *testing.T) {
		group := newFakeGroup()
		proposed, finish := make(chan struct{}), make(chan struct{})
		group.claim = func(state.ClaimRequest) (api.ClaimResult, error) {
			close(proposed)
			<-finish
			return api.ClaimResult{}, nil
		}
		_, address := startServer(t, group)
		between := newTCPRelay(t, address)
		client := startClient(t, view.NewHolder(), between.address())
		eventually(t, "a connection", client.Connected)
		go func() {
			<-proposed
			between.closeConnections()
		}()
		_, err := client.Claim(ctx, request)
		must.ErrorIs(t, err, ErrOutcomeUnknown)
		close(finish)
	})
	t.Run("context canceled after proposal", func(t *testing.T) {
		group := newFakeGroup()
		giveUp, cancel := context.WithCancel(ctx)
		defer cancel()
		group.claim = func(state.ClaimRequest) (api.ClaimResult, error) {
			cancel()
			time.Sleep(10 * time.Millisecond)
			return api.ClaimResult{}, errors.New("late")
		}
		_, address := startServer(t, group)
		client := startClient(t, view.NewHolder(), address)
		eventually(t, "a connection", client.Connected)
		_, err := client.Claim(giveUp, request)
		must.ErrorIs(t, err, ErrOutcomeUnknown)
	})
}

func TestClaimAndOutcomeAndDemandArrive(t *testing.T) {
	group := newFakeGroup()
	_, address := startServer(t, group)
	client := startClient(t, view.NewHolder(), address)
	eventually(t, "a connection", client.Connected)
	ctx := context.Background()
	request := state.ClaimRequest{Tenant: "water", Key: "crew", BodyHash: 3, Attempt: 1, Proxy: "proxy-a", Nonce: 7}
	result, err := client.Claim(ctx, request)
	must.NoError(t, err)
	must.Eq(t, api.ClaimGranted, result.Code)
	outcome := state.RunOutcome{Tenant: "water", Key: "crew", Nonce: 7, Outcome: api.RunCompleted, Answer: []byte("done")}
	must.NoError(t, client.RecordOutcome(ctx, outcome))
	request.Nonce = 8
	result, err = client.Claim(ctx, request)
	must.NoError(t, err)
	must.Eq(t, api.ClaimDone, result.Code)
	must.Eq(t, "done", string(result.Claim.Answer))
	report := DemandReport{Window: time.Second, Demands: []Demand{{Intent: "narrate", Class: "caption", Requests: 2, QueuedRequests: 1}}}
	must.True(t, client.ReportDemand(report))
	eventually(t, "the report", func() bool {
		group.lock.Lock()
		defer group.lock.Unlock()
		return len(group.demand) == 1
	})
	must.Eq(t, report, group.demand[0])
}

// blockableViews rejects deltas while blocked, as a paused process would.
type blockableViews struct {
	*view.Holder
	blocked atomic.Bool
}

func (s *blockableViews) Apply(delta view.Delta) error {
	if s.blocked.Load() {
		return errors.New("blocked")
	}
	return s.Holder.Apply(delta)
}

func TestInForceOnlyWithoutLeasesOnOlderViews(t *testing.T) {
	group := newFakeGroup()
	server, address := startServer(t, group)
	group.put("water")
	views := &blockableViews{Holder: view.NewHolder()}
	startClient(t, views, address)
	eventually(t, "a lease", func() bool { return views.Valid(clock.Now()) })
	ctx := context.Background()
	eventually(t, "the first version to be in force", func() bool {
		result, valid := server.InForce(ctx, group.Version().Revision)
		return valid && result.Done && result.Acknowledged == 1
	})
	views.blocked.Store(true)
	revision := group.put("gritting")
	server.Wake()
	eventually(t, "the version to be in force after the old lease lapsed", func() bool {
		result, valid := server.InForce(ctx, revision)
		must.True(t, valid)
		if result.Done {
			must.False(t, views.Valid(clock.Now()))
			must.Eq(t, []string{"proxy-a"}, result.Lapsed)
		}
		return result.Done
	})
	// The old view gets no further lease, no matter how often it is requested.
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		must.False(t, views.Valid(clock.Now()))
	}
	views.blocked.Store(false)
	eventually(t, "a lease on the new view", func() bool { return views.Valid(clock.Now()) })
	must.Eq(t, revision, views.Load().Version.Revision)
}

func TestNoGrantWithoutLeaderLease(t *testing.T) {
	group := newFakeGroup()
	group.put("water")
	group.setLeadership(true, false, 1, "")
	_, address := startServer(t, group)
	holder := view.NewHolder()
	startClient(t, holder, address)
	eventually(t, "the view", func() bool { return len(holder.Load().Tenants) == 1 })
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		must.False(t, holder.Valid(clock.Now()))
	}
	group.setLeadership(true, true, 1, "")
	eventually(t, "a lease", func() bool { return holder.Valid(clock.Now()) })
}

func TestVersionAheadOfGroupIsRefused(t *testing.T) {
	group := newFakeGroup()
	_, address := startServer(t, group)
	raw := newRawSubscriber(t, address)
	raw.send(kindSubscribe, encodeSubscribe(subscribe{daemon: "other", version: view.Version{Term: 9, Revision: 99}}))
	_, err := raw.reader.ReadFrame()
	must.Error(t, err)
}

// FuzzMessages decodes arbitrary bytes as messages, which must not panic. Subscriptions,
// heartbeats, claims and outcomes that are accepted must be encoded to the same bytes again, and
// requests in flight to the same message.
func FuzzMessages(f *testing.F) {
	f.Add(encodeSubscribe(subscribe{daemon: "proxy", instance: 1, zone: "zone"}))
	f.Add(encodeSubscribe(subscribe{daemon: "proxy", standby: true}))
	f.Add(encodeHeartbeat(heartbeat{sequence: 1}))
	f.Add(encodeLeaseGrant(leaseGrant{sequence: 1, lease: time.Second, term: 2}))
	f.Add(encodeClaim(1, state.ClaimRequest{Tenant: "t", Key: "k", Proxy: "p"}))
	f.Add(encodeOutcome(1, state.RunOutcome{Tenant: "t", Key: "k", Outcome: api.RunNotRun}))
	f.Add(encodeDemand(DemandReport{Window: time.Second, Demands: []Demand{{Intent: "i", Class: "c", Requests: 1}}}))
	f.Add(encodeInFlight(InFlight{Service: "s", Requests: map[uint64]placement.InFlightRequest{7: {
		Ask:    placement.Request{PromptTokens: 9, Tenant: "north", Fingerprint: "n", Parts: []placement.Part{{ID: "p", Tokens: 9}}, Connected: []string{"r"}},
		Answer: placement.Answer{Generator: "g", Reader: "r", UnreadTokens: 9}, Age: time.Second, Step: placement.StepRead,
	}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if message, err := decodeInFlight(data); err == nil {
			again, err := decodeInFlight(encodeInFlight(message))
			must.NoError(t, err)
			must.Eq(t, encodeInFlight(message), encodeInFlight(again))
		}
		if message, err := decodeSubscribe(data); err == nil {
			must.Eq(t, data, encodeSubscribe(message))
		}
		if message, err := decodeHeartbeat(data); err == nil {
			must.Eq(t, data, encodeHeartbeat(message))
		}
		if message, err := decodeLeaseGrant(data); err == nil {
			_ = encodeLeaseGrant(message)
		}
		if id, request, err := decodeClaim(data); err == nil {
			must.Eq(t, data, encodeClaim(id, request))
		}
		if id, outcome, err := decodeOutcome(data); err == nil {
			must.Eq(t, data, encodeOutcome(id, outcome))
		}
		if report, err := decodeDemand(data); err == nil {
			_ = encodeDemand(report)
		}
		_, _ = decodeDelta(data)
		_, _ = decodeNotLeader(data)
		_, _ = decodeClaimReply(data)
		_, _ = decodeOutcomeReply(data)
	})
}

// The message stays within the server's size limit no matter how much a daemon has in flight.
func TestInFlightMessageSizeIsBounded(t *testing.T) {
	parts := make([]placement.Part, maxPromptParts)
	for i := range parts {
		parts[i] = placement.Part{ID: "a-part-with-a-long-name", Tokens: i}
	}
	message := InFlight{Service: "s", Requests: map[uint64]placement.InFlightRequest{}}
	for number := range uint64(2 * maxInFlight) {
		message.Requests[number] = placement.InFlightRequest{Ask: placement.Request{Parts: parts, Connected: []string{"r"}}}
	}
	encoded := encodeInFlight(message)
	must.Less(t, maxSubscriberPayload, len(encoded))
	decoded, err := decodeInFlight(encoded)
	must.NoError(t, err)
	must.MapContainsKey(t, decoded.Requests, 2*maxInFlight-1, must.Sprint("the newest requests are included"))
	must.MapNotContainsKey(t, decoded.Requests, 0)
	must.SliceEmpty(t, decoded.Requests[2*maxInFlight-1].Ask.Connected)
}
