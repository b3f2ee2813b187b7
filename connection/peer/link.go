package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// chunkBytes is the chunk size of snapshots.
const chunkBytes = 64 << 10

// link holds the outgoing connections to one peer: one sender for messages and one for
// snapshots.
type link struct {
	address   string
	stop      context.CancelFunc
	messages  *sender
	snapshots *sender
}

func newLink(t *Transport, member raft.MemberID, address string) *link {
	ctx, cancel := context.WithCancel(t.context)
	l := &link{
		address:   address,
		stop:      cancel,
		messages:  newSender(t, member, address, channelMessages),
		snapshots: newSender(t, member, address, channelSnapshots),
	}
	t.goroutines.Go(func() { l.messages.run(ctx) })
	t.goroutines.Go(func() { l.snapshots.run(ctx) })
	return l
}

func (l *link) send(message raft.Message) {
	if message.Kind == raft.MessageSnapshot {
		l.snapshots.put(message)
		return
	}
	l.messages.put(message)
}

// sender maintains the outgoing connection of one channel.
type sender struct {
	transport *Transport
	member    raft.MemberID
	address   string
	channel   channel
	queue     *queue
}

func newSender(t *Transport, member raft.MemberID, address string, purpose channel) *sender {
	maxMessages, maxBytes := t.config.QueueMessages, t.config.QueueBytes
	if purpose == channelSnapshots {
		maxMessages, maxBytes = 1, 1 // only the newest snapshot is queued
	}
	return &sender{transport: t, member: member, address: address, channel: purpose, queue: newQueue(maxMessages, maxBytes)}
}

func (s *sender) putNotice(payload []byte) {
	if dropped := s.queue.putNotice(payload); dropped > 0 {
		s.transport.count.dropped.Add(uint64(dropped))
	}
}

func (s *sender) put(message raft.Message) {
	if dropped := s.queue.put(message); dropped > 0 {
		s.transport.count.dropped.Add(uint64(dropped))
	}
}

// run connects when there is something to send, and reconnects after each failure.
func (s *sender) run(ctx context.Context) {
	retry := backoff{min: s.transport.config.MinBackoff, max: s.transport.config.MaxBackoff}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.queue.wake:
		}
		connected, err := s.connectAndSend(ctx)
		if ctx.Err() != nil {
			return
		}
		if connected > s.transport.config.MaxBackoff {
			retry.reset()
		}
		s.report(err)
		if !retry.wait(ctx) {
			return
		}
		s.queue.wakeIfPending()
	}
}

// report reports the end of a connection, or a failed attempt to connect, as an event.
func (s *sender) report(err error) {
	kind := EventDisconnected
	if errors.Is(err, ErrWrongGroup) || errors.Is(err, ErrWrongMember) || errors.Is(err, ErrHandshake) {
		kind = EventRefused
	}
	s.transport.config.OnEvent(Event{Kind: kind, Member: s.member, Address: s.address, Err: err})
}

// connectAndSend connects and sends until the connection fails or ctx ends. It returns how long
// the connection was established.
func (s *sender) connectAndSend(ctx context.Context) (time.Duration, error) {
	config := s.transport.config
	conn, err := connect(ctx, config, s.address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	unregister := context.AfterFunc(ctx, func() { conn.Close() })
	defer unregister()
	writer := frame.NewWriter(conn, Protocol, config.WriteTimeout)
	reader := frame.NewReader(conn, Protocol, handshakeBytes, config.HandshakeTimeout)
	greeting := hello{group: config.Group, sender: config.ID, receiver: s.member, channel: s.channel}
	if _, err := handshake(writer, reader, greeting); err != nil {
		return 0, err
	}
	config.OnEvent(Event{Kind: EventConnected, Member: s.member, Address: s.address})
	connected := time.Now()
	broken := make(chan error, 1)
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		broken <- s.readPongs(reader)
		conn.Close()
	}()
	err = s.sendLoop(ctx, writer, broken)
	conn.Close()
	<-readerDone
	return time.Since(connected), err
}

