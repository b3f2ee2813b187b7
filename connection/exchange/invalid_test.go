package exchange

import (
	"testing"

	"github.com/landingtrail/landingtrail/connection/responsecheck"
	"github.com/shoenig/test/must"
)

// Guards against heads that net/http accepts and HTTP does not allow, also after an informational response,
// and against the reuse of their connections.
func TestInvalidResponsesFail(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 Odd\r\nId: {id}\r\n", "HTTP/1.1 101 Switching Protocols\r\nId: {id}\r\n", "HTTP/1.1 600 Odd\r\nId: {id}\r\n",
		"HTTP/1.1 200 OK\r\nId: {id}\r\nX Odd: 1\r\n", "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Encoding: gzip\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: {id}\r\nX-Odd : 1\r\n",
	} {
		server := newScriptedServer(t, respond(head+"Content-Length: 2\r\n\r\nok"), respond(okResponse))
		pool := newPool(t)
		_, err := fetch(t, pool, server.address(), newGet("/"))
		must.ErrorIs(t, err, responsecheck.ErrInvalid, must.Sprint(head))
		must.SliceLen(t, 1, server.received())
		must.False(t, pool.HasIdle(server.address()))
	}
}
