package feed

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// response is a frame that replies to a request of the subscriber.
type response struct {
	kind    frame.Kind
	payload []byte
}

// subscriber is one connection at the server. Its pending state is bounded: it stores only the
// version sent last, the latest heartbeat, and the calls in progress, each of which holds a slot.
type subscriber struct {
	server *Server
	conn   net.Conn
	number uint64        // of the connection, in order of acceptance
	key    daemonKey     // set before the subscription is open
	wake   chan struct{} // wakes the writer; capacity 1, so that signals coalesce
	// responses has capacity for every call that may be in progress, so that sending to it never
	// blocks.
	responses chan response
	callSlots chan struct{} // holds an element per call in progress
	calls     sync.WaitGroup

	// releaseOpeningSlot releases the slot of a subscription that is opening.
	releaseOpeningSlot func()

	// standby is set for a standby subscription (standby.go). It is written before the subscription
	// is open.
	standby bool
	// partial is set for a subscription to the daemon's own subset of the replicas; shares defines
	// the subset that it has been sent. Both are written before the subscription is open, and later
	// only by the writer.
	partial bool
	shares  shares

	lock             sync.Mutex
	opened           bool
	sent             view.Version // the version that the subscriber has or is being sent
	acked            view.Version
	heartbeatPending bool   // a heartbeat arrived that writeUpdates has not processed
	pendingSequence  uint64 // sequence of the latest heartbeat without a grant, 0 if none
	bulk             bulkTransfer

	// unrecordedGeneration is the generation of the unrecorded crashes sent last, at
	// unrecordedSentAt, which is 0 before the first time. Only the writer uses them.
	unrecordedGeneration uint64
	unrecordedSentAt     time.Duration

	// readsLimits is set once the daemon has shown that it reads announcements of limits.
	// limitsGeneration is that of the last one sent; only the writer uses it.
	readsLimits      atomic.Bool
	limitsGeneration uint64
}

func newSubscriber(server *Server, conn net.Conn, number uint64) *subscriber {
	maxClaims := server.config.MaxClaims
	return &subscriber{
		server:             server,
		conn:               conn,
		number:             number,
		wake:               make(chan struct{}, 1),
		releaseOpeningSlot: func() {},
		responses:          make(chan response, maxClaims),
		callSlots:          make(chan struct{}, maxClaims),
	}
}

// signal wakes the writer. Signals coalesce.
func (s *subscriber) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run serves the connection until it ends.
func (s *subscriber) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	var writer sync.WaitGroup
	var writeErr error
	writer.Go(func() {
		writeErr = s.writeLoop(ctx)
		cancel()
	})
	readErr := s.readLoop(ctx)
	cancel()
	writer.Wait()
	s.calls.Wait()
	s.releaseBulkSlot()
	if writeErr != nil {
		return writeErr
	}
	return readErr
}

// readLoop handles the received frames until the connection ends. The first one must be a
// subscribe.
func (s *subscriber) readLoop(ctx context.Context) error {
	reader := frame.NewReader(s.conn, Protocol, maxSubscriberPayload, s.server.config.SilenceTimeout)
	first, err := reader.ReadFrame()
	if err != nil {
		return err
	}
	if err := s.handleSubscribe(first); err != nil {
		return err
	}
	if !s.standby {
		s.server.latest.add(s.key.daemon, s.number)
		defer s.server.latest.remove(s.key.daemon, s.number)
	}
	for {
		received, err := reader.ReadFrame()
		if err != nil {
			return err
		}
		if err := s.receive(ctx, received); err != nil {
			return err
		}
	}
}

func (s *subscriber) handleSubscribe(first frame.Frame) error {
	if first.Kind != kindSubscribe {
		return errors.Wrapf(errProtocol, "frame kind %d before subscribe", first.Kind)
	}
	opening, err := decodeSubscribe(first.Payload)
	if err != nil {
		return err
	}
	if opening.daemon == "" {
		return errors.Wrap(errProtocol, "daemon name is empty")
	}
	if err := s.checkVersion(opening.version); err != nil {
		return err
	}
	s.standby = opening.standby
	s.partial, s.shares = opening.partial, opening.shares
	s.lock.Lock()
	defer s.lock.Unlock()
	s.key = daemonKey{daemon: opening.daemon, instance: opening.instance}
	s.sent = opening.version
	s.opened = true
	s.signal()
	return nil
}

