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

// States of an outgoing frame. One compare-and-swap decides between the writer
// and a caller that gives up, so that "not sent" is sure.
const (
	frameQueued int32 = iota
	frameWritten
	frameCancelled
)

// outgoing is one frame on its way to the connection.
type outgoing struct {
	kind    frame.Kind
	payload []byte
	state   atomic.Int32
}

// withdraw reports whether the frame was surely never written.
func (o *outgoing) cancel() bool {
	return o.state.CompareAndSwap(frameQueued, frameCancelled) || o.state.Load() == frameCancelled
}

// reply is what a waiting call gets.
type reply struct {
	code   replyCode
	result api.ClaimResult
	placed placement.Answer
	grant  quota.Grant
	named  []*api.Replica
}

// queueLength bounds the frames that wait for the connection.
const maxQueuedFrames = 256

// pendingShards is the number of shards of the waiting calls.
const pendingShards = 16

type pendingShard struct {
	sync.Mutex
	calls map[uint64]pendingCall
}

// pendingCall is a question that waits for its reply.
type pendingCall struct {
	kind  frame.Kind // of the reply
	reply chan reply
}

// replyKinds holds which kind of frame answers a question.
var replyKinds = map[frame.Kind]frame.Kind{
	kindClaim:   kindClaimReply,
	kindOutcome: kindOutcomeReply,
	kindPlace:   kindPlaceReply,
	kindCharge:  kindChargeReply,
}

// errMisplaced says that the other side sent what it was not asked for.
var errUnexpectedFrame = errors.Wrap(errProtocol, "misplaced frame")

// session is one connection to a leader.
type session struct {
	client  *Client
	conn    net.Conn
	queue   chan *outgoing
	ended   chan struct{}
	pending [pendingShards]pendingShard
	ready   bool // the leader has served a delta or a grant
	address string
	// standby is set for a session that is used for placements alone.
	standby bool
	// own are the replicas of the whole view that comes next, on a partial subscription.
	pendingSubset *subsetReplicas
	// unanswered counts the placements that were waited for in vain since the
	// last frame.
	unanswered atomic.Int32
	// announced is true when a leader that served the session said that it
	// leads no more. It is written before ended is closed.
	steppedDown bool

	heartbeatLock sync.Mutex
	sequence      uint64
	sentAt        map[uint64]time.Duration // beats without a grant
}

// maxOpenBeats bounds the beats without a grant that are remembered.
const maxPendingHeartbeats = 64

func newSession(client *Client, conn net.Conn) *session {
	s := &session{
		client: client,
		conn:   conn,
		queue:  make(chan *outgoing, maxQueuedFrames),
		ended:  make(chan struct{}),
		sentAt: map[uint64]time.Duration{},
	}
	for i := range s.pending {
		s.pending[i].calls = map[uint64]pendingCall{}
	}
	return s
}

// run serves the connection until it fails, the leader steps down or ctx ends.
// It returns the address that the server named, if any.
func (s *session) run(ctx context.Context) (string, error) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	var writer sync.WaitGroup
	writer.Go(s.write)
	hint, err := s.read()
	if errors.Is(err, errUnexpectedFrame) {
		event.FeedMisplacedFrame.Log(s.client.config.Logger, "address", s.conn.RemoteAddr(), "err", err)
	}
	if s.steppedDown = s.ready && errors.Is(err, errNotLeader); s.steppedDown {
		s.client.handover.begin()
	}
	s.client.removeSession(s)
	close(s.ended)
	_ = s.conn.Close()
	writer.Wait()
	return hint, err
}

func (s *session) write() {
	writer := frame.NewWriter(s.conn, Protocol, s.client.config.WriteTimeout)
	// A failed write closes the connection, which ends the reader and with it
	// the session.
	defer func() { _ = s.conn.Close() }()
	if s.sendSubscribe(writer) != nil {
		return
	}
	ticker := time.NewTicker(s.client.config.BeatInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-s.ended:
			return
		case <-ticker.C:
			err = s.writeHeartbeat(writer)
		case next := <-s.queue:
			err = s.writeQueued(writer, next)
		}
		if err != nil {
			return
		}
	}
}

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

