package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedServer is a server that runs one script for each request it reads and records the
// bytes of the requests.
type scriptedServer struct {
	t        *testing.T
	listener net.Listener
	done     sync.WaitGroup

	lock     sync.Mutex
	scripts  []func(net.Conn)
	requests []string
	conns    []net.Conn
}

func newScriptedServer(t *testing.T, scripts ...func(net.Conn)) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &scriptedServer{t: t, listener: listener, scripts: scripts}
	s.done.Go(s.accept)
	t.Cleanup(s.close)
	return s
}

func (s *scriptedServer) address() string { return s.listener.Addr().String() }

func (s *scriptedServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.lock.Lock()
		s.conns = append(s.conns, conn)
		s.lock.Unlock()
		s.done.Go(func() { s.serve(conn) })
	}
}

func (s *scriptedServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var raw bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(conn, &raw))
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		script := s.next(raw.String())
		raw.Reset()
		if script == nil {
			return
		}
		script(&echoConn{Conn: conn, id: request.Header.Get(idField)})
	}
}

// echoConn is a connection that replaces idPlaceholder by the request ID.
type echoConn struct {
	net.Conn
	id string
}

// idPlaceholder is the placeholder for the request ID in the responses of scripts.
const idPlaceholder = "{id}"

func (e *echoConn) Write(data []byte) (int, error) {
	_, err := e.Conn.Write(bytes.ReplaceAll(data, []byte(idPlaceholder), []byte(e.id)))
	return len(data), err
}

func (s *scriptedServer) next(request string) func(net.Conn) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.requests = append(s.requests, request)
	if len(s.scripts) == 0 {
		return nil
	}
	script := s.scripts[0]
	s.scripts = s.scripts[1:]
	return script
}

func (s *scriptedServer) received() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]string(nil), s.requests...)
}

func (s *scriptedServer) close() {
	_ = s.listener.Close()
	s.lock.Lock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.lock.Unlock()
	s.done.Wait()
}

// respond returns a script that writes the text.
func respond(text string) func(net.Conn) {
	return func(conn net.Conn) { _, _ = conn.Write([]byte(text)) }
}

// respondAndClose returns a script that writes the text and closes the connection.
func respondAndClose(text string) func(net.Conn) {
	return func(conn net.Conn) {
		_, _ = conn.Write([]byte(text))
		_ = conn.Close()
	}
}

