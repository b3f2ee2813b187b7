package feed

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// States of an outgoing frame. The writer and a caller that gives up change the state with a
// compare-and-swap, so that a cancelled frame is never written.
const (
	frameQueued int32 = iota
	frameWritten
	frameCancelled
)

// outgoing is a frame queued for the connection.
type outgoing struct {
	kind    frame.Kind
	payload []byte
	state   atomic.Int32
}

// cancel prevents a queued frame from being written, and reports whether the frame was definitely
// never written.
func (o *outgoing) cancel() bool {
	return o.state.CompareAndSwap(frameQueued, frameCancelled) || o.state.Load() == frameCancelled
}

// reply is the result of a pending call.
type reply struct {
	code     replyCode
	result   api.ClaimResult
	placed   placement.Answer
	grant    quota.Grant
	replicas []*api.Replica
}

// maxQueuedFrames limits the frames queued for the connection.
const maxQueuedFrames = 256

// pendingShards is the number of shards of the pending calls, which limit lock contention between
// concurrent calls.
const pendingShards = 16

type pendingShard struct {
	sync.Mutex
	calls map[uint64]pendingCall
}

// pendingCall is a request that waits for its reply.
type pendingCall struct {
	kind  frame.Kind // of the expected reply
	reply chan reply
}

// replyKinds maps the kind of a request to the kind of its reply.
var replyKinds = map[frame.Kind]frame.Kind{
	kindClaim:   kindClaimReply,
	kindOutcome: kindOutcomeReply,
	kindPlace:   kindPlaceReply,
	kindCharge:  kindChargeReply,
}

// errUnexpectedFrame says that the peer sent a frame that was not requested or that must not be
// sent on this kind of subscription. It is logged as event.FeedMisplacedFrame.
var errUnexpectedFrame = errors.Wrap(errProtocol, "unexpected frame")

// session is one connection to a leader or a standby member.
type session struct {
	client    *Client
	conn      net.Conn
	sendQueue chan *outgoing
	ended     chan struct{} // closed when the connection has ended
	pending   [pendingShards]pendingShard
	ready     bool   // a delta, a grant or a standby confirmation was received
	address   string // of the peer; empty on a standby session
	// standby is set for a session that serves only while there is no responsive leader.
	standby bool
	// pendingSubset holds the replicas for the next full view of a partial subscription.
	pendingSubset *subsetReplicas
	// unanswered counts the placement and charge requests not answered in time since the last
	// received frame.
	unanswered atomic.Int32
	// steppedDown is true if a leader that served the session announced that it stepped down. It
	// is written before ended is closed.
	steppedDown bool

	heartbeatLock sync.Mutex
	sequence      uint64
	sentAt        map[uint64]time.Duration // by sequence, for heartbeats without a grant
}

// maxPendingHeartbeats limits the ungranted heartbeats whose send times are stored. At the limit
// all of them are discarded, and later grants for them renew nothing.
const maxPendingHeartbeats = 64

func newSession(client *Client, conn net.Conn) *session {
	s := &session{
		client:    client,
		conn:      conn,
		sendQueue: make(chan *outgoing, maxQueuedFrames),
		ended:     make(chan struct{}),
		sentAt:    map[uint64]time.Duration{},
	}
	for i := range s.pending {
		s.pending[i].calls = map[uint64]pendingCall{}
	}
	return s
}

// run serves the connection until it fails, the leader steps down or ctx ends. It returns the
// leader address that the server named, if any.
func (s *session) run(ctx context.Context) (string, error) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	var writer sync.WaitGroup
	writer.Go(s.writeLoop)
	leaderAddress, err := s.readLoop()
	if errors.Is(err, errUnexpectedFrame) {
		event.FeedMisplacedFrame.Log(s.client.config.Logger, "address", s.conn.RemoteAddr(), "err", err)
	}
	if s.steppedDown = s.ready && errors.Is(err, errNotLeader); s.steppedDown {
		s.client.handover.expectLeader()
	}
	s.client.removeSession(s)
	close(s.ended)
	_ = s.conn.Close()
	writer.Wait()
	return leaderAddress, err
}

// writeLoop sends the subscription, the heartbeats and the queued frames until the session ends.
func (s *session) writeLoop() {
	writer := frame.NewWriter(s.conn, Protocol, s.client.config.WriteTimeout)
	// A failed write closes the connection, which ends the reader and with it the session.
	defer func() { _ = s.conn.Close() }()
	if s.sendSubscribe(writer) != nil {
		return
	}
	ticker := time.NewTicker(s.client.config.HeartbeatInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-s.ended:
			return
		case <-ticker.C:
			err = s.writeHeartbeat(writer)
		case next := <-s.sendQueue:
			err = s.writeQueued(writer, next)
		}
		if err != nil {
			return
		}
	}
}