func (s *session) writeHeartbeat(writer *frame.Writer) error {
	s.heartbeatLock.Lock()
	s.sequence++
	next := heartbeat{sequence: s.sequence}
	if len(s.sentAt) >= maxPendingHeartbeats {
		clear(s.sentAt)
	}
	// The time is read before the beat is sent: the lease can only be shorter
	// than the leader believes.
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

// writeQueued writes the frame and those that wait behind it, then flushes.
func (s *session) writeQueued(writer *frame.Writer, next *outgoing) error {
	for next != nil {
		if next.state.CompareAndSwap(frameQueued, frameWritten) {
			if err := writer.WriteFrame(next.kind, next.payload); err != nil {
				return err
			}
		}
		select {
		case next = <-s.queue:
		default:
			next = nil
		}
	}
	return writer.Flush()
}

func (s *session) read() (string, error) {
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
		return errors.Wrapf(errUnexpectedFrame, "kind %d from a member that stands by", received.Kind)
	}
	switch received.Kind {
	case kindDelta:
		return s.receiveDelta(received.Payload)
	case kindSubsetReplicas:
		return s.receiveSubsetReplicas(received.Payload)
	case kindGrant:
		return s.receiveGrant(received.Payload)
	case kindStandbyReady:
		return s.receiveStandbyReady()
	case kindEnds:
		return s.receiveEnds(received.Payload)
	case kindClaimReply, kindPlaceReply, kindOutcomeReply, kindChargeReply:
		return s.receiveReply(received)
	default:
		return errors.Wrapf(errProtocol, "kind %d", received.Kind)
	}
}

// isForStandby reports whether a member that stands by may send a frame of the kind.
func isForStandby(kind frame.Kind) bool {
	switch kind {
	case kindStandbyReady, kindPlaceReply, kindChargeReply, kindEnds:
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
		if message.found {
			code = replyDone
		}
		return message.requestID, reply{code: code, placed: message.answer, named: message.named}, err
	case kindChargeReply:
		message, err := decodeChargeReply(received.Payload)
		code := replyRefused
		if message.found {
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
	// The new version is acknowledged at once rather than with the next tick.
	s.acknowledge()
	return nil
}

// acknowledge sends a bare acknowledgement, which renews no lease.
func (s *session) acknowledge() {
	var next heartbeat
	s.setVersions(&next)
	s.enqueue(&outgoing{kind: kindHeartbeat, payload: encodeHeartbeat(next)})
}

// report fills in the versions that are held and acknowledged. The acknowledged
// one is never above the held one, which is read after it.
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

// receiveGrant renews the view lease by the time at which the granted beat was
// sent. A grant for an unknown beat, such as a bare acknowledgement, renews nothing.
func (s *session) receiveGrant(payload []byte) error {
	message, err := decodeGrant(payload)
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
	if known && message.wallClock > 0 && s.client.config.Day != nil {
		s.client.config.Day(sentAt, s.client.config.Clock(), message.wallClock)
	}
	if known && s.client.views.Confirm(sentAt, message.lease, message.term) {
		s.markReady()
	}
	return nil
}

// markReady lets calls use the session. Only the reading goroutine calls it.
func (s *session) markReady() {
	if !s.ready {
		s.ready = true
		s.client.lastLeader.Store(&s.address)
		s.client.session.Store(s)
		s.client.endStandby()
		s.client.handover.end()
		event.FeedServed.Log(s.client.config.Logger, "address", s.conn.RemoteAddr(), "revision", s.client.views.Load().Version.Revision)
		if s.client.config.Served != nil {
			s.client.config.Served()
		}
	}
}

// enqueue reports whether the queue had room.
func (s *session) enqueue(next *outgoing) bool {
	select {
	case s.queue <- next:
		return true
	default:
		return false
	}
}

func (s *session) shard(requestID uint64) *pendingShard {
	return &s.pending[requestID%pendingShards]
}

// register lets a question of the kind wait for its reply.
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

// resolve hands the reply to the call that waits; a reply that nobody waits for
// any more is dropped. One of another kind than the call's answers nothing, and is
// an error: the call goes on to wait, and learns that the connection ended.
func (s *session) resolve(requestID uint64, kind frame.Kind, answer reply) error {
	shard := s.shard(requestID)
	shard.Lock()
	defer shard.Unlock()
	waiting, found := shard.calls[requestID]
	if !found {
		return nil
	}
	if waiting.kind != kind {
		return errors.Wrapf(errUnexpectedFrame, "reply of kind %d for one of kind %d", kind, waiting.kind)
	}
	delete(shard.calls, requestID)
	waiting.reply <- answer // has room for its only reply
	return nil
}
