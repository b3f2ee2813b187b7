package singleuse

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/landingtrail/landingtrail/connection/responsecheck"
	"github.com/shoenig/test/must"
)

// Guards against lists, reports and results of orders that a server in trouble sends in responses that HTTP
// does not allow.
func TestInvalidResponsesFail(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 Odd\r\n", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: odd\r\n", "HTTP/1.1 999 Odd\r\n",
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n", "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n",
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\n{}")
			_ = conn.Close()
		}()
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String()+"/", nil)
		must.NoError(t, err)
		response, err := NewClient(nil).Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		must.ErrorIs(t, err, responsecheck.ErrInvalid, must.Sprint(head))
		_ = listener.Close()
	}
}
