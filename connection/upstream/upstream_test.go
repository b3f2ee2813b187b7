package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testIdentity is the identity used by tests that need no specific one.
var testIdentity = Identity{RequestID: "r1", Attempt: 1}

// rawResponse returns an encoded response that echoes the request's identity.
func rawResponse(status string, request http.Header, body string) string {
	head := &strings.Builder{}
	header := http.Header{}
	engineapi.EchoCall(header, request)
	_ = header.Write(head) // a builder's writes never fail
	return "HTTP/1.1 " + status + "\r\n" + head.String() + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// markHostAsEchoing sends a first request to the host, whose response shows the pool that the host echoes
// identities and its connections can be reused.
func markHostAsEchoing(t *testing.T, pool *Pool, request *http.Request) {
	t.Helper()
	response, err := pool.Do(request, testIdentity)
	must.NoError(t, err)
	drain(t, response)
}

// closingServer serves the first request of each connection and closes the connection after
// reading the second.
type closingServer struct {
	listener net.Listener
	unserved atomic.Int32 // requests read but not served
	done     sync.WaitGroup
}

func newClosingServer(t *testing.T) *closingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &closingServer{listener: listener}
	server.done.Go(server.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		server.done.Wait()
	})
	return server
}

func (s *closingServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.done.Go(func() { s.serve(conn) })
	}
}

func (s *closingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for served := 0; ; served++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if served > 0 {
			s.unserved.Add(1)
			return
		}
		_, _ = io.WriteString(conn, rawResponse("200 OK", request.Header, "ok"))
	}
}

func (s *closingServer) request(t *testing.T, method, body string) *http.Request {
	t.Helper()
	var source io.Reader
	if body != "" {
		source = strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.listener.Addr().String()+"/", source)
	must.NoError(t, err)
	request.Header.Set("Idempotency-Key", "key")
	request.Header.Set("X-Idempotency-Key", "key")
	return request
}

func drain(t *testing.T, response *http.Response) {
	t.Helper()
	_, err := io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
}

func TestNoResendOnReusedConnection(t *testing.T) {
	cases := []struct{ name, method, body string }{
		{"post with body and key", http.MethodPost, "body"},
		{"post without body", http.MethodPost, ""},
		{"get", http.MethodGet, ""},
		{"delete", http.MethodDelete, ""},
		{"put", http.MethodPut, "body"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := newClosingServer(t)
			pool := NewPool(Config{})
			defer pool.Close()
			markHostAsEchoing(t, pool, server.request(t, test.method, test.body))
			first, err := pool.Do(server.request(t, test.method, test.body), testIdentity)
			must.NoError(t, err)
			drain(t, first)
			_, err = pool.Do(server.request(t, test.method, test.body), testIdentity)
			var failure *Failure
			must.True(t, errors.As(err, &failure))
			must.True(t, failure.Wrote)
			must.Eq(t, 1, server.unserved.Load())
		})
	}
}

// This verifies that closingServer provokes a retry: with a plain Transport, the same exchange
// succeeds because the request is sent twice.
func TestPlainTransportResends(t *testing.T) {
	server := newClosingServer(t)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for range 2 {
		response, err := transport.RoundTrip(server.request(t, http.MethodPost, "body"))
		must.NoError(t, err)
		drain(t, response)
	}
	must.Eq(t, 1, server.unserved.Load())
}

func TestFailureReportsWhetherWritten(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	pool := NewPool(Config{})
	defer pool.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", strings.NewReader("x"))
	must.NoError(t, err)
	_, err = pool.Do(request, testIdentity)
	var failure *Failure
	must.True(t, errors.As(err, &failure))
	must.False(t, failure.Wrote)
}

func TestCloseRacesWithWrite(t *testing.T) {
	for range 200 {
		client, server := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, server) }()
		conn := &trackedConn{Conn: client}
		var wrote bool
		var count int
		var both sync.WaitGroup
		both.Go(func() { count, _ = conn.Write([]byte("x")) })
		both.Go(func() { wrote = conn.closeAndReportWritten() })
		both.Wait()
		must.False(t, count > 0 && !wrote)
		_ = server.Close()
	}
}

func TestUnreadResponseClosesConnection(t *testing.T) {
	var conns atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		engineapi.EchoCall(w.Header(), r.Header)
		_, _ = io.WriteString(w, "a response that is not read completely")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	pool := NewPool(Config{})
	defer pool.Close()
	get := func() *http.Response {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
		must.NoError(t, err)
		response, err := pool.Do(request, testIdentity)
		must.NoError(t, err)
		return response
	}
	drain(t, get())
	must.Eq(t, 1, conns.Load()) // used for one request only, since the host was not known to echo
	unread := get()
	_, err := unread.Body.Read(make([]byte, 2))
	must.NoError(t, err)
	must.NoError(t, unread.Body.Close())
	drain(t, get())
	must.Eq(t, 3, conns.Load())
	drain(t, get())
	must.Eq(t, 3, conns.Load())
}

func TestRedirectIsNotFollowed(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		engineapi.EchoCall(w.Header(), r.Header)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	pool := NewPool(Config{})
	defer pool.Close()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL, strings.NewReader("x"))
	must.NoError(t, err)
	response, err := pool.Do(request, testIdentity)
	must.NoError(t, err)
	drain(t, response)
	must.Eq(t, http.StatusTemporaryRedirect, response.StatusCode)
	must.Eq(t, 1, requests.Load())
}

// A server that responds without reading the request body closes the connection immediately if
// the request has "Connection: close". The rest of the body then causes a connection reset
// and the response is lost. The first POST to a host, which uses a dedicated connection, must
// get its complete response.
func TestUnreadBodyDoesNotResetConnection(t *testing.T) {
	var closing atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Close {
			closing.Add(1)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "refused")
	}))
	defer server.Close()
	pool := NewPool(Config{})
	defer pool.Close()
	const requests, bodyBytes = 20, 128 << 10
	for range requests {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader(strings.Repeat("x", bodyBytes)))
		must.NoError(t, err)
		response, err := pool.Do(request, testIdentity)
		must.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.Eq(t, "refused", string(body))
		must.NoError(t, response.Body.Close())
	}
	must.Eq(t, 0, closing.Load(), must.Sprint("requests were sent with Connection: close"))
}
