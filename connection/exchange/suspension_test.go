package exchange

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The server closes an idle connection after a while, also while this machine is
// suspended. A request sent on it afterwards may be lost, and must not be retried if it
// may run only once. Idle connections must therefore expire by a clock that includes
// the suspension.
func TestIdleConnectionsExpireDuringSuspension(t *testing.T) {
	var connections atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Test-Id", r.Header.Get("Test-Id"))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	var suspended atomic.Int64
	start := time.Now()
	pool := NewPool(Config{Clock: func() time.Duration { return time.Since(start) + time.Duration(suspended.Load()) }})
	defer pool.Close()
	sendRequest := func() {
		response, err := pool.Do(t.Context(), server.Listener.Addr().String(), &Request{Method: "GET", Target: "/", Host: "h",
			Header: http.Header{"Test-Id": {"1"}}, Identity: Identity{Field: "Test-Id", ID: "1"}})
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, response)
		must.NoError(t, err)
		response.Close()
	}
	sendRequest()
	sendRequest()
	must.Eq(t, 1, connections.Load())
	suspended.Store(int64(DefaultIdleTimeout))
	must.False(t, pool.HasIdle(server.Listener.Addr().String()))
	sendRequest()
	must.Eq(t, 2, connections.Load())
}
