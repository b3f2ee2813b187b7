// Package surplus plays an HTTP server that is out of step: on a kept connection
// it sends its last answer once more, after the next request has arrived and
// before the answer to it. Bytes that come that late look to a client like the
// answer to the request that it wrote last.
package surplus

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Server serves a handler's answers out of step until it is closed.
type Server struct {
	listener net.Listener
	handler  http.Handler
	done     sync.WaitGroup
	sent     atomic.Int32

	lock        sync.Mutex
	closed      bool
	connections map[net.Conn]struct{}
}

// Start starts a Server on a free port of the loopback.
func Start(handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "surplus: listen")
	}
	s := &Server{listener: listener, handler: handler, connections: map[net.Conn]struct{}{}}
	s.done.Go(s.accept)
	return s, nil
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Sent returns how many surplus answers were sent.
func (s *Server) Sent() int { return int(s.sent.Load()) }

// Close ends all connections and waits for them.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.closeConnections()
	s.done.Wait()
}

func (s *Server) closeConnections() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.closed = true
	for conn := range s.connections {
		_ = conn.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.register(conn) {
			_ = conn.Close()
			return
		}
		s.done.Go(func() { s.serve(conn) })
	}
}

// register returns false once the server is closed.
func (s *Server) register(conn net.Conn) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.closed {
		return false
	}
	s.connections[conn] = struct{}{}
	return true
}

func (s *Server) unregister(conn net.Conn) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.connections, conn)
	_ = conn.Close()
}

// serve answers the connection's requests until its client closes it.
func (s *Server) serve(conn net.Conn) {
	defer s.unregister(conn)
	reader := bufio.NewReader(conn)
	var last []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		// The client may go on, over another connection, once it has the surplus
		// answer: by then this request has been handled, so that the handler meets
		// requests in the order in which they are made.
		own := s.answer(request)
		if last != nil {
			s.sent.Add(1)
		}
		if _, err := conn.Write(last); err != nil {
			return
		}
		if _, err := conn.Write(own); err != nil || request.Close {
			return
		}
		last = own
	}
}

// answer returns the handler's answer as it goes over the connection.
func (s *Server) answer(request *http.Request) []byte {
	recorder := httptest.NewRecorder()
	s.handler.ServeHTTP(recorder, request)
	_, _ = io.Copy(io.Discard, request.Body) // the next request stands behind it
	response := recorder.Result()
	response.ContentLength = int64(recorder.Body.Len())
	response.Close = request.Close
	var written bytes.Buffer
	_ = response.Write(&written) // a buffer takes everything
	return written.Bytes()
}