// sendSubscribe sends the subscription and the first heartbeat.
func (s *session) sendSubscribe(writer *frame.Writer) error {
	config := s.client.config
	opening := subscribe{
		daemon:   config.Daemon,
		instance: s.client.instance,
		zone:     config.Zone,
		standby:  s.standby,
		partial:  config.Partial,
	}
	if held := s.client.shares.Load(); held != nil {
		opening.shares = *held
	}
	if !s.standby {
		opening.version = s.client.views.Load().Version
	}
	if err := writer.WriteFrame(kindSubscribe, encodeSubscribe(opening)); err != nil {
		return err
	}
	return s.writeHeartbeat(writer)
}

// writeHeartbeat sends a heartbeat and, if configured, the daemon's presence.
func (s *session) writeHeartbeat(writer *frame.Writer) error {
	s.heartbeatLock.Lock()
	s.sequence++
	next := heartbeat{sequence: s.sequence}
	if len(s.sentAt) >= maxPendingHeartbeats {
		clear(s.sentAt)
	}
	// The time is read before the heartbeat is sent, so that the lease can only be shorter than
	// the leader assumes.
	s.sentAt[next.sequence] = s.client.config.Clock()
	s.heartbeatLock.Unlock()
	s.setVersions(&next)
	if err := writer.WriteFrame(kindHeartbeat, encodeHeartbeat(next)); err != nil {
		return err
	}
	if presence := s.client.config.Presence; presence != nil {
		if err := writer.WriteFrame(kindPresence, encodePresence(presence())); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// writeQueued writes the frame and those queued behind it, then flushes.
func (s *session) writeQueued(writer *frame.Writer, next *outgoing) error {
	for next != nil {
		if next.state.CompareAndSwap(frameQueued, frameWritten) {
			if err := writer.WriteFrame(next.kind, next.payload); err != nil {
				return err
			}
		}
		select {
		case next = <-s.sendQueue:
		default:
			next = nil
		}
	}
	return writer.Flush()
}

// readLoop handles the received frames until the connection ends. It returns the leader address
// that the peer named, if any.
func (s *session) readLoop() (string, error) {
	reader := frame.NewReader(s.conn, Protocol, maxServerPayload, s.client.config.SilenceTimeout)
	for {
		received, err := reader.ReadFrame()
		if err != nil {
			return "", err
		}
		s.recordFrameReceived()
		if received.Kind == kindNotLeader {
			message, err := decodeNotLeader(received.Payload)
			if err != nil {
				return "", err
			}
			return message.address, errNotLeader
		}
		if err := s.receive(received); err != nil {
			return "", err
		}
	}
}

func (s *session) receive(received frame.Frame) error {
	if s.standby && !isForStandby(received.Kind) {
		return errors.Wrapf(errUnexpectedFrame, "frame kind %d from a standby member", received.Kind)
	}
	switch received.Kind {
	case kindDelta:
		return s.receiveDelta(received.Payload)
	case kindSubsetReplicas:
		return s.receiveSubsetReplicas(received.Payload)
	case kindLeaseGrant:
		return s.receiveLeaseGrant(received.Payload)
	case kindStandbyReady:
		return s.receiveStandbyReady()
	case kindCrashes:
		return s.receiveUnrecordedCrashes(received.Payload)
	case kindLimits:
		return s.receiveLimits(received.Payload)
	case kindClaimReply, kindPlaceReply, kindOutcomeReply, kindChargeReply:
		return s.receiveReply(received)
	default:
		return errors.Wrapf(errProtocol, "unknown frame kind %d", received.Kind)
	}
}

// isForStandby reports whether a standby member may send a frame of the kind.
func isForStandby(kind frame.Kind) bool {
	switch kind {
	case kindStandbyReady, kindPlaceReply, kindChargeReply, kindCrashes, kindLimits:
		return true
	}
	return false
}

func (s *session) receiveReply(received frame.Frame) error {
	requestID, answer, err := decodeReply(received)
	if err != nil {
		return err
	}
	return s.resolve(requestID, received.Kind, answer)
}

func decodeReply(received frame.Frame) (requestID uint64, answer reply, err error) {
	switch received.Kind {
	case kindClaimReply:
		message, err := decodeClaimReply(received.Payload)
		return message.requestID, reply{code: message.code, result: message.result}, err
	case kindPlaceReply:
		message, err := decodePlaceReply(received.Payload)
		code := replyRefused
		if message.decided {
			code = replyDone
		}
		return message.requestID, reply{code: code, placed: message.answer, replicas: message.replicas}, err
	case kindChargeReply:
		message, err := decodeChargeReply(received.Payload)
		code := replyRefused
		if message.decided {
			code = replyDone
		}
		return message.requestID, reply{code: code, grant: message.grant}, err
	default:
		message, err := decodeOutcomeReply(received.Payload)
		return message.requestID, reply{code: message.code}, err
	}
}

func (s *session) receiveDelta(payload []byte) error {
	delta, err := decodeDelta(payload)
	if err != nil {
		return err
	}
	if err := s.addSubsetReplicas(&delta); err != nil {
		return err
	}
	if err := s.client.views.Apply(delta); err != nil {
		return err
	}
	s.markReady()
	// The new version is acknowledged immediately rather than with the next tick.
	s.acknowledge()
	return nil
}

// acknowledge sends an acknowledgement that renews no lease.
func (s *session) acknowledge() {
	var next heartbeat
	s.setVersions(&next)
	s.enqueue(&outgoing{kind: kindHeartbeat, payload: encodeHeartbeat(next)})
}

// setVersions sets the held and acknowledged versions. The held version is read last, so that the
// acknowledged one never exceeds it.
func (s *session) setVersions(next *heartbeat) {
	acknowledger, separate := s.client.views.(Acknowledger)
	if separate {
		next.acked = acknowledger.Acknowledge(s.client.config.Clock())
	}
	next.held = s.client.views.Load().Version
	if !separate {
		next.acked = next.held
	}
}

// receiveLeaseGrant renews the view lease from the time at which the granted heartbeat was sent. A
// grant for an unknown sequence, such as that of a plain acknowledgement, renews nothing.
func (s *session) receiveLeaseGrant(payload []byte) error {
	message, err := decodeLeaseGrant(payload)
	if err != nil {
		return err
	}
	s.heartbeatLock.Lock()
	sentAt, known := s.sentAt[message.sequence]
	for sequence := range s.sentAt {
		if sequence <= message.sequence {
			delete(s.sentAt, sequence)
		}
	}
	s.heartbeatLock.Unlock()
	if known && message.wallClock > 0 && s.client.config.OnWallClock != nil {
		s.client.config.OnWallClock(sentAt, s.client.config.Clock(), message.wallClock)
	}
	if known && s.client.views.Confirm(sentAt, message.lease, message.term) {
		s.markReady()
	}
	return nil
}

// markReady makes the session available for calls. The first call also ends the standby session
// and the wait for the next leader, and calls OnServed. It is called only by the reading goroutine.
func (s *session) markReady() {
	if !s.ready {
		s.ready = true
		s.client.lastLeader.Store(&s.address)
		s.client.session.Store(s)
		s.client.endStandby()
		s.client.handover.leaderReady()
		event.FeedServed.Log(s.client.config.Logger, "address", s.conn.RemoteAddr(), "revision", s.client.views.Load().Version.Revision)
		s.subscribeLimits()
		if s.client.config.OnServed != nil {
			s.client.config.OnServed()
		}
	}
}

// enqueue returns false if the queue is full.
func (s *session) enqueue(next *outgoing) bool {
	select {
	case s.sendQueue <- next:
		return true
	default:
		return false
	}
}

func (s *session) shard(requestID uint64) *pendingShard {
	return &s.pending[requestID%pendingShards]
}

// register adds a pending call for a request of the kind.
func (s *session) register(requestID uint64, kind frame.Kind) chan reply {
	waiting := make(chan reply, 1)
	shard := s.shard(requestID)
	shard.Lock()
	defer shard.Unlock()
	shard.calls[requestID] = pendingCall{kind: replyKinds[kind], reply: waiting}
	return waiting
}

func (s *session) unregister(requestID uint64) {
	shard := s.shard(requestID)
	shard.Lock()
	defer shard.Unlock()
	delete(shard.calls, requestID)
}

// resolve delivers the reply to the pending call. A reply without a pending call is dropped. A
// reply of the wrong kind is an error and is not delivered: the call keeps waiting and fails when
// the connection ends.
func (s *session) resolve(requestID uint64, kind frame.Kind, answer reply) error {
	shard := s.shard(requestID)
	shard.Lock()
	defer shard.Unlock()
	waiting, found := shard.calls[requestID]
	if !found {
		return nil
	}
	if waiting.kind != kind {
		return errors.Wrapf(errUnexpectedFrame, "reply of kind %d instead of kind %d", kind, waiting.kind)
	}
	delete(shard.calls, requestID)
	waiting.reply <- answer // never blocks: capacity 1 and at most one reply
	return nil
}
