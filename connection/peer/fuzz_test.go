package peer

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/shoenig/test/must"
)

// fakeConn is a net.Conn that reads from a reader and writes to a buffer.
type fakeConn struct {
	net.Conn
	io.Reader
	written bytes.Buffer
}

func (c *fakeConn) Read(data []byte) (int, error)    { return c.Reader.Read(data) }
func (c *fakeConn) Write(data []byte) (int, error)   { return c.written.Write(data) }
func (c *fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }

// encodeFrames converts fuzzer input to valid frames. The input holds a kind, two bytes of length
// and the payload of each, so that the fuzzer need not find valid checksums.
func encodeFrames(t testing.TB, input []byte) []byte {
	t.Helper()
	w := &fakeConn{}
	writer := frame.NewWriter(w, Protocol, 0)
	for len(input) >= 3 {
		length := min(int(input[1])<<8|int(input[2]), len(input)-3)
		must.NoError(t, writer.WriteFrame(frame.Kind(input[0]), input[3:3+length]))
		input = input[3+length:]
	}
	must.NoError(t, writer.Flush())
	return w.written.Bytes()
}

// frameInput returns the fuzzer input for one frame.
func frameInput(kind frame.Kind, payload []byte) []byte {
	return append([]byte{byte(kind), byte(len(payload) >> 8), byte(len(payload))}, payload...)
}

// FuzzInbound sends arbitrary frames to a transport. Every message that it delivers must come
// from the member in the hello and be addressed to this one.
func FuzzInbound(f *testing.F) {
	greeting := hello{group: testGroup, sender: 2, receiver: 1, channel: channelMessages}
	message := raft.Message{Kind: raft.MessageHeartbeat, From: 2, To: 1, Term: 3, Sequence: 4}
	encoded := message.AppendBinary(nil)
	message.From = 3
	f.Add(frameInput(frameHello, greeting.encode()), frameInput(frameMessage, encoded))
	f.Add(frameInput(frameHello, greeting.encode()), frameInput(frameMessage, message.AppendBinary(nil)))
	f.Add(frameInput(frameHello, greeting.encode()), append(frameInput(frameChunk, encoded[:9]), frameInput(frameFinalChunk, encoded[9:])...))
	f.Add(frameInput(frameHello, greeting.encode()), append(frameInput(framePing, nil), frameInput(frameWelcome, nil)...))
	f.Fuzz(func(t *testing.T, first, rest []byte) {
		sender := raft.None
		transport := &Transport{config: Config{Group: testGroup, ID: 1, MaxSnapshotBytes: 100}}
		transport.config.setDefaults()
		transport.receive = func(message raft.Message) {
			must.Eq(t, sender, message.From)
			must.Eq(t, raft.MemberID(1), message.To)
		}
		w := &fakeConn{Reader: bytes.NewReader(encodeFrames(t, append(first, rest...)))}
		writer := frame.NewWriter(w, Protocol, 0)
		reader := frame.NewReader(w, Protocol, handshakeBytes, 0)
		accepted, err := transport.handleHello(writer, reader)
		if err != nil || accepted.channel == channelProbe {
			return // the connection ends after a probe
		}
		sender = accepted.sender
		must.NotEq(t, raft.MemberID(1), sender)
		must.Error(t, transport.readMessages(accepted, writer, reader))
	})
}

// FuzzHandshake decodes arbitrary bytes as the two handshake frames. Accepted frames must
// encode to the same bytes.
func FuzzHandshake(f *testing.F) {
	f.Add(hello{group: 1, sender: 2, receiver: 3, channel: channelProbe}.encode())
	f.Add(welcome{result: helloAccepted, group: 1, member: 2, initialized: true}.encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if h, err := decodeHello(data); err == nil {
			must.Eq(t, data, h.encode())
		}
		if w, err := decodeWelcome(data); err == nil {
			must.Eq(t, data, w.encode())
		}
	})
}
