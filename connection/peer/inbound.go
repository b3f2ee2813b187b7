package peer

import (
	"context"
	"net"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// acceptPause is the delay after a failed accept, for example when no file descriptors
// are free.
const acceptPause = 50 * time.Millisecond

// inboundKey identifies an incoming connection. A later connection with the same key
// replaces the earlier one, which its sender has abandoned.
type inboundKey struct {
	sender  raft.MemberID
	channel channel
}

// inbound describes an incoming connection.
type inbound struct {
	// number is the position of the connection in the order of acceptance.
	number uint64
	key    inboundKey // zero until the connection is admitted
}

func (t *Transport) accept() {
	for {
		conn, err := t.config.Listener.Accept()
		if t.context.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		if !t.register(conn) {
			conn.Close()
			continue
		}
		t.goroutines.Go(func() { t.serveInbound(conn) })
	}
}

// register adds the connection and returns false if there are too many or the transport is
// closed.
func (t *Transport) register(conn net.Conn) bool {
	t.inboundMutex.Lock()
	defer t.inboundMutex.Unlock()
	if t.context.Err() != nil || len(t.inbound) >= t.config.MaxConnections {
		return false
	}
	t.accepted++
	t.inbound[conn] = inbound{number: t.accepted}
	return true
}

// admit assigns the key to the connection and closes an earlier one with the same key. It
// returns false if the other connection is the later one: the goroutines of connections
// reach this point in any order, and the sender has abandoned the earlier connection.
func (t *Transport) admit(conn net.Conn, key inboundKey) bool {
	t.inboundMutex.Lock()
	defer t.inboundMutex.Unlock()
	admitted := t.inbound[conn]
	admitted.key = key
	for other, held := range t.inbound {
		if held.key != key {
			continue
		}
		if held.number > admitted.number {
			return false
		}
		other.Close()
	}
	t.inbound[conn] = admitted
	return true
}

func (t *Transport) unregister(conn net.Conn) {
	t.inboundMutex.Lock()
	defer t.inboundMutex.Unlock()
	delete(t.inbound, conn)
	conn.Close()
}

func (t *Transport) closeInbound() {
	t.inboundMutex.Lock()
	defer t.inboundMutex.Unlock()
	for conn := range t.inbound {
		conn.Close()
	}
}

func (t *Transport) serveInbound(conn net.Conn) {
	defer t.unregister(conn)
	writer := frame.NewWriter(conn, Protocol, t.config.WriteTimeout)
	reader := frame.NewReader(conn, Protocol, handshakeBytes, t.config.HandshakeTimeout)
	greeting, err := t.handleHello(writer, reader)
	if err != nil {
		address := conn.RemoteAddr().String()
		t.config.OnEvent(Event{Kind: EventRejected, Member: greeting.sender, Address: address, Err: err})
		return
	}
	if greeting.channel == channelProbe {
		return
	}
	if !t.admit(conn, inboundKey{sender: greeting.sender, channel: greeting.channel}) {
		return
	}
	// The error is ignored, since the sender reports why the connection ended.
	_ = t.readMessages(greeting, writer, reader)
}

// handleHello reads the hello and replies to it. The reply identifies this member even if it
// is a refusal.
func (t *Transport) handleHello(writer *frame.Writer, reader *frame.Reader) (hello, error) {
	first, err := reader.ReadFrame()
	if err != nil {
		return hello{}, err
	}
	if first.Kind != frameHello {
		return hello{}, errors.Wrapf(ErrHandshake, "expected hello, got frame of kind %d", first.Kind)
	}
	greeting, err := decodeHello(first.Payload)
	if err != nil {
		return hello{}, err
	}
	reply := welcome{
		result:      t.checkHello(greeting),
		group:       t.config.Group,
		member:      t.config.ID,
		initialized: t.config.Initialized(),
	}
	if err := writer.WriteFrame(frameWelcome, reply.encode()); err != nil {
		return greeting, err
	}
	if err := writer.Flush(); err != nil {
		return greeting, err
	}
	return greeting, reply.err()
}

func (t *Transport) readMessages(greeting hello, writer *frame.Writer, reader *frame.Reader) error {
	reader.SetTimeout(t.config.PingInterval + t.config.PongTimeout)
	reader.SetMaxPayload(t.config.MaxMessageBytes)
	var chunks []byte
	for {
		next, err := reader.ReadFrame()
		if err != nil {
			return err
		}
		switch next.Kind {
		case framePing:
			err = sendPong(writer)
		case frameMessage:
			err = t.deliver(greeting, next.Payload)
		case frameNotice:
			t.count.received.Add(1)
			t.config.OnNotice(greeting.sender, next.Payload)
		case frameChunk:
			chunks = append(chunks, next.Payload...)
			err = t.acknowledgeChunk(writer, len(chunks))
		case frameFinalChunk:
			chunks = append(chunks, next.Payload...)
			err = t.deliver(greeting, chunks)
			chunks = nil
		default:
			err = errors.Wrapf(ErrHandshake, "unexpected frame of kind %d after the handshake", next.Kind)
		}
		if err != nil {
			return err
		}
	}
}

// acknowledgeChunk replies to each chunk of a snapshot, so that the sender sees progress on
// a slow network, where a ping would have to wait behind the whole snapshot. It also enforces
// MaxSnapshotBytes, except on the final chunk.
func (t *Transport) acknowledgeChunk(writer *frame.Writer, size int) error {
	if size > t.config.MaxSnapshotBytes {
		return errors.Wrapf(frame.ErrTooLarge, "snapshot of more than %d bytes", t.config.MaxSnapshotBytes)
	}
	return sendPong(writer)
}

func sendPong(writer *frame.Writer) error {
	if err := writer.WriteFrame(framePong, nil); err != nil {
		return err
	}
	return writer.Flush()
}

// deliver passes on a message after verifying that it comes from the member that opened the
// connection and is addressed to this one.
func (t *Transport) deliver(greeting hello, data []byte) error {
	message, err := raft.DecodeMessage(data)
	if err != nil {
		return err
	}
	if message.From != greeting.sender || message.To != t.config.ID {
		return errors.Wrapf(ErrWrongMember, "message from %x to %x", message.From, message.To)
	}
	t.count.received.Add(1)
	t.receive(message)
	return nil
}

// Identity is the result of a probe: the member at an address.
type Identity struct {
	Group  uint64
	Member raft.MemberID
	// Initialized tells whether the member already has a group's log.
	Initialized bool
}

// Probe returns the identity of the member at the address. If it belongs to another
// group, the error is ErrWrongGroup and the identity is returned as well. Connecting, writing
// and the handshake are limited by the default timeouts of Config.
func Probe(ctx context.Context, address string, group uint64) (Identity, error) {
	config := Config{Group: group}
	config.setDefaults()
	conn, err := connect(ctx, config, address)
	if err != nil {
		return Identity{}, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	writer := frame.NewWriter(conn, Protocol, config.WriteTimeout)
	reader := frame.NewReader(conn, Protocol, handshakeBytes, config.HandshakeTimeout)
	reply, err := handshake(writer, reader, hello{group: group, channel: channelProbe})
	return Identity{Group: reply.group, Member: reply.member, Initialized: reply.initialized}, err
}