func (s *subscriber) receive(ctx context.Context, received frame.Frame) error {
	switch received.Kind {
	case kindHeartbeat:
		return s.receiveHeartbeat(received.Payload)
	case kindClaim:
		return s.receiveClaim(ctx, received.Payload)
	case kindOutcome:
		return s.receiveOutcome(ctx, received.Payload)
	case kindDemand:
		report, err := decodeDemand(received.Payload)
		if err != nil {
			return err
		}
		s.server.config.Group.ReportDemand(s.key.daemon, report)
		return nil
	case kindPlace:
		return s.receivePlace(received.Payload)
	case kindCachedParts:
		return s.receiveCachedParts(received.Payload)
	case kindInFlight:
		return s.receiveInFlight(received.Payload)
	case kindPlacementProgress:
		return s.receivePlacementProgress(received.Payload)
	case kindCrashes:
		return s.receiveCrashReport(received.Payload)
	case kindUsage:
		return s.receiveUsage(received.Payload)
	case kindCharge:
		return s.receiveCharge(received.Payload)
	case kindRefund:
		return s.receiveRefund(received.Payload)
	case kindPresence:
		return s.receivePresence(received.Payload)
	default:
		return errors.Wrapf(errProtocol, "unknown frame kind %d", received.Kind)
	}
}

// receivePresence passes on a presence report, unless a later subscription of the daemon is open:
// its reports supersede this one, even if this one arrives after them. Standby
// subscriptions are for placements, so their presence reports are ignored.
func (s *subscriber) receivePresence(payload []byte) error {
	presence, err := decodePresence(payload)
	if err != nil {
		return err
	}
	if s.standby {
		return nil
	}
	s.server.latest.runIfLatest(s.key.daemon, s.number, func() {
		s.server.config.Group.ReportPresence(presence)
	})
	return nil
}

func (s *subscriber) receiveHeartbeat(payload []byte) error {
	message, err := decodeHeartbeat(payload)
	if err != nil {
		return err
	}
	if err := s.checkVersion(message.held); err != nil {
		return err
	}
	s.lock.Lock()
	s.acked = message.acked
	s.heartbeatPending = true
	s.pendingSequence = max(s.pendingSequence, message.sequence)
	s.lock.Unlock()
	s.releaseBulkIfDone(message.held)
	s.signal()
	return nil
}

// checkVersion rejects a version that the group has never had. A daemon with such a version
// followed another group, or followed this group before it lost all its disks, and must not count
// as having acknowledged a version of this group. The check is exact, because a leader has applied
// every version that any daemon can have been sent.
func (s *subscriber) checkVersion(version view.Version) error {
	leads := s.server.config.Group.Leadership().Leads
	if leads && version.Compare(s.server.config.Group.Version()) > 0 {
		return errors.Wrapf(errProtocol, "revision %d is ahead of the group", version.Revision)
	}
	return nil
}

func (s *subscriber) receiveClaim(ctx context.Context, payload []byte) error {
	requestID, request, err := decodeClaim(payload)
	if err != nil {
		return err
	}
	return s.startCall(ctx, func() {
		result, err := s.server.config.Group.Claim(ctx, request)
		reply := claimReply{requestID: requestID, code: replyCodeOf(err), result: result}
		s.enqueueResponse(kindClaimReply, encodeClaimReply(reply))
	}, func() {
		refused := claimReply{requestID: requestID, code: replyRefused}
		s.enqueueResponse(kindClaimReply, encodeClaimReply(refused))
	})
}

func (s *subscriber) receiveOutcome(ctx context.Context, payload []byte) error {
	requestID, outcome, err := decodeOutcome(payload)
	if err != nil {
		return err
	}
	return s.startCall(ctx, func() {
		err := s.server.config.Group.RecordOutcome(ctx, outcome)
		s.enqueueResponse(kindOutcomeReply, encodeOutcomeReply(outcomeReply{requestID: requestID, code: replyCodeOf(err)}))
	}, func() {
		refused := outcomeReply{requestID: requestID, code: replyRefused}
		s.enqueueResponse(kindOutcomeReply, encodeOutcomeReply(refused))
	})
}

