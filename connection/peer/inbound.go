package peer

import (
	"context"
	"net"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// acceptPause is the wait after a failed accept, for example without free file
// descriptors.
const acceptPause = 50 * time.Millisecond

// inboundKey names an incoming connection; a later one of the same key replaces
// the earlier, whose other end is gone.
type inboundKey struct {
	sender raft.MemberID
	lane   lane
}

// inbound is what is known of an incoming connection.
type inbound struct {
	// number counts the connections in the order in which they were accepted.
	number uint64
	key    inboundKey // zero until it is admitted
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
		t.group.Go(func() { t.serveInbound(conn) })
	}
}

// register counts the connection and returns false when there are too many.
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

// admit gives the connection its key and closes the one that had it. It returns false
// when that is the later one: goroutines come here in any order, and the sender has
// given up the earlier of its connections.
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
	greeting, err := t.welcome(writer, reader)
	if err != nil {
		address := conn.RemoteAddr().String()
		t.config.OnEvent(Event{Kind: EventRejected, Member: greeting.sender, Address: address, Err: err})
		return
	}
	if greeting.lane == laneProbe {
		return
	}
	if !t.admit(conn, inboundKey{sender: greeting.sender, lane: greeting.lane}) {
		return
	}
	// What ends the connection is the sender's to notice and report.
	_ = t.readMessages(greeting, writer, reader)
}

// welcome reads the hello and answers it; the answer names this member also when
// it refuses.
func (t *Transport) welcome(writer *frame.Writer, reader *frame.Reader) (hello, error) {
	first, err := reader.ReadFrame()
	if err != nil {
		return hello{}, err
	}
	if first.Kind != frameHello {
		return hello{}, errors.Wrapf(ErrHandshake, "frame of kind %d", first.Kind)
	}
	greeting, err := decodeHello(first.Payload)
	if err != nil {
		return hello{}, err
	}
	answer := welcome{
		verdict:     t.judge(greeting),
		group:       t.config.Group,
		member:      t.config.ID,
		initialized: t.config.Initialized(),
	}
	if err := writer.WriteFrame(frameWelcome, answer.encode()); err != nil {
		return greeting, err
	}
	if err := writer.Flush(); err != nil {
		return greeting, err
	}
	return greeting, answer.err()
}

func (t *Transport) readMessages(greeting hello, writer *frame.Writer, reader *frame.Reader) error {
	reader.SetTimeout(t.config.PingInterval + t.config.AnswerTimeout)
	reader.SetMaxPayload(t.config.MaxMessageBytes)
	var pieces []byte
	for {
		next, err := reader.ReadFrame()
		if err != nil {
			return err
		}
		switch next.Kind {
		case framePing:
			err = answerPing(writer)
		case frameMessage:
			err = t.deliver(greeting, next.Payload)
		case frameNotice:
			t.count.received.Add(1)
			t.config.OnNotice(greeting.sender, next.Payload)
		case frameChunk:
			pieces = append(pieces, next.Payload...)
			err = t.acknowledgeChunk(writer, len(pieces))
		case frameFinalChunk:
			pieces = append(pieces, next.Payload...)
			err = t.deliver(greeting, pieces)
			pieces = nil
		default:
			err = errors.Wrapf(ErrHandshake, "frame of kind %d", next.Kind)
		}
		if err != nil {
			return err
		}
	}
}

// acknowledgeChunk answers each piece of a snapshot, so that the sender sees it
// move on a slow network, where a ping would have to wait behind all of it.
func (t *Transport) acknowledgeChunk(writer *frame.Writer, size int) error {
	if size > t.config.MaxSnapshotBytes {
		return errors.Wrapf(frame.ErrTooLarge, "snapshot of more than %d bytes", t.config.MaxSnapshotBytes)
	}
	return answerPing(writer)
}

func answerPing(writer *frame.Writer) error {
	if err := writer.WriteFrame(framePong, nil); err != nil {
		return err
	}
	return writer.Flush()
}

// deliver hands on a message that comes from the member that the connection was
// opened by and is meant for this one.
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

// Identity is what a probe learns of the member at an address.
type Identity struct {
	Group  uint64
	Member raft.MemberID
	// Initialized tells whether the member holds a group's log already.
	Initialized bool
}

// Probe asks who is at the address. It returns ErrWrongGroup with the identity
// found when that is of another group.
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
	answer, err := greet(writer, reader, hello{group: group, lane: laneProbe})
	return Identity{Group: answer.group, Member: answer.member, Initialized: answer.initialized}, err
}
