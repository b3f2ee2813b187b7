package responsecheck

import (
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// acceptAndReset accepts a connection, waits for some bytes, sends text and resets the connection.
func acceptAndReset(listener net.Listener, text string) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	_, _ = io.ReadFull(conn, make([]byte, 10))
	_, _ = conn.Write([]byte(text))
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// Guards against the end of a connection that was reset while it was written to, and that a reader takes for
// the ordinary end of what it has read. Without Conn most of these reads end with io.EOF.
func TestResetDuringWriteIsNoOrdinaryEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	for range 50 {
		go acceptAndReset(listener, "part")
		raw, err := net.Dial("tcp", listener.Addr().String())
		must.NoError(t, err)
		conn := NewConn(raw)
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = conn.Write(bytes.Repeat([]byte("x"), 16<<20))
		}()
		_, err = io.ReadAll(conn)
		must.Error(t, err, must.Sprint("the end looks like an ordinary one"))
		_ = conn.Close()
		<-written
	}
}

// Guards against the opposite: an end that comes right after a request has been read completely.
func TestEndAfterCompleteWriteIsOrdinary(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	const requestBytes = 1 << 20
	for range 50 {
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, conn, requestBytes)
			_, _ = conn.Write([]byte("whole"))
			_ = conn.Close()
		}()
		raw, err := net.Dial("tcp", listener.Addr().String())
		must.NoError(t, err)
		conn := NewConn(raw)
		go func() { _, _ = conn.Write(bytes.Repeat([]byte("x"), requestBytes)) }()
		text, err := io.ReadAll(conn)
		must.NoError(t, err)
		must.Eq(t, "whole", string(text))
		_ = conn.Close()
	}
}