// startCall runs serve on a separate goroutine, or calls refuse if the member no longer leads and
// must not start anything new. It waits for a free slot, which blocks only this subscriber.
func (s *subscriber) startCall(ctx context.Context, serve, refuse func()) error {
	select {
	case s.callSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	if !s.server.config.Group.Leadership().Leads {
		refuse()
		return nil
	}
	s.calls.Go(serve)
	return nil
}

// enqueueResponse hands a frame to the writer. A slot is freed only when its response was taken,
// so responses never exceeds its capacity.
func (s *subscriber) enqueueResponse(kind frame.Kind, payload []byte) {
	s.responses <- response{kind: kind, payload: payload}
}

func replyCodeOf(err error) replyCode {
	switch {
	case err == nil:
		return replyDone
	case errors.Is(err, ErrNoQuorum):
		return replyRefused
	default:
		return replyUnknown
	}
}

// writeLoop writes updates and responses until the connection ends.
func (s *subscriber) writeLoop(ctx context.Context) error {
	writer := frame.NewWriter(s.conn, Protocol, s.server.config.WriteTimeout)
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
			err = s.writeUpdates(ctx, writer)
		case next := <-s.responses:
			err = s.writeResponse(writer, next)
		}
		if err != nil {
			return err
		}
		if len(s.responses) > 0 {
			continue
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// writeResponse writes the response to a call and frees the call's slot.
func (s *subscriber) writeResponse(writer *frame.Writer, next response) error {
	<-s.callSlots
	return writer.WriteFrame(next.kind, next.payload)
}

// writeUpdates writes everything that is due: unrecorded crashes, limits, the delta to the current version
// and the lease grant; on a standby subscription the confirmation instead of delta and grant. It
// redirects the subscriber if the member does not lead.
func (s *subscriber) writeUpdates(ctx context.Context, writer *frame.Writer) error {
	s.lock.Lock()
	opened, sent, acked, heartbeatPending, sequence := s.opened, s.sent, s.acked, s.heartbeatPending, s.pendingSequence
	s.heartbeatPending, s.pendingSequence = false, 0
	s.lock.Unlock()
	if !opened {
		return nil
	}
	defer s.releaseOpeningSlot()
	leadership := s.server.config.Group.Leadership()
	if s.standby {
		if err := s.writeStandbyReady(ctx, writer, leadership.Address); err != nil {
			return err
		}
		if err := s.writeLimits(writer); err != nil {
			return err
		}
		return s.writeUnrecordedCrashes(writer)
	}
	if !leadership.Leads {
		return s.redirect(ctx, writer, leadership.Address)
	}
	if err := s.writeUnrecordedCrashes(writer); err != nil {
		return err
	}
	if err := s.writeLimits(writer); err != nil {
		return err
	}
	if err := s.writeDelta(ctx, writer, sent, heartbeatPending); err != nil {
		return err
	}
	if !heartbeatPending {
		return nil
	}
	return s.writeLeaseGrant(ctx, writer, acked, sequence)
}

// redirect waits for the responses to the calls in progress and sends the leader's address. The
// error that it returns ends the connection; if the responses take longer than WriteTimeout, the
// connection ends without the address.
func (s *subscriber) redirect(ctx context.Context, writer *frame.Writer, address string) error {
	timer := time.NewTimer(s.server.config.WriteTimeout)
	defer timer.Stop()
	for len(s.callSlots) > 0 {
		select {
		case next := <-s.responses:
			if err := s.writeResponse(writer, next); err != nil {
				return err
			}
		case <-timer.C:
			return errNotLeader
		case <-ctx.Done():
			return nil
		}
	}
	if err := writer.WriteFrame(kindNotLeader, encodeNotLeader(notLeader{address: address})); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	return errNotLeader
}

// writeDelta writes the delta to the current version. heartbeatPending says that a heartbeat or an
// acknowledgement has arrived since the last delta.
func (s *subscriber) writeDelta(ctx context.Context, writer *frame.Writer, sent view.Version, heartbeatPending bool) error {
	if s.partial {
		return s.writePartial(ctx, writer, sent, heartbeatPending)
	}
	payload, to, err := s.deltaSince(sent)
	if err != nil || payload == nil {
		return err
	}
	if len(payload) >= bulkThresholdBytes {
		if err := s.acquireBulkSlot(ctx, writer); err != nil {
			return err
		}
		// The group may have applied further versions while the subscriber waited.
		if payload, to, err = s.deltaSince(sent); err != nil {
			return err
		}
		s.recordBulkSent(to)
	}
	return s.writeDeltaFrame(writer, payload, to)
}

// writeDeltaFrame writes a delta and records the version that it leads to.
func (s *subscriber) writeDeltaFrame(writer *frame.Writer, payload []byte, to view.Version) error {
	if err := writer.WriteFrame(kindDelta, payload); err != nil {
		return err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.sent = to
	if to != s.server.config.Group.Version() {
		s.signal() // a cached full view may be older than the current version
	}
	return nil
}

func (s *subscriber) deltaSince(sent view.Version) ([]byte, view.Version, error) {
	return s.server.cache.deltaSince(s.server.config.Group, sent, s.server.config.Clock())
}

// writeLeaseGrant records the acknowledgement and renews the view lease if a heartbeat asks for it.
// The leader lease is checked here, after everything that may have taken time. A pause after the
// check does no harm: the view lease counts from when the daemon sent its heartbeat, so a grant
// that is sent late does not end later.
func (s *subscriber) writeLeaseGrant(ctx context.Context, writer *frame.Writer, acked view.Version, sequence uint64) error {
	now := s.server.config.Clock()
	current := s.server.ensureTermLeases(ctx)
	if current == nil {
		return nil
	}
	granted := current.tracker.Observe(s.key.String(), acked, now)
	s.server.config.Observed()
	lease := min(current.lease, s.server.config.Limit())
	if !granted || sequence == 0 || lease <= 0 {
		return nil
	}
	message := leaseGrant{sequence: sequence, lease: lease, term: current.term, wallClock: s.server.config.Group.WallClock()}
	return writer.WriteFrame(kindLeaseGrant, encodeLeaseGrant(message))
}
