package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// startEarlyServer starts a server that reads the header of a request alone, sends the text, and then resets
// the connection.
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
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, text)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String() + "/"
}

// Guards against a part of a body that is taken for the whole, since the transport's writer gets the reset of
// the connection and its reader sees an ordinary end.
func TestBodyResetDuringUploadIsNotComplete(t *testing.T) {
	pool := NewPool(Config{})
	t.Cleanup(pool.Close)
	url := startEarlyServer(t, "HTTP/1.1 200 OK\r\n\r\npart")
	for range 50 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(make([]byte, 8<<20)))
		must.NoError(t, err)
		response, err := pool.Do(request, Identity{RequestID: "q", Attempt: 1})
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		must.Error(t, err)
	}
}
