package exchange

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"testing"

	"github.com/shoenig/test/must"
)

// startEarlyServer starts a server that reads the header of a request alone, sends the text, and then closes
// the connection: by a reset, since the body of the request is unread.
func startEarlyServer(t *testing.T, text string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := textproto.NewReader(bufio.NewReader(conn))
			_, _ = reader.ReadLine()
			_, _ = reader.ReadMIMEHeader()
			_, _ = io.WriteString(conn, text)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

func newUpload() *Request {
	return &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), 8<<20)}
}

// Guards against a part of a body that is taken for the whole: the server resets the connection while the
// request is being written, the writer gets the reset, and the reader sees the end of the connection.
func TestBodyResetDuringUploadIsNotComplete(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"} {
		address, pool := startEarlyServer(t, head+"\r\npart"), newPool(t)
		for range 30 {
			_, err := fetch(t, pool, address, newUpload())
			must.Error(t, err, must.Sprint(head))
		}
	}
}

// Guards against the opposite: a body whose end is marked is complete although the server has not read the
// request (RFC 9112, 9.6).
func TestMarkedBodyResetDuringUploadIsComplete(t *testing.T) {
	for _, text := range []string{"Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"} {
		address, pool := startEarlyServer(t, "HTTP/1.1 413 Too Large\r\n"+text), newPool(t)
		complete := 0
		for range 30 {
			body, err := fetch(t, pool, address, newUpload())
			if err == nil { // otherwise the reset came before the response was read
				must.Eq(t, "whole", body)
				complete++
			}
		}
		must.Positive(t, complete)
	}
}
