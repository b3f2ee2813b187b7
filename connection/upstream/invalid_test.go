package upstream

import (
	"net/http"
	"testing"

	"github.com/landingtrail/landingtrail/connection/responsecheck"
	"github.com/shoenig/test/must"
)

// Guards against responses that HTTP does not allow, and against an encoding that the caller did not ask for.
func TestInvalidResponsesFail(t *testing.T) {
	do := func(head string, accept string) error {
		pool := NewPool(Config{})
		defer pool.Close()
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, startEarlyServer(t, head+"Content-Length: 2\r\n\r\nok"), nil)
		must.NoError(t, err)
		if accept != "" {
			request.Header.Set("Accept-Encoding", accept)
		}
		response, err := pool.Do(request, Identity{RequestID: "q"})
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}
	const encoded = "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n"
	for _, head := range []string{
		"HTTP/1.1 000 Odd\r\n", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: odd\r\n", "HTTP/1.1 600 Odd\r\n",
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n", encoded,
	} {
		must.ErrorIs(t, do(head, ""), responsecheck.ErrInvalid, must.Sprint(head))
	}
	must.NoError(t, do(encoded, "gzip"))
}
