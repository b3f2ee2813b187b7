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

// wire is a net.Conn that reads from a reader and writes to a buffer.
type wire struct {
	net.Conn
	io.Reader
	written bytes.Buffer
}

func (w *wire) Read(data []byte) (int, error)    { return w.Reader.Read(data) }
func (w *wire) Write(data []byte) (int, error)   { return w.written.Write(data) }
func (w *wire) SetReadDeadline(time.Time) error  { return nil }
func (w *wire) SetWriteDeadline(time.Time) error { return nil }

// framed converts fuzzer input to valid frames. The input holds a kind, two bytes of length
// and the payload of each, so that the fuzzer need not find valid checksums.
func framed(t testing.TB, drawn []byte) []byte {
	t.Helper()
	w := &wire{}
	writer := frame.NewWriter(w, Protocol, 0)
	for len(drawn) >= 3 {
		length := min(int(drawn[1])<<8|int(drawn[2]), len(drawn)-3)
		must.NoError(t, writer.WriteFrame(frame.Kind(drawn[0]), drawn[3:3+length]))
		drawn = drawn[3+length:]
	}
	must.NoError(t, writer.Flush())
	return w.written.Bytes()
}

// draw returns the fuzzer input for one frame.
func draw(kind frame.Kind, payload []byte) []byte {
	return append([]byte{byte(kind), byte(len(payload) >> 8), byte(len(payload))}, payload...)
}

// FuzzInbound sends arbitrary frames to a transport. Every message that it delivers must come
// from the member in the hello and be addressed to this one.
func FuzzInbound(f *testing.F) {
	greeting := hello{group: testGroup, sender: 2, receiver: 1, lane: laneMessages}
	message := raft.Message{Kind: raft.MessageHeartbeat, From: 2, To: 1, Term: 3, Sequence: 4}
	encoded := message.AppendBinary(nil)
	message.From = 3
	f.Add(draw(frameHello, greeting.encode()), draw(frameMessage, encoded))
	f.Add(draw(frameHello, greeting.encode()), draw(frameMessage, message.AppendBinary(nil)))
	f.Add(draw(frameHello, greeting.encode()), append(draw(frameChunk, encoded[:9]), draw(frameFinalChunk, encoded[9:])...))
	f.Add(draw(frameHello, greeting.encode()), append(draw(framePing, nil), draw(frameWelcome, nil)...))
	f.Fuzz(func(t *testing.T, first, rest []byte) {
		sender := raft.None
		transport := &Transport{config: Config{Group: testGroup, ID: 1, MaxSnapshotBytes: 100}}
		transport.config.setDefaults()
		transport.receive = func(message raft.Message) {
			must.Eq(t, sender, message.From)
			must.Eq(t, raft.MemberID(1), message.To)
		}
		w := &wire{Reader: bytes.NewReader(framed(t, append(first, rest...)))}
		writer := frame.NewWriter(w, Protocol, 0)
		reader := frame.NewReader(w, Protocol, handshakeBytes, 0)
		accepted, err := transport.welcome(writer, reader)
		if err != nil || accepted.lane == laneProbe {
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
	f.Add(hello{group: 1, sender: 2, receiver: 3, lane: laneProbe}.encode())
	f.Add(welcome{verdict: verdictAccepted, group: 1, member: 2, initialized: true}.encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if h, err := decodeHello(data); err == nil {
			must.Eq(t, data, h.encode())
		}
		if w, err := decodeWelcome(data); err == nil {
			must.Eq(t, data, w.encode())
		}
	})
}