func connect(ctx context.Context, config Config, address string) (net.Conn, error) {
	dialContext, cancel := context.WithTimeout(ctx, config.ConnectTimeout)
	defer cancel()
	conn, err := config.Dial(dialContext, address)
	return conn, errors.WithStack(err)
}

// handshake sends the hello and returns the remote end's welcome. A refusal is returned as an
// error along with the welcome.
func handshake(writer *frame.Writer, reader *frame.Reader, greeting hello) (welcome, error) {
	if err := writer.WriteFrame(frameHello, greeting.encode()); err != nil {
		return welcome{}, err
	}
	if err := writer.Flush(); err != nil {
		return welcome{}, err
	}
	reply, err := reader.ReadFrame()
	if err != nil {
		return welcome{}, err
	}
	if reply.Kind != frameWelcome {
		return welcome{}, errors.Wrapf(ErrHandshake, "expected welcome, got frame of kind %d", reply.Kind)
	}
	w, err := decodeWelcome(reply.Payload)
	if err != nil {
		return welcome{}, err
	}
	return w, w.err()
}

// readPongs reads pongs and returns an error when the remote end stops sending them.
// Without this timeout, a connection whose remote end has disappeared would hold up messages
// for many minutes.
func (s *sender) readPongs(reader *frame.Reader) error {
	reader.SetTimeout(s.transport.config.PongTimeout + s.transport.config.PingInterval)
	for {
		reply, err := reader.ReadFrame()
		if err != nil {
			return errors.Wrap(err, "peer: read pong")
		}
		if reply.Kind != framePong {
			return errors.Wrapf(ErrHandshake, "expected pong, got frame of kind %d", reply.Kind)
		}
	}
}

// sendLoop sends queued messages and periodic pings until the connection fails or ctx ends.
func (s *sender) sendLoop(ctx context.Context, writer *frame.Writer, broken <-chan error) error {
	ticker := time.NewTicker(s.transport.config.PingInterval)
	defer ticker.Stop()
	for {
		if err := s.sendQueued(writer); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-broken:
			return err
		case <-s.queue.wake:
		case <-ticker.C:
			if err := writer.WriteFrame(framePing, nil); err != nil {
				return err
			}
			if err := writer.Flush(); err != nil {
				return err
			}
		}
	}
}

func (s *sender) sendQueued(writer *frame.Writer) error {
	messages, notices := s.queue.takeMessages(), s.queue.takeNotices()
	for i, message := range messages {
		if err := s.write(writer, message); err != nil {
			s.transport.count.dropped.Add(uint64(len(messages) - i))
			return err
		}
	}
	for _, payload := range notices {
		if err := writer.WriteFrame(frameNotice, payload); err != nil {
			return err
		}
	}
	if len(messages)+len(notices) == 0 {
		return nil
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	s.transport.count.sent.Add(uint64(len(messages) + len(notices)))
	return nil
}

func (s *sender) write(writer *frame.Writer, message raft.Message) error {
	encoded := message.AppendBinary(nil)
	if s.channel == channelMessages {
		return writer.WriteFrame(frameMessage, encoded)
	}
	for len(encoded) > chunkBytes {
		if err := writer.WriteFrame(frameChunk, encoded[:chunkBytes]); err != nil {
			return err
		}
		encoded = encoded[chunkBytes:]
	}
	return writer.WriteFrame(frameFinalChunk, encoded)
}

// backoff is an exponential backoff with jitter: each delay is random between half the
// current step and the full step, and the step doubles up to max.
type backoff struct {
	min, max time.Duration
	step     time.Duration
}

func (b *backoff) reset() { b.step = 0 }

// wait waits for the next delay and returns false if ctx ends first.
func (b *backoff) wait(ctx context.Context) bool {
	b.step = min(max(2*b.step, b.min), b.max)
	timer := time.NewTimer(b.step/2 + rand.N(b.step/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