// respondAndReset returns a script that writes the text and resets the connection.
func respondAndReset(text string) func(net.Conn) {
	return func(conn net.Conn) {
		_, _ = conn.Write([]byte(text))
		_ = conn.(*echoConn).Conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

const (
	idField    = "Id"
	okResponse = "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok"
)

func newPool(t *testing.T) *Pool {
	pool := NewPool(Config{})
	t.Cleanup(pool.Close)
	return pool
}

// newGet returns a GET request with a new ID.
func newGet(target string) *Request {
	return newGetWithID(strconv.FormatUint(lastID.Add(1), 10), target)
}

var lastID atomic.Uint64

func newGetWithID(id, target string) *Request {
	return &Request{Method: http.MethodGet, Target: target, Host: "a.example",
		Header: http.Header{idField: {id}}, Identity: Identity{Field: idField, ID: id}}
}

// fetch sends the request and returns the complete response body.
func fetch(t *testing.T, pool *Pool, address string, request *Request) (string, error) {
	t.Helper()
	response, err := pool.Do(t.Context(), address, request)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func TestRequestIsSentAsGiven(t *testing.T) {
	server := newScriptedServer(t, respond(okResponse), respond(okResponse), respond(okResponse))
	pool := newPool(t)
	cases := []struct {
		name    string
		request *Request
		want    string
	}{
		{"target and fields", &Request{Method: "GET", Target: "/a//b/../%2f?q=%20&&", Host: "a.example", Header: http.Header{"B": {"2", "3"}, "A": {"1"}}},
			"GET /a//b/../%2f?q=%20&& HTTP/1.1\r\nHost: a.example\r\nA: 1\r\nB: 2\r\nB: 3\r\n\r\n"},
		{"body with a length", &Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: []byte("abc")},
			"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"},
		{"body in chunks", &Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: []byte("abc"), Chunked: true},
			"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
	}
	for i, test := range cases {
		_, err := fetch(t, pool, server.address(), test.request)
		must.NoError(t, err)
		must.Eq(t, test.want, server.received()[i], must.Sprint(test.name))
	}
}

func TestConnectionsAreReused(t *testing.T) {
	server := newScriptedServer(t, respond(okResponse), respond(okResponse))
	pool := newPool(t)
	for range 2 {
		body, err := fetch(t, pool, server.address(), newGet("/"))
		must.NoError(t, err)
		must.Eq(t, "ok", body)
	}
	server.lock.Lock()
	defer server.lock.Unlock()
	must.SliceLen(t, 1, server.conns)
}

// Bytes that follow a response belong to no request. The connection must not be reused,
// whether they arrive together with the response or later.
func TestSurplusResponsesAreNotReturned(t *testing.T) {
	const surplus = "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 5\r\n\r\nother"
	arrived := make(chan struct{})
	late := func(conn net.Conn) {
		_, _ = conn.Write([]byte(okResponse))
		<-arrived
		_, _ = conn.Write([]byte(surplus))
	}
	for name, script := range map[string]func(net.Conn){"at once": respond(okResponse + surplus), "later": late} {
		t.Run(name, func(t *testing.T) {
			server := newScriptedServer(t, script, respond(okResponse))
			pool := newPool(t)
			body, err := fetch(t, pool, server.address(), newGet("/1"))
			must.NoError(t, err)
			must.Eq(t, "ok", body)
			if name == "later" {
				close(arrived)
				waitReadable(t, pool, server.address())
			}
			body, err = fetch(t, pool, server.address(), newGet("/2"))
			must.NoError(t, err)
			must.Eq(t, "ok", body)
			server.lock.Lock()
			defer server.lock.Unlock()
			must.SliceLen(t, 2, server.conns)
		})
	}
}

// idleConns returns the idle connections to the address; the caller holds the pool's lock.
func idleConns(pool *Pool, address string) []*conn {
	if list := pool.idle[address]; list != nil {
		return list.conns
	}
	return nil
}

// waitReadable waits until data has arrived on the idle connection.
func waitReadable(t *testing.T, pool *Pool, address string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		pool.lock.Lock()
		idle := idleConns(pool, address)
		quiet := len(idle) == 1 && idle[0].isOpenAndQuiet()
		pool.lock.Unlock()
		if !quiet {
			return
		}
	}
	t.Fatal("no data arrived on the idle connection")
}

func TestIncompleteResponsesFail(t *testing.T) {
	cases := []struct {
		name   string
		script func(net.Conn)
	}{
		{"short", respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort")},
		{"truncated chunks", respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")},
		{"no length, reset", respondAndReset("HTTP/1.1 200 OK\r\n\r\nhello")},
		{"no HTTP", respondAndClose("hello there\r\n\r\n")},
		{"empty", respondAndClose("")},
		{"truncated header", respondAndClose("HTTP/1.1 200 OK\r\nContent-Le")},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := newScriptedServer(t, test.script)
			_, err := fetch(t, newPool(t), server.address(), newGet("/"))
			must.Error(t, err)
			must.SliceLen(t, 1, server.received(), must.Sprint("the request was written more than once"))
		})
	}
}

func TestResponseWithoutLengthEndsWithConnection(t *testing.T) {
	server := newScriptedServer(t, respondAndClose("HTTP/1.1 200 OK\r\n\r\nhello"))
	body, err := fetch(t, newPool(t), server.address(), newGet("/"))
	must.NoError(t, err)
	must.Eq(t, "hello", body)
}

func TestInformationalResponsesAreSkipped(t *testing.T) {
	server := newScriptedServer(t, respond("HTTP/1.1 103 Early Hints\r\n\r\n"+okResponse))
	body, err := fetch(t, newPool(t), server.address(), newGet("/"))
	must.NoError(t, err)
	must.Eq(t, "ok", body)
}

func TestEarlyResponseToLongBodyIsReadAndConnectionClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	held := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = conn.Write([]byte("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n"))
			held <- conn
		}
	}()
	pool := newPool(t)
	request := &Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), 64<<20)}
	response, err := pool.Do(t.Context(), listener.Addr().String(), request)
	must.NoError(t, err)
	must.Eq(t, http.StatusRequestEntityTooLarge, response.Status)
	response.Close()
	pool.lock.Lock()
	must.SliceEmpty(t, idleConns(pool, listener.Addr().String()))
	pool.lock.Unlock()
	_ = (<-held).Close()
}

func TestFailureReportsWhetherRequestWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	_, err = fetch(t, newPool(t), address, newGet("/"))
	var failure *Failure
	must.True(t, errors.As(err, &failure))
	must.True(t, failure.Connecting)
	must.False(t, failure.Sent)

	server := newScriptedServer(t, respondAndClose(""))
	_, err = fetch(t, newPool(t), server.address(), newGet("/"))
	must.True(t, errors.As(err, &failure))
	must.True(t, failure.Sent)
}

func TestContextEndCancelsExchange(t *testing.T) {
	release := make(chan struct{})
	server := newScriptedServer(t, func(net.Conn) { <-release })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	pool := newPool(t)
	go func() {
		_, err := pool.Do(ctx, server.address(), newGet("/"))
		ended <- err
	}()
	for len(server.received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	must.Error(t, <-ended)
	close(release)
}

func TestUnreadResponseClosesConnection(t *testing.T) {
	server := newScriptedServer(t, respond("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbegun"))
	pool := newPool(t)
	response, err := pool.Do(t.Context(), server.address(), newGet("/"))
	must.NoError(t, err)
	response.Close()
	response.Close()
	pool.lock.Lock()
	defer pool.lock.Unlock()
	must.SliceEmpty(t, idleConns(pool, server.address()))
}

func TestKeepAliveTimeoutLimitsReuse(t *testing.T) {
	cases := []struct {
		fields string
		kept   int
	}{
		{"Keep-Alive: timeout=5\r\n", 1},
		{"Keep-Alive: max=3, timeout=5\r\n", 1},
		{"Keep-Alive: timeout=0\r\n", 0},
		{"Connection: close\r\n", 0},
		{"", 1},
	}
	for _, test := range cases {
		server := newScriptedServer(t, respond("HTTP/1.1 200 OK\r\n"+test.fields+"Content-Length: 2\r\n\r\nok"))
		pool := newPool(t)
		_, err := fetch(t, pool, server.address(), newGet("/"))
		must.NoError(t, err)
		pool.lock.Lock()
		must.SliceLen(t, test.kept, idleConns(pool, server.address()), must.Sprint(test.fields))
		pool.lock.Unlock()
	}
}

func TestIdleConnectionsAreLimitedAndDropped(t *testing.T) {
	server := newScriptedServer(t, respond(okResponse), respond(okResponse), respond(okResponse))
	pool := NewPool(Config{MaxIdle: 2})
	defer pool.Close()
	var responses []*Response
	for range 3 {
		response, err := pool.Do(t.Context(), server.address(), newGet("/"))
		must.NoError(t, err)
		_, err = io.ReadAll(response)
		must.NoError(t, err)
		responses = append(responses, response)
	}
	for _, response := range responses {
		response.Close()
	}
	pool.lock.Lock()
	must.SliceLen(t, 2, idleConns(pool, server.address()))
	pool.lock.Unlock()
	pool.Drop(server.address())
	pool.lock.Lock()
	must.SliceEmpty(t, idleConns(pool, server.address()))
	pool.lock.Unlock()
}

// FuzzResponse checks that a response reported as complete has the length that its header
// announces, and that no response is accepted without the end of its header.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(okResponse))
	f.Add([]byte(okResponse + okResponse))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = server.Write(data)
			_ = server.Close()
		}()
		defer func() { _ = client.Close() }()
		used := newConn(client, &idleList{}, DefaultMaxHeaderBytes)
		response, err := readHeader(used, &Request{Method: http.MethodGet})
		if err != nil {
			return
		}
		body, err := io.ReadAll(response.Body)
		if err == nil && response.ContentLength >= 0 && int64(len(body)) != response.ContentLength {
			t.Fatalf("response accepted as complete with %d of %d bytes", len(body), response.ContentLength)
		}
		if err == nil && !strings.Contains(string(data), "\r\n\r\n") && !strings.Contains(string(data), "\n\n") {
			t.Fatal("response accepted without the end of its header")
		}
	})
}
