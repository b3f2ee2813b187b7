package feed

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/clock"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// scriptedMember is a member that sends one frame when a connection opens and a fixed kind of
// reply to each request.
type scriptedMember struct {
	listener net.Listener
	opening  frame.Frame
	// reply returns the reply to the request with the ID.
	reply func(requestID uint64) frame.Frame
	done  sync.WaitGroup
}

func startScriptedMember(t *testing.T, opening frame.Frame, reply func(uint64) frame.Frame) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	member := &scriptedMember{listener: listener, opening: opening, reply: reply}
	member.done.Go(member.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		member.done.Wait()
	})
	return listener.Addr().String()
}

func (m *scriptedMember) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.done.Go(func() { m.serve(conn) })
	}
}

// serve returns when the client closes the connection.
func (m *scriptedMember) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := frame.NewReader(conn, Protocol, maxSubscriberPayload, testTimeout)
	writer := frame.NewWriter(conn, Protocol, time.Second)
	send := func(sent frame.Frame) {
		_ = writer.WriteFrame(sent.Kind, sent.Payload)
		_ = writer.Flush()
	}
	for {
		received, err := reader.ReadFrame()
		if err != nil {
			return
		}
		switch received.Kind {
		case kindSubscribe:
			send(m.opening)
		case kindClaim, kindOutcome, kindPlace:
			send(m.reply(frame.NewDecoder(received.Payload).Uint64()))
		}
	}
}

// firstDelta returns the frame that a leader sends to a client without a view.
func firstDelta(t *testing.T) frame.Frame {
	group := newFakeGroup()
	group.put("water")
	delta, found := group.DeltaSince(view.Version{})
	must.True(t, found)
	payload, err := encodeDelta(delta)
	must.NoError(t, err)
	return frame.Frame{Kind: kindDelta, Payload: payload}
}

// lockedBuffer is a log buffer that is safe for concurrent use.
type lockedBuffer struct {
	lock   sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) contains(text string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return bytes.Contains(b.buffer.Bytes(), []byte(text))
}

func startLoggedClient(t *testing.T, views Views, address string) (*Client, *lockedBuffer) {
	lines := &lockedBuffer{}
	client, err := Dial(ClientConfig{
		Daemon:            "proxy-a",
		Addresses:         []string{address},
		Standby:           true,
		HeartbeatInterval: 20 * time.Millisecond,
		SilenceTimeout:    testTimeout,
		BackoffMin:        time.Millisecond,
		BackoffMax:        20 * time.Millisecond,
		Logger:            log.NewLogfmtLogger(lines),
	}, views)
	must.NoError(t, err)
	t.Cleanup(client.Close)
	return client, lines
}

// A reply may carry the ID of a pending request but be of the wrong kind. If it were accepted, an
// outcome that was never recorded would count as recorded, and a claim as answered. The caller has
// to get an unknown outcome, and the connection is closed.
func TestReplyOfWrongKindIsRejected(t *testing.T) {
	claimReplied := func(id uint64) frame.Frame {
		return frame.Frame{Kind: kindClaimReply, Payload: encodeClaimReply(claimReply{requestID: id, code: replyDone})}
	}
	outcomeReplied := func(id uint64) frame.Frame {
		return frame.Frame{Kind: kindOutcomeReply, Payload: encodeOutcomeReply(outcomeReply{requestID: id, code: replyDone})}
	}
	placeReplied := func(id uint64) frame.Frame {
		return frame.Frame{Kind: kindPlaceReply, Payload: encodePlaceReply(placeReply{requestID: id, decided: true})}
	}
	claim := func(ctx context.Context, client *Client) error {
		_, err := client.Claim(ctx, state.ClaimRequest{Tenant: "water", Key: "crew", Nonce: 1})
		return err
	}
	record := func(ctx context.Context, client *Client) error {
		return client.RecordOutcome(ctx, state.RunOutcome{Tenant: "water", Key: "crew", Nonce: 1})
	}
	place := func(ctx context.Context, client *Client) error {
		_, err := client.Place(ctx, PlaceRequest{Service: "chat", Number: 1})
		return err
	}
	for name, test := range map[string]struct {
		reply func(uint64) frame.Frame
		ask   func(context.Context, *Client) error
		want  error
	}{
		"claim answered with an outcome reply":     {outcomeReplied, claim, ErrOutcomeUnknown},
		"claim answered with a placement reply":    {placeReplied, claim, ErrOutcomeUnknown},
		"outcome answered with a claim reply":      {claimReplied, record, ErrOutcomeUnknown},
		"outcome answered with a placement reply":  {placeReplied, record, ErrOutcomeUnknown},
		"placement answered with a claim reply":    {claimReplied, place, ErrNotPlaced},
		"placement answered with an outcome reply": {outcomeReplied, place, ErrNotPlaced},
	} {
		t.Run(name, func(t *testing.T) {
			address := startScriptedMember(t, firstDelta(t), test.reply)
			client, lines := startLoggedClient(t, view.NewHolder(), address)
			eventually(t, "a leader", client.Connected)
			first := client.session.Load()
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			must.ErrorIs(t, test.ask(ctx, client), test.want)
			must.NoError(t, ctx.Err())
			eventually(t, "the end of the connection", func() bool { return client.session.Load() != first })
			eventually(t, "a log line", func() bool { return lines.contains("name=" + event.FeedMisplacedFrame.Name) })
		})
	}
}

// A standby member may answer placements but not send views or leases. If they were accepted, the
// view would be taken for the leader's, and a lease would be assumed that no leader granted.
func TestStandbyMemberMustNotSendViewsOrLeases(t *testing.T) {
	granted := frame.Frame{Kind: kindLeaseGrant, Payload: encodeLeaseGrant(leaseGrant{sequence: 1, lease: time.Hour, term: 9})}
	for name, opening := range map[string]frame.Frame{"a view": firstDelta(t), "a lease": granted} {
		t.Run(name, func(t *testing.T) {
			address := startScriptedMember(t, opening, nil)
			holder := view.NewHolder()
			client, lines := startLoggedClient(t, holder, "127.0.0.1:1")
			accepted, err := client.serveStandbyConnection(address)
			must.False(t, accepted)
			must.ErrorIs(t, err, errProtocol)
			must.False(t, client.Connected())
			must.False(t, holder.Valid(clock.Now()))
			must.True(t, holder.Load().Version.IsZero())
			must.True(t, lines.contains("name="+event.FeedMisplacedFrame.Name))
		})
	}
}
